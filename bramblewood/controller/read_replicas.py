"""Read replicas: which workers may answer idempotent requests for a hot key, and until when.

This module does no I/O and reads no clock.

A reader is a worker that holds a replica of a key under a read lease, in addition to the key's owner.
Replicas exist only for services whose configuration allows them (`ReadCopies`). The agreed table lists the
readers of a key in the entry of its slice, as it lists the owner. Non-idempotent requests run at the owner
only. A controller sends read leases only while its quorum contact is valid, and with the fencing token of the
entry. A read lease is short. A reader that receives a lease and has no replica fetches it from the owner.

Invariant: the answer to an idempotent request reflects every non-idempotent request for the key that was
answered before. A proxy answers a non-idempotent request only after every reader has dropped its replica, or
after the last lease of that reader has expired (`proxy/replica_invalidation.py`). The proxy must therefore
know all readers. Two rules ensure it:

- At least REPLICA_ANNOUNCEMENT_DELAY s pass between the choice of a reader and its first lease.
- A proxy answers a non-idempotent request only if a controller with quorum contact has confirmed the proxy's
  table less than REPLICA_ANNOUNCEMENT_DELAY - QUORUM_CONTACT_VALIDITY s before.
"""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from ..common.slice_table import READERS, Row, SliceEntry, active_readers, readers_with_versions, with_readers
from ..common.timeouts import READ_LEASE_DURATION, READ_LEASE_EXPIRY_DELAY, REPLICA_ANNOUNCEMENT_DELAY
from ..common.worker_registry import READY, WorkerRegistry
from ..policy.parameters import CAPACITY_LIMIT
from .key_leases import RENEWAL_FRACTION, RETRY_DELAY
from .table_changes import ProposedTable, TableValue
from .value_diff import changed_keys

# Maximum number of readers of a key. Each reader costs one call in each third of a lease, and one call for
# each non-idempotent request.
MAX_READERS = 8
NO_LEASE_SENT_AT = -1e9  # s on the steady clock; replaces the send time for a reader that has had no lease


class Reader(NamedTuple):
    """A worker that the agreed table lists as a reader, or a former reader, of a key."""

    service: str
    key: int
    instance_id: str
    # version of the table that made it a reader; for a former reader, the negated version of the table that
    # made it a former reader
    version: int


class ReplicaLease(NamedTuple):
    """One call that grants a read lease to a reader."""

    reader: Reader
    address: str
    fencing_token: int
    owner_address: str  # from which the reader fetches its replica


def target_reader_count(request_rate: float, worker_throughput: float) -> int:
    """Return how many readers a key needs in addition to its owner.

    request_rate: requests per second for the key. worker_throughput: requests per second that one worker can
    serve; the result is 0 if it is not known (0 or less).
    """
    if worker_throughput <= 0:
        return 0
    return min(max(math.ceil(request_rate / (CAPACITY_LIMIT * worker_throughput)) - 1, 0), MAX_READERS)


class ReadReplicas:
    """The read leases of one controller. All times are in s of its steady clock."""

    def __init__(self) -> None:
        # rows of the newest known table, by service and first key
        self.services: dict[str, dict[str, Row]] = {}
        # by service and first key, without the slices that have no readers
        self.readers_by_slice: dict[tuple[str, str], set[Reader]] = {}
        self.known_since: dict[Reader, float] = {}  # when the table that lists the reader became known here
        self.last_lease_at: dict[Reader, float] = {}  # send time of the last lease
        self.calls_in_flight: set[Reader] = set()

    def record_table(self, now: float, table: dict[str, Any]) -> None:
        """Update the readers from a newer table.

        Every controller calls this, even one that is not the coordinator and sends no leases.
        """
        services = table["s"]
        for service in {*self.services, *services}:
            known, entries = self.services.get(service, {}), services.get(service, {})
            if entries is known:
                continue
            changed = [*changed_keys(known, entries)]
            if len(known) + len(changed) > len(entries):  # if equal, slices were only added
                changed += known.keys() - entries.keys()
            for start in changed:
                self._update_readers(now, service, start, entries.get(start))
        self.services = services

    def _update_readers(self, now: float, service: str, start: str, row: Row | None) -> None:
        """Update the readers of a slice from its new row, which is None if the slice was removed."""
        versions = readers_with_versions(row) if row is not None else {}
        readers = {
            Reader(service, int(start), instance_id, version) for instance_id, version in versions.items()
        }
        previous_readers = self.readers_by_slice.pop((service, start), set())
        if readers:
            self.readers_by_slice[service, start] = readers
        for reader in previous_readers - readers:
            del self.known_since[reader]
            self.last_lease_at.pop(reader, None)
        for reader in readers - previous_readers:
            self.known_since[reader] = now

    def due_leases(
        self, now: float, table: dict[str, Any], registry: WorkerRegistry
    ) -> tuple[list[ReplicaLease], list[Reader]]:
        """Return the leases to send now, and the former readers whose last lease has expired.

        The returned leases are recorded as in flight until `lease_finished` receives their results.
        """
        leases, expired = [], []
        for reader, since in self.known_since.items():
            row = table["s"].get(reader.service, {}).get(str(reader.key))
            if row is None:
                continue
            if reader.version < 0:
                if now >= since + READ_LEASE_EXPIRY_DELAY:
                    expired.append(reader)
                continue
            lease = self._lease_for(reader, SliceEntry.decode(row), registry)
            if lease is not None and self._is_due(now, reader, since):
                self.last_lease_at[reader] = now
                self.calls_in_flight.add(reader)
                leases.append(lease)
        return leases, expired

    def _lease_for(self, reader: Reader, entry: SliceEntry, registry: WorkerRegistry) -> ReplicaLease | None:
        """Return the lease for a reader.

        Returns None if the reader is not ready, if the owner is not registered, if the previous owner has not
        released the slice, or if a lease for the reader is in flight.
        """
        registration = registry.registrations.get(reader.instance_id)
        owner = registry.registrations.get(entry.worker)
        if registration is None or owner is None or registration.phase != READY:
            return None
        if entry.previous_owner or reader in self.calls_in_flight:
            return None
        return ReplicaLease(reader, registration.address, entry.fencing_token, owner.address)

    def _is_due(self, now: float, reader: Reader, since: float) -> bool:
        """Whether the announcement delay of the reader has passed, and its lease must be sent or renewed."""
        renewal_at = self.last_lease_at.get(reader, NO_LEASE_SENT_AT) + READ_LEASE_DURATION * RENEWAL_FRACTION
        return now >= since + REPLICA_ANNOUNCEMENT_DELAY and now >= renewal_at

    def lease_finished(self, now: float, lease: ReplicaLease, status: int) -> None:
        """Record the result of a call. A failed call is due again after RETRY_DELAY s.

        status: an HTTP status, or NO_ANSWER.
        """
        self.calls_in_flight.discard(lease.reader)
        if status != HTTPStatus.OK and lease.reader in self.last_lease_at:
            self.last_lease_at[lease.reader] = now + RETRY_DELAY - READ_LEASE_DURATION * RENEWAL_FRACTION


def with_changed_row(
    value: TableValue | None, service: str, key: int, change: Callable[[Row, int], Row]
) -> ProposedTable:
    """Return the table after the row of a key is replaced by change(row, version of the returned table).

    The proposed value is None if the row does not exist or does not change.
    """
    row = value["s"].get(service, {}).get(str(key)) if value else None
    changed = change(row, value["n"] + 1) if row else row
    if changed == row:
        return None, True
    entries = {**value["s"][service], str(key): changed}
    return {**value, "n": value["n"] + 1, "s": {**value["s"], service: entries}}, True


def without_readers(
    value: TableValue | None, service: str, key: int, instance_ids: set[str]
) -> ProposedTable:
    """Return the table after these readers of a key have become former readers."""

    def change(row: Row, version: int) -> Row:
        remaining = [instance_id for instance_id in active_readers(row) if instance_id not in instance_ids]
        return with_readers(row, remaining, version)

    return with_changed_row(value, service, key, change)


def without_expired_readers(value: TableValue | None, expired: list[Reader]) -> ProposedTable:
    """Return the table without these former readers, whose last leases have expired."""
    changed = value
    for reader in expired:

        def change(row: Row, _version: int, reader: Reader = reader) -> Row:
            remaining = {
                instance_id: version
                for instance_id, version in readers_with_versions(row).items()
                if (instance_id, version) != (reader.instance_id, reader.version)
            }
            return [*row[:READERS], *([remaining] if remaining else [])]

        changed = with_changed_row(changed, reader.service, reader.key, change)[0] or changed
    if changed is value:
        return None, True
    return {**changed, "n": value["n"] + 1}, True
