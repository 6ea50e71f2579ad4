"""Passes events on to the parts of a manager, and keeps the queue of work that these give each other."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from .. import events
from .averages import is_usable


class Dispatcher:
    """The queue of work and the checks of events; a Manager adds the parts that it passes them on to."""

    worker_list: Any
    publisher: Any

    def __init__(self) -> None:
        self.work: deque[tuple[Callable, tuple]] = deque()
        self.now = 0.0  # unix time in s
        self.orders: list[events.Order] = []  # of the batch in work
        self.workers: dict[str, Any] = {}
        self.slices: dict[int, Any] = {}
        self.proxies: dict[int, str] = {}  # joined ones, with their zones

    def worker(self, name: str) -> Any:
        """The worker of this name."""
        raise NotImplementedError

    def slice(self, number: int) -> Any:
        """The slice of this number."""
        raise NotImplementedError

    def schedule(self, call: Callable, *arguments: Any) -> None:
        """Queue a call: parts act one after another, never within each other."""
        self.work.append((call, arguments))

    def run(self) -> None:
        """Make all calls that are queued, and those that they queue."""
        while self.work:
            call, arguments = self.work.popleft()
            call(*arguments)

    def log(self, text: str) -> None:
        """Order a line of the log."""
        self.orders.append(events.Log(text))

    def accept(self, batch: Iterable[events.Event]) -> None:
        """Pass on events one by one; what is unknown, unusable or no longer assigned is dropped."""
        for event in batch:
            self.pass_on(event)
            self.run()

    def pass_on(self, event: events.Event) -> None:
        """Queue the call that an event leads to, if any."""
        worker_name: Any = getattr(event, "worker", None)
        slice_number: Any = getattr(event, "slice", None)
        worker, slice = self.workers.get(worker_name), self.slices.get(slice_number)
        own_slice = slice if slice and slice.assigned else None
        match event:
            case events.WorkersListed():
                self.schedule(self.worker_list.update, event)
            case events.WorkerListFailed():
                self.schedule(self.worker_list.fail)
            case events.WorkerReported(_, _, attempts, unanswered, time, interval) if worker:
                if is_usable(attempts, unanswered, time, interval):
                    self.schedule(worker.add_report, event)
            case events.SliceHeatReported() if own_slice and is_usable(event.invocations, event.interval):
                self.schedule(own_slice.add_heat, event)
            case events.MessageAcknowledged():
                self.schedule(self.publisher.sent.acknowledge, event)
            case events.ProxyJoined():
                if event.proxy in self.proxies:  # joined anew: nobody listened, and answers may be lost
                    self.publisher.sent.acknowledgements_lost_at = self.now
                self.proxies[event.proxy] = event.zone
                self.schedule(self.publisher.renew)
            case events.ProxyLeft():
                self.proxies.pop(event.proxy, None)
                self.schedule(self.publisher.sent.remove_proxy, event.proxy)
            case events.SliceAssigned():
                self.schedule(self.slice(event.slice).set_assigned, event.assigned)
            case events.ExclusionRestored():
                self.publisher.excluded.setdefault(event.worker, False)
            case events.EjectionRestored() if worker and is_usable(event.until, event.ejections):
                worker.ejected_until = worker.warming_since = event.until
                worker.ejections = event.ejections
            case events.RouteStored() if own_slice and is_usable(event.weight) and event.weight > 0:
                self.schedule(own_slice.add_route, self.worker(event.worker), event.weight)
