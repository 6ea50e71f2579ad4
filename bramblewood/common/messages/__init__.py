"""The messages between controllers and proxies and their wire format, except those of the consensus protocol.

Each message on a connection is a JSON object whose key `k` contains its kind. The method `to_wire` of a
message returns that object, and the class method `from_wire` decodes it. `Subscribe` and `Unsubscribe` share
a kind, which `subscription_from_wire` decodes. The keys, their order and their values are fixed, since
machines with different software versions communicate with each other. The key of an optional field is left
out if the field is None.

Some keys on the wire differ from the field names, since they are older: `archives` are controllers, `desks`
are proxies, and `rows` are registrations by worker instance id, each in the list form of
`WorkerRegistration`.

A register holds one value that the controllers agree on, such as the configuration or the slice table.

`from_wire` raises PeerMessageError if a required key is missing or a value has the wrong type. Times are in s
of the sender's monotonic clock.
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
