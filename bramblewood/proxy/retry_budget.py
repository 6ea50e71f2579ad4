"""The retry budget: how many retries this proxy may send, as its share of a budget for all proxies. Pure.

The budget of a service is a ratio of its requests in a sliding window, plus a constant that all proxies share
(`RetryRatio`, `RetryWindowS`, `RetrySlack` of the settings).
"""

BUDGET_USE_FRACTION = 0.8  # of the budget that is used: the rules count arrivals in other windows than these
BUCKET_DURATION = 1.0  # s


class _Bucket:
    """Counts of one second."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests = self.retries = 0


class RetryBudget:
    """Counts of requests and retries by service, in buckets of a second."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        """ratio: retries a request. window: s. slack: retries in a window that all proxies share."""
        self.ratio, self.window, self.slack, self.proxies = ratio, window, slack, 1
        self.buckets: dict[str, dict[int, _Bucket]] = {}

    def _current_bucket(self, service: str, now: float) -> _Bucket:
        buckets = self.buckets.setdefault(service, {})
        number = int(now / BUCKET_DURATION)
        if number not in buckets:
            for old in [n for n in buckets if n < number - self.window / BUCKET_DURATION]:
                del buckets[old]
            buckets[number] = _Bucket()
        return buckets[number]

    def record_request(self, service: str, now: float) -> None:
        """A client's request to a service arrived."""
        self._current_bucket(service, now).requests += 1

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry, if there is one left in the window; false where there is none."""
        current = self._current_bucket(service, now)
        buckets = self.buckets[service].values()
        requests = sum(bucket.requests for bucket in buckets)
        retries = sum(bucket.retries for bucket in buckets)
        budget = self.ratio * requests + self.slack / max(self.proxies, 1)
        if retries + 1 > BUDGET_USE_FRACTION * budget:
            return False
        current.retries += 1
        return True
