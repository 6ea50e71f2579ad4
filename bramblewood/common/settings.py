"""Reads and checks the settings file of a proxy or controller, and parses its `Bounds`.

Field names are those of docs/configuration.md, "The gateway's settings file". Times are in seconds.
"""

import math
import os
import tomllib
from dataclasses import dataclass, field, replace
from typing import Any, NotRequired, TypedDict

from result import Err, Ok, Result

from .errors import SettingsError, SettingsUnreadableError
from .schema import check_schema
from .settings_path import DEFAULT_SETTINGS_PATH, SETTINGS_PATH_VARIABLE

# s without a connected peer after which the file is read again, since its seeds may have changed
SEED_REREAD_INTERVAL = 10.0
# the parts of the rules that this program supports; `ContractList` names the parts in force
SUPPORTED_RULE_PARTS = frozenset(
    ("base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "own")
)
MAX_PORT = 65535
# the defaults of fields that the file does not contain
DEFAULT_HEARTBEAT_INTERVAL = 1.5  # s
DEFAULT_MEMORY_MIB = 256.0
DEFAULT_DESCRIPTOR_LIMIT = 1024


class MachineLimits(TypedDict):
    """The fields of the table `Limits`."""

    MemoryMb: NotRequired[float]
    MaxFds: NotRequired[int]


class ToleranceFields(TypedDict):
    """The fields of the table `Tolerance`."""

    Machines: NotRequired[int]
    Zones: NotRequired[int]
    Regions: NotRequired[int]


class SettingsFile(TypedDict):
    """The fields of the settings file that this program reads."""

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
    """The numbers of machines, of zones or of regions whose simultaneous loss is tolerated.

    Machines whose `Counted` is false do not count.
    """

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def tolerated_losses(self) -> int:
        """The number of voters that may be lost at once.

        It assumes that a zone or region whose loss is tolerated contains one voter at most.
        """
        return max(self.machines, self.zones, self.regions)


@dataclass(frozen=True)
class Bounds:
    """The bounds of the rules, in seconds or without a unit, with the documented defaults.

    The fields have the names that the file uses in `Bounds`.
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
    ExposureShare: float = 0.1
    RollbackS: float = 5.0


@dataclass(frozen=True)
class Settings:
    """The checked settings of one process."""

    name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_addresses: tuple[str, ...]  # of controllers' `Control` listeners, host:port
    first_boot: bool
    data_directory: str | None
    heartbeat_interval: float  # s between a worker's heartbeats
    listen_addresses: dict[str, tuple[str, int]]  # by name of listener
    memory_limit: float  # bytes
    descriptor_limit: int
    bounds: Bounds
    tolerance: Tolerance = Tolerance()
    detect_hot_keys: bool = True
    # the local address of connections with peers, if it differs from the `ip` that peers dial; else ""
    bind_ip: str = ""
    counts_for_tolerance: bool = True  # whether the loss of this machine counts for `Tolerance`
    region_of_zone: dict[str, str] = field(default_factory=dict)
    rule_parts: tuple[str, ...] = ()  # the parts of the rules that are in force
    unsupported: tuple[str, ...] = ()  # the settings in the file that this program does not support
    path: str = ""  # the path of the file

    @property
    def peer_port(self) -> int:
        """The port on which controllers listen for peers. It is the same on all machines."""
        return self.port_range[0]

    def seed_hosts(self) -> tuple[str, ...]:
        """Return the hosts of the seed addresses."""
        return tuple(address.rpartition(":")[0] for address in self.seed_addresses)


def load_settings(path: str | None = None) -> Result[Settings, SettingsError]:
    """Read the settings file, and return the settings or the first error.

    If `path` is None, the path is the value of the environment variable SETTINGS_PATH_VARIABLE, or
    DEFAULT_SETTINGS_PATH if that variable is not set.
    """
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE) or DEFAULT_SETTINGS_PATH
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        return Err(SettingsUnreadableError(error.strerror, path=path))
    settings = parse_settings(content).map(lambda parsed: replace(parsed, path=path))
    return settings.map_err(lambda error: error.in_file(path))


def reread_seeds(settings: Settings, log: Any) -> tuple[str, ...]:
    """Read the settings file again, and return the hosts of its seeds.

    If the file is invalid, log the error and return (). Changes of other fields take effect at the next
    start.
    """
    reread_settings = load_settings(settings.path)
    if isinstance(reread_settings, Err):
        log.warning("settings file invalid", **reread_settings.err_value.log_fields())
        return ()
    log.info("settings file reread", step="settings", seeds=reread_settings.ok_value.seed_addresses)
    return reread_settings.ok_value.seed_hosts()


def parse_settings(content: bytes) -> Result[Settings, SettingsError]:
    """Return the settings in the content of a file, or the first error, whose text names the field."""
    try:
        table = tomllib.loads(content.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err(SettingsError(f"invalid TOML: {error}"))
    checked = check_schema(table, SettingsFile)
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
    bounds, unsupported_bounds = _parse_bounds(fields.get("Bounds", []))
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
        unsupported=(*unknown_parts, *unsupported_bounds),
    )


def _parse_port_range(ports: list[int]) -> tuple[int, int]:
    if len(ports) != 2 or not 0 < ports[0] <= ports[1] <= MAX_PORT:
        raise SettingsError(f"PortRange: expected two ports in ascending order, found {ports!r:.60}")
    return ports[0], ports[1]


def _parse_address(text: str, path: str) -> tuple[str, int]:
    """Return the parts of a text `host:port`. Raises SettingsError, which names the field `path`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{path}: expected host:port, found {text!r:.60}")
    return host, int(port)


def _parse_bounds(texts: list[str]) -> tuple[Bounds, tuple[str, ...]]:
    """Parse `name=value` texts. Returns the bounds, and the texts that are not supported.

    A text with a known name and the value true or false is not supported, and its bound keeps its default.
    Unknown names are ignored. Any other value that is not a number of 0 or more raises SettingsError.
    """
    values: dict[str, float] = {}
    unsupported_bounds = []
    for index, text in enumerate(texts):
        name, _, value = (part.strip() for part in text.partition("="))
        if name not in Bounds.__dataclass_fields__:
            continue
        if value in ("true", "false"):
            unsupported_bounds.append(text)
            continue
        number = _float_or_none(value)
        if number is None or not 0 <= number < math.inf:
            raise SettingsError(f"Bounds.{index}: expected {name}=a number of 0 or more, found {text!r:.60}")
        values[name] = number
    return Bounds(**values), tuple(unsupported_bounds)


def _float_or_none(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _parse_tolerance(fields: ToleranceFields | None) -> Tolerance:
    """Return the default tolerance if there is no table, and otherwise that of the table.

    A field that the table does not contain counts as 0. Raises SettingsError if a field is negative.
    """
    if fields is None:
        return Tolerance()
    for name, count in fields.items():
        if count < 0:
            raise SettingsError(f"Tolerance.{name}: expected 0 or more, found {count}")
    return Tolerance(fields.get("Machines", 0), fields.get("Zones", 0), fields.get("Regions", 0))
