"""Validates the values of registers in received messages. Consensus itself accepts values of any type.

The functions are pure.
"""

from typing import Any

from ..common.messages.fields import Fields
from .consensus.registers import VOTER_SET
from .consensus.voter_set import parse_voter_set


def validate_register_value(register: str, value: Any) -> None:
    """Check that a value is None, a voter set in the register VOTER_SET, or else a map with a version.

    Raises PeerMessageError for any other value.
    """
    if value is None:
        return
    if register == VOTER_SET:
        parse_voter_set(value)
    else:
        Fields(value).integer("n")


def validate_message_values(wire: dict) -> None:
    """Check the register values in a consensus message, which is given in its wire form.

    Raises PeerMessageError for an invalid value.
    """
    if "v" in wire:
        validate_register_value(wire.get("r", ""), wire["v"])
    for register, state in Fields(wire).mapping("regs", {}).items():
        validate_register_value(register, Fields(state).message.get("v"))
