"""Heartbeats to the proxies: the newest versions, whether this controller is current, who coordinates."""

from ..common.messages import ProxyHeartbeat, Versions
from .controller_peers import ControllerPeers
from .placement import PlacementPlanner
from .proxy_sessions import ProxySessions, encode
from .quorum_contact import QuorumContact
from .registry_exchange import RegistryExchange
from .runtime import Runtime
from .sessions import Sessions

PROXY_HEARTBEAT_INTERVAL = 0.5  # s; two lost ones are noticed within a proxy's CONNECTION_TIMEOUT


class ProxyHeartbeats:
    """Sends one heartbeat to all connected proxies; what changes seldom only where it has changed since the
    last one on that connection.
    """

    placement: PlacementPlanner

    def __init__(
        self,
        runtime: Runtime,
        quorum_contact: QuorumContact,
        sessions: Sessions,
        proxy_sessions: ProxySessions,
        controller_peers: ControllerPeers,
        registry_exchange: RegistryExchange,
        announced_versions: Versions,
    ) -> None:
        """announced_versions: the newest versions that proxies may follow, kept up to date by their owner."""
        self.runtime, self.quorum_contact, self.sessions = runtime, quorum_contact, sessions
        self.proxy_sessions, self.controller_peers = proxy_sessions, controller_peers
        self.registry_exchange, self.announced_versions = registry_exchange, announced_versions
        self.was_current = False  # as the last heartbeat said
        self.next_heartbeat_at = 0.0
        self.details_text, self.details_number = "", 0  # what changes seldom, and how often it has changed

    def send_due(self, now: float) -> None:
        """Send heartbeats if it is time, or if this controller became current or ceased to be."""
        if now >= self.next_heartbeat_at or self.quorum_contact.is_current(now) != self.was_current:
            self.next_heartbeat_at = now + PROXY_HEARTBEAT_INTERVAL
            self.send(now)

    def send(self, now: float) -> None:
        """Send a heartbeat to each connected proxy."""
        is_current = self.was_current = self.quorum_contact.is_current(now)
        is_coordinator = self.quorum_contact.coordinator(now) == self.runtime.own_address
        silent = self.registry_exchange.timed_out_workers(now)
        heartbeat = ProxyHeartbeat(
            versions=self.announced_versions,
            is_current=is_current,
            is_coordinator=is_coordinator,
            proxy_count=len(self.sessions.all_proxies(now, list(self.proxy_sessions.connected))),
            live_digest=self.registry_exchange.registry.live_digest(),
            silent_workers=sorted(silent) or None,
        )
        short = encode(heartbeat.to_wire())
        complete = encode(self._with_details(heartbeat).to_wire())
        details_text = complete[len(short) :]
        if details_text != self.details_text:
            self.details_text, self.details_number = details_text, self.details_number + 1
        for connection in list(self.proxy_sessions.connected.values()):
            connection.send(short if connection.details_version == self.details_number else complete)
            connection.details_version = self.details_number

    def _with_details(self, heartbeat: ProxyHeartbeat) -> ProxyHeartbeat:
        own_address, is_coordinator = self.runtime.own_address, heartbeat.is_coordinator
        return heartbeat._replace(
            zone=self.runtime.settings.zone,
            controllers=sorted({own_address, *self.controller_peers.known}),
            zone_affinity=self.placement.zone_shares() if is_coordinator else None,
            hot_keys=(self.placement.hot_keys() or None) if is_coordinator else None,
        )
