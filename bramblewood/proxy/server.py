"""The proxy program: it creates and starts the components, runs periodic work and shuts down gracefully."""

import asyncio
import signal
import socket

from aiohttp import web

from ..common import logs
from ..common.listeners import ACCEPT_BACKLOG, listen_on
from ..common.settings import SEED_REREAD_INTERVAL, Settings
from ..common.worker_registry import GONE
from .client_connections import ClientConnections
from .client_disconnects import ClientDisconnects
from .connection_pool import ConnectionPool
from .controller_sessions import ControllerSessions
from .forwarding import Forwarder
from .load_balancing import LoadBalancer
from .pause_detection import CHECK_INTERVAL
from .readiness import Readiness
from .request_handler import RequestHandler, ShutdownTimes
from .retry_budget import RetryBudget

# names of the listen addresses in `BindMap`
CLIENT_LISTENER, READINESS_LISTENER = "Front", "ReadyProbe"
READINESS_KEEP_ALIVE = 5.0  # s
# s between load reports: one cycle of the placement policy, although controllers accept any interval
REPORT_INTERVAL = 0.5
CLEANUP_INTERVAL = 1.0  # s between removals of idle connections and of departed workers
SHUTDOWN_POLL_INTERVAL = 0.05  # s between checks for requests in flight
ACCEPT_ALL_FRACTION = 0.45  # of GraceS, in which requests are accepted however long they may take
SHUTDOWN_RESERVE = 0.3  # s of GraceS that are reserved for closing connections and exiting
# s from SIGTERM until two health checks have failed, so that the platform sends no new connections
HEALTH_CHECKS_FAILED_AFTER = 2.6


class Proxy:
    """One proxy process. Each component owns its state."""

    def __init__(self, settings: Settings, open_sockets: dict[str, socket.socket] | None = None) -> None:
        """open_sockets: sockets that already listen, by their name in `BindMap`."""
        self.settings, self.open_sockets = settings, open_sockets or {}
        self.log = logs.start_logging(settings.name)
        bounds = settings.bounds
        self.load_balancer = LoadBalancer(bounds.DrainS, settings.zone, bounds.ExposureShare)
        self.retry_budget = RetryBudget(bounds.RetryRatio, bounds.RetryWindowS, bounds.RetrySlack)
        self.connection_pool = ConnectionPool()
        self.sessions = ControllerSessions(
            settings, self.log, self.load_balancer, self.retry_budget, self.connection_pool
        )
        self.forwarder = Forwarder(
            settings.name,
            self.log,
            self.load_balancer,
            self.retry_budget,
            self.connection_pool,
            self.sessions,
        )
        self.disconnects = disconnects = ClientDisconnects()
        self.request_handler = RequestHandler(
            settings, self.sessions, self.load_balancer, self.retry_budget, self.forwarder, disconnects
        )
        self.client_connections = ClientConnections(self.sessions, self.request_handler.handle, disconnects)
        self.readiness = Readiness(self.sessions, self.request_handler, self.forwarder, self.connection_pool)
        self.client_listener: asyncio.Server | None = None

    async def run(self) -> int:
        """Run until SIGTERM and return the exit code.

        SIGHUP reads the seeds again from the settings file. Raises OSError if an address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        self.sessions.start(loop)
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.sessions.reread_seeds)
        self.sessions.connect()
        await self._listen(loop)
        self.sessions.reported_at = loop.time()
        self._tick_pause_detector(loop)
        logs.log_started(self.log, self.settings.unsupported, contract=self.settings.rule_parts)
        await self._run_periodic_work(stopping)
        return await self.shut_down()

    def _tick_pause_detector(self, loop: asyncio.AbstractEventLoop) -> None:
        self.sessions.pause_detector.tick(loop.time())
        loop.call_later(CHECK_INTERVAL, self._tick_pause_detector, loop)

    async def _listen(self, loop: asyncio.AbstractEventLoop) -> None:
        readiness_server = web.Server(
            self.readiness.handle, access_log=None, keepalive_timeout=READINESS_KEEP_ALIVE
        )
        self.client_listener = await loop.create_server(
            self.client_connections.create_protocol,
            sock=self._socket(CLIENT_LISTENER),
            backlog=ACCEPT_BACKLOG,
        )
        await loop.create_server(
            readiness_server, sock=self._socket(READINESS_LISTENER), backlog=ACCEPT_BACKLOG
        )

    def _socket(self, name: str) -> socket.socket:
        return self.open_sockets.get(name) or listen_on(*self.settings.listen_addresses[name])

    async def _run_periodic_work(self, stopping: asyncio.Event) -> None:
        """Send load reports and clean up periodically until `stopping` is set.

        While no controller is connected, the seeds are read again every SEED_REREAD_INTERVAL.
        """
        loop = asyncio.get_running_loop()
        cleanup_at = loop.time()
        reread_seeds_at = cleanup_at + SEED_REREAD_INTERVAL
        while not stopping.is_set():
            try:
                async with asyncio.timeout(REPORT_INTERVAL):
                    await stopping.wait()
            except TimeoutError:
                pass
            now = loop.time()
            self.sessions.send_report(now)
            is_connected = bool(self.sessions.peer_connections.connected)
            if is_connected or now >= reread_seeds_at:
                if not is_connected:
                    self.sessions.reread_seeds()
                reread_seeds_at = now + SEED_REREAD_INTERVAL
            if now >= cleanup_at:
                cleanup_at = now + CLEANUP_INTERVAL
                self._clean_up(now)

    def _clean_up(self, now: float) -> None:
        """Close idle connections that exceed their limits, and remove state of workers that have departed."""
        registry = self.load_balancer.registry
        limits = {
            instance_id: self.forwarder.idle_connection_limit(registration.service, instance_id, now)
            for instance_id, registration in registry.registrations.items()
            if registration.phase != GONE
        }
        self.connection_pool.prune(now, limits)
        registry.remove_expired(now)
        self.load_balancer.forget_departed()

    async def shut_down(self) -> int:
        """Shut down gracefully and return the exit code.

        Readiness fails at once. Requests on new and on open connections are still answered, and the
        connections are then closed. Requests in flight have until SHUTDOWN_RESERVE before the end of GraceS
        to complete, and their responses as long to be delivered. A request that may not end in that time is
        rejected, unless it arrives in the first half of it.

        If few machines are ready, the platform continues to send connections here. Once its health checks
        have failed, the listener is closed and connections are refused, so that clients connect to another
        machine without delay.
        """
        loop, handler = asyncio.get_running_loop(), self.request_handler
        started_at, grace_time = loop.time(), self.settings.bounds.GraceS
        deadline = started_at + grace_time - SHUTDOWN_RESERVE
        handler.shutdown = ShutdownTimes(started_at + grace_time * ACCEPT_ALL_FRACTION, deadline)
        self.log.info("shutting down", step="end", in_flight=handler.in_flight)
        refuse_at = started_at + HEALTH_CHECKS_FAILED_AFTER
        while loop.time() < deadline and (self._has_undelivered_responses() or loop.time() < refuse_at):
            if loop.time() >= refuse_at:
                self._close_client_listener()
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL)
            self.sessions.send_report(loop.time())
        # without a wait since the last look, so that no request is read in between
        self._close_client_listener()
        self.disconnects.close_all()
        self.log.info("stopped", step="end", in_flight=handler.in_flight)
        await self.sessions.close()
        return 0

    def _has_undelivered_responses(self) -> bool:
        """Return whether a client waits for its response, or for a part of it."""
        return bool(self.request_handler.in_flight or self.disconnects.undelivered_bytes())

    def _close_client_listener(self) -> None:
        if self.client_listener is not None:
            self.client_listener.close()
            self.client_listener = None
