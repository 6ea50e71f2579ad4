"""A withdrawal in one process, from a seed: archives that step it, desks that follow tables late, are cut
off and start anew, requests under way, keys that pass on. The judge looks at every step whether a worker
that is out gets work, or has work under way, that its bound does not cover.
"""

import random

from bramblewood.archive.roll import Roll, Row
from bramblewood.archive.withdrawal import (
    OUT,
    Room,
    Withdrawals,
    ended,
    in_use,
    out_of,
    started,
    steps_of,
)
from bramblewood.catalogue.table import OLD, WORKER
from tests.sameness import note

STEP = 0.1  # s
SILENT = 7.4  # s: the longest hold behind a silent desk
WORKERS = tuple(f"w{i}" for i in range(6))


class TooSoon(AssertionError):
    """A worker is out, and a desk that is there still has or starts work on it."""


class Desk:
    def __init__(self, n):
        self.n, self.steps, self.under_way = n, {}, []  # under way: (worker, until, begun)
        self.cut_until = self.excused = 0.0


class Play:
    def __init__(self, seed, careless=""):
        """careless: "word", closed without the desks' word; "work", out with work under way."""
        self.dice, self.careless, self.now = random.Random(seed), careless, 100.0
        entries = {str(i * 4096): [WORKERS[i % 6], "", 0.0, 1, "", ""] for i in range(12)}
        self.tables = [{"n": 1, "s": {"s": entries}}]
        self.archives = {name: Withdrawals(SILENT) for name in "ab"}
        self.desks = {f"d{i}": Desk(1) for i in range(3)}
        self.roll, self.begun, self.outs, self.plans = Roll(), 0, 0, 0
        self.late = []  # proposals of archives that are slow or were frozen: (when, change)
        for name in WORKERS:
            self.roll.merge(100.0, name, Row("s", f"{name}:1", "z", 2, "ready", 1))

    @property
    def value(self):
        return self.tables[-1]

    def change(self, made):
        note("change", self.now, made)
        if made[0] is not None:
            self.tables.append(made[0])

    def desk(self, name, desk):
        dice = self.dice
        if dice.random() < 0.004:  # killed: what it had under way is broken off, it starts with the newest
            desk.under_way, desk.n = [], self.value["n"]
            desk.steps = steps_of(self.value)
        if dice.random() < 0.008 and self.now >= desk.cut_until:
            desk.cut_until = self.now + 12 * dice.random()
            if desk.cut_until > self.now + SILENT:
                desk.excused = float(
                    "inf"
                )  # what it begins before it hears of the table may outlast the bound
        desk.under_way = [one for one in desk.under_way if one[1] > self.now]
        if self.now >= desk.cut_until:
            if dice.random() < 0.5:
                table = self.tables[max(len(self.tables) - 1 - dice.randrange(2), 0)]
                if table["n"] >= desk.n:
                    desk.n, desk.steps = table["n"], steps_of(table)
                    desk.excused = min(desk.excused, self.now)
                    note("steps", self.now, name, desk.n, desk.steps)
            left = {}
            for life, _, begun in desk.under_way:
                left.setdefault(life, [0, 0, self.now - begun])[1] += 1
            for archive in self.archives.values():
                if dice.random() < 0.8:
                    archive.hear(name, desk.n, left)
        able = [w for w in WORKERS if desk.steps.get(w, "told") == "told" and self.ready(w)]
        if able and dice.random() < 0.6:
            life = dice.choice(able)
            desk.under_way.append((life, self.now + 3 * dice.random(), self.now))
            self.begun += 1

    def ready(self, life):
        return self.roll.rows[life].phase == "ready"

    def archive(self, name):
        machine = self.archives[name]
        if self.dice.random() < 0.002:
            self.archives[name] = machine = Withdrawals(SILENT)  # restarted: it knows nothing of the desks
        there = {desk for desk, one in self.desks.items() if self.now >= one.cut_until}
        rooms = {"s": Room(3.0, {w: 2.0 for w in WORKERS if self.ready(w)})}
        view = self.tables[max(len(self.tables) - 1 - self.dice.randrange(2), 0)]
        machine.present(self.now, there)
        if self.careless == "word":
            machine.sending = lambda *_: []
        if self.careless == "work":
            machine.under_way = lambda *_: {}
        if change := machine.step(self.now, view, self.roll, rooms):
            if self.dice.random() < 0.1:
                self.late.append((self.now + 10 * self.dice.random(), change))
            else:
                self.change(change(self.value))

    def keys(self):
        """The planner moves what a closing worker holds, and the old holder lets go a while later."""
        entries = dict(self.value["s"]["s"])
        for start, entry in entries.items():
            if entry[OLD] and self.dice.random() < 0.2:
                entries[start] = [*entry[:OLD], ""]
            elif steps_of(self.value).get(entry[WORKER], "told") != "told" and self.dice.random() < 0.3:
                target = self.dice.choice([w for w in WORKERS if w not in out_of(self.value)])
                entries[start] = [target, "", 0.0, 1, "", entry[WORKER]]
        if entries != self.value["s"]["s"]:
            self.tables.append({**self.value, "n": self.value["n"] + 1, "s": {"s": entries}})

    def operator(self):
        able = in_use(self.roll, "s", out_of(self.value))
        if self.dice.random() < 0.01 and len(able) > 3:
            self.plans += 1
            lives, wave = able[: self.dice.randrange(1, 4)], self.dice.randrange(1, 3)
            self.change(started(self.value, f"p{self.plans}", "s", lives, wave, len(able) - len(lives)))
        elif self.dice.random() < 0.01 and self.plans:
            self.change(ended(self.value, f"p{self.plans}", self.dice.choice(["stopped", "back"])))
        elif self.dice.random() < 0.02 and self.plans:
            self.change(ended(self.value, f"p{self.dice.randrange(1, self.plans + 1)}", "back"))

    def judge(self):
        out = {life for life, step in steps_of(self.value).items() if step == OUT}
        self.outs += len(out)
        for name, desk in self.desks.items():
            if self.now < desk.cut_until:
                continue  # not there: its word is not asked, its bound was waited for
            for life, _, begun in desk.under_way:
                if life in out and begun >= desk.excused:
                    raise TooSoon(f"{name} has work at {life}, begun at {begun:.1f}, now {self.now:.1f}")

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self.operator()
            for name in self.archives:
                self.archive(name)
            for _, change in [one for one in self.late if one[0] <= self.now]:
                self.change(change(self.value))
            self.late = [one for one in self.late if one[0] > self.now]
            self.keys()
            for name, desk in self.desks.items():
                self.desk(name, desk)
            self.judge()
        return self
