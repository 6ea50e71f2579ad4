"""Once a cycle: urgent moves, then the design's two averaged tests that hold and one smallest slice."""

from collections import Counter

from ..events import DEREGISTERED
from ..policy_mechanisms.averages import mean, median
from . import parameters
from .failover import Failover
from .workers import Worker


class Planner(Failover):
    """The design's rule, and the urgent moves around it."""

    def cycle(self) -> None:
        """Once a cycle: end it for slices and workers, then eject, prepare and rebalance."""
        manager = self.manager
        self.forget_workers()
        for slice in manager.own_slices():
            slice.end_cycle()
        answered = sum(worker.answered for worker in manager.workers.values())
        self.answered_rates.append(answered / manager.settings.cycle)
        self.eject_failing()
        self.median_load = median(mean(w.new_loads) for w in manager.workers.values() if w.new_loads)
        others_share = self.median_load * (1 - 1 / manager.manager_count)
        for worker in manager.workers.values():
            worker.end_cycle(self.median_load, others_share * worker.warmth())
        before = self.strained_count
        self.strained_count = len([worker for worker in manager.usable_workers() if worker.retries_cut])
        if self.strained_count != before:
            manager.log(f"{self.strained_count} workers strained: tries, then levels cut")
        self.update_loads()
        self.prepare_for_surge()
        self.rebalance()

    def forget_workers(self) -> None:
        """Forget those long deregistered: ids are new all day, and one that was cut off returns sooner."""
        named = {worker for slice in self.manager.own_slices() for worker in slice.routes}
        for worker in list(self.manager.workers.values()):
            silent = worker.cycles_without_report >= parameters.FORGET_AFTER
            if worker.state == DEREGISTERED and silent and worker not in named:
                del self.manager.workers[worker.name]

    def rebalance(self) -> None:
        """The smallest slice of a worker over its limit and over the bound goes to the least loaded."""
        ranked = sorted(self.manager.usable_workers(), key=lambda w: (self.relative_load(w), w.name))
        over, newcomers = self.over_limit(ranked), self.newcomers(ranked)
        for source in over[::-1][: 1 + len(newcomers)]:  # each newcomer may take one till it has its part
            is_over = source.is_over_limit()  # moves cost key caches and a route to all proxies: few, small
            rested = [s for s in self.by_primary[source] if is_over or s.rests_until <= self.manager.now]
            slice = min(rested, key=lambda s: (s.estimate(), s.number), default=None)
            target = self.least_loaded(slice.estimate(), source) if slice else None
            if not slice or not target or source is not over[-1] and target not in newcomers:
                continue
            if self.loads[target] + slice.estimate() <= parameters.CAPACITY_LIMIT * self.capacity(target):
                self.manager.log(f"slice {slice.number} from {source.name} (over) to {target.name}")
                self.move(slice, target, False)
                first, longest = parameters.REST_TIMES
                slice.rests_until = self.manager.now + min(first * 2**slice.moves, longest)
                slice.moves = min(slice.moves + 1, parameters.MAX_MOVES_COUNTED)
                self.over_limit_cycles[source] = 0  # the next move needs reports that have seen this one

    def over_limit(self, ranked: list[Worker]) -> list[Worker]:
        """Workers for which both tests have held for three reports, least loaded first."""
        median_time = median(mean(w.response_times) for w in ranked if w.response_times)
        least = self.relative_load(ranked[0]) if ranked else 0.0
        over = [w for w in ranked if self.relative_load(w) > parameters.FLUCTUATION_BOUND * least]
        over = [w for w in over if w in self.by_primary and self.is_over(w, median_time)]
        self.over_limit_cycles = Counter({worker: self.over_limit_cycles[worker] + 1 for worker in over})
        return [worker for worker in over if self.over_limit_cycles[worker] >= parameters.REPORTS_HELD]

    def is_over(self, worker: Worker, median_time: float) -> bool:
        """Whether a worker is over its limit, or half again slower than the median over three reports."""
        times = worker.response_times
        slow = len(times) >= parameters.REPORTS_HELD and mean(times) > parameters.SLOW_FACTOR * median_time
        return self.loads[worker] > parameters.CAPACITY_LIMIT * self.capacity(worker) or slow

    def newcomers(self, ranked: list[Worker]) -> list[Worker]:
        """Workers whose load does not show yet and that carry less than the average over the bound."""
        settings, average = self.manager.settings, self.total_heat / self.total_weight
        shown = self.manager.now - settings.slow_start_window - parameters.REPORTS_AVERAGED * settings.cycle
        young = [worker for worker in ranked if worker.warming_since > shown]
        return [w for w in young if self.relative_load(w) * parameters.FLUCTUATION_BOUND < average]
