"""The state of workers and slices that the policy reads and writes.

`manager` provides the time (`now`) and the settings. Nothing is decided here.
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
        self.ejections = 0  # consecutive ones, up to a maximum
        self.last_slice_at = LONG_AGO  # unix time at which a slice last moved to the worker
        self.reset_measurements()

    def reset_measurements(self) -> None:
        """Discard all measurements, and admit all operations in full."""
        self.recent_loads: deque[float] = deque(maxlen=REPORTS_AVERAGED)  # load over capacity, one per cycle
        self.response_times: deque[float] = deque(maxlen=REPORTS_AVERAGED)  # s, one per evaluation
        self.new_loads: list[float] = []  # reported since the last cycle
        self.response_samples: list[tuple[float, float]] = []  # not yet evaluated: (mean in s, responses)
        self.outcomes = [0.0, 0.0]  # attempts answered and unanswered, halved at each evaluation
        self.old_outcomes = [0.0, 0.0]  # the part of `outcomes` that the last evaluation has covered
        self.answered = 0.0  # attempts answered since the last cycle
        self.load = 0.0  # the mean of the last reports, load over capacity
        self.latency_ratio = 0.0  # last response time over the latency objective
        self.cycles_without_report = STALE_CYCLES  # cycles since the last load report
        self.report_gap = 1  # cycles that the last load report covers
        self.admitted = [1.0] * len(self.manager.settings.operations)  # admission level by operation
        self.retries_off = False  # while the worker is overloaded
        self.next_cut_at = LONG_AGO  # unix time before which admission is not cut again
        self.no_raise_before = LONG_AGO  # unix time before which admission is not raised

    def response_time(self) -> float:
        """Return the mean response time in s since the last evaluation, or the last known one."""
        answered = sum(count for _, count in self.response_samples)
        if answered:
            return sum(time * count for time, count in self.response_samples) / answered
        return self.response_times[-1] if self.response_times else 0.0


class SliceState:
    """A slice: its heat, the workers that are to serve it, and its table as last published."""

    def __init__(self, manager: Any, number: int) -> None:
        self.manager, self.number = manager, number
        self.assigned = False  # to this manager
        self.primary: Any = None  # the worker that is to serve the slice, with a route of weight 1
        self.standby: Any = None  # the worker that proxies retry at, with a route of far less weight
        self.routes: dict[Any, float] = {}  # weights by worker, as last published or stored
        # (level, retry mode) by operation, as last published; None if these are the defaults
        self.admission: list[tuple[float, int]] | None = None
        self.latest_rates: dict[str, tuple[float, float]] = {}  # by operation: (invocations/s, valid until)
        self.has_new_heat = False  # whether heat was reported since the last estimate
        self.previous_heat: float | None = None  # invocations/s
        self.estimates: deque[float] = deque(maxlen=REPORTS_AVERAGED)  # invocations/s
        # unix time before which no ordinary move follows, and the number of ordinary moves
        self.cooldown_until, self.move_count = LONG_AGO, 0

    def add_heat(self, report: SliceHeatReported) -> None:
        """Record the invocation rate of one operation."""
        interval = max(report.interval, TURN_INTERVAL)  # a rate-limited report spans several seconds
        rate, valid_until = report.invocations / interval, self.manager.now + STALE_CYCLES * interval
        self.latest_rates[report.operation] = rate, valid_until
        self.has_new_heat = True
