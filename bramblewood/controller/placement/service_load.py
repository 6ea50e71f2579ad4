"""What proxies report of one service: its requests by slice, by range of keys and by hot key, and what they
observed at its workers. Pure.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping

from ... import interface as events
from ...common.slice_table import KEYS_PER_RANGE
from ...policy.figures import LONG_AGO
from ..hot_keys import HotKeys

# s between the reports of a proxy, and the policy's cycle: hot keys are spread in seconds
REPORT_CYCLE = 0.5
HEAT_DECAY = 0.8  # part of the recent heat that a cycle leaves: that of five reports, as the policy averages
MIN_HEAT = 0.05  # requests; less is forgotten
MIN_REPORTED_INTERVAL = REPORT_CYCLE / 4  # s that reports must span to be taken as a cycle
REPORTING_CYCLES, REPORTING_GRACE = 3, 1.0  # a proxy counts as reporting for so many cycles and so many s
ALL_OPERATIONS = "all"  # the policy's name for requests that are not told apart


def worker_report(
    instance_id: str,
    attempts: int,
    unanswered: int,
    mean_time: float,
    interval: float,
    load: list[int] | None,
) -> events.WorkerHeard:
    """What one proxy observed at a worker, as an event of the policy.

    Args:
        mean_time: s, of the answered attempts.
        interval: s that the counts span.
        load: what the worker last said itself: requests running, requests waiting, slots.
    """
    stated_load = {}
    if load:
        slots = max(load[2], 1)
        stated_load = {"busy": load[0] / slots, "queued": load[1] / slots}
    return events.WorkerHeard(instance_id, "", attempts, unanswered, mean_time, interval, stated_load)


class ServiceLoad:
    """The requests of one service as proxies report them."""

    def __init__(self, detects_hot_keys: bool) -> None:
        self.hot_keys = HotKeys()
        self._detects_hot_keys = detects_hot_keys
        # requests by first key of a range, or by watched key, fading
        self._recent_heat: dict[int, float] = defaultdict(float)
        self._range_counts: Counter[int] = Counter()  # since the last cycle
        self._key_counts: dict[int, dict[str, int]] = {}  # of watched ranges: by key and proxy, since then
        self._reported_seconds: dict[str, float] = {}  # by proxy, what its reports since then span
        self._reported_at: dict[str, float] = {}  # when each proxy last reported
        self._cycle_at = LONG_AGO

    def record_request_counts(
        self,
        now: float,
        proxy: str,
        range_counts: Mapping[str, int],
        key_counts: Mapping[str, int],
        interval: float,
    ) -> None:
        """Take in a proxy's counts over `interval` s: by range, and by key of the ranges that are watched."""
        self._reported_seconds[proxy] = self._reported_seconds.get(proxy, 0.0) + interval
        self._reported_at[proxy] = now
        for index, count in range_counts.items():
            self._recent_heat[int(index) * KEYS_PER_RANGE] += count
            self._range_counts[int(index)] += count
        for key, count in key_counts.items():
            self._recent_heat[int(key)] += count
            by_proxy = self._key_counts.setdefault(int(key), {})
            by_proxy[proxy] = by_proxy.get(proxy, 0) + count

    def end_cycle(
        self, now: float, starts: Collection[int], worker_throughput: Callable[[], float]
    ) -> list[events.SliceHeat]:
        """Once a cycle, the requests of every slice at all proxies, as events of the policy: that none came
        is told too. Empty between cycles, and while too little is reported.

        Args:
            starts: first keys of all slices.
            worker_throughput: gives the requests a second that one worker can do.
        """
        if now < self._cycle_at + REPORT_CYCLE or not starts:
            return []
        interval = self._reported_interval(now)
        if interval <= MIN_REPORTED_INTERVAL:
            return []
        counts = self._counts_by_slice(sorted(starts))
        if self._detects_hot_keys:
            self.hot_keys.record_cycle(self._range_counts, self._key_counts, interval, worker_throughput())
        self._range_counts, self._key_counts, self._reported_seconds = Counter(), {}, {}
        self._cycle_at = now
        return [
            events.SliceHeat(start, ALL_OPERATIONS, count, 0, interval) for start, count in counts.items()
        ]

    def _reported_interval(self, now: float) -> float:
        """s that the reports since the last cycle span, on average of the proxies that report: they come in
        bursts, none and then two.
        """
        oldest = REPORTING_CYCLES * REPORT_CYCLE + REPORTING_GRACE
        self._reported_at = {proxy: at for proxy, at in self._reported_at.items() if now - at < oldest}
        return sum(self._reported_seconds.values()) / max(len(self._reported_at), 1)

    def _counts_by_slice(self, starts: list[int]) -> dict[int, int]:
        counts = dict.fromkeys(starts, 0)
        for index, count in self._range_counts.items():
            counts[starts[bisect_right(starts, index * KEYS_PER_RANGE) - 1]] += count
        for key, by_proxy in self._key_counts.items():
            counts[starts[bisect_right(starts, key) - 1]] += sum(by_proxy.values())
        return counts

    def fade(self) -> None:
        """Once a cycle: let the recent heat decay."""
        for key in list(self._recent_heat):
            self._recent_heat[key] *= HEAT_DECAY
            if self._recent_heat[key] < MIN_HEAT:
                del self._recent_heat[key]

    def split_points(self, start: int, end: int, part_count: int) -> list[int]:
        """First keys of at most `part_count - 1` further parts of the slice [start, end), so that each has
        about the same of the recent heat.
        """
        heat_by_key = sorted((key, heat) for key, heat in self._recent_heat.items() if start <= key < end)
        total, passed = sum(heat for _, heat in heat_by_key), 0.0
        points: list[int] = []

        def part_is_full() -> bool:
            return len(points) < part_count - 1 and passed >= total * (len(points) + 1) / part_count

        for key, heat in heat_by_key:
            if key > start and part_is_full():
                points.append(key)
            passed += heat
            width = 1 if self.hot_keys.is_watched(key) else KEYS_PER_RANGE
            if heat > total / part_count and key + width < end and part_is_full():
                points.append(key + width)  # what is hotter than a part ends its part
        return points
