"""Which workers hold read replicas of a service's hot keys. Pure; how they are kept: `read_replicas.py`."""

from collections.abc import Mapping

from ...common.slice_table import Row, SliceEntry, active_readers
from ..hot_keys import HotKeys
from ..read_replicas import reader_count as wanted_reader_count
from .worker_loads import WorkerLoads


def replica_changes(
    entries: Mapping[str, Row], hot_keys: HotKeys, worker_loads: WorkerLoads
) -> dict[int, list[str]]:
    """The readers that hot keys with slices of their own are to have, by key; only where that changes."""
    changes = {}
    usable = {worker.name for worker in worker_loads.usable_workers()}
    for start, row in entries.items():
        key, entry, readers = int(start), SliceEntry.decode(row), active_readers(row)
        kept = [
            instance_id for instance_id in readers if instance_id in usable and instance_id != entry.worker
        ]
        if not hot_keys.is_hot(key):
            kept = []
        elif str(key + 1) in entries and not entry.previous_owner:
            kept += _additional_readers(key, entry, len(kept), hot_keys, worker_loads)
        if kept != readers:
            changes[key] = kept
    return changes


def _additional_readers(
    key: int, entry: SliceEntry, reader_count: int, hot_keys: HotKeys, worker_loads: WorkerLoads
) -> list[str]:
    """The least loaded workers that may become readers, as many as the key's rate calls for.

    Whoever may still hold a replica of the key, as a reader or a former one, is not chosen.
    """
    wanted_count = wanted_reader_count(hot_keys.latest_rate(key), worker_loads.throughput())
    candidates = [
        worker
        for worker in worker_loads.usable_workers()
        if worker.name != entry.worker and worker.name not in entry.readers
    ]
    candidates.sort(key=lambda worker: (worker_loads.load_per_slot(worker), worker.name))
    return [worker.name for worker in candidates[: max(wanted_count - reader_count, 0)]]
