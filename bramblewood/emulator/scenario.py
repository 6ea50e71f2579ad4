"""What a run does: a TOML file, checked. Times in s from the start of traffic, rates a second.

Machines are named as scenario files name them: archive-N is the Nth controller, desk-N the Nth proxy,
SERVICE-N the Nth worker of a service.
"""

import tomllib
from collections.abc import Collection
from typing import Literal, NamedTuple, NotRequired, TypedDict

from result import Err, Ok, Result

from ..common.schema import check_schema

DEFAULT_CONTROLLERS = 3
DEFAULT_PROXIES = 2
DEFAULT_ZONES = ["norte", "sur"]
CONTROLLER_FAULTS = ("lose disk", "replace")  # kinds that only a controller can have
NETWORK_FAULTS = ("cut", "reset")  # kinds that only a machine behind a relay can have


class ServiceSpec(TypedDict):
    """A service and its workers."""

    name: str
    workers: int
    slots: int
    work_s: float
    keyed: NotRequired[bool]
    copies: NotRequired[bool]  # lookups may be answered from read replicas; ServiceList's ReadCopies


class RequestSpec(TypedDict):
    """A kind of request. adds: what it adds to its record; left out, it is a lookup."""

    name: str
    service: str
    rate: float
    aim_s: float  # latency target
    deadline_s: float
    priority: NotRequired[int]
    adds: NotRequired[int]
    keys: NotRequired[list[int]]  # first and last key; else all
    stays: NotRequired[bool]  # a start that must finish where it began; the route's Pinned


class HotKeySpec(TypedDict):
    """All at once ask after one record."""

    request: str
    key: int
    rate: float
    at: float
    for_s: float


class FaultSpec(TypedDict):
    """kill, lose disk: back after for_s, the latter a controller with an empty disk. replace: killed for
    good, and after for_s a new controller starts at another address, the next by number. cut: from all other
    machines; reset: its connections to them are broken off each second. spoil: a worker's answers are lost or
    sent twice.
    """

    at: float
    kind: Literal["kill", "freeze", "cut", "reset", "spoil", "lose disk", "replace"]
    who: str  # archive-1, desk-2, padron-3 (a worker)
    for_s: NotRequired[float]


class RestartSpec(TypedDict):
    """A machine is stopped by SIGTERM and, once it has ended, started from this release or from the
    earlier one that the run names.

    for_s: between its end and its start.
    """

    at: float
    who: str  # archive-1, desk-2
    release: Literal["current", "previous"]
    for_s: NotRequired[float]


class ChangesSpec(TypedDict):
    """So many configurations, each sent so long after the one before was, or once that has its answer."""

    at: float
    count: int
    every_s: float


class DrainSpec(TypedDict):
    """An operator's plan, sent as `bramblewood drain start` sends it."""

    at: float
    service: str
    count: NotRequired[int]
    zone: NotRequired[str]
    wave: NotRequired[int]


class Scenario(TypedDict):
    """One run."""

    name: str
    seconds: float
    archives: NotRequired[int]  # controllers: three found the set of voters, further ones stand by
    desks: NotRequired[int]  # proxies
    zones: NotRequired[list[str]]
    bounds: NotRequired[list[str]]
    notice: NotRequired[bool]  # whether controllers notice hot keys
    services: list[ServiceSpec]
    requests: list[RequestSpec]
    crushes: NotRequired[list[HotKeySpec]]
    faults: NotRequired[list[FaultSpec]]
    withdrawals: NotRequired[list[DrainSpec]]
    changes: NotRequired[list[ChangesSpec]]
    previous: NotRequired[list[str]]  # machines that start from the earlier release
    restarts: NotRequired[list[RestartSpec]]


class Reference(NamedTuple):
    """A name in a scenario, where it stands, and the names that may stand there."""

    place: str
    name: str
    known: Collection[str]


class Machines(NamedTuple):
    """The names of a scenario's machines."""

    controllers: set[str]
    proxies: set[str]
    workers: set[str]

    def that_can_have(self, fault: str) -> set[str]:
        """Machines that a kind of fault can befall."""
        if fault in CONTROLLER_FAULTS:
            return self.controllers
        if fault in NETWORK_FAULTS:
            return self.controllers | self.proxies
        return self.workers if fault == "spoil" else self.controllers | self.proxies | self.workers


def needs_previous(scenario: Scenario) -> bool:
    """Whether a machine is started from the earlier release."""
    restarts = scenario.get("restarts", [])
    return bool(scenario.get("previous")) or any(one["release"] == "previous" for one in restarts)


def scenario_of(data: bytes) -> Result[Scenario, str]:
    """The scenario, or one line that names what is wrong."""
    try:
        checked = check_schema(tomllib.loads(data.decode()), Scenario)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        return Err(f"not TOML: {problem}")
    if isinstance(checked, Err):
        return Err(str(checked.err_value))
    for place, name, known in _references(checked.ok_value):
        if name not in known:
            return Err(f"{place}: expected one of {', '.join(sorted(known))}, found {name!r}")
    return Ok(checked.ok_value)


def _machines(scenario: Scenario) -> Machines:
    replacements = sum(fault["kind"] == "replace" for fault in scenario.get("faults", []))
    controllers = scenario.get("archives", DEFAULT_CONTROLLERS) + replacements
    return Machines(
        {f"archive-{n + 1}" for n in range(controllers)},
        {f"desk-{n + 1}" for n in range(scenario.get("desks", DEFAULT_PROXIES))},
        {f"{one['name']}-{n + 1}" for one in scenario["services"] for n in range(one["workers"])},
    )


def _references(scenario: Scenario) -> list[Reference]:
    """All names in a scenario that stand for something else in it."""
    machines = _machines(scenario)
    programs = machines.controllers | machines.proxies
    services = {one["name"] for one in scenario["services"]}
    requests = {one["name"] for one in scenario["requests"]}
    found = [
        Reference(f"requests.{i}.service", one["service"], services)
        for i, one in enumerate(scenario["requests"])
    ]
    found += [
        Reference(f"crushes.{i}.request", one["request"], requests)
        for i, one in enumerate(scenario.get("crushes", []))
    ]
    found += [
        Reference(f"faults.{i}.who", one["who"], machines.that_can_have(one["kind"]))
        for i, one in enumerate(scenario.get("faults", []))
    ]
    found += [
        Reference(f"withdrawals.{i}.service", one["service"], services)
        for i, one in enumerate(scenario.get("withdrawals", []))
    ]
    found += [
        Reference(f"previous.{i}", name, programs) for i, name in enumerate(scenario.get("previous", []))
    ]
    found += [
        Reference(f"restarts.{i}.who", one["who"], programs)
        for i, one in enumerate(scenario.get("restarts", []))
    ]
    return found
