"""Holds this proxy's copy of the slice table, and looks up the slice of a key. No I/O.

Invariant: the table never goes back to an older version within the life of a process.
"""

from bisect import bisect_right

from ..common.messages import TableUpdate
from ..common.rollouts import RolloutState
from ..common.slice_table import FENCING_TOKEN, readers_with_versions, sorted_first_keys


class SliceLookup:
    """The newest slice table that this proxy has received.

    table: entries by service and first key. starts: the sorted first keys of each service's slices. version:
    the table's version, 0 before the first table. drain_steps: by instance id, the step of each worker in an
    operator's drain plan. rollouts: the last rollout of each service that had one.
    """

    def __init__(self) -> None:
        self.table: dict[str, dict[str, list]] = {}
        self.starts: dict[str, list[int]] = {}
        self.version = 0
        self.drain_steps: dict[str, str] = {}
        self.rollouts: dict[str, RolloutState] = {}

    def apply(self, update: TableUpdate) -> bool:
        """Apply an update: a complete table, or the changes since the version `update.base`.

        Returns False if the update is based on a newer version than this proxy has. An update that is not
        newer than the table is ignored and counts as applied.
        """
        if update.version <= self.version:
            return True
        if update.base is None:
            self.table = update.services
            self.starts = {service: sorted_first_keys(entries) for service, entries in self.table.items()}
        elif update.base > self.version:
            return False
        else:
            for service, changes in update.services.items():
                self._update_entries(service, changes)
        self.version = update.version
        if update.drain_steps is not None:
            self.drain_steps = update.drain_steps
        if update.rollouts is not None:
            self.rollouts = {service: RolloutState.from_row(row) for service, row in update.rollouts.items()}
        return True

    def _update_entries(self, service: str, changes: dict[str, list]) -> None:
        entries = self.table.setdefault(service, {})
        new_slices = changes.keys() - entries.keys()
        entries.update(changes)
        if new_slices:
            self.starts[service] = sorted_first_keys(entries)

    def entry(self, service: str, key: int) -> list | None:
        """Return the entry of the slice that contains a key, or None if the service has no slices yet."""
        starts = self.starts.get(service)
        return self.table[service][str(starts[bisect_right(starts, key) - 1])] if starts else None

    def fencing_token(self, service: str, key: int | None) -> int | None:
        """Return the fencing token of a key's lease, or None if there is no key or no slice."""
        entry = self.entry(service, key) if key is not None else None
        return entry[FENCING_TOKEN] if entry else None

    def replica_holders(self, service: str, key: int) -> set[str]:
        """Return the workers that may hold read replicas of a key according to this table."""
        entry = self.entry(service, key)
        return set(readers_with_versions(entry)) if entry else set()
