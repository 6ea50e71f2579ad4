"""Publishing: urgent tables at once, a tenth of the others each turn, within what the channel can take."""

import math

from ..events import ALL_SLICES, RETRY_UNSTARTED, ExcludeWorker, RequestAcknowledgement, SetAdmission
from ..policy_mechanisms.sent_messages import MessageDraft, SentMessages
from . import parameters
from .slices import Slice


class Publisher:
    """Sends urgent tables at once, a tenth of the others each turn: only changes, never too many."""

    def __init__(self, manager):
        self.manager = manager
        self.urgent, self.ordinary = {}, {}  # slices whose tables wait, in order
        self.sent, self.defaults_due = SentMessages(), False
        self.excluded = {}  # by name of an excluded worker: whether all proxies were told

    def enqueue(self, slice: Slice, urgent: bool) -> None:
        """Queue a slice's table; one that is urgent already stays so."""
        urgent = urgent or slice in self.urgent
        (self.ordinary if urgent else self.urgent).pop(slice, None)
        (self.urgent if urgent else self.ordinary)[slice] = None

    def renew(self) -> None:
        """A proxy joined, or a slice was assigned: it has default rules, and may know no exclusion."""
        self.defaults_due = True
        self.excluded = dict.fromkeys(self.excluded, False)
        own = [slice for slice in self.manager.own_slices() if slice not in self.urgent]
        self.ordinary |= dict.fromkeys(own if self.excluded else ())

    def is_rate_limited(self) -> bool:
        """Whether the number of messages allowed forbids another one now."""
        allowed, span = self.manager.settings.max_messages, self.manager.settings.messages_window
        interval = span / (allowed * parameters.MESSAGES_SHARE) if allowed else 0.0
        many = len(self.sent.messages) * interval >= span
        return bool(interval) and (many or self.manager.now < self.sent.last_sent_at() + interval)

    def line_limit(self) -> float:
        """Lines that may wait in the channel, so that a drain still gets through in time."""
        settings = self.manager.settings
        rate, most = settings.lines_per_second, settings.max_waiting_lines
        spare = settings.drain_grace - settings.longest_delay
        return min(parameters.WAITING_SHARE * most, rate * max(spare, parameters.TURN_INTERVAL) / 2 or most)

    def flush(self, turn: bool) -> None:
        """Send what the channel can take: exclusions, a line each, then tables as far as they fit."""
        self.sent.expire(self.manager.now, self.manager.settings.messages_window)
        if self.is_rate_limited():
            return
        settings, now, proxies = self.manager.settings, self.manager.now, len(self.manager.proxies)
        differs = settings.default_retry != RETRY_UNSTARTED  # the proxies' own way: defaults are sent
        header = settings.message_header + 1 + differs * len(self.manager.operations_by_value)
        due = differs and self.defaults_due and self.manager.own_slices()
        defaults = [SetAdmission(ALL_SLICES, (), 1.0, RETRY_UNSTARTED)] if due else []
        travelling = settings.lines_per_second * settings.message_delay
        waiting, limit = max(self.sent.waiting_lines() - travelling, 0.0), self.line_limit()
        urgent_limit = limit + (settings.max_waiting_lines - limit) / 3
        from_warming = any(s.leaves_warming_worker() for s in self.urgent)  # one falls over within seconds
        part = math.ceil(len(self.ordinary) / parameters.TURNS_TO_PUBLISH) if turn else 0
        slices = sorted(self.urgent, key=Slice.publishing_priority) + list(self.ordinary)[:part]
        hasty = any(s.closed_workers() or s.routes.get(s.primary) != 1.0 for s in self.urgent)
        fitting = (urgent_limit - waiting) // (proxies or 1) - header - len(defaults)  # all may never fit
        closed = list(dict.fromkeys(w for s in slices for w in s.closed_workers()))[: max(int(fitting), 0)]
        orders: list = [*defaults, *(ExcludeWorker(worker.name, True) for worker in closed)]
        draft = MessageDraft(orders, header, proxies, waiting)
        too_soon = now < self.sent.last_sent_at() + parameters.TURN_INTERVAL * (1 + (waiting > 0))
        if too_soon and not closed and not from_warming:  # headers fill a channel
            return
        if not draft.fits(urgent_limit if closed else limit):
            return
        self.defaults_due = self.defaults_due and not defaults
        excluded = {**self.excluded, **{worker.name: True for worker in closed}}
        self.excluded = dict(list(excluded.items())[-parameters.MAX_EXCLUDED :])
        self.add_tables(draft, slices, hasty, limit)
        if draft.orders:
            number = self.sent.add(now, draft.lines, set(self.manager.proxies))
            self.manager.orders += [*draft.orders, RequestAcknowledgement(number)]

    def add_tables(self, draft: MessageDraft, slices: list[Slice], hasty: bool, limit: float) -> None:
        """Add the changes of tables in order, as far as they fit; where it is hasty, what is urgent first."""
        for slice in slices:
            urgent = hasty and slice in self.urgent
            wanted, admission, changes = slice.changes(urgent) if slice.assigned else ({}, None, [])
            returning = [worker for worker in wanted if worker.usable and worker.name in self.excluded]
            readmitted = [worker for worker in returning if worker not in self.manager.planner.blocked]
            changes += [ExcludeWorker(w.name, False) for w in readmitted]  # after its route: fewer are told
            if not draft.fits(limit, len(changes)):
                return
            for worker in readmitted:
                del self.excluded[worker.name]
            self.urgent.pop(slice, None)
            self.ordinary.pop(slice, None)
            if returning != readmitted or slice.standby and slice.standby not in wanted:
                self.urgent[slice] = None  # the table is not complete
            elif set(wanted) - {slice.primary, slice.standby}:
                self.ordinary[slice] = None
            if changes:
                draft.add(changes)
                slice.routes, slice.admission = wanted, admission
