"""Runs background jobs step by step, within the time budget of each turn of the event loop.

shares.py chooses the next job and limits the time of each turn.
"""

import math
from collections.abc import Callable, Iterator

from . import shares

WAITING = "waiting"  # yielded by a step if its job cannot continue in this turn


class Job:
    """A background job and its accounting.

    steps: an iterator; each call of next() runs one short step. weight: the job's share of the budget,
    relative to the weights of the other jobs. deadline: unix time. remaining: the work expected until the end
    of the job, in s.
    """

    def __init__(self, name: str, steps: Iterator, weight: float, deadline: float, remaining: float) -> None:
        self.name, self.steps, self.weight, self.deadline, self.remaining = (
            name,
            steps,
            weight,
            deadline,
            remaining,
        )
        self.weighted_time, self.durations, self.waiting, self.sequence = (
            0.0,
            shares.StepDurations(),
            False,
            0,
        )
        self.done = False

    def candidate(self) -> shares.Candidate:
        """Returns the values from which `shares.choose` chooses the next job."""
        return shares.Candidate(
            self.sequence,
            self.weighted_time,
            self.durations.expected_duration(),
            self.remaining,
            self.deadline,
            self.weight,
            not self.waiting,
        )


class Scheduler:
    """Shares the time for background work among jobs.

    clock: returns the time in s at high resolution. on_error: called with the name and the exception of a job
    that raises. Such a job is then removed. full: the budget of a turn while the event loop is idle, in s.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_error: Callable[[str, Exception], None],
        full: float = shares.DEFAULT_BUDGET,
    ) -> None:
        self.clock, self.on_error, self.full = clock, on_error, full
        self.jobs: list[Job] = []
        self.busy_fraction, self.last_sequence, self.last_step_at = 0.0, 0, clock()
        self.balance = 0.0  # s of budget left over from earlier turns; a negative value is a debt
        self.longest_run = 0.0  # s, the longest that one call of run() took

    def add(
        self,
        name: str,
        steps: Iterator,
        weight: float = 1.0,
        deadline: float = math.inf,
        remaining: float = 0.0,
    ) -> Job:
        """Adds a job and returns it.

        weight: above 0. deadline: unix time. remaining: the work expected in total, in s; 0 if unknown.
        """
        job = Job(name, steps, weight, deadline, remaining)
        self.last_sequence += 1
        job.sequence = self.last_sequence
        # A new job gets no credit for the time before it was added.
        job.weighted_time = min((other.weighted_time for other in self.jobs), default=0.0)
        self.jobs.append(job)
        return job

    def run(self, now: float, busy_fraction: float) -> float:
        """Runs the background work of one turn and returns the time that it took, in s.

        now: unix time, compared with the deadlines. busy_fraction: the fraction of the time since the last
        turn in which the loop was not waiting.
        """
        self.busy_fraction = shares.SMOOTHING * self.busy_fraction + (1 - shares.SMOOTHING) * busy_fraction
        run_started = self.clock()
        if not self.jobs:
            self.last_step_at = run_started
            return 0.0
        self.balance = min(self.balance + shares.turn_budget(self.full, self.busy_fraction), self.full)
        available, step_started = self.balance, run_started
        for job in self.jobs:
            job.waiting = False
        while chosen := shares.choose([job.candidate() for job in self.jobs], now):
            if not shares.may_run_step(
                chosen.expected_duration,
                available - (step_started - run_started),
                step_started > run_started,
                step_started - self.last_step_at,
            ):
                break
            job = next(job for job in self.jobs if job.sequence == chosen.sequence)
            self.run_step(job)
            step_ended = self.clock()
            job.durations.record(step_ended - step_started)
            job.weighted_time += (step_ended - step_started) / job.weight
            job.remaining = max(job.remaining - (step_ended - step_started), 0.0)
            if not job.waiting:
                self.last_step_at = step_ended
            step_started = step_ended
        self.balance = max(available - (step_started - run_started), -shares.MAX_DEBT * self.full)
        self.longest_run = max(self.longest_run, step_started - run_started)
        return step_started - run_started

    def run_step(self, job: Job) -> None:
        """Runs one step of a job. Removes the job if it ends or raises."""
        try:
            job.waiting = next(job.steps) == WAITING
            return
        except StopIteration:
            pass
        except Exception as error:  # a failed job must not stop the other jobs
            self.on_error(job.name, error)
        job.done = True
        self.jobs.remove(job)
