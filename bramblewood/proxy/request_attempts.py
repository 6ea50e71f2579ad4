"""The attempts of one request: which worker it is sent to, when, and its final answer. Pure; times in s.

`next_step` says what to do now and `attempt_finished` takes in how an attempt ended; `request_handler` and
`forwarding` carry it out.

Invariant: a request that is not idempotent is sent to a second worker only where nothing of it was sent to
the first, or the first said that it has not run it. A request that fails is answered at once: 503 with a time
to come back where it has not run, else 502 or 504.
"""

from typing import NamedTuple

from ..common.configuration import Route
from ..common.connection_state import AttemptOutcome
from ..common.response_parser import WorkerResponse
from .hot_key_queue import HotKeyQueue
from .load_balancing import LoadBalancer
from .retry_budget import RetryBudget

# Fractions are of the route's latency target (`TargetLatencyS`) where nothing else is said.
# a request waits so long for a worker: rejected within a quarter of the target, it still counts
NO_OWNER_WAIT_FRACTION = 0.2
HANDOVER_WAIT_FRACTION = 0.6  # where its key passes from one live worker to another: tenths of a second
FULL_WORKER_WAIT_FRACTION = 0.3  # where its only worker is known to be full
# where its key is hot and it is idempotent: the rest is for its worker's queue and work
HOT_KEY_WAIT_FRACTION = 0.5
# before a worker that rejected a connection is connected to again
CONNECTION_REJECTED_BACKOFF_FRACTION = 0.1
# before the same worker is asked again: the time of a full queue, at usual work
SAME_WORKER_BACKOFF_FRACTION = 0.4
RETRY_AFTER_FRACTION = 0.3  # of the time left after which to come back: clients honour up to a third
QUEUE_FULL_RETRY_AFTER = 0.25  # s to come back after where a queue was full: a few requests' work
# clients take these as a promise that the request has not run and never will
STATUSES_PROMISING_NOT_RUN = (408, 429, 503)
MAX_UNSENT_ATTEMPTS = 4  # attempts of which nothing was sent; each costs a connection
FULL_WORKER_POLL_INTERVAL = 0.04  # s between looks at a full worker: a part of a request's work
DEADLINE_MARGIN = 0.012  # s kept back from a deadline for the transit to the client


class SendToWorker(NamedTuple):
    """Send the request to this worker now."""

    instance_id: str


class WaitUntil(NamedTuple):
    """Ask again at this time (s), or as soon as controllers have sent an update."""

    until: float


class FinalReply(NamedTuple):
    """The final answer: the worker's response, or a status and reason of the proxy's own."""

    status: int
    reason: str
    retry_after: float | None = None  # s
    response: WorkerResponse | None = None


class RequestAttempts:
    """One request's attempts.

    deadline: when its client gives up, s of the loop's clock. affinity_key: the client's key where a route
    sends what belongs together to one worker. used_connections: numbers of the connections it was sent on.
    """

    def __init__(
        self, now: float, route: Route, service: str, key: int | None, request_id: str, time_left: float
    ) -> None:
        """key: of a keyed service, else None. time_left: s that the client waits from now."""
        self.route, self.service, self.key, self.request_id = route, service, key, request_id
        self.started_at = now
        self.affinity_key = ""
        self.deadline = now + min(time_left - DEADLINE_MARGIN, route.timeout)
        self.no_owner_wait_until = now + NO_OWNER_WAIT_FRACTION * route.latency_target
        self.tried: set[str] = set()
        self.used_connections: set[int] = set()
        self.sent_count = self.unsent_count = 0
        self.last_response: WorkerResponse | None = None  # the newest that may be handed to the client
        self.may_have_run = False
        self.backed_off_worker, self.backoff_until = "", 0.0  # not to be asked again until then
        self.hot_key_queue: HotKeyQueue | None = None  # in which it waits, or has waited

    @property
    def non_idempotent(self) -> bool:
        """Whether the request must not run twice."""
        return not self.route.pure

    def next_step(
        self, now: float, load_balancer: LoadBalancer, retry_budget: RetryBudget
    ) -> SendToWorker | WaitUntil | FinalReply:
        """What to do now."""
        if now >= self.deadline:
            return self.fail(now, "no answer in time")
        if self.sent_count >= self.route.max_attempts:
            return self.fail(now, "all attempts used")
        instance_id = self._choose_worker(now, load_balancer)
        if instance_id is None:
            return self._wait_for_worker(now, load_balancer)
        if instance_id == self.backed_off_worker and now < self.backoff_until:
            return WaitUntil(self.backoff_until)  # let its queue get shorter, or a lease arrive
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
            now, self.service, self.key, self.request_id, self.tried, self.route.pure
        )

    def _wait_for_worker(self, now: float, load_balancer: LoadBalancer) -> WaitUntil | FinalReply:
        in_handover = self.key is not None and load_balancer.in_handover(self.service, self.key)
        until = (
            self.started_at + HANDOVER_WAIT_FRACTION * self.route.latency_target
            if in_handover
            else self.no_owner_wait_until
        )
        if now < until and not self.last_response:
            return WaitUntil(until)
        return self.fail(now, "no worker may get it now", long_retry_after=True)

    def _hot_key_wait(
        self, now: float, load_balancer: LoadBalancer, instance_id: str
    ) -> WaitUntil | FinalReply | None:
        """Its wait in the queue of a hot key's worker; None where it may be sent now."""
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
        if self.route.pure:
            latest = min(self.started_at + HOT_KEY_WAIT_FRACTION * self.route.latency_target, self.deadline)
            turn_at = queue.turn_at(now, self.request_id, (self.route.priority, self.started_at), latest)
            if turn_at is None:
                return self.fail(now, "a crowd at its record", long_retry_after=True)
            if turn_at > now:
                return WaitUntil(turn_at)
        queue.record_passage(now)
        return None

    def leave_queue(self) -> None:
        """It waits for a hot key's worker no more."""
        if self.hot_key_queue is not None:
            self.hot_key_queue.remove(self.request_id)

    def fail(self, now: float, reason: str, long_retry_after: bool = False) -> FinalReply:
        """Its final answer where no attempt succeeds any more; reason: told to the client."""
        if self.last_response is not None and not says_not_run(self.last_response):
            return FinalReply(self.last_response.status, reason, None, self.last_response)
        if self.may_have_run:
            return FinalReply(504 if now >= self.deadline else 502, reason)
        retry_after = RETRY_AFTER_FRACTION * max(self.deadline - now, 0.0)
        if not long_retry_after:
            retry_after = min(retry_after, QUEUE_FULL_RETRY_AFTER)
        return FinalReply(503, reason, round(retry_after, 3))

    def attempt_finished(
        self,
        now: float,
        instance_id: str,
        outcome: AttemptOutcome,
        response: WorkerResponse | None,
        from_replica: bool = False,
    ) -> FinalReply | None:
        """Take in how an attempt ended; the final answer, or None where `next_step` is to be asked again.

        from_replica: the worker holds a read replica of the key and does not own it.
        """
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.CONNECTION_REJECTED):
            return self._not_sent(now, instance_id, outcome)
        self.sent_count += 1
        if self.key is None:
            self.tried.add(instance_id)
        if outcome is AttemptOutcome.ANSWERED:
            return self._answered(now, instance_id, response, from_replica)
        self.may_have_run = True
        self._back_off(now, instance_id, SAME_WORKER_BACKOFF_FRACTION)
        if outcome is AttemptOutcome.TIMED_OUT or self.non_idempotent:
            broken = outcome is AttemptOutcome.CONNECTION_BROKEN
            return self.fail(now, "the worker broke off" if broken else "no answer in time")
        return None

    def _not_sent(self, now: float, instance_id: str, outcome: AttemptOutcome) -> FinalReply | None:
        self.unsent_count += 1
        if outcome is AttemptOutcome.CONNECTION_REJECTED and self.key is not None:
            self._back_off(now, instance_id, CONNECTION_REJECTED_BACKOFF_FRACTION)
        else:
            self.tried.add(instance_id)
        if self.unsent_count >= MAX_UNSENT_ATTEMPTS:
            return self.fail(now, "no worker could be reached")
        return None

    def _answered(
        self, now: float, instance_id: str, response: WorkerResponse, from_replica: bool
    ) -> FinalReply | None:
        if says_not_run(response):
            if from_replica:
                self.tried.add(instance_id)  # it has no replica now: the owner has the record
            else:
                self._back_off(now, instance_id, SAME_WORKER_BACKOFF_FRACTION)
            return None
        if 200 <= response.status < 300 and not is_valid_success(response):
            self.may_have_run = True  # no success of the worker's own
            return None if self.route.pure else self.fail(now, "the worker's answer is not whole")
        if response.status >= 500 and self.route.pure:
            self.last_response = response
            return None
        if response.status in STATUSES_PROMISING_NOT_RUN and self.non_idempotent:
            self.may_have_run = True  # the worker did not say so
            return self.fail(now, "the worker did not say whether it ran")
        return FinalReply(response.status, response.reason, None, response)

    def _back_off(self, now: float, instance_id: str, fraction: float) -> None:
        self.backed_off_worker, self.backoff_until = instance_id, now + fraction * self.route.latency_target


def says_not_run(response: WorkerResponse) -> bool:
    """Whether a worker states that it has not run the request and never will."""
    return "X-Not-Run" in response.headers_by_name or response.status == 421


def is_valid_success(response: WorkerResponse) -> bool:
    """Whether a success is as workers give it: sealed and not encoded."""
    return (
        "X-Response-Seal" in response.headers_by_name and "Content-Encoding" not in response.headers_by_name
    )
