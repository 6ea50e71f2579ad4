"""Errand: one request's life, from its admission to its final answer. Pure; the shell carries out what it
says.

What may not repeat is sent to a second worker only where nothing of it went out, or the first said that it
has not run it. Given up means a final answer at once: 503 with a time to come back where it has not run, else
502 or 504.
"""

from typing import NamedTuple

from ..common.configuration import Route
from .hot_key_queue import HotKeyQueue
from .load_balancing import LoadBalancer
from .response_parser import WorkerResponse
from .worker_connection import AttemptOutcome

# of the aim that a request waits for a worker: refused within a quarter of it, it still counts
NO_OWNER_WAIT_FRACTION = 0.2
# of the aim, where its key is on its way from one live worker to another: tenths of a second
HANDOVER_WAIT_FRACTION = 0.6
RETRY_AFTER_FRACTION = 0.3  # of the time left after which to come back: clients honour up to a third
QUEUE_FULL_RETRY_AFTER = 0.25  # s to come back after where a queue was full: a few requests' work
STATUSES_PROMISING_NOT_RUN = (
    408,
    429,
    503,
)  # clients take them as a word that the request has not run and never will
MAX_UNSENT_ATTEMPTS = 4  # tries that never went out; each costs a dial
CONNECTION_REJECTED_BACKOFF_FRACTION = (
    0.1  # of the aim before a worker without room for a connection is dialled again
)
SAME_WORKER_BACKOFF_FRACTION = (
    0.4  # of the aim before the same worker is asked again: a full queue's time, at usual work
)
FULL_WORKER_WAIT_FRACTION = 0.3  # of the aim that a request waits while its only worker is known to be full
# of the aim that a lookup of a crowded record waits: the rest is for its worker's queue and work
HOT_KEY_WAIT_FRACTION = 0.5
FULL_WORKER_POLL_INTERVAL = 0.04  # s between looks at a full worker: a part of a request's work
DEADLINE_MARGIN = 0.012  # s kept back from a deadline for the way to the client
BUDGET_USE_FRACTION = (
    0.8  # of the shared budget that is used: the rules count arrivals in other windows than ours
)
BUCKET_DURATION = 1.0  # s


class SendToWorker(NamedTuple):
    instance_id: str


class WaitUntil(NamedTuple):
    until: float


class FinalReply(NamedTuple):
    """The final answer: the worker's, or one of our own with a reason."""

    status: int
    reason: str
    retry_after: float | None = None  # s after which to come back
    response: WorkerResponse | None = None


class RetryBudget:
    """Further tries to a service, as far as this desk's share of the common budget goes."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio, self.window, self.slack, self.proxies = ratio, window, slack, 1
        self.counts: dict[str, dict[int, list[int]]] = {}

    def _bucket(self, service: str, now: float) -> list[int]:
        buckets = self.counts.setdefault(service, {})
        number = int(now / BUCKET_DURATION)
        if number not in buckets:
            for old in [n for n in buckets if n < number - self.window / BUCKET_DURATION]:
                del buckets[old]
            buckets[number] = [0, 0]
        return buckets[number]

    def record_request(self, service: str, now: float) -> None:
        self._bucket(service, now)[0] += 1

    def try_spend(self, service: str, now: float) -> bool:
        """Take one further try, if there is one left in the window."""
        bucket = self._bucket(service, now)
        requests = sum(b[0] for b in self.counts[service].values())
        retries = sum(b[1] for b in self.counts[service].values())
        if retries + 1 > BUDGET_USE_FRACTION * (self.ratio * requests + self.slack / max(self.proxies, 1)):
            return False
        bucket[1] += 1
        return True


class RequestAttempts:
    def __init__(
        self, now: float, route: Route, service: str, key: int | None, request_id: str, deadline: float
    ) -> None:
        self.route, self.service, self.key, self.request_id = route, service, key, request_id
        self.started_at = now
        self.affinity_key = ""  # the client's key, where what it began is to finish where it began
        self.deadline = now + min(deadline - DEADLINE_MARGIN, route.timeout)
        self.no_owner_wait_until = now + NO_OWNER_WAIT_FRACTION * route.latency_target
        self.tried: set[str] = set()
        self.used_connections: set[int] = set()  # numbers of the connections that it went out on
        self.sent_count = self.unsent_count = 0
        self.last_response: WorkerResponse | None = (
            None  # the newest answer of a worker that may be handed on
        )
        self.may_have_run = False
        self.backed_off_worker, self.backoff_until = (
            "",
            0.0,
        )  # a worker that did not take it, until when not to ask it again
        self.hot_key_queue: HotKeyQueue | None = (
            None  # of a crowded record's worker, where it waits its turn or went through
        )

    def next_step(
        self, now: float, load_balancer: LoadBalancer, retry_budget: RetryBudget
    ) -> SendToWorker | WaitUntil | FinalReply:
        """What to do now."""
        if now >= self.deadline:
            return self.fail(now, "no answer in time")
        if self.sent_count >= self.route.max_attempts:
            return self.fail(now, "all attempts used")
        instance_id = (
            load_balancer.affinity_worker(now, self.service, self.affinity_key)
            if self.affinity_key and not self.sent_count
            else None
        )
        instance_id = instance_id or load_balancer.choose_worker(
            now, self.service, self.key, self.request_id, self.tried, self.route.pure
        )
        if instance_id is not None and instance_id == self.backed_off_worker and now < self.backoff_until:
            return WaitUntil(
                self.backoff_until
            )  # it said no a moment ago: let its queue go down, or a grant arrive
        if instance_id is not None:
            if self.key is not None and not self.sent_count and load_balancer.is_full(now, instance_id):
                if now < self.started_at + FULL_WORKER_WAIT_FRACTION * self.route.latency_target:
                    return WaitUntil(now + FULL_WORKER_POLL_INTERVAL)
            if (
                self.key is not None
                and (wait := self._hot_key_wait(now, load_balancer, instance_id)) is not None
            ):
                return wait
            if self.sent_count and not retry_budget.try_spend(self.service, now):
                return self.fail(now, "no further try left")
            return SendToWorker(instance_id)
        moving = self.key is not None and load_balancer.in_handover(self.service, self.key)
        until = (
            self.started_at + HANDOVER_WAIT_FRACTION * self.route.latency_target
            if moving
            else self.no_owner_wait_until
        )
        if now < until and not self.last_response:
            return WaitUntil(until)
        return self.fail(now, "no worker may get it now", long=True)

    def _hot_key_wait(
        self, now: float, load_balancer: LoadBalancer, instance_id: str
    ) -> WaitUntil | FinalReply | None:
        """Its turn at the gate of a crowded record's worker, or None where that is now, or nothing is
        crowded.
        """
        hot_key_queue = (
            load_balancer.observation(instance_id).hot_key_queue
            if load_balancer.is_hot(self.service, self.key)
            else None
        )
        if hot_key_queue is not self.hot_key_queue:
            self.leave_queue()
            self.hot_key_queue = hot_key_queue
            if hot_key_queue is not None:
                hot_key_queue.record_arrival(now)
        if hot_key_queue is None:
            return None
        if self.route.pure:
            until = min(self.started_at + HOT_KEY_WAIT_FRACTION * self.route.latency_target, self.deadline)
            at = hot_key_queue.turn_at(now, self.request_id, (self.route.priority, self.started_at), until)
            if at is None:
                return self.fail(now, "a crowd at its record", long=True)
            if at > now:
                return WaitUntil(at)
        hot_key_queue.record_passage(now)
        return None

    def leave_queue(self) -> None:
        """It waits no more."""
        if self.hot_key_queue is not None:
            self.hot_key_queue.remove(self.request_id)

    def fail(self, now: float, reason: str, long: bool = False) -> FinalReply:
        if self.last_response is not None and not self.says_not_run(self.last_response):
            return FinalReply(self.last_response.status, reason, None, self.last_response)
        if self.may_have_run:
            return FinalReply(504 if now >= self.deadline else 502, reason)
        left = max(self.deadline - now, 0.0)
        return FinalReply(
            503,
            reason,
            round(
                min(
                    RETRY_AFTER_FRACTION * left,
                    RETRY_AFTER_FRACTION * left if long else QUEUE_FULL_RETRY_AFTER,
                ),
                3,
            ),
        )

    @staticmethod
    def says_not_run(response: WorkerResponse) -> bool:
        return "X-Not-Run" in response.headers_by_name or response.status == 421

    def attempt_finished(
        self,
        now: float,
        instance_id: str,
        outcome: AttemptOutcome,
        response: WorkerResponse | None,
        from_replica: bool = False,
    ) -> FinalReply | None:
        """How a try ended; the final answer, or None where `next` is to be asked again. reader: of a copy."""
        if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.CONNECTION_REJECTED):
            self.unsent_count += 1
            if outcome is AttemptOutcome.CONNECTION_REJECTED and self.key is not None:
                self.backed_off_worker, self.backoff_until = (
                    instance_id,
                    now + CONNECTION_REJECTED_BACKOFF_FRACTION * self.route.latency_target,
                )
            else:
                self.tried.add(instance_id)
            return (
                self.fail(now, "no worker could be reached")
                if self.unsent_count >= MAX_UNSENT_ATTEMPTS
                else None
            )
        self.sent_count += 1
        if self.key is None:
            self.tried.add(instance_id)
        if outcome is AttemptOutcome.ANSWERED:
            if self.says_not_run(response) and from_replica:
                self.tried.add(instance_id)  # it has no copy now: the holder has the record
                return None
            if self.says_not_run(response):
                self.backed_off_worker, self.backoff_until = (
                    instance_id,
                    now + SAME_WORKER_BACKOFF_FRACTION * self.route.latency_target,
                )
                return None
            if 200 <= response.status < 300 and not is_valid_success(response):
                self.may_have_run = True  # no success of the worker's own
                return None if self.route.pure else self.fail(now, "the worker's answer is not whole")
            if response.status >= 500 and self.route.pure:
                self.last_response = response
                return None
            if response.status in STATUSES_PROMISING_NOT_RUN and not self.route.pure:
                self.may_have_run = True  # the worker did not say so
                return self.fail(now, "the worker did not say whether it ran")
            return FinalReply(response.status, response.reason, None, response)
        self.may_have_run = True
        self.backed_off_worker, self.backoff_until = (
            instance_id,
            now + SAME_WORKER_BACKOFF_FRACTION * self.route.latency_target,
        )
        if outcome is AttemptOutcome.TIMED_OUT or not self.route.pure:
            return self.fail(
                now,
                "the worker broke off"
                if outcome is AttemptOutcome.CONNECTION_BROKEN
                else "no answer in time",
            )
        return None


def is_valid_success(response: WorkerResponse) -> bool:
    """A success as workers give it: sealed and not encoded."""
    return (
        "X-Response-Seal" in response.headers_by_name and "Content-Encoding" not in response.headers_by_name
    )
