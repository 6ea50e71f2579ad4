"""The settings file of a process: read, checked, and its bounds made numbers. Times in seconds."""

import os
import tomllib
from dataclasses import dataclass
from typing import NotRequired, TypedDict

from result import Err, Ok, Result

from .typed import check

VARIABLE = "BRAMBLEWOOD_BOOT"


class LimitsOfMachine(TypedDict):
    MemoryMb: NotRequired[float]
    MaxFds: NotRequired[int]


class Tolerance(TypedDict):
    Machines: NotRequired[int]


class Boot(TypedDict):
    """The fields that are read, as the users' pages name them."""

    NodeName: str
    Ip: str
    Zone: str
    BindIp: NotRequired[str]
    NoticeCrowds: NotRequired[bool]
    PortRange: list[int]
    SeedNodes: list[str]
    FirstBoot: NotRequired[bool]
    Counted: NotRequired[bool]
    DataDir: NotRequired[str]
    BeatIntervalS: NotRequired[float]
    Bounds: NotRequired[list[str]]
    BindMap: dict[str, str]
    Limits: NotRequired[LimitsOfMachine]
    Tolerance: NotRequired[Tolerance]


@dataclass(frozen=True)
class Bounds:
    """The rules' figures (seconds and plain numbers), by their names in `Bounds`; the defaults are the pages'
    own.
    """

    ReuseAfterS: float = 2.0
    ContactS: float = 3.0
    AckS: float = 5.0
    CatchUpS: float = 4.0
    DrainS: float = 2.5
    GraceS: float = 6.0
    ConfigApplyS: float = 2.5
    RetryRatio: float = 0.2
    RetryWindowS: float = 10.0
    RetrySlack: float = 60.0
    HoldMaxS: float = 10.0
    ThawSlackS: float = 0.3


@dataclass(frozen=True)
class Settings:
    """One process's settings, checked."""

    name: str
    ip: str
    zone: str
    ports: tuple[int, int]
    seeds: tuple[str, ...]  # Control addresses, host:port
    first_boot: bool
    data: str | None
    beat: float  # s between a worker's calls
    listen: dict[str, tuple[str, int]]
    memory: float  # bytes
    descriptors: int
    bounds: Bounds
    losses: int = 1  # machines with a disk that may be away at once
    notice: bool = True  # whether crowded records are looked for
    bind: str = ""  # where to listen for managers and to dial them from, where others know another address

    @property
    def inner(self) -> int:
        """The port at which archives hear other managers; the same on all machines."""
        return self.ports[0]

    def seed_ips(self) -> tuple[str, ...]:
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)


def address(text: str, where: str) -> Result[tuple[str, int], str]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return Err(f"{where}: expected host:port, found {text!r:.60}")
    return Ok((host, int(port)))


def bounds_of(texts: list[str]) -> Result[Bounds, str]:
    """`name=value` texts; unknown names are ignored, a known one that is no number is a fault."""
    found = {}
    for place, text in enumerate(texts):
        name, _, value = text.partition("=")
        if name in Bounds.__dataclass_fields__:
            try:
                found[name] = float(value)
            except ValueError:
                return Err(f"Bounds.{place}: expected {name}=a number, found {text!r:.60}")
    return Ok(Bounds(**found))


def settings_of(data: bytes) -> Result[Settings, str]:
    """What a settings file's bytes say, or one line that names the field."""
    try:
        told = check(tomllib.loads(data.decode()), Boot)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        return Err(f"not TOML: {problem}")
    if isinstance(told, Err):
        return Err(str(told.err_value))
    boot = told.ok_value
    if len(boot["PortRange"]) != 2 or not 0 < boot["PortRange"][0] <= boot["PortRange"][1] < 65536:
        return Err(f"PortRange: expected two rising ports, found {boot['PortRange']!r:.60}")
    listen = {}
    for name, text in boot["BindMap"].items():
        place = address(text, f"BindMap.{name}")
        if isinstance(place, Err):
            return place
        listen[name] = place.ok_value
    for place, text in enumerate(boot["SeedNodes"]):
        if isinstance(found := address(text, f"SeedNodes.{place}"), Err):
            return found
    bounds = bounds_of(boot.get("Bounds", []))
    if isinstance(bounds, Err):
        return bounds
    limits = boot.get("Limits", {})
    return Ok(
        Settings(
            boot["NodeName"],
            boot["Ip"],
            boot["Zone"],
            tuple(boot["PortRange"]),
            tuple(boot["SeedNodes"]),
            boot.get("FirstBoot", False),
            boot.get("DataDir"),
            boot.get("BeatIntervalS", 1.5),
            listen,
            limits.get("MemoryMb", 256.0) * 2**20,
            limits.get("MaxFds", 1024),
            bounds.ok_value,
            boot.get("Tolerance", {}).get("Machines", 1),
            boot.get("NoticeCrowds", True),
            boot.get("BindIp", ""),
        )
    )


def load(path: str | None = None) -> Result[Settings, str]:
    """The file at this path, or at the one that the variable names."""
    path = path or os.environ.get(VARIABLE) or "/etc/bramblewood/boot.toml"
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as problem:
        return Err(f"{path}: {problem.strerror}")
    return settings_of(data).map_err(lambda what: f"{path}: {what}")
