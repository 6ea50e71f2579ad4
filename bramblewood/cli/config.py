"""The commands `config get|put|diff|history`."""

import json
import sys
from typing import Any

import click
from result import Err

from ..common.configuration_parser import build_configuration
from . import controller_client
from .configuration_file import read_configuration
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import BOOT, CONTROL, CONTROLLER, JSON
from .output import fail, write_line, write_result

RouteKey = tuple[str, str]  # host and path prefix


@click.group()
def config() -> None:
    """The configuration: get, put, diff, history."""


@config.command("get")
@CONTROL
@BOOT
def get(control: str | None, boot: str | None) -> None:
    """Print the configuration in force, as it was put."""
    write_line(json.dumps(controller_client.get_configuration(control, boot)))


@config.command("put")
@click.argument("file")
@CONTROL
@BOOT
def put(file: str, control: str | None, boot: str | None) -> None:
    """Put a configuration; safe to repeat.

    Exit codes: 0 taken, 1 refused, 2 nobody answers or faulty file.
    """
    response = controller_client.put_configuration(control, boot, read_configuration(file))
    taken = response.status == 200
    write_line("taken" if taken else f"{response.status} {response.json().get('Failure', '')}")
    sys.exit(SUCCESS if taken else PROBLEM_FOUND)


def routes_of(raw: Any, name: str) -> dict[RouteKey, Any]:
    """The routes of a configuration that is checked; `name` says which one is faulty."""
    configuration = build_configuration(raw)
    if isinstance(configuration, Err):
        fail(f"{name}: {configuration.err_value}")
    hosts = configuration.ok_value.routes_by_host
    return {(host, prefix): route for host, routes in hosts.items() for prefix, route in routes.items()}


# of fields of a route, where scripts that read `config diff` know another than the code's
PRINTED_NAMES = {"path_prefix": "prefix", "latency_target": "aim", "max_attempts": "attempts"}


def changed_fields(key: RouteKey, old: Any, new: Any) -> list[str]:
    """One text for each field in which a route differs."""
    host, prefix = key
    return [
        f"{host}{prefix}: {PRINTED_NAMES.get(field, field)} {getattr(old, field)} -> {getattr(new, field)}"
        for field in new._fields
        if getattr(new, field) != getattr(old, field)
    ]


def differences(old: dict[RouteKey, Any], new: dict[RouteKey, Any]) -> dict[str, list[str]]:
    """Routes added, removed and changed."""
    return {
        "added": [f"{host}{prefix}" for host, prefix in sorted(new.keys() - old.keys())],
        "removed": [f"{host}{prefix}" for host, prefix in sorted(old.keys() - new.keys())],
        "changed": [
            text
            for key in sorted(new.keys() & old.keys())
            for text in changed_fields(key, old[key], new[key])
        ],
    }


@config.command("diff")
@click.argument("file")
@click.argument("other", required=False)
@CONTROL
@BOOT
@JSON
def diff(file: str, other: str | None, control: str | None, boot: str | None, as_json: bool) -> None:
    """What FILE would change in OTHER, or in the configuration in force.

    Exit codes: 0 nothing, 1 something.
    """
    new = routes_of(read_configuration(file), file)
    before = read_configuration(other) if other else controller_client.get_configuration(control, boot)
    found = differences(routes_of(before, other or "in force"), new)
    lines = [f"{kind}: {item}" for kind, items in found.items() for item in items]
    write_result(found, as_json, lines or ["no difference"])
    sys.exit(PROBLEM_FOUND if any(found.values()) else SUCCESS)


@config.command("history")
@CONTROLLER
@BOOT
@JSON
def history(controller: str | None, boot: str | None, as_json: bool) -> None:
    """The versions that were taken, with their digests, the newest last."""
    digests = controller_client.get_view(controller, boot, "history")
    by_number = sorted(digests.items(), key=lambda item: int(item[0]))
    write_result(digests, as_json, [f"r{number} {digest}" for number, digest in by_number])
