"""Key leases: which worker may hold which keys, until when. Pure; the caller makes the calls to workers and
reports their answers.

A keyed slice whose entry has no previous owner is granted to its worker, and the grant renewed. One with a
previous owner is first released there. It is free once that release is answered; or once nobody listens any
more at the previous owner's address, or another instance does; or once the longest grant that any controller
may have sent has expired (`KeyLeases.expiry_wait`).

Invariant: two workers never hold a lease on the same key. It rests on three bounds: a controller grants only
while its contact with a quorum is fresh, so QUORUM_CONTACT_VALIDITY after a change was chosen no grant of an
older table leaves any more; a call arrives within MAX_CALL_TRANSIT or not at all; a worker's clock runs at
most CLOCK_DRIFT_FACTOR slow.

The worker registry alone proves no end: a late message of an older instance at an address makes the younger
one look gone. A call's answer, however late, says something of that call alone: an answered release frees
just the slices that still stand under its fencing token with the same previous owner. Tokens rise with each
move, and a worker refuses grants below one that it has seen.
"""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, Literal, NamedTuple

from ..common.slice_table import KEY_SPACE_SIZE, Row, SliceEntry, sorted_starts
from ..common.timeouts import lease_expiry
from ..common.worker_registry import GONE, WorkerRegistry

# part of HoldMaxS that a grant lasts: some seconds without a quorum cost nothing, a dead worker's keys wait
# as long
LEASE_FRACTION = 0.6
RENEWAL_FRACTION = 1 / 3  # of a lease after which it is renewed: two further attempts fit
RETRY_DELAY = 0.3  # s between attempts of a call that failed

GRANT: Literal["grant"] = "grant"  # kinds of calls, as in their paths
RELEASE: Literal["release"] = "release"

# statuses of a call beside those of HTTP
NO_ANSWER = 0
CONNECTION_REFUSED = -1
# another instance listens at the address, so the one that was called has ended
OTHER_INSTANCE = HTTPStatus.MISDIRECTED_REQUEST


class LeaseCall(NamedTuple):
    """One call to a worker: grant or release of adjacent slices."""

    kind: Literal["grant", "release"]
    service: str
    instance_id: str
    address: str
    starts: tuple[int, ...]  # first keys of the slices
    first_key: int
    last_key: int
    fencing_token: int
    duration: float  # s that a grant lasts
    handover: str  # what the previous owner passed on with its release


class ReleasedKeys(NamedTuple):
    """These slices are free of their previous owner: to be agreed on in the table."""

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


class CallKey(NamedTuple):
    """What tells one call from another; attempts of the same call are alike in it."""

    kind: str
    service: str
    first_key: int
    last_key: int
    fencing_token: int


class PendingRelease(NamedTuple):
    """A run of slices that waits for its previous owner."""

    service: str
    first_key: int
    fencing_token: int
    previous_owner: str


class SliceRun(NamedTuple):
    """Adjacent slices of a service that are alike in all that a call says; entry: that of the first."""

    service: str
    starts: tuple[int, ...]
    last_key: int
    entry: SliceEntry


class KeyLeases:
    """The lease calls of one controller: what was granted, what is in flight, what waits for a release."""

    def __init__(self, max_lease: float) -> None:
        """max_lease: s that a worker may hold keys without a renewal (HoldMaxS)."""
        self.lease_duration = max_lease * LEASE_FRACTION
        self.granted: dict[tuple[str, int], GrantedLease] = {}  # by service and first key
        self.release_wanted_since: dict[PendingRelease, float] = {}  # when its change was known here
        self.retry_at: dict[CallKey, float] = {}  # not before
        self.calls_in_flight: set[CallKey] = set()

    @property
    def expiry_wait(self) -> float:
        """s after a change is known in which every grant that rests on an older table expires."""
        return lease_expiry(self.lease_duration)

    def next_calls(
        self, now: float, table: dict[str, Any], keyed: set[str], registry: WorkerRegistry
    ) -> tuple[list[LeaseCall], list[ReleasedKeys]]:
        """The calls to make now, and the slices that are free as their previous owner's lease has expired.

        table: the agreed value (`common/slice_table.py`); keyed: the services whose slices are leased.
        """
        calls: list[LeaseCall] = []
        released: list[ReleasedKeys] = []
        waiting: set[PendingRelease] = set()
        for service in keyed & table["s"].keys():
            for run in slice_runs(service, table["s"][service]):
                call = None
                if not run.entry.previous_owner:
                    if self._needs_grant(now, run):
                        call = self._start_call(now, GRANT, run, run.entry.worker, registry)
                else:
                    pending = pending_release(run)
                    waiting.add(pending)
                    wanted_since = self.release_wanted_since.setdefault(pending, now)
                    if now >= wanted_since + self.expiry_wait:
                        released.append(
                            ReleasedKeys(
                                service, run.starts, pending.fencing_token, pending.previous_owner, ""
                            )
                        )
                    else:
                        call = self._start_call(now, RELEASE, run, run.entry.previous_owner, registry)
                if call is not None:
                    calls.append(call)
        self.release_wanted_since = {
            pending: since for pending, since in self.release_wanted_since.items() if pending in waiting
        }
        return calls, released

    def _needs_grant(self, now: float, run: SliceRun) -> bool:
        """Whether a slice of the run is not granted as its entry says, or its renewal is due."""
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
        """The call, noted as in flight; None where the worker can't be called, or not yet."""
        registration = registry.registrations.get(instance_id)
        if registration is None or not registration.address:
            return None
        if registration.phase == GONE and kind == GRANT:
            return None
        key = CallKey(kind, run.service, run.starts[0], run.last_key, run.entry.fencing_token)
        if key in self.calls_in_flight or now < self.retry_at.get(key, 0.0):
            return None
        self.calls_in_flight.add(key)
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
        """Whether this grant renews nothing."""
        lease = self.granted.get((call.service, call.first_key), NEVER_GRANTED)
        return lease[:2] != (call.instance_id, call.fencing_token)

    def call_finished(
        self, now: float, call: LeaseCall, sent: float, status: int, handover: str, ended: bool
    ) -> ReleasedKeys | None:
        """Take the end of a call; the slices that it frees, if any.

        sent: when the call was sent; status: of HTTP, NO_ANSWER or CONNECTION_REFUSED; handover: what the
        answer of a release passed on; ended: the worker has deregistered, or nobody hears it any more.
        """
        key = CallKey(call.kind, call.service, call.first_key, call.last_key, call.fencing_token)
        self.calls_in_flight.discard(key)
        self.retry_at = {other: at for other, at in self.retry_at.items() if at > now}
        if call.kind == GRANT:
            if status == HTTPStatus.OK:
                self._note_granted(call, sent)
            else:
                self.retry_at[key] = now + RETRY_DELAY
            return None
        if status in (HTTPStatus.OK, OTHER_INSTANCE) or status == CONNECTION_REFUSED and ended:
            passed_on = handover if status == HTTPStatus.OK else ""
            return ReleasedKeys(call.service, call.starts, call.fencing_token, call.instance_id, passed_on)
        self.retry_at[key] = now + RETRY_DELAY
        return None

    def _note_granted(self, call: LeaseCall, sent: float) -> None:
        """Note an acknowledged grant; a late answer says nothing of a newer grant."""
        for start in call.starts:
            known = self.granted.get((call.service, start), NEVER_GRANTED)
            if (known.fencing_token, known.sent_at) < (call.fencing_token, sent):
                self.granted[call.service, start] = GrantedLease(call.instance_id, call.fencing_token, sent)


def slice_runs(service: str, entries: dict[str, Row]) -> Iterator[SliceRun]:
    """The slices that have a worker, adjacent ones that are alike in one run."""
    starts: list[int] = []
    first: SliceEntry | None = None
    for start in sorted_starts(entries):
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
    """What slices of one call have in common."""
    return entry.worker, entry.fencing_token, entry.handover, entry.previous_owner


def pending_release(run: SliceRun) -> PendingRelease:
    """The key under which a run's wait for its release is kept."""
    entry = run.entry
    return PendingRelease(run.service, run.starts[0], entry.fencing_token, entry.previous_owner)
