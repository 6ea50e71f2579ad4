"""Progress of rollouts: when the coordinator proposes the next phase.

    RUNNING -> SWITCHING    the evidence shows no difference, and enough time was watched
    RUNNING -> REVERTED     the evidence shows that the version is bad, or there is no decision near the term
    SWITCHING -> COMPLETE   no proxy sends to the old workers, none has work there, and they own no keys
    SWITCHING -> REVERTED   the evidence of the whole load shows that the version is bad

Times count from the moment at which this controller learned of the order, by its own steady clock. One that
learned of it late, for example after a restart, adds the time that was stored with the rollout last and the
longest time between two such updates. After a loss of all controllers the sum may be too small by the time
for which they were down: a decision then comes too late for the term, and is none the less correct.

This module does no I/O and reads no clock.
"""

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

from ..common.rollout_counts import RolloutCounts
from ..common.rollouts import COMPLETE, REVERTED, RUNNING, SWITCHING
from ..common.worker_registry import GONE, WorkerRegistry
from ..policy.parameters import CAPACITY_LIMIT
from .drain_progress import DrainProgress, ServiceCapacity
from .rollout_evidence import RolloutEvidence, Verdict
from .rollouts import Rollout, RolloutUpdate, rollout_view, rollouts_of
from .table_changes import TableValue

# fractions of the time until the term: watching until then, the last moment for a switch, and the end of a
# trial without a verdict, so that the controllers have agreed on it by the term
WATCH_FRACTION, LAST_SWITCH_FRACTION, END_FRACTION = 0.6, 0.85, 0.95
SUFFICIENT_SLOTS_FRACTION = 0.9  # of the old workers' slots, with which the new ones carry the same load
# s for which the trial is watched at least; the workers may turn bad some seconds after their start
MIN_WATCH_TIME = 4.0
ELAPSED_UPDATE_INTERVAL = 1.0  # s between two updates of the stored time since the order
# s after its session for which a proxy counts as sending to the old workers. Later it is out of touch, and
# the old workers reject its requests once they have stopped.
PROXY_DISCONNECT_TIMEOUT = 2.0
OLD_EXCLUSION_TIME = 15.0  # s after completion for which old workers get no requests; they stop in this time


class RolloutProgress:
    """One controller's clock and evidence of all rollouts, and the changes that it plans."""

    def __init__(self, drain_progress: DrainProgress) -> None:
        self.drain_progress = drain_progress
        # by service: the order's version, the time at which it was learned, and the s since the order then
        self._learned: dict[str, tuple[int, float, float]] = {}
        self._phase_since: dict[str, tuple[int, float]] = {}  # by service: the phase's version and time
        self._evidence: dict[str, RolloutEvidence] = {}
        # by service: when the first attempt of the trial was reported
        self._trial_since: dict[str, float] = {}

    def record_table(self, now: float, table: TableValue) -> None:
        """Record when this controller learned of each rollout and its phase; called with each newer table."""
        for service, rollout in rollouts_of(table).items():
            learned = self._learned.get(service)
            if learned is None or learned[0] != rollout.ordered_at:
                is_new = table["n"] == rollout.ordered_at
                elapsed = 0.0 if is_new else rollout.elapsed + ELAPSED_UPDATE_INTERVAL
                self._learned[service] = (rollout.ordered_at, now, elapsed)
                self._evidence[service] = RolloutEvidence(rollout.ordered_at)
                self._trial_since.pop(service, None)
            if self._phase_since.get(service, (0, 0.0))[0] != rollout.phase_version:
                self._phase_since[service] = (rollout.phase_version, now)

    def record_counts(self, now: float, proxy: str, rows: Mapping[str, list]) -> None:
        """Record the counts in a proxy's load report: rows of `RolloutCounts` by service."""
        for service, row in rows.items():
            evidence = self._evidence.get(service)
            if evidence is not None:
                evidence.record(now, proxy, RolloutCounts.from_row(row))
                if service not in self._trial_since and evidence.target_attempts:
                    self._trial_since[service] = now

    def elapsed(self, now: float, service: str) -> float:
        """Return the time (s) since the order of the service's last rollout, as far as it is known here."""
        _, learned_at, elapsed = self._learned[service]
        return elapsed + now - learned_at

    def verdict(self, now: float, service: str, phase: str) -> Verdict:
        """Return the verdict on the service's rollout by the evidence that this controller has."""
        proxies = self.drain_progress.connected_proxies(now, PROXY_DISCONNECT_TIMEOUT)
        return self._evidence[service].verdict(now, proxies, judges_lateness=phase == RUNNING)

    def view(self, now: float, table: TableValue | None) -> dict[str, dict[str, Any]]:
        """Return all rollouts by service with this controller's evidence, as operators' views show them."""
        return {
            service: {
                **rollout_view(rollout),
                "elapsed": round(self.elapsed(now, service), 2) if service in self._learned else None,
                "routes": self._evidence[service].view() if service in self._evidence else {},
            }
            for service, rollout in rollouts_of(table).items()
        }

    def next_updates(
        self,
        now: float,
        table: TableValue,
        registry: WorkerRegistry,
        capacities: Mapping[str, ServiceCapacity],
        keyed_services: Collection[str],
    ) -> dict[str, RolloutUpdate]:
        """Return the changes of rollouts that are due, by service.

        Args:
            capacities: by service, from the placement.
            keyed_services: the services whose slices have one owner at a time.
        """
        updates = {}
        for service, rollout in rollouts_of(table).items():
            if service not in self._learned:
                continue
            situation = RolloutSituation(
                now, service, rollout, table, registry, capacities.get(service), service in keyed_services
            )
            if rollout.phase == RUNNING:
                update = self._next_of_trial(situation)
            elif rollout.phase == SWITCHING:
                update = self._next_of_switch(situation)
            else:
                update = self._end_of_exclusion(situation)
            if update is not None:
                updates[service] = update
        return updates

    def _update(self, now: float, service: str, rollout: Rollout, phase: str, reason: str) -> RolloutUpdate:
        elapsed = round(self.elapsed(now, service), 2)
        return RolloutUpdate(rollout.ordered_at, rollout.phase, phase, elapsed, reason)

    def _enter(self, situation: "RolloutSituation", phase: str, reason: str) -> RolloutUpdate:
        return self._update(situation.now, situation.service, situation.rollout, phase, reason)

    def _store_elapsed(self, situation: "RolloutSituation", reason: str) -> RolloutUpdate | None:
        """Return the update that stores the time since the order, if it is due."""
        elapsed = self.elapsed(situation.now, situation.service)
        if elapsed < situation.rollout.elapsed + ELAPSED_UPDATE_INTERVAL:
            return None
        return self._enter(situation, situation.rollout.phase, reason)

    def _next_of_trial(self, situation: "RolloutSituation") -> RolloutUpdate | None:
        now, service, duration = situation.now, situation.service, situation.rollout.duration
        verdict, elapsed = self.verdict(now, service, RUNNING), self.elapsed(now, service)
        if verdict.is_bad:
            return self._enter(situation, REVERTED, verdict.reason)
        if elapsed >= END_FRACTION * duration:
            reason = "the service is divided by key" if situation.is_keyed else verdict.reason
            return self._enter(situation, REVERTED, f"no decision by the term: {reason}")
        watched = now - self._trial_since.get(service, now)
        is_time = (
            WATCH_FRACTION * duration <= elapsed <= LAST_SWITCH_FRACTION * duration
            and watched >= MIN_WATCH_TIME
        )
        reason = verdict.reason
        if verdict.is_good and is_time:
            if situation.can_carry_load():
                return self._enter(situation, SWITCHING, reason)
            reason = f"too few warm workers; {reason}"
        return self._store_elapsed(situation, reason)

    def _next_of_switch(self, situation: "RolloutSituation") -> RolloutUpdate | None:
        verdict = self.verdict(situation.now, situation.service, SWITCHING)
        if verdict.is_bad:
            return self._enter(situation, REVERTED, f"while switching: {verdict.reason}")
        if self._is_switched(situation):
            return self._enter(situation, COMPLETE, verdict.reason)
        return self._store_elapsed(situation, "")

    def _is_switched(self, situation: "RolloutSituation") -> bool:
        """Return whether nothing is left at the old workers, so that they may be stopped."""
        progress, now = self.drain_progress, situation.now
        if progress.unconfirmed_proxies(now, situation.rollout.phase_version, PROXY_DISCONNECT_TIMEOUT):
            return False
        old_workers = situation.old_workers()
        if progress.has_work_in_flight(now, old_workers, PROXY_DISCONNECT_TIMEOUT):
            return False
        return not situation.is_keyed or not any(
            progress.owns_keys(situation.table, worker) for worker in old_workers
        )

    def _end_of_exclusion(self, situation: "RolloutSituation") -> RolloutUpdate | None:
        """Return the change that lets workers of other versions serve again, some time after completion."""
        rollout = situation.rollout
        _, phase_since = self._phase_since[situation.service]
        is_over = situation.now >= phase_since + OLD_EXCLUSION_TIME
        if rollout.phase != COMPLETE or not rollout.excludes_old or not is_over:
            return None
        return self._enter(situation, COMPLETE, "")._replace(excludes_old=False)


class RolloutSituation(NamedTuple):
    """A rollout of one service, and what its next phase depends on besides the evidence.

    `capacity` is None if the placement does not know it. `is_keyed` is whether the service's slices have one
    owner at a time.
    """

    now: float
    service: str
    rollout: Rollout
    table: TableValue
    registry: WorkerRegistry
    capacity: ServiceCapacity | None
    is_keyed: bool

    def old_workers(self) -> list[str]:
        """Return the service's workers of other versions that are not gone."""
        return [
            instance_id
            for instance_id, registration in self.registry.registrations.items()
            if registration.service == self.service
            and registration.phase != GONE
            and registration.revision != self.rollout.target_version
        ]

    def can_carry_load(self) -> bool:
        """Return whether the warm workers of the target version can serve the whole load.

        They can if they have about as many slots as the old ones, or slots enough for what is busy now.
        """
        target_slots = old_slots = 0
        for instance_id in self.registry.ready_instances(self.service):
            registration = self.registry.registrations[instance_id]
            if registration.revision != self.rollout.target_version:
                old_slots += registration.slots
            elif self.registry.is_warm(self.now, instance_id):
                target_slots += registration.slots
        if not target_slots:
            return False
        if target_slots >= SUFFICIENT_SLOTS_FRACTION * old_slots:
            return True
        return self.capacity is not None and self.capacity.busy_slots <= CAPACITY_LIMIT * target_slots
