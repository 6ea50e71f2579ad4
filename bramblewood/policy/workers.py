"""Workers: as listed, as their load reports show them, and as proxies met them."""

import math
from collections import deque

from .. import events
from .admission import Admission
from .figures import JAMMED, LIMIT, LONG_AGO, REPORTS, STALE, mean, sound

QUEUED = 0.1         # busy workers that one waiting invocation stands for; ten waiting are a full worker more
DOUBT = 6.0          # s out of use at a first doubt, doubled twice at the most: recovered workers are needed


class Worker(Admission):
    """A worker as listed, as its load reports show it, and as proxies met it."""

    def __init__(self, manager, name):
        super().__init__(manager)
        self.name, self.state, self.weight, self.zone, self.ejections = name, events.DEREGISTERED, 1.0, "", 0
        self.started = self.trusted = self.doubted_until = self.taken_at = LONG_AGO
        self.forget()

    def forget(self):
        """What was measured of an earlier process says nothing of this one."""
        self.levels, self.times, self.latest = deque(maxlen=REPORTS), deque(maxlen=REPORTS), []
        self.outcomes, self.carried = [0.0, 0.0], [0.0, 0.0]  # answered, unanswered, halved; the old part
        self.met, self.silent, self.gap = [], STALE, 1  # gap: cycles that the last report spans
        self.cut, self.again_at, self.braced_until = False, LONG_AGO, LONG_AGO  # cut: no further tries
        self.strain = self.load = self.good = 0.0  # answer time over objective; last load; answers this cycle
        self.admitted = [1.0] * len(self.manager.facts.get("operations", []))

    @property
    def usable(self):
        return self.state == events.READY and self.doubted_until <= self.manager.now

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
            self.trusted, self.doubted_until, self.ejections = started, LONG_AGO, 0
        for piece in [p for p in self.manager.ours() if entry.state != self.state and self in p.stored]:
            self.manager.publisher.tell("changed", piece, True)  # its withdrawal is due, or over
        self.started, self.state, self.zone = started, entry.state, entry.zone
        self.weight = entry.weight if sound(entry.weight) and entry.weight > 0 else 1.0

    def heard(self, report):
        good = max(report.attempts - report.unanswered, 0)
        self.good += good
        if self.manager.now - report.interval >= self.doubted_until:  # older sums say nothing of it as it is
            self.outcomes[0] += good
            self.outcomes[1] += report.unanswered
            self.met += [(report.mean_response_time, good)] * (good > 0 < report.mean_response_time)
        load = {k: v for k, v in report.load.items() if sound(v)}
        if "utilization" in load:
            self.latest.append(load["utilization"] + QUEUED * load.get("queued", 0.0))
        elif "in_flight" in load:
            self.latest.append(load["in_flight"] / self.weight)
        elif not {"utilization", "in_flight"} & set(self.manager.facts.get("load_fields", ())):
            self.latest.append(report.attempts / max(report.interval, 0.1) / self.weight)

    def doubt(self, why):
        """Out of use for a while, longer each time; taken back as if new, one slice at a time."""
        hold, self.ejections = DOUBT * 2 ** self.ejections, min(self.ejections + 1, 2)
        self.doubted_until = self.trusted = self.manager.now + hold
        self.outcomes, self.carried = [0.0, 0.0], [0.0, 0.0]
        self.manager.orders.append(events.WorkerEjected(self.name, self.doubted_until, self.ejections))
        self.manager.log(f"worker {self.name} out of use for {hold:.0f} s: {why}")

    def cycle(self, usual_level, expected):
        self.gap = self.silent + 1 if self.latest else self.gap
        self.silent = 0 if self.latest else self.silent + 1
        if self.latest:  # a jammed worker's queue must not make all others look idle
            self.load = mean(self.latest)
            self.levels.append(min(self.load, JAMMED * usual_level or math.inf))
        elif self.silent >= STALE:  # few try it: assume that it carries what is expected of it
            self.levels.append(expected)
        self.latest, self.good = [], 0.0
        self.feel()
