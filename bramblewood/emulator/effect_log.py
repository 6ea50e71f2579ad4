"""The records behind a service's stand-in workers: an entry with its ids for every effect.

One sqlite file a service, shared by its workers; it outlives any of them. The value of a record is the sum of
its entries: cuotas paid, altas entered, seats out. Entries of different attempts are never folded, so that
the audit sees what ran twice.
"""

import sqlite3
import time
from typing import NamedTuple

BUSY_TIMEOUT = 5.0  # s that a write waits for another worker's


class RecordValue(NamedTuple):
    """How many entries a record has, and what they add up to."""

    entries: int
    total: int


class Effect(NamedTuple):
    """One effect that ran, as its entry says it."""

    order: str  # the client's order
    attempt: str  # the attempt that brought it
    key: int  # of the record
    kind: str  # path of the request
    added: int  # to the record's value
    worker: str  # instance id
    at: float  # s, this machine's steady clock


class EffectLog:
    """The effects of one service; `path` is the sqlite file, made if it is not there."""

    def __init__(self, path: str) -> None:
        self.database = sqlite3.connect(
            path, isolation_level=None, timeout=BUSY_TIMEOUT, check_same_thread=False
        )
        self.database.execute("pragma journal_mode=wal")
        self.database.execute("pragma synchronous=off")  # workers are killed here, the machine is not
        self.database.execute(
            "create table if not exists lines (client_order text, attempt text, key integer, kind text,"
            " added integer, worker text, at real)"
        )
        self.database.execute("create index if not exists by_key on lines (key)")

    def value(self, key: int) -> RecordValue:
        """What a record holds now."""
        query = "select count(*), sum(added) from lines where key = ?"
        entries, total = self.database.execute(query, (key,)).fetchone()
        return RecordValue(entries, total or 0)

    def append(self, order: str, attempt: str, key: int, kind: str, added: int, worker: str) -> RecordValue:
        """Write one effect; the record's value with it."""
        effect = Effect(order, attempt, key, kind, added, worker, time.monotonic())
        self.database.execute("begin immediate")
        self.database.execute("insert into lines values (?, ?, ?, ?, ?, ?, ?)", effect)
        value = self.value(key)
        self.database.execute("commit")
        return value

    def effects(self) -> list[Effect]:
        """All effects, the earliest first."""
        return [Effect(*row) for row in self.database.execute("select * from lines order by at")]

    def close(self) -> None:
        """Close the file."""
        self.database.close()
