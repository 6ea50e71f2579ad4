"""Placement of all services: reports and the registry in, changes of the slice table out. Pure."""

from collections.abc import Mapping

from ... import events
from ...common.configuration import Service
from ...common.slice_table import DRAIN_ANNOUNCED, WORKER, Row
from ...common.worker_registry import DRAINING, GONE, READY, WorkerRegistration, WorkerRegistry
from ..drain_plans import drain_steps_of
from ..drain_progress import ServiceCapacity
from ..hot_keys import HotKeyStatus
from ..outlier_detection import ejected_workers
from ..table_changes import TableValue
from .service_placement import ListedWorker, ServicePlacement, ServiceWorkers
from .slice_changes import SliceChanges, initial_slice_count

DEFAULT_LATENCY_TARGET = 1.0  # s, of a service to which no route leads
# heartbeats of the workers before a service's first table: every worker that is up has called once
FIRST_TABLE_HEARTBEATS = 2.2
POLICY_STATES = {READY: events.READY, DRAINING: events.DRAINING, GONE: events.DEREGISTERED}  # by phase


class PlacementPlanner:
    """Turns the worker registry, the proxies' reports and the agreed table into changes to propose."""

    def __init__(self, start: float, heartbeat: float, detects_hot_keys: bool = True) -> None:
        """Args: start: when this controller began (s); heartbeat: s between the calls of a worker."""
        self._discovery_time = FIRST_TABLE_HEARTBEATS * heartbeat
        self._discovery_ends_at = start + self._discovery_time
        self._detects_hot_keys = detects_hot_keys
        self._services: dict[str, ServicePlacement] = {}
        self._worker_reports: dict[str, list[events.WorkerReported]] = {}  # by service, since its last plan
        self._first_table_at: dict[str, float] = {}  # by service, when it may have one

    def reset(self) -> None:
        """Forget what was asked for: begin again from the table that stands."""
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
        """Take in a proxy's report of one service; a service that isn't placed yet needs none.

        Args:
            range_counts: requests by range of keys.
            key_counts: requests by key, of the ranges that are watched.
            interval: s that the counts span.
            worker_reports: what the proxy observed at the service's workers.
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
        """The changes to propose now, by service; empty where the table is as it should be.

        Args:
            latency_targets: s, by service.
            timed_out: workers that no controller has heard of late.
            table: the agreed slice table; None before the first.
        """
        changes = {}
        agreed, out_of_use = table["s"] if table else {}, _workers_out_of_use(table)
        unusable = timed_out | out_of_use
        for name, service in services.items():
            registrations = {
                instance_id: row for instance_id, row in registry.registrations.items() if row.service == name
            }
            ready_count = sum(
                row.phase == READY and instance_id not in unusable
                for instance_id, row in registrations.items()
            )
            entries = agreed.get(name)
            if not self._may_plan(now, name, entries, ready_count, registry):
                continue
            slice_count = len(entries) if entries else initial_slice_count(ready_count)
            placement = self._placement_of(name, service.sharded, slice_count, latency_targets)
            workers = _list_workers(registrations, timed_out, out_of_use, registry.warm_at)
            worker_reports = self._worker_reports.pop(name, [])
            service_changes = placement.plan_changes(
                now, workers, entries, slice_count, worker_reports, service.read_replicas
            )
            if service_changes:
                changes[name] = service_changes
        return changes

    def hot_keys(self) -> dict[str, HotKeyStatus]:
        """What proxies are to know of hot keys, by service; services without any are left out."""
        statuses = {name: placement.hot_key_status() for name, placement in self._services.items()}
        return {name: status for name, status in statuses.items() if status.watched_ranges}

    def service_capacities(self) -> dict[str, ServiceCapacity]:
        """How busy each service is, and how much its workers can do."""
        return {name: placement.capacity() for name, placement in self._services.items()}

    def zone_shares(self) -> dict[str, dict[str, float]]:
        """By service and zone, the share of the zone's requests that stay in it (0 to 1)."""
        shares = {name: placement.zone_affinity.local_fractions for name, placement in self._services.items()}
        return {name: by_zone for name, by_zone in shares.items() if by_zone}

    def _may_plan(
        self,
        now: float,
        service: str,
        entries: Mapping[str, Row] | None,
        ready_count: int,
        registry: WorkerRegistry,
    ) -> bool:
        """Whether enough workers have been heard to plan this service."""
        if entries is None:  # its first table waits for a worker, and until all that are up have called
            if not ready_count:
                return False
            return now >= self._first_table_at.setdefault(service, now + self._discovery_time)
        if now >= self._discovery_ends_at:
            return True
        # this controller has just started: a worker that it hasn't heard of may yet be there
        return not any(row[WORKER] and row[WORKER] not in registry.registrations for row in entries.values())

    def _placement_of(
        self, service: str, keyed: bool, slice_count: int, latency_targets: Mapping[str, float]
    ) -> ServicePlacement:
        placement = self._services.get(service)
        if placement is None or placement.keyed != keyed:
            latency_target = latency_targets.get(service, DEFAULT_LATENCY_TARGET)
            placement = ServicePlacement(service, keyed, slice_count, latency_target, self._detects_hot_keys)
            self._services[service] = placement
        return placement


def _workers_out_of_use(table: TableValue | None) -> set[str]:
    """Workers that a drain plan takes out of service or that are ejected."""
    draining = {instance_id for instance_id, step in drain_steps_of(table).items() if step != DRAIN_ANNOUNCED}
    return draining | set(ejected_workers(table))


def _list_workers(
    registrations: Mapping[str, WorkerRegistration],
    timed_out: set[str],
    out_of_use: set[str],
    warm_at: Mapping[str, float],
) -> ServiceWorkers:
    """The workers of a service as its manager is to know them."""
    listed, longest_warm_up = {}, 0.0
    for instance_id, row in registrations.items():
        state = (
            events.DEREGISTERED
            if instance_id in timed_out
            else POLICY_STATES.get(row.phase, events.DEREGISTERED)
        )
        if state == events.READY and instance_id in out_of_use:
            state = events.DRAINING  # its slices move at once, and it serves what it has
        longest_warm_up = max(longest_warm_up, row.warm_up_left)
        listed[instance_id] = ListedWorker(
            state,
            float(max(row.slots, 1)),
            row.zone,
            warm_at.get(instance_id, 0.0) if row.warm_up_left else None,
        )
    return ServiceWorkers(listed, longest_warm_up)
