"""Changes of the agreed slice table: moves, splits, and releases by previous owners.

The functions that return a `ProposedTable` are changes as `controller/table_changes.py` defines them. Their
outcome is whether the table changes. The module does no I/O and reads no clock.

Invariant: a slice of a keyed service never has two owners. After a move, its entry names the previous owner
until that worker has released its keys. Each new owner gets a new fencing token, which is the version of the
table that made it the owner.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ...common.slice_table import (
    FENCING_TOKEN,
    KEY_SPACE_SIZE,
    READERS,
    UNASSIGNED_ROW,
    Row,
    SliceEntry,
    active_readers,
    with_readers,
)
from ..table_changes import ProposedTable, TableValue, empty_table

MIN_SLICES = 32
# enough that one slice is a small share of a worker's load, but few, as each keyed slice has a lease to renew
MIN_SLICES_PER_WORKER = 6


class Assignment(NamedTuple):
    """The worker of a slice, a second worker ("" for none), and the fraction (0 to 1) sent to the second."""

    worker: str
    second_worker: str = ""
    second_share: float = 0.0

    @classmethod
    def of_row(cls, row: Row) -> "Assignment":
        """Return the assignment that a row of the slice table contains."""
        return cls(*row[:FENCING_TOKEN])


class SliceSplit(NamedTuple):
    """A slice to split off from the slice that begins at `parent`: its first key, and its assignment."""

    parent: int
    start: int
    assignment: Assignment


@dataclass
class SliceChanges:
    """The changes of one service's rows. Slices are identified by their first keys.

    `slice_count` is the number of slices that the service's first table gets. `readers` holds the new readers
    of hot keys, by key.
    """

    assignments: dict[int, Assignment]
    splits: list[SliceSplit]
    slice_count: int
    readers: dict[int, list[str]] = field(default_factory=dict)


def initial_slice_count(workers: int) -> int:
    """Return the number of slices, a power of two, in the first table of a service with `workers` workers."""
    count = MIN_SLICES
    while count < MIN_SLICES_PER_WORKER * workers:
        count *= 2
    return count


def initial_rows(count: int) -> dict[str, Row]:
    """Return the rows of `count` equal slices without a worker, by first key."""
    return {str(i * KEY_SPACE_SIZE // count): UNASSIGNED_ROW for i in range(count)}


def with_assignment(row: Row, assignment: Assignment, keyed: bool, version: int) -> Row:
    """Return the row with this assignment.

    If the worker changes, `version`, the version of the new table, becomes the fencing token. In a keyed
    service, the old owner then becomes the previous owner, unless the row has one already. The previous owner
    must release the keys before they are granted to the new worker.
    """
    worker, second_worker, second_share = assignment
    entry = SliceEntry.decode(row)
    if entry.worker != worker:
        if keyed:
            entry = entry._replace(previous_owner=entry.previous_owner or entry.worker, handover="")
        entry = entry._replace(fencing_token=version)
    entry = entry._replace(worker=worker, second_worker=second_worker, second_share=second_share)
    new_row = entry.encode()
    readers = [instance_id for instance_id in active_readers(new_row) if instance_id != worker]
    return with_readers(new_row, readers, version)


def apply_slice_changes(
    table: TableValue | None, changes: Mapping[str, SliceChanges], keyed_services: set[str]
) -> ProposedTable:
    """Return the table with these changes by service.

    A change that another controller has made unnecessary or impossible is left out: a split of a slice that
    no longer exists, or an assignment that the table already contains.

    Args:
        keyed_services: the services whose slices have one owner at a time.
    """
    table = table or empty_table()
    version, services, any_change = table["n"] + 1, dict(table["s"]), False
    for service, service_changes in changes.items():
        rows = dict(services.get(service) or initial_rows(service_changes.slice_count))
        any_change |= _change_rows(rows, service_changes, service in keyed_services, version)
        services[service] = rows
    return ({**table, "n": version, "s": services}, True) if any_change else (None, False)


def _change_rows(rows: dict[str, Row], changes: SliceChanges, keyed: bool, version: int) -> bool:
    """Apply the changes to one service's rows in place, and return whether any row changed."""
    any_change = False
    for parent, start, assignment in changes.splits:
        row = rows.get(str(parent))
        if row is not None and str(start) not in rows:
            rows[str(start)] = with_assignment(row[:READERS], assignment, keyed, version)
            any_change = True
    for start, assignment in changes.assignments.items():
        row = rows.get(str(start))
        if row is not None and Assignment.of_row(row) != assignment:
            rows[str(start)] = with_assignment(row, assignment, keyed, version)
            any_change = True
    for start, readers in changes.readers.items():
        row = rows.get(str(start))
        if row is not None and active_readers(row) != readers:
            rows[str(start)] = with_readers(row, readers, version)
            any_change = True
    return any_change


def with_changed_entries(
    table: TableValue | None,
    service: str,
    starts: Iterable[int],
    change: Callable[[SliceEntry, int], SliceEntry | None],
) -> ProposedTable:
    """Return the table in which `change` has replaced the entries of these slices.

    Args:
        starts: first keys of the slices. Slices that no longer exist are left out.
        change: called with an entry and the version of the new table. It returns the new entry, or None to
            keep the entry.
    """
    if not table or service not in table["s"]:
        return None, False
    rows, version, any_change = dict(table["s"][service]), table["n"] + 1, False
    for start in starts:
        row = rows.get(str(start))
        new_entry = change(SliceEntry.decode(row), version) if row else None
        if new_entry is not None:
            rows[str(start)], any_change = new_entry.encode(), True
    if not any_change:
        return None, False
    return {**table, "n": version, "s": {**table["s"], service: rows}}, True


def clear_previous_owner(
    table: TableValue | None,
    service: str,
    starts: Iterable[int],
    fencing_token: int,
    previous_owner: str,
    handover: str,
) -> ProposedTable:
    """Return the table after the previous owner has released these slices.

    Args:
        starts: first keys of the slices.
        fencing_token: the token of the release. A slice with another token has moved again since, and keeps
            its previous owner.
        handover: what the previous owner passes on to the new owner, "" for nothing.
    """

    def release(entry: SliceEntry, _version: int) -> SliceEntry | None:
        if (entry.previous_owner, entry.fencing_token) != (previous_owner, fencing_token):
            return None
        return entry._replace(previous_owner="", handover=handover)

    return with_changed_entries(table, service, starts, release)


def raise_fencing_tokens(
    table: TableValue | None, service: str, starts: Iterable[int], fencing_token: int
) -> ProposedTable:
    """Return the table with a higher fencing token for those of these slices that still have `fencing_token`.

    This is proposed after the slices' worker has rejected the token because it has received a higher one.
    """

    def raise_token(entry: SliceEntry, version: int) -> SliceEntry | None:
        return entry._replace(fencing_token=version) if entry.fencing_token == fencing_token else None

    return with_changed_entries(table, service, starts, raise_token)
