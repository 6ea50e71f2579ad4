"""Heartbeats to the proxies.

They contain the versions that proxies may follow, whether this controller is current, and whether it is the
coordinator.
"""

from ..common.messages import ProxyHeartbeat, Versions
from .controller_peers import ControllerPeers
from .peer_sessions import PeerSessions
from .placement import PlacementPlanner
from .proxy_sessions import ProxySessions, encode_message
from .quorum_contact import QuorumContact
from .registry_exchange import RegistryExchange
from .runtime import Runtime

PROXY_HEARTBEAT_INTERVAL = 0.5  # s; after two lost heartbeats in a row, a proxy's CONNECTION_TIMEOUT expires


class ProxyHeartbeats:
    """Sends heartbeats to all connected proxies.

    Fields that change seldom are called details. A heartbeat contains them only if they have changed since
    the last heartbeat on the same connection.
    """

    placement: PlacementPlanner

    def __init__(
        self,
        runtime: Runtime,
        quorum_contact: QuorumContact,
        sessions: PeerSessions,
        proxy_sessions: ProxySessions,
        controller_peers: ControllerPeers,
        registry_exchange: RegistryExchange,
        announced_versions: Versions,
    ) -> None:
        """announced_versions: the newest versions that proxies may follow. `ProxyFeed` updates them."""
        self.runtime, self.quorum_contact, self.sessions = runtime, quorum_contact, sessions
        self.proxy_sessions, self.controller_peers = proxy_sessions, controller_peers
        self.registry_exchange, self.announced_versions = registry_exchange, announced_versions
        self.was_current = False  # whether the last heartbeat reported this controller as current
        self.next_heartbeat_at = 0.0
        # The details as they are encoded at the end of a heartbeat, and how often they have changed.
        self.details_text, self.details_version = "", 0

    def send_due(self, now: float) -> None:
        """Sends heartbeats if they are due, or if this controller became current or ceased to be."""
        if now >= self.next_heartbeat_at or self.quorum_contact.is_current(now) != self.was_current:
            self.next_heartbeat_at = now + PROXY_HEARTBEAT_INTERVAL
            self.send(now)

    def send(self, now: float) -> None:
        """Sends a heartbeat to each connected proxy."""
        is_current = self.was_current = self.quorum_contact.is_current(now)
        is_coordinator = self.quorum_contact.coordinator(now) == self.runtime.own_address
        timed_out = self.registry_exchange.timed_out_workers(now)
        heartbeat = ProxyHeartbeat(
            versions=self.announced_versions,
            is_current=is_current,
            is_coordinator=is_coordinator,
            proxy_count=len(self.sessions.all_proxies(now, list(self.proxy_sessions.connected))),
            live_digest=self.registry_exchange.registry.live_digest(),
            silent_workers=sorted(timed_out) or None,
        )
        short_text = encode_message(heartbeat.to_wire())
        full_text = encode_message(self._with_details(heartbeat).to_wire())
        details_text = full_text[len(short_text) :]
        if details_text != self.details_text:
            self.details_text, self.details_version = details_text, self.details_version + 1
        for connection in list(self.proxy_sessions.connected.values()):
            connection.send(short_text if connection.details_version == self.details_version else full_text)
            connection.details_version = self.details_version

    def _with_details(self, heartbeat: ProxyHeartbeat) -> ProxyHeartbeat:
        """Returns the heartbeat with its details. Only the coordinator reports zone affinity and hot keys."""
        own_address, is_coordinator = self.runtime.own_address, heartbeat.is_coordinator
        return heartbeat._replace(
            zone=self.runtime.settings.zone,
            controllers=sorted({own_address, *self.controller_peers.known_addresses}),
            zone_affinity=self.placement.local_fractions() if is_coordinator else None,
            hot_keys=(self.placement.hot_keys() or None) if is_coordinator else None,
        )
