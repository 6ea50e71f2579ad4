"""The roll of workers: a mergeable map of registrations, kept by every archive and every desk.

A row is (service, address, zone, slots, phase, call number). Of two rows of one life the one with the higher
call number stands; of equal ones the later phase (ready, draining, gone). "Gone" is final. When a worker was
last heard travels as an age, never as a time of day.

The last call of a life that an archive has never heard of makes a row without an address. It is gone like any
other, and takes what it lacks from any row of that life, whichever comes first.
"""

from typing import Any, NamedTuple

READY, DRAINING, GONE = "ready", "draining", "gone"
PHASE_ORDER = {READY: 0, DRAINING: 1, GONE: 2}
GONE_RETENTION = (
    600.0  # s that a worker that is gone stays on the roll, so that a late word of it changes nothing
)

# names of a registration's fields on the operators' pages, in order
VIEW_KEYS = ("service", "address", "zone", "slots", "phase", "seq", "cold", "revision")


class WorkerRegistration(NamedTuple):
    service: str
    address: str
    zone: str
    slots: int
    phase: str
    call_sequence: int
    warm_up_left: float = 0.0  # s that it was still slow when this was said
    revision: str = ""  # of its software

    def to_view(self) -> dict[str, Any]:
        """The fields by their names on the operators' pages (`/view/roll`, `--json`)."""
        return dict(zip(VIEW_KEYS, self, strict=True))

    @classmethod
    def from_view(cls, view: dict[str, Any]) -> "WorkerRegistration":
        """The inverse of `to_view`; other keys of the page are left out."""
        return cls(*(view[key] for key in VIEW_KEYS))

    def precedence(self) -> tuple:
        return (self.phase == GONE, self.call_sequence, PHASE_ORDER.get(self.phase, 0))


class WorkerRegistry:
    def __init__(self) -> None:
        self.registrations: dict[str, WorkerRegistration] = {}
        self.last_heard: dict[str, float] = {}  # when a life was last heard to live, steady clock
        self.changed_at: dict[str, float] = {}  # when its row last changed phase, here
        self.warm_at: dict[str, float] = {}
        self.instance_by_address: dict[str, str] = {}  # by address: the life that was registered there last

    def record(self, now: float, instance_id: str, row: WorkerRegistration, age: float = 0.0) -> bool:
        """Take a row; true if the phase, the address or the slots that others should know of have changed."""
        old = self.registrations.get(instance_id)
        if row.phase != GONE:
            self.last_heard[instance_id] = max(self.last_heard.get(instance_id, 0.0), now - age)
        if old is not None and row.precedence() <= old.precedence():
            if row.address and not old.address:
                self.registrations[instance_id] = row._replace(phase=GONE, call_sequence=old.call_sequence)
            return False
        if old is not None and not row.address:
            row = old._replace(phase=GONE, call_sequence=row.call_sequence)
        self.registrations[instance_id] = row
        news = old is None or (old.phase, old.address, old.slots) != (row.phase, row.address, row.slots)
        if news:
            self.changed_at[instance_id] = now
            self.warm_at[instance_id] = now + row.warm_up_left
            if row.phase != GONE:
                before = self.instance_by_address.get(row.address)
                if (
                    before is not None
                    and before != instance_id
                    and (was := self.registrations.get(before))
                    and was.phase != GONE
                ):
                    # of two lives at one address the one that was heard last is the newer
                    older = (
                        instance_id
                        if self.last_heard.get(before, 0.0) > self.last_heard[instance_id]
                        else before
                    )
                    self.registrations[older] = self.registrations[older]._replace(phase=GONE)
                    self.changed_at[older] = now
                    if older == instance_id:
                        return True
                self.instance_by_address[row.address] = instance_id
        return news

    def record_all(
        self, now: float, rows: dict[str, list], ages: dict[str, float] | None = None
    ) -> tuple[dict[str, list], dict[str, list]]:
        """Rows that another manager sent; ages: how long ago it heard of them, 0 s where that is not told.
        Those that were news here, and of workers that leave those that it has an older word of.
        """
        ages = ages or {}
        taken = [
            instance_id
            for instance_id, row in rows.items()
            if self.record(now, instance_id, WorkerRegistration(*row), ages.get(instance_id, 0.0))
        ]
        news = {instance_id: [*self.registrations[instance_id]] for instance_id in taken}
        ours = {instance_id: self.registrations[instance_id] for instance_id in rows}
        newer = {
            instance_id: [*row]
            for instance_id, row in ours.items()
            if row.phase != READY and row.precedence() > WorkerRegistration(*rows[instance_id]).precedence()
        }
        return news, newer

    def departing_registrations(self, since: float = 0.0) -> dict[str, list]:
        """The rows of workers that leave or have gone, as they travel; since: those that changed after it."""
        return {
            instance_id: [*row]
            for instance_id, row in self.registrations.items()
            if row.phase != READY and self.changed_at.get(instance_id, 0.0) >= since
        }

    def record_last_heard(self, now: float, ages: dict[str, float]) -> None:
        """What another archive heard: how long ago each life spoke."""
        for instance_id, age in ages.items():
            if instance_id in self.registrations:
                self.last_heard[instance_id] = max(self.last_heard.get(instance_id, 0.0), now - age)

    def seconds_since_heard(self, now: float, within: float) -> dict[str, float]:
        return {
            instance_id: round(now - at, 2)
            for instance_id, at in self.last_heard.items()
            if now - at <= within
        }

    def timed_out(self, now: float, after: float) -> set[str]:
        """Lives that no archive has heard for so long though they did not take leave."""
        return {
            instance_id
            for instance_id, row in self.registrations.items()
            if row.phase != GONE and now - self.last_heard.get(instance_id, 0.0) > after
        }

    def ready_instances(self, service: str) -> list[str]:
        return [
            instance_id
            for instance_id, row in self.registrations.items()
            if row.service == service and row.phase == READY
        ]

    def remove_expired(self, now: float) -> None:
        for instance_id in [
            instance_id
            for instance_id, row in self.registrations.items()
            if row.phase == GONE and now - self.changed_at.get(instance_id, 0.0) > GONE_RETENTION
        ]:
            for kept in (self.registrations, self.last_heard, self.changed_at, self.warm_at):
                kept.pop(instance_id, None)
