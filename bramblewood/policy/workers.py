"""Workers: list entries, reports, ejection and admission control, which cuts low-value operations first."""

import math

from ..events import READY, ListedWorker, WorkerEjected, WorkerReported
from ..policy_mechanisms.averages import is_nonnegative, mean
from ..policy_mechanisms.state import WorkerState
from . import parameters


class Worker(WorkerState):
    """Updates the state of one worker from lists, reports and the end of each cycle."""

    @property
    def usable(self) -> bool:
        """Whether the worker is listed as ready and not ejected."""
        return self.state == READY and self.ejected_until <= self.manager.now

    @property
    def is_warm(self) -> bool:
        """Whether the worker's slow start is over."""
        return self.warmth() >= 1.0

    def warmth(self) -> float:
        """Return the share of its capacity that is assumed in slow start, from `slow_start_minimum` to 1."""
        settings, age = self.manager.settings, self.manager.now - self.warming_since
        least, window = settings.slow_start_minimum, settings.slow_start_window
        return 1.0 if age >= window else least + (1 - least) * max(age, 0.0) / window

    def is_over_limit(self, reports: int = parameters.REPORTS_AVERAGED) -> bool:
        """Return whether the mean of the last reports exceeds the limit; True if utilization is unknown."""
        average = mean([*self.recent_loads][-reports:])
        return not self.manager.utilization_known or average > parameters.CAPACITY_LIMIT

    def update(self, entry: ListedWorker) -> None:
        """Apply the worker's entry of a worker list; a new start time resets the measurements."""
        started = entry.started if is_nonnegative(entry.started) else parameters.LONG_AGO
        publisher = self.manager.publisher
        if started != self.started:
            self.reset_measurements()
            if self.manager.now < self.manager.old_exclusions_until:  # an earlier run may have excluded it
                publisher.excluded.setdefault(self.name, False)
            self.warming_since, self.ejected_until, self.ejections = started, parameters.LONG_AGO, 0
        if entry.state != self.state:  # the worker is to be excluded or readmitted
            for slice in [slice for slice in self.manager.own_slices() if self in slice.routes]:
                self.manager.schedule(publisher.enqueue, slice, True)
        self.started, self.state, self.zone = started, entry.state, entry.zone
        self.weight = entry.weight if is_nonnegative(entry.weight) and entry.weight > 0 else 1.0

    def add_report(self, report: WorkerReported) -> None:
        """Add what the proxies of a zone observed, and the load report of the worker."""
        answered = max(report.attempts - report.unanswered, 0)
        self.answered += answered
        if self.manager.now - report.interval >= self.ejected_until:  # not during an ejection
            self.outcomes[0] += answered
            self.outcomes[1] += report.unanswered
            if answered > 0 < report.mean_response_time:
                self.response_samples.append((report.mean_response_time, answered))
        load = {name: value for name, value in report.load.items() if is_nonnegative(value)}
        if "utilization" in load:
            self.new_loads.append(load["utilization"] + parameters.QUEUE_WEIGHT * load.get("queued", 0.0))
        elif "in_flight" in load:
            self.new_loads.append(load["in_flight"] / self.weight)
        elif not {"utilization", "in_flight"} & set(self.manager.settings.load_fields):
            interval = max(report.interval, parameters.MIN_INTERVAL)
            self.new_loads.append(report.attempts / interval / self.weight)

    def eject(self, reason: str) -> None:
        """Make the worker unusable for a time that doubles with each ejection; slow start follows."""
        duration = parameters.EJECTION_TIME * 2**self.ejections
        self.ejections = min(self.ejections + 1, parameters.MAX_EJECTIONS_COUNTED)
        self.ejected_until = self.warming_since = self.manager.now + duration
        self.outcomes, self.old_outcomes = [0.0, 0.0], [0.0, 0.0]
        self.manager.orders.append(WorkerEjected(self.name, self.ejected_until, self.ejections))
        self.manager.log(f"worker {self.name} ejected for {duration:.0f} s: {reason}")

    def end_cycle(self, median_load: float, expected_load: float) -> None:
        """Append the bounded mean of the cycle's reports, or the expected load, and adjust admission."""
        if self.new_loads:  # without the bound, one long queue would make all other workers look idle
            self.report_gap, self.cycles_without_report = self.cycles_without_report + 1, 0
            self.load = mean(self.new_loads)
            self.recent_loads.append(min(self.load, parameters.MAX_LOAD_FACTOR * median_load or math.inf))
        else:
            self.cycles_without_report += 1
            if self.cycles_without_report >= parameters.STALE_CYCLES:  # assumes little traffic, not overload
                self.recent_loads.append(expected_load)
        self.new_loads, self.answered = [], 0.0
        self.adjust_admission()

    def adjust_admission(self) -> None:
        """Cut admission while the worker is overloaded for whatever reason, and raise it afterwards."""
        before = self.retries_off, list(self.admitted)
        answered, unanswered = (new - old for new, old in zip(self.outcomes, self.old_outcomes, strict=True))
        fresh = answered + unanswered >= parameters.MIN_ATTEMPTS  # fewer are kept for the next cycle
        if fresh:
            self.response_times.append(self.response_time())
            self.latency_ratio = self.response_times[-1] / self.manager.latency_objective
            self.response_samples, self.outcomes = [], [count / 2 for count in self.outcomes]
            self.old_outcomes = list(self.outcomes)
        known, now = self.manager.utilization_known, self.manager.now
        loaded = self.load >= parameters.CAPACITY_LIMIT or not known  # a slow idle worker is only far away
        # where reports skip cycles, a cycle without a report or with few attempts does not raise admission
        sparse = self.cycles_without_report or known and self.report_gap > 1
        little_used = not fresh and (self.cycles_without_report >= parameters.STALE_CYCLES or not sparse)
        may_raise = self.latency_ratio < parameters.RAISE_LATENCY_RATIO or not loaded or little_used
        if fresh and self.latency_ratio > parameters.CUT_LATENCY_RATIO and loaded and now >= self.next_cut_at:
            self.cut_admission(answered, unanswered)
        elif may_raise and now >= self.no_raise_before:
            self.raise_admission()
        if (self.retries_off, self.admitted) != before:
            self.publish_admission()

    def cut_admission(self, answered: float, unanswered: float) -> None:
        """Switch retries off; next time, cut the least billed operation, by more if responses take longer."""
        candidates = [k for k in self.manager.operations_by_value if self.admitted[k] > parameters.MIN_LEVEL]
        cut_level = self.retries_off or not self.is_warm  # a warming worker overloads too soon for two steps
        self.next_cut_at = self.manager.now + (parameters.CUT_LAG if cut_level else 0.0)
        if cut_level and candidates:
            lowest, (least, most) = candidates[0], parameters.CUT_FACTOR_BOUNDS
            factor = most * answered / (answered + unanswered) / max(self.latency_ratio, 1.0)
            self.admitted[lowest] = max(self.admitted[lowest] * max(least, factor), parameters.MIN_LEVEL)
        self.retries_off = True

    def raise_admission(self) -> None:
        """Raise the most billed operation that is cut, by more if the load is further below the limit."""
        reduced = [k for k in self.manager.operations_by_value if self.admitted[k] < 1]
        self.retries_off = self.retries_off and bool(reduced)
        if reduced:
            headroom = parameters.CAPACITY_LIMIT / max(self.load, parameters.LEVEL_STEP)
            raised = parameters.LEVEL_STEP * (max(headroom, 1.0) if self.manager.utilization_known else 1.0)
            self.admitted[reduced[-1]] = min(self.admitted[reduced[-1]] + raised, 1.0)

    def cut_early(self, expected_load: float) -> None:
        """Cut the least billed operation before a queue grows, if the expected load exceeds capacity (1)."""
        if expected_load > 1 and self.admitted:
            least = self.manager.operations_by_value[0]
            self.admitted[least] = max(min(self.admitted[least], 1 / expected_load), parameters.MIN_LEVEL)
            self.retries_off = True
            self.next_cut_at = self.no_raise_before = self.manager.now + parameters.CUT_LAG
            self.publish_admission()

    def publish_admission(self) -> None:
        """Queue the tables of the slices whose primary this worker is."""
        for slice in [slice for slice in self.manager.own_slices() if slice.primary is self]:
            self.manager.schedule(self.manager.publisher.enqueue, slice, True)
