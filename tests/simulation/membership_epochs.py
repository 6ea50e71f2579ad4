"""Whole controllers in one process, from a seed: the shell's own code over a network, disks and a clock
made here. Messages are late, doubled, lost and cut one way; power, disks and machines are lost, leave by plan
and come new, within what `Tolerance` allows. Judges look at whatever a controller learns or answers.
"""

import contextlib
import dataclasses
import functools
import heapq
import random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from bramblewood.common.settings import Bounds, Settings, Tolerance
from bramblewood.controller import quorum_io, runtime, server, voter_changes
from bramblewood.controller.commands import apply_configuration
from bramblewood.controller.consensus import epochs, local_member
from bramblewood.controller.consensus.effects import PendingWrites, no_effects
from bramblewood.controller.consensus.epochs import EpochTransition
from bramblewood.controller.consensus.local_member import LocalMember
from bramblewood.controller.consensus.peer_status import PeerStatus
from bramblewood.controller.consensus.proposer import Proposer
from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import next_voter_set
from tests.simulation.consensus import RuleViolation, configuration

BOUNDS = Bounds()
TURN_INTERVAL = 0.1  # s between the turns of a controller
DIAL_INTERVAL = 0.5  # s between attempts to reach another
SILENT_LOG = SimpleNamespace(info=lambda *_, **__: None, error=lambda *_, **__: None)
READ_TIMEOUT = BOUNDS.AckS
ORDERED_KINDS = {"pulse"}  # kinds that are lost with their link only, as on one connection


# --- what is taken out, to see that it is found out


def without_epochs(play: Any) -> Any:
    """Proposals of an earlier or later epoch count like those of one's own."""
    receive = ConsensusReplica.receive

    def careless(self: ConsensusReplica, now: float, peer: str, message: dict) -> Any:
        if message["k"] in ("prepare", "accept") and self.is_active_voter:
            member, voter_set = self.member, self.voter_set
            member.voter_set = {**voter_set, "n": tuple(message["b"])[0]}
            member.active_epoch = self.epoch
            effects = receive(self, now, peer, message)
            member.voter_set, member.active_epoch = voter_set, voter_set["n"]
            return effects
        return receive(self, now, peer, message)

    return mock.patch.object(ConsensusReplica, "receive", careless)


def without_disks(play: Any) -> Any:
    """A member is known by its address alone, whatever disk came back there."""
    stack = contextlib.ExitStack()
    for module in (local_member, epochs):
        by_address = lambda voters, address, disk: address in voters  # noqa: E731
        stack.enter_context(mock.patch.object(module, "is_voter", by_address))
    has_seat = property(lambda self: self.address in self.voters)
    stack.enter_context(mock.patch.object(LocalMember, "holds_seat", has_seat))
    return stack


def too_few_seals(play: Any) -> Any:
    """One seal less than a majority makes a voter active."""
    try_activate = EpochTransition.try_activate

    def careless(self: EpochTransition, now: float, effects: Any) -> bool:
        with mock.patch.object(epochs, "majority", lambda voters: max(1, len(voters) // 2)):
            return try_activate(self, now, effects)

    return mock.patch.object(EpochTransition, "try_activate", careless)


def carried_counts_as_chosen(play: Any) -> Any:
    """A value that all of a majority hold counts as chosen, also where it was only carried there."""
    return mock.patch.object(
        Proposer,
        "is_already_chosen",
        lambda self, number, round: all(
            promise.proposal_number == number for promise in round.promises.values()
        ),
    )


def seal_only_in_memory(play: Any) -> Any:
    """A seal's answer does not wait until the seal is on disk."""
    on_join_epoch = EpochTransition.on_join_epoch

    def careless(self: EpochTransition, now: float, peer: str, request: Any, effects: Any) -> None:
        on_join_epoch(self, now, peer, request, effects)
        effects.facts.pop("members", None)

    return mock.patch.object(EpochTransition, "on_join_epoch", careless)


def unused_seats_do_not_seal(play: Any) -> Any:
    """The seal of a voter that was never active in the epoch before does not count."""
    try_activate = EpochTransition.try_activate

    def careless(self: EpochTransition, now: float, effects: Any) -> bool:
        reports, before = self.join.reports, self.member.epoch - 1
        self.join.reports = {peer: one for peer, one in reports.items() if one.active_epoch >= before}
        return try_activate(self, now, effects)

    return mock.patch.object(EpochTransition, "try_activate", careless)


def votes_before_active(play: Any) -> Any:
    """A member votes from the moment it knows that it is one."""
    return mock.patch.object(LocalMember, "is_active_voter", property(lambda self: self.is_member))


def heard_counts_as_active(play: Any) -> Any:
    """A voter that is heard counts as active, in whatever epoch: sets change, leavers go, too soon."""
    return mock.patch.object(PeerStatus, "is_active_in", lambda peer, voter_set, address: True)


def no_rollback_check(play: Any) -> Any:
    """Nobody minds an older state of a disk."""
    return mock.patch.object(ConsensusReplica, "check_disk_rollback", lambda *_: no_effects())


def shuts_down_at_once(play: Any) -> Any:
    """A controller ends on SIGTERM, whoever holds what it holds."""
    return mock.patch.object(voter_changes, "may_shut_down", lambda *_: True)


def refused_rows_forgotten(play: Any) -> Any:
    """A refused write's rows don't come again with the fact that speaks of them."""
    return mock.patch.object(
        PendingWrites,
        "prepare_write",
        lambda self, out: (self.facts.update(out.facts), (out.writes, dict(self.facts)))[1],
    )


GUARDS = {
    "epochs of proposals": without_epochs,
    "disks of members": without_disks,
    "a majority of seals": too_few_seals,
    "what was carried is not chosen": carried_counts_as_chosen,
    "seals on disk": seal_only_in_memory,
    "seals of unused seats": unused_seats_do_not_seal,
    "voting once active": votes_before_active,
    "who counts as active": heard_counts_as_active,
    "a rolled-back disk is detected": no_rollback_check,
    "leaving once others hold it": shuts_down_at_once,
    "rows with their fact": refused_rows_forgotten,
}


def without_guard(guard: str) -> contextlib.AbstractContextManager:
    return GUARDS[guard](None) if guard else contextlib.nullcontext()


# --- machines


class SimulatedConnections:
    """The connections of one controller, as its parts use them."""

    def __init__(self, world: "ControllerFleet", controller: "SimulatedController") -> None:
        self.world, self.controller, self.up, self.kept = world, controller, {}, {}

    def keep(self, peer: str, port: int) -> None:
        self.kept.setdefault(peer, 0.0)

    def send(self, peer: str, message: dict) -> None:
        if peer in self.up:
            self.world.send(self.controller, peer, message)

    def drop(self, peer: str) -> None:
        if self.up.pop(peer, None):
            self.kept[peer] = self.world.now + DIAL_INTERVAL
            self.controller.controller_peers.connection_changed(peer, False)

    def dial(self) -> None:
        here = self.controller.name
        for peer, at in self.kept.items():
            if peer not in self.up and self.world.now >= at:
                self.kept[peer] = self.world.now + DIAL_INTERVAL
                if self.world.reach(here, peer) and self.world.reach(peer, here):
                    there = self.world.machines[peer]
                    self.up[peer] = SimpleNamespace(close=lambda peer=peer: self.drop(peer), there=there)
                    there.controller_peers.add(here)
                    self.controller.controller_peers.connection_changed(peer, True)


class SimulatedController(server.Controller):
    """A controller without sockets, threads and workers; consensus and voter changes are its own code."""

    def __init__(self, world: "ControllerFleet", name: str, zone: str, first: bool) -> None:
        seeded_os = SimpleNamespace(urandom=lambda n: world.rng.randbytes(n))
        self.world, self.name, self.gone = world, name, False
        self.checked_value: Any = None  # the newest value that the judges have looked at
        settings = Settings(name, name, zone, (1, 2), world.seeds, first, "/d", 1.5, {}, 2**28, 99, BOUNDS)
        settings = dataclasses.replace(settings, tolerance=Tolerance(world.losses))
        with (
            mock.patch.object(quorum_io, "os", seeded_os),
            mock.patch.object(runtime.logs, "begin", lambda _: SILENT_LOG),
        ):
            super().__init__(settings)
            self.disk = world.disks[name]
            self.quorum_io.restore(self.disk["facts"], dict(self.disk["rows"]))
        self.shutdown_requested, self.waiting = False, []
        self.runtime.peer_connections = SimulatedConnections(world, self)
        self.runtime.loop = SimpleNamespace(time=lambda: world.now, call_soon=self.soon)
        self.runtime.shutdown_requested = SimpleNamespace(is_set=lambda: self.shutdown_requested)
        self.runtime.started_at = world.now
        self.quorum_io.storage = self
        self.chosen_values.refresh = self.quorum_io.on_progress = lambda: world.check_invariants(self)
        self.proxy_heartbeats.send = lambda now: None  # there are no proxies
        self.quorum_io.execute(no_effects())
        for peer in sorted(
            {*settings.seed_ips(), *self.consensus.voters, *self.disk["facts"].get("archives", ())}
        ):
            self.controller_peers.add(peer)

    @property
    def consensus(self) -> ConsensusReplica:
        return self.quorum_io.consensus

    def soon(self, call: Any, *what: Any) -> None:
        self.world.after(0.0, lambda: self.gone or call(*what))

    def write(self, rows: list, facts: dict, done: Any) -> None:
        """As the storage's: one after the other, each safe or refused after a while."""
        self.waiting.append((rows, facts))
        after = self.world.rng.uniform(0.002, 0.02)
        self.free_at = max(getattr(self, "free_at", 0.0), self.world.now) + after
        self.world.at(self.free_at, lambda: self.gone or self.synced(done))

    def synced(self, done: Any) -> None:
        write = self.waiting.pop(0)
        rejected = self.name in self.world.refusing and self.world.rng.random() < 0.4
        if not rejected or self.world.rng.random() < 0.2:  # a refused write may be there all the same
            keep(self.disk, write)
        done("refused" if rejected else None)

    def turn(self) -> None:
        now = self.world.now
        self.runtime.peer_connections.dial()
        self.quorum_io.execute(self.consensus.tick(now))
        self.voter_changes.propose_due_change(now)
        self.controller_peers.send_due_heartbeats(now)
        if self.voter_changes.may_shut_down(now):
            self.world.ended(self)


def keep(disk: dict, write: tuple) -> None:
    rows, facts = write
    disk["rows"].update({row[0]: row[1:] for row in rows})
    disk["facts"].update(facts)


# --- the world


class ControllerFleet:
    def __init__(self, seed: int, voters: int = 3, spares: int = 1, founding: bool = False) -> None:
        """founding: it starts with empty disks at its first boot; else in epoch 1, with machines named."""
        self.rng, self.now, self.losses = random.Random(seed), 0.0, voters // 2
        names = [f"m{number}" for number in range(voters + spares)]
        self.seeds = tuple(f"{name}:1" for name in names[:3])
        self.events, self.order, self.last = [], 0, {}
        self.machines, self.disks, self.refusing, self.cuts, self.frozen_until = {}, {}, set(), set(), {}
        self.loss = self.duplication = self.lateness = 0.0
        self.acknowledged, self.rejected, self.sets, self.past = {}, {}, {}, {}
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

    def advance(self, seconds: float) -> None:
        self.run(self.now + seconds)

    # --- the network

    def reach(self, one: str, other: str) -> bool:
        return {one, other} <= self.machines.keys() and (one, other) not in self.cuts

    def send(self, sender: SimulatedController, peer: str, message: dict) -> None:
        rng = self.rng
        if message["k"] not in ORDERED_KINDS and rng.random() < self.loss:
            return
        for _ in range(1 + (message["k"] not in ORDERED_KINDS and rng.random() < self.duplication)):
            after = rng.uniform(0.002, 0.02)
            if message["k"] in ORDERED_KINDS:
                when = self.last[sender.name, peer] = max(
                    self.now + after, self.last.get((sender.name, peer), 0.0)
                )
            else:
                when = self.now + after + (rng.random() < self.lateness) * rng.uniform(0.0, 3.0)
            self.at(when, lambda: self.deliver(sender, peer, message))

    def deliver(self, sender: SimulatedController, peer: str, message: dict) -> None:
        machine, link = self.machines.get(peer), sender.runtime.peer_connections.up.get(peer)
        if machine is None:
            return
        if link is not None and link.there is not machine and not sender.gone:
            sender.runtime.peer_connections.drop(
                peer
            )  # it has started anew, and knows nothing of the old connection
            if message["k"] in ORDERED_KINDS:
                return
        if (sender.name, peer) in self.cuts:
            if message["k"] in ORDERED_KINDS and "members" in message:
                sender.sessions.forget_sent_details(peer)  # said again on the next link
            return
        if peer in self.frozen_until:
            self.at(self.frozen_until[peer], lambda: self.deliver(sender, peer, message))
            return
        machine.peer_handlers.handle_message(SimpleNamespace(peer=sender.name), message)

    # --- machines

    def start(self, name: str, first: bool = False) -> None:
        zone = f"z{int(name[1:]) % 3}"
        machine = self.machines[name] = SimulatedController(self, name, zone, first)

        def turn() -> None:
            if machine.gone:
                return
            if name in self.frozen_until:
                self.at(self.frozen_until[name], turn)
                return
            machine.turn()
            self.after(TURN_INTERVAL, turn)

        self.after(self.rng.uniform(0.0, TURN_INTERVAL), turn)

    def lose_power(self, name: str) -> None:
        """Power lost: of the writes on their way, the first few are there, and nobody was told."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.gone = True
            for write in machine.waiting[: self.rng.randrange(len(machine.waiting) + 1)]:
                keep(machine.disk, write)
            self.disks[name] = machine.disk

    def ended(self, machine: SimulatedController) -> None:
        """By plan: what was to be written is written."""
        for write in machine.waiting:
            keep(machine.disk, write)
        machine.waiting = []
        self.lose_power(machine.name)

    def lose_disk(self, name: str) -> None:
        self.lose_power(name)
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

    def put(self, name: str, digest: str = "", parent: int | None = None) -> Any:
        """An operator's order on what is in force there; its answer goes to the judges."""
        machine = self.machines[name]
        self.number += 1 + self.rng.randrange(2)
        parent = machine.consensus.version(CONFIG) if parent is None else parent
        wanted = configuration(max(self.number, parent + 1), parent, digest or f"{name}{self.number}")
        self.number = wanted.number
        self.put_again(name, wanted)
        return wanted

    def put_again(self, name: str, wanted: Any) -> None:
        def told(outcome: Any) -> None:
            if outcome is not None:
                (self.acknowledged if outcome[0] == 200 else self.rejected)[wanted.digest] = wanted

        if name in self.machines and name not in self.frozen_until:
            self.machines[name].quorum_io.propose(
                CONFIG, lambda stands: apply_configuration(wanted, stands), told, 0.85
            )

    def read(self, name: str) -> list:
        """Ask for what stands; what was acknowledged before must be there. The answers so far."""
        acknowledged, found = dict(self.acknowledged), []

        def told(outcome: Any) -> None:
            if outcome is None:
                return
            past = outcome[0]["past"] if outcome[0] else {}
            for digest, wanted in acknowledged.items():
                if past.get(str(wanted.number)) != digest:
                    raise RuleViolation(
                        f"{digest} was acknowledged as r{wanted.number}, and a reader gets {past}"
                    )
            found.append(past)

        self.machines[name].quorum_io.propose(CONFIG, lambda stands: (None, [stands]), told, 0.85)
        return found

    def check_reader_answered(self, why: str) -> None:
        """A machine that is not lost answers a reader within AckS."""
        names = [name for name in self.machines if name not in self.away]
        self.reads += 1
        until, found = self.now + READ_TIMEOUT, []
        while not found:
            if self.now >= until:
                raise RuleViolation(f"no majority answers: {why}; away {sorted(self.away)}; {self.told()}")
            if names := [name for name in names if name in self.machines]:
                found = self.read(self.rng.choice(names))
            self.advance(0.9)

    def told(self) -> dict:
        return {
            name: (
                m.consensus.epoch,
                m.consensus.active_epoch,
                m.consensus.is_active_voter,
                sorted(m.consensus.voters),
            )
            for name, m in self.machines.items()
        }

    def check_invariants(self, machine: SimulatedController) -> None:
        members = machine.consensus.voter_set
        if members["n"] and self.sets.setdefault(members["n"], members) != members:
            raise RuleViolation(f"two sets of epoch {members['n']}: {members} and {self.sets[members['n']]}")
        value = machine.consensus.value(CONFIG)
        if value is None or machine.checked_value is value:
            return
        machine.checked_value = value
        for number, digest in value["past"].items():
            if self.past.setdefault(number, digest) != digest:
                raise RuleViolation(f"r{number} is {digest} here and {self.past[number]} there")
            if digest in self.rejected:
                raise RuleViolation(f"{digest} was refused, and is in force")


# --- days by dice


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
                wanted = world.put(first, parent=parent)
                if self.rng.random() < 0.5:
                    world.put(second, parent=parent)
                if self.rng.random() < 0.3:
                    again = functools.partial(world.put_again, second, wanted)
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
