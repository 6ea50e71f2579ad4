"""What a controller shows under `/view/NAME`, as the commands read it. The keys are those of the wire, and of
`--json`.
"""

from typing import Any, TypedDict

from ..controller.consensus import membership_view
from ..controller.consensus.membership_view import MemberView

__all__ = [
    "DrainPlanView",
    "DrainWorkerView",
    "GrantView",
    "LeaseRow",
    "MemberView",
    "MembershipView",
    "PeerSessionView",
    "RolloutView",
    "SessionsView",
    "TableView",
    "WorkerView",
]


class WorkerView(TypedDict):
    """A worker of the registry; view `roll` has them by instance id."""

    service: str
    address: str
    zone: str
    slots: int
    phase: str
    seq: int  # number of its last call
    cold: float  # s that it was still warming up then
    revision: str  # of its software
    heard: float  # s since its last call
    silent: bool  # whether it counts as gone


class TableView(TypedDict):
    """The slice table. s: by service and first key, the entries that common/slice_table.py describes."""

    n: int  # version
    s: dict[str, dict[str, list[Any]]]


# a key lease as the coordinator granted it last; until: s from now. View `holds` is a list of them
GrantView = TypedDict("GrantView", {"service": str, "from": int, "life": str, "fence": int, "until": float})

# a slice and its lease, as `leases --json` gives them; until: None where nothing is granted
LeaseRow = TypedDict(
    "LeaseRow",
    {
        "service": str,
        "from": int,
        "worker": str,
        "second": str,
        "fence": int,
        "old": str,
        "until": float | None,
    },
)


class PeerSessionView(TypedDict):
    """Another controller. heard: s since its last heartbeat; whole: whether it is current."""

    heard: float
    whole: bool
    votes: bool


class SessionsView(TypedDict):
    """View `sessions`: who is connected, as the controller `me` sees it."""

    me: str
    epoch: int
    voters: list[str]
    votes: bool
    whole: bool  # whether it is current
    scribe: str | None  # the coordinator
    archives: dict[str, PeerSessionView]  # other controllers, by address
    desks: list[str]  # proxies


# a worker of a drain plan. sending: proxies that may still send to it; under way: by proxy, its lookups and
# effects in flight there and for how many s the oldest has been; keys: whether it owns keys still
DrainWorkerView = TypedDict(
    "DrainWorkerView",
    {"step": str, "sending": list[str], "under way": dict[str, list[float]], "keys": bool},
)


class DrainPlanView(TypedDict):
    """A drain plan; view `plans` has them by name."""

    service: str
    state: str
    why: str  # of its end
    wave: int  # workers at a time
    workers: dict[str, DrainWorkerView]  # by instance id


class RolloutView(TypedDict):
    """The last rollout of a service; view `rollouts` has them by service."""

    version: str  # that is to serve
    duration: float  # s from the order to the term
    phase: str
    elapsed: float | None  # s since the order; None where the controller does not know it
    reason: str
    routes: dict[str, dict[str, int]]  # attempts by route


class MembershipView(membership_view.MembershipView):
    """View `members`. change: the change under way, empty for none."""

    change: str
