"""A simulated machine that runs one controller or proxy, with its disk and its connections."""

import asyncio
from unittest import mock

from multidict import CIMultiDict

from bramblewood.common.connection_state import AttemptOutcome
from bramblewood.common.settings import Bounds, Settings
from bramblewood.common.worker_connection import WorkerUnreachable
from bramblewood.controller.placement import PlacementPlanner
from bramblewood.controller.runtime import TICK_INTERVAL
from bramblewood.controller.server import Controller
from bramblewood.controller.worker_client import WorkerAnswer
from bramblewood.proxy.server import Proxy
from tests.simulation.digests import record_event

from .event_loop import SimulationLoop
from .network import SimulatedConnections
from .timing import REPORT_INTERVAL, SYNC_TIME, TRANSIT_TIMES, WORKER_HEARTBEAT

PORT = 3


class ControllerHandlers:
    """The connection handlers of a controller, under the names that the simulated network uses."""

    def __init__(self, controller):
        handlers = controller.peer_handlers
        self.greeting, self.handle_greeting = handlers.greeting, handlers.handle_greeting
        self.handle_message, self.handle_disconnect = handlers.handle_message, handlers.handle_disconnect
        self.connection_changed = controller.controller_peers.connection_changed


class ProxyHandlers:
    """The connection handlers of a proxy, under the same names. Proxies accept no connections."""

    def __init__(self, proxy):
        sessions = proxy.sessions
        self.greeting, self.handle_message = sessions.greeting, sessions.handle_message
        self.connection_changed = sessions.connection_changed


class Machine:
    """A machine of the fleet. `server` is the program that runs on it, and None while the machine is down."""

    def __init__(self, fleet, name, server_class):
        self.fleet, self.name, self.server_class, self.start_count = fleet, name, server_class, 0
        voters = {name: f"disk-{name}" for name in fleet.voters}
        self.facts = {"disk": f"disk-{name}", "held": 1 if name in voters else -1}
        self.facts["members"] = {"n": 1, "voters": voters, "before": {}}
        self.registers, self.server, self.is_frozen, self.thawed_at = {}, None, False, -9.0
        # the latest time for which a majority has replied to a message that was sent at that time or later
        self.last_contact_at = 0.0
        # by peer: send time of the newest message from it, and of the newest message that it has echoed
        self.received_send_times, self.echoed_send_times = {}, {}

    @property
    def is_controller(self):
        return self.server_class is Controller

    @property
    def is_proxy(self):
        return self.server_class is Proxy

    def start(self, is_first_boot):
        """Start the program with the present contents of the disk."""
        fleet = self.fleet
        self.loop, self.peer_connections = SimulationLoop(fleet), SimulatedConnections(self)
        self.start_count, self.received_send_times, self.echoed_send_times = self.start_count + 1, {}, {}
        with mock.patch("bramblewood.common.logs.start_logging", return_value=mock.Mock()):
            server = self.server_class(self.settings(is_first_boot))
        if self.is_controller:
            self.prepare_controller(server)
            self.handlers = ControllerHandlers(server)
        else:
            server.sessions.start(self.loop)
            server.sessions.peer_connections = self.peer_connections
            self.handlers = ProxyHandlers(server)
        for peer in fleet.controllers:
            if peer != self.name:
                self.peer_connections.keep_connected(peer, 1)
        self.server = server
        self.loop.start(self.run_ticks(server))

    def settings(self, is_first_boot):
        ports = {"Control" if self.is_controller else "Front": (self.name, PORT)}
        seeds = tuple(f"{name}:{PORT}" for name in self.fleet.voters)
        return Settings(
            self.name,
            self.name,
            "z",
            (1, 2),
            seeds,
            is_first_boot,
            None,
            WORKER_HEARTBEAT,
            ports,
            2**28,
            100,
            Bounds(),
        )

    def prepare_controller(self, controller):
        """Connect a new controller to the simulation and restore it from the disk, as its own start does.

        The disk initially holds a first voter set, which the controllers change by their own rules.
        """
        now = self.fleet.now
        controller.runtime.loop, controller.runtime.peer_connections = self.loop, self.peer_connections
        controller.runtime.started_at = now
        controller.quorum_io.incarnation = 1000 * self.start_count + ord(self.name)
        controller.quorum_io.storage = self
        controller.quorum_io.restore(dict(self.facts), dict(self.registers))
        controller.deregistration_store.restore(self.facts)
        controller.controller_peers.known_addresses = set(self.fleet.controllers) - {self.name}
        controller.controller_peers.next_seed_reread_at = 1e9
        controller.lease_calls.client = SimulatedWorkerClient(self)
        controller.set_planner(PlacementPlanner(now, WORKER_HEARTBEAT, False))

    def notify_connection_change(self, peer, is_up):
        """Notify the program that a connection came up or was lost. A frozen program is notified later."""
        if self.is_frozen:
            self.loop.call_soon(self.handlers.connection_changed, peer, is_up)
        else:
            self.handlers.connection_changed(peer, is_up)

    def write(self, rows, facts, on_done):
        """Store rows and facts after SYNC_TIME s. This replaces `Storage.write` of a controller."""

        def finish_write():
            record_event("write", self.fleet.now, self.name, rows, facts)
            for register, promised, accepted, value in rows:
                self.registers[register] = (promised, accepted, value)
            self.facts |= facts
            self.facts = {name: value for name, value in self.facts.items() if value is not None}
            on_done(None)

        self.loop.call_later(SYNC_TIME, finish_write)

    async def run_ticks(self, server):
        """Run the periodic work of the program until the machine stops."""
        while True:
            if self.is_controller:
                server.tick(self.fleet.now)
            else:
                server.sessions.send_report(self.fleet.now)
            await asyncio.sleep(TICK_INTERVAL if self.is_controller else REPORT_INTERVAL)

    def kill(self):
        """Stop the program. Its connections break, and writes that are not yet on disk are lost."""
        for connection in self.fleet.connections:
            if self in (connection.dialler, connection.acceptor):
                connection.disconnect()
        self.server, self.is_frozen = None, False
        self.close_loop()

    def close_loop(self):
        """Cancel all tasks of the program and close its event loop."""
        for task in list(self.loop.running_tasks):
            task.cancel()
        self.loop.run_due_callbacks()
        self.loop.close()


class SimulatedWorkerClient:
    """Sends a controller's calls to simulated workers. It replaces `WorkerClient`."""

    def __init__(self, machine):
        self.machine = machine

    async def post(self, address, path, headers, body, connect_by, on_new_connection):
        call = WorkerCall(self.machine, address, path.rpartition("/")[2], body, headers)
        async with call:
            return WorkerAnswer(call.status, call.headers, False)


class WorkerCall:
    """One call to a worker, and its response.

    Raises OSError where the worker cannot be reached, or WorkerUnreachable where its connection is refused.
    """

    def __init__(self, machine, address, kind, body, headers):
        self.machine, self.address, self.kind, self.body = machine, address, kind, body
        self.status, self.headers = 0, CIMultiDict({"X-Attempt-Id": headers["X-Attempt-Id"]})

    async def __aenter__(self):
        machine, fleet = self.machine, self.machine.fleet
        fleet.rules.check_contact_of_call(machine, self.kind)
        await asyncio.sleep(fleet.rng.uniform(*TRANSIT_TIMES))
        worker = fleet.workers.get(self.address.partition(":")[0])
        if worker is None or worker.has_ended or fleet.is_blocked(machine.name, worker.name):
            if fleet.partitions_refuse_connections:
                raise WorkerUnreachable(AttemptOutcome.NOT_SENT, self.address, is_refused=True)
            raise OSError
        self.status = worker.handle_call(self.kind, self.body, machine)
        record_event("call", fleet.now, machine.name, worker.name, self.kind, self.body, self.status)
        if self.kind == "release":
            self.headers["X-Handover"] = "h"
        await asyncio.sleep(fleet.rng.uniform(*TRANSIT_TIMES))
        if fleet.is_blocked(worker.name, machine.name):
            raise OSError
        return self

    async def __aexit__(self, *exception_info):
        pass
