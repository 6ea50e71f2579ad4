"""The controller's storage on a disk that loses, keeps and tears what was not synced, and refuses at times.

The power is cut at any file call; a start must find exactly one state that was written.
"""

import errno
import json
import operator
import queue
import random
import threading
import types
from unittest import mock

from benchmarks.controller_storage import moved, table
from bramblewood.common.settings import Bounds, Settings
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.server import Controller
from bramblewood.controller.storage import Storage
from bramblewood.controller.value_diff import PatchedDict, apply_difference, difference
from tests.simulation.simulated_disk import PowerCut, SimulatedDisk
from tests.simulation.sqlite_on_simulated_disk import Apsw, Rows


class StateLost(AssertionError):
    """Something acknowledged is lost, or something that nobody wrote is there."""


PATH = "/d/shelf.db"
ODD_KEYS = ("0", "a", "b", "", 'a",b', "a,", "a-", "[", "\\", "\n", "\u00e9", "\ud800")
REGISTERS = ("config", "table")
UPGRADE_CALLS = 150  # file calls within which a start turns schema version 1 into 2


def storage_on(disk: SimulatedDisk, replacements=(), storage_class=Storage) -> Storage:
    storage = storage_class("/d", lambda path: Apsw(disk, path, replacements))
    storage.path = PATH
    return storage


def changed_value(dice, value, depth=0):
    """Another value: as a rule a map with a key more, less or changed."""
    if not isinstance(value, dict) or depth > 4 or dice.random() < 0.03:
        deeper = {
            key: {"c": {"d": [1, {key: 2}]}, "e": 1} for key in dice.sample(ODD_KEYS, dice.randrange(4))
        }
        return dice.choice([None, True, 1, 1.0, "x" * dice.randrange(9000), [1, {"a": 2}], deeper, deeper])
    key = dice.choice(ODD_KEYS)
    if key in value and dice.random() < 0.3:
        return {name: inner for name, inner in value.items() if name != key}
    return {**value, key: changed_value(dice, value.get(key), depth + 1)}


def proposal_number(number: int) -> tuple:
    return (1, number, "a", 1) if number % 2 else ((1, "d"), number)


class WriteHistory:
    """What may lie on a disk. The first state was acknowledged; each other was begun on it, and was not."""

    def __init__(self, state=None):
        self.states, self.number, self.acknowledged = [state or {"facts": {}, "registers": {}}], 0, 0

    def accept_found(self, state):
        """A start has found this state. Types, proposal numbers and the order of keys count too."""
        if repr(state) not in map(repr, self.states):
            raise StateLost(f"{state!r:.300} is there, none of {len(self.states)}")
        self.states = [state]

    def next_batch(self, dice):
        """A batch of one to three writes, and what lies there once it is done."""
        facts, registers = dict(self.states[0]["facts"]), dict(self.states[0]["registers"])
        batch = []
        for _ in range(dice.randrange(1, 4)):
            self.number += 1
            new_facts, rows = {"seen": self.number, "mark": dice.choice([None, [self.number]])}, []
            for name in dice.sample(REGISTERS, dice.randrange(1, 3)):
                value = changed_value(dice, registers[name][2] if name in registers else {})
                if dice.random() < 0.2:
                    value = json.loads(json.dumps(value))  # shares nothing
                elif name in registers:
                    value = apply_difference(registers[name][2], difference(registers[name][2], value))
                rows.append((name, proposal_number(self.number), proposal_number(self.number - 1), value))
                registers[name] = rows[-1][1:]
            batch.append((rows, new_facts, None))
            facts |= new_facts
        facts = {name: facts[name] for name in sorted(facts) if facts[name] is not None}
        self.states.append({"facts": facts, "registers": dict(sorted(registers.items()))})
        return batch


def process_lifetime(
    disk: SimulatedDisk, history: WriteHistory, dice, writes: int, replacements=(), storage_class=Storage
) -> None:
    """One start and some writes."""
    storage = storage_on(disk, replacements, storage_class)
    found = storage.open()
    if found.is_err():
        if disk.errors:
            return
        raise StateLost(found.err_value)
    facts, registers = (dict(sorted(rows.items())) for rows in found.ok_value[:2])
    history.accept_found({"facts": facts, "registers": registers})
    for _ in range(writes):
        if storage.commit(history.next_batch(dice)) is None:
            history.states = history.states[-1:]
            history.acknowledged += 1


def disk_of_schema_1(dice) -> tuple[SimulatedDisk, WriteHistory]:
    """A disk of schema version 1, as an earlier program left it, and what it amounts to."""
    value = {"n": 3, "config": {"Revision": "r3", "text": "x" * dice.randrange(9000)}, "past": {"3": "f"}}
    registers = {"config": ((7, "b", 2), (3, "a", 1), value), "table": ((1, "c", 5), (0, "", 0), None)}
    disk = SimulatedDisk(dice)
    database = Apsw(disk, PATH)
    for sql in (
        "pragma locking_mode=exclusive",
        "pragma synchronous=extra",
        "pragma journal_mode=wal",
        "create table facts (name text primary key, value text not null)",
        "create table registers (name text primary key, promised text not null, accepted text not null,"
        " value text not null)",
        "pragma user_version=1",
        "insert into facts values ('born', 'true'), ('voters', '[\"a\", \"b\"]')",
    ):
        database.execute(sql)
    for name, row in registers.items():
        database.execute("insert into registers values (?, ?, ?, ?)", (name, *map(json.dumps, row)))
    if dice.random() < 0.5:
        database.close()
    facts = {"born": True, "voters": ["a", "b"]}
    expected = {
        "config": ((1, 7, "b", 2), (1, 3, "a", 1), value),
        "table": ((1, 1, "c", 5), (0, 0, "", 0), None),
    }
    return disk.after_power_cut(dice), WriteHistory({"facts": facts, "registers": expected})


def play(
    seed: int, schema_1: bool = False, lifetimes: int = 4, replacements=(), storage_class=Storage
) -> int:
    """Some process lifetimes on one disk, each ended by a power cut at any file call; how often something was
    acknowledged. schema_1: the disk is of schema version 1, and the first lifetimes end early.
    """
    dice = random.Random(seed)
    disk, history = disk_of_schema_1(dice) if schema_1 else (SimulatedDisk(dice), WriteHistory())
    disk.syncs_own_name = bool(seed % 2)
    for _ in range(lifetimes):
        disk.power_cut_at = dice.randrange(1, UPGRADE_CALLS if schema_1 else 500)
        if dice.random() < 0.3:
            kind_of_call, code = dice.choice(["write", "flush"]), dice.choice([errno.EIO, errno.ENOSPC])
            disk.errors = {kind_of_call: lambda code=code: code if dice.random() < 0.05 else 0}
        try:
            process_lifetime(disk, history, dice, 60, replacements, storage_class)
        except PowerCut:
            pass
        disk = disk.after_power_cut(dice)
    process_lifetime(disk, history, dice, 1, replacements, storage_class)
    return history.acknowledged


class TakesRefusedForStored(Storage):
    """Takes what a refused transaction was to leave for what is stored."""

    def commit(self, batch):
        problem = super().commit(batch)
        self.stored_values |= {name: value for rows, _, _ in batch for name, _, _, value in rows}
        return problem


class UpgradesStepwise(Storage):
    """Upgrades by a transaction for each step."""

    def upgrade(self, database, found):
        bare = types.SimpleNamespace(
            execute=lambda sql, values=(): (
                Rows() if sql in ("begin immediate", "commit") else database.execute(sql, values)
            )
        )
        super().upgrade(bare, found)


class EqualInPython(Storage):
    """Takes what Python calls equal for the same."""

    def write_rows(self, database, registers, facts):
        with mock.patch("bramblewood.controller.value_diff.equal_as_json", operator.eq):
            return super().write_rows(database, registers, facts)


class TrustsAnyDifference(Storage):
    """Takes the difference that a value was made by for the one to what is stored."""

    def write_rows(self, database, registers, facts):
        known = lambda old, new: new.change if isinstance(new, PatchedDict) else difference(old, new)  # noqa: E731
        with mock.patch("bramblewood.controller.storage.difference", known):
            return super().write_rows(database, registers, facts)


SYNCHRONOUS_FULL = ("synchronous=extra", "synchronous=full")
PUT_PART_CONFLICT = (
    "on conflict (register, path) do update set value = excluded.value, checksum = excluded.checksum"
)
FAULTS = {  # what is wrong with the storage, as arguments of a play
    "neither a synced folder nor a first page": {
        "replacements": (SYNCHRONOUS_FULL, ("auto_vacuum=full", "auto_vacuum=none"))
    },
    "a refused value taken for stored": {"storage_class": TakesRefusedForStored},
    "an upgrade step by step": {"storage_class": UpgradesStepwise, "schema_1": True},
    "a row put again at the end": {
        "replacements": (("insert into parts", "replace into parts"), (PUT_PART_CONFLICT, ""))
    },
    "parts left below what took their place": {
        "replacements": (
            ("where register = ? and path > ?", "where register is null and ? is null and path > ?"),
        )
    },
    "equal in Python taken for the same": {"storage_class": EqualInPython},
    "a difference to another value taken": {"storage_class": TrustsAnyDifference},
    "syncs left out": {"replacements": (("synchronous=extra", "synchronous=off"),)},
}


def first_seed_found(fault: str, seeds: int) -> int | None:
    """The first seed whose play finds this fault out."""
    for seed in range(seeds):
        try:
            play(seed, **FAULTS[fault])
        except StateLost:
            return seed
    return None


def difference_leads_to_value(dice) -> bool:
    """Between two values, either of which may be made of the other, and as it travels."""
    old = changed_value(dice, {})
    for _ in range(dice.randrange(8)):
        old = changed_value(dice, old)
    new = old
    for _ in range(dice.randrange(4)):
        new = changed_value(dice, new)
    if isinstance(new, dict) and dice.random() < 0.2:
        new = dict(dice.sample([*new.items()], len(new)))
    new = json.loads(json.dumps(new)) if dice.random() < 0.3 else new
    return repr(apply_difference(old, json.loads(json.dumps(difference(old, new))))) == repr(new)


class LongLivedStorage:
    """One database over thousands of commits."""

    def __init__(self, slices: int) -> None:
        self.disk, self.dice, self.value = SimulatedDisk(), random.Random(1), table(slices)
        self.start()
        self.commit(self.value)

    def start(self) -> None:
        self.storage = storage_on(self.disk)
        assert self.storage.open().is_ok()

    def commit(self, value) -> None:
        self.value = value
        row = ("table", proposal_number(value["n"]), proposal_number(value["n"]), value)
        assert self.storage.commit([([row], {"seen": value["n"]}, None)]) is None

    def move(self, count: int, emptied: int = 0) -> None:
        """emptied: a service loses all its slices after so many moves, and gets them back."""
        for number in range(count):
            self.commit(moved(self.value, self.dice.randrange(10**6)))
            if emptied and number % emptied == 0:
                full, name = self.value["s"], self.dice.choice([*self.value["s"]])
                self.commit({**self.value, "s": {**full, name: {}}})
                self.commit({**self.value, "s": full})

    def sizes(self) -> tuple[int, int]:
        """Bytes of the database and of its log."""
        return len(self.disk.names[PATH].contents), len(self.disk.names[PATH + "-wal"].contents)


PROMISE = {"k": "promise"}
FIRST_WRITE = ([("config", (1, 3, "a", 1), (1, 3, "a", 1), {"n": 1})], {"disk": "a"}, None)
ANSWER_TIMEOUT = 5.0  # s that the writer's thread may take once its disk answers


class HangingDisk:
    """A controller's writing side on a disk that hangs at the next sync, until it may answer."""

    def __init__(self):
        self.disk, self.notifications = SimulatedDisk(), queue.SimpleQueue()
        self.is_hanging, self.may_answer = threading.Event(), threading.Event()
        ports = {"Control": ("127.0.0.1", 1)}
        self.controller = Controller(
            Settings("a", "a", "z", (1, 2), (), False, "/d", 1.5, ports, 2**28, 100, Bounds())
        )
        self.controller.quorum_contact.quorum_contact_until = lambda now: now + 1.0
        members = {"n": 1, "voters": {name: name for name in "abc"}, "before": {}}
        self.controller.quorum_io.consensus = ConsensusReplica("a", "a", 1, {}, members, 1)
        self.controller.runtime.loop = types.SimpleNamespace(time=lambda: self.now)
        self.sent = []
        self.controller.runtime.peer_connections = types.SimpleNamespace(
            send=lambda peer, what: self.sent.append((peer, what))
        )
        self.storage = self.controller.quorum_io.storage = storage_on(self.disk)
        assert self.storage.open().is_ok() and self.storage.commit([FIRST_WRITE]) is None
        self.disk.errors = {"flush": self.hang}
        self.storage.writer_thread = threading.Thread(target=self.work, daemon=True)
        self.storage.start(lambda done, problem: self.notifications.put((done, problem)))

    def hang(self):
        self.is_hanging.set()
        self.may_answer.wait(ANSWER_TIMEOUT)
        if self.disk.power_cut_at is not None:
            raise PowerCut  # amid the sync

    def work(self):
        try:
            self.storage.run_writer()
        except PowerCut:
            pass  # the machine is off

    def promise(self, now):
        self.now = now
        row = (CONFIG, (1, 7, "b", 1), (1, 3, "a", 1), {"n": 1})
        self.controller.quorum_io.execute(Effects([row], [("b", PROMISE)], [], {}))
        # else the moment of what follows would be a matter of luck
        assert self.is_hanging.wait(ANSWER_TIMEOUT)

    def answer(self):
        self.may_answer.set()
        self.storage.close()
        self.storage.writer_thread.join(ANSWER_TIMEOUT)
        while not self.notifications.empty():
            done, problem = self.notifications.get()
            done(problem)

    def after_power_cut(self):
        """What a start finds."""
        disk = self.disk.after_power_cut(random.Random(1))
        return storage_on(disk).open().ok_value.registers

    def end(self):
        self.may_answer.set()
