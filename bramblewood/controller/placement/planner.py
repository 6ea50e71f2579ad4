"""Plans the placement of all services: converts reports and the worker registry into changes of the slice
table. The module does no I/O and reads no clock.
"""

from collections.abc import Mapping

from ... import events
from ...common.configuration import Service
from ...common.slice_table import DRAIN_ANNOUNCED, WORKER, Row
from ...common.worker_registry import DRAINING, GONE, READY, WorkerRegistration, WorkerRegistry
from ..drain_plans import drain_steps_of
from ..drain_progress import ServiceCapacity
from ..hot_keys import HotKeyStatus
from ..outlier_detection import ejected_workers
from ..rollouts import excluded_workers, rollout_states_of
from ..table_changes import TableValue
from .service_placement import ServicePlacement, ServiceWorkers, WorkerStatus
from .slice_changes import SliceChanges, initial_slice_count

DEFAULT_LATENCY_TARGET = 1.0  # s, for a service that no route refers to
# heartbeat intervals to wait before a service's first table; each running worker registers in this time
DISCOVERY_HEARTBEATS = 2.2
POLICY_STATE_BY_PHASE = {READY: events.READY, DRAINING: events.DRAINING, GONE: events.DEREGISTERED}


class PlacementPlanner:
    """Plans changes of the agreed slice table, based on the worker registry and the proxies' reports."""

    def __init__(self, started_at: float, heartbeat_interval: float, detects_hot_keys: bool = True) -> None:
        """Create a planner that has received no reports.

        Args:
            started_at: when this controller started (s).
            heartbeat_interval: s between two heartbeats of a worker.
            detects_hot_keys: whether hot keys of keyed services are detected.
        """
        self._discovery_duration = DISCOVERY_HEARTBEATS * heartbeat_interval
        self._discovery_ends_at = started_at + self._discovery_duration
        self._detects_hot_keys = detects_hot_keys
        self._services: dict[str, ServicePlacement] = {}
        # by service: the reports since its last plan
        self._worker_reports: dict[str, list[events.WorkerReported]] = {}
        self._first_table_due_at: dict[str, float] = {}  # by service

    def reset(self) -> None:
        """Discard the placement of every service, so that the next plan starts from the agreed table."""
        self._services.clear()

    def record_report(
        self,
        now: float,
        service: str,
        proxy: str,
        range_counts: Mapping[str, int],
        key_counts: Mapping[str, int],
        interval: float,
        worker_reports: list[events.WorkerReported],
    ) -> None:
        """Record a proxy's report of one service. A report of a service without a placement is ignored.

        Args:
            range_counts: requests by index of the key range.
            key_counts: requests by key, for watched ranges.
            interval: s that the counts span.
            worker_reports: the proxy's observations of the service's workers.
        """
        placement = self._services.get(service)
        if placement is not None:
            placement.record_request_counts(now, proxy, range_counts, key_counts, interval)
            self._worker_reports.setdefault(service, []).extend(worker_reports)

    def plan_changes(
        self,
        now: float,
        services: Mapping[str, Service],
        latency_targets: Mapping[str, float],
        registry: WorkerRegistry,
        timed_out: set[str],
        table: TableValue | None,
    ) -> dict[str, SliceChanges]:
        """Return the changes to propose now, by service. Services that need no change are left out.

        Args:
            latency_targets: s, by service.
            timed_out: workers that have missed too many heartbeats.
            table: the agreed slice table; None before the first one.
        """
        changes = {}
        rows_by_service = table["s"] if table else {}
        out_of_use = _workers_out_of_use(table)
        out_of_use |= excluded_workers(rollout_states_of(table), registry.registrations)
        unusable = timed_out | out_of_use
        for name, service in services.items():
            registrations = {
                instance_id: registration
                for instance_id, registration in registry.registrations.items()
                if registration.service == name
            }
            ready_count = sum(
                registration.phase == READY and instance_id not in unusable
                for instance_id, registration in registrations.items()
            )
            rows = rows_by_service.get(name)
            if not self._can_plan(now, name, rows, ready_count, registry):
                continue
            slice_count = len(rows) if rows else initial_slice_count(ready_count)
            placement = self._get_or_create_placement(name, service.keyed, slice_count, latency_targets)
            workers = _service_workers(registrations, timed_out, out_of_use, registry.warm_at)
            worker_reports = self._worker_reports.pop(name, [])
            service_changes = placement.plan_changes(
                now, workers, rows, slice_count, worker_reports, service.read_replicas
            )
            if service_changes:
                changes[name] = service_changes
        return changes

    def hot_keys(self) -> dict[str, HotKeyStatus]:
        """Return the watched ranges and hot keys to send to proxies, by service.

        Services without watched ranges are left out.
        """
        statuses = {name: placement.hot_key_status() for name, placement in self._services.items()}
        return {name: status for name, status in statuses.items() if status.watched_ranges}

    def service_capacities(self) -> dict[str, ServiceCapacity]:
        """Return the busy slots and the slots of usable workers, by service."""
        return {name: placement.capacity() for name, placement in self._services.items()}

    def local_fractions(self) -> dict[str, dict[str, float]]:
        """Return the fraction (0 to 1) of a zone's requests that stays in the zone, by service and zone.

        Services without such a fraction are left out.
        """
        fractions = {
            name: placement.zone_affinity.local_fractions for name, placement in self._services.items()
        }
        return {name: by_zone for name, by_zone in fractions.items() if by_zone}

    def _can_plan(
        self,
        now: float,
        service: str,
        rows: Mapping[str, Row] | None,
        ready_count: int,
        registry: WorkerRegistry,
    ) -> bool:
        """Whether enough workers are known to plan the slices of this service."""
        if rows is None:  # the first table waits for a ready worker and for the end of discovery
            if not ready_count:
                return False
            return now >= self._first_table_due_at.setdefault(service, now + self._discovery_duration)
        if now >= self._discovery_ends_at:
            return True
        # this controller has just started, so a worker that its registry lacks may still be running
        return not any(row[WORKER] and row[WORKER] not in registry.registrations for row in rows.values())

    def _get_or_create_placement(
        self, service: str, keyed: bool, slice_count: int, latency_targets: Mapping[str, float]
    ) -> ServicePlacement:
        placement = self._services.get(service)
        if placement is None or placement.keyed != keyed:
            latency_target = latency_targets.get(service, DEFAULT_LATENCY_TARGET)
            placement = ServicePlacement(service, keyed, slice_count, latency_target, self._detects_hot_keys)
            self._services[service] = placement
        return placement


def _workers_out_of_use(table: TableValue | None) -> set[str]:
    """Return the workers that a drain plan is taking out of service, and those that are ejected."""
    draining = {instance_id for instance_id, step in drain_steps_of(table).items() if step != DRAIN_ANNOUNCED}
    return draining | set(ejected_workers(table))


def _service_workers(
    registrations: Mapping[str, WorkerRegistration],
    timed_out: set[str],
    out_of_use: set[str],
    warm_at: Mapping[str, float],
) -> ServiceWorkers:
    """Return the status of a service's workers, in the form that the policy's manager needs."""
    statuses, longest_warm_up = {}, 0.0
    for instance_id, registration in registrations.items():
        state = (
            events.DEREGISTERED
            if instance_id in timed_out
            else POLICY_STATE_BY_PHASE.get(registration.phase, events.DEREGISTERED)
        )
        if state == events.READY and instance_id in out_of_use:
            state = events.DRAINING  # its slices move at once, and it finishes the requests that it has
        longest_warm_up = max(longest_warm_up, registration.warm_up_left)
        statuses[instance_id] = WorkerStatus(
            state,
            float(max(registration.slots, 1)),
            registration.zone,
            warm_at.get(instance_id, 0.0) if registration.warm_up_left else None,
        )
    return ServiceWorkers(statuses, longest_warm_up)
