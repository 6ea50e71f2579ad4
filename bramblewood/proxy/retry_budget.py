"""The retry budget: the number of retries that this proxy may send, a share of the budget of all proxies.

No I/O. The budget of a service is a ratio of its requests in a sliding window, plus a constant that all
proxies share (`RetryRatio`, `RetryWindowS`, `RetrySlack` of the settings). Times are in seconds.
"""

# fraction of the budget that is spent; the rest is a margin, as the rules count requests in other windows
BUDGET_USE_FRACTION = 0.8
BUCKET_DURATION = 1.0  # s that one bucket covers


class _Bucket:
    """The counts of requests and retries in one second."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests = self.retries = 0


class RetryBudget:
    """Counts of requests and retries by service and second.

    proxy_count: number of proxies that share the slack.
    """

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        """Create the budget of one proxy.

        ratio: retries per request. window: length of the sliding window (s). slack: further retries per
        window, shared by all proxies.
        """
        self.ratio, self.window, self.slack, self.proxy_count = ratio, window, slack, 1
        self.buckets: dict[str, dict[int, _Bucket]] = {}

    def _current_bucket(self, service: str, now: float) -> _Bucket:
        buckets = self.buckets.setdefault(service, {})
        number = int(now / BUCKET_DURATION)
        if number not in buckets:
            for expired in [n for n in buckets if n < number - self.window / BUCKET_DURATION]:
                del buckets[expired]
            buckets[number] = _Bucket()
        return buckets[number]

    def record_request(self, service: str, now: float) -> None:
        """Count a client request to a service."""
        self._current_bucket(service, now).requests += 1

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry if the budget of the window allows it. Returns whether it does."""
        current = self._current_bucket(service, now)
        buckets = self.buckets[service].values()
        requests = sum(bucket.requests for bucket in buckets)
        retries = sum(bucket.retries for bucket in buckets)
        budget = self.ratio * requests + self.slack / max(self.proxy_count, 1)
        if retries + 1 > BUDGET_USE_FRACTION * budget:
            return False
        current.retries += 1
        return True
