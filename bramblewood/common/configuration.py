"""A configuration (an edition): read whole, each invalid kind refused with its place, and an index of its
routes.
"""

import hashlib
import json
import re
import zlib
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from result import Err, Ok, Result

from .schema import SchemaViolation, check

LONGEST = 600.0  # s, ten minutes: the most that a TimeoutS may be; PROTOCOL, "The operator"
PURE = "pure"


class Columns(TypedDict):
    ColumnNames: list[str]
    Records: list[list[Any]]


class Limits(TypedDict):
    MaxHeaderBytes: NotRequired[int]
    MaxBodyBytes: NotRequired[int]
    HeaderTimeoutS: NotRequired[float]
    IdleTimeoutS: NotRequired[float]


class Config(TypedDict):
    Revision: str
    RouteList: Columns
    ServiceList: Columns
    Limits: NotRequired[Limits]
    ParentVersion: NotRequired[Any]


class Share(TypedDict):
    Target: str
    Share: float


class RouteRow(TypedDict):
    Label: str
    Hostname: str
    PathPrefix: str
    RouteType: Literal["pure", "effectful"]
    TimeoutS: NotRequired[float]
    TargetLatencyS: NotRequired[float]
    Priority: NotRequired[int]
    WeightedTargets: NotRequired[list[Share]]
    MaxAttempts: NotRequired[int]
    Pinned: NotRequired[bool]
    Target: NotRequired[str]


class ServiceRow(TypedDict):
    Label: str
    HealthPath: NotRequired[str]
    MaxConns: NotRequired[int]
    Sharded: NotRequired[bool]
    WarmS: NotRequired[float]
    ReadCopies: NotRequired[bool]


class Route(NamedTuple):
    """One route; times in s. targets: (service, share), the shares above 0."""

    label: str
    host: str
    prefix: str
    pure: bool
    timeout: float
    aim: float
    priority: int
    attempts: int
    targets: tuple[tuple[str, float], ...]
    pinned: bool = False  # its operator says that what a key's client began finishes where it began

    def service(self, request: str) -> str:
        """The service of a request, by the shares and its id."""
        left = zlib.crc32(b"share" + request.encode()) / 2**32 * sum(share for _, share in self.targets)
        for service, share in self.targets:
            left -= share
            if left < 0:
                return service
        return self.targets[-1][0]


class Service(NamedTuple):
    label: str
    health_path: str
    connections: int
    keyed: bool
    warm: float
    read_replicas: bool = False  # its operator says that lookups may be answered from copies


class Configuration(NamedTuple):
    """A checked configuration. hosts: routes by host, then by prefix."""

    number: int
    parent: int
    digest: str
    hosts: dict[str, dict[str, Route]]
    services: dict[str, Service]
    limits: dict
    raw: dict

    def aims(self) -> dict[str, float]:
        """The shortest aim of the routes to each service."""
        found: dict[str, float] = {}
        for routes in self.hosts.values():
            for route in routes.values():
                for service, _ in route.targets:
                    found[service] = min(found.get(service, route.aim), route.aim)
        return found

    def route(self, host: str, path: str) -> Route | None:
        """The route whose prefix is the longest that begins the path, among this host's."""
        routes = self.hosts.get(host.lower()) or self.hosts.get(host.lower().partition(":")[0])
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
        return None


def number_of(version: Any) -> int | None:
    """`r12` is 12; 0 stands for no version."""
    if version in (0, "0", None, "", "r0") and version is not False:
        return 0
    found = re.fullmatch(r"r(\d{1,18})", version) if isinstance(version, str) else None
    return int(found[1]) if found else None


def rows(columns: Columns, shape: type, where: str, faults: list[SchemaViolation]) -> dict[str, dict]:
    """Records as checked dictionaries by their place; null is left out, faulty ones are told and left out."""
    made = {}
    for place, record in enumerate(columns["Records"]):
        spot = f"{where}.Records.{place}"
        if len(record) != len(columns["ColumnNames"]):
            faults.append(SchemaViolation(spot, f"{len(columns['ColumnNames'])} values", str(len(record))))
            continue
        named = zip(columns["ColumnNames"], record, strict=True)
        row = check({name: value for name, value in named if value is not None}, shape, spot)
        if isinstance(row, Err):
            faults.append(row.err_value)
        else:
            made[spot] = row.ok_value
    return made


def route_of(row: RouteRow, where: str, services: dict) -> Result[Route, SchemaViolation]:
    if not row["PathPrefix"].startswith("/") or not row["PathPrefix"].endswith("/"):
        expected = "a prefix that begins and ends with a slash"
        return Err(SchemaViolation(f"{where}.PathPrefix", expected, row["PathPrefix"][:60]))
    timeout = row.get("TimeoutS", LONGEST)
    if not 0 < timeout <= LONGEST:
        return Err(SchemaViolation(f"{where}.TimeoutS", f"over 0 and at most {LONGEST:.0f} s", str(timeout)))
    if row.get("MaxAttempts", 1) < 1:
        return Err(SchemaViolation(f"{where}.MaxAttempts", "1 or more", str(row["MaxAttempts"])))
    targets = [(part["Target"], part["Share"]) for part in row.get("WeightedTargets", [])]
    if not targets and "Target" in row:
        targets = [(row["Target"], 1.0)]
    for service, share in targets:
        if service not in services:
            return Err(SchemaViolation(f"{where}.Target", "a service of ServiceList", service[:60]))
        if share < 0:
            return Err(SchemaViolation(f"{where}.WeightedTargets", "shares of 0 or more", str(share)))
    targets = [(service, share) for service, share in targets if share > 0]
    if not targets:
        return Err(SchemaViolation(f"{where}.Target", "a service, or shares above 0", "none"))
    return Ok(
        Route(
            row["Label"],
            row["Hostname"].lower(),
            row["PathPrefix"],
            row["RouteType"] == PURE,
            timeout,
            row.get("TargetLatencyS", timeout),
            row.get("Priority", 0),
            row.get("MaxAttempts", 1),
            tuple(targets),
            row.get("Pinned", False),
        )
    )


def survey(raw: Any) -> tuple[Configuration | None, list[SchemaViolation]]:
    """A configuration as it was put, checked by itself; what stands now is not looked at here.

    The edition, and all faults; with a fault the edition is not to be used.
    """
    told = check(raw, Config)
    if isinstance(told, Err):
        return None, [told.err_value]
    config, faults = told.ok_value, []
    number, parent = number_of(config["Revision"]), number_of(config.get("ParentVersion"))
    if not number:
        faults.append(SchemaViolation("Revision", "r and a number above 0", f"{config['Revision']!r:.60}"))
    if parent is None:
        faults.append(
            SchemaViolation("ParentVersion", "0, or r and a number", f"{config['ParentVersion']!r:.60}")
        )
    services = {
        row["Label"]: Service(
            row["Label"],
            row.get("HealthPath", "/health"),
            row.get("MaxConns", 100),
            row.get("Sharded", False),
            row.get("WarmS", 0.0),
            row.get("ReadCopies", False),
        )
        for row in rows(config["ServiceList"], ServiceRow, "ServiceList", faults).values()
    }
    hosts: dict[str, dict[str, Route]] = {}
    for where, row in rows(config["RouteList"], RouteRow, "RouteList", faults).items():
        route = route_of(row, where, services)
        if isinstance(route, Err):
            faults.append(route.err_value)
            continue
        route = route.ok_value
        at_host = hosts.setdefault(route.host, {})
        if route.prefix in at_host:
            faults.append(
                SchemaViolation(
                    where, "a host and prefix of its own", f"those of {at_host[route.prefix].label[:40]}"
                )
            )
        at_host.setdefault(route.prefix, route)
    limits = config.get("Limits", {})
    return Configuration(number or 0, parent or 0, digest_of(raw), hosts, services, limits, raw), faults


def build_configuration(raw: Any) -> Result[Configuration, SchemaViolation]:
    """A configuration, or its first fault."""
    configuration, faults = survey(raw)
    return Err(faults[0]) if faults else Ok(configuration)


def digest_of(raw: dict) -> str:
    """The same for the same configuration, however its fields were ordered."""
    return hashlib.sha256(json.dumps(raw, sort_keys=True).encode()).hexdigest()[:32]


def parse(body: bytes) -> Result[Configuration, SchemaViolation]:
    """The body of a call that puts a configuration."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return Err(SchemaViolation("", "a whole JSON object", f"{len(body)} bytes that are none"))
    return build_configuration(raw)
