"""Measures the cost of a commit and of a start by the size of the slice table.

    python -m benchmarks.controller_storage [--folder F]

Prints one JSON object for each size. Times are medians of RUNS calls in milliseconds, as wall-clock time
(`_ms`) and processor time (`_cpu_ms`):

- `round`: compute and apply the difference of a move.
- `feed`: prepare the updates that proxies get for the move.
- `move`: commit the move.
- `fresh`: commit a value that shares no objects with the stored value.
- `open`: open the database.

`json`, `base` and `log` are the sizes in bytes of the value as JSON text, of the database and of its log.
`ratio` is the processor time of a move, relative to that of the first size.
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
SERVICES = 3  # services in the table, with equal shares of the slices
RUNS = 15
PROPOSAL_NUMBER = (1, "a", 1)


def make_slice_table(slices: int, number: int = 1) -> dict:
    """Returns a slice table with this number of slices and version `number`.

    The slices of each service start at the keys 0, 1, 2 and so on (`common/slice_table.py`).
    """
    services: dict[str, dict] = {f"service-{index}": {} for index in range(SERVICES)}
    for index in range(slices):
        entry = [
            f"service-{index % SERVICES}-worker-{index % 97}-life-{index % 89}",
            "",
            0.0,
            index % 500,
            "",
            "",
        ]
        services[f"service-{index % SERVICES}"][str(index // SERVICES)] = entry
    return {"n": number, "s": services}


def move_slice(value: dict, index: int) -> dict:
    """Returns the table with one slice moved to another worker, patched as a voter patches it.

    index: selects the slice (modulo the number of slices of the service) and the worker.
    """
    entries = value["s"]["service-0"]
    start = list(entries)[index % len(entries)]
    entry = [f"service-0-worker-{index}-life-{index}", *entries[start][1:]]
    changed = {**value, "n": value["n"] + 1, "s": {**value["s"], "service-0": {**entries, start: entry}}}
    return apply_difference(value, difference(value, changed))


def median_times(call: Callable[[int], None]) -> tuple[float, float]:
    """Returns the medians of the wall-clock time and the processor time of RUNS calls, in milliseconds."""
    wall_times, cpu_times = [], []
    for run in range(RUNS):
        gc.collect()
        wall_start, cpu_start = time.perf_counter(), time.process_time()
        call(run)
        cpu_times.append(time.process_time() - cpu_start)
        wall_times.append(time.perf_counter() - wall_start)
    return round(1e3 * statistics.median(wall_times), 3), round(1e3 * statistics.median(cpu_times), 3)


def measure(slices: int, folder: str) -> dict:
    """Returns the measured row for one table size, with the database in an empty folder."""
    value = make_slice_table(slices)
    storage = Storage(folder)
    storage.open().unwrap()
    values: list[dict] = []

    def commit(index: int) -> None:
        problem = storage.commit([([("table", PROPOSAL_NUMBER, PROPOSAL_NUMBER, values[index])], {}, None)])
        assert problem is None, problem

    values.append(value)
    commit(0)
    # 7919 is a prime, so the moves are spread over the slices of the service.
    for index in range(RUNS):
        values.append(move_slice(values[-1], 7919 * index))
    row: dict = {"slices": slices, "json": len(json.dumps(value))}
    row["round_ms"], row["round_cpu_ms"] = median_times(lambda index: move_slice(value, 7919 * index))
    updates = ProxyUpdates()
    row["feed_ms"], row["feed_cpu_ms"] = median_times(lambda index: updates.record_table(values[index]))
    row["move_ms"], row["move_cpu_ms"] = median_times(lambda index: commit(index + 1))
    values[:] = [json.loads(json.dumps(move_slice(value, index))) for index in range(RUNS)]
    row["fresh_ms"], row["fresh_cpu_ms"] = median_times(commit)
    row["base"], row["log"] = (os.path.getsize(storage.path + ending) for ending in ("", "-wal"))
    storage.database.close()

    def start(_: int) -> None:
        reopened = Storage(folder)
        reopened.open().unwrap()
        reopened.database.close()

    row["open_ms"], row["open_cpu_ms"] = median_times(start)
    return row


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--folder", default=None, help="a folder on the disk to measure")
    folder_option = parser.parse_args().folder
    first_move_cpu_ms = 0.0
    for slices in SIZES:
        with tempfile.TemporaryDirectory(dir=folder_option, prefix="shelf-") as folder:
            assert DATABASE_FILE not in os.listdir(folder)
            row = measure(slices, folder)
        first_move_cpu_ms = first_move_cpu_ms or row["move_cpu_ms"]
        print(json.dumps({**row, "ratio": round(row["move_cpu_ms"] / first_move_cpu_ms, 1)}), flush=True)


if __name__ == "__main__":
    main()
