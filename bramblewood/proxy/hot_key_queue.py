"""The gate before the worker of a crowded record: how fast this desk sends lookups to it, and whose turn it
is.

Such a worker turns away what it has no room for, payments too. Desks don't know each other's requests, so
each finds its own pace: it slows down when the worker says that more wait than it has slots, or turns
something away, and gains again while it does not. Effects pass at once and count; lookups take what is
left, by rank, then as they came; the queue is as long as what leaves it in time. Pure; times in s.
"""

import math

OVERLOADED_RATE_FACTOR = (
    0.85  # of its pace that a desk keeps when a worker says that more wait than it has slots
)
REJECTED_RATE_FACTOR = 0.7  # and when it turns a request away
RATE_EFFECT_DELAY = 0.2  # s before a slower pace can show: about a request's work
RATE_GAIN_PER_SECOND = 0.3  # of its pace that it gains each second
MIN_RATE = 0.2  # requests a second that are always let through: some news of the worker each five seconds
ARRIVAL_RATE_WINDOW = 1.0  # s over which the flow is counted
UNLIMITED_RATE_FACTOR = 2.0  # times the flow at which a pace bounds nothing any more: the gate opens


class HotKeyQueue:
    def __init__(self) -> None:
        self.rate = math.inf  # requests a second
        self.next_slot_at = self.reduced_at = self.raised_at = -1e9
        self.arrival_count, self.counted_at = 0.0, 0.0  # requests that came, fading over FLOW
        self.waiting: dict[str, tuple[int, float]] = {}  # by request: rank, since when

    @property
    def is_limiting(self) -> bool:
        return self.rate < math.inf

    def arrival_rate(self, now: float) -> float:
        """Requests a second that come for this worker."""
        return (
            self.arrival_count
            * math.exp(-max(now - self.counted_at, 0.0) / ARRIVAL_RATE_WINDOW)
            / ARRIVAL_RATE_WINDOW
        )

    def record_arrival(self, now: float) -> None:
        self.arrival_count, self.counted_at = self.arrival_rate(now) * ARRIVAL_RATE_WINDOW + 1.0, now

    def reduce_rate(self, now: float, factor: float) -> None:
        """The worker has more than it can do: PRESSED or TURNED."""
        if now < self.reduced_at + RATE_EFFECT_DELAY or self.arrival_rate(now) < MIN_RATE:
            return
        self.rate = max(factor * min(self.rate, self.arrival_rate(now)), MIN_RATE)
        self.reduced_at = self.raised_at = now

    def raise_rate(self, now: float) -> None:
        """It answered, and fewer wait than it works on."""
        if not self.is_limiting:
            return
        self.rate *= 1 + RATE_GAIN_PER_SECOND * min(now - self.raised_at, 1.0)
        self.raised_at = now
        if self.rate > UNLIMITED_RATE_FACTOR * max(self.arrival_rate(now), MIN_RATE):
            self.rate = math.inf

    def turn_at(self, now: float, request: str, priority: tuple[int, float], latest: float) -> float | None:
        """When to look again: now where it is this request's turn, None where it can't be by `until`.

        mine: its rank, since when it waits.
        """
        if not self.is_limiting:
            self.waiting.pop(request, None)
            return now
        ahead = sum(other < priority for other in self.waiting.values())
        at = max(self.next_slot_at, now) + ahead / self.rate
        if at > latest:
            self.waiting.pop(request, None)
            return None
        if at > now:
            self.waiting[request] = priority
            return min(at, latest)
        self.waiting.pop(request, None)
        return now

    def remove(self, request: str) -> None:
        """It waits here no more."""
        self.waiting.pop(request, None)

    def record_passage(self, now: float) -> None:
        if self.is_limiting:
            self.next_slot_at = max(self.next_slot_at, now) + 1 / self.rate
