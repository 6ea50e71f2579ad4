"""Wire words and units: lines of JSON into events, and orders into lines of JSON."""

import json
from collections.abc import Callable
from typing import Any

from .. import events
from ..startup_settings import LOAD_FIELDS, MS

EVERY_TABLE = 65535
STATES = {2: events.READY, 0: events.DRAINING, 1: events.DEREGISTERED}
ENDINGS = {
    100: "answered",
    301: "errored",
    302: "rate-limited",
    303: "timed-out",
    304: "unreachable",
    305: "broken",
}


class Malformed(Exception):
    """Input that is not the wire's, with what is wrong and where."""


def decode(line: bytes, where: str) -> tuple[str, dict]:
    """One line of input as its message's name and fields."""
    try:
        message = json.loads(line)
    except ValueError as problem:
        raise Malformed(f"{where}: not JSON: {problem}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise Malformed(f"{where}: expected an object with one key, the message's name")
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise Malformed(f"{where}: fields of {name} are not an object")
    return name, fields


def load_of(fields: dict) -> dict:
    """A load report in our words; values we do not know are skipped."""
    return {
        LOAD_FIELDS[k][0]: v * LOAD_FIELDS[k][1]
        for k, v in (fields.get("health_info") or {}).items()
        if k in LOAD_FIELDS and isinstance(v, (int, float))
    }


def entry_of(item: dict) -> events.ListedWorker:
    started = item.get("boot_time") or None
    return events.ListedWorker(
        item["worker"],
        STATES[item["health"]],
        item.get("w", 0),
        item.get("rack_zone", ""),
        item.get("cluster", 0),
        item.get("class_of_host", ""),
        started and started / MS,
    )


EVENTS: dict[str, Callable[[dict], Any]] = {
    "installed": lambda f: events.MessageAcknowledged(f["edge"], f["gen"], f["time_taken"] / MS),
    "heard": lambda f: events.WorkerReported(
        f["worker"],
        f.get("rack_zone", ""),
        f["n"],
        f.get("bad", 0),
        f.get("time_taken", 0) / MS,
        f["over"] / MS,
        load_of(f),
    ),
    "wakeup": lambda f: events.TimerFired(f["nonce"]),
    "held": lambda f: events.RouteStored(f["table"], f["worker"], f["w"]),
    "ping_result": lambda f: events.HealthCheckFinished(
        f["worker"], ENDINGS.get(f["how"], "unknown"), f.get("time_taken", 0) / MS, load_of(f)
    ),
    "weight_seen": lambda f: events.SliceHeatReported(
        f["table"], f["class"], f["n"], f.get("bad", 0), f["over"] / MS
    ),
    "traffic": lambda f: events.ProxyTrafficReported(
        f["edge"], f["class"], f["n"], f.get("bad", 0), f["over"] / MS
    ),
    "mail": lambda f: events.PeerMessageReceived(f["origin_peer"], bytes.fromhex(f["msg"])),
    "disconnected": lambda f: events.ProxyLeft(f["edge"]),
    "enrolled": lambda f: events.ProxyJoined(
        f["edge"], f.get("rack_zone", ""), f.get("w", 0), f.get("flag", False)
    ),
    "handed": lambda f: events.SliceAssigned(f["table"], f.get("flag", False)),
}


def bits(positions: tuple) -> int:
    return sum(1 << k for k in positions)


def table_number(table: int) -> int:
    return EVERY_TABLE if table == events.ALL_SLICES else table


ORDERS: dict[type, Callable[[Any], tuple[str, dict]]] = {
    events.SetRoute: lambda o: ("set_weight", {"table": o.table, "worker": o.worker, "w": o.weight}),
    events.ClearTable: lambda o: ("reset_table", {"table": o.table}),
    events.BindProxy: lambda o: (
        "hand_table",
        {"only": bits(o.operations), "table": o.table, "edge": o.proxy},
    ),
    events.SetAdmission: lambda o: (
        "ration",
        {
            "retry_mode": o.retry,
            "only": bits(o.operations),
            "table": table_number(o.table),
            "allowance": o.level,
        },
    ),
    events.ExcludeWorker: lambda o: ("pull", {"flag": o.excluded, "worker": o.worker}),
    events.RequestAcknowledgement: lambda o: ("seal", {"gen": o.number, "flag": o.everyone}),
    events.SetTimer: lambda o: ("sleep", {"delay": o.delay * MS, "nonce": o.token}),
    events.CheckHealth: lambda o: ("touch", {"worker": o.worker}),
    events.TellPeer: lambda o: ("say", {"peer": o.manager, "msg": o.payload.hex()}),
    events.RequestWorkerList: lambda o: ("query_all", {}),
    events.WatchWorkerList: lambda o: ("follow", {"flag": o.on}),
    events.Log: lambda o: ("trace", {"what": o.text}),
}
UNSAID = (events.WorkerEjected,)  # told inside a manager; the wire has no word for it


def encode(name: str, fields: dict) -> bytes:
    return json.dumps({name: fields}, separators=(",", ":")).encode() + b"\n"
