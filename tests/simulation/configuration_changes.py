"""Operators and whole controllers in one process on a virtual clock: orders sent to any controller, answers
lost on their way, orders sent again with growing pauses, links with delays, messages lost, doubled and late,
machines that stop and return with their disks. Judges look after every step. All from a seed; times in
seconds.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bramblewood.common.configuration import Configuration
from bramblewood.controller.configuration_succession import apply_configuration, final_answer
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.consensus.replica import ConsensusReplica
from tests.simulation.digests import record_event

from .consensus import RuleViolation, configuration

CALL_TIMEOUT, TICK_INTERVAL = 0.85, 0.1  # s, the controller's
CALLER_TIMEOUT = 1.0  # s after which a caller goes to another controller; PROTOCOL, "The operator"
RETRY_PAUSES = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
)  # s; the pages say only that they grow
MAX_CONCURRENT_ORDERS = 8  # orders that may be under way at once
SYNC_DURATION = (0.001, 0.008)  # s that a write takes to be safe


def build(
    name: str, voters: tuple[str, ...], incarnation: int, stored: dict, kind: type = ConsensusReplica
) -> ConsensusReplica:
    """The one place that makes a controller's core: epoch 1, in which these voters are active."""
    members = {"n": 1, "voters": {voter: f"{voter}'s disk" for voter in voters}, "before": {}}
    return kind(name, f"{name}'s disk", incarnation, stored, members, 1 if name in voters else -1)


@dataclass(frozen=True)
class Site:
    """Who takes part and how the links are: delays one way; the parts of messages that meet an accident."""

    voters: int = 3
    spares: int = 2  # controllers that take calls and don't vote
    delays: tuple[float, float] = (0.0005, 0.06)
    slow: float = 0.0  # s one way on one link; 0 = none is slow
    far: float = 0.0  # s one way on all links of the last controller; 0 = it is no farther than others
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # part that comes up to a second late, overtaken by others
    answers_lost: float = 0.0
    not_receiving: bool = False  # one voter hears no other, and is heard
    not_sending: bool = False  # one voter is heard by none, and hears
    stops: float = 0.0  # mean s between stops of a machine; 0 = none stops


@dataclass
class Order:
    requested: Configuration
    first_at: float
    calls_made: int = 0
    call: int = 0  # the newest call under way
    status: int = 0  # the clear answer, once there is one
    duration: float = 0.0
    last: str = ""  # the controller that it was sent to last
    statuses: list[int] = field(default_factory=list)  # all statuses heard


class Play:
    def __init__(
        self,
        seed: int,
        site: Site = Site(),
        make_replica: Callable = build,
        decide: Callable = apply_configuration,
    ) -> None:
        self.rng, self.site, self.make_replica, self.decide = random.Random(seed), site, make_replica, decide
        self.now, self.count, self.incarnations, self.events = 0.0, 0, 0, []
        self.names = tuple(f"m{k}" for k in range(site.voters + site.spares))
        self.voters = self.names[: site.voters]
        pairs = [(a, b) for a in self.names for b in self.names if a < b]
        self.delay = {pair: self.rng.uniform(*site.delays) for pair in pairs}
        if site.slow:
            self.delay[tuple(sorted(self.rng.sample(self.voters, 2)))] = site.slow
        if site.far:
            self.delay |= dict.fromkeys([(a, b) for a, b in pairs if b == self.names[-1]], site.far)
        self.not_receiving, self.not_sending = (
            set(self.voters[:1] * site.not_receiving),
            set(self.voters[-1:] * site.not_sending),
        )
        self.disks: dict[str, dict] = {name: {} for name in self.names}
        self.write_done_at: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self.last_arrival: dict[tuple[str, str], float] = {}
        self.machines: dict[str, ConsensusReplica] = {}
        self.checked_values: dict[str, Any] = {}
        self.chosen: dict[int, str] = {}  # number: digest, of all that any machine has learned
        self.acknowledged: dict[str, Configuration] = {}  # by digest: answered 200
        self.rejected: dict[str, Configuration] = {}  # by digest: answered 4xx, for good
        self.on_parent: dict[int, str] = {}
        self.orders: list[Order] = []
        for name in self.names:
            self.start(name)
        if site.stops:
            self.call_later(self.rng.expovariate(1 / site.stops), self.stop_one)

    # --- time

    def call_later(self, delay: float, call: Callable, *arguments: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, call, arguments))

    def run(self, until: float, is_done: Callable[[], bool] = lambda: False) -> None:
        while self.events and self.events[0][0] <= until and not is_done():
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        if not is_done():
            self.now = max(self.now, until)

    # --- machines

    def start(self, name: str) -> None:
        self.incarnations += 1
        machine = self.machines[name] = self.make_replica(
            name, self.voters, self.incarnations, dict(self.disks[name])
        )
        self.checked_values.pop(name, None)
        self.call_later(TICK_INTERVAL * self.rng.random(), self.tick, name, machine)

    def stop(self, name: str) -> None:
        self.machines.pop(name, None)

    def stop_one(self) -> None:
        """One machine at a time is away, for up to two seconds."""
        if not self.site.stops:
            return
        name = self.rng.choice(self.names)
        self.stop(name)
        self.call_later(2.0 * self.rng.random(), self.restart, name)

    def restart(self, name: str) -> None:
        self.start(name)
        if self.site.stops:
            self.call_later(self.rng.expovariate(1 / self.site.stops), self.stop_one)

    def tick(self, name: str, machine: ConsensusReplica) -> None:
        if self.machines.get(name) is machine:
            self.apply(name, machine, machine.tick(self.now))
            self.call_later(TICK_INTERVAL, self.tick, name, machine)

    def apply(self, name: str, machine: ConsensusReplica, effects: Effects) -> None:
        if not effects.writes and not effects.facts:
            return self.dispatch(name, machine, effects)
        self.write_done_at[name] = max(self.write_done_at[name], self.now) + self.rng.uniform(*SYNC_DURATION)
        self.call_later(self.write_done_at[name] - self.now, self.written, name, machine, effects)

    def written(self, name: str, machine: ConsensusReplica, effects: Effects) -> None:
        if self.machines.get(name) is not machine:
            return  # it stopped before: the write never came to be
        for register, promised, accepted, value in effects.writes:
            self.disks[name][register] = (promised, accepted, value)
            record_event("write", self.now, name, register, promised, accepted, value)
            machine.mark_durable(register, accepted)
        self.dispatch(name, machine, effects)

    def dispatch(self, name: str, machine: ConsensusReplica, effects: Effects) -> None:
        for peer, message in effects.sends:
            self.send(name, peer, message)
        for tag, outcome in effects.answers:
            if callable(tag):
                tag(outcome)
        self.check_invariants(name, machine)

    def send(self, name: str, peer: str, message: dict) -> None:
        record_event("message", self.now, name, peer, message)
        if peer == name:
            return self.call_later(0.0, self.deliver, name, peer, message)
        site, rng = self.site, self.rng
        if name in self.not_sending or peer in self.not_receiving or rng.random() < site.lost:
            return
        at = self.now + self.delay[min(name, peer), max(name, peer)] * (1 + 0.2 * rng.random())
        at = self.last_arrival[name, peer] = max(
            at, self.last_arrival.get((name, peer), 0.0)
        )  # links keep their order
        self.call_later(at - self.now, self.deliver, name, peer, message)
        if rng.random() < site.doubled or rng.random() < site.late:
            self.call_later(at - self.now + rng.random(), self.deliver, name, peer, message)

    def deliver(self, name: str, peer: str, message: dict) -> None:
        if machine := self.machines.get(peer):
            self.apply(peer, machine, machine.receive(self.now, name, message))

    # --- operators

    def order(self, requested: Configuration, first: str = "") -> Order:
        """Send an order until there is a clear answer."""
        order = Order(requested, self.now)
        self.orders.append(order)
        self.move(order, first or self.rng.choice(self.names))
        return order

    def move(self, order: Order, name: str) -> None:
        order.calls_made, order.call, order.last = order.calls_made + 1, order.call + 1, name
        self.call_later(self.operator_delay(), self.deliver_order, order, order.call, name)
        self.call_later(CALLER_TIMEOUT, self.retry, order, order.call)

    def operator_delay(self) -> float:
        return self.rng.uniform(0.0005, 0.01)

    def deliver_order(self, order: Order, call: int, name: str) -> None:
        machine = self.machines.get(name)
        if machine is None:
            return self.call_later(
                self.operator_delay(), self.on_status, order, call, 503
            )  # a dead port resets

        def on_outcome(outcome: tuple[int, str] | None) -> None:
            record_event("answer", self.now, name, order.requested.revision, outcome)
            status = outcome[0] if outcome else 503
            self.answered(order.requested, status)
            if self.rng.random() >= self.site.answers_lost:
                self.call_later(self.operator_delay(), self.on_status, order, call, status)

        if known := final_answer(order.requested, machine.value(CONFIG), self.decide):
            return on_outcome(known)
        change = lambda current: self.decide(order.requested, current)  # noqa: E731
        self.apply(name, machine, machine.propose(self.now, CONFIG, change, on_outcome, CALL_TIMEOUT))

    def on_status(self, order: Order, call: int, status: int) -> None:
        if order.status or call != order.call:
            return
        order.statuses.append(status)
        if status == 503:
            return self.retry(order, call)
        order.status, order.duration = status, self.now - order.first_at

    def retry(self, order: Order, call: int) -> None:
        """Nothing clear: to another controller after a pause."""
        if order.status or call != order.call:
            return
        order.call += 1
        pause = RETRY_PAUSES[min(order.calls_made - 1, len(RETRY_PAUSES) - 1)]
        others = [name for name in self.names if name != order.last]
        self.call_later(pause * self.rng.uniform(0.5, 1.0), self.move, order, self.rng.choice(others))

    def read(self, name: str) -> list:
        """Read back at a controller; what was read, once it is there."""
        found, least = [], max((e.revision for e in self.acknowledged.values()), default=0)
        machine = self.machines.get(name)

        def on_outcome(outcome: list | None) -> None:
            record_event("read", self.now, name, outcome)
            if outcome is None:
                return
            number = outcome[0]["n"] if outcome[0] else 0
            found.append(number)
            if number < least:
                raise RuleViolation(f"r{least} was acknowledged, and r{number} was read back after")

        if machine:
            change = lambda current: (None, [current])  # noqa: E731
            self.apply(name, machine, machine.propose(self.now, CONFIG, change, on_outcome, CALL_TIMEOUT))
        return found

    # --- judges

    def answered(self, requested: Configuration, status: int) -> None:
        digest = requested.digest
        if status == 200:
            self.acknowledged[digest] = requested
            if self.on_parent.setdefault(requested.parent_revision, digest) != digest:
                other = self.on_parent[requested.parent_revision]
                raise RuleViolation(f"{digest} and {other} acknowledged on r{requested.parent_revision}")
            self.check_in_force(requested.revision, digest)
        elif status != 503:
            self.rejected[digest] = requested
        if digest in self.rejected and (
            digest in self.acknowledged or self.chosen.get(requested.revision) == digest
        ):
            raise RuleViolation(f"{digest} was refused, and was taken")

    def check_in_force(self, number: int, digest: str) -> None:
        if self.chosen.setdefault(number, digest) != digest:
            raise RuleViolation(f"r{number} is {digest} and {self.chosen[number]}")
        if digest in self.rejected:
            raise RuleViolation(f"{digest} was refused, and is in force")

    def check_invariants(self, name: str, machine: ConsensusReplica) -> None:
        """What a machine has learned, against what was answered."""
        value = machine.value(CONFIG)
        if value is None or self.checked_values.get(name) is value:
            return
        self.checked_values[name], past = value, value["past"]
        for number, digest in past.items():
            self.check_in_force(int(number), digest)
        for digest, requested in self.acknowledged.items():
            if value.get("forgotten", 0) < requested.revision <= value["n"]:
                if past.get(str(requested.revision)) != digest:
                    raise RuleViolation(
                        f"{digest} was acknowledged as r{requested.revision}, and is not in force"
                    )

    def newest_version(self) -> int:
        return max(self.chosen, default=0)

    def check_when_recovered(self, span: float = 20.0) -> None:
        """No more accidents: in this many s every order has a clear answer, or none can be known any more;
        then a read at each controller brings all that was acknowledged.
        """
        self.site = Site(self.site.voters, self.site.spares, self.site.delays)
        self.not_receiving, self.not_sending = set(), set()
        for name in self.names:
            if name not in self.machines:
                self.start(name)
        self.run(self.now + span)
        value = max((m.value(CONFIG) for m in self.machines.values()), key=lambda v: v["n"] if v else 0)
        for order in self.orders:
            if not order.status and order.requested.revision > value.get("forgotten", 0):
                raise RuleViolation(f"{order.requested.digest} has no clear answer: {order.statuses}")
        for name in self.names:
            found = self.read(name)
            self.run(self.now + 5.0, lambda found=found: found)
            if not found:
                raise RuleViolation(f"nothing is read back at {name}")


def start_play(
    seed: int, site: Site, make_replica: Callable = build, decide: Callable = apply_configuration
) -> Play:
    """The first configuration is taken, however often it must be sent."""
    play = Play(seed, site, make_replica, decide)
    first = play.order(configuration(1, 0, "first"))
    play.run(60.0, lambda: first.status)
    if first.status != 200:
        raise RuleViolation(f"the first configuration is not taken: {first.statuses}")
    return play


def storm(
    seed: int, voters: int, make_replica: Callable = build, decide: Callable = apply_configuration
) -> Play:
    """Up to eight orders at once amid accidents, most on what is newest; some on older versions or on such as
    are not there yet; numbers alike; orders of long ago sent again.
    """
    accidents = {"lost": 0.05, "doubled": 0.05, "late": 0.05, "answers_lost": 0.2, "stops": 1.5}
    play = start_play(seed, Site(voters, **accidents), make_replica, decide)
    rng = play.rng
    for turn in range(10):
        newest = play.newest_version()
        early = [order.requested for order in play.orders if order.requested.parent_revision == newest]
        for requested in early[:1]:  # its parent was not there yet; now it is
            play.order(requested)
        for k in range(1 + rng.randrange(MAX_CONCURRENT_ORDERS - 1)):
            kind, digest = rng.random(), f"{turn}.{k}"
            if kind < 0.25:
                play.order(rng.choice(play.orders).requested)
            elif kind < 0.35:
                play.order(configuration(newest + 1 + rng.randrange(2), rng.randrange(newest), digest))
            elif kind < 0.45:
                play.order(configuration(newest + 2 + rng.randrange(2), newest + 1, digest))
            else:
                play.order(configuration(newest + 1 + rng.randrange(2), newest, digest))
            play.run(play.now + 0.1 * rng.random())
        for _ in range(4):
            play.read(rng.choice(play.names))
            play.run(play.now + 0.5 * rng.random())
    play.check_when_recovered()
    return play


def long_day(seed: int, voters: int, changes: int, decide: Callable = apply_configuration) -> Play:
    """Hundreds of changes one on the other, answers lost, and orders of all the day sent again."""
    site = Site(voters, delays=(0.0005, 0.005), answers_lost=0.1)
    play = start_play(seed, site, decide=decide)
    for number in range(2, changes + 2):
        order = play.order(configuration(number, number - 1, f"m{number}"))
        if sum(not one.status for one in play.orders) < MAX_CONCURRENT_ORDERS:
            play.order(play.rng.choice(play.orders).requested)
        play.run(play.now + 20.0, lambda: order.status)  # noqa: B023
    play.check_when_recovered()
    return play


def readers(seed: int, voters: int, make_replica: Callable = build) -> Play:
    """One change after the other at controllers that lie near each other, and reads without a pause at one
    far away: what was acknowledged amid a read's round must be in the reads that were put after it.
    """
    play = start_play(seed, Site(voters, delays=(0.0005, 0.005), far=0.1), make_replica)
    for number in range(2, 22):
        order = play.order(configuration(number, number - 1, f"m{number}"), play.names[0])
        rest = play.now + 0.3 * play.rng.random()  # a far controller's rounds come through in between
        while not order.status or play.now < rest:
            play.read(play.names[-1])
            play.run(play.now + 0.03 * play.rng.random())
    play.check_when_recovered()
    return play


def concurrent_orders(
    seed: int, site: Site, slots: int = 4, spread: bool = True, make_replica: Callable = build
) -> list[float]:
    """Eight orders at once on one version, at all controllers or (not spread) at one, in each of some slots:
    s from an order's first call to its clear answer.
    """
    play = start_play(seed, site, make_replica)
    for slot in range(slots):
        play.run(play.now + 1.0)
        newest, first, orders = play.newest_version(), play.rng.randrange(len(play.names)), []
        for k in range(MAX_CONCURRENT_ORDERS):
            name = play.names[(first + k * spread) % len(play.names)]
            orders.append(play.order(configuration(newest + 1 + k // 2, newest, f"{slot}.{k}"), name))
            play.run(play.now + 0.02 * play.rng.random())
        play.run(play.now + 60.0, lambda: all(order.status for order in orders))  # noqa: B023
        if sorted(order.status for order in orders) != [200, *[412] * (MAX_CONCURRENT_ORDERS - 1)]:
            raise RuleViolation(f"of eight on r{newest}: {[order.status for order in orders]}")
    return [order.duration for order in play.orders[1:]]
