"""Durable storage of the deregistrations that this controller has received.

A worker's `ready` call may arrive seconds late. Before it arrives, the same worker may have deregistered, and
a power cut may have ended all processes that held the deregistration in memory. A deregistration is therefore
acknowledged only after a majority of the voters has stored it. A controller that later contacts a majority
reaches at least one of these voters.

Invariant: a deregistration that `persist` reported as durable is in the registry of every later process on
this disk, for at least DEREGISTRATION_RETENTION seconds on that process's own clock. The retention is many
times the delay of a late call. It also bounds the number of stored rows.

Each worker has a fact of its own, so that a deregistration changes one row. All waiting writes are committed
in one transaction, so the release of hundreds of workers at once needs few transactions.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..common.worker_registry import PHASE_ORDER, READY, WorkerRegistration, WorkerRegistry
from .quorum_io import QuorumIO
from .runtime import Runtime

FACT_NAME_PREFIX = "departed/"  # precedes the instance id in the name of a fact
DEREGISTRATION_RETENTION = 120.0  # s
EXPIRY_INTERVAL = 30.0  # s between two searches for expired deregistrations


class DeregistrationStore:
    """Stores deregistrations, and restores them to the registry at a start.

    durable_phases: the newest durable phase of each worker, by instance id. stored_at: the time of the last
    write for each worker, in s on the controller's clock, by instance id.
    """

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO, registry: WorkerRegistry) -> None:
        self.runtime, self.quorum_io, self.registry = runtime, quorum_io, registry
        self.durable_phases: dict[str, str] = {}
        self.stored_at: dict[str, float] = {}
        self.next_expiry_at = 0.0

    def restore(self, facts: dict[str, Any]) -> None:
        """Records the stored deregistrations in the registry. Their retention restarts now."""
        now = self.runtime.now()
        for name, row in facts.items():
            if name.startswith(FACT_NAME_PREFIX):
                instance_id, registration = name.removeprefix(FACT_NAME_PREFIX), WorkerRegistration(*row)
                self.registry.record(now, instance_id, registration)
                self._mark_durable(instance_id, registration.phase)

    def persist(self, instance_ids: Iterable[str], on_durable: Callable[[], None]) -> None:
        """Stores the registry's deregistrations of these workers, and calls on_durable once they are durable.

        If the write fails, on_durable is not called, and the worker repeats its call.
        """
        phases = {instance_id: self.registry.registrations[instance_id].phase for instance_id in instance_ids}
        phases_to_store = {
            instance_id: phase
            for instance_id, phase in phases.items()
            if not self._is_durable(instance_id, phase)
        }
        if not phases_to_store:
            on_durable()
            return
        facts = {
            f"{FACT_NAME_PREFIX}{instance_id}": [*self.registry.registrations[instance_id]]
            for instance_id in phases_to_store
        }

        def mark_written() -> None:
            for instance_id, phase in phases_to_store.items():
                self._mark_durable(instance_id, phase)
            on_durable()

        self.quorum_io.write_facts(facts, mark_written)

    def remove_expired(self, now: float) -> None:
        """Deletes the deregistrations that were stored for DEREGISTRATION_RETENTION, in one write.

        Does nothing until EXPIRY_INTERVAL has passed since the last search.
        """
        if now < self.next_expiry_at:
            return
        self.next_expiry_at = now + EXPIRY_INTERVAL
        expired = [
            instance_id
            for instance_id, stored_at in self.stored_at.items()
            if now - stored_at > DEREGISTRATION_RETENTION
        ]
        if not expired:
            return

        def forget_expired() -> None:
            for instance_id in expired:
                self.stored_at.pop(instance_id, None)
                self.durable_phases.pop(instance_id, None)

        facts = dict.fromkeys(f"{FACT_NAME_PREFIX}{instance_id}" for instance_id in expired)
        self.quorum_io.write_facts(facts, forget_expired)

    def _is_durable(self, instance_id: str, phase: str) -> bool:
        """Returns whether this phase of a worker, or a later one, is durable.

        A worker that drains never becomes ready again. Its first deregistration therefore overrides every
        late `ready`, and a repeated deregistration needs no write.
        """
        durable_phase = self.durable_phases.get(instance_id, READY)
        return durable_phase != READY and PHASE_ORDER[durable_phase] >= PHASE_ORDER[phase]

    def _mark_durable(self, instance_id: str, phase: str) -> None:
        """Records that a phase of a worker is durable. An earlier phase does not replace a later one."""
        now = self.runtime.now()
        durable_phase = self.durable_phases.get(instance_id, READY)
        if PHASE_ORDER[phase] >= PHASE_ORDER[durable_phase]:
            self.durable_phases[instance_id] = phase
        self.stored_at[instance_id] = now
