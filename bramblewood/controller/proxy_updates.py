"""Updates of the slice table to the proxies: what changed since any recent version. Pure.

A proxy chooses one controller that pushes all updates to it at once, of its own zone where there is one. From
the others it gets heartbeats with version numbers, and whatever must not wait for one controller: workers
that are drained or ejected.
"""

from collections import deque
from typing import NamedTuple

from ..common.messages import TableUpdate
from ..common.slice_table import DRAIN_IN_PROGRESS, Row
from .drain_plans import drain_steps_of
from .outlier_detection import ejected_workers
from .table_changes import TableValue
from .value_diff import changed_keys

CHANGES_KEPT = 200  # changes of the table that an update can be made of


class TableStep(NamedTuple):
    """One step from a version to a later one: the first keys of what changed, by service."""

    from_version: int
    to_version: int
    changed_starts: dict[str, list[str]]


class ProxyUpdates:
    """The newest table that is known here, and its last changes."""

    def __init__(self) -> None:
        self.version = 0
        self.services: dict[str, dict[str, Row]] = {}  # rows by first key, by service
        # drain steps of workers in a plan; ejected ones as if their drain were in progress
        self.draining: dict[str, str] = {}
        self.draining_version = 0  # that changed it last
        self.changes: deque[TableStep] = deque(maxlen=CHANGES_KEPT)

    def learn_table(self, value: TableValue) -> None:
        """Take a newer table; a jump over versions counts as one change."""
        changed_starts = {}
        for service, entries in value["s"].items():
            known = self.services.get(service, {})
            if entries is known:
                continue
            starts = [start for start in changed_keys(known, entries) if entries[start] != known.get(start)]
            if starts:
                changed_starts[service] = starts
        ejected = dict.fromkeys(ejected_workers(value), DRAIN_IN_PROGRESS)
        draining = {**ejected, **drain_steps_of(value)}
        if draining != self.draining:
            self.draining, self.draining_version = draining, value["n"]
        self.changes.append(TableStep(self.version, value["n"], changed_starts))
        self.version, self.services = value["n"], value["s"]

    def message_since(self, known: int) -> TableUpdate | None:
        """The message that brings a proxy from version `known` to the newest; None where it has that.

        It holds the whole table where the changes since are not all kept here.
        """
        if known >= self.version:
            return None
        steps = [step for step in self.changes if step.to_version > known]
        if known <= 0 or not steps or steps[0].from_version > known:
            return TableUpdate(self.version, self.services, leaving=self.draining)
        starts: dict[str, set[str]] = {}
        for step in steps:
            for service, changed in step.changed_starts.items():
                starts.setdefault(service, set()).update(changed)
        rows = {
            service: {start: self.services[service][start] for start in changed}
            for service, changed in starts.items()
        }
        draining = self.draining if self.draining_version > known else None
        return TableUpdate(self.version, rows, known, draining)
