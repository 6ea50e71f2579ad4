"""Holds: which worker may hold which keys, until when. Pure; the shell makes the calls and tells their
answers.

A keyed slice whose entry has no old holder is granted to its worker and renewed. One with an old holder is
first released there; it is free once the release is answered, once nobody listens any more where the old
life was, or another life does, or once the longest grant that anyone may have sent has run out: WORD s after
the change was chosen for the last renewal that rests on an older word, plus the hold itself on a clock that
is 2% slow, plus what a call may take on its way (`ARRIVES`).

The roll alone proves no end: a late word of an older life at an address makes the younger one look gone.

A call's answer, however late, says something of that call alone. A release that was answered frees just the
slices that still stand under its fence with the same old holder: fences rise with each move, and a worker
refuses grants below one that it has seen.
"""

from typing import NamedTuple

from ..common.peer_connections import UNHEARD_MS
from ..common.slice_table import (
    FENCING_TOKEN,
    HANDOVER,
    KEY_SPACE_SIZE,
    PREVIOUS_OWNER,
    WORKER,
    sorted_starts,
)
from ..common.timeouts import CLOCK_DRIFT_FACTOR, MAX_TRANSIT_TIME, QUORUM_CONTACT_VALIDITY
from ..common.worker_registry import GONE, WorkerRegistry

# of HoldMaxS: an unsettled core of some seconds costs nothing, a dead worker's keys wait as long
HOLD_PART = 0.6
RENEWAL_FRACTION = 1 / 3  # of the hold after which it is renewed: two more tries fit
SAME = (WORKER, FENCING_TOKEN, HANDOVER, PREVIOUS_OWNER)  # what slices of one call have in common
# s from a call's leaving to its arrival at most: lost packets are sent again until the socket gives them up
MAX_CALL_TRANSIT = UNHEARD_MS / 1000 + MAX_TRANSIT_TIME
RETRY_DELAY = 0.3  # s between tries of a call that failed


class LeaseCall(NamedTuple):
    """One call to a worker: grant or release of a run of slices."""

    kind: str
    service: str
    instance_id: str
    address: str
    starts: tuple[int, ...]
    first_key: int
    last_key: int
    fencing_token: int
    duration: float
    handover: str


class ReleasedKeys(NamedTuple):
    """These slices are free of their old holder: to be agreed."""

    service: str
    starts: tuple[int, ...]
    fencing_token: int
    previous_owner: str
    handover: str


class KeyLeases:
    def __init__(self, hold_most: float) -> None:
        self.lease_duration = hold_most * HOLD_PART
        self.granted: dict[tuple[str, int], tuple[str, int, float]] = {}  # slice: life, fence, when sent
        self.release_wanted_since: dict[
            tuple, float
        ] = {}  # slice, fence, old holder: since when its change is known
        self.retry_at: dict[tuple, float] = {}  # by call: not before
        self.calls_in_flight: set[tuple] = set()  # calls under way

    @property
    def expiry_wait(self) -> float:
        return self.lease_duration * CLOCK_DRIFT_FACTOR + QUORUM_CONTACT_VALIDITY + MAX_CALL_TRANSIT

    def next_calls(
        self, now: float, table: dict, keyed: set[str], registry: WorkerRegistry
    ) -> tuple[list[LeaseCall], list[ReleasedKeys]]:
        calls, free, waiting = [], [], set()
        for service in keyed & table["s"].keys():
            entries = table["s"][service]
            starts = sorted_starts(entries)
            run: list[int] = []
            for place, start in enumerate(starts):
                entry = entries[str(start)]
                if run and tuple(entry[i] for i in SAME) != tuple(entries[str(run[0])][i] for i in SAME):
                    self.plan_run(now, service, entries, run, start - 1, registry, calls, free, waiting)
                    run = []
                if entry[WORKER]:
                    run.append(start)
                    if place + 1 == len(starts):
                        self.plan_run(
                            now, service, entries, run, KEY_SPACE_SIZE - 1, registry, calls, free, waiting
                        )
        self.release_wanted_since = {
            key: at for key, at in self.release_wanted_since.items() if key in waiting
        }
        return calls, free

    def plan_run(
        self,
        now: float,
        service: str,
        entries: dict,
        run: list[int],
        last_key: int,
        registry: WorkerRegistry,
        calls: list,
        free: list,
        waiting: set,
    ) -> None:
        """One run of slices next to each other with the same holder, fence, handover and old holder."""
        entry = entries[str(run[0])]
        if not entry[PREVIOUS_OWNER]:
            if self.renewal_due(now, service, entry, run):
                self.plan_call(now, "grant", service, entry[WORKER], entry, run, last_key, registry, calls)
            return
        key = (service, run[0], entry[FENCING_TOKEN], entry[PREVIOUS_OWNER])
        waiting.add(key)
        since = self.release_wanted_since.setdefault(key, now)
        if now >= since + self.expiry_wait:
            free.append(ReleasedKeys(service, tuple(run), entry[FENCING_TOKEN], entry[PREVIOUS_OWNER], ""))
        else:
            self.plan_call(
                now, "release", service, entry[PREVIOUS_OWNER], entry, run, last_key, registry, calls
            )

    def renewal_due(self, now: float, service: str, entry: list, run: list[int]) -> bool:
        for start in run:
            instance_id, fencing_token, at = self.granted.get((service, start), ("", 0, 0.0))
            if (instance_id, fencing_token) != (
                entry[WORKER],
                entry[FENCING_TOKEN],
            ) or now >= at + self.lease_duration * RENEWAL_FRACTION:
                return True
        return False

    def plan_call(
        self,
        now: float,
        kind: str,
        service: str,
        instance_id: str,
        entry: list,
        run: list[int],
        last_key: int,
        registry: WorkerRegistry,
        calls: list,
    ) -> None:
        row, key = (
            registry.registrations.get(instance_id),
            (kind, service, run[0], last_key, entry[FENCING_TOKEN]),
        )
        if (
            row is None
            or not row.address
            or row.phase == GONE
            and kind == "grant"
            or key in self.calls_in_flight
            or now < self.retry_at.get(key, 0.0)
        ):
            return
        self.calls_in_flight.add(key)
        calls.append(
            LeaseCall(
                kind,
                service,
                instance_id,
                row.address,
                tuple(run),
                run[0],
                last_key,
                entry[FENCING_TOKEN],
                self.lease_duration,
                entry[HANDOVER],
            )
        )

    def is_first_grant(self, call: LeaseCall) -> bool:
        """Whether this grant renews nothing."""
        return self.granted.get((call.service, call.first_key), ("", 0, 0.0))[:2] != (
            call.instance_id,
            call.fencing_token,
        )

    def call_finished(
        self, now: float, call: LeaseCall, sent: float, status: int, handover: str, ended: bool
    ) -> ReleasedKeys | None:
        """The end of a call; status 0 is no answer, -1 a dead port; ended: it took leave, or nobody hears
        it.
        """
        key = (call.kind, call.service, call.first_key, call.last_key, call.fencing_token)
        self.calls_in_flight.discard(key)
        self.retry_at = {k: at for k, at in self.retry_at.items() if at > now}
        if call.kind == "grant":
            if status == 200:
                for start in call.starts:
                    _, fencing_token, at = self.granted.get((call.service, start), ("", 0, 0.0))
                    if (fencing_token, at) < (
                        call.fencing_token,
                        sent,
                    ):  # a late answer tells nothing of a newer grant
                        self.granted[call.service, start] = (call.instance_id, call.fencing_token, sent)
            else:
                self.retry_at[key] = now + RETRY_DELAY
            return None
        # 421: another life listens there, so this one ended
        if status in (200, 421) or status == -1 and ended:
            return ReleasedKeys(
                call.service,
                call.starts,
                call.fencing_token,
                call.instance_id,
                handover if status == 200 else "",
            )
        self.retry_at[key] = now + RETRY_DELAY
        return None
