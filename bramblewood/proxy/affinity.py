"""Session affinity: what a key's client does next on such a route goes to the same worker. Pure."""

from cachetools import LRUCache

MAX_AFFINITY_KEYS = 4096  # keys that are remembered at one proxy


class AffinityTable:
    """By service and key, the worker that a client's steps are bound to, and until when (s)."""

    def __init__(self) -> None:
        self._bindings: LRUCache = LRUCache(MAX_AFFINITY_KEYS)

    def bind(self, service: str, key: str, instance_id: str, until: float) -> None:
        """Bind a key to a worker until this time (s)."""
        self._bindings[service, key] = (instance_id, until)

    def worker(self, now: float, service: str, key: str) -> str | None:
        """The worker that a key is bound to; None where it is bound to none."""
        instance_id, until = self._bindings.get((service, key), ("", 0.0))
        return instance_id if now < until else None

    def count_bound(self, now: float, instance_id: str) -> int:
        """How many keys are bound to a worker."""
        return sum(
            1 for bound_to, until in self._bindings.values() if bound_to == instance_id and now < until
        )
