"""Which workers hold read replicas of a service's hot keys. Pure; how they are kept: `read_replicas.py`."""

from collections.abc import Mapping

from ...common.slice_table import SliceEntry, active_readers
from ..hot_keys import HotKeys
from ..read_replicas import reader_count as wanted_replica_count
from ..table_changes import Entry
from .worker_loads import WorkerLoads


def replica_changes(
    entries: Mapping[str, Entry], hot_keys: HotKeys, worker_loads: WorkerLoads
) -> dict[int, list[str]]:
    """The readers that hot keys with slices of their own are to have, by key; only where that changes."""
    changes = {}
    usable = {worker.name for worker in worker_loads.usable_workers()}
    for start, entry in entries.items():
        key, readers, slice_entry = int(start), active_readers(entry), SliceEntry.decode(entry)
        kept = [
            instance_id
            for instance_id in readers
            if instance_id in usable and instance_id != slice_entry.worker
        ]
        if not hot_keys.is_hot(key):
            kept = []
        elif str(key + 1) in entries and not slice_entry.previous_owner:
            kept += _additional_readers(key, slice_entry, len(kept), hot_keys, worker_loads)
        if kept != readers:
            changes[key] = kept
    return changes


def _additional_readers(
    key: int, entry: SliceEntry, reader_count: int, hot_keys: HotKeys, worker_loads: WorkerLoads
) -> list[str]:
    """The least loaded workers that may become readers, as many as the key's rate calls for.

    Whoever may still hold a replica of the key, as a reader or a former one, is not chosen.
    """
    wanted_count = wanted_replica_count(hot_keys.latest_rate(key), worker_loads.throughput())
    candidates = [
        worker
        for worker in worker_loads.usable_workers()
        if worker.name != entry.worker and worker.name not in entry.readers
    ]
    candidates.sort(key=lambda worker: (worker_loads.load_per_slot(worker), worker.name))
    return [worker.name for worker in candidates[: max(wanted_count - reader_count, 0)]]
