"""A simulated site with one manager: its settings, tables and channel, and the invariants of its orders."""

import random
from dataclasses import replace

from bramblewood import events
from bramblewood.policy.manager import Manager
from bramblewood.startup_settings import Operation, StartupSettings

OPERATIONS = [
    Operation("look", events.IDEMPOTENT, 1.0, 4.0, 1.0),
    Operation("pay", events.SIDE_EFFECTING, 1.0, 3.0, 5.0),
    Operation(
        "seat",
        events.IDEMPOTENT_WITH_KEY,
        2.0,
        6.0,
        4.0,
        deduplication_scope="pool",
        deduplication_window=6.0,
    ),
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


def list_entry(name, state=events.READY, zone="a", started=None, weight=1.0):
    """Return an entry of the worker list."""
    return events.ListedWorker(name, state, weight, zone, 0, "", started)


class SimulatedSite:
    """A manager, with the tables, the channel and the messages that result from its orders."""

    def __init__(self, workers=4, seed=1, lines_per_second=1000.0, **settings):
        self.settings = replace(SETTINGS, **settings)
        self.manager, self.now = Manager(seed, self.settings), 100.0
        self.orders = []  # all orders since the start
        self.timers = []  # (time at which it fires, token)
        self.tables = {number: {f"w{number % workers}": 1.0} for number in range(self.settings.slices)}
        self.admission = {}  # (level, retry mode) by (table, operation)
        self.excluded = set()  # workers that the proxies exclude
        self.joined_proxies = set(range(self.settings.proxies))
        # by worker: the listed state, the listed start, and the time at which the state last changed
        self.states, self.started, self.state_since = {}, {}, {}
        self.moves = []  # (time, worker) of each slice that moved to a worker
        self.message_times = []  # when each message was sent
        self.lines_per_second, self.channel_free_at = lines_per_second, 0.0
        # messages in the channel: (time at which the message leaves it, lines)
        self.waiting, self.peak_waiting_lines = [], 0
        # in flight: (time of arrival, time at which the message was sent, message number)
        self.acknowledgements = []
        stored_events = [
            event
            for number, table in self.tables.items()
            for event in [
                events.SliceAssigned(number, True),
                *(events.RouteStored(number, worker, weight) for worker, weight in table.items()),
            ]
        ]
        self.step(
            0.0,
            self.list_event([list_entry(f"w{k}", zone="ab"[k % 2]) for k in range(workers)], True),
            *[events.ProxyJoined(p, "a", 5.0) for p in sorted(self.joined_proxies)],
            *stored_events,
        )

    def list_event(self, entries, complete=False):
        """Record the states and start times of these entries, and return the event of a list with them."""
        for listed in entries:
            if listed.state != self.states.get(listed.worker):
                self.state_since[listed.worker] = self.now
            self.states[listed.worker] = listed.state
            self.started[listed.worker] = listed.started or 0.0
        return events.WorkersListed(tuple(entries), complete)

    def step(self, seconds, *batch):
        """Advance the time, pass due timers and acknowledgements before the batch, and return the orders."""
        self.now += seconds
        due = [events.TimerFired(token) for at, token in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        acknowledged = [
            events.MessageAcknowledged(p, number, self.now - sent_at)
            for arrives_at, sent_at, number in self.acknowledgements
            if arrives_at <= self.now
            for p in sorted(self.joined_proxies)
        ]
        self.acknowledgements = [one for one in self.acknowledgements if one[0] > self.now]
        orders = self.manager.handle(self.now, [*due, *acknowledged, *batch])
        self.apply_orders(orders)
        self.orders += orders
        return orders

    def apply_orders(self, orders):
        """Apply a manager's orders to the tables, the channel and the timers."""
        lines = 0
        for order in orders:
            match order:
                case events.SetTimer(delay, token):
                    self.timers.append((self.now + delay, token))
                case events.SetRoute(table, worker, weight):
                    lines += 1
                    self.tables[table].pop(worker, None)
                    if weight:
                        self.tables[table][worker] = weight
                    if weight == 1.0:
                        self.moves.append((self.now, worker))
                case events.ExcludeWorker(worker, excluded):
                    lines += 1
                    (self.excluded.add if excluded else self.excluded.discard)(worker)
                case events.SetAdmission(table, operations, level, retry):
                    lines += 1
                    for k in operations or range(len(self.settings.operations)):
                        self.admission[table, k] = (level, retry)
        self.waiting = [(at, n) for at, n in self.waiting if at > self.now]
        if lines:
            cost = (lines + self.settings.message_header + 1) * len(self.joined_proxies)
            self.channel_free_at = max(self.channel_free_at, self.now) + cost / self.lines_per_second
            self.waiting.append((self.channel_free_at, cost))
            self.message_times.append(self.now)
            numbers = [o.number for o in orders if isinstance(o, events.RequestAcknowledgement)]
            self.acknowledgements += [(self.channel_free_at + 0.3, self.now, number) for number in numbers]
        self.peak_waiting_lines = max(self.peak_waiting_lines, sum(n for _, n in self.waiting))

    def run_seconds(self, count, heat=1.0, observed=None, after_second=None):
        """Advance by whole seconds, each of which ends with `reports(heat, observed)`."""
        for _ in range(count):
            self.step(0.5)
            self.step(0.5, *self.reports(heat, observed or {}))
            if after_second:
                after_second(self)

    def reports(self, heat, observed):
        """Return the reports of one second.

        `heat` is the heat of each slice, or a function of the slice number. `observed` overrides fields of
        the reports of single workers.
        """
        heat_of = heat if callable(heat) else lambda number: heat
        batch = [events.SliceHeatReported(n, "look", heat_of(n), 0, 1.0) for n in self.tables]
        for name, state in self.states.items():
            utilization = sum(heat_of(n) for n, table in self.tables.items() if table.get(name, 0) == 1.0) / 6
            fields = {
                "attempts": max(int(6 * utilization), 1),
                "unanswered": 0,
                "mean_response_time": 0.2,
                "interval": 1.0,
                "load": {"utilization": utilization},
            }
            if state != events.DEREGISTERED:
                batch.append(events.WorkerReported(name, "a", **{**fields, **observed.get(name, {})}))
        return batch

    def primary(self, number):
        """Return the worker of the route with the highest weight."""
        table = self.tables[number]
        return max(table, key=table.get) if table else None

    def slices_of(self, name):
        """Return the slices whose primary is this worker."""
        return [number for number in self.tables if self.primary(number) == name]

    def check_invariants(self):
        """Assert the invariants that orders show, which hold after every step."""
        ready_workers = [name for name, state in self.states.items() if state == events.READY]
        for number, table in self.tables.items():
            assert table or not ready_workers, f"slice {number} has no route"
            for name, weight in table.items():
                age = self.now - self.state_since.get(name, self.now)  # time since the worker's state changed
                allowed = self.states.get(name) == events.READY or age < self.settings.drain_grace
                allowed = allowed or name in self.excluded
                assert allowed or not ready_workers, (
                    f"slice {number} has a route to {name}, not ready for {age:.1f} s"
                )
                settled = weight == 1.0 and self.states.get(name) == events.READY and age > 9.0
                assert not (settled and name in self.excluded), f"slice {number}: primary {name} is excluded"
        warm_since = self.now - self.settings.slow_start_window
        for name in ready_workers:
            slices_taken = sum(worker == name and at > self.now - 0.85 for at, worker in self.moves)
            others = any(self.started[other] <= warm_since for other in ready_workers if other != name)
            warming = self.started[name] > warm_since
            assert slices_taken <= 2 or not warming or not others, (
                f"warming {name} took {slices_taken} slices at once"
            )
        for (_, k), (level, retry) in self.admission.items():
            kind = self.settings.operations[k].kind
            assert 0 <= level <= 1
            assert kind == events.IDEMPOTENT or retry <= events.RETRY_UNSTARTED
        assert self.peak_waiting_lines <= self.settings.max_waiting_lines
        recent = [at for at in self.message_times if at > self.now - self.settings.messages_window]
        assert len(recent) <= (self.settings.max_messages or len(recent))


def run_random_events(seed, steps=120, **settings):
    """Run random lists, failures, joins and reports, and check the invariants after every step."""
    rng, site = random.Random(seed), SimulatedSite(workers=6, seed=seed, **settings)
    for _ in range(steps):
        batch = []
        for name in sorted(site.states):
            if rng.random() < 0.03:
                state = rng.choice([events.READY, events.DRAINING, events.DEREGISTERED])
                before, others = site.states[name], [s for n, s in site.states.items() if n != name]
                if state == events.READY or events.READY in others:
                    started = site.now if state == events.READY != before else None
                    batch.append(site.list_event([list_entry(name, state, started=started)]))
        if rng.random() < 0.05:
            proxy = rng.randrange(4)
            batch += [events.ProxyLeft(proxy), events.ProxyJoined(proxy, "a", 5.0)]
        if rng.random() < 0.1:
            batch.append(events.WorkerListFailed())
        observed = {
            name: {"attempts": 9, "unanswered": rng.randrange(10)}
            for name in site.states
            if rng.random() < 0.2
        }
        heats = {n: rng.choice([0, 1, 1, 2, 9]) for n in site.tables}
        site.step(0.5, *batch, *(site.reports(heats.get, observed) if rng.random() < 0.6 else []))
        site.check_invariants()
    return site
