"""Urgent moves of slices away from draining, deregistered and ejected workers, and preparation for surges."""

import math
from collections import Counter

from ..events import READY
from ..policy_mechanisms.averages import mean, median
from . import parameters
from .load_accounting import LoadAccounting
from .slices import Slice
from .workers import Worker


class Failover(LoadAccounting):
    """Ejects failing workers and makes the urgent moves, which must not wait for the end of a cycle."""

    def prepare_for_surge(self) -> None:
        """Cut admission early if the total heat grows fast, because no worker can then take more slices."""
        slices = [s for s in self.manager.own_slices() if s.estimates and self.manager.utilization_known]
        growth = sum(s.estimates[-1] for s in slices) / (sum(s.estimate() for s in slices) or math.inf)
        if growth > parameters.SURGE_FACTOR:
            for worker in dict.fromkeys(s.primary for s in slices if s.primary):
                self.manager.schedule(worker.cut_early, mean(worker.recent_loads) * growth)

    def eject_failing_workers(self) -> None:
        """Eject workers that leave attempts unanswered; if they are slow, only while others have capacity."""
        ready = self.manager.ready_workers()
        spare = self.manager.utilization_known and 0 < self.median_load < parameters.SPARE_LOAD
        measured = [w for w in ready if sum(w.outcomes) >= parameters.MIN_ATTEMPTS]
        unanswered = {w: w.outcomes[1] / sum(w.outcomes) for w in measured}
        unanswered_limit = parameters.UNANSWERED_LIMIT + median(unanswered.values())
        slow_limit = parameters.CUT_LATENCY_RATIO * self.manager.latency_objective
        suspects = [w for w, share in unanswered.items() if w.usable and share >= unanswered_limit]
        slow = [w for w in suspects if spare and w.retries_off and w.latency_ratio > parameters.SLOW_FACTOR]
        failing = [w for w in suspects if w in slow or w.response_time() < slow_limit]
        if len(failing) > parameters.MAX_EJECTED_SHARE * len(ready) - sum(not w.usable for w in ready):
            self.manager.log(f"{len(failing)} failing workers are more than may be ejected: none is ejected")
            return
        for worker in failing:
            self.manager.schedule(worker.eject, f"{unanswered[worker]:.0%} of its attempts unanswered")

    def reassign_unserved_slices(self) -> None:
        """Move slices without a usable primary at once; queue tables with workers to exclude as urgent."""
        slices, publisher = self.manager.own_slices(), self.manager.publisher
        self.standby_counts = Counter(slice.standby for slice in slices)  # choose_standby updates it
        workers_on_old_routes = {w for s in slices for w in s.routes if w not in (s.primary, s.standby)}
        self.blocked = {worker for worker in workers_on_old_routes if publisher.excluded.get(worker.name)}
        moved, by_primary = Counter(), {}
        for slice in slices:
            primary, standby = slice.primary, slice.standby
            by_primary.setdefault(primary, []).append(slice)
            target = self.failover_target(slice) if primary is None or not primary.usable else None
            if target:
                moved[primary and f"{primary.name} ({primary.state})"] += 1
                self.move(slice, target, True)
            elif primary and (standby is None or not standby.usable or standby is primary):
                self.manager.schedule(slice.assign_workers, primary, self.choose_standby(primary), False)
            if slice.workers_to_exclude():
                self.manager.schedule(publisher.enqueue, slice, True)
        for worker in [w for w in self.manager.usable_workers() if w in by_primary and not w.is_warm]:
            self.trim_to_budget(worker, by_primary[worker])  # last, so that its assignments take precedence
        for worker_and_state, count in moved.items():
            self.manager.log(f"{count} slices whose primary was {worker_and_state} moved urgently")

    def failover_target(self, slice: Slice) -> Worker | None:
        """Return the standby, where proxies retry, if warm and below capacity; else the least loaded."""
        primary, standby = slice.primary, slice.standby
        ready = standby in slice.routes and standby.usable and standby.is_warm
        if ready and not (self.total_heat and self.loads[standby] > self.capacity(standby)):
            return standby
        return self.least_loaded(slice.estimate(), primary, not primary or primary.state != READY)

    def trim_to_budget(self, worker: Worker, slices: list[Slice]) -> None:
        """Move slices away from a restarted worker until the others fit its slow start budget."""
        excess = sum(slice.estimate() for slice in slices) - self.slow_start_budget(worker)
        hottest_first = sorted(slices, key=lambda slice: (-slice.estimate(), slice.number))
        for slice in hottest_first if self.total_heat else ():
            if excess > 0 and (target := self.least_loaded(slice.estimate(), worker)):
                excess -= slice.estimate()
                self.move(slice, target, True)
