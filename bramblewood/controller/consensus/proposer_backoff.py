"""Leaving the way to another archive's ballot that is under way, so that proposers don't overtake each other
for ever. When ballots begin rests on this, never what they decide. Pure.
"""

from typing import Any


class ProposerBackoff:
    """The newest ballot of another archive that is known here, by register, and until when it has the way."""

    def __init__(self, me: str, patience: float) -> None:
        """patience: s that one step of a ballot may take."""
        self.me, self.patience = me, patience
        self.ahead: dict[str, tuple[Any, float]] = {}

    def observe(self, now: float, register: str, proposal_number: Any) -> None:
        """A voter has promised or accepted this ballot. An archive that comes with one ballot after another,
        none of them chosen, gets the way for the first only: it may hear no answers.
        """
        ahead, until = self.ahead.get(register, (None, 0.0))
        proposer = proposal_number[-2]
        if proposer == self.me or ahead is not None and proposal_number < ahead:
            return
        if ahead is None or ahead == proposal_number or ahead[-2] != proposer:
            until = now + self.patience
        self.ahead[register] = (proposal_number, until)

    def round_finished(self, register: str, proposal_number: Any) -> None:
        if register in self.ahead and self.ahead[register][0] <= proposal_number:
            del self.ahead[register]

    def must_wait(self, now: float, register: str) -> bool:
        return register in self.ahead and now < self.ahead[register][1]
