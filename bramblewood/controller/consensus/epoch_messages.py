"""The messages about epochs between controllers; their form on the wire: `messages.py`."""

from typing import Any, NamedTuple

from ...common.messages.fields import Fields
from .proposal_number import ProposalNumber
from .voter_set import VoterSet, voter_set_from

# kinds, as `k` on the wire
EPOCH_NOTICE = "epoch"
JOIN_EPOCH = "join"
EPOCH_STATE = "state"

OMITTED: Any = object()  # in place of a value that the receiver is expected to hold already

parse_proposal_number = ProposalNumber.from_wire


class EpochNotice(NamedTuple):
    """The newest set of voters that the sender knows to be chosen."""

    voter_set: VoterSet

    @classmethod
    def from_wire(cls, wire: dict) -> "EpochNotice":
        """Read the form on the wire."""
        return cls(voter_set_from(wire["m"]))

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"k": EPOCH_NOTICE, "m": self.voter_set}


class JoinEpoch(NamedTuple):
    """A voter of this set asks for what its epoch begins with. held: by register, the newest number of which
    it has the value. repeated: the receiver has answered as a sealed voter, and is to answer again only as an
    active one.
    """

    voter_set: VoterSet
    held: dict[str, ProposalNumber]
    repeated: bool = False

    @classmethod
    def from_wire(cls, wire: dict) -> "JoinEpoch":
        """Read the form on the wire."""
        held = {
            register: parse_proposal_number(number)
            for register, number in Fields(wire).mapping("have").items()
        }
        return cls(voter_set_from(wire["m"]), held, "again" in wire)

    def to_wire(self) -> dict:
        """The form on the wire."""
        wire = {"k": JOIN_EPOCH, "m": self.voter_set, "have": self.held}
        return {**wire, "again": True} if self.repeated else wire


class AcceptedState(NamedTuple):
    """What a disk has accepted in one register."""

    accepted: ProposalNumber
    value: Any = OMITTED

    @classmethod
    def from_wire(cls, wire: dict) -> "AcceptedState":
        """Read the form on the wire."""
        return cls(parse_proposal_number(wire["a"]), wire.get("v", OMITTED))

    def to_wire(self) -> dict:
        """The form on the wire."""
        return {"a": self.accepted} if self.value is OMITTED else {"a": self.accepted, "v": self.value}


class EpochState(NamedTuple):
    """Answers JoinEpoch: what the sender's disk holds. active_epoch: the newest epoch in which that disk was
    active, -1 for none.
    """

    epoch: int
    active_epoch: int
    disk: str
    registers: dict[str, AcceptedState]

    @classmethod
    def from_wire(cls, wire: dict) -> "EpochState":
        """Read the form on the wire."""
        fields = Fields(wire)
        registers = {
            register: AcceptedState.from_wire(state) for register, state in fields.mapping("regs").items()
        }
        return cls(fields.integer("e"), fields.integer("held"), fields.text("disk"), registers)

    def to_wire(self) -> dict:
        """The form on the wire."""
        registers = {register: state.to_wire() for register, state in self.registers.items()}
        wire = {"k": EPOCH_STATE, "e": self.epoch, "held": self.active_epoch, "disk": self.disk}
        return {**wire, "regs": registers}
