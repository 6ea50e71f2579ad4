"""Calls of workers and operators, decoded into commands that run elsewhere. Pure."""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, NotRequired, TypedDict

from result import Err, Ok, Result

from ..common.configuration import Configuration, parse
from ..common.schema import check
from ..common.worker_registry import DRAINING, READY, WorkerRegistration

MAX_CALL_BYTES = 64 * 2**10  # bytes of a worker's call
MAX_CONFIGURATION_BYTES = 32 * 2**20  # bytes of a configuration
INSTANCES = "/bramblewood/instances/"
CONFIG_PATH = "/bramblewood/config"
# versions whose digests are kept, so that a repeat is known: five times the 730 changes planned for a day, so
# whoever repeats an order within its day or the four days after hears what became of it
KEPT = 3650
REFUSED_MOST = 64  # orders kept as refused whose parent may still come: eight at once, eight times over


class Summary(TypedDict):
    Target: str
    Zone: NotRequired[str]
    Revision: NotRequired[str]
    Slots: NotRequired[int]


class Condition(TypedDict):
    Phase: Literal["ready", "draining"]
    CallSeq: int
    ColdLeftS: NotRequired[float]


class Heartbeat(TypedDict):
    Address: str
    Summary: Summary
    Condition: Condition


@dataclass(frozen=True)
class RegisterWorker:
    """A worker's call: it is ready or draining."""

    instance_id: str
    registration: WorkerRegistration

    @property
    def is_leaving(self) -> bool:
        return self.registration.phase == DRAINING


@dataclass(frozen=True)
class DeregisterWorker:
    """A worker's last call."""

    instance_id: str


@dataclass(frozen=True)
class PutConfiguration:
    configuration: Configuration


@dataclass(frozen=True)
class GetConfiguration:
    pass


@dataclass(frozen=True)
class StartDrainPlan:
    """Take workers out of service: those named, or all of a service that stand in a zone or run a
    revision.
    """

    name: str
    service: str
    instance_ids: tuple[str, ...]
    zone: str
    revision: str
    count: int
    wave: int
    dry_run: bool


@dataclass(frozen=True)
class EndDrainPlan:
    """Stop a plan, or take all its workers back into use."""

    name: str
    state: Literal["stopped", "back"]


@dataclass(frozen=True)
class ReplaceMember:
    """A spare archive, `new`, is to get the seat of the voter `old`; both by address."""

    old: str
    new: str


@dataclass(frozen=True)
class RemoveMember:
    """A voter is to give up its seat, and nobody gets it."""

    old: str


@dataclass(frozen=True)
class AddMember:
    """A spare archive is to get a seat of its own."""

    new: str


@dataclass(frozen=True)
class Rejection:
    """The answer to a call that can't be taken."""

    status: int
    reason: str
    allow: str = ""


Command = RegisterWorker | DeregisterWorker | PutConfiguration | GetConfiguration


def max_body_bytes(method: str, path: str) -> int:
    """Bytes that the body of this call may have."""
    return MAX_CONFIGURATION_BYTES if path == CONFIG_PATH and method == "PUT" else MAX_CALL_BYTES


def decode(method: str, path: str, body: bytes) -> Result[Command, Rejection]:
    path = path.partition("?")[0]
    if path == CONFIG_PATH:
        if method == "GET":
            return Ok(GetConfiguration())
        if method == "PUT":
            return parse(body).map(PutConfiguration).map_err(lambda fault: Rejection(400, str(fault)))
        return Err(Rejection(405, f"{method:.20} is not for {CONFIG_PATH}", "GET, PUT"))
    if path.startswith(INSTANCES):
        instance_id = path[len(INSTANCES) :]
        if not re.fullmatch(r"[\w.~-]{1,128}", instance_id):
            return Err(Rejection(400, "the path holds no worker's id"))
        if method == "DELETE":
            return Ok(DeregisterWorker(instance_id))
        if method == "PUT":
            return decode_heartbeat(instance_id, body)
        return Err(Rejection(405, f"{method:.20} is not for {INSTANCES}", "PUT, DELETE"))
    return Err(Rejection(404, "no such call"))


class PlanCall(TypedDict):
    """An operator's call about a plan, on the listener for other managers."""

    Do: Literal["start", "plan", "stop", "back"]
    Name: str
    Service: NotRequired[str]
    Workers: NotRequired[list[str]]
    Zone: NotRequired[str]
    Revision: NotRequired[str]
    Count: NotRequired[int]
    Wave: NotRequired[int]


def decode_drain_plan_call(body: bytes) -> Result[StartDrainPlan | EndDrainPlan, Rejection]:
    try:
        told = check(json.loads(body), PlanCall)
    except (ValueError, RecursionError):
        return Err(Rejection(400, "the body is no JSON"))
    if isinstance(told, Err):
        return Err(Rejection(400, str(told.err_value)))
    told = told.ok_value
    if not re.fullmatch(r"[\w.-]{1,64}", told["Name"]):
        return Err(Rejection(400, "Name: expected letters, digits, . _ -, 64 at most"))
    if told["Do"] in ("stop", "back"):
        return Ok(EndDrainPlan(told["Name"], "stopped" if told["Do"] == "stop" else "back"))
    if not told.get("Service"):
        return Err(Rejection(400, "Service: expected a value, found nothing"))
    if told.get("Wave", 1) < 1 or told.get("Count", 1) < 1:
        return Err(Rejection(400, "Wave or Count: expected 1 or more"))
    return Ok(
        StartDrainPlan(
            told["Name"],
            told["Service"],
            tuple(told.get("Workers", ())),
            told.get("Zone", ""),
            told.get("Revision", ""),
            told.get("Count", 0),
            told.get("Wave", 1),
            told["Do"] == "plan",
        )
    )


ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}")  # of a machine, as `Ip` gives it


class MembersCall(TypedDict):
    """An operator's call about who votes, on the listener for other managers."""

    Do: Literal["replace", "remove", "add"]
    Old: NotRequired[str]
    New: NotRequired[str]


def decode_membership_call(body: bytes) -> Result[ReplaceMember | RemoveMember | AddMember, Rejection]:
    try:
        told = check(json.loads(body), MembersCall)
    except (ValueError, RecursionError):
        return Err(Rejection(400, "the body is no JSON"))
    if isinstance(told, Err):
        return Err(Rejection(400, str(told.err_value)))
    told = told.ok_value
    wanted = {"replace": ("Old", "New"), "remove": ("Old",), "add": ("New",)}[told["Do"]]
    for name in ("Old", "New"):
        if (name in wanted) != (name in told):
            found, expected = ("nothing", "an address") if name in wanted else ("an address", "nothing")
            return Err(Rejection(400, f"{name}: expected {expected} to {told['Do']}, found {found}"))
        if name in told and not ADDRESS.fullmatch(told[name]):
            expected = "an address such as 10.0.0.4"
            return Err(Rejection(400, f"{name}: expected {expected}, found {told[name]!r:.60}"))
    match told["Do"]:
        case "remove":
            return Ok(RemoveMember(told["Old"]))
        case "add":
            return Ok(AddMember(told["New"]))
    if told["Old"] == told["New"]:
        return Err(Rejection(400, f"New: expected another archive than {told['Old']}"))
    return Ok(ReplaceMember(told["Old"], told["New"]))


def decode_heartbeat(instance_id: str, body: bytes) -> Result[RegisterWorker, Rejection]:
    try:
        told = check(json.loads(body), Heartbeat)
    except (ValueError, RecursionError):
        return Err(Rejection(400, "the body is no JSON"))
    if isinstance(told, Err):
        return Err(Rejection(400, str(told.err_value)))
    told = told.ok_value
    host, _, port = told["Address"].rpartition(":")
    if not host or not port.isdigit():
        return Err(Rejection(400, f"Address: expected host:port, found {told['Address']!r:.60}"))
    info, condition = told["Summary"], told["Condition"]
    if not 0 <= condition["CallSeq"] < 2**53 or not 0 < info.get("Slots", 1) < 2**20:
        return Err(Rejection(400, "CallSeq or Slots: out of range"))
    return Ok(
        RegisterWorker(
            instance_id,
            WorkerRegistration(
                info["Target"],
                told["Address"],
                info.get("Zone", ""),
                info.get("Slots", 1),
                condition["Phase"] if condition["Phase"] == DRAINING else READY,
                condition["CallSeq"],
                max(condition.get("ColdLeftS", 0.0), 0.0),
                info.get("Revision", ""),
            ),
        )
    )


def apply_configuration(
    configuration: Configuration, stands: dict | None, kept: int = KEPT
) -> tuple[dict | None, tuple[int, str]]:
    """What follows the register's value, and the answer.

    200: this very configuration was taken, whatever came after. 412 (another version stands) and 400 (it does
    not rise): it never was in force and never will be, for numbers only rise, and an order whose parent may
    still come is written down as refused. 503: unclear, as what would tell is forgotten or not there yet.

    The value: {"n": number, "config": as it was put, "past": {number: digest} of the newest `kept`,
    "forgotten": the highest number that `past` no longer holds, "refused": {digest: the parent that is not
    there yet}}.
    """
    number, past = (stands["n"], stands["past"]) if stands else (0, {})
    if past.get(str(configuration.number)) == configuration.digest:
        return None, (200, "")
    if configuration.number <= configuration.parent:
        return None, (400, f"Revision: expected above r{configuration.parent}, found r{configuration.number}")
    if configuration.number <= forgotten(stands):
        return None, (
            503,
            f"r{configuration.number} is too long ago: whether it was taken is no longer known",
        )
    refused = dict(stands.get("refused", {})) if stands else {}
    if configuration.parent < number or configuration.digest in refused:
        return None, (412, f"r{number} is current")
    if (
        configuration.parent > number
    ):  # its parent may still come: refused for good only once that is agreed, too
        if stands is None or len(refused) >= REFUSED_MOST:
            return None, (503, f"r{configuration.parent} is not known, r{number} is current")
        refused[configuration.digest] = configuration.parent
        return {**stands, "refused": refused}, (412, f"r{number} is current")
    past = {**past, str(configuration.number): configuration.digest}
    rising = sorted(past, key=int)
    return {
        "n": configuration.number,
        "config": configuration.raw,
        "past": {name: past[name] for name in rising[-kept:]},
        "forgotten": int(rising[-kept - 1]) if len(rising) > kept else forgotten(stands),
        "refused": {mark: parent for mark, parent in refused.items() if parent >= configuration.number},
    }, (200, "")


def settled_answer(
    configuration: Configuration, stands: dict | None, follow: Callable = apply_configuration
) -> tuple[int, str] | None:
    """The answer that a version known to be chosen settles for good, whatever came after it; None where it
    takes an agreement to tell: the order follows that version, or one that is not known here.
    """
    if stands is None:
        return None
    following, told = follow(configuration, stands)
    return told if following is None and configuration.parent <= stands["n"] else None


def forgotten(stands: dict | None) -> int:
    """The highest number whose digest is no longer kept; 0 where all are. Values that older programs left on
    a disk don't say it: there, all below the oldest kept.
    """
    if stands is None:
        return 0
    oldest = min(map(int, stands["past"]), default=stands["n"] + 1)
    return stands.get("forgotten", oldest - 1)
