"""Distributes the load reports of proxies to placement, outlier detection, drain plans and rollouts."""

from ..common.messages import LoadReport
from .coordinator_loop import CoordinatorLoop
from .drain_progress import DrainProgress
from .outlier_detection import OutlierDetection
from .placement import worker_report
from .rollout_progress import RolloutProgress


class LoadReports:
    """Receives the load reports that each proxy sends to the coordinator, twice per second."""

    def __init__(
        self,
        coordinator_loop: CoordinatorLoop,
        drain_progress: DrainProgress,
        outlier_detection: OutlierDetection,
        rollout_progress: RolloutProgress,
    ) -> None:
        self.coordinator_loop, self.registry = coordinator_loop, coordinator_loop.registry
        self.drain_progress, self.outlier_detection = drain_progress, outlier_detection
        self.rollout_progress = rollout_progress

    def record(self, now: float, proxy: str, report: LoadReport) -> None:
        """Record one report of this proxy. Counts for unregistered workers are ignored."""
        interval, range_counts, key_counts = report.interval, report.range_counts, report.key_counts or {}
        if report.table_version is not None:
            self.drain_progress.record_report(proxy, report.table_version, report.in_flight or {})
        if report.rollout_counts is not None:
            self.rollout_progress.record_counts(now, proxy, report.rollout_counts)
        # attributes are looked up once: there are hundreds of reports per second, each on hundreds of workers
        last_contact_at, registrations = self.registry.last_contact_at, self.registry.registrations
        record_attempts, interval_start = self.outlier_detection.record_attempts, now - interval
        by_service: dict[str, list] = {service: [] for service in {**range_counts, **key_counts}}
        for instance_id, (attempts, unanswered, mean_time, load, *failures) in report.workers.items():
            registration = registrations.get(instance_id)
            if registration is None:
                continue
            record_attempts(proxy, instance_id, attempts, sum(failures))
            if attempts > unanswered:
                last_contact_at[instance_id] = max(last_contact_at.get(instance_id, 0.0), interval_start)
            by_service.setdefault(registration.service, []).append(
                worker_report(instance_id, attempts, unanswered, mean_time, interval, load)
            )
        if self.coordinator_loop.is_coordinator:
            placement = self.coordinator_loop.placement
            for service, worker_reports in by_service.items():
                placement.record_report(
                    now,
                    service,
                    proxy,
                    range_counts.get(service, {}),
                    key_counts.get(service, {}),
                    interval,
                    worker_reports,
                )
