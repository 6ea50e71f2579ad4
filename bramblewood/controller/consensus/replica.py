"""One controller's replica of the registers: Paxos among the voters of an epoch.

Each register holds one value. To apply a change, a proposer reads the newest value that any voter of a
majority has accepted, makes the next value from it, and asks the voters to accept that under a higher
proposal number. There is no leader. Each version of a value is one instance of Paxos.

The parts are state machines without I/O. Their inputs include the current time. They return Effects, which
list what to write, send and answer. The caller sends and answers only once all writes of the same effects are
durable.

A proposal number begins with its epoch, and counts only among the voters of that epoch. The voter set of
epoch e + 1 is the value of the register VOTER_SET that the voters of e choose; `epochs` describes the
transition. A voter is an address together with a disk. A controller whose disk came back empty counts as
another voter. The promises of its old disk bind only the epochs in which the old disk was a voter. A value
that is carried over from an earlier epoch counts as chosen once a proposal of this epoch has chosen it.
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
    decode_message,
)
from .proposal_number import NO_PROPOSAL, ProposalNumber
from .proposal_round import Change
from .proposer import Proposer, RoundRejection
from .proposer_backoff import ProposerBackoff
from .registers import ALL_REGISTERS, VOTER_SET
from .timing import PHASE_TIMEOUT
from .voter_set import VoterSet


class ConsensusReplica:
    """The registers at one controller: its acceptors, proposer, learner and epoch transition.

    All times are in s. `now` is the time on the caller's monotonic clock.
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
        """Creates the replica from what the disk holds.

        disk: the name of this controller's disk.
        incarnation: a number that identifies this process among all processes at the address.
        stored: (promised, accepted, value) by register.
        voter_set: the newest voter set that was learned as chosen.
        active_epoch: the newest epoch in which this disk was an active voter.
        """
        stored = stored or {}
        self.member = self.member_class(address, disk, incarnation, voter_set, active_epoch)
        self.acceptors = {register: Acceptor(*stored.get(register, ())) for register in ALL_REGISTERS}
        self.durable_accepted = {register: acceptor.accepted for register, acceptor in self.acceptors.items()}
        # The caller sets this function. It is called with values that result from a difference, and raises an
        # error if the value is not valid for the register.
        self.validate_value: Callable[[str, Any], None] = lambda register, value: None
        backoff = ProposerBackoff(address, PHASE_TIMEOUT)
        self.learner = self.learner_class(self.member, self.acceptors, backoff)
        self.proposer = self.proposer_class(self.member, self.acceptors, self.learner, backoff)
        self.epochs = EpochTransition(self.member, self.acceptors, self.learner, self.proposer)
        self.learner.adopt_voter_set = self.epochs.adopt_voter_set

    # --- state

    @property
    def address(self) -> str:
        """Returns the address of this controller."""
        return self.member.address

    @property
    def disk(self) -> str:
        """Returns the name of this controller's disk."""
        return self.member.disk

    @property
    def voter_set(self) -> VoterSet:
        """Returns the newest voter set learned as chosen, which is the current one."""
        return self.member.voter_set

    @property
    def epoch(self) -> int:
        """Returns the epoch of the current voter set."""
        return self.member.epoch

    @property
    def voters(self) -> dict[str, str]:
        """Returns the name of each current voter's disk, by the voter's address."""
        return self.member.voters

    @property
    def active_epoch(self) -> int:
        """Returns the newest epoch in which this disk was active.

        Returns NEVER_ACTIVE if there is none, and after `stop_voting`.
        """
        return self.member.active_epoch

    @property
    def matches_seat(self) -> bool:
        """Returns whether a seat of the current voter set names this disk, or is open to any disk here."""
        return self.member.matches_seat

    @property
    def is_active_voter(self) -> bool:
        """Returns whether this controller votes in the current epoch."""
        return self.member.is_active_voter

    @property
    def chosen(self) -> dict[str, NumberedValue]:
        """Returns the newest value learned as chosen, by register."""
        return self.learner.chosen

    @property
    def peer_commitments(self) -> dict[str, dict[str, ProposalNumber]]:
        """Returns, by register and voter, the highest proposal of this epoch promised or accepted there."""
        return self.learner.commitments

    def take_last_rejection(self) -> RoundRejection | None:
        """Returns the newest rejection of a proposal of this controller, for the log, and forgets it."""
        rejection, self.proposer.last_rejection = self.proposer.last_rejection, None
        return rejection

    def value(self, register: str) -> Any:
        """Returns the newest value learned as chosen, or None if there is none."""
        return self.chosen[register].value

    def version(self, register: str) -> int:
        """Returns the version number of the newest value learned as chosen, or 0 if there is none."""
        value = self.value(register)
        return value["n"] if value else 0

    # --- inputs from the caller

    def propose(self, now: float, register: str, change: Change, tag: Any, timeout: float) -> Effects:
        """Queues a change of a register's value.

        change: a function from the current value, which is None at first, to (next value, outcome). A next
        value of None writes nothing. The function may be called more than once; the last outcome counts.
        timeout: the time after which the outcome counts as unclear.

        The effects of this step or of a later one include the answer, which is (tag, outcome), or (tag, None)
        if the outcome is unclear.
        """
        effects = no_effects()
        self.proposer.propose(now, register, change, tag, timeout, effects)
        return effects

    def tick(self, now: float) -> Effects:
        """Retries failed rounds, completes unfinished ones, and repeats requests for an epoch's state."""
        effects = no_effects()
        for register in ALL_REGISTERS:
            self.proposer.tick(now, register, effects)
        self.epochs.tick(now, effects)
        return effects

    def mark_durable(self, register: str, accepted: ProposalNumber) -> None:
        """Records that the row of this register with this accepted number is durable."""
        self.durable_accepted[register] = accepted

    def stop_voting(self) -> None:
        """Makes this controller answer no proposal from now on, because its process is about to exit.

        It joins no further epoch, and reports no state to voters that join one.
        """
        self.member.active_epoch, self.member.has_stopped_voting = NEVER_ACTIVE, True

    def adopt_voter_set(self, now: float, voter_set: VoterSet, effects: Effects) -> None:
        """Adopts a voter set that a peer reports as chosen, if it is newer."""
        self.epochs.adopt_voter_set(now, voter_set, effects)

    def check_disk_rollback(self, epoch: int, commitments: Mapping[str, Sequence], new_disk: str) -> Effects:
        """Checks the commitments that a peer has recorded for this voter.

        See `EpochTransition.check_disk_rollback`. Raises PeerMessageError.
        """
        numbers = {
            register: ProposalNumber.from_wire(number)
            for register, number in commitments.items()
            if register in self.acceptors  # else it is a register that only a later release has
        }
        effects = self.epochs.check_disk_rollback(epoch, numbers, new_disk)
        if effects.facts:
            self.durable_accepted = dict.fromkeys(ALL_REGISTERS, NO_PROPOSAL)
        return effects

    def record_acceptance(
        self, now: float, peer: str, disk: str, register: str, number: Sequence, effects: Effects
    ) -> None:
        """Handles the report that a voter has accepted a proposal and holds it on its disk."""
        number = ProposalNumber.from_wire(number)
        if not self.learner.record_acceptance(peer, disk, register, number):
            return
        self.proposer.on_acceptance(now, peer, register, number, effects)
        if self.learner.learn_if_majority_accepted(now, peer, register, number, effects):
            self.proposer.start_next_round(now, register, effects)

    def receive(self, now: float, peer: str, wire: dict) -> Effects:
        """Handles a message of consensus, given in its wire form. Raises PeerMessageError."""
        effects = no_effects()
        if wire.get("r", VOTER_SET) not in self.acceptors:
            return effects  # the register is one that only a later release has
        message = decode_message(wire)
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
        """Handles a request of a proposer. Sends the current voter set to a proposer of an earlier epoch."""
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
                    if base == acceptor.accepted:  # else the proposer sends the value in the next round
                        value = apply_difference(acceptor.value, difference)
                        self.validate_value(register, value)
                        self._accept(now, peer, register, number, value, effects)

    def _on_prepare(self, now: float, peer: str, prepare: Prepare, effects: Effects) -> None:
        register, number, proposer_accepted = prepare
        acceptor = self.acceptors[register]
        if not acceptor.prepare(number):
            self._reject(peer, register, number, effects)
            return
        self.proposer.backoff.observe(now, register, number)
        effects.write(register, acceptor)
        promise = Promise(register, number, self.disk, acceptor.accepted)
        if proposer_accepted != acceptor.accepted:
            promise = promise._replace(value=acceptor.value)
        effects.send(peer, promise)

    def _accept(
        self, now: float, peer: str, register: str, number: ProposalNumber, value: Any, effects: Effects
    ) -> None:
        """Accepts the proposal of `peer` and reports that to `peer` and all voters, or rejects it."""
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
