"""What a restart makes of what is remembered: seeded lives and deaths of a manager, judged by the truth."""

import errno
import random
import select
import signal
import zlib
from dataclasses import replace

import pytest

from bramblewood import events
from bramblewood.ledger import records, rules
from bramblewood.ledger.memory import Memory
from bramblewood.ledger.stage import Ledger
from bramblewood.operator.bylaws import StoreTerms
from bramblewood.policy.manager import Manager
from bramblewood.store import plan
from bramblewood.store.flush import Apart
from bramblewood.store.port import Folder
from bramblewood.store.store import Store

from .policy.simulation import OPERATIONS, SETTINGS, list_entry
from .simulation.simulated_disk import SimulatedDisk

TERMS = StoreTerms("", "in-loop", False, 0.002, 0.25, 86400.0)


class Log:
    def __init__(self):
        self.said = []

    def info(self, what, **more):
        self.said.append((what, more))

    warning = info


class Town:
    """A manager that is killed and started again, discovery and a relay: they hold the truth and judge."""

    def __init__(self, seed, ledger=True, **settings):
        self.dice, self.disk, self.now, self.log = random.Random(seed), SimulatedDisk(), 1000.0, Log()
        self.settings, self.with_ledger = (
            replace(SETTINGS, **{"slices": 6, "lease": 30.0, **settings}),
            ledger,
        )
        self.states = {f"w{k}": list_entry(f"w{k}", zone="ab"[k % 2]) for k in range(5)}
        self.version, self.told, self.out = 41, {}, {}  # out: told closed to the manager, in some life
        self.known = (41, list(self.states.values()))  # as the configuration was written, long ago
        self.tables = {n: {f"w{n % 5}": 1.0} for n in range(6)}
        self.levels = {(n, k): (1.0, 0, 0) for n in range(6) for k in range(3)}  # level, way, life
        self.life, self.manager, self.stage, self.timers, self.marks = 0, None, None, [], []
        self.faults, self.calls, self.heard_version = [], 0, 41
        self.discovery_up, self.wrong, self.past = True, [], 1e9  # past: when earlier tries can't hurt

    def clock(self):
        return self.now

    def start(self):
        self.life += 1
        self.manager, self.timers, self.marks, batch = Manager(self.life, self.settings), [], [], []
        version, entries = self.known
        batch.append(events.WorkersListed(tuple(entries), True, True, version))
        self.heard_version = version
        if self.with_ledger:
            store = Store(self.disk.port(), self.clock, new_id=lambda: self.disk.rng.randbytes(16))
            self.stage = Ledger(TERMS, self.settings, str(self.life), self.clock, self.log, store)
            batch += self.stage.start()
        batch += [events.ProxyJoined(p, "a", 5.0) for p in range(2)]
        for number, table in self.tables.items():
            batch.append(events.SliceAssigned(number, True))
            batch += [events.RouteStored(number, w, x) for w, x in table.items()]
        self.hand(batch)
        self.watch()

    def watch(self):
        """Discovery's word on all that changed since the version last heard."""
        if self.discovery_up and self.manager and self.heard_version < self.version:
            heard, self.heard_version = self.heard_version, self.version
            changed = tuple(e for name, e in self.states.items() if self.told.get(name, 41) > heard)
            for e in changed:
                if e.state != events.READY:
                    self.out[e.worker] = self.version
                else:
                    self.out.pop(e.worker, None)
            self.hand([events.WorkersListed(changed, False, False, self.version)])

    def kill(self, power):
        """The process ends with no warning; with the power, what was not flushed is lost in part."""
        self.manager = self.stage = None
        self.disk = self.disk.after_power_cut(self.dice) if power else self.disk
        self.disk.locked = False

    def hand(self, batch):
        if self.stage:
            batch = self.stage.filter_events(self.now, batch)
        orders = self.manager.handle(self.now, batch)
        if self.stage:
            orders = self.stage.filter_orders(self.now, orders)
        self.carry(orders)

    def carry(self, orders):
        if not self.stage and self.with_ledger:
            return
        for order in orders:
            match order:
                case events.SetTimer(after, token):
                    self.timers.append((self.now + after, token))
                case events.SetRoute(table, worker, weight):
                    if weight and worker in self.out:
                        self.wrong.append(f"life {self.life}: {worker}, told closed, set at {table}")
                    self.tables[table].pop(worker, None)
                    if weight:
                        self.tables[table][worker] = weight
                case events.SetAdmission(table, operations, level, retry):
                    for n in self.tables if table == events.ALL_SLICES else [table]:
                        for k in operations or range(3):
                            self.let_in(n, k, level, retry)
                case events.RequestAcknowledgement(number):
                    self.marks.append((self.now + 0.3, number))
            if self.stage and isinstance(order, events.SetRoute | events.SetAdmission):
                self.stage.order_applied(order)

    def let_in(self, n, k, level, retry):
        old_level, old, life = self.levels[n, k]
        counts = OPERATIONS[k].kind != events.IDEMPOTENT and self.now < self.past
        if counts and retry > 0 and (old_level, old) == (level, retry) and life != self.life:
            self.wrong.append(f"life {self.life}: further try of {k} at {n} ordered again, from life {life}")
        self.levels[n, k] = level, retry, self.life

    def give(self, n):
        """A slice is taken away and given back: its levels are the usual ones again."""
        for k in range(3):
            self.levels[n, k] = 1.0, 0, 0
        if self.manager:
            self.hand(
                [
                    events.SliceAssigned(n, False),
                    events.SliceAssigned(n, True),
                    *(events.RouteStored(n, w, x) for w, x in self.tables[n].items()),
                ]
            )

    def change(self, name, state, started=None):
        self.version += 1
        self.states[name] = list_entry(name, state, self.states[name].zone, started)
        self.told[name] = self.version

    def step(self, seconds=0.25):
        self.now += seconds
        if not self.manager:
            return
        if self.stage:
            batch, orders = self.stage.turn(self.now, 0.1)
            self.carry(orders)
        else:
            batch = []
        batch += [events.TimerFired(token) for at, token in self.timers if at <= self.now]
        batch += [
            events.MessageAcknowledged(p, mark, 0.3)
            for at, mark in self.marks
            if at <= self.now
            for p in range(2)
        ]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        self.marks = [mark for mark in self.marks if mark[0] > self.now]
        if self.dice.random() < 0.25:
            batch += [events.SliceHeatReported(n, "look", 1 + n, 0, 1.0) for n in self.tables]
            batch += [
                events.WorkerReported(
                    name, "a", 6, 0, 0.2, 1.0, {"utilization": 0.3 + self.dice.random() / 2}
                )
                for name, e in self.states.items()
                if e.state == events.READY
            ]
        self.hand(batch)

    def check(self):
        assert not self.wrong, self.wrong
        if any(e.state == events.READY for e in self.states.values()):
            assert all(self.tables.values()), "a table without a line"


@pytest.fixture(autouse=True)
def small(monkeypatch):
    monkeypatch.setattr(plan, "SEAL_BYTES", 6000)
    monkeypatch.setattr(plan, "LOG_BYTES", 3000)


def lives(seed, ledger=True, steps=240, power=0.5, **settings):
    """A seeded day of drains, returns, slices given anew, kills at any step, discovery often away."""
    town = Town(seed, ledger, **settings)
    dice = town.dice
    town.start()
    for _ in range(steps):
        what, ready = dice.random(), [n for n, e in town.states.items() if e.state == events.READY]
        if what < 0.06 and len(ready) > 2:
            town.change(dice.choice(ready), dice.choice([events.DRAINING, events.DEREGISTERED]))
        elif what < 0.10:
            closed = [n for n, e in town.states.items() if e.state != events.READY]
            if closed:
                town.change(dice.choice(closed), events.READY, town.now if dice.random() < 0.6 else None)
        elif what < 0.13:
            town.give(dice.randrange(6))
        elif what < 0.18 and town.manager:
            town.kill(dice.random() < power)
            town.discovery_up = dice.random() < 0.4
        elif what < 0.22:
            town.discovery_up = not town.discovery_up
        elif not town.manager and what < 0.5:
            town.start()
        town.watch()
        town.step()
        if ledger:
            town.check()
    return town


@pytest.mark.parametrize("seed", range(40))
def test_no_closed_worker_is_used_again_and_no_further_try_repeated_over_many_lives(seed):
    town = lives(seed)
    assert town.life > 2


def test_without_the_ledger_the_same_days_go_wrong():
    """Guards the judge: it must see what the ledger is there to prevent."""
    wrong = [what for seed in range(12) for what in lives(seed, ledger=False).wrong]
    assert any("told closed" in what for what in wrong) and any("ordered again" in what for what in wrong)


def memory(now=1000.0, pairs=(), damaged=(), **settings):
    found = Memory(replace(SETTINGS, **settings), 86400.0)
    assert not found.load(pairs)
    return found, found.begin(now, list(damaged))


def lasting(found):
    """What a store would hold after this, as the next life reads it."""
    return {key: value for key, value, _ in found.changes() if value is not None}


def listed(version, *entries, complete=False, cached=False):
    return events.WorkersListed(tuple(entries), complete, cached, version)


def states(found, now, event):
    return {e.worker: e.state for e in found.hear(now, [event])[0].workers}


def drained(**more):
    """A life that was told that a drains, and what it left behind."""
    first, _ = memory()
    first.hear(
        1000.0,
        [
            listed(41, list_entry("a"), list_entry("b"), list_entry("c"), complete=True),
            listed(45, list_entry("a", events.DRAINING, started=500.0)),
        ],
    )
    first.alive(1001.0)
    return lasting(first)


def test_whom_a_new_life_believes():
    """The configuration's list is old; only a later version, a later start, or insisting opens one again."""
    old = listed(41, list_entry("a", started=500.0), list_entry("b"), complete=True, cached=True)
    second, _ = memory(1010.0, drained().items())
    assert states(second, 1010.0, old) == {"a": events.DRAINING, "b": events.READY}
    assert states(second, 1011.0, listed(45, list_entry("a", started=500.0))) == {"a": events.DRAINING}
    assert second.insisting(1011.0 + rules.INSISTING - 1) is None
    assert [e.worker for e in second.insisting(1011.0 + rules.INSISTING).workers] == ["a"]
    for event in (
        listed(46, list_entry("a", started=500.0)),
        listed(3, list_entry("a", started=501.0)),
        listed(41, list_entry("a", started=900.0), cached=True),
    ):  # also an id that is used again
        third, _ = memory(1010.0, drained().items())
        third.hear(1010.0, [old])
        assert states(third, 1011.0, event) == {"a": events.READY}
    hours, _ = memory(1010.0 + 5 * 3600, drained().items())
    assert states(hours, 19010.0, old)["a"] == events.DRAINING  # a disk that returns after hours


def test_nobody_is_left_without_a_worker_for_what_is_remembered():
    second, _ = memory(1010.0, drained().items())
    assert states(second, 1010.0, listed(41, list_entry("a", started=500.0), cached=True)) == {
        "a": events.READY
    }
    second, _ = memory(1010.0, drained().items())
    second.hear(1010.0, [listed(41, list_entry("a", started=500.0), list_entry("b"), cached=True)])
    found = states(second, 1011.0, listed(47, list_entry("b", events.DEREGISTERED)))
    assert found == {"b": events.DEREGISTERED, "a": events.READY}


def test_a_clock_set_back_shortens_nothing_and_lengthens_nothing():
    first, _ = memory()
    first.weigh(1000.0, [events.WorkerEjected("a", 1006.0, 1), events.ExcludeWorker("b", True)])
    first.alive(1002.0)
    pairs = lasting(first).items()
    second, batch = memory(400.0, pairs)
    doubt = next(event for event in batch if isinstance(event, events.EjectionRestored))
    assert doubt.until - 400.0 <= rules.LONGEST_DOUBT and events.ExclusionRestored("b") in batch
    assert any("set back" in note for note in second.notes)
    assert not [event for event in memory(1007.0, pairs)[1] if isinstance(event, events.EjectionRestored)]


def test_the_module_keeps_a_doubt_and_lets_back_one_withdrawn_by_an_earlier_life():
    manager = Manager(1, SETTINGS)
    manager.handle(
        1000.0,
        [
            listed(41, list_entry("a"), list_entry("b"), complete=True),
            events.EjectionRestored("a", 1005.0, 2),
            events.ExclusionRestored("b"),
            events.ProxyJoined(0, "a", 1.0),
            events.SliceAssigned(0, True),
            events.RouteStored(0, "b", 1.0),
        ],
    )
    assert [w.name for w in manager.usable_workers()] == ["b"]
    orders = []
    for k in range(40):
        orders += manager.handle(1000.0 + k / 4, [events.TimerFired("turn")])
    assert events.ExcludeWorker("b", False) in orders and len(manager.usable_workers()) == 2


def test_marks_of_an_earlier_life_mean_nothing_to_a_new_one():
    first, _ = memory()
    numbers = [
        first.weigh(1000.0 + k, [events.RequestAcknowledgement(k)]).free[0].number for k in range(1, 2000)
    ]
    second, _ = memory(3010.0, lasting(first).items())
    fresh = [second.weigh(3010.0, [events.RequestAcknowledgement(k)]).free[0].number for k in range(1, 50)]
    assert not set(fresh) & set(numbers)
    answers = [events.MessageAcknowledged(0, numbers[-1], 0.1), events.MessageAcknowledged(0, fresh[3], 0.1)]
    assert second.hear(3011.0, answers) == [events.MessageAcknowledged(0, 4, 0.1)]


def test_after_damage_tries_with_effects_wait_and_unproved_workers_are_spared():
    found, _ = memory(1000.0, drained().items(), ["a file at 3: gone"])
    found.hear(
        1000.0,
        [
            listed(41, list_entry("b"), list_entry("c"), complete=True, cached=True),
            events.SliceAssigned(0, True),
            events.RouteStored(0, "b", 1.0),
        ],
    )
    every = events.SetAdmission(events.ALL_SLICES, (), 1.0, events.RETRY_UNSTARTED)
    outcome = found.weigh(1000.0, [every])
    kinds = {
        OPERATIONS[k].kind
        for o in outcome.free + outcome.strict
        if isinstance(o, events.SetAdmission)
        for k in o.operations
    }
    assert kinds == {events.IDEMPOTENT}
    assert found.weigh(1000.0, [events.SetRoute(0, "c", 1.0), events.SetRoute(0, "b", 0)]).free == []
    assert found.weigh(1000.0, [events.SetRoute(1, "c", 1.0)]).free  # an empty table: somebody has to serve
    found.spoke, found.proved = True, {"b"}
    assert found.weigh(1001.0, [events.SetRoute(0, "c", 1.0), events.SetRoute(0, "b", 0)]).free == []
    found.hear(1001.5, [listed(50, list_entry("c"))])
    assert found.due(1001.5) == [events.SetRoute(0, "c", 1.0), events.SetRoute(0, "b", 0)]
    later = [order for order in found.due(1000.0 + found.timeout) if isinstance(order, events.SetAdmission)]
    assert later == [
        events.SetAdmission(events.ALL_SLICES, (k,), 1.0, events.RETRY_UNSTARTED) for k in (1, 2)
    ]
    assert found.weigh(1000.0 + found.timeout, later).strict == later
    again, _ = memory(1002.0, lasting(found).items())  # a second start goes on being careful
    assert again.life.careful_until > 1005.0


def test_a_disc_that_takes_nothing_holds_back_only_what_needs_its_promise():
    """Guards the order of things: tables go, further tries wait, a later order makes a waiting one void."""
    now, disk, log = [1000.0], SimulatedDisk(), Log()
    stage = Ledger(TERMS, SETTINGS, "1", lambda: now[0], log, Store(disk.port(), lambda: now[0]))
    stage.start()
    disk.errors["flush"] = lambda: errno.EIO
    tries, line = events.SetAdmission(3, (1,), 1.0, events.RETRY_UNSTARTED), events.SetRoute(3, "a", 1.0)
    assert stage.filter_orders(now[0], [line, tries, events.RequestAcknowledgement(1)]) == []
    went = []
    for _ in range(8):
        now[0] += 0.1
        went += stage.turn(now[0], 0.0)[1]
    assert [type(order) for order in went] == [events.SetRoute, events.RequestAcknowledgement]
    went += stage.filter_orders(now[0], [tries])  # asked for again: still not promised, so still not sent
    now[0] += 0.3
    went += stage.turn(now[0], 0.0)[1]
    assert tries not in went
    none = events.SetAdmission(3, (1,), 0.5, events.NO_RETRY)
    went += stage.filter_orders(now[0], [none])
    del disk.errors["flush"]
    for _ in range(200):
        now[0] += 0.5
        went += stage.turn(now[0], 0.0)[1]
    assert none in went and tries not in went  # the older one must not come out behind it
    assert stage.filter_orders(now[0], [tries]) + stage.turn(now[0], 0.0)[1] == [tries]
    said = [what for what, _ in log.said]
    assert said.count("store can't write") == 1 and said.count("store writes again") == 1


def test_an_order_in_doubt_over_a_restart_goes_out_at_most_once():
    first, _ = memory()
    tries = events.SetAdmission(3, (1,), 1.0, events.RETRY_UNSTARTED)
    first.hear(1000.0, [events.SliceAssigned(3, True)])
    assert first.weigh(1000.0, [tries]).strict == [tries]
    first.alive(1000.5)
    second, _ = memory(1001.0, lasting(first).items())
    second.hear(1001.0, [events.SliceAssigned(3, True)])
    for order in (tries, tries._replace(operations=()), events.SetAdmission(3, (1, 2), 1.0, 1)):
        outcome = second.weigh(1001.0, [order])
        assert all(1 not in o.operations for o in outcome.free + outcome.strict)
    second.hear(1002.0, [events.SliceAssigned(3, False), events.SliceAssigned(3, True)])
    assert second.weigh(1002.0, [tries]).strict == [tries]  # given anew: the store has forgotten it too


@pytest.mark.parametrize("seed", range(20))
def test_records_that_cannot_be_read_are_told_and_the_rest_is_used(seed):
    dice, pairs = random.Random(seed), drained()
    key = dice.choice(sorted(pairs))
    value = bytearray(pairs[key])
    value[dice.randrange(len(value))] ^= 1 << dice.randrange(8)
    found = Memory(SETTINGS, 1.0)
    odd = found.load({**pairs, key: bytes(value)}.items())
    assert len(odd) <= 1
    newer = records.ENCODER.encode((records.VERSION + 1, "?"))
    assert "later version" in found.load([(key, newer)])[0]


def test_a_crash_of_the_module_within_a_life_is_told_what_is_remembered():
    found, _ = memory(1000.0, drained().items())
    found.weigh(1000.0, [events.ExcludeWorker("b", True)])
    found.forgotten()
    assert found.opening(1001.0) == [events.ExclusionRestored("b")]


def judged_after_damage(town, disk, what):
    """A start on a damaged folder, discovery back after a moment: the town judges, the loss must be said.

    Once the longest integration timeout has passed nothing of an earlier life can still take effect.
    """
    from copy import deepcopy

    later = deepcopy(town, {id(town.disk): disk, id(town.log): Log()})
    later.known, later.version, later.discovery_up = (41, town.known[1]), town.version, False
    later.log, later.past = Log(), later.now + max(o.integration_timeout for o in OPERATIONS)
    later.start()
    lost = any(not damage.kept for damage in later.stage.store.damages)
    for k in range(30):
        later.discovery_up = k > 6
        later.watch()
        later.step()
        later.check()
    said = [more for event, more in later.log.said if event == "store damaged" and more["lost"]]
    assert bool(said) == lost, what
    return lost


def damage_days(step, seed=7, first=None):
    """Every file of a folder that has seen drains, further tries, a seal and a merge, cut and changed."""
    town = lives(seed, steps=160, power=0.0)
    if not town.manager:
        town.start()
    for _ in range(3):
        town.change(
            next(n for n, e in town.states.items() if e.state == events.READY), events.DRAINING
        ) if sum(e.state == events.READY for e in town.states.values()) > 2 else None
        town.discovery_up = True
        town.watch()
        town.step(1.0)
    for _ in town.stage.store.compact():
        pass
    town.step(1.0)
    town.kill(False)
    lost = cases = 0
    for name in town.disk.file_names():
        size = len(town.disk.names[name].contents)
        for at in range(zlib.crc32(name.encode()) % step if first is None else first, size, step):
            for kind in ("cut", "changed"):
                disk = town.disk.copy()
                data = disk.names[name].contents
                if kind == "cut":
                    del data[at:]
                else:
                    data[at] ^= 1 << at % 8
                disk.names[name].durable = bytes(data)
                lost += judged_after_damage(town, disk, (name, kind, at))
                cases += 1
    return cases, lost, len(town.disk.names)


def test_a_manager_on_a_damaged_folder_uses_no_drained_worker_and_repeats_no_try():
    """A sample of the bytes; `python -m tests.damage` does all of them."""
    cases, lost, files = damage_days(step=97)
    assert cases > 60 and 0 < lost < cases and files >= 4


def test_a_flush_that_does_not_return_stalls_no_turn(tmp_path):
    """The flushing process stands still: turns go on, tables go after `hold`, tries once it is back."""
    now, folder = [1000.0], Folder(str(tmp_path / "store"))
    flusher = Apart(folder)
    stage = Ledger(TERMS, SETTINGS, "1", lambda: now[0], Log(), Store(folder, lambda: now[0], flusher))
    stage.start()
    while stage.store.promised < stage.store.number:
        select.select([stage.wake_descriptor()], [], [], 5.0)
        stage.turn(now[0], 0.0)
    flusher.process.send_signal(signal.SIGSTOP)
    line, tries = events.SetRoute(3, "a", 1.0), events.SetAdmission(3, (1,), 1.0, events.RETRY_UNSTARTED)
    went = stage.filter_orders(now[0], [line, tries])
    for _ in range(10):
        now[0] += 0.1
        went += stage.turn(now[0], 0.0)[1]
    assert went == [line]
    flusher.process.send_signal(signal.SIGCONT)
    for _ in range(20):
        select.select([stage.wake_descriptor()], [], [], 1.0)
        went += stage.turn(now[0], 0.0)[1]
        if len(went) > 1:
            break
    assert went == [line, tries]
    flusher.process.send_signal(signal.SIGSTOP)
    stage.close()  # guards against a stop that waits for a disk that hangs
    flusher.process.send_signal(signal.SIGCONT)
    assert flusher.process.wait(5) == 0


def test_what_is_remembered_stays_bounded_over_a_day_of_new_ids(monkeypatch):
    monkeypatch.setattr(rules, "MOST_CLOSED", 50)
    found, _ = memory()
    for k in range(400):
        now = 1000.0 + 10 * k
        found.hear(now, [listed(42 + k, list_entry(f"w{k}", events.DRAINING))])
        found.weigh(
            now,
            [
                events.WorkerEjected(f"w{k}", now + 6, 1),
                events.ExcludeWorker(f"w{k}", True),
                events.RequestAcknowledgement(k),
            ],
        )
        found.keep = 300.0
        found.alive(now)
    assert max(map(len, (found.closed, found.doubts, found.withdrawn))) <= 51
    assert len(lasting(found)) < 120
