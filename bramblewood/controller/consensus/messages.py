"""The messages of consensus between controllers, and their wire forms.

The wire form of a message is a JSON map with some of these keys:

k     the kind of the message
r     the register
b     the number of the proposal
a     the number of the proposal that the sender accepted last
p     the number that the sender has promised
v     a value
base  the number of the proposal whose value a difference applies to
d     a difference between two values
disk  the name of the sender's disk
have  the proposal number, or the proposal number of each register, whose value the sender holds
m     a voter set

`epoch_messages` has further keys. Controllers of different releases run side by side, so neither the keys nor
the conditions under which one is omitted may change.
"""

from typing import Any, NamedTuple, Protocol

from ...common.errors import PeerMessageError
from ...common.messages.fields import Fields
from .epoch_messages import EPOCH_NOTICE, EPOCH_STATE, JOIN_EPOCH, OMITTED, EpochNotice, EpochState, JoinEpoch
from .proposal_number import ProposalNumber

# kinds, the values of the wire key `k`
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
    """The interface of all messages of consensus."""

    def to_wire(self) -> dict:
        """Returns the wire form."""
        ...


class Prepare(NamedTuple):
    """A proposer asks a voter for a promise.

    accepted: the number of the proposal that the proposer's own acceptor accepted last. A voter that accepted
    the same proposal last omits the value in its reply.
    """

    register: str
    proposal_number: ProposalNumber
    accepted: ProposalNumber

    @classmethod
    def from_wire(cls, wire: dict) -> "Prepare":
        """Decodes the wire form."""
        return cls(wire["r"], parse_proposal_number(wire["b"]), parse_proposal_number(wire["have"]))

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"k": PREPARE, "r": self.register, "b": self.proposal_number, "have": self.accepted}


class Promise(NamedTuple):
    """A voter promises to reject every lower proposal.

    accepted, value: the number of the proposal that the voter accepted last, and its value.
    """

    register: str
    proposal_number: ProposalNumber
    disk: str
    accepted: ProposalNumber
    value: Any = OMITTED

    @property
    def has_value(self) -> bool:
        """Returns whether the voter sent the value. If not, the proposer is expected to hold it."""
        return self.value is not OMITTED

    @classmethod
    def from_wire(cls, wire: dict) -> "Promise":
        """Decodes the wire form."""
        register, disk = wire["r"], Fields(wire).text("disk")
        accepted, value = parse_proposal_number(wire["a"]), wire.get("v", OMITTED)
        return cls(register, parse_proposal_number(wire["b"]), disk, accepted, value)

    def to_wire(self) -> dict:
        """Returns the wire form."""
        wire = {"k": PROMISE, "r": self.register, "b": self.proposal_number, "disk": self.disk}
        wire["a"] = self.accepted
        if self.has_value:
            wire["v"] = self.value
        return wire


class Accept(NamedTuple):
    """A proposer asks a voter to accept a value."""

    register: str
    proposal_number: ProposalNumber
    value: Any

    @classmethod
    def from_wire(cls, wire: dict) -> "Accept | AcceptDifference":
        """Decodes the wire form. Returns AcceptDifference if the form has a difference."""
        if "base" in wire:
            return AcceptDifference(
                wire["r"], parse_proposal_number(wire["b"]), parse_proposal_number(wire["base"]), wire["d"]
            )
        return cls(wire["r"], parse_proposal_number(wire["b"]), wire["v"])

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"k": ACCEPT, "r": self.register, "b": self.proposal_number, "v": self.value}


class AcceptDifference(NamedTuple):
    """A proposer asks a voter to accept a value, which it sends as a difference.

    base: the number of the proposal that the voter accepted last, to whose value `difference` applies.
    difference: the changes from that value to the proposed one, in the form of `value_diff`.
    """

    register: str
    proposal_number: ProposalNumber
    base: ProposalNumber
    difference: dict | None

    def to_wire(self) -> dict:
        """Returns the wire form."""
        wire = {"k": ACCEPT, "r": self.register, "b": self.proposal_number}
        return {**wire, "base": self.base, "d": self.difference}


class Accepted(NamedTuple):
    """A voter reports to all voters that it has accepted a proposal and that the proposal is on its disk."""

    register: str
    proposal_number: ProposalNumber
    disk: str

    @classmethod
    def from_wire(cls, wire: dict) -> "Accepted":
        """Decodes the wire form."""
        return cls(wire["r"], parse_proposal_number(wire["b"]), Fields(wire).text("disk"))

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"k": ACCEPTED, "r": self.register, "b": self.proposal_number, "disk": self.disk}


class Rejected(NamedTuple):
    """A voter rejects a proposal.

    promised: the higher number that the voter has promised.
    """

    register: str
    proposal_number: ProposalNumber
    promised: ProposalNumber
    disk: str

    @classmethod
    def from_wire(cls, wire: dict) -> "Rejected":
        """Decodes the wire form."""
        return cls(
            wire["r"],
            parse_proposal_number(wire["b"]),
            parse_proposal_number(wire["p"]),
            Fields(wire).text("disk"),
        )

    def to_wire(self) -> dict:
        """Returns the wire form."""
        wire = {"k": REJECTED, "r": self.register, "b": self.proposal_number}
        return {**wire, "p": self.promised, "disk": self.disk}


class RoundDone(NamedTuple):
    """A proposer reports that its round ended without a write, so other proposers need not wait for it."""

    register: str
    proposal_number: ProposalNumber

    @classmethod
    def from_wire(cls, wire: dict) -> "RoundDone":
        """Decodes the wire form."""
        return cls(wire["r"], parse_proposal_number(wire["b"]))

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"k": ROUND_DONE, "r": self.register, "b": self.proposal_number}


class FetchChosen(NamedTuple):
    """A controller asks for the value that is chosen under this number, or for a newer one."""

    register: str
    proposal_number: ProposalNumber

    @classmethod
    def from_wire(cls, wire: dict) -> "FetchChosen":
        """Decodes the wire form."""
        return cls(wire["r"], parse_proposal_number(wire["b"]))

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"k": FETCH_CHOSEN, "r": self.register, "b": self.proposal_number}


class Chosen(NamedTuple):
    """A controller reports that this value is chosen under this number."""

    register: str
    proposal_number: ProposalNumber
    value: Any

    @classmethod
    def from_wire(cls, wire: dict) -> "Chosen":
        """Decodes the wire form."""
        return cls(wire["r"], parse_proposal_number(wire["b"]), wire["v"])

    def to_wire(self) -> dict:
        """Returns the wire form."""
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
CONSENSUS_MESSAGE_KINDS = frozenset(MESSAGE_TYPES)


def decode_message(wire: dict) -> RegisterMessage | EpochMessage:
    """Decodes the wire form of any message of consensus.

    Raises KeyError if the kind is unknown, and PeerMessageError if a key is missing or its value has
    the wrong type.
    """
    message_type = MESSAGE_TYPES[wire["k"]]
    try:
        return message_type.from_wire(wire)
    except (KeyError, TypeError) as error:
        raise PeerMessageError(f"{wire['k']} message has a missing or malformed key: {error!r}") from error
