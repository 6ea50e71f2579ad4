"""Decodes the calls of workers and operators into commands.

This module does no input or output; `http_listener.py` executes the commands. Each decoder returns a command,
or the `Rejection` of an invalid call. The TypedDict classes declare the JSON fields of the calls. The names
and types of the fields are documented for operators and workers.
"""

import json
import re
from typing import Any, Literal, NotRequired, TypedDict
from urllib.parse import unquote

from result import Err, Ok, Result

from ..common.configuration_parser import decode_configuration
from ..common.schema import check_schema
from ..common.worker_registry import DRAINING, READY, WorkerRegistration
from .commands import (
    AddMember,
    Command,
    DeregisterWorker,
    EndDrainPlan,
    GetConfiguration,
    GetRollout,
    PutConfiguration,
    RegisterWorker,
    Rejection,
    RemoveMember,
    ReplaceMember,
    StartDrainPlan,
    StartRollout,
)

MAX_CALL_BYTES = 64 * 2**10  # limit of the body of a worker's or operator's call
MAX_CONFIGURATION_BYTES = 32 * 2**20  # limit of the body of a call that puts a configuration
INSTANCES_PATH = "/bramblewood/instances/"
CONFIGURATION_PATH = "/bramblewood/config"
ROLLOUTS_PATH = "/bramblewood/rollouts"
INSTANCE_ID_PATTERN = re.compile(r"[\w.~-]{1,128}")
PLAN_NAME_PATTERN = re.compile(r"[\w.-]{1,64}")
CONTROLLER_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}")  # IPv4, as in the setting `Ip`
CALL_SEQUENCE_LIMIT = 2**53  # exclusive; integers below it are exact in JSON
SLOTS_LIMIT = 2**20  # exclusive
MAX_NAME_LENGTH = 256  # characters of a service's name or of a version in a rollout
MAX_ROLLOUT_DURATION = 7 * 86400.0  # s


# --- calls of workers and configuration calls, on the listener `Control`


class WorkerProperties(TypedDict):
    """The service of a worker (Target), its zone, its software revision and its number of slots."""

    Target: str
    Zone: NotRequired[str]
    Revision: NotRequired[str]
    Slots: NotRequired[int]


class WorkerState(TypedDict):
    """The present state of a worker, and the sequence number of this call.

    ColdLeftS: the remaining s of the worker's warm-up.
    """

    Phase: Literal["ready", "draining"]
    CallSeq: int
    ColdLeftS: NotRequired[float]


class Heartbeat(TypedDict):
    """The body of a worker's heartbeat.

    Address: host:port on which the worker serves requests.
    """

    Address: str
    Summary: WorkerProperties
    Condition: WorkerState


def max_body_bytes(method: str, path: str) -> int:
    """Returns the largest allowed size of the body of this call."""
    is_configuration_put = path == CONFIGURATION_PATH and method == "PUT"
    return MAX_CONFIGURATION_BYTES if is_configuration_put else MAX_CALL_BYTES


def decode(method: str, path: str, body: bytes) -> Result[Command, Rejection]:
    """Decodes a call on the listener `Control`. The query string of the path is ignored."""
    path = path.partition("?")[0]
    if path == CONFIGURATION_PATH:
        return decode_configuration_call(method, body)
    if path.startswith(INSTANCES_PATH):
        return decode_instance_call(method, path.removeprefix(INSTANCES_PATH), body)
    if path == ROLLOUTS_PATH:
        return decode_rollout_order(method, body)
    if path.startswith(ROLLOUTS_PATH + "/"):
        return decode_rollout_query(method, path.removeprefix(ROLLOUTS_PATH + "/"))
    return Err(Rejection(404, "no such call"))


def decode_configuration_call(method: str, body: bytes) -> Result[Command, Rejection]:
    """Decodes a call that reads or puts the configuration."""
    if method == "GET":
        return Ok(GetConfiguration())
    if method == "PUT":
        return (
            decode_configuration(body)
            .map(PutConfiguration)
            .map_err(lambda violation: Rejection(400, str(violation)))
        )
    return Err(method_not_allowed(method, CONFIGURATION_PATH, "GET, PUT"))


class RolloutOrderCall(TypedDict):
    """The body of an operator's order of a rollout: the service, the version, and the s until the term."""

    Target: str
    TargetVersion: str
    DurationS: float


def decode_rollout_order(method: str, body: bytes) -> Result[Command, Rejection]:
    """Decodes an order of a rollout."""
    if method != "POST":
        return Err(method_not_allowed(method, ROLLOUTS_PATH, "POST"))
    checked = decode_body(body, RolloutOrderCall)
    if isinstance(checked, Err):
        return checked
    call: RolloutOrderCall = checked.ok_value
    for field in ("Target", "TargetVersion"):
        if not 0 < len(call[field]) <= MAX_NAME_LENGTH:
            return Err(Rejection(400, f"{field}: expected 1 to {MAX_NAME_LENGTH} characters"))
    if not 0 < call["DurationS"] <= MAX_ROLLOUT_DURATION:
        return Err(Rejection(400, f"DurationS: expected more than 0 and at most {MAX_ROLLOUT_DURATION:.0f}"))
    return Ok(StartRollout(call["Target"], call["TargetVersion"], float(call["DurationS"])))


def decode_rollout_query(method: str, service: str) -> Result[Command, Rejection]:
    """Decodes a call that reads the phase of a service's rollout. service: the rest of the path."""
    if method != "GET":
        return Err(method_not_allowed(method, ROLLOUTS_PATH, "GET"))
    return Ok(GetRollout(unquote(service)))


def decode_instance_call(method: str, instance_id: str, body: bytes) -> Result[Command, Rejection]:
    """Decodes a heartbeat or a deregistration of a worker."""
    if not INSTANCE_ID_PATTERN.fullmatch(instance_id):
        return Err(Rejection(400, "the path holds no worker's id"))
    if method == "DELETE":
        return Ok(DeregisterWorker(instance_id))
    if method == "PUT":
        return decode_heartbeat(instance_id, body)
    return Err(method_not_allowed(method, INSTANCES_PATH, "PUT, DELETE"))


def decode_heartbeat(instance_id: str, body: bytes) -> Result[RegisterWorker, Rejection]:
    """Decodes the body of a worker's heartbeat into the command that records its registration."""
    checked = decode_body(body, Heartbeat)
    if isinstance(checked, Err):
        return checked
    heartbeat: Heartbeat = checked.ok_value
    host, _, port = heartbeat["Address"].rpartition(":")
    if not host or not port.isdigit():
        return Err(Rejection(400, f"Address: expected host:port, found {heartbeat['Address']!r:.60}"))
    summary, condition = heartbeat["Summary"], heartbeat["Condition"]
    slots = summary.get("Slots", 1)
    if not 0 <= condition["CallSeq"] < CALL_SEQUENCE_LIMIT or not 0 < slots < SLOTS_LIMIT:
        return Err(Rejection(400, "CallSeq or Slots: out of range"))
    registration = WorkerRegistration(
        service=summary["Target"],
        address=heartbeat["Address"],
        zone=summary.get("Zone", ""),
        slots=slots,
        phase=condition["Phase"] if condition["Phase"] == DRAINING else READY,
        call_sequence=condition["CallSeq"],
        warm_up_left=max(condition.get("ColdLeftS", 0.0), 0.0),
        revision=summary.get("Revision", ""),
    )
    return Ok(RegisterWorker(instance_id, registration))


# --- calls of operators, on the internal listener


class DrainPlanCall(TypedDict):
    """The body of an operator's call about a drain plan.

    Do: "plan" is a dry run of "start". "stop" begins no further wave. "back" cancels a plan and takes its
    workers into use again.
    """

    Do: Literal["start", "plan", "stop", "back"]
    Name: str
    Service: NotRequired[str]
    Workers: NotRequired[list[str]]
    Zone: NotRequired[str]
    Revision: NotRequired[str]
    Count: NotRequired[int]
    Wave: NotRequired[int]


def decode_drain_plan_call(body: bytes) -> Result[StartDrainPlan | EndDrainPlan, Rejection]:
    """Decodes a call about a drain plan."""
    checked = decode_body(body, DrainPlanCall)
    if isinstance(checked, Err):
        return checked
    call: DrainPlanCall = checked.ok_value
    if not PLAN_NAME_PATTERN.fullmatch(call["Name"]):
        return Err(Rejection(400, "Name: expected letters, digits, . _ -, 64 at most"))
    if call["Do"] in ("stop", "back"):
        return Ok(EndDrainPlan(call["Name"], "stopped" if call["Do"] == "stop" else "back"))
    if not call.get("Service"):
        return Err(Rejection(400, "Service: expected a value, found nothing"))
    if call.get("Wave", 1) < 1 or call.get("Count", 1) < 1:
        return Err(Rejection(400, "Wave or Count: expected 1 or more"))
    return Ok(
        StartDrainPlan(
            name=call["Name"],
            service=call["Service"],
            instance_ids=tuple(call.get("Workers", ())),
            zone=call.get("Zone", ""),
            revision=call.get("Revision", ""),
            max_workers=call.get("Count", 0),
            wave_size=call.get("Wave", 1),
            dry_run=call["Do"] == "plan",
        )
    )


class MembershipCall(TypedDict):
    """The body of an operator's call that changes the voter set. Old and New are IPv4 addresses."""

    Do: Literal["replace", "remove", "add"]
    Old: NotRequired[str]
    New: NotRequired[str]


# The address fields that each membership call requires. The other field must be absent.
MEMBERSHIP_CALL_FIELDS = {"replace": ("Old", "New"), "remove": ("Old",), "add": ("New",)}


def decode_membership_call(body: bytes) -> Result[ReplaceMember | RemoveMember | AddMember, Rejection]:
    """Decodes a call that changes the voter set."""
    checked = decode_body(body, MembershipCall)
    if isinstance(checked, Err):
        return checked
    call: MembershipCall = checked.ok_value
    if rejection := check_membership_addresses(call):
        return Err(rejection)
    match call["Do"]:
        case "remove":
            return Ok(RemoveMember(call["Old"]))
        case "add":
            return Ok(AddMember(call["New"]))
    if call["Old"] == call["New"]:
        return Err(Rejection(400, f"New: expected another archive than {call['Old']}"))
    return Ok(ReplaceMember(call["Old"], call["New"]))


def check_membership_addresses(call: MembershipCall) -> Rejection | None:
    """Returns the rejection for the first address field that is missing, unexpected or not an address.

    Returns None if the address fields are valid.
    """
    expected_fields = MEMBERSHIP_CALL_FIELDS[call["Do"]]
    for name in ("Old", "New"):
        if (name in expected_fields) != (name in call):
            found, expected = (
                ("nothing", "an address") if name in expected_fields else ("an address", "nothing")
            )
            return Rejection(400, f"{name}: expected {expected} to {call['Do']}, found {found}")
        if name in call and not CONTROLLER_ADDRESS_PATTERN.fullmatch(call[name]):
            expected = "an address such as 10.0.0.4"
            return Rejection(400, f"{name}: expected {expected}, found {call[name]!r:.60}")
    return None


# --- helpers


def decode_body(body: bytes, body_type: type) -> Result[Any, Rejection]:
    """Decodes a JSON body and keeps the declared fields. The rejection names the first invalid field."""
    try:
        checked = check_schema(json.loads(body), body_type)
    except (ValueError, RecursionError):
        return Err(Rejection(400, "the body is no JSON"))
    return checked.map_err(lambda violation: Rejection(400, str(violation)))


def method_not_allowed(method: str, path: str, allow: str) -> Rejection:
    """Returns the rejection of a method that the path does not support.

    allow: the methods that the path supports, as the header `Allow` lists them.
    """
    return Rejection(405, f"{method:.20} is not for {path}", allow)
