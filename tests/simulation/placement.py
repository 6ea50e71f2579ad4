"""One keyed service's placement fed with reports from a seed, without sockets: who is asked for how much."""

import random

from bramblewood.common.configuration import Service
from bramblewood.common.slice_table import KEYS_PER_RANGE, PREVIOUS_OWNER, WORKER, starts_of
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.placement import (
    PlacementPlanner,
    apply_slice_changes,
    clear_previous_owner,
    worker_report,
)

CYCLE = 0.5  # s
SLOTS = 2


class Play:
    """Workers of two slots, desks that report each half second, a register that takes every change."""

    def __init__(self, seed: int, workers: int) -> None:
        self.dice, self.now, self.registry, self.table = random.Random(seed), 100.0, WorkerRegistry(), None
        for i in range(workers):
            row = WorkerRegistration("s", f"10.0.0.{i}:80", "z", SLOTS, "ready", 1)
            self.registry.merge(self.now, f"w{i}", row)
        self.services = {"s": Service("s", "/", 100, True, 0.0)}
        self.placement = PlacementPlanner(self.now, 1.5)
        self.splits: list[float] = []  # when slices were split
        self.moves = 0

    def cycle(self, heat: dict[int, float], jammed: set[str] = frozenset()) -> None:
        """One cycle: requests a second by key; workers named are full by their own word, others idle."""
        self.now += CYCLE
        counts: dict[str, int] = {}
        keys: dict[str, int] = {}
        told = self.placement.hot_keys().get("s")
        for key, rate in heat.items():
            put, name = (
                (keys, key)
                if told and key // KEYS_PER_RANGE in told.watched_ranges
                else (counts, key // KEYS_PER_RANGE)
            )
            put[str(name)] = put.get(str(name), 0) + int(rate * CYCLE + 0.5)
        met = [
            worker_report(
                instance_id, 8, 0, 0.2, CYCLE, [SLOTS, 1, SLOTS] if instance_id in jammed else [0, 0, SLOTS]
            )
            for instance_id in self.registry.rows
        ]
        self.placement.record_report(self.now, "s", "d1", counts, keys, CYCLE, met)
        for _ in range(3):  # the archive looks more often than reports come
            wanted = self.placement.plan_changes(
                self.now, self.services, {}, self.registry, set(), self.table
            )
            if wanted:
                self.splits += [self.now] * bool(wanted["s"].splits)
                self.moves += len(wanted["s"].assignments)
                self.table = apply_slice_changes(self.table, wanted, {"s"})[0] or self.table
            self.let_go()

    def let_go(self) -> None:
        for start, entry in (self.table or {"s": {"s": {}}})["s"]["s"].items():
            if entry[PREVIOUS_OWNER]:
                made = clear_previous_owner(
                    self.table, "s", (int(start),), entry[3], entry[PREVIOUS_OWNER], ""
                )[0]
                self.table = made or self.table

    def holder(self, key: int) -> str:
        entries = self.table["s"]["s"]
        start = max(s for s in starts_of(entries) if s <= key)
        return entries[str(start)][WORKER]
