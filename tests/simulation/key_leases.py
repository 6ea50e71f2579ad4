"""Two archives that move and renew keys, workers that keep what they were granted, cuts and lost calls, from
a seed.

Either archive may act at any time; one that is cut off from the majority sees an old table until its word
runs out. Calls take as long as they may; their answers are lost, come late, or twice: the second then lies on
the connection, where the next call finds it. Workers are busy with what they began before they answer a
release, and start anew at their address. The judge looks at every step whether two workers hold the same
keys and both may begin work on them.
"""

import random

from bramblewood.common.slice_table import FENCING_TOKEN, KEY_SPACE_SIZE, PREVIOUS_OWNER
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.key_leases import MAX_CALL_TRANSIT, RETRY_DELAY, KeyLeases, ReleasedKeys
from bramblewood.controller.placement import SliceChanges, apply_slice_changes, clear_previous_owner
from bramblewood.controller.sessions import QUORUM_CONTACT_VALIDITY
from tests.simulation.digests import record_event

STEP = 0.05  # s
SLICES = 4
ADDRESSES = ("w1", "w2", "w3")


class Twice(AssertionError):
    """Two workers hold the same keys."""


class Worker:
    """Holds as the protocol says, on a clock that is 2% slow."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id, self.fences, self.until = instance_id, [0] * SLICES, [0.0] * SLICES
        self.reachable = {"a": True, "b": True}  # by archive

    def grant(self, now: float, places: list[int], fencing_token: int, hold: float) -> int:
        if any(self.fences[place] > fencing_token for place in places):
            return 409
        for place in places:
            self.fences[place], self.until[place] = fencing_token, now + hold * 1.02
        return 200

    def release(self, now: float, places: list[int], fencing_token: int) -> int:
        for place in places:
            self.fences[place], self.until[place] = max(fencing_token, self.fences[place]), now
        return 200


class Play:
    def __init__(self, seed: int, careless: str = "") -> None:
        """careless: "word", grants leave without one; "wait", nobody waits for the word of others to run out;
        "answer", the next answer on a connection counts as a call's own; "older", a release that is answered
        late frees whatever old holder stands there now.
        """
        self.dice, self.careless, self.now = random.Random(seed), careless, 100.0
        self.tables: list[dict] = [
            {
                "n": 1,
                "s": {
                    "s": {
                        str(i * KEY_SPACE_SIZE // SLICES): ["w1", "", 0.0, 1, "", ""] for i in range(SLICES)
                    }
                },
            }
        ]
        self.workers = {address: Worker(address) for address in ADDRESSES}
        self.controllers = {name: KeyLeases(10.0) for name in "ab"}
        for holds in self.controllers.values():
            holds.lease_duration *= 0.5 - 1 / 6.12 if careless == "wait" else 1.0
        self.view = dict.fromkeys(self.controllers, 0)
        self.heard = dict.fromkeys(self.controllers, self.now)
        self.cut = dict.fromkeys(self.controllers, False)
        self.registry = WorkerRegistry()
        for address in ADDRESSES:
            self.registry.record(
                self.now, address, WorkerRegistration("s", f"{address}:1", "z", 2, "ready", 1)
            )
        self.ways: list[tuple] = []  # (when, what, ...): calls and answers under way
        self.lies: dict[tuple[str, str], int] = {}  # by archive and address: a surplus answer's status
        self.moves = self.grants = self.restarts = self.late = self.surplus = 0

    def change(self, made: tuple) -> None:
        if made[0] is not None:
            record_event("table", self.now, made[0])
            self.tables.append(made[0])

    def step(self) -> None:
        self.now += STEP
        dice = self.dice
        for name in self.controllers:
            if dice.random() < 0.006:
                self.cut[name] = not self.cut[name]
            if not self.cut[name] and dice.random() < 0.5:
                self.view[name], self.heard[name] = len(self.tables) - 1, self.now
            if dice.random() < 0.01:
                self.controllers[name].calls_in_flight.clear()  # it is scribe again
        for address, worker in self.workers.items():
            for name in self.controllers:
                if dice.random() < 0.006:
                    worker.reachable[name] = not worker.reachable[name]
            if dice.random() < 0.0005:
                self.restart(address)
        if dice.random() < 0.08 and not all(self.cut.values()):
            start = dice.randrange(SLICES) * KEY_SPACE_SIZE // SLICES
            worker = dice.choice([worker.instance_id for worker in self.workers.values()])
            self.change(
                apply_slice_changes(
                    self.tables[-1], {"s": SliceChanges({start: (worker, "", 0.0)}, [], SLICES)}, {"s"}
                )
            )
            self.moves += 1
        for name, holds in self.controllers.items():
            self.act(name, holds)
        for item in [item for item in self.ways if item[0] <= self.now]:
            self.ways.remove(item)
            item[1](*item[2:])
        self.judge()

    def happens(self, part: float) -> bool:
        return self.dice.random() < part

    def restart(self, address: str) -> None:
        """A new life at the same address; calls find it before the archives hear of it."""
        self.restarts += 1
        worker = self.workers[address] = Worker(f"{address}.{self.restarts}")
        row = WorkerRegistration("s", f"{address}:1", "z", 2, "ready", 1)
        self.later(2.0, lambda: self.registry.record(self.now, worker.instance_id, row))

    def later(self, most: float, what, *told) -> None:
        part = self.dice.choice((0.0, self.dice.random(), 1.0))  # the ends are where faults show
        self.ways.append((self.now + part * (most - STEP), what, *told))

    def act(self, name: str, holds: KeyLeases) -> None:
        calls, free = holds.next_calls(self.now, self.tables[self.view[name]], {"s"}, self.registry)
        until = self.heard[name] + QUORUM_CONTACT_VALIDITY
        for call in calls:
            if call.kind == "grant" and self.now >= until and self.careless != "word":
                holds.call_finished(self.now, call, self.now, 0, "", False)
                continue
            hold = 6.0 if self.careless == "wait" else call.duration
            lies = self.lies.pop((name, call.address), None)
            if lies is not None:  # it names another call's id: to the shell that is no answer
                self.surplus += 1
                self.told(name, call, self.now, lies if self.careless == "answer" else 0)
            self.later(
                MAX_CALL_TRANSIT, self.arrive, name, call._replace(duration=hold), self.now, lies is not None
            )
        for one in free if not self.cut[name] else ():
            self.free(one)

    def arrive(self, name: str, call, sent: float, read: bool) -> None:
        worker, status = self.workers[call.address.partition(":")[0]], 0
        places = [start * SLICES // KEY_SPACE_SIZE for start in call.starts]
        if worker.reachable[name] and worker.instance_id != call.instance_id:
            status = 421
        elif worker.reachable[name] and call.kind == "grant":
            status = worker.grant(self.now, places, call.fencing_token, call.duration)
            self.grants += status == 200
        elif worker.reachable[name]:
            status = worker.release(self.now, places, call.fencing_token)
        if status and self.happens(0.1):
            self.lies[name, call.address] = status  # it answers twice
        if self.happens(0.1):
            status = 0  # it arrived, and its answer is lost
        asked = (call.kind, call.address, call.instance_id, places, call.fencing_token, call.duration)
        record_event("call", self.now, name, asked, status)
        if read:
            return
        busy = call.kind == "release" and self.happens(0.2)
        self.late += busy
        self.later(
            self.controllers[name].expiry_wait if busy else 2 * STEP, self.told, name, call, sent, status
        )

    def told(self, name: str, call, sent: float, status: int) -> None:
        one = self.controllers[name].call_finished(self.now, call, sent, status, "h", False)
        if one is not None and not self.cut[name]:
            if self.careless == "older":
                entry = self.tables[-1]["s"]["s"][str(one.starts[0])]
                one = one._replace(fencing_token=entry[FENCING_TOKEN], previous_owner=entry[PREVIOUS_OWNER])
            self.free(one)

    def free(self, one: ReleasedKeys) -> None:
        record_event(
            "freed",
            self.now,
            one.service,
            one.starts,
            one.fencing_token,
            one.previous_owner,
            one.handover,
        )
        self.change(
            clear_previous_owner(
                self.tables[-1], one.service, one.starts, one.fencing_token, one.previous_owner, one.handover
            )
        )

    def judge(self) -> None:
        for place in range(SLICES):
            holders = [name for name, worker in self.workers.items() if worker.until[place] > self.now]
            if len(holders) > 1:
                raise Twice(f"slice {place} is held by {' and '.join(holders)}")

    def run(self, seconds: float) -> "Play":
        for _ in range(int(seconds / STEP)):
            self.step()
        return self


STEPS = {"call": ("arrive", "lose"), "answer": ("told", "twice", "lose")}
HANDED_ON = [("act", "b"), ("arrive", 1), ("told", 1), ("act", "b"), ("arrive", 1), ("told", 1)]
# w1 has released, its answer is late; meanwhile the slice went to w2, back to w1, and is to leave it again
LATE = [("act", "a"), ("arrive", 0), ("told", 0), ("move", ""), ("act", "a"), ("arrive", 0)]
LATE += [*HANDED_ON, ("move", ""), *HANDED_ON, ("move", "")]


class Small(Play):
    """One slice, two workers, each step of a call by itself; what happens next is chosen, not thrown."""

    def __init__(self, careless: str = "", acting: str = "a") -> None:
        super().__init__(0, careless)
        self.acting, self.wire, self.unheard = acting, [], []
        self.tables = [{"n": 1, "s": {"s": {"0": ["w1", "", 0.0, 1, "", ""]}}}]
        del self.workers["w3"]

    def events(self) -> list[tuple]:
        found = [("act", name) for name in self.acting] + [("move", ""), ("again", ""), ("wait", "")]
        for place, (what, *_) in enumerate(self.wire):
            found += [(each, place) for each in STEPS[what]]
        found += [("restart", address) for address in self.workers]
        return found + [("hear", "")] * bool(self.unheard)

    def play(self, event: tuple) -> None:
        what, whom = event
        if what == "act":
            self.view[whom], self.heard[whom] = len(self.tables) - 1, self.now
            self.act(whom, self.controllers[whom])
        elif what == "move":
            other = {"w1": "w2", "w2": "w1"}[self.tables[-1]["s"]["s"]["0"][0].partition(".")[0]]
            line = (self.workers[other].instance_id, "", 0.0)
            self.change(apply_slice_changes(self.tables[-1], {"s": SliceChanges({0: line}, [], 1)}, {"s"}))
        elif what in ("again", "wait"):  # a failed call's pause; the whole wait, in which all ways end
            self.now += RETRY_DELAY if what == "again" else self.controllers["a"].expiry_wait
            for _, name, call, sent, *_ in self.wire if what == "wait" else ():
                self.told(name, call, sent, 0)
            self.wire = [] if what == "wait" else self.wire
        elif what == "restart":
            self.restart(whom)
        elif what == "hear":
            self.unheard.pop(0)()
        elif what == "arrive":
            self.arrive(*self.wire.pop(whom)[1:])
        else:
            _, name, call, sent, *status = self.wire.pop(whom)
            self.told(name, call, sent, 0 if what == "lose" else status[0])
            if what == "twice":
                self.lies[name, call.address] = status[0]
        self.judge()

    def later(self, most: float, what, *told) -> None:
        if what == self.arrive:
            self.wire.append(("call", *told))
        elif what == self.told:
            self.wire.append(("answer", *told))
        else:
            self.unheard.append(what)

    def happens(self, part: float) -> bool:
        return False

    def key(self) -> str:
        entries = self.tables[-1]["s"]["s"]["0"]
        now = self.now
        workers = [
            (w.instance_id, w.fences[0], max(round(w.until[0] - now, 1), 0)) for w in self.workers.values()
        ]
        holds = [
            [
                sorted((k, v[:2], round(v[2] - self.now, 1)) for k, v in h.granted.items()),
                sorted(
                    (k, round(at - self.now, 1)) for k, at in (h.release_wanted_since | h.retry_at).items()
                ),
                sorted(h.calls_in_flight),
            ]
            for h in self.controllers.values()
        ]
        wire = [(what, name, call, rest) for what, name, call, _, *rest in self.wire]
        registry = sorted(self.registry.registrations.items())
        return repr((entries, workers, holds, wire, self.lies, len(self.unheard), registry))


def exhaust(depth: int, careless: str = "", acting: str = "a", begun: tuple = ()) -> int:
    """All orders of so many events after those that have begun; how many states."""
    seen, level = set(), [list(begun)]
    for _ in range(depth):
        after = []
        for format_proposal_number in level:
            for event in reached(format_proposal_number, careless, acting).events():
                key = reached([*format_proposal_number, event], careless, acting).key()
                if key not in seen:
                    seen.add(key)
                    after.append([*format_proposal_number, event])
        level = after
    return len(seen)


def reached(format_proposal_number: list[tuple], careless: str, acting: str) -> Small:
    made = Small(careless, acting)
    for event in format_proposal_number:
        made.play(event)
    return made


def margin(way: float) -> float:
    """s between the end of the last grant that may leave, on a way that long and the slowest clock, and its
    keys' being freed while their old holder answers nobody.
    """
    holds, registry, worker = KeyLeases(10.0), WorkerRegistry(), Worker("w1")
    registry.record(0.0, "w1", WorkerRegistration("s", "w1:1", "z", 2, "ready", 1))
    table = {"n": 2, "s": {"s": {"0": ["w2", "", 0.0, 2, "", "w1"]}}}
    worker.grant(
        QUORUM_CONTACT_VALIDITY + way, [0], 1, holds.lease_duration
    )  # another archive's, on a word from just before the change
    steps = 0
    while not holds.next_calls(steps * STEP, table, {"s"}, registry)[1]:
        steps += 1
    return steps * STEP - worker.until[0]
