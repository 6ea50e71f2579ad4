"""Counts of requests by key range, and by key where a controller asks for it; the hot keys. Pure."""

from ..common.slice_table import KEYS_PER_RANGE

Counts = dict[str, dict[int, int]]  # by service and by range or key


class RequestCounts:
    """Requests since the last report.

    watched_ranges: by service, ranges of KEYS_PER_RANGE keys that are counted key by key. hot_keys: by
    service, keys that are asked for more than a worker can do.
    """

    def __init__(self) -> None:
        self.by_range: Counts = {}
        self.by_key: Counts = {}  # of watched ranges
        self.watched_ranges: dict[str, set[int]] = {}
        self.hot_keys: dict[str, set[int]] = {}

    def apply_hot_keys(self, by_service: dict[str, list]) -> None:
        """Take in what the coordinator states: by service, the ranges to watch and the hot keys."""
        self.watched_ranges = {service: set(ranges) for service, (ranges, _) in by_service.items()}
        self.hot_keys = {service: set(keys) for service, (_, keys) in by_service.items()}

    def is_hot(self, service: str, key: int | None) -> bool:
        """Whether a key is hot."""
        return key in self.hot_keys.get(service, ())

    def record_request(self, service: str, key: int) -> None:
        """Count a request."""
        key_range = key // KEYS_PER_RANGE
        if key_range in self.watched_ranges.get(service, ()):
            by_key = self.by_key.setdefault(service, {})
            by_key[key] = by_key.get(key, 0) + 1
            return
        by_range = self.by_range.setdefault(service, {})
        by_range[key_range] = by_range.get(key_range, 0) + 1

    def take(self) -> tuple[Counts, Counts]:
        """The counts by range and by key; they begin anew."""
        counts = self.by_range, self.by_key
        self.by_range, self.by_key = {}, {}
        return counts
