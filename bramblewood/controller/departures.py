"""The deregistrations that this controller has on disk.

A worker's `ready` may come seconds late. Where all machines lose their power in between, no memory is left to
tell that the worker has been acknowledged as draining or gone since. So a deregistration is acknowledged only
once a majority of the voters has it on disk: whoever has contact with a majority later has met one of them.

Invariant: what `keep` reported as kept is in the registry of every later process on this disk, for
DEPARTURE_RETENTION s at least of each process's own time. That is many times what a late call takes, and ends
the storage of what is over: 2,400 ends a day leave some twenty rows.

A fact on disk for each worker, so that an end costs one row. What waits goes into one transaction with all
other writes that wait, so a release of hundreds at once costs few.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..common.worker_registry import PHASE_ORDER, READY, WorkerRegistration, WorkerRegistry
from .quorum_io import QuorumIO
from .runtime import Runtime

DEPARTURE_FACT_PREFIX = "departed/"  # before the instance id, in the name of a fact on disk
DEPARTURE_RETENTION = 120.0  # s
EXPIRY_INTERVAL = 30.0  # s between looks at what has expired


class Departures:
    """Writes deregistrations, and hands them to the registry at a start."""

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO, registry: WorkerRegistry) -> None:
        self.runtime, self.quorum_io, self.registry = runtime, quorum_io, registry
        self.kept_phases: dict[str, str] = {}  # by instance, of what is safe on disk
        self.kept_at: dict[str, float] = {}  # s, own clock
        self.next_expiry_at = 0.0

    def restore(self, facts: dict[str, Any]) -> None:
        """What an earlier process kept counts from now on."""
        now = self.runtime.now()
        for name, row in facts.items():
            if name.startswith(DEPARTURE_FACT_PREFIX):
                instance_id, registration = name.removeprefix(DEPARTURE_FACT_PREFIX), WorkerRegistration(*row)
                self.registry.record(now, instance_id, registration)
                self._mark_kept(instance_id, registration.phase)

    def keep(self, instance_ids: Iterable[str], on_kept: Callable[[], None]) -> None:
        """Have the registry's deregistrations of these workers on disk, then call on_kept. Not called where
        the disk refuses the write: the worker calls again.
        """
        phases = {instance_id: self.registry.registrations[instance_id].phase for instance_id in instance_ids}
        missing = {one: phase for one, phase in phases.items() if not self._is_kept(one, phase)}
        if not missing:
            on_kept()
            return
        facts = {f"{DEPARTURE_FACT_PREFIX}{one}": [*self.registry.registrations[one]] for one in missing}

        def written() -> None:
            for instance_id, phase in missing.items():
                self._mark_kept(instance_id, phase)
            on_kept()

        self.quorum_io.write_facts(facts, written)

    def remove_expired(self, now: float) -> None:
        """Forget what was kept for DEPARTURE_RETENTION, in one write."""
        if now < self.next_expiry_at:
            return
        self.next_expiry_at = now + EXPIRY_INTERVAL
        expired = [one for one, at in self.kept_at.items() if now - at > DEPARTURE_RETENTION]
        if not expired:
            return

        def removed() -> None:
            for instance_id in expired:
                self.kept_at.pop(instance_id, None)
                self.kept_phases.pop(instance_id, None)

        facts = dict.fromkeys(f"{DEPARTURE_FACT_PREFIX}{one}" for one in expired)
        self.quorum_io.write_facts(facts, removed)

    def _is_kept(self, instance_id: str, phase: str) -> bool:
        """Whether what is on disk says as much. A worker that drains is never ready again, so its first word
        stands against every late `ready`, and repeated ones need no write.
        """
        kept = self.kept_phases.get(instance_id, READY)
        return kept != READY and PHASE_ORDER[kept] >= PHASE_ORDER[phase]

    def _mark_kept(self, instance_id: str, phase: str) -> None:
        now = self.runtime.now()
        kept = self.kept_phases.get(instance_id, READY)
        if PHASE_ORDER[phase] >= PHASE_ORDER[kept]:
            self.kept_phases[instance_id] = phase
        self.kept_at[instance_id] = now
