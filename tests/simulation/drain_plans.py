"""Drain plans in one process, from a seed: controllers that carry them on, proxies that follow tables late,
are cut off and restarted, requests in flight, keys that move. After each step the play checks that no worker
that is out of service gets work, or has work in flight, which the bound for proxies that are cut off doesn't
cover.
"""

import random
from typing import NamedTuple

from bramblewood.common.slice_table import DRAIN_ANNOUNCED, OUT_OF_SERVICE, PREVIOUS_OWNER, WORKER
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.drain_plans import (
    CANCELLED,
    STOPPED,
    drain_steps_of,
    end_plan,
    start_plan,
    worker_drains_of,
    workers_in_use,
)
from bramblewood.controller.drain_progress import DrainProgress, ServiceCapacity
from tests.simulation.digests import record_event

STEP = 0.1  # s
DISCONNECT_TIMEOUT = 7.4  # s: the longest key lease behind a proxy that is cut off
WORKERS = tuple(f"w{i}" for i in range(6))


class OutOfServiceTooSoon(AssertionError):
    """A worker is out of service, and a connected proxy still has or starts work there."""


class Request(NamedTuple):
    """A request in flight; times in s."""

    worker: str
    until: float
    started: float


class Proxy:
    """A proxy: the table that it follows, and its requests in flight."""

    def __init__(self, table_version):
        self.table_version, self.drain_steps = table_version, {}
        self.requests: list[Request] = []
        self.cut_until = 0.0
        self.excused_until = 0.0  # requests that start before may outlast the bound: cut off for too long

    def is_connected(self, now):
        return now >= self.cut_until


class Play:
    """Two controllers, three proxies, six workers of one service, and an operator."""

    def __init__(self, seed, missing_guard=""):
        """missing_guard: "confirmation", drained without the proxies' confirmation; "work in flight", out of
        service without a look at it.
        """
        self.random, self.missing_guard, self.now = random.Random(seed), missing_guard, 100.0
        entries = {str(i * 4096): [WORKERS[i % 6], "", 0.0, 1, "", ""] for i in range(12)}
        self.tables = [{"n": 1, "s": {"s": entries}}]
        self.controllers = {name: self.start_controller() for name in "ab"}
        self.proxies = {f"d{i}": Proxy(1) for i in range(3)}
        self.registry = WorkerRegistry()
        self.requests = self.out_of_service = self.plans = 0  # requests started, workers seen out, plans
        self.late_changes = []  # proposals of controllers that are slow or were frozen: (when, change)
        for name in WORKERS:
            self.registry.record(100.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))

    def start_controller(self):
        """A controller that knows nothing of the proxies yet."""
        progress = DrainProgress(DISCONNECT_TIMEOUT)
        if self.missing_guard == "confirmation":
            progress.unconfirmed_proxies = lambda *_: []
        if self.missing_guard == "work in flight":
            progress.work_in_flight = lambda *_: {}
        return progress

    @property
    def value(self):
        """The agreed table's value."""
        return self.tables[-1]

    def recent_table(self):
        """The newest table or the one before, as one who hears late knows it."""
        return self.tables[max(len(self.tables) - 1 - self.random.randrange(2), 0)]

    def agree(self, proposal):
        """Take a proposed value, if there is one."""
        record_event("change", self.now, proposal)
        value, _ = proposal
        if value is not None:
            self.tables.append(value)

    def is_ready(self, worker):
        return self.registry.registrations[worker].phase == "ready"

    def run_proxy(self, name, proxy):
        dice = self.random
        if dice.random() < 0.004:  # killed: its requests are broken off, it starts with the newest table
            proxy.requests, proxy.table_version = [], self.value["n"]
            proxy.drain_steps = drain_steps_of(self.value)
        if dice.random() < 0.008 and proxy.is_connected(self.now):
            proxy.cut_until = self.now + 12 * dice.random()
            if proxy.cut_until > self.now + DISCONNECT_TIMEOUT:
                proxy.excused_until = float("inf")  # until it hears of the table again
        proxy.requests = [request for request in proxy.requests if request.until > self.now]
        if proxy.is_connected(self.now):
            self.exchange(name, proxy)
        open_workers = [
            worker
            for worker in WORKERS
            if proxy.drain_steps.get(worker, DRAIN_ANNOUNCED) == DRAIN_ANNOUNCED and self.is_ready(worker)
        ]
        if open_workers and dice.random() < 0.6:
            worker = dice.choice(open_workers)
            proxy.requests.append(Request(worker, self.now + 3 * dice.random(), self.now))
            self.requests += 1

    def exchange(self, name, proxy):
        """The proxy hears of a table, and the controllers hear what it has in flight."""
        if self.random.random() < 0.5:
            table = self.recent_table()
            if table["n"] >= proxy.table_version:
                proxy.table_version, proxy.drain_steps = table["n"], drain_steps_of(table)
                proxy.excused_until = min(proxy.excused_until, self.now)
                record_event("steps", self.now, name, proxy.table_version, proxy.drain_steps)
        work_in_flight = {}
        for worker, _, started in proxy.requests:
            work_in_flight.setdefault(worker, [0, 0, self.now - started])[1] += 1
        for progress in self.controllers.values():
            if self.random.random() < 0.8:
                progress.record_report(name, proxy.table_version, work_in_flight)

    def run_controller(self, name):
        dice = self.random
        if dice.random() < 0.002:  # restarted
            self.controllers[name] = self.start_controller()
        progress = self.controllers[name]
        connected = {proxy for proxy, one in self.proxies.items() if one.is_connected(self.now)}
        capacities = {"s": ServiceCapacity(3.0, {w: 2.0 for w in WORKERS if self.is_ready(w)})}
        known_value = self.recent_table()
        progress.record_connected_proxies(self.now, connected)
        if change := progress.next_change(self.now, known_value, self.registry, capacities):
            if dice.random() < 0.1:
                self.late_changes.append((self.now + 10 * dice.random(), change))
            else:
                self.agree(change(self.value))

    def make_late_changes(self):
        for _, change in [one for one in self.late_changes if one[0] <= self.now]:
            self.agree(change(self.value))
        self.late_changes = [one for one in self.late_changes if one[0] > self.now]

    def move_keys(self):
        """The placement moves what a draining worker owns, and that one releases it a while later."""
        entries = dict(self.value["s"]["s"])
        drain_steps = drain_steps_of(self.value)
        for start, entry in entries.items():
            if entry[PREVIOUS_OWNER] and self.random.random() < 0.2:
                entries[start] = [*entry[:PREVIOUS_OWNER], ""]
            elif (
                drain_steps.get(entry[WORKER], DRAIN_ANNOUNCED) != DRAIN_ANNOUNCED
                and self.random.random() < 0.3
            ):
                target = self.random.choice([w for w in WORKERS if w not in drain_steps])
                entries[start] = [target, "", 0.0, 1, "", entry[WORKER]]
        if entries != self.value["s"]["s"]:
            self.tables.append({**self.value, "n": self.value["n"] + 1, "s": {"s": entries}})

    def run_operator(self):
        dice = self.random
        in_use = workers_in_use(self.registry, "s", worker_drains_of(self.value))
        if dice.random() < 0.01 and len(in_use) > 3:
            self.plans += 1
            instance_ids, wave_size = in_use[: dice.randrange(1, 4)], dice.randrange(1, 3)
            remaining = len(in_use) - len(instance_ids)
            self.agree(start_plan(self.value, f"p{self.plans}", "s", instance_ids, wave_size, remaining))
        elif dice.random() < 0.01 and self.plans:
            self.agree(end_plan(self.value, f"p{self.plans}", dice.choice([STOPPED, CANCELLED])))
        elif dice.random() < 0.02 and self.plans:
            self.agree(end_plan(self.value, f"p{dice.randrange(1, self.plans + 1)}", CANCELLED))

    def check(self):
        """Raises OutOfServiceTooSoon. A proxy that is cut off isn't looked at: its bound was waited for."""
        out = {worker for worker, step in drain_steps_of(self.value).items() if step == OUT_OF_SERVICE}
        self.out_of_service += len(out)
        for name, proxy in self.proxies.items():
            if not proxy.is_connected(self.now):
                continue
            for worker, _, started in proxy.requests:
                if worker in out and started >= proxy.excused_until:
                    raise OutOfServiceTooSoon(
                        f"{name} has work at {worker}, started at {started:.1f}, now {self.now:.1f}"
                    )

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self.run_operator()
            for name in self.controllers:
                self.run_controller(name)
            self.make_late_changes()
            self.move_keys()
            for name, proxy in self.proxies.items():
                self.run_proxy(name, proxy)
            self.check()
        return self
