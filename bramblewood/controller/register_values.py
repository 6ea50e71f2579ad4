"""What a register's value must be, whoever sends it. Consensus itself agrees on values of any kind. Pure."""

from typing import Any

from ..common.messages.fields import Fields
from .consensus.registers import VOTER_SET
from .consensus.voter_set import voter_set_from


def require_register_value(register: str, value: Any) -> None:
    """None, or a map with its version; a set of voters in its register. Raises PeerMessageError else."""
    if value is None:
        return
    if register == VOTER_SET:
        voter_set_from(value)
    else:
        Fields(value).integer("n")


def require_values(wire: dict) -> None:
    """The values that a message of consensus carries, in its wire form. Raises PeerMessageError."""
    if "v" in wire:
        require_register_value(wire.get("r", ""), wire["v"])
    for register, state in Fields(wire).mapping("regs", {}).items():
        require_register_value(register, Fields(state).message.get("v"))
