"""Rate limit for a hot key's worker: the rate and order in which this proxy sends it idempotent requests.

No I/O. Times are in seconds.

A full worker rejects any request, including non-idempotent ones. A proxy does not know the requests of other
proxies, so each proxy adapts its own rate. It reduces the rate when the worker rejects a request or reports
more waiting requests than slots. It raises the rate while the worker does neither. Both changes are
multiplicative. A non-idempotent request is sent immediately and consumes part of the rate. Idempotent
requests share the remaining rate, by priority and then in order of arrival. A request that cannot be sent in
time is not queued.
"""

import math

# factor applied to the rate when a worker reports more waiting requests than slots
OVERLOADED_RATE_FACTOR = 0.85
REJECTED_RATE_FACTOR = 0.7  # factor applied to the rate when a worker rejects a request
RATE_EFFECT_DELAY = 0.2  # s until a reduced rate has an effect: about a request's processing time
RATE_GAIN_PER_SECOND = 0.3  # fraction of the rate by which it grows each second
# requests per second; at this rate, a response with the worker's load still arrives every five seconds
MIN_RATE = 0.2
ARRIVAL_RATE_WINDOW = 1.0  # s over which the arrival rate is averaged
UNLIMITED_RATE_FACTOR = 2.0  # the limit is removed once the rate exceeds this many times the arrival rate

Priority = tuple[int, float]  # the route's priority and the time of arrival; the lowest is sent first


class HotKeyQueue:
    """The rate limit of one worker at this proxy, and the requests that wait for it.

    next_send_at: earliest time at which the next request may be sent. reduced_at: time of the last reduction
    of the rate. raised_at: time of the last change of the rate.
    """

    def __init__(self) -> None:
        self.rate = math.inf  # requests per second; infinite if there is no limit
        self.next_send_at = self.reduced_at = self.raised_at = -1e9
        self.arrival_count, self.counted_at = 0.0, 0.0  # a count that decays over ARRIVAL_RATE_WINDOW
        self.waiting: dict[str, Priority] = {}  # by request id

    @property
    def is_limiting(self) -> bool:
        """Whether a rate limit is in force."""
        return self.rate < math.inf

    def arrival_rate(self, now: float) -> float:
        """Return the average number of requests per second that arrive for the worker's hot keys."""
        decay = math.exp(-max(now - self.counted_at, 0.0) / ARRIVAL_RATE_WINDOW)
        return self.arrival_count * decay / ARRIVAL_RATE_WINDOW

    def record_arrival(self, now: float) -> None:
        """Record that a request for a hot key of this worker arrived."""
        self.arrival_count, self.counted_at = self.arrival_rate(now) * ARRIVAL_RATE_WINDOW + 1.0, now

    def reduce_rate(self, now: float, factor: float) -> None:
        """Reduce the rate because the worker is overloaded.

        factor: OVERLOADED_RATE_FACTOR or REJECTED_RATE_FACTOR. Nothing changes until the last reduction can
        have had an effect, or while fewer requests arrive than MIN_RATE.
        """
        if now < self.reduced_at + RATE_EFFECT_DELAY or self.arrival_rate(now) < MIN_RATE:
            return
        self.rate = max(factor * min(self.rate, self.arrival_rate(now)), MIN_RATE)
        self.reduced_at = self.raised_at = now

    def raise_rate(self, now: float) -> None:
        """Raise the rate, because the worker reports no more waiting requests than slots.

        A rate far above the arrival rate becomes infinite.
        """
        if not self.is_limiting:
            return
        self.rate *= 1 + RATE_GAIN_PER_SECOND * min(now - self.raised_at, 1.0)
        self.raised_at = now
        if self.rate > UNLIMITED_RATE_FACTOR * max(self.arrival_rate(now), MIN_RATE):
            self.rate = math.inf

    def send_time(self, now: float, request_id: str, priority: Priority, latest: float) -> float | None:
        """Return `now` if the request may be sent now, otherwise the time at which to call again.

        Returns None if the request cannot be sent by `latest`. While the result is a later time, the
        request is in the queue. It leaves the queue with any other result, or with `remove`.
        """
        if not self.is_limiting:
            self.waiting.pop(request_id, None)
            return now
        ahead = sum(other < priority for other in self.waiting.values())
        send_at = max(self.next_send_at, now) + ahead / self.rate
        if send_at > latest:
            self.waiting.pop(request_id, None)
            return None
        if send_at > now:
            self.waiting[request_id] = priority
            return min(send_at, latest)
        self.waiting.pop(request_id, None)
        return now

    def remove(self, request_id: str) -> None:
        """Remove a request from the queue, if it is waiting."""
        self.waiting.pop(request_id, None)

    def record_sent(self, now: float) -> None:
        """Record that a request is sent to the worker."""
        if self.is_limiting:
            self.next_send_at = max(self.next_send_at, now) + 1 / self.rate
