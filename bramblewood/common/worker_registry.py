"""The roll of workers: a mergeable map of registrations, kept by every archive and every desk.

A row is (service, address, zone, slots, phase, call number). Of two rows of one life the one with the higher
call number stands; of equal ones the later phase (ready, draining, gone). "Gone" is final. When a worker was
last heard travels as an age, never as a time of day.

The last call of a life that an archive has never heard of makes a row without an address. It is gone like any
other, and takes what it lacks from any row of that life, whichever comes first.
"""

from typing import NamedTuple

READY, DRAINING, GONE = "ready", "draining", "gone"
ORDER = {READY: 0, DRAINING: 1, GONE: 2}
KEPT = 600.0  # s that a worker that is gone stays on the roll, so that a late word of it changes nothing


class WorkerRegistration(NamedTuple):
    service: str
    address: str
    zone: str
    slots: int
    phase: str
    seq: int
    cold: float = 0.0  # s that it was still slow when this was said
    revision: str = ""  # of its software

    def rank(self) -> tuple:
        return (self.phase == GONE, self.seq, ORDER.get(self.phase, 0))


class WorkerRegistry:
    def __init__(self) -> None:
        self.rows: dict[str, WorkerRegistration] = {}
        self.heard: dict[str, float] = {}  # when a life was last heard to live, steady clock
        self.since: dict[str, float] = {}  # when its row last changed phase, here
        self.warm_at: dict[str, float] = {}
        self.homes: dict[str, str] = {}  # by address: the life that was registered there last

    def merge(self, now: float, instance_id: str, row: WorkerRegistration, age: float = 0.0) -> bool:
        """Take a row; true if the phase, the address or the slots that others should know of have changed."""
        old = self.rows.get(instance_id)
        if row.phase != GONE:
            self.heard[instance_id] = max(self.heard.get(instance_id, 0.0), now - age)
        if old is not None and row.rank() <= old.rank():
            if row.address and not old.address:
                self.rows[instance_id] = row._replace(phase=GONE, seq=old.seq)
            return False
        if old is not None and not row.address:
            row = old._replace(phase=GONE, seq=row.seq)
        self.rows[instance_id] = row
        news = old is None or (old.phase, old.address, old.slots) != (row.phase, row.address, row.slots)
        if news:
            self.since[instance_id] = now
            self.warm_at[instance_id] = now + row.cold
            if row.phase != GONE:
                before = self.homes.get(row.address)
                if (
                    before is not None
                    and before != instance_id
                    and (was := self.rows.get(before))
                    and was.phase != GONE
                ):
                    # of two lives at one address the one that was heard last is the newer
                    older = instance_id if self.heard.get(before, 0.0) > self.heard[instance_id] else before
                    self.rows[older] = self.rows[older]._replace(phase=GONE)
                    self.since[older] = now
                    if older == instance_id:
                        return True
                self.homes[row.address] = instance_id
        return news

    def take(
        self, now: float, rows: dict[str, list], ages: dict[str, float] | None = None
    ) -> tuple[dict[str, list], dict[str, list]]:
        """Rows that another manager sent; ages: how long ago it heard of them, 0 s where that is not told.
        Those that were news here, and of workers that leave those that it has an older word of.
        """
        ages = ages or {}
        taken = [
            instance_id
            for instance_id, row in rows.items()
            if self.merge(now, instance_id, WorkerRegistration(*row), ages.get(instance_id, 0.0))
        ]
        news = {instance_id: [*self.rows[instance_id]] for instance_id in taken}
        ours = {instance_id: self.rows[instance_id] for instance_id in rows}
        newer = {
            instance_id: [*row]
            for instance_id, row in ours.items()
            if row.phase != READY and row.rank() > WorkerRegistration(*rows[instance_id]).rank()
        }
        return news, newer

    def leaving(self, since: float = 0.0) -> dict[str, list]:
        """The rows of workers that leave or have gone, as they travel; since: those that changed after it."""
        return {
            instance_id: [*row]
            for instance_id, row in self.rows.items()
            if row.phase != READY and self.since.get(instance_id, 0.0) >= since
        }

    def listen(self, now: float, ages: dict[str, float]) -> None:
        """What another archive heard: how long ago each life spoke."""
        for instance_id, age in ages.items():
            if instance_id in self.rows:
                self.heard[instance_id] = max(self.heard.get(instance_id, 0.0), now - age)

    def ages(self, now: float, within: float) -> dict[str, float]:
        return {
            instance_id: round(now - at, 2) for instance_id, at in self.heard.items() if now - at <= within
        }

    def silent(self, now: float, after: float) -> set[str]:
        """Lives that no archive has heard for so long though they did not take leave."""
        return {
            instance_id
            for instance_id, row in self.rows.items()
            if row.phase != GONE and now - self.heard.get(instance_id, 0.0) > after
        }

    def serving(self, service: str) -> list[str]:
        return [
            instance_id
            for instance_id, row in self.rows.items()
            if row.service == service and row.phase == READY
        ]

    def forget(self, now: float) -> None:
        for instance_id in [
            instance_id
            for instance_id, row in self.rows.items()
            if row.phase == GONE and now - self.since.get(instance_id, 0.0) > KEPT
        ]:
            for kept in (self.rows, self.heard, self.since, self.warm_at):
                kept.pop(instance_id, None)
