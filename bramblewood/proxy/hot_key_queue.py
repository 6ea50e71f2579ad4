"""Rate limit for a hot key's worker: how fast this proxy sends it idempotent requests, and in which order.

A worker rejects what it has no room for, non-idempotent requests too. Proxies don't know each other's
requests, so each finds its own rate: it reduces the rate when the worker states that more requests wait than
it has slots, or rejects one, and raises it again while it does neither (multiplicative decrease and
increase). Non-idempotent requests pass at once and count; the others take what is left, by priority, then in
order of arrival. No request waits that can't be sent in time. Pure; times in s.
"""

import math

# of its rate that a proxy keeps when a worker states that more requests wait than it has slots
OVERLOADED_RATE_FACTOR = 0.85
REJECTED_RATE_FACTOR = 0.7  # and when it rejects a request
RATE_EFFECT_DELAY = 0.2  # s before a lower rate can show: about a request's work
RATE_GAIN_PER_SECOND = 0.3  # of its rate that it gains each second
MIN_RATE = 0.2  # requests a second that are always sent: its worker states its load every five seconds
ARRIVAL_RATE_WINDOW = 1.0  # s over which the arrival rate is averaged
UNLIMITED_RATE_FACTOR = 2.0  # times the arrival rate from which a rate limits nothing: the limit is lifted

Priority = tuple[int, float]  # the route's priority, when the request came; the lower goes first


class HotKeyQueue:
    """One worker's rate limit at this proxy."""

    def __init__(self) -> None:
        self.rate = math.inf  # requests a second
        self.next_slot_at = self.reduced_at = self.raised_at = -1e9
        self.arrival_count, self.counted_at = 0.0, 0.0  # decays over ARRIVAL_RATE_WINDOW
        self.waiting: dict[str, Priority] = {}  # by request id

    @property
    def is_limiting(self) -> bool:
        """Whether a rate limit is in force."""
        return self.rate < math.inf

    def arrival_rate(self, now: float) -> float:
        """Requests a second that arrive for this worker."""
        decay = math.exp(-max(now - self.counted_at, 0.0) / ARRIVAL_RATE_WINDOW)
        return self.arrival_count * decay / ARRIVAL_RATE_WINDOW

    def record_arrival(self, now: float) -> None:
        """A request for a hot key of this worker arrived."""
        self.arrival_count, self.counted_at = self.arrival_rate(now) * ARRIVAL_RATE_WINDOW + 1.0, now

    def reduce_rate(self, now: float, factor: float) -> None:
        """The worker has more than it can do; factor: OVERLOADED_RATE_FACTOR or REJECTED_RATE_FACTOR."""
        if now < self.reduced_at + RATE_EFFECT_DELAY or self.arrival_rate(now) < MIN_RATE:
            return
        self.rate = max(factor * min(self.rate, self.arrival_rate(now)), MIN_RATE)
        self.reduced_at = self.raised_at = now

    def raise_rate(self, now: float) -> None:
        """The worker answered, and no more requests wait there than it has slots."""
        if not self.is_limiting:
            return
        self.rate *= 1 + RATE_GAIN_PER_SECOND * min(now - self.raised_at, 1.0)
        self.raised_at = now
        if self.rate > UNLIMITED_RATE_FACTOR * max(self.arrival_rate(now), MIN_RATE):
            self.rate = math.inf

    def turn_at(self, now: float, request_id: str, priority: Priority, latest: float) -> float | None:
        """When a request may be sent: `now`, or when to ask again; None where it can't be by `latest`."""
        if not self.is_limiting:
            self.waiting.pop(request_id, None)
            return now
        ahead = sum(other < priority for other in self.waiting.values())
        turn_at = max(self.next_slot_at, now) + ahead / self.rate
        if turn_at > latest:
            self.waiting.pop(request_id, None)
            return None
        if turn_at > now:
            self.waiting[request_id] = priority
            return min(turn_at, latest)
        self.waiting.pop(request_id, None)
        return now

    def remove(self, request_id: str) -> None:
        """A request waits here no more."""
        self.waiting.pop(request_id, None)

    def record_passage(self, now: float) -> None:
        """A request is sent to the worker."""
        if self.is_limiting:
            self.next_slot_at = max(self.next_slot_at, now) + 1 / self.rate
