"""Hosts managers on standard input and output: `python -m bramblewood.adapter`."""

import sys

from .host import serve
from .wire import Malformed


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as problem:
        print(f"bramblewood.adapter: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
