"""A simulated site around one manager: its settings, tables, channel, and the invariants of its orders."""

import random
from dataclasses import replace

from bramblewood import events
from bramblewood.policy.manager import Manager
from bramblewood.startup_settings import Operation, StartupSettings

OPERATIONS = [
    Operation("look", events.IDEMPOTENT, 1.0, 4.0, 1.0),
    Operation("pay", events.SIDE_EFFECTING, 1.0, 3.0, 5.0),
    Operation("seat", events.FINGERPRINTED, 2.0, 6.0, 4.0, group="pool", window=6.0),
]
SETTINGS = StartupSettings(
    operations=OPERATIONS,
    managers=1,
    manager=0,
    slices=12,
    proxies=4,
    cycle=1.0,
    slow_start_window=10.0,
    slow_start_minimum=0.25,
    overload_factor=3.0,
    drain_grace=3.0,
    default_retry=0,
    max_waiting_lines=2000,
    message_header=8,
    max_messages=20,
    messages_window=10.0,
    load_fields=["utilization"],
)


def entry(name, state=events.READY, zone="a", started=None, weight=1.0):
    """An entry of the worker list."""
    return events.ListedWorker(name, state, weight, zone, 0, "", started)


class SimulatedSite:
    """A manager, and the tables, the channel and the messages that its orders make."""

    def __init__(self, workers=4, seed=1, lines_per_second=1000.0, **settings):
        self.settings = replace(SETTINGS, **settings)
        self.manager, self.now = Manager(seed, self.settings), 100.0
        self.orders = []  # all so far
        self.timers = []  # (due at, token)
        self.tables = {number: {f"w{number % workers}": 1.0} for number in range(self.settings.slices)}
        self.admission = {}  # (level, retry mode) by table and operation
        self.excluded = set()  # workers that the proxies keep away from
        self.joined = set(range(self.settings.proxies))
        self.states, self.started, self.listed_at = {}, {}, {}  # by worker, as listed
        self.moves = []  # (when, worker) of each slice that went to a worker
        self.messages = []  # when each was sent
        self.lines_per_second, self.channel_free_at = lines_per_second, 0.0
        self.waiting, self.most_waiting = [], 0  # messages in the channel: (leaves at, lines)
        self.acknowledgements = []  # on their way: (arrive at, sent at, number)
        given = [
            event
            for number, table in self.tables.items()
            for event in [
                events.SliceAssigned(number, True),
                *(events.RouteStored(number, worker, weight) for worker, weight in table.items()),
            ]
        ]
        self.step(
            0.0,
            self.list_event([entry(f"w{k}", zone="ab"[k % 2]) for k in range(workers)], True),
            *[events.ProxyJoined(p, "a", 5.0) for p in sorted(self.joined)],
            *given,
        )

    def list_event(self, entries, complete=False):
        """The event of a worker list with these entries, which is remembered."""
        for item in entries:
            if item.state != self.states.get(item.worker):
                self.listed_at[item.worker] = self.now
            self.states[item.worker] = item.state
            self.started[item.worker] = item.started or 0.0
        return events.WorkersListed(tuple(entries), complete)

    def step(self, seconds, *batch):
        """Let time pass: timers and acknowledgements that are due come before the batch. The orders."""
        self.now += seconds
        due = [events.TimerFired(token) for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        answers = [
            events.MessageAcknowledged(p, number, self.now - sent)
            for at, sent, number in self.acknowledgements
            if at <= self.now
            for p in sorted(self.joined)
        ]
        self.acknowledgements = [number for number in self.acknowledgements if number[0] > self.now]
        orders = self.manager.handle(self.now, [*due, *answers, *batch])
        self.carry_out(orders)
        self.orders += orders
        return orders

    def carry_out(self, orders):
        """Do what a manager's orders ask of the tables, the channel and the timers."""
        lines = 0
        for order in orders:
            match order:
                case events.SetTimer(after, token):
                    self.timers.append((self.now + after, token))
                case events.SetRoute(table, worker, weight):
                    lines += 1
                    self.tables[table].pop(worker, None)
                    if weight:
                        self.tables[table][worker] = weight
                    if weight == 1.0:
                        self.moves.append((self.now, worker))
                case events.ExcludeWorker(worker, out):
                    lines += 1
                    (self.excluded.add if out else self.excluded.discard)(worker)
                case events.SetAdmission(table, operations, level, retry):
                    lines += 1
                    for k in operations or range(len(self.settings.operations)):
                        self.admission[table, k] = (level, retry)
        self.waiting = [(at, n) for at, n in self.waiting if at > self.now]
        if lines:
            cost = (lines + self.settings.message_header + 1) * len(self.joined)
            self.channel_free_at = max(self.channel_free_at, self.now) + cost / self.lines_per_second
            self.waiting.append((self.channel_free_at, cost))
            self.messages.append(self.now)
            numbers = [o.number for o in orders if isinstance(o, events.RequestAcknowledgement)]
            self.acknowledgements += [(self.channel_free_at + 0.3, self.now, number) for number in numbers]
        self.most_waiting = max(self.most_waiting, sum(n for _, n in self.waiting))

    def seconds(self, count, heat=1.0, observed=None, each=None):
        """Whole seconds with reports: the heat of each slice, and what proxies observed at each worker."""
        for _ in range(count):
            self.step(0.5)
            self.step(0.5, *self.reports(heat, observed or {}))
            if each:
                each(self)

    def reports(self, heat, observed):
        """One second's reports: heat by slice, and what proxies observed by worker where that is unusual."""
        hot = heat if callable(heat) else lambda number: heat
        batch = [events.SliceHeatReported(n, "look", hot(n), 0, 1.0) for n in self.tables]
        for name, state in self.states.items():
            busy = sum(hot(n) for n, table in self.tables.items() if table.get(name, 0) == 1.0) / 6
            good = {
                "attempts": max(int(6 * busy), 1),
                "unanswered": 0,
                "mean_response_time": 0.2,
                "interval": 1.0,
                "load": {"utilization": busy},
            }
            if state != events.DEREGISTERED:
                batch.append(events.WorkerReported(name, "a", **{**good, **observed.get(name, {})}))
        return batch

    def primary(self, number):
        """The worker of a slice's heaviest route."""
        table = self.tables[number]
        return max(table, key=table.get) if table else None

    def slices_of(self, name):
        """The slices that a worker is the primary of."""
        return [number for number in self.tables if self.primary(number) == name]

    def check_invariants(self):
        """The invariants that can be seen from orders, after any step."""
        open_workers = [name for name, state in self.states.items() if state == events.READY]
        for number, table in self.tables.items():
            assert table or not open_workers, f"slice {number} has no route"
            for name, weight in table.items():
                late = self.now - self.listed_at.get(name, self.now)
                kept = self.states.get(name) == events.READY or late < self.settings.drain_grace
                kept = kept or name in self.excluded
                assert kept or not open_workers, f"slice {number} names {name}, closed {late:.1f} s ago"
                back = weight == 1.0 and self.states.get(name) == events.READY and late > 9.0
                assert not (back and name in self.excluded), f"slice {number} is with {name}, kept out"
        warm_since = self.now - self.settings.slow_start_window
        for name in open_workers:
            lately = sum(worker == name and at > self.now - 0.85 for at, worker in self.moves)
            others = any(self.started[other] <= warm_since for other in open_workers if other != name)
            cold = self.started[name] > warm_since
            assert lately <= 2 or not cold or not others, f"cold {name} took {lately} slices at once"
        for (_, k), (level, retry) in self.admission.items():
            kind = self.settings.operations[k].kind
            assert 0 <= level <= 1
            assert kind == events.IDEMPOTENT or retry <= events.RETRY_UNSTARTED
        assert self.most_waiting <= self.settings.max_waiting_lines
        recent = [at for at in self.messages if at > self.now - self.settings.messages_window]
        assert len(recent) <= (self.settings.max_messages or len(recent))


def random_day(seed, steps=120, **settings):
    """A random day of lists, failures, joins and reports; the invariants are checked after every step."""
    dice, site = random.Random(seed), SimulatedSite(workers=6, seed=seed, **settings)
    for _ in range(steps):
        batch = []
        for name in sorted(site.states):
            if dice.random() < 0.03:
                state = dice.choice([events.READY, events.DRAINING, events.DEREGISTERED])
                was, others = site.states[name], [s for n, s in site.states.items() if n != name]
                if state == events.READY or events.READY in others:
                    started = site.now if state == events.READY != was else None
                    batch.append(site.list_event([entry(name, state, started=started)]))
        if dice.random() < 0.05:
            proxy = dice.randrange(4)
            batch += [events.ProxyLeft(proxy), events.ProxyJoined(proxy, "a", 5.0)]
        if dice.random() < 0.1:
            batch.append(events.WorkerListFailed())
        observed = {
            name: {"attempts": 9, "unanswered": dice.randrange(10)}
            for name in site.states
            if dice.random() < 0.2
        }
        heats = {n: dice.choice([0, 1, 1, 2, 9]) for n in site.tables}
        site.step(0.5, *batch, *(site.reports(heats.get, observed) if dice.random() < 0.6 else []))
        site.check_invariants()
    return site
