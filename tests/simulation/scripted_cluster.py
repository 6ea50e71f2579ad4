"""A cluster of replicas for scripted cases: the case picks the messages to deliver."""

from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, voter_set_change
from tests.simulation.consensus import RuleViolation
from tests.simulation.replica_snapshot import propose_configuration


class ScriptedCluster:
    """Replicas whose messages stay in flight until the case delivers them. All writes are durable at once."""

    def __init__(self, voters: str, spares: str = "") -> None:
        """Starts one replica for each letter of `voters` and `spares`. The voters are active in epoch 1."""
        self.voter_set: VoterSet = {"n": 1, "voters": {name: f"{name}0" for name in voters}, "before": {}}
        self.replicas = {
            name: ConsensusReplica(
                name, f"{name}0", position + 1, {}, self.voter_set, 1 if name in voters else -1
            )
            for position, name in enumerate(voters + spares)
        }
        self.in_flight: list[tuple[str, str, dict]] = []
        self.outcomes: list[tuple] = []

    def apply(self, name: str, effects: Effects) -> None:
        """Carries out the effects of a step at this replica at once."""
        for register, _, accepted, _ in effects.writes:
            self.replicas[name].mark_durable(register, accepted)
        self.in_flight += [(name, peer, message) for peer, message in effects.sends]
        self.outcomes += effects.outcomes

    def put(self, name: str, digest: str) -> None:
        """Proposes the configuration with this digest at this replica."""
        self.apply(
            name, self.replicas[name].propose(0.0, CONFIG, propose_configuration(digest), digest, 99.0)
        )

    def deliver(self, names: str, kinds: str = "", rounds: int = 12) -> None:
        """Delivers the messages in flight between the replicas in `names`, and the replies to them.

        names: one letter for each replica.
        kinds: the kinds to deliver, separated by spaces, or "" for all kinds.
        rounds: how many times to deliver the messages that are in flight at that time.
        """
        for _ in range(rounds):
            delivered = [
                sent
                for sent in self.in_flight
                if {*sent[:2]} <= {*names} and (not kinds or sent[2]["k"] in kinds.split())
            ]
            self.in_flight = [
                sent for sent in self.in_flight if not any(sent is other for other in delivered)
            ]
            for sender, peer, message in delivered:
                self.apply(peer, self.replicas[peer].receive(0.0, sender, message))

    def change(self, proposer: str, names: str, voters: dict[str, str]) -> None:
        """Proposes `voters` as the next voter set, and delivers the messages between those in `names`."""
        replica = self.replicas[proposer]
        change = voter_set_change(replica.voter_set, voters)
        self.apply(proposer, replica.propose(0.0, VOTER_SET, change, "members", 99.0))
        self.deliver(names)

    def notify(self, name: str, voter_set: VoterSet) -> None:
        """Delivers a notice of this voter set to the replica."""
        self.apply(name, self.replicas[name].receive(0.0, "", {"k": "epoch", "m": voter_set}))

    def lose_disk(self, name: str, incarnation: int = 50) -> None:
        """Restarts the replica with an empty disk that has a new name, and notifies it of its voter set."""
        old = self.replicas[name]
        self.replicas[name] = ConsensusReplica(name, f"{name}{incarnation}", incarnation)
        self.notify(name, old.voter_set)

    def check_invariants(self) -> None:
        """Raises RuleViolation if more than one configuration was acknowledged or learned as chosen."""
        acknowledged = {
            outcome[1] for _, outcome in self.outcomes if isinstance(outcome, tuple) and outcome[0] == 200
        }
        learned = {
            replica.chosen[CONFIG][1]
            for replica in self.replicas.values()
            if replica.chosen[CONFIG][0] != NO_PROPOSAL
        }
        if len(acknowledged | learned) > 1:
            raise RuleViolation(f"acknowledged {sorted(acknowledged)}, learned as chosen {sorted(learned)}")
