"""Words and units of the platform's protocol, and checked reading of a message's fields."""

from typing import Any

from ... import events
from ...startup_settings import LOAD_FIELDS as SETTINGS_LOAD_FIELDS
from ...startup_settings import MS

MOST = 1e15  # a figure above is a fault: as a time it is ages, and as a whole number soon no float
UNKNOWN = 16  # unknown names kept for the log; a stranger may send new ones without end
STATES = {"up": events.READY, "draining": events.DRAINING, "removed": events.DEREGISTERED}
# the page's words for load, and the settings' own, which the collectors were seen to send
LOAD_FIELDS = {
    **SETTINGS_LOAD_FIELDS,
    "util": ("utilization", 1.0),
    "queue": ("queued", 1.0),
    "inflight": ("in_flight", 1.0),
    "latency_ms": ("mean_response_time", 1 / MS),
    "qps": ("request_rate", 1.0),
    "eps": ("error_rate", 1.0),
}


class Unreadable(Exception):
    """Bytes that are not the protocol's: what follows them can't be trusted."""


class Skipped(Exception):
    """One message that can't be used; the next may be."""


def is_figure(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= MOST


def number(fields: dict, name: str, default: float | None = None) -> float:
    """A figure that is finite and not negative."""
    value = fields.get(name, default)
    if not is_figure(value):
        raise Skipped(f"{name} is {value!r:.40}")
    return value


def whole(fields: dict, name: str) -> int:
    value = number(fields, name)
    if value != int(value):
        raise Skipped(f"{name} is {value!r:.40}")
    return int(value)


def text(fields: dict, name: str, default: str | None = None) -> str:
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise Skipped(f"{name} is {value!r:.40}")
    return value


def load_of(pairs: Any, unknown: set) -> dict[str, float]:
    """A load report in our words, where there is one. Names that we don't know are kept for the log."""
    load, odd = {}, []
    if not isinstance(pairs, dict | None):
        raise Skipped(f"load is {pairs!r:.40}")
    for name in pairs or ():
        if name in LOAD_FIELDS:
            ours, unit = LOAD_FIELDS[name]
            load[ours] = number(pairs, name) * unit
        else:
            odd.append(name[:40])
    unknown.update(odd[: UNKNOWN - len(unknown)])
    return load


def load_of_body(body: bytes) -> dict[str, float]:
    """The load report that answers a probe: name=value, parted by commas."""
    pairs = {}
    for part in body.decode("ascii", "replace").strip().split(","):
        name, _, value = part.partition("=")
        try:
            pairs[name.strip()] = float(value)
        except ValueError:
            continue
    try:
        return load_of(pairs, set())
    except Skipped:
        return {}
