"""Read replicas in one process, from a seed: two controllers that lease, readers that fetch, proxies that
invalidate, and between them delays, loss, partitions and freezes. The judge looks at every step whether a
replica can be read that is older than an effect that was answered.
"""

import random

from bramblewood.common.slice_table import all_readers, with_readers
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.read_replicas import ReadReplicas, without_expired_readers, without_readers
from bramblewood.controller.sessions import QUORUM_CONTACT_VALIDITY
from bramblewood.proxy import replica_invalidation
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


class StaleRead(AssertionError):
    """An old replica can be read after an effect was answered."""


class Reader:
    """A replica under a lease, on a clock that is 2% slow."""

    def __init__(self):
        self.value, self.valid_until, self.dropped_count = 0, 0.0, 0


class Proxy:
    def __init__(self):
        self.table_version, self.readers, self.confirmed_at = 1, set(), -1e9
        self.frozen_until = 0.0
        self.invalidations = []  # (invalidation, value of the effect, client waits until)


class Play:
    def __init__(self, seed, without=""):
        """without: the guard that is taken out. "confirmation": proxies ask for none of their table;
        "release": a replica that was fetched across a release stands.
        """
        self.dice, self.without, self.now = random.Random(seed), without, 100.0
        self.value = self.newest_answered = 0
        entry = ["h", "", 0.0, 1, "", ""]
        self.tables = [{"n": 1, "s": {"s": {str(KEY): entry}}}]
        self.controllers = {name: ReadReplicas() for name in "ab"}
        self.known_table, self.contact_at = dict.fromkeys("ab", 0), dict.fromkeys("ab", 100.0)
        self.partitioned = dict.fromkeys(("a", "b", "d1", "d2", *READERS), False)
        self.proxies, self.readers = {"d1": Proxy(), "d2": Proxy()}, {name: Reader() for name in READERS}
        self.registry, self.in_transit = WorkerRegistry(), []
        self.effects_answered = self.leases_installed = 0
        for name in ("h", *READERS):
            self.registry.record(100.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))

    def after(self, longest, function, *arguments):
        self.in_transit.append((self.now + STEP + self.dice.random() * longest, function, arguments))

    def reaches(self, sender, receiver):
        return not self.partitioned[sender] and not self.partitioned[receiver] and self.dice.random() > 0.03

    def propose(self, changed):
        if changed is not None:
            record_event("table", self.now, changed)
            self.tables.append(changed)

    # --- controllers and readers

    def send_leases(self, name):
        """The coordinator of the moment, or one that still believes it is."""
        read_replicas, dice = self.controllers[name], self.dice
        if not self.partitioned[name] and dice.random() < 0.5:
            if self.known_table[name] != len(self.tables) - 1:
                self.known_table[name] = len(self.tables) - 1
                read_replicas.learn_table(self.now, self.tables[-1])
            self.contact_at[name] = self.now
        if self.now >= self.contact_at[name] + QUORUM_CONTACT_VALIDITY:
            return
        table = self.tables[self.known_table[name]]
        leases, expired = read_replicas.due_leases(self.now, table, self.registry)
        if expired and not self.partitioned[name]:
            self.propose(without_expired_readers(self.tables[-1], expired)[0])
        for lease in sorted(leases, key=lambda lease: lease.reader):  # found in the order of a set
            instance_id = lease.reader.instance_id
            record_event(
                "lease", self.now, name, lease.reader, lease.address, lease.fencing_token, lease.owner_address
            )
            if self.reaches(name, instance_id):
                self.after(0.25, self.fetch, instance_id, name, lease)
            else:
                read_replicas.lease_finished(self.now, lease, 0)

    def fetch(self, instance_id, name, lease):
        """A lease arrives: the reader renews the replica that it has, or fetches the record."""
        reader = self.readers[instance_id]
        self.after(0.1, self.install, instance_id, name, lease, self.value, self.now, reader.dropped_count)

    def install(self, instance_id, name, lease, value, began, dropped_count):
        reader, status = self.readers[instance_id], 503
        if dropped_count == reader.dropped_count or self.without == "release":
            reader.value, reader.valid_until, status = value, began + 1.0 * 1.02, 200
            self.leases_installed += 1
        self.controllers[name].lease_finished(self.now, lease, status)

    # --- proxies

    def run_proxy(self, name):
        proxy, dice = self.proxies[name], self.dice
        if dice.random() < 0.004:
            proxy.frozen_until = self.now + 4 * dice.random()
        if self.now < proxy.frozen_until:
            return
        if not self.partitioned[name] and dice.random() < 0.1:
            self.take_table(proxy, len(self.tables) - 1 - (dice.random() < 0.3))
        if dice.random() < 0.03:
            self.value += 1
            proxy.invalidations.append((ReplicaInvalidation(), self.value, self.now + 6.0))
        for pending in list(proxy.invalidations):
            self.invalidation(name, proxy, *pending)
        proxy.invalidations = [pending for pending in proxy.invalidations if pending[2] > self.now]

    def take_table(self, proxy, table_place):
        table = self.tables[max(table_place, 0)]
        if table["n"] >= proxy.table_version:
            proxy.table_version, proxy.readers = table["n"], set(all_readers(table["s"]["s"][str(KEY)]))

    def invalidation(self, name, proxy, invalidation, value, valid_until):
        confirmed_at = self.now if self.without == "confirmation" else proxy.confirmed_at
        match invalidation.next_step(self.now, confirmed_at, proxy.readers):
            case replica_invalidation.ALL_CLEAR:
                record_event("answer", self.now, name, value)
                self.newest_answered = max(self.newest_answered, value)
                self.effects_answered += 1
                proxy.invalidations.remove((invalidation, value, valid_until))
            case ConfirmTable():
                controller = self.dice.choice("ab")
                record_event("confirm", self.now, name, controller)
                if (
                    self.reaches(name, controller)
                    and self.now < self.contact_at[controller] + QUORUM_CONTACT_VALIDITY
                ):
                    self.after(0.5, self.take_confirmation, proxy, self.now, self.known_table[controller])
            case DropReplicas(instance_ids):
                record_event("drop", self.now, name, instance_ids)
                for instance_id in instance_ids:
                    reached = self.reaches(name, instance_id)
                    if reached:
                        self.readers[instance_id].dropped_count += 1
                        self.readers[instance_id].valid_until = 0.0
                    invalidation.drop_finished(instance_id, reached and self.dice.random() > 0.05)
            case RemoveReaders(instance_ids):
                record_event("take off", self.now, name, instance_ids)
                if not self.partitioned[name]:
                    self.propose(without_readers(self.tables[-1], "s", KEY, set(instance_ids))[0])
                    invalidation.readers_removed(self.now, instance_ids)
            case WaitUntil():
                pass

    def take_confirmation(self, proxy, asked_at, view):
        if self.tables[view]["n"] > proxy.table_version:
            self.take_table(proxy, view)
        proxy.confirmed_at = max(proxy.confirmed_at, asked_at)

    # --- the run

    def step(self):
        self.now += STEP
        for name in self.partitioned:
            if self.dice.random() < (0.05 if self.partitioned[name] else 0.004):
                self.partitioned[name] = not self.partitioned[name]
        if self.dice.random() < 0.003:
            table = self.tables[-1]
            chosen_readers = self.dice.sample(READERS, self.dice.randrange(4))
            entry = with_readers(table["s"]["s"][str(KEY)], sorted(chosen_readers), table["n"] + 1)
            self.propose({"n": table["n"] + 1, "s": {"s": {str(KEY): entry}}})
        arriving = [item for item in self.in_transit if item[0] <= self.now]
        self.in_transit = [item for item in self.in_transit if item[0] > self.now]
        for _, function, arguments in sorted(arriving, key=lambda item: item[0]):
            function(*arguments)
        for name in self.controllers:
            self.send_leases(name)
        for name in self.proxies:
            self.run_proxy(name)
        for instance_id, reader in self.readers.items():
            if reader.valid_until > self.now and reader.value < self.newest_answered:
                raise StaleRead(f"{instance_id} gives {reader.value}, {self.newest_answered} was answered")

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.step()
        return self
