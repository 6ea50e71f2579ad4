"""Simulation of drain plans in one process, with faults drawn from a seed.

Controllers continue the plans. Proxies have requests in flight, follow old tables, and are disconnected and
restarted. The keys of draining workers move. After each step, the simulation checks that no connected proxy
has work in flight at a worker that is out of service. If a proxy was disconnected for longer than
DISCONNECT_TIMEOUT, the requests that it started before its next table are exempt.
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
DISCONNECT_TIMEOUT = 7.4  # s for which a disconnected proxy may rely on a key lease
WORKERS = tuple(f"w{i}" for i in range(6))


class OutOfServiceTooSoon(AssertionError):
    """A worker is out of service, and a connected proxy has work in flight there."""


class Request(NamedTuple):
    """A request in flight; times in s."""

    worker: str
    ends_at: float
    started_at: float


class Proxy:
    """A proxy with the drain steps of the table that it follows, and with its requests in flight."""

    def __init__(self, table_version):
        self.table_version, self.drain_steps = table_version, {}
        self.requests: list[Request] = []
        self.disconnected_until = 0.0
        # requests started before this time are exempt from the check, because the proxy was disconnected for
        # longer than DISCONNECT_TIMEOUT
        self.exempt_before = 0.0

    def is_connected(self, now):
        return now >= self.disconnected_until


class DrainPlanSimulation:
    """Two controllers, three proxies, six workers of one service, and an operator."""

    def __init__(self, seed, missing_guard=""):
        """missing_guard: the guard that is removed, or "" for none.

        "confirmation": a step does not wait for the confirmations of the proxies. "work in flight": a worker
        goes out of service without a check of the work in flight there.
        """
        self.rng, self.missing_guard, self.now = random.Random(seed), missing_guard, 100.0
        entries = {str(i * 4096): [WORKERS[i % 6], "", 0.0, 1, "", ""] for i in range(12)}
        self.tables = [{"n": 1, "s": {"s": entries}}]
        self.controllers = {name: self.start_controller() for name in "ab"}
        self.proxies = {f"d{i}": Proxy(1) for i in range(3)}
        self.registry = WorkerRegistry()
        # numbers of requests and plans, and the sum over all steps of the workers that are out of service
        self.request_count = self.out_of_service_count = self.plan_count = 0
        self.late_changes = []  # proposals of controllers that are slow or were frozen: (time, change)
        for name in WORKERS:
            self.registry.record(100.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))

    def start_controller(self):
        """Return the drain progress of a new controller, which has no reports from proxies."""
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
        """Return the newest table or the one before, as a receiver with a delay knows it."""
        return self.tables[max(len(self.tables) - 1 - self.rng.randrange(2), 0)]

    def apply_proposal(self, proposal):
        """Make the proposed value the agreed one, if there is one."""
        record_event("change", self.now, proposal)
        value, _ = proposal
        if value is not None:
            self.tables.append(value)

    def is_ready(self, worker):
        return self.registry.registrations[worker].phase == "ready"

    def run_proxy(self, name, proxy):
        rng = self.rng
        if rng.random() < 0.004:  # the proxy restarts: its requests end, and it has the newest table
            proxy.requests, proxy.table_version = [], self.value["n"]
            proxy.drain_steps = drain_steps_of(self.value)
        if rng.random() < 0.008 and proxy.is_connected(self.now):
            proxy.disconnected_until = self.now + 12 * rng.random()
            if proxy.disconnected_until > self.now + DISCONNECT_TIMEOUT:
                proxy.exempt_before = float("inf")  # until it receives a table again
        proxy.requests = [request for request in proxy.requests if request.ends_at > self.now]
        if proxy.is_connected(self.now):
            self.exchange_messages(name, proxy)
        usable_workers = [
            worker
            for worker in WORKERS
            if proxy.drain_steps.get(worker, DRAIN_ANNOUNCED) == DRAIN_ANNOUNCED and self.is_ready(worker)
        ]
        if usable_workers and rng.random() < 0.6:
            worker = rng.choice(usable_workers)
            proxy.requests.append(Request(worker, self.now + 3 * rng.random(), self.now))
            self.request_count += 1

    def exchange_messages(self, name, proxy):
        """A proxy may receive a table, and the controllers may receive its report."""
        if self.rng.random() < 0.5:
            table = self.recent_table()
            if table["n"] >= proxy.table_version:
                proxy.table_version, proxy.drain_steps = table["n"], drain_steps_of(table)
                proxy.exempt_before = min(proxy.exempt_before, self.now)
                record_event("steps", self.now, name, proxy.table_version, proxy.drain_steps)
        work_in_flight = {}
        for worker, _, started_at in proxy.requests:
            work_in_flight.setdefault(worker, [0, 0, self.now - started_at])[1] += 1
        for progress in self.controllers.values():
            if self.rng.random() < 0.8:
                progress.record_report(name, proxy.table_version, work_in_flight)

    def run_controller(self, name):
        rng = self.rng
        if rng.random() < 0.002:  # the controller restarts
            self.controllers[name] = self.start_controller()
        progress = self.controllers[name]
        connected = {proxy_name for proxy_name, proxy in self.proxies.items() if proxy.is_connected(self.now)}
        capacities = {"s": ServiceCapacity(3.0, {worker: 2.0 for worker in WORKERS if self.is_ready(worker)})}
        known_value = self.recent_table()
        progress.record_connected_proxies(self.now, connected)
        if change := progress.next_change(self.now, known_value, self.registry, capacities):
            if rng.random() < 0.1:
                self.late_changes.append((self.now + 10 * rng.random(), change))
            else:
                self.apply_proposal(change(self.value))

    def apply_late_changes(self):
        for _, change in [item for item in self.late_changes if item[0] <= self.now]:
            self.apply_proposal(change(self.value))
        self.late_changes = [item for item in self.late_changes if item[0] > self.now]

    def move_keys(self):
        """The placement moves the slices of draining workers. The workers release them after some time."""
        entries = dict(self.value["s"]["s"])
        drain_steps = drain_steps_of(self.value)
        for start, entry in entries.items():
            if entry[PREVIOUS_OWNER] and self.rng.random() < 0.2:
                entries[start] = [*entry[:PREVIOUS_OWNER], ""]
            elif (
                drain_steps.get(entry[WORKER], DRAIN_ANNOUNCED) != DRAIN_ANNOUNCED and self.rng.random() < 0.3
            ):
                target = self.rng.choice([worker for worker in WORKERS if worker not in drain_steps])
                entries[start] = [target, "", 0.0, 1, "", entry[WORKER]]
        if entries != self.value["s"]["s"]:
            self.tables.append({**self.value, "n": self.value["n"] + 1, "s": {"s": entries}})

    def run_operator(self):
        rng = self.rng
        in_use = workers_in_use(self.registry, "s", worker_drains_of(self.value))
        if rng.random() < 0.01 and len(in_use) > 3:
            self.plan_count += 1
            instance_ids, wave_size = in_use[: rng.randrange(1, 4)], rng.randrange(1, 3)
            remaining = len(in_use) - len(instance_ids)
            self.apply_proposal(
                start_plan(self.value, f"p{self.plan_count}", "s", instance_ids, wave_size, remaining)
            )
        elif rng.random() < 0.01 and self.plan_count:
            self.apply_proposal(end_plan(self.value, f"p{self.plan_count}", rng.choice([STOPPED, CANCELLED])))
        elif rng.random() < 0.02 and self.plan_count:
            self.apply_proposal(end_plan(self.value, f"p{rng.randrange(1, self.plan_count + 1)}", CANCELLED))

    def check_workers_out_of_service(self):
        """Raise OutOfServiceTooSoon if a connected proxy has work at a worker that is out of service.

        Disconnected proxies are not checked, because the drain waits at most DISCONNECT_TIMEOUT s for them.
        """
        out_of_service = {
            worker for worker, step in drain_steps_of(self.value).items() if step == OUT_OF_SERVICE
        }
        self.out_of_service_count += len(out_of_service)
        for name, proxy in self.proxies.items():
            if not proxy.is_connected(self.now):
                continue
            for worker, _, started_at in proxy.requests:
                if worker in out_of_service and started_at >= proxy.exempt_before:
                    raise OutOfServiceTooSoon(
                        f"{name} has work at {worker}, started at {started_at:.1f}, now {self.now:.1f}"
                    )

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self.run_operator()
            for name in self.controllers:
                self.run_controller(name)
            self.apply_late_changes()
            self.move_keys()
            for name, proxy in self.proxies.items():
                self.run_proxy(name, proxy)
            self.check_workers_out_of_service()
        return self
