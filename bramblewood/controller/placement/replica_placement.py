"""Chooses the workers that hold read replicas of a service's hot keys.

`controller/read_replicas.py` grants the leases of these replicas. This module does no I/O and reads no clock.
"""

from collections.abc import Mapping

from ...common.slice_table import Row, SliceEntry, active_readers
from ..hot_keys import HotKeys
from ..read_replicas import target_reader_count
from .worker_loads import WorkerLoads


def replica_changes(
    rows: Mapping[str, Row], hot_keys: HotKeys, worker_loads: WorkerLoads
) -> dict[int, list[str]]:
    """Return the new readers of each key whose readers change, by key.

    Only a hot key in a slice of its own gets readers. A key that is no longer hot loses its readers.
    """
    changes = {}
    usable = {worker.name for worker in worker_loads.usable_workers()}
    for start, row in rows.items():
        key, entry, readers = int(start), SliceEntry.decode(row), active_readers(row)
        new_readers = [
            instance_id for instance_id in readers if instance_id in usable and instance_id != entry.worker
        ]
        if not hot_keys.is_hot(key):
            new_readers = []
        elif str(key + 1) in rows and not entry.previous_owner:
            new_readers += _additional_readers(key, entry, len(new_readers), hot_keys, worker_loads)
        if new_readers != readers:
            changes[key] = new_readers
    return changes


def _additional_readers(
    key: int, entry: SliceEntry, current_count: int, hot_keys: HotKeys, worker_loads: WorkerLoads
) -> list[str]:
    """Return the least loaded workers to add as readers, until the request rate needs no more.

    A worker that may still hold a replica of the key, as a present or a former reader, is not chosen.
    """
    target_count = target_reader_count(hot_keys.latest_rate(key), worker_loads.throughput())
    candidates = [
        worker
        for worker in worker_loads.usable_workers()
        if worker.name != entry.worker and worker.name not in entry.readers
    ]
    candidates.sort(key=lambda worker: (worker_loads.load_per_slot(worker), worker.name))
    return [worker.name for worker in candidates[: max(target_count - current_count, 0)]]
