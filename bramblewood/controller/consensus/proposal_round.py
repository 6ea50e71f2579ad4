"""One proposal on its way from prepare to accept."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from .acceptor import NumberedValue
from .messages import Accept, AcceptDifference
from .proposal_number import NO_PROPOSAL, ProposalNumber

# from the value that stands (None at first) to (next value or None for none, outcome)
Change = Callable[[Any], tuple[Any, Any]]


class Phase(Enum):
    """How far a round has come."""

    WAITING = "waiting"  # not begun, or to begin anew
    PREPARING = "preparing"  # until a majority has promised
    ACCEPTING = "accepting"  # until a majority has accepted


class ProposalRound:
    """One change that was proposed here, and how far the round that carries it has come."""

    def __init__(self, register: str, change: Change, tag: Any, deadline: float) -> None:
        """change, tag: as in `Proposer.propose`; deadline: when its outcome counts as unclear."""
        self.register, self.change, self.tag, self.deadline = register, change, tag, deadline
        self.outcome: Any = None
        self.phase = Phase.WAITING
        self.phase_deadline = 0.0
        self.attempts = 0
        self.next_attempt_at = 0.0
        self.proposal_number = NO_PROPOSAL
        self.promises: dict[str, NumberedValue] = {}  # by voter, what it had accepted
        self.accepted_by: set[str] = set()
        # whose changes this round carries, each made on the value that the one before it made
        self.batch: list[ProposalRound] = []
        self.base: ProposalNumber = NO_PROPOSAL  # of the value that the proposed one was made from
        self.accept_difference: AcceptDifference | None = None  # for voters that hold `base`
        self.accept_value: Accept | None = None  # for the others

    def begin_prepare(self, number: ProposalNumber, phase_deadline: float) -> None:
        """Ask for promises under this number until `phase_deadline` (s, the caller's clock)."""
        self.proposal_number = number
        self.phase, self.phase_deadline = Phase.PREPARING, phase_deadline
        self.promises, self.accepted_by = {}, set()
        self.attempts += 1

    def begin_accept(self, base: ProposalNumber, value: Any, difference: dict | None, until: float) -> None:
        """Ask to accept `value`, made from the one accepted under `base`, until `until` (s)."""
        self.phase, self.phase_deadline = Phase.ACCEPTING, until
        self.base = base
        self.accept_value = Accept(self.register, self.proposal_number, value)
        self.accept_difference = AcceptDifference(self.register, self.proposal_number, base, difference)

    def wait_until(self, next_attempt_at: float) -> None:
        """Begin anew at this time (s)."""
        self.phase, self.next_attempt_at = Phase.WAITING, next_attempt_at

    def newest_accepted(self) -> NumberedValue:
        """The newest value that any voter which promised had accepted."""
        newest = max(promise.proposal_number for promise in self.promises.values())
        return next(promise for promise in self.promises.values() if promise.proposal_number == newest)
