"""Rebalancing splits hot slices and offloads overloaded workers, in addition to the policy's own moves.

The policy moves whole slices, one small step per cycle. It has no remedy for a slice whose heat exceeds the
limit of every worker, and it needs minutes to relieve a worker that becomes overloaded suddenly. Once per
cycle, the first of these steps that finds anything to do is taken:

1. Each hot key gets a slice of its own, at its present worker.
2. Slices whose heat exceeds their worker's limit are split so that the parts have about equal heat. The parts
   go to the least loaded workers.
3. Workers whose load exceeds their capacity hand their hottest slices to workers with spare capacity. This
   step is left out in a cycle in which the policy itself reassigns slices.

The module does no I/O and reads no clock.
"""

from bisect import bisect_right
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ...common.slice_table import KEY_SPACE_SIZE, PREVIOUS_OWNER, Row
from ...policy.manager import Manager
from ...policy.parameters import CAPACITY_LIMIT, LONG_AGO, REPORT_LAG, REPORTS_NEEDED
from ...policy.slices import Slice
from ...policy.workers import Worker
from .service_load import REPORT_CYCLE, ServiceLoad
from .slice_changes import Assignment, SliceSplit
from .worker_loads import WorkerLoads

MAX_SPLIT_PARTS = 16  # parts that one split of a hot slice yields at most
FULL_UTILIZATION = 1.0  # utilization that a worker reports while all its slots are busy


class Rebalancing(NamedTuple):
    """The slices to split off, and the new assignments of existing slices by first key."""

    splits: list[SliceSplit]
    assignments: dict[int, Assignment]


class Rebalancer:
    """Plans the rebalancing of one keyed service."""

    def __init__(self, manager: Manager, service_load: ServiceLoad, worker_loads: WorkerLoads) -> None:
        self._manager, self._service_load, self._worker_loads = manager, service_load, worker_loads
        self._last_cycle_at = LONG_AGO
        self._last_offload_at: dict[str, float] = {}  # by worker

    def plan(self, now: float, rows: Mapping[str, Row], reassigned: Collection[int]) -> Rebalancing:
        """Return the splits and assignments to make now. Between two cycles there are none.

        Args:
            rows: the service's rows of the agreed table, by first key.
            reassigned: first keys of the slices that the policy reassigns in the same turn. Rebalancing
                leaves these slices to a later cycle.
        """
        if now < self._last_cycle_at + REPORT_CYCLE:
            return Rebalancing([], {})
        self._last_cycle_at = now
        self._service_load.decay_recent_counts()
        starts = sorted(map(int, rows))
        if splits := self._isolate_hot_keys(starts, rows, reassigned):
            return Rebalancing(splits, {})
        splits = self._split_hot_slices(now, starts, rows, reassigned)
        if splits or reassigned:
            return Rebalancing(splits, {})
        return Rebalancing([], self._offload_overloaded_workers(now, rows))

    def _isolate_hot_keys(
        self, starts: list[int], rows: Mapping[str, Row], reassigned: Collection[int]
    ) -> list[SliceSplit]:
        """Return splits that give each hot key a slice of its own, at its present worker."""
        splits = []
        for key in self._service_load.hot_keys.status().hot_keys:
            start, end = _slice_bounds(starts, key)
            row = rows[str(start)]
            if start in reassigned or row[PREVIOUS_OWNER]:
                continue
            assignment = Assignment.of_row(row)
            splits += [
                SliceSplit(start, split_start, assignment)
                for split_start in (key, key + 1)
                if start < split_start < end
            ]
        return splits

    def _split_hot_slices(
        self, now: float, starts: list[int], rows: Mapping[str, Row], reassigned: Collection[int]
    ) -> list[SliceSplit]:
        """Return splits of the slices whose last `REPORTS_NEEDED` estimates exceed their worker's limit."""
        splits: list[SliceSplit] = []
        candidates = [
            own_slice
            for own_slice in self._manager.own_slices()
            if own_slice.primary
            and own_slice.primary.usable
            and own_slice.number not in reassigned
            and not rows[str(own_slice.number)][PREVIOUS_OWNER]
        ]
        for candidate in candidates:
            limit = CAPACITY_LIMIT * self._worker_loads.capacity(candidate.primary)
            recent_heat = [*candidate.estimates][-REPORTS_NEEDED:]
            if not limit or len(recent_heat) < REPORTS_NEEDED or min(recent_heat) <= limit:
                continue
            start, end = _slice_bounds(starts, candidate.number)
            # enough parts for each to have less than half of the limit, if their heat is equal
            part_count = min(int(2 * candidate.estimate() / limit) + 1, MAX_SPLIT_PARTS)
            split_points = self._service_load.split_points(start, end, part_count)
            splits += self._assign_parts(now, candidate, split_points)
            if split_points:
                candidate.estimates.clear()  # they include the heat of the parts that are split off
        return splits

    def _assign_parts(self, now: float, hot_slice: Slice, split_points: list[int]) -> list[SliceSplit]:
        """Return the parts that begin at these keys, each with the least loaded worker that can take it.

        A part stays with the slice's owner if no other worker can take it, or if its move would make that
        worker more loaded than the owner.
        """
        splits, owner, loads = [], hot_slice.primary, self._worker_loads
        part_heat = hot_slice.estimate() / (len(split_points) + 1)
        for start in split_points:
            target = loads.least_loaded(part_heat, excluding=owner)
            if target is None or loads.load_of(target) + part_heat > loads.load_of(owner):
                target = owner
            else:
                loads.record_move(now, owner, target, part_heat)
            splits.append(SliceSplit(hot_slice.number, start, Assignment(target.name)))
        return splits

    def _offload_overloaded_workers(self, now: float, rows: Mapping[str, Row]) -> dict[int, Assignment]:
        """Return moves of the hottest slices away from overloaded workers.

        A worker is overloaded if its last `REPORTS_NEEDED` reports state that all its slots are busy, and its
        load exceeds its capacity. The policy would move only its smallest slice each cycle, and so would need
        minutes.
        """
        assignments: dict[int, Assignment] = {}
        planner = self._manager.planner
        for worker, slices in planner.primary_slices.items():
            if worker is not None and self._is_fully_utilized(now, worker):
                assignments |= self._offload_worker(now, worker, slices, rows)
        return assignments

    def _is_fully_utilized(self, now: float, worker: Worker) -> bool:
        """Whether the worker is usable, and its last `REPORTS_NEEDED` reports state full utilization.

        The result is False until reports can show the effect of the worker's last offload.
        """
        utilizations = [*worker.recent_loads][-REPORTS_NEEDED:]
        if len(utilizations) < REPORTS_NEEDED or min(utilizations) < FULL_UTILIZATION or not worker.usable:
            return False
        # reports show the effect of the last offload only after REPORT_LAG
        return now >= self._last_offload_at.get(worker.name, LONG_AGO) + REPORT_LAG

    def _offload_worker(
        self, now: float, worker: Worker, slices: list[Slice], rows: Mapping[str, Row]
    ) -> dict[int, Assignment]:
        """Return moves of the worker's hottest slices to workers with spare capacity, until its load fits.

        The owner of a hot key hands over all its other slices that are hot enough to be worth a move.
        """
        assignments: dict[int, Assignment] = {}
        loads, hot_keys = self._worker_loads, self._service_load.hot_keys
        capacity = loads.capacity(worker)
        owns_hot_key = any(hot_keys.is_hot(owned_slice.number) for owned_slice in slices)
        for candidate in sorted(slices, key=lambda owned: (-owned.estimate(), owned.number)):
            heat = candidate.estimate()
            needs_no_offload = loads.load_of(worker) <= capacity and not owns_hot_key
            if needs_no_offload or heat < capacity / MAX_SPLIT_PARTS:
                break  # the remaining slices are no hotter; to move one costs more than it gains
            if heat > capacity or hot_keys.is_hot(candidate.number):
                continue
            if rows[str(candidate.number)][PREVIOUS_OWNER]:
                continue
            target = loads.least_loaded(heat, excluding=worker)
            if target is None or loads.load_of(target) + heat > CAPACITY_LIMIT * loads.capacity(target):
                continue
            loads.record_move(now, worker, target, heat)
            self._last_offload_at[worker.name] = now
            assignments[candidate.number] = Assignment(target.name)
        return assignments


def _slice_bounds(starts: list[int], key: int) -> tuple[int, int]:
    """Return the first key of the slice that contains `key`, and the first key after that slice.

    Args:
        starts: the first keys of all slices, ascending.
    """
    index = bisect_right(starts, key) - 1
    return starts[index], starts[index + 1] if index + 1 < len(starts) else KEY_SPACE_SIZE
