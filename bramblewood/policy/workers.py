"""Workers as listed, reported and observed; overloaded ones admit less, the least billed operations first."""

import math

from ..events import READY, ListedWorker, WorkerEjected, WorkerReported
from ..policy_mechanisms.averages import is_usable, mean
from ..policy_mechanisms.state import WorkerState
from . import parameters


class Worker(WorkerState):
    """A worker's state: listed, measured, ejected, and what it admits."""

    @property
    def usable(self) -> bool:
        """Whether it is listed ready and not ejected."""
        return self.state == READY and self.ejected_until <= self.manager.now

    @property
    def is_warm(self) -> bool:
        """Whether its slow start is over."""
        return self.warmth() >= 1.0

    def warmth(self) -> float:
        """The share of its capacity that it surely has in its slow start, from `slow_start_minimum` to 1."""
        settings, age = self.manager.settings, self.manager.now - self.warming_since
        least, window = settings.slow_start_minimum, settings.slow_start_window
        return 1.0 if age >= window else least + (1 - least) * max(age, 0.0) / window

    def is_over_limit(self, reports: int = parameters.REPORTS_AVERAGED) -> bool:
        """Whether its own reports show it over the limit; true where they don't tell utilization."""
        average = mean([*self.loads][-reports:])
        return not self.manager.utilization_known or average > parameters.CAPACITY_LIMIT

    def update(self, entry: ListedWorker) -> None:
        """Take over its entry of the worker list."""
        started = entry.started if is_usable(entry.started) else parameters.LONG_AGO
        publisher = self.manager.publisher
        if started != self.started:
            self.reset_measurements()
            if self.manager.now < self.manager.restored_until:  # an earlier start may have excluded it
                publisher.excluded.setdefault(self.name, False)
            self.warming_since, self.ejected_until, self.ejections = started, parameters.LONG_AGO, 0
        if entry.state != self.state:  # its exclusion is due, or over
            for slice in [slice for slice in self.manager.own_slices() if self in slice.routes]:
                self.manager.schedule(publisher.enqueue, slice, True)
        self.started, self.state, self.zone = started, entry.state, entry.zone
        self.weight = entry.weight if is_usable(entry.weight) and entry.weight > 0 else 1.0

    def add_report(self, report: WorkerReported) -> None:
        """Add what the proxies of a zone observed, and its load report."""
        answered = max(report.attempts - report.unanswered, 0)
        self.answered += answered
        if self.manager.now - report.interval >= self.ejected_until:  # older counts say nothing of it now
            self.outcomes[0] += answered
            self.outcomes[1] += report.unanswered
            if answered > 0 < report.mean_response_time:
                self.samples.append((report.mean_response_time, answered))
        load = {name: value for name, value in report.load.items() if is_usable(value)}
        if "utilization" in load:
            self.new_loads.append(load["utilization"] + parameters.QUEUE_WEIGHT * load.get("queued", 0.0))
        elif "in_flight" in load:
            self.new_loads.append(load["in_flight"] / self.weight)
        elif not {"utilization", "in_flight"} & set(self.manager.settings.load_fields):
            interval = max(report.interval, parameters.MIN_INTERVAL)
            self.new_loads.append(report.attempts / interval / self.weight)

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

    def adjust_admission(self) -> None:
        """Once a cycle: admit less while overloaded, whatever the cause, and more again afterwards."""
        before = self.retries_cut, list(self.admitted)
        answered, unanswered = (new - old for new, old in zip(self.outcomes, self.old_outcomes, strict=True))
        fresh = answered + unanswered >= parameters.MIN_ATTEMPTS  # fewer wait for more
        if fresh:
            self.response_times.append(self.response_time())
            self.strain = self.response_times[-1] / self.manager.latency_objective
            self.samples, self.outcomes = [], [count / 2 for count in self.outcomes]
            self.old_outcomes = list(self.outcomes)
        known, now = self.manager.utilization_known, self.manager.now
        loaded = self.load >= parameters.CAPACITY_LIMIT or not known  # an idle one is only far
        # reports that come thin leave cycles out: nothing rises in those, nor by few attempts
        waits = self.cycles_without_report or known and self.report_gap > 1
        unheard = not fresh and (self.cycles_without_report >= parameters.STALE_CYCLES or not waits)
        relaxed = self.strain < parameters.RELAXED or not loaded or unheard
        if fresh and self.strain > parameters.STRAINED and loaded and now >= self.next_cut_at:
            self.cut(answered, unanswered)
        elif relaxed and now >= self.no_raise_before:
            self.restore()
        if (self.retries_cut, self.admitted) != before:
            self.publish_admission()

    def cut(self, answered: float, unanswered: float) -> None:
        """Cut retries, then the level of the least valuable operation: the longer the queue, the lower."""
        open_operations = [k for k in self.manager.operations_by_value if self.admitted[k] > parameters.FLOOR]
        deeper = self.retries_cut or not self.is_warm  # one in slow start would fall over before levels came
        self.next_cut_at = self.manager.now + (parameters.CUT_LAG if deeper else 0.0)
        if deeper and open_operations:
            lowest, (least, most) = open_operations[0], parameters.CUT_RANGE
            kept = most * answered / (answered + unanswered) / max(self.strain, 1.0)
            self.admitted[lowest] = max(self.admitted[lowest] * max(least, kept), parameters.FLOOR)
        self.retries_cut = True

    def restore(self) -> None:
        """Raise the most valuable operation that is cut: the further from the limit, the faster."""
        reduced = [k for k in self.manager.operations_by_value if self.admitted[k] < 1]
        self.retries_cut = self.retries_cut and bool(reduced)
        if reduced:
            headroom = parameters.CAPACITY_LIMIT / max(self.load, parameters.RAISE)
            raised = parameters.RAISE * (max(headroom, 1.0) if self.manager.utilization_known else 1.0)
            self.admitted[reduced[-1]] = min(self.admitted[reduced[-1]] + raised, 1.0)

    def cut_ahead(self, expected_load: float) -> None:
        """Urgent slices will bring more than it can do (load above 1): admit less before its queue grows."""
        if expected_load > 1 and self.admitted:
            least = self.manager.operations_by_value[0]
            self.admitted[least] = max(min(self.admitted[least], 1 / expected_load), parameters.FLOOR)
            self.retries_cut = True
            self.next_cut_at = self.no_raise_before = self.manager.now + parameters.CUT_LAG
            self.publish_admission()

    def publish_admission(self) -> None:
        """Queue the tables of the slices that this worker serves."""
        for slice in [slice for slice in self.manager.own_slices() if slice.primary is self]:
            self.manager.schedule(self.manager.publisher.enqueue, slice, True)
