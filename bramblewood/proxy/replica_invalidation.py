"""What has to happen before a non-idempotent request on a replicated key is answered. Pure; times in s.

Invariant: once its answer is given, no read replica that is older than its effect can be read any more.

The request has run at the key's owner. What may remain are replicas under read leases. `next_step` says what
to do: make sure that the readers known here are all (`ConfirmTable`), have each drop its replica
(`DropReplicas`), have those that don't answer removed from the slice table (`RemoveReaders`) and wait until
their leases have expired (`WaitUntil`), or answer (`ALL_CLEAR`).
"""

from typing import NamedTuple

from ..common.timeouts import CONFIRMATION_VALIDITY, READ_LEASE_EXPIRY


class ConfirmTable(NamedTuple):
    """Ask a controller whether this proxy's slice table is the newest."""


class DropReplicas(NamedTuple):
    """Have these readers drop their replicas of the key."""

    instance_ids: tuple[str, ...]


class RemoveReaders(NamedTuple):
    """Have these readers removed from the key's slice."""

    instance_ids: tuple[str, ...]


class WaitUntil(NamedTuple):
    """Wait until this time (s): a read lease may be valid until then."""

    until: float


ALL_CLEAR = "clear"  # the answer may be given
InvalidationStep = ConfirmTable | DropReplicas | RemoveReaders | WaitUntil | str


class ReplicaInvalidation:
    """The invalidation after one non-idempotent request."""

    def __init__(self) -> None:
        self.dropped: set[str] = set()  # readers that have dropped their replicas since the request ran
        self.unresponsive: set[str] = set()  # those that did not answer
        # readers removed from the slice, and until when a replica of theirs may be read
        self.lease_expiry: dict[str, float] = {}

    def next_step(self, now: float, confirmed_at: float, readers: set[str]) -> InvalidationStep:
        """What to do now.

        confirmed_at: when the confirmation was asked for on which the slice table, and so `readers`, rests.
        readers: all workers that may hold a replica of the key, by that table.
        """
        if now >= confirmed_at + CONFIRMATION_VALIDITY:
            return ConfirmTable()
        if pending := readers - self.dropped - self.unresponsive:
            return DropReplicas(tuple(sorted(pending)))
        if pending := (self.unresponsive & readers) - self.lease_expiry.keys():
            return RemoveReaders(tuple(sorted(pending)))
        expired_at = max(self.lease_expiry.values(), default=now)
        return WaitUntil(expired_at) if expired_at > now else ALL_CLEAR

    def drop_finished(self, instance_id: str, dropped: bool) -> None:
        """A reader was asked to drop its replica; dropped: it answered that it has."""
        (self.dropped if dropped else self.unresponsive).add(instance_id)

    def readers_removed(self, now: float, instance_ids: tuple[str, ...]) -> None:
        """The controllers agreed to remove these readers, and said so now."""
        self.lease_expiry.update(dict.fromkeys(instance_ids, now + READ_LEASE_EXPIRY))
