"""Splits of hot slices and relief of overloaded workers, beside the moves that the policy makes itself. Pure.

The policy moves whole slices, one small step a cycle. It leaves open what becomes of a slice that is hotter
than any worker's limit, and its steps would take minutes for a worker that is overloaded at once. So, once a
cycle, the first of these that finds anything to do:

1. each hot key gets a slice of its own, at the worker that it has;
2. slices over a worker's limit are split where their heat lies, and the parts go to the least loaded workers;
3. workers that can't do what comes hand their hottest slices to workers that can.
"""

from bisect import bisect_right
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ...common.slice_table import KEY_SPACE_SIZE, PREVIOUS_OWNER, Row
from ...policy.manager import Manager
from ...policy.parameters import CAPACITY_LIMIT, LONG_AGO, REPORT_LAG, REPORTS_HELD
from ...policy.slices import Slice
from ...policy.workers import Worker
from .service_load import REPORT_CYCLE, ServiceLoad
from .slice_changes import Assignment, SliceSplit
from .worker_loads import WorkerLoads

MAX_SPLIT_PARTS = 16  # parts that a hot slice is split into at most at one time
FULL_UTILIZATION = 1.0  # stated by a worker all of whose slots are taken


class Rebalancing(NamedTuple):
    """Slices to split off, and slices to assign anew, by first key."""

    splits: list[SliceSplit]
    assignments: dict[int, Assignment]


class Rebalancer:
    """Rebalances one keyed service."""

    def __init__(self, manager: Manager, load: ServiceLoad, worker_loads: WorkerLoads) -> None:
        self._manager, self._load, self._worker_loads = manager, load, worker_loads
        self._cycle_at = LONG_AGO
        self._relieved_at: dict[str, float] = {}  # by worker

    def plan(self, now: float, entries: Mapping[str, Row], changing: Collection[int]) -> Rebalancing:
        """What to split and to move now; nothing between cycles.

        Args:
            entries: the service's part of the agreed table.
            changing: first keys of slices that the policy changes in the same turn; these wait for the next.
        """
        if now < self._cycle_at + REPORT_CYCLE:
            return Rebalancing([], {})
        self._cycle_at = now
        self._load.fade()
        starts = sorted(map(int, entries))
        if splits := self._isolate_hot_keys(starts, entries, changing):
            return Rebalancing(splits, {})
        splits = self._split_hot_slices(now, starts, entries, changing)
        if splits or changing:
            return Rebalancing(splits, {})
        return Rebalancing([], self._relieve_overloaded_workers(now, entries))

    def _isolate_hot_keys(
        self, starts: list[int], entries: Mapping[str, Row], changing: Collection[int]
    ) -> list[SliceSplit]:
        """A slice of its own for each hot key, at the worker that it has."""
        splits = []
        for key in self._load.hot_keys.status().hot_keys:
            start, end = _bounds_of(starts, key)
            row = entries[str(start)]
            if start in changing or row[PREVIOUS_OWNER]:
                continue
            assignment = Assignment.of_row(row)
            splits += [
                SliceSplit(start, split_start, assignment)
                for split_start in (key, key + 1)
                if start < split_start < end
            ]
        return splits

    def _split_hot_slices(
        self, now: float, starts: list[int], entries: Mapping[str, Row], changing: Collection[int]
    ) -> list[SliceSplit]:
        """Splits of slices that were over their worker's limit in three reports in a row."""
        splits: list[SliceSplit] = []
        candidates = [
            hot_slice
            for hot_slice in self._manager.own_slices()
            if hot_slice.primary
            and hot_slice.primary.usable
            and hot_slice.number not in changing
            and not entries[str(hot_slice.number)][PREVIOUS_OWNER]
        ]
        for hot_slice in candidates:
            limit = CAPACITY_LIMIT * self._worker_loads.capacity(hot_slice.primary)
            recent_heat = [*hot_slice.estimates][-REPORTS_HELD:]
            if not limit or len(recent_heat) < REPORTS_HELD or min(recent_heat) <= limit:
                continue
            start, end = _bounds_of(starts, hot_slice.number)
            part_count = min(int(2 * hot_slice.estimate() / limit) + 1, MAX_SPLIT_PARTS)
            points = self._load.split_points(start, end, part_count)
            splits += self._assign_parts(now, hot_slice, points)
            if points:
                hot_slice.estimates.clear()
        return splits

    def _assign_parts(self, now: float, hot_slice: Slice, points: list[int]) -> list[SliceSplit]:
        """The parts that begin at these keys, each at the least loaded worker that can take it."""
        parts, owner, loads = [], hot_slice.primary, self._worker_loads
        heat = hot_slice.estimate() / (len(points) + 1)
        for start in points:
            target = loads.least_loaded(heat, excluding=owner)
            if target is None or loads.load_of(target) + heat > loads.load_of(owner):
                target = owner
            else:
                loads.record_move(now, owner, target, heat)
            parts.append(SliceSplit(hot_slice.number, start, Assignment(target.name)))
        return parts

    def _relieve_overloaded_workers(self, now: float, entries: Mapping[str, Row]) -> dict[int, Assignment]:
        """Moves of the hottest slices of workers that can't do what comes.

        Such a worker states in three reports in a row that all its slots are taken, and has more heat than
        its capacity; the policy's step, its smallest slice each cycle, would take minutes.
        """
        assignments: dict[int, Assignment] = {}
        planner = self._manager.planner
        for worker, slices in planner.by_primary.items():
            if worker is not None and self._is_overloaded(now, worker):
                assignments |= self._relieve(now, worker, slices, entries)
        return assignments

    def _is_overloaded(self, now: float, worker: Worker) -> bool:
        levels = [*worker.loads][-REPORTS_HELD:]
        if len(levels) < REPORTS_HELD or min(levels) < FULL_UTILIZATION or not worker.usable:
            return False
        # until then no report can show the last relief
        return now >= self._relieved_at.get(worker.name, LONG_AGO) + REPORT_LAG

    def _relieve(
        self, now: float, worker: Worker, slices: list[Slice], entries: Mapping[str, Row]
    ) -> dict[int, Assignment]:
        """Moves of the worker's hottest slices to where they fit, until it can do what is left.

        The owner of a hot key loses all its other slices that are worth a move.
        """
        assignments: dict[int, Assignment] = {}
        loads, hot_keys = self._worker_loads, self._load.hot_keys
        capacity = loads.capacity(worker)
        owns_hot_key = any(hot_keys.is_hot(one.number) for one in slices)
        for candidate in sorted(slices, key=lambda one: (-one.estimate(), one.number)):
            heat = candidate.estimate()
            is_relieved = loads.load_of(worker) <= capacity and not owns_hot_key
            if is_relieved or heat < capacity / MAX_SPLIT_PARTS:
                break  # what is left costs more to move than it brings
            if heat > capacity or hot_keys.is_hot(candidate.number):
                continue
            if entries[str(candidate.number)][PREVIOUS_OWNER]:
                continue
            target = loads.least_loaded(heat, excluding=worker)
            if target is None or loads.load_of(target) + heat > CAPACITY_LIMIT * loads.capacity(target):
                continue
            loads.record_move(now, worker, target, heat)
            self._relieved_at[worker.name] = now
            assignments[candidate.number] = Assignment(target.name)
        return assignments


def _bounds_of(starts: list[int], key: int) -> tuple[int, int]:
    """First key of the slice that has this key, and of the next one."""
    index = bisect_right(starts, key) - 1
    return starts[index], starts[index + 1] if index + 1 < len(starts) else KEY_SPACE_SIZE
