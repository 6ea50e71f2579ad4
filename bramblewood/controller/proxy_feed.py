"""What is chosen reaches the proxies: versions are announced, and pushed to subscribers."""

from collections.abc import Callable

from ..common.messages import ConfigurationUpdate, Versions
from ..common.peer_connections import PeerConnection
from .consensus.registers import CONFIG, DATA_REGISTERS, TABLE
from .proxy_sessions import ProxySessions
from .proxy_updates import ProxyUpdates
from .quorum_io import QuorumIO
from .runtime import Runtime

# s that a table waits for its grants before proxies follow it: a round trip to a worker
ANNOUNCEMENT_DELAY = 0.025


class ProxyFeed:
    """The versions that proxies may follow, and the updates that bring them there."""

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO, proxy_sessions: ProxySessions) -> None:
        self.runtime, self.quorum_io, self.proxy_sessions = runtime, quorum_io, proxy_sessions
        self.announced_versions: Versions = dict.fromkeys(DATA_REGISTERS, 0)
        self.proxy_updates = ProxyUpdates()
        self.on_configuration_announced: Callable[[], None] = lambda: None

    def announce_table_soon(self, version: int) -> None:
        """Announce a new table after its grants have had time to arrive."""
        self.runtime.loop.call_later(ANNOUNCEMENT_DELAY, self.announce, TABLE, version)

    def announce(self, register: str, version: int) -> None:
        """Let proxies follow this version, and push it to the subscribers."""
        if version > self.announced_versions[register]:
            self.announced_versions[register] = version
            for connection in list(self.proxy_sessions.subscribers.values()):
                self.push(connection, register)
            if register == CONFIG:
                self.on_configuration_announced()

    def push(self, connection: PeerConnection, register: str) -> None:
        """Send a proxy what it lacks of a register, as far as was sent to it before."""
        if register == TABLE:
            if message := self.proxy_updates.message_since(connection.sent_versions.get(TABLE, 0)):
                connection.sent_versions[TABLE] = message.version
                connection.send(message.to_wire())
            return
        value = self.quorum_io.consensus.value(register)
        if value is not None and value["n"] > connection.sent_versions.get(register, 0):
            connection.sent_versions[register] = value["n"]
            connection.send(ConfigurationUpdate(value["n"], value["config"]).to_wire())
