"""Tables of workers and slices, events passed on to a manager's parts, and the queue of calls."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from .. import events
from .averages import is_usable


class Dispatcher:
    """The tables, the queue of work and the checks of events; a Manager adds the parts that act on them."""

    worker_list: Any
    publisher: Any

    def __init__(self, worker_type: type, slice_type: type) -> None:
        self.worker_type, self.slice_type = worker_type, slice_type
        self.work: deque[tuple[Callable, tuple]] = deque()
        self.now = 0.0  # unix time in s
        self.orders: list[events.Order] = []  # of the batch in work
        self.workers: dict[str, Any] = {}
        self.slices: dict[int, Any] = {}
        self.proxies: dict[int, str] = {}  # joined ones, with their zones

    def worker(self, name: str) -> Any:
        """The worker of this name; one that no list has named, only the store, counts as deregistered."""
        return self.workers.get(name) or self.workers.setdefault(name, self.worker_type(self, name))

    def slice(self, number: int) -> Any:
        """The slice of this number, new where it was never assigned."""
        return self.slices.get(number) or self.slices.setdefault(number, self.slice_type(self, number))

    def ready_workers(self) -> list[Any]:
        """Workers that are listed ready, ejected ones too."""
        return [worker for worker in self.workers.values() if worker.state == events.READY]

    def usable_workers(self) -> list[Any]:
        """Workers that are listed ready and not ejected."""
        return [worker for worker in self.workers.values() if worker.usable]

    def own_slices(self) -> list[Any]:
        """Slices that are assigned to this manager."""
        return [slice for slice in self.slices.values() if slice.assigned]

    def schedule(self, call: Callable, *arguments: Any) -> None:
        """Queue a call: parts act one after another, never within each other."""
        self.work.append((call, arguments))

    def complete(self, call: Callable, *arguments: Any) -> None:
        """Make a call, then all that it queues."""
        self.schedule(call, *arguments)
        self.run()

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
            self.complete(self.pass_on, event)

    def named_by(self, event: events.Event) -> tuple[Any, Any]:
        """The worker and the assigned slice that an event names; None where there is none."""
        worker_name: Any = getattr(event, "worker", None)
        slice_number: Any = getattr(event, "slice", None)
        slice = self.slices.get(slice_number)
        return self.workers.get(worker_name), slice if slice and slice.assigned else None

    def pass_on(self, event: events.Event) -> None:
        """Queue the call that an event leads to, if any."""
        worker, own_slice = self.named_by(event)
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
            case _:
                self.restore(event)

    def restore(self, event: events.Event) -> None:
        """Take in what is stored: assigned slices and their routes, exclusions and ejections."""
        worker, own_slice = self.named_by(event)
        match event:
            case events.SliceAssigned():
                self.schedule(self.slice(event.slice).set_assigned, event.assigned)
            case events.ExclusionRestored():
                self.publisher.excluded.setdefault(event.worker, False)
            case events.EjectionRestored() if worker and is_usable(event.until, event.ejections):
                worker.ejected_until = worker.warming_since = event.until
                worker.ejections = event.ejections
            case events.RouteStored() if own_slice and is_usable(event.weight) and event.weight > 0:
                self.schedule(own_slice.add_route, self.worker(event.worker), event.weight)
