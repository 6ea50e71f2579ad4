"""The events that a placement manager receives and the orders that it returns. Plain data without logic.

Durations are in seconds, and points in time are unix times in seconds. The ids of workers, proxies and slices
are opaque. An operation is identified by its name in events and by its position in the settings in orders.
"""

from collections.abc import Mapping
from typing import NamedTuple, Union

ALL_SLICES = -1  # in SetAdmission: all slices assigned to this manager; on sites without slices, all proxies
READY, DRAINING, DEREGISTERED = "ready", "draining", "gone"  # states of a worker
# kinds of operations: safe to repeat; safe to repeat with its idempotency key; not safe to repeat
IDEMPOTENT, IDEMPOTENT_WITH_KEY, SIDE_EFFECTING = "idempotent", "fingerprinted", "side-effecting"
# retry modes of proxies: no retry; only attempts that never started; any attempt, once or twice
NO_RETRY, RETRY_UNSTARTED, RETRY_ONCE, RETRY_TWICE = 0, 1, 2, 3


# --- events ---------------------------------------------------------------------------------------------


class ListedWorker(NamedTuple):
    """One entry of a worker list.

    `pool` is the cluster of the worker, and `kind` the class of its host. `started` is None if the worker
    started long ago or the list omits it.
    """

    worker: str
    state: str
    weight: float = 1.0
    zone: str = ""
    pool: int = 0
    kind: str = ""
    started: float | None = None


class WorkersListed(NamedTuple):
    """A worker list, or only its changes.

    `complete`: the list names all workers, and all others are deregistered. `cached`: the list was saved
    before this start and may be outdated.
    """

    workers: tuple[ListedWorker, ...]
    complete: bool = False
    cached: bool = False
    version: int = 0


class WorkerListFailed(NamedTuple):
    """A call for the worker list failed, or the subscription to its changes broke."""


class WorkerReported(NamedTuple):
    """The attempts that proxies of one zone made at a worker, and the worker's latest load report, if any.

    The counts span `interval` s. `mean_response_time` covers only the answered attempts, in s.
    """

    worker: str
    zone: str
    attempts: int
    unanswered: int
    mean_response_time: float
    interval: float
    load: Mapping[str, float] = {}


class SliceHeatReported(NamedTuple):
    """The invocations of one operation that arrived for a slice within `interval` s; their rate is heat."""

    slice: int
    operation: str
    invocations: int
    unanswered: int
    interval: float


class ProxyTrafficReported(NamedTuple):
    """On sites without slices: the invocations of one operation at a proxy within `interval` s."""

    proxy: int
    operation: str
    invocations: int
    unanswered: int
    interval: float


class HealthCheckFinished(NamedTuple):
    """The result of a health check, which took `elapsed` s.

    `outcome` is answered, errored, rate-limited, timed-out, unreachable, broken or unknown.
    """

    worker: str
    outcome: str
    elapsed: float
    load: Mapping[str, float] = {}


class MessageAcknowledged(NamedTuple):
    """A proxy applied the message of this number and all earlier ones, `elapsed` s after it was sent."""

    proxy: int
    number: int
    elapsed: float


class ProxyJoined(NamedTuple):
    """A proxy's stream opened; `fresh`: the proxy has only the tables that it started with."""

    proxy: int
    zone: str
    weight: float
    fresh: bool = False


class ProxyLeft(NamedTuple):
    """A proxy's stream broke; the proxy may have ended, or may still route by the tables that it has."""

    proxy: int


class SliceAssigned(NamedTuple):
    """The store assigned a slice to this manager or withdrew it; its stored routes follow as events."""

    slice: int
    assigned: bool


class RouteStored(NamedTuple):
    """One route of a slice's table, as the store holds it."""

    slice: int
    worker: str
    weight: float


class ExclusionRestored(NamedTuple):
    """An earlier run of this manager excluded a worker, and some proxies may still exclude it."""

    worker: str


class EjectionRestored(NamedTuple):
    """An earlier run of this manager ejected a worker until this time.

    `ejections` counts the consecutive ejections.
    """

    worker: str
    until: float
    ejections: int


class PeerMessageReceived(NamedTuple):
    """A message from another manager."""

    manager: int
    payload: bytes


class TimerFired(NamedTuple):
    """A timer that SetTimer started has expired."""

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
    """Set the weight of a table's route to a worker; weight 0 removes the route."""

    table: int
    worker: str
    weight: float


class ClearTable(NamedTuple):
    """Remove all routes and admission levels of a table."""

    table: int


class BindProxy(NamedTuple):
    """On sites without slices, bind a proxy to a table for these operations; an empty tuple means all."""

    proxy: int
    table: int
    operations: tuple[int, ...] = ()


class SetAdmission(NamedTuple):
    """Set the share of requests that a table admits, and the retry mode.

    Applies to the operations at these positions; an empty tuple means all.
    """

    table: int
    operations: tuple[int, ...]
    level: float
    retry: int


class ExcludeWorker(NamedTuple):
    """Make all joined proxies exclude a worker regardless of their tables, or end the exclusion."""

    worker: str
    excluded: bool


class RequestAcknowledgement(NamedTuple):
    """Request an acknowledgement from each proxy that it has applied its message of this batch of orders."""

    number: int
    everyone: bool = False


class SetTimer(NamedTuple):
    """Request a TimerFired event with this token after a delay in s."""

    delay: float
    token: str


class CheckHealth(NamedTuple):
    """Check a worker's health from this manager's zone."""

    worker: str


class SendPeerMessage(NamedTuple):
    """Send a message to one manager, or to all managers if `manager` is None."""

    manager: int | None
    payload: bytes


class RequestWorkerList(NamedTuple):
    """Request the complete worker list once."""


class SubscribeWorkerList(NamedTuple):
    """Subscribe to the changes of the worker list, or unsubscribe."""

    on: bool = True


class WorkerEjected(NamedTuple):
    """Report that a worker is ejected until this time. The receiver has nothing to carry out.

    `ejections` counts the consecutive ejections.
    """

    worker: str
    until: float
    ejections: int


class Log(NamedTuple):
    """Write a line to the log."""

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
    SendPeerMessage,
    RequestWorkerList,
    SubscribeWorkerList,
    WorkerEjected,
    Log,
]

# orders that the relay passes on to proxies; the manager's own loop carries out the others
RELAY_ORDERS = (SetRoute, ClearTable, BindProxy, SetAdmission, ExcludeWorker, RequestAcknowledgement)
