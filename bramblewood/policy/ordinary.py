"""Ordinary moves: the design's two averaged, held tests, one smallest slice a cycle."""

from collections import Counter

from .figures import HELD, LIMIT, REPORTS, SLOW, mean, usual
from .ranking import Ranking

BOUND = 1.4          # top load over bottom load, the middle of the paper's 1.3-1.5
RESTS = (5.0, 640.0)  # s that a slice rests after its first ordinary move, doubled with each, and at most


class Ordinary(Ranking):
    """The design's rule."""

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
