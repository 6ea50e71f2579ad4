"""Urgent moves: slices of draining, dead and doubted workers at once; growth braced for."""

import math
from collections import Counter

from .. import events
from .figures import FEW, SLOW, STRAINED, mean, usual
from .ranking import Ranking

FAILING = 0.5        # share of unanswered tries at which a worker is doubted; noise stays far below
SPARE = 0.5          # share of capacity that the usual worker uses while it can take in what jams another
MOST_DOUBTED = 0.45  # share of open workers that may be doubted; more is a fault of the view
SURGE = 1.3          # latest heat over its average; below it growth is noise


class Urgent(Ranking):
    """What can't wait for the rule."""

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
                    target = self.least_loaded(piece.estimate(), main, not main or main.state != events.READY)
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
