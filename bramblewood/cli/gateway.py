"""The commands of the gateway's programs: desk and archive. Not imported by `serve`."""

import asyncio
import signal
import sys

import click

from .boot import BOOT, load_settings
from .exit_codes import FAULTY


@click.group(
    help="bramblewood: a gateway. Exit codes: 0 done or ended by SIGTERM, 1 damage found or no such thing, "
    "2 faulty words, settings, folder or address."
)
def rooms() -> None:
    pass


def play(program) -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        code = asyncio.run(program.run())
    except OSError as problem:
        click.echo(f"bramblewood: {problem}", err=True)
        code = FAULTY
    sys.exit(code)


@rooms.command()
@BOOT
@click.pass_obj
def desk(doors: dict, boot: str | None) -> None:
    """Run a desk: take clients' requests and carry them to workers."""
    from ..proxy.server import Proxy

    play(Proxy(load_settings(boot, "Front", "ReadyProbe"), doors))


@rooms.command()
@BOOT
def archive(boot: str | None) -> None:
    """Run an archive: keep the configuration, the roll of workers and the tables."""
    from ..controller.server import Controller

    play(Controller(load_settings(boot, "Control")))


if sys.argv[1:2] not in (["desk"], ["archive"]):  # programs at work need none of the other commands' memory
    from .drain import withdraw
    from .emulator import lab
    from .inspection import COMMANDS
    from .members import members

    for command in (*COMMANDS, lab, members, withdraw):
        rooms.add_command(command)
