"""The messages between controllers about the transition to another epoch, and their wire forms.

The wire forms have these keys in addition to those of `messages`:

again   true if the receiver answers only if it is active in the epoch
e       the epoch that the receiver joins
held    the newest epoch in which the sender's disk was active
regs    by register, what the sender has accepted
"""

from typing import Any, NamedTuple

from ...common.messages.fields import Fields
from .proposal_number import ProposalNumber
from .voter_set import VoterSet, parse_voter_set

# kinds, the values of the wire key `k`
EPOCH_NOTICE = "epoch"
JOIN_EPOCH = "join"
EPOCH_STATE = "state"

OMITTED: Any = object()  # in place of a value that the receiver is expected to hold

parse_proposal_number = ProposalNumber.from_wire


class EpochNotice(NamedTuple):
    """A controller reports the newest voter set that it has learned as chosen."""

    voter_set: VoterSet

    @classmethod
    def from_wire(cls, wire: dict) -> "EpochNotice":
        """Decodes the wire form."""
        return cls(parse_voter_set(wire["m"]))

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"k": EPOCH_NOTICE, "m": self.voter_set}


class JoinEpoch(NamedTuple):
    """A voter of this voter set asks for the state with which its epoch begins.

    held_numbers: by register, the newest proposal number whose value the sender holds.
    active_only: whether the receiver answers only if it is active in the epoch, because the sender already
    has the report that the receiver sent as a voter of the previous epoch.
    """

    voter_set: VoterSet
    held_numbers: dict[str, ProposalNumber]
    active_only: bool = False

    @classmethod
    def from_wire(cls, wire: dict) -> "JoinEpoch":
        """Decodes the wire form."""
        held_numbers = {
            register: parse_proposal_number(number)
            for register, number in Fields(wire).mapping("have").items()
        }
        return cls(parse_voter_set(wire["m"]), held_numbers, "again" in wire)

    def to_wire(self) -> dict:
        """Returns the wire form."""
        wire = {"k": JOIN_EPOCH, "m": self.voter_set, "have": self.held_numbers}
        return {**wire, "again": True} if self.active_only else wire


class AcceptedState(NamedTuple):
    """The proposal that a disk accepted last in one register, and its value."""

    accepted: ProposalNumber
    value: Any = OMITTED

    @classmethod
    def from_wire(cls, wire: dict) -> "AcceptedState":
        """Decodes the wire form."""
        return cls(parse_proposal_number(wire["a"]), wire.get("v", OMITTED))

    def to_wire(self) -> dict:
        """Returns the wire form."""
        return {"a": self.accepted} if self.value is OMITTED else {"a": self.accepted, "v": self.value}


class EpochState(NamedTuple):
    """A voter reports what its disk has accepted, in answer to JoinEpoch.

    epoch: the epoch that the receiver joins.
    active_epoch: the newest epoch in which the sender's disk was active, -1 for none.
    """

    epoch: int
    active_epoch: int
    disk: str
    registers: dict[str, AcceptedState]

    @classmethod
    def from_wire(cls, wire: dict) -> "EpochState":
        """Decodes the wire form."""
        fields = Fields(wire)
        registers = {
            register: AcceptedState.from_wire(state) for register, state in fields.mapping("regs").items()
        }
        return cls(fields.integer("e"), fields.integer("held"), fields.text("disk"), registers)

    def to_wire(self) -> dict:
        """Returns the wire form."""
        registers = {register: state.to_wire() for register, state in self.registers.items()}
        wire = {"k": EPOCH_STATE, "e": self.epoch, "held": self.active_epoch, "disk": self.disk}
        return {**wire, "regs": registers}
