"""The list of workers, kept to and asked for again."""

from .. import events
from .figures import LONG_AGO, Part

PATIENCE = 4.0       # s without an answer before a list is asked for again; calls time out sooner


class Roster(Part):
    """Keeps to the list; where it must be asked for, asks again in time and without flooding."""

    def __init__(self, manager):
        super().__init__(manager)
        self.following, self.ask_at = not manager.facts.get("must_ask_for_list"), LONG_AGO
        self.called, self.failures = False, 0  # called: a call is out; a failure of none puts no next one off

    def listed(self, event):
        named = {self.manager.worker(entry.worker): entry for entry in event.workers}
        for worker in self.manager.workers.values() if event.complete else named:
            worker.tell("listed", named.get(worker) or events.ListedWorker(worker.name, events.DEREGISTERED))
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
            self.manager.orders.append(events.WatchWorkerList(True))
            self.ask_at, self.called = self.manager.now + PATIENCE, True
