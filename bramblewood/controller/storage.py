"""What the archive keeps on disk: one sqlite file, one writer thread, one place that knows what "safe on
disk" is.

Write-ahead mode: a commit returns once the log is synced, and each frame of the log has a checksum, so a torn
end is an end. locking_mode=EXCLUSIVE, since the index of the log would else lie in shared memory, which these
machines don't have. synchronous=EXTRA, and before the switch to the write-ahead log: the switch itself is a
transaction with a rollback journal, and with FULL the removal of that journal may not last; the next start
after a power cut then rolls the switch back and takes no look at the log, with all that was acknowledged in
it.

A register's value lies as rows (`rows.py`), and a commit writes those that differ from what the last one that
was safe on disk left there. docs/shelf.md tells the form and its bounds.
"""

import contextlib
import json
import os
import queue
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from .row_encoding import GONE, PUT, span, steps, text, value_of
from .value_diff import SET, difference

DATABASE_FILE = "shelf.db"
SCHEMA_VERSION = 2  # the form of the tables; a later one is not opened
FORM_1 = 1  # a register was one row with its whole value; ballots had no epoch
# bytes that the log keeps once its frames are in the base, which is after 1,000 pages of 4 KiB (sqlite's own
# wal_autocheckpoint): without it a large transaction's log stays as large for good
LOG_KEPT = 4 * 2**20
GIVE_BACK = "pragma auto_vacuum=full"  # pages that are free leave the file with the commit that freed them
TABLES = (
    "create table if not exists facts (name text primary key, value text not null)",
    "create table registers (name text primary key, promised text not null, accepted text not null)",
    # in the order of id a value is put together
    "create table parts (id integer primary key, register text not null, path text not null,"
    " value text not null, unique (register, path))",
)


def opened(path: str) -> sqlite3.Connection:
    """A base in a folder that outlives a power cut too: each part of it that is new is synced into the one
    above.
    """
    folder = Path(path).absolute().parent
    for above in [one for one in (folder, *folder.parents) if not one.exists()][::-1]:
        above.mkdir(exist_ok=True)
        port = os.open(above.parent, os.O_RDONLY)
        try:
            os.fsync(port)
        finally:
            os.close(port)
    return sqlite3.connect(path, isolation_level=None, check_same_thread=False)


def tuples(value: Any) -> Any:
    """A ballot as it is compared: JSON knows lists only."""
    return tuple(map(tuples, value)) if isinstance(value, list) else value


def with_epoch(proposal_number: tuple) -> tuple:
    """A ballot of form 1 as one of the first epoch; one that nobody cast (counter 0) is of none."""
    return (1 if proposal_number[0] else 0, *proposal_number)


def read_database(base: Any) -> dict:
    """What lies there, in whichever form up to FORM: {"facts": {name: value}, "registers": {name: (promised,
    accepted, value)}}. Raises ValueError where rows don't fit together.
    """
    form = base.execute("pragma user_version").fetchone()[0]
    if form == 0:
        return {"facts": {}, "registers": {}}
    facts = {name: json.loads(value) for name, value in base.execute("select name, value from facts")}
    registers = {}
    whole = "value" if form == FORM_1 else "null"
    for name, *consensus, value in base.execute(f"select name, promised, accepted, {whole} from registers"):
        promised, accepted = (tuples(json.loads(proposal_number)) for proposal_number in consensus)
        if form == FORM_1:
            registers[name] = (with_epoch(promised), with_epoch(accepted), json.loads(value))
        else:
            parts = base.execute("select path, value from parts where register = ? order by id", (name,))
            registers[name] = (promised, accepted, value_of(parts))
    return {"facts": facts, "registers": registers}


class Storage:
    def __init__(self, folder: str, connect: Callable[[str], Any] | None = None) -> None:
        """connect(path) opens the base, sqlite3's own way unless a test gives another."""
        self.connect = connect or opened
        self.path = os.path.join(folder, DATABASE_FILE)
        self.write_queue: queue.SimpleQueue = queue.SimpleQueue()
        self.writer_thread = threading.Thread(target=self.run_writer, daemon=True, name="shelf")
        self.database: sqlite3.Connection | None = None
        self.notify: Callable = print
        self.stored_values: dict[str, Any] = {}  # each register's value as the newest safe commit left it

    def open(self) -> Result[dict, str]:
        """What lies there: {"facts": ..., "registers": {name: (promised, accepted, value)}}."""
        try:
            base = self.connect(self.path)
            base.execute("pragma locking_mode=exclusive")
            base.execute("pragma synchronous=extra")  # before the log: see above
            form = base.execute("pragma user_version").fetchone()[0]
            if form > SCHEMA_VERSION:
                return Err(f"{self.path}: form {form}, and this program knows {SCHEMA_VERSION}")
            base.execute(f"pragma journal_size_limit={LOG_KEPT}")
            base.execute(GIVE_BACK)  # takes hold in a base that is made here
            if base.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
                return Err(f"{self.path}: no write-ahead log can be kept here")
            found = read_database(base)
            if form < SCHEMA_VERSION:
                self.upgrade(base, form, found["registers"])
            self.enable_auto_vacuum(base)
        except (sqlite3.Error, OSError, ValueError) as problem:
            return Err(f"{self.path}: {problem}")
        self.database = base
        self.stored_values = {name: value for name, (_, _, value) in found["registers"].items()}
        return Ok(found)

    def enable_auto_vacuum(self, base: Any) -> None:
        """Have a base of an older form, too, give back its free pages; one that can't now does at a later
        start.
        """
        if base.execute("pragma auto_vacuum").fetchone()[0] == 0:
            with contextlib.suppress(sqlite3.Error):
                base.execute("pragma temp_store=memory")
                base.execute(GIVE_BACK)
                base.execute("vacuum")

    def upgrade(self, base: Any, form: int, registers: dict[str, tuple]) -> None:
        """Make the newest form of an empty base or an older form, in one transaction."""
        base.execute("begin immediate")
        if form == FORM_1:
            base.execute("drop table registers")
        for table in TABLES:
            base.execute(table)
        self.write_rows(base, registers, {})
        base.execute(f"pragma user_version={SCHEMA_VERSION}")
        base.execute("commit")

    def start(self, tell: Callable[[Callable, Any], None]) -> None:
        """Begin writing; tell(call, problem or None) is called in the writer's thread after each write."""
        self.notify = tell
        self.writer_thread.start()

    def write(self, registers: list, facts: dict, done: Callable[[Any], None]) -> None:
        """Queue one transaction; done(None) is told once it is safe on disk, done(problem) if it is not.

        A fact whose value is None is removed. Values must not be changed in place, then or later.
        """
        self.write_queue.put((registers, facts, done))

    def close(self) -> None:
        self.write_queue.put(None)

    def run_writer(self) -> None:
        while True:
            batch = [self.write_queue.get()]
            while not self.write_queue.empty():
                batch.append(self.write_queue.get())
            leaving = None in batch
            batch = [item for item in batch if item is not None]
            problem = self.commit(batch) if batch else None
            for _, _, done in batch:
                self.notify(done, problem)
            if leaving:
                self.database.close()
                return

    def commit(self, batch: list) -> str | None:
        """All of a batch in one transaction: one sync serves all that wait."""
        latest: dict[str, tuple] = {}
        facts: dict[str, Any] = {}
        for registers, some, _ in batch:
            latest.update(
                {name: (promised, accepted, value) for name, promised, accepted, value in registers}
            )
            facts.update(some)
        try:
            self.database.execute("begin immediate")
            self.write_rows(self.database, latest, facts)
            self.database.execute("commit")
        except Exception as problem:  # the disk's, or a value's that can't be written: the thread goes on
            with contextlib.suppress(sqlite3.Error):  # the next transaction tells whether the disk is back
                if self.database.in_transaction:
                    self.database.execute("rollback")
            return f"{type(problem).__name__}: {problem}"
        self.stored_values.update({name: value for name, (_, _, value) in latest.items()})
        return None

    def write_rows(self, base: Any, registers: dict[str, tuple], facts: dict[str, Any]) -> None:
        """Within a transaction: the rows in which this differs from what is stored."""
        for name, (promised, accepted, value) in registers.items():
            base.execute(
                "insert into registers values (?, ?, ?) on conflict (name) do update"
                " set promised = excluded.promised, accepted = excluded.accepted",
                (name, text(promised), text(accepted)),
            )
            change = (
                difference(self.stored_values[name], value) if name in self.stored_values else {SET: value}
            )
            for kind, path, part in steps(change, value):
                if kind == PUT:
                    base.execute(
                        "insert into parts (register, path, value) values (?, ?, ?)"
                        " on conflict (register, path) do update set value = excluded.value",
                        (name, path, part),
                    )
                    continue
                base.execute(
                    "delete from parts where register = ? and path > ? and path < ?", (name, *span(path))
                )
                if kind == GONE:
                    base.execute("delete from parts where register = ? and path = ?", (name, path))
        for name, value in facts.items():
            if value is None:
                base.execute("delete from facts where name = ?", (name,))
            else:
                base.execute(
                    "insert into facts values (?, ?) on conflict (name) do update set value = excluded.value",
                    (name, text(value)),
                )
