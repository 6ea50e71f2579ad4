"""Options that the gateway's commands share, and the settings file that `--boot` names."""

import click
from result import Err

from ..common import settings
from ..common.settings_path import SETTINGS_PATH_VARIABLE
from .output import fail

BOOT = click.option(
    "--boot", metavar="FILE", help=f"the settings file; else the one that {SETTINGS_PATH_VARIABLE} names"
)
JSON = click.option("--json", "as_json", is_flag=True, help="one JSON value")
CONTROLLER = click.option(
    "--controller",
    "--archive",  # its earlier name
    "controller",
    metavar="HOST:PORT",
    help="a controller's inner address; else the settings' seeds",
)
CONTROL = click.option(
    "--control", metavar="HOST:PORT", help="a controller's Control address; else the settings' seeds"
)


def load_settings(path: str | None, *listeners: str) -> settings.Settings:
    """The settings; ends the command with what is wrong. listeners: names that `BindMap` must have."""
    loaded = settings.load_settings(path)
    if isinstance(loaded, Err):
        fail(loaded.err_value)
    for name in listeners:
        if name not in loaded.ok_value.listen_addresses:
            fail(f"{loaded.ok_value.path}: BindMap.{name}: expected host:port, found nothing")
    return loaded.ok_value
