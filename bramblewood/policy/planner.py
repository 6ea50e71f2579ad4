"""Decisions of one cycle: ejections, preparation for a surge, and ordinary moves of slices."""

from collections import Counter

from ..events import DEREGISTERED
from ..policy_mechanisms.averages import mean, median
from . import parameters
from .failover import Failover
from .workers import Worker


class Planner(Failover):
    """Ends cycles and makes the ordinary moves; the urgent ones are inherited."""

    def cycle(self) -> None:
        """End a cycle: update the estimates, eject failing workers, prepare for a surge and rebalance."""
        manager = self.manager
        self.forget_workers()
        for slice in manager.own_slices():
            slice.end_cycle()
        answered = sum(worker.answered for worker in manager.workers.values())
        self.answered_rates.append(answered / manager.settings.cycle)
        self.eject_failing_workers()
        self.median_load = median(mean(w.new_loads) for w in manager.workers.values() if w.new_loads)
        others_share = self.median_load * (1 - 1 / manager.manager_count)
        for worker in manager.workers.values():
            worker.end_cycle(self.median_load, others_share * worker.warmth())
        before = self.throttled_count
        self.throttled_count = len([worker for worker in manager.usable_workers() if worker.retries_off])
        if self.throttled_count != before:
            manager.log(f"{self.throttled_count} workers overloaded: no retries, and admission may be cut")
        self.update_loads()
        self.prepare_for_surge()
        self.rebalance()

    def forget_workers(self) -> None:
        """Remove workers long deregistered and silent: new ids arrive, and cut-off workers return sooner."""
        routed = {worker for slice in self.manager.own_slices() for worker in slice.routes}
        for worker in list(self.manager.workers.values()):
            silent = worker.cycles_without_report >= parameters.FORGET_AFTER
            if worker.state == DEREGISTERED and silent and worker not in routed:
                del self.manager.workers[worker.name]

    def rebalance(self) -> None:
        """Move the smallest slice of the most loaded overloaded worker to the least loaded worker."""
        ranked = sorted(self.manager.usable_workers(), key=lambda w: (self.relative_load(w), w.name))
        sources, new_workers = self.overloaded_workers(ranked), self.underused_new_workers(ranked)
        for source in sources[::-1][: 1 + len(new_workers)]:  # one more move per underused new worker
            over_limit = source.is_over_limit()  # else a cooldown saves cache hits and routes at all proxies
            movable = [
                s for s in self.primary_slices[source] if over_limit or s.cooldown_until <= self.manager.now
            ]
            slice = min(movable, key=lambda s: (s.estimate(), s.number), default=None)
            target = self.least_loaded(slice.estimate(), source) if slice else None
            if not slice or not target or source is not sources[-1] and target not in new_workers:
                continue
            if self.loads[target] + slice.estimate() <= parameters.CAPACITY_LIMIT * self.capacity(target):
                self.manager.log(f"slice {slice.number} moves from overloaded {source.name} to {target.name}")
                self.move(slice, target, False)
                first, longest = parameters.COOLDOWN_BOUNDS
                slice.cooldown_until = self.manager.now + min(first * 2**slice.move_count, longest)
                slice.move_count = min(slice.move_count + 1, parameters.MAX_MOVES_COUNTED)
                self.over_limit_cycles[source] = 0  # the next move waits for reports that show this one

    def overloaded_workers(self, ranked: list[Worker]) -> list[Worker]:
        """Return the workers that were overloaded for REPORTS_NEEDED cycles in a row, least loaded first."""
        median_time = median(mean(w.response_times) for w in ranked if w.response_times)
        lowest = self.relative_load(ranked[0]) if ranked else 0.0
        over = [w for w in ranked if self.relative_load(w) > parameters.FLUCTUATION_BOUND * lowest]
        over = [w for w in over if w in self.primary_slices and self.is_overloaded(w, median_time)]
        self.over_limit_cycles = Counter({worker: self.over_limit_cycles[worker] + 1 for worker in over})
        return [worker for worker in over if self.over_limit_cycles[worker] >= parameters.REPORTS_NEEDED]

    def is_overloaded(self, worker: Worker, median_time: float) -> bool:
        """Return whether the load exceeds the limit, or the response time SLOW_FACTOR times the median."""
        times = worker.response_times
        slow = len(times) >= parameters.REPORTS_NEEDED and mean(times) > parameters.SLOW_FACTOR * median_time
        return self.loads[worker] > parameters.CAPACITY_LIMIT * self.capacity(worker) or slow

    def underused_new_workers(self, ranked: list[Worker]) -> list[Worker]:
        """Return workers too new for their averages to count, with a load far below the average."""
        settings, average = self.manager.settings, self.total_heat / self.total_weight
        settled = self.manager.now - settings.slow_start_window - parameters.REPORTS_AVERAGED * settings.cycle
        recent = [worker for worker in ranked if worker.warming_since > settled]
        return [w for w in recent if self.relative_load(w) * parameters.FLUCTUATION_BOUND < average]
