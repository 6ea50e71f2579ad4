"""How commands answer: one JSON value or lines for people on standard output, one line for an error.

Used by the commands of click and of typer alike, so it needs neither.
"""

import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NoReturn

from .exit_codes import INVALID_INPUT


def write_line(text: str) -> None:
    """One line on standard output, written at once."""
    print(text, flush=True)


def write_result(value: Any, as_json: bool, lines: Iterable[str]) -> None:
    """The result of a command: `value` as one JSON text, or `lines` for people."""
    write_line(json.dumps(value, separators=(",", ":")) if as_json else "\n".join(lines))


def write_error(message: object) -> None:
    """One line on standard error."""
    print(f"bramblewood: {message}", file=sys.stderr, flush=True)


def fail(message: object, code: int = INVALID_INPUT) -> NoReturn:
    """Say in one line what is wrong, and end with this exit code."""
    write_error(message)
    sys.exit(code)


def printable(data: bytes) -> str:
    """Bytes as text where they are text, else escaped."""
    decoded = data.decode("utf-8", "backslashreplace")
    return decoded if decoded.isprintable() else repr(data)[2:-1]


def progress(steps: Iterable, description: str, total: int | None = None) -> Iterator:
    """The steps of long work; on a terminal with a progress bar."""
    if not sys.stderr.isatty():
        yield from steps
        return
    from rich.console import Console
    from rich.progress import track

    yield from track(steps, description, total, console=Console(stderr=True), transient=True)
