"""What a step of consensus asks of the caller: writes first, then messages and answers."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from .acceptor import Acceptor
from .proposal_number import ProposalNumber

if TYPE_CHECKING:
    from .messages import Message

# names of the facts, which are values that the disk holds in addition to the registers
DISK_FACT = "disk"
VOTER_SET_FACT = "members"
ACTIVE_EPOCH_FACT = "held"


class RegisterRow(NamedTuple):
    """One register in the form that is written to disk."""

    register: str
    promised: ProposalNumber
    accepted: ProposalNumber
    value: Any


class Effects(NamedTuple):
    """The effects of one step. The caller sends and answers only once all writes of the step are durable."""

    writes: list[RegisterRow]
    sends: list[tuple[str, dict]]  # (address, message in its wire form)
    outcomes: list[tuple[Any, Any]]  # (tag of a proposal, outcome; None if the outcome is unclear)
    facts: dict[str, Any]  # further values to write, by name

    def write(self, register: str, acceptor: Acceptor) -> None:
        """Adds a write of this acceptor's state as the row of this register."""
        self.writes.append(RegisterRow(register, acceptor.promised, acceptor.accepted, acceptor.value))

    def send(self, peer: str, message: "Message") -> None:
        """Adds a message to this controller."""
        self.sends.append((peer, message.to_wire()))

    def broadcast(self, peers: Iterable[str], message: "Message") -> None:
        """Adds the same message to each of these controllers."""
        wire = message.to_wire()
        self.sends.extend((peer, wire) for peer in peers)

    def report_outcome(self, tag: Any, outcome: Any) -> None:
        """Adds the outcome of the proposal with this tag. None stands for an unclear outcome."""
        self.outcomes.append((tag, outcome))


def no_effects() -> Effects:
    """Returns empty effects, to which a step adds its own."""
    return Effects([], [], [], {})


class PendingWrites:
    """The facts, and the rows written together with a fact, that are not yet known to be durable.

    Every write repeats them, because a disk may refuse one write and accept the next. A disk that records an
    epoch as active must hold every row with which that epoch began. The row of a single proposal is not
    repeated, because no message about the proposal is sent unless its write succeeds.
    """

    def __init__(self, facts: dict[str, Any]) -> None:
        self.facts = facts
        self.rows: dict[str, RegisterRow] = {}  # by register

    def prepare_write(self, effects: Effects) -> tuple[list, dict]:
        """Returns the rows and facts to write for these effects. Both are empty if no write is needed."""
        rows = {row[0]: row for row in effects.writes}
        self.facts.update(effects.facts)
        for register, row in rows.items():
            if effects.facts or register in self.rows:
                self.rows[register] = row
        return list((rows | self.rows).values()), dict(self.facts)

    def mark_durable(self, rows: list, facts: dict) -> None:
        """Stops repeating these rows and facts, except if a newer row or fact has replaced them."""
        self.facts = {name: fact for name, fact in self.facts.items() if facts.get(name) != fact}
        self.rows = {
            register: row
            for register, row in self.rows.items()
            if not any(row is written for written in rows)
        }
