"""The attempts of one request: the worker and time of each attempt, and the final reply to the client.

No I/O. Times are seconds of the loop's clock. `next_step` returns the next action, which `request_handler`
and `forwarding` carry out. `attempt_finished` records the outcome of an attempt.

Invariant: a non-idempotent request is sent to a second worker only if no byte of it was sent to the first, or
if the first responded that it has not run and never will run the request. A request that fails is answered
immediately: with 503 and `Retry-After` if it has not run, otherwise with 502 or 504.
"""

from typing import NamedTuple

from ..common.configuration import Route
from ..common.connection_state import AttemptOutcome
from ..common.response_parser import WorkerResponse
from .hot_key_queue import HotKeyQueue
from .load_balancing import LoadBalancer
from .retry_budget import RetryBudget

# Unless stated otherwise, fractions are of the route's latency target (`TargetLatencyS`).
# wait while no worker is available; a rejection within a quarter of the target still counts as in time
NO_WORKER_WAIT_FRACTION = 0.2
# wait during a key's handover between live workers, which takes tenths of a second
HANDOVER_WAIT_FRACTION = 0.6
FULL_WORKER_WAIT_FRACTION = 0.3  # wait while the key's only worker is full
# wait of an idempotent request for a hot key; the rest is left for the worker's queue and processing
HOT_KEY_WAIT_FRACTION = 0.5
# backoff before a new connection to a worker that rejected one
CONNECTION_REJECTED_BACKOFF_FRACTION = 0.1
# backoff before the same worker gets the request again: about the time in which it processes a full queue
SAME_WORKER_BACKOFF_FRACTION = 0.4
RETRY_AFTER_FRACTION = 0.3  # `Retry-After` as a fraction of the time left; clients accept up to a third
# s: upper bound of `Retry-After`, unless no worker is available or a hot key gets too many requests
MAX_SHORT_RETRY_AFTER = 0.25
# Clients take these statuses as a guarantee that the request has not run and never will run.
STATUSES_GUARANTEEING_NOT_RUN = (408, 429, 503)
MAX_UNSENT_ATTEMPTS = 4  # limit on attempts that send no byte, as each one opens a connection
FULL_WORKER_POLL_INTERVAL = 0.04  # s between checks of a full worker: a fraction of its response time
DEADLINE_MARGIN = 0.012  # s reserved before the client's deadline for the transit of the response


class SendToWorker(NamedTuple):
    """Send the request to this worker now."""

    instance_id: str


class WaitUntil(NamedTuple):
    """Wait until this time, or until an update from a controller arrives, and call `next_step` again."""

    deadline: float


class FinalReply(NamedTuple):
    """The final reply to the client: a worker's response, or a status and reason of the proxy itself."""

    status: int
    reason: str
    retry_after: float | None = None  # s
    response: WorkerResponse | None = None


class RequestAttempts:
    """The state of one request across its attempts.

    deadline: the time at which the request fails. It is the client's deadline less DEADLINE_MARGIN, or the
    end of the route's time-out if that is earlier. affinity_key: the client's key on a route with session
    affinity, otherwise "". has_read_replicas: whether the service's keys may have read replicas, by the
    configuration under which the request was accepted. excluded_workers: workers that are excluded from
    further attempts.
    used_connections: numbers of the connections on which the request was sent. may_have_run: whether a worker
    may have run the request without a usable response.
    """

    def __init__(
        self, now: float, route: Route, service: str, key: int | None, request_id: str, time_left: float
    ) -> None:
        """key: None if the service has no keys. time_left: s from `now` to the client's deadline."""
        self.route, self.service, self.key, self.request_id = route, service, key, request_id
        self.started_at = now
        self.affinity_key = ""
        self.has_read_replicas = False
        self.deadline = now + min(time_left - DEADLINE_MARGIN, route.timeout)
        self.no_worker_wait_until = now + NO_WORKER_WAIT_FRACTION * route.latency_target
        self.excluded_workers: set[str] = set()
        self.used_connections: set[int] = set()
        self.sent_count = self.unsent_count = 0
        self.last_response: WorkerResponse | None = None  # newest error response of a worker
        self.may_have_run = False
        self.backed_off_worker, self.backoff_until = "", 0.0  # this worker gets no attempt before that time
        # the queue of the hot key's worker that this request waits for or was sent to
        self.hot_key_queue: HotKeyQueue | None = None

    @property
    def non_idempotent(self) -> bool:
        """Whether the request must not run twice."""
        return not self.route.is_idempotent

    def next_step(
        self, now: float, load_balancer: LoadBalancer, retry_budget: RetryBudget
    ) -> SendToWorker | WaitUntil | FinalReply:
        """Return the next action.

        Each attempt after the first one that sent bytes spends a retry from the budget.
        """
        if now >= self.deadline:
            return self.fail(now, "no answer in time")
        if self.sent_count >= self.route.max_attempts:
            return self.fail(now, "all attempts used")
        instance_id = self._choose_worker(now, load_balancer)
        if instance_id is None:
            return self._wait_for_worker(now, load_balancer)
        if instance_id == self.backed_off_worker and now < self.backoff_until:
            # until then the worker's queue may get shorter, or its lease on the key may arrive
            return WaitUntil(self.backoff_until)
        if self.key is not None:
            full_wait_until = self.started_at + FULL_WORKER_WAIT_FRACTION * self.route.latency_target
            is_full = not self.sent_count and load_balancer.is_full(now, instance_id)
            if is_full and now < full_wait_until:
                return WaitUntil(now + FULL_WORKER_POLL_INTERVAL)
            if (wait := self._hot_key_wait(now, load_balancer, instance_id)) is not None:
                return wait
        if self.sent_count and not retry_budget.try_spend(self.service, now):
            return self.fail(now, "no further try left")
        return SendToWorker(instance_id)

    def _choose_worker(self, now: float, load_balancer: LoadBalancer) -> str | None:
        if self.affinity_key and not self.sent_count:
            instance_id = load_balancer.affinity_worker(now, self.service, self.affinity_key)
            if instance_id:
                return instance_id
        return load_balancer.choose_worker(
            now,
            self.service,
            self.key,
            self.request_id,
            self.excluded_workers,
            self.route.is_idempotent,
            self.route.label,
        )

    def _wait_for_worker(self, now: float, load_balancer: LoadBalancer) -> WaitUntil | FinalReply:
        in_handover = self.key is not None and load_balancer.in_handover(self.service, self.key)
        wait_until = (
            self.started_at + HANDOVER_WAIT_FRACTION * self.route.latency_target
            if in_handover
            else self.no_worker_wait_until
        )
        if now < wait_until and not self.last_response:
            return WaitUntil(wait_until)
        return self.fail(now, "no worker may get it now", long_retry_after=True)

    def _hot_key_wait(
        self, now: float, load_balancer: LoadBalancer, instance_id: str
    ) -> WaitUntil | FinalReply | None:
        """Wait in the queue of a hot key's worker. Returns None if the request may be sent now.

        Returns a final reply if the request cannot be sent in time.
        """
        queue = (
            load_balancer.observation(instance_id).hot_key_queue
            if load_balancer.is_hot(self.service, self.key)
            else None
        )
        if queue is not self.hot_key_queue:
            self.leave_queue()
            self.hot_key_queue = queue
            if queue is not None:
                queue.record_arrival(now)
        if queue is None:
            return None
        if self.route.is_idempotent:
            latest = min(self.started_at + HOT_KEY_WAIT_FRACTION * self.route.latency_target, self.deadline)
            send_at = queue.send_time(now, self.request_id, (self.route.priority, self.started_at), latest)
            if send_at is None:
                return self.fail(now, "a crowd at its record", long_retry_after=True)
            if send_at > now:
                return WaitUntil(send_at)
        queue.record_sent(now)
        return None

    def leave_queue(self) -> None:
        """Remove the request from the queue of a hot key's worker, if it is in one."""
        if self.hot_key_queue is not None:
            self.hot_key_queue.remove(self.request_id)

    def fail(self, now: float, reason: str, long_retry_after: bool = False) -> FinalReply:
        """Return the final reply if no further attempt is made.

        reason: sent to the client unless a worker's response is forwarded. long_retry_after: whether
        `Retry-After` may exceed MAX_SHORT_RETRY_AFTER.
        """
        if self.last_response is not None and not indicates_not_run(self.last_response):
            return FinalReply(self.last_response.status, reason, None, self.last_response)
        if self.may_have_run:
            return FinalReply(504 if now >= self.deadline else 502, reason)
        retry_after = RETRY_AFTER_FRACTION * max(self.deadline - now, 0.0)
        if not long_retry_after:
            retry_after = min(retry_after, MAX_SHORT_RETRY_AFTER)
        return FinalReply(503, reason, round(retry_after, 3))

    def attempt_finished(
        self,
        now: float,
        instance_id: str,
        outcome: AttemptOutcome,
        response: WorkerResponse | None,
        from_replica: bool = False,
    ) -> FinalReply | None:
        """Record the outcome of an attempt.

        from_replica: whether the worker holds a read replica of the key and does not own the key. Returns the
        final reply, or None if `next_step` decides how to continue.
        """
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.CONNECTION_REJECTED):
            return self._record_not_sent(now, instance_id, outcome)
        self.sent_count += 1
        if self.key is None:
            self.excluded_workers.add(instance_id)
        if outcome is AttemptOutcome.ANSWERED:
            return self._handle_response(now, instance_id, response, from_replica)
        self.may_have_run = True
        self._back_off(now, instance_id, SAME_WORKER_BACKOFF_FRACTION)
        if outcome is AttemptOutcome.TIMED_OUT or self.non_idempotent:
            broken = outcome is AttemptOutcome.CONNECTION_BROKEN
            return self.fail(now, "the worker broke off" if broken else "no answer in time")
        return None

    def _record_not_sent(self, now: float, instance_id: str, outcome: AttemptOutcome) -> FinalReply | None:
        self.unsent_count += 1
        if outcome is AttemptOutcome.CONNECTION_REJECTED and self.key is not None:
            self._back_off(now, instance_id, CONNECTION_REJECTED_BACKOFF_FRACTION)
        else:
            self.excluded_workers.add(instance_id)
        if self.unsent_count >= MAX_UNSENT_ATTEMPTS:
            return self.fail(now, "no worker could be reached")
        return None

    def _handle_response(
        self, now: float, instance_id: str, response: WorkerResponse, from_replica: bool
    ) -> FinalReply | None:
        if indicates_not_run(response):
            if from_replica:
                self.excluded_workers.add(instance_id)  # its replica is gone, but the owner has the record
            else:
                self._back_off(now, instance_id, SAME_WORKER_BACKOFF_FRACTION)
            return None
        if 200 <= response.status < 300 and not is_valid_success_response(response):
            self.may_have_run = True  # an intermediary may have generated or changed the response
            return None if self.route.is_idempotent else self.fail(now, "the worker's answer is not whole")
        if response.status >= 500 and self.route.is_idempotent:
            self.last_response = response
            return None
        if response.status in STATUSES_GUARANTEEING_NOT_RUN and self.non_idempotent:
            self.may_have_run = True  # the response has no `X-Not-Run`
            return self.fail(now, "the worker did not say whether it ran")
        return FinalReply(response.status, response.reason, None, response)

    def _back_off(self, now: float, instance_id: str, fraction: float) -> None:
        self.backed_off_worker, self.backoff_until = instance_id, now + fraction * self.route.latency_target


def indicates_not_run(response: WorkerResponse) -> bool:
    """Whether a response guarantees that the worker has not run the request and never will run it."""
    return "X-Not-Run" in response.headers_by_name or response.status == 421


def is_valid_success_response(response: WorkerResponse) -> bool:
    """Whether a successful response has the form that workers send.

    It has an `X-Response-Seal` and no `Content-Encoding`.
    """
    return (
        "X-Response-Seal" in response.headers_by_name and "Content-Encoding" not in response.headers_by_name
    )
