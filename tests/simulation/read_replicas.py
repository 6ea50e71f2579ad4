"""Read copies in one process, from a seed: two archives that lease, readers that fetch, desks that recall,
and between them delays, loss, cuts and freezes. The judge looks at every step whether a copy can be read
that is older than an effect that was answered.
"""

import random

from bramblewood.common.slice_table import all_readers, with_readers
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.read_replicas import ReadReplicas, without_expired_readers, without_readers
from bramblewood.controller.sessions import QUORUM_CONTACT_VALIDITY
from bramblewood.proxy import replica_invalidation as words
from bramblewood.proxy.replica_invalidation import (
    ConfirmTable,
    DropReplicas,
    RemoveReaders,
    ReplicaInvalidation,
    WaitUntil,
)
from tests.simulation.digests import record_event

STEP = 0.02  # s
KEY = 4096
READERS = ("r1", "r2", "r3")


class Stale(AssertionError):
    """An old copy can be read after an effect was answered."""


class Reader:
    """A copy under a lease, on a clock that is 2% slow."""

    def __init__(self):
        self.value, self.until, self.drops = 0, 0.0, 0


class Proxy:
    def __init__(self):
        self.n, self.readers, self.confirmed_at = 1, set(), -1e9
        self.frozen_until = 0.0
        self.recalls = []  # (recall, value of the effect, asked until)


class Play:
    def __init__(self, seed, careless=""):
        """careless: "sure", desks ask for no confirmation; "fetch", a copy fetched across a release
        stands.
        """
        self.dice, self.careless, self.now, self.value, self.floor = (
            random.Random(seed),
            careless,
            100.0,
            0,
            0,
        )
        entry = ["h", "", 0.0, 1, "", ""]
        self.tables = [{"n": 1, "s": {"s": {str(KEY): entry}}}]
        self.controllers = {name: ReadReplicas() for name in "ab"}
        self.views, self.heard = dict.fromkeys("ab", 0), dict.fromkeys("ab", 100.0)
        self.cut = dict.fromkeys(("a", "b", "d1", "d2", *READERS), False)
        self.proxies, self.readers = {"d1": Proxy(), "d2": Proxy()}, {name: Reader() for name in READERS}
        self.registry, self.later, self.answered, self.leases = WorkerRegistry(), [], 0, 0
        for name in ("h", *READERS):
            self.registry.record(100.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))

    def after(self, longest, call, *what):
        self.later.append((self.now + STEP + self.dice.random() * longest, call, what))

    def reach(self, one, other):
        return not self.cut[one] and not self.cut[other] and self.dice.random() > 0.03

    def change(self, made):
        if made is not None:
            record_event("table", self.now, made)
            self.tables.append(made)

    # --- archives and readers

    def lead(self, name):
        """The scribe of the moment, or one that still believes it is."""
        read_replicas, dice = self.controllers[name], self.dice
        if not self.cut[name] and dice.random() < 0.5:
            if self.views[name] != len(self.tables) - 1:
                self.views[name] = len(self.tables) - 1
                read_replicas.learn_table(self.now, self.tables[-1])
            self.heard[name] = self.now
        if self.now >= self.heard[name] + QUORUM_CONTACT_VALIDITY:
            return
        leases, over = read_replicas.due_leases(self.now, self.tables[self.views[name]], self.registry)
        if over and not self.cut[name]:
            self.change(without_expired_readers(self.tables[-1], over)[0])
        for lease in sorted(leases, key=lambda lease: lease.reader):  # made in the order of a set
            instance_id = lease.reader[2]
            record_event(
                "lease", self.now, name, lease.reader, lease.address, lease.fencing_token, lease.owner_address
            )
            if self.reach(name, instance_id):
                self.after(0.25, self.fetch, instance_id, name, lease)
            else:
                read_replicas.lease_finished(self.now, lease, 0)

    def fetch(self, instance_id, name, lease):
        """A lease arrives: the reader renews the copy that it has, or fetches the record."""
        reader = self.readers[instance_id]
        self.after(0.1, self.install, instance_id, name, lease, self.value, self.now, reader.drops)

    def install(self, instance_id, name, lease, value, began, drops):
        reader, status = self.readers[instance_id], 503
        if drops == reader.drops or self.careless == "fetch":
            reader.value, reader.until, status = value, began + 1.0 * 1.02, 200
            self.leases += 1
        self.controllers[name].lease_finished(self.now, lease, status)

    # --- desks

    def work(self, name):
        proxy, dice = self.proxies[name], self.dice
        if dice.random() < 0.004:
            proxy.frozen_until = self.now + 4 * dice.random()
        if self.now < proxy.frozen_until:
            return
        if not self.cut[name] and dice.random() < 0.1:
            self.take(proxy, len(self.tables) - 1 - (dice.random() < 0.3))
        if dice.random() < 0.03:
            self.value += 1
            proxy.recalls.append((ReplicaInvalidation(), self.value, self.now + 6.0))
        for one in list(proxy.recalls):
            self.invalidation(name, proxy, *one)
        proxy.recalls = [one for one in proxy.recalls if one[2] > self.now]

    def take(self, proxy, place):
        table = self.tables[max(place, 0)]
        if table["n"] >= proxy.n:
            proxy.n, proxy.readers = table["n"], set(all_readers(table["s"]["s"][str(KEY)]))

    def invalidation(self, name, proxy, invalidation, value, until):
        confirmed_at = self.now if self.careless == "sure" else proxy.confirmed_at
        match invalidation.next_step(self.now, confirmed_at, proxy.readers):
            case words.ALL_CLEAR:
                record_event("answer", self.now, name, value)
                self.floor, self.answered = max(self.floor, value), self.answered + 1
                proxy.recalls.remove((invalidation, value, until))
            case ConfirmTable():
                controller = self.dice.choice("ab")
                record_event("confirm", self.now, name, controller)
                if (
                    self.reach(name, controller)
                    and self.now < self.heard[controller] + QUORUM_CONTACT_VALIDITY
                ):
                    self.after(0.5, self.confirmed, proxy, self.now, self.views[controller])
            case DropReplicas(instance_ids):
                record_event("drop", self.now, name, instance_ids)
                for instance_id in instance_ids:
                    reached = self.reach(name, instance_id)
                    if reached:
                        self.readers[instance_id].drops += 1
                        self.readers[instance_id].until = 0.0
                    invalidation.drop_finished(instance_id, reached and self.dice.random() > 0.05)
            case RemoveReaders(instance_ids):
                record_event("take off", self.now, name, instance_ids)
                if not self.cut[name]:
                    self.change(without_readers(self.tables[-1], "s", KEY, set(instance_ids))[0])
                    invalidation.readers_removed(self.now, instance_ids)
            case WaitUntil():
                pass

    def confirmed(self, proxy, asked, view):
        if self.tables[view]["n"] > proxy.n:
            self.take(proxy, view)
        proxy.confirmed_at = max(proxy.confirmed_at, asked)

    # --- the run

    def step(self):
        self.now += STEP
        for name in self.cut:
            if self.dice.random() < (0.05 if self.cut[name] else 0.004):
                self.cut[name] = not self.cut[name]
        if self.dice.random() < 0.003:
            table = self.tables[-1]
            some = self.dice.sample(READERS, self.dice.randrange(4))
            entry = with_readers(table["s"]["s"][str(KEY)], sorted(some), table["n"] + 1)
            self.change({"n": table["n"] + 1, "s": {"s": {str(KEY): entry}}})
        due = [item for item in self.later if item[0] <= self.now]
        self.later = [item for item in self.later if item[0] > self.now]
        for _, call, what in sorted(due, key=lambda item: item[0]):
            call(*what)
        for name in self.controllers:
            self.lead(name)
        for name in self.proxies:
            self.work(name)
        for instance_id, reader in self.readers.items():
            if reader.until > self.now and reader.value < self.floor:
                raise Stale(f"{instance_id} gives {reader.value}, {self.floor} was answered")

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.step()
        return self
