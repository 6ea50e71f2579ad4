"""Slices: heat with the design's trend, the routes that a table should have, and the way there."""

from ..events import NO_RETRY, READY, RETRY_UNSTARTED, SetAdmission, SetRoute
from ..policy_mechanisms.averages import mean
from ..policy_mechanisms.state import SliceState
from . import parameters
from .workers import Worker


class Slice(SliceState):
    """A slice's estimates of heat, and the changes that its table needs."""

    def set_assigned(self, assigned: bool) -> None:
        """The store assigned the slice or took it away: nothing is known of its table."""
        self.assigned, self.routes = assigned, {}
        self.primary = self.standby = self.admission = None
        self.manager.schedule(self.manager.publisher.renew)

    def add_route(self, worker: Worker, weight: float) -> None:
        """Add a route that the store has; the heaviest one is the primary."""
        self.routes[worker] = weight
        self.primary, self.standby, *_ = [*sorted(self.routes, key=lambda w: -self.routes[w]), None]

    def end_cycle(self) -> None:
        """One estimate of heat with the design's trend: heat now x (1 + growth), the factor in bounds."""
        heat = sum(rate for rate, valid_until in self.latest.values() if valid_until > self.manager.now)
        if self.has_new_heat or not heat:
            trend = heat / self.previous_heat if self.previous_heat else 1.0  # nothing before: no trend
            lowest, highest = parameters.TREND_BOUNDS
            self.estimates.append(heat * min(max(trend, lowest), highest))
            self.previous_heat, self.has_new_heat = heat, False

    def estimate(self) -> float:
        """The heat averaged over the last reports; an average slice's before the first one."""
        return mean(self.estimates) if self.estimates else self.manager.planner.typical_heat

    def assign_workers(self, primary: Worker, standby: Worker | None, urgent: bool) -> None:
        """Name the workers that are to serve the slice, and queue its table."""
        self.primary, self.standby = primary, standby
        self.manager.schedule(self.manager.publisher.enqueue, self, urgent)

    def closed_workers(self) -> list[Worker]:
        """Workers with a route that are draining or gone, and that not all proxies know to be excluded."""
        excluded = self.manager.publisher.excluded
        return [w for w in self.routes if w.state != READY and not excluded.get(w.name)]

    def is_unserved(self) -> bool:
        """Whether no route leads to a usable worker."""
        return not any(worker.usable for worker in self.routes)

    def leaves_warming_worker(self) -> bool:
        """Whether its traffic still goes to a worker in slow start that is not to keep it."""
        losing = [w for w, weight in self.routes.items() if weight == 1.0 and w is not self.primary]
        return any(worker.usable and not worker.is_warm for worker in losing)

    def publishing_priority(self) -> tuple[bool, ...]:
        """The order in which urgent tables go: unserved, closed and warming workers first, new primaries."""
        closed, warming = self.closed_workers(), self.leaves_warming_worker()
        return not self.is_unserved(), not closed, not warming, self.primary in self.routes

    def standby_weight(self) -> float:
        """The weight of the standby route: more for a strained primary where proxies pick the less loaded."""
        primary, standby = self.primary, self.standby
        spare = standby and standby.usable and not standby.retries_cut and standby.is_warm
        if not (spare and primary and primary.retries_cut and self.manager.settings.pick == "pair"):
            return parameters.STANDBY_WEIGHT
        reports = parameters.REPORTS_HELD if primary.report_gap > 1 else parameters.REPORTS_AVERAGED
        return parameters.OVERFLOW_WEIGHT if primary.is_over_limit(reports) else parameters.STANDBY_WEIGHT

    def changes(self, urgent: bool) -> tuple[dict, list | None, list]:
        """The routes and admission that the table should have, and the orders to it, new routes first."""
        primary, standby = self.primary, self.standby
        if urgent and self.routes and self.is_unserved() and primary and primary.usable:  # that route alone
            return {**self.routes, primary: 1.0}, self.admission, [SetRoute(self.number, primary.name, 1.0)]
        routes = ((standby, self.standby_weight()), (primary, 1.0))
        wanted = {worker: weight for worker, weight in routes if worker}
        orders = [SetRoute(self.number, w.name, n) for w, n in wanted.items() if self.routes.get(w) != n]
        closed = self.closed_workers()
        excluded = [w for w in self.routes if urgent and w.state != READY and w not in closed]
        wanted = {w: self.routes[w] for w in excluded[-parameters.MAX_EXCLUDED_ROUTES :]} | wanted
        orders += [SetRoute(self.number, w.name, 0) for w in self.routes if w not in wanted]
        default = [(1.0, RETRY_UNSTARTED)] * len(self.manager.operations_by_value)
        retry = NO_RETRY if primary and primary.retries_cut else RETRY_UNSTARTED  # none may act twice
        rules = [(round(level, 3), retry) for level in primary.admitted] if primary else default
        changed = [k for k, rule in enumerate(rules) if rule != (self.admission or default)[k]]
        for rule in dict.fromkeys(rules[k] for k in changed):  # equal rules share an order
            orders.append(SetAdmission(self.number, tuple(k for k in changed if rules[k] == rule), *rule))
        return wanted, rules, orders
