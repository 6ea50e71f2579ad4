"""The manager's commands serve, check and version."""

import os

import typer

from .. import __version__
from ..net.program import charter, logs
from ..net.protocol import roster
from ..net.protocol.words import Unreadable
from ..net.transport.connection import spelled
from .output import fail

OPERATOR = "BRAMBLEWOOD_OPERATOR"  # names the operator's file where the option does not
OPERATORS_FILE = typer.Option(
    None,
    "--operator",
    metavar="FILE",
    help=f"the operator's file; else the one that {OPERATOR} names, else none",
)


def read_settings(path: str | None = None) -> charter.Charter:
    """The manager's configuration; ends the command with what is wrong."""
    try:
        return charter.read(path=path)
    except charter.Faulty as problem:
        fail(problem)


def read_bylaws(path: str | None):
    """The operator's file as one checked value, or None where there is none."""
    path = path or os.environ.get(OPERATOR)
    if not path:
        return None
    from ..operator import bylaws

    try:
        return bylaws.load(path)
    except bylaws.Faulty as problem:
        fail(problem)


def serve(operator: str = OPERATORS_FILE) -> None:
    """Run one manager in the foreground, as the configuration that EDGE_CONFIG names tells it."""
    from ..net.program.service import Service

    settings, bylaws = read_settings(), read_bylaws(operator)
    logs.begin()
    try:
        service = Service(settings, bylaws=bylaws)
    except charter.Faulty as problem:
        fail(problem)
    raise typer.Exit(service.serve())


def check(
    path: str = typer.Argument(None, help="the configuration; else the one of EDGE_CONFIG"),
    operator: str = OPERATORS_FILE,
) -> None:
    """Read a configuration and say what it would listen on and dial, or what is wrong with it."""
    settings, bylaws = read_settings(path), read_bylaws(operator)
    try:
        known = len(roster.read(settings.known, cached=True)[1].workers) if settings.known else 0
    except Unreadable as problem:
        fail(f"known: {problem}")
    rows = {
        "name": settings.name,
        "listen": settings.listen,
        "discovery": settings.discovery,
        "relay": settings.relay,
        "messages between managers at": settings.peer_listen,
        "managers to message": len(settings.peers),
        "descriptors": settings.descriptors,
        "known workers": known,
        "operations": ", ".join(operation["name"] for operation in settings.facts["operations"]),
    }
    if bylaws:
        rows["operator's file"] = bylaws.path
        store = bylaws.store._asdict() if bylaws.store else {}
        rows |= {f"store {name}": value for name, value in store.items()}
    for name, value in rows.items():
        shown = spelled(value) if isinstance(value, tuple) else "-" if value in (None, "") else value
        typer.echo(f"{name}: {shown}")


def version() -> None:
    """Print the version."""
    typer.echo(f"bramblewood {__version__}")
