"""Detection of hot keys: single keys that are asked for more than one worker can do. Pure.

One `HotKeys` a service, at the coordinator. Proxies count requests by ranges of `KEYS_PER_RANGE` keys. A
range that gets half of what one worker can do, in three reports in a row, is watched: proxies then count its
keys one by one, exactly. So a proxy's counters are bounded by what it carried since its last report, nothing
is counted by key while no range is busy, and the error of a watched key is what came before the proxies had
heard of the watch. A key is hot once it gets `CAPACITY_LIMIT` of what one worker can do, in three reports in
a row, and no longer once it got less than half of that in more than ten.

A proxy that reports too much makes no key hot: of a key's requests none may have more than all others
together, where several proxies report it.
"""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from ..common.slice_table import KEYS_PER_RANGE
from ..policy.parameters import CAPACITY_LIMIT, REPORTS_AVERAGED, REPORTS_HELD

WATCH_RATE_FRACTION = 0.5  # of one worker's throughput, at which a range is counted key by key
MAX_WATCHED_RANGES = 8  # at once: a proxy then has 64 more counters at the most
RELEASE_RATE_FRACTION = 0.5  # of the threshold, below which a range or key is on its way to being released
RELEASE_REPORTS = 2 * REPORTS_AVERAGED  # reports below that, after which it is released


class HotKeyStatus(NamedTuple):
    """What proxies are told of a service: ranges to count key by key, and keys that are hot.

    Travels as a list of two lists; a range is named by its first key over `KEYS_PER_RANGE`.
    """

    watched_ranges: tuple[int, ...]
    hot_keys: tuple[int, ...]


class SustainedRates:
    """Ranges or keys whose rate reached a threshold in each of `REPORTS_HELD` reports, until it has been
    under `RELEASE_RATE_FRACTION` of it for more than `RELEASE_REPORTS`.
    """

    def __init__(self) -> None:
        self._recent_rates: deque[Counter] = deque(maxlen=REPORTS_HELD)
        self._reports_below: dict[int, int] = {}  # in a row, by sustained range or key

    def __contains__(self, name: int) -> bool:
        return name in self._reports_below

    def sustained(self) -> list[int]:
        """The ranges or keys themselves."""
        return list(self._reports_below)

    def latest_rate(self, name: int) -> float:
        """Requests a second in the newest report."""
        return self._recent_rates[-1][name]

    def record_rates(self, rates: Counter, threshold: float) -> None:
        """One report: requests a second by range or key, and the rate that counts as reached."""
        self._recent_rates.append(rates)
        if len(self._recent_rates) == REPORTS_HELD and threshold > 0:
            for name in rates:
                if all(report[name] >= threshold for report in self._recent_rates):
                    self._reports_below[name] = 0
        for name in self.sustained():
            is_below = rates[name] < RELEASE_RATE_FRACTION * threshold
            self._reports_below[name] = self._reports_below[name] + 1 if is_below else 0
            if self._reports_below[name] > RELEASE_REPORTS:
                self.release(name)

    def release(self, name: int) -> None:
        """Drop a range or key; it comes back once it has reached the threshold anew."""
        del self._reports_below[name]


class HotKeys:
    """The watched ranges and hot keys of one service."""

    def __init__(self) -> None:
        self._watched_ranges = SustainedRates()
        self._hot_keys = SustainedRates()

    def status(self) -> HotKeyStatus:
        """What proxies are to know."""
        return HotKeyStatus(
            tuple(sorted(self._watched_ranges.sustained())), tuple(sorted(self._hot_keys.sustained()))
        )

    def is_watched(self, key: int) -> bool:
        """Whether the range of this key is counted key by key."""
        return key // KEYS_PER_RANGE in self._watched_ranges

    def is_hot(self, key: int) -> bool:
        """Whether this key is asked for more than one worker can do."""
        return key in self._hot_keys

    def latest_rate(self, key: int) -> float:
        """Requests a second for this key in the newest report."""
        return self._hot_keys.latest_rate(key)

    def record_cycle(
        self,
        range_counts: Mapping[int, int],
        key_counts: Mapping[int, Mapping[str, int]],
        interval: float,
        worker_throughput: float,
    ) -> None:
        """Take in what came at all proxies in one cycle.

        Args:
            range_counts: requests by range, of ranges that were not watched.
            key_counts: requests by key and proxy, of watched ranges.
            interval: s that the counts span.
            worker_throughput: requests a second that one worker can do.
        """
        range_rates = Counter({index: count / interval for index, count in range_counts.items()})
        key_rates = Counter(
            {key: plausible_count(by_proxy) / interval for key, by_proxy in key_counts.items()}
        )
        for key, rate in key_rates.items():
            range_rates[key // KEYS_PER_RANGE] += rate
        self._watched_ranges.record_rates(range_rates, WATCH_RATE_FRACTION * worker_throughput)
        self._release_coolest_ranges(range_rates)
        self._hot_keys.record_rates(key_rates, CAPACITY_LIMIT * worker_throughput)

    def _release_coolest_ranges(self, range_rates: Counter) -> None:
        hottest_first = sorted(self._watched_ranges.sustained(), key=lambda index: -range_rates[index])
        for index in hottest_first[MAX_WATCHED_RANGES:]:
            self._watched_ranges.release(index)


def plausible_count(by_proxy: Mapping[str, int]) -> int:
    """Requests for a key, none of the proxies' counts taken as more than all others' together."""
    largest, total = max(by_proxy.values()), sum(by_proxy.values())
    return total if len(by_proxy) == 1 else min(total, 2 * (total - largest))
