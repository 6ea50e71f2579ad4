"""Session affinity: on a route with affinity, requests with the same key go to the same worker. No I/O."""

from cachetools import LRUCache

MAX_AFFINITY_KEYS = 4096  # limit of the table; the least recently used binding is evicted


class AffinityTable:
    """The worker that each key of a service is bound to, and the time (s) at which the binding expires."""

    def __init__(self) -> None:
        self._bindings: LRUCache = LRUCache(MAX_AFFINITY_KEYS)

    def bind(self, service: str, key: str, instance_id: str, expires_at: float) -> None:
        """Bind a key to a worker. expires_at: time (s) at which the binding ends."""
        self._bindings[service, key] = (instance_id, expires_at)

    def worker(self, now: float, service: str, key: str) -> str | None:
        """Return the worker that a key is bound to, or None if there is no valid binding."""
        instance_id, expires_at = self._bindings.get((service, key), ("", 0.0))
        return instance_id if now < expires_at else None

    def count_bound(self, now: float, instance_id: str) -> int:
        """Return the number of keys that are bound to a worker."""
        return sum(
            1
            for bound_to, expires_at in self._bindings.values()
            if bound_to == instance_id and now < expires_at
        )
