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
from .response_parser import Answer
from .worker_connection import How

# of the aim that a request waits for a worker: refused within a quarter of it, it still counts
HOLD_PART = 0.2
# of the aim, where its key is on its way from one live worker to another: tenths of a second
MOVING_PART = 0.6
LATER_PART = 0.3  # of the time left after which to come back: clients honour up to a third
SOON = 0.25  # s to come back after where a queue was full: a few requests' work
PROMISES = (408, 429, 503)  # clients take them as a word that the request has not run and never will
UNSENT_MOST = 4  # tries that never went out; each costs a dial
TURNED_PART = 0.1  # of the aim before a worker without room for a connection is dialled again
SHY_PART = 0.4  # of the aim before the same worker is asked again: a full queue's time, at usual work
FULL_PART = 0.3  # of the aim that a request waits while its only worker is known to be full
# of the aim that a lookup of a crowded record waits: the rest is for its worker's queue and work
TURN_PART = 0.5
LOOK = 0.04  # s between looks at a full worker: a part of a request's work
SPARE = 0.012  # s kept back from a deadline for the way to the client
USE_PART = 0.8  # of the shared budget that is used: the rules count arrivals in other windows than ours
BUCKET = 1.0  # s


class Send(NamedTuple):
    instance_id: str


class Wait(NamedTuple):
    until: float


class Reply(NamedTuple):
    """The final answer: the worker's, or one of our own with a reason."""

    status: int
    reason: str
    later: float | None = None  # s after which to come back
    answer: Answer | None = None


class RetryBudget:
    """Further tries to a service, as far as this desk's share of the common budget goes."""

    def __init__(self, ratio: float, window: float, slack: float) -> None:
        self.ratio, self.window, self.slack, self.proxies = ratio, window, slack, 1
        self.counts: dict[str, dict[int, list[int]]] = {}

    def bucket(self, service: str, now: float) -> list[int]:
        buckets = self.counts.setdefault(service, {})
        number = int(now / BUCKET)
        if number not in buckets:
            for old in [n for n in buckets if n < number - self.window / BUCKET]:
                del buckets[old]
            buckets[number] = [0, 0]
        return buckets[number]

    def arrived(self, service: str, now: float) -> None:
        self.bucket(service, now)[0] += 1

    def spend(self, service: str, now: float) -> bool:
        """Take one further try, if there is one left in the window."""
        bucket = self.bucket(service, now)
        requests = sum(b[0] for b in self.counts[service].values())
        further = sum(b[1] for b in self.counts[service].values())
        if further + 1 > USE_PART * (self.ratio * requests + self.slack / max(self.proxies, 1)):
            return False
        bucket[1] += 1
        return True


class RequestAttempts:
    def __init__(
        self, now: float, route: Route, service: str, key: int | None, request: str, deadline: float
    ) -> None:
        self.route, self.service, self.key, self.request = route, service, key, request
        self.begun = now
        self.pin = ""  # the client's key, where what it began is to finish where it began
        self.until = now + min(deadline - SPARE, route.timeout)
        self.hold_until = now + HOLD_PART * route.aim
        self.tried: set[str] = set()
        self.carried: set[int] = set()  # numbers of the connections that it went out on
        self.sent = self.unsent = 0
        self.last: Answer | None = None  # the newest answer of a worker that may be handed on
        self.ran_maybe = False
        self.shy, self.shy_until = "", 0.0  # a worker that did not take it, until when not to ask it again
        self.hot_key_queue: HotKeyQueue | None = (
            None  # of a crowded record's worker, where it waits its turn or went through
        )

    def next(self, now: float, load_balancer: LoadBalancer, retry_budget: RetryBudget) -> Send | Wait | Reply:
        """What to do now."""
        if now >= self.until:
            return self.give_up(now, "no answer in time")
        if self.sent >= self.route.attempts:
            return self.give_up(now, "all attempts used")
        instance_id = (
            load_balancer.pinned(now, self.service, self.pin) if self.pin and not self.sent else None
        )
        instance_id = instance_id or load_balancer.choose(
            now, self.service, self.key, self.request, self.tried, self.route.pure
        )
        if instance_id is not None and instance_id == self.shy and now < self.shy_until:
            return Wait(self.shy_until)  # it said no a moment ago: let its queue go down, or a grant arrive
        if instance_id is not None:
            if self.key is not None and not self.sent and load_balancer.full(now, instance_id):
                if now < self.begun + FULL_PART * self.route.aim:
                    return Wait(now + LOOK)
            if self.key is not None and (wait := self.turn(now, load_balancer, instance_id)) is not None:
                return wait
            if self.sent and not retry_budget.spend(self.service, now):
                return self.give_up(now, "no further try left")
            return Send(instance_id)
        moving = self.key is not None and load_balancer.moving(self.service, self.key)
        until = self.begun + MOVING_PART * self.route.aim if moving else self.hold_until
        if now < until and not self.last:
            return Wait(until)
        return self.give_up(now, "no worker may get it now", long=True)

    def turn(self, now: float, load_balancer: LoadBalancer, instance_id: str) -> Wait | Reply | None:
        """Its turn at the gate of a crowded record's worker, or None where that is now, or nothing is
        crowded.
        """
        hot_key_queue = (
            load_balancer.of(instance_id).hot_key_queue
            if load_balancer.crowd(self.service, self.key)
            else None
        )
        if hot_key_queue is not self.hot_key_queue:
            self.done()
            self.hot_key_queue = hot_key_queue
            if hot_key_queue is not None:
                hot_key_queue.came(now)
        if hot_key_queue is None:
            return None
        if self.route.pure:
            until = min(self.begun + TURN_PART * self.route.aim, self.until)
            at = hot_key_queue.turn(now, self.request, (self.route.priority, self.begun), until)
            if at is None:
                return self.give_up(now, "a crowd at its record", long=True)
            if at > now:
                return Wait(at)
        hot_key_queue.went(now)
        return None

    def done(self) -> None:
        """It waits no more."""
        if self.hot_key_queue is not None:
            self.hot_key_queue.left(self.request)

    def give_up(self, now: float, reason: str, long: bool = False) -> Reply:
        if self.last is not None and not self.not_run(self.last):
            return Reply(self.last.status, reason, None, self.last)
        if self.ran_maybe:
            return Reply(504 if now >= self.until else 502, reason)
        left = max(self.until - now, 0.0)
        return Reply(503, reason, round(min(LATER_PART * left, LATER_PART * left if long else SOON), 3))

    @staticmethod
    def not_run(answer: Answer) -> bool:
        return "X-Not-Run" in answer.named or answer.status == 421

    def ended(
        self, now: float, instance_id: str, how: How, answer: Answer | None, reader: bool = False
    ) -> Reply | None:
        """How a try ended; the final answer, or None where `next` is to be asked again. reader: of a copy."""
        if how in (How.UNSENT, How.TURNED):
            self.unsent += 1
            if how is How.TURNED and self.key is not None:
                self.shy, self.shy_until = instance_id, now + TURNED_PART * self.route.aim
            else:
                self.tried.add(instance_id)
            return self.give_up(now, "no worker could be reached") if self.unsent >= UNSENT_MOST else None
        self.sent += 1
        if self.key is None:
            self.tried.add(instance_id)
        if how is How.WHOLE:
            if self.not_run(answer) and reader:
                self.tried.add(instance_id)  # it has no copy now: the holder has the record
                return None
            if self.not_run(answer):
                self.shy, self.shy_until = instance_id, now + SHY_PART * self.route.aim
                return None
            if 200 <= answer.status < 300 and not sound(answer):
                self.ran_maybe = True  # no success of the worker's own
                return None if self.route.pure else self.give_up(now, "the worker's answer is not whole")
            if answer.status >= 500 and self.route.pure:
                self.last = answer
                return None
            if answer.status in PROMISES and not self.route.pure:
                self.ran_maybe = True  # the worker did not say so
                return self.give_up(now, "the worker did not say whether it ran")
            return Reply(answer.status, answer.reason, None, answer)
        self.ran_maybe = True
        self.shy, self.shy_until = instance_id, now + SHY_PART * self.route.aim
        if how is How.PEER_TIMEOUT or not self.route.pure:
            return self.give_up(now, "the worker broke off" if how is How.BROKEN else "no answer in time")
        return None


def sound(answer: Answer) -> bool:
    """A success as workers give it: sealed and not encoded."""
    return "X-Response-Seal" in answer.named and "Content-Encoding" not in answer.named
