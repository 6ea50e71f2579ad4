"""Read replicas: which workers may answer lookups of a hot record beside its owner, until when. Pure.

Only for services whose operator lets records be copied (`ReadCopies`). Readers stand in the record's entry of
the agreed table, like its owner. A lease is granted on fresh contact with a quorum, under the fencing token,
and short; a reader fetches the record from the owner as each lease without a replica arrives. Effects run at
the owner alone.

Invariant: no lookup gives an older record than an effect that was answered. A proxy answers an effect to its
client only once every reader has dropped its replica, or the reader's last lease has expired
(`proxy/replica_invalidation.py`). So the proxy must know the readers: between the choice of a reader and its
first lease lie REPLICA_ANNOUNCEMENT_DELAY s, and a proxy answers only on a confirmation of its table, from a
controller in contact with a quorum, that is younger than that delay less QUORUM_CONTACT_VALIDITY.
"""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from ..common.slice_table import READERS, Row, SliceEntry, active_readers, all_readers, with_readers
from ..common.timeouts import READ_LEASE_DURATION, READ_LEASE_EXPIRY, REPLICA_ANNOUNCEMENT_DELAY
from ..common.worker_registry import READY, WorkerRegistry
from ..policy.parameters import CAPACITY_LIMIT
from .key_leases import RENEWAL_FRACTION, RETRY_DELAY
from .table_changes import ProposedTable, TableValue
from .value_diff import changed_keys

MAX_READERS = 8  # of one record; each costs a call each third of a lease and one for each effect
NEVER = -1e9  # s on the steady clock, before any lease


class Reader(NamedTuple):
    """A worker as reader of a record, as the table says it."""

    service: str
    key: int
    instance_id: str
    version: int  # of the table that made it one; negative: of the one that made it none


class ReplicaLease(NamedTuple):
    """One call to a reader."""

    reader: Reader
    address: str
    fencing_token: int
    owner_address: str  # to fetch the record from


def reader_count(rate: float, ability: float) -> int:
    """Readers of a record that is asked for at this rate (requests a second), where one worker can do so
    much (requests a second); 0 where that is not known.
    """
    if ability <= 0:
        return 0
    return min(max(math.ceil(rate / (CAPACITY_LIMIT * ability)) - 1, 0), MAX_READERS)


class ReadReplicas:
    """The read leases of one controller. All times in s of its steady clock."""

    def __init__(self) -> None:
        self.services: dict[str, dict[str, Row]] = {}  # of the newest table known here
        self.readers_of: dict[tuple[str, str], set[Reader]] = {}  # by service and first key; most have none
        self.known_since: dict[Reader, float] = {}
        self.last_lease_at: dict[Reader, float] = {}  # when it was sent
        self.calls_in_flight: set[Reader] = set()

    def learn_table(self, now: float, table: dict[str, Any]) -> None:
        """Take a newer table; called at every controller, also at those that send no leases now."""
        services = table["s"]
        for service in {*self.services, *services}:
            known, entries = self.services.get(service, {}), services.get(service, {})
            if entries is known:
                continue
            changed = [*changed_keys(known, entries)]
            if len(known) + len(changed) > len(entries):  # else no slice can have gone
                changed += known.keys() - entries.keys()
            for start in changed:
                self._learn_row(now, service, start, entries.get(start))
        self.services = services

    def _learn_row(self, now: float, service: str, start: str, row: Row | None) -> None:
        """Take a slice's new row, None where the slice is gone."""
        versions = all_readers(row) if row is not None else {}
        readers = {Reader(service, int(start), one, version) for one, version in versions.items()}
        before = self.readers_of.pop((service, start), set())
        if readers:
            self.readers_of[service, start] = readers
        for reader in before - readers:
            del self.known_since[reader]
            self.last_lease_at.pop(reader, None)
        for reader in readers - before:
            self.known_since[reader] = now

    def due_leases(
        self, now: float, table: dict[str, Any], registry: WorkerRegistry
    ) -> tuple[list[ReplicaLease], list[Reader]]:
        """The leases to send now, and the former readers whose last lease has expired."""
        leases, expired = [], []
        for reader, since in self.known_since.items():
            row = table["s"].get(reader.service, {}).get(str(reader.key))
            if row is None:
                continue
            if reader.version < 0:
                if now >= since + READ_LEASE_EXPIRY:
                    expired.append(reader)
                continue
            lease = self._lease_for(reader, SliceEntry.decode(row), registry)
            if lease is not None and self._is_due(now, reader, since):
                self.last_lease_at[reader] = now
                self.calls_in_flight.add(reader)
                leases.append(lease)
        return leases, expired

    def _lease_for(self, reader: Reader, entry: SliceEntry, registry: WorkerRegistry) -> ReplicaLease | None:
        """The lease that this reader may get; None where it or the owner can't be called, or not now."""
        registration = registry.registrations.get(reader.instance_id)
        owner = registry.registrations.get(entry.worker)
        if registration is None or owner is None or registration.phase != READY:
            return None
        if entry.previous_owner or reader in self.calls_in_flight:
            return None
        return ReplicaLease(reader, registration.address, entry.fencing_token, owner.address)

    def _is_due(self, now: float, reader: Reader, since: float) -> bool:
        """Whether all proxies know the reader by now, and its lease is to be renewed."""
        renewal_at = self.last_lease_at.get(reader, NEVER) + READ_LEASE_DURATION * RENEWAL_FRACTION
        return now >= since + REPLICA_ANNOUNCEMENT_DELAY and now >= renewal_at

    def lease_finished(self, now: float, lease: ReplicaLease, status: int) -> None:
        """Take the end of a call; status: of HTTP, or NO_ANSWER. One that failed is tried again soon."""
        self.calls_in_flight.discard(lease.reader)
        if status != HTTPStatus.OK and lease.reader in self.last_lease_at:
            self.last_lease_at[lease.reader] = now + RETRY_DELAY - READ_LEASE_DURATION * RENEWAL_FRACTION


def with_changed_row(
    value: TableValue | None, service: str, key: int, change: Callable[[Row, int], Row]
) -> ProposedTable:
    """The table with change(row, new version) for a record's row; None where that changes nothing."""
    row = value["s"].get(service, {}).get(str(key)) if value else None
    changed = change(row, value["n"] + 1) if row else row
    if changed == row:
        return None, True
    entries = {**value["s"][service], str(key): changed}
    return {**value, "n": value["n"] + 1, "s": {**value["s"], service: entries}}, True


def without_readers(
    value: TableValue | None, service: str, key: int, instance_ids: set[str]
) -> ProposedTable:
    """The table with these workers readers of a record no more."""

    def change(row: Row, version: int) -> Row:
        staying = [instance_id for instance_id in active_readers(row) if instance_id not in instance_ids]
        return with_readers(row, staying, version)

    return with_changed_row(value, service, key, change)


def without_expired_readers(value: TableValue | None, expired: list[Reader]) -> ProposedTable:
    """The table without former readers whose last lease has expired."""
    changed = value
    for reader in expired:

        def change(row: Row, _version: int, reader: Reader = reader) -> Row:
            left = {
                instance_id: version
                for instance_id, version in all_readers(row).items()
                if (instance_id, version) != (reader.instance_id, reader.version)
            }
            return [*row[:READERS], *([left] if left else [])]

        changed = with_changed_row(changed, reader.service, reader.key, change)[0] or changed
    if changed is value:
        return None, True
    return {**changed, "n": value["n"] + 1}, True
