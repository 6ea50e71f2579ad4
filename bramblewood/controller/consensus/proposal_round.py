"""A proposed change, and the round of promises and acceptances that carries it."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from .acceptor import NumberedValue
from .messages import Accept, AcceptDifference
from .proposal_number import NO_PROPOSAL, ProposalNumber

# maps the current value, which is None at first, to (next value, outcome); no value is written if the next
# value is None
Change = Callable[[Any], tuple[Any, Any]]


class Phase(Enum):
    """The phase of a round."""

    WAITING = "waiting"  # for its first or next attempt
    PREPARING = "preparing"  # until a majority has promised
    ACCEPTING = "accepting"  # until a majority has accepted


class ProposalRound:
    """One change that was proposed at this controller, and the state of the round that carries it."""

    def __init__(self, register: str, change: Change, tag: Any, deadline: float) -> None:
        """Creates a waiting round. change, tag: as in `ConsensusReplica.propose`.

        deadline: the time (s, on the caller's clock) from which the outcome counts as unclear.
        """
        self.register, self.change, self.tag, self.deadline = register, change, tag, deadline
        self.outcome: Any = None
        self.phase = Phase.WAITING
        self.phase_deadline = 0.0
        self.attempts = 0
        self.next_attempt_at = 0.0
        self.proposal_number = NO_PROPOSAL
        self.promises: dict[str, NumberedValue] = {}  # by voter, what it had accepted when it promised
        self.accepted_by: set[str] = set()
        # the queued rounds whose changes this round carries, including itself; each change applies to the
        # result of the one before it
        self.batch: list[ProposalRound] = []
        self.base: ProposalNumber = NO_PROPOSAL  # number of the value from which the proposed one is made
        self.accept_difference: AcceptDifference | None = None  # for voters that hold the value of `base`
        self.accept_value: Accept | None = None  # for the other voters

    def begin_prepare(self, number: ProposalNumber, phase_deadline: float) -> None:
        """Begins an attempt under this number, which collects promises until `phase_deadline` (s)."""
        self.proposal_number = number
        self.phase, self.phase_deadline = Phase.PREPARING, phase_deadline
        self.promises, self.accepted_by = {}, set()
        self.attempts += 1

    def begin_accept(
        self, base: ProposalNumber, value: Any, difference: dict | None, phase_deadline: float
    ) -> None:
        """Proposes `value`, and collects acceptances until `phase_deadline` (s).

        difference: what changes from the value accepted under `base` to `value`.
        """
        self.phase, self.phase_deadline = Phase.ACCEPTING, phase_deadline
        self.base = base
        self.accept_value = Accept(self.register, self.proposal_number, value)
        self.accept_difference = AcceptDifference(self.register, self.proposal_number, base, difference)

    def wait_until(self, next_attempt_at: float) -> None:
        """Ends the current attempt. The next one may begin at this time (s)."""
        self.phase, self.next_attempt_at = Phase.WAITING, next_attempt_at

    def newest_accepted(self) -> NumberedValue:
        """Returns the value with the highest number among those that the promises report as accepted."""
        newest_number = max(promise.proposal_number for promise in self.promises.values())
        return next(promise for promise in self.promises.values() if promise.proposal_number == newest_number)
