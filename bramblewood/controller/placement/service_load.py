"""The load of one service as proxies report it: its requests by key range and by key, and what the proxies
observe at its workers. The module does no I/O and reads no clock.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping

from ... import events
from ...common.slice_table import KEYS_PER_RANGE
from ...policy.parameters import LONG_AGO
from ..hot_keys import HotKeys

# s between two reports of a proxy, and between two cycles of the policy; short, so that the load of a hot key
# is spread within seconds
REPORT_CYCLE = 0.5
# factor applied to recent counts each cycle; they thus span about five reports, as the policy's averages do
RECENT_COUNT_DECAY = 0.8
MIN_RECENT_COUNT = 0.05  # requests; smaller counts are dropped
MIN_REPORTED_INTERVAL = REPORT_CYCLE / 4  # s; a cycle ends only once its reports span more than this
# a proxy counts as reporting until this many cycles, and this many s, have passed since its last report
REPORTING_CYCLES, REPORTING_GRACE = 3, 1.0
ALL_OPERATIONS = "all"  # the policy's name for requests that are not distinguished by operation


def worker_report(
    instance_id: str,
    attempts: int,
    unanswered: int,
    mean_time: float,
    interval: float,
    load: list[int] | None,
) -> events.WorkerReported:
    """Return what one proxy observed at a worker, as an event of the policy.

    Args:
        mean_time: s, the mean response time of the answered attempts.
        interval: s that the counts span.
        load: the worker's own latest figures: running requests, queued requests, slots. None if there are
            none.
    """
    load_fields = {}
    if load:
        slots = max(load[2], 1)
        load_fields = {"utilization": load[0] / slots, "queued": load[1] / slots}
    return events.WorkerReported(instance_id, "", attempts, unanswered, mean_time, interval, load_fields)


class ServiceLoad:
    """The requests of one service as proxies report them."""

    def __init__(self, detects_hot_keys: bool) -> None:
        self.hot_keys = HotKeys()
        self._detects_hot_keys = detects_hot_keys
        # exponentially decayed requests, by watched key, or by first key of a range that is not watched
        self._recent_counts: dict[int, float] = defaultdict(float)
        self._range_counts: Counter[int] = Counter()  # since the last cycle, by index of the key range
        self._key_counts: dict[int, dict[str, int]] = {}  # since the last cycle, by watched key and proxy
        self._reported_seconds: dict[str, float] = {}  # s that reports since the last cycle span, by proxy
        self._last_report_at: dict[str, float] = {}  # by proxy
        self._last_cycle_at = LONG_AGO

    def record_request_counts(
        self,
        now: float,
        proxy: str,
        range_counts: Mapping[str, int],
        key_counts: Mapping[str, int],
        interval: float,
    ) -> None:
        """Record the requests that a proxy counted over `interval` s.

        Args:
            range_counts: requests by index of the key range.
            key_counts: requests by key, for watched ranges.
        """
        self._reported_seconds[proxy] = self._reported_seconds.get(proxy, 0.0) + interval
        self._last_report_at[proxy] = now
        for index, count in range_counts.items():
            self._recent_counts[int(index) * KEYS_PER_RANGE] += count
            self._range_counts[int(index)] += count
        for key, count in key_counts.items():
            self._recent_counts[int(key)] += count
            counts_by_proxy = self._key_counts.setdefault(int(key), {})
            counts_by_proxy[proxy] = counts_by_proxy.get(proxy, 0) + count

    def end_cycle(
        self, now: float, starts: Collection[int], worker_throughput: Callable[[], float]
    ) -> list[events.SliceHeatReported]:
        """End the cycle if it is due, and return the requests for every slice at all proxies as events.

        A slice without requests gets an event with a count of 0. The list is empty between two cycles, and
        while the reports span too little time.

        Args:
            starts: first keys of all slices.
            worker_throughput: returns the requests per second that one worker can serve.
        """
        if now < self._last_cycle_at + REPORT_CYCLE or not starts:
            return []
        interval = self._reported_interval(now)
        if interval <= MIN_REPORTED_INTERVAL:
            return []
        counts = self._counts_by_slice(sorted(starts))
        if self._detects_hot_keys:
            self.hot_keys.record_cycle(self._range_counts, self._key_counts, interval, worker_throughput())
        self._range_counts, self._key_counts, self._reported_seconds = Counter(), {}, {}
        self._last_cycle_at = now
        return [
            events.SliceHeatReported(start, ALL_OPERATIONS, count, 0, interval)
            for start, count in counts.items()
        ]

    def _reported_interval(self, now: float) -> float:
        """Return the s that the reports since the last cycle span, averaged over the reporting proxies.

        Reports arrive unevenly: a cycle may contain no report of a proxy, and the next cycle two.
        """
        max_age = REPORTING_CYCLES * REPORT_CYCLE + REPORTING_GRACE
        self._last_report_at = {proxy: at for proxy, at in self._last_report_at.items() if now - at < max_age}
        return sum(self._reported_seconds.values()) / max(len(self._last_report_at), 1)

    def _counts_by_slice(self, starts: list[int]) -> dict[int, int]:
        """Return the requests since the last cycle by first key of the slice; `starts` is ascending."""
        counts = dict.fromkeys(starts, 0)
        for index, count in self._range_counts.items():
            counts[starts[bisect_right(starts, index * KEYS_PER_RANGE) - 1]] += count
        for key, counts_by_proxy in self._key_counts.items():
            counts[starts[bisect_right(starts, key) - 1]] += sum(counts_by_proxy.values())
        return counts

    def decay_recent_counts(self) -> None:
        """Reduce all recent counts by one cycle's decay; called once per cycle."""
        for key in list(self._recent_counts):
            self._recent_counts[key] *= RECENT_COUNT_DECAY
            if self._recent_counts[key] < MIN_RECENT_COUNT:
                del self._recent_counts[key]

    def split_points(self, start: int, end: int, part_count: int) -> list[int]:
        """Return the keys at which to split the slice [start, end) into at most `part_count` parts.

        The keys are the first keys of all parts but the first one. The parts have about the same number of
        recent requests.
        """
        counts_by_key = sorted(
            (key, count) for key, count in self._recent_counts.items() if start <= key < end
        )
        total, count_so_far = sum(count for _, count in counts_by_key), 0.0
        points: list[int] = []

        def part_is_full() -> bool:
            return len(points) < part_count - 1 and count_so_far >= total * (len(points) + 1) / part_count

        for key, count in counts_by_key:
            if key > start and part_is_full():
                points.append(key)
            count_so_far += count
            width = 1 if self.hot_keys.is_watched(key) else KEYS_PER_RANGE
            if count > total / part_count and key + width < end and part_is_full():
                # a key or range with more requests than an average part ends its part
                points.append(key + width)
        return points
