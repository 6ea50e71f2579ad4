"""Several controllers' replicas in one process, from a seed: messages in any order, lost and doubled, disks
that keep only what was synced, machines that stop, return and lose their disks. Judges look after every step.
"""

import random
from typing import Any

from bramblewood.common.configuration import Configuration
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.consensus.acceptor import NumberedValue
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.learner import Learner
from bramblewood.controller.consensus.local_member import LocalMember
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import ALL_REGISTERS, CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import next_voter_set
from tests.simulation.digests import record_event

NAMES = ("a", "b", "c")


def configuration(number: int, parent: int, digest: str) -> Configuration:
    return Configuration(number, parent, digest, {}, {}, {}, {"Revision": f"r{number}", "mark": digest})


class RuleViolation(AssertionError):
    """A rule was broken; raised by the checks of a simulation."""


class LearnsOnly(ConsensusReplica):
    """A voter that only learns what was chosen while it was away, and doesn't accept it."""

    class learner_class(Learner):
        def learn(self, now, register, number, value, effects) -> None:
            if number > self.chosen[register].proposal_number:
                self.chosen[register] = NumberedValue(number, value)
                if register == VOTER_SET:
                    self.adopt_voter_set(now, value, effects)


class NoSeatOfAnyDisk(ConsensusReplica):
    """Goes on in no seat of any disk, so that an old disk waits until its seat has its name."""

    class member_class(LocalMember):
        @property
        def holds_seat(self) -> bool:
            return self.voters.get(self.address) == self.disk


class EverySeatOfAnyDisk(ConsensusReplica):
    """Goes on in a seat of any disk even with an empty disk."""

    class member_class(LocalMember):
        @property
        def holds_seat(self) -> bool:
            return self.is_member


class ReplicaCluster:
    def __init__(
        self,
        seed: int,
        keeps_lost_disks_name: bool = False,
        replica_class: type = ConsensusReplica,
        any_disk: bool = False,
    ) -> None:
        """keeps_lost_disks_name: a machine whose disk was lost goes by the name of its old disk, as it must
        not. any_disk: the disks knew no epochs, so the seats are of any disk at first.
        """
        self.rng, self.keeps_lost_disks_name, self.now, self.incarnations = (
            random.Random(seed),
            keeps_lost_disks_name,
            0.0,
            0,
        )
        self.replica_class = replica_class
        members = {"n": 1, "voters": {name: "" if any_disk else f"{name}0" for name in NAMES}, "before": {}}
        self.disks: dict[str, dict] = {
            name: {"disk": f"{name}0", "members": members, "held": 1} for name in NAMES
        }
        self.replicas: dict[str, ConsensusReplica] = {}
        self.unsynced: dict[str, list[Effects]] = {name: [] for name in NAMES}
        self.in_flight: list[tuple[str, str, dict]] = []
        self.acknowledged: dict[str, Configuration] = {}  # by mark: answered 200
        self.rejected: dict[str, Configuration] = {}  # by mark: answered 4xx, for good
        self.versions_seen: dict[str, str] = {}  # number: mark, of all that any machine has learned
        for name in NAMES:
            self.start(name)

    # --- machines

    def start(self, name: str) -> None:
        disk, self.incarnations = self.disks[name], self.incarnations + 1
        disk.setdefault("disk", f"{name}{self.incarnations}")
        self.replicas[name] = self.replica_class(
            name,
            disk["disk"],
            self.incarnations,
            disk.get("registers"),
            disk.get("members"),
            disk.get("held", -1),
        )

    def stop(self, name: str) -> None:
        """Power lost: what was not synced is gone, and what was on its way from here was sent or not."""
        self.replicas.pop(name, None)
        self.unsynced[name].clear()

    def wipe(self, name: str) -> None:
        self.stop(name)
        kept = ("disk", "members", "held") if self.keeps_lost_disks_name else ()
        self.disks[name] = {fact: self.disks[name][fact] for fact in kept}

    def apply(self, name: str, effects: Effects) -> None:
        if effects.writes or effects.facts:
            self.unsynced[name].append(effects)
        else:
            self.dispatch(name, effects)

    def sync(self, name: str) -> None:
        """The oldest write of a machine is safe now; what rests on it is sent."""
        effects = self.unsynced[name].pop(0)
        disk = self.disks[name]
        for register, promised, accepted, value in effects.writes:
            disk.setdefault("registers", {})[register] = (promised, accepted, value)
            record_event("write", self.now, name, register, promised, accepted, value)
            self.replicas[name].mark_durable(register, accepted)
        disk.update(effects.facts)
        record_event("facts", self.now, name, effects.facts)
        self.dispatch(name, effects)

    def dispatch(self, name: str, effects: Effects) -> None:
        self.in_flight += [(name, peer, message) for peer, message in effects.sends]
        for peer, message in effects.sends:
            record_event("message", self.now, name, peer, message)
        for tag, outcome in effects.answers:
            record_event("answer", self.now, name, outcome)
            if isinstance(tag, Configuration) and outcome is not None:
                (self.acknowledged if outcome[0] == 200 else self.rejected)[tag.digest] = tag
        self.check_invariants()

    # --- events

    def deliver(self, index: int) -> None:
        sender, peer, message = self.in_flight.pop(index)
        if peer in self.replicas:
            self.apply(peer, self.replicas[peer].receive(self.now, sender, message))

    def put(self, name: str, requested: Configuration) -> None:
        change = lambda current: apply_configuration(requested, current)  # noqa: E731
        self.apply(name, self.replicas[name].propose(self.now, CONFIG, change, requested, 2.0))

    def tick(self, after: float) -> None:
        self.now += after
        for name in list(self.replicas):
            self.send_heartbeats(name)
            self.apply(name, self.replicas[name].tick(self.now))
            self.give_seat_to_new_disk(name)

    def send_heartbeats(self, name: str) -> None:
        """As heartbeats do: others hear which set of voters is known here, and what is safe on this disk."""
        replica = self.replicas[name]
        voter_set, durable = replica.voter_set, replica.durable_accepted[CONFIG]
        if replica.is_active_voter and durable != NO_PROPOSAL and self.rng.random() < 0.2:
            told = {"k": "accepted", "r": CONFIG, "b": durable, "disk": replica.disk}
            self.in_flight += [(name, peer, told) for peer in self.replicas if peer != name]
        behind = [peer for peer, replica in self.replicas.items() if replica.epoch < voter_set["n"]]
        self.in_flight += [(name, peer, {"k": "epoch", "m": voter_set}) for peer in behind]

    def give_seat_to_new_disk(self, name: str) -> None:
        """As controllers do: a voter that is back on another disk gets its seat, one change at a time."""
        replica = self.replicas[name]
        for peer, disk in replica.voters.items():
            if not replica.is_active_voter or peer not in self.replicas or replica.proposer.rounds[VOTER_SET]:
                continue
            if (disk_now := self.replicas[peer].disk) != disk and self.replicas[peer].epoch == replica.epoch:
                change = next_voter_set(replica.voter_set, {**replica.voters, peer: disk_now})
                self.apply(name, replica.propose(self.now, VOTER_SET, change, "members", 2.0))

    def run(self, steps: int, loss: float = 0.0, duplication: float = 0.0) -> None:
        """Play on in an order drawn from the seed."""
        for _ in range(steps):
            synced = [name for name in NAMES if self.unsynced[name]]
            if synced and self.rng.random() < 0.3:
                self.sync(self.rng.choice(synced))
            elif self.in_flight and self.rng.random() < 0.9:
                index = self.rng.randrange(len(self.in_flight))
                if self.rng.random() < duplication:
                    self.in_flight.append(self.in_flight[index])
                if self.rng.random() < loss:
                    self.in_flight.pop(index)
                else:
                    self.deliver(index)
            else:
                self.tick(0.01 + 0.1 * self.rng.random())

    def run_without_faults(self) -> None:
        """Six seconds in which nothing is lost."""
        for _ in range(60):
            for name in NAMES:
                while self.unsynced[name]:
                    self.sync(name)
            while self.in_flight:
                self.deliver(0)
            self.tick(0.1)

    def read_when_recovered(self) -> Any:
        """All machines up, nothing lost: the value that a reader gets."""
        for name in NAMES:
            if name not in self.replicas:
                self.start(name)
        found: list = []
        self.run_without_faults()
        read = lambda current: (None, found.append(current))  # noqa: E731
        self.apply("b", self.replicas["b"].propose(self.now, CONFIG, read, "read", 5.0))
        for _ in range(200):
            while self.in_flight:
                self.deliver(0)
            for name in NAMES:
                while self.unsynced[name]:
                    self.sync(name)
            self.tick(0.05)
        if not found:
            raise RuleViolation("calm, and no majority answers a reader")
        return found[-1]

    # --- judges

    def check_invariants(self) -> None:
        for replica in self.replicas.values():
            value = replica.value(CONFIG)
            for number, digest in (value["past"] if value else {}).items():
                if self.versions_seen.setdefault(number, digest) != digest:
                    raise RuleViolation(f"r{number} is {digest} here and {self.versions_seen[number]} there")
                if digest in self.rejected:
                    raise RuleViolation(f"{digest} was refused, and is in force")

    def check_outcome(self) -> None:
        """What a reader gets at the end holds all that was acknowledged and nothing that was refused."""
        value = self.read_when_recovered()
        self.check_invariants()
        past = value["past"] if value else {}
        for digest, requested in self.acknowledged.items():
            if past.get(str(requested.revision)) != digest:
                found = past.get(str(requested.revision))
                raise RuleViolation(f"{digest} was acknowledged as r{requested.revision}, which is {found}")
        for digest, requested in self.rejected.items():
            if past.get(str(requested.revision)) == digest:
                raise RuleViolation(f"{digest} was refused, and is in force")


def keeps_what_was_chosen_while_away(replica_class: type = ConsensusReplica) -> bool:
    """Whether a voter that was away as a version was chosen holds it on disk soon after."""
    cluster = ReplicaCluster(1, replica_class=replica_class)
    cluster.stop("c")
    cluster.put("a", configuration(1, 0, "first"))
    cluster.run_without_faults()
    cluster.start("c")
    cluster.run_without_faults()
    return "first" in cluster.acknowledged and CONFIG in cluster.disks["c"].get("registers", {})


def kept_as_it_joined() -> bool:
    """Whether a voter that learned a version of an epoch before it was active there holds it afterwards."""
    before, proposal_number, value = (
        {name: f"{name}0" for name in NAMES},
        (2, 1, "a", 1),
        {"n": 1, "past": {}},
    )
    replica = ConsensusReplica(
        "b", "b1", 1, voter_set={"n": 2, "voters": {**before, "b": "b1"}, "before": before}
    )
    replica.receive(0.0, "a", {"k": "chosen", "r": CONFIG, "b": proposal_number, "v": value})
    replica.tick(0.1)
    for peer in ("a", "c"):  # as they held epoch 1
        regs = {name: {"a": NO_PROPOSAL, "v": None} for name in ALL_REGISTERS}
        told = {"k": "state", "e": 2, "held": 1, "disk": f"{peer}0", "regs": regs}
        replica.receive(0.2, peer, told)
    return replica.is_active_voter and replica.acceptors[CONFIG].accepted == proposal_number


def joins_with_empty_disk(replica_class: type = ConsensusReplica) -> bool:
    """Whether a disk that came back empty to a seat of any disk asks for what the epoch holds."""
    cluster = ReplicaCluster(1, replica_class=replica_class, any_disk=True)
    cluster.wipe("b")
    cluster.start("b")
    cluster.apply(
        "b", cluster.replicas["b"].receive(0.0, "a", {"k": "epoch", "m": cluster.replicas["a"].voter_set})
    )
    cluster.sync("b")
    return any(sender == "b" and message["k"] == "join" for sender, _, message in cluster.in_flight)


def storm(seed: int, **options: Any) -> ReplicaCluster:
    """Changes from two operators on the same version, at any machine, amid losses, stops and a lost disk."""
    cluster = ReplicaCluster(seed, **options)
    rng, parent, number = cluster.rng, 0, 0

    def changes() -> None:
        nonlocal number
        for digest in ("left", "right"):
            number += 1 + rng.randrange(2)
            requested = configuration(number, parent, f"{digest}{number}")
            for _ in range(1 + rng.randrange(2)):  # an unclear call is repeated unchanged, to any
                cluster.put(rng.choice(list(cluster.replicas)), requested)
                cluster.run(rng.randrange(25), 0.1, 0.05)

    for _ in range(5):
        changes()
        down = rng.choice(NAMES)  # one at a time: a machine that lost its disk is away until it votes again
        (cluster.wipe if rng.random() < 0.5 else cluster.stop)(down)
        if rng.random() < 0.5:
            cluster.run(rng.randrange(40), 0.1, 0.05)
        if rng.random() < 0.5:
            changes()
        cluster.start(down)
        changes()
        for _ in range(1000):  # one loss at a time: the next comes once the seat is taken again
            cluster.run(10)
            if all(replica.is_active_voter for replica in cluster.replicas.values()):
                break
        else:
            raise RuleViolation("a machine that is back does not vote again")
        parent = max((m.value(CONFIG)["n"] for m in cluster.replicas.values() if m.value(CONFIG)), default=0)
    cluster.check_outcome()
    return cluster
