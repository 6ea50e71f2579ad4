"""Parses and validates the configuration that an operator sends.

Each violation is reported with the path of the field. A configuration with a violation is not used. The field
names are those of docs/configuration.md, "The gateway's wire".
"""

import hashlib
import json
import re
from typing import Any, Literal, NotRequired, TypedDict

from result import Err, Ok, Result

from .configuration import Configuration, Route, Service
from .schema import SchemaViolation, check_schema

MAX_ROUTE_TIMEOUT = 600.0  # s; the maximum and the default of `TimeoutS`: see PROTOCOL, "The operator"
PURE = "pure"  # the `RouteType` of idempotent requests
DIGEST_LENGTH = 32  # hexadecimal digits


class RecordTable(TypedDict):
    """A table of records. Each record is a list of values in the order of the column names."""

    ColumnNames: list[str]
    Records: list[list[Any]]


class LimitFields(TypedDict):
    """The fields of `Limits`, which bound the size and the duration of clients' requests."""

    MaxHeaderBytes: NotRequired[int]
    MaxBodyBytes: NotRequired[int]
    HeaderTimeoutS: NotRequired[float]
    IdleTimeoutS: NotRequired[float]


class ConfigurationFields(TypedDict):
    """The fields of a configuration."""

    Revision: str
    RouteList: RecordTable
    ServiceList: RecordTable
    Limits: NotRequired[LimitFields]
    ParentVersion: NotRequired[Any]


class WeightedTarget(TypedDict):
    """A service and its share of a route's requests."""

    Target: str
    Share: float


class RouteRecord(TypedDict):
    """The fields of a record of `RouteList`."""

    Label: str
    Hostname: str
    PathPrefix: str
    RouteType: Literal["pure", "effectful"]
    TimeoutS: NotRequired[float]
    TargetLatencyS: NotRequired[float]
    Priority: NotRequired[int]
    WeightedTargets: NotRequired[list[WeightedTarget]]
    MaxAttempts: NotRequired[int]
    Pinned: NotRequired[bool]
    Target: NotRequired[str]


class ServiceRecord(TypedDict):
    """The fields of a record of `ServiceList`."""

    Label: str
    HealthPath: NotRequired[str]
    MaxConns: NotRequired[int]
    Sharded: NotRequired[bool]
    WarmS: NotRequired[float]
    ReadCopies: NotRequired[bool]


def decode_configuration(body: bytes) -> Result[Configuration, SchemaViolation]:
    """Return the configuration in the body of an operator's call, or the first violation."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return Err(SchemaViolation("", "a whole JSON object", f"{len(body)} bytes that are none"))
    return build_configuration(raw)


def build_configuration(raw: Any) -> Result[Configuration, SchemaViolation]:
    """Return the configuration that `raw` describes, or its first violation."""
    configuration, violations = validate_configuration(raw)
    return Err(violations[0]) if violations else Ok(configuration)


def validate_configuration(raw: Any) -> tuple[Configuration | None, list[SchemaViolation]]:
    """Return the configuration that `raw` describes, and all its violations.

    If there are violations, the configuration is incomplete and must not be used. It is None if the fields do
    not match ConfigurationFields.
    """
    checked = check_schema(raw, ConfigurationFields)
    if isinstance(checked, Err):
        return None, [checked.err_value]
    fields, violations = checked.ok_value, []
    revision = parse_revision(fields["Revision"])
    if not revision:
        found = f"{fields['Revision']!r:.60}"
        violations.append(SchemaViolation("Revision", "r and a number above 0", found))
    parent_revision = parse_revision(fields.get("ParentVersion"))
    if parent_revision is None:
        found = f"{fields['ParentVersion']!r:.60}"
        violations.append(SchemaViolation("ParentVersion", "0, or r and a number", found))
    services = _parse_services(fields["ServiceList"], violations)
    configuration = Configuration(
        revision=revision or 0,
        parent_revision=parent_revision or 0,
        digest=configuration_digest(raw),
        routes_by_host=_parse_routes(fields["RouteList"], services, violations),
        services=services,
        limits=fields.get("Limits", {}),
        raw=raw,
    )
    return configuration, violations


def parse_revision(text: Any) -> int | None:
    """Return the number of a revision such as `r12`, 0 for no revision, or None if the text is invalid.

    A missing or empty value, `0` and `r0` stand for no revision.
    """
    if text in (0, "0", None, "", "r0") and text is not False:
        return 0
    match = re.fullmatch(r"r(\d{1,18})", text) if isinstance(text, str) else None
    return int(match[1]) if match else None


def configuration_digest(raw: dict) -> str:
    """Return a digest of a configuration, which does not depend on the order of its fields."""
    return hashlib.sha256(json.dumps(raw, sort_keys=True).encode()).hexdigest()[:DIGEST_LENGTH]


def _parse_services(table: RecordTable, violations: list[SchemaViolation]) -> dict[str, Service]:
    services = {}
    for record in _parse_records(table, ServiceRecord, "ServiceList", violations).values():
        services[record["Label"]] = Service(
            label=record["Label"],
            health_path=record.get("HealthPath", "/health"),
            max_connections=record.get("MaxConns", 100),
            keyed=record.get("Sharded", False),
            warm_up_seconds=record.get("WarmS", 0.0),
            read_replicas=record.get("ReadCopies", False),
        )
    return services


def _parse_routes(
    table: RecordTable, services: dict[str, Service], violations: list[SchemaViolation]
) -> dict[str, dict[str, Route]]:
    """Return the routes by host, then by path prefix.

    Of two routes with the same host and prefix, the second one is reported as a violation and left out.
    """
    routes_by_host: dict[str, dict[str, Route]] = {}
    for path, record in _parse_records(table, RouteRecord, "RouteList", violations).items():
        parsed = _parse_route(record, path, services)
        if isinstance(parsed, Err):
            violations.append(parsed.err_value)
            continue
        route = parsed.ok_value
        routes = routes_by_host.setdefault(route.host, {})
        if route.path_prefix in routes:
            found = f"those of {routes[route.path_prefix].label[:40]}"
            violations.append(SchemaViolation(path, "a host and prefix of its own", found))
        routes.setdefault(route.path_prefix, route)
    return routes_by_host


def _parse_records(
    table: RecordTable, schema: type, name: str, violations: list[SchemaViolation]
) -> dict[str, dict[str, Any]]:
    """Return the valid records by their paths.

    A null value counts as a missing field. An invalid record is reported as a violation and left out.
    """
    columns, records = table["ColumnNames"], {}
    for index, values in enumerate(table["Records"]):
        path = f"{name}.Records.{index}"
        if len(values) != len(columns):
            violations.append(SchemaViolation(path, f"{len(columns)} values", str(len(values))))
            continue
        pairs = zip(columns, values, strict=True)
        record = check_schema({column: value for column, value in pairs if value is not None}, schema, path)
        if isinstance(record, Err):
            violations.append(record.err_value)
        else:
            records[path] = record.ok_value
    return records


def _parse_route(
    record: RouteRecord, path: str, services: dict[str, Service]
) -> Result[Route, SchemaViolation]:
    path_prefix, timeout = record["PathPrefix"], record.get("TimeoutS", MAX_ROUTE_TIMEOUT)
    if not path_prefix.startswith("/") or not path_prefix.endswith("/"):
        expected = "a prefix that begins and ends with a slash"
        return Err(SchemaViolation(f"{path}.PathPrefix", expected, path_prefix[:60]))
    if not 0 < timeout <= MAX_ROUTE_TIMEOUT:
        expected = f"over 0 and at most {MAX_ROUTE_TIMEOUT:.0f} s"
        return Err(SchemaViolation(f"{path}.TimeoutS", expected, str(timeout)))
    if record.get("MaxAttempts", 1) < 1:
        return Err(SchemaViolation(f"{path}.MaxAttempts", "1 or more", str(record["MaxAttempts"])))
    targets = _parse_targets(record, path, services)
    if isinstance(targets, Err):
        return targets
    return Ok(
        Route(
            label=record["Label"],
            host=record["Hostname"].lower(),
            path_prefix=path_prefix,
            is_idempotent=record["RouteType"] == PURE,
            timeout=timeout,
            latency_target=record.get("TargetLatencyS", timeout),
            priority=record.get("Priority", 0),
            max_attempts=record.get("MaxAttempts", 1),
            targets=targets.ok_value,
            has_client_affinity=record.get("Pinned", False),
        )
    )


def _parse_targets(
    record: RouteRecord, path: str, services: dict[str, Service]
) -> Result[tuple[tuple[str, float], ...], SchemaViolation]:
    """Return the services of a route with their shares. Services with share 0 are left out."""
    targets = [(target["Target"], target["Share"]) for target in record.get("WeightedTargets", [])]
    if not targets and "Target" in record:
        targets = [(record["Target"], 1.0)]
    for service, share in targets:
        if service not in services:
            return Err(SchemaViolation(f"{path}.Target", "a service of ServiceList", service[:60]))
        if share < 0:
            return Err(SchemaViolation(f"{path}.WeightedTargets", "shares of 0 or more", str(share)))
    weighted = tuple((service, share) for service, share in targets if share > 0)
    if not weighted:
        return Err(SchemaViolation(f"{path}.Target", "a service, or shares above 0", "none"))
    return Ok(weighted)
