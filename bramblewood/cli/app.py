"""The commands put together, and what is wrong with a call told in one line."""

import sys

import typer

from . import manager
from .output import FAULTY

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="bramblewood: a manager that sends proxies the tables of who serves which slice. "
    "Exit codes: 0 done or ended by SIGTERM, 1 damage found or no such thing, 2 faulty "
    "words, configuration, folder or address.",
)
app.command()(manager.serve)
app.command()(manager.check)
app.command()(manager.version)
if sys.argv[1:2] != ["serve"]:  # a manager at work needs none of the groups' memory
    from . import ledger, store

    app.add_typer(store.app, name="store")
    app.add_typer(ledger.app, name="ledger")


def main() -> int:
    """What is wrong with the words of the call is told in one line too."""
    try:
        return app(standalone_mode=False) or 0
    except typer.exceptions.TyperException as problem:
        typer.echo(f"bramblewood: {problem.format_message()} (see --help)", err=True)
        return FAULTY
