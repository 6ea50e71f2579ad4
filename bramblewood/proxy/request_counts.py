"""Counts of requests by key range, and by single key where the coordinator requests it. No I/O."""

from ..common.slice_table import KEYS_PER_RANGE

Counts = dict[str, dict[int, int]]  # number of requests, by service and then by range or key


class RequestCounts:
    """Counts of requests since the last load report.

    watched_ranges: by service, the numbers of the ranges of KEYS_PER_RANGE keys in which each key is counted.
    hot_keys: by service, the keys that get more requests than one worker can process.
    """

    def __init__(self) -> None:
        self.by_range: Counts = {}
        self.by_key: Counts = {}  # only keys in watched ranges
        self.watched_ranges: dict[str, set[int]] = {}
        self.hot_keys: dict[str, set[int]] = {}

    def apply_hot_keys(self, by_service: dict[str, list]) -> None:
        """Replace the watched ranges and the hot keys by those of the coordinator (two lists per service)."""
        self.watched_ranges = {service: set(ranges) for service, (ranges, _) in by_service.items()}
        self.hot_keys = {service: set(keys) for service, (_, keys) in by_service.items()}

    def is_hot(self, service: str, key: int | None) -> bool:
        """Whether a key is hot according to the newest list of the coordinator."""
        return key in self.hot_keys.get(service, ())

    def record_request(self, service: str, key: int) -> None:
        """Count a request for a key."""
        key_range = key // KEYS_PER_RANGE
        if key_range in self.watched_ranges.get(service, ()):
            by_key = self.by_key.setdefault(service, {})
            by_key[key] = by_key.get(key, 0) + 1
            return
        by_range = self.by_range.setdefault(service, {})
        by_range[key_range] = by_range.get(key_range, 0) + 1

    def take(self) -> tuple[Counts, Counts]:
        """Return the counts by range and by key, and reset them."""
        counts = self.by_range, self.by_key
        self.by_range, self.by_key = {}, {}
        return counts
