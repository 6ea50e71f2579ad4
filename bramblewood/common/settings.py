"""The settings file of a proxy or controller: read, checked, and its `Bounds` made numbers.

Field names are those of docs/configuration.md, "The gateway's settings file". Times in seconds.
"""

import math
import os
import tomllib
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict

from result import Err, Ok, Result

from .errors import SettingsError, SettingsUnreadableError
from .schema import check
from .settings_path import DEFAULT_SETTINGS_PATH, SETTINGS_PATH_VARIABLE

# s without any connected peer after which the file is read again: it may name others by now
SEED_REREAD_INTERVAL = 10.0
# the parts of the rules that this program was written for; `ContractList` names those in force
SUPPORTED_RULE_PARTS = frozenset(
    ("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "own")
)
MAX_PORT = 65535
# where the file names none
DEFAULT_HEARTBEAT_INTERVAL = 1.5  # s
DEFAULT_MEMORY_MIB = 256.0
DEFAULT_DESCRIPTOR_LIMIT = 1024


class MachineLimits(TypedDict):
    """The table `Limits`."""

    MemoryMb: NotRequired[float]
    MaxFds: NotRequired[int]


class ToleranceFields(TypedDict):
    """The table `Tolerance`."""

    Machines: NotRequired[int]
    Zones: NotRequired[int]
    Regions: NotRequired[int]


class SettingsFile(TypedDict):
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
    Limits: NotRequired[MachineLimits]
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
        """Voters that may be lost at once, where no two stand in a zone or region that may be lost as one."""
        return max(self.machines, self.zones, self.regions)


@dataclass(frozen=True)
class Bounds:
    """The rules' figures (seconds and plain numbers) by their names in `Bounds`; the pages' defaults."""

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
    """The settings of one process, checked."""

    name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_addresses: tuple[str, ...]  # of controllers' `Control` listeners, host:port
    first_boot: bool
    data_directory: str | None
    heartbeat_interval: float  # s between a worker's calls
    listen_addresses: dict[str, tuple[str, int]]  # by name of listener
    memory_limit: float  # bytes
    descriptor_limit: int
    bounds: Bounds
    tolerance: Tolerance = Tolerance()
    detect_hot_keys: bool = True
    bind_ip: str = ""  # where to listen for peers and to dial them from, where others know another address
    counts_for_tolerance: bool = True  # whether `Tolerance` bounds the loss of this machine
    region_of_zone: dict[str, str] = field(default_factory=dict)
    rule_parts: tuple[str, ...] = ()  # the parts of the rules that are in force
    unsupported: tuple[str, ...] = ()  # what the file says and this program can't act on
    path: str = ""  # of the file

    @property
    def peer_port(self) -> int:
        """The port at which controllers listen for peers; the same on all machines."""
        return self.port_range[0]

    def seed_hosts(self) -> tuple[str, ...]:
        """The hosts of the seed addresses."""
        return tuple(address.rpartition(":")[0] for address in self.seed_addresses)


def load(path: str | None = None) -> Result[Settings, SettingsError]:
    """The settings file at this path, or at the one that the environment variable names."""
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE) or DEFAULT_SETTINGS_PATH
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        return Err(SettingsUnreadableError(error.strerror, path=path))
    settings = parse_settings(content).map(lambda parsed: replace(parsed, path=path))
    return settings.map_err(lambda error: error.in_file(path))


def reread_seeds(settings: Settings, log: Any) -> tuple[str, ...]:
    """The hosts of the seeds that the file names now; none where it is faulty, which is logged.

    Other fields that have changed act at the next start.
    """
    reread = load(settings.path)
    if isinstance(reread, Err):
        log.warning("settings refused", **reread.err_value.log_fields())
        return ()
    log.info("settings read again", step="settings", seeds=reread.ok_value.seed_addresses)
    return reread.ok_value.seed_hosts()


def parse_settings(content: bytes) -> Result[Settings, SettingsError]:
    """The settings in a file's content, or the first fault, whose text names the field."""
    try:
        table = tomllib.loads(content.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err(SettingsError(f"not TOML: {error}"))
    checked = check(table, SettingsFile)
    if isinstance(checked, Err):
        return Err(SettingsError(checked.err_value))
    try:
        return Ok(_settings_from(checked.ok_value))
    except SettingsError as error:
        return Err(error)


def _settings_from(fields: SettingsFile) -> Settings:
    port_range = _parse_port_range(fields["PortRange"])
    listen_addresses = {
        name: _parse_address(text, f"BindMap.{name}") for name, text in fields["BindMap"].items()
    }
    for index, text in enumerate(fields["SeedNodes"]):
        _parse_address(text, f"SeedNodes.{index}")
    bounds, not_numbers = _parse_bounds(fields.get("Bounds", []))
    limits, rule_parts = fields.get("Limits", {}), tuple(fields.get("ContractList", ()))
    unknown_parts = (f"ContractList: {part}" for part in rule_parts if part not in SUPPORTED_RULE_PARTS)
    return Settings(
        name=fields["NodeName"],
        ip=fields["Ip"],
        zone=fields["Zone"],
        port_range=port_range,
        seed_addresses=tuple(fields["SeedNodes"]),
        first_boot=fields.get("FirstBoot", False),
        data_directory=fields.get("DataDir"),
        heartbeat_interval=fields.get("BeatIntervalS", DEFAULT_HEARTBEAT_INTERVAL),
        listen_addresses=listen_addresses,
        memory_limit=limits.get("MemoryMb", DEFAULT_MEMORY_MIB) * 2**20,
        descriptor_limit=limits.get("MaxFds", DEFAULT_DESCRIPTOR_LIMIT),
        bounds=bounds,
        tolerance=_parse_tolerance(fields.get("Tolerance")),
        detect_hot_keys=fields.get("NoticeCrowds", True),
        bind_ip=fields.get("BindIp", ""),
        counts_for_tolerance=fields.get("Counted", True),
        region_of_zone=fields.get("Zones", {}),
        rule_parts=rule_parts,
        unsupported=(*unknown_parts, *not_numbers),
    )


def _parse_port_range(ports: list[int]) -> tuple[int, int]:
    if len(ports) != 2 or not 0 < ports[0] <= ports[1] <= MAX_PORT:
        raise SettingsError(f"PortRange: expected two rising ports, found {ports!r:.60}")
    return ports[0], ports[1]


def _parse_address(text: str, path: str) -> tuple[str, int]:
    """host:port as its parts; path: the field, for the error."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{path}: expected host:port, found {text!r:.60}")
    return host, int(port)


def _parse_bounds(texts: list[str]) -> tuple[Bounds, tuple[str, ...]]:
    """`name=value` texts, and those of known names that say true or false, which leave the default standing.

    Unknown names are ignored; a known one that is neither a number of 0 or more nor true or false
    is an error.
    """
    values: dict[str, float] = {}
    not_numbers = []
    for index, text in enumerate(texts):
        name, _, value = (part.strip() for part in text.partition("="))
        if name not in Bounds.__dataclass_fields__:
            continue
        if value in ("true", "false"):
            not_numbers.append(text)
            continue
        number = _float_or_none(value)
        if number is None or not 0 <= number < math.inf:
            raise SettingsError(f"Bounds.{index}: expected {name}=a number of 0 or more, found {text!r:.60}")
        values[name] = number
    return Bounds(**values), tuple(not_numbers)


def _float_or_none(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _parse_tolerance(fields: ToleranceFields | None) -> Tolerance:
    """Without the table the loss of one machine is tolerated; in it, what is left out is not."""
    if fields is None:
        return Tolerance()
    for name, count in fields.items():
        if count < 0:
            raise SettingsError(f"Tolerance.{name}: expected 0 or more, found {count}")
    return Tolerance(fields.get("Machines", 0), fields.get("Zones", 0), fields.get("Regions", 0))
