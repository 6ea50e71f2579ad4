"""Some replicas whose messages arrive only as a case says, on disks that are safe at once."""

from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import CONFIG, VOTER_SET
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, next_voter_set
from tests.simulation.consensus import RuleViolation
from tests.simulation.replica_snapshot import order


class ScriptedCluster:
    """Some replicas, a wire that carries only what the play picks, disks that are safe at once."""

    def __init__(self, voters: str, spares: str = "") -> None:
        self.voter_set: VoterSet = {"n": 1, "voters": {name: f"{name}0" for name in voters}, "before": {}}
        self.replicas = {
            name: ConsensusReplica(
                name, f"{name}0", place + 1, {}, self.voter_set, 1 if name in voters else -1
            )
            for place, name in enumerate(voters + spares)
        }
        self.in_flight: list[tuple[str, str, dict]] = []
        self.answers: list[tuple] = []

    def apply(self, name: str, effects: Effects) -> None:
        for register, _, accepted, _ in effects.writes:
            self.replicas[name].mark_durable(register, accepted)
        self.in_flight += [(name, peer, message) for peer, message in effects.sends]
        self.answers += effects.answers

    def put(self, name: str, digest: str) -> None:
        self.apply(name, self.replicas[name].propose(0.0, CONFIG, order(digest), digest, 99.0))

    def deliver(self, among: str, kinds: str = "", rounds: int = 12) -> None:
        """Deliver all between these machines, again and again, of these kinds or all."""
        for _ in range(rounds):
            delivered = [
                one
                for one in self.in_flight
                if {*one[:2]} <= {*among} and (not kinds or one[2]["k"] in kinds.split())
            ]
            self.in_flight = [one for one in self.in_flight if not any(one is other for other in delivered)]
            for sender, peer, message in delivered:
                self.apply(peer, self.replicas[peer].receive(0.0, sender, message))

    def change(self, by: str, among: str, voters: dict[str, str]) -> None:
        """A change of the set, chosen among these, and heard by all of them."""
        machine = self.replicas[by]
        tag = next_voter_set(machine.voter_set, voters)
        self.apply(by, machine.propose(0.0, VOTER_SET, tag, "members", 99.0))
        self.deliver(among)

    def notify(self, name: str, voter_set: VoterSet) -> None:
        """This replica hears of this set of voters."""
        self.apply(name, self.replicas[name].receive(0.0, "", {"k": "epoch", "m": voter_set}))

    def lose_disk(self, name: str, incarnation: int = 50) -> None:
        old = self.replicas[name]
        self.replicas[name] = ConsensusReplica(name, f"{name}{incarnation}", incarnation)
        self.notify(name, old.voter_set)

    def check_invariants(self) -> None:
        taken = {
            outcome[1] for _, outcome in self.answers if isinstance(outcome, tuple) and outcome[0] == 200
        }
        known = {m.chosen[CONFIG][1] for m in self.replicas.values() if m.chosen[CONFIG][0] != NO_PROPOSAL}
        if len(taken | known) > 1:
            raise RuleViolation(f"acknowledged {sorted(taken)}, known as chosen {sorted(known)}")
