"""The command `check` of the gateway."""

import sys

import click
from result import Err

from ..common import settings
from ..common.configuration_parser import validate_configuration
from ..common.errors import SettingsUnreadableError
from .configuration_file import read_configuration
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import BOOT, JSON
from .output import fail, write_result


@click.command()
@BOOT
@click.option("--config", metavar="FILE", help="a configuration to check too")
@JSON
def check(boot: str | None, config: str | None, as_json: bool) -> None:
    """Check a settings file, and a configuration. Each fault is told with its place and what was expected.

    Exit codes: 0 no fault, 1 a fault, 2 a file that can't be read.
    """
    faults = []
    if boot or not config:
        loaded = settings.load_settings(boot)
        if isinstance(loaded, Err) and isinstance(loaded.err_value, SettingsUnreadableError):
            fail(loaded.err_value)
        faults += [str(loaded.err_value)] if isinstance(loaded, Err) else []
    if config:
        faults += [f"{config}: {fault}" for fault in validate_configuration(read_configuration(config))[1]]
    write_result(faults, as_json, faults or ["no fault"])
    sys.exit(PROBLEM_FOUND if faults else SUCCESS)
