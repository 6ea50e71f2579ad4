"""A withdrawal in one process, from a seed: archives that step it, desks that follow tables late, are cut
off and start anew, requests under way, keys that pass on. The judge looks at every step whether a worker
that is out gets work, or has work under way, that its bound does not cover.
"""

import random

from bramblewood.common.slice_table import OUT_OF_SERVICE, PREVIOUS_OWNER, WORKER
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.drain_plans import (
    drain_steps_of,
    end_plan,
    start_plan,
    worker_drains_of,
    workers_in_use,
)
from bramblewood.controller.drain_progress import DrainProgress, ServiceCapacity

STEP = 0.1  # s
PEER_TIMEOUT = 7.4  # s: the longest hold behind a silent desk
WORKERS = tuple(f"w{i}" for i in range(6))


class OutOfServiceTooSoon(AssertionError):
    """A worker is out, and a desk that is there still has or starts work on it."""


class Proxy:
    def __init__(self, n):
        self.n, self.steps, self.under_way = n, {}, []  # under way: (worker, until, begun)
        self.cut_until = self.excused = 0.0


class Play:
    def __init__(self, seed, careless=""):
        """careless: "word", closed without the desks' word; "work", out with work under way."""
        self.dice, self.careless, self.now = random.Random(seed), careless, 100.0
        entries = {str(i * 4096): [WORKERS[i % 6], "", 0.0, 1, "", ""] for i in range(12)}
        self.tables = [{"n": 1, "s": {"s": entries}}]
        self.controllers = {name: DrainProgress(PEER_TIMEOUT) for name in "ab"}
        self.proxies = {f"d{i}": Proxy(1) for i in range(3)}
        self.registry, self.begun, self.outs, self.plans = WorkerRegistry(), 0, 0, 0
        self.late = []  # proposals of archives that are slow or were frozen: (when, change)
        for name in WORKERS:
            self.registry.merge(100.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))

    @property
    def value(self):
        return self.tables[-1]

    def change(self, made):
        if made[0] is not None:
            self.tables.append(made[0])

    def proxy(self, name, proxy):
        dice = self.dice
        if dice.random() < 0.004:  # killed: what it had under way is broken off, it starts with the newest
            proxy.under_way, proxy.n = [], self.value["n"]
            proxy.steps = drain_steps_of(self.value)
        if dice.random() < 0.008 and self.now >= proxy.cut_until:
            proxy.cut_until = self.now + 12 * dice.random()
            if proxy.cut_until > self.now + PEER_TIMEOUT:
                proxy.excused = float(
                    "inf"
                )  # what it begins before it hears of the table may outlast the bound
        proxy.under_way = [one for one in proxy.under_way if one[1] > self.now]
        if self.now >= proxy.cut_until:
            if dice.random() < 0.5:
                table = self.tables[max(len(self.tables) - 1 - dice.randrange(2), 0)]
                if table["n"] >= proxy.n:
                    proxy.n, proxy.steps = table["n"], drain_steps_of(table)
                    proxy.excused = min(proxy.excused, self.now)
            left = {}
            for instance_id, _, begun in proxy.under_way:
                left.setdefault(instance_id, [0, 0, self.now - begun])[1] += 1
            for controller in self.controllers.values():
                if dice.random() < 0.8:
                    controller.record_report(name, proxy.n, left)
        able = [w for w in WORKERS if proxy.steps.get(w, "told") == "told" and self.ready(w)]
        if able and dice.random() < 0.6:
            instance_id = dice.choice(able)
            proxy.under_way.append((instance_id, self.now + 3 * dice.random(), self.now))
            self.begun += 1

    def ready(self, instance_id):
        return self.registry.rows[instance_id].phase == "ready"

    def controller(self, name):
        machine = self.controllers[name]
        if self.dice.random() < 0.002:
            self.controllers[name] = machine = DrainProgress(
                PEER_TIMEOUT
            )  # restarted: it knows nothing of the desks
        there = {proxy for proxy, one in self.proxies.items() if self.now >= one.cut_until}
        rooms = {"s": ServiceCapacity(3.0, {w: 2.0 for w in WORKERS if self.ready(w)})}
        view = self.tables[max(len(self.tables) - 1 - self.dice.randrange(2), 0)]
        machine.record_connected_proxies(self.now, there)
        if self.careless == "word":
            machine.unconfirmed_proxies = lambda *_: []
        if self.careless == "work":
            machine.work_in_flight = lambda *_: {}
        if change := machine.next_change(self.now, view, self.registry, rooms):
            if self.dice.random() < 0.1:
                self.late.append((self.now + 10 * self.dice.random(), change))
            else:
                self.change(change(self.value))

    def keys(self):
        """The planner moves what a closing worker holds, and the old holder lets go a while later."""
        entries = dict(self.value["s"]["s"])
        for start, entry in entries.items():
            if entry[PREVIOUS_OWNER] and self.dice.random() < 0.2:
                entries[start] = [*entry[:PREVIOUS_OWNER], ""]
            elif drain_steps_of(self.value).get(entry[WORKER], "told") != "told" and self.dice.random() < 0.3:
                target = self.dice.choice([w for w in WORKERS if w not in worker_drains_of(self.value)])
                entries[start] = [target, "", 0.0, 1, "", entry[WORKER]]
        if entries != self.value["s"]["s"]:
            self.tables.append({**self.value, "n": self.value["n"] + 1, "s": {"s": entries}})

    def operator(self):
        able = workers_in_use(self.registry, "s", worker_drains_of(self.value))
        if self.dice.random() < 0.01 and len(able) > 3:
            self.plans += 1
            instance_ids, wave = able[: self.dice.randrange(1, 4)], self.dice.randrange(1, 3)
            self.change(
                start_plan(
                    self.value, f"p{self.plans}", "s", instance_ids, wave, len(able) - len(instance_ids)
                )
            )
        elif self.dice.random() < 0.01 and self.plans:
            self.change(end_plan(self.value, f"p{self.plans}", self.dice.choice(["stopped", "back"])))
        elif self.dice.random() < 0.02 and self.plans:
            self.change(end_plan(self.value, f"p{self.dice.randrange(1, self.plans + 1)}", "back"))

    def judge(self):
        out = {
            instance_id for instance_id, step in drain_steps_of(self.value).items() if step == OUT_OF_SERVICE
        }
        self.outs += len(out)
        for name, proxy in self.proxies.items():
            if self.now < proxy.cut_until:
                continue  # not there: its word is not asked, its bound was waited for
            for instance_id, _, begun in proxy.under_way:
                if instance_id in out and begun >= proxy.excused:
                    raise OutOfServiceTooSoon(
                        f"{name} has work at {instance_id}, begun at {begun:.1f}, now {self.now:.1f}"
                    )

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self.operator()
            for name in self.controllers:
                self.controller(name)
            for _, change in [one for one in self.late if one[0] <= self.now]:
                self.change(change(self.value))
            self.late = [one for one in self.late if one[0] > self.now]
            self.keys()
            for name, proxy in self.proxies.items():
                self.proxy(name, proxy)
            self.judge()
        return self
