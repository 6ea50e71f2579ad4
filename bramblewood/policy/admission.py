"""Levels and further tries: a worker under strain lets in less, least billed value first."""

from .. import events
from .figures import FEW, LIMIT, STALE, STRAINED, Part

RELAXED = 0.25       # the same, below which more is let in again; the gap keeps levels from swinging
CUT = (0.25, 0.9)    # least and most that a level keeps at one cut; between, by share answered and time
FLOOR = 0.1          # level below which the next operation is cut; a little shows how things stand
RAISE = 0.2          # part of an operation let in again each cycle; five cycles from nothing to all
LAG = 3.0            # s before a cut shows in reports: order, answer and report, each about one


class Admission(Part):
    """What an overloaded worker lets in, by operation, and whether others try again."""

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
        thin = self.manager.tells_busy and self.gap > 1
        unheard = not fresh and (self.silent >= STALE or not (self.silent or thin))
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
        return [(round(n, 3), events.NO_RETRY if self.cut else events.RETRY_UNSTARTED) for n in self.admitted]

    def publish(self, changed):
        for piece in [p for p in self.manager.ours() if p.main is self] if changed else ():
            self.manager.publisher.tell("changed", piece, True)
