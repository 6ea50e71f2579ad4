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
from ..common.slice_table import FENCE, HANDOVER, KEYS, OLD, WORKER, starts_of
from ..common.timeouts import SLOW_CLOCK, TRAVEL, WORD
from ..common.worker_registry import GONE, Roll

# of HoldMaxS: an unsettled core of some seconds costs nothing, a dead worker's keys wait as long
HOLD_PART = 0.6
RENEW_PART = 1 / 3  # of the hold after which it is renewed: two more tries fit
SAME = (WORKER, FENCE, HANDOVER, OLD)  # what slices of one call have in common
# s from a call's leaving to its arrival at most: lost packets are sent again until the socket gives them up
ARRIVES = UNHEARD_MS / 1000 + TRAVEL
AGAIN = 0.3  # s between tries of a call that failed


class Call(NamedTuple):
    """One call to a worker: grant or release of a run of slices."""

    kind: str
    service: str
    life: str
    address: str
    starts: tuple[int, ...]
    first: int
    last: int
    fence: int
    hold: float
    handover: str


class Freed(NamedTuple):
    """These slices are free of their old holder: to be agreed."""

    service: str
    starts: tuple[int, ...]
    fence: int
    old: str
    handover: str


class Holds:
    def __init__(self, hold_most: float) -> None:
        self.hold = hold_most * HOLD_PART
        self.granted: dict[tuple[str, int], tuple[str, int, float]] = {}  # slice: life, fence, when sent
        self.wait_from: dict[tuple, float] = {}  # slice, fence, old holder: since when its change is known
        self.next_at: dict[tuple, float] = {}  # by call: not before
        self.out: set[tuple] = set()  # calls under way

    @property
    def expiry(self) -> float:
        return self.hold * SLOW_CLOCK + WORD + ARRIVES

    def step(self, now: float, table: dict, keyed: set[str], roll: Roll) -> tuple[list[Call], list[Freed]]:
        calls, free, waiting = [], [], set()
        for service in keyed & table["s"].keys():
            entries = table["s"][service]
            starts = starts_of(entries)
            run: list[int] = []
            for place, start in enumerate(starts):
                entry = entries[str(start)]
                if run and tuple(entry[i] for i in SAME) != tuple(entries[str(run[0])][i] for i in SAME):
                    self.run_of(now, service, entries, run, start - 1, roll, calls, free, waiting)
                    run = []
                if entry[WORKER]:
                    run.append(start)
                    if place + 1 == len(starts):
                        self.run_of(now, service, entries, run, KEYS - 1, roll, calls, free, waiting)
        self.wait_from = {key: at for key, at in self.wait_from.items() if key in waiting}
        return calls, free

    def run_of(
        self,
        now: float,
        service: str,
        entries: dict,
        run: list[int],
        last: int,
        roll: Roll,
        calls: list,
        free: list,
        waiting: set,
    ) -> None:
        """One run of slices next to each other with the same holder, fence, handover and old holder."""
        entry = entries[str(run[0])]
        if not entry[OLD]:
            if self.due(now, service, entry, run):
                self.call(now, "grant", service, entry[WORKER], entry, run, last, roll, calls)
            return
        key = (service, run[0], entry[FENCE], entry[OLD])
        waiting.add(key)
        since = self.wait_from.setdefault(key, now)
        if now >= since + self.expiry:
            free.append(Freed(service, tuple(run), entry[FENCE], entry[OLD], ""))
        else:
            self.call(now, "release", service, entry[OLD], entry, run, last, roll, calls)

    def due(self, now: float, service: str, entry: list, run: list[int]) -> bool:
        for start in run:
            life, fence, at = self.granted.get((service, start), ("", 0, 0.0))
            if (life, fence) != (entry[WORKER], entry[FENCE]) or now >= at + self.hold * RENEW_PART:
                return True
        return False

    def call(
        self,
        now: float,
        kind: str,
        service: str,
        life: str,
        entry: list,
        run: list[int],
        last: int,
        roll: Roll,
        calls: list,
    ) -> None:
        row, key = roll.rows.get(life), (kind, service, run[0], last, entry[FENCE])
        if (
            row is None
            or not row.address
            or row.phase == GONE
            and kind == "grant"
            or key in self.out
            or now < self.next_at.get(key, 0.0)
        ):
            return
        self.out.add(key)
        calls.append(
            Call(
                kind,
                service,
                life,
                row.address,
                tuple(run),
                run[0],
                last,
                entry[FENCE],
                self.hold,
                entry[HANDOVER],
            )
        )

    def new(self, call: Call) -> bool:
        """Whether this grant renews nothing."""
        return self.granted.get((call.service, call.first), ("", 0, 0.0))[:2] != (call.life, call.fence)

    def answered(
        self, now: float, call: Call, sent: float, status: int, handover: str, ended: bool
    ) -> Freed | None:
        """The end of a call; status 0 is no answer, -1 a dead port; ended: it took leave, or nobody hears
        it.
        """
        key = (call.kind, call.service, call.first, call.last, call.fence)
        self.out.discard(key)
        self.next_at = {k: at for k, at in self.next_at.items() if at > now}
        if call.kind == "grant":
            if status == 200:
                for start in call.starts:
                    _, fence, at = self.granted.get((call.service, start), ("", 0, 0.0))
                    if (fence, at) < (call.fence, sent):  # a late answer tells nothing of a newer grant
                        self.granted[call.service, start] = (call.life, call.fence, sent)
            else:
                self.next_at[key] = now + AGAIN
            return None
        # 421: another life listens there, so this one ended
        if status in (200, 421) or status == -1 and ended:
            return Freed(call.service, call.starts, call.fence, call.life, handover if status == 200 else "")
        self.next_at[key] = now + AGAIN
        return None
