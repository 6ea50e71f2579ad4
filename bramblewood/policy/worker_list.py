"""The subscription to the worker list: followed, and asked for again in time and without flooding."""

from ..events import DEREGISTERED, ListedWorker, WatchWorkerList, WorkersListed
from . import parameters


class WorkerListSubscription:
    """Passes the list on to the workers; where it must be asked for, asks with a growing backoff."""

    def __init__(self, manager):
        self.manager = manager
        self.following, self.ask_at = not manager.settings.must_request_list, parameters.LONG_AGO
        self.asked, self.failures = False, 0  # asked: a call is out; a failure of none delays no next one

    def update(self, event: WorkersListed) -> None:
        """Pass each worker its entry; of a complete list, those that it does not name are deregistered."""
        entries = {self.manager.worker(entry.worker): entry for entry in event.workers}
        for worker in self.manager.workers.values() if event.complete else entries:
            entry = entries.get(worker) or ListedWorker(worker.name, DEREGISTERED)
            self.manager.schedule(worker.update, entry)
        if not event.cached:
            self.following, self.asked, self.failures = True, False, 0

    def fail(self) -> None:
        """A call failed or the subscription broke: ask again after a backoff."""
        settings = self.manager.settings
        if settings.must_request_list and (self.following or self.asked):
            self.following = self.asked = False
            self.failures += 1
            backoff = min(parameters.LIST_BACKOFF * 2**self.failures, settings.request_list_within / 2)
            self.ask_at = self.manager.now + backoff * (0.5 + next(self.manager.random_fractions))
            self.manager.log(f"a call for the list failed, the {self.failures}. time: asked again soon")

    def turn(self) -> None:
        """Ask for the list where that is due."""
        if not self.following and self.manager.now >= self.ask_at:
            self.manager.orders.append(WatchWorkerList(True))
            self.ask_at, self.asked = self.manager.now + parameters.LIST_TIMEOUT, True
