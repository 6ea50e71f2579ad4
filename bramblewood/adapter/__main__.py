"""Serves managers on standard input and output: `python -m bramblewood.adapter`."""

import sys

from .host import serve
from .wire import MalformedInput

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Serve until the input ends, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInput as error:
        print(f"bramblewood.adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
