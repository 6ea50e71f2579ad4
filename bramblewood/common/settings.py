"""The settings file of a process: read, checked, and its bounds made numbers. Times in seconds."""

import math
import os
import tomllib
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict

from result import Err, Ok, Result

from .schema import check

VARIABLE = "BRAMBLEWOOD_BOOT"
SEED_REREAD_INTERVAL = (
    10.0  # s without any other manager after which the file is read again: it may name others now
)
# the parts of the rules that this program was written for; `ContractList` names those in force
KNOWN_PARTS = frozenset(("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "own"))


class LimitsOfMachine(TypedDict):
    MemoryMb: NotRequired[float]
    MaxFds: NotRequired[int]


class ToleranceFields(TypedDict):
    Machines: NotRequired[int]
    Zones: NotRequired[int]
    Regions: NotRequired[int]


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
    Tolerance: NotRequired[ToleranceFields]
    ContractList: NotRequired[list[str]]
    Zones: NotRequired[dict[str, str]]


@dataclass(frozen=True)
class Tolerance:
    """What may be lost at once: so many machines that count, or zones, or regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def losses(self) -> int:
        """Voters that may be away at once, where no two stand in a zone or region that may go whole."""
        return max(self.machines, self.zones, self.regions)


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
    tolerance: Tolerance = Tolerance()
    notice: bool = True  # whether crowded records are looked for
    bind: str = ""  # where to listen for managers and to dial them from, where others know another address
    counted: bool = True  # whether the loss of this machine is one of those that `Tolerance` bounds
    zones: dict[str, str] = field(default_factory=dict)  # zone: region
    contract: tuple[str, ...] = ()  # the parts of the rules that are in force
    unread: tuple[str, ...] = ()  # what the file says and this program can't act on
    path: str = ""  # of the file

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


def bounds_of(texts: list[str]) -> Result[tuple[Bounds, tuple[str, ...]], str]:
    """`name=value` texts, and those of known names that say true or false, which leave the default standing.

    Unknown names are ignored; a known one that is no number of 0 or more, nor true or false, is a fault.
    """
    found, unread = {}, []
    for place, text in enumerate(texts):
        name, _, value = (part.strip() for part in text.partition("="))
        if name not in Bounds.__dataclass_fields__:
            continue
        if value in ("true", "false"):
            unread.append(text)
            continue
        try:
            found[name] = float(value)
        except ValueError:
            found[name] = -1.0
        if not 0 <= found[name] < math.inf:
            return Err(f"Bounds.{place}: expected {name}=a number of 0 or more, found {text!r:.60}")
    return Ok((Bounds(**found), tuple(unread)))


def tolerance_of(told: ToleranceFields | None) -> Result[Tolerance, str]:
    """Without the table one machine may go; in it, what is not named may not."""
    if told is None:
        return Ok(Tolerance())
    for name, count in told.items():
        if count < 0:
            return Err(f"Tolerance.{name}: expected 0 or more, found {count}")
    return Ok(Tolerance(told.get("Machines", 0), told.get("Zones", 0), told.get("Regions", 0)))


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
    tolerance = tolerance_of(boot.get("Tolerance"))
    if isinstance(tolerance, Err):
        return tolerance
    limits, (figures, unread) = boot.get("Limits", {}), bounds.ok_value
    contract = tuple(boot.get("ContractList", ()))
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
            figures,
            tolerance.ok_value,
            boot.get("NoticeCrowds", True),
            boot.get("BindIp", ""),
            boot.get("Counted", True),
            boot.get("Zones", {}),
            contract,
            (*(f"ContractList: {part}" for part in contract if part not in KNOWN_PARTS), *unread),
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
    told = settings_of(data).map(lambda found: replace(found, path=path))
    return told.map_err(lambda what: f"{path}: {what}")


def reread_seeds(told: Settings, log: Any) -> tuple[str, ...]:
    """The managers that the file names now; a faulty file is told and names none. The rest of what has
    changed waits for the next start.
    """
    found = load(told.path)
    if isinstance(found, Err):
        log.warning("settings refused", step="settings", reason=found.err_value)
        return ()
    log.info("settings read again", step="settings", seeds=found.ok_value.seeds)
    return found.ok_value.seed_ips()
