"""The storage of a controller: one SQLite database in its data folder, and one thread that writes to it.

Invariant: content that was reported as durable survives a power cut at any moment, and a start finds exactly
one state that was committed. The following settings of SQLite are needed for it:

- Write-ahead mode: a commit returns after the log is synced. Each frame of the log has a checksum, so SQLite
  reads the log up to the first torn frame.
- locking_mode=EXCLUSIVE: SQLite would otherwise keep the index of the log in shared memory, which the
  machines of the controllers do not have.
- synchronous=EXTRA, set before the switch to write-ahead mode: the switch itself is a transaction with a
  rollback journal. With FULL, the removal of that journal may be lost in a power cut. The next start would
  then roll the switch back and ignore the log, and with it everything that was acknowledged.

The database holds registers and facts. A register holds a value that the controllers agree on by consensus,
and the proposal numbers that this controller has promised and accepted for it. A fact is a named JSON value
that belongs to this controller alone.

The value of a register is stored as rows (`row_encoding.py`). A commit writes the rows that differ from those
of the last durable commit, and their checksums (`storage_checksums.py`). Each start verifies the whole
content (`storage_reader.py`). docs/controller-storage.md describes the schema and its limits.
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

from .content_comparison import StoredDigests
from .row_encoding import row_operations, to_json
from .storage_checksums import RowSetSum, StoredChecksums
from .storage_errors import (
    READ_ERRORS,
    StorageDamagedError,
    StorageError,
    is_damage_on_read,
    is_damage_on_write,
)
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

WRITER_THREAD_NAME = "shelf"
# Bytes to which SQLite truncates the log after a checkpoint. A checkpoint takes place when the log holds
# 1,000 pages of 4 KiB, the default of wal_autocheckpoint. Without this limit, the log would keep the size
# that it had after the largest transaction.
WAL_SIZE_LIMIT = 4 * 2**20
# A commit that frees pages returns them to the file system.
AUTO_VACUUM = "pragma auto_vacuum=full"

RegisterWrite = tuple[str, ProposalNumber, ProposalNumber, Any]  # register, promised, accepted, value


class WriteRequest(NamedTuple):
    """Writes that the writer thread has yet to commit together.

    facts: the values by name, None for a fact to delete. on_finished: called with None once the writes are
    durable, and with the problem if they failed.
    """

    registers: list[RegisterWrite]
    facts: dict[str, Any]
    on_finished: Callable[[str | None], None]


def sync_folder(folder: Path) -> None:
    """Makes the names of the files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def connect_durably(path: str) -> sqlite3.Connection:
    """Creates the missing folders of `path`, and returns an open database at `path`.

    The name of each new folder is synced, so that the folder survives a power cut as the database does.
    """
    folder = Path(path).absolute().parent
    for new_folder in [parent for parent in (folder, *folder.parents) if not parent.exists()][::-1]:
        new_folder.mkdir(exist_ok=True)
        sync_folder(new_folder.parent)
    return sqlite3.connect(path, isolation_level=None, check_same_thread=False)


class Storage:
    """A controller's database and the thread that writes to it.

    notify: see `start`. stored_values: the value of each register in the last durable commit. checksums: the
    checksums of all rows in the last durable commit. digests: the digests of the registers in the last
    durable commits. on_damage: called in the writer thread with the problem when a write finds the file
    damaged. has_quarantined_database: whether a damaged database was quarantined in this folder, at this
    start or at an earlier one.
    """

    def __init__(self, folder: str, connect: Callable[[str], Any] | None = None) -> None:
        """connect(path) opens the database. The default uses `sqlite3`; tests pass other functions."""
        self.connect = connect or connect_durably
        self.folder, self.path = folder, os.path.join(folder, DATABASE_FILE)
        self.write_queue: queue.SimpleQueue[WriteRequest | None] = queue.SimpleQueue()  # None ends the thread
        self.writer_thread = threading.Thread(target=self.run_writer, daemon=True, name=WRITER_THREAD_NAME)
        self.database: sqlite3.Connection | None = None
        self.notify: Callable[[Callable, str | None], None] = print
        self.stored_values: dict[str, Any] = {}
        self.checksums = StoredChecksums({}, {})
        self.digests = StoredDigests()
        self.on_damage: Callable[[str], None] = lambda problem: None
        self.has_quarantined_database = False

    def open(self) -> Result[StoredState, StorageError]:
        """Opens the database, upgrades an older schema version, and returns the stored content.

        Returns a StorageDamagedError where the content differs from what was written, and a StorageError
        where the database cannot be used for another reason.
        """
        database = None
        try:
            database = self.connect(self.path)
            database.execute("pragma locking_mode=exclusive")
            # Must precede the switch to write-ahead mode; see the module docstring.
            database.execute("pragma synchronous=extra")
            version = schema_version(database)
            if version > SCHEMA_VERSION:
                problem = (
                    f"schema version {version} is newer than {SCHEMA_VERSION}, the newest that this program"
                    " supports: start the program that wrote the database, or move the data folder away to"
                    " continue as after the loss of a disk"
                )
                return Err(StorageError(self.path, problem))
            self.require_write_ahead_log(database, version)
            database.execute(f"pragma journal_size_limit={WAL_SIZE_LIMIT}")
            database.execute(AUTO_VACUUM)  # has an effect only in a database without tables
            if database.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
                return Err(StorageError(self.path, "SQLite cannot keep a write-ahead log in this folder"))
            stored_state = self.check_and_read(database)
            if version < SCHEMA_VERSION:
                self.upgrade(database, stored_state)
            else:
                self.checksums = stored_state.checksums
            self.enable_auto_vacuum(database)
        except (*READ_ERRORS, OSError) as error:
            if not is_damage_on_read(error):
                return Err(StorageError(self.path, error))
            if database is not None:
                with contextlib.suppress(sqlite3.Error):
                    database.close()  # so that the caller can move the files of the database
            return Err(StorageDamagedError(self.path, error))
        self.database = database
        self.stored_values = {name: value for name, (_, _, value) in stored_state.registers.items()}
        self.record_digests(stored_state.registers)
        return Ok(stored_state)

    def record_digests(self, registers: dict[str, RegisterState]) -> None:
        """Records the digests of durable registers. Their sums are already in `checksums`."""
        for name, (_, accepted, _) in registers.items():
            self.digests.record(name, tuple(accepted), self.checksums.part_sums[name].checksum_sum)

    def require_write_ahead_log(self, database: Any, version: int) -> None:
        """Raises RowsDamagedError where a database of the newest schema version is not in write-ahead mode.

        The mode is set before the tables are created, so in any other mode the header of the file is damaged.
        SQLite would then ignore the log.
        """
        if version == SCHEMA_VERSION and database.execute("pragma journal_mode").fetchone()[0] != "wal":
            raise RowsDamagedError("the header of the database does not name a write-ahead log")

    def check_and_read(self, database: Any) -> StoredState:
        """Returns the content of an open database.

        Raises RowsDamagedError where SQLite finds a fault in the file. Raises the errors of `read_database`.
        """
        faults = find_file_faults(database)
        if faults:
            raise RowsDamagedError(faults[0])
        return read_database(database)

    def enable_auto_vacuum(self, database: Any) -> None:
        """Switches a database that an older program created to auto vacuum.

        If the switch fails, for example because the disk is full, a later start tries it again.
        """
        if database.execute("pragma auto_vacuum").fetchone()[0] == 0:
            with contextlib.suppress(sqlite3.Error):
                database.execute("pragma temp_store=memory")
                database.execute(AUTO_VACUUM)
                database.execute("vacuum")

    def upgrade(self, database: Any, stored_state: StoredState) -> None:
        """Creates the tables of the newest schema version and stores the content there, in one transaction.

        The database is empty or has an older schema version.
        """
        database.execute("begin immediate")
        for statement in (*DROP_TABLES, *CREATE_TABLES):
            database.execute(statement)
        self.checksums = StoredChecksums({}, {})
        self.checksums = self.write_rows(database, stored_state.registers, stored_state.facts)
        write_totals(database, self.checksums)
        database.execute(f"pragma user_version={SCHEMA_VERSION}")
        database.execute("commit")

    def start(self, notify: Callable[[Callable, str | None], None]) -> None:
        """Starts the writer thread.

        After each write, the writer thread calls notify(on_finished, problem), where on_finished is the
        callback that was given to `write` and problem is None for success. notify has to run the callback.
        """
        self.notify = notify
        self.writer_thread.start()

    def write(
        self, registers: list[RegisterWrite], facts: dict[str, Any], on_finished: Callable[[str | None], None]
    ) -> None:
        """Queues writes that are committed in one transaction.

        on_finished(None) is called once they are durable, on_finished(problem) if they failed. A fact whose
        value is None is deleted. The caller must never change the values in place, because later writes are
        compared with them.
        """
        self.write_queue.put(WriteRequest(registers, facts, on_finished))

    def close(self) -> None:
        """Ends the writer thread after it has committed all queued writes and closed the database."""
        self.write_queue.put(None)

    def run_writer(self) -> None:
        """Commits queued writes until `close` is called; runs in the writer thread.

        All requests that are queued at the same time are committed in one transaction.
        """
        while True:
            queued = [self.write_queue.get()]
            while not self.write_queue.empty():
                queued.append(self.write_queue.get())
            requests = [request for request in queued if request is not None]
            problem = self.commit(requests) if requests else None
            for request in requests:
                self.notify(request.on_finished, problem)
            if None in queued:
                self.database.close()
                return

    def commit(self, requests: list[WriteRequest]) -> str | None:
        """Commits all requests in one transaction, so that one sync serves all of them.

        Returns None once they are durable. If the transaction fails, it is rolled back, and the problem is
        returned.
        """
        latest_states: dict[str, RegisterState] = {}
        facts: dict[str, Any] = {}
        for registers, request_facts, _ in requests:
            latest_states.update(
                {name: (promised, accepted, value) for name, promised, accepted, value in registers}
            )
            facts.update(request_facts)
        try:
            self.database.execute("begin immediate")
            checksums = self.write_rows(self.database, latest_states, facts)
            self.database.execute("commit")
        # The disk can fail, and JSON may not be able to represent a value. The writer thread survives both.
        except Exception as error:
            # A failed rollback is ignored: the next transaction shows whether the disk works again.
            with contextlib.suppress(sqlite3.Error):
                if self.database.in_transaction:
                    self.database.execute("rollback")
            if is_damage_on_write(error):
                self.on_damage(str(error))
            return f"{type(error).__name__}: {error}"
        self.checksums = checksums
        self.record_digests(latest_states)
        self.stored_values.update({name: value for name, (_, _, value) in latest_states.items()})
        return None

    def write_rows(
        self, database: Any, registers: dict[str, RegisterState], facts: dict[str, Any]
    ) -> StoredChecksums:
        """Writes the rows that differ from the stored ones. The caller has begun the transaction.

        Returns the checksums of all rows as they are once the transaction is committed.
        """
        checksums = self.checksums.copy()
        for name, (promised, accepted, value) in registers.items():
            old = self.stored_values.get(name, MISSING)
            change = {SET: value} if old is MISSING else difference(old, value)
            old_sum = checksums.part_sums.get(name, RowSetSum())
            part_sum = write_parts(database, name, row_operations(change, old, value), old_sum)
            proposal_numbers = to_json(promised), to_json(accepted)
            write_register(database, name, proposal_numbers, part_sum)
            checksums.part_sums[name] = part_sum
        for name, value in facts.items():
            write_fact(database, name, value, checksums.fact_checksums)
        if facts or checksums.part_sums.keys() != self.checksums.part_sums.keys():
            write_totals(database, checksums)
        return checksums
