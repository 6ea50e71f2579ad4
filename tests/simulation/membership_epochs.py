"""Whole controllers in one process, from a seed: the shell's own code over a network, disks and a clock
made here. Messages are late, doubled, lost and cut one way; power, disks and machines are lost, leave by plan
and come new, within what `Tolerance` allows. Judges look at whatever a controller learns or answers.
"""

import dataclasses
import heapq
import random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from bramblewood.common.settings import Bounds, Settings, Tolerance
from bramblewood.controller import quorum_io, runtime, server
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.consensus.effects import no_effects
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.consensus.replica import ConsensusReplica
from tests.simulation.consensus import RuleViolation, configuration
from tests.simulation.digests import record_event

BOUNDS = Bounds()
TURN_INTERVAL = 0.1  # s between the turns of a controller
DIAL_INTERVAL = 0.5  # s between attempts to reach another
SILENT_LOG = SimpleNamespace(info=lambda *_, **__: None, error=lambda *_, **__: None)
READ_TIMEOUT = BOUNDS.AckS
ORDERED_KINDS = {"pulse"}  # kinds that are lost with their link only, as on one connection


# --- machines


class SimulatedConnections:
    """The connections of one controller, as its parts use them."""

    def __init__(self, world: "ControllerFleet", controller: "SimulatedController") -> None:
        self.world, self.controller, self.connected, self.kept = world, controller, {}, {}

    def maintain(self, peer: str, port: int) -> None:
        self.kept.setdefault(peer, 0.0)

    def send(self, peer: str, message: dict) -> None:
        if peer in self.connected:
            self.world.send(self.controller, peer, message)

    def drop(self, peer: str) -> None:
        if self.connected.pop(peer, None):
            self.kept[peer] = self.world.now + DIAL_INTERVAL
            self.controller.controller_peers.connection_changed(peer, False)

    def dial(self) -> None:
        here = self.controller.name
        for peer, at in self.kept.items():
            if peer not in self.connected and self.world.now >= at:
                self.kept[peer] = self.world.now + DIAL_INTERVAL
                if self.world.reach(here, peer) and self.world.reach(peer, here):
                    there = self.world.machines[peer]
                    self.connected[peer] = SimpleNamespace(
                        close=lambda peer=peer: self.drop(peer), there=there
                    )
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
            mock.patch.object(runtime.logs, "start_logging", lambda _: SILENT_LOG),
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
            {*settings.seed_hosts(), *self.consensus.voters, *self.disk["facts"].get("archives", ())}
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
        if self.name in self.world.dead_disks:
            done("refused")
            return
        rejected = self.name in self.world.refusing and self.world.rng.random() < 0.4
        if not rejected or self.world.rng.random() < 0.2:  # a refused write may be there all the same
            keep(self.disk, write)
        done("refused" if rejected else None)

    def turn(self) -> None:
        now = self.world.now
        self.runtime.peer_connections.dial()
        self.quorum_io.execute(self.consensus.tick(now))
        self.quorum_io.probe_failing_disk(now)
        self.voter_changes.propose_due_change(now)
        self.controller_peers.send_due_heartbeats(now)
        if self.voter_changes.may_shut_down(now):
            self.world.ended(self)


def keep(disk: dict, write: tuple) -> None:
    rows, facts = write
    record_event("write", rows, facts)
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
        self.dead_disks: set[str] = set()  # that refuse every write
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
        record_event("message", self.now, sender.name, peer, message)
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
        machine, link = self.machines.get(peer), sender.runtime.peer_connections.connected.get(peer)
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
        requested = configuration(max(self.number, parent + 1), parent, digest or f"{name}{self.number}")
        self.number = requested.revision
        self.put_again(name, requested)
        return requested

    def put_again(self, name: str, requested: Any) -> None:
        def on_outcome(outcome: Any) -> None:
            record_event("answer", self.now, name, requested.revision, outcome)
            if outcome is not None:
                (self.acknowledged if outcome[0] == 200 else self.rejected)[requested.digest] = requested

        if name in self.machines and name not in self.frozen_until:
            self.machines[name].quorum_io.propose(
                CONFIG, lambda current: apply_configuration(requested, current), on_outcome, 0.85
            )

    def read(self, name: str) -> list:
        """Ask for what stands; what was acknowledged before must be there. The answers so far."""
        acknowledged, found = dict(self.acknowledged), []

        def on_outcome(outcome: Any) -> None:
            record_event("read", self.now, name, outcome)
            if outcome is None:
                return
            past = outcome[0]["past"] if outcome[0] else {}
            for digest, requested in acknowledged.items():
                if past.get(str(requested.revision)) != digest:
                    raise RuleViolation(
                        f"{digest} was acknowledged as r{requested.revision}, and a reader gets {past}"
                    )
            found.append(past)

        self.machines[name].quorum_io.propose(CONFIG, lambda current: (None, [current]), on_outcome, 0.85)
        return found

    def check_reader_answered(self, why: str) -> None:
        """A machine that is not lost answers a reader within AckS."""
        names = [name for name in self.machines if name not in self.away]
        self.reads += 1
        until, found = self.now + READ_TIMEOUT, []
        while not found:
            if self.now >= until:
                raise RuleViolation(f"no majority answers: {why}; away {sorted(self.away)}; {self.summary()}")
            if names := [name for name in names if name in self.machines]:
                found = self.read(self.rng.choice(names))
            self.advance(0.9)

    def summary(self) -> dict:
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
