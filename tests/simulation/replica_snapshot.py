"""A replica as a value: all that decides what it does next, and the replica made from it again."""

from typing import Any, NamedTuple

from bramblewood.controller.consensus.acceptor import Acceptor
from bramblewood.controller.consensus.epochs import EpochJoin
from bramblewood.controller.consensus.messages import Accept, AcceptDifference
from bramblewood.controller.consensus.proposal_number import ProposalNumber
from bramblewood.controller.consensus.proposal_round import Phase, ProposalRound
from bramblewood.controller.consensus.registers import ALL_REGISTERS
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.consensus.voter_set import VoterSet, next_voter_set


def key(thing: Any) -> str:
    return repr(thing)


class RoundState(NamedTuple):
    """All of a `ProposalRound` that decides what becomes of it."""

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
    """All of a replica that decides what it does next; by register in the order of ALL_REGISTERS."""

    disk: str
    incarnation: int
    voter_set: VoterSet
    active_epoch: int
    reports: tuple | None  # while it joins an epoch
    acceptors: tuple
    durable: tuple
    highest_counters: tuple
    acceptances: tuple
    chosen: tuple
    rounds: tuple[RoundState, ...]


def replica_state(replica: ConsensusReplica, proposes: bool) -> ReplicaState:
    """The state of this replica. The counters of one that never proposes decide nothing."""
    join, proposer, learner = replica.epochs.join, replica.proposer, replica.learner
    return ReplicaState(
        replica.disk,
        replica.member.incarnation,
        replica.voter_set,
        replica.active_epoch,
        None if join is None else by_name(join.reports),
        tuple((a.promised, a.accepted, a.value) for a in replica.acceptors.values()),
        tuple(replica.durable_accepted.values()),
        tuple(proposer.highest_counters.values()) if proposes else (0,) * len(ALL_REGISTERS),
        tuple(by_name(accepted) for accepted in learner.acceptances.values()),
        tuple(learner.chosen.values()),
        tuple(round_state(one) for queue in proposer.rounds.values() for one in queue),
    )


def by_name(entries: dict[str, Any]) -> tuple:
    return tuple(sorted(entries.items(), key=lambda entry: entry[0]))


def round_state(one: ProposalRound) -> RoundState:
    return RoundState(
        *(one.register, one.tag, one.proposal_number, one.phase, one.outcome, len(one.batch)),
        *(one.base, one.accept_difference, one.accept_value),
        by_name(one.promises),
        tuple(sorted(one.accepted_by)),
    )


def restore_replica(address: str, state: ReplicaState) -> ConsensusReplica:
    """The replica of this state."""
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
        saved = [one for one in state.rounds if one.register == register]
        queue.extend(map(restore_round, saved))
        for one, its_state in zip(queue, saved, strict=True):
            one.batch = queue[: its_state.batch_size]  # a round carries the first that waited as it began
    return replica


def restore_round(state: RoundState) -> ProposalRound:
    """The round of this state, but for its batch."""
    one = ProposalRound(state.register, change_of(state.tag), state.tag, 1e9)
    one.proposal_number, one.phase, one.outcome, one.base = (
        state.proposal_number,
        state.phase,
        state.outcome,
        state.base,
    )
    one.accept_difference, one.accept_value = state.accept_difference, state.accept_value
    one.promises, one.accepted_by = dict(state.promises), set(state.accepted_by)
    return one


class NoBackoff:
    """In place of `ProposerBackoff`, which says when rounds begin, never what they decide."""

    def observe(self, now: float, register: str, proposal_number: Any) -> None:
        pass

    def round_finished(self, register: str, proposal_number: Any) -> None:
        pass

    def must_wait(self, now: float, register: str) -> bool:
        return False


def order(digest: str) -> Any:
    """An order on an empty register: taken, or refused as another stands."""
    return lambda current: (digest, (200, digest)) if current in (None, digest) else (None, (412, digest))


def change_of(tag: tuple) -> Any:
    if tag == "settle":
        return lambda current: (None, True)
    kind, content = tag
    return order(content) if kind == "order" else next_voter_set(*content)
