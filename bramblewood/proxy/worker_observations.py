"""What this proxy has observed of workers: requests in flight, their stated load, failures and backoff. Pure.

Times are seconds of the loop's clock.
"""

from collections.abc import Container

from .hot_key_queue import OVERLOADED_RATE_FACTOR, REJECTED_RATE_FACTOR, HotKeyQueue

# s that a worker gets nothing after a failed connection or a time-out; doubled each time up to the second
MIN_BACKOFF, MAX_BACKOFF = 0.5, 4.0
LOAD_VALIDITY = 1.0  # s that a stated load is used; reports are about as old
FULL_QUEUE_VALIDITY = 0.15  # s that a full queue is believed: about a request's work
REJECTION_BACKOFF = 0.1  # s that requests bound to a worker leave it alone after it rejected one
MAX_STATED_LOAD = 10**6  # of running, waiting, slots; what is above is no load of one worker
NO_LOAD = (0, 0, 0)


class WorkerObservation:
    """What this proxy has observed of one worker; the counts are those since the last report."""

    __slots__ = (
        "in_flight",
        "non_idempotent_in_flight",
        "oldest_in_flight_at",
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
        "load_reported",
        "answered_at",
    )

    def __init__(self) -> None:
        self.in_flight = self.non_idempotent_in_flight = 0
        self.oldest_in_flight_at = 0.0  # when the first of those in flight was sent
        self.load, self.load_at = NO_LOAD, -1e9  # running, waiting, slots, as the worker stated
        self.backoff_until, self.backoff, self.full_until = 0.0, MIN_BACKOFF, 0.0
        self.hot_key_queue = HotKeyQueue()
        self.attempts = self.failures = self.server_errors = 0
        self.response_time, self.load_reported = 0.0, False
        self.answered_at = -1e9  # when its last answer came, whatever it was

    def request_started(self, now: float, non_idempotent: bool) -> None:
        """A request goes to it."""
        self.oldest_in_flight_at = self.oldest_in_flight_at if self.in_flight else now
        self.in_flight += 1
        self.non_idempotent_in_flight += non_idempotent

    def request_ended(self, non_idempotent: bool) -> None:
        """A request that went to it has ended, whichever way."""
        self.in_flight -= 1
        self.non_idempotent_in_flight -= non_idempotent

    def requests_present(self, now: float) -> int:
        """Requests that it has, as far as this proxy can tell."""
        running, waiting, _ = self.load if now - self.load_at <= LOAD_VALIDITY else NO_LOAD
        return max(running + waiting, self.in_flight)

    def is_full(self, now: float, capacity: int) -> bool:
        """Whether it would likely reject a request: by its newest stated load, or since it did.

        capacity: requests, running and waiting, from which it counts as full.
        """
        if now < self.full_until:
            return True
        running, waiting, _ = self.load if now - self.load_at <= FULL_QUEUE_VALIDITY else NO_LOAD
        return running + waiting >= capacity

    def record_load(self, now: float, header: str) -> None:
        """Take in `X-Server-Load`: running, waiting, slots; anything else is ignored."""
        parts = header.split(",")
        if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
            return
        load = tuple(map(int, parts))
        if max(load) > MAX_STATED_LOAD:
            return
        self.load, self.load_at, self.load_reported = load, now, True
        _, waiting, slots = self.load
        if waiting > slots:
            self.hot_key_queue.reduce_rate(now, OVERLOADED_RATE_FACTOR)
        else:
            self.hot_key_queue.raise_rate(now)

    def record_answer(self, response_time: float) -> None:
        """It answered, within so many s."""
        self.attempts += 1
        self.response_time += response_time
        self.backoff, self.backoff_until = MIN_BACKOFF, 0.0

    def record_server_error(self) -> None:
        """It answered with a fault of its own: it ran the request and could not serve it."""
        self.server_errors += 1

    def record_rejection(self, now: float) -> None:
        """It rejected a request or a connection."""
        self.full_until = now + REJECTION_BACKOFF
        self.hot_key_queue.reduce_rate(now, REJECTED_RATE_FACTOR)

    def record_failure(self, now: float, back_off: bool) -> None:
        """An attempt got no answer; with `back_off` it gets nothing from here for a while."""
        self.attempts += 1
        self.failures += 1
        if back_off:
            self.backoff_until = now + self.backoff
            self.backoff = min(self.backoff * 2, MAX_BACKOFF)

    def take_statistics(self) -> tuple | None:
        """Its row of the load report, None where there is nothing to report; its counts begin anew.

        The row: attempts, failures, mean response time (s), stated load or None, and server errors if any.
        """
        row: tuple | None = None
        if self.attempts or self.load_reported:
            answered = self.attempts - self.failures
            mean = round(self.response_time / answered, 4) if answered else 0.0
            row = (self.attempts, self.failures, mean, self.load if self.load_reported else None)
            if self.server_errors:
                row = (*row, self.server_errors)
        self.attempts = self.failures = self.server_errors = 0
        self.response_time, self.load_reported = 0.0, False
        return row


class WorkerObservations:
    """The observations of all workers, by instance id."""

    def __init__(self) -> None:
        self.by_instance: dict[str, WorkerObservation] = {}

    def of(self, instance_id: str) -> WorkerObservation:
        """A worker's; a new one where there is none yet."""
        known = self.by_instance.get(instance_id)
        return known or self.by_instance.setdefault(instance_id, WorkerObservation())

    def forget_departed(self, known: Container[str]) -> None:
        """Drop those of workers that are not in `known` and have no request in flight."""
        self.by_instance = {
            instance_id: observation
            for instance_id, observation in self.by_instance.items()
            if instance_id in known or observation.in_flight
        }
