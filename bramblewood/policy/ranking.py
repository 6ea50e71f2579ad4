"""Ranking and averages: loads in heat, capacities, and who is the least loaded of those with room."""

from collections import Counter, deque

from .figures import HELD, JAMMED, REPORTS, UNSEEN, Part, mean

WORKING_POINT = 0.65  # share of capacity at which the paper's servers answer best; capacity is load over this
COLD_PART = 0.8      # part of a cold worker's sure capacity used; at all of it one fell over under overload


class Ranking(Part):
    """The books that both kinds of moves go by."""

    def __init__(self, manager):
        super().__init__(manager)
        self.held, self.loads, self.own, self.seconds = Counter(), Counter(), Counter(), Counter()
        self.moves, self.answered = deque(), deque(maxlen=REPORTS)
        self.heat = self.total = self.busy = self.common = self.strained = 0.0
        self.weights, self.full, self.typical, self.stale = 1.0, 1.0, 1.0, set()

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
