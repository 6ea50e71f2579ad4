"""Which workers of the registry here no controller knows any more. Pure.

A worker that died unheard while all controllers started anew is known to no controller, so none names it
silent or gone. Registries only merge, so its registration would stay ready at a proxy for good.

Each heartbeat of a controller has the digest of the live registrations that it knows. Where the upstream's
differs from ours for some time, the proxy asks it for its complete registry. A live registration that is not
in there, and that no update names in the time after which a worker counts as silent, is unconfirmed: it is
treated like one that the controllers name silent, until a controller names it again; one that goes on to
answer here is not. Without a current upstream nothing expires: docs/degraded.md.

Times are s of the proxy's own steady clock.
"""

from collections.abc import Collection

from ..common.messages import ProxyHeartbeat
from ..common.timeouts import MISSED_HEARTBEATS
from ..common.worker_registry import WorkerRegistry

MISMATCH_TOLERANCE = 2.0  # s that registries may differ, as updates are on their way
FIRST_REQUEST_INTERVAL = 2.0  # s between requests for a complete registry; doubled while they don't help
MAX_REQUEST_INTERVAL = 60.0  # s


class RegistryFreshness:
    """Compares this proxy's registry with its upstream's."""

    def __init__(self, registry: WorkerRegistry, heartbeat_interval: float) -> None:
        """heartbeat_interval: s, of the workers."""
        self.registry = registry
        self.expiry_time = MISSED_HEARTBEATS * heartbeat_interval
        self.unconfirmed: set[str] = set()  # live here, and known to no controller
        self.absent_since: dict[str, float] = {}  # by instance: not in the newest complete registry
        self.differing_since: float | None = None
        self.next_request_at = 0.0
        self.request_interval = FIRST_REQUEST_INTERVAL

    def heartbeat_received(self, now: float, heartbeat: ProxyHeartbeat) -> bool:
        """The upstream's heartbeat came. Returns whether to ask it for its complete registry."""
        self.unconfirmed &= self.registry.registrations.keys()
        if not heartbeat.is_current or heartbeat.live_digest is None:
            self.differing_since = None
            return False
        self._expire_absent(now)
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
        """A controller named these workers; is_complete: all that it knows; is_current: whether it is the
        upstream and has fresh contact with a quorum.
        """
        for instance_id in instance_ids:
            self.absent_since.pop(instance_id, None)
            self.unconfirmed.discard(instance_id)
        if is_complete and is_current:
            for instance_id in self.registry.live_instances():
                if instance_id not in instance_ids and instance_id not in self.unconfirmed:
                    self.absent_since.setdefault(instance_id, now)

    def _expire_absent(self, now: float) -> None:
        expired = {one for one, since in self.absent_since.items() if now >= since + self.expiry_time}
        for instance_id in expired:
            del self.absent_since[instance_id]
        self.unconfirmed |= expired & self.registry.registrations.keys()
