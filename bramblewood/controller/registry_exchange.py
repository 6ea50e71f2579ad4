"""Propagates worker registrations: from workers, controllers and proxies into the registry, and on."""

from collections.abc import Callable

from ..common.messages import RegistryUpdate
from ..common.timeouts import MISSED_HEARTBEATS
from ..common.worker_registry import READY, WorkerRegistration, WorkerRegistry
from .proxy_sessions import ProxySessions, leaving_rows
from .runtime import Runtime


class RegistryExchange:
    """Records registrations and passes on what was new here. Rows are registrations in their wire form."""

    def __init__(self, runtime: Runtime, registry: WorkerRegistry, proxy_sessions: ProxySessions) -> None:
        self.runtime, self.registry, self.proxy_sessions = runtime, registry, proxy_sessions
        self.on_departure: Callable[[float], None] = lambda now: None

    def record(
        self, instance_id: str, registration: WorkerRegistration, request_id: int | None = None
    ) -> None:
        """Record a registration; where it is new, send it to all proxies and controllers.

        request_id: asks all controllers to acknowledge it by this id, new or not.
        """
        has_changed = self.registry.record(self.runtime.now(), instance_id, registration)
        rows = {instance_id: [*self.registry.registrations[instance_id]]}
        if has_changed or request_id is not None:
            self.share(rows, request_id)
        if not has_changed:
            return
        self.proxy_sessions.send_registrations(rows)
        if registration.phase != READY:
            self.runtime.log.info(
                "worker leaves", step="registry", peer=instance_id, phase=registration.phase
            )
            self.runtime.loop.call_soon(self.on_departure, self.runtime.now())

    def record_all(
        self, rows: dict[str, list], sender: str = "", ages: dict[str, float] | None = None
    ) -> dict[str, list]:
        """Record what another controller or a proxy sent; ages: s since it heard of each worker.

        Returns registrations of workers that leave where this controller knows more than the sender. A
        departure is sent on to the other controllers, as its sender may not reach all of them.
        """
        news, newer = self.registry.record_all(self.runtime.now(), rows, ages)
        if news:
            self.proxy_sessions.send_registrations(news)
        if leaving := leaving_rows(news):
            self.share(leaving, excluding=sender)
        return newer

    def share(self, rows: dict[str, list], request_id: int | None = None, excluding: str = "") -> None:
        """Send registrations to the other controllers."""
        message = RegistryUpdate(rows, request_id).to_wire()
        for peer in list(self.runtime.peer_connections.connected):
            if peer != excluding:
                self.runtime.peer_connections.send(peer, message)

    def all_rows(self) -> dict[str, list]:
        """The whole registry in its wire form."""
        return {instance_id: [*row] for instance_id, row in self.registry.registrations.items()}

    def timed_out_workers(self, now: float) -> set[str]:
        """Workers that no controller has heard for too long though they did not deregister."""
        return self.registry.timed_out(now, MISSED_HEARTBEATS * self.runtime.settings.heartbeat_interval)
