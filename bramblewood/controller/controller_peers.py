"""The other controllers: which are known, the connections to them, and the heartbeats that they are sent."""

from ..common.messages import ControllerHeartbeat
from ..common.peer_connections import CONNECTION_TIMEOUT
from ..common.settings import SEED_REREAD_INTERVAL, reread_seeds
from ..common.worker_registry import WorkerRegistry
from .consensus.registers import ALL_REGISTERS
from .proxy_sessions import ProxySessions
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .runtime import Runtime
from .sessions import HEARTBEAT_INTERVAL, PeerDetails, Sessions

KNOWN_CONTROLLERS_FACT = "archives"  # name of a fact on disk
NEVER = -1e9  # s; the echo to a peer that was never heard
WORKER_AGES_EVERY = 4  # heartbeats
WORKER_AGES_WITHIN = 2.0  # s


class ControllerPeers:
    """Known controllers; each is dialled until it answers, and gets heartbeats while connected."""

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        sessions: Sessions,
        registry: WorkerRegistry,
        proxy_sessions: ProxySessions,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.sessions, self.registry, self.proxy_sessions = sessions, registry, proxy_sessions
        self.known: set[str] = set()  # addresses, without our own
        self.connection_changed_at: dict[str, float] = {}  # by address, own clock
        self.next_heartbeat_at = 0.0
        self.next_seed_reread_at = 0.0

    def add(self, peer: str) -> None:
        """Keep a connection to this controller from now on, and remember it on disk."""
        if peer != self.runtime.own_address and peer not in self.known:
            self.known.add(peer)
            self.quorum_io.pending_writes.facts[KNOWN_CONTROLLERS_FACT] = sorted(self.known)
            self.runtime.peer_connections.maintain(peer, self.runtime.settings.peer_port)

    def reread_seeds(self) -> None:
        """Look again for controllers in the settings and the seed file."""
        for peer in reread_seeds(self.runtime.settings, self.runtime.log):
            self.add(peer)

    def reread_seeds_if_isolated(self, now: float) -> None:
        """Look for other controllers where none is connected, from time to time."""
        connected = self.runtime.peer_connections.connected
        if connected or now >= self.next_seed_reread_at:
            if not connected:
                self.reread_seeds()
            self.next_seed_reread_at = now + SEED_REREAD_INTERVAL

    def connection_changed(self, peer: str, is_up: bool) -> None:
        """The connection that we dialled to this controller came up or was lost."""
        now = self.connection_changed_at[peer] = self.runtime.now()
        if is_up:
            self.sessions.forget_sent_details(peer)
            self.send_heartbeats(now, peer)
        event = "connection up" if is_up else "connection lost"
        self.runtime.log.info(event, step="connection", peer=peer)

    def send_due_heartbeats(self, now: float) -> None:
        """Send heartbeats to all connected controllers, if it is time."""
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL
            self.send_heartbeats(now)

    def send_heartbeats(self, now: float, only: str | None = None) -> None:
        """Send heartbeats to all connected controllers, or to one."""
        connected = self.runtime.peer_connections.connected
        heartbeat, details = self._heartbeat(now), self._details()
        for peer in [only] if only else list(connected):
            if peer not in connected:
                continue
            session = self.sessions.by_peer.get(peer)
            last_sign_at = max(session.received_at if session else 0.0, self.connection_changed_at[peer])
            if now - last_sign_at > CONNECTION_TIMEOUT:
                connected[peer].close()  # its own connection brings nothing any more: likely a partition
                continue
            message = self._for_peer(now, peer, heartbeat, details)
            self.runtime.peer_connections.send(peer, message.to_wire())

    def _heartbeat(self, now: float) -> ControllerHeartbeat:
        consensus = self.quorum_io.consensus
        return ControllerHeartbeat(
            sent_at=now,
            is_voting=self.quorum_io.is_durably_voting(),  # others leave and change voter sets on it
            is_current=self.quorum_contact.is_current(now),
            accepted={register: consensus.acceptors[register].accepted for register in ALL_REGISTERS},
            durable=consensus.durable_accepted,
            epoch=consensus.epoch,
            disk=consensus.disk,
            versions=self.quorum_io.versions(),
            is_leaving=self.runtime.shutdown_requested.is_set(),
            echo=NEVER,
            disk_failing_for=round(self.quorum_io.disk_failing_for(now), 2) or None,
        )

    def _details(self) -> PeerDetails:
        settings = self.runtime.settings
        return PeerDetails(
            self.quorum_io.consensus.voter_set,
            settings.zone,
            settings.counts_for_tolerance,
            sorted({self.runtime.own_address, *self.known}),
            sorted(self.proxy_sessions.connected),
            dict(self.quorum_io.content_agreement.own.newest) or None,
        )

    def _for_peer(
        self, now: float, peer: str, heartbeat: ControllerHeartbeat, details: PeerDetails
    ) -> ControllerHeartbeat:
        bound = None
        if not self.sessions.has_sent_details(peer):  # whoever listens there now may have an older disk
            commitments = self.quorum_io.consensus.peer_commitments
            bound = {register: made[peer] for register, made in commitments.items() if peer in made}
        unsent = self.sessions.take_unsent_details(peer, details)
        worker_ages = None
        if int(now / HEARTBEAT_INTERVAL) % WORKER_AGES_EVERY == 0:
            worker_ages = self.registry.seconds_since_heard(now, WORKER_AGES_WITHIN)
        return heartbeat._replace(
            echo=self.sessions.echoes.get(peer, NEVER),
            bound=bound,
            members=unsent.members,
            zone=unsent.zone,
            counted=unsent.counted,
            controllers=unsent.controllers,
            proxies=unsent.proxies,
            worker_ages=worker_ages,
            digests=unsent.digests,
        )
