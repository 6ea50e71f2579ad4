"""Whole archives' cores in one process, from a seed: the shell's own code over a network, disks and a clock
made here. Messages are late, doubled, lost and cut one way; power, disks and machines are lost, leave by plan
and come new, within what `Tolerance` allows. Judges look at whatever an archive learns or answers.
"""

import contextlib
import dataclasses
import functools
import heapq
import random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from bramblewood.archive import ballots as core
from bramblewood.archive import membership, program
from bramblewood.archive.accession import succeed
from bramblewood.archive.ballots import CONFIG, Ballots
from bramblewood.catalogue.bootfile import Bounds, Settings, Tolerance
from tests.core_play import Broken, edition
from tests.sameness import note

BOUNDS = Bounds()
TURN = 0.1  # s between the turns of an archive
DIAL = 0.5  # s between tries to reach another
MUTE = SimpleNamespace(info=lambda *_, **__: None, error=lambda *_, **__: None)
READ_WITHIN = BOUNDS.AckS
STREAM = {"pulse"}  # kinds that are lost with their link only, as on one connection


# --- what is taken out, to see that it is found out


def no_epoch(play: Any) -> Any:
    """Ballots of an earlier or later epoch count like those of one's own."""
    hear = Ballots.hear

    def careless(self: Ballots, now: float, peer: str, message: dict) -> Any:
        if message["k"] in ("prepare", "accept") and self.voting:
            sent = self.members
            self.members = {**sent, "n": tuple(message["b"])[0]}
            self.held = self.epoch
            out = hear(self, now, peer, message)
            self.members, self.held = sent, sent["n"]
            return out
        return hear(self, now, peer, message)

    return mock.patch.object(Ballots, "hear", careless)


def no_disk(play: Any) -> Any:
    """A member is known by its address alone, whatever disk came back there."""
    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(core, "belongs", lambda voters, name, disk: name in voters))
    stack.enter_context(mock.patch.object(Ballots, "named", property(lambda self: self.me in self.voters)))
    return stack


def few_seals(play: Any) -> Any:
    """One seal less than a majority makes a voter active."""
    enough = Ballots.enough

    def careless(self: Ballots, now: float, out: Any) -> bool:
        with mock.patch.object(core, "majority", lambda voters: max(1, len(voters) // 2)):
            return enough(self, now, out)

    return mock.patch.object(Ballots, "enough", careless)


def chosen_if_carried(play: Any) -> Any:
    """A value that all of a majority hold counts as chosen, also where it was only carried there."""
    return mock.patch.object(
        Ballots,
        "is_chosen",
        lambda self, best, round: all(ballot == best for ballot, _ in round.promises.values()),
    )


def seal_in_memory(play: Any) -> Any:
    """A seal's answer does not wait until the seal is on disk."""
    asked = Ballots.asked

    def careless(self: Ballots, now: float, peer: str, message: dict, out: Any) -> None:
        asked(self, now, peer, message, out)
        out.facts.pop("members", None)

    return mock.patch.object(Ballots, "asked", careless)


def unused_count_not(play: Any) -> Any:
    """The seal of a voter that was never active in the epoch before does not count."""
    enough = Ballots.enough

    def careless(self: Ballots, now: float, out: Any) -> bool:
        told = self.joining.told
        self.joining.told = {peer: one for peer, one in told.items() if one[0] >= self.epoch - 1}
        return enough(self, now, out)

    return mock.patch.object(Ballots, "enough", careless)


def eager(play: Any) -> Any:
    """A member votes from the moment it knows that it is one."""
    return mock.patch.object(Ballots, "voting", property(lambda self: self.member))


def hasty_change(play: Any) -> Any:
    """A voter that is heard counts as active, in whatever epoch: sets change, leavers go, too soon."""
    return mock.patch.object(membership, "votes_in", lambda peer, members, name: peer is not None)


def older_unseen(play: Any) -> Any:
    """Nobody minds an older state of a disk."""
    return mock.patch.object(Ballots, "reminded", lambda *_: core.nothing())


def leave_at_once(play: Any) -> Any:
    """An archive ends on SIGTERM, whoever holds what it holds."""
    return mock.patch.object(program, "may_leave", lambda *_: True)


def rows_forgotten(play: Any) -> Any:
    """A refused write's rows don't come again with the fact that speaks of them."""
    return mock.patch.object(
        core.Due, "take", lambda self, out: (self.facts.update(out.facts), (out.writes, dict(self.facts)))[1]
    )


GUARDS = {
    "epochs of ballots": no_epoch,
    "disks of members": no_disk,
    "a majority of seals": few_seals,
    "what was carried is not chosen": chosen_if_carried,
    "seals on disk": seal_in_memory,
    "seals of unused seats": unused_count_not,
    "voting once active": eager,
    "who counts as active": hasty_change,
    "older disks are minded": older_unseen,
    "leaving once others hold it": leave_at_once,
    "rows with their fact": rows_forgotten,
}


def without(guard: str) -> contextlib.AbstractContextManager:
    return GUARDS[guard](None) if guard else contextlib.nullcontext()


# --- machines


class Wires:
    """The links of one archive, as its shell uses them."""

    def __init__(self, world: "World", me: "Machine") -> None:
        self.world, self.me, self.up, self.kept = world, me, {}, {}

    def keep(self, peer: str, port: int) -> None:
        self.kept.setdefault(peer, 0.0)

    def send(self, peer: str, message: dict) -> None:
        if peer in self.up:
            self.world.send(self.me, peer, message)

    def drop(self, peer: str) -> None:
        if self.up.pop(peer, None):
            self.kept[peer] = self.world.now + DIAL
            self.me.link_told(peer, False)

    def dial(self) -> None:
        for peer, at in self.kept.items():
            if peer not in self.up and self.world.now >= at:
                self.kept[peer] = self.world.now + DIAL
                if self.world.reach(self.me.me, peer) and self.world.reach(peer, self.me.me):
                    there = self.world.machines[peer]
                    self.up[peer] = SimpleNamespace(close=lambda peer=peer: self.drop(peer), there=there)
                    there.know(self.me.me)
                    self.me.link_told(peer, True)


class Machine(program.Archive):
    """An archive's shell without sockets, threads and workers; ballots, epochs and seats are its own code."""

    def __init__(self, world: "World", name: str, zone: str, first: bool) -> None:
        made = SimpleNamespace(urandom=lambda n: world.dice.randbytes(n))
        self.world, self.gone = world, False
        told = Settings(
            name, name, zone, (1, 2), world.seeds, first, "/d", 1.5, {}, 2**28, 99, BOUNDS
        )
        told = dataclasses.replace(told, tolerance=Tolerance(world.losses))
        with (
            mock.patch.object(program, "os", made),
            mock.patch.object(program.daybook, "begin", lambda _: MUTE),
        ):
            super().__init__(told)
            self.disk = world.disks[name]
            self.begin(self.disk["facts"], dict(self.disk["rows"]))
        self.links, self.shelf, self.waiting = Wires(world, self), self, []
        self.loop = SimpleNamespace(time=lambda: world.now, call_soon=self.soon)
        self.leaving = SimpleNamespace(is_set=lambda: self.told_to_leave)
        self.told_to_leave, self.started = False, world.now
        self.carry(core.nothing())
        for peer in sorted({*told.seed_ips(), *self.ballots.voters, *self.disk["facts"].get("archives", ())}):
            self.know(peer)

    def soon(self, call: Any, *what: Any) -> None:
        self.world.after(0.0, lambda: self.gone or call(*what))

    def write(self, rows: list, facts: dict, done: Any) -> None:
        """As the shelf's: one after the other, each safe or refused after a while."""
        self.waiting.append((rows, facts))
        after = self.world.dice.uniform(0.002, 0.02)
        self.free_at = max(getattr(self, "free_at", 0.0), self.world.now) + after
        self.world.at(self.free_at, lambda: self.gone or self.synced(done))

    def synced(self, done: Any) -> None:
        write = self.waiting.pop(0)
        refused = self.me in self.world.refusing and self.world.dice.random() < 0.4
        if not refused or self.world.dice.random() < 0.2:  # a refused write may be there all the same
            keep(self.disk, write)
        done("refused" if refused else None)

    def turn(self) -> None:
        now = self.world.now
        self.links.dial()
        self.was_scribe = self.sessions.scribe(now, self.whole(now)) == self.me
        self.carry(self.ballots.tick(now))
        self.seats(now)
        if now >= self.pulse_at:
            self.pulse_at = now + program.PULSE
            self.pulse(now)
        if self.may_end(now):
            self.world.ended(self)

    def learned(self) -> None:
        self.world.judge(self)

    def pulse_desks(self, now: float) -> None:
        pass


def keep(disk: dict, write: tuple) -> None:
    rows, facts = write
    note("write", rows, facts)
    disk["rows"].update({row[0]: row[1:] for row in rows})
    disk["facts"].update(facts)


# --- the world


class World:
    def __init__(self, seed: int, voters: int = 3, spares: int = 1, founding: bool = False) -> None:
        """founding: it starts with empty disks at its first boot; else in epoch 1, with machines named."""
        self.dice, self.now, self.losses = random.Random(seed), 0.0, voters // 2
        names = [f"m{number}" for number in range(voters + spares)]
        self.seeds = tuple(f"{name}:1" for name in names[:3])
        self.events, self.order, self.last = [], 0, {}
        self.machines, self.disks, self.refusing, self.cuts, self.frozen = {}, {}, set(), set(), {}
        self.loss = self.double = self.late = 0.0
        self.taken, self.refused, self.sets, self.past = {}, {}, {}, {}
        self.number, self.reads, self.next_name, self.away = 0, 0, len(names), {}
        members = {"n": 1, "voters": {name: f"{name}.0" for name in names[:voters]}, "before": {}}
        for name in names:
            facts = {"disk": f"{name}.0", "members": members, "held": 1 if name in members["voters"] else -1}
            self.disks[name] = {"facts": {} if founding else facts, "rows": {}}
        for name in names:
            self.start(name, founding)

    def at(self, when: float, call: Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (when, self.order, call))

    def after(self, delay: float, call: Any) -> None:
        self.at(self.now + delay, call)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def rest(self, seconds: float) -> None:
        self.run(self.now + seconds)

    # --- the network

    def reach(self, one: str, other: str) -> bool:
        return {one, other} <= self.machines.keys() and (one, other) not in self.cuts

    def send(self, sender: Machine, peer: str, message: dict) -> None:
        note("message", self.now, sender.me, peer, message)
        dice = self.dice
        if message["k"] not in STREAM and dice.random() < self.loss:
            return
        for _ in range(1 + (message["k"] not in STREAM and dice.random() < self.double)):
            after = dice.uniform(0.002, 0.02)
            if message["k"] in STREAM:
                when = self.last[sender.me, peer] = max(
                    self.now + after, self.last.get((sender.me, peer), 0.0)
                )
            else:
                when = self.now + after + (dice.random() < self.late) * dice.uniform(0.0, 3.0)
            self.at(when, lambda: self.deliver(sender, peer, message))

    def deliver(self, sender: Machine, peer: str, message: dict) -> None:
        machine, link = self.machines.get(peer), sender.links.up.get(peer)
        if machine is None:
            return
        if link is not None and link.there is not machine and not sender.gone:
            sender.links.drop(peer)  # it has started anew, and knows nothing of the old connection
            if message["k"] in STREAM:
                return
        if (sender.me, peer) in self.cuts:
            if message["k"] in STREAM and "members" in message:
                sender.sessions.anew(peer)  # said again on the next link
            return
        if peer in self.frozen:
            self.at(self.frozen[peer], lambda: self.deliver(sender, peer, message))
            return
        machine.hear(SimpleNamespace(peer=sender.me), message)

    # --- machines

    def start(self, name: str, first: bool = False) -> None:
        zone = f"z{int(name[1:]) % 3}"
        machine = self.machines[name] = Machine(self, name, zone, first)

        def turn() -> None:
            if machine.gone:
                return
            if name in self.frozen:
                self.at(self.frozen[name], turn)
                return
            machine.turn()
            self.after(TURN, turn)

        self.after(self.dice.uniform(0.0, TURN), turn)

    def power(self, name: str) -> None:
        """Power lost: of the writes on their way, the first few are there, and nobody was told."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.gone = True
            for write in machine.waiting[: self.dice.randrange(len(machine.waiting) + 1)]:
                keep(machine.disk, write)
            self.disks[name] = machine.disk

    def ended(self, machine: Machine) -> None:
        """By plan: what was to be written is written."""
        for write in machine.waiting:
            keep(machine.disk, write)
        machine.waiting = []
        self.power(machine.me)

    def wipe(self, name: str) -> None:
        self.power(name)
        self.disks[name] = {"facts": {}, "rows": {}}

    def copied(self, name: str) -> dict:
        disk = self.disks[name]
        return {"facts": dict(disk["facts"]), "rows": dict(disk["rows"])}

    def cut(self, one: str, way: str = "both") -> None:
        for other in self.disks:
            if other != one:
                self.cuts |= {(one, other)} if way != "in" else set()
                self.cuts |= {(other, one)} if way != "out" else set()

    # --- orders and judges

    def put(self, name: str, mark: str = "", parent: int | None = None) -> Any:
        """An operator's order on what is in force there; its answer goes to the judges."""
        machine = self.machines[name]
        self.number += 1 + self.dice.randrange(2)
        parent = machine.ballots.version(CONFIG) if parent is None else parent
        wanted = edition(max(self.number, parent + 1), parent, mark or f"{name}{self.number}")
        self.number = wanted.number
        self.repeat(name, wanted)
        return wanted

    def repeat(self, name: str, wanted: Any) -> None:
        def told(outcome: Any) -> None:
            note("answer", self.now, name, wanted.number, outcome)
            if outcome is not None:
                (self.taken if outcome[0] == 200 else self.refused)[wanted.digest] = wanted

        if name in self.machines and name not in self.frozen:
            self.machines[name].propose(CONFIG, lambda stands: succeed(wanted, stands), told, 0.85)

    def read(self, name: str) -> list:
        """Ask for what stands; what was acknowledged before must be there. The answers so far."""
        taken, found = dict(self.taken), []

        def told(outcome: Any) -> None:
            note("read", self.now, name, outcome)
            if outcome is None:
                return
            past = outcome[0]["past"] if outcome[0] else {}
            for mark, wanted in taken.items():
                if past.get(str(wanted.number)) != mark:
                    raise Broken(f"{mark} was acknowledged as r{wanted.number}, and a reader gets {past}")
            found.append(past)

        self.machines[name].propose(CONFIG, lambda stands: (None, [stands]), told, 0.85)
        return found

    def answers(self, why: str) -> None:
        """A machine that is not lost answers a reader within AckS."""
        names = [name for name in self.machines if name not in self.away]
        self.reads += 1
        until, found = self.now + READ_WITHIN, []
        while not found:
            if self.now >= until:
                raise Broken(f"no majority answers: {why}; away {sorted(self.away)}; {self.told()}")
            if names := [name for name in names if name in self.machines]:
                found = self.read(self.dice.choice(names))
            self.rest(0.9)

    def told(self) -> dict:
        return {
            name: (m.ballots.epoch, m.ballots.held, m.ballots.voting, sorted(m.ballots.voters))
            for name, m in self.machines.items()
        }

    def judge(self, machine: Machine) -> None:
        members = machine.ballots.members
        if members["n"] and self.sets.setdefault(members["n"], members) != members:
            raise Broken(f"two sets of epoch {members['n']}: {members} and {self.sets[members['n']]}")
        value = machine.ballots.value(CONFIG)
        if value is None or machine.__dict__.get("judged") is value:
            return
        machine.judged = value
        for number, mark in value["past"].items():
            if self.past.setdefault(number, mark) != mark:
                raise Broken(f"r{number} is {mark} here and {self.past[number]} there")
            if mark in self.refused:
                raise Broken(f"{mark} was refused, and is in force")


# --- days by dice


class Day:
    """One world over a few rounds of faults, orders sent all the while."""

    def __init__(self, seed: int, voters: int, spares: int, founding: bool, older: int = 0) -> None:
        """older: how often, among the losses, an older state of a disk comes back; beyond the pages."""
        self.world, self.older = World(seed, voters, spares, founding), older
        self.dice, self.counts = self.world.dice, {}
        self.world.loss, self.world.double, self.world.late = 0.03, 0.03, 0.03

    def orders(self, seconds: float) -> None:
        """Time goes on, and operators send orders, often two on one parent, some twice."""
        world, until = self.world, self.world.now + seconds
        while world.now < until:
            names = list(world.machines)
            if names:
                first, second = self.dice.choice(names), self.dice.choice(names)
                parent = world.machines[first].ballots.version(CONFIG)
                wanted = world.put(first, parent=parent)
                if self.dice.random() < 0.5:
                    world.put(second, parent=parent)
                if self.dice.random() < 0.3:
                    again = functools.partial(world.repeat, second, wanted)
                    world.after(self.dice.uniform(0.0, 2.0), again)
            world.run(min(until, world.now + self.dice.uniform(0.05, 0.6)))

    def fault(self, name: str) -> Any:
        """One loss of this machine; what brings it back, or makes its successor."""
        world, dice = self.world, self.dice
        kind = dice.choice(
            ("power", "power", "disk", "disk", "for good", "plan", "plan", "cut", "in", "out", "freeze")
            + ("older",) * self.older
        )
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "older":
            copy = world.copied(name)
            self.orders(dice.uniform(0.05, 1.0))
            world.power(name)
            world.disks[name] = copy
            return lambda: world.start(name)
        if kind in ("power", "disk"):
            (world.power if kind == "power" else world.wipe)(name)
            return lambda: world.start(name)
        if kind in ("for good", "plan"):
            if kind == "plan":
                world.machines[name].told_to_leave = True
                until = world.now + BOUNDS.GraceS
                while name in world.machines and world.now < until:
                    self.orders(0.2)
            world.wipe(name)
            return self.newcomer
        if kind == "freeze":
            world.frozen[name] = world.now + 1e9
            return lambda: self.thaw(name)
        world.cut(name, {"cut": "both"}.get(kind, kind))
        return lambda: world.cuts.difference_update({way for way in world.cuts if name in way})

    def thaw(self, name: str) -> None:
        world = self.world
        del world.frozen[name]
        late = [event for event in world.events if event[0] >= 1e8]
        world.events = [event for event in world.events if event[0] < 1e8]
        heapq.heapify(world.events)
        for _, _, call in late:
            world.after(0.0, call)

    def early(self) -> None:
        """One is lost amid the start, and back soon."""
        self.orders(self.dice.uniform(0.0, 1.5))
        name = self.dice.choice(sorted(self.world.machines))
        (self.world.wipe if self.dice.random() < 0.5 else self.world.power)(name)
        self.orders(self.dice.uniform(0.0, 1.0))
        self.world.start(name)

    def newcomer(self) -> None:
        world = self.world
        name = f"m{world.next_name}"
        world.next_name += 1
        world.disks[name] = {"facts": {}, "rows": {}}
        world.seeds = tuple(f"{peer}:1" for peer in list(world.machines)[:3])
        world.start(name)

    def swap(self) -> None:
        """An operator gives a seat to a spare, at times two do at once, and something may strike amid it."""
        world, dice = self.world, self.dice
        for _ in range(1 + (dice.random() < 0.3)):
            machine = world.machines[dice.choice(sorted(world.machines))]
            members, peers = machine.ballots.members, machine.peers(world.now)
            spares = [name for name in peers if name not in members["voters"]]
            old, new = dice.choice(sorted(members["voters"])), dice.choice(sorted(spares) or [""])
            made = machine.membership.ordered(members, peers, machine.versions(), old, new)
            if new and made.is_ok():
                self.counts["swap"] = self.counts.get("swap", 0) + 1
                change = core.succession(members, made.ok_value.voters)
                machine.propose(core.MEMBERS, change, lambda outcome: None, 1.0)
        world.rest(dice.uniform(0.0, 0.15))

    def relay(self) -> None:
        """One leaves by plan while a spare is there; right after its end another is lost."""
        world, dice = self.world, self.dice
        voters = next(iter(world.machines.values())).ballots.voters
        if not [name for name in world.machines if name not in voters]:
            return
        leaver, victim = dice.sample(sorted(voters), 2)
        self.counts["relay"] = self.counts.get("relay", 0) + 1
        world.machines[leaver].told_to_leave = True
        until = world.now + BOUNDS.GraceS
        while leaver in world.machines and world.now < until:
            world.put(dice.choice(sorted(world.machines)))
            world.rest(dice.uniform(0.01, 0.1))
        world.wipe(leaver)
        world.wipe(victim)
        world.away.update(dict.fromkeys((leaver, victim)))
        self.orders(BOUNDS.ContactS)
        world.answers("one left by plan, and another was lost right after")
        world.start(victim)
        self.newcomer()
        self.orders(BOUNDS.CatchUpS)
        world.away.clear()
        world.answers("once it had CatchUpS")

    def round(self) -> None:
        world, dice = self.world, self.dice
        if dice.random() < 0.3:
            self.relay()
        some = dice.sample(sorted(world.machines), 1 + dice.randrange(world.losses))
        if dice.random() < 0.5:
            self.swap()
        world.away.update(dict.fromkeys(some))
        if dice.random() < 0.2:
            world.refusing.update(some)  # counted with the lost: what a refused disk may do is theirs alone
            self.orders(dice.uniform(0.2, 2.0))
        mends = []
        for name in some:
            mends.append(self.fault(name))
            self.orders(dice.uniform(0.0, 0.5))
        if dice.random() < 0.2:
            self.all_power(some)
        self.orders(dice.choice((0.2, 1.0, 3.0, 6.0)))
        if dice.random() < 0.4:
            self.orders(BOUNDS.ContactS)
            world.answers("while they are away")
        world.refusing.clear()
        for mend in mends:
            mend()
            self.orders(dice.uniform(0.0, 1.0))
        self.orders(BOUNDS.CatchUpS)
        world.away.clear()
        world.answers("once they had CatchUpS")

    def all_power(self, but: list[str]) -> None:
        """All lose power at one moment and are back within a second."""
        names = [name for name in self.world.machines if name not in but]
        self.counts["all"] = self.counts.get("all", 0) + 1
        for name in names:
            self.world.power(name)
        self.world.rest(self.dice.uniform(0.1, 1.0))
        for name in names:
            self.world.start(name)

    def closing(self) -> None:
        """As many disks as tolerated are lost right after an acknowledgement, at times while all others lose
        power.
        """
        world, count = self.world, len(self.world.taken)
        until = world.now + BOUNDS.AckS
        while len(world.taken) == count and world.now < until:
            world.put(self.dice.choice(list(world.machines)))
            world.rest(0.1)
        lost = self.dice.sample(sorted(world.machines), world.losses)
        for name in lost:
            world.wipe(name)
        if self.dice.random() < 0.5:
            self.all_power(lost)
        for name in lost:
            world.start(name)
        world.away.update(dict.fromkeys(lost))
        world.rest(BOUNDS.CatchUpS)
        world.answers("after the closing fault")
        world.rest(BOUNDS.CatchUpS)
        world.away.clear()
        world.answers("at the end")


SHAPES = ((3, 1, False), (3, 1, True), (5, 1, False), (3, 0, False), (3, 2, True), (5, 0, True))


def day(seed: int, rounds: int = 3, guard: str = "", older: int = 0) -> Day:
    with without(guard):
        made = Day(seed, *SHAPES[seed % len(SHAPES)], older)
        if seed % 4 == 1:
            made.early()
        made.orders(BOUNDS.CatchUpS)
        made.world.answers("at the start")
        for _ in range(rounds):
            made.round()
        made.closing()
    return made
