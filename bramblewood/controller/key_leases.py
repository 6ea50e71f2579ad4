"""Key leases: which worker may serve which keys, and until when.

This module does no I/O and reads no clock. The caller sends the calls to the workers, and passes
the results in.

A slice of a keyed service is granted to its worker, and the grant is renewed, if the entry of the slice in
the agreed table has no previous owner. If the entry has a previous owner, a controller first calls that owner
to release the keys. The previous owner is removed from the entry once one of these conditions holds:

- The previous owner has acknowledged the release.
- Another instance answers at the address of the previous owner.
- The longest grant that any controller can have sent has expired: `KeyLeases.lease_expiry_delay` s after the
  move is known, or earlier if the last grant that reached the previous owner is known (`lease_end`).

Invariant: two workers never hold a lease on the same key. Three bounds ensure it:

- A controller sends grants only while its quorum contact is valid. A grant that is based on an older table
  is therefore sent at most QUORUM_CONTACT_VALIDITY s after a change of the table is chosen.
- A call arrives within MAX_CALL_TRANSIT s, or it never arrives.
- The clock of a worker runs slow by a factor of at most CLOCK_DRIFT_FACTOR.

Neither the worker registry nor a refused connection proves that an instance has ended: a delayed registration
of an older instance at the same address marks the newer instance as gone, a deregistered worker still works
for some seconds, and a network fault can refuse connections for a worker that proxies still reach.

A late answer to a release cannot free a slice that has moved since. An acknowledged release frees only those
slices whose entries still have the fencing token and the previous owner of the call. The fencing token of a
slice increases with each move, and a worker rejects a grant whose token is lower than one that it has
received before.
"""

import math
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any, Literal, NamedTuple

from ..common.slice_table import KEY_SPACE_SIZE, Row, SliceEntry, sorted_first_keys
from ..common.timeouts import CLOCK_DRIFT_FACTOR, MAX_CALL_TRANSIT, lease_expiry_delay
from ..common.worker_registry import GONE, WorkerRegistry
from .grant_arrivals import GrantArrivals

# Duration of a grant as a fraction of HoldMaxS. With a larger fraction, workers keep their keys during a
# longer loss of quorum contact, but the keys of a crashed worker also wait longer for their next owner.
LEASE_FRACTION = 0.6
# Fraction of a lease after which it is renewed. The remaining time suffices for two further attempts.
RENEWAL_FRACTION = 1 / 3
RETRY_DELAY = 0.3  # s between the attempts of a failed call

# kinds of calls; each is also the last segment of the path of its calls
GRANT: Literal["grant"] = "grant"
RELEASE: Literal["release"] = "release"

# another instance listens at the address, so the instance that was called has ended
OTHER_INSTANCE = HTTPStatus.MISDIRECTED_REQUEST


class LeaseCall(NamedTuple):
    """One call to a worker that grants or releases adjacent slices."""

    kind: Literal["grant", "release"]
    service: str
    instance_id: str
    address: str
    starts: tuple[int, ...]  # first keys of the slices
    first_key: int
    last_key: int  # inclusive
    fencing_token: int
    duration: float  # s, of a grant
    handover: str  # data that the previous owner sent with its release, for the new owner


class ReleasedKeys(NamedTuple):
    """Slices that their previous owner has released, while the agreed table still lists that owner."""

    service: str
    starts: tuple[int, ...]
    fencing_token: int
    previous_owner: str
    handover: str


class GrantedLease(NamedTuple):
    """The newest grant of a slice that its worker has acknowledged."""

    instance_id: str
    fencing_token: int
    sent_at: float  # s, this controller's steady clock


NEVER_GRANTED = GrantedLease("", 0, 0.0)


class CallId(NamedTuple):
    """Identifies a call. All attempts of the same call have equal ids."""

    kind: str
    service: str
    first_key: int
    last_key: int
    fencing_token: int


class PendingRelease(NamedTuple):
    """Identifies a run of slices whose previous owner has not released them yet."""

    service: str
    first_key: int
    fencing_token: int
    previous_owner: str


class SliceRun(NamedTuple):
    """Adjacent slices of a service with equal lease terms, so that one call covers them.

    `last_key` is inclusive. `entry` is the entry of the first slice.
    """

    service: str
    starts: tuple[int, ...]
    last_key: int
    entry: SliceEntry


class KeyLeases:
    """The lease state of one controller: acknowledged grants, calls in flight and pending releases.

    All times are in s of this controller's steady clock.
    """

    def __init__(self, max_lease: float) -> None:
        """max_lease: s for which a worker may hold keys without a renewal (HoldMaxS)."""
        self.lease_duration = max_lease * LEASE_FRACTION
        self.granted: dict[tuple[str, int], GrantedLease] = {}  # by service and first key
        # by pending release: when this controller first received a table that contains it
        self.release_pending_since: dict[PendingRelease, float] = {}
        self.retry_at: dict[CallId, float] = {}  # earliest time of the next attempt, by failed call
        self.calls_in_flight: set[CallId] = set()
        self.arrivals = GrantArrivals()

    @property
    def lease_expiry_delay(self) -> float:
        """Time (s) from learning of a change until all grants based on an older table have expired."""
        return lease_expiry_delay(self.lease_duration)

    def lease_end(self, instance_id: str, unknown_grants_until: float) -> float:
        """Return the time at which the worker holds no lease any more, if no further grant is sent to it.

        unknown_grants_until: the latest time at which a grant can have been sent that is not recorded here.
        """
        latest_arrival = max(self.arrivals.latest(instance_id), unknown_grants_until + MAX_CALL_TRANSIT)
        return latest_arrival + self.lease_duration * CLOCK_DRIFT_FACTOR

    def next_calls(
        self,
        now: float,
        table: dict[str, Any],
        keyed: set[str],
        registry: WorkerRegistry,
        unknown_grants_until: Callable[[int], float] = lambda table_version: math.inf,
    ) -> tuple[list[LeaseCall], list[ReleasedKeys]]:
        """Return the calls to send now, and the slices whose previous owner's lease has expired.

        The returned calls are recorded as in flight until `call_finished` receives their results.

        table: the agreed value (`common/slice_table.py`). keyed: the services whose slices are leased.
        unknown_grants_until: called with a table version, returns the latest time at which a grant can have
        been sent that rests on an older table and is not recorded here.
        """
        calls: list[LeaseCall | None] = []
        released: list[ReleasedKeys] = []
        pending_releases: set[PendingRelease] = set()
        for service in keyed & table["s"].keys():
            for run in slice_runs(service, table["s"][service]):
                if not run.entry.previous_owner:
                    if self._needs_grant(now, run):
                        calls.append(self._start_call(now, GRANT, run, run.entry.worker, registry))
                    continue
                pending = pending_release(run)
                pending_releases.add(pending)
                if self._has_lease_expired(now, pending, unknown_grants_until):
                    released.append(
                        ReleasedKeys(service, run.starts, pending.fencing_token, pending.previous_owner, "")
                    )
                else:
                    calls.append(self._start_call(now, RELEASE, run, run.entry.previous_owner, registry))
        self.release_pending_since = {
            pending: since
            for pending, since in self.release_pending_since.items()
            if pending in pending_releases
        }
        return [call for call in calls if call is not None], released

    def _has_lease_expired(
        self, now: float, pending: PendingRelease, unknown_grants_until: Callable[[int], float]
    ) -> bool:
        """Whether the previous owner holds no lease any more, whichever controller sent the last grant."""
        pending_since = self.release_pending_since.setdefault(pending, now)
        lease_end = self.lease_end(pending.previous_owner, unknown_grants_until(pending.fencing_token))
        return now >= min(pending_since + self.lease_expiry_delay, lease_end)

    def _needs_grant(self, now: float, run: SliceRun) -> bool:
        """Whether a slice of the run lacks a grant with the present terms, or its renewal is due."""
        for start in run.starts:
            lease = self.granted.get((run.service, start), NEVER_GRANTED)
            if lease[:2] != (run.entry.worker, run.entry.fencing_token):
                return True
            if now >= lease.sent_at + self.lease_duration * RENEWAL_FRACTION:
                return True
        return False

    def _start_call(
        self,
        now: float,
        kind: Literal["grant", "release"],
        run: SliceRun,
        instance_id: str,
        registry: WorkerRegistry,
    ) -> LeaseCall | None:
        """Record a call to this instance as in flight, and return it.

        Returns None if the address of the instance is unknown, if a grant is meant for an instance that is
        gone, if the same call is in flight, or if its retry delay has not passed.
        """
        registration = registry.registrations.get(instance_id)
        if registration is None or not registration.address:
            return None
        if registration.phase == GONE and kind == GRANT:
            return None
        call_id = CallId(kind, run.service, run.starts[0], run.last_key, run.entry.fencing_token)
        if call_id in self.calls_in_flight or now < self.retry_at.get(call_id, 0.0):
            return None
        self.calls_in_flight.add(call_id)
        return LeaseCall(
            kind,
            run.service,
            instance_id,
            registration.address,
            run.starts,
            run.starts[0],
            run.last_key,
            run.entry.fencing_token,
            self.lease_duration,
            run.entry.handover,
        )

    def is_first_grant(self, call: LeaseCall) -> bool:
        """Whether this controller knows of no acknowledged grant with this worker and fencing token."""
        lease = self.granted.get((call.service, call.first_key), NEVER_GRANTED)
        return lease[:2] != (call.instance_id, call.fencing_token)

    def call_finished(
        self, now: float, call: LeaseCall, sent_at: float, status: int, handover: str
    ) -> ReleasedKeys | None:
        """Record the result of a call, and return the slices that it frees, or None.

        sent_at: when the call was sent. status: an HTTP status or a result such as NO_ANSWER. handover:
        the data in the answer to a release.
        """
        call_id = CallId(call.kind, call.service, call.first_key, call.last_key, call.fencing_token)
        self.calls_in_flight.discard(call_id)
        self.retry_at = {other: at for other, at in self.retry_at.items() if at > now}
        if call.kind == GRANT:
            self.arrivals.grant_finished(now, call.instance_id, status)
            if status == HTTPStatus.OK:
                self._record_grant(call, sent_at)
            else:
                self.retry_at[call_id] = now + RETRY_DELAY
            return None
        if status in (HTTPStatus.OK, OTHER_INSTANCE):
            valid_handover = handover if status == HTTPStatus.OK else ""
            return ReleasedKeys(
                call.service, call.starts, call.fencing_token, call.instance_id, valid_handover
            )
        self.retry_at[call_id] = now + RETRY_DELAY
        return None

    def _record_grant(self, call: LeaseCall, sent_at: float) -> None:
        """Record an acknowledged grant, unless a newer grant of the slice is already recorded."""
        for start in call.starts:
            newest = self.granted.get((call.service, start), NEVER_GRANTED)
            if (newest.fencing_token, newest.sent_at) < (call.fencing_token, sent_at):
                self.granted[call.service, start] = GrantedLease(
                    call.instance_id, call.fencing_token, sent_at
                )


def slice_runs(service: str, entries: dict[str, Row]) -> Iterator[SliceRun]:
    """Yield the slices that have a worker, in the order of their keys, grouped by equal lease terms.

    entries: the rows of the service, by first key.
    """
    starts: list[int] = []
    first: SliceEntry | None = None
    for start in sorted_first_keys(entries):
        entry = SliceEntry.decode(entries[str(start)])
        if first is not None and lease_terms(entry) != lease_terms(first):
            yield SliceRun(service, tuple(starts), start - 1, first)
            starts, first = [], None
        if entry.worker:
            first = first or entry
            starts.append(start)
    if first is not None:
        yield SliceRun(service, tuple(starts), KEY_SPACE_SIZE - 1, first)


def lease_terms(entry: SliceEntry) -> tuple[str, int, str, str]:
    """Return the fields of an entry that must be equal for all slices of one call."""
    return entry.worker, entry.fencing_token, entry.handover, entry.previous_owner


def pending_release(run: SliceRun) -> PendingRelease:
    """Return the identity of a run whose entry has a previous owner."""
    entry = run.entry
    return PendingRelease(run.service, run.starts[0], entry.fencing_token, entry.previous_owner)
