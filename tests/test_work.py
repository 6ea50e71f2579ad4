"""Background work under a budget, and the timing wheel against the heap that it is measured against."""

import heapq
import math
import random

import pytest

from bramblewood.work.scheduler import WAITING, Scheduler
from bramblewood.work.wheel import TICK, Wheel


class Hand:
    def __init__(self):
        self.at = 100.0

    def __call__(self):
        return self.at


def work(hand, dice, count, longest, log, name):
    for k in range(count):
        hand.at += dice.random() * longest
        log.append(name)
        yield WAITING if dice.random() < 0.1 else k


@pytest.mark.parametrize("seed", range(20))
def test_budgets_shares_and_deadlines_hold_on_a_random_run(seed):
    """No turn takes more than its budget and one step; shares follow weights; overload leaves a floor."""
    dice, hand, log, told = random.Random(seed), Hand(), [], []
    scheduler = Scheduler(hand, lambda name, problem: told.append(name))
    weights = {"seal": 3.0, "merge": 1.0, "look": 1.0}
    for name, weight in weights.items():
        scheduler.add(name, work(hand, dice, 10_000, 0.0004, log, name), weight)
    overload = dice.random() < 0.5
    before = hand.at
    for _ in range(1500):
        assert scheduler.run(hand.at, 1.0 if overload else 0.1) <= scheduler.full + 0.0004
        hand.at += 0.01
    counts = {name: log.count(name) for name in weights}
    assert counts["seal"] > 2.2 * counts["merge"] and 0.7 < counts["merge"] / counts["look"] < 1.4
    used = hand.at - before - 1500 * 0.01
    assert len(log) > (1500 if overload else 4500) and used < 1500 * (0.0006 if overload else 0.0014)
    late = scheduler.add("late", work(hand, dice, 60, 0.0004, log, "late"), 0.1, hand.at + 0.3, 0.02)
    for _ in range(30 if not overload else 120):
        scheduler.run(hand.at, 0.1)
        hand.at += 0.01
    assert late.done


def test_a_job_that_raises_is_told_and_dropped_and_one_with_long_steps_still_ends():
    hand, told = Hand(), []
    scheduler = Scheduler(hand, lambda name, problem: told.append((name, str(problem))))

    def broken():
        yield 1
        raise RuntimeError("a defect")

    def slow():
        for _ in range(20):
            hand.at += 0.01  # five times the budget
            yield None

    scheduler.add("broken", broken())
    job = scheduler.add("slow", slow())
    for _ in range(400):
        scheduler.run(hand.at, 0.9)
        hand.at += 0.02
    assert told == [("broken", "a defect")] and job.done and not scheduler.jobs


@pytest.mark.parametrize("seed", range(30))
def test_the_wheel_runs_what_a_heap_would(seed):
    """Set, called off and run at random, over milliseconds and over days; never early, a tick late."""
    dice = random.Random(seed)
    now, heap, order, ran, live = 1e9 + dice.random(), [], 0, [], {}
    wheel = Wheel(now)
    for _ in range(400):
        for _ in range(dice.randrange(4)):
            order += 1
            at = now + dice.choice([0.0, 0.01, 1.0, 60.0, 5000.0, 40000.0]) * dice.random()
            live[order] = (at, wheel.add(at, lambda order=order: ran.append(order)))
            heapq.heappush(heap, (at, order))
        if live and dice.random() < 0.4:
            gone = dice.choice(list(live))
            live.pop(gone)[1].cancel()
        following = wheel.next_at()
        first = min((at for at, _ in live.values()), default=math.inf)
        assert (following is None) == (not live) and (following or 0.0) <= first + 2 * TICK
        now += dice.choice([0.0, 0.0005, 0.003, 0.2, 7.0, 900.0, 30000.0]) * dice.random()
        for entry in wheel.due(now):
            entry.call()
        while heap and heap[0][0] <= now - 2 * TICK:
            at, number = heapq.heappop(heap)
            if number in live:
                assert number in ran
        for number in [n for n in ran if n in live]:
            assert live.pop(number)[0] <= now
    assert len(ran) == len(set(ran))
