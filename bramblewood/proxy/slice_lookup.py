"""The slice table as this proxy follows it: which slice a key lies in, and what its entry says. Pure.

Invariant: the table never goes back to an older version within the life of a process.
"""

from bisect import bisect_right

from ..common.messages import TableUpdate
from ..common.slice_table import FENCING_TOKEN, all_readers, sorted_starts


class SliceLookup:
    """The newest slice table known here.

    table: entries by service and first key. version: of the table; 0 before the first. drain_steps: by
    instance id, the step of a worker that an operator's drain plan names.
    """

    def __init__(self) -> None:
        self.table: dict[str, dict[str, list]] = {}
        self.starts: dict[str, list[int]] = {}  # by service, the slices' first keys in order
        self.version = 0
        self.drain_steps: dict[str, str] = {}

    def apply(self, update: TableUpdate) -> bool:
        """Take in a table, or the difference to an older one; false where that one is newer than ours."""
        if update.version <= self.version:
            return True
        if update.base is None:
            self.table = update.services
            self.starts = {service: sorted_starts(entries) for service, entries in self.table.items()}
        elif update.base > self.version:
            return False
        else:
            for service, changes in update.services.items():
                self._update_entries(service, changes)
        self.version = update.version
        if update.leaving is not None:
            self.drain_steps = update.leaving
        return True

    def _update_entries(self, service: str, changes: dict[str, list]) -> None:
        entries = self.table.setdefault(service, {})
        new_slices = changes.keys() - entries.keys()
        entries.update(changes)
        if new_slices:
            self.starts[service] = sorted_starts(entries)

    def entry(self, service: str, key: int) -> list | None:
        """The entry of the slice that this key lies in; None where the service has no table yet."""
        starts = self.starts.get(service)
        return self.table[service][str(starts[bisect_right(starts, key) - 1])] if starts else None

    def fencing_token(self, service: str, key: int | None) -> int | None:
        """The fencing token under which a key is leased by this table; None where there is no key."""
        entry = self.entry(service, key) if key is not None else None
        return entry[FENCING_TOKEN] if entry else None

    def replica_holders(self, service: str, key: int) -> set[str]:
        """The workers that may hold read replicas of a key, by this table."""
        entry = self.entry(service, key)
        return set(all_readers(entry)) if entry else set()
