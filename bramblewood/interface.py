"""What a manager is told (events) and what it answers (orders), in the users' words. No logic.

Times are seconds with fractions; ids (workers, proxies, slices) are opaque and used only here, at the door.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, Union

ALL_SLICES = -1  # in Admit: every slice in this manager's charge, or every joined proxy without slices
READY, DRAINING, GONE = "ready", "draining", "gone"
IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING = "idempotent", "fingerprinted", "side-effecting"
NO_RETRY, RETRY_UNSTARTED, RETRY_ONCE, RETRY_TWICE = 0, 1, 2, 3


# --- events ---------------------------------------------------------------------------------------------


class ListedWorker(NamedTuple):
    """One worker of a list; started is None when that was long ago."""

    worker: str
    state: str
    weight: float = 1.0
    zone: str = ""
    pool: int = 0
    kind: str = ""
    started: float | None = None


class WorkersListed(NamedTuple):
    """The list of workers: complete (all others are gone), as last held before a start, or changes only."""

    workers: tuple
    complete: bool = False
    cached: bool = False
    version: int = 0


class ListFailed(NamedTuple):
    """A call for the list failed or the subscription to its changes broke."""


class WorkerHeard(NamedTuple):
    """What the proxies of one zone met at a worker; load is the worker's latest load report, if any."""

    worker: str
    zone: str
    tries: int
    unanswered: int
    mean_time: float
    over: float
    load: Mapping[str, float] = {}


class SliceHeat(NamedTuple):
    """Invocations of one operation that came for a slice."""

    slice: int
    operation: str
    invocations: int
    unanswered: int
    over: float


class ProxyTraffic(NamedTuple):
    """Invocations of one operation that came to a proxy, where there are no slices."""

    proxy: int
    operation: str
    invocations: int
    unanswered: int
    over: float


class Probed(NamedTuple):
    """The end of a probe: answered, errored, rate-limited, timed-out, unreachable, broken, unknown."""

    worker: str
    ending: str
    took: float
    load: Mapping[str, float] = {}


class MarkAnswered(NamedTuple):
    """A proxy has applied the message that carried this mark, and all before it."""

    proxy: int
    mark: int
    took: float


class ProxyJoined(NamedTuple):
    """A proxy's stream stands; fresh: it holds only what it started with."""

    proxy: int
    zone: str
    rate: float
    fresh: bool = False


class ProxyLeft(NamedTuple):
    """A proxy's stream broke; it may be dead or still follow what it holds."""

    proxy: int


class SliceGiven(NamedTuple):
    """The store put a slice into this manager's charge, or took it away; its lines follow."""

    slice: int
    ours: bool


class LineHeld(NamedTuple):
    """One line of a slice's table as the store holds it."""

    slice: int
    worker: str
    weight: float


class WithdrawalHeld(NamedTuple):
    """An earlier life of this manager withdrew a worker, and some proxies may still keep off it."""

    worker: str


class DoubtHeld(NamedTuple):
    """An earlier life doubted a worker, until then (unix time); how often it had been doubted by then."""

    worker: str
    until: float
    doubts: int


class PeerNote(NamedTuple):
    """A short message from another manager."""

    manager: int
    payload: bytes


class TimerDue(NamedTuple):
    """A timer asked for with Wake is due."""

    token: str


Event = Union[
    WorkersListed,
    ListFailed,
    WorkerHeard,
    SliceHeat,
    ProxyTraffic,
    Probed,
    MarkAnswered,
    ProxyJoined,
    ProxyLeft,
    SliceGiven,
    LineHeld,
    WithdrawalHeld,
    DoubtHeld,
    PeerNote,
    TimerDue,
]


# --- orders ---------------------------------------------------------------------------------------------


class SetLine(NamedTuple):
    """One line of a table: a worker and its weight, 0 to take the line out."""

    table: int
    worker: str
    weight: float


class ClearTable(NamedTuple):
    """Take all lines and levels out of a table."""

    table: int


class BindProxy(NamedTuple):
    """Where there are no slices: put a proxy on a table, for operations at these positions (none: all)."""

    proxy: int
    table: int
    operations: tuple = ()


class Admit(NamedTuple):
    """How much of some operations (positions; none: all) is let in at a table, and when proxies try again."""

    table: int
    operations: tuple
    level: float
    retry: int


class Withdraw(NamedTuple):
    """Keep joined proxies from a worker whatever their tables say, or let them go there again."""

    worker: str
    out: bool


class Mark(NamedTuple):
    """Number this answer's messages, so that each proxy tells when it has applied its own."""

    number: int
    everyone: bool = False


class Wake(NamedTuple):
    """Ask for a TimerDue after so many seconds."""

    after: float
    token: str


class Probe(NamedTuple):
    """Test a worker from this manager's zone."""

    worker: str


class TellPeer(NamedTuple):
    """Send a short message to one manager, or to all (None)."""

    manager: int | None
    payload: bytes


class AskList(NamedTuple):
    """Ask once for the complete list."""


class FollowList(NamedTuple):
    """Subscribe to the list's changes, or stop."""

    on: bool = True


class Doubted(NamedTuple):
    """A worker is out of use until then (unix time), for the so manyth time; told, not asked of anyone."""

    worker: str
    until: float
    doubts: int


class Log(NamedTuple):
    """One line for the people on call."""

    text: str


Order = Union[
    SetLine,
    ClearTable,
    BindProxy,
    Admit,
    Withdraw,
    Mark,
    Wake,
    Probe,
    TellPeer,
    AskList,
    FollowList,
    Doubted,
    Log,
]

Facts = Mapping[str, Any]  # what a manager is told at its start; docs/design.md names what the module reads
