"""The fleet: machines, network, workers and callers on one simulated clock, from a seed."""

import random

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.slice_table import PREVIOUS_OWNER, WORKER
from bramblewood.controller.commands import GetConfiguration, PutConfiguration
from bramblewood.controller.consensus.registers import TABLE
from bramblewood.controller.server import Controller
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.server import Proxy
from tests.simulation.digests import record_event

from .machine import Machine
from .rules import Rules
from .timing import CONNECTION_TIMEOUT, STEP, TCP_USER_TIMEOUT, TRANSIT_TIMES
from .worker import SimulatedWorker

OPERATOR = "operator"


class Fleet:
    """A simulated cluster. A run is determined by the seed and the calls of its methods.

    voter_count: the number of voting controllers, named a to e.
    spares: the number of controllers without a vote at the start, named x to z.
    proxies: the number of proxies, named d0, d1 and so on.
    """

    def __init__(self, seed, voter_count=5, proxies=2, spares=0):
        self.rng, self.now = random.Random(seed), 100.0
        self.tcp_user_timeout, self.transit_times = TCP_USER_TIMEOUT, TRANSIT_TIMES
        self.voters = tuple("abcde"[:voter_count])
        self.controllers = self.voters + tuple("xyz"[:spares])  # callers send calls to voters and to spares
        # blocked_until: by (sender, receiver), the end of a partition
        self.connections, self.blocked_until, self.scheduled, self.errors = [], {}, [], []
        # whether a partition refuses a controller's connections to workers instead of leaving them silent
        self.partitions_refuse_connections = False
        # read_delays: by machine, s between two messages that it reads from one connection
        self.workers, self.read_delays = ({}, {})
        self.configurations_put = 0
        self.rules = Rules(self)
        self.machines = {name: Machine(self, name, Controller) for name in self.controllers}
        self.machines |= {f"d{i}": Machine(self, f"d{i}", Proxy) for i in range(proxies)}
        for machine in self.machines.values():
            machine.start(True)
        for i in range(4):
            self.add_worker(f"w{i}")

    def add_worker(self, name):
        self.workers[name] = SimulatedWorker(self, name)

    def schedule(self, at, callback, *arguments):
        self.scheduled.append((at, callback, arguments))

    # --- faults

    def is_blocked(self, sender, receiver):
        """Whether a partition holds back messages from this sender to this receiver."""
        return self.now < self.blocked_until.get((sender, receiver), 0.0)

    def partition(self, names, until, direction="both"):
        """Separate these machines from all others.

        direction: "in" blocks messages to them, "out" blocks messages from them, "both" blocks both.
        """
        for name in names:
            for other in (*self.machines, *self.workers):
                if other not in names:
                    if direction != "out":
                        self.blocked_until[other, name] = until
                    if direction != "in":
                        self.blocked_until[name, other] = until

    def freeze(self, name, seconds):
        """Pause the program on this machine, and thaw it after so many seconds unless it has restarted."""
        machine = self.machines[name]
        machine.is_frozen, machine.loop.should_stop = True, None
        self.schedule(self.now + seconds, self.thaw, machine, machine.start_count)

    def freeze_when(self, name, condition, seconds):
        """Freeze a machine between two callbacks, as soon as condition(program) is true."""
        machine = self.machines[name]

        def should_stop():
            if condition(machine.server):
                self.freeze(name, seconds)
            return machine.is_frozen

        machine.loop.should_stop = should_stop

    def thaw(self, machine, start_count):
        if machine.server is not None and machine.start_count == start_count:
            machine.is_frozen, machine.thawed_at = False, self.now

    def restart(self, name, after=0.3):
        """Kill the program on this machine, and start it again after so many seconds."""
        machine = self.machines[name]
        if machine.server is not None:
            machine.kill()
            self.schedule(self.now + after, machine.start, False)

    def reachable_controllers(self, machine):
        """The running controllers with no partition between them and this machine, including itself."""
        if machine.server is None or machine.is_frozen:
            return set()
        reachable = {machine.name} & set(self.controllers)
        for name in self.controllers:
            other = self.machines[name]
            is_up = other.server is not None and not other.is_frozen
            if is_up and not self.is_blocked(machine.name, name) and not self.is_blocked(name, machine.name):
                reachable.add(name)
        return reachable

    # --- callers

    def call(self, name, command, pending=None, caller=""):
        """Send a command to a controller. `pending.status` is set if the response reaches the caller."""
        machine = self.machines[name]

        async def serve(server):
            began_at = self.now  # a call that arrives during a freeze begins after the thaw
            newest_before = max(
                (
                    n
                    for n, acknowledgement in self.rules.acknowledged.items()
                    if acknowledgement.at <= began_at
                ),
                default=0,
            )
            response = await server.http_listener.execute(command)
            record_event("answer", self.now, name, response.status, response.text)
            self.rules.check_response(machine, command, response, began_at, newest_before)
            if not self.is_blocked(machine.name, caller):
                if pending is not None:
                    pending.status = response.status
                self.rules.record_outcome(command, response)

        def arrive():
            if machine.server is not None and not self.is_blocked(caller, name):
                machine.loop.start(serve(machine.server))

        self.schedule(self.now + self.rng.uniform(*TRANSIT_TIMES), arrive)

    def put_configuration(self, name, newest=False):
        """Put a configuration at this controller.

        Its parent is the newest acknowledged configuration or, unless `newest` is set, sometimes an older
        acknowledged configuration or none.
        """
        acknowledged = self.rules.acknowledged
        parent = max(acknowledged, default=0)
        if not newest and self.rng.random() < 0.2:
            parent = self.rng.choice([0, *acknowledged])
        self.configurations_put += 1
        number = max(parent, max(acknowledged, default=0)) + self.configurations_put % 3 + 1
        routes = [["r", "h.example", f"/p{self.configurations_put}/", "pure", 2, 0.5, 1, 2, "s"]]
        raw_configuration = configuration(f"r{number}", routes, [["s", True]])
        raw_configuration["ParentVersion"] = f"r{parent}" if parent else 0
        self.call(name, PutConfiguration(build_configuration(raw_configuration).ok_value), caller=OPERATOR)

    def get_configuration(self, name):
        self.call(name, GetConfiguration(), caller=OPERATOR)

    def move_slice(self, name):
        """Propose at this controller to move a random slice to a random worker."""
        machine, new_owner = self.machines[name], self.rng.choice(sorted(self.workers))
        fraction = self.rng.random()

        def change(table):
            entries = table["s"].get("s", {}) if table else {}
            movable = [
                start for start, entry in entries.items() if entry[WORKER] and not entry[PREVIOUS_OWNER]
            ]
            if not movable:
                return None, True
            start = sorted(movable)[int(fraction * len(movable))]
            owner = entries[start][WORKER]
            if owner == new_owner:
                return None, True
            entries = {**entries, start: [new_owner, "", 0.0, table["n"] + 1, "", owner]}
            return {**table, "n": table["n"] + 1, "s": {**table["s"], "s": entries}}, True

        if machine.server is not None and not machine.is_frozen:
            propose = machine.server.quorum_io.propose
            machine.loop.call_soon(propose, TABLE, change, lambda outcome: None, 1.0)

    # --- the run

    def step(self):
        """Advance the clock by STEP, do everything that is due, and check the rules.

        Raises RuleViolation, or the first error in a program.
        """
        self.now += STEP
        due = [item for item in self.scheduled if item[0] <= self.now]
        self.scheduled = [item for item in self.scheduled if item[0] > self.now]
        for _, callback, arguments in due:
            callback(*arguments)
        for connection in self.connections:
            if connection.is_up:
                connection.deliver_due(self.now)
                self.disconnect_if_silent(connection)
        self.connections = [connection for connection in self.connections if connection.is_up]
        for machine in self.machines.values():
            if machine.server is not None and not machine.is_frozen:
                machine.peer_connections.dial_due(self.now)
                machine.loop.run_due_callbacks()
        for worker in list(self.workers.values()):
            if not worker.has_ended:
                worker.step(self.now)
        if self.errors:
            raise self.errors[0]
        self.rules.check_step()

    def disconnect_if_silent(self, connection):
        """Close a proxy's connection on which it has received nothing for CONNECTION_TIMEOUT s."""
        dialler = connection.dialler
        silent_since = max(connection.dialler_received_at, dialler.thawed_at)
        if dialler.is_proxy and not dialler.is_frozen and self.now > silent_since + CONNECTION_TIMEOUT:
            connection.disconnect()

    def run(self, seconds):
        """Advance the simulation by so many seconds."""
        until = self.now + seconds
        while self.now < until:
            self.step()
        return self

    def finish(self):
        """Check the rules for the final state of each machine, and close its event loop."""
        for machine in self.machines.values():
            if machine.server is not None:
                self.rules.check_end(machine)
                machine.close_loop()
