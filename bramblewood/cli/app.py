"""The manager's commands put together; what is wrong with a call is said in one line."""

import sys

import typer

from . import manager
from .exit_codes import INVALID_INPUT
from .output import write_error

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="bramblewood: a manager that sends proxies the tables of who serves which slice. "
    "Exit codes: 0 done or ended by SIGTERM, 1 damage found or no such thing, 2 invalid "
    "arguments, configuration, folder or address.",
)
app.command()(manager.serve)
app.command()(manager.check)
app.command()(manager.version)
if sys.argv[1:2] != ["serve"]:  # a manager in service needs none of the groups' memory
    from . import ledger, store

    app.add_typer(store.app, name="store")
    app.add_typer(ledger.app, name="ledger")


def main() -> int:
    """Run the command that the arguments name; what is wrong with them is said in one line too."""
    try:
        return app(standalone_mode=False) or 0
    except typer.exceptions.TyperException as problem:
        write_error(f"{problem.format_message()} (see --help)")
        return INVALID_INPUT
