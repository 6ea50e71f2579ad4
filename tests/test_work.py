"""Tests of the background scheduler's budget and of the timing wheel against a heap."""

import heapq
import math
import random

import pytest

from bramblewood.work.scheduler import WAITING, Scheduler
from bramblewood.work.wheel import TICK, Wheel


class ManualClock:
    """A clock that moves only when a test sets `now`."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def random_steps(clock, rng, count, longest, log, name):
    """Yields `count` steps of up to `longest` s and logs `name` at each. About one step in ten waits."""
    for k in range(count):
        clock.now += rng.random() * longest
        log.append(name)
        yield WAITING if rng.random() < 0.1 else k


@pytest.mark.parametrize("seed", range(20))
def test_scheduler_keeps_budget_weights_and_deadline_on_random_steps(seed):
    """A turn exceeds its budget by at most one step, and shares follow weights.

    Under overload, the jobs still get the floor of the budget.
    """
    rng, clock, log, errors = random.Random(seed), ManualClock(), [], []
    scheduler = Scheduler(clock, lambda name, error: errors.append(name))
    weights = {"seal": 3.0, "merge": 1.0, "scan": 1.0}
    for name, weight in weights.items():
        scheduler.add(name, random_steps(clock, rng, 10_000, 0.0004, log, name), weight)
    overload = rng.random() < 0.5
    start = clock.now
    for _ in range(1500):
        assert scheduler.run(clock.now, 1.0 if overload else 0.1) <= scheduler.full + 0.0004
        clock.now += 0.01
    counts = {name: log.count(name) for name in weights}
    assert counts["seal"] > 2.2 * counts["merge"] and 0.7 < counts["merge"] / counts["scan"] < 1.4
    background_time = clock.now - start - 1500 * 0.01
    assert len(log) > (1500 if overload else 4500) and background_time < 1500 * (
        0.0006 if overload else 0.0014
    )
    urgent = scheduler.add(
        "urgent", random_steps(clock, rng, 60, 0.0004, log, "urgent"), 0.1, clock.now + 0.3, 0.02
    )
    for _ in range(30 if not overload else 120):
        scheduler.run(clock.now, 0.1)
        clock.now += 0.01
    assert urgent.done


def test_job_that_raises_is_reported_and_removed_and_job_with_long_steps_finishes():
    clock, errors = ManualClock(), []
    scheduler = Scheduler(clock, lambda name, error: errors.append((name, str(error))))

    def failing():
        yield 1
        raise RuntimeError("a defect")

    def slow():
        for _ in range(20):
            clock.now += 0.01  # ten times the default budget
            yield None

    scheduler.add("failing", failing())
    job = scheduler.add("slow", slow())
    for _ in range(400):
        scheduler.run(clock.now, 0.9)
        clock.now += 0.02
    assert errors == [("failing", "a defect")] and job.done and not scheduler.jobs


@pytest.mark.parametrize("seed", range(30))
def test_wheel_expires_the_same_timers_as_a_heap(seed):
    """No timer expires early or more than two ticks late, with delays from milliseconds to hours."""
    rng = random.Random(seed)
    now, heap, sequence, expired, active = 1e9 + rng.random(), [], 0, [], {}
    wheel = Wheel(now)
    for _ in range(400):
        for _ in range(rng.randrange(4)):
            sequence += 1
            due_at = now + rng.choice([0.0, 0.01, 1.0, 60.0, 5000.0, 40000.0]) * rng.random()
            active[sequence] = (due_at, wheel.add(due_at, lambda sequence=sequence: expired.append(sequence)))
            heapq.heappush(heap, (due_at, sequence))
        if active and rng.random() < 0.4:
            cancelled = rng.choice(list(active))
            active.pop(cancelled)[1].cancel()
        next_time = wheel.next_at()
        earliest = min((due_at for due_at, _ in active.values()), default=math.inf)
        assert (next_time is None) == (not active) and (next_time or 0.0) <= earliest + 2 * TICK
        now += rng.choice([0.0, 0.0005, 0.003, 0.2, 7.0, 900.0, 30000.0]) * rng.random()
        for timer in wheel.due(now):
            timer.callback()
        while heap and heap[0][0] <= now - 2 * TICK:
            due_at, timer_sequence = heapq.heappop(heap)
            if timer_sequence in active:
                assert timer_sequence in expired
        for timer_sequence in [n for n in expired if n in active]:
            assert active.pop(timer_sequence)[0] <= now
    assert len(expired) == len(set(expired))
