"""The proxies connected to this controller, and which of them it pushes all updates to.

A proxy subscribes to one controller, of its own zone where there is one: that one pushes all updates at once.
From the others it gets heartbeats with version numbers, and whatever must not wait for one controller:
workers that leave.
"""

import json

from ..common.messages import RegistryUpdate, Versions
from ..common.peer_connections import PeerConnection
from ..common.worker_registry import READY, WorkerRegistration


class ProxySessions:
    """Connections that proxies dialled, by the proxies' names."""

    def __init__(self) -> None:
        self.connected: dict[str, PeerConnection] = {}
        self.subscribers: dict[str, PeerConnection] = {}

    def add(self, connection: PeerConnection) -> None:
        """A proxy has connected; a newer connection takes the place of an older one."""
        self.connected[connection.peer] = connection

    def remove(self, connection: PeerConnection) -> None:
        """A connection has ended, of a proxy or of another controller."""
        for connections in (self.connected, self.subscribers):
            if connections.get(connection.peer) is connection:
                del connections[connection.peer]

    def subscribe(self, connection: PeerConnection, versions: Versions) -> None:
        """Push updates to this proxy from now on; versions: what it has."""
        self.subscribers[connection.peer], connection.sent_versions = connection, dict(versions)

    def unsubscribe(self, connection: PeerConnection) -> None:
        """Push no more updates to this proxy."""
        self.subscribers.pop(connection.peer, None)

    def send_registrations(self, rows: dict[str, list]) -> None:
        """Send changed registrations to the subscribers; those of leaving workers to all proxies, as one
        controller may be lost.
        """
        message = encode(RegistryUpdate(rows).to_wire())
        for connection in list(self.subscribers.values()):
            connection.send(message)
        leaving = leaving_rows(rows)
        if leaving:
            message = encode(RegistryUpdate(leaving).to_wire())
            for proxy, connection in list(self.connected.items()):
                if proxy not in self.subscribers:
                    connection.send(message)


def leaving_rows(rows: dict[str, list]) -> dict[str, list]:
    """Of these registrations, in their wire form, those of workers that leave or have gone."""
    return {instance_id: row for instance_id, row in rows.items() if WorkerRegistration(*row).phase != READY}


def encode(message: dict) -> str:
    """The text of a message that goes to many: encoded once."""
    return json.dumps(message, separators=(",", ":"))
