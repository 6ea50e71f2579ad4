"""What the archive keeps on disk: one sqlite file, one writer thread, one place that knows what "safe on
disk" is.

Write-ahead mode: a commit returns once the log is synced, and each frame of the log has a checksum, so a torn
end is an end. locking_mode=EXCLUSIVE, since the index of the log would else lie in shared memory, which these
machines don't have. synchronous=EXTRA, and before the switch to the write-ahead log: the switch itself is a
transaction with a rollback journal, and with FULL the removal of that journal may not last; the next start
after a power cut then rolls the switch back and takes no look at the log, with all that was acknowledged in
it.
"""

import json
import os
import queue
import sqlite3
import threading
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

NAME = "shelf.db"
FORM = 1  # the form of the tables; a later one is not opened


class Shelf:
    def __init__(self, folder: str, connect: Callable[[str], Any] | None = None) -> None:
        """connect(path) opens the base, sqlite3's own way unless a test gives another."""
        self.connect = connect or (
            lambda path: sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        )
        self.path = os.path.join(folder, NAME)
        self.inbox: queue.SimpleQueue = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._work, daemon=True, name="shelf")
        self.base: sqlite3.Connection | None = None
        self.tell: Callable = print

    def open(self) -> Result[dict, str]:
        """What lies there: {"facts": ..., "registers": {name: (promised, accepted, value)}}."""
        try:
            os.makedirs(os.path.dirname(self.path), exist_ok=True)
            base = self.ready()
            form = base.execute("pragma user_version").fetchone()[0]
            if form not in (0, FORM):
                return Err(f"{self.path}: form {form}, and this program knows {FORM}")
            base.execute("begin immediate")
            base.execute("create table if not exists facts (name text primary key, value text not null)")
            base.execute(
                "create table if not exists registers (name text primary key, promised text not null,"
                " accepted text not null, value text not null)"
            )
            base.execute(f"pragma user_version={FORM}")
            base.execute("commit")
            facts = {name: json.loads(value) for name, value in base.execute("select name, value from facts")}
            registers = {
                name: (tuple(json.loads(promised)), tuple(json.loads(accepted)), json.loads(value))
                for name, promised, accepted, value in base.execute("select * from registers")
            }
        except (sqlite3.Error, OSError, ValueError) as problem:
            return Err(f"{self.path}: {problem}")
        self.base = base
        return Ok({"facts": facts, "registers": registers})

    def ready(self) -> Any:
        """An open base in the modes that "safe on disk" rests on."""
        base = self.connect(self.path)
        base.execute("pragma locking_mode=exclusive")
        base.execute("pragma synchronous=extra")  # before the log: see above
        if base.execute("pragma journal_mode=wal").fetchone()[0] != "wal":
            raise sqlite3.OperationalError("no write-ahead log can be kept here")
        return base

    def start(self, tell: Callable[[Callable, Any], None]) -> None:
        """Begin writing; tell(call, problem or None) is called in the writer's thread after each write."""
        self.tell = tell
        self.thread.start()

    def write(self, registers: list, facts: dict, done: Callable[[Any], None]) -> None:
        """Queue one transaction; done(None) is told once it is safe on disk, done(problem) if it is not."""
        self.inbox.put((registers, facts, done))

    def close(self) -> None:
        self.inbox.put(None)

    def _work(self) -> None:
        while True:
            batch = [self.inbox.get()]
            while not self.inbox.empty():
                batch.append(self.inbox.get())
            leaving = None in batch
            batch = [item for item in batch if item is not None]
            problem = self.commit(batch) if batch else None
            for _, _, done in batch:
                self.tell(done, problem)
            if leaving:
                self.base.close()
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
            base = self.base
            base.execute("begin immediate")
            for name, (promised, accepted, value) in latest.items():
                base.execute(
                    "insert or replace into registers values (?, ?, ?, ?)",
                    (name, json.dumps(promised), json.dumps(accepted), json.dumps(value)),
                )
            for name, value in facts.items():
                base.execute("insert or replace into facts values (?, ?)", (name, json.dumps(value)))
            base.execute("commit")
        except sqlite3.Error as problem:
            try:
                if self.base.in_transaction:
                    self.base.execute("rollback")
            except sqlite3.Error:
                pass  # the next transaction tells whether the disk is back
            return str(problem)
        return None
