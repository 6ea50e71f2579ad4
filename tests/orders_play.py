"""Operators and whole archives in one process on a virtual clock: orders sent to any archive, answers lost on
their way, orders sent again with growing pauses, links with delays, messages lost, doubled and late, machines
that stop and return with their disks. Judges look after every step. All from a seed; times in seconds.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from bramblewood.archive.accession import final_answer, succeed
from bramblewood.archive.ballots import CONFIG, Ballots, Out
from bramblewood.catalogue.edition import Edition

from .core_play import Broken, edition
from .sameness import note

CALL_WITHIN, TICK = 0.85, 0.1  # the shell's: archive/program.py
SILENCE = 1.0  # s after which a caller goes to another manager; PROTOCOL, "The operator"
PAUSES = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # s between an operator's moves; the pages say only that they grow
EIGHT = 8  # orders that may be under way at once
SYNC = (0.001, 0.008)  # s that a write takes to be safe


def build(name: str, voters: tuple[str, ...], life: int, stored: dict, kind: type = Ballots) -> Ballots:
    """The one place that makes an archive's core: epoch 1, in which these voters are active."""
    members = {"n": 1, "voters": {voter: f"{voter}'s disk" for voter in voters}, "before": {}}
    return kind(name, f"{name}'s disk", life, stored, members, 1 if name in voters else -1)


@dataclass(frozen=True)
class Site:
    """Who takes part and how the links are: delays one way; the parts of messages that meet an accident."""

    voters: int = 3
    spares: int = 2  # archives that take calls and don't vote
    delays: tuple[float, float] = (0.0005, 0.06)
    slow: float = 0.0  # s one way on one link; 0 = none is slow
    far: float = 0.0  # s one way on all links of the last archive; 0 = it is no farther than others
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # part that comes up to a second late, overtaken by others
    answers_lost: float = 0.0
    deaf: bool = False  # one voter hears no other, and is heard
    mute: bool = False  # one voter is heard by none, and hears
    stops: float = 0.0  # mean s between stops of a machine; 0 = none stops


@dataclass
class Order:
    wanted: Edition
    first_at: float
    moves: int = 0
    call: int = 0  # the newest call under way
    status: int = 0  # the clear answer, once there is one
    took: float = 0.0
    last: str = ""  # the archive that it was sent to last
    met: list[int] = field(default_factory=list)  # all statuses heard


class Play:
    def __init__(
        self, seed: int, site: Site = Site(), make: Callable = build, follow: Callable = succeed
    ) -> None:
        self.dice, self.site, self.make, self.follow = random.Random(seed), site, make, follow
        self.now, self.count, self.lives, self.due = 0.0, 0, 0, []
        self.names = tuple(f"m{k}" for k in range(site.voters + site.spares))
        self.voters = self.names[: site.voters]
        pairs = [(a, b) for a in self.names for b in self.names if a < b]
        self.delay = {pair: self.dice.uniform(*site.delays) for pair in pairs}
        if site.slow:
            self.delay[tuple(sorted(self.dice.sample(self.voters, 2)))] = site.slow
        if site.far:
            self.delay |= dict.fromkeys([(a, b) for a, b in pairs if b == self.names[-1]], site.far)
        self.deaf, self.mute = set(self.voters[:1] * site.deaf), set(self.voters[-1:] * site.mute)
        self.disks: dict[str, dict] = {name: {} for name in self.names}
        self.writing: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self.arrived: dict[tuple[str, str], float] = {}
        self.machines: dict[str, Ballots] = {}
        self.known: dict[str, Any] = {}
        self.chosen: dict[int, str] = {}  # number: digest, of all that any machine has learned
        self.taken: dict[str, Edition] = {}  # by digest: answered 200
        self.refused: dict[str, Edition] = {}  # by digest: answered 4xx, for good
        self.on_parent: dict[int, str] = {}
        self.orders: list[Order] = []
        for name in self.names:
            self.start(name)
        if site.stops:
            self.after(self.dice.expovariate(1 / site.stops), self.accident)

    # --- time

    def after(self, delay: float, call: Callable, *told: Any) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + delay, self.count, call, told))

    def run(self, until: float, enough: Callable[[], bool] = lambda: False) -> None:
        while self.due and self.due[0][0] <= until and not enough():
            self.now, _, call, told = heapq.heappop(self.due)
            call(*told)
        if not enough():
            self.now = max(self.now, until)

    # --- machines

    def start(self, name: str) -> None:
        self.lives += 1
        machine = self.machines[name] = self.make(name, self.voters, self.lives, dict(self.disks[name]))
        self.known.pop(name, None)
        self.after(TICK * self.dice.random(), self.tick, name, machine)

    def stop(self, name: str) -> None:
        self.machines.pop(name, None)

    def accident(self) -> None:
        """One machine at a time is away, for up to two seconds."""
        if not self.site.stops:
            return
        name = self.dice.choice(self.names)
        self.stop(name)
        self.after(2.0 * self.dice.random(), self.back, name)

    def back(self, name: str) -> None:
        self.start(name)
        if self.site.stops:
            self.after(self.dice.expovariate(1 / self.site.stops), self.accident)

    def tick(self, name: str, machine: Ballots) -> None:
        if self.machines.get(name) is machine:
            self.carry(name, machine, machine.tick(self.now))
            self.after(TICK, self.tick, name, machine)

    def carry(self, name: str, machine: Ballots, out: Out) -> None:
        if not out.writes and not out.facts:
            return self.dispatch(name, machine, out)
        self.writing[name] = max(self.writing[name], self.now) + self.dice.uniform(*SYNC)
        self.after(self.writing[name] - self.now, self.written, name, machine, out)

    def written(self, name: str, machine: Ballots, out: Out) -> None:
        if self.machines.get(name) is not machine:
            return  # it stopped before: the write never came to be
        for register, promised, accepted, value in out.writes:
            self.disks[name][register] = (promised, accepted, value)
            note("write", self.now, name, register, promised, accepted, value)
            machine.stored(register, accepted)
        self.dispatch(name, machine, out)

    def dispatch(self, name: str, machine: Ballots, out: Out) -> None:
        for peer, message in out.sends:
            self.send(name, peer, message)
        for tag, outcome in out.answers:
            if callable(tag):
                tag(outcome)
        self.judge(name, machine)

    def send(self, name: str, peer: str, message: dict) -> None:
        note("message", self.now, name, peer, message)
        if peer == name:
            return self.after(0.0, self.deliver, name, peer, message)
        site, dice = self.site, self.dice
        if name in self.mute or peer in self.deaf or dice.random() < site.lost:
            return
        at = self.now + self.delay[min(name, peer), max(name, peer)] * (1 + 0.2 * dice.random())
        at = self.arrived[name, peer] = max(at, self.arrived.get((name, peer), 0.0))  # links keep their order
        self.after(at - self.now, self.deliver, name, peer, message)
        if dice.random() < site.doubled:
            self.after(at - self.now + dice.random(), self.deliver, name, peer, message)
        elif dice.random() < site.late:
            self.after(at - self.now + dice.random(), self.deliver, name, peer, message)

    def deliver(self, name: str, peer: str, message: dict) -> None:
        if machine := self.machines.get(peer):
            self.carry(peer, machine, machine.hear(self.now, name, message))

    # --- operators

    def order(self, wanted: Edition, first: str = "") -> Order:
        """Send an order until there is a clear answer."""
        order = Order(wanted, self.now)
        self.orders.append(order)
        self.move(order, first or self.dice.choice(self.names))
        return order

    def move(self, order: Order, name: str) -> None:
        order.moves, order.call, order.last = order.moves + 1, order.call + 1, name
        self.after(self.way(), self.arrive, order, order.call, name)
        self.after(SILENCE, self.again, order, order.call)

    def way(self) -> float:
        return self.dice.uniform(0.0005, 0.01)

    def arrive(self, order: Order, call: int, name: str) -> None:
        machine = self.machines.get(name)
        if machine is None:
            return self.after(self.way(), self.heard, order, call, 503)  # a dead port resets

        def told(outcome: tuple[int, str] | None) -> None:
            note("answer", self.now, name, order.wanted.number, outcome)
            status = outcome[0] if outcome else 503
            self.answered(order.wanted, status)
            if self.dice.random() >= self.site.answers_lost:
                self.after(self.way(), self.heard, order, call, status)

        if known := final_answer(order.wanted, machine.value(CONFIG), self.follow):
            return told(known)
        change = lambda stands: self.follow(order.wanted, stands)  # noqa: E731
        self.carry(name, machine, machine.propose(self.now, CONFIG, change, told, CALL_WITHIN))

    def heard(self, order: Order, call: int, status: int) -> None:
        if order.status or call != order.call:
            return
        order.met.append(status)
        if status == 503:
            return self.again(order, call)
        order.status, order.took = status, self.now - order.first_at

    def again(self, order: Order, call: int) -> None:
        """Nothing clear: to another archive after a pause."""
        if order.status or call != order.call:
            return
        order.call += 1
        pause = PAUSES[min(order.moves - 1, len(PAUSES) - 1)]
        others = [name for name in self.names if name != order.last]
        self.after(pause * self.dice.uniform(0.5, 1.0), self.move, order, self.dice.choice(others))

    def read(self, name: str) -> list:
        """Read back at an archive; what was read, once it is there."""
        found, least = [], max((e.number for e in self.taken.values()), default=0)
        machine = self.machines.get(name)

        def told(outcome: list | None) -> None:
            note("read", self.now, name, outcome)
            if outcome is None:
                return
            number = outcome[0]["n"] if outcome[0] else 0
            found.append(number)
            if number < least:
                raise Broken(f"r{least} was acknowledged, and r{number} was read back after")

        if machine:
            change = lambda stands: (None, [stands])  # noqa: E731
            self.carry(name, machine, machine.propose(self.now, CONFIG, change, told, CALL_WITHIN))
        return found

    # --- judges

    def answered(self, wanted: Edition, status: int) -> None:
        mark = wanted.digest
        if status == 200:
            self.taken[mark] = wanted
            if self.on_parent.setdefault(wanted.parent, mark) != mark:
                raise Broken(f"{mark} and {self.on_parent[wanted.parent]} acknowledged on r{wanted.parent}")
            self.stands(wanted.number, mark)
        elif status != 503:
            self.refused[mark] = wanted
        if mark in self.refused and (mark in self.taken or self.chosen.get(wanted.number) == mark):
            raise Broken(f"{mark} was refused, and was taken")

    def stands(self, number: int, mark: str) -> None:
        if self.chosen.setdefault(number, mark) != mark:
            raise Broken(f"r{number} is {mark} and {self.chosen[number]}")
        if mark in self.refused:
            raise Broken(f"{mark} was refused, and is in force")

    def judge(self, name: str, machine: Ballots) -> None:
        """What a machine has learned, against what was answered."""
        value = machine.value(CONFIG)
        if value is None or self.known.get(name) is value:
            return
        self.known[name], past = value, value["past"]
        for number, mark in past.items():
            self.stands(int(number), mark)
        for mark, wanted in self.taken.items():
            if value.get("forgotten", 0) < wanted.number <= value["n"]:
                if past.get(str(wanted.number)) != mark:
                    raise Broken(f"{mark} was acknowledged as r{wanted.number}, and is not in force")

    def newest(self) -> int:
        return max(self.chosen, default=0)

    def calm(self, span: float = 20.0) -> None:
        """No more accidents: in this many s every order has a clear answer, or none can be known any more;
        then a read at each archive brings all that was acknowledged.
        """
        self.site = Site(self.site.voters, self.site.spares, self.site.delays)
        self.deaf, self.mute = set(), set()
        for name in self.names:
            if name not in self.machines:
                self.start(name)
        self.run(self.now + span)
        value = max((m.value(CONFIG) for m in self.machines.values()), key=lambda v: v["n"] if v else 0)
        for order in self.orders:
            if not order.status and order.wanted.number > value.get("forgotten", 0):
                raise Broken(f"{order.wanted.digest} has no clear answer: {order.met}")
        for name in self.names:
            found = self.read(name)
            self.run(self.now + 5.0, lambda found=found: found)
            if not found:
                raise Broken(f"nothing is read back at {name}")


def begun(seed: int, site: Site, make: Callable = build, follow: Callable = succeed) -> Play:
    """The first configuration is taken, however often it must be sent."""
    play = Play(seed, site, make, follow)
    first = play.order(edition(1, 0, "first"))
    play.run(60.0, lambda: first.status)
    if first.status != 200:
        raise Broken(f"the first configuration is not taken: {first.met}")
    return play


def storm(seed: int, voters: int, make: Callable = build, follow: Callable = succeed) -> Play:
    """Up to eight orders at once amid accidents, most on what is newest; some on older versions or on such as
    are not there yet; numbers alike; orders of long ago sent again.
    """
    accidents = {"lost": 0.05, "doubled": 0.05, "late": 0.05, "answers_lost": 0.2, "stops": 1.5}
    play = begun(seed, Site(voters, **accidents), make, follow)
    dice = play.dice
    for turn in range(10):
        newest = play.newest()
        early = [order.wanted for order in play.orders if order.wanted.parent == newest]
        for wanted in early[:1]:  # its parent was not there yet; now it is
            play.order(wanted)
        for k in range(1 + dice.randrange(EIGHT - 1)):
            kind, mark = dice.random(), f"{turn}.{k}"
            if kind < 0.25:
                play.order(dice.choice(play.orders).wanted)
            elif kind < 0.35:
                play.order(edition(newest + 1 + dice.randrange(2), dice.randrange(newest), mark))
            elif kind < 0.45:
                play.order(edition(newest + 2 + dice.randrange(2), newest + 1, mark))
            else:
                play.order(edition(newest + 1 + dice.randrange(2), newest, mark))
            play.run(play.now + 0.1 * dice.random())
        for _ in range(4):
            play.read(dice.choice(play.names))
            play.run(play.now + 0.5 * dice.random())
    play.calm()
    return play


def long_day(seed: int, voters: int, changes: int, follow: Callable = succeed) -> Play:
    """Hundreds of changes one on the other, answers lost, and orders of all the day sent again."""
    play = begun(seed, Site(voters, delays=(0.0005, 0.005), answers_lost=0.1), follow=follow)
    for number in range(2, changes + 2):
        order = play.order(edition(number, number - 1, f"m{number}"))
        if sum(not one.status for one in play.orders) < EIGHT:
            play.order(play.dice.choice(play.orders).wanted)
        play.run(play.now + 20.0, lambda: order.status)  # noqa: B023
    play.calm()
    return play


def readers(seed: int, voters: int, make: Callable = build) -> Play:
    """One change after the other at archives that lie near each other, and reads without a pause at one far
    away: what was acknowledged amid a read's ballot must be in the reads that were put after it.
    """
    play = begun(seed, Site(voters, delays=(0.0005, 0.005), far=0.1), make)
    for number in range(2, 22):
        order = play.order(edition(number, number - 1, f"m{number}"), play.names[0])
        rest = play.now + 0.3 * play.dice.random()  # a far archive's ballots come through in between
        while not order.status or play.now < rest:
            play.read(play.names[-1])
            play.run(play.now + 0.03 * play.dice.random())
    play.calm()
    return play


def eight(seed: int, site: Site, slots: int = 4, spread: bool = True, make: Callable = build) -> list[float]:
    """Eight orders at once on one version, at all archives or (not spread) at one, in each of some slots: s
    from an order's first call to its clear answer.
    """
    play = begun(seed, site, make)
    for slot in range(slots):
        play.run(play.now + 1.0)
        newest, first, orders = play.newest(), play.dice.randrange(len(play.names)), []
        for k in range(EIGHT):
            name = play.names[(first + k * spread) % len(play.names)]
            orders.append(play.order(edition(newest + 1 + k // 2, newest, f"{slot}.{k}"), name))
            play.run(play.now + 0.02 * play.dice.random())
        play.run(play.now + 60.0, lambda: all(order.status for order in orders))  # noqa: B023
        if sorted(order.status for order in orders) != [200, *[412] * (EIGHT - 1)]:
            raise Broken(f"of eight on r{newest}: {[order.status for order in orders]}")
    return [order.took for order in play.orders[1:]]


# --- guards taken out, one each


class Hasty(Ballots):
    """Counts one voter less than a majority."""

    @property
    def majority(self) -> int:
        return super().majority - 1


class Trusting(Ballots):
    """Takes the newest value that it is told of for chosen, though a minority may hold it."""

    def promised(self, now: float, peer: str, message: dict, out: Out) -> None:
        round = self.current(message)
        if round and round.promises and "v" in message:
            best, value = max(
                [*round.promises.values(), (tuple(message["a"]), message["v"])], key=lambda t: t[0]
            )
            round.promises = dict.fromkeys(round.promises, (best, value))
            message = {**message, "a": best, "v": value}
        super().promised(now, peer, message, out)


class Pushing(Ballots):
    """Leaves the way to nobody."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self.contention.busy = lambda now, register: False


class Latecomers(Pushing):
    """Lets changes into a ballot that were put after it began; pushing, as no rule may rest on waits."""

    def promised(self, now: float, peer: str, message: dict, out: Out) -> None:
        if round := self.current(message):
            round.carried = list(self.rounds[round.register])
        super().promised(now, peer, message, out)


class Singly(Ballots):
    """One change in a ballot."""

    def begin(self, now: float, round: Any, out: Out) -> None:
        round.carried = round.carried[:1]
        super().begin(now, round, out)


FEW = partial(succeed, kept=6)  # storms forget what hundreds of changes would


def forgetful(wanted: Edition, stands: dict | None) -> tuple:
    """Refuses what it no longer knows."""
    return FEW(wanted, {**stands, "forgotten": 0} if stands else None)


def unrepeated(wanted: Edition, stands: dict | None) -> tuple:
    """Does not know an order again."""
    known = stands and wanted.digest in stands["past"].values()
    return (None, (412, "")) if known else FEW(wanted, stands)


def by_number(wanted: Edition, stands: dict | None) -> tuple:
    """Knows an order by its number alone."""
    known = stands and str(wanted.number) in stands["past"]
    return (None, (200, "")) if known else FEW(wanted, stands)


def unwritten(wanted: Edition, stands: dict | None) -> tuple:
    """Refuses an order whose parent may still come without writing that down."""
    following, told = FEW(wanted, stands)
    return (following if told[0] == 200 else None), told


def parentless(wanted: Edition, stands: dict | None) -> tuple:
    """Does not look at the parent."""
    fresh = stands and wanted.number > stands["n"]
    return FEW(wanted._replace(parent=stands["n"]) if fresh else wanted, stands)
