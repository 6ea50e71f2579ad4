"""Workers: as listed, as their load reports show them, and as proxies observed them."""

import math

from ..events import DEREGISTERED, READY, ListedWorker, WorkerEjected
from ..policy_base import parameters
from ..policy_base.averages import is_usable, mean
from .admission import AdmissionControl


class Worker(AdmissionControl):
    """A worker's state: listed, measured, ejected, and what it admits."""

    def __init__(self, manager, name):
        super().__init__(manager, name)
        self.reset_measurements(len(manager.settings.operations))

    @property
    def usable(self) -> bool:
        """Whether it is listed ready and not ejected."""
        return self.state == READY and self.ejected_until <= self.manager.now

    def is_over_limit(self, reports: int = parameters.REPORTS_AVERAGED) -> bool:
        """Whether its own reports show it over the limit; true where they don't tell utilization."""
        average = mean([*self.loads][-reports:])
        return not self.manager.utilization_known or average > parameters.CAPACITY_LIMIT

    def may_return(self) -> bool:
        """Whether it is listed, or was heard so lately that it may have been cut off and returns."""
        return self.state != DEREGISTERED or self.cycles_without_report < parameters.FORGET_AFTER

    def update(self, entry: ListedWorker) -> None:
        """Take over its entry of the worker list."""
        started = entry.started if is_usable(entry.started) else parameters.LONG_AGO
        publisher = self.manager.publisher
        if started != self.started:
            self.reset_measurements(len(self.manager.settings.operations))
            if self.manager.now < self.manager.restored_until:  # an earlier start may have excluded it
                publisher.excluded.setdefault(self.name, False)
            self.warming_since, self.ejected_until, self.ejections = started, parameters.LONG_AGO, 0
        if entry.state != self.state:  # its exclusion is due, or over
            for slice in [slice for slice in self.manager.own_slices() if self in slice.routes]:
                self.manager.schedule(publisher.enqueue, slice, True)
        self.started, self.state, self.zone = started, entry.state, entry.zone
        self.weight = entry.weight if is_usable(entry.weight) and entry.weight > 0 else 1.0

    def eject(self, reason: str) -> None:
        """Out of use for a while, longer each time in a row; back in slow start, one slice at a time."""
        duration = parameters.EJECTION_TIME * 2**self.ejections
        self.ejections = min(self.ejections + 1, parameters.MAX_EJECTIONS_COUNTED)
        self.ejected_until = self.warming_since = self.manager.now + duration
        self.outcomes, self.old_outcomes = [0.0, 0.0], [0.0, 0.0]
        self.manager.orders.append(WorkerEjected(self.name, self.ejected_until, self.ejections))
        self.manager.log(f"worker {self.name} out of use for {duration:.0f} s: {reason}")

    def end_cycle(self, median_load: float, expected_load: float) -> None:
        """Average the cycle's reports, at most so many times the median load, and adjust admission."""
        if self.new_loads:  # an overloaded worker's queue must not make all others look idle
            self.report_gap, self.cycles_without_report = self.cycles_without_report + 1, 0
            self.load = mean(self.new_loads)
            self.loads.append(min(self.load, parameters.MAX_LOAD_FACTOR * median_load or math.inf))
        else:
            self.cycles_without_report += 1
            if self.cycles_without_report >= parameters.STALE_CYCLES:  # few use it: it has what is expected
                self.loads.append(expected_load)
        self.new_loads, self.answered = [], 0.0
        self.adjust_admission()
