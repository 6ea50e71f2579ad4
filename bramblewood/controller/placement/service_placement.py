"""Placement of one service: the policy's manager, kept in step with the agreed table and the registry. Pure.

The manager decides as if the table were its own. So before each decision it is told how the agreed table
differs from what it last knew, and what it decides is handed out as changes to be agreed.
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

# s that a worker back from a doubt counts as new, where no worker told that it was cold
DEFAULT_WARM_UP = 1.0
SLOW_START_SPEED = 0.5  # part of its speed that a new worker is taken to have; the protocol says "slow" only
MANAGER_SEED = "office:{service}"  # of the manager's random draws; seeded plays rest on it


class ListedWorker(NamedTuple):
    """A worker as the manager is to know it. `warm_at`: when it is or was warm (s), None if never cold."""

    state: str
    slots: float
    zone: str
    warm_at: float | None


class ServiceWorkers(NamedTuple):
    """All workers of a service by instance id, and the longest time that any of them is or was cold (s)."""

    listed: dict[str, ListedWorker]
    longest_warm_up: float


class ServicePlacement:
    """One service's manager and what it was told."""

    def __init__(
        self, service: str, keyed: bool, slice_count: int, latency_target: float, detects_hot_keys: bool
    ) -> None:
        """Args: latency_target: s, the shortest of the service's routes."""
        self.keyed = keyed
        self.zone_affinity = ZoneAffinity()
        self._settings = StartupSettings(
            slices=slice_count,
            managers=1,
            pick="pair",
            single_owner=keyed,
            cycle=REPORT_CYCLE,
            load_fields=["utilization", "queued"],
            slow_start_window=DEFAULT_WARM_UP,
            slow_start_minimum=SLOW_START_SPEED,
            default_retry=events.RETRY_UNSTARTED,
            operations=[Operation(latency_objective=latency_target, billed_value=1.0)],
        )
        self._manager = Manager(MANAGER_SEED.format(service=service), self._settings)
        self._load = ServiceLoad(keyed and detects_hot_keys)
        self._worker_loads = WorkerLoads(self._manager)
        self._rebalancer = Rebalancer(self._manager, self._load, self._worker_loads)
        self._listed: dict[str, ListedWorker] = {}
        self._known: dict[int, Assignment] = {}  # what the manager was last told, or asked for itself
        self._zone_affinity_at = LONG_AGO

    def record_request_counts(
        self,
        now: float,
        proxy: str,
        range_counts: Mapping[str, int],
        key_counts: Mapping[str, int],
        interval: float,
    ) -> None:
        """As `ServiceLoad.record_request_counts`."""
        self._load.record_request_counts(now, proxy, range_counts, key_counts, interval)

    def hot_key_status(self) -> HotKeyStatus:
        """What proxies are to know of the service's hot keys."""
        return self._load.hot_keys.status()

    def capacity(self) -> ServiceCapacity:
        """How busy the service is now, and how much its workers can do."""
        ready = self._manager.ready_workers()
        busy_slots = sum(mean(worker.loads) * worker.weight for worker in ready)
        slots = {worker.name: worker.weight * worker.warmth() for worker in ready if worker.usable}
        return ServiceCapacity(busy_slots, slots)

    def plan_changes(
        self,
        now: float,
        workers: ServiceWorkers,
        entries: Mapping[str, Row] | None,
        slice_count: int,
        worker_reports: Iterable[events.WorkerReported],
        has_read_replicas: bool,
    ) -> SliceChanges | None:
        """What to change in the service's part of the table, if anything.

        Args:
            entries: that part as it is agreed; None before the first table.
            slice_count: slices that it has, or is to have at first.
            worker_reports: what proxies observed at the service's workers since the last call.
            has_read_replicas: whether hot keys may have read replicas.
        """
        self._settings.slices = slice_count
        stored_entries = initial_rows(slice_count) if entries is None else entries
        assignments = self._decide_assignments(now, workers, stored_entries, worker_reports)
        splits = []
        if self.keyed:
            rebalancing = self._rebalancer.plan(now, stored_entries, assignments)
            splits = rebalancing.splits
            assignments |= rebalancing.assignments
            self._known |= rebalancing.assignments
        else:
            self._adjust_zone_affinity(now)
        readers = {}
        if has_read_replicas and entries:
            readers = replica_changes(entries, self._load.hot_keys, self._worker_loads)
        if assignments or splits or readers:
            return SliceChanges(assignments, splits, slice_count, readers)
        return None

    def _decide_assignments(
        self,
        now: float,
        workers: ServiceWorkers,
        entries: Mapping[str, Row],
        worker_reports: Iterable[events.WorkerReported],
    ) -> dict[int, Assignment]:
        """Bring the manager up to date and let it decide; the assignments that are new."""
        policy_events = [
            *self._list_workers(workers),
            *worker_reports,
            *self._give_slices(entries),
            *self._load.end_cycle(now, self._known, self._worker_loads.throughput),
        ]
        orders = self._manager.handle(now, policy_events)
        assignments = {}
        for start in {order.table for order in orders if isinstance(order, events.SetRoute)}:
            assignment = _assignment_of(self._manager.slices[start])
            if assignment and assignment != self._known[start]:
                assignments[start] = self._known[start] = assignment
        return assignments

    def _list_workers(self, workers: ServiceWorkers) -> list[events.WorkersListed]:
        """The event that tells the manager of the workers, if they have changed."""
        warm_up = max(self._settings.slow_start_window, workers.longest_warm_up)
        self._settings.slow_start_window = warm_up
        if workers.listed == self._listed:
            return []
        self._listed = workers.listed
        listed = tuple(
            events.ListedWorker(
                instance_id,
                worker.state,
                worker.slots,
                worker.zone,
                started=worker.warm_at - warm_up if worker.warm_at else None,
            )
            for instance_id, worker in workers.listed.items()
        )
        return [events.WorkersListed(listed, complete=True)]

    def _give_slices(self, entries: Mapping[str, Row]) -> list[events.SliceAssigned | events.RouteStored]:
        """The events that tell the manager of assignments that are others than it knows."""
        agreed = {int(start): Assignment.of_row(row) for start, row in entries.items()}
        policy_events: list[events.SliceAssigned | events.RouteStored] = []
        for start, assignment in agreed.items():
            if self._known.get(start) == assignment:
                continue
            worker, second_worker, second_share = assignment
            policy_events.append(events.SliceAssigned(start, True))
            if worker:
                policy_events.append(events.RouteStored(start, worker, 1.0))
            if second_worker:
                policy_events.append(events.RouteStored(start, second_worker, second_share))
        self._known = agreed
        return policy_events

    def _adjust_zone_affinity(self, now: float) -> None:
        if now < self._zone_affinity_at + REPORT_CYCLE:
            return
        self._zone_affinity_at = now
        self.zone_affinity.adjust(
            WorkerUtilization(worker.zone, worker.weight, mean(worker.loads))
            for worker in self._manager.usable_workers()
            if worker.loads
        )


def _assignment_of(policy_slice: Slice) -> Assignment | None:
    """The assignment that the manager has sent for this slice, if any."""
    weights = policy_slice.routes
    ranked = sorted(weights, key=lambda worker: (worker is not policy_slice.primary, -weights[worker]))
    if not ranked:
        return None
    second = next((worker for worker in ranked[1:] if worker is policy_slice.standby), None)
    if second is None:
        return Assignment(ranked[0].name)
    return Assignment(ranked[0].name, second.name, round(weights[second], 3))
