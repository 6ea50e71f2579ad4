"""Slices: estimates of heat (invocations/s), and the routes and admission levels of their tables."""

from ..events import NO_RETRY, READY, RETRY_UNSTARTED, SetAdmission, SetRoute
from ..policy_mechanisms.averages import mean
from ..policy_mechanisms.state import SliceState
from . import parameters
from .workers import Worker


class Slice(SliceState):
    """Estimates the heat of a slice and computes the changes of its table."""

    def set_assigned(self, assigned: bool) -> None:
        """Record that the store assigned or withdrew the slice; its table is unknown until routes arrive."""
        self.assigned, self.routes = assigned, {}
        self.primary = self.standby = self.admission = None
        self.manager.schedule(self.manager.publisher.schedule_resend)

    def add_route(self, worker: Worker, weight: float) -> None:
        """Add a stored route; the heaviest route leads to the primary, the next to the standby."""
        self.routes[worker] = weight
        self.primary, self.standby, *_ = [*sorted(self.routes, key=lambda w: -self.routes[w]), None]

    def end_cycle(self) -> None:
        """Append a heat estimate: the current heat times its trend, the bounded ratio to the heat before."""
        heat = sum(rate for rate, valid_until in self.latest_rates.values() if valid_until > self.manager.now)
        if self.has_new_heat or not heat:
            trend = heat / self.previous_heat if self.previous_heat else 1.0
            lowest, highest = parameters.TREND_BOUNDS
            self.estimates.append(heat * min(max(trend, lowest), highest))
            self.previous_heat, self.has_new_heat = heat, False

    def estimate(self) -> float:
        """Return the mean of the last estimates; before the first one, the heat of an average slice."""
        return mean(self.estimates) if self.estimates else self.manager.planner.typical_heat

    def assign_workers(self, primary: Worker, standby: Worker | None, urgent: bool) -> None:
        """Set the workers that are to serve the slice, and queue its table."""
        self.primary, self.standby = primary, standby
        self.manager.schedule(self.manager.publisher.enqueue, self, urgent)

    def workers_to_exclude(self) -> list[Worker]:
        """Return draining and deregistered workers on its routes that not all proxies exclude already."""
        excluded = self.manager.publisher.excluded
        return [w for w in self.routes if w.state != READY and not excluded.get(w.name)]

    def is_unserved(self) -> bool:
        """Return whether no route leads to a usable worker."""
        return not any(worker.usable for worker in self.routes)

    def leaves_warming_worker(self) -> bool:
        """Return whether traffic still goes to a worker in slow start that is no longer the primary."""
        former = [w for w, weight in self.routes.items() if weight == 1.0 and w is not self.primary]
        return any(worker.usable and not worker.is_warm for worker in former)

    def publishing_priority(self) -> tuple[bool, ...]:
        """Return the sort key: unserved slices, then exclusions, relief of warming workers, new routes."""
        leaving, relieves = self.workers_to_exclude(), self.leaves_warming_worker()
        return not self.is_unserved(), not leaving, not relieves, self.primary in self.routes

    def standby_weight(self) -> float:
        """Return the standby's weight, which is higher if it lets proxies relieve an overloaded primary."""
        primary, standby = self.primary, self.standby
        spare = standby and standby.usable and not standby.retries_off and standby.is_warm
        if not (spare and primary and primary.retries_off and self.manager.settings.load_balancing == "pair"):
            return parameters.STANDBY_WEIGHT
        reports = parameters.REPORTS_NEEDED if primary.report_gap > 1 else parameters.REPORTS_AVERAGED
        return parameters.OVERFLOW_WEIGHT if primary.is_over_limit(reports) else parameters.STANDBY_WEIGHT

    def table_changes(self, expedited: bool) -> tuple[dict, list | None, list]:
        """Return the table's new routes and admission rules, and the orders to set them, new routes first."""
        primary, standby = self.primary, self.standby
        if expedited and self.routes and self.is_unserved() and primary and primary.usable:  # one route only
            return {**self.routes, primary: 1.0}, self.admission, [SetRoute(self.number, primary.name, 1.0)]
        routes = ((standby, self.standby_weight()), (primary, 1.0))
        wanted = {worker: weight for worker, weight in routes if worker}
        orders = [SetRoute(self.number, w.name, n) for w, n in wanted.items() if self.routes.get(w) != n]
        leaving = self.workers_to_exclude()
        excluded = [w for w in self.routes if expedited and w.state != READY and w not in leaving]
        wanted = {w: self.routes[w] for w in excluded[-parameters.MAX_EXCLUDED_ROUTES :]} | wanted
        orders += [SetRoute(self.number, w.name, 0) for w in self.routes if w not in wanted]
        default = [(1.0, RETRY_UNSTARTED)] * len(self.manager.operations_by_value)
        retry = NO_RETRY if primary and primary.retries_off else RETRY_UNSTARTED  # never repeats effects
        rules = [(round(level, 3), retry) for level in primary.admitted] if primary else default
        changed = [k for k, rule in enumerate(rules) if rule != (self.admission or default)[k]]
        for rule in dict.fromkeys(rules[k] for k in changed):  # equal rules share an order
            orders.append(SetAdmission(self.number, tuple(k for k in changed if rules[k] == rule), *rule))
        return wanted, rules, orders
