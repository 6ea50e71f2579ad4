"""The simulator's protocol: parses JSON lines into events, and formats orders as JSON lines.

Each line is an object with one key, the name of the message, whose value holds the fields of the message.
Times on the wire are in milliseconds. The simulator defines all names and fields.
"""

import json
from typing import Any, NamedTuple

from .. import events
from ..startup_settings import LOAD_FIELDS, MS_PER_SECOND

ALL_SLICES_TABLE = 65535  # the table number on the wire that stands for all slices
STATES = {2: events.READY, 0: events.DRAINING, 1: events.DEREGISTERED}  # worker states by their number
OUTCOMES = {  # outcomes of health checks by their number
    100: "answered",
    301: "errored",
    302: "rate-limited",
    303: "timed-out",
    304: "unreachable",
    305: "broken",
}
Fields = dict[str, Any]


class MalformedInput(Exception):
    """Input that violates the protocol; the text names the line and the violation."""


class Message(NamedTuple):
    """One line of input; `location` is its line number, for error messages."""

    name: str
    fields: Fields
    location: str


def decode(line: bytes, location: str) -> Message:
    """Parse a line of input; raises MalformedInput."""
    try:
        found = json.loads(line)
    except ValueError as error:
        raise MalformedInput(f"{location}: not JSON: {error}") from None
    if not isinstance(found, dict) or len(found) != 1:
        raise MalformedInput(f"{location}: expected an object with one key, the name of the message")
    ((name, fields),) = found.items()
    if not isinstance(fields, dict):
        raise MalformedInput(f"{location}: {name}: expected an object with the fields of the message")
    return Message(name, fields, location)


def encode(name: str, fields: Fields) -> bytes:
    """Return a message as a line of output."""
    return json.dumps({name: fields}, separators=(",", ":")).encode() + b"\n"


def parse_load(fields: Fields) -> dict[str, float]:
    """Return the load report of a message in the names and units of events, without unknown fields."""
    report = fields.get("health_info") or {}
    return {
        LOAD_FIELDS[name][0]: value * LOAD_FIELDS[name][1]
        for name, value in report.items()
        if name in LOAD_FIELDS and isinstance(value, (int, float))
    }


def parse_listed_worker(item: Fields) -> events.ListedWorker:
    """Parse an entry of a worker list; raises KeyError for an unknown state or a missing field."""
    started = item.get("boot_time") or None
    return events.ListedWorker(
        worker=item["worker"],
        state=STATES[item["health"]],
        weight=item.get("w", 0),
        zone=item.get("rack_zone", ""),
        pool=item.get("cluster", 0),
        kind=item.get("class_of_host", ""),
        started=started and started / MS_PER_SECOND,
    )


def parse_event(name: str, fields: Fields) -> events.Event:
    """Parse a message to a manager; raises KeyError for an unknown name or a missing field."""
    match name:
        case "installed":
            return events.MessageAcknowledged(
                fields["edge"], fields["gen"], fields["time_taken"] / MS_PER_SECOND
            )
        case "heard":
            return events.WorkerReported(
                worker=fields["worker"],
                zone=fields.get("rack_zone", ""),
                attempts=fields["n"],
                unanswered=fields.get("bad", 0),
                mean_response_time=fields.get("time_taken", 0) / MS_PER_SECOND,
                interval=fields["over"] / MS_PER_SECOND,
                load=parse_load(fields),
            )
        case "wakeup":
            return events.TimerFired(fields["nonce"])
        case "held":
            return events.RouteStored(fields["table"], fields["worker"], fields["w"])
        case "ping_result":
            return events.HealthCheckFinished(
                worker=fields["worker"],
                outcome=OUTCOMES.get(fields["how"], "unknown"),
                elapsed=fields.get("time_taken", 0) / MS_PER_SECOND,
                load=parse_load(fields),
            )
        case "weight_seen":
            return events.SliceHeatReported(fields["table"], *parse_traffic(fields))
        case "traffic":
            return events.ProxyTrafficReported(fields["edge"], *parse_traffic(fields))
        case "mail":
            return events.PeerMessageReceived(fields["origin_peer"], bytes.fromhex(fields["msg"]))
        case "disconnected":
            return events.ProxyLeft(fields["edge"])
        case "enrolled":
            return events.ProxyJoined(
                proxy=fields["edge"],
                zone=fields.get("rack_zone", ""),
                weight=fields.get("w", 0),
                fresh=fields.get("flag", False),
            )
        case "handed":
            return events.SliceAssigned(fields["table"], fields.get("flag", False))
    raise KeyError(name)


def parse_traffic(fields: Fields) -> tuple[str, int, int, float]:
    """Return operation, invocations, unanswered invocations and interval in s of a traffic report."""
    return fields["class"], fields["n"], fields.get("bad", 0), fields["over"] / MS_PER_SECOND


def format_order(order: events.Order) -> tuple[str, Fields] | None:
    """Return the name and fields of an order's message, or None if the protocol has no message for it.

    Raises TypeError if the value is not an order.
    """
    match order:
        case events.SetRoute(table, worker, weight):
            return "set_weight", {"table": table, "worker": worker, "w": weight}
        case events.ClearTable(table):
            return "reset_table", {"table": table}
        case events.BindProxy(proxy, table, operations):
            return "hand_table", {"only": bit_mask(operations), "table": table, "edge": proxy}
        case events.SetAdmission(table, operations, level, retry):
            number = ALL_SLICES_TABLE if table == events.ALL_SLICES else table
            return "ration", {
                "retry_mode": retry,
                "only": bit_mask(operations),
                "table": number,
                "allowance": level,
            }
        case events.ExcludeWorker(worker, excluded):
            return "pull", {"flag": excluded, "worker": worker}
        case events.RequestAcknowledgement(number, everyone):
            return "seal", {"gen": number, "flag": everyone}
    return format_request(order)


def format_request(order: events.Order) -> tuple[str, Fields] | None:
    """Format an order that does not change tables, as `format_order` does."""
    match order:
        case events.SetTimer(delay, token):
            return "sleep", {"delay": delay * MS_PER_SECOND, "nonce": token}
        case events.CheckHealth(worker):
            return "touch", {"worker": worker}
        case events.SendPeerMessage(manager, payload):
            return "say", {"peer": manager, "msg": payload.hex()}
        case events.RequestWorkerList():
            return "query_all", {}
        case events.SubscribeWorkerList(on):
            return "follow", {"flag": on}
        case events.Log(text):
            return "trace", {"what": text}
        case events.WorkerEjected():
            return None
    raise TypeError(f"no message for {order!r}")


def bit_mask(positions: tuple[int, ...]) -> int:
    """Return the positions of operations as a bit mask; the mask 0 stands for all operations."""
    return sum(1 << position for position in positions)
