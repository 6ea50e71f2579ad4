"""Waiting for another controller's round that is under way, so that proposers do not overtake each other for
ever. When rounds begin rests on this, never what they decide. Pure.
"""

from typing import NamedTuple

from .proposal_number import ProposalNumber


class CompetingRound(NamedTuple):
    """A round of another controller, and until when to wait for it."""

    proposal_number: ProposalNumber
    wait_until: float  # s on the caller's clock


class ProposerBackoff:
    """By register, the newest round of another controller known here, and until when to wait for it."""

    def __init__(self, address: str, phase_timeout: float) -> None:
        """address: this controller's; phase_timeout: s that one phase of a round may take."""
        self.address, self.phase_timeout = address, phase_timeout
        self.competing: dict[str, CompetingRound] = {}

    def observe(self, now: float, register: str, number: ProposalNumber) -> None:
        """A voter has promised or accepted this proposal. A controller that comes with one round after
        another, none of them chosen, is waited for in the first only: it may hear no answers.
        """
        competing = self.competing.get(register)
        if number.proposer == self.address or competing is not None and number < competing.proposal_number:
            return
        wait_until = now + self.phase_timeout
        if competing is not None and competing.proposal_number != number:
            if competing.proposal_number.proposer == number.proposer:
                wait_until = competing.wait_until
        self.competing[register] = CompetingRound(number, wait_until)

    def round_finished(self, register: str, number: ProposalNumber) -> None:
        """This proposal was chosen, or had nothing to write: nobody need wait for it or an older one."""
        competing = self.competing.get(register)
        if competing is not None and competing.proposal_number <= number:
            del self.competing[register]

    def must_wait(self, now: float, register: str) -> bool:
        """Whether a round of another controller may still be under way in this register."""
        return register in self.competing and now < self.competing[register].wait_until
