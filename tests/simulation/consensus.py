"""A simulation of the replicas of three controllers in one process, driven by a seed.

Messages arrive in any order, get lost and are duplicated. Disks keep only what was synced. Machines stop,
start again and lose their disks. The invariants are checked after every step.
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
from bramblewood.controller.consensus.voter_set import voter_set_change
from tests.simulation.digests import record_event

MACHINE_NAMES = ("a", "b", "c")


def configuration(number: int, parent: int, digest: str) -> Configuration:
    """Returns a configuration r`number` that follows r`parent`, with this digest."""
    return Configuration(number, parent, digest, {}, {}, {}, {"Revision": f"r{number}", "mark": digest})


class RuleViolation(AssertionError):
    """Raised by the checks of a simulation when the program breaks a rule."""


class LearnsWithoutAccepting(ConsensusReplica):
    """A faulty replica that learns the values chosen while it was stopped, but does not store them."""

    class learner_class(Learner):
        def learn(self, now, register, number, value, effects) -> None:
            if number > self.chosen[register].proposal_number:
                self.chosen[register] = NumberedValue(number, value)
                if register == VOTER_SET:
                    self.adopt_voter_set(now, value, effects)


class AnyDiskSeatNeverHeld(ConsensusReplica):
    """A faulty replica that never joins through a seat open to any disk, even if it was active before."""

    class member_class(LocalMember):
        @property
        def holds_seat(self) -> bool:
            return self.voters.get(self.address) == self.disk


class AnyDiskSeatAlwaysHeld(ConsensusReplica):
    """A faulty replica that joins through a seat open to any disk even if its own disk is empty."""

    class member_class(LocalMember):
        @property
        def holds_seat(self) -> bool:
            return self.matches_seat


class ReplicaCluster:
    """Three replicas with their disks, and the messages in flight between them."""

    def __init__(
        self,
        seed: int,
        reuses_disk_name: bool = False,
        replica_class: type = ConsensusReplica,
        seats_open_to_any_disk: bool = False,
    ) -> None:
        """Starts the replicas as active voters of epoch 1.

        reuses_disk_name: whether an empty disk gets the name and facts of the lost disk, which is a fault.
        seats_open_to_any_disk: whether the seats of epoch 1 name no disk, as after an upgrade from a release
        without epochs.
        """
        self.rng, self.reuses_disk_name, self.now, self.incarnations = (
            random.Random(seed),
            reuses_disk_name,
            0.0,
            0,
        )
        self.replica_class = replica_class
        voter_set = {
            "n": 1,
            "voters": {name: "" if seats_open_to_any_disk else f"{name}0" for name in MACHINE_NAMES},
            "before": {},
        }
        self.disks: dict[str, dict] = {
            name: {"disk": f"{name}0", "members": voter_set, "held": 1} for name in MACHINE_NAMES
        }
        self.replicas: dict[str, ConsensusReplica] = {}
        self.unsynced: dict[str, list[Effects]] = {name: [] for name in MACHINE_NAMES}
        self.in_flight: list[tuple[str, str, dict]] = []
        self.acknowledged: dict[str, Configuration] = {}  # by digest, answered with status 200
        self.rejected: dict[str, Configuration] = {}  # by digest, answered with status 4xx, which is final
        self.versions_seen: dict[str, str] = {}  # by version number, the digest that any replica has learned
        for name in MACHINE_NAMES:
            self.start(name)

    # --- machines

    def start(self, name: str) -> None:
        """Starts a machine from what its disk holds. An empty disk gets a new name."""
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
        """Stops a machine. Its writes that are not synced are lost; messages in flight stay in flight."""
        self.replicas.pop(name, None)
        self.unsynced[name].clear()

    def wipe(self, name: str) -> None:
        """Stops a machine and empties its disk."""
        self.stop(name)
        kept_facts = ("disk", "members", "held") if self.reuses_disk_name else ()
        self.disks[name] = {fact: self.disks[name][fact] for fact in kept_facts}

    def apply(self, name: str, effects: Effects) -> None:
        """Dispatches the effects of a step at this machine. Effects with writes wait for `sync`."""
        if effects.writes or effects.facts:
            self.unsynced[name].append(effects)
        else:
            self.dispatch(name, effects)

    def sync(self, name: str) -> None:
        """Makes the oldest unsynced write of a machine durable, and dispatches its messages and answers."""
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
        """Sends the messages of these effects, records the answers, and checks the invariants."""
        self.in_flight += [(name, peer, message) for peer, message in effects.sends]
        for peer, message in effects.sends:
            record_event("message", self.now, name, peer, message)
        for tag, outcome in effects.outcomes:
            record_event("answer", self.now, name, outcome)
            if isinstance(tag, Configuration) and outcome is not None:
                (self.acknowledged if outcome[0] == 200 else self.rejected)[tag.digest] = tag
        self.check_invariants()

    # --- events

    def deliver(self, index: int) -> None:
        """Delivers the message at this index of `in_flight`. It is lost if its receiver is stopped."""
        sender, peer, message = self.in_flight.pop(index)
        if peer in self.replicas:
            self.apply(peer, self.replicas[peer].receive(self.now, sender, message))

    def put(self, name: str, requested: Configuration) -> None:
        """Proposes a configuration at this machine, as an operator's PUT does."""
        change = lambda current: apply_configuration(requested, current)  # noqa: E731
        self.apply(name, self.replicas[name].propose(self.now, CONFIG, change, requested, 2.0))

    def tick(self, duration: float) -> None:
        """Advances the clock by `duration` s, and ticks every running machine."""
        self.now += duration
        for name in list(self.replicas):
            self.send_heartbeats(name)
            self.apply(name, self.replicas[name].tick(self.now))
            self.propose_new_disks(name)

    def send_heartbeats(self, name: str) -> None:
        """Sends what heartbeats carry: the voter set, and the proposal that is accepted and on disk."""
        replica = self.replicas[name]
        voter_set, durable = replica.voter_set, replica.durable_accepted[CONFIG]
        if replica.is_active_voter and durable != NO_PROPOSAL and self.rng.random() < 0.2:
            acceptance = {"k": "accepted", "r": CONFIG, "b": durable, "disk": replica.disk}
            self.in_flight += [(name, peer, acceptance) for peer in self.replicas if peer != name]
        outdated = [peer for peer, replica in self.replicas.items() if replica.epoch < voter_set["n"]]
        self.in_flight += [(name, peer, {"k": "epoch", "m": voter_set}) for peer in outdated]

    def propose_new_disks(self, name: str) -> None:
        """Proposes, for each voter with a new disk, to give its seat to that disk, as controllers do."""
        replica = self.replicas[name]
        for peer, disk in replica.voters.items():
            if not replica.is_active_voter or peer not in self.replicas or replica.proposer.rounds[VOTER_SET]:
                continue
            if (new_disk := self.replicas[peer].disk) != disk and self.replicas[peer].epoch == replica.epoch:
                change = voter_set_change(replica.voter_set, {**replica.voters, peer: new_disk})
                self.apply(name, replica.propose(self.now, VOTER_SET, change, "members", 2.0))

    def run(self, steps: int, loss: float = 0.0, duplication: float = 0.0) -> None:
        """Simulates this number of steps, in an order drawn from the seed.

        loss, duplication: the probability that a message is lost or duplicated.
        """
        for _ in range(steps):
            writing = [name for name in MACHINE_NAMES if self.unsynced[name]]
            if writing and self.rng.random() < 0.3:
                self.sync(self.rng.choice(writing))
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
        """Simulates 6 s in which no message is lost and every write is synced."""
        for _ in range(60):
            for name in MACHINE_NAMES:
                while self.unsynced[name]:
                    self.sync(name)
            while self.in_flight:
                self.deliver(0)
            self.tick(0.1)

    def read_after_recovery(self) -> Any:
        """Starts all machines, lets them run without faults, and returns the value that a read gets."""
        for name in MACHINE_NAMES:
            if name not in self.replicas:
                self.start(name)
        values_read: list = []
        self.run_without_faults()
        read = lambda current: (None, values_read.append(current))  # noqa: E731
        self.apply("b", self.replicas["b"].propose(self.now, CONFIG, read, "read", 5.0))
        for _ in range(200):
            while self.in_flight:
                self.deliver(0)
            for name in MACHINE_NAMES:
                while self.unsynced[name]:
                    self.sync(name)
            self.tick(0.05)
        if not values_read:
            raise RuleViolation("no majority answered a read, although every message was delivered")
        return values_read[-1]

    # --- checks

    def check_invariants(self) -> None:
        """Checks that all learned versions agree and that none of them was rejected."""
        for replica in self.replicas.values():
            value = replica.value(CONFIG)
            for number, digest in (value["past"] if value else {}).items():
                if self.versions_seen.setdefault(number, digest) != digest:
                    raise RuleViolation(
                        f"r{number} is {digest} at one replica and {self.versions_seen[number]} at another"
                    )
                if digest in self.rejected:
                    raise RuleViolation(f"{digest} was rejected, but is chosen")

    def check_outcome(self) -> None:
        """Checks that a read returns all acknowledged configurations and no rejected one."""
        value = self.read_after_recovery()
        self.check_invariants()
        past = value["past"] if value else {}
        for digest, requested in self.acknowledged.items():
            if past.get(str(requested.revision)) != digest:
                digest_read = past.get(str(requested.revision))
                raise RuleViolation(
                    f"{digest} was acknowledged as r{requested.revision}, which is {digest_read}"
                )
        for digest, requested in self.rejected.items():
            if past.get(str(requested.revision)) == digest:
                raise RuleViolation(f"{digest} was rejected, but is chosen")


def stores_missed_value(replica_class: type = ConsensusReplica) -> bool:
    """Returns whether a voter that was stopped while a version was chosen stores the version afterwards."""
    cluster = ReplicaCluster(1, replica_class=replica_class)
    cluster.stop("c")
    cluster.put("a", configuration(1, 0, "first"))
    cluster.run_without_faults()
    cluster.start("c")
    cluster.run_without_faults()
    return "first" in cluster.acknowledged and CONFIG in cluster.disks["c"].get("registers", {})


def keeps_learned_value_when_joining() -> bool:
    """Returns whether a voter accepts a version that it learned before it became active in the epoch."""
    before, proposal_number, value = (
        {name: f"{name}0" for name in MACHINE_NAMES},
        (2, 1, "a", 1),
        {"n": 1, "past": {}},
    )
    replica = ConsensusReplica(
        "b", "b1", 1, voter_set={"n": 2, "voters": {**before, "b": "b1"}, "before": before}
    )
    replica.receive(0.0, "a", {"k": "chosen", "r": CONFIG, "b": proposal_number, "v": value})
    replica.tick(0.1)
    for peer in ("a", "c"):  # both report their state of epoch 1 as empty
        regs = {name: {"a": NO_PROPOSAL, "v": None} for name in ALL_REGISTERS}
        state = {"k": "state", "e": 2, "held": 1, "disk": f"{peer}0", "regs": regs}
        replica.receive(0.2, peer, state)
    return replica.is_active_voter and replica.acceptors[CONFIG].accepted == proposal_number


def empty_disk_joins(replica_class: type = ConsensusReplica) -> bool:
    """Returns whether a voter with an empty disk asks to join an epoch through a seat open to any disk."""
    cluster = ReplicaCluster(1, replica_class=replica_class, seats_open_to_any_disk=True)
    cluster.wipe("b")
    cluster.start("b")
    cluster.apply(
        "b", cluster.replicas["b"].receive(0.0, "a", {"k": "epoch", "m": cluster.replicas["a"].voter_set})
    )
    cluster.sync("b")
    return any(sender == "b" and message["k"] == "join" for sender, _, message in cluster.in_flight)


def run_random_faults(seed: int, **options: Any) -> ReplicaCluster:
    """Simulates operators that put conflicting configurations while messages and disks are lost.

    One machine at a time stops, and starts again before the next one stops. Raises RuleViolation if a rule is
    broken. options: those of ReplicaCluster.
    """
    cluster = ReplicaCluster(seed, **options)
    rng, parent, revision = cluster.rng, 0, 0

    def put_conflicting_configurations() -> None:
        nonlocal revision
        for prefix in ("left", "right"):
            revision += 1 + rng.randrange(2)
            requested = configuration(revision, parent, f"{prefix}{revision}")
            for _ in range(1 + rng.randrange(2)):  # operators repeat unanswered calls at any machine
                cluster.put(rng.choice(list(cluster.replicas)), requested)
                cluster.run(rng.randrange(25), 0.1, 0.05)

    for _ in range(5):
        put_conflicting_configurations()
        stopped = rng.choice(MACHINE_NAMES)  # the next one stops only once this one votes again
        (cluster.wipe if rng.random() < 0.5 else cluster.stop)(stopped)
        if rng.random() < 0.5:
            cluster.run(rng.randrange(40), 0.1, 0.05)
        if rng.random() < 0.5:
            put_conflicting_configurations()
        cluster.start(stopped)
        put_conflicting_configurations()
        for _ in range(1000):  # until all machines vote, before the next one stops
            cluster.run(10)
            if all(replica.is_active_voter for replica in cluster.replicas.values()):
                break
        else:
            raise RuleViolation("a restarted machine does not become an active voter again")
        parent = max(
            (replica.value(CONFIG)["n"] for replica in cluster.replicas.values() if replica.value(CONFIG)),
            default=0,
        )
    cluster.check_outcome()
    return cluster
