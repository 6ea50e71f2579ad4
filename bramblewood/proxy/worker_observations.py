"""This proxy's observations of workers: requests in flight, reported load, failures and backoff.

No I/O. Times are seconds of the loop's clock.
"""

from collections.abc import Container

from .hot_key_queue import OVERLOADED_RATE_FACTOR, REJECTED_RATE_FACTOR, HotKeyQueue

# s without requests to a worker after a failed connection or a time-out: each failure doubles the minimum, up
# to the maximum
MIN_BACKOFF, MAX_BACKOFF = 0.5, 4.0
LOAD_VALIDITY = 1.0  # s for which a reported load is used; reported loads are usually about this old
# s for which a reported full queue is assumed to last: about a request's processing time
FULL_QUEUE_VALIDITY = 0.15
# s for which a worker is assumed to be full after it rejects a request or connection
REJECTION_VALIDITY = 0.1
MAX_REPORTED_LOAD = 10**6  # limit for each reported number; a load with a larger number is ignored as invalid
NO_LOAD = (0, 0, 0)


class WorkerObservation:
    """This proxy's observation of one worker.

    The counts `attempts`, `failures` and `server_errors` and the total `response_time` (s) cover the time
    since the last load report.
    """

    __slots__ = (
        "in_flight",
        "non_idempotent_in_flight",
        "in_flight_since",
        "load",
        "load_at",
        "backoff_until",
        "backoff",
        "full_until",
        "hot_key_queue",
        "attempts",
        "failures",
        "server_errors",
        "response_time",
        "has_new_load",
        "answered_at",
    )

    def __init__(self) -> None:
        self.in_flight = self.non_idempotent_in_flight = 0
        self.in_flight_since = 0.0  # when the in-flight count last rose from 0
        self.load, self.load_at = NO_LOAD, -1e9  # reported by the worker: running, waiting, slots
        self.backoff_until, self.backoff, self.full_until = 0.0, MIN_BACKOFF, 0.0
        self.hot_key_queue = HotKeyQueue()
        self.attempts = self.failures = self.server_errors = 0
        self.response_time, self.has_new_load = 0.0, False
        self.answered_at = -1e9  # time of the last response, whatever its status

    def request_started(self, now: float, non_idempotent: bool) -> None:
        """Record that a request is sent to the worker."""
        self.in_flight_since = self.in_flight_since if self.in_flight else now
        self.in_flight += 1
        self.non_idempotent_in_flight += non_idempotent

    def request_ended(self, non_idempotent: bool) -> None:
        """Record that a request to the worker has ended, whatever its outcome."""
        self.in_flight -= 1
        self.non_idempotent_in_flight -= non_idempotent

    def requests_present(self, now: float) -> int:
        """Return the estimated number of requests at the worker, running and waiting."""
        running, waiting, _ = self.load if now - self.load_at <= LOAD_VALIDITY else NO_LOAD
        return max(running + waiting, self.in_flight)

    def is_full(self, now: float, capacity: int) -> bool:
        """Whether the worker is likely to reject a request, by its reported load or by a recent rejection.

        capacity: number of requests, running and waiting, at which the worker counts as full.
        """
        if now < self.full_until:
            return True
        running, waiting, _ = self.load if now - self.load_at <= FULL_QUEUE_VALIDITY else NO_LOAD
        return running + waiting >= capacity

    def record_load(self, now: float, header: str) -> None:
        """Record the value of an `X-Server-Load` field: `running,waiting,slots`.

        A value in any other form is ignored.
        """
        parts = header.split(",")
        if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
            return
        load = tuple(map(int, parts))
        if max(load) > MAX_REPORTED_LOAD:
            return
        self.load, self.load_at, self.has_new_load = load, now, True
        _, waiting, slots = self.load
        if waiting > slots:
            self.hot_key_queue.reduce_rate(now, OVERLOADED_RATE_FACTOR)
        else:
            self.hot_key_queue.raise_rate(now)

    def record_response(self, response_time: float) -> None:
        """Record a response, which ends the backoff. response_time: s."""
        self.attempts += 1
        self.response_time += response_time
        self.backoff, self.backoff_until = MIN_BACKOFF, 0.0

    def record_server_error(self) -> None:
        """Record a server error: the worker ran the request and failed to serve it."""
        self.server_errors += 1

    def record_rejection(self, now: float) -> None:
        """Record that the worker rejected a request or a connection."""
        self.full_until = now + REJECTION_VALIDITY
        self.hot_key_queue.reduce_rate(now, REJECTED_RATE_FACTOR)

    def record_failure(self, now: float, back_off: bool) -> None:
        """Record an attempt without a response.

        back_off: whether the worker gets no requests during a backoff. The next backoff is twice as long, up
        to MAX_BACKOFF.
        """
        self.attempts += 1
        self.failures += 1
        if back_off:
            self.backoff_until = now + self.backoff
            self.backoff = min(self.backoff * 2, MAX_BACKOFF)

    def take_statistics(self) -> tuple | None:
        """Return the worker's row of the load report and reset the counts.

        The row consists of attempts, failures, mean response time (s), reported load or None, and the number
        of server errors if there are any. Returns None if there is nothing to report.
        """
        row: tuple | None = None
        if self.attempts or self.has_new_load:
            answered = self.attempts - self.failures
            mean = round(self.response_time / answered, 4) if answered else 0.0
            row = (self.attempts, self.failures, mean, self.load if self.has_new_load else None)
            if self.server_errors:
                row = (*row, self.server_errors)
        self.attempts = self.failures = self.server_errors = 0
        self.response_time, self.has_new_load = 0.0, False
        return row


class WorkerObservations:
    """The observations of all workers, by instance id."""

    def __init__(self) -> None:
        self.by_instance: dict[str, WorkerObservation] = {}

    def of(self, instance_id: str) -> WorkerObservation:
        """Return the observation of a worker. It is created if there is none."""
        observation = self.by_instance.get(instance_id)
        return observation or self.by_instance.setdefault(instance_id, WorkerObservation())

    def forget_departed(self, registered: Container[str]) -> None:
        """Remove the observations of workers that are not in `registered` and have no request in flight."""
        self.by_instance = {
            instance_id: observation
            for instance_id, observation in self.by_instance.items()
            if instance_id in registered or observation.in_flight
        }
