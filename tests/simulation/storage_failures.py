"""Simulations of the controller's storage on a disk that loses and tears unsynced writes and raises errors.

The power is cut at an arbitrary file call. The next start must find exactly one state that was written.
"""

import errno
import json
import operator
import queue
import random
import threading
import types
from unittest import mock

from benchmarks.controller_storage import make_slice_table, move_slice
from bramblewood.common.settings import Bounds, Settings
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.server import Controller
from bramblewood.controller.storage import Storage
from bramblewood.controller.value_diff import PatchedDict, apply_difference, difference
from tests.simulation.simulated_disk import PowerCut, SimulatedDisk
from tests.simulation.sqlite_on_simulated_disk import ApswConnection, Rows


class DurabilityViolation(AssertionError):
    """An acknowledged state is lost, or the disk holds a state that was never written."""


DATABASE_PATH = "/d/shelf.db"
# Keys that JSON escapes, and keys whose paths sort next to the bounds of `row_encoding.descendant_range`.
SPECIAL_KEYS = ("0", "a", "b", "", 'a",b', "a,", "a-", "[", "\\", "\n", "\u00e9", "\ud800")
REGISTERS = ("config", "table")
MAX_CALLS = 500  # upper bound of the file calls before a power cut
MAX_UPGRADE_CALLS = 150  # upper bound of the file calls that a start needs to upgrade schema version 1


def make_storage(disk: SimulatedDisk, replacements=(), storage_class=Storage) -> Storage:
    """Returns a storage on a simulated disk; replacements: see `ApswConnection`."""
    storage = storage_class("/d", lambda path: ApswConnection(disk, path, replacements))
    storage.path = DATABASE_PATH
    return storage


def random_change(rng, value, depth=0):
    """Returns another value: mostly the same map with one key added, removed or changed."""
    if not isinstance(value, dict) or depth > 4 or rng.random() < 0.03:
        nested = {
            key: {"c": {"d": [1, {key: 2}]}, "e": 1} for key in rng.sample(SPECIAL_KEYS, rng.randrange(4))
        }
        return rng.choice([None, True, 1, 1.0, "x" * rng.randrange(9000), [1, {"a": 2}], nested, nested])
    key = rng.choice(SPECIAL_KEYS)
    if key in value and rng.random() < 0.3:
        return {name: child for name, child in value.items() if name != key}
    return {**value, key: random_change(rng, value.get(key), depth + 1)}


def proposal_number(number: int) -> tuple:
    """Returns a proposal number: a flat tuple for an odd `number`, and a nested tuple for an even one."""
    return (1, number, "a", 1) if number % 2 else ((1, "d"), number)


class WriteHistory:
    """The states that a disk may hold.

    states: the first was acknowledged; each other was written on top of it and was not acknowledged.
    write_count: the number of writes so far. acknowledged_count: the number of acknowledged batches.
    """

    def __init__(self, state=None):
        self.states, self.write_count, self.acknowledged_count = (
            [state or {"facts": {}, "registers": {}}],
            0,
            0,
        )

    def check_stored(self, state):
        """Raises DurabilityViolation unless a start found one of the possible states.

        Types, proposal numbers and the order of keys must be equal too.
        """
        if repr(state) not in map(repr, self.states):
            raise DurabilityViolation(
                f"{state!r:.300} was found, number of possible states: {len(self.states)}"
            )
        self.states = [state]

    def next_batch(self, rng):
        """Returns a batch of one to three writes, and adds the state after it to the possible states."""
        facts, registers = dict(self.states[0]["facts"]), dict(self.states[0]["registers"])
        batch = []
        for _ in range(rng.randrange(1, 4)):
            self.write_count += 1
            new_facts, rows = {"seen": self.write_count, "mark": rng.choice([None, [self.write_count]])}, []
            for name in rng.sample(REGISTERS, rng.randrange(1, 3)):
                value = random_change(rng, registers[name][2] if name in registers else {})
                if rng.random() < 0.2:
                    value = json.loads(json.dumps(value))  # shares no objects with the stored value
                elif name in registers:
                    value = apply_difference(registers[name][2], difference(registers[name][2], value))
                rows.append(
                    (name, proposal_number(self.write_count), proposal_number(self.write_count - 1), value)
                )
                registers[name] = rows[-1][1:]
            batch.append((rows, new_facts, None))
            facts |= new_facts
        facts = {name: facts[name] for name in sorted(facts) if facts[name] is not None}
        self.states.append({"facts": facts, "registers": dict(sorted(registers.items()))})
        return batch


def run_process_lifetime(
    disk: SimulatedDisk, history: WriteHistory, rng, batches: int, replacements=(), storage_class=Storage
) -> None:
    """Opens the storage, checks the state that it finds, and commits batches of writes."""
    storage = make_storage(disk, replacements, storage_class)
    opened = storage.open()
    if opened.is_err():
        if disk.errors:
            return
        raise DurabilityViolation(opened.err_value)
    facts, registers = (dict(sorted(rows.items())) for rows in opened.ok_value[:2])
    history.check_stored({"facts": facts, "registers": registers})
    for _ in range(batches):
        if storage.commit(history.next_batch(rng)) is None:
            history.states = history.states[-1:]
            history.acknowledged_count += 1


def disk_of_schema_1(rng) -> tuple[SimulatedDisk, WriteHistory]:
    """Returns a disk of schema version 1 after a power cut, and the state that a start has to find there."""
    value = {"n": 3, "config": {"Revision": "r3", "text": "x" * rng.randrange(9000)}, "past": {"3": "f"}}
    registers = {"config": ((7, "b", 2), (3, "a", 1), value), "table": ((1, "c", 5), (0, "", 0), None)}
    disk = SimulatedDisk(rng)
    database = ApswConnection(disk, DATABASE_PATH)
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
    if rng.random() < 0.5:
        database.close()
    facts = {"born": True, "voters": ["a", "b"]}
    expected = {
        "config": ((1, 7, "b", 2), (1, 3, "a", 1), value),
        "table": ((1, 1, "c", 5), (0, 0, "", 0), None),
    }
    return disk.after_power_cut(rng), WriteHistory({"facts": facts, "registers": expected})


def run_lifetimes(
    seed: int, schema_1: bool = False, lifetimes: int = 4, replacements=(), storage_class=Storage
) -> int:
    """Runs processes one after the other on one disk, each ended by a power cut at an arbitrary file call.

    schema_1: the disk has schema version 1, and the power cuts come early enough to interrupt the upgrade.
    Returns the number of acknowledged batches. Raises DurabilityViolation.
    """
    rng = random.Random(seed)
    disk, history = disk_of_schema_1(rng) if schema_1 else (SimulatedDisk(rng), WriteHistory())
    disk.syncs_own_name = bool(seed % 2)
    for _ in range(lifetimes):
        disk.power_cut_at = rng.randrange(1, MAX_UPGRADE_CALLS if schema_1 else MAX_CALLS)
        if rng.random() < 0.3:
            kind_of_call, code = rng.choice(["write", "flush"]), rng.choice([errno.EIO, errno.ENOSPC])
            disk.errors = {kind_of_call: lambda code=code: code if rng.random() < 0.05 else 0}
        try:
            run_process_lifetime(disk, history, rng, 60, replacements, storage_class)
        except PowerCut:
            pass
        disk = disk.after_power_cut(rng)
    run_process_lifetime(disk, history, rng, 1, replacements, storage_class)
    return history.acknowledged_count


# --- faulty storages, which the simulation has to detect


class RecordsFailedWrites(Storage):
    """Records the values of a failed transaction as stored."""

    def commit(self, requests):
        problem = super().commit(requests)
        self.stored_values |= {name: value for rows, _, _ in requests for name, _, _, value in rows}
        return problem


class UpgradesWithoutTransaction(Storage):
    """Upgrades an older schema version with a transaction for each statement."""

    def upgrade(self, database, stored_state):
        autocommit_database = types.SimpleNamespace(
            execute=lambda sql, values=(): (
                Rows() if sql in ("begin immediate", "commit") else database.execute(sql, values)
            )
        )
        super().upgrade(autocommit_database, stored_state)


class ComparesByPythonEquality(Storage):
    """Does not write a value that Python's `==` finds equal to the stored value."""

    def write_rows(self, database, registers, facts):
        with mock.patch("bramblewood.controller.value_diff.equal_as_json", operator.eq):
            return super().write_rows(database, registers, facts)


class IgnoresDifferenceBase(Storage):
    """Uses the recorded difference of a patched map even if the patched map is not the stored value."""

    def write_rows(self, database, registers, facts):
        difference_without_base_check = lambda old, new: (  # noqa: E731
            new.change if isinstance(new, PatchedDict) else difference(old, new)
        )
        with mock.patch("bramblewood.controller.storage.difference", difference_without_base_check):
            return super().write_rows(database, registers, facts)


SYNCHRONOUS_FULL = ("synchronous=extra", "synchronous=full")
PUT_PART_CONFLICT = (
    "on conflict (register, path) do update set value = excluded.value, checksum = excluded.checksum"
)
FAULTS = {  # arguments of `run_lifetimes` by fault
    "folder not synced and auto vacuum off": {
        "replacements": (SYNCHRONOUS_FULL, ("auto_vacuum=full", "auto_vacuum=none"))
    },
    "failed write recorded as stored": {"storage_class": RecordsFailedWrites},
    "upgrade without a transaction": {"storage_class": UpgradesWithoutTransaction, "schema_1": True},
    "overwritten row moved to the end": {
        "replacements": (("insert into parts", "replace into parts"), (PUT_PART_CONFLICT, ""))
    },
    "rows below a replaced map not deleted": {
        "replacements": (
            ("where register = ? and path > ?", "where register is null and ? is null and path > ?"),
        )
    },
    "values compared by Python equality": {"storage_class": ComparesByPythonEquality},
    "difference from another value used": {"storage_class": IgnoresDifferenceBase},
    "no syncs": {"replacements": (("synchronous=extra", "synchronous=off"),)},
}


def first_detecting_seed(fault: str, seeds: int) -> int | None:
    """Returns the first seed for which the simulation detects a fault, None where no seed detects it."""
    for seed in range(seeds):
        try:
            run_lifetimes(seed, **FAULTS[fault])
        except DurabilityViolation:
            return seed
    return None


def difference_reproduces_value(rng) -> bool:
    """Returns whether the difference between two random values, sent as JSON, turns one into the other.

    The values may share objects, and the second may be the first with its keys in another order.
    """
    old = random_change(rng, {})
    for _ in range(rng.randrange(8)):
        old = random_change(rng, old)
    new = old
    for _ in range(rng.randrange(4)):
        new = random_change(rng, new)
    if isinstance(new, dict) and rng.random() < 0.2:
        new = dict(rng.sample([*new.items()], len(new)))
    new = json.loads(json.dumps(new)) if rng.random() < 0.3 else new
    return repr(apply_difference(old, json.loads(json.dumps(difference(old, new))))) == repr(new)


class LongLivedStorage:
    """A storage that commits thousands of changes of one slice table.

    value: the slice table as committed last.
    """

    def __init__(self, slices: int) -> None:
        self.disk, self.rng, self.value = SimulatedDisk(), random.Random(1), make_slice_table(slices)
        self.start()
        self.commit(self.value)

    def start(self) -> None:
        self.storage = make_storage(self.disk)
        assert self.storage.open().is_ok()

    def commit(self, value) -> None:
        self.value = value
        row = ("table", proposal_number(value["n"]), proposal_number(value["n"]), value)
        assert self.storage.commit([([row], {"seen": value["n"]}, None)]) is None

    def commit_moves(self, count: int, emptying_interval: int = 0) -> None:
        """Commits moves of single slices.

        emptying_interval: the number of moves after which a service loses all its slices and gets them back,
        0 for never.
        """
        for number in range(count):
            self.commit(move_slice(self.value, self.rng.randrange(10**6)))
            if emptying_interval and number % emptying_interval == 0:
                services, name = self.value["s"], self.rng.choice([*self.value["s"]])
                self.commit({**self.value, "s": {**services, name: {}}})
                self.commit({**self.value, "s": services})

    def sizes(self) -> tuple[int, int]:
        """Returns the bytes of the database and of its log."""
        return (
            len(self.disk.names[DATABASE_PATH].contents),
            len(self.disk.names[DATABASE_PATH + "-wal"].contents),
        )


PROMISE = {"k": "promise"}
INITIAL_WRITE = ([("config", (1, 3, "a", 1), (1, 3, "a", 1), {"n": 1})], {"disk": "a"}, None)
WRITER_TIMEOUT = 5.0  # s that the writer thread may take before and after the sync that hangs


class ControllerOnHangingDisk:
    """A controller whose disk hangs during each sync until `resume` is called.

    sent: the messages that the controller sent, as (peer, message). sync_started: set once a sync hangs.
    may_resume: set once the sync may finish.
    """

    def __init__(self):
        self.disk, self.notifications = SimulatedDisk(), queue.SimpleQueue()
        self.sync_started, self.may_resume = threading.Event(), threading.Event()
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
            send=lambda peer, message: self.sent.append((peer, message))
        )
        self.storage = self.controller.quorum_io.storage = make_storage(self.disk)
        assert self.storage.open().is_ok() and self.storage.commit([INITIAL_WRITE]) is None
        self.disk.errors = {"flush": self.hang}
        self.storage.writer_thread = threading.Thread(target=self.run_writer, daemon=True)
        self.storage.start(lambda on_finished, problem: self.notifications.put((on_finished, problem)))

    def hang(self):
        """Blocks the sync; the power cut of a test takes place during the sync."""
        self.sync_started.set()
        self.may_resume.wait(WRITER_TIMEOUT)
        if self.disk.power_cut_at is not None:
            raise PowerCut

    def run_writer(self):
        """Runs the writer thread until the storage is closed or the power is cut."""
        try:
            self.storage.run_writer()
        except PowerCut:
            pass

    def promise(self, now):
        """Has the controller write and send a promise, and returns once the sync hangs."""
        self.now = now
        row = (CONFIG, (1, 7, "b", 1), (1, 3, "a", 1), {"n": 1})
        self.controller.quorum_io.apply_effects(Effects([row], [("b", PROMISE)], [], {}))
        # Without this wait, the checks that follow might run before the sync.
        assert self.sync_started.wait(WRITER_TIMEOUT)

    def resume(self):
        """Lets the sync finish, ends the writer thread, and runs the callbacks of the writes."""
        self.may_resume.set()
        self.storage.close()
        self.storage.writer_thread.join(WRITER_TIMEOUT)
        while not self.notifications.empty():
            on_finished, problem = self.notifications.get()
            on_finished(problem)

    def registers_after_power_cut(self):
        """Returns the registers that a start finds after a power cut."""
        disk = self.disk.after_power_cut(random.Random(1))
        return make_storage(disk).open().ok_value.registers

    def close(self):
        """Releases the writer thread."""
        self.may_resume.set()
