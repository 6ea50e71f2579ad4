"""The command `workers`."""

import click

from .controller_client import get_view
from .options import BOOT, CONTROLLER, JSON
from .output import write_result
from .views import WorkerView

VIEW = "roll"  # the registry's name on the wire


@click.command()
@CONTROLLER
@BOOT
@JSON
def workers(controller: str | None, boot: str | None, as_json: bool) -> None:
    """Show the workers and their states."""
    registrations: dict[str, WorkerView] = get_view(controller, boot, VIEW)
    lines = [
        f"{row['service']} {instance_id} {row['address']} {row['zone']} {row['phase']}"
        f"{', silent' * row['silent']}, heard {row['heard']} s ago"
        for instance_id, row in sorted(registrations.items(), key=lambda item: (item[1]["service"], item[0]))
    ]
    write_result(registrations, as_json, lines)
