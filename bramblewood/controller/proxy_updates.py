"""What changed in the table since any recent version, as a message to a proxy that has that version. A state
machine without I/O.
"""

from collections import deque
from typing import NamedTuple

from ..common.messages import TableUpdate
from ..common.slice_table import DRAIN_IN_PROGRESS
from .drain_plans import drain_steps_of
from .outlier_detection import ejected_workers
from .value_diff import changed_keys

CHANGES_KEPT = 200  # changes of the table that a difference can be made of


class TableChange(NamedTuple):
    """What one newer table, as it was learned, changed."""

    base: int  # version before
    version: int
    first_keys: dict[str, list[str]]  # of the slices that changed, by service


class ProxyUpdates:
    """The newest table and its last changes."""

    def __init__(self) -> None:
        self.version, self.table = 0, {}
        self.leaving: dict[str, str] = {}  # workers in a drain plan, with their steps, and ejected ones
        self.leaving_changed_in = 0  # version
        self.changes: deque[TableChange] = deque(maxlen=CHANGES_KEPT)

    def learn_table(self, value: dict) -> None:
        """A newer table; a jump over versions counts as one change."""
        first_keys = {}
        for service, entries in value["s"].items():
            before = self.table.get(service, {})
            if entries is before:
                continue
            changed = [key for key in changed_keys(before, entries) if entries[key] != before.get(key)]
            if changed:
                first_keys[service] = changed
        leaving = {**dict.fromkeys(ejected_workers(value), DRAIN_IN_PROGRESS), **drain_steps_of(value)}
        if leaving != self.leaving:
            self.leaving, self.leaving_changed_in = leaving, value["n"]
        self.changes.append(TableChange(self.version, value["n"], first_keys))
        self.version, self.table = value["n"], value["s"]

    def message_since(self, version: int) -> TableUpdate | None:
        """The message that brings a proxy from this version to the newest; None where it has that."""
        if version >= self.version:
            return None
        later = [change for change in self.changes if change.version > version]
        if version <= 0 or not later or later[0].base > version:
            return TableUpdate(self.version, self.table, leaving=self.leaving)
        first_keys: dict[str, set[str]] = {}
        for change in later:
            for service, keys in change.first_keys.items():
                first_keys.setdefault(service, set()).update(keys)
        changed = {
            service: {key: self.table[service][key] for key in keys} for service, keys in first_keys.items()
        }
        leaving = self.leaving if self.leaving_changed_in > version else None
        return TableUpdate(self.version, changed, version, leaving)
