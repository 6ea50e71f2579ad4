"""What the commands share: one line for what is wrong, exit codes, tables or JSON."""

import json
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import typer

from .exit_codes import DONE, FAULTY, FOUND  # noqa: F401

FOLDER = typer.Argument(..., help="the store's folder")
JSON = typer.Option(False, "--json", help="one JSON value")


def fail(what: object) -> None:
    typer.echo(f"bramblewood: {what}", err=True)
    raise typer.Exit(FAULTY)


def reading(folder: str, what: Callable) -> Any:
    """What a reading of a store's folder gives; it changes nothing, and a manager may go on meanwhile."""
    from ..store import tools
    from ..store.recovery import Refused

    try:
        return tools.reading(folder, what)
    except (Refused, OSError) as problem:
        fail(f"{folder}: {getattr(problem, 'strerror', None) or problem}")


def out(value: Any, as_json: bool, rows: Iterable[str]) -> None:
    """One JSON value, or lines for people."""
    if as_json:
        typer.echo(json.dumps(value, separators=(",", ":")))
    else:
        for row in rows:
            typer.echo(row)


def shown(text: bytes) -> str:
    """Bytes as text where they are, else escaped."""
    decoded = text.decode("utf-8", "backslashreplace")
    return decoded if decoded.isprintable() else repr(text)[2:-1]


def progress(steps: Iterable, what: str, total: int | None = None) -> Iterator:
    """The steps of long work; on a terminal a bar that says how far it is."""
    if not sys.stderr.isatty():
        yield from steps
        return
    from rich.console import Console
    from rich.progress import track

    yield from track(steps, what, total, console=Console(stderr=True), transient=True)
