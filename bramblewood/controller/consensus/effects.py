"""What a step of consensus asks of the shell: rows and facts to write, then messages to send and answers."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from .acceptor import Acceptor
from .proposal_number import ProposalNumber

if TYPE_CHECKING:
    from .messages import Message

# names of facts on disk
DISK_FACT = "disk"
VOTER_SET_FACT = "members"
ACTIVE_EPOCH_FACT = "held"


class RegisterRow(NamedTuple):
    """One register as it is written to disk."""

    register: str
    promised: ProposalNumber
    accepted: ProposalNumber
    value: Any


class Effects(NamedTuple):
    """The effects of one step. The shell sends and answers only once all of its writes are safe on disk."""

    writes: list[RegisterRow]
    sends: list[tuple[str, dict]]  # (address, message in its wire form)
    answers: list[tuple[Any, Any]]  # (tag of a proposal, outcome; None where that is unclear)
    facts: dict[str, Any]  # what else must be on disk first, by name

    def write(self, register: str, acceptor: Acceptor) -> None:
        """Write this acceptor's state as the row of this register."""
        self.writes.append(RegisterRow(register, acceptor.promised, acceptor.accepted, acceptor.value))

    def send(self, peer: str, message: "Message") -> None:
        """Send a message to this controller."""
        self.sends.append((peer, message.to_wire()))

    def broadcast(self, peers: Iterable[str], message: "Message") -> None:
        """Send one message to all of these controllers."""
        wire = message.to_wire()
        self.sends.extend((peer, wire) for peer in peers)

    def answer(self, tag: Any, outcome: Any) -> None:
        """Answer the proposal of this tag; outcome: None where it is unclear."""
        self.answers.append((tag, outcome))


def no_effects() -> Effects:
    """Effects to be filled."""
    return Effects([], [], [], {})


class PendingWrites:
    """What every write brings along until it is safe on disk: facts, and the rows that a fact speaks of.

    A disk may refuse one write and take the next. A row of a single proposal may then be missing, as nobody
    was told of it; but a disk that says it was active in an epoch must hold every row that this epoch began
    with.
    """

    def __init__(self, facts: dict[str, Any]) -> None:
        self.facts = facts
        self.rows: dict[str, RegisterRow] = {}  # by register

    def prepare_write(self, effects: Effects) -> tuple[list, dict]:
        """The rows and facts to write for these effects; none at all where they need no write."""
        rows = {row[0]: row for row in effects.writes}
        self.facts.update(effects.facts)
        for register, row in rows.items():
            if effects.facts or register in self.rows:
                self.rows[register] = row
        return list((rows | self.rows).values()), dict(self.facts)

    def mark_durable(self, rows: list, facts: dict) -> None:
        """These have been written: they need not come again, unless newer ones took their place."""
        self.facts = {name: fact for name, fact in self.facts.items() if facts.get(name) != fact}
        self.rows = {
            register: row for register, row in self.rows.items() if not any(row is one for one in rows)
        }
