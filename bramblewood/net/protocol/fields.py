"""Words and units of the platform's protocol, and checked reading of a message's fields."""

from typing import Any

from ... import events
from ...startup_settings import LOAD_FIELDS as SETTINGS_LOAD_FIELDS
from ...startup_settings import MS_PER_SECOND

MAX_NUMBER = 1e15  # a figure above is a fault: as a time it is ages, and as a whole number soon no float
MAX_UNKNOWN_NAMES = 16  # unknown names kept for the log; a stranger may send new ones without end
STATES = {"up": events.READY, "draining": events.DRAINING, "removed": events.DEREGISTERED}
# the page's words for load, and the settings' own, which the collectors were seen to send
LOAD_FIELDS = {
    **SETTINGS_LOAD_FIELDS,
    "util": ("utilization", 1.0),
    "queue": ("queued", 1.0),
    "inflight": ("in_flight", 1.0),
    "latency_ms": ("mean_response_time", 1 / MS_PER_SECOND),
    "qps": ("request_rate", 1.0),
    "eps": ("error_rate", 1.0),
}


class ProtocolError(Exception):
    """Bytes that are not the protocol's: what follows them can't be trusted."""


class InvalidMessage(Exception):
    """One message that can't be used; the next may be."""


def is_number(value: Any) -> bool:
    """Whether a value is a number that may stand in a message."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER


def number(fields: dict, name: str, default: float | None = None) -> float:
    """A figure that is finite and not negative."""
    value = fields.get(name, default)
    if not is_number(value):
        raise InvalidMessage(f"{name} is {value!r:.40}")
    return value


def whole_number(fields: dict, name: str) -> int:
    """A number of a message that is whole; raises InvalidMessage."""
    value = number(fields, name)
    if value != int(value):
        raise InvalidMessage(f"{name} is {value!r:.40}")
    return int(value)


def text(fields: dict, name: str, default: str | None = None) -> str:
    """A text of a message; raises InvalidMessage."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise InvalidMessage(f"{name} is {value!r:.40}")
    return value


def parse_load(pairs: Any, unknown: set) -> dict[str, float]:
    """A load report in our words, where there is one. Names that we don't know are kept for the log."""
    load, odd = {}, []
    if not isinstance(pairs, dict | None):
        raise InvalidMessage(f"load is {pairs!r:.40}")
    for name in pairs or ():
        if name in LOAD_FIELDS:
            ours, unit = LOAD_FIELDS[name]
            load[ours] = number(pairs, name) * unit
        else:
            odd.append(name[:40])
    unknown.update(odd[: MAX_UNKNOWN_NAMES - len(unknown)])
    return load


def parse_load_body(body: bytes) -> dict[str, float]:
    """The load report that answers a probe: name=value, parted by commas."""
    pairs = {}
    for part in body.decode("ascii", "replace").strip().split(","):
        name, _, value = part.partition("=")
        try:
            pairs[name.strip()] = float(value)
        except ValueError:
            continue
    try:
        return parse_load(pairs, set())
    except InvalidMessage:
        return {}
