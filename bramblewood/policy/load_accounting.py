"""Load accounting: loads in heat (invocations/s), capacities, and the choice of the least loaded worker."""

from collections import Counter, deque

from ..policy_mechanisms.averages import mean
from . import parameters
from .slices import Slice
from .workers import Worker


class LoadAccounting:
    """Holds the loads of all workers, by which urgent and ordinary moves choose their targets."""

    def __init__(self, manager):
        self.manager = manager
        self.loads, self.own_loads = Counter(), Counter()  # heat by worker: from all managers, from this one
        self.standby_counts, self.over_limit_cycles, self.primary_slices = Counter(), Counter(), {}
        self.recent_moves, self.answered_rates = deque(), deque(maxlen=parameters.REPORTS_AVERAGED)
        self.own_heat = self.total_heat = self.total_load = self.median_load = self.throttled_count = 0.0
        self.total_weight, self.usual_total_load, self.typical_heat = 1.0, 1.0, 1.0
        self.blocked = set()  # workers that stay excluded until no table has an old route to them

    def update_loads(self) -> None:
        """Scale the reported loads so that they add up to the heat of all slices; then add recent moves."""
        manager, slices = self.manager, self.manager.own_slices()
        ready = manager.ready_workers()
        self.typical_heat = mean([s.estimate() for s in slices if s.estimates]) or self.typical_heat
        self.own_loads, self.primary_slices = Counter(), {}
        for slice in slices:
            self.own_loads[slice.primary] += slice.estimate()
            self.primary_slices.setdefault(slice.primary, []).append(slice)
        self.own_heat = sum(slice.estimate() for slice in slices)
        self.total_heat = self.own_heat * max(manager.settings.slices, len(slices)) / max(len(slices), 1)
        self.total_weight = sum(worker.weight for worker in ready) or 1.0
        usual_load = min(max(self.median_load, parameters.WORKING_POINT), parameters.MAX_LOAD_FACTOR)
        self.usual_total_load = usual_load * sum(worker.weight * worker.warmth() for worker in ready) or 1.0
        self.total_load = sum(mean(worker.recent_loads) * worker.weight for worker in ready)
        scale = self.total_heat / (self.total_load or 1.0)
        self.loads = Counter({w: scale * w.weight * mean(w.recent_loads) for w in manager.workers.values()})
        self.add_recent_moves()

    def add_recent_moves(self) -> None:
        """Shift the heat of recent moves, by the share of the averaged reports that precede each move."""
        now, lag, averaged = self.manager.now, parameters.REPORT_LAG, parameters.REPORTS_AVERAGED
        while self.recent_moves and self.recent_moves[0][0] < now - lag - averaged:
            self.recent_moves.popleft()
        for moved_at, source, target, heat in self.recent_moves:
            unseen = min(1 - (now - moved_at - lag) / averaged, 1.0)
            for worker, sign in ((source, -1), (target, 1)):
                self.loads[worker] = max(self.loads[worker] + sign * heat * unseen, 0.0)

    def capacity(self, worker: Worker) -> float:
        """Estimate a worker's capacity in heat: its share of all heat by weight, over the working point."""
        return worker.weight / self.total_weight * self.total_heat / parameters.WORKING_POINT

    def can_take(self, worker: Worker, heat: float) -> bool:
        """Return whether slow start allows a slice of this heat: one slice a cycle, within the budget."""
        if worker.is_warm:
            return True
        spacing = parameters.SLOW_START_SPACING * self.manager.settings.cycle
        waited = worker.last_slice_at <= self.manager.now - spacing
        fits = self.own_loads[worker] + heat <= self.slow_start_budget(worker)
        return not worker.retries_off and waited and fits

    def safe_capacity(self, worker: Worker) -> float:
        """Return the heat that a worker can surely serve: its share by warmth of answers, less retries."""
        answered = mean([rate for rate in self.answered_rates if rate])
        answered = answered * self.total_heat / (self.own_heat or 1.0)  # extrapolated to all managers
        return worker.warmth() * worker.weight * min(answered, self.total_heat) / self.usual_total_load

    def slow_start_budget(self, worker: Worker) -> float:
        """Return the heat that this manager may assign to a warming worker; managers share its capacity."""
        known = self.manager.utilization_known and self.total_load
        spare = self.usual_total_load / self.total_load if known else 1.0  # utilization shows spare capacity
        return self.safe_capacity(worker) * spare * parameters.SLOW_START_SHARE / self.manager.manager_count

    def relative_load(self, worker: Worker) -> float:
        """Return the load over the listed weight, by which workers are ranked."""
        return self.loads[worker] / worker.weight

    def least_loaded(self, heat: float, excluded: Worker | None, force: bool = False) -> Worker | None:
        """Return the least loaded worker that can take this heat; `force` allows any ready one otherwise."""
        ready = [w for w in self.manager.ready_workers() if w is not excluded and w not in self.blocked]
        able = [w for w in ready if w.usable and self.can_take(w, heat)]
        if force and not able:  # an ejected warm worker is preferred to a warming one
            warm_since = self.manager.now - self.manager.settings.slow_start_window
            able = [w for w in ready if w.started <= warm_since] or ready
            able = [w for w in able if w.usable] or able
        return min(able, key=lambda w: (self.relative_load(w) + heat / w.weight, w.name), default=None)

    def move(self, slice: Slice, target: Worker, urgent: bool) -> None:
        """Make another worker the primary of a slice, and update the loads of both workers."""
        heat, source = slice.estimate(), slice.primary
        self.own_loads[source] -= heat
        self.own_loads[target] += heat
        self.loads[source] = max(self.loads[source] - heat, 0.0)
        heat *= self.manager.manager_count if urgent else 1  # other managers probably choose the same target
        self.loads[target] += heat
        self.recent_moves.append((self.manager.now, source, target, heat))
        target.last_slice_at = self.manager.now
        known = sum(rate > 0 for rate in self.answered_rates) >= parameters.REPORTS_NEEDED
        if urgent and known:  # directly after a start no capacity is known yet
            self.manager.schedule(target.cut_early, self.loads[target] / (self.safe_capacity(target) or 1.0))
        keeps = slice.standby and slice.standby is not target and slice.standby.usable
        standby = slice.standby if keeps else self.choose_standby(target)
        self.manager.schedule(slice.assign_workers, target, standby, urgent)

    def choose_standby(self, primary: Worker) -> Worker | None:
        """Return a warm worker, preferably of another zone, and count it; None on single-owner sites."""
        allowed = not self.manager.settings.single_owner
        able = [w for w in self.manager.usable_workers() if allowed and w is not primary and w.is_warm]
        able.sort(key=lambda w: (w.zone == primary.zone, self.standby_counts[w] / w.weight, w.name))
        standby = able[0] if able else None
        self.standby_counts[standby] += 1
        return standby
