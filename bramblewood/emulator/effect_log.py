"""The ledger behind a service's stand-ins: every effect is a line with its ids, kept over any worker's end.

One sqlite file a service, shared by its workers. The value of a record is the sum of its lines: cuotas
paid, altas entered, seats out. Lines of different attempts are never folded, so that the audit sees what
ran twice.
"""

import sqlite3
import time
from typing import NamedTuple

BUSY = 5.0  # s that a write waits for another worker's


class Line(NamedTuple):
    """One effect: the client's order, the attempt that brought it, the record, what it added, where and
    when.
    """

    order: str
    attempt: str
    key: int
    kind: str
    added: int
    worker: str
    at: float


class Ledger:
    def __init__(self, path: str) -> None:
        self.base = sqlite3.connect(path, isolation_level=None, timeout=BUSY, check_same_thread=False)
        self.base.execute("pragma journal_mode=wal")
        self.base.execute("pragma synchronous=off")  # workers are killed here, the machine is not
        self.base.execute(
            "create table if not exists lines (client_order text, attempt text, key integer, kind text,"
            " added integer, worker text, at real)"
        )
        self.base.execute("create index if not exists by_key on lines (key)")
        self.sums: dict[int, int] = {}

    def value(self, key: int) -> tuple[int, int]:
        """How many lines a record has, and what they add up to."""
        found = self.base.execute("select count(*), sum(added) from lines where key = ?", (key,)).fetchone()
        return found[0], found[1] or 0

    def enter(
        self, order: str, attempt: str, key: int, kind: str, added: int, worker: str
    ) -> tuple[int, int]:
        """Write one effect; the record's value with it."""
        base = self.base
        base.execute("begin immediate")
        base.execute(
            "insert into lines values (?, ?, ?, ?, ?, ?, ?)",
            (order, attempt, key, kind, added, worker, time.monotonic()),
        )
        value = self.value(key)
        base.execute("commit")
        return value

    def lines(self) -> list[Line]:
        return [Line(*row) for row in self.base.execute("select * from lines order by at")]

    def close(self) -> None:
        self.base.close()
