"""The messages between controllers and proxies, except those of the consensus: what each says, and its form
on the wire.

On a connection every message is one JSON object whose key `k` names its kind. The keys and values are fixed:
machines of different software versions work side by side. A key that a class gives as optional is left out
where the field is None, and the order of the keys is kept. Wire names differ from the field names where the
wire keeps an older word: `archives` are controllers, `desks` are proxies, `rows` are registrations by worker
instance id, each in the list form of `WorkerRegistration`.

Reading a message that lacks a required key raises KeyError. Times are in s, on the sender's steady clock.
"""

from .between_controllers import ControllerHeartbeat, RegistryAcknowledgement
from .greetings import ROLE_CONTROLLER, ROLE_PROXY, Hello, Registrations, RegistryUpdate, Versions
from .with_proxies import (
    ConfigurationUpdate,
    Confirmation,
    ConfirmationRequest,
    LoadReport,
    ProxyHeartbeat,
    ReadersRemoved,
    RemoveReaders,
    Subscribe,
    TableUpdate,
    Unsubscribe,
    UpdateRequest,
    subscription_from_wire,
)

__all__ = [
    "ConfigurationUpdate",
    "Confirmation",
    "ConfirmationRequest",
    "ControllerHeartbeat",
    "Hello",
    "LoadReport",
    "ProxyHeartbeat",
    "ROLE_CONTROLLER",
    "ROLE_PROXY",
    "ReadersRemoved",
    "Registrations",
    "RegistryAcknowledgement",
    "RegistryUpdate",
    "RemoveReaders",
    "Subscribe",
    "TableUpdate",
    "Unsubscribe",
    "UpdateRequest",
    "Versions",
    "subscription_from_wire",
]
