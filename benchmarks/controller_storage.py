"""What a commit and a start cost by the size of the table: `python -m benchmarks.controller_storage
[--folder F]`.

One JSON row a size: the middle of RUNS, milliseconds by the clock (`_ms`) and of the processor (`_cpu_ms`):
`round` a move's difference made and applied, `feed` its place in the updates to proxies, `move` its commit,
`fresh` the commit of a value that shares nothing with the last, `open` a start. Bytes of the database and
its log stand beside the value's as one JSON text. `ratio`: a move's processor time over the first size's.
"""

import argparse
import gc
import json
import os
import statistics
import tempfile
import time
from collections.abc import Callable

from bramblewood.controller.proxy_updates import ProxyUpdates
from bramblewood.controller.storage import DATABASE_FILE, Storage
from bramblewood.controller.value_diff import apply_difference, difference

SIZES = (1_000, 10_000, 90_000)  # slices of the table
SERVICES = 3  # that share them
RUNS = 15
PROPOSAL_NUMBER = (1, "a", 1)


def table(slices: int, number: int = 1) -> dict:
    """A table of so many slices, each 16 keys or fewer wide."""
    services: dict[str, dict] = {f"service-{k}": {} for k in range(SERVICES)}
    for at in range(slices):
        entry = [f"service-{at % SERVICES}-worker-{at % 97}-life-{at % 89}", "", 0.0, at % 500, "", ""]
        services[f"service-{at % SERVICES}"][str(at // SERVICES)] = entry
    return {"n": number, "s": services}


def moved(value: dict, at: int) -> dict:
    """One slice goes to another worker, as a voter makes it of the difference that it was sent."""
    entries = value["s"]["service-0"]
    start = list(entries)[at % len(entries)]
    entry = [f"service-0-worker-{at}-life-{at}", *entries[start][1:]]
    made = {**value, "n": value["n"] + 1, "s": {**value["s"], "service-0": {**entries, start: entry}}}
    return apply_difference(value, difference(value, made))


def median_times(call: Callable[[int], None]) -> tuple[float, float]:
    """Milliseconds of RUNS calls: by the clock and of the processor."""
    clock, processor = [], []
    for at in range(RUNS):
        gc.collect()
        began, used = time.perf_counter(), time.process_time()
        call(at)
        processor.append(time.process_time() - used)
        clock.append(time.perf_counter() - began)
    return round(1e3 * statistics.median(clock), 3), round(1e3 * statistics.median(processor), 3)


def measure(slices: int, folder: str) -> dict:
    value = table(slices)
    storage = Storage(folder)
    storage.open().unwrap()
    values: list[dict] = []

    def commit(at: int) -> None:
        problem = storage.commit([([("table", PROPOSAL_NUMBER, PROPOSAL_NUMBER, values[at])], {}, None)])
        assert problem is None, problem

    values.append(value)
    commit(0)
    for at in range(RUNS):
        values.append(moved(values[-1], 7919 * at))
    found: dict = {"slices": slices, "json": len(json.dumps(value))}
    found["round_ms"], found["round_cpu_ms"] = median_times(lambda at: moved(value, 7919 * at))
    updates = ProxyUpdates()
    found["feed_ms"], found["feed_cpu_ms"] = median_times(lambda at: updates.learn_table(values[at]))
    found["move_ms"], found["move_cpu_ms"] = median_times(lambda at: commit(at + 1))
    values[:] = [json.loads(json.dumps(moved(value, at))) for at in range(RUNS)]
    found["fresh_ms"], found["fresh_cpu_ms"] = median_times(commit)
    found["base"], found["log"] = (os.path.getsize(storage.path + end) for end in ("", "-wal"))
    storage.database.close()

    def start(_: int) -> None:
        reopened = Storage(folder)
        reopened.open().unwrap()
        reopened.database.close()

    found["open_ms"], found["open_cpu_ms"] = median_times(start)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--folder", default=None, help="where the disk to be measured is")
    folder_option = parser.parse_args().folder
    first = 0.0
    for slices in SIZES:
        with tempfile.TemporaryDirectory(dir=folder_option, prefix="shelf-") as folder:
            assert DATABASE_FILE not in os.listdir(folder)
            found = measure(slices, folder)
        first = first or found["move_cpu_ms"]
        print(json.dumps({**found, "ratio": round(found["move_cpu_ms"] / first, 1)}), flush=True)


if __name__ == "__main__":
    main()
