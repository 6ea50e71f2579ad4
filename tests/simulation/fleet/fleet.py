"""The fleet: machines, network, workers and callers on one clock, from a seed."""

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
from .timing import CONNECTION_PATIENCE, CONNECTION_TIMEOUT, STEP, TRANSIT_TIMES
from .worker import SimulatedWorker

OPERATOR = "operator"


class Fleet:
    """count, spares: how many controllers vote, and how many more there are."""

    def __init__(self, seed, count=5, proxies=2, spares=0):
        self.rng, self.now = random.Random(seed), 100.0
        self.connection_patience, self.transit_times = CONNECTION_PATIENCE, TRANSIT_TIMES
        self.voters = tuple("abcde"[:count])
        self.controllers = self.voters + tuple("xyz"[:spares])  # callers don't tell them apart
        self.connections, self.cuts, self.scheduled, self.errors = [], {}, [], []
        self.workers, self.read_delays = (
            {},
            {},
        )  # read_delays: by machine, s for each message that comes there
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

    def at(self, when, call, *arguments):
        self.scheduled.append((when, call, arguments))

    # --- faults

    def is_cut(self, sender, receiver):
        return self.now < self.cuts.get((sender, receiver), 0.0)

    def partition(self, names, until, direction="both"):
        """Cut these from all others; direction: "in", they hear nothing; "out", they are not heard."""
        for name in names:
            for other in (*self.machines, *self.workers):
                if other not in names:
                    if direction != "out":
                        self.cuts[other, name] = until
                    if direction != "in":
                        self.cuts[name, other] = until

    def freeze(self, name, seconds):
        machine = self.machines[name]
        machine.is_frozen, machine.loop.should_stop = True, None
        self.at(self.now + seconds, self.thaw, machine, machine.starts)

    def freeze_when(self, name, condition, seconds):
        """Freeze a machine amid a turn, once this is so."""
        machine = self.machines[name]

        def should_stop():
            if condition(machine.server):
                self.freeze(name, seconds)
            return machine.is_frozen

        machine.loop.should_stop = should_stop

    def thaw(self, machine, starts):
        if machine.server is not None and machine.starts == starts:
            machine.is_frozen, machine.thawed_at = False, self.now

    def restart(self, name, after=0.3):
        machine = self.machines[name]
        if machine.server is not None:
            machine.kill()
            self.at(self.now + after, machine.start, False)

    def reachable_controllers(self, machine):
        """The controllers that this machine has a way to and from, itself among them where it is one."""
        if machine.server is None or machine.is_frozen:
            return set()
        found = {machine.name} & set(self.controllers)
        for name in self.controllers:
            other = self.machines[name]
            is_up = other.server is not None and not other.is_frozen
            if is_up and not self.is_cut(machine.name, name) and not self.is_cut(name, machine.name):
                found.add(name)
        return found

    # --- callers

    def call(self, name, command, pending=None, caller=""):
        """A call to a controller; `pending` gets the status, if the answer comes back."""
        machine = self.machines[name]

        async def serve(server):
            began_at = self.now  # a call that waited for a thaw begins then
            known = max((n for n, one in self.rules.acknowledged.items() if one.at <= began_at), default=0)
            response = await server.http_listener.execute(command)
            record_event("answer", self.now, name, response.status, response.text)
            self.rules.check_answer(machine, command, response, began_at, known)
            if not self.is_cut(machine.name, caller):
                if pending is not None:
                    pending.status = response.status
                self.rules.record_outcome(command, response)

        def arrive():
            if machine.server is not None and not self.is_cut(caller, name):
                machine.loop.start(serve(machine.server))

        self.at(self.now + self.rng.uniform(*TRANSIT_TIMES), arrive)

    def put_configuration(self, name, newest=False):
        """A configuration on the one that the operator believes to stand, or on an older one."""
        acknowledged = self.rules.acknowledged
        parent = max(acknowledged, default=0)
        if not newest and self.rng.random() < 0.2:
            parent = self.rng.choice([0, *acknowledged])
        self.configurations_put += 1
        number = max(parent, max(acknowledged, default=0)) + self.configurations_put % 3 + 1
        routes = [["r", "h.example", f"/p{self.configurations_put}/", "pure", 2, 0.5, 1, 2, "s"]]
        made = configuration(f"r{number}", routes, [["s", True]])
        made["ParentVersion"] = f"r{parent}" if parent else 0
        self.call(name, PutConfiguration(build_configuration(made).ok_value), caller=OPERATOR)

    def get_configuration(self, name):
        self.call(name, GetConfiguration(), caller=OPERATOR)

    def move_slice(self, name):
        """Somebody has a slice pass to another worker, by agreement."""
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
        self.now += STEP
        due = [item for item in self.scheduled if item[0] <= self.now]
        self.scheduled = [item for item in self.scheduled if item[0] > self.now]
        for _, call, arguments in due:
            call(*arguments)
        for connection in self.connections:
            if connection.is_up:
                connection.deliver_due(self.now)
                self.give_up_if_silent(connection)
        self.connections = [connection for connection in self.connections if connection.is_up]
        for machine in self.machines.values():
            if machine.server is not None and not machine.is_frozen:
                machine.peer_connections.dial_due(self.now)
                machine.loop.run_due()
        for worker in list(self.workers.values()):
            if not worker.has_ended:
                worker.turn(self.now)
        if self.errors:
            raise self.errors[0]
        self.rules.check_step()

    def give_up_if_silent(self, connection):
        """A proxy gives up a connection on which it heard nothing for long."""
        dialler = connection.dialler
        silent_since = max(connection.heard_at, dialler.thawed_at)
        if dialler.is_proxy and not dialler.is_frozen and self.now > silent_since + CONNECTION_TIMEOUT:
            connection.lose()

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()
        return self

    def end(self):
        for machine in self.machines.values():
            if machine.server is not None:
                self.rules.check_end(machine)
                machine.end()
