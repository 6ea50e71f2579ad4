"""Hands proxies' load reports to the parts that decide by them: placement, outlier detection, drain plans."""

from ..common.messages import LoadReport
from .coordinator_loop import CoordinatorLoop
from .drain_progress import DrainProgress
from .outlier_detection import OutlierDetection
from .placement import worker_report


class LoadReports:
    """Takes reports twice a second from each proxy; only the coordinator gets them."""

    def __init__(
        self,
        coordinator_loop: CoordinatorLoop,
        drain_progress: DrainProgress,
        outlier_detection: OutlierDetection,
    ) -> None:
        self.coordinator_loop, self.registry = coordinator_loop, coordinator_loop.registry
        self.drain_progress, self.outlier_detection = drain_progress, outlier_detection

    def record(self, now: float, proxy: str, report: LoadReport) -> None:
        """Take one report of this proxy."""
        seconds, heat, keys = report.seconds, report.heat, report.keys or {}
        if report.table_version is not None:
            self.drain_progress.record_report(proxy, report.table_version, report.in_flight or {})
        # called hundreds of times a second with as many workers each: names looked up once
        last_heard, registrations = self.registry.last_heard, self.registry.registrations
        record_attempts, heard_at = self.outlier_detection.record_attempts, now - seconds
        by_service: dict[str, list] = {service: [] for service in {**heat, **keys}}
        for instance_id, (attempts, unanswered, mean_time, load, *failed) in report.workers.items():
            registration = registrations.get(instance_id)
            if registration is None:
                continue
            record_attempts(proxy, instance_id, attempts, sum(failed))
            if attempts > unanswered:
                last_heard[instance_id] = max(last_heard.get(instance_id, 0.0), heard_at)
            by_service.setdefault(registration.service, []).append(
                worker_report(instance_id, attempts, unanswered, mean_time, seconds, load)
            )
        if self.coordinator_loop.is_coordinator:
            placement = self.coordinator_loop.placement
            for service, workers in by_service.items():
                placement.record_report(
                    now, service, proxy, heat.get(service, {}), keys.get(service, {}), seconds, workers
                )
