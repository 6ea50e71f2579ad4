"""Publishing of tables: urgent ones at once, a tenth of the others each turn, within the channel's limits."""

import math

from ..events import ALL_SLICES, RETRY_UNSTARTED, ExcludeWorker, RequestAcknowledgement, SetAdmission
from ..policy_mechanisms.sent_messages import MessageDraft, SentMessages
from . import parameters
from .slices import Slice


class Publisher:
    """Queues tables and sends their changes, within the limits on messages and on waiting lines."""

    def __init__(self, manager):
        self.manager = manager
        self.urgent, self.ordinary = {}, {}  # queued slices, in order; a slice is in at most one of them
        self.sent, self.defaults_due = SentMessages(), False
        self.excluded = {}  # by name of an excluded worker: whether the order has gone to all joined proxies

    def enqueue(self, slice: Slice, urgent: bool) -> None:
        """Queue a slice's table; a table that is already urgent stays urgent."""
        urgent = urgent or slice in self.urgent
        (self.ordinary if urgent else self.urgent).pop(slice, None)
        (self.urgent if urgent else self.ordinary)[slice] = None

    def schedule_resend(self) -> None:
        """Send defaults and exclusions again: a new proxy or an assigned slice may lack them."""
        self.defaults_due = True
        self.excluded = dict.fromkeys(self.excluded, False)
        own = [slice for slice in self.manager.own_slices() if slice not in self.urgent]
        self.ordinary |= dict.fromkeys(own if self.excluded else ())

    def is_rate_limited(self) -> bool:
        """Return whether the allowed number of messages per window forbids a message now."""
        allowed, window = self.manager.settings.max_messages, self.manager.settings.messages_window
        interval = window / (allowed * parameters.MESSAGES_SHARE) if allowed else 0.0
        exhausted = len(self.sent.messages) * interval >= window
        return bool(interval) and (exhausted or self.manager.now < self.sent.last_sent_at() + interval)

    def line_limit(self) -> float:
        """Return the number of lines that may wait in the channel without delaying a drain too long."""
        settings = self.manager.settings
        rate, most = settings.lines_per_second, settings.max_waiting_lines
        spare = settings.drain_grace - settings.longest_delay
        return min(parameters.WAITING_SHARE * most, rate * max(spare, parameters.TURN_INTERVAL) / 2 or most)

    def flush(self, turn: bool) -> None:
        """Send what the channel can take: exclusions, one line each, then as many tables as fit."""
        self.sent.expire(self.manager.now, self.manager.settings.messages_window)
        if self.is_rate_limited():
            return
        settings, now, proxies = self.manager.settings, self.manager.now, len(self.manager.proxies)
        sends_defaults = settings.default_retry != RETRY_UNSTARTED  # proxies start with another retry mode
        header = settings.message_header + 1 + sends_defaults * len(self.manager.operations_by_value)
        due = sends_defaults and self.defaults_due and self.manager.own_slices()
        defaults = [SetAdmission(ALL_SLICES, (), 1.0, RETRY_UNSTARTED)] if due else []
        in_flight = settings.lines_per_second * settings.message_delay
        waiting, limit = max(self.sent.waiting_lines() - in_flight, 0.0), self.line_limit()
        urgent_limit = limit + (settings.max_waiting_lines - limit) / 3
        relieves_warming_worker = any(s.leaves_warming_worker() for s in self.urgent)  # which overloads soon
        quota = math.ceil(len(self.ordinary) / parameters.TURNS_TO_PUBLISH) if turn else 0
        slices = sorted(self.urgent, key=Slice.publishing_priority) + list(self.ordinary)[:quota]
        expedite = any(s.workers_to_exclude() or s.routes.get(s.primary) != 1.0 for s in self.urgent)
        room = (urgent_limit - waiting) // (proxies or 1) - header - len(defaults)  # all may never fit
        leaving = list(dict.fromkeys(w for s in slices for w in s.workers_to_exclude()))[: max(int(room), 0)]
        orders: list = [*defaults, *(ExcludeWorker(worker.name, True) for worker in leaving)]
        draft = MessageDraft(orders, header, proxies, waiting)
        too_soon = now < self.sent.last_sent_at() + parameters.TURN_INTERVAL * (1 + (waiting > 0))
        if too_soon and not leaving and not relieves_warming_worker:  # many headers would fill the channel
            return
        if not draft.fits(urgent_limit if leaving else limit):
            return
        self.defaults_due = self.defaults_due and not defaults
        excluded = {**self.excluded, **{worker.name: True for worker in leaving}}
        self.excluded = dict(list(excluded.items())[-parameters.MAX_EXCLUDED :])
        self.add_tables(draft, slices, expedite, limit)
        if draft.orders:
            number = self.sent.add(now, draft.lines, set(self.manager.proxies))
            self.manager.orders += [*draft.orders, RequestAcknowledgement(number)]

    def add_tables(self, draft: MessageDraft, slices: list[Slice], expedite: bool, limit: float) -> None:
        """Add table changes in order while they fit; `expedite` limits urgent tables to essential changes."""
        for slice in slices:
            urgent = expedite and slice in self.urgent
            wanted, admission, changes = slice.table_changes(urgent) if slice.assigned else ({}, None, [])
            returning = [worker for worker in wanted if worker.usable and worker.name in self.excluded]
            readmitted = [worker for worker in returning if worker not in self.manager.planner.blocked]
            changes += [ExcludeWorker(w.name, False) for w in readmitted]  # only if routed, to save orders
            if not draft.fits(limit, len(changes)):
                return
            for worker in readmitted:
                del self.excluded[worker.name]
            self.urgent.pop(slice, None)
            self.ordinary.pop(slice, None)
            if returning != readmitted or slice.standby and slice.standby not in wanted:
                self.urgent[slice] = None  # the table is not complete yet
            elif set(wanted) - {slice.primary, slice.standby}:
                self.ordinary[slice] = None
            if changes:
                draft.add(changes)
                slice.routes, slice.admission = wanted, admission
