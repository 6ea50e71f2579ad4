"""The controller program: it builds and connects the parts, and handles start, timers, signals and shutdown.

A part is an object with one responsibility, for example `QuorumIO`. The parts contain all other logic.
"""

import asyncio
import signal
from contextlib import AsyncExitStack

from aiohttp import web
from result import Err

from ..common import logs
from ..common.peer_connections import PeerConnections
from ..common.settings import SEED_REREAD_INTERVAL, Settings
from ..common.worker_registry import WorkerRegistry
from .chosen_values import ChosenValues
from .consensus.effects import no_effects
from .controller_peers import KNOWN_CONTROLLERS_FACT, ControllerPeers
from .coordinator_loop import CoordinatorLoop
from .damage_response import DamageResponse
from .deregistration_store import DeregistrationStore
from .divergence_monitor import DivergenceMonitor
from .drain_progress import DrainProgress
from .grant_claims import GrantClaims
from .http_listener import HttpListener
from .introspection import Introspection
from .key_leases import KeyLeases
from .key_releases import KeyReleases
from .lease_calls import LeaseCalls
from .load_reports import LoadReports
from .operator_api import OperatorApi
from .outlier_detection import OutlierDetection
from .peer_handlers import PeerHandlers
from .peer_sessions import PeerSessions
from .placement import PlacementPlanner
from .proxy_feed import ProxyFeed
from .proxy_heartbeats import ProxyHeartbeats
from .proxy_sessions import ProxySessions
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .read_replicas import ReadReplicas
from .registry_exchange import RegistryExchange
from .rollout_progress import RolloutProgress
from .runtime import TICK_INTERVAL, Runtime
from .storage import Storage
from .storage_quarantine import open_or_quarantine
from .storage_reader import StoredState
from .voter_changes import VoterChanges
from .worker_api import WorkerApi

DEFAULT_DATA_DIRECTORY = "/tmp"
HOUSEKEEPING_INTERVAL = 0.5  # s between two rounds of the slower periodic work in `tick`
LISTEN_BACKLOG = 512  # connections that the kernel queues for each listener
STORAGE_UNUSABLE = 2  # exit code; the database cannot be opened


class Controller:
    """One controller process. It builds and connects its parts, runs their periodic work, and closes them."""

    def __init__(self, settings: Settings) -> None:
        runtime = self.runtime = Runtime(settings)
        self.quorum_io = QuorumIO(runtime, Storage(settings.data_directory or DEFAULT_DATA_DIRECTORY))
        self.sessions = PeerSessions(runtime.own_address)
        self.quorum_contact = QuorumContact(
            runtime, self.quorum_io, self.sessions, GrantClaims(runtime.own_address)
        )
        self.registry, self.proxy_sessions = WorkerRegistry(), ProxySessions()
        self.damage_response = DamageResponse(runtime, self.quorum_io)
        self.divergence_monitor = DivergenceMonitor(runtime, self.quorum_io)
        self.deregistration_store = DeregistrationStore(runtime, self.quorum_io, self.registry)
        self.registry_exchange = RegistryExchange(runtime, self.registry, self.proxy_sessions)
        self._build_peer_parts()
        self._build_coordinator()
        self._build_apis()
        self._connect_parts()
        self.next_housekeeping_at = 0.0

    def _build_peer_parts(self) -> None:
        self.controller_peers = ControllerPeers(
            self.runtime,
            self.quorum_io,
            self.quorum_contact,
            self.sessions,
            self.registry,
            self.proxy_sessions,
        )
        self.voter_changes = VoterChanges(
            self.runtime, self.quorum_io, self.quorum_contact, self.sessions, self.controller_peers
        )
        self.proxy_feed = ProxyFeed(self.runtime, self.quorum_io, self.proxy_sessions)
        self.proxy_heartbeats = ProxyHeartbeats(
            self.runtime,
            self.quorum_contact,
            self.sessions,
            self.proxy_sessions,
            self.controller_peers,
            self.registry_exchange,
            self.proxy_feed.announced_versions,
        )

    def _build_coordinator(self) -> None:
        runtime, quorum_io = self.runtime, self.quorum_io
        self.key_leases = KeyLeases(runtime.settings.bounds.HoldMaxS)
        self.read_replicas, self.outlier_detection = ReadReplicas(), OutlierDetection()
        self.drain_progress = DrainProgress(self.key_leases.lease_expiry_delay)
        self.rollout_progress = RolloutProgress(self.drain_progress)
        self.chosen_values = ChosenValues(
            runtime,
            quorum_io,
            self.proxy_feed,
            self.read_replicas,
            self.outlier_detection,
            self.rollout_progress,
        )
        self.key_releases = KeyReleases(quorum_io)
        self.lease_calls = LeaseCalls(
            runtime,
            quorum_io,
            self.chosen_values,
            self.registry_exchange,
            self.key_leases,
            self.read_replicas,
            self.key_releases,
        )
        self.coordinator_loop = CoordinatorLoop(
            runtime,
            quorum_io,
            self.quorum_contact,
            self.chosen_values,
            self.registry_exchange,
            self.key_leases,
            self.read_replicas,
            self.key_releases,
            self.lease_calls,
            self.drain_progress,
            self.outlier_detection,
            self.rollout_progress,
        )

    def _build_apis(self) -> None:
        runtime, quorum_io, quorum_contact = self.runtime, self.quorum_io, self.quorum_contact
        self.worker_api = WorkerApi(
            runtime, quorum_io, quorum_contact, self.registry_exchange, self.deregistration_store
        )
        self.operator_api = OperatorApi(runtime, quorum_io, quorum_contact, self.registry, self.voter_changes)
        self.introspection = Introspection(
            runtime,
            quorum_io,
            quorum_contact,
            self.sessions,
            self.proxy_sessions,
            self.voter_changes,
            self.coordinator_loop,
        )
        self.peer_handlers = PeerHandlers(
            runtime,
            quorum_io,
            quorum_contact,
            self.sessions,
            self.controller_peers,
            self.registry_exchange,
            self.proxy_feed,
            self.proxy_heartbeats,
            self.chosen_values,
            LoadReports(
                self.coordinator_loop, self.drain_progress, self.outlier_detection, self.rollout_progress
            ),
            self.worker_api,
            self.divergence_monitor,
            self.deregistration_store,
        )
        self.http_listener = HttpListener(
            runtime, self.peer_handlers, self.worker_api, self.operator_api, self.introspection
        )

    def _connect_parts(self) -> None:
        runtime, handlers = self.runtime, self.peer_handlers
        runtime.peer_connections = PeerConnections(
            handlers.greeting,
            handlers.handle_message,
            self.controller_peers.connection_changed,
            None,
            runtime.settings.bind_ip,
        )
        runtime.peer_connections.on_malformed = handlers.log_malformed
        self.divergence_monitor.on_divergence = self.damage_response.report_damage
        self.quorum_io.on_consensus_step = self.chosen_values.refresh
        self.quorum_io.on_epoch_changed = self.handle_epoch_change
        self.proxy_feed.on_configuration_announced = lambda: self.proxy_heartbeats.send(runtime.now())
        self.coordinator_loop.on_claim = lambda: self.controller_peers.send_heartbeats(runtime.now())
        self.registry_exchange.on_departure = self.coordinator_loop.step
        self.key_releases.on_proposal_finished = self.chosen_values.refresh
        self.key_releases.on_all_released = lambda: self.coordinator_loop.step(runtime.now())

    def set_planner(self, planner: PlacementPlanner) -> None:
        """Gives the placement planner to the parts that use it.

        The planner needs the clock, so it is created only after the event loop has started.
        """
        self.coordinator_loop.placement = self.proxy_heartbeats.placement = planner

    async def run(self) -> int:
        """Runs the controller until it may shut down after a SIGTERM, or until the storage is found damaged.

        Returns the exit code: 0 after a regular shutdown, 2 if the storage cannot be opened, and 3 if the
        storage was found damaged while the controller ran. After exit code 3 the controller must be started
        again.
        """
        runtime, loop = self.runtime, asyncio.get_running_loop()
        runtime.loop = loop
        storage = self.quorum_io.storage
        opened = await asyncio.to_thread(open_or_quarantine, storage, runtime.log)
        if isinstance(opened, Err):
            runtime.log.error("storage unusable", step="open", problem=str(opened.err_value))
            return STORAGE_UNUSABLE
        self._restore(opened.ok_value)
        loop.add_signal_handler(signal.SIGTERM, runtime.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.controller_peers.reread_seeds)
        async with AsyncExitStack() as resources:
            resources.callback(storage.close)
            await self._open_resources(resources)
            self._log_start()
            while self.damage_response.reason is None and not self.voter_changes.may_shut_down(runtime.now()):
                self.tick(runtime.now())
                await self._wait_for_next_tick()
            # The other voters no longer need the vote of this controller, the time for which it keeps its
            # vote has passed, or its disk is damaged.
            self.quorum_io.consensus.stop_voting()
            runtime.log.info("stopped", step="end")
        return 0 if self.damage_response.reason is None else await self.damage_response.mark_for_quarantine()

    def _restore(self, stored_state: StoredState) -> None:
        """Restores the state of the parts from the disk, and starts the writer thread of the storage."""
        runtime, settings, loop = self.runtime, self.runtime.settings, self.runtime.loop
        storage = self.quorum_io.storage
        storage.on_damage = lambda problem: loop.call_soon_threadsafe(
            self.damage_response.report_damage, problem
        )
        self.quorum_io.restore(stored_state.facts, stored_state.registers, storage.has_quarantined_database)
        self.deregistration_store.restore(stored_state.facts)
        self.set_planner(
            PlacementPlanner(runtime.now(), settings.heartbeat_interval, settings.detect_hot_keys)
        )
        storage.start(lambda on_finished, problem: loop.call_soon_threadsafe(on_finished, problem))
        self.quorum_io.apply_effects(no_effects())
        known_controllers = stored_state.facts.get(KNOWN_CONTROLLERS_FACT, ())
        for peer in {*settings.seed_hosts(), *self.quorum_io.consensus.voters, *known_controllers}:
            self.controller_peers.add(peer)
        runtime.started_at = runtime.now()
        self.controller_peers.next_seed_reread_at = runtime.started_at + SEED_REREAD_INTERVAL

    async def _open_resources(self, resources: AsyncExitStack) -> None:
        """Starts the listeners, and registers what is closed at the shutdown, the last registered first."""
        calls = self.lease_calls
        resources.callback(calls.client.close)
        resources.push_async_callback(calls.cancel_all)
        resources.push_async_callback(self.runtime.peer_connections.close)
        settings = self.runtime.settings
        for address in (
            settings.listen_addresses["Control"],
            (settings.bind_ip or settings.ip, settings.peer_port),
        ):
            protocol = web.Server(self.http_listener.serve, access_log=None)
            server = await self.runtime.loop.create_server(protocol, *address, backlog=LISTEN_BACKLOG)
            resources.callback(server.close)

    def _log_start(self) -> None:
        settings, consensus = self.runtime.settings, self.quorum_io.consensus
        logs.log_started(
            self.runtime.log,
            settings.unsupported,
            contract=settings.rule_parts,
            epoch=consensus.epoch,
            voters=sorted(consensus.voters),
            voting=consensus.is_active_voter,
        )

    async def _wait_for_next_tick(self) -> None:
        # The wait lasts TICK_INTERVAL. A shutdown request does not shorten it.
        try:
            async with asyncio.timeout(TICK_INTERVAL):
                await self.runtime.shutdown_requested.wait()
                await asyncio.sleep(TICK_INTERVAL)
        except TimeoutError:
            pass

    def tick(self, now: float) -> None:
        """Runs all periodic work that is due. `run` calls it every TICK_INTERVAL."""
        self.quorum_io.apply_effects(self.quorum_io.consensus.tick(now))
        self.quorum_io.probe_failing_disk(now)
        self.voter_changes.propose_due_change(now)
        self.controller_peers.reread_seeds_if_isolated(now)
        self.controller_peers.send_due_heartbeats(now)
        self.proxy_heartbeats.send_due(now)
        self.chosen_values.refresh()
        if now >= self.next_housekeeping_at:
            self.next_housekeeping_at = now + HOUSEKEEPING_INTERVAL
            self.registry.remove_expired(now)
            self.divergence_monitor.check()
            self.deregistration_store.remove_expired(now)
            proxies = self.sessions.all_proxies(now, list(self.proxy_sessions.connected))
            self.drain_progress.record_connected_proxies(now, proxies)
        self.coordinator_loop.step(now)

    def handle_epoch_change(self) -> None:
        """Connects to the voters of a new epoch, logs it, and sends heartbeats.

        `QuorumIO` calls it once the new epoch, or the active vote of this controller in it, is durable.
        """
        consensus = self.quorum_io.consensus
        for peer in consensus.voters:
            self.controller_peers.add(peer)
        self.runtime.log.info(
            "epoch",
            step="epoch",
            epoch=consensus.epoch,
            voters=consensus.voters,
            voting=consensus.is_active_voter,
        )
        self.controller_peers.send_heartbeats(self.runtime.now())  # without waiting for the interval
