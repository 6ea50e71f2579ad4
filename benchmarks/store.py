"""The store against a raw write and flush, sqlite3, a dict and a full scan: `python -m benchmarks.store`.

Writes to a folder of its own below the one named (the current one at first), which must be on a real disc.
"""

import argparse
import os
import random
import sqlite3
import subprocess
import sys
import tempfile
import time
from itertools import count

from bramblewood.store import frames, plan
from bramblewood.store.flush import Apart
from bramblewood.store.port import Folder
from bramblewood.store.store import Store
from bramblewood.work.scheduler import Scheduler

from .common import machine, ratios, row, timed

VALUE = 60  # bytes of a value; a ledger's records are 10 to 100
NAMES = count()


def pairs(number, keys, seed=1):
    dice = random.Random(seed)
    return [(b"w/worker-%08d" % dice.randrange(keys), dice.randbytes(VALUE), 0) for _ in range(number)]


def fresh(folder):
    path = os.path.join(folder, f"s{next(NAMES)}")
    return path, Store(Folder(path), time.time)


def durable(folder):
    """Records made lasting, by the size of a batch: each batch is one commit with its flush."""
    for size, batches in ((1, 1000), (10, 600), (100, 300), (1000, 100)):
        told = [pairs(size, 100_000, k) for k in range(batches)]
        payloads = [frames.payload_of(batch) for batch in told]

        def ours(told=told):
            _, store = fresh(folder)
            took = timed(lambda: [(store.write(batch), store.commit()) for batch in told])
            assert store.promised == len(told)
            store.close()
            return took

        def raw(payloads=payloads):
            with open(os.path.join(folder, f"r{next(NAMES)}"), "wb", buffering=0) as file:
                return timed(lambda: [(file.write(data), os.fdatasync(file.fileno())) for data in payloads])

        def sqlite(told=told):
            base = sqlite3.connect(os.path.join(folder, f"q{next(NAMES)}"), isolation_level=None)
            base.execute("pragma journal_mode=wal")
            base.execute("pragma synchronous=full")
            base.execute("create table pairs (key blob primary key, value blob) without rowid")

            def write(batch):
                base.execute("begin")
                base.executemany("insert or replace into pairs values (?, ?)", [op[:2] for op in batch])
                base.execute("commit")

            took = timed(lambda: [write(batch) for batch in told])
            base.close()
            return took

        aim = "at most 1.3" if size >= 100 else ""
        row(
            f"time to make {size} a batch lasting, over a raw write and flush",
            ratios(lambda ours=ours, raw=raw: (ours(), raw())),
            aim,
        )
        row(
            f"time to make {size} a batch lasting, over sqlite3 (WAL, full)",
            ratios(lambda ours=ours, sqlite=sqlite: (ours(), sqlite())),
            "below 1",
        )


FULL_SCAN = """
import sys
from bramblewood.store import frames, recovery
data, held, offset = open(sys.argv[1], 'rb').read(), {}, 0
while offset < len(data):
    frame = frames.frame_at(data, offset)
    for key, value, expiry in frames.operations_of(frame.payload):
        held[key] = value, expiry
    offset = frame.end
"""
OPENED = """
import sys, time
from bramblewood.store.port import Folder
from bramblewood.store.store import Store
store = Store(Folder(sys.argv[1]), time.time)
assert store.get(sys.argv[2].encode()) is not None
"""
RESIDENT = """
print(next(line for line in open('/proc/self/status') if line.startswith('VmRSS')).split()[1])
"""  # not the peak: a process starts with its parent's

PLAIN = """
import sys, time, random
from bramblewood.store.port import Folder
from bramblewood.store.store import Store
"""


def script(text, *words):
    """Seconds and kilobytes of a process of its own."""
    began = time.perf_counter()
    done = subprocess.run([sys.executable, "-c", text + RESIDENT, *words], capture_output=True, check=True)
    return time.perf_counter() - began, int(done.stdout.split()[-1])


def opening(folder, records=1_000_000, live=100_000):
    """A store of so many records, most of them void, opened by a process; the same read from a plain log."""
    path, store = fresh(folder)
    plain = os.path.join(folder, "plain")
    dice, chain = random.Random(3), 0
    with open(plain, "wb") as file:
        for k in range(records // 1000):
            batch = [(b"w/worker-%08d" % dice.randrange(live), dice.randbytes(VALUE), 0) for _ in range(1000)]
            store.write(batch)
            store.commit()
            data, chain = frames.frame_bytes(frames.BATCH, k + 1, chain, frames.payload_of(batch))
            file.write(data)
            while steps := store.work():
                for _ in steps:
                    pass
    store.close()
    key = batch[-1][0].decode()
    empty, base = script(PLAIN)
    row(
        "time to open 1,000,000 records, 100,000 live, over a full scan",
        ratios(lambda: (script(OPENED, path, key)[0] - empty, script(FULL_SCAN, plain)[0] - empty)),
        "at most 0.25",
    )
    row(
        "memory of the same, over a dict of the same keys",
        ratios(lambda: (script(OPENED, path, key)[1] - base, script(FULL_SCAN, plain)[1] - base)),
        "at most 1.5",
    )
    reopened = Store(Folder(path), time.time)
    table = {key: value for key, value in reopened.scan()}
    keys = dice.sample(sorted(table), 20_000)
    row(
        "one get of a random key, over one of a dict",
        ratios(
            lambda: (
                timed(lambda: [reopened.get(key) for key in keys]),
                timed(lambda: [table[key] for key in keys]),
            )
        ),
    )
    absent = [b"w/worker-%08dx" % k for k in range(20_000)]
    row(
        "one get of an absent key, over one of a dict",
        ratios(
            lambda: (
                timed(lambda: [reopened.get(key) for key in absent]),
                timed(lambda: [table.get(key) for key in absent]),
            )
        ),
    )
    reopened.close()


def space(folder):
    """Bytes kept over bytes of what is live, and written over told, at three shares of overwriting."""
    shares = ("no key twice", 10**9), ("half overwritten", 60_000), ("nine in ten overwritten", 10_000)
    for name, keys in shares:
        _, store = fresh(folder)
        told, dice = 0, random.Random(5)
        for _ in range(1500):
            batch = [(b"w/worker-%09d" % dice.randrange(keys), dice.randbytes(VALUE), 0) for _ in range(100)]
            told += len(frames.payload_of(batch))
            store.write(batch)
            store.commit()
            while steps := store.work():
                for _ in steps:
                    pass
        live = len(frames.payload_of([(key, value, 0) for key, value in store.scan()]))
        kept = sum(table.size for table in store.tables) + store.held.size + sum(f.size for f in store.frozen)
        row(f"space, {name}: bytes kept over bytes live", f"{kept / live:.2f}")
        row(f"writing, {name}: bytes written over bytes told", f"{store.written_bytes / told:.2f}")
        store.close()


def slices(folder):
    """The longest slices of background work, and turns with and without it."""

    def turns(background):
        path = os.path.join(folder, f"s{next(NAMES)}")
        port = Folder(path)
        store = Store(port, time.time, Apart(port))
        scheduler, steps, took = Scheduler(time.perf_counter, lambda *what: print(what)), [], []
        for k in range(6000):
            batch = pairs(20, 50_000, k)
            began = time.perf_counter()
            store.write(batch)
            if k % 10 == 0:
                store.commit()
            took.append(time.perf_counter() - began)
            if background:
                if work := store.work():
                    scheduler.add("store", work)
                before = time.perf_counter()
                if scheduler.run(time.time(), 0.0):
                    steps.append(time.perf_counter() - before)
        store.close()
        return sorted(took), sorted(steps)

    found = [turns(True) for _ in range(5)]
    at = [steps[int(len(steps) * 0.999)] * 1000 for _, steps in found]
    row(
        "background work in one turn, ms at 999 of 1,000",
        f"{sorted(at)[2]:.2f} ({min(at):.2f} to {max(at):.2f})",
        "below 2",
    )
    row(
        "turns that write, with background work over without",
        ratios(lambda: (sum(turns(True)[0]), sum(turns(False)[0]))),
    )


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--folder", default=".")
    words.add_argument("--only", choices=["durable", "opening", "space", "slices"])
    told = words.parse_args()
    machine()
    plan_of = {"durable": durable, "opening": opening, "space": space, "slices": slices}
    with tempfile.TemporaryDirectory(dir=told.folder, prefix=".bench-") as folder:
        for name, measure in plan_of.items():
            if told.only in (None, name):
                measure(folder)
    assert plan.SEAL_BYTES > 1 << 20  # measured with the limits that are shipped


if __name__ == "__main__":
    main()
