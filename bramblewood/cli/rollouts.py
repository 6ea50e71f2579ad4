"""The commands `rollouts show|start`: rollouts of new versions of services. Both are safe to repeat."""

import sys
from collections.abc import Iterator

import click

from .controller_client import get_view, start_rollout
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import BOOT, CONTROL, CONTROLLER, JSON
from .output import fail, write_result
from .views import RolloutView


@click.group()
def rollouts() -> None:
    """Roll out versions of services: show, start.

    A rollout that turns out to be bad is reverted by the controllers. Exit codes: 0 as asked, 1 refused or no
    such rollout, 2 nobody answers or invalid arguments.
    """


@rollouts.command("show")
@click.argument("service", required=False)
@CONTROLLER
@BOOT
@JSON
def show(service, controller, boot, as_json) -> None:
    """Show the last rollout of each service, or of SERVICE.

    Shows its phase, the reason for it, and the attempts by route as one controller knows them. Only the
    coordinator has attempts.
    """
    found: dict[str, RolloutView] = get_view(controller, boot, "rollouts")
    if service is not None:
        if service not in found:
            fail(f"no rollout of service {service}", PROBLEM_FOUND)
        found = {service: found[service]}
    write_result(found, as_json, list(rollout_lines(found)) or ["no rollouts"])


def rollout_lines(found: dict[str, RolloutView]) -> Iterator[str]:
    """Yield the lines that describe rollouts by service."""
    for service, rollout in sorted(found.items()):
        elapsed = rollout["elapsed"] if rollout["elapsed"] is not None else "?"
        yield (
            f"{service} to {rollout['version']}: {rollout['phase']},"
            f" {elapsed} s of {rollout['duration']} s; {rollout['reason'] or 'no attempts yet'}"
        )
        for route, counts in sorted(rollout["routes"].items()):
            yield (
                f"  {route}: new {counts['target']} attempts, {counts['target_failures']} failed,"
                f" {counts['target_late']} late; old {counts['old']}, {counts['old_failures']} failed"
            )


@rollouts.command("start")
@click.argument("service")
@click.argument("version")
@click.option(
    "--seconds", type=click.FloatRange(min=0, min_open=True), required=True, help="s until the term"
)
@CONTROL
@BOOT
@JSON
def start(service, version, seconds, control, boot, as_json) -> None:
    """Move the requests of SERVICE to its workers of VERSION, unless these turn out to be bad."""
    response = start_rollout(control, boot, service, version, seconds)
    taken, reason = response.status == 200, response.json().get("Failure", "")
    line = f"the rollout of {service} to {version} is acknowledged" if taken else f"refused: {reason}"
    write_result({"status": response.status, "reason": reason}, as_json, [line])
    sys.exit(SUCCESS if taken else PROBLEM_FOUND)
