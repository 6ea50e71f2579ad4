"""Keeps the list of known controllers, the connections to them, and the heartbeats sent to them."""

import math

from ..common.messages import ControllerHeartbeat
from ..common.peer_connections import CONNECTION_TIMEOUT
from ..common.settings import SEED_REREAD_INTERVAL, reread_seeds
from ..common.worker_registry import WorkerRegistry
from .consensus.registers import ALL_REGISTERS
from .peer_sessions import HEARTBEAT_INTERVAL, PeerDetails, PeerSessions
from .proxy_sessions import ProxySessions
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .runtime import Runtime

KNOWN_CONTROLLERS_FACT = "archives"  # name of a fact on disk
NO_ECHO = -1e9  # s; sent in place of an echo to a peer from which no heartbeat has arrived
HEARTBEATS_PER_WORKER_AGES = 4  # one heartbeat out of this many reports when workers were last heard
MAX_REPORTED_WORKER_AGE = 2.0  # s; workers last heard longer ago are left out of heartbeats


class ControllerPeers:
    """Keeps a connection to each known controller, and sends heartbeats on it while it is up.

    The addresses of known controllers are stored on disk, and heartbeats pass them on to other controllers.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        sessions: PeerSessions,
        registry: WorkerRegistry,
        proxy_sessions: ProxySessions,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.sessions, self.registry, self.proxy_sessions = sessions, registry, proxy_sessions
        self.grant_claims = quorum_contact.grant_claims
        self.known_addresses: set[str] = set()  # addresses of the other controllers
        self.connection_changed_at: dict[str, float] = {}  # when a connection came up or was lost, by address
        self.next_heartbeat_at = 0.0
        self.next_seed_reread_at = 0.0

    def add(self, peer: str) -> None:
        """Keep a connection to this controller from now on, and store its address with the next write."""
        if peer != self.runtime.own_address and peer not in self.known_addresses:
            self.known_addresses.add(peer)
            self.quorum_io.pending_writes.facts[KNOWN_CONTROLLERS_FACT] = sorted(self.known_addresses)
            self.runtime.peer_connections.keep_connected(peer, self.runtime.settings.peer_port)

    def reread_seeds(self) -> None:
        """Read the seeds in the settings and the seed file again, and add the controllers that they name."""
        for peer in reread_seeds(self.runtime.settings, self.runtime.log):
            self.add(peer)

    def reread_seeds_if_isolated(self, now: float) -> None:
        """Reread the seeds every SEED_REREAD_INTERVAL s while no controller is connected."""
        connected = self.runtime.peer_connections.connected
        if connected or now >= self.next_seed_reread_at:
            if not connected:
                self.reread_seeds()
            self.next_seed_reread_at = now + SEED_REREAD_INTERVAL

    def connection_changed(self, peer: str, is_up: bool) -> None:
        """Record and log that the connection which this controller dials to a peer came up or was lost.

        A new connection gets a heartbeat with all details at once.
        """
        now = self.connection_changed_at[peer] = self.runtime.now()
        if is_up:
            self.sessions.forget_sent_details(peer)
            self.send_heartbeats(now, peer)
        event = "connection up" if is_up else "connection lost"
        self.runtime.log.info(event, step="connection", peer=peer)

    def send_due_heartbeats(self, now: float) -> None:
        """Send heartbeats to all connected controllers every HEARTBEAT_INTERVAL s."""
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL
            self.send_heartbeats(now)

    def send_heartbeats(self, now: float, recipient: str | None = None) -> None:
        """Send heartbeats to all connected controllers, or to one recipient.

        Closes a connection to a controller that has sent no heartbeat for CONNECTION_TIMEOUT s.
        """
        connected = self.runtime.peer_connections.connected
        heartbeat, details = self._heartbeat(now), self._own_details()
        for peer in [recipient] if recipient else list(connected):
            if peer not in connected:
                continue
            session = self.sessions.by_peer.get(peer)
            last_activity_at = max(session.received_at if session else 0.0, self.connection_changed_at[peer])
            if now - last_activity_at > CONNECTION_TIMEOUT:
                # The peer's heartbeats arrive on the connection that the peer dials. Their absence indicates
                # a partition, even while this connection seems to be up.
                connected[peer].close()
                continue
            message = self._heartbeat_for_peer(now, peer, heartbeat, details)
            self.runtime.peer_connections.send(peer, message.to_wire())

    def _heartbeat(self, now: float) -> ControllerHeartbeat:
        """The part of a heartbeat that is the same for all peers."""
        consensus = self.quorum_io.consensus
        return ControllerHeartbeat(
            sent_at=now,
            # durable, because peers rely on it when they shut down or change voters
            is_voting=self.quorum_io.is_durably_voting(),
            is_current=self.quorum_contact.is_current(now),
            accepted={register: consensus.acceptors[register].accepted for register in ALL_REGISTERS},
            durable=consensus.durable_accepted,
            epoch=consensus.epoch,
            disk=consensus.disk,
            versions=self.quorum_io.versions(),
            is_leaving=self.runtime.shutdown_requested.is_set(),
            echo=NO_ECHO,
            disk_failing_for=round(self.quorum_io.disk_failing_for(now), 2) or None,
            sends_grants=self.grant_claims.granting_since is not None,
        )

    def _own_details(self) -> PeerDetails:
        settings = self.runtime.settings
        return PeerDetails(
            self.quorum_io.consensus.voter_set,
            settings.zone,
            settings.counts_for_tolerance,
            sorted({self.runtime.own_address, *self.known_addresses}),
            sorted(self.proxy_sessions.connected),
            dict(self.quorum_io.content_comparison.own.newest) or None,
        )

    def _heartbeat_for_peer(
        self, now: float, peer: str, heartbeat: ControllerHeartbeat, details: PeerDetails
    ) -> ControllerHeartbeat:
        """The heartbeat with its echo for this peer and the details not yet sent to it.

        The first heartbeat on a connection also lists what the peer is known to have promised or accepted, so
        that a peer whose disk was rolled back can detect it.
        """
        peer_commitments = None
        if not self.sessions.has_sent_details(peer):
            commitments = self.quorum_io.consensus.peer_commitments
            peer_commitments = {
                register: by_peer[peer] for register, by_peer in commitments.items() if peer in by_peer
            }
        unsent = self.sessions.take_unsent_details(peer, details)
        worker_ages = None
        if int(now / HEARTBEAT_INTERVAL) % HEARTBEATS_PER_WORKER_AGES == 0:
            worker_ages = self.registry.contact_ages(now, MAX_REPORTED_WORKER_AGE)
        return heartbeat._replace(
            echo=self.sessions.times_to_echo.get(peer, NO_ECHO),
            peer_commitments=peer_commitments,
            voter_set=unsent.voter_set,
            zone=unsent.zone,
            counts_for_tolerance=unsent.counts_for_tolerance,
            controllers=unsent.controllers,
            proxies=unsent.proxies,
            worker_ages=worker_ages,
            digests=unsent.digests,
            claim_age=round_down(self.grant_claims.claim_age(now, self.runtime.started_at, peer)),
        )


def round_down(age: float) -> float:
    """Return an age rounded down to hundredths of a second, so that it does not point to too early a time."""
    return math.floor(100 * age) / 100
