"""The feed to the desks: what changed in the table since any version of late, and which desks are pushed to.
Pure.

A desk chooses one archive as its home, of its own zone where there is one: that one pushes all news at once.
From the others it gets pulses with version numbers, and whatever must not wait for one archive: workers that
leave.
"""

from collections import deque

from ..common.slice_table import DRAIN_IN_PROGRESS
from .drain_plans import drain_steps_of
from .outlier_detection import ejected_workers
from .value_diff import changed_keys

KEPT = 200  # changes of the table that a difference can be made of


class ProxyUpdates:
    def __init__(self) -> None:
        self.version, self.table = 0, {}
        self.leaving: dict[str, str] = {}  # workers in a plan, with their steps, and those that are ill
        self.left_at = 0  # the version that changed that last
        self.changes: deque[tuple[int, int, dict[str, list[str]]]] = deque(maxlen=KEPT)

    def learn_table(self, value: dict) -> None:
        """A newer table; a jump over versions counts as one change."""
        changes = {}
        for service, entries in value["s"].items():
            before = self.table.get(service, {})
            if entries is before:
                continue
            if found := [
                start for start in changed_keys(before, entries) if entries[start] != before.get(start)
            ]:
                changes[service] = found
        leaving = {**dict.fromkeys(ejected_workers(value), DRAIN_IN_PROGRESS), **drain_steps_of(value)}
        if leaving != self.leaving:
            self.leaving, self.left_at = leaving, value["n"]
        self.changes.append((self.version, value["n"], changes))
        self.version, self.table = value["n"], value["s"]

    def message_since(self, have: int) -> dict | None:
        """The message that brings a desk from version `have` to the newest; None where it has that."""
        if have >= self.version:
            return None
        late = [record for record in self.changes if record[1] > have]
        if have <= 0 or not late or late[0][0] > have:
            return {"k": "table", "n": self.version, "s": self.table, "w": self.leaving}
        starts: dict[str, set] = {}
        for _, _, changes in late:
            for service, some in changes.items():
                starts.setdefault(service, set()).update(some)
        changed = {s: {start: self.table[s][start] for start in some} for s, some in starts.items()}
        told = {"k": "table", "n": self.version, "base": have, "d": changed}
        return {**told, "w": self.leaving} if self.left_at > have else told
