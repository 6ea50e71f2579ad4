"""The start-up settings of a manager, typed, and their translation from what the platform sends.

The platform's sections and keys stand in SOURCES; times are in milliseconds there and in seconds here.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .events import FINGERPRINTED, IDEMPOTENT, SIDE_EFFECTING

MS = 1000.0  # milliseconds in a second
EFFECTS = {
    "read_like": IDEMPOTENT,
    "idempotency_key": FINGERPRINTED,
    "non_idempotent": SIDE_EFFECTING,
}
# fields of a load report, by the platform's name: our name, and the factor that gives our unit
LOAD_FIELDS = {
    "cpu": ("utilization", 1.0),
    "waiting": ("queued", 1.0),
    "active": ("in_flight", 1.0),
    "avg_ms": ("mean_response_time", 1 / MS),
    "rps": ("request_rate", 1.0),
    "err_rps": ("error_rate", 1.0),
}


@dataclass
class Operation:
    """One operation of the site; times in s."""

    name: str = ""
    kind: str = SIDE_EFFECTING
    latency_objective: float = 1.0
    integration_timeout: float = 0.0
    billed_value: float = 0.0
    late_value: float = 0.0
    group: str = ""
    window: float = 0.0
    writes: bool = False


@dataclass
class StartupSettings:
    """What a manager is told at its start, with the values that hold where it is not told; times in s.

    Fields that default to None are passed on as told and have no meaning to the policy.
    """

    zone: str = ""
    zones: list[str] = field(default_factory=list)
    manager: float = 0
    managers: float = 1
    slices: float = 0  # of the site, those of all managers
    proxies: float = 0
    cycle: float = 1.0
    single_owner: bool = False
    operations: list[Operation] = field(default_factory=list)
    # the worker list
    must_request_list: bool = False
    request_list_within: float = 4.0
    weights: str | None = None
    # workers: load reports, slow start, and what proxies pick among the routes of a table
    load_fields: list[str] = field(default_factory=list)
    slow_start_window: float = 0.0
    slow_start_minimum: float = 1.0
    pick: str | None = None
    default_retry: float | None = None  # the retry mode that proxies start with
    # the channel to the proxies, in lines: one order to one proxy
    lines_per_second: float = 0.0
    max_waiting_lines: float = 1e9
    message_header: float = 0
    message_delay: float = 0.0
    longest_delay: float = 0.0
    max_messages: float = 0
    messages_window: float = 120.0
    drain_grace: float = math.inf
    # the ledger
    lease: float | None = None
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


def number(value: Any) -> float:
    """The value if it is a finite number; raises TypeError otherwise."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise TypeError("expected a finite number")
    return value


def seconds(value: Any) -> float:
    """Milliseconds as seconds; raises TypeError for what is no finite number."""
    return number(value) / MS


def names(value: Any) -> Any:
    """The value if it is a list of texts; raises TypeError otherwise."""
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise TypeError("expected a list of texts")
    return value


def unchanged(value: Any) -> Any:
    """The value as it is."""
    return value


def renamed(**ours: str) -> Callable[[Any], Any]:
    """A conversion of the platform's words into ours; others stay."""
    return lambda value: ours.get(value, value)


class Source(NamedTuple):
    """Where a setting comes from: our field, the platform's section and key, and how it is converted."""

    field: str
    section: str
    key: str
    convert: Callable[[Any], Any]


SOURCES = [
    Source("zone", "", "az", unchanged),
    Source("zones", "", "zones", names),
    Source("manager", "", "me", number),
    Source("managers", "", "n_instances", number),
    Source("must_request_list", "", "discovery", lambda value: value == "subscribe"),
    Source("weights", "", "weight_kind", renamed(silent="none", nominal="registered")),
    Source("may_probe", "limits", "may_probe", unchanged),
    Source("may_message", "limits", "peers", unchanged),
    Source("drain_grace", "obligations", "stop_sending_within", seconds),
    Source("request_list_within", "obligations", "ask_within", seconds),
    Source("slow_start_window", "obligations", "warm_after", seconds),
    Source("slow_start_minimum", "obligations", "cold_from", number),
    Source("overload_factor", "obligations", "overload_factor", number),
    Source("overload_span", "obligations", "fall", seconds),
    Source("dropped_stay_open", "obligations", "dropped_stay_open", unchanged),
    Source("bare", "specifics", "bare", seconds),
    Source("max_waiting_lines", "specifics", "most_waiting", number),
    Source("lines_per_second", "specifics", "egress_per_s", number),
    Source("message_header", "specifics", "overhead", number),
    Source("message_delay", "specifics", "push_delay", seconds),
    Source("longest_delay", "specifics", "worst_transit", seconds),
    Source("max_messages", "specifics", "pushes_allowed", number),
    Source("messages_window", "specifics", "counted_over", seconds),
    Source("cycle", "specifics", "cycle", seconds),
    Source("slices", "specifics", "key_ranges", number),
    Source("proxies", "specifics", "proxy_count", number),
    Source("single_owner", "specifics", "one_owner", unchanged),
    Source("write_span", "specifics", "in_flight_max", seconds),
    Source("lease", "specifics", "lease", seconds),
    Source("default_retry", "specifics", "usual_how", number),
    Source("retry_wait", "specifics", "try_aims", number),
    Source("intake", "specifics", "intake_per_s", number),
    Source("pick", "specifics", "lb_method", renamed(lottery="weighted", wheel="even")),
    Source("levels", "specifics", "throttle_by", renamed(ratio="share", rps="rate", silent="none")),
    Source("standing_lines", "specifics", "default_size", number),
    Source("home_only", "specifics", "home_only", unchanged),
    Source("stays_away_after", "specifics", "ejects", number),
    Source("keys_stay_warm", "specifics", "warm_keys", unchanged),
]


def section_of(options: dict, key: str, kind: type) -> Any:
    """A section of the options, empty where it is absent; raises ValueError where it is of another type."""
    section = options.get(key, kind())
    if not isinstance(section, kind):
        expected = "an object" if kind is dict else "a list"
        raise ValueError(f"{key}: expected {expected}, found {section!r:.40}")
    return section


def parse_settings(options: dict) -> StartupSettings:
    """The start-up settings; what is absent keeps its default, what is unknown is left out.

    Raises ValueError with the key of a value that can't be used.
    """
    settings = StartupSettings()
    for source in SOURCES:
        section = section_of(options, source.section, dict) if source.section else options
        if source.key in section:
            value = section[source.key]
            try:
                setattr(settings, source.field, source.convert(value))
            except TypeError:
                path = f"{source.section}.{source.key}" if source.section else source.key
                raise ValueError(f"{path}: found {value!r:.40}") from None
    writes = section_of(section_of(options, "specifics", dict), "mutating", list)
    fields = section_of(section_of(options, "report", dict), "fields", list)
    settings.load_fields = [LOAD_FIELDS[name][0] for name in fields if name in LOAD_FIELDS]
    for position, entry in enumerate(section_of(options, "classes", list)):
        does_write = position < len(writes) and bool(writes[position])
        settings.operations.append(parse_operation(position, entry, does_write))
    return settings


def parse_operation(position: int, entry: Any, writes: bool) -> Operation:
    """One operation; raises ValueError with its position in the list of classes."""
    try:
        return Operation(
            name=entry["name"],
            kind=EFFECTS.get(entry["effect"], SIDE_EFFECTING),
            latency_objective=seconds(entry["objective"]),
            integration_timeout=seconds(entry["deadline"]),
            billed_value=number(entry["importance"]),
            late_value=entry.get("late_worth", 0.0),
            group={"cell": "pool"}.get(entry.get("dedup_scope"), entry.get("dedup_scope", "")),
            window=entry.get("window", 0.0) / MS,
            writes=writes,
        )
    except KeyError as problem:
        raise ValueError(f"classes.{position}.{problem.args[0]}: it is missing") from None
    except (TypeError, AttributeError):
        raise ValueError(f"classes.{position}: found {entry!r:.60}") from None
