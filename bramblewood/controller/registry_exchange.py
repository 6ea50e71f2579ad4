"""Merges registrations from workers, controllers and proxies into the registry, and forwards the changes."""

from collections.abc import Callable

from ..common.messages import RegistryUpdate
from ..common.timeouts import HEARTBEATS_UNTIL_SILENT
from ..common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from .proxy_sessions import ProxySessions, departing_rows
from .runtime import Runtime


class RegistryExchange:
    """Records registrations and forwards those that changed the registry.

    Rows are registrations in their wire form, by instance id.
    """

    def __init__(self, runtime: Runtime, registry: WorkerRegistry, proxy_sessions: ProxySessions) -> None:
        self.runtime, self.registry, self.proxy_sessions = runtime, registry, proxy_sessions
        # by instance id: when this controller found the worker unreachable, s of its clock
        self.unreachable_since: dict[str, float] = {}
        # called with the present time (s) after a worker has reported that it is draining or gone
        self.on_departure: Callable[[float], None] = lambda now: None
        self._logged_versions: set[tuple[str, str]] = set()  # service and version

    def record(
        self, instance_id: str, registration: WorkerRegistration, request_id: int | None = None
    ) -> None:
        """Record a registration from a worker, and forward it to proxies and controllers where it changed.

        request_id: requests an acknowledgement with this id from all controllers. The registration is then
        sent to them even where it did not change.
        """
        has_changed = self.registry.record(self.runtime.now(), instance_id, registration)
        rows = {instance_id: [*self.registry.registrations[instance_id]]}
        if has_changed or request_id is not None:
            self.send_to_controllers(rows, request_id)
        if not has_changed:
            return
        self.proxy_sessions.send_registrations(rows)
        if registration.phase != READY:
            self.runtime.log.info(
                "worker leaves", step="registry", peer=instance_id, phase=registration.phase
            )
            self.runtime.loop.call_soon(self.on_departure, self.runtime.now())
        else:
            self._log_new_version(instance_id, registration)

    def _log_new_version(self, instance_id: str, registration: WorkerRegistration) -> None:
        """Log the first worker of each version of a service that calls this controller."""
        version = (registration.service, registration.revision)
        if version not in self._logged_versions:
            self._logged_versions.add(version)
            self.runtime.log.info(
                "first worker of a version",
                step="registry",
                peer=instance_id,
                service=registration.service,
                version=registration.revision,
                warm_up_left=registration.warm_up_left,
            )

    def record_all(
        self, rows: dict[str, list], sender: str = "", ages: dict[str, float] | None = None
    ) -> dict[str, list]:
        """Merge rows from another controller or a proxy, and return the newer rows that are held here.

        The result contains only rows of departing workers. Changed rows are forwarded to proxies. Changed
        rows of departing workers are also forwarded to the other controllers, because the sender may not
        reach all of them.

        ages: s since the sender's last contact with each worker.
        """
        changed_rows, newer_rows = self.registry.record_all(self.runtime.now(), rows, ages)
        if changed_rows:
            self.proxy_sessions.send_registrations(changed_rows)
        if departing := departing_rows(changed_rows):
            self.send_to_controllers(departing, excluding=sender)
        return newer_rows

    def send_to_controllers(
        self, rows: dict[str, list], request_id: int | None = None, excluding: str = ""
    ) -> None:
        """Send rows to all connected controllers except `excluding`."""
        message = RegistryUpdate(rows, request_id).to_wire()
        for peer in list(self.runtime.peer_connections.connected):
            if peer != excluding:
                self.runtime.peer_connections.send(peer, message)

    def all_rows(self) -> dict[str, list]:
        """The rows of all workers in the registry."""
        return {instance_id: [*row] for instance_id, row in self.registry.registrations.items()}

    def report_unreachable(self, instance_id: str) -> None:
        """Treat a worker as timed out until a controller or proxy hears it again.

        The worker may still run, so it is not recorded as GONE, which would be final.
        """
        registration = self.registry.registrations.get(instance_id)
        is_registered = registration is not None and registration.phase != GONE
        if is_registered and instance_id not in self.unreachable_since:
            self.unreachable_since[instance_id] = self.runtime.now()
            self.runtime.log.info("worker unreachable", step="registry", peer=instance_id)

    def timed_out_workers(self, now: float) -> set[str]:
        """The ids of the workers that are out of use although they have not deregistered.

        These are the workers that no controller has heard for HEARTBEATS_UNTIL_SILENT heartbeat intervals,
        and those that were reported as unreachable and have not been heard since.
        """
        timeout = HEARTBEATS_UNTIL_SILENT * self.runtime.settings.heartbeat_interval
        self._forget_reachable()
        return self.registry.timed_out(now, timeout) | self.unreachable_since.keys()

    def _forget_reachable(self) -> None:
        # removes the workers that were heard after they were found unreachable, and those that are gone
        registrations, last_contact_at = self.registry.registrations, self.registry.last_contact_at
        self.unreachable_since = {
            instance_id: since
            for instance_id, since in self.unreachable_since.items()
            if instance_id in registrations
            and registrations[instance_id].phase != GONE
            and last_contact_at.get(instance_id, 0.0) <= since
        }
