"""Plans the placement of one service with the policy's manager.

The manager assumes that its decisions take effect at once. In fact the controllers must agree on them first.
Before each decision, the manager therefore receives, as events, the differences between the agreed table and
the assignments that it holds, and the changes of the worker registry. Its decisions are returned as changes
for the controllers to agree on. The module does no I/O and reads no clock.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ... import events
from ...common.slice_table import Row
from ...policy.manager import Manager
from ...policy.parameters import LONG_AGO
from ...policy.slices import Slice
from ...policy_mechanisms.averages import mean
from ...startup_settings import Operation, StartupSettings
from ..drain_progress import ServiceCapacity
from ..hot_keys import HotKeyStatus
from ..zone_affinity import WorkerUtilization, ZoneAffinity
from .rebalancing import Rebalancer
from .replica_placement import replica_changes
from .service_load import REPORT_CYCLE, ServiceLoad
from .slice_changes import Assignment, SliceChanges, initial_rows
from .worker_loads import WorkerLoads

# s of slow start after an ejection by the policy, while no worker has reported a longer warm-up
DEFAULT_WARM_UP = 1.0
# fraction of its capacity that a new worker is assumed to have; workers report how long they warm up, but not
# how slow they are
SLOW_START_CAPACITY = 0.5
# seed of the manager's random draws; the recorded simulation runs depend on this text
MANAGER_SEED = "office:{service}"


class WorkerStatus(NamedTuple):
    """The status of a worker as the manager receives it.

    `state` is one of the worker states of `events`. `warm_at` is the time at which the worker's slow start
    ends or ended; None if it had none.
    """

    state: str
    slots: float
    zone: str
    warm_at: float | None


class ServiceWorkers(NamedTuple):
    """The status of each worker of a service by instance id, and the longest warm-up (s) that is left."""

    statuses: dict[str, WorkerStatus]
    longest_warm_up: float


class ServicePlacement:
    """The manager of one service, and the workers and assignments that the manager holds."""

    def __init__(
        self, service: str, keyed: bool, slice_count: int, latency_target: float, detects_hot_keys: bool
    ) -> None:
        """Create a placement that has received no reports.

        Args:
            keyed: whether the slices have one owner at a time.
            latency_target: s, the shortest of the service's routes.
        """
        self.keyed = keyed
        self.zone_affinity = ZoneAffinity()
        self._settings = StartupSettings(
            slices=slice_count,
            managers=1,
            load_balancing="pair",
            single_owner=keyed,
            cycle=REPORT_CYCLE,
            load_fields=["utilization", "queued"],
            slow_start_window=DEFAULT_WARM_UP,
            slow_start_minimum=SLOW_START_CAPACITY,
            default_retry=events.RETRY_UNSTARTED,
            operations=[Operation(latency_objective=latency_target, billed_value=1.0)],
        )
        self._manager = Manager(MANAGER_SEED.format(service=service), self._settings)
        self._service_load = ServiceLoad(keyed and detects_hot_keys)
        self._worker_loads = WorkerLoads(self._manager)
        self._rebalancer = Rebalancer(self._manager, self._service_load, self._worker_loads)
        self._manager_workers: dict[str, WorkerStatus] = {}  # by instance id
        # by first key; includes new assignments that are not agreed yet
        self._manager_assignments: dict[int, Assignment] = {}
        self._zone_affinity_adjusted_at = LONG_AGO

    def record_request_counts(
        self,
        now: float,
        proxy: str,
        range_counts: Mapping[str, int],
        key_counts: Mapping[str, int],
        interval: float,
    ) -> None:
        """Record a proxy's request counts, as `ServiceLoad.record_request_counts` does."""
        self._service_load.record_request_counts(now, proxy, range_counts, key_counts, interval)

    def hot_key_status(self) -> HotKeyStatus:
        """Return the service's watched ranges and hot keys, to be sent to proxies."""
        return self._service_load.hot_keys.status()

    def capacity(self) -> ServiceCapacity:
        """Return the busy slots, and the slots of each usable worker.

        A worker in slow start counts with the fraction of its slots that it can already use.
        """
        ready = self._manager.ready_workers()
        busy_slots = sum(mean(worker.recent_loads) * worker.weight for worker in ready)
        slots = {worker.name: worker.weight * worker.warmth() for worker in ready if worker.usable}
        return ServiceCapacity(busy_slots, slots)

    def plan_changes(
        self,
        now: float,
        workers: ServiceWorkers,
        rows: Mapping[str, Row] | None,
        slice_count: int,
        worker_reports: Iterable[events.WorkerReported],
        allows_read_replicas: bool,
    ) -> SliceChanges | None:
        """Return the changes of the service's rows of the slice table; None if there are none.

        Args:
            rows: the agreed rows by first key; None before the first table.
            slice_count: the number of slices that the service has, or gets with its first table.
            worker_reports: the proxies' observations of the service's workers since the last call.
            allows_read_replicas: whether hot keys may have read replicas.
        """
        self._settings.slices = slice_count
        current_rows = initial_rows(slice_count) if rows is None else rows
        assignments = self._decide_assignments(now, workers, current_rows, worker_reports)
        splits = []
        if self.keyed:
            rebalancing = self._rebalancer.plan(now, current_rows, assignments)
            splits = rebalancing.splits
            assignments |= rebalancing.assignments
            self._manager_assignments |= rebalancing.assignments
        else:
            self._adjust_zone_affinity(now)
        readers = {}
        if allows_read_replicas and rows:
            readers = replica_changes(rows, self._service_load.hot_keys, self._worker_loads)
        if assignments or splits or readers:
            return SliceChanges(assignments, splits, slice_count, readers)
        return None

    def _decide_assignments(
        self,
        now: float,
        workers: ServiceWorkers,
        rows: Mapping[str, Row],
        worker_reports: Iterable[events.WorkerReported],
    ) -> dict[int, Assignment]:
        """Bring the manager up to date, let it decide, and return the new assignments by first key."""
        policy_events = [
            *self._update_workers(workers),
            *worker_reports,
            *self._update_assignments(rows),
            *self._service_load.end_cycle(now, self._manager_assignments, self._worker_loads.throughput),
        ]
        orders = self._manager.handle(now, policy_events)
        assignments = {}
        for start in {order.table for order in orders if isinstance(order, events.SetRoute)}:
            assignment = _assignment_of(self._manager.slices[start])
            if assignment and assignment != self._manager_assignments[start]:
                assignments[start] = self._manager_assignments[start] = assignment
        return assignments

    def _update_workers(self, workers: ServiceWorkers) -> list[events.WorkersListed]:
        """Return the event that gives the manager the workers, if these differ from those that it holds."""
        warm_up = max(self._settings.slow_start_window, workers.longest_warm_up)
        self._settings.slow_start_window = warm_up
        if workers.statuses == self._manager_workers:
            return []
        self._manager_workers = workers.statuses
        listed = tuple(
            events.ListedWorker(
                instance_id,
                worker.state,
                worker.slots,
                worker.zone,
                started=worker.warm_at - warm_up if worker.warm_at else None,
            )
            for instance_id, worker in workers.statuses.items()
        )
        return [events.WorkersListed(listed, complete=True)]

    def _update_assignments(self, rows: Mapping[str, Row]) -> list[events.SliceAssigned | events.RouteStored]:
        """Return the events that give the manager the assignments that differ from those that it holds."""
        agreed = {int(start): Assignment.of_row(row) for start, row in rows.items()}
        policy_events: list[events.SliceAssigned | events.RouteStored] = []
        for start, assignment in agreed.items():
            if self._manager_assignments.get(start) == assignment:
                continue
            worker, second_worker, second_share = assignment
            policy_events.append(events.SliceAssigned(start, True))
            if worker:
                policy_events.append(events.RouteStored(start, worker, 1.0))
            if second_worker:
                policy_events.append(events.RouteStored(start, second_worker, second_share))
        self._manager_assignments = agreed
        return policy_events

    def _adjust_zone_affinity(self, now: float) -> None:
        if now < self._zone_affinity_adjusted_at + REPORT_CYCLE:
            return
        self._zone_affinity_adjusted_at = now
        self.zone_affinity.adjust(
            WorkerUtilization(worker.zone, worker.weight, mean(worker.recent_loads))
            for worker in self._manager.usable_workers()
            if worker.recent_loads
        )


def _assignment_of(policy_slice: Slice) -> Assignment | None:
    """Return the assignment that the manager's orders give this slice; None if the slice has no route."""
    weights = policy_slice.routes
    ranked = sorted(weights, key=lambda worker: (worker is not policy_slice.primary, -weights[worker]))
    if not ranked:
        return None
    second = next((worker for worker in ranked[1:] if worker is policy_slice.standby), None)
    if second is None:
        return Assignment(ranked[0].name)
    return Assignment(ranked[0].name, second.name, round(weights[second], 3))
