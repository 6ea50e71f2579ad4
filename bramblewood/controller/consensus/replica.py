"""One controller's part in consensus on registers: Paxos among an epoch's voters, one instance a version.

Each register holds one value. A change reads what a majority holds, makes the next value from it and asks the
same majority to accept that under a higher proposal number; there is no leader. The parts are state machines
without I/O: inputs come with the time, and give Effects of what to write, send and answer. Writes come first:
the shell sends and answers only once all writes of the same effects are safe on disk.

Epochs. A proposal number begins with its epoch, and counts only among the voters of that epoch. The set of
voters of epoch e + 1 is the value of the register VOTER_SET that the voters of e choose. A voter is an
address *and* a disk: a machine whose disk came back empty is a new member, and what its old disk promised
binds only the epochs that the old disk was part of. How voters go from one epoch to the next: `epochs`. A
value that was only carried over counts as chosen once a proposal of the epoch itself has chosen it.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ..value_diff import apply_difference
from .acceptor import Acceptor, NumberedValue
from .effects import Effects, no_effects
from .epoch_messages import EpochNotice, EpochState, JoinEpoch
from .epochs import EpochTransition
from .learner import Learner
from .local_member import NEVER_ACTIVE, LocalMember
from .messages import (
    Accept,
    AcceptDifference,
    Accepted,
    Chosen,
    FetchChosen,
    Prepare,
    Promise,
    RegisterMessage,
    Rejected,
    RoundDone,
    VoterReply,
    VoterRequest,
    decode,
)
from .proposal_number import NO_PROPOSAL, ProposalNumber
from .proposal_round import Change
from .proposer import Proposer, Rejection
from .proposer_backoff import ProposerBackoff
from .registers import ALL_REGISTERS, VOTER_SET
from .timing import PHASE_TIMEOUT
from .voter_set import VoterSet


class ConsensusReplica:
    """The registers at one controller: its acceptors, proposer and learner, and its place in the epochs.

    All times (`now`, `within`) are in s on the caller's steady clock.
    """

    member_class = LocalMember
    learner_class = Learner
    proposer_class = Proposer

    def __init__(
        self,
        address: str,
        disk: str,
        incarnation: int,
        stored: Mapping[str, tuple] | None = None,
        voter_set: VoterSet | None = None,
        active_epoch: int = NEVER_ACTIVE,
    ) -> None:
        """disk: the name of this machine's disk; incarnation: of this process, higher at each start; stored:
        (promised, accepted, value) by register; voter_set: the newest one known; active_epoch: the newest
        epoch in which this disk was active.
        """
        stored = stored or {}
        self.member = self.member_class(address, disk, incarnation, voter_set, active_epoch)
        self.acceptors = {register: Acceptor(*stored.get(register, ())) for register in ALL_REGISTERS}
        self.durable_accepted = {register: acceptor.accepted for register, acceptor in self.acceptors.items()}
        # raises where a difference leads to no value of this register; the shell sets it
        self.require_value: Callable[[str, Any], None] = lambda register, value: None
        backoff = ProposerBackoff(address, PHASE_TIMEOUT)
        self.learner = self.learner_class(self.member, self.acceptors, backoff)
        self.proposer = self.proposer_class(self.member, self.acceptors, self.learner, backoff)
        self.epochs = EpochTransition(self.member, self.acceptors, self.learner, self.proposer)
        self.learner.adopt_voter_set = self.epochs.adopt_voter_set

    # --- what is known here

    @property
    def address(self) -> str:
        """This controller's."""
        return self.member.address

    @property
    def disk(self) -> str:
        """The name of this machine's disk."""
        return self.member.disk

    @property
    def voter_set(self) -> VoterSet:
        """The newest set of voters known here."""
        return self.member.voter_set

    @property
    def epoch(self) -> int:
        """The epoch of that set."""
        return self.member.epoch

    @property
    def voters(self) -> dict[str, str]:
        """The name of each voter's disk, by its address."""
        return self.member.voters

    @property
    def active_epoch(self) -> int:
        """The newest epoch in which this disk was active; below 0 if none, or if it votes no more."""
        return self.member.active_epoch

    @property
    def is_member(self) -> bool:
        """Whether this controller, on this disk, may have a seat in that epoch."""
        return self.member.is_member

    @property
    def is_active_voter(self) -> bool:
        """Whether this controller votes in that epoch."""
        return self.member.is_active_voter

    @property
    def chosen(self) -> dict[str, NumberedValue]:
        """By register, the newest value known to be chosen."""
        return self.learner.chosen

    @property
    def peer_commitments(self) -> dict[str, dict[str, ProposalNumber]]:
        """By register and voter, the highest proposal of this epoch that it promised or accepted."""
        return self.learner.commitments

    def take_last_rejection(self) -> Rejection | None:
        """The newest rejection of a proposal of ours that was not taken yet, for the log."""
        rejection, self.proposer.last_rejection = self.proposer.last_rejection, None
        return rejection

    def value(self, register: str) -> Any:
        """The newest value known to be chosen, or None."""
        return self.chosen[register].value

    def version(self, register: str) -> int:
        """The number of that value, 0 for none."""
        value = self.value(register)
        return value["n"] if value else 0

    # --- what the shell brings

    def propose(self, now: float, register: str, change: Change, tag: Any, within: float) -> Effects:
        """Queue a change.

        change: from the value that stands (None at first) to (next value or None for none, outcome). It may
        be called more than once, and only the last outcome counts. Its answer is (tag, outcome), in these or
        in later effects, or (tag, None) where the outcome stayed unclear for `within` s.
        """
        effects = no_effects()
        self.proposer.propose(now, register, change, tag, within, effects)
        return effects

    def tick(self, now: float) -> Effects:
        """Time has passed: retry lost rounds, complete what others left, ask again for an epoch's state."""
        effects = no_effects()
        for register in ALL_REGISTERS:
            self.proposer.tick(now, register, effects)
        self.epochs.tick(now, effects)
        return effects

    def mark_durable(self, register: str, accepted: ProposalNumber) -> None:
        """The newest write of this register is safe on disk."""
        self.durable_accepted[register] = accepted

    def stop_voting(self) -> None:
        """Answer nothing as a voter any more, on the way to the end of this process."""
        self.member.active_epoch = NEVER_ACTIVE

    def adopt_voter_set(self, now: float, voter_set: VoterSet, effects: Effects) -> None:
        """A peer tells the newest set of voters that it knows to be chosen."""
        self.epochs.adopt_voter_set(now, voter_set, effects)

    def check_disk_rollback(self, epoch: int, commitments: Mapping[str, Sequence], new_disk: str) -> Effects:
        """A peer tells what it heard this voter commit to; see `EpochTransition.check_disk_rollback`."""
        numbers = {
            register: ProposalNumber.from_wire(number)
            for register, number in commitments.items()
            if register in self.acceptors  # else of a program that knows more registers
        }
        effects = self.epochs.check_disk_rollback(epoch, numbers, new_disk)
        if effects.facts:
            self.durable_accepted = dict.fromkeys(ALL_REGISTERS, NO_PROPOSAL)
        return effects

    def record_acceptance(
        self, now: float, peer: str, disk: str, register: str, number: Sequence, effects: Effects
    ) -> None:
        """A voter has accepted this proposal and has it safe on its disk."""
        number = ProposalNumber.from_wire(number)
        if not self.learner.record_acceptance(peer, disk, register, number):
            return
        self.proposer.on_acceptance(now, peer, register, number, effects)
        if self.learner.learn_if_majority_accepted(now, peer, register, number, effects):
            self.proposer.start_next_round(now, register, effects)

    def receive(self, now: float, peer: str, wire: dict) -> Effects:
        """Handle a message of consensus, in its wire form."""
        effects = no_effects()
        if wire.get("r", VOTER_SET) not in self.acceptors:
            return effects  # of a program that knows more registers
        message = decode(wire)
        match message:
            case EpochNotice():
                self.adopt_voter_set(now, message.voter_set, effects)
            case JoinEpoch():
                self.epochs.on_join_epoch(now, peer, message, effects)
            case EpochState():
                self.epochs.on_epoch_state(now, peer, message, effects)
            case _:
                self.proposer.observe_counter(message.register, message.proposal_number)
                self._handle_register_message(now, peer, message, effects)
        return effects

    def _handle_register_message(
        self, now: float, peer: str, message: RegisterMessage, effects: Effects
    ) -> None:
        match message:
            case Prepare() | Accept() | AcceptDifference():
                self._on_voter_request(now, peer, message, effects)
            case Promise() | Accepted() | Rejected():
                if self.member.is_current_voter(peer, message.disk):
                    self._on_voter_reply(now, peer, message, effects)
            case FetchChosen():
                self.learner.on_fetch(peer, message, effects)
            case Chosen(register, number, value):
                self.learner.learn(now, register, number, value, effects)
            case RoundDone(register, number):
                self.proposer.backoff.round_finished(register, number)
                self.proposer.start_next_round(now, register, effects)

    def _on_voter_reply(self, now: float, peer: str, message: VoterReply, effects: Effects) -> None:
        match message:
            case Promise():
                self.proposer.on_promise(now, peer, message, effects)
            case Accepted(register, number, disk):
                self.record_acceptance(now, peer, disk, register, number, effects)
            case Rejected():
                self.proposer.on_rejection(now, peer, message)

    # --- the acceptors

    def _on_voter_request(self, now: float, peer: str, request: VoterRequest, effects: Effects) -> None:
        """Answer a proposer of this epoch; tell one of an earlier epoch that it missed a change."""
        if request.proposal_number.epoch < self.epoch:
            effects.send(peer, EpochNotice(self.voter_set))
        elif self.is_active_voter and request.proposal_number.epoch == self.epoch:
            match request:
                case Prepare():
                    self._on_prepare(now, peer, request, effects)
                case Accept(register, number, value):
                    self._accept(now, peer, register, number, value, effects)
                case AcceptDifference(register, number, base, difference):
                    acceptor = self.acceptors[register]
                    if base == acceptor.accepted:  # else the next round brings the value itself
                        value = apply_difference(acceptor.value, difference)
                        self.require_value(register, value)
                        self._accept(now, peer, register, number, value, effects)

    def _on_prepare(self, now: float, peer: str, prepare: Prepare, effects: Effects) -> None:
        register, number, held = prepare
        acceptor = self.acceptors[register]
        if not acceptor.prepare(number):
            self._reject(peer, register, number, effects)
            return
        self.proposer.backoff.observe(now, register, number)
        effects.write(register, acceptor)
        promise = Promise(register, number, self.disk, acceptor.accepted)
        if held != acceptor.accepted:
            promise = promise._replace(value=acceptor.value)
        effects.send(peer, promise)

    def _accept(
        self, now: float, peer: str, register: str, number: ProposalNumber, value: Any, effects: Effects
    ) -> None:
        """Accept what `peer` proposes, and tell it and all voters."""
        acceptor = self.acceptors[register]
        if not acceptor.accept(number, value):
            self._reject(peer, register, number, effects)
            return
        self.proposer.backoff.observe(now, register, number)
        effects.write(register, acceptor)
        effects.broadcast(sorted({*self.voters, peer}), Accepted(register, number, self.disk))

    def _reject(self, peer: str, register: str, number: ProposalNumber, effects: Effects) -> None:
        promised = self.acceptors[register].promised
        effects.send(peer, Rejected(register, number, promised, self.disk))
