"""The ordinary rule of the design: two averaged tests that hold, then one smallest slice a cycle moves."""

from collections import Counter

from ..policy_base import parameters
from ..policy_base.averages import mean, median
from .load_accounting import LoadAccounting
from .slices import Slice
from .workers import Worker


class Rebalancing(LoadAccounting):
    """The design's rule."""

    def rebalance(self) -> None:
        """The smallest slice of a worker over its limit and over the bound goes to the least loaded."""
        ranked = sorted(self.manager.usable_workers(), key=lambda w: (self.relative_load(w), w.name))
        over, newcomers = self.over_limit(ranked), self.newcomers(ranked)
        for source in over[::-1][: 1 + len(newcomers)]:  # each newcomer may take one till it has its part
            slice = self.smallest_rested_slice(source)
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

    def smallest_rested_slice(self, source: Worker) -> Slice | None:
        """The smallest slice that may move: each move costs key caches and a route to all proxies."""
        is_over, now = source.is_over_limit(), self.manager.now
        rested = [slice for slice in self.by_primary[source] if is_over or slice.rests_until <= now]
        return min(rested, key=lambda slice: (slice.estimate(), slice.number), default=None)
