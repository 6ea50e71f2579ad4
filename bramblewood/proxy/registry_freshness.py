"""Detects workers in this proxy's registry that no controller has in its registry any more.

No I/O. Times are seconds of the proxy's own steady clock.

If a worker dies while all controllers restart, no controller has its registration, so none reports it as
silent or gone. Registries are only ever merged. Without this module, the registration would stay ready at a
proxy forever.

Each heartbeat of a controller contains the digest of its live registrations. If the digest of the upstream
differs from the digest of this proxy for some time, the proxy requests the upstream's complete registry. A
live registration that this registry lacks, and that no update contains within the heartbeat time-out of a
worker, becomes unconfirmed. An unconfirmed worker is treated like one that the controllers report as silent,
unless it still responds to this proxy. The next update that contains the worker confirms it. Without a
current upstream, no registration becomes unconfirmed (docs/degraded.md).
"""

from collections.abc import Collection

from ..common.messages import ProxyHeartbeat
from ..common.timeouts import HEARTBEATS_UNTIL_SILENT
from ..common.worker_registry import WorkerRegistry

MISMATCH_TOLERANCE = 2.0  # s for which registries may differ while updates are in transit
FIRST_REQUEST_INTERVAL = 2.0  # s between requests for a complete registry; doubled while digests differ
MAX_REQUEST_INTERVAL = 60.0  # s: upper bound of the doubled interval


class RegistryFreshness:
    """Compares this proxy's registry with the registry of its upstream."""

    def __init__(self, registry: WorkerRegistry, heartbeat_interval: float) -> None:
        """heartbeat_interval: s between heartbeats of a worker."""
        self.registry = registry
        self.heartbeat_timeout = HEARTBEATS_UNTIL_SILENT * heartbeat_interval
        self.unconfirmed: set[str] = set()  # registered as live here, but at no controller
        self.absent_since: dict[str, float] = {}  # by instance id: when a complete registry first lacked it
        self.differing_since: float | None = None  # when the digests began to differ
        self.next_request_at = 0.0
        self.request_interval = FIRST_REQUEST_INTERVAL

    def heartbeat_received(self, now: float, heartbeat: ProxyHeartbeat) -> bool:
        """Process a heartbeat of the upstream. Returns whether to request its complete registry."""
        self.unconfirmed &= self.registry.registrations.keys()
        if not heartbeat.is_current or heartbeat.live_digest is None:
            self.differing_since = None
            return False
        self._mark_absent_as_unconfirmed(now)
        if heartbeat.live_digest == self.registry.live_digest(self.unconfirmed):
            self.differing_since, self.request_interval = None, FIRST_REQUEST_INTERVAL
            return False
        if self.differing_since is None:
            self.differing_since, self.next_request_at = now, now + MISMATCH_TOLERANCE
        if now < self.next_request_at:
            return False
        self.next_request_at = now + self.request_interval
        self.request_interval = min(2 * self.request_interval, MAX_REQUEST_INTERVAL)
        return True

    def registrations_received(
        self, now: float, instance_ids: Collection[str], is_complete: bool, is_current: bool
    ) -> None:
        """Confirm the workers in an update from a controller, and record which live workers it lacks.

        is_complete: whether the update is the controller's complete registry. is_current: whether the
        controller is the upstream and has recent contact with a quorum.
        """
        for instance_id in instance_ids:
            self.absent_since.pop(instance_id, None)
            self.unconfirmed.discard(instance_id)
        if is_complete and is_current:
            for instance_id in self.registry.live_instances():
                if instance_id not in instance_ids and instance_id not in self.unconfirmed:
                    self.absent_since.setdefault(instance_id, now)

    def _mark_absent_as_unconfirmed(self, now: float) -> None:
        expired = {
            instance_id
            for instance_id, absent_at in self.absent_since.items()
            if now >= absent_at + self.heartbeat_timeout
        }
        for instance_id in expired:
            del self.absent_since[instance_id]
        self.unconfirmed |= expired & self.registry.registrations.keys()
