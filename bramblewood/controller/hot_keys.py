"""Crowded records: which single keys are asked for more than a worker can do. Pure; one service's, at the
scribe.

Desks count heat by ranges of FINE keys. Where a range has half of what one worker can do, over three
reports, it is watched: desks then count its keys one by one, exactly. So a desk's count is bounded by what
it carried since its last report, nothing more is told without a crush, and the error of a watched key is
what came before the desks had heard of the watch. A key is crowded once it has what the design lets a
worker be asked for, over three reports, and is let go once it had less than half of that for ten.

A desk that lies or repeats itself crowds nothing: of a key's count no desk's part is taken as more than all
others' together, where there are others.
"""

from collections import Counter, deque
from typing import NamedTuple

from ..common.slice_table import KEYS_PER_RANGE
from ..policy.figures import HELD, LIMIT, REPORTS

WATCH_RATE_SHARE = 0.5  # of what one worker can be asked for, at which a range is looked at key by key
MAX_WATCHED_RANGES = 8  # ranges watched at once: a desk then counts 64 keys more at the most
RELEASE_RATE_SHARE = 0.5  # of what makes a range watched or a key crowded, below which it is let go
RELEASE_REPORTS = 2 * REPORTS  # reports below that


class HotKeyNotice(NamedTuple):
    """What the desks are to know: ranges to count by key, keys that are crowded."""

    watched_ranges: tuple[int, ...]
    keys: tuple[int, ...]


class SustainedRates:
    """What has had enough in each of three reports, until it had less than half for ten."""

    def __init__(self) -> None:
        self.reports: deque[Counter] = deque(maxlen=HELD)
        self.since: dict[int, int] = {}  # reports since it had half of enough

    def cycle(self, rates: Counter, enough: float) -> None:
        self.reports.append(rates)
        if len(self.reports) == HELD and enough > 0:
            for what in rates:
                if all(report[what] >= enough for report in self.reports):
                    self.since[what] = 0
        for what in list(self.since):
            self.since[what] = 0 if rates[what] >= RELEASE_RATE_SHARE * enough else self.since[what] + 1
            if self.since[what] > RELEASE_REPORTS:
                del self.since[what]


class HotKeys:
    def __init__(self) -> None:
        self.ranges, self.keys = SustainedRates(), SustainedRates()

    def notice(self) -> HotKeyNotice:
        return HotKeyNotice(tuple(sorted(self.ranges.since)), tuple(sorted(self.keys.since)))

    def record_cycle(
        self, came: Counter, by_key: dict[int, dict[str, int]], over: float, limit: float
    ) -> None:
        """One report over so many seconds: what came by ranges, and of watched ones by key and desk.

        limit: requests a second that one worker can be asked for.
        """
        rates = Counter({fine: count / over for fine, count in came.items()})
        keys = Counter({key: plausible_count(proxies) / over for key, proxies in by_key.items()})
        for key, rate in keys.items():
            rates[key // KEYS_PER_RANGE] += rate
        self.ranges.cycle(rates, WATCH_RATE_SHARE * limit)
        for fine in sorted(self.ranges.since, key=lambda fine: -rates[fine])[MAX_WATCHED_RANGES:]:
            del self.ranges.since[fine]
        self.keys.cycle(keys, LIMIT * limit)


def plausible_count(proxies: dict[str, int]) -> int:
    """What came of a key: no desk's part is more than that of all others, where there are others."""
    most, total = max(proxies.values()), sum(proxies.values())
    return total if len(proxies) == 1 else min(total, 2 * (total - most))
