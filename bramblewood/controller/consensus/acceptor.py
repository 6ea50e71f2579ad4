"""The acceptor of one register: what this disk has promised and accepted."""

from typing import Any, NamedTuple

from .proposal_number import NO_PROPOSAL, ProposalNumber


class NumberedValue(NamedTuple):
    """A register's value, with the number of the proposal under which it was accepted or chosen."""

    proposal_number: ProposalNumber
    value: Any


class Acceptor:
    """The state of one register at one voter.

    promised: the highest proposal number that was promised; the acceptor rejects every lower proposal.
    accepted, value: the number of the proposal that was accepted last, and its value.

    Invariant: accepted <= promised, and neither of them ever decreases.
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
        """Promises to reject every proposal below `number`.

        Returns False, and changes nothing, if this number or a higher one is promised already.
        """
        if number <= self.promised:
            return False
        self.promised = number
        return True

    def accept(self, number: ProposalNumber, value: Any) -> bool:
        """Accepts a proposal. Returns False, and changes nothing, if a higher number is promised."""
        if number < self.promised:
            return False
        self.store(number, value)
        return True

    def store(self, number: ProposalNumber, value: Any) -> None:
        """Stores a value, whatever was promised.

        The caller may store a chosen value even if a higher number is promised. The majority that promised
        the higher number includes a voter that has accepted the chosen value, so the higher proposal is made
        from the chosen value or from a newer one.
        """
        self.promised, self.accepted, self.value = max(self.promised, number), number, value
