"""Decides which worker serves which slice, and which orders go out when. The design: docs/design.md."""

from collections.abc import Iterable

from ..events import Event, Order, SetTimer
from ..policy_mechanisms.dispatch import Dispatcher
from ..policy_mechanisms.random_fractions import RandomFractions
from . import parameters
from .planner import Planner
from .publishing import Publisher
from .slices import Slice
from .worker_list import WorkerListSubscription
from .workers import Worker


class Manager(Dispatcher):
    """One run of a manager. It does no I/O and reads no clock; `handle` turns events into orders."""

    def __init__(self, seed, settings):  # settings: startup_settings.StartupSettings
        super().__init__(Worker, Slice)
        self.settings, self.random_fractions = settings, RandomFractions(seed)
        self.worker_list, self.planner = WorkerListSubscription(self), Planner(self)
        self.publisher = Publisher(self)
        self.manager_count = max(settings.managers, 1)
        self.next_turn_at, self.next_cycle_at = None, parameters.LONG_AGO
        self.old_exclusions_until = parameters.LONG_AGO  # unix time; an earlier run's may hold until then
        operations = settings.operations
        self.latency_objective = min((o.latency_objective for o in operations), default=1.0)
        self.utilization_known = "utilization" in settings.load_fields
        self.operations_by_value = sorted(range(len(operations)), key=lambda k: operations[k].billed_value)

    def handle(self, now: float, batch: Iterable[Event]) -> list[Order]:
        """Process a batch of events in order, at unix time `now`, and return the resulting orders."""
        self.now, self.orders = now, []
        if self.next_turn_at is None:
            delay = parameters.TURN_INTERVAL * next(self.random_fractions)
            self.next_turn_at, self.old_exclusions_until = now + delay, now + parameters.FORGET_AFTER
            self.orders.append(SetTimer(self.next_turn_at - now, "turn"))
        self.dispatch_batch(batch)
        if turn := now >= self.next_turn_at:
            self.next_turn_at = now + parameters.TURN_INTERVAL
            self.orders.append(SetTimer(parameters.TURN_INTERVAL, "turn"))
            self.worker_list.turn()
            if now >= self.next_cycle_at:
                self.next_cycle_at = now + self.settings.cycle - parameters.TURN_INTERVAL / 2
                self.run_to_completion(self.planner.cycle)
        self.run_to_completion(self.planner.reassign_unserved_slices)
        self.run_to_completion(self.publisher.flush, turn)
        return self.orders
