"""Sends chosen values to the proxies: announces their versions, and pushes updates to subscribers."""

from collections.abc import Callable

from ..common.messages import ConfigurationUpdate, Versions
from ..common.peer_connections import PeerConnection
from .consensus.registers import CONFIG, DATA_REGISTERS, TABLE
from .proxy_sessions import ProxySessions
from .proxy_updates import ProxyUpdates
from .quorum_io import QuorumIO
from .runtime import Runtime

# s between the choice of a table and its announcement. In this time, which is about one round trip to a
# worker, the workers can receive the lease grants for the table.
ANNOUNCEMENT_DELAY = 0.025


class ProxyFeed:
    """Holds the versions that proxies may follow, and sends the values of these versions to subscribers.

    A proxy follows a version of a register if it forwards requests by the value of this version.
    """

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO, proxy_sessions: ProxySessions) -> None:
        self.runtime, self.quorum_io, self.proxy_sessions = runtime, quorum_io, proxy_sessions
        self.announced_versions: Versions = dict.fromkeys(DATA_REGISTERS, 0)
        self.proxy_updates = ProxyUpdates()
        self.on_configuration_announced: Callable[[], None] = lambda: None

    def announce_table_soon(self, version: int) -> None:
        """Announces a new table after ANNOUNCEMENT_DELAY, so that its lease grants can arrive first."""
        self.runtime.loop.call_later(ANNOUNCEMENT_DELAY, self.announce, TABLE, version)

    def announce(self, register: str, version: int) -> None:
        """Allows proxies to follow this version, and pushes it to the subscribers.

        An older or equal version is ignored.
        """
        if version > self.announced_versions[register]:
            self.announced_versions[register] = version
            for connection in list(self.proxy_sessions.subscribers.values()):
                self.push(connection, register)
            if register == CONFIG:
                self.on_configuration_announced()

    def push(self, connection: PeerConnection, register: str) -> None:
        """Sends a proxy the newest value of a register, unless it was sent on this connection before.

        An update of the table contains only what changed since the version sent last, if that is known.
        """
        if register == TABLE:
            if message := self.proxy_updates.update_since(connection.sent_versions.get(TABLE, 0)):
                connection.sent_versions[TABLE] = message.version
                connection.send(message.to_wire())
            return
        value = self.quorum_io.consensus.value(register)
        if value is not None and value["n"] > connection.sent_versions.get(register, 0):
            connection.sent_versions[register] = value["n"]
            connection.send(ConfigurationUpdate(value["n"], value["config"]).to_wire())
