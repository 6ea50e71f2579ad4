"""Which piece of background work runs next, and how much of a turn it may take. Pure; times are handed in.

Fairness is by stride: each job has a pass that grows by the time it used over its weight, and the lowest
goes first. A job with a deadline that its share would miss goes before all others. Under overload the budget
shrinks to a floor and not to nothing, so that what is due does get done: a log that is never sealed grows for
ever. What a turn leaves of its budget is saved, up to a full one, so that a step longer than the floor runs;
what a step took beyond it is a debt that the next turns pay first.
"""

from typing import NamedTuple

BUDGET = 0.001  # s of a turn for background work; with one step more it stays below 2 ms
FLOOR = 0.0003  # s of a turn left to it under full overload: one short step
BUSY = (0.3, 0.8)  # part of the time that turns take: below the first all of the budget, above the second
# the floor
LONGEST_PAUSE = 0.25  # s after which a step is run whatever the debt
TYPICAL = 0.9  # part of a job's steps that are as short as the one expected
DEBT = 25  # budgets that a step may take beyond its turn's and have paid back; one of 50 ms
BINS = (0.00005, 0.0001, 0.0002, 0.0004, 0.0008, 0.0016, 0.0032, 0.0064, 0.0128)  # s, upper bounds
HALVED = 256  # steps after which counts are halved: old times say little
MEMORY = 0.9  # part that the busyness of earlier turns keeps


class Steps:
    """How long the steps of a job take: a small histogram, halved now and then."""

    def __init__(self) -> None:
        self.counts, self.total, self.longest = [0] * (len(BINS) + 1), 0, 0.0

    def note(self, seconds: float) -> None:
        place = next((k for k, bound in enumerate(BINS) if seconds <= bound), len(BINS))
        self.counts[place] += 1
        self.total += 1
        self.longest = max(self.longest, seconds)
        if self.total >= HALVED:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def expected(self) -> float:
        """s that a typical step stays below; of none yet, nothing."""
        below = 0
        for place, count in enumerate(self.counts):
            below += count
            if below and below >= TYPICAL * self.total:
                return BINS[place] if place < len(BINS) else self.longest
        return 0.0


class Share(NamedTuple):
    """What the choice between jobs knows of one."""

    order: int  # in which it was added; breaks ties
    used: float  # its pass: s used over its weight
    expected: float  # s of its next step
    left: float  # s of work that it expects to need in all; 0 if it can't say
    deadline: float  # unix time, or infinity
    weight: float
    ready: bool  # not waiting for a disc


def budget(full: float, busy: float) -> float:
    """s for background work in this turn, by the part of the time that turns took lately."""
    low, high = BUSY
    part = min(max((high - busy) / (high - low), 0.0), 1.0)
    return max(full * part, min(FLOOR, full))


def pressed(share: Share, now: float, weights: float) -> bool:
    """Whether its deadline is missed if it only gets its part of the budget."""
    return share.deadline < float("inf") and now + share.left * weights / share.weight >= share.deadline


def choose(shares: list[Share], now: float) -> Share | None:
    """The job whose next step runs now, or None where all of them wait."""
    able = [share for share in shares if share.ready]
    weights = sum(share.weight for share in able)
    return min(
        able,
        default=None,
        key=lambda share: (
            not pressed(share, now, weights),
            share.deadline if pressed(share, now, weights) else 0.0,
            share.used,
            share.order,
        ),
    )


def goes_on(expected: float, left: float, ran: bool, paused: float) -> bool:
    """Whether another step runs in this turn.

    expected: s of the step; left: s of the budget that remain, below 0 while a debt is paid; ran: whether one
    has run in this turn; paused: s since the last one at all.
    """
    if paused >= LONGEST_PAUSE:
        return True
    return left > 0 and (expected <= left or not ran)
