"""Handles messages from other controllers and from proxies, with one handler for each kind of message."""

import math
from typing import Any

from ..common.errors import PeerMessageError
from ..common.messages import (
    ROLE_CONTROLLER,
    Confirmation,
    ConfirmationRequest,
    ControllerHeartbeat,
    Hello,
    LoadReport,
    ReadersRemoved,
    Registrations,
    RegistryAcknowledgement,
    RegistryUpdate,
    RemoveReaders,
    Subscribe,
    UpdateRequest,
    kinds,
    subscription_from_wire,
)
from ..common.peer_connections import PeerConnection
from .chosen_values import ChosenValues
from .consensus.effects import no_effects
from .consensus.messages import CONSENSUS_MESSAGE_KINDS
from .consensus.proposal_number import NO_PROPOSAL
from .consensus.registers import ALL_REGISTERS, DATA_REGISTERS, TABLE
from .consensus.voter_set import is_voter, parse_voter_set
from .controller_peers import ControllerPeers
from .deregistration_store import DeregistrationStore
from .divergence_monitor import DivergenceMonitor
from .load_reports import LoadReports
from .peer_sessions import PeerSessions
from .proxy_feed import ProxyFeed
from .proxy_heartbeats import ProxyHeartbeats
from .quorum_contact import QuorumContact
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO, new_disk_name
from .read_replicas import without_readers
from .registry_exchange import RegistryExchange
from .runtime import Runtime
from .worker_api import WorkerApi


class PeerHandlers:
    """Decodes received messages and passes them to the parts of the controller that process them.

    Each handler raises PeerMessageError for a malformed message.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        sessions: PeerSessions,
        controller_peers: ControllerPeers,
        registry_exchange: RegistryExchange,
        proxy_feed: ProxyFeed,
        proxy_heartbeats: ProxyHeartbeats,
        chosen_values: ChosenValues,
        load_reports: LoadReports,
        worker_api: WorkerApi,
        divergence_monitor: DivergenceMonitor,
        deregistration_store: DeregistrationStore,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.sessions, self.controller_peers = sessions, controller_peers
        self.grant_claims = quorum_contact.grant_claims
        self.registry_exchange, self.registry = registry_exchange, registry_exchange.registry
        self.proxy_feed, self.proxy_sessions = proxy_feed, proxy_feed.proxy_sessions
        self.proxy_heartbeats, self.chosen_values = proxy_heartbeats, chosen_values
        self.load_reports, self.worker_api = load_reports, worker_api
        self.divergence_monitor, self.deregistration_store = divergence_monitor, deregistration_store
        self.handlers = {
            kinds.HEARTBEAT: self.handle_heartbeat,
            kinds.REGISTRY_UPDATE: self.handle_registry_update,
            kinds.REGISTRY_ACKNOWLEDGEMENT: self.handle_registry_acknowledgement,
            kinds.SUBSCRIPTION: self.handle_subscription,
            kinds.UPDATE_REQUEST: self.handle_update_request,
            kinds.LOAD_REPORT: self.handle_load_report,
            kinds.CONFIRMATION_REQUEST: self.handle_confirmation_request,
            kinds.REMOVE_READERS: self.handle_remove_readers,
            **dict.fromkeys(CONSENSUS_MESSAGE_KINDS, self.handle_consensus_message),
        }

    def greeting(self, peer: str) -> dict[str, Any]:
        """The first message on each connection that this controller dials, in its wire form."""
        ages = self.registry.contact_ages(self.runtime.now(), math.inf)
        rows = self.registry_exchange.all_rows()
        return Hello(ROLE_CONTROLLER, self.runtime.own_address, rows, ages).to_wire()

    def handle_greeting(self, connection: PeerConnection, message: dict) -> None:
        """Process the first message on a connection that a controller or a proxy dialled.

        Registers the sender, merges the registrations that it holds, and sends a proxy the registrations of
        departing workers and a heartbeat.
        """
        hello = Hello.from_wire(message)
        connection.peer, connection.role = hello.sender, hello.role
        if hello.role == ROLE_CONTROLLER:
            self.controller_peers.add(hello.sender)
            self.registry_exchange.record_all(hello.registrations, hello.sender, hello.ages)
            return
        self.proxy_sessions.add(connection)
        self.load_reports.drain_progress.forget_report(hello.sender)
        # proxies keep registrations that all controllers lose in a simultaneous restart
        self.registry_exchange.record_all(hello.registrations)
        connection.send(RegistryUpdate(self.registry.departing_registrations()).to_wire())
        self.proxy_heartbeats.send(self.runtime.now())

    def handle_disconnect(self, connection: PeerConnection) -> None:
        """Remove a connection that was dialled to this controller and has ended."""
        self.proxy_sessions.remove(connection)

    def log_malformed(self, error: PeerMessageError) -> None:
        """Log a message that could not be decoded. Its connection is closed, and the dialler dials again."""
        self.runtime.log.error("message malformed", **error.log_fields())

    def handle_message(self, connection: PeerConnection, message: dict) -> None:
        """Process any message except the first on a connection.

        Unknown kinds are ignored, because peers with a newer release may send them.
        """
        handler = self.handlers.get(message["k"])
        if handler is not None:
            handler(connection, message)

    def handle_consensus_message(self, connection: PeerConnection, message: dict) -> None:
        """Pass a consensus message to the consensus replica."""
        self.quorum_io.handle_consensus_message(connection.peer, message)

    def handle_heartbeat(self, connection: PeerConnection, message: dict) -> None:
        """Process the heartbeat of another controller, and act on everything that depends on it."""
        now, peer, heartbeat = self.runtime.now(), connection.peer, ControllerHeartbeat.from_wire(message)
        if heartbeat.voter_set is not None:
            parse_voter_set(heartbeat.voter_set)
        self.sessions.record_heartbeat(now, peer, heartbeat)
        is_new_claim = self.grant_claims.record_claim(now, peer, heartbeat.sends_grants)
        # The peer has no heartbeat to echo yet, or waits for the echo of its claim. It gets one at once, so
        # that quorum contact need not wait for the next interval.
        if heartbeat.echo < 0 or is_new_claim:
            self.controller_peers.send_heartbeats(now, peer)
        is_first_on_connection = heartbeat.zone is not None
        # The digests are compared first, because `_learn_from_heartbeat` ignores peers whose content differs.
        if heartbeat.digests is not None or is_first_on_connection:
            self.divergence_monitor.record(peer, heartbeat.digests or {})
        self.registry.record_last_contacts(now, heartbeat.worker_ages or {})
        self._learn_from_heartbeat(now, peer, heartbeat)
        self._record_claim_report(now, peer, heartbeat)
        self.chosen_values.refresh()
        self.worker_api.check_confirmations()
        if not self.proxy_heartbeats.was_current and self.quorum_contact.is_current(now):
            self.proxy_heartbeats.send(now)
        for controller in heartbeat.controllers or ():
            self.controller_peers.add(controller)

    def _record_claim_report(self, now: float, peer: str, heartbeat: ControllerHeartbeat) -> None:
        """Record when a voter that has accepted the newest table last knew of a claim to send grants."""
        consensus = self.quorum_io.consensus
        self.grant_claims.record_epoch(now, consensus.epoch)
        is_active = heartbeat.is_voting and heartbeat.epoch == consensus.epoch
        newest_table = consensus.chosen[TABLE][0]
        if (
            heartbeat.claim_age is not None
            and is_active
            and is_voter(consensus.voters, peer, heartbeat.disk)
            and heartbeat.durable.get(TABLE, NO_PROPOSAL) >= newest_table
        ):
            self.grant_claims.record_report(now, peer, consensus.version(TABLE), heartbeat.claim_age)

    def _learn_from_heartbeat(self, now: float, peer: str, heartbeat: ControllerHeartbeat) -> None:
        """Pass the consensus state in a heartbeat to the replica, unless the sender's content differs."""
        consensus, effects = self.quorum_io.consensus, no_effects()
        if self.divergence_monitor.comparison.differs_from(peer):
            return
        if heartbeat.voter_set is not None:
            consensus.adopt_voter_set(now, heartbeat.voter_set, effects)
        for register, proposal_number in heartbeat.durable.items():
            if register not in ALL_REGISTERS:
                continue  # a newer release may have more registers
            if proposal_number != NO_PROPOSAL and heartbeat.is_voting:
                consensus.record_acceptance(now, peer, heartbeat.disk, register, proposal_number, effects)
        self.quorum_io.apply_effects(effects)
        rollback_effects = consensus.check_disk_rollback(
            heartbeat.epoch, heartbeat.peer_commitments or {}, new_disk_name()
        )
        if rollback_effects.facts:
            self.runtime.log.error("disk rolled back", step="epoch", peer=peer, disk=consensus.disk)
            self.quorum_io.apply_effects(rollback_effects)

    def handle_registry_update(self, connection: PeerConnection, message: dict) -> None:
        """Merge the registrations that a controller or a proxy forwards.

        Where the update has a request id, the registrations are stored on disk and then acknowledged.
        Otherwise the sender only gets the newer registrations that are held here, if any.
        """
        update, peer = RegistryUpdate.from_wire(message), connection.peer
        newer_rows = self.registry_exchange.record_all(update.registrations, peer)
        if update.request_id is not None:
            request_id = update.request_id
            self.deregistration_store.persist(
                update.registrations, lambda: self._acknowledge_registrations(peer, request_id, newer_rows)
            )
        elif newer_rows:
            self.runtime.peer_connections.send(peer, RegistryUpdate(newer_rows).to_wire())

    def _acknowledge_registrations(self, peer: str, request_id: int, newer_rows: Registrations) -> None:
        """Confirm to a peer that this controller has the registrations of this request on disk."""
        consensus = self.quorum_io.consensus
        epoch = consensus.epoch if consensus.is_active_voter else -1
        acknowledgement = RegistryAcknowledgement(request_id, newer_rows, epoch)
        self.runtime.peer_connections.send(peer, acknowledgement.to_wire())

    def handle_registry_acknowledgement(self, connection: PeerConnection, message: dict) -> None:
        """Count a controller that holds the registration of a pending deregistration."""
        acknowledgement, peer = RegistryAcknowledgement.from_wire(message), connection.peer
        self.registry_exchange.record_all(acknowledgement.newer, peer)
        self.worker_api.deregistrations.record_acknowledgement(
            acknowledgement.request_id, peer, acknowledgement.epoch
        )
        self.worker_api.check_confirmations()

    def handle_subscription(self, connection: PeerConnection, message: dict) -> None:
        """Start or stop pushing all updates to a proxy. A new subscriber gets the registry and all values."""
        subscription = subscription_from_wire(message)
        if not isinstance(subscription, Subscribe):
            self.proxy_sessions.unsubscribe(connection)
            return
        self.proxy_sessions.subscribe(connection, subscription.versions)
        registry = RegistryUpdate(self.registry_exchange.all_rows(), is_complete=True)
        connection.send(registry.to_wire())
        for register in DATA_REGISTERS:
            self.proxy_feed.push(connection, register)

    def handle_update_request(self, connection: PeerConnection, message: dict) -> None:
        """Send a proxy what it lacks of a register, given the version that it has."""
        request = UpdateRequest.from_wire(message)
        connection.sent_versions[request.register] = request.version
        self.proxy_feed.push(connection, request.register)

    def handle_load_report(self, connection: PeerConnection, message: dict) -> None:
        """Record the load report of a proxy."""
        self.load_reports.record(self.runtime.now(), connection.peer, LoadReport.from_wire(message))

    def handle_confirmation_request(self, connection: PeerConnection, message: dict) -> None:
        """Send a proxy the newest chosen versions, if this controller is current; otherwise send nothing."""
        if self.quorum_contact.is_current(self.runtime.now()):
            request = ConfirmationRequest.from_wire(message)
            connection.send(Confirmation(request.requested_at, self.quorum_io.versions()).to_wire())

    def handle_remove_readers(self, connection: PeerConnection, message: dict) -> None:
        """Propose to remove unresponsive workers from the read replicas of a key, as a proxy requests.

        The proxy gets a response once the change is chosen, and none where it fails.
        """
        request = RemoveReaders.from_wire(message)
        service, key, instance_ids = request.service, request.key, set(request.instance_ids)

        def send_result(outcome: Any) -> None:
            if outcome:
                version = self.quorum_io.consensus.version(TABLE)
                connection.send(ReadersRemoved(request.request_id, version).to_wire())

        self.runtime.log.info(
            "removing readers", step="read replicas", peer=sorted(instance_ids), keys=(key, key)
        )
        self.quorum_io.propose(
            TABLE,
            lambda table: without_readers(table, service, key, instance_ids),
            send_result,
            PROPOSAL_TIMEOUT,
        )
