"""Hosts managers on standard input and output: `python -m bramblewood.adapter`."""

import sys

from .host import serve
from .wire import MalformedInput

MALFORMED = 2  # exit code


def main() -> int:
    """Serve until the input ends; the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInput as problem:
        print(f"bramblewood.adapter: {problem}", file=sys.stderr)
        return MALFORMED
    return 0


if __name__ == "__main__":
    sys.exit(main())
