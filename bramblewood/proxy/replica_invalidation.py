"""Before an effect on a record that may have read copies is answered: no copy older than it may be read any
more.

The effect has run at the record's holder. What may still stand are copies under leases. This says what to
do next: make sure of the readers (`Confirm`), have each drop its copy (`Drop`), have those that don't
answer taken off the record and wait until their leases have run out (`TakeOff`, then time), or answer
(`CLEAR`). Pure; times in s.
"""

from typing import NamedTuple

from ..common.timeouts import CONFIRMATION_VALIDITY, READ_LEASE_EXPIRY


class Confirm(NamedTuple):
    """Ask an archive whether this desk's table is the newest."""


class Drop(NamedTuple):
    """Release the record at these readers."""

    instance_ids: tuple[str, ...]


class TakeOff(NamedTuple):
    """Have these readers taken off the record."""

    instance_ids: tuple[str, ...]


class Until(NamedTuple):
    """Wait."""

    at: float


CLEAR = "clear"


class ReplicaInvalidation:
    def __init__(self) -> None:
        self.dropped: set[str] = set()  # readers that have dropped their copies since the effect ran
        self.deaf: set[str] = set()  # those that did not answer
        self.gone: dict[
            str, float
        ] = {}  # readers off the record, and until when a copy of theirs may be read

    def next(self, now: float, sure_at: float, readers: set[str]) -> Confirm | Drop | TakeOff | Until | str:
        """sure_at: when the confirmation was asked for that this desk's table, and so `readers`, rests on."""
        if now >= sure_at + CONFIRMATION_VALIDITY:
            return Confirm()
        if left := readers - self.dropped - self.deaf:
            return Drop(tuple(sorted(left)))
        if left := (self.deaf & readers) - self.gone.keys():
            return TakeOff(tuple(sorted(left)))
        last = max(self.gone.values(), default=now)
        return Until(last) if last > now else CLEAR

    def answered(self, instance_id: str, dropped: bool) -> None:
        (self.dropped if dropped else self.deaf).add(instance_id)

    def off(self, now: float, instance_ids: tuple[str, ...]) -> None:
        """These are taken off the record: agreed, and told to us now."""
        self.gone.update(dict.fromkeys(instance_ids, now + READ_LEASE_EXPIRY))
