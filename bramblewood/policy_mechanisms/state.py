"""State that the decisions read and write: workers, slices and what reports show of them.

`manager` gives the time (`now`) and the settings. Nothing is decided here.
"""

from collections import deque
from typing import Any

from ..events import DEREGISTERED, SliceHeatReported
from ..policy.parameters import LONG_AGO, REPORTS_AVERAGED, STALE_CYCLES, TURN_INTERVAL


class WorkerState:
    """A worker as listed, as its load reports show it, and as proxies observed it."""

    def __init__(self, manager: Any, name: str) -> None:
        self.manager, self.name = manager, name
        self.state, self.weight, self.zone = DEREGISTERED, 1.0, ""  # as listed
        self.started = LONG_AGO  # unix time, as listed
        self.warming_since = LONG_AGO  # unix time at which slow start began or will begin
        self.ejected_until = LONG_AGO  # unix time
        self.ejections = 0  # in a row, as far as counted
        self.last_slice_at = LONG_AGO  # unix time at which it was last given a slice
        self.reset_measurements()

    def reset_measurements(self) -> None:
        """Forget what was measured; all operations are admitted."""
        self.loads: deque[float] = deque(maxlen=REPORTS_AVERAGED)  # load over capacity, one a cycle
        self.response_times: deque[float] = deque(maxlen=REPORTS_AVERAGED)  # s, one an evaluation
        self.new_loads: list[float] = []  # reported since the last cycle
        self.samples: list[tuple[float, float]] = []  # response time in s and count of answers, not evaluated
        self.outcomes = [0.0, 0.0]  # attempts answered and unanswered, halved at each evaluation
        self.old_outcomes = [0.0, 0.0]  # the part of them from before the last evaluation
        self.answered = 0.0  # attempts answered since the last cycle
        self.load = 0.0  # as last reported
        self.strain = 0.0  # last response time over the latency objective
        self.cycles_without_report = STALE_CYCLES  # cycles since the last load report
        self.report_gap = 1  # cycles that the last load report spans
        self.admitted = [1.0] * len(self.manager.settings.operations)  # admission level by operation
        self.retries_cut = False
        self.next_cut_at = LONG_AGO  # unix time before which admission is not cut again
        self.no_raise_before = LONG_AGO  # unix time before which admission is not raised

    def response_time(self) -> float:
        """The mean response time in s since the last evaluation, or the last one known."""
        answered = sum(count for _, count in self.samples)
        if answered:
            return sum(time * count for time, count in self.samples) / answered
        return self.response_times[-1] if self.response_times else 0.0


class SliceState:
    """A slice: its heat, the workers that should serve it, and its table as the store has it."""

    def __init__(self, manager: Any, number: int) -> None:
        self.manager, self.number = manager, number
        self.assigned = False  # to this manager
        self.primary: Any = None  # the worker that should serve it, with a route of weight 1
        self.standby: Any = None  # the worker that proxies turn to, with a route of far less weight
        self.routes: dict[Any, float] = {}  # as the store has them: weights by worker
        self.admission: list[tuple[float, int]] | None = None  # as the store has it; None: the default
        self.latest: dict[str, tuple[float, float]] = {}  # by operation: invocations a second, valid until
        self.has_new_heat = False  # since the last estimate
        self.previous_heat: float | None = None
        self.estimates: deque[float] = deque(maxlen=REPORTS_AVERAGED)  # invocations a second
        self.rests_until, self.moves = LONG_AGO, 0  # of moves by the ordinary rule

    def add_heat(self, report: SliceHeatReported) -> None:
        """Add the invocations of one operation."""
        interval = max(report.interval, TURN_INTERVAL)  # where reports are capped they span seconds
        rate, valid_until = report.invocations / interval, self.manager.now + STALE_CYCLES * interval
        self.latest[report.operation] = rate, valid_until
        self.has_new_heat = True
