"""Proposal numbers: which attempt to choose a value came later, the same order at every controller."""

from collections.abc import Sequence
from typing import NamedTuple

from ...common.errors import PeerMessageError
from ...common.messages.fields import is_proposal_number


class ProposalNumber(NamedTuple):
    """The number of one proposal; later proposals compare greater, field by field.

    It compares equal to the plain tuple of its fields, and JSON encodes it as the list of them: its form on
    the wire and on disk.
    """

    epoch: int
    counter: int  # of proposals in this register, above every one that the proposer knew of
    proposer: str  # address of the controller that proposes
    incarnation: int  # of that controller's process, so that no two of them share a number

    @classmethod
    def from_wire(cls, fields: Sequence) -> "ProposalNumber":
        """Read the form on the wire, a list of the fields in order. Raises PeerMessageError."""
        if not is_proposal_number(fields):
            raise PeerMessageError(f"expected a proposal number, found {fields!r:.60}")
        return cls(*fields)


NO_PROPOSAL = ProposalNumber(0, 0, "", 0)


def format_proposal_number(number: ProposalNumber) -> str:
    """The form that logs use, alike at every controller: epoch.counter@proposer/incarnation in hex."""
    epoch, counter, proposer, incarnation = number
    return f"{epoch}.{counter}@{proposer}/{incarnation:x}"
