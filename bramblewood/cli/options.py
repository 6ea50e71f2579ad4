"""The settings file, as the gateway's commands take it."""

import sys

import click
from result import Err

from ..common import settings
from .exit_codes import FAULTY

BOOT = click.option(
    "--boot", metavar="FILE", help=f"the settings file; else the one that {settings.VARIABLE} names"
)


def fail(what: object, code: int = FAULTY) -> None:
    click.echo(f"bramblewood: {what}", err=True)
    sys.exit(code)


def load_settings(path: str | None, *listens: str) -> settings.Settings:
    """The settings; listens: what `BindMap` has to name for this program."""
    told = settings.load(path)
    if isinstance(told, Err):
        fail(told.err_value)
    for name in listens:
        if name not in told.ok_value.listen:
            fail(f"{told.ok_value.path}: BindMap.{name}: expected host:port, found nothing")
    return told.ok_value
