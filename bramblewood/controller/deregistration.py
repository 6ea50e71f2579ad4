"""Deregistrations: a worker's `draining` or last call is confirmed once a majority of the voters holds it.

A state machine without I/O. Each call is a request of its own, also a repeated one: the registration goes to
all controllers, each answers that its registry and its disk have it, or a newer one (`departures.py`). Who
answers holds it from then on, over a restart too, and
tells all proxies connected to it, so a proxy hears of a deregistration by as many ways as there are holders.
Controllers that don't vote hold registrations too, and are not counted, nor are voters of another epoch: one
that has left the epoch may have told its successors before it heard of the deregistration, while one that has
not tells them the registration before it tells what its epoch has chosen. A request is void once
CONFIRMATION_TIMEOUT has passed by the clock of who asks: what waited in a socket through a freeze confirms
nothing.
"""

import itertools
from collections.abc import Collection

# s that a deregistration waits for its majority: the caller goes elsewhere after a second, PROTOCOL
CONFIRMATION_TIMEOUT = 0.6


class PendingDeregistration:
    """One request under way."""

    __slots__ = ("asked_at", "holders", "is_held_here")

    def __init__(self, asked_at: float) -> None:
        self.asked_at = asked_at  # s, own clock
        self.holders: dict[str, int] = {}  # by controller: the epoch in which it was an active voter
        self.is_held_here = False  # on this controller's own disk


class Deregistrations:
    """The requests under way at one controller."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.request_ids = itertools.count(1)
        self.pending: dict[int, PendingDeregistration] = {}  # by request id

    def begin(self, now: float) -> int:
        """Begin a request; the id by which controllers answer."""
        request_id = next(self.request_ids)
        self.pending[request_id] = PendingDeregistration(now)
        return request_id

    def record_held_here(self, request_id: int) -> None:
        """This controller has the registration on its own disk."""
        if request_id in self.pending:
            self.pending[request_id].is_held_here = True

    def record_acknowledgement(self, request_id: int, peer: str, epoch: int) -> None:
        """A controller holds the registration; epoch: in which it was an active voter then, -1 for none."""
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
        """Whether a majority of the voters of this epoch holds the registration.

        has_quorum_contact also says that these still are the voters.
        """
        pending = self.pending[request_id]
        active = {peer for peer, held_in in pending.holders.items() if held_in == epoch}
        own = {self.own_address} if pending.is_held_here else set()
        holders = (own | active).intersection(voters)
        is_majority = bool(voters) and 2 * len(holders) > len(voters)
        return is_majority and has_quorum_contact and now < pending.asked_at + CONFIRMATION_TIMEOUT

    def end(self, request_id: int) -> None:
        """The request was answered, one way or the other."""
        del self.pending[request_id]
