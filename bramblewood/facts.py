"""The start-up settings, as both roads receive them, turned into the plain map that the module is given."""

from collections.abc import Callable
from typing import Any

from . import interface as door

MS = 1000.0  # the settings' times are in milliseconds
EFFECTS = {"read_like": door.IDEMPOTENT, "idempotency_key": door.FINGERPRINTED,
           "non_idempotent": door.SIDE_EFFECTING}
LOAD_WORDS = {"cpu": ("busy", 1.0), "waiting": ("queued", 1.0), "active": ("held", 1.0),
              "avg_ms": ("mean_time", 1 / MS), "rps": ("rate", 1.0), "err_rps": ("errored_rate", 1.0)}
# start-up facts: our name, the wire's section and key, and what turns one into the other
PLAIN, SECONDS = (lambda value: value), (lambda value: value / MS)
FACTS: list[tuple[str, str, str, Callable[[Any], Any]]] = [
    ("zone", "", "az", PLAIN),
    ("zones", "", "zones", PLAIN),
    ("manager", "", "me", PLAIN),
    ("managers", "", "n_instances", PLAIN),
    ("must_ask_for_list", "", "discovery", lambda v: v == "subscribe"),
    ("weights", "", "weight_kind", lambda v: {"silent": "none", "nominal": "registered"}.get(v, v)),
    ("may_probe", "limits", "may_probe", PLAIN),
    ("may_message", "limits", "peers", PLAIN),
    ("drain_grace", "obligations", "stop_sending_within", SECONDS),
    ("ask_within", "obligations", "ask_within", SECONDS),
    ("warm_after", "obligations", "warm_after", SECONDS),
    ("cold_from", "obligations", "cold_from", PLAIN),
    ("overload_factor", "obligations", "overload_factor", PLAIN),
    ("overload_span", "obligations", "fall", SECONDS),
    ("dropped_stay_open", "obligations", "dropped_stay_open", PLAIN),
    ("bare", "specifics", "bare", SECONDS),
    ("most_waiting", "specifics", "most_waiting", PLAIN),
    ("lines_per_second", "specifics", "egress_per_s", PLAIN),
    ("message_head", "specifics", "overhead", PLAIN),
    ("message_delay", "specifics", "push_delay", SECONDS),
    ("longest_delay", "specifics", "worst_transit", SECONDS),
    ("messages_allowed", "specifics", "pushes_allowed", PLAIN),
    ("messages_span", "specifics", "counted_over", SECONDS),
    ("cycle", "specifics", "cycle", SECONDS),
    ("slices", "specifics", "key_ranges", PLAIN),
    ("proxies", "specifics", "proxy_count", PLAIN),
    ("single_owner", "specifics", "one_owner", PLAIN),
    ("write_span", "specifics", "in_flight_max", SECONDS),
    ("lease", "specifics", "lease", SECONDS),
    ("usual_retry", "specifics", "usual_how", PLAIN),
    ("retry_wait", "specifics", "try_aims", PLAIN),
    ("intake", "specifics", "intake_per_s", PLAIN),
    ("pick", "specifics", "lb_method", lambda v: {"lottery": "weighted", "wheel": "even"}.get(v, v)),
    ("levels", "specifics", "throttle_by",
     lambda v: {"ratio": "share", "rps": "rate", "silent": "none"}.get(v, v)),
    ("standing_lines", "specifics", "default_size", PLAIN),
    ("home_only", "specifics", "home_only", PLAIN),
    ("stays_away_after", "specifics", "ejects", PLAIN),
    ("keys_stay_warm", "specifics", "warm_keys", PLAIN),
]


def facts_of(options: dict) -> dict:
    """The start-up settings as a plain map in our words; what is absent or unknown is left out."""
    facts = {}
    for ours, section, key, turn in FACTS:
        part = options.get(section, {}) if section else options
        if key in part:
            facts[ours] = turn(part[key])
    writes = options.get("specifics", {}).get("mutating", [])
    fields = options.get("report", {}).get("fields", [])
    facts["load_fields"] = [LOAD_WORDS[field][0] for field in fields if field in LOAD_WORDS]
    facts["operations"] = [{
        "name": c["name"], "kind": EFFECTS.get(c["effect"], door.SIDE_EFFECTING),
        "latency_objective": c["objective"] / MS, "integration_timeout": c["deadline"] / MS,
        "billed_value": c["importance"], "late_value": c.get("late_worth", 0.0),
        "group": {"cell": "pool"}.get(c.get("dedup_scope"), c.get("dedup_scope", "")),
        "window": c.get("window", 0.0) / MS, "writes": bool(writes[k]) if k < len(writes) else False,
    } for k, c in enumerate(options.get("classes", []))]
    return facts
