"""Admission control: an overloaded worker admits less, operations of the least billed value first."""

from ..events import NO_RETRY, RETRY_UNSTARTED
from ..policy_base import parameters
from ..policy_base.state import WorkerState


class AdmissionControl(WorkerState):
    """What a worker admits, by operation, and whether others may retry."""

    @property
    def is_warm(self) -> bool:
        """Whether its slow start is over."""
        return self.warmth() >= 1.0

    def warmth(self) -> float:
        """The share of its capacity that it surely has in its slow start, from `slow_start_minimum` to 1."""
        settings, age = self.manager.settings, self.manager.now - self.warming_since
        least, window = settings.slow_start_minimum, settings.slow_start_window
        return 1.0 if age >= window else least + (1 - least) * max(age, 0.0) / window

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

    def admission_rules(self) -> list[tuple[float, int]]:
        """Level and retry mode of each operation; what may take effect twice is never repeated."""
        retry = NO_RETRY if self.retries_cut else RETRY_UNSTARTED
        return [(round(level, 3), retry) for level in self.admitted]

    def publish_admission(self) -> None:
        """Queue the tables of the slices that this worker serves."""
        for slice in [slice for slice in self.manager.own_slices() if slice.primary is self]:
            self.manager.schedule(self.manager.publisher.enqueue, slice, True)
