"""Invalidates the read replicas of a key before a non-idempotent request on that key is answered.

No I/O. Times are in seconds.

Invariant: after the response is sent, no read replica that is older than the request's effect can be read.

The request has run at the key's owner. Outdated replicas under read leases may remain. `next_step` returns
the next action: confirm that the slice table here, and so its set of readers, is the newest
(`ConfirmTable`), have each reader drop its replica (`DropReplicas`), have unresponsive readers removed from
the slice table (`RemoveReaders`), wait until their leases expire (`WaitForLeaseExpiry`), or send the response
(`INVALIDATION_COMPLETE`).
"""

from typing import NamedTuple

from ..common.timeouts import CONFIRMATION_VALIDITY, READ_LEASE_EXPIRY_DELAY


class ConfirmTable(NamedTuple):
    """Request a controller's confirmation that this proxy's slice table is the newest."""


class DropReplicas(NamedTuple):
    """Request that these readers drop their replicas of the key."""

    instance_ids: tuple[str, ...]


class RemoveReaders(NamedTuple):
    """Request that the controllers remove these readers from the key's slice."""

    instance_ids: tuple[str, ...]


class WaitForLeaseExpiry(NamedTuple):
    """Wait until this time: a read lease may be valid until then."""

    deadline: float


INVALIDATION_COMPLETE = "clear"  # the response may be sent
InvalidationStep = ConfirmTable | DropReplicas | RemoveReaders | WaitForLeaseExpiry | str


class ReplicaInvalidation:
    """The state of the invalidation after one non-idempotent request."""

    def __init__(self) -> None:
        self.dropped: set[str] = set()  # readers that dropped their replica after the request ran
        self.unresponsive: set[str] = set()  # readers that did not confirm the drop
        # by reader that was removed from the slice: until when its replica may be read
        self.lease_expiry: dict[str, float] = {}

    def next_step(self, now: float, confirmed_at: float, readers: set[str]) -> InvalidationStep:
        """Return the next action.

        confirmed_at: when the newest confirmation of the slice table was requested. readers: all workers that
        may hold a replica of the key according to that table.
        """
        if now >= confirmed_at + CONFIRMATION_VALIDITY:
            return ConfirmTable()
        if pending := readers - self.dropped - self.unresponsive:
            return DropReplicas(tuple(sorted(pending)))
        if pending := (self.unresponsive & readers) - self.lease_expiry.keys():
            return RemoveReaders(tuple(sorted(pending)))
        expired_at = max(self.lease_expiry.values(), default=now)
        return WaitForLeaseExpiry(expired_at) if expired_at > now else INVALIDATION_COMPLETE

    def drop_finished(self, instance_id: str, dropped: bool) -> None:
        """Record the result of a request to drop a replica.

        dropped: whether the reader confirmed the drop.
        """
        (self.dropped if dropped else self.unresponsive).add(instance_id)

    def readers_removed(self, now: float, instance_ids: tuple[str, ...]) -> None:
        """Record that the controllers have agreed to remove these readers from the slice."""
        self.lease_expiry.update(dict.fromkeys(instance_ids, now + READ_LEASE_EXPIRY_DELAY))
