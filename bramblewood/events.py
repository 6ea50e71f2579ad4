"""Events that a placement manager receives and orders that it answers with. Plain data, no logic.

Times are seconds with fractions, unix time where a point in time is meant. Ids of workers, proxies and
slices are opaque.
"""

from collections.abc import Mapping
from typing import NamedTuple, Union

ALL_SLICES = -1  # in SetAdmission: every slice assigned to this manager, or every proxy without slices
READY, DRAINING, DEREGISTERED = "ready", "draining", "gone"  # states of a worker
# what an operation may do to the backend, as far as repeating it is concerned
IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING = "idempotent", "fingerprinted", "side-effecting"
# what proxies may retry: nothing; attempts that never started; any attempt, once or twice
NO_RETRY, RETRY_UNSTARTED, RETRY_ONCE, RETRY_TWICE = 0, 1, 2, 3


# --- events ---------------------------------------------------------------------------------------------


class ListedWorker(NamedTuple):
    """One entry of a worker list; `started` is None for a worker that started long ago."""

    worker: str
    state: str
    weight: float = 1.0
    zone: str = ""
    pool: int = 0
    kind: str = ""
    started: float | None = None


class WorkersListed(NamedTuple):
    """A worker list: complete (all others are deregistered), cached from before a start, or changes only."""

    workers: tuple[ListedWorker, ...]
    complete: bool = False
    cached: bool = False
    version: int = 0


class WorkerListFailed(NamedTuple):
    """A call for the worker list failed, or the subscription to its changes broke."""


class WorkerReported(NamedTuple):
    """What the proxies of one zone observed at a worker, with the worker's latest load report, if any.

    `interval` is the time in s that the counts span, `mean_response_time` that of the answered attempts.
    """

    worker: str
    zone: str
    attempts: int
    unanswered: int
    mean_response_time: float
    interval: float
    load: Mapping[str, float] = {}


class SliceHeatReported(NamedTuple):
    """Invocations of one operation that arrived for a slice within an interval of so many seconds."""

    slice: int
    operation: str
    invocations: int
    unanswered: int
    interval: float


class ProxyTrafficReported(NamedTuple):
    """Invocations of one operation that arrived at a proxy, on sites without slices."""

    proxy: int
    operation: str
    invocations: int
    unanswered: int
    interval: float


class HealthCheckFinished(NamedTuple):
    """A health check ended: answered, errored, rate-limited, timed-out, unreachable, broken, unknown."""

    worker: str
    outcome: str
    elapsed: float
    load: Mapping[str, float] = {}


class MessageAcknowledged(NamedTuple):
    """A proxy has applied the message with this number, and all before it, `elapsed` s after it was sent."""

    proxy: int
    number: int
    elapsed: float


class ProxyJoined(NamedTuple):
    """A proxy's stream is up; `fresh`: it knows only the tables that it started with."""

    proxy: int
    zone: str
    rate: float
    fresh: bool = False


class ProxyLeft(NamedTuple):
    """A proxy's stream broke; the proxy may be dead, or still follow the tables that it has."""

    proxy: int


class SliceAssigned(NamedTuple):
    """The store assigned a slice to this manager, or took it away; the slice's routes follow."""

    slice: int
    assigned: bool


class RouteStored(NamedTuple):
    """One route of a slice's table as the store has it."""

    slice: int
    worker: str
    weight: float


class ExclusionRestored(NamedTuple):
    """An earlier start of this manager excluded a worker; some proxies may still keep away from it."""

    worker: str


class EjectionRestored(NamedTuple):
    """An earlier start ejected a worker until this time; `ejections`: how often in a row by then."""

    worker: str
    until: float
    ejections: int


class PeerMessageReceived(NamedTuple):
    """A short message from another manager."""

    manager: int
    payload: bytes


class TimerFired(NamedTuple):
    """A timer that SetTimer asked for is due."""

    token: str


Event = Union[
    WorkersListed,
    WorkerListFailed,
    WorkerReported,
    SliceHeatReported,
    ProxyTrafficReported,
    HealthCheckFinished,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    SliceAssigned,
    RouteStored,
    ExclusionRestored,
    EjectionRestored,
    PeerMessageReceived,
    TimerFired,
]


# --- orders ---------------------------------------------------------------------------------------------


class SetRoute(NamedTuple):
    """Set one route of a table: a worker and its weight; weight 0 removes the route."""

    table: int
    worker: str
    weight: float


class ClearTable(NamedTuple):
    """Remove all routes and admission levels of a table."""

    table: int


class BindProxy(NamedTuple):
    """On sites without slices: bind a proxy to a table, for operations at these positions (none: all)."""

    proxy: int
    table: int
    operations: tuple[int, ...] = ()


class SetAdmission(NamedTuple):
    """Set the share of some operations (positions; none: all) that a table admits, and the retry mode."""

    table: int
    operations: tuple[int, ...]
    level: float
    retry: int


class ExcludeWorker(NamedTuple):
    """Keep joined proxies away from a worker whatever their tables name, or end that."""

    worker: str
    excluded: bool


class RequestAcknowledgement(NamedTuple):
    """Number the messages of this answer, so that each proxy acknowledges that it has applied its own."""

    number: int
    everyone: bool = False


class SetTimer(NamedTuple):
    """Ask for a TimerFired with this token after a delay in s."""

    delay: float
    token: str


class CheckHealth(NamedTuple):
    """Check a worker's health from this manager's zone."""

    worker: str


class TellPeer(NamedTuple):
    """Send a short message to one manager, or to all (None)."""

    manager: int | None
    payload: bytes


class RequestWorkerList(NamedTuple):
    """Ask once for the complete worker list."""


class WatchWorkerList(NamedTuple):
    """Subscribe to changes of the worker list, or unsubscribe."""

    on: bool = True


class WorkerEjected(NamedTuple):
    """A worker is ejected until this time, for the so manyth time in a row. A notice: nothing is asked."""

    worker: str
    until: float
    ejections: int


class Log(NamedTuple):
    """Write one line to the log."""

    text: str


Order = Union[
    SetRoute,
    ClearTable,
    BindProxy,
    SetAdmission,
    ExcludeWorker,
    RequestAcknowledgement,
    SetTimer,
    CheckHealth,
    TellPeer,
    RequestWorkerList,
    WatchWorkerList,
    WorkerEjected,
    Log,
]

# orders that the relay carries out; the others are for the manager's own loop
RELAY_ORDERS = (SetRoute, ClearTable, BindProxy, SetAdmission, ExcludeWorker, RequestAcknowledgement)
