"""What a controller keeps on disk: one sqlite file, one writer thread, one place that knows what "safe on
disk" is.

Invariant: what was reported as written outlives a power cut at any moment, and a start finds exactly one
state that was written. Write-ahead mode: a commit returns once the log is synced, and each frame of the log
has a checksum, so a torn end is an end. locking_mode=EXCLUSIVE, since the index of the log would else lie in
shared memory, which these machines don't have. synchronous=EXTRA, and before the switch to the write-ahead
log: the switch itself is a transaction with a rollback journal, and with FULL the removal of that journal may
not last; the next start after a power cut then rolls the switch back and takes no look at the log, with all
that was acknowledged in it.

A register's value lies as rows (`row_encoding.py`), and a commit writes those that differ from what the last
safe commit left there. docs/controller-storage.md tells the form and its bounds.
"""

import contextlib
import json
import os
import queue
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from result import Err, Ok, Result

from .row_encoding import DELETE, PUT, RowOperation, decode_rows, descendant_range, row_operations, to_json
from .value_diff import SET, difference

DATABASE_FILE = "shelf.db"
THREAD_NAME = "shelf"
SCHEMA_VERSION = 2  # the form of the tables; a later one is not opened
SCHEMA_VERSION_1 = 1  # a register was one row with its whole value; proposal numbers had no epoch
# bytes that the log keeps once its frames are in the database, which is after 1,000 pages of 4 KiB (sqlite's
# own wal_autocheckpoint): without it a large transaction's log stays as large for good
WAL_SIZE_LIMIT = 4 * 2**20
AUTO_VACUUM = "pragma auto_vacuum=full"  # pages that are free leave the file with the commit that freed them
CREATE_TABLES = (
    "create table if not exists facts (name text primary key, value text not null)",
    "create table registers (name text primary key, promised text not null, accepted text not null)",
    # in the order of id a value is put together
    "create table parts (id integer primary key, register text not null, path text not null,"
    " value text not null, unique (register, path))",
)
PUT_REGISTER = (
    "insert into registers values (?, ?, ?) on conflict (name) do update"
    " set promised = excluded.promised, accepted = excluded.accepted"
)
PUT_PART = (
    "insert into parts (register, path, value) values (?, ?, ?)"
    " on conflict (register, path) do update set value = excluded.value"
)
DELETE_PARTS_BELOW = "delete from parts where register = ? and path > ? and path < ?"
DELETE_PART = "delete from parts where register = ? and path = ?"
PUT_FACT = "insert into facts values (?, ?) on conflict (name) do update set value = excluded.value"
DELETE_FACT = "delete from facts where name = ?"

ProposalNumber = tuple  # as `consensus` has it; that package is not loaded for commands that only read
RegisterState = tuple[ProposalNumber, ProposalNumber, Any]  # promised, accepted, value
RegisterWrite = tuple[str, ProposalNumber, ProposalNumber, Any]  # register, promised, accepted, value


class StoredState(TypedDict):
    """All that lies in a database."""

    facts: dict[str, Any]
    registers: dict[str, RegisterState]


class WriteRequest(NamedTuple):
    """One transaction that waits for the writer."""

    registers: list[RegisterWrite]
    facts: dict[str, Any]  # by name; None removes one
    done: Callable[[str | None], None]


def connect_durably(path: str) -> sqlite3.Connection:
    """A database in a folder that outlives a power cut too: each part of its path that is new is synced into
    the folder above.
    """
    folder = Path(path).absolute().parent
    for new_folder in [one for one in (folder, *folder.parents) if not one.exists()][::-1]:
        new_folder.mkdir(exist_ok=True)
        descriptor = os.open(new_folder.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    return sqlite3.connect(path, isolation_level=None, check_same_thread=False)


def to_tuples(value: Any) -> Any:
    """A proposal number as it is compared: JSON knows lists only."""
    return tuple(map(to_tuples, value)) if isinstance(value, list) else value


def add_epoch(number: ProposalNumber) -> ProposalNumber:
    """A proposal number of schema version 1 as one of the first epoch; one that nobody cast (counter 0) is
    of none.
    """
    return (1 if number[0] else 0, *number)


def read_database(database: Any) -> StoredState:
    """What lies there, in any schema version up to SCHEMA_VERSION.

    Raises ValueError where rows don't fit together, sqlite3.Error where the file can't be read.
    """
    version = database.execute("pragma user_version").fetchone()[0]
    if version == 0:
        return {"facts": {}, "registers": {}}
    facts = {name: json.loads(value) for name, value in database.execute("select name, value from facts")}
    registers = read_registers_1(database) if version == SCHEMA_VERSION_1 else read_registers(database)
    return {"facts": facts, "registers": registers}


def read_registers(database: Any) -> dict[str, RegisterState]:
    """The registers of schema version 2."""
    registers = {}
    for name, *numbers in database.execute("select name, promised, accepted from registers"):
        promised, accepted = (to_tuples(json.loads(number)) for number in numbers)
        parts = database.execute("select path, value from parts where register = ? order by id", (name,))
        registers[name] = (promised, accepted, decode_rows(parts))
    return registers


def read_registers_1(database: Any) -> dict[str, RegisterState]:
    """The registers of schema version 1, their proposal numbers as of the first epoch."""
    registers = {}
    for name, *numbers, value in database.execute("select name, promised, accepted, value from registers"):
        promised, accepted = (add_epoch(to_tuples(json.loads(number))) for number in numbers)
        registers[name] = (promised, accepted, json.loads(value))
    return registers


class Storage:
    """A controller's database and the thread that writes to it."""

    def __init__(self, folder: str, connect: Callable[[str], Any] | None = None) -> None:
        """connect(path) opens the database, sqlite3's own way unless a test gives another."""
        self.connect = connect or connect_durably
        self.path = os.path.join(folder, DATABASE_FILE)
        self.write_queue: queue.SimpleQueue[WriteRequest | None] = queue.SimpleQueue()  # None: the last
        self.writer_thread = threading.Thread(target=self.run_writer, daemon=True, name=THREAD_NAME)
        self.database: sqlite3.Connection | None = None
        self.notify: Callable[[Callable, str | None], None] = print
        self.stored_values: dict[str, Any] = {}  # each register's, as the newest safe commit left it

    def open(self) -> Result[StoredState, str]:
        """What lies there, or a line that says why it can't be used."""
        try:
            database = self.connect(self.path)
            database.execute("pragma locking_mode=exclusive")
            database.execute("pragma synchronous=extra")  # before the log: see above
            version = database.execute("pragma user_version").fetchone()[0]
            if version > SCHEMA_VERSION:
                return Err(f"{self.path}: form {version}, and this program knows {SCHEMA_VERSION}")
            database.execute(f"pragma journal_size_limit={WAL_SIZE_LIMIT}")
            database.execute(AUTO_VACUUM)  # takes hold in a database that is made here
            if database.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
                return Err(f"{self.path}: no write-ahead log can be kept here")
            found = read_database(database)
            if version < SCHEMA_VERSION:
                self.upgrade(database, version, found["registers"])
            self.enable_auto_vacuum(database)
        except (sqlite3.Error, OSError, ValueError) as problem:
            return Err(f"{self.path}: {problem}")
        self.database = database
        self.stored_values = {name: value for name, (_, _, value) in found["registers"].items()}
        return Ok(found)

    def enable_auto_vacuum(self, database: Any) -> None:
        """Have a database of an older version, too, give back its free pages; one that can't now does at a
        later start.
        """
        if database.execute("pragma auto_vacuum").fetchone()[0] == 0:
            with contextlib.suppress(sqlite3.Error):
                database.execute("pragma temp_store=memory")
                database.execute(AUTO_VACUUM)
                database.execute("vacuum")

    def upgrade(self, database: Any, version: int, registers: dict[str, RegisterState]) -> None:
        """Make the newest schema of an empty database or an older version, in one transaction."""
        database.execute("begin immediate")
        if version == SCHEMA_VERSION_1:
            database.execute("drop table registers")
        for statement in CREATE_TABLES:
            database.execute(statement)
        self.write_rows(database, registers, {})
        database.execute(f"pragma user_version={SCHEMA_VERSION}")
        database.execute("commit")

    def start(self, notify: Callable[[Callable, str | None], None]) -> None:
        """Begin writing; notify(done, problem or None) is called in the writer's thread after each write."""
        self.notify = notify
        self.writer_thread.start()

    def write(
        self, registers: list[RegisterWrite], facts: dict[str, Any], done: Callable[[str | None], None]
    ) -> None:
        """Queue one transaction; done(None) is called once it is safe on disk, done(problem) if it is not.

        A fact whose value is None is removed. Values must not be changed in place, then or later.
        """
        self.write_queue.put(WriteRequest(registers, facts, done))

    def close(self) -> None:
        """Have the writer end once all that was queued is written; it closes the database."""
        self.write_queue.put(None)

    def run_writer(self) -> None:
        """The writer's thread: all that waits goes into one transaction."""
        while True:
            queued = [self.write_queue.get()]
            while not self.write_queue.empty():
                queued.append(self.write_queue.get())
            requests = [request for request in queued if request is not None]
            problem = self.commit(requests) if requests else None
            for request in requests:
                self.notify(request.done, problem)
            if None in queued:
                self.database.close()
                return

    def commit(self, requests: list[WriteRequest]) -> str | None:
        """All requests in one transaction, as one sync serves all that wait; the problem, None for none."""
        latest: dict[str, RegisterState] = {}
        facts: dict[str, Any] = {}
        for registers, some_facts, _ in requests:
            latest.update(
                {name: (promised, accepted, value) for name, promised, accepted, value in registers}
            )
            facts.update(some_facts)
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

    def write_rows(self, database: Any, registers: dict[str, RegisterState], facts: dict[str, Any]) -> None:
        """Within a transaction: the rows in which this differs from what is stored."""
        for name, (promised, accepted, value) in registers.items():
            database.execute(PUT_REGISTER, (name, to_json(promised), to_json(accepted)))
            known = name in self.stored_values
            change = difference(self.stored_values[name], value) if known else {SET: value}
            for operation in row_operations(change, value):
                apply_operation(database, name, operation)
        for name, value in facts.items():
            if value is None:
                database.execute(DELETE_FACT, (name,))
            else:
                database.execute(PUT_FACT, (name, to_json(value)))


def apply_operation(database: Any, register: str, operation: RowOperation) -> None:
    """Within a transaction: one operation on a register's rows."""
    if operation.kind == PUT:
        database.execute(PUT_PART, (register, operation.path, operation.text))
        return
    database.execute(DELETE_PARTS_BELOW, (register, *descendant_range(operation.path)))
    if operation.kind == DELETE:
        database.execute(DELETE_PART, (register, operation.path))
