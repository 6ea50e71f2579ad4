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
safe commit left there, with their checksums (`storage_checksums.py`). All that lies there is checked at each
start (`storage_reader.py`). docs/controller-storage.md tells the form and its bounds.
"""

import contextlib
import os
import queue
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from .content_agreement import StoredDigests
from .row_encoding import row_operations, to_json
from .storage_checksums import ContentSum, StoredChecksums
from .storage_errors import READ_ERRORS, StorageDamagedError, StorageError, is_corruption, means_damage
from .storage_reader import (
    ProposalNumber,
    RegisterState,
    RowsDamagedError,
    StoredState,
    find_file_faults,
    read_database,
    schema_version,
)
from .storage_rows import write_fact, write_parts, write_register, write_totals
from .storage_schema import CREATE_TABLES, DATABASE_FILE, DROP_TABLES, SCHEMA_VERSION
from .value_diff import MISSING, SET, difference

THREAD_NAME = "shelf"
# bytes that the log keeps once its frames are in the database, which is after 1,000 pages of 4 KiB (sqlite's
# own wal_autocheckpoint): without it a large transaction's log stays as large for good
WAL_SIZE_LIMIT = 4 * 2**20
AUTO_VACUUM = "pragma auto_vacuum=full"  # pages that are free leave the file with the commit that freed them

RegisterWrite = tuple[str, ProposalNumber, ProposalNumber, Any]  # register, promised, accepted, value


class WriteRequest(NamedTuple):
    """One transaction that waits for the writer."""

    registers: list[RegisterWrite]
    facts: dict[str, Any]  # by name; None removes one
    done: Callable[[str | None], None]


def sync_folder(folder: Path) -> None:
    """Have the names in a folder outlive a power cut."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def connect_durably(path: str) -> sqlite3.Connection:
    """A database in a folder that outlives a power cut too: each part of its path that is new is synced into
    the folder above.
    """
    folder = Path(path).absolute().parent
    for new_folder in [one for one in (folder, *folder.parents) if not one.exists()][::-1]:
        new_folder.mkdir(exist_ok=True)
        sync_folder(new_folder.parent)
    return sqlite3.connect(path, isolation_level=None, check_same_thread=False)


class Storage:
    """A controller's database and the thread that writes to it."""

    def __init__(self, folder: str, connect: Callable[[str], Any] | None = None) -> None:
        """connect(path) opens the database, sqlite3's own way unless a test gives another."""
        self.connect = connect or connect_durably
        self.folder, self.path = folder, os.path.join(folder, DATABASE_FILE)
        self.write_queue: queue.SimpleQueue[WriteRequest | None] = queue.SimpleQueue()  # None: the last
        self.writer_thread = threading.Thread(target=self.run_writer, daemon=True, name=THREAD_NAME)
        self.database: sqlite3.Connection | None = None
        self.notify: Callable[[Callable, str | None], None] = print
        self.stored_values: dict[str, Any] = {}  # each register's, as the newest safe commit left it
        self.checksums = StoredChecksums({}, {})  # of what the newest safe commit left
        self.digests = StoredDigests()  # of the registers, by the same commits
        self.on_damage: Callable[[str], None] = lambda problem: None  # called in the writer's thread
        self.replaces_damaged = False  # a database was kept aside here, now or at an earlier start

    def open(self) -> Result[StoredState, StorageError]:
        """What lies there, or why it can't be used."""
        database = None
        try:
            database = self.connect(self.path)
            database.execute("pragma locking_mode=exclusive")
            database.execute("pragma synchronous=extra")  # before the log: see above
            version = schema_version(database)
            if version > SCHEMA_VERSION:
                problem = (
                    f"form {version}, and this program knows {SCHEMA_VERSION}: start the program that"
                    " wrote it or, to begin as after a lost disk, move the folder away"
                )
                return Err(StorageError(self.path, problem))
            self.require_log_in_use(database, version)
            database.execute(f"pragma journal_size_limit={WAL_SIZE_LIMIT}")
            database.execute(AUTO_VACUUM)  # takes hold in a database that is made here
            if database.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
                return Err(StorageError(self.path, "no write-ahead log can be kept here"))
            found = self.read(database)
            if version < SCHEMA_VERSION:
                self.upgrade(database, found)
            else:
                self.checksums = found.checksums
            self.enable_auto_vacuum(database)
        except (*READ_ERRORS, OSError) as problem:
            if not means_damage(problem):
                return Err(StorageError(self.path, problem))
            if database is not None:
                with contextlib.suppress(sqlite3.Error):
                    database.close()  # else its files could not be moved
            return Err(StorageDamagedError(self.path, problem))
        self.database = database
        self.stored_values = {name: value for name, (_, _, value) in found.registers.items()}
        self.record_digests(found.registers)
        return Ok(found)

    def record_digests(self, registers: dict[str, RegisterState]) -> None:
        """These registers are safe on disk as `checksums` says."""
        for name, (_, accepted, _) in registers.items():
            self.digests.record(name, tuple(accepted), self.checksums.parts[name].total)

    def require_log_in_use(self, database: Any, version: int) -> None:
        """A database of the newest version was switched to the write-ahead log before its tables were made.
        One that says otherwise has a damaged header, and sqlite would pass over its log.
        """
        if version == SCHEMA_VERSION and database.execute("pragma journal_mode").fetchone()[0] != "wal":
            raise RowsDamagedError("the header names no write-ahead log")

    def read(self, database: Any) -> StoredState:
        """All that lies there, checked. Raises as `read_database` does."""
        faults = find_file_faults(database)
        if faults:
            raise RowsDamagedError(faults[0])
        return read_database(database)

    def enable_auto_vacuum(self, database: Any) -> None:
        """Have a database of an older version, too, give back its free pages; one that can't now does at a
        later start.
        """
        if database.execute("pragma auto_vacuum").fetchone()[0] == 0:
            with contextlib.suppress(sqlite3.Error):
                database.execute("pragma temp_store=memory")
                database.execute(AUTO_VACUUM)
                database.execute("vacuum")

    def upgrade(self, database: Any, found: StoredState) -> None:
        """Make the newest schema of an empty database or an older version, in one transaction."""
        database.execute("begin immediate")
        for statement in (*DROP_TABLES, *CREATE_TABLES):
            database.execute(statement)
        self.checksums = StoredChecksums({}, {})
        self.checksums = self.write_rows(database, found.registers, found.facts)
        write_totals(database, self.checksums)
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
            checksums = self.write_rows(self.database, latest, facts)
            self.database.execute("commit")
        except Exception as problem:  # the disk's, or a value's that can't be written: the thread goes on
            with contextlib.suppress(sqlite3.Error):  # the next transaction tells whether the disk is back
                if self.database.in_transaction:
                    self.database.execute("rollback")
            if is_corruption(problem):
                self.on_damage(str(problem))
            return f"{type(problem).__name__}: {problem}"
        self.checksums = checksums
        self.record_digests(latest)
        self.stored_values.update({name: value for name, (_, _, value) in latest.items()})
        return None

    def write_rows(
        self, database: Any, registers: dict[str, RegisterState], facts: dict[str, Any]
    ) -> StoredChecksums:
        """Within a transaction: the rows in which this differs from what is stored. Returns the checksums of
        what is stored once it is committed.
        """
        checksums = self.checksums.copy()
        for name, (promised, accepted, value) in registers.items():
            old = self.stored_values.get(name, MISSING)
            change = {SET: value} if old is MISSING else difference(old, value)
            stored = checksums.parts.get(name, ContentSum())
            parts = write_parts(database, name, row_operations(change, old, value), stored)
            numbers = to_json(promised), to_json(accepted)
            write_register(database, name, numbers, parts)
            checksums.parts[name] = parts
        for name, value in facts.items():
            write_fact(database, name, value, checksums.facts)
        if facts or checksums.parts.keys() != self.checksums.parts.keys():
            write_totals(database, checksums)
        return checksums
