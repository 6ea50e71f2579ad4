"""A manager's decisions: which worker serves which slice, which orders go out and when.

Called so: one Manager(seed, facts) at a start, facts being a plain map; then handle(now, events) gives the
orders to send, in turn. Words: events.py; the design: docs/design.md. Pure: no input, output or clock.
"""

import zlib
from collections import deque

from .. import events
from .figures import LONG_AGO, TURN, mean, sound, usual
from .ordinary import Ordinary
from .publishing import Publisher
from .roster import Roster
from .slices import Slice
from .urgent import Urgent
from .workers import Worker

FORGET = 60          # cycles without a report after which the gone are forgotten; the cut off return sooner


class Planner(Ordinary, Urgent):
    """The design's rule, and the urgent moves around it."""

    def cycle(self):
        # ids are new all day
        manager, named = self.manager, {w for piece in self.manager.ours() for w in piece.stored}
        manager.workers = {name: w for name, w in manager.workers.items()
                           if w.state != events.DEREGISTERED or w in named or w.silent < FORGET}
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


class Manager:
    def __init__(self, seed, facts):
        self.seed, self.facts, self.counter, self.now = seed, facts, 0, 0.0
        self.post, self.orders, self.workers, self.slices, self.proxies = deque(), [], {}, {}, {}
        self.roster, self.planner, self.publisher = Roster(self), Planner(self), Publisher(self)
        self.managers, self.turn_at, self.cycle_at = max(facts.get("managers", 1), 1), None, LONG_AGO
        operations = facts.get("operations", [])
        self.objective = min((o["latency_objective"] for o in operations), default=1.0)
        self.tells_busy = "utilization" in facts.get("load_fields", ())
        self.by_value = sorted(range(len(operations)), key=lambda k: operations[k]["billed_value"])

    def chance(self):
        self.counter += 1
        return zlib.crc32(f"{self.seed}:{self.counter}".encode()) / 2 ** 32

    def worker(self, name):
        """The worker of this name; one that no list has named, only the store, counts as gone."""
        return self.workers.get(name) or self.workers.setdefault(name, Worker(self, name))

    def log(self, text):
        self.orders.append(events.Log(text))

    def ready(self):
        return [worker for worker in self.workers.values() if worker.state == events.READY]

    def usable(self):
        return [worker for worker in self.workers.values() if worker.usable]

    def ours(self):
        return [piece for piece in self.slices.values() if piece.ours]

    def handle(self, now, batch):
        self.now, self.orders = now, []
        if self.turn_at is None:
            self.turn_at, self.sure_from = now + TURN * self.chance(), now + FORGET
            self.orders.append(events.SetTimer(self.turn_at - now, "turn"))
        for event in batch:
            self.admit(event)
            self.run()
        if turn := now >= self.turn_at:
            self.turn_at = now + TURN
            self.orders.append(events.SetTimer(TURN, "turn"))
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
            case events.WorkersListed():
                self.roster.tell("listed", event)
            case events.WorkerListFailed():
                self.roster.tell("failed")
            case events.WorkerReported(_, _, tries, bad, time, over) if (
                    worker and sound(tries, bad, time, over)):
                worker.tell("heard", event)
            case events.SliceHeatReported() if (
                    piece and piece.ours and sound(event.invocations, event.interval)):
                piece.tell("heat", event)
            case events.MessageAcknowledged():
                self.publisher.tell("answered", event)
            case events.ProxyJoined():
                if event.proxy in self.proxies:  # told anew: nobody listened, and answers may be lost
                    self.publisher.gap_at = self.now
                self.proxies[event.proxy] = event.zone
                self.publisher.tell("renew")
            case events.ProxyLeft():
                self.proxies.pop(event.proxy, None)
                self.publisher.tell("left", event.proxy)
            case events.SliceAssigned():
                piece = self.slices.setdefault(event.slice, piece or Slice(self, event.slice))
                piece.tell("given", event.assigned)
            case events.ExclusionRestored():
                self.publisher.open.setdefault(event.worker)
            case events.EjectionRestored() if worker and sound(event.until, event.ejections):
                worker.doubted_until = worker.trusted = event.until
                worker.ejections = event.ejections
            case events.RouteStored() if piece and piece.ours and sound(event.weight) and event.weight > 0:
                piece.tell("held", self.worker(event.worker), event.weight)
