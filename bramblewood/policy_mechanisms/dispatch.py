"""The tables of workers and slices, the dispatch of events to their handlers, and the call queue."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from .. import events
from .averages import is_nonnegative


class Dispatcher:
    """Checks events and dispatches them through a call queue; Manager adds the objects that handle them."""

    worker_list: Any
    publisher: Any

    def __init__(self, worker_type: type, slice_type: type) -> None:
        self.worker_type, self.slice_type = worker_type, slice_type
        self.queue: deque[tuple[Callable, tuple]] = deque()
        self.now = 0.0  # unix time in s
        self.orders: list[events.Order] = []  # of the current batch
        self.workers: dict[str, Any] = {}
        self.slices: dict[int, Any] = {}
        self.proxies: dict[int, str] = {}  # zones of the joined proxies, by proxy

    def worker(self, name: str) -> Any:
        """Return the worker of this name; an unknown one is created as deregistered."""
        return self.workers.get(name) or self.workers.setdefault(name, self.worker_type(self, name))

    def slice(self, number: int) -> Any:
        """Return the slice of this number; an unknown one is created as not assigned."""
        return self.slices.get(number) or self.slices.setdefault(number, self.slice_type(self, number))

    def ready_workers(self) -> list[Any]:
        """Return the workers that are listed as ready, including ejected ones."""
        return [worker for worker in self.workers.values() if worker.state == events.READY]

    def usable_workers(self) -> list[Any]:
        """Return the workers that are listed as ready and not ejected."""
        return [worker for worker in self.workers.values() if worker.usable]

    def own_slices(self) -> list[Any]:
        """Return the slices that are assigned to this manager."""
        return [slice for slice in self.slices.values() if slice.assigned]

    def schedule(self, call: Callable, *arguments: Any) -> None:
        """Queue a call. Queued calls run one after another and never nest."""
        self.queue.append((call, arguments))

    def run_to_completion(self, call: Callable, *arguments: Any) -> None:
        """Run a call and every call that it queues."""
        self.schedule(call, *arguments)
        self.run_queue()

    def run_queue(self) -> None:
        """Run all queued calls, and those that they queue."""
        while self.queue:
            call, arguments = self.queue.popleft()
            call(*arguments)

    def log(self, text: str) -> None:
        """Add an order that writes a line to the log."""
        self.orders.append(events.Log(text))

    def dispatch_batch(self, batch: Iterable[events.Event]) -> None:
        """Dispatch events one by one; drop unknown and invalid events and those of unassigned slices."""
        for event in batch:
            self.run_to_completion(self.dispatch, event)

    def targets_of(self, event: events.Event) -> tuple[Any, Any]:
        """Return the known worker and the assigned slice that an event names, each None if there is none."""
        worker_name: Any = getattr(event, "worker", None)
        slice_number: Any = getattr(event, "slice", None)
        slice = self.slices.get(slice_number)
        return self.workers.get(worker_name), slice if slice and slice.assigned else None

    def dispatch(self, event: events.Event) -> None:
        """Queue the call that handles an event, if any."""
        worker, own_slice = self.targets_of(event)
        match event:
            case events.WorkersListed():
                self.schedule(self.worker_list.update, event)
            case events.WorkerListFailed():
                self.schedule(self.worker_list.fail)
            case events.WorkerReported(_, _, attempts, unanswered, time, interval) if worker:
                if is_nonnegative(attempts, unanswered, time, interval):
                    self.schedule(worker.add_report, event)
            case events.SliceHeatReported() if own_slice and is_nonnegative(
                event.invocations, event.interval
            ):
                self.schedule(own_slice.add_heat, event)
            case events.MessageAcknowledged():
                self.schedule(self.publisher.sent.acknowledge, event)
            case events.ProxyJoined():
                if event.proxy in self.proxies:  # a second join: earlier acknowledgements may be lost
                    self.publisher.sent.acknowledgements_lost_at = self.now
                self.proxies[event.proxy] = event.zone
                self.schedule(self.publisher.schedule_resend)
            case events.ProxyLeft():
                self.proxies.pop(event.proxy, None)
                self.schedule(self.publisher.sent.remove_proxy, event.proxy)
            case _:
                self.restore(event)

    def restore(self, event: events.Event) -> None:
        """Apply stored state: assigned slices and their routes, exclusions and ejections."""
        worker, own_slice = self.targets_of(event)
        match event:
            case events.SliceAssigned():
                self.schedule(self.slice(event.slice).set_assigned, event.assigned)
            case events.ExclusionRestored():
                self.publisher.excluded.setdefault(event.worker, False)
            case events.EjectionRestored() if worker and is_nonnegative(event.until, event.ejections):
                worker.ejected_until = worker.warming_since = event.until
                worker.ejections = event.ejections
            case events.RouteStored() if own_slice and is_nonnegative(event.weight) and event.weight > 0:
                self.schedule(own_slice.add_route, self.worker(event.worker), event.weight)
