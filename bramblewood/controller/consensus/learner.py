"""The learner: which values are chosen, from what voters say that they have accepted."""

from collections.abc import Callable
from typing import Any

from .acceptor import Acceptor, NumberedValue
from .effects import Effects
from .local_member import LocalMember
from .messages import Chosen, FetchChosen
from .proposal_number import NO_PROPOSAL, ProposalNumber
from .proposer_backoff import ProposerBackoff
from .registers import ALL_REGISTERS, VOTER_SET
from .timing import PHASE_TIMEOUT


class Learner:
    """By register, the newest value known to be chosen, and what each voter has accepted.

    Invariant: a value counts as chosen once a majority of an epoch's voters has accepted one proposal of that
    very epoch. `adopt_voter_set` is called as a set of voters is found to be chosen.
    """

    def __init__(self, member: LocalMember, acceptors: dict[str, Acceptor], backoff: ProposerBackoff) -> None:
        self.member, self.acceptors, self.backoff = member, acceptors, backoff
        self.chosen: dict[str, NumberedValue] = dict.fromkeys(ALL_REGISTERS, NumberedValue(NO_PROPOSAL, None))
        # by register, what each voter has accepted and has safe on its disk
        self.acceptances: dict[str, dict[str, ProposalNumber]] = {name: {} for name in ALL_REGISTERS}
        # by register, the highest proposal of this epoch that each voter promised or accepted, as heard here
        self.commitments: dict[str, dict[str, ProposalNumber]] = {name: {} for name in ALL_REGISTERS}
        self.next_fetch_at: dict[str, float] = {}
        self.adopt_voter_set: Callable[[float, Any, Effects], None] = lambda now, voter_set, effects: None

    def record_commitment(self, peer: str, register: str, number: ProposalNumber) -> None:
        """This voter has promised or accepted this proposal."""
        if number.epoch == self.member.epoch:
            commitments = self.commitments[register]
            commitments[peer] = max(number, commitments.get(peer, NO_PROPOSAL))

    def record_acceptance(self, peer: str, disk: str, register: str, number: ProposalNumber) -> bool:
        """This voter has accepted this proposal and has it safe on its disk.

        Returns whether that counts in this epoch: not where it was carried over from an earlier one, or is of
        a set of voters that is not known here yet.
        """
        acceptances = self.acceptances[register]
        if not self.member.is_current_voter(peer, disk) or number < acceptances.get(peer, NO_PROPOSAL):
            return False
        acceptances[peer] = number
        self.record_commitment(peer, register, number)
        return number.epoch == self.member.epoch

    def learn_if_majority_accepted(
        self, now: float, peer: str, register: str, number: ProposalNumber, effects: Effects
    ) -> bool:
        """Learn this proposal's value once a majority has accepted it; ask `peer` for a value not held here.

        Returns whether it was learned.
        """
        if number <= self.chosen[register].proposal_number:
            return False
        accepted_by = sum(accepted == number for accepted in self.acceptances[register].values())
        if accepted_by < self.member.majority:
            return False
        acceptor = self.acceptors[register]
        if acceptor.accepted == number:
            self.learn(now, register, number, acceptor.value, effects)
            return True
        if now >= self.next_fetch_at.get(register, 0.0):
            self.next_fetch_at[register] = now + PHASE_TIMEOUT
            effects.send(peer, FetchChosen(register, number))
        return False

    def learn(self, now: float, register: str, number: ProposalNumber, value: Any, effects: Effects) -> None:
        """This value is chosen. A set of voters that is chosen is followed at once."""
        if number <= self.chosen[register].proposal_number:
            return
        self.chosen[register] = NumberedValue(number, value)
        self.backoff.round_finished(register, number)
        self.store_chosen(register, number, value, effects)
        if register == VOTER_SET:
            self.adopt_voter_set(now, value, effects)

    def store_chosen(self, register: str, number: ProposalNumber, value: Any, effects: Effects) -> None:
        """Accept a chosen value that this voter missed: it was away as it was chosen, was asked too late, or
        by a difference from what it doesn't hold, and nobody would send it again.
        """
        acceptor = self.acceptors[register]
        if self.member.is_active_voter and number.epoch == self.member.epoch and acceptor.accepted < number:
            acceptor.store(number, value)
            effects.write(register, acceptor)

    def on_fetch(self, peer: str, request: FetchChosen, effects: Effects) -> None:
        """Send the chosen value, if it is as new as the one asked for."""
        chosen = self.chosen[request.register]
        if chosen.proposal_number >= request.proposal_number:
            effects.send(peer, Chosen(request.register, chosen.proposal_number, chosen.value))

    def highest_acceptance(self, register: str) -> ProposalNumber:
        """The highest proposal that any voter is known to have accepted."""
        return max(self.acceptances[register].values(), default=NO_PROPOSAL)

    def clear_voter_records(self) -> None:
        """Other voters count from now on."""
        for by_voter in (*self.acceptances.values(), *self.commitments.values()):
            by_voter.clear()
