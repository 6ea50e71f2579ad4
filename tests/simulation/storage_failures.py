"""The shelf on a disc that loses, keeps and tears what was not synced, hangs on to nothing and refuses at
times.

Sqlite itself runs here (apsw, whose file calls can be Python's) over `tests/disc.py`; the power is cut at any
file call.
"""

import contextlib
import errno
import functools
import json
import operator
import queue
import random
import sqlite3
import threading
import types
import uuid
from unittest import mock

import apsw

from benchmarks.controller_storage import moved, table
from bramblewood.common.settings import Bounds, Settings
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.consensus.replica import ConsensusReplica
from bramblewood.controller.server import Controller
from bramblewood.controller.storage import Storage
from bramblewood.controller.value_diff import PatchedDict, apply_difference, difference
from tests.simulation.simulated_disk import Disc, PowerCut


def told_to_sqlite(call):
    """What the disc raises, as sqlite knows it: after a power cut every call fails."""

    @functools.wraps(call)
    def made(*args):
        try:
            return call(*args)
        except (PowerCut, OSError):
            raise apsw.IOError from None

    return made


class File:
    """One open file of sqlite's; every call is a call of the disc's."""

    def __init__(self, disc, name, create):
        self.disc, self.name, self.port = disc, name, disc.port()
        self.handle = self.port.open(name, create=create)
        self.inode = self.port.handles[self.handle]
        # sqlite's way on unix (UNIXFILE_DIRSYNC): the first sync of a new journal or log is its folder's too
        self.takes_folder = create and name.endswith(("-journal", "-wal"))

    @told_to_sqlite
    def xRead(self, amount, offset):
        return self.port.read(self.handle, offset, amount)

    @told_to_sqlite
    def xWrite(self, data, offset):
        self.port.write(self.handle, offset, bytes(data))

    @told_to_sqlite
    def xTruncate(self, size):
        self.port.truncate(self.handle, size)

    @told_to_sqlite
    def xSync(self, flags):
        self.port.flush(self.handle)
        if self.disc.apart:
            self.disc.durable_names[self.name] = self.inode
            self.disc.changes = [change for change in self.disc.changes if self.name not in change[:2]]
        elif self.takes_folder:
            self.port.flush_folder()
            self.takes_folder = False

    def xFileSize(self):
        return len(self.inode.seen)

    def xClose(self):
        pass

    def xLock(self, level):
        pass

    def xUnlock(self, level):
        pass

    def xCheckReservedLock(self):
        return False

    def xFileControl(self, op, pointer):
        return False

    def xSectorSize(self):
        return 512

    def xDeviceCharacteristics(self):
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE  # as sqlite takes unix files to be


class Folder(apsw.VFS):
    def __init__(self, disc):
        self.disc, self.label = disc, f"disc-{uuid.uuid4().hex}"
        super().__init__(self.label, "")

    @told_to_sqlite
    def xOpen(self, name, flags):
        name = name.filename() if isinstance(name, apsw.URIFilename) else name
        return File(self.disc, name, name not in self.disc.names)

    @told_to_sqlite
    def xDelete(self, name, sync):
        self.disc.port().remove(name)
        if sync:
            self.disc.port().flush_folder()

    def xAccess(self, name, flags):
        return name in self.disc.names

    def xFullPathname(self, name):
        return name


class Base:
    """An apsw connection in sqlite3's words."""

    def __init__(self, disc, path, swaps=()):
        """swaps: pairs of what the shelf asks of sqlite and what is asked in its place."""
        self.disc, self.folder, self.swaps = disc, Folder(disc), swaps
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE
        self.base = self.ask(lambda: apsw.Connection(path, vfs=self.folder.label, flags=flags))

    def ask(self, what):
        try:
            found = what()
        except (apsw.Error, OSError, PowerCut) as problem:
            if self.disc.cut_at is not None and self.disc.calls > self.disc.cut_at:
                raise PowerCut from None
            raise sqlite3.OperationalError(str(problem)) from None
        if self.disc.cut_at is not None and self.disc.calls > self.disc.cut_at:
            raise PowerCut
        return found

    def execute(self, sql, values=()):
        for said, meant in self.swaps:
            sql = sql.replace(said, meant)
        return Rows(self.ask(lambda: [*self.base.execute(sql, values)]))

    @property
    def in_transaction(self):
        return self.base.in_transaction

    def close(self):
        self.ask(self.base.close)

    def __del__(self):
        """After a power cut it can't be closed, which apsw would print."""
        with contextlib.suppress(apsw.Error, AttributeError):
            self.base.close(True)


class Rows(list):
    def fetchone(self):
        return self[0] if self else None


class Broken(AssertionError):
    """Something acknowledged is lost, or something that nobody wrote is there."""


PATH = "/d/shelf.db"
KEY_SPACE_SIZE = ("0", "a", "b", "", 'a",b', "a,", "a-", "[", "\\", "\n", "\u00e9", "\ud800")  # odd ones too
REGISTERS = ("config", "table")
TURN_CALLS = 150  # file calls within which a start turns form 1 into form 2


def shelf_on(disc: Disc, swaps=(), kind=Storage) -> Storage:
    storage = kind("/d", lambda path: Base(disc, path, swaps))
    storage.path = PATH
    return storage


def changed(dice, value, deep=0):
    """Another value: as a rule a map with a key more, less or changed."""
    if not isinstance(value, dict) or deep > 4 or dice.random() < 0.03:
        deeper = {
            key: {"c": {"d": [1, {key: 2}]}, "e": 1} for key in dice.sample(KEY_SPACE_SIZE, dice.randrange(4))
        }
        return dice.choice([None, True, 1, 1.0, "x" * dice.randrange(9000), [1, {"a": 2}], deeper, deeper])
    key = dice.choice(KEY_SPACE_SIZE)
    if key in value and dice.random() < 0.3:
        return {one: inner for one, inner in value.items() if one != key}
    return {**value, key: changed(dice, value.get(key), deep + 1)}


def proposal_number(number: int) -> tuple:
    return (1, number, "a", 1) if number % 2 else ((1, "d"), number)


class Told:
    """states: what may lie there. The first was acknowledged; each other was begun on it, and not."""

    def __init__(self, state=None):
        self.states, self.number, self.acknowledged = [state or {"facts": {}, "registers": {}}], 0, 0

    def found(self, state):
        """Types, ballots and the order of keys count too."""
        if repr(state) not in map(repr, self.states):
            raise Broken(f"{state!r:.300} is there, none of {len(self.states)}")
        self.states = [state]

    def next(self, dice):
        """A batch of one to three writes, and what lies there once it is done."""
        facts, registers = dict(self.states[0]["facts"]), dict(self.states[0]["registers"])
        batch = []
        for _ in range(dice.randrange(1, 4)):
            self.number += 1
            told, rows = {"seen": self.number, "mark": dice.choice([None, [self.number]])}, []
            for name in dice.sample(REGISTERS, dice.randrange(1, 3)):
                value = changed(dice, registers[name][2] if name in registers else {})
                if dice.random() < 0.2:
                    value = json.loads(json.dumps(value))  # shares nothing
                elif name in registers:
                    value = apply_difference(registers[name][2], difference(registers[name][2], value))
                rows.append((name, proposal_number(self.number), proposal_number(self.number - 1), value))
                registers[name] = rows[-1][1:]
            batch.append((rows, told, None))
            facts |= told
        facts = {name: facts[name] for name in sorted(facts) if facts[name] is not None}
        self.states.append({"facts": facts, "registers": dict(sorted(registers.items()))})
        return batch


def process_lifetime(disc: Disc, told: Told, dice, writes: int, swaps=(), kind=Storage) -> None:
    """One start and some writes."""
    storage = shelf_on(disc, swaps, kind)
    found = storage.open()
    if found.is_err():
        if disc.refusals:
            return
        raise Broken(found.err_value)
    told.found({what: dict(sorted(rows.items())) for what, rows in found.ok_value.items()})
    for _ in range(writes):
        if storage.commit(told.next(dice)) is None:
            told.states = told.states[-1:]
            told.acknowledged += 1


def form_1(dice) -> tuple[Disc, Told]:
    """A disk as the program before left it, and what it amounts to."""
    value = {"n": 3, "config": {"Revision": "r3", "text": "x" * dice.randrange(9000)}, "past": {"3": "f"}}
    registers = {"config": ((7, "b", 2), (3, "a", 1), value), "table": ((1, "c", 5), (0, "", 0), None)}
    disc = Disc(dice)
    base = Base(disc, PATH)
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
        base.execute(sql)
    for name, row in registers.items():
        base.execute("insert into registers values (?, ?, ?, ?)", (name, *map(json.dumps, row)))
    if dice.random() < 0.5:
        base.close()
    facts = {"born": True, "voters": ["a", "b"]}
    meant = {
        "config": ((1, 7, "b", 2), (1, 3, "a", 1), value),
        "table": ((1, 1, "c", 5), (0, 0, "", 0), None),
    }
    return disc.after_power_cut(dice), Told({"facts": facts, "registers": meant})


def play(seed: int, old: bool = False, lifetimes: int = 4, swaps=(), kind=Storage) -> int:
    """Some lives on one disc, each ended by a power cut at any file call; how often something was
    acknowledged. old: the disc is of form 1, and the first lives end early.
    """
    dice = random.Random(seed)
    disc, told = form_1(dice) if old else (Disc(dice), Told())
    disc.apart = bool(seed % 2)
    for _ in range(lifetimes):
        disc.cut_at = dice.randrange(1, TURN_CALLS if old else 500)
        if dice.random() < 0.3:
            kind_of_call, code = dice.choice(["write", "flush"]), dice.choice([errno.EIO, errno.ENOSPC])
            disc.refusals = {kind_of_call: lambda code=code: code if dice.random() < 0.05 else 0}
        try:
            process_lifetime(disc, told, dice, 60, swaps, kind)
        except PowerCut:
            pass
        disc = disc.after_power_cut(dice)
    process_lifetime(disc, told, dice, 1, swaps, kind)
    return told.acknowledged


class Hasty(Storage):
    """Takes what a refused transaction was to leave for what is stored."""

    def commit(self, batch):
        problem = super().commit(batch)
        self.stored_values |= {name: value for rows, _, _ in batch for name, _, _, value in rows}
        return problem


class Stepwise(Storage):
    """Turns form 1 into form 2 by a transaction for each step."""

    def upgrade(self, base, form, registers):
        bare = types.SimpleNamespace(
            execute=lambda sql, values=(): (
                Rows() if sql in ("begin immediate", "commit") else base.execute(sql, values)
            )
        )
        super().upgrade(bare, form, registers)


class Loose(Storage):
    """Takes what Python calls equal for the same."""

    def write_rows(self, base, registers, facts):
        with mock.patch("bramblewood.controller.value_diff.equal_as_json", operator.eq):
            super().write_rows(base, registers, facts)


class Trusting(Storage):
    """Takes the difference that a value was made by for the one to what is stored."""

    def write_rows(self, base, registers, facts):
        known = lambda old, new: new.change if isinstance(new, PatchedDict) else difference(old, new)  # noqa: E731
        with mock.patch("bramblewood.controller.storage.difference", known):
            super().write_rows(base, registers, facts)


FULL = ("synchronous=extra", "synchronous=full")
UPSERT = "on conflict (register, path) do update set value = excluded.value"
FAULTS = {  # what is wrong with the shelf, as arguments of a play
    "neither a synced folder nor a first page": {"swaps": (FULL, ("auto_vacuum=full", "auto_vacuum=none"))},
    "a refused value taken for stored": {"kind": Hasty},
    "form 1 turned step by step": {"kind": Stepwise, "old": True},
    "a row put again at the end": {"swaps": (("insert into parts", "replace into parts"), (UPSERT, ""))},
    "parts left below what took their place": {
        "swaps": (("where register = ? and path > ?", "where register is null and ? is null and path > ?"),)
    },
    "equal in Python taken for the same": {"kind": Loose},
    "a difference to another value taken": {"kind": Trusting},
    "syncs left out": {"swaps": (("synchronous=extra", "synchronous=off"),)},
}


def found_at(fault: str, seeds: int) -> int | None:
    """The first seed whose play finds this fault out."""
    for seed in range(seeds):
        try:
            play(seed, **FAULTS[fault])
        except Broken:
            return seed
    return None


def difference_holds(dice) -> bool:
    """Between two values, either of which may be made of the other, and as it travels."""
    old = changed(dice, {})
    for _ in range(dice.randrange(8)):
        old = changed(dice, old)
    new = old
    for _ in range(dice.randrange(4)):
        new = changed(dice, new)
    if isinstance(new, dict) and dice.random() < 0.2:
        new = dict(dice.sample([*new.items()], len(new)))
    new = json.loads(json.dumps(new)) if dice.random() < 0.3 else new
    return repr(apply_difference(old, json.loads(json.dumps(difference(old, new))))) == repr(new)


class Growing:
    """One shelf that lives long."""

    def __init__(self, slices: int) -> None:
        self.disc, self.dice, self.value = Disc(), random.Random(1), table(slices)
        self.start()
        self.commit(self.value)

    def start(self) -> None:
        self.storage = shelf_on(self.disc)
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
        """Bytes of the base and of its log."""
        return len(self.disc.names[PATH].seen), len(self.disc.names[PATH + "-wal"].seen)


PROMISE = {"k": "promise"}
BORN = ([("config", (1, 3, "a", 1), (1, 3, "a", 1), {"n": 1})], {"disk": "a"}, None)
ANSWER = 5.0  # s that the shelf's thread may take once its disc answers


class Hanging:
    """An archive's writing side on a disc that hangs at the next sync, until it is told to answer."""

    def __init__(self):
        self.disc, self.told = Disc(), queue.SimpleQueue()
        self.hangs, self.go = threading.Event(), threading.Event()
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
        self.storage = self.controller.quorum_io.storage = shelf_on(self.disc)
        assert self.storage.open().is_ok() and self.storage.commit([BORN]) is None
        self.disc.refusals = {"flush": self.hang}
        self.storage.writer_thread = threading.Thread(target=self.work, daemon=True)
        self.storage.start(lambda done, problem: self.told.put((done, problem)))

    def hang(self):
        self.hangs.set()
        self.go.wait(ANSWER)
        if self.disc.cut_at is not None:
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
        assert self.hangs.wait(ANSWER)  # else the moment of what follows would be a matter of luck

    def answer(self):
        self.go.set()
        self.storage.close()
        self.storage.writer_thread.join(ANSWER)
        while not self.told.empty():
            done, problem = self.told.get()
            done(problem)

    def after_power_cut(self):
        """What a start finds."""
        disc = self.disc.after_power_cut(random.Random(1))
        return shelf_on(disc).open().ok_value["registers"]

    def end(self):
        self.go.set()
