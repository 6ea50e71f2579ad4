"""Confirms a deregistration, a worker's `draining` or last call, once a majority of the voters holds it.

This is a state machine without I/O. Each call starts a request of its own, even where a worker repeats a
call. The registration is sent to all controllers, and each of them acknowledges it once its registry and its
disk hold this registration or a newer one (`deregistration_store.py`). A controller that has acknowledged a
registration holds it from then on, also after a restart, and sends it to all proxies connected to it. A proxy
therefore receives a deregistration from every holder that it is connected to.

Only voters of the present epoch count. Controllers without a vote also hold registrations but do not count.
A voter that has left the epoch may have sent its state to its successors before it received the
deregistration. A voter that is still in the epoch first sends its successors the registration, and only later
the values that its epoch has chosen.

A request expires CONFIRMATION_TIMEOUT s after its start, on the clock of the controller that started it.
Acknowledgements that waited in a socket during a freeze therefore confirm nothing.
"""

import itertools
from collections.abc import Collection

# s that a deregistration waits for a majority. PROTOCOL lets callers retry elsewhere after 1 s without a
# response, so a deregistration fails before that.
CONFIRMATION_TIMEOUT = 0.6


class PendingDeregistration:
    """The state of one request in flight."""

    __slots__ = ("started_at", "holders", "is_stored_locally")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at  # s, own clock
        # by address of each controller that acknowledged: the epoch of which it is an active voter, or -1
        self.holders: dict[str, int] = {}
        self.is_stored_locally = False  # whether this controller's own disk has the registration


class Deregistrations:
    """The requests in flight at one controller."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.request_ids = itertools.count(1)
        self.pending: dict[int, PendingDeregistration] = {}  # by request id

    def begin(self, now: float) -> int:
        """Start a request, and return the id that the other controllers repeat in their acknowledgements."""
        request_id = next(self.request_ids)
        self.pending[request_id] = PendingDeregistration(now)
        return request_id

    def record_stored_locally(self, request_id: int) -> None:
        """Record that this controller has the registration on its own disk."""
        if request_id in self.pending:
            self.pending[request_id].is_stored_locally = True

    def record_acknowledgement(self, request_id: int, peer: str, epoch: int) -> None:
        """Record that a controller holds the registration. A request that has ended is ignored.

        epoch: the epoch in which the controller was an active voter at that time, -1 for none.
        """
        if request_id in self.pending:
            self.pending[request_id].holders[peer] = epoch

    def is_confirmed(
        self,
        now: float,
        request_id: int,
        voters: Collection[str],
        epoch: int,
        has_quorum_contact: bool,
    ) -> bool:
        """Whether a majority of this epoch's voters holds the registration, and the request has not expired.

        has_quorum_contact: whether quorum contact confirms that `voters` and `epoch` are still current.
        """
        request = self.pending[request_id]
        peers = {peer for peer, voter_epoch in request.holders.items() if voter_epoch == epoch}
        own = {self.own_address} if request.is_stored_locally else set()
        voting_holders = (own | peers).intersection(voters)
        is_majority = bool(voters) and 2 * len(voting_holders) > len(voters)
        return is_majority and has_quorum_contact and now < request.started_at + CONFIRMATION_TIMEOUT

    def end(self, request_id: int) -> None:
        """Remove a request, whether it was confirmed or not."""
        del self.pending[request_id]
