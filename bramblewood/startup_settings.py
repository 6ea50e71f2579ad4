"""The start-up settings, as both roads receive them, turned into the plain map that the module is given."""

import math
from collections.abc import Callable
from typing import Any

from . import events

MS = 1000.0  # the settings' times are in milliseconds
EFFECTS = {
    "read_like": events.IDEMPOTENT,
    "idempotency_key": events.FINGERPRINTED,
    "non_idempotent": events.SIDE_EFFECTING,
}
LOAD_WORDS = {
    "cpu": ("utilization", 1.0),
    "waiting": ("queued", 1.0),
    "active": ("in_flight", 1.0),
    "avg_ms": ("mean_response_time", 1 / MS),
    "rps": ("request_rate", 1.0),
    "err_rps": ("error_rate", 1.0),
}


def figure(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise TypeError("expected a finite number")
    return value


def names(value: Any) -> Any:
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        raise TypeError("expected a list of texts")
    return value


# start-up facts: our name, the wire's section and key, and what turns one into the other
PLAIN, SECONDS = (lambda value: value), (lambda value: figure(value) / MS)
FACTS: list[tuple[str, str, str, Callable[[Any], Any]]] = [
    ("zone", "", "az", PLAIN),
    ("zones", "", "zones", names),
    ("manager", "", "me", figure),
    ("managers", "", "n_instances", figure),
    ("must_ask_for_list", "", "discovery", lambda v: v == "subscribe"),
    ("weights", "", "weight_kind", lambda v: {"silent": "none", "nominal": "registered"}.get(v, v)),
    ("may_probe", "limits", "may_probe", PLAIN),
    ("may_message", "limits", "peers", PLAIN),
    ("drain_grace", "obligations", "stop_sending_within", SECONDS),
    ("ask_within", "obligations", "ask_within", SECONDS),
    ("warm_after", "obligations", "warm_after", SECONDS),
    ("cold_from", "obligations", "cold_from", figure),
    ("overload_factor", "obligations", "overload_factor", figure),
    ("overload_span", "obligations", "fall", SECONDS),
    ("dropped_stay_open", "obligations", "dropped_stay_open", PLAIN),
    ("bare", "specifics", "bare", SECONDS),
    ("most_waiting", "specifics", "most_waiting", figure),
    ("lines_per_second", "specifics", "egress_per_s", figure),
    ("message_head", "specifics", "overhead", figure),
    ("message_delay", "specifics", "push_delay", SECONDS),
    ("longest_delay", "specifics", "worst_transit", SECONDS),
    ("messages_allowed", "specifics", "pushes_allowed", figure),
    ("messages_span", "specifics", "counted_over", SECONDS),
    ("cycle", "specifics", "cycle", SECONDS),
    ("slices", "specifics", "key_ranges", figure),
    ("proxies", "specifics", "proxy_count", figure),
    ("single_owner", "specifics", "one_owner", PLAIN),
    ("write_span", "specifics", "in_flight_max", SECONDS),
    ("lease", "specifics", "lease", SECONDS),
    ("usual_retry", "specifics", "usual_how", figure),
    ("retry_wait", "specifics", "try_aims", figure),
    ("intake", "specifics", "intake_per_s", figure),
    ("pick", "specifics", "lb_method", lambda v: {"lottery": "weighted", "wheel": "even"}.get(v, v)),
    (
        "levels",
        "specifics",
        "throttle_by",
        lambda v: {"ratio": "share", "rps": "rate", "silent": "none"}.get(v, v),
    ),
    ("standing_lines", "specifics", "default_size", figure),
    ("home_only", "specifics", "home_only", PLAIN),
    ("stays_away_after", "specifics", "ejects", figure),
    ("keys_stay_warm", "specifics", "warm_keys", PLAIN),
]


def part_of(options: dict, key: str, kind: type) -> Any:
    part = options.get(key, kind())
    if not isinstance(part, kind):
        raise ValueError(f"{key}: expected {'an object' if kind is dict else 'a list'}, found {part!r:.40}")
    return part


def facts_of(options: dict) -> dict:
    """The start-up settings as a plain map in our words; what is absent or unknown is left out.

    A value that can't be used raises ValueError with its key.
    """
    facts = {}
    for ours, section, key, turn in FACTS:
        part = part_of(options, section, dict) if section else options
        if key in part:
            try:
                facts[ours] = turn(part[key])
            except TypeError:
                raise ValueError(f"{section and section + '.'}{key}: found {part[key]!r:.40}") from None
    writes = part_of(part_of(options, "specifics", dict), "mutating", list)
    fields = part_of(part_of(options, "report", dict), "fields", list)
    facts["load_fields"] = [LOAD_WORDS[field][0] for field in fields if field in LOAD_WORDS]
    facts["operations"] = []
    for k, c in enumerate(part_of(options, "classes", list)):
        try:
            facts["operations"].append(operation_of(c, k < len(writes) and bool(writes[k])))
        except KeyError as problem:
            raise ValueError(f"classes.{k}.{problem.args[0]}: it is missing") from None
        except (TypeError, AttributeError):
            raise ValueError(f"classes.{k}: found {c!r:.60}") from None
    return facts


def operation_of(c: dict, writes: bool) -> dict:
    return {
        "name": c["name"],
        "kind": EFFECTS.get(c["effect"], events.SIDE_EFFECTING),
        "latency_objective": figure(c["objective"]) / MS,
        "integration_timeout": figure(c["deadline"]) / MS,
        "billed_value": figure(c["importance"]),
        "late_value": c.get("late_worth", 0.0),
        "group": {"cell": "pool"}.get(c.get("dedup_scope"), c.get("dedup_scope", "")),
        "window": c.get("window", 0.0) / MS,
        "writes": writes,
    }
