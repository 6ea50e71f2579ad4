"""Detects hot keys, which are single keys with more requests than one worker can serve.

The coordinator keeps one `HotKeys` per service. Proxies count requests by ranges of `KEYS_PER_RANGE` keys. A
range is watched once its rate reaches half of one worker's throughput in three reports in a row. Proxies
count the requests of a watched range by single key. A key is hot once its rate reaches `CAPACITY_LIMIT` of
one worker's throughput in three reports in a row. It stays hot until its rate has been below half of that
threshold in more than ten reports in a row.

Counts by key are exact, but they leave out the requests that arrive before the proxies have received the
watched range. No key is counted while no range is watched. A proxy has at most as many counters as it has
handled requests since its last report.

If several proxies report a key, no proxy's count is taken as larger than the counts of all other proxies
together. A single proxy that reports too many requests therefore cannot make the key hot.

The module does no I/O and reads no clock.
"""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from ..common.slice_table import KEYS_PER_RANGE
from ..policy.parameters import CAPACITY_LIMIT, REPORTS_AVERAGED, REPORTS_NEEDED

WATCH_RATE_FRACTION = 0.5  # fraction of one worker's throughput at which a range is watched
MAX_WATCHED_RANGES = 8  # at once, which adds at most 64 counters at a proxy
REMOVAL_RATE_FRACTION = 0.5  # fraction of the threshold; a report of a lower rate counts towards removal
REMOVAL_REPORTS = 2 * REPORTS_AVERAGED  # a range or key is removed after more low reports than this in a row


class HotKeyStatus(NamedTuple):
    """The ranges that proxies are to count by key, and the hot keys of a service.

    It is sent as a list of two lists. A range is identified by its index, which is its first key divided by
    `KEYS_PER_RANGE`.
    """

    watched_ranges: tuple[int, ...]
    hot_keys: tuple[int, ...]


class SustainedRates:
    """Finds the items whose rate is sustained. An item is a range or a key.

    An item is added once its rate has reached the threshold in each of `REPORTS_NEEDED` reports. It is
    removed once its rate has been below `REMOVAL_RATE_FRACTION` of the threshold in more than
    `REMOVAL_REPORTS` reports in a row.
    """

    def __init__(self) -> None:
        self._recent_rates: deque[Counter] = deque(maxlen=REPORTS_NEEDED)
        self._low_reports: dict[int, int] = {}  # by sustained item: the latest low reports in a row

    def __contains__(self, item: int) -> bool:
        return item in self._low_reports

    def sustained(self) -> list[int]:
        """Return the sustained items."""
        return list(self._low_reports)

    def latest_rate(self, item: int) -> float:
        """Return the item's requests per second in the newest report."""
        return self._recent_rates[-1][item]

    def record_rates(self, rates: Counter, threshold: float) -> None:
        """Record one report.

        Args:
            rates: requests per second, by item.
            threshold: requests per second from which on an item is added. No item is added while it is 0.
        """
        self._recent_rates.append(rates)
        if len(self._recent_rates) == REPORTS_NEEDED and threshold > 0:
            for item in rates:
                if all(report[item] >= threshold for report in self._recent_rates):
                    self._low_reports[item] = 0
        for item in self.sustained():
            is_low = rates[item] < REMOVAL_RATE_FRACTION * threshold
            self._low_reports[item] = self._low_reports[item] + 1 if is_low else 0
            if self._low_reports[item] > REMOVAL_REPORTS:
                self.remove(item)

    def remove(self, item: int) -> None:
        """Remove an item. It is added again once its rate has reached the threshold in enough reports."""
        del self._low_reports[item]


class HotKeys:
    """The watched ranges and the hot keys of one service."""

    def __init__(self) -> None:
        self._watched_ranges = SustainedRates()
        self._hot_keys = SustainedRates()

    def status(self) -> HotKeyStatus:
        """Return the watched ranges and the hot keys, both sorted."""
        return HotKeyStatus(
            tuple(sorted(self._watched_ranges.sustained())), tuple(sorted(self._hot_keys.sustained()))
        )

    def is_watched(self, key: int) -> bool:
        """Whether proxies count the requests of this key's range by single key."""
        return key // KEYS_PER_RANGE in self._watched_ranges

    def is_hot(self, key: int) -> bool:
        """Whether this key has more requests than one worker can serve."""
        return key in self._hot_keys

    def latest_rate(self, key: int) -> float:
        """Return the requests per second for this key in the newest report."""
        return self._hot_keys.latest_rate(key)

    def record_cycle(
        self,
        range_counts: Mapping[int, int],
        key_counts: Mapping[int, Mapping[str, int]],
        interval: float,
        worker_throughput: float,
    ) -> None:
        """Record the requests at all proxies in one cycle.

        Args:
            range_counts: requests by index of the key range, for ranges that were not watched.
            key_counts: requests by key and proxy, for watched ranges.
            interval: s that the counts span.
            worker_throughput: requests per second that one worker can serve.
        """
        range_rates = Counter({index: count / interval for index, count in range_counts.items()})
        key_rates = Counter(
            {key: plausible_count(counts_by_proxy) / interval for key, counts_by_proxy in key_counts.items()}
        )
        for key, rate in key_rates.items():
            range_rates[key // KEYS_PER_RANGE] += rate
        self._watched_ranges.record_rates(range_rates, WATCH_RATE_FRACTION * worker_throughput)
        self._limit_watched_ranges(range_rates)
        self._hot_keys.record_rates(key_rates, CAPACITY_LIMIT * worker_throughput)

    def _limit_watched_ranges(self, range_rates: Counter) -> None:
        """Stop watching all but the `MAX_WATCHED_RANGES` ranges with the highest rates."""
        highest_first = sorted(self._watched_ranges.sustained(), key=lambda index: -range_rates[index])
        for index in highest_first[MAX_WATCHED_RANGES:]:
            self._watched_ranges.remove(index)


def plausible_count(counts_by_proxy: Mapping[str, int]) -> int:
    """Return the requests for a key, with no proxy's count larger than all other counts together.

    If only one proxy reports the key, its count is returned unchanged.
    """
    largest, total = max(counts_by_proxy.values()), sum(counts_by_proxy.values())
    return total if len(counts_by_proxy) == 1 else min(total, 2 * (total - largest))
