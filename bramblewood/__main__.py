"""The command line: `python -m bramblewood serve`, `version`, `check`."""

import signal
import sys

signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(0))  # also while the rest is still imported

import typer  # noqa: E402

from . import __version__  # noqa: E402
from .net.program import charter, logs  # noqa: E402

FAULTY = 2  # exit code for what is wrong with the words of the call or the configuration
app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="bramblewood: a manager that sends proxies the tables of who serves which slice.")


def fail(what: object) -> None:
    typer.echo(f"bramblewood: {what}", err=True)
    raise typer.Exit(FAULTY)


@app.command()
def serve() -> None:
    """Run one manager in the foreground, as the configuration that EDGE_CONFIG names tells it."""
    from .net.program.service import Service
    try:
        told = charter.read()
    except charter.Faulty as problem:
        fail(problem)
    logs.begin()
    try:
        service = Service(told)
    except OSError as problem:
        fail("listen: {}:{}: {}".format(*told.listen, problem.strerror))
    raise typer.Exit(service.serve())


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"bramblewood {__version__}")


if __name__ == "__main__":
    app()
