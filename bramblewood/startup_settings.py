"""The startup settings of a manager, and their conversion from the options that the platform sends.

SOURCES maps the platform's sections and keys to settings. The platform's times are in milliseconds; those of
the settings are in seconds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .events import IDEMPOTENT, IDEMPOTENT_WITH_KEY, SIDE_EFFECTING

MS_PER_SECOND = 1000.0  # milliseconds per second
OPERATION_KINDS = {  # by the platform's name of an operation's effect
    "read_like": IDEMPOTENT,
    "idempotency_key": IDEMPOTENT_WITH_KEY,
    "non_idempotent": SIDE_EFFECTING,
}
# by the platform's name of a field of load reports: the name in events, and the factor to the unit there
LOAD_FIELDS = {
    "cpu": ("utilization", 1.0),
    "waiting": ("queued", 1.0),
    "active": ("in_flight", 1.0),
    "avg_ms": ("mean_response_time", 1 / MS_PER_SECOND),
    "rps": ("request_rate", 1.0),
    "err_rps": ("error_rate", 1.0),
}


@dataclass
class Operation:
    """An operation of the site. Times are in s."""

    name: str = ""
    kind: str = SIDE_EFFECTING
    latency_objective: float = 1.0  # objective of the response time
    integration_timeout: float = 0.0
    billed_value: float = 0.0  # admission is cut first for the operation with the lowest value
    late_value: float = 0.0
    deduplication_scope: str = ""  # scope within which the backend recognizes a repeated invocation
    deduplication_window: float = 0.0  # time for which it does
    writes: bool = False


@dataclass
class StartupSettings:
    """The settings that a manager receives at its start, with their defaults. Times are in s.

    A field whose default is None stays None if the options omit it.
    """

    zone: str = ""
    zones: list[str] = field(default_factory=list)
    manager: float = 0  # number of this manager
    managers: float = 1  # number of managers of the site
    slices: float = 0  # number of slices of the whole site
    proxies: float = 0  # number of proxies
    cycle: float = 1.0  # time between evaluations of the reports
    single_owner: bool = False  # whether only one worker may serve a slice, so that it has no standby
    operations: list[Operation] = field(default_factory=list)
    # the worker list
    must_request_list: bool = False  # whether the list is sent only on request
    max_list_request_interval: float = 4.0
    weights: str | None = None  # the kind of the listed weights
    # workers: load reports, slow start, and how proxies choose among the routes of a table
    load_fields: list[str] = field(default_factory=list)
    slow_start_window: float = 0.0  # duration of slow start
    slow_start_minimum: float = 1.0  # share of its capacity that a worker has at its start
    load_balancing: str | None = None  # how proxies choose among routes: weighted, even, pair and others
    default_retry: float | None = None  # initial retry mode of the proxies
    # the channel to the proxies; a line is one order to one proxy
    lines_per_second: float = 0.0
    max_waiting_lines: float = 1e9
    message_header: float = 0  # lines
    message_delay: float = 0.0  # delay of a message to the proxies
    longest_delay: float = 0.0  # the longest that it may be
    max_messages: float = 0  # messages allowed per window; 0 if they are not limited
    messages_window: float = 120.0
    drain_grace: float = math.inf  # time within which a draining worker must receive no more requests
    # the ledger
    lease: float | None = None  # downtime after which another manager may hold this one's slices
    # not used by the policy
    may_probe: Any = None
    may_message: Any = None
    overload_factor: float | None = None
    overload_span: float | None = None
    dropped_stay_open: Any = None
    bare: float | None = None
    write_span: float | None = None
    retry_wait: float | None = None
    intake: float | None = None
    levels: str | None = None
    standing_lines: float | None = None
    home_only: Any = None
    stays_away_after: float | None = None
    keys_stay_warm: Any = None


def finite_number(value: Any) -> float:
    """Return the value; raises TypeError unless it is a finite number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise TypeError("expected a finite number")
    return value


def milliseconds_to_seconds(value: Any) -> float:
    """Convert milliseconds to seconds; raises TypeError unless the value is a finite number."""
    return finite_number(value) / MS_PER_SECOND


def string_list(value: Any) -> Any:
    """Return the value; raises TypeError unless it is a list of strings."""
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise TypeError("expected a list of strings")
    return value


def unchanged(value: Any) -> Any:
    """Return the value as it is."""
    return value


def renamed(**new_values: str) -> Callable[[Any], Any]:
    """Return a conversion that replaces these values of the platform and keeps all others."""
    return lambda value: new_values.get(value, value)


class Source(NamedTuple):
    """The source of a setting: its field, the platform's section and key, and the conversion."""

    field: str
    section: str
    key: str
    convert: Callable[[Any], Any]


SOURCES = [
    Source("zone", "", "az", unchanged),
    Source("zones", "", "zones", string_list),
    Source("manager", "", "me", finite_number),
    Source("managers", "", "n_instances", finite_number),
    Source("must_request_list", "", "discovery", lambda value: value == "subscribe"),
    Source("weights", "", "weight_kind", renamed(silent="none", nominal="registered")),
    Source("may_probe", "limits", "may_probe", unchanged),
    Source("may_message", "limits", "peers", unchanged),
    Source("drain_grace", "obligations", "stop_sending_within", milliseconds_to_seconds),
    Source("max_list_request_interval", "obligations", "ask_within", milliseconds_to_seconds),
    Source("slow_start_window", "obligations", "warm_after", milliseconds_to_seconds),
    Source("slow_start_minimum", "obligations", "cold_from", finite_number),
    Source("overload_factor", "obligations", "overload_factor", finite_number),
    Source("overload_span", "obligations", "fall", milliseconds_to_seconds),
    Source("dropped_stay_open", "obligations", "dropped_stay_open", unchanged),
    Source("bare", "specifics", "bare", milliseconds_to_seconds),
    Source("max_waiting_lines", "specifics", "most_waiting", finite_number),
    Source("lines_per_second", "specifics", "egress_per_s", finite_number),
    Source("message_header", "specifics", "overhead", finite_number),
    Source("message_delay", "specifics", "push_delay", milliseconds_to_seconds),
    Source("longest_delay", "specifics", "worst_transit", milliseconds_to_seconds),
    Source("max_messages", "specifics", "pushes_allowed", finite_number),
    Source("messages_window", "specifics", "counted_over", milliseconds_to_seconds),
    Source("cycle", "specifics", "cycle", milliseconds_to_seconds),
    Source("slices", "specifics", "key_ranges", finite_number),
    Source("proxies", "specifics", "proxy_count", finite_number),
    Source("single_owner", "specifics", "one_owner", unchanged),
    Source("write_span", "specifics", "in_flight_max", milliseconds_to_seconds),
    Source("lease", "specifics", "lease", milliseconds_to_seconds),
    Source("default_retry", "specifics", "usual_how", finite_number),
    Source("retry_wait", "specifics", "try_aims", finite_number),
    Source("intake", "specifics", "intake_per_s", finite_number),
    Source("load_balancing", "specifics", "lb_method", renamed(lottery="weighted", wheel="even")),
    Source("levels", "specifics", "throttle_by", renamed(ratio="share", rps="rate", silent="none")),
    Source("standing_lines", "specifics", "default_size", finite_number),
    Source("home_only", "specifics", "home_only", unchanged),
    Source("stays_away_after", "specifics", "ejects", finite_number),
    Source("keys_stay_warm", "specifics", "warm_keys", unchanged),
]


def section_of(options: dict, key: str, kind: type) -> Any:
    """Return a section of the options, or an empty one; raises ValueError if it is of another type."""
    section = options.get(key, kind())
    if not isinstance(section, kind):
        expected = "an object" if kind is dict else "a list"
        raise ValueError(f"{key}: expected {expected}, found {section!r:.40}")
    return section


def parse_settings(options: dict) -> StartupSettings:
    """Return the settings of these options; absent keys keep their defaults, and unknown keys are ignored.

    Raises ValueError, which names the key and its invalid value.
    """
    settings = StartupSettings()
    for source in SOURCES:
        section = section_of(options, source.section, dict) if source.section else options
        if source.key in section:
            value = section[source.key]
            try:
                setattr(settings, source.field, source.convert(value))
            except TypeError as error:
                path = f"{source.section}.{source.key}" if source.section else source.key
                raise ValueError(f"{path}: found {value!r:.40}, {error}") from None
    writes = section_of(section_of(options, "specifics", dict), "mutating", list)
    fields = section_of(section_of(options, "report", dict), "fields", list)
    settings.load_fields = [LOAD_FIELDS[name][0] for name in fields if name in LOAD_FIELDS]
    for position, entry in enumerate(section_of(options, "classes", list)):
        is_write = position < len(writes) and bool(writes[position])
        settings.operations.append(parse_operation(position, entry, is_write))
    return settings


def parse_operation(position: int, entry: Any, writes: bool) -> Operation:
    """Return one operation; raises ValueError, which names its position in the list of classes."""
    try:
        return Operation(
            name=entry["name"],
            kind=OPERATION_KINDS.get(entry["effect"], SIDE_EFFECTING),
            latency_objective=milliseconds_to_seconds(entry["objective"]),
            integration_timeout=milliseconds_to_seconds(entry["deadline"]),
            billed_value=finite_number(entry["importance"]),
            late_value=entry.get("late_worth", 0.0),
            deduplication_scope={"cell": "pool"}.get(entry.get("dedup_scope"), entry.get("dedup_scope", "")),
            deduplication_window=entry.get("window", 0.0) / MS_PER_SECOND,
            writes=writes,
        )
    except KeyError as error:
        raise ValueError(f"classes.{position}.{error.args[0]}: it is missing") from None
    except (TypeError, AttributeError):
        raise ValueError(
            f"classes.{position}: expected an object with fields of the right types, found {entry!r:.60}"
        ) from None
