"""Messages that controllers and proxies send alike: who they are, and what they know of the workers."""

from typing import Any, NamedTuple

from . import kinds
from .fields import Fields

ROLE_CONTROLLER, ROLE_PROXY = "archive", "desk"  # values of `role`
Versions = dict[str, int]  # newest version, by register
Registrations = dict[str, list]  # rows, by worker instance id


class Hello(NamedTuple):
    """The first message on a connection: who dialled, and the worker registrations it hands over."""

    role: str  # ROLE_CONTROLLER or ROLE_PROXY
    sender: str  # a controller's address, a proxy's name
    registrations: Registrations
    ages: dict[str, float] | None = None  # s since each worker was heard; only from controllers

    @classmethod
    def from_wire(cls, message: dict) -> "Hello":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(
            fields.text("role"), fields.text("from"), fields.rows("rows", {}), fields.ages("ages", None)
        )

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        made = {"k": kinds.HELLO, "role": self.role, "from": self.sender, "rows": self.registrations}
        return made if self.ages is None else {**made, "ages": self.ages}


class RegistryUpdate(NamedTuple):
    """Worker registrations that may be new to the receiver."""

    registrations: Registrations
    request_id: int | None = None  # asks for a RegistryAcknowledgement with this id; between controllers
    is_complete: bool = False  # all that the sender knows; to proxies

    @classmethod
    def from_wire(cls, message: dict) -> "RegistryUpdate":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(fields.rows("rows"), fields.integer("id", None), "all" in message)

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        made: dict[str, Any] = {"k": kinds.REGISTRY_UPDATE, "rows": self.registrations}
        if self.request_id is not None:
            made["id"] = self.request_id
        if self.is_complete:
            made["all"] = True
        return made
