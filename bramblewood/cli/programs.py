"""The gateway's two programs: `proxy` and `controller`. They import nothing of the other commands."""

import asyncio
import signal
import sys
from typing import Protocol

import click

from .exit_codes import INVALID_INPUT
from .options import BOOT, load_settings
from .output import write_error


class Program(Protocol):
    """A program that runs until it is told to end."""

    async def run(self) -> int:
        """Its exit code."""


def run_program(program: Program) -> None:
    """Run to the end, and end the process with the program's exit code."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        code = asyncio.run(program.run())
    except OSError as problem:
        write_error(problem)
        code = INVALID_INPUT
    sys.exit(code)


@click.command()
@BOOT
@click.pass_obj
def proxy(early_listeners: dict, boot: str | None) -> None:
    """Run a proxy: take clients' requests and forward them to workers."""
    from ..proxy.server import Proxy

    run_program(Proxy(load_settings(boot, "Front", "ReadyProbe"), early_listeners))


@click.command()
@BOOT
def controller(boot: str | None) -> None:
    """Run a controller: keep the configuration, the worker registry and the tables."""
    from ..controller.server import Controller

    run_program(Controller(load_settings(boot, "Control")))
