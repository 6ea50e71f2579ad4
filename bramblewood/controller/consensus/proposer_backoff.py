"""Makes a proposer wait for rounds of other controllers, so that they do not keep making each other fail.

The wait decides when rounds begin. The values that rounds choose do not depend on it.
"""

from typing import NamedTuple

from .proposal_number import ProposalNumber


class CompetingRound(NamedTuple):
    """A round of another controller, and the time until which to wait for it."""

    proposal_number: ProposalNumber
    wait_until: float  # s on the caller's clock


class ProposerBackoff:
    """Holds, by register, the newest unfinished round of another controller, and how long to wait for it."""

    def __init__(self, address: str, phase_timeout: float) -> None:
        """Creates a backoff that waits for no round.

        address: the address of this controller.
        phase_timeout: the time (s) that one phase of a round may take.
        """
        self.address, self.phase_timeout = address, phase_timeout
        self.competing: dict[str, CompetingRound] = {}

    def observe(self, now: float, register: str, number: ProposalNumber) -> None:
        """Records that a voter has promised or accepted this proposal of another controller.

        Each phase of one round extends the wait. A further round of the same controller does not, because a
        controller that repeats its rounds without success may not be receiving the replies to them.
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
        """Ends the wait for the round of this proposal and for older rounds.

        The value of the proposal is chosen, or its round has ended without a write.
        """
        competing = self.competing.get(register)
        if competing is not None and competing.proposal_number <= number:
            del self.competing[register]

    def must_wait(self, now: float, register: str) -> bool:
        """Returns whether a round of another controller may still be in progress in this register."""
        return register in self.competing and now < self.competing[register].wait_until
