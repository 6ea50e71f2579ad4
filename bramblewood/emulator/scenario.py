"""What a run of the emulator plays: a TOML file, checked. Times in s from the start of traffic, rates a
second.
"""

import tomllib
from typing import Literal, NotRequired, TypedDict

from result import Err, Ok, Result

from ..common.schema import check


class ServiceOf(TypedDict):
    name: str
    workers: int
    slots: int
    work_s: float
    keyed: NotRequired[bool]
    copies: NotRequired[bool]  # lookups may be answered from copies; ServiceList's ReadCopies


class RequestOf(TypedDict):
    """A kind of request. adds: what it adds to its record's ledger; left out, it is a lookup."""

    name: str
    service: str
    rate: float
    aim_s: float
    deadline_s: float
    priority: NotRequired[int]
    adds: NotRequired[int]
    keys: NotRequired[list[int]]  # first and last key; else all
    stays: NotRequired[bool]  # a start that must finish where it began; the route's Pinned


class CrushOf(TypedDict):
    """All at once ask after one record."""

    request: str
    key: int
    rate: float
    at: float
    for_s: float


class FaultOf(TypedDict):
    """kill, lose disk: back after for_s, the latter an archive with an empty disk. replace: killed for good,
    and after for_s a new archive starts at another address, the next by number. cut: from all other managers;
    reset: its connections to them are broken off each second. spoil: a worker's answers are lost or sent
    twice.
    """

    at: float
    kind: Literal["kill", "freeze", "cut", "reset", "spoil", "lose disk", "replace"]
    who: str  # archive-1, desk-2, padron-3 (a worker)
    for_s: NotRequired[float]


class ChangesOf(TypedDict):
    """So many configurations, each sent so long after the one before was, or once that has its answer."""

    at: float
    count: int
    every_s: float


class WithdrawOf(TypedDict):
    """An operator's plan, sent as `bramblewood withdraw start` sends it."""

    at: float
    service: str
    count: NotRequired[int]
    zone: NotRequired[str]
    wave: NotRequired[int]


class Scenario(TypedDict):
    name: str
    seconds: float
    archives: NotRequired[int]  # three found the set of voters, further ones stand by
    desks: NotRequired[int]
    zones: NotRequired[list[str]]
    bounds: NotRequired[list[str]]
    notice: NotRequired[bool]  # whether archives notice crowded records
    services: list[ServiceOf]
    requests: list[RequestOf]
    crushes: NotRequired[list[CrushOf]]
    faults: NotRequired[list[FaultOf]]
    withdrawals: NotRequired[list[WithdrawOf]]
    changes: NotRequired[list[ChangesOf]]


OF_ARCHIVES = ("lose disk", "replace")


def scenario_of(data: bytes) -> Result[Scenario, str]:
    """The scenario, or one line that names what is wrong."""
    try:
        told = check(tomllib.loads(data.decode()), Scenario)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        return Err(f"not TOML: {problem}")
    if isinstance(told, Err):
        return Err(str(told.err_value))
    scenario = told.ok_value
    services = {one["name"]: one for one in scenario["services"]}
    requests = {one["name"] for one in scenario["requests"]}
    befalls = scenario.get("faults", [])
    new = sum(one["kind"] == "replace" for one in befalls)
    archives = {f"archive-{n + 1}" for n in range(scenario.get("archives", 3) + new)}
    desks = {f"desk-{n + 1}" for n in range(scenario.get("desks", 2))}
    workers = {f"{name}-{n + 1}" for name, one in services.items() for n in range(one["workers"])}
    able = {"spoil": workers, "cut": archives | desks, "reset": archives | desks}
    able |= dict.fromkeys(OF_ARCHIVES, archives)
    faults = [
        (f"requests.{i}.service", one["service"], services) for i, one in enumerate(scenario["requests"])
    ]
    faults += [
        (f"crushes.{i}.request", c["request"], requests) for i, c in enumerate(scenario.get("crushes", []))
    ]
    everybody = archives | desks | workers
    faults += [(f"faults.{i}.who", f["who"], able.get(f["kind"], everybody)) for i, f in enumerate(befalls)]
    plans = enumerate(scenario.get("withdrawals", []))
    faults += [(f"withdrawals.{i}.service", one["service"], services) for i, one in plans]
    for where, name, known in faults:
        if name not in known:
            return Err(f"{where}: expected one of {', '.join(sorted(known))}, found {name!r}")
    return Ok(scenario)
