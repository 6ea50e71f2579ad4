"""Days of faults and orders, drawn from a seed, over a fleet of simulated controllers: machines lose power or
disks, leave by plan, are cut off, frozen and replaced, within what `Tolerance` allows.
"""

import functools
import heapq
from typing import Any

from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.voter_set import next_voter_set
from tests.simulation.membership_epoch_guards import without_guard
from tests.simulation.membership_epochs import BOUNDS, ControllerFleet


class FaultDay:
    """One world over a few rounds of faults, orders sent all the while."""

    def __init__(self, seed: int, voters: int, spares: int, founding: bool, older: int = 0) -> None:
        """older: how often, among the losses, an older state of a disk comes back; beyond the pages."""
        self.world, self.older = ControllerFleet(seed, voters, spares, founding), older
        self.rng, self.counts = self.world.rng, {}
        self.world.loss, self.world.duplication, self.world.lateness = 0.03, 0.03, 0.03

    def orders(self, seconds: float) -> None:
        """Time goes on, and operators send orders, often two on one parent, some twice."""
        world, until = self.world, self.world.now + seconds
        while world.now < until:
            names = list(world.machines)
            if names:
                first, second = self.rng.choice(names), self.rng.choice(names)
                parent = world.machines[first].consensus.version(CONFIG)
                requested = world.put(first, parent=parent)
                if self.rng.random() < 0.5:
                    world.put(second, parent=parent)
                if self.rng.random() < 0.3:
                    again = functools.partial(world.put_again, second, requested)
                    world.after(self.rng.uniform(0.0, 2.0), again)
            world.run(min(until, world.now + self.rng.uniform(0.05, 0.6)))

    def fault(self, name: str) -> Any:
        """One loss of this machine; what brings it back, or makes its successor."""
        world, rng = self.world, self.rng
        kind = rng.choice(
            ("power", "power", "disk", "disk", "for good", "plan", "plan", "cut", "in", "out", "freeze")
            + ("older",) * self.older
        )
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "older":
            copy = world.copied(name)
            self.orders(rng.uniform(0.05, 1.0))
            world.lose_power(name)
            world.disks[name] = copy
            return lambda: world.start(name)
        if kind in ("power", "disk"):
            (world.lose_power if kind == "power" else world.lose_disk)(name)
            return lambda: world.start(name)
        if kind in ("for good", "plan"):
            if kind == "plan":
                world.machines[name].shutdown_requested = True
                until = world.now + BOUNDS.GraceS
                while name in world.machines and world.now < until:
                    self.orders(0.2)
            world.lose_disk(name)
            return self.newcomer
        if kind == "freeze":
            world.frozen_until[name] = world.now + 1e9
            return lambda: self.thaw(name)
        world.cut(name, {"cut": "both"}.get(kind, kind))
        return lambda: world.cuts.difference_update({way for way in world.cuts if name in way})

    def thaw(self, name: str) -> None:
        world = self.world
        del world.frozen_until[name]
        lateness = [event for event in world.events if event[0] >= 1e8]
        world.events = [event for event in world.events if event[0] < 1e8]
        heapq.heapify(world.events)
        for _, _, call in lateness:
            world.after(0.0, call)

    def lose_one_at_start(self) -> None:
        """One is lost amid the start, and back soon."""
        self.orders(self.rng.uniform(0.0, 1.5))
        name = self.rng.choice(sorted(self.world.machines))
        (self.world.lose_disk if self.rng.random() < 0.5 else self.world.lose_power)(name)
        self.orders(self.rng.uniform(0.0, 1.0))
        self.world.start(name)

    def newcomer(self) -> None:
        world = self.world
        name = f"m{world.next_name}"
        world.next_name += 1
        world.disks[name] = {"facts": {}, "rows": {}}
        world.seeds = tuple(f"{peer}:1" for peer in list(world.machines)[:3])
        world.start(name)

    def reseat_by_operator(self) -> None:
        """An operator gives a seat to a spare, at times two do at once, and something may strike amid it."""
        world, rng = self.world, self.rng
        for _ in range(1 + (rng.random() < 0.3)):
            machine = world.machines[rng.choice(sorted(world.machines))]
            members, peers = machine.consensus.voter_set, machine.voter_changes.peer_statuses(world.now)
            spares = [name for name in peers if name not in members["voters"]]
            old, new = rng.choice(sorted(members["voters"])), rng.choice(sorted(spares) or [""])
            made = machine.voter_changes.membership.requested_change(
                members, peers, machine.quorum_io.versions(), old, new
            )
            if new and made.is_ok():
                self.counts["swap"] = self.counts.get("swap", 0) + 1
                change = next_voter_set(members, made.ok_value.voters)
                machine.quorum_io.propose(VOTER_SET, change, lambda outcome: None, 1.0)
        world.advance(rng.uniform(0.0, 0.15))

    def leave_then_lose_another(self) -> None:
        """One leaves by plan while a spare is there; right after its end another is lost."""
        world, rng = self.world, self.rng
        voters = next(iter(world.machines.values())).consensus.voters
        if not [name for name in world.machines if name not in voters]:
            return
        leaver, victim = rng.sample(sorted(voters), 2)
        self.counts["relay"] = self.counts.get("relay", 0) + 1
        world.machines[leaver].shutdown_requested = True
        until = world.now + BOUNDS.GraceS
        while leaver in world.machines and world.now < until:
            world.put(rng.choice(sorted(world.machines)))
            world.advance(rng.uniform(0.01, 0.1))
        world.lose_disk(leaver)
        world.lose_disk(victim)
        world.away.update(dict.fromkeys((leaver, victim)))
        self.orders(BOUNDS.ContactS)
        world.check_reader_answered("one left by plan, and another was lost right after")
        world.start(victim)
        self.newcomer()
        self.orders(BOUNDS.CatchUpS)
        world.away.clear()
        world.check_reader_answered("once it had CatchUpS")

    def round(self) -> None:
        world, rng = self.world, self.rng
        if rng.random() < 0.3:
            self.leave_then_lose_another()
        some = rng.sample(sorted(world.machines), 1 + rng.randrange(world.losses))
        if rng.random() < 0.5:
            self.reseat_by_operator()
        world.away.update(dict.fromkeys(some))
        if rng.random() < 0.2:
            world.refusing.update(some)  # counted with the lost: what a refused disk may do is theirs alone
            self.orders(rng.uniform(0.2, 2.0))
        mends = []
        for name in some:
            mends.append(self.fault(name))
            self.orders(rng.uniform(0.0, 0.5))
        if rng.random() < 0.2:
            self.lose_all_power(some)
        self.orders(rng.choice((0.2, 1.0, 3.0, 6.0)))
        if rng.random() < 0.4:
            self.orders(BOUNDS.ContactS)
            world.check_reader_answered("while they are away")
        world.refusing.clear()
        for mend in mends:
            mend()
            self.orders(rng.uniform(0.0, 1.0))
        self.orders(BOUNDS.CatchUpS)
        world.away.clear()
        world.check_reader_answered("once they had CatchUpS")

    def lose_all_power(self, but: list[str]) -> None:
        """All lose power at one moment and are back within a second."""
        names = [name for name in self.world.machines if name not in but]
        self.counts["all"] = self.counts.get("all", 0) + 1
        for name in names:
            self.world.lose_power(name)
        self.world.advance(self.rng.uniform(0.1, 1.0))
        for name in names:
            self.world.start(name)

    def closing_fault(self) -> None:
        """As many disks as tolerated are lost right after an acknowledgement, at times while all others lose
        power.
        """
        world, count = self.world, len(self.world.acknowledged)
        until = world.now + BOUNDS.AckS
        while len(world.acknowledged) == count and world.now < until:
            world.put(self.rng.choice(list(world.machines)))
            world.advance(0.1)
        lost = self.rng.sample(sorted(world.machines), world.losses)
        for name in lost:
            world.lose_disk(name)
        if self.rng.random() < 0.5:
            self.lose_all_power(lost)
        for name in lost:
            world.start(name)
        world.away.update(dict.fromkeys(lost))
        world.advance(BOUNDS.CatchUpS)
        world.check_reader_answered("after the closing fault")
        world.advance(BOUNDS.CatchUpS)
        world.away.clear()
        world.check_reader_answered("at the end")


SHAPES = ((3, 1, False), (3, 1, True), (5, 1, False), (3, 0, False), (3, 2, True), (5, 0, True))


def day(seed: int, rounds: int = 3, guard: str = "", older: int = 0) -> FaultDay:
    with without_guard(guard):
        made = FaultDay(seed, *SHAPES[seed % len(SHAPES)], older)
        if seed % 4 == 1:
            made.lose_one_at_start()
        made.orders(BOUNDS.CatchUpS)
        made.world.check_reader_answered("at the start")
        for _ in range(rounds):
            made.round()
        made.closing_fault()
    return made
