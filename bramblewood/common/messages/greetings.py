"""The messages that both controllers and proxies send: introductions and worker registrations."""

from typing import Any, NamedTuple

from . import kinds
from .fields import Fields

ROLE_CONTROLLER, ROLE_PROXY = "archive", "desk"  # the values of `role` on the wire
Versions = dict[str, int]  # the newest version, by register
Registrations = dict[str, list]  # rows in the list form of `WorkerRegistration`, by instance id


class Hello(NamedTuple):
    """The first message on a connection. It identifies the sender, and contains worker registrations."""

    role: str  # ROLE_CONTROLLER or ROLE_PROXY
    sender: str  # the address of a controller, or the name of a proxy
    registrations: Registrations
    ages: dict[str, float] | None = None  # s since the last contact, by instance id; only from controllers

    @classmethod
    def from_wire(cls, message: dict) -> "Hello":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(
            fields.text("role"), fields.text("from"), fields.rows("rows", {}), fields.ages("ages", None)
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        wire_form = {"k": kinds.HELLO, "role": self.role, "from": self.sender, "rows": self.registrations}
        return wire_form if self.ages is None else {**wire_form, "ages": self.ages}


class RegistryUpdate(NamedTuple):
    """Worker registrations that may be new to the receiver."""

    registrations: Registrations
    request_id: int | None = None  # requests a RegistryAcknowledgement with this id; only between controllers
    is_complete: bool = False  # whether these are all registrations of the sender; only to proxies

    @classmethod
    def from_wire(cls, message: dict) -> "RegistryUpdate":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(fields.rows("rows"), fields.integer("id", None), "all" in message)

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        wire_form: dict[str, Any] = {"k": kinds.REGISTRY_UPDATE, "rows": self.registrations}
        if self.request_id is not None:
            wire_form["id"] = self.request_id
        if self.is_complete:
            wire_form["all"] = True
        return wire_form
