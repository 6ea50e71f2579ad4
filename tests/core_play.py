"""Several archives' ballots in one process, from a seed: messages in any order, lost and doubled, disks that
keep only what was synced, machines that stop, return and lose their disks. Judges look after every step.
"""

import random
from typing import Any

from bramblewood.archive.accession import succeed
from bramblewood.archive.ballots import ALL, CONFIG, MEMBERS, NONE, Ballots, Out, succession
from bramblewood.catalogue.edition import Edition
from tests.sameness import note

NAMES = ("a", "b", "c")


def edition(number: int, parent: int, mark: str) -> Edition:
    return Edition(number, parent, mark, {}, {}, {}, {"Revision": f"r{number}", "mark": mark})


class Broken(AssertionError):
    """A judge's word."""


class Unkept(Ballots):
    """A voter that only learns what was chosen while it was away."""

    def learn(self, now, register, ballot, value, out) -> None:
        if ballot > self.learned[register][0]:
            self.learned[register] = (ballot, value)
            if register == MEMBERS:
                self.adopt(now, value, out)


class Unnamed(Ballots):
    """Goes on in no seat of any disk, so that an old disk waits until its seat has its name."""

    @property
    def named(self) -> bool:
        return self.voters.get(self.me) == self.disk


class Whoever(Ballots):
    """Goes on in a seat of any disk even with an empty disk."""

    @property
    def named(self) -> bool:
        return self.member


class Core:
    def __init__(
        self, seed: int, careless: bool = False, kind: type = Ballots, any_disk: bool = False
    ) -> None:
        """careless: a machine whose disk was lost goes by the name of its old disk, as it must not. any_disk:
        the disks knew no epochs, so the seats are of any disk at first.
        """
        self.dice, self.careless, self.now, self.lives = random.Random(seed), careless, 0.0, 0
        self.kind = kind
        members = {"n": 1, "voters": {name: "" if any_disk else f"{name}0" for name in NAMES}, "before": {}}
        self.disks: dict[str, dict] = {
            name: {"disk": f"{name}0", "members": members, "held": 1} for name in NAMES
        }
        self.machines: dict[str, Ballots] = {}
        self.writes: dict[str, list[Out]] = {name: [] for name in NAMES}
        self.wire: list[tuple[str, str, dict]] = []
        self.taken: dict[str, Edition] = {}  # by mark: answered 200
        self.refused: dict[str, Edition] = {}  # by mark: answered 4xx, for good
        self.past: dict[str, str] = {}  # number: mark, of all that any machine has learned
        for name in NAMES:
            self.start(name)

    # --- machines

    def start(self, name: str) -> None:
        disk, self.lives = self.disks[name], self.lives + 1
        disk.setdefault("disk", f"{name}{self.lives}")
        self.machines[name] = self.kind(
            name, disk["disk"], self.lives, disk.get("registers"), disk.get("members"), disk.get("held", -1)
        )

    def stop(self, name: str) -> None:
        """Power lost: what was not synced is gone, and what was on its way from here was sent or not."""
        self.machines.pop(name, None)
        self.writes[name].clear()

    def wipe(self, name: str) -> None:
        self.stop(name)
        kept = ("disk", "members", "held") if self.careless else ()
        self.disks[name] = {fact: self.disks[name][fact] for fact in kept}

    def carry(self, name: str, out: Out) -> None:
        if out.writes or out.facts:
            self.writes[name].append(out)
        else:
            self.dispatch(name, out)

    def sync(self, name: str) -> None:
        """The oldest write of a machine is safe now; what rests on it goes out."""
        out = self.writes[name].pop(0)
        disk = self.disks[name]
        for register, promised, accepted, value in out.writes:
            disk.setdefault("registers", {})[register] = (promised, accepted, value)
            note("write", self.now, name, register, promised, accepted, value)
            self.machines[name].stored(register, accepted)
        disk.update(out.facts)
        note("facts", self.now, name, out.facts)
        self.dispatch(name, out)

    def dispatch(self, name: str, out: Out) -> None:
        self.wire += [(name, peer, message) for peer, message in out.sends]
        for peer, message in out.sends:
            note("message", self.now, name, peer, message)
        for tag, outcome in out.answers:
            note("answer", self.now, name, outcome)
            if isinstance(tag, Edition) and outcome is not None:
                (self.taken if outcome[0] == 200 else self.refused)[tag.digest] = tag
        self.judge()

    # --- events

    def deliver(self, place: int) -> None:
        sender, peer, message = self.wire.pop(place)
        if peer in self.machines:
            self.carry(peer, self.machines[peer].hear(self.now, sender, message))

    def put(self, name: str, wanted: Edition) -> None:
        change = lambda stands: succeed(wanted, stands)  # noqa: E731
        self.carry(name, self.machines[name].propose(self.now, CONFIG, change, wanted, 2.0))

    def tick(self, after: float) -> None:
        self.now += after
        for name in list(self.machines):
            self.tell_epochs(name)
            self.carry(name, self.machines[name].tick(self.now))
            self.mend(name)

    def tell_epochs(self, name: str) -> None:
        """As pulses do: others hear which set of voters is known here, and what is safe on this disk."""
        machine = self.machines[name]
        mine, durable = machine.members, machine.durable[CONFIG]
        if machine.voting and durable != NONE and self.dice.random() < 0.2:
            told = {"k": "accepted", "r": CONFIG, "b": durable, "disk": machine.disk}
            self.wire += [(name, peer, told) for peer in self.machines if peer != name]
        behind = [peer for peer, machine in self.machines.items() if machine.epoch < mine["n"]]
        self.wire += [(name, peer, {"k": "epoch", "m": mine}) for peer in behind]

    def mend(self, name: str) -> None:
        """As archives do: a voter that is back with another disk gets its seat anew, one change at a time."""
        machine = self.machines[name]
        for peer, disk in machine.voters.items():
            if not machine.voting or peer not in self.machines or machine.rounds[MEMBERS]:
                continue
            if (here := self.machines[peer].disk) != disk and self.machines[peer].epoch == machine.epoch:
                change = succession(machine.members, {**machine.voters, peer: here})
                self.carry(name, machine.propose(self.now, MEMBERS, change, "members", 2.0))

    def run(self, steps: int, lose: float = 0.0, double: float = 0.0) -> None:
        """Play on in an order drawn from the seed."""
        for _ in range(steps):
            synced = [name for name in NAMES if self.writes[name]]
            if synced and self.dice.random() < 0.3:
                self.sync(self.dice.choice(synced))
            elif self.wire and self.dice.random() < 0.9:
                place = self.dice.randrange(len(self.wire))
                if self.dice.random() < double:
                    self.wire.append(self.wire[place])
                if self.dice.random() < lose:
                    self.wire.pop(place)
                else:
                    self.deliver(place)
            else:
                self.tick(0.01 + 0.1 * self.dice.random())

    def quiet(self) -> None:
        """Six seconds in which nothing is lost."""
        for _ in range(60):
            for name in NAMES:
                while self.writes[name]:
                    self.sync(name)
            while self.wire:
                self.deliver(0)
            self.tick(0.1)

    def calm(self) -> Any:
        """All machines up, nothing lost: the value that a reader gets."""
        for name in NAMES:
            if name not in self.machines:
                self.start(name)
        found: list = []
        self.quiet()
        read = lambda stands: (None, found.append(stands))  # noqa: E731
        self.carry("b", self.machines["b"].propose(self.now, CONFIG, read, "read", 5.0))
        for _ in range(200):
            while self.wire:
                self.deliver(0)
            for name in NAMES:
                while self.writes[name]:
                    self.sync(name)
            self.tick(0.05)
        if not found:
            raise Broken("calm, and no majority answers a reader")
        return found[-1]

    # --- judges

    def judge(self) -> None:
        for machine in self.machines.values():
            value = machine.value(CONFIG)
            for number, mark in (value["past"] if value else {}).items():
                if self.past.setdefault(number, mark) != mark:
                    raise Broken(f"r{number} is {mark} here and {self.past[number]} there")
                if mark in self.refused:
                    raise Broken(f"{mark} was refused, and is in force")

    def end(self) -> None:
        """What a reader gets at the end holds all that was acknowledged and nothing that was refused."""
        value = self.calm()
        self.judge()
        past = value["past"] if value else {}
        for mark, wanted in self.taken.items():
            if past.get(str(wanted.number)) != mark:
                raise Broken(
                    f"{mark} was acknowledged as r{wanted.number}, which is {past.get(str(wanted.number))}"
                )
        for mark, wanted in self.refused.items():
            if past.get(str(wanted.number)) == mark:
                raise Broken(f"{mark} was refused, and is in force")


def caught_up(kind: type = Ballots) -> bool:
    """Whether a voter that was away as a version was chosen holds it on disk soon after."""
    core = Core(1, kind=kind)
    core.stop("c")
    core.put("a", edition(1, 0, "first"))
    core.quiet()
    core.start("c")
    core.quiet()
    return "first" in core.taken and CONFIG in core.disks["c"].get("registers", {})


def kept_as_it_joined() -> bool:
    """Whether a voter that learned a version of an epoch before it was active there holds it afterwards."""
    before, ballot, value = {name: f"{name}0" for name in NAMES}, (2, 1, "a", 1), {"n": 1, "past": {}}
    machine = Ballots("b", "b1", 1, members={"n": 2, "voters": {**before, "b": "b1"}, "before": before})
    machine.hear(0.0, "a", {"k": "chosen", "r": CONFIG, "b": ballot, "v": value})
    machine.tick(0.1)
    for peer in ("a", "c"):  # as they held epoch 1
        regs = {name: {"a": NONE, "v": None} for name in ALL}
        told = {"k": "state", "e": 2, "held": 1, "disk": f"{peer}0", "regs": regs}
        machine.hear(0.2, peer, told)
    return machine.voting and machine.acceptors[CONFIG].accepted == ballot


def goes_on_empty(kind: type = Ballots) -> bool:
    """Whether a disk that came back empty to a seat of any disk asks for what the epoch holds."""
    core = Core(1, kind=kind, any_disk=True)
    core.wipe("b")
    core.start("b")
    core.carry("b", core.machines["b"].hear(0.0, "a", {"k": "epoch", "m": core.machines["a"].members}))
    core.sync("b")
    return any(sender == "b" and message["k"] == "join" for sender, _, message in core.wire)


def storm(seed: int, **how: Any) -> Core:
    """Changes from two operators on the same version, at any machine, amid losses, stops and a lost disk."""
    core = Core(seed, **how)
    dice, parent, number = core.dice, 0, 0

    def changes() -> None:
        nonlocal number
        for mark in ("left", "right"):
            number += 1 + dice.randrange(2)
            wanted = edition(number, parent, f"{mark}{number}")
            for _ in range(1 + dice.randrange(2)):  # an unclear call is repeated unchanged, to any
                core.put(dice.choice(list(core.machines)), wanted)
                core.run(dice.randrange(25), 0.1, 0.05)

    for _ in range(5):
        changes()
        down = dice.choice(NAMES)  # one at a time: a machine that lost its disk is away until it votes again
        (core.wipe if dice.random() < 0.5 else core.stop)(down)
        if dice.random() < 0.5:
            core.run(dice.randrange(40), 0.1, 0.05)
        if dice.random() < 0.5:
            changes()
        core.start(down)
        changes()
        for _ in range(1000):  # one loss at a time: the next comes once the seat is taken again
            core.run(10)
            if all(machine.voting for machine in core.machines.values()):
                break
        else:
            raise Broken("a machine that is back does not vote again")
        parent = max((m.value(CONFIG)["n"] for m in core.machines.values() if m.value(CONFIG)), default=0)
    core.end()
    return core
