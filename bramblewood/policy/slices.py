"""Slices: heat with the design's trend, the lines a table should have, and the way there."""

from collections import deque

from .. import events
from .figures import HELD, LONG_AGO, REPORTS, STALE, TURN, Part, mean

TREND = (0.5, 2.0)   # bounds of the trend factor; the design page
STANDBY = 0.01       # weight of a slice's second line; enough to retry at, too little to be a move
OVERFLOW = 0.4       # weight of a second line while the first worker is strained and the second is not


class Slice(Part):
    """A slice: its heat, the lines its table should have, and the lines that the store holds."""

    def __init__(self, manager, number):
        super().__init__(manager)
        self.number, self.ours = number, False
        self.main = self.standby = self.rules = None  # rules: what the store's table lets in, or None
        self.stored, self.latest, self.fresh = {}, {}, False
        self.estimates, self.before = deque(maxlen=REPORTS), None
        self.rests_until, self.moves = LONG_AGO, 0  # of ordinary moves

    def given(self, ours):
        self.ours, self.stored, self.main, self.standby, self.rules = ours, {}, None, None, None
        self.manager.publisher.tell("renew")

    def sent(self, stored, rules):
        self.stored, self.rules = stored, rules

    def held(self, worker, weight):  # the heaviest line is the slice's server
        self.stored[worker] = weight
        self.main, self.standby, *_ = [*sorted(self.stored, key=lambda w: -self.stored[w]), None]

    def heat(self, report):
        over = max(report.interval, TURN)  # where sums are capped they span seconds, and come as seldom
        self.latest[report.operation] = (report.invocations / over, self.manager.now + STALE * over)
        self.fresh = True

    def cycle(self):
        """One report of heat, with the design's trend: heat now x (1 + growth), the factor held in bounds."""
        now = sum(rate for rate, until in self.latest.values() if until > self.manager.now)
        if self.fresh or not now:
            trend = now / self.before if self.before else 1.0  # nothing before: no trend
            self.estimates.append(now * min(max(trend, TREND[0]), TREND[1]))
            self.before, self.fresh = now, False

    def estimate(self):  # with no report yet it counts as an average one, or all go to one
        return mean(self.estimates) if self.estimates else self.manager.planner.typical

    def go(self, main, standby, urgent):
        self.main, self.standby = main, standby
        self.manager.publisher.tell("changed", self, urgent)

    def closed(self):
        return [w for w in self.stored if w.state != events.READY and not self.manager.publisher.off(w)]

    def bare(self):
        return not any(w.usable for w in self.stored)

    def leaves_cold(self):  # its traffic still goes to a cold worker that is not to keep it
        return any(part == 1.0 and w is not self.main and w.usable and w.ramp() < 1.0
                   for w, part in self.stored.items())

    def changes(self, urgent):
        """To the wanted table, new lines first; in haste a bare one's first alone, withdrawn ones wait."""
        main, standby = self.main, self.standby
        if urgent and self.stored and self.bare() and main and main.usable:
            return {**self.stored, main: 1.0}, self.rules, [events.SetRoute(self.number, main.name, 1.0)]
        spare = standby and standby.usable and not standby.cut and standby.ramp() >= 1.0
        spare = spare and main and main.cut and main.full(HELD if main.gap > 1 else REPORTS)
        second = OVERFLOW if spare and self.manager.facts.get("pick") == "pair" else STANDBY  # else it costs
        wanted = {w: part for w, part in ((standby, second), (main, 1.0)) if w is not None}
        orders = [events.SetRoute(self.number, w.name, part) for w, part in wanted.items()
                  if self.stored.get(w) != part]
        off = [w for w in self.stored if urgent and self.manager.publisher.off(w)]
        wanted = {**{w: self.stored[w] for w in off[-2:]}, **wanted}  # more would be told to who joins
        orders += [events.SetRoute(self.number, w.name, 0) for w in self.stored if w not in wanted]
        usual = [(1.0, events.RETRY_UNSTARTED)] * len(self.manager.by_value)
        rules = main.rules() if main else usual
        changed = [k for k, rule in enumerate(rules) if rule != (self.rules or usual)[k]]
        orders += [events.SetAdmission(self.number, tuple(k for k in changed if rules[k] == rule), *rule)
                   for rule in dict.fromkeys(rules[k] for k in changed)]  # equal rules share a line
        return wanted, rules, orders
