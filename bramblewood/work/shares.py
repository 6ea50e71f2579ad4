"""Chooses the background job that runs next and limits the time of a turn for background work.

The module is pure, and the caller passes all times. Jobs are chosen by stride scheduling. Each job has a
pass, which grows by the time that the job uses divided by its weight. The lowest pass runs first.
A job that would miss its deadline with its share of the budget runs before all others.

Under overload the budget shrinks to a floor and not to zero, because the store's log grows without bound if
no job seals it. The budget that a turn leaves unused is saved, up to one full budget, so that a step longer
than the floor can run. The time that a step takes beyond the budget is a debt, which the following turns pay
first.
"""

from typing import NamedTuple

DEFAULT_BUDGET = 0.001  # s of background work in a turn; a turn with one step beyond it stays below 2 ms
BUDGET_FLOOR = 0.0003  # s of background work in a turn under full overload, enough for one short step
# The busy fraction up to which the budget is full, and the one from which the budget is the floor.
BUSY_RANGE = (0.3, 0.8)
MAX_PAUSE = 0.25  # s without any step after which a step runs even if the balance is negative
STEP_QUANTILE = 0.9  # the quantile of a job's step durations that is expected for its next step
MAX_DEBT = 25  # the largest debt, in full budgets; time beyond it is not paid back
BIN_BOUNDS = (0.00005, 0.0001, 0.0002, 0.0004, 0.0008, 0.0016, 0.0032, 0.0064, 0.0128)  # s, upper bounds
HALVING_COUNT = 256  # steps after which the counts are halved, because old durations predict little
SMOOTHING = 0.9  # weight of earlier turns in the moving average of the busy fraction


class StepDurations:
    """A histogram of the durations of a job's steps. Halving the counts gives recent steps more weight."""

    def __init__(self) -> None:
        self.counts, self.total, self.longest = [0] * (len(BIN_BOUNDS) + 1), 0, 0.0

    def record(self, seconds: float) -> None:
        """Adds the duration of one step."""
        index = next((k for k, bound in enumerate(BIN_BOUNDS) if seconds <= bound), len(BIN_BOUNDS))
        self.counts[index] += 1
        self.total += 1
        self.longest = max(self.longest, seconds)
        if self.total >= HALVING_COUNT:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def expected_duration(self) -> float:
        """Returns the quantile STEP_QUANTILE of the durations, in s, or 0 before the first step.

        The value is the upper bound of the quantile's bin, or the longest duration if it is in the last bin.
        """
        cumulative = 0
        for index, count in enumerate(self.counts):
            cumulative += count
            if cumulative and cumulative >= STEP_QUANTILE * self.total:
                return BIN_BOUNDS[index] if index < len(BIN_BOUNDS) else self.longest
        return 0.0


class Candidate(NamedTuple):
    """The values of a job from which the next one is chosen."""

    sequence: int  # number in order of addition; breaks ties
    weighted_time: float  # the job's pass: s used, divided by its weight
    expected_duration: float  # s of the job's next step
    remaining: float  # expected s of work until the end; 0 if unknown
    deadline: float  # unix time, or infinity
    weight: float
    ready: bool  # whether the job can continue in this turn


def turn_budget(full: float, busy_fraction: float) -> float:
    """Returns the time for background work in this turn, in s.

    full: the budget while the event loop is idle, in s. busy_fraction: the recent fraction of time in which
    the loop was not waiting.
    """
    low, high = BUSY_RANGE
    fraction = min(max((high - busy_fraction) / (high - low), 0.0), 1.0)
    return max(full * fraction, min(BUDGET_FLOOR, full))


def would_miss_deadline(candidate: Candidate, now: float, total_weight: float) -> bool:
    """Returns whether the job misses its deadline if it gets only its share of the time."""
    return (
        candidate.deadline < float("inf")
        and now + candidate.remaining * total_weight / candidate.weight >= candidate.deadline
    )


def choose(candidates: list[Candidate], now: float) -> Candidate | None:
    """Returns the job whose next step runs now, or None if no job is ready.

    Jobs that would miss their deadline come first, by earliest deadline. Then the lowest pass decides.
    """
    ready = [candidate for candidate in candidates if candidate.ready]
    total_weight = sum(candidate.weight for candidate in ready)
    return min(
        ready,
        default=None,
        key=lambda candidate: (
            not would_miss_deadline(candidate, now, total_weight),
            candidate.deadline if would_miss_deadline(candidate, now, total_weight) else 0.0,
            candidate.weighted_time,
            candidate.sequence,
        ),
    )


def may_run_step(expected_duration: float, available: float, step_ran: bool, pause: float) -> bool:
    """Returns whether another step runs in this turn.

    expected_duration: s of the step. available: s that remain of the budget, negative while there is a debt.
    step_ran: whether a step has run in this turn. pause: s since the last step of any turn.
    """
    if pause >= MAX_PAUSE:
        return True
    return available > 0 and (expected_duration <= available or not step_ran)
