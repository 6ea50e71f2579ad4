"""The learner: finds out which values are chosen from the acceptances that voters report."""

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
    """The newest value learned as chosen in each register, and what each voter has accepted there.

    Invariant: a value counts as chosen once a majority of an epoch's voters has accepted one proposal of that
    same epoch. The learner calls `adopt_voter_set` when it learns a chosen voter set.
    """

    def __init__(self, member: LocalMember, acceptors: dict[str, Acceptor], backoff: ProposerBackoff) -> None:
        self.member, self.acceptors, self.backoff = member, acceptors, backoff
        self.chosen: dict[str, NumberedValue] = dict.fromkeys(ALL_REGISTERS, NumberedValue(NO_PROPOSAL, None))
        # by register and voter, the newest proposal that the voter has accepted and holds on its disk
        self.acceptances: dict[str, dict[str, ProposalNumber]] = {register: {} for register in ALL_REGISTERS}
        # by register and voter, the highest proposal of this epoch that the voter reported to this controller
        # as promised or accepted
        self.commitments: dict[str, dict[str, ProposalNumber]] = {register: {} for register in ALL_REGISTERS}
        self.next_fetch_at: dict[str, float] = {}
        self.adopt_voter_set: Callable[[float, Any, Effects], None] = lambda now, voter_set, effects: None

    def record_commitment(self, peer: str, register: str, number: ProposalNumber) -> None:
        """Records that this voter has promised or accepted a proposal, if it is one of the current epoch."""
        if number.epoch == self.member.epoch:
            commitments = self.commitments[register]
            commitments[peer] = max(number, commitments.get(peer, NO_PROPOSAL))

    def record_acceptance(self, peer: str, disk: str, register: str, number: ProposalNumber) -> bool:
        """Records that this voter has accepted a proposal and holds it on its disk.

        Returns whether the acceptance counts in the current epoch. It does not count if the proposal was
        carried over from an earlier epoch, or if the sender is not a voter of the current voter set.
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
        """Learns the value of a proposal once a majority has accepted it.

        Requests the value from `peer` if this controller does not hold it. Returns whether the value was
        learned.
        """
        if number <= self.chosen[register].proposal_number:
            return False
        acceptance_count = sum(accepted == number for accepted in self.acceptances[register].values())
        if acceptance_count < self.member.majority:
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
        """Records a value as chosen unless it or a newer one is known. Adopts a chosen voter set at once."""
        if number <= self.chosen[register].proposal_number:
            return
        self.chosen[register] = NumberedValue(number, value)
        self.backoff.round_finished(register, number)
        self.store_chosen(register, number, value, effects)
        if register == VOTER_SET:
            self.adopt_voter_set(now, value, effects)

    def store_chosen(self, register: str, number: ProposalNumber, value: Any, effects: Effects) -> None:
        """Stores a chosen value that this voter has not accepted, as no proposer sends it again.

        The voter may have been away, may have received the request too late, or may have received a
        difference from a value that it does not hold.
        """
        acceptor = self.acceptors[register]
        if self.member.is_active_voter and number.epoch == self.member.epoch and acceptor.accepted < number:
            acceptor.store(number, value)
            effects.write(register, acceptor)

    def on_fetch(self, peer: str, request: FetchChosen, effects: Effects) -> None:
        """Sends the chosen value if it is at least as new as the requested one."""
        chosen = self.chosen[request.register]
        if chosen.proposal_number >= request.proposal_number:
            effects.send(peer, Chosen(request.register, chosen.proposal_number, chosen.value))

    def highest_acceptance(self, register: str) -> ProposalNumber:
        """Returns the highest proposal number that any voter has reported as accepted."""
        return max(self.acceptances[register].values(), default=NO_PROPOSAL)

    def clear_voter_records(self) -> None:
        """Discards the acceptances and commitments of the voters of an epoch that has ended."""
        for by_voter in (*self.acceptances.values(), *self.commitments.values()):
            by_voter.clear()
