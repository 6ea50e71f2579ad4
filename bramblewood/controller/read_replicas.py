"""Read copies: who may answer lookups of a crowded record beside its holder, until when. Pure.

Only for services whose operator says that they let records be copied (`ReadCopies`). Readers stand in the
record's entry of the table, agreed like its holder. A lease is granted on a fresh word of the majority,
fenced and short; a reader fetches the record from the holder as each lease without a copy arrives. Effects
run at the holder alone. A desk answers one to its client only once every reader has dropped its copy, or
its last lease has run out (`desk/recall.py`). So the desk must know the readers: between the choice of a
reader and its first lease lie ANNOUNCE s, and a desk answers only on a confirmation from a whole archive
that is younger than that less a word's age.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from ..common.slice_table import (
    FENCING_TOKEN,
    PREVIOUS_OWNER,
    READERS,
    WORKER,
    active_readers,
    all_readers,
    with_readers,
)
from ..common.timeouts import READ_LEASE_DURATION, READ_LEASE_EXPIRY, REPLICA_ANNOUNCEMENT_DELAY
from ..common.worker_registry import READY, WorkerRegistry
from ..policy.figures import LIMIT
from .key_leases import RENEWAL_FRACTION, RETRY_DELAY

MAX_READERS = 8  # readers of one record; each costs a call each third of a lease and one for each effect


# service, key, worker, the version that made it one, or less the version that made it none
Reader = tuple[str, int, str, int]


class ReplicaLease(NamedTuple):
    """One call to a reader."""

    reader: Reader
    address: str
    fencing_token: int
    owner_address: str  # its address, to fetch the record from


def reader_count(rate: float, ability: float) -> int:
    """Readers of a record that is asked for at this rate, where one worker can do so much (requests a
    second).
    """
    return min(max(math.ceil(rate / (LIMIT * ability)) - 1, 0), MAX_READERS) if ability > 0 else 0


class ReadReplicas:
    def __init__(self) -> None:
        self.known_since: dict[Reader, float] = {}  # since when that is known here
        self.last_lease_at: dict[Reader, float] = {}  # when its last lease was sent
        self.calls_in_flight: set[Reader] = set()  # calls under way

    def learn_table(self, now: float, table: dict) -> None:
        """Called with each newer table, also at archives that send no leases now."""
        stands = {
            (service, int(start), instance_id, number)
            for service, entries in table["s"].items()
            for start, entry in entries.items()
            for instance_id, number in all_readers(entry).items()
        }
        self.known_since = {reader: self.known_since.get(reader, now) for reader in stands}
        self.last_lease_at = {reader: at for reader, at in self.last_lease_at.items() if reader in stands}

    def due_leases(
        self, now: float, table: dict, registry: WorkerRegistry
    ) -> tuple[list[ReplicaLease], list[Reader]]:
        """The leases that are due, and the former readers whose last lease has run out."""
        made, over = [], []
        for reader, since in self.known_since.items():
            service, key, instance_id, number = reader
            entry, row = table["s"].get(service, {}).get(str(key)), registry.registrations.get(instance_id)
            if entry is None or number < 0:
                over += [reader] * (entry is not None and now >= since + READ_LEASE_EXPIRY)
                continue
            holder = registry.registrations.get(entry[WORKER])
            if (
                row is None
                or holder is None
                or row.phase != READY
                or entry[PREVIOUS_OWNER]
                or reader in self.calls_in_flight
            ):
                continue
            if (
                now < since + REPLICA_ANNOUNCEMENT_DELAY
                or now < self.last_lease_at.get(reader, -1e9) + READ_LEASE_DURATION * RENEWAL_FRACTION
            ):
                continue
            self.last_lease_at[reader] = now
            self.calls_in_flight.add(reader)
            made.append(ReplicaLease(reader, row.address, entry[FENCING_TOKEN], holder.address))
        return made, over

    def lease_finished(self, now: float, lease: ReplicaLease, status: int) -> None:
        self.calls_in_flight.discard(lease.reader)
        if status != 200 and lease.reader in self.last_lease_at:
            self.last_lease_at[lease.reader] = now + RETRY_DELAY - READ_LEASE_DURATION * RENEWAL_FRACTION


def changed_readers(value: dict | None, service: str, key: int, change: Callable[[list, int], list]):
    """The table with a record's entry changed; None where that changes nothing. Always settled."""
    entry = value["s"].get(service, {}).get(str(key)) if value else None
    made = change(entry, value["n"] + 1) if entry else entry
    if made == entry:
        return None, True
    entries = {**value["s"][service], str(key): made}
    return {**value, "n": value["n"] + 1, "s": {**value["s"], service: entries}}, True


def without_readers(
    value: dict | None, service: str, key: int, instance_ids: set[str]
) -> tuple[dict | None, bool]:
    """The table with these workers readers of a record no more."""

    def change(entry: list, number: int) -> list:
        return with_readers(
            entry,
            [instance_id for instance_id in active_readers(entry) if instance_id not in instance_ids],
            number,
        )

    return changed_readers(value, service, key, change)


def without_expired_readers(value: dict | None, over: list[Reader]) -> tuple[dict | None, bool]:
    """The table without former readers whose last lease has run out."""
    made = value
    for service, key, instance_id, number in over:

        def change(entry: list, _number: int, instance_id: str = instance_id, number: int = number) -> list:
            left = {
                reader: since
                for reader, since in all_readers(entry).items()
                if (reader, since) != (instance_id, number)
            }
            return [*entry[:READERS], *([left] if left else [])]

        made = changed_readers(made, service, key, change)[0] or made
    return ({**made, "n": value["n"] + 1}, True) if made is not value else (None, True)
