"""The simulator's wire: JSON lines into events, and orders into JSON lines.

Each line is an object with one key, the message's name, whose value holds the message's fields. Times on the
wire are in milliseconds. Names and fields are the simulator's.
"""

import json
from typing import Any, NamedTuple

from .. import events
from ..startup_settings import LOAD_FIELDS, MS

EVERY_TABLE = 65535  # the wire's number for all slices
STATES = {2: events.READY, 0: events.DRAINING, 1: events.DEREGISTERED}  # of a worker
OUTCOMES = {  # of a health check
    100: "answered",
    301: "errored",
    302: "rate-limited",
    303: "timed-out",
    304: "unreachable",
    305: "broken",
}
Fields = dict[str, Any]


class MalformedInput(Exception):
    """Input that is not the wire's; the text says what is wrong and where."""


class Message(NamedTuple):
    """One line of input: the message's name and fields, and where it stands."""

    name: str
    fields: Fields
    where: str


def decode(line: bytes, where: str) -> Message:
    """A line of input as a message; raises MalformedInput."""
    try:
        found = json.loads(line)
    except ValueError as problem:
        raise MalformedInput(f"{where}: not JSON: {problem}") from None
    if not isinstance(found, dict) or len(found) != 1:
        raise MalformedInput(f"{where}: expected an object with one key, the message's name")
    ((name, fields),) = found.items()
    if not isinstance(fields, dict):
        raise MalformedInput(f"{where}: fields of {name} are not an object")
    return Message(name, fields, where)


def encode(name: str, fields: Fields) -> bytes:
    """A message as a line of output."""
    return json.dumps({name: fields}, separators=(",", ":")).encode() + b"\n"


def parse_load(fields: Fields) -> dict[str, float]:
    """The load report of a message by our names and units; values that we do not know are skipped."""
    report = fields.get("health_info") or {}
    return {
        LOAD_FIELDS[name][0]: value * LOAD_FIELDS[name][1]
        for name, value in report.items()
        if name in LOAD_FIELDS and isinstance(value, (int, float))
    }


def parse_listed_worker(item: Fields) -> events.ListedWorker:
    """One entry of a worker list."""
    started = item.get("boot_time") or None
    return events.ListedWorker(
        worker=item["worker"],
        state=STATES[item["health"]],
        weight=item.get("w", 0),
        zone=item.get("rack_zone", ""),
        pool=item.get("cluster", 0),
        kind=item.get("class_of_host", ""),
        started=started and started / MS,
    )


def parse_event(name: str, fields: Fields) -> events.Event:
    """The event that a message to a manager tells; raises KeyError for an unknown name or a missing field."""
    match name:
        case "installed":
            return events.MessageAcknowledged(fields["edge"], fields["gen"], fields["time_taken"] / MS)
        case "heard":
            return events.WorkerReported(
                worker=fields["worker"],
                zone=fields.get("rack_zone", ""),
                attempts=fields["n"],
                unanswered=fields.get("bad", 0),
                mean_response_time=fields.get("time_taken", 0) / MS,
                interval=fields["over"] / MS,
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
                elapsed=fields.get("time_taken", 0) / MS,
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
                rate=fields.get("w", 0),
                fresh=fields.get("flag", False),
            )
        case "handed":
            return events.SliceAssigned(fields["table"], fields.get("flag", False))
    raise KeyError(name)


def parse_traffic(fields: Fields) -> tuple[str, int, int, float]:
    """Operation, invocations, unanswered ones and interval in s of a traffic report."""
    return fields["class"], fields["n"], fields.get("bad", 0), fields["over"] / MS


def format_order(order: events.Order) -> tuple[str, Fields] | None:
    """An order as a message's name and fields; None for a notice that the wire does not know.

    Raises TypeError for what is no order.
    """
    match order:
        case events.SetRoute(table, worker, weight):
            return "set_weight", {"table": table, "worker": worker, "w": weight}
        case events.ClearTable(table):
            return "reset_table", {"table": table}
        case events.BindProxy(proxy, table, operations):
            return "hand_table", {"only": bit_mask(operations), "table": table, "edge": proxy}
        case events.SetAdmission(table, operations, level, retry):
            number = EVERY_TABLE if table == events.ALL_SLICES else table
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
    """An order that leaves tables alone; None for a notice that the wire does not know."""
    match order:
        case events.SetTimer(delay, token):
            return "sleep", {"delay": delay * MS, "nonce": token}
        case events.CheckHealth(worker):
            return "touch", {"worker": worker}
        case events.TellPeer(manager, payload):
            return "say", {"peer": manager, "msg": payload.hex()}
        case events.RequestWorkerList():
            return "query_all", {}
        case events.WatchWorkerList(on):
            return "follow", {"flag": on}
        case events.Log(text):
            return "trace", {"what": text}
        case events.WorkerEjected():
            return None
    raise TypeError(f"no message for {order!r}")


def bit_mask(positions: tuple[int, ...]) -> int:
    """Positions of operations as bits; none stands for all of them."""
    return sum(1 << position for position in positions)
