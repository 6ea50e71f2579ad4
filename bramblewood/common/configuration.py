"""A configuration that was checked: routes, services, and the index by which a request finds its route.

`configuration_parser` makes them from what an operator sends. Times in seconds.
"""

import zlib
from typing import Any, NamedTuple


class Route(NamedTuple):
    """One route. targets: (service, share), the shares above 0."""

    label: str
    host: str
    path_prefix: str
    pure: bool
    timeout: float
    latency_target: float
    priority: int  # 0 first
    max_attempts: int
    targets: tuple[tuple[str, float], ...]
    pinned: bool = False  # its operator says that what a key's client began finishes at the same worker

    def choose_service(self, request_id: str) -> str:
        """The service of a request, drawn by the shares from its id."""
        total_share = sum(share for _, share in self.targets)
        remaining = zlib.crc32(b"share" + request_id.encode()) / 2**32 * total_share
        for service, share in self.targets:
            remaining -= share
            if remaining < 0:
                return service
        return self.targets[-1][0]


class Service(NamedTuple):
    """One service, and what its workers allow."""

    label: str
    health_path: str
    max_connections: int  # from all proxies together
    sharded: bool
    warm_up_seconds: float  # for which keys that were not handed over are slow
    read_replicas: bool = False  # its operator says that reads may be answered from replicas


class Configuration(NamedTuple):
    """One revision of the configuration. raw: as the operator sent it, and as it is stored and sent on."""

    revision: int
    parent_revision: int  # 0 for none
    digest: str
    routes_by_host: dict[str, dict[str, Route]]  # then by path prefix
    services: dict[str, Service]
    limits: dict[str, Any]  # `Limits`, by the page's names
    raw: dict[str, Any]

    def latency_targets(self) -> dict[str, float]:
        """By service the shortest latency target of the routes to it."""
        targets: dict[str, float] = {}
        for routes in self.routes_by_host.values():
            for route in routes.values():
                for service, _ in route.targets:
                    targets[service] = min(targets.get(service, route.latency_target), route.latency_target)
        return targets

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of this host with the longest prefix that the path begins with."""
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
