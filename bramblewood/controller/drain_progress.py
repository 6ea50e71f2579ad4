"""Progress of drain plans: when a worker's next step and a plan's next wave are due. Pure.

Each controller has one `DrainProgress`, so that any of them can carry the plans on; the coordinator proposes
the changes. A step rests on what every proxy has confirmed. A proxy that is cut off counts as still sending
until the longest key lease behind it has run out: it follows its last table for as long as that lasts, and
from then on workers reject what it sends. A controller that has just started may not have met all proxies,
and waits as long before any step but that of a worker that has ended.

A plan goes in waves. Each begins once the workers that remain can carry the load, by the placement's own
figures, and the proxies have reported since the last one was over.
"""

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

from ..common.slice_table import (
    DRAIN_ANNOUNCED,
    DRAIN_IN_PROGRESS,
    DRAINED,
    OUT_OF_SERVICE,
    PREVIOUS_OWNER,
    WORKER,
)
from ..common.worker_registry import GONE, WorkerRegistry
from ..policy.parameters import CAPACITY_LIMIT
from .drain_plans import (
    DONE,
    RUNNING,
    STOPPED,
    DrainPlan,
    PlanEnd,
    StepChange,
    WorkerDrain,
    advance_plans,
    plans_of,
    worker_drains_of,
)
from .table_changes import TableChange, TableValue

# s after a wave until the next: five reports of half a second that have seen it, and their transit
WAVE_INTERVAL = 3.0
# s that a wave waits for capacity until its plan stops: many intervals, so that a burst may pass
MAX_CAPACITY_WAIT = 20.0
UNKNOWN_PROXIES = "?"  # stands for proxies that a controller which has just started may not have met
NOT_ENOUGH_CAPACITY = "what stays would not carry the load"  # why a plan stopped, as stored


class WorkInFlight(NamedTuple):
    """What a proxy has in flight at a worker: lookups, effects, and the age of the oldest (s)."""

    lookups: int
    effects: int
    oldest: float


class ProxyReport(NamedTuple):
    """What a proxy last said: the version of the table that it follows, and its work in flight by worker."""

    table_version: int
    work: dict[str, WorkInFlight]


class ServiceCapacity(NamedTuple):
    """How many slots of a service's workers are busy, and the slots of each usable worker. A worker that
    warms up counts with the slots that it surely has.
    """

    busy_slots: float
    slots: dict[str, float]


class DrainProgress:
    """What proxies reported to this controller, and the next change of the drain plans."""

    def __init__(self, disconnect_timeout: float) -> None:
        """Args: disconnect_timeout: s that a proxy which is cut off counts as still sending."""
        self._disconnect_timeout = disconnect_timeout
        self._observing_since: float | None = None
        self._connected_at: dict[str, float] = {}  # when each proxy's session last stood
        self._reports: dict[str, ProxyReport] = {}
        self._idle_since: dict[str, float] = {}  # by plan: since when none of its workers is being drained
        self._waiting_since: dict[str, float] = {}  # by plan: since when its next wave lacks capacity

    def record_connected_proxies(self, now: float, proxies: Collection[str]) -> None:
        """Called each turn, at every controller, with the proxies whose sessions stand."""
        self._observing_since = now if self._observing_since is None else self._observing_since
        self._connected_at.update(dict.fromkeys(proxies, now))

    def forget_report(self, proxy: str) -> None:
        """Called as a proxy connects: it may have been restarted, so what it said before counts no more."""
        self._reports.pop(proxy, None)

    def record_report(self, proxy: str, table_version: int, work_in_flight: Mapping[str, list[Any]]) -> None:
        """Take in a proxy's report. work_in_flight: by worker in a plan, the fields of `WorkInFlight`."""
        work = {instance_id: WorkInFlight(*fields) for instance_id, fields in work_in_flight.items()}
        self._reports[proxy] = ProxyReport(table_version, work)

    def unconfirmed_proxies(self, now: float, table_version: int) -> list[str]:
        """Proxies that have not confirmed that they follow this version of the table, and so may still start
        work that it forbids; `UNKNOWN_PROXIES` where this controller may not have met all.
        """
        never_reported = ProxyReport(0, {})
        unconfirmed = sorted(
            proxy
            for proxy, connected_at in self._connected_at.items()
            if now < connected_at + self._disconnect_timeout
            and self._reports.get(proxy, never_reported).table_version < table_version
        )
        may_know_all = (
            self._observing_since is not None and now >= self._observing_since + self._disconnect_timeout
        )
        return unconfirmed if may_know_all else [*unconfirmed, UNKNOWN_PROXIES]

    def work_in_flight(self, now: float, instance_id: str) -> dict[str, WorkInFlight]:
        """What proxies have in flight at a worker, by proxy. Of one that is cut off its last report counts
        until `disconnect_timeout`.
        """
        return {
            proxy: report.work[instance_id]
            for proxy, report in self._reports.items()
            if instance_id in report.work
            and now < self._connected_at.get(proxy, now) + self._disconnect_timeout
        }

    @staticmethod
    def owns_keys(value: TableValue, instance_id: str) -> bool:
        """Whether a slice names this worker as its owner, or as the one that has yet to release it."""
        return any(
            instance_id in (entry[WORKER], entry[PREVIOUS_OWNER])
            for entries in value["s"].values()
            for entry in entries.values()
        )

    def next_change(
        self,
        now: float,
        value: TableValue | None,
        registry: WorkerRegistry,
        capacities: Mapping[str, ServiceCapacity],
    ) -> TableChange | None:
        """The next change of the plans, if one is due.

        Args:
            value: the agreed table's value as this controller knows it.
            capacities: by service, from the placement.
        """
        if value is None:
            return None
        drains = worker_drains_of(value)
        next_steps: dict[str, str] = {}
        for instance_id, drain in drains.items():
            if step := self._next_step(now, value, instance_id, drain, registry):
                next_steps[instance_id] = step
        plan_ends: dict[str, PlanEnd] = {}
        for name, plan in plans_of(value).items():
            if plan.state != RUNNING:
                continue
            wave, plan_end = self._next_wave(now, name, plan, drains, next_steps, capacities)
            next_steps |= dict.fromkeys(wave, DRAIN_IN_PROGRESS)
            if plan_end is not None:
                plan_ends[name] = plan_end
        if not next_steps and not plan_ends:
            return None
        step_changes = {
            instance_id: StepChange(step, drains[instance_id].version)
            for instance_id, step in next_steps.items()
        }
        return lambda standing: advance_plans(standing, step_changes, plan_ends)

    def _next_step(
        self, now: float, value: TableValue, instance_id: str, drain: WorkerDrain, registry: WorkerRegistry
    ) -> str | None:
        """The step that a worker's drain can take now, if any."""
        row = registry.registrations.get(instance_id)
        if drain.step != OUT_OF_SERVICE and (row is None or row.phase == GONE):
            return OUT_OF_SERVICE  # it ended early
        if drain.step not in (DRAIN_IN_PROGRESS, DRAINED) or self.unconfirmed_proxies(now, drain.version):
            return None
        if drain.step == DRAIN_IN_PROGRESS:
            return DRAINED
        if self.owns_keys(value, instance_id) or self.work_in_flight(now, instance_id):
            return None
        return OUT_OF_SERVICE

    def _next_wave(
        self,
        now: float,
        name: str,
        plan: DrainPlan,
        drains: Mapping[str, WorkerDrain],
        next_steps: Mapping[str, str],
        capacities: Mapping[str, ServiceCapacity],
    ) -> tuple[list[str], PlanEnd | None]:
        """The workers of a plan whose drain can begin now, and how the plan ends if it does."""
        steps = {
            instance_id: next_steps.get(instance_id, drain.step)
            for instance_id, drain in drains.items()
            if drain.plan == name
        }
        if any(step in (DRAIN_IN_PROGRESS, DRAINED) for step in steps.values()):
            self._idle_since.pop(name, None)
            return [], None
        announced = [
            instance_id for instance_id in plan.instance_ids if steps.get(instance_id) == DRAIN_ANNOUNCED
        ]
        if not announced:
            return [], PlanEnd(DONE, "")
        is_first_wave = OUT_OF_SERVICE not in steps.values()
        idle_since = self._idle_since.setdefault(name, now - (WAVE_INTERVAL if is_first_wave else 0.0))
        if now < idle_since + WAVE_INTERVAL:
            return [], None
        candidates = announced[: max(plan.wave_size, 1)]
        wave = dispensable_workers(capacities.get(plan.service), candidates, drains)
        if wave:
            self._waiting_since.pop(name, None)
            return wave, None
        if now >= self._waiting_since.setdefault(name, now) + MAX_CAPACITY_WAIT:
            return [], PlanEnd(STOPPED, NOT_ENOUGH_CAPACITY)
        return [], None


def dispensable_workers(
    capacity: ServiceCapacity | None, candidates: list[str], drains: Mapping[str, WorkerDrain]
) -> list[str]:
    """As many of the candidates, in turn, as the service can spare: what is busy now stays within
    `CAPACITY_LIMIT` of the remaining slots. Workers whose drain has begun count as away; nothing is known
    without `capacity`.
    """
    if capacity is None:
        return []
    remaining_slots = sum(
        slots
        for instance_id, slots in capacity.slots.items()
        if instance_id not in drains or drains[instance_id].step == DRAIN_ANNOUNCED
    )
    dispensable = []
    for instance_id in candidates:
        remaining_slots -= capacity.slots.get(instance_id, 0.0)
        if remaining_slots <= 0 or capacity.busy_slots > CAPACITY_LIMIT * remaining_slots:
            break
        dispensable.append(instance_id)
    return dispensable
