"""Every decision of a manager: which worker serves which slice, which orders go out and when.

Called so: one Manager(seed, facts) at a start, facts being a plain map; then handle(now, events) gives the
orders to send, in turn. Words: interface.py; the design: docs/design.md. Pure: no input, output or clock.
"""

import math
import zlib
from collections import Counter, deque

from . import interface as door

REPORTS = 5          # reports averaged; the design page
HELD = 3             # reports in a row that both tests must hold; the design page
LIMIT = 0.75         # share of capacity, the middle of the paper's 0.70-0.80
BOUND = 1.4          # top load over bottom load, the middle of the paper's 1.3-1.5
WORKING_POINT = 0.65  # share of capacity at which the paper's servers answer best; capacity is load over this
SLOW = 1.5           # times the median answer time, "half again slower"; the design page
TREND = (0.5, 2.0)   # bounds of the trend factor; the design page
TENTH = 10           # turns in which ordinary tables go out; the design page
TURN = 0.5           # s between turns of publishing, so that ten turns take about the five reports' time
UNSEEN = 2.0         # s before a report shows a move: longest delay of a report and of an order, roughly
STALE = 3            # cycles, or spans of a sum, without a report after which the last one no longer counts
QUEUED = 0.1         # busy workers that one waiting invocation stands for; ten waiting are a full worker more
STANDBY = 0.01       # weight of a slice's second line; enough to retry at, too little to be a move
OVERFLOW = 0.4       # weight of a second line while the first worker is strained and the second is not
COLD_PART = 0.8      # part of a cold worker's sure capacity used; at all of it one fell over under overload
FAILING = 0.5        # share of unanswered tries at which a worker is doubted; noise stays far below
FEW = 4              # tries, fewer say nothing
SPARE = 0.5          # share of capacity that the usual worker uses while it can take in what jams another
MOST_DOUBTED = 0.45  # share of open workers that may be doubted; more is a fault of the view
DOUBT = 6.0          # s out of use at a first doubt, doubled twice at the most: recovered workers are needed
WAITING_PART = 0.6   # part used of the lines that may wait; the rest is for what answers do not tell
MESSAGES_PART = 0.8  # part of the messages allowed which is used; the rest is for what still travels
JAMMED = 2.0         # times the usual load level, the most that a report counts
STRAINED = 0.35      # answer time over latency objective above which less is let in
RELAXED = 0.25       # the same, below which more is let in again; the gap keeps levels from swinging
CUT = (0.25, 0.9)    # least and most that a level keeps at one cut; between, by share answered and time
FLOOR = 0.1          # level below which the next operation is cut; a little shows how things stand
RAISE = 0.2          # part of an operation let in again each cycle; five cycles from nothing to all
LAG = 3.0            # s before a cut shows in reports: order, answer and report, each about one
SURGE = 1.3          # latest heat over its average; below it growth is noise
LAPSE = 120.0        # s after which an unanswered message no longer waits; channels were seen 40 s behind
PATIENCE = 4.0       # s without an answer before a list is asked for again; calls time out sooner
RESTS = (5.0, 640.0)  # s that a slice rests after its first ordinary move, doubled with each, and at most
KEPT_OFF = 1000      # workers remembered as withdrawn; ids may come again long after, and for ever would grow
FORGET = 60          # cycles without a report after which the gone are forgotten; the cut off return sooner
LONG_AGO = -1e9      # s, a start before any clock


def usual(values):
    ranked = sorted(values)
    return ranked[len(ranked) // 2] if ranked else 0.0


def mean(values):
    return sum(values) / len(values) if values else 0.0


def sound(*figures):  # usable in a report: finite and not negative
    return all(isinstance(f, (int, float)) and math.isfinite(f) and f >= 0 for f in figures)


class Part:
    """A small actor: notes go into its inbox, and the manager's loop hands it one at a time."""

    def __init__(self, manager):
        self.manager, self.inbox = manager, deque()

    def tell(self, note, *what):
        self.inbox.append((note, what))
        self.manager.post.append(self)


class Worker(Part):
    """A worker as listed, as its load reports show it, and as proxies met it."""

    def __init__(self, manager, name):
        super().__init__(manager)
        self.name, self.state, self.weight, self.zone, self.doubts = name, door.GONE, 1.0, "", 0
        self.started = self.trusted = self.doubted_until = self.taken_at = LONG_AGO
        self.forget()

    def forget(self):
        """What was measured of an earlier process says nothing of this one."""
        self.levels, self.times, self.latest = deque(maxlen=REPORTS), deque(maxlen=REPORTS), []
        self.outcomes, self.carried = [0.0, 0.0], [0.0, 0.0]  # answered, unanswered, halved; the old part
        self.met, self.silent = [], STALE
        self.cut, self.again_at, self.braced_until = False, LONG_AGO, LONG_AGO  # cut: no further tries
        self.strain = self.load = self.good = 0.0  # answer time over objective; last load; answers this cycle
        self.admitted = [1.0] * len(self.manager.facts.get("operations", []))

    @property
    def usable(self):
        return self.state == door.READY and self.doubted_until <= self.manager.now

    def full(self, reports=REPORTS):  # over its limit by its own word, where it is told
        return not self.manager.tells_busy or mean([*self.levels][-reports:]) > LIMIT

    def ramp(self):  # part of its capacity that it surely has; a new or newly trusted one has little
        facts, age = self.manager.facts, self.manager.now - self.trusted
        warm_after, least = facts.get("warm_after", 0.0), facts.get("cold_from", 1.0)
        return 1.0 if age >= warm_after else least + (1 - least) * max(age, 0.0) / warm_after

    def listed(self, entry):
        started = entry.started if sound(entry.started) else LONG_AGO
        if started != self.started:
            self.forget()  # a new process: cold, whatever the old one did
            if self.manager.now < self.manager.sure_from:  # an earlier start of ours may have withdrawn it
                self.manager.publisher.open.setdefault(self.name)
            self.trusted, self.doubted_until, self.doubts = started, LONG_AGO, 0
        for piece in [p for p in self.manager.ours() if entry.state != self.state and self in p.stored]:
            self.manager.publisher.tell("changed", piece, True)  # its withdrawal is due, or over
        self.started, self.state, self.zone = started, entry.state, entry.zone
        self.weight = entry.weight if sound(entry.weight) and entry.weight > 0 else 1.0

    def heard(self, report):
        good = max(report.tries - report.unanswered, 0)
        self.good += good
        if self.manager.now - report.over >= self.doubted_until:  # older sums say nothing of it as it is
            self.outcomes[0] += good
            self.outcomes[1] += report.unanswered
            self.met += [(report.mean_time, good)] * (good > 0 < report.mean_time)
        load = {k: v for k, v in report.load.items() if sound(v)}
        if "busy" in load:
            self.latest.append(load["busy"] + QUEUED * load.get("queued", 0.0))
        elif "held" in load:
            self.latest.append(load["held"] / self.weight)
        elif not {"busy", "held"} & set(self.manager.facts.get("load_fields", ())):
            self.latest.append(report.tries / max(report.over, 0.1) / self.weight)

    def doubt(self, why):
        """Out of use for a while, longer each time; taken back as if new, one slice at a time."""
        hold, self.doubts = DOUBT * 2 ** self.doubts, min(self.doubts + 1, 2)
        self.doubted_until = self.trusted = self.manager.now + hold
        self.outcomes, self.carried = [0.0, 0.0], [0.0, 0.0]
        self.manager.orders.append(door.Doubted(self.name, self.doubted_until, self.doubts))
        self.manager.log(f"worker {self.name} out of use for {hold:.0f} s: {why}")

    def cycle(self, usual_level, expected):
        self.silent = 0 if self.latest else self.silent + 1
        if self.latest:  # a jammed worker's queue must not make all others look idle
            self.load = mean(self.latest)
            self.levels.append(min(self.load, JAMMED * usual_level or math.inf))
        elif self.silent >= STALE:  # few try it: assume that it carries what is expected of it
            self.levels.append(expected)
        self.latest, self.good = [], 0.0
        self.feel()

    def answer_time(self):
        good = sum(n for _, n in self.met)
        return sum(t * n for t, n in self.met) / good if good else self.times[-1] if self.times else 0.0

    def feel(self):
        """Overload, whatever its cause: further tries are cut first, then levels, by billed value."""
        good, bad = (now - old for now, old in zip(self.outcomes, self.carried, strict=True))
        if fresh := good + bad >= FEW:  # fewer say nothing: they wait for more
            self.times.append(self.answer_time())
            self.strain = self.times[-1] / self.manager.objective
            self.met, self.outcomes = [], [part / 2 for part in self.outcomes]
            self.carried = list(self.outcomes)
        time, by_value, before = self.strain, self.manager.by_value, (self.cut, list(self.admitted))
        loaded = self.load >= LIMIT or not self.manager.tells_busy  # an idle one is only far
        # sums that come thin leave cycles out: nothing eases in those, nor by few tries where load is told
        unheard = not fresh and (self.silent >= STALE or not (self.silent or self.manager.tells_busy))
        if fresh and time > STRAINED and loaded and self.manager.now >= self.again_at:
            low = next((k for k in by_value if self.admitted[k] > FLOOR), None)
            deeper = self.cut or self.ramp() < 1  # a cold one would fall over before levels came
            self.again_at = self.manager.now + (LAG if deeper else 0.0)
            if deeper and low is not None:
                kept = CUT[1] * good / (good + bad) / max(time, 1.0)  # a long queue must drain first
                self.admitted[low] = max(self.admitted[low] * max(CUT[0], kept), FLOOR)
            self.cut = True
        elif (time < RELAXED or not loaded or unheard) and self.manager.now >= self.braced_until:
            shut = next((k for k in reversed(by_value) if self.admitted[k] < 1), None)
            self.cut = self.cut and shut is not None
            if shut is not None:  # faster the further a worker is from its limit, where busyness is told
                room = LIMIT / max(self.load, RAISE) if self.manager.tells_busy else 1.0
                self.admitted[shut] = min(self.admitted[shut] + RAISE * max(room, 1.0), 1.0)
        self.publish((self.cut, self.admitted) != before)

    def brace(self, expected):
        """Urgent slices will take it past what it can do: let in less before its queue grows."""
        if expected > 1 and self.admitted:
            least = self.manager.by_value[0]
            self.admitted[least] = max(min(self.admitted[least], 1 / expected), FLOOR)
            self.cut, self.again_at, self.braced_until = True, self.manager.now + LAG, self.manager.now + LAG
            self.publish(True)

    def rules(self):
        """Level and further tries of each operation; what may take effect twice is never repeated."""
        return [(round(n, 3), door.NO_RETRY if self.cut else door.RETRY_UNSTARTED) for n in self.admitted]

    def publish(self, changed):
        for piece in [p for p in self.manager.ours() if p.main is self] if changed else ():
            self.manager.publisher.tell("changed", piece, True)


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
        over = max(report.over, TURN)  # where sums are capped they span seconds, and come as seldom
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
        return [w for w in self.stored if w.state != door.READY and not self.manager.publisher.off(w)]

    def bare(self):
        return not any(w.usable for w in self.stored)

    def leaves_cold(self):  # its traffic still goes to a cold worker that is not to keep it
        return any(part == 1.0 and w is not self.main and w.usable and w.ramp() < 1.0
                   for w, part in self.stored.items())

    def changes(self, urgent):
        """To the wanted table, new lines first; in haste a bare one's first alone, withdrawn ones wait."""
        main, standby = self.main, self.standby
        if urgent and self.stored and self.bare() and main and main.usable:
            return {**self.stored, main: 1.0}, self.rules, [door.SetLine(self.number, main.name, 1.0)]
        spare = standby and standby.usable and not standby.cut and standby.ramp() >= 1.0
        spare = spare and main and main.cut and main.full(HELD)
        second = OVERFLOW if spare and self.manager.facts.get("pick") == "pair" else STANDBY  # else it costs
        wanted = {w: part for w, part in ((standby, second), (main, 1.0)) if w is not None}
        orders = [door.SetLine(self.number, w.name, n) for w, n in wanted.items() if self.stored.get(w) != n]
        off = [w for w in self.stored if urgent and self.manager.publisher.off(w)]
        wanted = {**{w: self.stored[w] for w in off[-2:]}, **wanted}  # more would be told to who joins
        orders += [door.SetLine(self.number, w.name, 0) for w in self.stored if w not in wanted]
        usual = [(1.0, door.RETRY_UNSTARTED)] * len(self.manager.by_value)
        rules = main.rules() if main else usual
        changed = [k for k, rule in enumerate(rules) if rule != (self.rules or usual)[k]]
        orders += [door.Admit(self.number, tuple(k for k in changed if rules[k] == rule), *rule)
                   for rule in dict.fromkeys(rules[k] for k in changed)]  # equal rules share a line
        return wanted, rules, orders


class Roster(Part):
    """Keeps to the list; where it must be asked for, asks again in time and without flooding."""

    def __init__(self, manager):
        super().__init__(manager)
        self.following, self.ask_at = not manager.facts.get("must_ask_for_list"), LONG_AGO
        self.called, self.failures = False, 0  # called: a call is out; a failure of none puts no next one off

    def listed(self, event):
        named = {self.manager.worker(entry.worker): entry for entry in event.workers}
        for worker in self.manager.workers.values() if event.complete else named:
            worker.tell("listed", named.get(worker) or door.ListedWorker(worker.name, door.GONE))
        if not event.cached:
            self.following, self.called, self.failures = True, False, 0

    def failed(self):
        if self.manager.facts.get("must_ask_for_list") and (self.following or self.called):
            self.following = self.called = False
            self.failures += 1
            wait = min(0.5 * 2 ** self.failures, self.manager.facts.get("ask_within", PATIENCE) / 2)
            self.ask_at = self.manager.now + wait * (0.5 + self.manager.chance())
            self.manager.log(f"a call for the list failed, the {self.failures}. time: asked again soon")

    def turn(self):
        if not self.following and self.manager.now >= self.ask_at:
            self.manager.orders.append(door.FollowList(True))
            self.ask_at, self.called = self.manager.now + PATIENCE, True


class Planner(Part):
    """The design's rule, and the urgent moves around it."""

    def __init__(self, manager):
        super().__init__(manager)
        self.held, self.loads, self.own, self.seconds = Counter(), Counter(), Counter(), Counter()
        self.moves, self.answered = deque(), deque(maxlen=REPORTS)
        self.heat = self.total = self.busy = self.common = self.strained = 0.0
        self.weights, self.full, self.typical, self.stale = 1.0, 1.0, 1.0, set()

    def cycle(self):
        manager, named = self.manager, {w for piece in self.manager.ours() for w in piece.stored}
        manager.workers = {name: w for name, w in manager.workers.items()
                           if w.state != door.GONE or w in named or w.silent < FORGET}  # ids are new all day
        for piece in manager.ours():
            piece.cycle()
        self.answered.append(sum(w.good for w in manager.workers.values()) / manager.facts.get("cycle", 1.0))
        self.judge()
        self.common = usual(mean(w.latest) for w in manager.workers.values() if w.latest)
        for worker in manager.workers.values():
            worker.cycle(self.common, self.common * (1 - 1 / manager.managers) * worker.ramp())
        self.strained, before = len([w for w in manager.usable() if w.cut]), self.strained
        if self.strained != before:
            manager.log(f"{self.strained} workers strained: tries, then levels cut")
        self.books()
        self.surge()
        self.rule()

    def books(self):
        """Loads in heat: reported levels scaled to add up to the heat of all slices, moves included."""
        manager, pieces = self.manager, self.manager.ours()
        ready = manager.ready()
        self.typical = mean([piece.estimate() for piece in pieces if piece.estimates]) or self.typical
        self.own, self.by_main = Counter(), {}
        for piece in pieces:
            self.own[piece.main] += piece.estimate()
            self.by_main.setdefault(piece.main, []).append(piece)
        self.heat = sum(piece.estimate() for piece in pieces)
        self.total = self.heat * max(manager.facts.get("slices", 0), len(pieces)) / max(len(pieces), 1)
        self.weights = sum(w.weight for w in ready) or 1.0
        usual_busy = min(max(self.common, WORKING_POINT), JAMMED)
        self.full = usual_busy * sum(w.weight * w.ramp() for w in ready) or 1.0
        self.busy = sum(mean(w.levels) * w.weight for w in ready)
        scale = self.total / (self.busy or 1.0)
        self.loads = Counter({w: scale * w.weight * mean(w.levels) for w in manager.workers.values()})
        while self.moves and self.moves[0][0] < manager.now - UNSEEN - REPORTS:
            self.moves.popleft()
        for at, source, target, moved in self.moves:
            unseen = min(1 - (manager.now - at - UNSEEN) / REPORTS, 1.0)  # part of the average from before it
            for worker, sign in ((source, -1), (target, 1)):
                self.loads[worker] = max(self.loads[worker] + sign * moved * unseen, 0.0)

    def capacity(self, worker):
        """The design's stand-in: the worker's weight share of all load, over the paper's working point."""
        return worker.weight / self.weights * self.total / WORKING_POINT

    def has_room(self, worker, heat):
        """Guards cold workers: all managers share one budget, each uses its part, one slice a cycle."""
        rested = self.manager.now - 0.9 * self.manager.facts.get("cycle", 1.0)
        return worker.ramp() >= 1.0 or (not worker.cut and worker.taken_at <= rested
                                        and self.own[worker] + heat <= self.budget(worker))

    def sure(self, worker):
        """What a worker surely can do now: its part by warmth of what is answered, not of repeats."""
        answered = min(mean([n for n in self.answered if n]) * self.total / (self.heat or 1.0), self.total)
        return worker.ramp() * worker.weight * answered / self.full

    def budget(self, worker):  # where busyness is told it is better than the guess in full
        told = self.full / self.busy if self.manager.tells_busy and self.busy else 1.0
        return self.sure(worker) * told * COLD_PART / self.manager.managers

    def rank(self, worker):
        return self.loads[worker] / worker.weight

    def least_loaded(self, heat, but, must=False):
        """The least loaded worker that may take this heat; where one must, rather doubted than cold."""
        ready = [w for w in self.manager.ready() if w is not but and w not in self.stale]
        able = [w for w in ready if w.usable and self.has_room(w, heat)]
        if must and not able:
            warm = self.manager.now - self.manager.facts.get("warm_after", 0.0)
            able = [w for w in ready if w.started <= warm] or ready
            able = [w for w in able if w.usable] or able
        return min(able, key=lambda w: (self.rank(w) + heat / w.weight, w.name), default=None)

    def move(self, piece, target, urgent):
        heat = piece.estimate()
        self.own[piece.main] -= heat
        self.own[target] += heat
        self.loads[piece.main] = max(self.loads[piece.main] - heat, 0.0)
        heat *= self.manager.managers if urgent else 1  # the others, unseen, likely send as much the same way
        self.loads[target] += heat
        self.moves.append((self.manager.now, piece.main, target, heat))
        target.taken_at = self.manager.now
        if urgent and sum(n > 0 for n in self.answered) >= HELD:  # a start knows nothing to brace by
            target.tell("brace", self.loads[target] / (self.sure(target) or 1.0))
        keeps = piece.standby and piece.standby is not target and piece.standby.usable
        piece.tell("go", target, piece.standby if keeps else self.second(target), urgent)

    def second(self, main):
        """A warm worker for the slice's second line, of another zone where there is one."""
        many = not self.manager.facts.get("single_owner")
        able = [w for w in self.manager.usable() if many and w is not main and w.ramp() >= 1.0]
        ranked = sorted(able, key=lambda w: (w.zone == main.zone, self.seconds[w] / w.weight, w.name))
        second = ranked[0] if ranked else None
        self.seconds[second] += 1
        return second

    def rule(self):
        """The design: top over its limit, ratio over the bound, both held; smallest slice to the least."""
        ranked = sorted(self.manager.usable(), key=lambda w: (self.rank(w), w.name))
        median = usual(mean(w.times) for w in ranked if w.times)
        over = [w for w in ranked if w in self.by_main and self.rank(w) > BOUND * self.rank(ranked[0])
                and (self.loads[w] > LIMIT * self.capacity(w)
                     or len(w.times) >= HELD and mean(w.times) > SLOW * median)]
        self.held = Counter({w: self.held[w] + 1 for w in over})
        over = [w for w in over if self.held[w] >= HELD]
        facts, now = self.manager.facts, self.manager.now
        young = now - facts.get("warm_after", 0.0) - REPORTS * facts.get("cycle", 1.0)  # later its load shows
        new = [w for w in ranked if w.trusted > young and self.rank(w) * BOUND < self.total / self.weights]
        for top in over[::-1][:1 + len(new)]:  # a growth: each newcomer may take one till it has its part
            rested = [p for p in self.by_main[top] if top.full() or p.rests_until <= now]
            piece = min(rested, key=lambda p: (p.estimate(), p.number), default=None)
            target = piece and self.least_loaded(piece.estimate(), top)
            fits = target and (top is over[-1] or target in new)
            if fits and self.loads[target] + piece.estimate() <= LIMIT * self.capacity(target):
                self.manager.log(f"slice {piece.number} from {top.name} (over) to {target.name}")
                self.move(piece, target, False)
                piece.rests_until = now + min(RESTS[0] * 2 ** piece.moves, RESTS[1])
                piece.moves = min(piece.moves + 1, 16)  # each costs key caches and a line to all proxies
                self.held[top] = 0  # the next move from it needs three reports that have seen this one

    def surge(self):
        """Heat that jumps everywhere leaves nowhere to move to: brace, where busyness is reported."""
        pieces = [p for p in self.manager.ours() if p.estimates and self.manager.tells_busy]
        growth = sum(p.estimates[-1] for p in pieces) / (sum(p.estimate() for p in pieces) or math.inf)
        for worker in {p.main: 0 for p in pieces if p.main} if growth > SURGE else ():
            worker.tell("brace", mean(worker.levels) * growth)

    def judge(self):
        """Doubt a worker for unanswered tries; a slow one only if all of it is late and others have room."""
        ready = self.manager.ready()
        spare = self.manager.tells_busy and 0 < self.common < SPARE
        share = {w: w.outcomes[1] / sum(w.outcomes) for w in ready if sum(w.outcomes) >= FEW}
        common, slow = usual(share.values()), STRAINED * self.manager.objective
        bad = [w for w, part in share.items() if w.usable and part >= FAILING + common
               and (w.answer_time() < slow or spare and w.cut and w.strain > SLOW)]
        if len(bad) > MOST_DOUBTED * len(ready) - sum(not w.usable for w in ready):
            return self.manager.log(f"{len(bad)} workers look broken at once: not believed")
        for worker in bad:
            worker.tell("doubt", f"{share[worker]:.0%} of its tries unanswered")

    def settle(self):
        """Slices without a usable worker go at once to the least loaded; lines to closed ones are urgent."""
        self.seconds = Counter(piece.standby for piece in self.manager.ours())  # counts on while it hands out
        self.stale = {w for p in self.manager.ours() for w in p.stored if w not in (p.main, p.standby)
                      and self.manager.publisher.open.get(w.name) is False}  # old lines of it go first
        left, held = Counter(), {}
        for piece in self.manager.ours():
            main, standby, target = piece.main, piece.standby, None
            held.setdefault(main, []).append(piece)
            if main is None or not main.usable:
                there = standby in piece.stored and standby.usable and standby.ramp() >= 1.0
                target = standby  # proxies turn to it by themselves, long before a line can reach them
                if not there or self.total and self.loads[standby] > self.capacity(standby):
                    target = self.least_loaded(piece.estimate(), main, not main or main.state != door.READY)
            if target:
                left[main and f"{main.name} ({main.state})"] += 1
                self.move(piece, target, True)
            elif main and (standby is None or not standby.usable or standby is main):
                piece.tell("go", main, self.second(main), False)
            if piece.closed():
                self.manager.publisher.tell("changed", piece, True)
        for worker in [w for w in self.manager.usable() if w in held and w.ramp() < 1.0]:
            self.trim(worker, held[worker])  # after the rest, so that its notes are the last word
        for whose, count in left.items():
            self.manager.log(f"{count} slices of {whose} moved at once")

    def trim(self, worker, held):
        """A worker that restarted under its slices keeps only what a cold one may be sent."""
        excess = sum(p.estimate() for p in held) - self.budget(worker)
        for piece in sorted(held, key=lambda p: (-p.estimate(), p.number)) if self.total else ():
            if excess > 0 and (target := self.least_loaded(piece.estimate(), worker)):
                excess -= piece.estimate()
                self.move(piece, target, True)


class Publisher(Part):
    """Urgent tables at once, a tenth of the others each turn, only changes, never too much at once."""

    def __init__(self, manager):
        super().__init__(manager)
        self.urgent, self.others, self.sent, self.number, self.rules_due = {}, {}, deque(), 0, False
        self.open, self.gap_at = {}, LONG_AGO  # by name of the withdrawn: False, or None if some may not know

    def changed(self, piece, urgent):
        urgent = urgent or piece in self.urgent
        (self.others if urgent else self.urgent).pop(piece, None)
        (self.urgent if urgent else self.others)[piece] = None

    def answered(self, event):  # messages leave in order: all before one that is answered have left
        for place, message in enumerate(self.sent):
            if message["number"] == event.mark:
                message["awaited"].discard(event.proxy)
                for earlier in range(place):
                    self.sent[earlier]["awaited"].clear()

    def renew(self):
        self.rules_due = True  # a slice given has lost its levels, and a proxy joined the withdrawals
        self.open = dict.fromkeys(self.open)
        self.others |= {p: None for p in self.manager.ours() if self.open and p not in self.urgent}

    def off(self, worker):  # whether all proxies are told to keep off a closed one
        return worker.state != door.READY and self.open.get(worker.name) is False

    def left(self, proxy):
        for message in self.sent:
            message["awaited"].discard(proxy)

    def flush(self, turn):
        facts, now, proxies = self.manager.facts, self.manager.now, len(self.manager.proxies)
        span, allowed = facts.get("messages_span", LAPSE), facts.get("messages_allowed", 0)
        for message in self.sent:
            if message["at"] < max(min(self.gap_at, (now + self.gap_at) / 2 - UNSEEN), now - LAPSE):
                message["awaited"].clear()
            message["until"] = now if message["awaited"] else message["until"]
        while self.sent and not self.sent[0]["awaited"] and self.sent[0]["until"] < now - span:
            self.sent.popleft()
        pace = span / (allowed * MESSAGES_PART) if allowed else 0.0
        if pace and self.sent and (len(self.sent) * pace >= span or now < self.sent[-1]["at"] + pace):
            return
        usual = [door.Admit(door.ALL_SLICES, (), 1.0, door.RETRY_UNSTARTED)] * (
            facts.get("usual_retry") != door.RETRY_UNSTARTED)  # where the proxies' own way differs
        head = facts.get("message_head", 0) + 1 + len(usual) * len(self.manager.by_value)
        standing = usual if self.rules_due and self.manager.ours() else []
        rate, most = facts.get("lines_per_second", 0.0), facts.get("most_waiting", 1e9)
        spare = facts.get("drain_grace", math.inf) - facts.get("longest_delay", 0.0)
        waits = sum(m["lines"] * len(m["awaited"]) / m["proxies"] for m in self.sent if m["awaited"])
        waits = max(waits - rate * facts.get("message_delay", 0.0), 0.0)  # the rest travels already
        room = min(WAITING_PART * most, rate * max(spare, TURN) / 2 or most)  # a drain must still get through
        cold = {p for p in self.urgent if p.leaves_cold()}  # it falls over within seconds
        queue = sorted(self.urgent, key=lambda p: (not p.bare(), not p.closed(), p not in cold,
                                                   p.main in p.stored))
        if turn:
            queue += list(self.others)[:math.ceil(len(self.others) / TENTH)]
        fit = (room + (most - room) / 3 - waits) // (proxies or 1) - head - len(standing)  # all may never fit
        shut = list({w: 0 for p in queue for w in p.closed()})[:max(int(fit), 0)]
        haste = self.urgent if any(p.closed() or p.stored.get(p.main) != 1.0 for p in self.urgent) else ()
        orders = [*standing, *(door.Withdraw(w.name, True) for w in shut)]
        lines = (head + len(orders)) * proxies
        soon = self.sent and now < self.sent[-1]["at"] + TURN * (1 + (waits > 0))  # heads fill a channel
        if soon and not shut and not cold or lines + waits > room + (most - room) / 3 * bool(shut):
            return
        self.rules_due = self.rules_due and not standing
        told = {**self.open, **{w.name: False for w in shut}}  # guards drains: a line each, before all tables
        self.open = dict(list(told.items())[-KEPT_OFF:])
        for piece in queue:
            wanted, rules, changes = piece.changes(piece in haste) if piece.ours else ({}, None, [])
            back = [w for w in wanted if w.usable and w.name in self.open]
            let = [w for w in back if w not in self.manager.planner.stale]  # old lines of it go before
            changes += [door.Withdraw(w.name, False) for w in let]  # after its line: only holders are told
            if lines + len(changes) * proxies + waits > room:
                break
            for worker in let:
                del self.open[worker.name]
            self.urgent.pop(piece, None)
            self.others.pop(piece, None)
            if back != let or piece.standby and piece.standby not in wanted:
                self.urgent[piece] = None
            elif set(wanted) - {piece.main, piece.standby}:
                self.others[piece] = None
            if changes:
                orders, lines = orders + changes, lines + len(changes) * proxies
                piece.tell("sent", wanted, rules)
        if orders:
            self.number = (self.number + 1) % 65536
            self.sent.append({"number": self.number, "lines": lines, "at": now, "until": now,
                              "proxies": proxies, "awaited": set(self.manager.proxies)})
            self.manager.orders += orders + [door.Mark(self.number)]


class Manager:
    def __init__(self, seed, facts):
        self.seed, self.facts, self.counter, self.now = seed, facts, 0, 0.0
        self.post, self.orders, self.workers, self.slices, self.proxies = deque(), [], {}, {}, {}
        self.roster, self.planner, self.publisher = Roster(self), Planner(self), Publisher(self)
        self.managers, self.turn_at, self.cycle_at = max(facts.get("managers", 1), 1), None, LONG_AGO
        operations = facts.get("operations", [])
        self.objective = min((o["latency_objective"] for o in operations), default=1.0)
        self.tells_busy = "busy" in facts.get("load_fields", ())
        self.by_value = sorted(range(len(operations)), key=lambda k: operations[k]["billed_value"])

    def chance(self):
        self.counter += 1
        return zlib.crc32(f"{self.seed}:{self.counter}".encode()) / 2 ** 32

    def worker(self, name):
        """The worker of this name; one that no list has named, only the store, counts as gone."""
        return self.workers.get(name) or self.workers.setdefault(name, Worker(self, name))

    def log(self, text):
        self.orders.append(door.Log(text))

    def ready(self):
        return [worker for worker in self.workers.values() if worker.state == door.READY]

    def usable(self):
        return [worker for worker in self.workers.values() if worker.usable]

    def ours(self):
        return [piece for piece in self.slices.values() if piece.ours]

    def handle(self, now, events):
        self.now, self.orders = now, []
        if self.turn_at is None:
            self.turn_at, self.sure_from = now + TURN * self.chance(), now + FORGET
            self.orders.append(door.Wake(self.turn_at - now, "turn"))
        for event in events:
            self.admit(event)
            self.run()
        if turn := now >= self.turn_at:
            self.turn_at = now + TURN
            self.orders.append(door.Wake(TURN, "turn"))
            self.roster.tell("turn")
            if now >= self.cycle_at:
                self.cycle_at = now + self.facts.get("cycle", 1.0) - TURN / 2
                self.planner.tell("cycle")
            self.run()
        for part, *note in ((self.planner, "settle"), (self.publisher, "flush", turn)):
            part.tell(*note)
            self.run()
        return self.orders

    def run(self):  # the loop that empties the inboxes
        while self.post:
            part = self.post.popleft()
            note, what = part.inbox.popleft()
            getattr(part, note)(*what)

    def admit(self, event):
        """The door: ids become objects; what is unknown, unsound or no longer held is let fall."""
        worker = self.workers.get(getattr(event, "worker", None))
        piece = self.slices.get(getattr(event, "slice", None))
        match event:
            case door.WorkersListed():
                self.roster.tell("listed", event)
            case door.ListFailed():
                self.roster.tell("failed")
            case door.WorkerHeard(_, _, tries, bad, time, over) if worker and sound(tries, bad, time, over):
                worker.tell("heard", event)
            case door.SliceHeat() if piece and piece.ours and sound(event.invocations, event.over):
                piece.tell("heat", event)
            case door.MarkAnswered():
                self.publisher.tell("answered", event)
            case door.ProxyJoined():
                if event.proxy in self.proxies:  # told anew: nobody listened, and answers may be lost
                    self.publisher.gap_at = self.now
                self.proxies[event.proxy] = event.zone
                self.publisher.tell("renew")
            case door.ProxyLeft():
                self.proxies.pop(event.proxy, None)
                self.publisher.tell("left", event.proxy)
            case door.SliceGiven():
                piece = self.slices.setdefault(event.slice, piece or Slice(self, event.slice))
                piece.tell("given", event.ours)
            case door.WithdrawalHeld():
                self.publisher.open.setdefault(event.worker)
            case door.DoubtHeld() if worker and sound(event.until, event.doubts):
                worker.doubted_until = worker.trusted = event.until
                worker.doubts = event.doubts
            case door.LineHeld() if piece and piece.ours and sound(event.weight) and event.weight > 0:
                piece.tell("held", self.worker(event.worker), event.weight)
