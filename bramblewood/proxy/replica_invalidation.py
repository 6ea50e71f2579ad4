"""Before an effect on a record that may have read copies is answered: no copy older than it may be read any
more.

The effect has run at the record's holder. What may still stand are copies under leases. This says what to
do next: make sure of the readers (`Confirm`), have each drop its copy (`Drop`), have those that don't
answer taken off the record and wait until their leases have run out (`TakeOff`, then time), or answer
(`CLEAR`). Pure; times in s.
"""

from typing import NamedTuple

from ..common.timeouts import CONFIRMATION_VALIDITY, READ_LEASE_EXPIRY


class ConfirmTable(NamedTuple):
    """Ask an archive whether this desk's table is the newest."""


class DropReplicas(NamedTuple):
    """Release the record at these readers."""

    instance_ids: tuple[str, ...]


class RemoveReaders(NamedTuple):
    """Have these readers taken off the record."""

    instance_ids: tuple[str, ...]


class WaitUntil(NamedTuple):
    """Wait."""

    at: float


ALL_CLEAR = "clear"


class ReplicaInvalidation:
    def __init__(self) -> None:
        self.dropped: set[str] = set()  # readers that have dropped their copies since the effect ran
        self.unresponsive: set[str] = set()  # those that did not answer
        self.removed: dict[
            str, float
        ] = {}  # readers off the record, and until when a copy of theirs may be read

    def next_step(
        self, now: float, confirmed_at: float, readers: set[str]
    ) -> ConfirmTable | DropReplicas | RemoveReaders | WaitUntil | str:
        """sure_at: when the confirmation was asked for that this desk's table, and so `readers`, rests on."""
        if now >= confirmed_at + CONFIRMATION_VALIDITY:
            return ConfirmTable()
        if pending := readers - self.dropped - self.unresponsive:
            return DropReplicas(tuple(sorted(pending)))
        if pending := (self.unresponsive & readers) - self.removed.keys():
            return RemoveReaders(tuple(sorted(pending)))
        expired_at = max(self.removed.values(), default=now)
        return WaitUntil(expired_at) if expired_at > now else ALL_CLEAR

    def drop_finished(self, instance_id: str, dropped: bool) -> None:
        (self.dropped if dropped else self.unresponsive).add(instance_id)

    def readers_removed(self, now: float, instance_ids: tuple[str, ...]) -> None:
        """These are taken off the record: agreed, and told to us now."""
        self.removed.update(dict.fromkeys(instance_ids, now + READ_LEASE_EXPIRY))
