"""A validated configuration: its routes, its services, and the index in which a request's route is found.

`configuration_parser` builds it from the configuration that an operator sends. Times are in seconds.
"""

import zlib
from typing import Any, NamedTuple


class Route(NamedTuple):
    """A route. `targets` contains (service, share) pairs, whose shares are above 0."""

    label: str
    host: str
    path_prefix: str
    is_idempotent: bool  # whether its requests are idempotent
    timeout: float
    latency_target: float
    priority: int  # 0 is the highest
    max_attempts: int
    targets: tuple[tuple[str, float], ...]
    # whether requests with the same `X-Shard-Key` are sent to the same worker, if the service is not keyed
    has_client_affinity: bool = False

    def choose_service(self, request_id: str) -> str:
        """Return the service for a request id. The id alone decides it, by the shares of the targets."""
        total_share = sum(share for _, share in self.targets)
        remaining = zlib.crc32(b"share" + request_id.encode()) / 2**32 * total_share
        for service, share in self.targets:
            remaining -= share
            if remaining < 0:
                return service
        return self.targets[-1][0]


class Service(NamedTuple):
    """A service, and the limits of its workers."""

    label: str
    health_path: str
    max_connections: int  # to each worker, from all proxies together; 0 for no limit
    keyed: bool  # whether requests are assigned to slices by their `X-Shard-Key`
    warm_up_seconds: float  # how long a worker is slow for keys that it received without a handover
    read_replicas: bool = False  # whether replicas may serve reads


class Configuration(NamedTuple):
    """A revision of the configuration.

    `raw` is the configuration in the form in which the operator sends it, and in which it is stored and sent
    to proxies.
    """

    revision: int
    parent_revision: int  # the revision that this one replaces; 0 for none
    digest: str
    routes_by_host: dict[str, dict[str, Route]]  # by host in lower case, then by path prefix
    services: dict[str, Service]
    limits: dict[str, Any]  # the fields of `Limits`, by their names in the configuration
    raw: dict[str, Any]

    def latency_targets(self) -> dict[str, float]:
        """Return for each service the shortest latency target of its routes."""
        targets: dict[str, float] = {}
        for routes in self.routes_by_host.values():
            for route in routes.values():
                for service, _ in route.targets:
                    targets[service] = min(targets.get(service, route.latency_target), route.latency_target)
        return targets

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None if there is none.

        If there are no routes for the host with its port, those for the host without the port are used. The
        query in the path is ignored.
        """
        routes = self.routes_by_host.get(host.lower())
        if not routes:
            routes = self.routes_by_host.get(host.lower().partition(":")[0])
        if routes is None:
            return None
        path = path.partition("?")[0]
        prefix_end = len(path)
        while (prefix_end := path.rfind("/", 0, prefix_end)) >= 0:
            route = routes.get(path[: prefix_end + 1])
            if route is not None:
                return route
        return None
