"""A manager's decisions: which worker serves which slice, which orders go out and when.

One Manager(seed, settings) at a start; then handle(now, events) answers each batch of events with orders. The
types: events.py, startup_settings.py; the design: docs/design.md. Pure: no input, output or clock.
"""

import zlib
from collections.abc import Iterable

from ..events import READY, Event, Order, SetTimer
from ..policy_base import parameters
from ..policy_base.averages import mean, median
from ..policy_base.dispatch import Dispatcher
from .failover import Failover
from .publishing import Publisher
from .rebalancing import Rebalancing
from .slices import Slice
from .worker_list import WorkerListSubscription
from .workers import Worker


class Planner(Rebalancing, Failover):
    """The design's rule, and the urgent moves around it."""

    def cycle(self) -> None:
        """Once a cycle: end it for slices and workers, then eject, prepare and rebalance."""
        manager = self.manager
        self.forget_workers()
        for slice in manager.own_slices():
            slice.end_cycle()
        answered = sum(worker.answered for worker in manager.workers.values())
        self.answered_rates.append(answered / manager.settings.cycle)
        self.eject_failing()
        self.median_load = median(mean(w.new_loads) for w in manager.workers.values() if w.new_loads)
        others_share = self.median_load * (1 - 1 / manager.manager_count)
        for worker in manager.workers.values():
            worker.end_cycle(self.median_load, others_share * worker.warmth())
        before = self.strained_count
        self.strained_count = len([worker for worker in manager.usable_workers() if worker.retries_cut])
        if self.strained_count != before:
            manager.log(f"{self.strained_count} workers strained: tries, then levels cut")
        self.update_loads()
        self.prepare_for_surge()
        self.rebalance()

    def forget_workers(self) -> None:
        """Forget those long deregistered: ids are new all day, and one that was cut off returns sooner."""
        named = {worker for slice in self.manager.own_slices() for worker in slice.routes}
        self.manager.workers = {
            name: worker
            for name, worker in self.manager.workers.items()
            if worker in named or worker.may_return()
        }


class Manager(Dispatcher):
    """One manager: its parts, and the turns in which they act."""

    def __init__(self, seed, settings):
        super().__init__()
        self.seed, self.settings, self.random_count = seed, settings, 0
        self.worker_list, self.planner = WorkerListSubscription(self), Planner(self)
        self.publisher = Publisher(self)
        self.manager_count = max(settings.managers, 1)
        self.next_turn_at, self.next_cycle_at = None, parameters.LONG_AGO
        self.restored_until = parameters.LONG_AGO  # until then earlier exclusions may hold
        operations = settings.operations
        self.latency_objective = min((o.latency_objective for o in operations), default=1.0)
        self.utilization_known = "utilization" in settings.load_fields
        self.operations_by_value = sorted(range(len(operations)), key=lambda k: operations[k].billed_value)

    def handle(self, now: float, batch: Iterable[Event]) -> list[Order]:
        """Take in a batch of events, in order, and return the orders that follow from it."""
        self.now, self.orders = now, []
        if self.next_turn_at is None:
            first = parameters.TURN_INTERVAL * self.random_fraction()
            self.next_turn_at, self.restored_until = now + first, now + parameters.FORGET_AFTER
            self.orders.append(SetTimer(self.next_turn_at - now, "turn"))
        self.accept(batch)
        if turn := now >= self.next_turn_at:
            self.next_turn_at = now + parameters.TURN_INTERVAL
            self.orders.append(SetTimer(parameters.TURN_INTERVAL, "turn"))
            self.schedule(self.worker_list.turn)
            if now >= self.next_cycle_at:
                self.next_cycle_at = now + self.settings.cycle - parameters.TURN_INTERVAL / 2
                self.schedule(self.planner.cycle)
            self.run()
        self.schedule(self.planner.reassign_unserved)
        self.run()
        self.schedule(self.publisher.flush, turn)
        self.run()
        return self.orders

    def worker(self, name: str) -> Worker:
        """The worker of this name; one that no list has named, only the store, counts as deregistered."""
        return self.workers.get(name) or self.workers.setdefault(name, Worker(self, name))

    def slice(self, number: int) -> Slice:
        """The slice of this number, new where it was never assigned."""
        return self.slices.get(number) or self.slices.setdefault(number, Slice(self, number))

    def random_fraction(self) -> float:
        """A number of the seeded sequence, from 0 to 1."""
        self.random_count += 1
        return zlib.crc32(f"{self.seed}:{self.random_count}".encode()) / 2**32

    def ready_workers(self) -> list[Worker]:
        """Workers that are listed ready, ejected ones too."""
        return [worker for worker in self.workers.values() if worker.state == READY]

    def usable_workers(self) -> list[Worker]:
        """Workers that are listed ready and not ejected."""
        return [worker for worker in self.workers.values() if worker.usable]

    def own_slices(self) -> list[Slice]:
        """Slices that are assigned to this manager."""
        return [slice for slice in self.slices.values() if slice.assigned]
