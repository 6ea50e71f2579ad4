"""Runs background work in steps between the turns of the loop, as shares.py decides."""

import math
from collections.abc import Callable, Iterator

from . import shares

WAITING = "waiting"  # what a step yields that can't go on in this turn


class Job:
    """One piece of work. steps: an iterator, each next() a short step; weight: its part against others'."""

    def __init__(self, name: str, steps: Iterator, weight: float, deadline: float, left: float) -> None:
        self.name, self.steps, self.weight, self.deadline, self.left = name, steps, weight, deadline, left
        self.used, self.times, self.waiting, self.order = 0.0, shares.Steps(), False, 0
        self.done = False

    def share(self) -> shares.Share:
        return shares.Share(
            self.order,
            self.used,
            self.times.expected(),
            self.left,
            self.deadline,
            self.weight,
            not self.waiting,
        )


class Scheduler:
    """clock: seconds, precise; told: what to tell of a job that raised (name, exception). It is dropped."""

    def __init__(
        self, clock: Callable[[], float], told: Callable[[str, Exception], None], full: float = shares.BUDGET
    ) -> None:
        self.clock, self.told, self.full = clock, told, full
        self.jobs: list[Job] = []
        self.busy, self.count, self.ran_at = 0.0, 0, clock()
        self.saved = 0.0  # s of budget that turns left over; below 0: a debt
        self.longest = 0.0  # s, the longest time taken of one turn

    def add(
        self, name: str, steps: Iterator, weight: float = 1.0, deadline: float = math.inf, left: float = 0.0
    ) -> Job:
        """weight above 0; deadline: unix time; left: s of work in all, as far as is known."""
        job = Job(name, steps, weight, deadline, left)
        self.count += 1
        job.order = self.count
        job.used = min((other.used for other in self.jobs), default=0.0)  # no credit for not having been
        self.jobs.append(job)
        return job

    def run(self, now: float, busy: float) -> float:
        """One turn's background work; the seconds it took.

        now: unix time for deadlines; busy: part of the time since the last turn that the loop worked.
        """
        self.busy = shares.MEMORY * self.busy + (1 - shares.MEMORY) * busy
        began = self.clock()
        if not self.jobs:
            self.ran_at = began
            return 0.0
        self.saved = min(self.saved + shares.budget(self.full, self.busy), self.full)
        allowed, at = self.saved, began
        for job in self.jobs:
            job.waiting = False
        while share := shares.choose([job.share() for job in self.jobs], now):
            if not shares.goes_on(share.expected, allowed - (at - began), at > began, at - self.ran_at):
                break
            job = next(job for job in self.jobs if job.order == share.order)
            self.step(job)
            after = self.clock()
            job.times.note(after - at)
            job.used += (after - at) / job.weight
            job.left = max(job.left - (after - at), 0.0)
            if not job.waiting:
                self.ran_at = after
            at = after
        self.saved = max(allowed - (at - began), -shares.DEBT * self.full)
        self.longest = max(self.longest, at - began)
        return at - began

    def step(self, job: Job) -> None:
        try:
            job.waiting = next(job.steps) == WAITING
            return
        except StopIteration:
            pass
        except Exception as problem:  # one job's defect is not the others'
            self.told(job.name, problem)
        job.done = True
        self.jobs.remove(job)
