"""What a move, a split or a release does to the agreed slice table. Pure.

Functions that change the table are changes as `controller/table_changes.py` states them; what they tell is
whether anything changes. Of a keyed service no slice has
two owners: its entry names the previous owner until that one has released its keys, and a new owner comes
with a new fencing token, which is the version of the table that made it one.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ...common.slice_table import (
    FENCING_TOKEN,
    KEY_SPACE_SIZE,
    READERS,
    UNASSIGNED,
    Row,
    SliceEntry,
    active_readers,
    with_readers,
)
from ..table_changes import ProposedTable, TableValue, empty_table

MIN_SLICES = 32
MIN_SLICES_PER_WORKER = 6  # so that one slice is a small step; each keyed slice costs a renewal of its lease


class Assignment(NamedTuple):
    """Who serves a slice: its worker, a second one if any, and the share (0 to 1) that the second gets."""

    worker: str
    second_worker: str = ""
    second_share: float = 0.0

    @classmethod
    def of_row(cls, row: Row) -> "Assignment":
        """The assignment that a row of the slice table states."""
        return cls(*row[:FENCING_TOKEN])


class SliceSplit(NamedTuple):
    """A slice to be split off: the first key of the slice that it comes from, its own, and who serves it."""

    parent: int
    start: int
    assignment: Assignment


@dataclass
class SliceChanges:
    """What is to change in one service's part of the table; slices are named by their first keys.

    `slice_count` is how many slices a service's first table gets; `readers` are the workers with read
    replicas that a hot key's slice is to have.
    """

    assignments: dict[int, Assignment]
    splits: list[SliceSplit]
    slice_count: int
    readers: dict[int, list[str]] = field(default_factory=dict)


def initial_slice_count(workers: int) -> int:
    """How many slices a service's first table gets: a power of two."""
    count = MIN_SLICES
    while count < MIN_SLICES_PER_WORKER * workers:
        count *= 2
    return count


def initial_rows(count: int) -> dict[str, Row]:
    """Rows of `count` equal slices that nobody serves yet, by first key."""
    return {str(i * KEY_SPACE_SIZE // count): UNASSIGNED for i in range(count)}


def reassigned(row: Row, assignment: Assignment, keyed: bool, version: int) -> Row:
    """The row with another assignment. The owner of a keyed slice must first release its keys."""
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
    value: TableValue | None, changes: Mapping[str, SliceChanges], keyed: set[str]
) -> ProposedTable:
    """The table with these changes by service. What another controller has changed meanwhile is left out:
    a split of a slice that is gone, or an assignment that stands already.

    Args:
        keyed: the services whose slices have one owner at a time.
    """
    value = value or empty_table()
    version, services, any_change = value["n"] + 1, dict(value["s"]), False
    for service, wanted in changes.items():
        rows = dict(services.get(service) or initial_rows(wanted.slice_count))
        any_change |= _change_rows(rows, wanted, service in keyed, version)
        services[service] = rows
    return ({**value, "n": version, "s": services}, True) if any_change else (None, False)


def _change_rows(rows: dict[str, Row], wanted: SliceChanges, keyed: bool, version: int) -> bool:
    """Put these changes into one service's rows; whether any did."""
    any_change = False
    for parent, start, assignment in wanted.splits:
        row = rows.get(str(parent))
        if row is not None and str(start) not in rows:
            rows[str(start)] = reassigned(row[:READERS], assignment, keyed, version)
            any_change = True
    for first_key, assignment in wanted.assignments.items():
        row = rows.get(str(first_key))
        if row is not None and Assignment.of_row(row) != assignment:
            rows[str(first_key)] = reassigned(row, assignment, keyed, version)
            any_change = True
    for first_key, readers in wanted.readers.items():
        row = rows.get(str(first_key))
        if row is not None and active_readers(row) != readers:
            rows[str(first_key)] = with_readers(row, readers, version)
            any_change = True
    return any_change


def with_changed_entries(
    value: TableValue | None,
    service: str,
    starts: Iterable[int],
    change: Callable[[SliceEntry, int], SliceEntry | None],
) -> ProposedTable:
    """The table with `change(entry, version)` in place of these slices' entries, where that gives one.

    Args:
        starts: first keys of slices; those that are gone are left out.
        change: gets an entry, and the version that the table will have.
    """
    if not value or service not in value["s"]:
        return None, False
    rows, version, any_change = dict(value["s"][service]), value["n"] + 1, False
    for start in starts:
        row = rows.get(str(start))
        new_entry = change(SliceEntry.decode(row), version) if row else None
        if new_entry is not None:
            rows[str(start)], any_change = new_entry.encode(), True
    if not any_change:
        return None, False
    return {**value, "n": version, "s": {**value["s"], service: rows}}, True


def clear_previous_owner(
    value: TableValue | None,
    service: str,
    starts: Iterable[int],
    fencing_token: int,
    previous_owner: str,
    handover: str,
) -> ProposedTable:
    """The table once the previous owner has released these slices.

    Args:
        fencing_token: the token under which the release was asked for; another one stands for a later move.
        handover: what the previous owner tells the new one, empty if nothing.
    """

    def release(entry: SliceEntry, _version: int) -> SliceEntry | None:
        if (entry.previous_owner, entry.fencing_token) != (previous_owner, fencing_token):
            return None
        return entry._replace(previous_owner="", handover=handover)

    return with_changed_entries(value, service, starts, release)


def raise_fencing_tokens(
    value: TableValue | None, service: str, starts: Iterable[int], fencing_token: int
) -> ProposedTable:
    """The table with a new fencing token for those slices that still have this one: their worker has seen a
    higher one.
    """

    def raise_token(entry: SliceEntry, version: int) -> SliceEntry | None:
        return entry._replace(fencing_token=version) if entry.fencing_token == fencing_token else None

    return with_changed_entries(value, service, starts, raise_token)
