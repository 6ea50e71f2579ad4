"""Urgent moves: slices of draining, dead and ejected workers at once; load that grows is prepared for."""

import math
from collections import Counter

from ..events import READY
from ..policy_mechanisms.averages import mean, median
from . import parameters
from .load_accounting import LoadAccounting
from .slices import Slice
from .workers import Worker


class Failover(LoadAccounting):
    """What can't wait for the ordinary rule."""

    def prepare_for_surge(self) -> None:
        """Heat that jumps everywhere leaves nowhere to move to: cut ahead, if utilization is known."""
        slices = [s for s in self.manager.own_slices() if s.estimates and self.manager.utilization_known]
        growth = sum(s.estimates[-1] for s in slices) / (sum(s.estimate() for s in slices) or math.inf)
        if growth > parameters.SURGE:
            for worker in dict.fromkeys(s.primary for s in slices if s.primary):
                self.manager.schedule(worker.cut_ahead, mean(worker.loads) * growth)

    def eject_failing(self) -> None:
        """Eject workers for unanswered attempts; slow ones only if all is late and others have room."""
        ready = self.manager.ready_workers()
        spare = self.manager.utilization_known and 0 < self.median_load < parameters.SPARE_LOAD
        tried = [w for w in ready if sum(w.outcomes) >= parameters.MIN_ATTEMPTS]
        unanswered = {w: w.outcomes[1] / sum(w.outcomes) for w in tried}
        limit = parameters.FAILING_SHARE + median(unanswered.values())
        slow = parameters.STRAINED * self.manager.latency_objective
        suspected = [w for w, share in unanswered.items() if w.usable and share >= limit]
        jammed = [w for w in suspected if spare and w.retries_cut and w.strain > parameters.SLOW_FACTOR]
        failing = [w for w in suspected if w in jammed or w.response_time() < slow]
        if len(failing) > parameters.MOST_EJECTED * len(ready) - sum(not worker.usable for worker in ready):
            self.manager.log(f"{len(failing)} workers look broken at once: not believed")
            return
        for worker in failing:
            self.manager.schedule(worker.eject, f"{unanswered[worker]:.0%} of its tries unanswered")

    def reassign_unserved(self) -> None:
        """Slices without a usable primary move at once; tables that name a closed worker are urgent."""
        slices, publisher = self.manager.own_slices(), self.manager.publisher
        self.standby_counts = Counter(slice.standby for slice in slices)  # goes on while it hands out
        old_routes = {w for s in slices for w in s.routes if w not in (s.primary, s.standby)}
        self.blocked = {worker for worker in old_routes if publisher.excluded.get(worker.name)}
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
            if slice.closed_workers():
                self.manager.schedule(publisher.enqueue, slice, True)
        for worker in [w for w in self.manager.usable_workers() if w in by_primary and not w.is_warm]:
            self.trim_to_budget(worker, by_primary[worker])  # after the rest, so that its word is the last
        for worker_and_state, count in moved.items():
            self.manager.log(f"{count} slices of {worker_and_state} moved at once")

    def failover_target(self, slice: Slice) -> Worker | None:
        """The standby, to which proxies turn by themselves, while warm and not full; or the least loaded."""
        primary, standby = slice.primary, slice.standby
        ready = standby in slice.routes and standby.usable and standby.is_warm
        if ready and not (self.total_heat and self.loads[standby] > self.capacity(standby)):
            return standby
        return self.least_loaded(slice.estimate(), primary, not primary or primary.state != READY)

    def trim_to_budget(self, worker: Worker, slices: list[Slice]) -> None:
        """A worker that restarted under its slices keeps only what a warming one may have."""
        excess = sum(slice.estimate() for slice in slices) - self.slow_start_budget(worker)
        hottest_first = sorted(slices, key=lambda slice: (-slice.estimate(), slice.number))
        for slice in hottest_first if self.total_heat else ():
            if excess > 0 and (target := self.least_loaded(slice.estimate(), worker)):
                excess -= slice.estimate()
                self.move(slice, target, True)
