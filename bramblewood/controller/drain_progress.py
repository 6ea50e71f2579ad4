"""Progress of drain plans: when a worker's next step and a plan's next wave are due.

This module does no I/O and reads no clock.

Each controller has one `DrainProgress`, so that every controller can continue the plans. The coordinator
proposes the changes. A step requires the confirmations of all proxies, with two special cases:

- A disconnected proxy still follows its last table. It counts as a sender of work until the longest key lease
  on which it relies has expired. Afterwards the workers reject its requests.
- A controller that has just started may not know all proxies. It waits for the same time before it plans any
  step, except the last step of a worker that has ended.

A plan drains its workers in waves. The next wave begins when two conditions hold:

- By the figures of the placement, the remaining workers have enough capacity for the load.
- WAVE_INTERVAL s have passed since the last wave ended, so that the proxies have reported since.
"""

from collections.abc import Collection, Iterable, Mapping
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

# s between two waves; each proxy sends five reports in this time, one every 0.5 s, and the last one arrives
WAVE_INTERVAL = 3.0
# s for which a wave waits for capacity before its plan is stopped; long enough for a burst of load to pass
MAX_CAPACITY_WAIT = 20.0
UNKNOWN_PROXIES = "?"  # stands for the proxies that a recently started controller may not know
NOT_ENOUGH_CAPACITY = "what stays would not carry the load"  # reason of a stopped plan, as stored


class WorkInFlight(NamedTuple):
    """The work that a proxy has in flight at a worker.

    `idempotent` and `non_idempotent` are numbers of requests. Keys that are bound to the worker count as
    non-idempotent requests. `oldest_age` is in s.
    """

    idempotent: int
    non_idempotent: int
    oldest_age: float


class ProxyReport(NamedTuple):
    """The last report of a proxy: the version of the table that it follows, and its work by instance id."""

    table_version: int
    work_in_flight: dict[str, WorkInFlight]


class ServiceCapacity(NamedTuple):
    """The number of busy slots of a service, and the slots of each usable worker by instance id.

    A worker that is warming up has only the slots that it can already use.
    """

    busy_slots: float
    slots: dict[str, float]


class DrainProgress:
    """Collects the reports of the proxies, and plans the next change of the drain plans."""

    def __init__(self, disconnect_timeout: float) -> None:
        """disconnect_timeout: s for which a disconnected proxy counts as a sender of work."""
        self._disconnect_timeout = disconnect_timeout
        self._observing_since: float | None = None
        self._last_connected_at: dict[str, float] = {}  # last time at which each proxy had a session
        self._reports: dict[str, ProxyReport] = {}
        self._idle_since: dict[str, float] = {}  # by plan: time since which no worker of it is being drained
        self._waiting_since: dict[str, float] = {}  # by plan: time since which its next wave lacks capacity

    def record_connected_proxies(self, now: float, proxies: Collection[str]) -> None:
        """Record that these proxies have sessions now. Every controller calls this regularly."""
        self._observing_since = now if self._observing_since is None else self._observing_since
        self._last_connected_at.update(dict.fromkeys(proxies, now))

    def forget_report(self, proxy: str) -> None:
        """Drop the report of a proxy that connects, because it may have been restarted since."""
        self._reports.pop(proxy, None)

    def record_report(self, proxy: str, table_version: int, work_in_flight: Mapping[str, list[Any]]) -> None:
        """Record a report. work_in_flight: fields of `WorkInFlight`, by instance id of workers in plans."""
        work = {instance_id: WorkInFlight(*fields) for instance_id, fields in work_in_flight.items()}
        self._reports[proxy] = ProxyReport(table_version, work)

    def connected_proxies(self, now: float, disconnect_timeout: float | None = None) -> list[str]:
        """Return the proxies that have had a session within `disconnect_timeout` s, sorted.

        The default is the time-out of drain plans.
        """
        timeout = self._disconnect_timeout if disconnect_timeout is None else disconnect_timeout
        return sorted(
            proxy
            for proxy, last_connected_at in self._last_connected_at.items()
            if now < last_connected_at + timeout
        )

    def unconfirmed_proxies(
        self, now: float, table_version: int, disconnect_timeout: float | None = None
    ) -> list[str]:
        """Return the proxies that may follow an older table, and may send work that this version forbids.

        The result contains `UNKNOWN_PROXIES` if this controller may not know all proxies.

        disconnect_timeout: s for which a disconnected proxy counts; by default the time-out of drain plans.
        """
        timeout = self._disconnect_timeout if disconnect_timeout is None else disconnect_timeout
        no_report = ProxyReport(0, {})
        unconfirmed = [
            proxy
            for proxy in self.connected_proxies(now, timeout)
            if self._reports.get(proxy, no_report).table_version < table_version
        ]
        knows_all_proxies = self._observing_since is not None and now >= self._observing_since + timeout
        return unconfirmed if knows_all_proxies else [*unconfirmed, UNKNOWN_PROXIES]

    def work_in_flight(self, now: float, instance_id: str) -> dict[str, WorkInFlight]:
        """Return the work in flight at a worker, by proxy.

        The last report of a disconnected proxy counts for `disconnect_timeout` s.
        """
        return {
            proxy: report.work_in_flight[instance_id]
            for proxy, report in self._reports.items()
            if instance_id in report.work_in_flight
            and now < self._last_connected_at.get(proxy, now) + self._disconnect_timeout
        }

    def has_work_in_flight(self, now: float, instance_ids: Iterable[str], disconnect_timeout: float) -> bool:
        """Return whether a proxy with a session within `disconnect_timeout` s has work at these workers."""
        workers = set(instance_ids)
        return any(
            not workers.isdisjoint(self._reports[proxy].work_in_flight)
            for proxy in self.connected_proxies(now, disconnect_timeout)
            if proxy in self._reports
        )

    @staticmethod
    def owns_keys(value: TableValue, instance_id: str) -> bool:
        """Whether a slice has this worker as its owner, or as the previous owner that must release it."""
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
        """Return the next change of the plans, or None if none is due.

        Args:
            value: the newest value of the agreed table that this controller knows.
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
        return lambda current_value: advance_plans(current_value, step_changes, plan_ends)

    def _next_step(
        self, now: float, value: TableValue, instance_id: str, drain: WorkerDrain, registry: WorkerRegistry
    ) -> str | None:
        """Return the step that a worker's drain can take now, or None."""
        registration = registry.registrations.get(instance_id)
        if drain.step != OUT_OF_SERVICE and (registration is None or registration.phase == GONE):
            return OUT_OF_SERVICE  # the worker ended before its drain
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
        """Return the workers whose drain can begin now, and the end of the plan if it ends now."""
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
    """Return the first candidates, as many as can be drained while the service keeps enough capacity.

    The busy slots must not exceed `CAPACITY_LIMIT` of the remaining slots. Workers whose drain has begun do
    not count as remaining. The result is empty if the capacity is not known (None).
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
