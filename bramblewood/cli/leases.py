"""The command `leases`."""

import click

from ..common.slice_table import SliceEntry, sorted_first_keys
from .controller_client import get_view
from .options import BOOT, CONTROLLER, JSON
from .output import write_result
from .views import GrantView, LeaseRow, TableView

GRANTS_VIEW = "holds"  # the grants' name on the wire


def lease_rows(table: TableView, grants: list[GrantView]) -> list[LeaseRow]:
    """One row a slice: its workers and fencing token, and until when its last grant holds, in s from now."""
    expiry = {(grant["service"], grant["from"], grant["life"]): grant["until"] for grant in grants}
    rows = []
    for service, entries in sorted(table["s"].items()):
        for start in sorted_first_keys(entries):
            entry = SliceEntry.decode(entries[str(start)])
            rows.append(
                {
                    "service": service,
                    "from": start,
                    "worker": entry.worker,
                    "second": entry.second_worker,
                    "fence": entry.fencing_token,
                    "old": entry.previous_owner,
                    "until": expiry.get((service, start, entry.worker)),
                }
            )
    return rows


def lease_line(row: LeaseRow) -> str:
    """One slice, for people."""
    line = f"{row['service']} from {row['from']}: {row['worker'] or 'nobody'}, fence {row['fence']}"
    if row["until"] is not None:
        line += f", until {row['until']} s from now"
    if row["old"]:
        line += f", still to be released by {row['old']}"
    return line


@click.command()
@CONTROLLER
@BOOT
@JSON
def leases(controller: str | None, boot: str | None, as_json: bool) -> None:
    """Show key leases: slices, their workers, fencing tokens and expiry.

    Expiry is that of the last grant that the coordinator has sent.
    """
    table = get_view(controller, boot, "table")
    rows = lease_rows(table, get_view(controller, boot, GRANTS_VIEW))
    write_result(rows, as_json, map(lease_line, rows))
