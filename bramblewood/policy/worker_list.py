"""The subscription to the worker list: applies lists and repeats failed calls with backoff."""

from ..events import DEREGISTERED, ListedWorker, SubscribeWorkerList, WorkersListed
from . import parameters


class WorkerListSubscription:
    """Passes list entries to the workers; where the list must be requested, repeats the call with backoff."""

    def __init__(self, manager):
        self.manager = manager
        self.subscribed, self.next_call_at = not manager.settings.must_request_list, parameters.LONG_AGO
        self.call_pending, self.failures = False, 0  # a failure without a pending call causes no backoff

    def update(self, event: WorkersListed) -> None:
        """Pass each worker its entry; workers that a complete list omits become deregistered."""
        entries = {self.manager.worker(entry.worker): entry for entry in event.workers}
        for worker in self.manager.workers.values() if event.complete else entries:
            entry = entries.get(worker) or ListedWorker(worker.name, DEREGISTERED)
            self.manager.schedule(worker.update, entry)
        if not event.cached:
            self.subscribed, self.call_pending, self.failures = True, False, 0

    def fail(self) -> None:
        """Handle a failed call or a broken subscription: the next call follows after a backoff."""
        settings = self.manager.settings
        if settings.must_request_list and (self.subscribed or self.call_pending):
            self.subscribed = self.call_pending = False
            self.failures += 1
            backoff = min(parameters.LIST_BACKOFF * 2**self.failures, settings.max_list_request_interval / 2)
            self.next_call_at = self.manager.now + backoff * (0.5 + next(self.manager.random_fractions))
            self.manager.log(f"worker list call failed ({self.failures} in a row): repeated after a backoff")

    def turn(self) -> None:
        """Order a new subscription if it is due."""
        if not self.subscribed and self.manager.now >= self.next_call_at:
            self.manager.orders.append(SubscribeWorkerList(True))
            self.next_call_at, self.call_pending = self.manager.now + parameters.LIST_TIMEOUT, True
