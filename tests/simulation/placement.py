"""A simulation of the placement of one keyed service, without sockets. The test sets the reported rates."""

import random

from bramblewood.common.configuration import Service
from bramblewood.common.slice_table import (
    FENCING_TOKEN,
    KEYS_PER_RANGE,
    PREVIOUS_OWNER,
    WORKER,
    sorted_first_keys,
)
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.placement import (
    PlacementPlanner,
    apply_slice_changes,
    clear_previous_owner,
    worker_report,
)

CYCLE = 0.5  # s between two reports of the proxy
HEARTBEAT = 1.5  # s between two heartbeats of a worker
SLOTS = 2  # of each worker
PLANS_PER_CYCLE = 3  # a controller plans more often than proxies report
FULL_LOAD, IDLE_LOAD = [SLOTS, 1, SLOTS], [0, 0, SLOTS]  # running requests, queued requests, slots


class PlacementSimulation:
    """Workers, one proxy that reports every `CYCLE` s, and a table that gets each planned change at once."""

    def __init__(self, seed: int, workers: int) -> None:
        self.random, self.now, self.registry, self.table = random.Random(seed), 100.0, WorkerRegistry(), None
        for i in range(workers):
            registration = WorkerRegistration("s", f"10.0.0.{i}:80", "z", SLOTS, "ready", 1)
            self.registry.record(self.now, f"w{i}", registration)
        self.services = {"s": Service("s", "/", 100, True, 0.0)}
        self.planner = PlacementPlanner(self.now, HEARTBEAT)
        self.split_times: list[float] = []
        self.moves = 0

    def run_cycle(self, rates: dict[int, float], full_workers: set[str] = frozenset()) -> None:
        """Run one cycle.

        Args:
            rates: requests per second, by key.
            full_workers: the workers that report full load. All others report that they are idle.
        """
        self.now += CYCLE
        self.report(rates, full_workers)
        for _ in range(PLANS_PER_CYCLE):
            changes = self.planner.plan_changes(self.now, self.services, {}, self.registry, set(), self.table)
            if changes:
                self.split_times += [self.now] * bool(changes["s"].splits)
                self.moves += len(changes["s"].assignments)
                self.table = apply_slice_changes(self.table, changes, {"s"})[0] or self.table
            self.release_moved_slices()

    def report(self, rates: dict[int, float], full_workers: set[str]) -> None:
        """Pass the proxy's report of one cycle to the planner. The arguments are those of `run_cycle`."""
        range_counts: dict[str, int] = {}
        key_counts: dict[str, int] = {}
        status = self.planner.hot_keys().get("s")
        for key, rate in rates.items():
            if status and key // KEYS_PER_RANGE in status.watched_ranges:
                counts, item = key_counts, str(key)
            else:
                counts, item = range_counts, str(key // KEYS_PER_RANGE)
            counts[item] = counts.get(item, 0) + int(rate * CYCLE + 0.5)
        worker_reports = [
            worker_report(
                instance_id, 8, 0, 0.2, CYCLE, FULL_LOAD if instance_id in full_workers else IDLE_LOAD
            )
            for instance_id in self.registry.registrations
        ]
        self.planner.record_report(self.now, "s", "d1", range_counts, key_counts, CYCLE, worker_reports)

    def release_moved_slices(self) -> None:
        """Let every previous owner release its slices at once."""
        for start, row in (self.table or {"s": {"s": {}}})["s"]["s"].items():
            if previous_owner := row[PREVIOUS_OWNER]:
                changed, _ = clear_previous_owner(
                    self.table, "s", (int(start),), row[FENCING_TOKEN], previous_owner, ""
                )
                self.table = changed or self.table

    def owner(self, key: int) -> str:
        """Return the worker of the slice that contains this key."""
        rows = self.table["s"]["s"]
        start = max(s for s in sorted_first_keys(rows) if s <= key)
        return rows[str(start)][WORKER]
