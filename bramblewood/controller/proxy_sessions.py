"""The proxies that are connected to this controller, and the subscribers among them.

A proxy is connected to several controllers and subscribes to one of them, in its own zone if there is one.
That controller pushes all updates to the proxy at once. The other controllers send the proxy heartbeats with
version numbers, and the registrations of workers that drain or have gone. The proxy thus receives both even
if the controller that it subscribes to is lost.
"""

import json

from ..common.messages import RegistryUpdate, Versions
from ..common.peer_connections import PeerConnection
from ..common.worker_registry import READY, WorkerRegistration


class ProxySessions:
    """The connections that proxies have opened, by the name of the proxy."""

    def __init__(self) -> None:
        self.connected: dict[str, PeerConnection] = {}
        self.subscribers: dict[str, PeerConnection] = {}

    def add(self, connection: PeerConnection) -> None:
        """Adds the connection of a proxy. It replaces an older connection of the same proxy."""
        self.connected[connection.peer] = connection

    def remove(self, connection: PeerConnection) -> None:
        """Removes a connection that has ended.

        The connection of another controller, or one that was replaced by a newer one, is ignored.
        """
        for connections in (self.connected, self.subscribers):
            if connections.get(connection.peer) is connection:
                del connections[connection.peer]

    def subscribe(self, connection: PeerConnection, versions: Versions) -> None:
        """Makes this proxy a subscriber. versions: the versions that it has, by register."""
        self.subscribers[connection.peer], connection.sent_versions = connection, dict(versions)

    def unsubscribe(self, connection: PeerConnection) -> None:
        """Stops pushing updates to this proxy."""
        self.subscribers.pop(connection.peer, None)

    def send_registrations(self, rows: dict[str, list]) -> None:
        """Sends changed registrations to the subscribers.

        Registrations of workers that drain or have gone are sent to all proxies, because the controller that
        another proxy subscribes to may be lost.

        rows: registrations in their wire form, by instance id.
        """
        message = encode_message(RegistryUpdate(rows).to_wire())
        for connection in list(self.subscribers.values()):
            connection.send(message)
        departing = departing_rows(rows)
        if departing:
            message = encode_message(RegistryUpdate(departing).to_wire())
            for proxy, connection in list(self.connected.items()):
                if proxy not in self.subscribers:
                    connection.send(message)


def departing_rows(rows: dict[str, list]) -> dict[str, list]:
    """Returns the rows of workers that drain or have gone. A row is a registration in its wire form."""
    return {instance_id: row for instance_id, row in rows.items() if WorkerRegistration(*row).phase != READY}


def encode_message(message: dict) -> str:
    """Encodes a message that is sent on several connections, so that it is encoded only once."""
    return json.dumps(message, separators=(",", ":"))
