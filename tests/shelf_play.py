"""The shelf on a disc that loses, keeps and tears what was not synced, hangs on to nothing and refuses at
times.

Sqlite itself runs here (apsw, whose file calls can be Python's) over `tests/disc.py`; the power is cut at any
file call.
"""

import errno
import functools
import queue
import random
import sqlite3
import threading
import types
import uuid

import apsw

from bramblewood.archive.ballots import CONFIG, Ballots, Out
from bramblewood.archive.program import Archive
from bramblewood.archive.shelf import Shelf
from bramblewood.catalogue.bootfile import Bounds, Settings
from tests.disc import Disc, PowerCut


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

    @told_to_sqlite
    def xRead(self, amount, offset):
        return self.port.read(self.handle, offset, amount)

    @told_to_sqlite
    def xWrite(self, data, offset):
        self.port.write(self.handle, offset, bytes(data))

    @told_to_sqlite
    def xTruncate(self, size):
        self.disc.called("truncate")
        del self.inode.seen[size:]

    @told_to_sqlite
    def xSync(self, flags):
        self.port.flush(self.handle)
        # a new file lasts once it is synced itself, whatever became of an earlier one of its name
        self.disc.durable_names[self.name] = self.inode
        self.disc.changes = [change for change in self.disc.changes if self.name not in change[:2]]

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

    def __init__(self, disc, path, modes=""):
        """modes: what to ask of sqlite in place of the shelf's own synchronous mode."""
        self.disc, self.folder, self.modes = disc, Folder(disc), modes
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
        if self.modes:
            sql = sql.replace("synchronous=extra", f"synchronous={self.modes}")
        return Rows(self.ask(lambda: [*self.base.execute(sql, values)]))

    @property
    def in_transaction(self):
        return self.base.in_transaction

    def close(self):
        self.ask(self.base.close)


class Rows(list):
    def fetchone(self):
        return self[0] if self else None


class Broken(AssertionError):
    """Something acknowledged is lost, or something that nobody wrote is there."""


def life(disc: Disc, told: dict, writes: int, modes: str = "") -> None:
    """One start and some writes. told: `floor`, the newest value acknowledged; `top`, the newest written."""
    shelf = Shelf("/d", lambda path: Base(disc, path, modes))
    shelf.path = "/d/shelf.db"
    found = shelf.open()
    if found.is_err():
        if disc.refusals:
            return
        raise Broken(found.err_value)
    kept = found.ok_value["registers"].get("config")
    value = kept[2]["n"] if kept else 0
    if not told["floor"] <= value <= told["top"]:  # one that was refused may be there as one that is unclear
        raise Broken(f"{value} is there: {told}")
    if kept and (kept[0] != (value, "a", 1) or kept[2]["text"] != "x" * (value * 997 % 9000)):
        raise Broken("a row of two halves")
    told["floor"] = value
    for number in range(told["top"] + 1, told["top"] + 1 + writes):
        row = (
            "config",
            (number, "a", 1),
            (number, "a", 1),
            {"n": number, "text": "x" * (number * 997 % 9000)},
        )
        told["top"] = number
        if shelf.commit([([row], {"seen": number}, None)]) is None:
            told["floor"] = number


def play(seed: int, lives: int = 4, modes: str = "") -> int:
    """Some lives on one disc, each ended by a power cut at any file call; how much was acknowledged."""
    dice = random.Random(seed)
    disc, told = Disc(dice), {"floor": 0, "top": 0}
    for _ in range(lives):
        disc.cut_at = dice.randrange(1, 500)
        if dice.random() < 0.3:
            kind, code = dice.choice(["write", "flush"]), dice.choice([errno.EIO, errno.ENOSPC])
            disc.refusals = {kind: lambda code=code: code if dice.random() < 0.05 else 0}
        try:
            life(disc, told, 60, modes)
        except PowerCut:
            pass
        disc = disc.after_power_cut(dice)
    life(disc, told, 1, modes)
    return told["floor"]


PROMISE = {"k": "promise"}
BORN = ([("config", (1, 3, "a", 1), (1, 3, "a", 1), {"n": 1})], {"disk": "a"}, None)
ANSWER = 5.0  # s that the shelf's thread may take once its disc answers


class Hanging:
    """An archive's writing side on a disc that hangs at the next sync, until it is told to answer."""

    def __init__(self):
        self.disc, self.told = Disc(), queue.SimpleQueue()
        self.hangs, self.go = threading.Event(), threading.Event()
        ports = {"Control": ("127.0.0.1", 1)}
        self.archive = Archive(
            Settings("a", "a", "z", (1, 2), (), False, "/d", 1.5, ports, 2**28, 100, Bounds())
        )
        self.archive.word = lambda now: now + 1.0
        members = {"n": 1, "voters": {name: name for name in "abc"}, "before": {}}
        self.archive.ballots = Ballots("a", "a", 1, {}, members, 1)
        self.archive.loop = types.SimpleNamespace(time=lambda: self.now)
        self.sent = []
        self.archive.links = types.SimpleNamespace(send=lambda peer, what: self.sent.append((peer, what)))
        self.shelf = self.archive.shelf = Shelf("/d", lambda path: Base(self.disc, path))
        self.shelf.path = "/d/shelf.db"
        assert self.shelf.open().is_ok() and self.shelf.commit([BORN]) is None
        self.disc.refusals = {"flush": self.hang}
        self.shelf.thread = threading.Thread(target=self.work, daemon=True)
        self.shelf.start(lambda done, problem: self.told.put((done, problem)))

    def hang(self):
        self.hangs.set()
        self.go.wait(ANSWER)
        if self.disc.cut_at is not None:
            raise PowerCut  # amid the sync

    def work(self):
        try:
            self.shelf._work()
        except PowerCut:
            pass  # the machine is off

    def promise(self, now):
        self.now = now
        row = (CONFIG, (1, 7, "b", 1), (1, 3, "a", 1), {"n": 1})
        self.archive.carry(Out([row], [("b", PROMISE)], [], {}))
        assert self.hangs.wait(ANSWER)  # else the moment of what follows would be a matter of luck

    def answer(self):
        self.go.set()
        self.shelf.close()
        self.shelf.thread.join(ANSWER)
        while not self.told.empty():
            done, problem = self.told.get()
            done(problem)

    def after_power_cut(self):
        """What a start finds."""
        disc = self.disc.after_power_cut(random.Random(1))
        shelf = Shelf("/d", lambda path: Base(disc, path))
        shelf.path = "/d/shelf.db"
        return shelf.open().ok_value["registers"]

    def end(self):
        self.go.set()
