"""The acceptor of one register: what this disk has promised and accepted."""

from typing import Any, NamedTuple

from .proposal_number import NO_PROPOSAL, ProposalNumber


class NumberedValue(NamedTuple):
    """A register's value, with the number of the proposal under which it was accepted or chosen."""

    proposal_number: ProposalNumber
    value: Any


class Acceptor:
    """The state of one register at one voter. Invariant: accepted <= promised, and neither ever falls.

    promised: the highest proposal whose prepare was answered; no lower one is answered any more.
    accepted, value: the proposal accepted last, and its value.
    """

    def __init__(
        self,
        promised: ProposalNumber = NO_PROPOSAL,
        accepted: ProposalNumber = NO_PROPOSAL,
        value: Any = None,
    ) -> None:
        self.promised = ProposalNumber.from_wire(promised)
        self.accepted = ProposalNumber.from_wire(accepted)
        self.value = value

    def prepare(self, number: ProposalNumber) -> bool:
        """Promise to answer no lower proposal; False where that is promised already."""
        if number <= self.promised:
            return False
        self.promised = number
        return True

    def accept(self, number: ProposalNumber, value: Any) -> bool:
        """Accept this value; False where a higher proposal was promised."""
        if number < self.promised:
            return False
        self.keep(number, value)
        return True

    def keep(self, number: ProposalNumber, value: Any) -> None:
        """Hold a value that is chosen. No promise forbids it: whoever got a higher promise has met this value
        at a majority.
        """
        self.promised, self.accepted, self.value = max(self.promised, number), number, value
