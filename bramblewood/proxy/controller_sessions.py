"""The proxy's sessions with the controllers: receives messages and applies configurations and slice tables.

Invariant: during the life of a process, neither the configuration nor the slice table is replaced by an
older version, whichever controller sends it. The keys and kinds of the messages are compatible with earlier
releases.
"""

import asyncio
from typing import Any

import logbook

from ..common.configuration import Configuration
from ..common.configuration_parser import build_configuration
from ..common.errors import PeerMessageError
from ..common.messages import (
    ROLE_PROXY,
    ConfigurationUpdate,
    Confirmation,
    ConfirmationRequest,
    Hello,
    ProxyHeartbeat,
    ReadersRemoved,
    RegistryUpdate,
    RemoveReaders,
    Subscribe,
    TableUpdate,
    UpdateRequest,
    Versions,
    kinds,
)
from ..common.peer_connections import CONNECTION_TIMEOUT, PeerConnection, PeerConnections
from ..common.settings import Settings, reread_seeds
from ..common.worker_registry import GONE, WorkerRegistration
from .client_limits import DEFAULT_LIMITS, ClientLimits
from .connection_pool import ConnectionPool
from .controller_selection import ControllerSelection, OutgoingMessages
from .load_balancing import LoadBalancer
from .load_report import take_report
from .pause_detection import PauseDetector
from .registry_freshness import RegistryFreshness
from .retry_budget import RetryBudget

CONFIGURATION_REGISTER, TABLE_REGISTER = "config", "table"  # names of the registers on the wire
# s for which a deregistration is repeated to controllers: many times the transit time of a delayed call
DEREGISTRATION_REPEAT_TIME = 10.0
CONFIRMATION_RETRY_INTERVAL = 0.1  # s until a confirmation of the slice table is requested again
READER_REMOVAL_TIMEOUT = 1.0  # s for the controllers to agree on a change of the slice table and announce it


class ControllerSessions:
    """The connections to the controllers, and the state received from them.

    configuration: the newest configuration, None before the first one. client_limits: its limits. selection:
    the roles of the controllers. updated: set at the next update, which also replaces it by a new event.
    """

    def __init__(
        self,
        settings: Settings,
        log: logbook.Logger,
        load_balancer: LoadBalancer,
        retry_budget: RetryBudget,
        connection_pool: ConnectionPool,
    ) -> None:
        self.settings, self.log = settings, log
        self.load_balancer, self.retry_budget = load_balancer, retry_budget
        self.connection_pool = connection_pool
        self.configuration: Configuration | None = None
        self.client_limits = DEFAULT_LIMITS
        self.selection = ControllerSelection(settings.name, settings.zone)
        self.freshness = RegistryFreshness(load_balancer.registry, settings.heartbeat_interval)
        self.pause_detector = PauseDetector(settings.bounds.ConfigApplyS)
        self._silent_workers: set[str] = set()  # from the newest heartbeat of a current controller
        self.peer_connections = PeerConnections(
            self.greeting, self.handle_message, self.connection_changed, CONNECTION_TIMEOUT, settings.bind_ip
        )
        self.peer_connections.on_malformed = self.log_malformed
        self.loop: asyncio.AbstractEventLoop
        self.updated: asyncio.Event
        self.reported_at = 0.0  # time of the last load report
        self._removal_count = 0
        # by the request id that the response repeats
        self._pending_removals: dict[int, asyncio.Future[bool]] = {}
        self._handlers = {
            kinds.HEARTBEAT: self._on_heartbeat,
            kinds.REGISTRY_UPDATE: self._on_registrations,
            kinds.CONFIGURATION_UPDATE: self._on_configuration,
            kinds.TABLE_UPDATE: self._on_table,
            kinds.CONFIRMATION: self._on_confirmation,
            kinds.READERS_REMOVED: self._on_readers_removed,
        }

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Set the event loop. This is called before any other method."""
        self.loop, self.updated = loop, asyncio.Event()

    def connect(self) -> None:
        """Maintain a connection to each controller in the seeds of the settings."""
        for peer in self.settings.seed_hosts():
            self.peer_connections.keep_connected(peer, self.settings.peer_port)

    def reread_seeds(self) -> None:
        """Read the seeds again from the settings file and maintain a connection to each of them."""
        for peer in reread_seeds(self.settings, self.log):
            self.peer_connections.keep_connected(peer, self.settings.peer_port)

    async def wait_after_pause(self) -> None:
        """Wait until a current controller has confirmed the configuration, if this process stood still.

        The wait is short where no controller answers. The proxy then goes on as it does without controllers.
        """
        detector = self.pause_detector
        while detector.is_confirmation_pending(now := self.loop.time()):
            if detector.take_question():
                self.log.info("process stood still", step="pause")
                for peer in list(self.peer_connections.connected):
                    self.peer_connections.send(peer, ConfirmationRequest(now).to_wire())
            wait_until = detector.wait_until(now, self.known_versions()[CONFIGURATION_REGISTER])
            if wait_until is not None:
                await self.wait_for_update(wait_until)

    async def close(self) -> None:
        """Close all connections to controllers."""
        await self.peer_connections.close()

    # --- connections and messages

    def greeting(self, peer: str) -> dict[str, Any]:
        """Return the first message on a connection.

        It repeats recent deregistrations, because a controller that restarts loses them.
        """
        changed_since = self.loop.time() - DEREGISTRATION_REPEAT_TIME
        departing = self.load_balancer.registry.departing_registrations(changed_since)
        return Hello(ROLE_PROXY, self.settings.name, departing).to_wire()

    def connection_changed(self, peer: str, is_up: bool) -> None:
        """Process a new or lost connection to a controller."""
        self._send_all(self.selection.connection_changed(peer, is_up, self.known_versions()))

    def log_malformed(self, error: PeerMessageError) -> None:
        """Log a message that cannot be decoded. Its connection is closed and opened again."""
        self.log.error("message malformed", **error.log_fields())

    def handle_message(self, connection: PeerConnection, message: dict) -> None:
        """Process a message. Messages of unknown kinds are ignored."""
        handler = self._handlers.get(message["k"])
        if handler is not None:
            handler(self.loop.time(), connection, message)

    def _on_heartbeat(self, now: float, connection: PeerConnection, message: dict) -> None:
        heartbeat = ProxyHeartbeat.from_wire(message)
        if heartbeat.is_coordinator and heartbeat.zone_affinity is not None:
            self.load_balancer.request_counts.apply_hot_keys(heartbeat.hot_keys or {})
            self.load_balancer.local_fractions = {
                service: by_zone.get(self.settings.zone, 0.0)
                for service, by_zone in heartbeat.zone_affinity.items()
            }
        if heartbeat.is_current:
            self._silent_workers = set(heartbeat.silent_workers or ())
            self.retry_budget.proxy_count = max(heartbeat.proxy_count, 1)
        for controller in heartbeat.controllers or ():
            self.peer_connections.keep_connected(controller, self.settings.peer_port)
        versions = self.known_versions()
        self._send_all(self.selection.heartbeat_received(now, connection.peer, heartbeat, versions))
        if self.pause_detector.is_confirmation_pending(now):
            connection.send(ConfirmationRequest(now).to_wire())
        if connection.peer == self.selection.upstream:
            if self.freshness.heartbeat_received(now, heartbeat):
                connection.send(Subscribe(versions).to_wire())  # the response contains the complete registry
        self._update_timed_out(now)

    def _on_registrations(self, now: float, connection: PeerConnection, message: dict) -> None:
        update = RegistryUpdate.from_wire(message)
        registrations = {name: WorkerRegistration.from_row(row) for name, row in update.registrations.items()}
        self.load_balancer.rollout_trials.record_versions(now, registrations.values())
        for instance_id, registration in registrations.items():
            changed = self.load_balancer.registry.record(now, instance_id, registration)
            if changed and registration.phase == GONE:
                self.connection_pool.close_all(instance_id)
        is_current = self.selection.is_current_upstream(connection.peer)
        self.freshness.registrations_received(now, registrations, update.is_complete, is_current)
        self._update_timed_out(now)
        if update.is_complete:
            versions = self.known_versions()
            self._send_all(self.selection.registry_received(now, connection.peer, versions))
        self._wake_waiting_requests()

    def _update_timed_out(self, now: float) -> None:
        """Update the set of timed-out workers: those that controllers report as silent, and unconfirmed ones.

        An unconfirmed worker that still responds to this proxy is not timed out. The upstream may be
        partitioned from the controller that receives the worker's heartbeats.
        """
        answered_since = now - self.freshness.heartbeat_timeout
        unconfirmed = {
            instance_id
            for instance_id in self.freshness.unconfirmed
            if self.load_balancer.observation(instance_id).answered_at < answered_since
        }
        self.load_balancer.timed_out = self._silent_workers | unconfirmed

    def _on_configuration(self, now: float, connection: PeerConnection, message: dict) -> None:
        update = ConfigurationUpdate.from_wire(message)
        if self.configuration is None or update.version > self.configuration.revision:
            configuration = build_configuration(update.configuration)
            if configuration.is_ok():
                self.apply_configuration(configuration.ok_value)
                self.log.info("configuration applied", step="take", number=self.configuration.revision)
                self._wake_waiting_requests()
        self._send_all(self.selection.confirmation_request(now, self.known_versions()))

    def _on_table(self, now: float, connection: PeerConnection, message: dict) -> None:
        if not self.load_balancer.apply_table(TableUpdate.from_wire(message)):
            connection.send(UpdateRequest(TABLE_REGISTER, 0).to_wire())  # 0: the complete table
        self._wake_waiting_requests()
        self._send_all(self.selection.confirmation_request(now, self.known_versions()))

    def _on_confirmation(self, now: float, connection: PeerConnection, message: dict) -> None:
        was_ready, confirmation = self.selection.is_ready, Confirmation.from_wire(message)
        self.selection.confirmation_received(now, connection.peer, confirmation, self.known_versions())
        newest_version = confirmation.versions.get(CONFIGURATION_REGISTER, 0)
        self.pause_detector.confirmation_received(confirmation.requested_at, newest_version)
        if self.selection.is_ready and not was_ready:
            self.log.info("ready", step="start", number=self.configuration.revision)
        self._wake_waiting_requests()

    def _on_readers_removed(self, now: float, connection: PeerConnection, message: dict) -> None:
        pending = self._pending_removals.get(ReadersRemoved.from_wire(message).request_id)
        if pending is not None and not pending.done():
            pending.set_result(True)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use this configuration and its limits from now on."""
        self.configuration, self.client_limits = configuration, ClientLimits.of(configuration)

    # --- requests by other components

    def known_versions(self) -> Versions:
        """Return the version that this proxy has of each register, 0 for none."""
        return {
            CONFIGURATION_REGISTER: self.configuration.revision if self.configuration else 0,
            TABLE_REGISTER: self.load_balancer.slices.version,
        }

    async def wait_for_update(self, deadline: float) -> None:
        """Wait for an update from the controllers, at most until the deadline (s of the loop's clock)."""
        try:
            async with asyncio.timeout_at(deadline):
                await self.updated.wait()
        except TimeoutError:
            pass

    async def confirm_table(self, deadline: float) -> None:
        """Request the upstream's confirmation that the slice table is the newest, and wait for an update.

        The wait ends after CONFIRMATION_RETRY_INTERVAL or at the deadline (s of the loop's clock).
        """
        now = self.loop.time()
        self._send_upstream(ConfirmationRequest(now))
        await self.wait_for_update(min(now + CONFIRMATION_RETRY_INTERVAL, deadline))

    async def remove_readers(
        self, service: str, key: int, instance_ids: tuple[str, ...], deadline: float
    ) -> bool:
        """Request that the controllers remove readers from a key's slice.

        Returns True once they have agreed, and False after READER_REMOVAL_TIMEOUT or at the deadline (s of
        the loop's clock), or if there is no upstream.
        """
        request_id = self._removal_count = self._removal_count + 1
        pending = self._pending_removals[request_id] = self.loop.create_future()
        request = RemoveReaders(request_id, service, key, instance_ids)
        try:
            if not self._send_upstream(request):
                retry_at = self.loop.time() + CONFIRMATION_RETRY_INTERVAL
                await self.wait_for_update(min(retry_at, deadline))
                return False
            async with asyncio.timeout_at(min(self.loop.time() + READER_REMOVAL_TIMEOUT, deadline)):
                return await pending
        except TimeoutError:
            return False
        finally:
            del self._pending_removals[request_id]

    def send_report(self, now: float) -> None:
        """Send the load report to the coordinator, if there is one."""
        coordinator = self.selection.coordinator
        if coordinator is None:
            return
        report = take_report(self.load_balancer, now - self.reported_at, now)
        if self.peer_connections.send(coordinator, report.to_wire()):
            self.reported_at = now

    def _wake_waiting_requests(self) -> None:
        """Wake up all callers of `wait_for_update`."""
        self.updated.set()
        self.updated = asyncio.Event()

    def _send_upstream(self, message: ConfirmationRequest | RemoveReaders) -> bool:
        upstream = self.selection.upstream
        return upstream is not None and self.peer_connections.send(upstream, message.to_wire())

    def _send_all(self, messages: OutgoingMessages) -> None:
        for peer, message in messages:
            self.peer_connections.send(peer, message.to_wire())
