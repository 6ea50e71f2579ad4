"""The messages of consensus between controllers, and their form on the wire.

On the wire a message is a JSON map. Its keys: k kind, r register, b number of the proposal (for `chosen`, of
the value), disk name of the sender's disk, a number last accepted, v value, p number promised, m set of
voters. Machines of different versions run side by side, so the keys, and which of them are left out, stay as
they are.
"""

from typing import Any, NamedTuple, Protocol

from ...common.errors import PeerMessageError
from ...common.messages.fields import Fields
from .epoch_messages import EPOCH_NOTICE, EPOCH_STATE, JOIN_EPOCH, OMITTED, EpochNotice, EpochState, JoinEpoch
from .proposal_number import ProposalNumber

# kinds, as `k` on the wire
PREPARE = "prepare"
PROMISE = "promise"
ACCEPT = "accept"
ACCEPTED = "accepted"
REJECTED = "refuse"
ROUND_DONE = "done"
FETCH_CHOSEN = "fetch"
CHOSEN = "chosen"

parse_proposal_number = ProposalNumber.from_wire


class Message(Protocol):
    """What every message of this module has."""

    def to_wire(self) -> dict:
        """The form on the wire."""
        ...


class Prepare(NamedTuple):
    """A proposer asks for a promise. held: what it has accepted itself; a voter that has the same leaves out
    its value in the reply.
    """

    register: str
    proposal_number: ProposalNumber
    held: ProposalNumber

    @classmethod
    def from_wire(cls, wire: dict) -> "Prepare":
        """Read the form on the wire."""
        return cls(wire["r"], parse_proposal_number(wire["b"]), parse_proposal_number(wire["have"]))

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": PREPARE, "r": self.register, "b": self.proposal_number, "have": self.held}


class Promise(NamedTuple):
    """A voter answers no lower proposal any more. accepted, value: what it accepted last."""

    register: str
    proposal_number: ProposalNumber
    disk: str
    accepted: ProposalNumber
    value: Any = OMITTED

    @property
    def has_value(self) -> bool:
        """Whether the voter sent the value; else the proposer is expected to hold it."""
        return self.value is not OMITTED

    @classmethod
    def from_wire(cls, wire: dict) -> "Promise":
        """Read the form on the wire."""
        register, disk = wire["r"], Fields(wire).text("disk")
        accepted, value = parse_proposal_number(wire["a"]), wire.get("v", OMITTED)
        return cls(register, parse_proposal_number(wire["b"]), disk, accepted, value)

    def to_wire(self) -> dict:
        """The form on the wire."""
        wire = {"k": PROMISE, "r": self.register, "b": self.proposal_number, "disk": self.disk}
        wire["a"] = self.accepted
        if self.has_value:
            wire["v"] = self.value
        return wire


class Accept(NamedTuple):
    """A proposer asks a voter to accept this value."""

    register: str
    proposal_number: ProposalNumber
    value: Any

    @classmethod
    def from_wire(cls, wire: dict) -> "Accept | AcceptDifference":
        """Read the form on the wire."""
        if "base" in wire:
            return AcceptDifference(
                wire["r"], parse_proposal_number(wire["b"]), parse_proposal_number(wire["base"]), wire["d"]
            )
        return cls(wire["r"], parse_proposal_number(wire["b"]), wire["v"])

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": ACCEPT, "r": self.register, "b": self.proposal_number, "v": self.value}


class AcceptDifference(NamedTuple):
    """The same, with the value given by how it differs from the one that the voter accepted under `base`."""

    register: str
    proposal_number: ProposalNumber
    base: ProposalNumber
    difference: dict | None

    def to_wire(self) -> dict:
        """The form on the wire."""
        wire = {"k": ACCEPT, "r": self.register, "b": self.proposal_number}
        return {**wire, "base": self.base, "d": self.difference}


class Accepted(NamedTuple):
    """A voter tells all voters what it has accepted, and has safe on its disk."""

    register: str
    proposal_number: ProposalNumber
    disk: str

    @classmethod
    def from_wire(cls, wire: dict) -> "Accepted":
        """Read the form on the wire."""
        return cls(wire["r"], parse_proposal_number(wire["b"]), Fields(wire).text("disk"))

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": ACCEPTED, "r": self.register, "b": self.proposal_number, "disk": self.disk}


class Rejected(NamedTuple):
    """A voter has promised a higher proposal than the one that it was asked about."""

    register: str
    proposal_number: ProposalNumber
    promised: ProposalNumber
    disk: str

    @classmethod
    def from_wire(cls, wire: dict) -> "Rejected":
        """Read the form on the wire."""
        return cls(
            wire["r"],
            parse_proposal_number(wire["b"]),
            parse_proposal_number(wire["p"]),
            Fields(wire).text("disk"),
        )

    def to_wire(self) -> dict:
        """The form on the wire."""
        wire = {"k": REJECTED, "r": self.register, "b": self.proposal_number}
        return {**wire, "p": self.promised, "disk": self.disk}


class RoundDone(NamedTuple):
    """A proposer tells that its round had nothing to write, so others need not wait for it."""

    register: str
    proposal_number: ProposalNumber

    @classmethod
    def from_wire(cls, wire: dict) -> "RoundDone":
        """Read the form on the wire."""
        return cls(wire["r"], parse_proposal_number(wire["b"]))

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": ROUND_DONE, "r": self.register, "b": self.proposal_number}


class FetchChosen(NamedTuple):
    """Ask for the value chosen under this number, or a newer one."""

    register: str
    proposal_number: ProposalNumber

    @classmethod
    def from_wire(cls, wire: dict) -> "FetchChosen":
        """Read the form on the wire."""
        return cls(wire["r"], parse_proposal_number(wire["b"]))

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": FETCH_CHOSEN, "r": self.register, "b": self.proposal_number}


class Chosen(NamedTuple):
    """This value is chosen, under this number."""

    register: str
    proposal_number: ProposalNumber
    value: Any

    @classmethod
    def from_wire(cls, wire: dict) -> "Chosen":
        """Read the form on the wire."""
        return cls(wire["r"], parse_proposal_number(wire["b"]), wire["v"])

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": CHOSEN, "r": self.register, "b": self.proposal_number, "v": self.value}


VoterRequest = Prepare | Accept | AcceptDifference
VoterReply = Promise | Accepted | Rejected
RegisterMessage = VoterRequest | VoterReply | RoundDone | FetchChosen | Chosen
EpochMessage = EpochNotice | JoinEpoch | EpochState

MESSAGE_TYPES: dict[str, Any] = {
    PREPARE: Prepare,
    PROMISE: Promise,
    ACCEPT: Accept,
    ACCEPTED: Accepted,
    REJECTED: Rejected,
    ROUND_DONE: RoundDone,
    FETCH_CHOSEN: FetchChosen,
    CHOSEN: Chosen,
    EPOCH_NOTICE: EpochNotice,
    JOIN_EPOCH: JoinEpoch,
    EPOCH_STATE: EpochState,
}
CONSENSUS_MESSAGE_KINDS = frozenset(MESSAGE_TYPES)  # of the messages on a link that consensus handles


def decode(wire: dict) -> RegisterMessage | EpochMessage:
    """The message of this wire form. KeyError where its kind is unknown, PeerMessageError where a key is
    missing or has a value of another type.
    """
    message_type = MESSAGE_TYPES[wire["k"]]
    try:
        return message_type.from_wire(wire)
    except (KeyError, TypeError) as error:
        raise PeerMessageError(f"{wire['k']}: {error!r}") from error
