"""Two archives that move and renew keys, workers that keep what they were granted, cuts and lost calls, from
a seed.

Either archive may act at any time; one that is cut off from the majority sees an old table until its word
runs out. The judge looks at every step whether two workers hold the same keys.
"""

import random

from bramblewood.archive.holds import TRAVEL, Holds
from bramblewood.archive.placement import Changes, apply, freed
from bramblewood.archive.roll import Roll, Row
from bramblewood.archive.sessions import WORD
from bramblewood.catalogue.table import KEYS

STEP = 0.05  # s
SLICES = 4
WORKERS = ("w1", "w2", "w3")


class Twice(AssertionError):
    """Two workers hold the same keys."""


class Worker:
    """Holds as the protocol says, on a clock that is 2% slow."""

    def __init__(self) -> None:
        self.fences = [0] * SLICES
        self.until = [0.0] * SLICES
        self.reachable = True

    def grant(self, now: float, places: list[int], fence: int, hold: float) -> int:
        if any(self.fences[place] > fence for place in places):
            return 409
        for place in places:
            self.fences[place], self.until[place] = fence, now + hold * 1.02
        return 200

    def release(self, now: float, places: list[int], fence: int) -> int:
        for place in places:
            self.fences[place], self.until[place] = max(fence, self.fences[place]), now
        return 200


class Play:
    def __init__(self, seed: int, careless: str = "") -> None:
        """careless: "word", grants leave without one; "wait", nobody waits for the word of others to run out.
        """
        self.dice, self.careless, self.now = random.Random(seed), careless, 100.0
        self.tables: list[dict] = [
            {"n": 1, "s": {"s": {str(i * KEYS // SLICES): ["w1", "", 0.0, 1, "", ""] for i in range(SLICES)}}}
        ]
        self.workers = {name: Worker() for name in WORKERS}
        self.archives = {name: Holds(10.0) for name in "ab"}
        if careless == "wait":
            for holds in self.archives.values():
                holds.hold *= 0.5
        self.view = dict.fromkeys(self.archives, 0)
        self.heard = dict.fromkeys(self.archives, self.now)
        self.cut = dict.fromkeys(self.archives, False)
        self.roll = Roll()
        for name in WORKERS:
            self.roll.merge(self.now, name, Row("s", f"{name}:1", "z", 2, "ready", 1))
        self.calls: list[tuple] = []
        self.moves = self.grants = 0

    def change(self, made: tuple) -> None:
        if made[0] is not None:
            self.tables.append(made[0])

    def step(self) -> None:
        self.now += STEP
        dice = self.dice
        for name in self.archives:
            if dice.random() < 0.006:
                self.cut[name] = not self.cut[name]
            if not self.cut[name] and dice.random() < 0.5:
                self.view[name], self.heard[name] = len(self.tables) - 1, self.now
        for worker in self.workers.values():
            if dice.random() < 0.006:
                worker.reachable = not worker.reachable
        if dice.random() < 0.08 and not all(self.cut.values()):
            start, worker = dice.randrange(SLICES) * KEYS // SLICES, dice.choice(WORKERS)
            self.change(apply(self.tables[-1], {"s": Changes({start: (worker, "", 0.0)}, [], SLICES)}, {"s"}))
            self.moves += 1
        for name, holds in self.archives.items():
            self.act(name, holds)
        for item in [item for item in self.calls if item[0] <= self.now]:
            self.calls.remove(item)
            self.arrive(*item[1:])
        self.judge()

    def act(self, name: str, holds: Holds) -> None:
        calls, free = holds.step(self.now, self.tables[self.view[name]], {"s"}, self.roll)
        until = self.heard[name] + WORD
        for call in calls:
            if call.kind == "grant" and self.now >= until and self.careless != "word":
                holds.answered(self.now, call, self.now, 0, "", False)
                continue
            hold = 6.0 if self.careless == "wait" else call.hold
            self.calls.append(
                (self.now + self.dice.random() * (TRAVEL - STEP), name, call._replace(hold=hold))
            )
        for one in free if not self.cut[name] else ():
            self.change(freed(self.tables[-1], one.service, one.starts, one.fence, one.old, one.handover))

    def arrive(self, name: str, call) -> None:
        worker, holds, status = self.workers[call.life], self.archives[name], 0
        places = [start * SLICES // KEYS for start in call.starts]
        if worker.reachable:
            if call.kind == "grant":
                status = worker.grant(self.now, places, call.fence, call.hold)
                self.grants += status == 200
            else:
                status = worker.release(self.now, places, call.fence)
        if self.dice.random() < 0.1:
            status = 0  # it arrived, and its answer is lost
        one = holds.answered(self.now, call, self.now, status, "h", False)
        if one is not None and not self.cut[name]:
            self.change(freed(self.tables[-1], one.service, one.starts, one.fence, one.old, one.handover))

    def judge(self) -> None:
        for place in range(SLICES):
            holders = [name for name, worker in self.workers.items() if worker.until[place] > self.now]
            if len(holders) > 1:
                raise Twice(f"slice {place} is held by {' and '.join(holders)}")

    def run(self, seconds: float) -> "Play":
        for _ in range(int(seconds / STEP)):
            self.step()
        return self
