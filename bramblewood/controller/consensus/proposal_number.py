"""Proposal numbers, which give all proposals of a register the same order at every controller."""

from collections.abc import Sequence
from typing import NamedTuple

from ...common.errors import PeerMessageError
from ...common.messages.fields import is_proposal_number


class ProposalNumber(NamedTuple):
    """The number of one proposal. Numbers compare field by field, and later proposals compare greater.

    A number equals the plain tuple of its fields. JSON encodes it as the list of its fields, which is the
    form on the wire and on disk.
    """

    epoch: int
    counter: int  # within the register; higher than every counter that the proposer has seen there
    proposer: str  # address of the controller that proposes
    incarnation: int  # identifies that controller's process, so that no two processes use the same number

    @classmethod
    def from_wire(cls, fields: Sequence) -> "ProposalNumber":
        """Decodes the wire form, a list of the fields in order. Raises PeerMessageError."""
        if not is_proposal_number(fields):
            raise PeerMessageError(
                f"expected a proposal number [epoch, counter, proposer, incarnation], found {fields!r:.60}"
            )
        return cls(*fields)


NO_PROPOSAL = ProposalNumber(0, 0, "", 0)


def format_proposal_number(number: ProposalNumber) -> str:
    """Returns the form for logs: epoch.counter@proposer/incarnation, with the incarnation in hexadecimal."""
    epoch, counter, proposer, incarnation = number
    return f"{epoch}.{counter}@{proposer}/{incarnation:x}"
