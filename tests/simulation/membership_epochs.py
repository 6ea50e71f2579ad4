"""A simulation of complete controllers in one process, driven by a seed.

The controllers run their production code on a simulated network, simulated disks and a simulated clock.
Messages are delayed, duplicated and lost, and links fail in one or both directions. Machines lose power,
lose their disks, shut down and are replaced, within what `Tolerance` allows. The fleet checks its invariants
whenever a controller makes progress in consensus, and checks what reads return. A broken invariant raises
RuleViolation.
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
TICK_INTERVAL = 0.1  # s between the ticks of a controller
DIAL_INTERVAL = 0.5  # s between attempts to connect to a peer
SILENT_LOG = SimpleNamespace(info=lambda *_, **__: None, error=lambda *_, **__: None)
READ_TIMEOUT = BOUNDS.AckS  # s
ORDERED_KINDS = {"pulse"}  # kinds of messages that arrive in order and are lost only with their connection


# --- machines


class SimulatedConnections:
    """The connections of one controller to its peers, in place of `PeerConnections`."""

    def __init__(self, fleet: "ControllerFleet", controller: "SimulatedController") -> None:
        self.fleet, self.controller, self.connected, self.next_dial_at = fleet, controller, {}, {}

    def keep_connected(self, peer: str, port: int) -> None:
        self.next_dial_at.setdefault(peer, 0.0)

    def send(self, peer: str, message: dict) -> None:
        if peer in self.connected:
            self.fleet.send(self.controller, peer, message)

    def drop(self, peer: str) -> None:
        if self.connected.pop(peer, None):
            self.next_dial_at[peer] = self.fleet.now + DIAL_INTERVAL
            self.controller.controller_peers.connection_changed(peer, False)

    def dial(self) -> None:
        own_name = self.controller.name
        for peer, due_at in self.next_dial_at.items():
            if peer not in self.connected and self.fleet.now >= due_at:
                self.next_dial_at[peer] = self.fleet.now + DIAL_INTERVAL
                if self.fleet.is_reachable(own_name, peer) and self.fleet.is_reachable(peer, own_name):
                    peer_machine = self.fleet.machines[peer]
                    self.connected[peer] = SimpleNamespace(
                        close=lambda peer=peer: self.drop(peer), machine=peer_machine
                    )
                    peer_machine.controller_peers.add(own_name)
                    self.controller.controller_peers.connection_changed(peer, True)


class SimulatedController(server.Controller):
    """A controller without sockets, threads and workers. It also serves as its own storage.

    Consensus and the changes of the voter set run their production code.
    """

    def __init__(self, fleet: "ControllerFleet", name: str, zone: str, first_boot: bool) -> None:
        seeded_os = SimpleNamespace(urandom=lambda size: fleet.rng.randbytes(size))
        self.fleet, self.name, self.has_stopped = fleet, name, False
        self.checked_value: Any = None  # the newest value that `check_invariants` has checked
        settings = Settings(
            name, name, zone, (1, 2), fleet.seeds, first_boot, "/d", 1.5, {}, 2**28, 99, BOUNDS
        )
        settings = dataclasses.replace(settings, tolerance=Tolerance(fleet.losses))
        with (
            mock.patch.object(quorum_io, "os", seeded_os),
            mock.patch.object(runtime.logs, "start_logging", lambda _: SILENT_LOG),
        ):
            super().__init__(settings)
            self.disk = fleet.disks[name]
            self.quorum_io.restore(self.disk["facts"], dict(self.disk["rows"]))
        self.shutdown_requested, self.writes_in_flight = False, []
        self.runtime.peer_connections = SimulatedConnections(fleet, self)
        self.runtime.loop = SimpleNamespace(time=lambda: fleet.now, call_soon=self.call_soon)
        self.runtime.shutdown_requested = SimpleNamespace(is_set=lambda: self.shutdown_requested)
        self.runtime.started_at = fleet.now
        self.quorum_io.storage = self
        self.chosen_values.refresh = self.quorum_io.on_consensus_step = lambda: fleet.check_invariants(self)
        self.proxy_heartbeats.send = lambda now: None  # there are no proxies
        self.quorum_io.apply_effects(no_effects())
        for peer in sorted(
            {*settings.seed_hosts(), *self.consensus.voters, *self.disk["facts"].get("archives", ())}
        ):
            self.controller_peers.add(peer)

    @property
    def consensus(self) -> ConsensusReplica:
        return self.quorum_io.consensus

    def call_soon(self, callback: Any, *arguments: Any) -> None:
        self.fleet.call_after(0.0, lambda: self.has_stopped or callback(*arguments))

    def write(self, rows: list, facts: dict, on_finished: Any) -> None:
        """Writes to the simulated disk, in place of `Storage.write`.

        Writes finish in their order, each after a random delay. `on_finished` is called with None if the
        disk has taken the write, or with the reason if it has refused the write.
        """
        self.writes_in_flight.append((rows, facts))
        delay = self.fleet.rng.uniform(0.002, 0.02)
        self.disk_idle_at = max(getattr(self, "disk_idle_at", 0.0), self.fleet.now) + delay
        self.fleet.call_at(self.disk_idle_at, lambda: self.has_stopped or self.finish_write(on_finished))

    def finish_write(self, on_finished: Any) -> None:
        write = self.writes_in_flight.pop(0)
        if self.name in self.fleet.failing_disks:
            on_finished("refused")
            return
        is_refused = self.name in self.fleet.refusing_disks and self.fleet.rng.random() < 0.4
        if not is_refused or self.fleet.rng.random() < 0.2:  # a refused write may be durable nevertheless
            store(self.disk, write)
        on_finished("refused" if is_refused else None)

    def tick(self) -> None:
        now = self.fleet.now
        self.runtime.peer_connections.dial()
        self.quorum_io.apply_effects(self.consensus.tick(now))
        self.quorum_io.probe_failing_disk(now)
        self.voter_changes.propose_due_change(now)
        self.controller_peers.send_due_heartbeats(now)
        if self.voter_changes.may_shut_down(now):
            self.fleet.finish_shutdown(self)


def store(disk: dict, write: tuple) -> None:
    """Makes a write durable on this disk."""
    rows, facts = write
    record_event("write", rows, facts)
    disk["rows"].update({row[0]: row[1:] for row in rows})
    disk["facts"].update(facts)


# --- the fleet


class ControllerFleet:
    """The simulated controllers, their disks, the network between them and the clock. All times are in s."""

    def __init__(self, seed: int, voters: int = 3, spares: int = 1, founding: bool = False) -> None:
        """Starts the controllers m0, m1 and so on, of which the first `voters` vote in epoch 1.

        founding: whether all disks are empty and the controllers form the voter set at their first boot.
        """
        # `losses` is the number of controllers that may be lost at a time
        self.rng, self.now, self.losses = random.Random(seed), 0.0, voters // 2
        names = [f"m{number}" for number in range(voters + spares)]
        self.seeds = tuple(f"{name}:1" for name in names[:3])
        self.events, self.event_count, self.last_arrivals = [], 0, {}
        self.machines, self.disks, self.refusing_disks, self.cut_links, self.frozen_until = (
            {},
            {},
            set(),
            set(),
            {},
        )
        # Writes to `refusing_disks` are refused at random, those to `failing_disks` always.
        self.failing_disks: set[str] = set()
        self.loss = self.duplication = self.lateness = 0.0  # probabilities for each message
        # configurations by digest, voter sets by epoch, and the digests of chosen configurations by revision
        self.acknowledged, self.rejected, self.voter_sets, self.versions_seen = {}, {}, {}, {}
        # `lost_machines` has the names of controllers that count as lost, from which no answer is expected
        self.last_revision, self.reads, self.next_number, self.lost_machines = 0, 0, len(names), {}
        voter_set = {"n": 1, "voters": {name: f"{name}.0" for name in names[:voters]}, "before": {}}
        for name in names:
            facts = {
                "disk": f"{name}.0",
                "members": voter_set,
                "held": 1 if name in voter_set["voters"] else -1,
            }
            self.disks[name] = {"facts": {} if founding else facts, "rows": {}}
        for name in names:
            self.start(name, founding)

    def call_at(self, due_at: float, callback: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (due_at, self.event_count, callback))

    def call_after(self, delay: float, callback: Any) -> None:
        self.call_at(self.now + delay, callback)

    def advance_to(self, end: float) -> None:
        """Runs all events up to this time, and sets the clock to it."""
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end

    def advance(self, seconds: float) -> None:
        self.advance_to(self.now + seconds)

    # --- the network

    def is_reachable(self, sender: str, peer: str) -> bool:
        """Returns whether both controllers run and the link in this direction is not cut."""
        return {sender, peer} <= self.machines.keys() and (sender, peer) not in self.cut_links

    def send(self, sender: SimulatedController, peer: str, message: dict) -> None:
        """Schedules the delivery of a message, which may be lost, duplicated or delayed by up to 3 s."""
        record_event("message", self.now, sender.name, peer, message)
        rng = self.rng
        if message["k"] not in ORDERED_KINDS and rng.random() < self.loss:
            return
        for _ in range(1 + (message["k"] not in ORDERED_KINDS and rng.random() < self.duplication)):
            delay = rng.uniform(0.002, 0.02)
            if message["k"] in ORDERED_KINDS:
                due_at = self.last_arrivals[sender.name, peer] = max(
                    self.now + delay, self.last_arrivals.get((sender.name, peer), 0.0)
                )
            else:
                due_at = self.now + delay + (rng.random() < self.lateness) * rng.uniform(0.0, 3.0)
            self.call_at(due_at, lambda: self.deliver(sender, peer, message))

    def deliver(self, sender: SimulatedController, peer: str, message: dict) -> None:
        machine, connection = self.machines.get(peer), sender.runtime.peer_connections.connected.get(peer)
        if machine is None:
            return
        if connection is not None and connection.machine is not machine and not sender.has_stopped:
            # The peer has restarted, which closed the old connection.
            sender.runtime.peer_connections.drop(peer)
            if message["k"] in ORDERED_KINDS:
                return
        if (sender.name, peer) in self.cut_links:
            if message["k"] in ORDERED_KINDS and "members" in message:
                sender.sessions.forget_sent_details(peer)  # the next heartbeat has them again
            return
        if peer in self.frozen_until:
            self.call_at(self.frozen_until[peer], lambda: self.deliver(sender, peer, message))
            return
        machine.peer_handlers.handle_message(SimpleNamespace(peer=sender.name), message)

    # --- machines

    def start(self, name: str, first_boot: bool = False) -> None:
        """Starts a controller from what its disk holds."""
        zone = f"z{int(name[1:]) % 3}"
        machine = self.machines[name] = SimulatedController(self, name, zone, first_boot)

        def tick() -> None:
            if machine.has_stopped:
                return
            if name in self.frozen_until:
                self.call_at(self.frozen_until[name], tick)
                return
            machine.tick()
            self.call_after(TICK_INTERVAL, tick)

        self.call_after(self.rng.uniform(0.0, TICK_INTERVAL), tick)

    def lose_power(self, name: str) -> None:
        """Stops a controller at once. A random number of its oldest writes in flight become durable."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.has_stopped = True
            for write in machine.writes_in_flight[: self.rng.randrange(len(machine.writes_in_flight) + 1)]:
                store(machine.disk, write)
            self.disks[name] = machine.disk

    def finish_shutdown(self, machine: SimulatedController) -> None:
        """Stops a controller that may shut down, after all its writes in flight have become durable."""
        for write in machine.writes_in_flight:
            store(machine.disk, write)
        machine.writes_in_flight = []
        self.lose_power(machine.name)

    def lose_disk(self, name: str) -> None:
        """Stops a controller at once and replaces its disk by an empty one."""
        self.lose_power(name)
        self.disks[name] = {"facts": {}, "rows": {}}

    def disk_copy(self, name: str) -> dict:
        disk = self.disks[name]
        return {"facts": dict(disk["facts"]), "rows": dict(disk["rows"])}

    def cut_off(self, name: str, direction: str = "both") -> None:
        """Cuts the links of a controller to and from all others.

        direction: "in" for the links to the controller, "out" for the links from it, or "both".
        """
        for peer in self.disks:
            if peer != name:
                self.cut_links |= {(name, peer)} if direction != "in" else set()
                self.cut_links |= {(peer, name)} if direction != "out" else set()

    # --- operators and checks

    def put(self, name: str, digest: str = "", parent: int | None = None) -> Any:
        """Puts a new configuration at a controller, and returns it.

        parent: the revision that the configuration follows, or None for the newest one learned there.
        """
        machine = self.machines[name]
        self.last_revision += 1 + self.rng.randrange(2)
        parent = machine.consensus.version(CONFIG) if parent is None else parent
        requested = configuration(
            max(self.last_revision, parent + 1), parent, digest or f"{name}{self.last_revision}"
        )
        self.last_revision = requested.revision
        self.propose(name, requested)
        return requested

    def propose(self, name: str, requested: Any) -> None:
        """Proposes a configuration at a controller, and records whether it is acknowledged or rejected.

        Does nothing if the controller is stopped or frozen.
        """

        def on_outcome(outcome: Any) -> None:
            record_event("answer", self.now, name, requested.revision, outcome)
            if outcome is not None:
                (self.acknowledged if outcome[0] == 200 else self.rejected)[requested.digest] = requested

        if name in self.machines and name not in self.frozen_until:
            self.machines[name].quorum_io.propose(
                CONFIG, lambda current: apply_configuration(requested, current), on_outcome, 0.85
            )

    def read(self, name: str) -> list:
        """Starts a read at a controller. Returns the list to which its answer will be added.

        The answer maps revisions to digests. The simulation raises RuleViolation if the answer lacks a
        configuration that was acknowledged before the read.
        """
        acknowledged, answers = dict(self.acknowledged), []

        def on_outcome(outcome: Any) -> None:
            record_event("read", self.now, name, outcome)
            if outcome is None:
                return
            past = outcome[0]["past"] if outcome[0] else {}
            for digest, requested in acknowledged.items():
                if past.get(str(requested.revision)) != digest:
                    raise RuleViolation(
                        f"{digest} was acknowledged as r{requested.revision}, but {name} reads {past}"
                    )
            answers.append(past)

        self.machines[name].quorum_io.propose(CONFIG, lambda current: (None, [current]), on_outcome, 0.85)
        return answers

    def check_reader_answered(self, situation: str) -> None:
        """Checks that a controller outside `lost_machines` answers a read within `READ_TIMEOUT`.

        situation: when the check takes place, for the message of the RuleViolation.
        """
        names = [name for name in self.machines if name not in self.lost_machines]
        self.reads += 1
        deadline, answers = self.now + READ_TIMEOUT, []
        while not answers:
            if self.now >= deadline:
                raise RuleViolation(
                    f"no majority answers {situation}; away {sorted(self.lost_machines)}; {self.summary()}"
                )
            if names := [name for name in names if name in self.machines]:
                answers = self.read(self.rng.choice(names))
            self.advance(0.9)

    def summary(self) -> dict:
        """Maps each running controller to its epoch, its active epoch, whether it votes, and the voters."""
        return {
            name: (
                machine.consensus.epoch,
                machine.consensus.active_epoch,
                machine.consensus.is_active_voter,
                sorted(machine.consensus.voters),
            )
            for name, machine in self.machines.items()
        }

    def check_invariants(self, machine: SimulatedController) -> None:
        """Checks the voter set and the chosen configuration of a controller against those of all others.

        Raises RuleViolation if an epoch has two voter sets, if a revision has two digests, or if a rejected
        configuration is chosen.
        """
        voter_set = machine.consensus.voter_set
        if voter_set["n"] and self.voter_sets.setdefault(voter_set["n"], voter_set) != voter_set:
            raise RuleViolation(
                f"two voter sets of epoch {voter_set['n']}: {voter_set} and {self.voter_sets[voter_set['n']]}"
            )
        value = machine.consensus.value(CONFIG)
        if value is None or machine.checked_value is value:
            return
        machine.checked_value = value
        for number, digest in value["past"].items():
            if self.versions_seen.setdefault(number, digest) != digest:
                raise RuleViolation(
                    f"r{number} is {digest} at {machine.name} and {self.versions_seen[number]} elsewhere"
                )
            if digest in self.rejected:
                raise RuleViolation(f"{digest} was rejected, but {machine.name} has learned it as chosen")
