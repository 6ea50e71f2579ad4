"""Converts a consensus replica into an immutable state, and a state back into a replica.

A state contains everything that determines the further behaviour of a replica, so that a search can compare
and revisit states.
"""

from typing import Any, NamedTuple

from bramblewood.controller.consensus.acceptor import Acceptor
from bramblewood.controller.consensus.epochs import EpochJoin
from bramblewood.controller.consensus.messages import Accept, AcceptDifference
from bramblewood.controller.consensus.proposal_number import ProposalNumber
from bramblewood.controller.consensus.proposal_round import Phase, ProposalRound
from bramblewood.controller.consensus.registers import ALL_REGISTERS
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, voter_set_change


def state_key(value: Any) -> str:
    """A string that is equal for equal values, for use as a dictionary key."""
    return repr(value)


class RoundState(NamedTuple):
    """The part of a `ProposalRound` that determines its further course."""

    register: str
    tag: Any
    proposal_number: ProposalNumber
    phase: Phase
    outcome: Any
    batch_size: int
    base: ProposalNumber
    accept_difference: AcceptDifference | None
    accept_value: Accept | None
    promises: tuple
    accepted_by: tuple


class ReplicaState(NamedTuple):
    """The part of a replica that determines its behaviour. Tuples are in the order of ALL_REGISTERS."""

    disk: str
    incarnation: int
    voter_set: VoterSet
    active_epoch: int
    reports: tuple | None  # reports of voters while the replica joins an epoch
    acceptors: tuple
    durable: tuple
    highest_counters: tuple
    acceptances: tuple
    chosen: tuple
    rounds: tuple[RoundState, ...]


def replica_state(replica: ConsensusReplica, proposes: bool) -> ReplicaState:
    """The state of this replica.

    proposes: whether the replica ever proposes. Otherwise its proposal counters have no effect, and the state
    replaces them with zeros.
    """
    join, proposer, learner = replica.epochs.join, replica.proposer, replica.learner
    return ReplicaState(
        replica.disk,
        replica.member.incarnation,
        replica.voter_set,
        replica.active_epoch,
        None if join is None else sorted_items(join.reports),
        tuple(
            (acceptor.promised, acceptor.accepted, acceptor.value) for acceptor in replica.acceptors.values()
        ),
        tuple(replica.durable_accepted.values()),
        tuple(proposer.highest_counters.values()) if proposes else (0,) * len(ALL_REGISTERS),
        tuple(sorted_items(accepted) for accepted in learner.acceptances.values()),
        tuple(learner.chosen.values()),
        tuple(round_state(proposal_round) for queue in proposer.rounds.values() for proposal_round in queue),
    )


def sorted_items(mapping: dict[str, Any]) -> tuple:
    return tuple(sorted(mapping.items(), key=lambda item: item[0]))


def round_state(proposal_round: ProposalRound) -> RoundState:
    return RoundState(
        *(
            proposal_round.register,
            proposal_round.tag,
            proposal_round.proposal_number,
            proposal_round.phase,
            proposal_round.outcome,
            len(proposal_round.batch),
        ),
        *(proposal_round.base, proposal_round.accept_difference, proposal_round.accept_value),
        sorted_items(proposal_round.promises),
        tuple(sorted(proposal_round.accepted_by)),
    )


def restore_replica(address: str, state: ReplicaState) -> ConsensusReplica:
    """A new replica in this state, without the delays of proposer backoff."""
    disk, incarnation, voter_set, active_epoch = state[:4]
    replica = ConsensusReplica(address, disk, incarnation, {}, voter_set, active_epoch)
    proposer, learner = replica.proposer, replica.learner
    learner.backoff = proposer.backoff = NoBackoff()
    if state.reports is not None:
        replica.epochs.join = EpochJoin()
        replica.epochs.join.reports = dict(state.reports)
    for index, register in enumerate(ALL_REGISTERS):
        replica.acceptors[register] = Acceptor(*state.acceptors[index])
        replica.durable_accepted[register] = state.durable[index]
        proposer.highest_counters[register] = state.highest_counters[index]
        learner.acceptances[register] = dict(state.acceptances[index])
        learner.chosen[register] = state.chosen[index]
    for register, queue in proposer.rounds.items():
        saved_rounds = [saved_round for saved_round in state.rounds if saved_round.register == register]
        queue.extend(map(restore_round, saved_rounds))
        for proposal_round, saved_round in zip(queue, saved_rounds, strict=True):
            # the batch of a round is the head of the queue at the time when the round began
            proposal_round.batch = queue[: saved_round.batch_size]
    return replica


def restore_round(state: RoundState) -> ProposalRound:
    """A new round in this state, with an empty batch."""
    proposal_round = ProposalRound(state.register, change_from_tag(state.tag), state.tag, 1e9)
    proposal_round.proposal_number, proposal_round.phase, proposal_round.outcome, proposal_round.base = (
        state.proposal_number,
        state.phase,
        state.outcome,
        state.base,
    )
    proposal_round.accept_difference, proposal_round.accept_value = (
        state.accept_difference,
        state.accept_value,
    )
    proposal_round.promises, proposal_round.accepted_by = dict(state.promises), set(state.accepted_by)
    return proposal_round


class NoBackoff:
    """Replaces `ProposerBackoff`, which only affects when rounds begin and not what they decide."""

    def observe(self, now: float, register: str, proposal_number: Any) -> None:
        pass

    def round_finished(self, register: str, proposal_number: Any) -> None:
        pass

    def must_wait(self, now: float, register: str) -> bool:
        return False


def propose_configuration(digest: str) -> Any:
    """A change that sets an empty register to this digest. It fails with 412 where another value is set."""
    return lambda current: (digest, (200, digest)) if current in (None, digest) else (None, (412, digest))


def change_from_tag(tag: tuple) -> Any:
    """The change that belongs to the tag of a proposal."""
    if tag == "settle":
        return lambda current: (None, True)
    kind, content = tag
    return propose_configuration(content) if kind == "order" else voter_set_change(*content)
