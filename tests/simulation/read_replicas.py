"""Simulation of read replicas in one process, with faults drawn from a seed.

Two controllers lease replicas of one key. Readers fetch the replicas, and proxies invalidate them after
non-idempotent requests. Messages are delayed or lost, processes are partitioned, and proxies freeze. After
each step, the simulation checks that no replica can be read that is older than the effect of an answered
request.
"""

import random

from bramblewood.common.slice_table import readers_with_versions, with_readers
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.peer_sessions import QUORUM_CONTACT_VALIDITY
from bramblewood.controller.read_replicas import ReadReplicas, without_expired_readers, without_readers
from bramblewood.proxy import replica_invalidation
from bramblewood.proxy.replica_invalidation import (
    ConfirmTable,
    DropReplicas,
    RemoveReaders,
    ReplicaInvalidation,
    WaitForLeaseExpiry,
)
from tests.simulation.digests import record_event

STEP = 0.02  # s
KEY = 4096
READERS = ("r1", "r2", "r3")


class StaleRead(AssertionError):
    """A replica can be read that is older than the effect of an answered request."""


class Reader:
    """A worker with a replica under a lease, on a clock that is 2% slow."""

    def __init__(self):
        self.value, self.valid_until, self.dropped_count = 0, 0.0, 0


class Proxy:
    def __init__(self):
        self.table_version, self.readers, self.confirmed_at = 1, set(), -1e9
        self.frozen_until = 0.0
        self.invalidations = []  # (invalidation, value that the request wrote, deadline of the client)


class ReadReplicaSimulation:
    def __init__(self, seed, missing_guard=""):
        """missing_guard: the guard that is removed, or "" for none.

        "confirmation": proxies do not have their tables confirmed. "drop during fetch": a reader keeps a
        replica that it had to drop while it fetched it.
        """
        self.rng, self.missing_guard, self.now = random.Random(seed), missing_guard, 100.0
        self.value = self.newest_answered_value = 0  # of the key at its owner, and in answered requests
        entry = ["h", "", 0.0, 1, "", ""]
        self.tables = [{"n": 1, "s": {"s": {str(KEY): entry}}}]
        self.controllers = {name: ReadReplicas() for name in "ab"}
        self.known_table, self.contact_at = dict.fromkeys("ab", 0), dict.fromkeys("ab", 100.0)
        # by process: controllers a and b, proxies d1 and d2, and the readers
        self.partitioned = dict.fromkeys(("a", "b", "d1", "d2", *READERS), False)
        self.proxies, self.readers = {"d1": Proxy(), "d2": Proxy()}, {name: Reader() for name in READERS}
        self.registry, self.in_transit = WorkerRegistry(), []
        self.answered_requests = self.leases_installed = 0
        for name in ("h", *READERS):
            self.registry.record(100.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1))

    def schedule(self, max_delay, function, *arguments):
        self.in_transit.append((self.now + STEP + self.rng.random() * max_delay, function, arguments))

    def is_delivered(self, sender, receiver):
        return not self.partitioned[sender] and not self.partitioned[receiver] and self.rng.random() > 0.03

    def apply_proposal(self, changed):
        if changed is not None:
            record_event("table", self.now, changed)
            self.tables.append(changed)

    # --- controllers and readers

    def send_leases(self, name):
        """A controller sends leases. It may be a former coordinator that does not know its successor."""
        read_replicas, rng = self.controllers[name], self.rng
        if not self.partitioned[name] and rng.random() < 0.5:
            if self.known_table[name] != len(self.tables) - 1:
                self.known_table[name] = len(self.tables) - 1
                read_replicas.record_table(self.now, self.tables[-1])
            self.contact_at[name] = self.now
        if self.now >= self.contact_at[name] + QUORUM_CONTACT_VALIDITY:
            return
        table = self.tables[self.known_table[name]]
        leases, expired = read_replicas.due_leases(self.now, table, self.registry)
        if expired and not self.partitioned[name]:
            self.apply_proposal(without_expired_readers(self.tables[-1], expired)[0])
        # sorted, because the readers come from a set and have no defined order
        for lease in sorted(leases, key=lambda lease: lease.reader):
            instance_id = lease.reader.instance_id
            record_event(
                "lease", self.now, name, lease.reader, lease.address, lease.fencing_token, lease.owner_address
            )
            if self.is_delivered(name, instance_id):
                self.schedule(0.25, self.fetch, instance_id, name, lease)
            else:
                read_replicas.lease_finished(self.now, lease, 0)

    def fetch(self, instance_id, name, lease):
        """A lease arrives at a reader, which fetches the present value of the key from the owner."""
        reader = self.readers[instance_id]
        self.schedule(0.1, self.install, instance_id, name, lease, self.value, self.now, reader.dropped_count)

    def install(self, instance_id, name, lease, value, fetch_started_at, dropped_count):
        reader, status = self.readers[instance_id], 503
        if dropped_count == reader.dropped_count or self.missing_guard == "drop during fetch":
            # READ_LEASE_DURATION on a clock that is 2% slow
            reader.value, reader.valid_until, status = value, fetch_started_at + 1.0 * 1.02, 200
            self.leases_installed += 1
        self.controllers[name].lease_finished(self.now, lease, status)

    # --- proxies

    def run_proxy(self, name):
        proxy, rng = self.proxies[name], self.rng
        if rng.random() < 0.004:
            proxy.frozen_until = self.now + 4 * rng.random()
        if self.now < proxy.frozen_until:
            return
        if not self.partitioned[name] and rng.random() < 0.1:
            self.apply_table(proxy, len(self.tables) - 1 - (rng.random() < 0.3))
        if rng.random() < 0.03:
            self.value += 1
            proxy.invalidations.append((ReplicaInvalidation(), self.value, self.now + 6.0))
        for pending in list(proxy.invalidations):
            self.advance_invalidation(name, proxy, *pending)
        proxy.invalidations = [pending for pending in proxy.invalidations if pending[2] > self.now]

    def apply_table(self, proxy, table_index):
        table = self.tables[max(table_index, 0)]
        if table["n"] >= proxy.table_version:
            proxy.table_version = table["n"]
            proxy.readers = set(readers_with_versions(table["s"]["s"][str(KEY)]))

    def advance_invalidation(self, name, proxy, invalidation, value, client_deadline):
        confirmed_at = self.now if self.missing_guard == "confirmation" else proxy.confirmed_at
        match invalidation.next_step(self.now, confirmed_at, proxy.readers):
            case replica_invalidation.INVALIDATION_COMPLETE:
                record_event("answer", self.now, name, value)
                self.newest_answered_value = max(self.newest_answered_value, value)
                self.answered_requests += 1
                proxy.invalidations.remove((invalidation, value, client_deadline))
            case ConfirmTable():
                controller = self.rng.choice("ab")
                record_event("confirm", self.now, name, controller)
                if (
                    self.is_delivered(name, controller)
                    and self.now < self.contact_at[controller] + QUORUM_CONTACT_VALIDITY
                ):
                    self.schedule(0.5, self.apply_confirmation, proxy, self.now, self.known_table[controller])
            case DropReplicas(instance_ids):
                record_event("drop", self.now, name, instance_ids)
                for instance_id in instance_ids:
                    is_delivered = self.is_delivered(name, instance_id)
                    if is_delivered:
                        self.readers[instance_id].dropped_count += 1
                        self.readers[instance_id].valid_until = 0.0
                    invalidation.drop_finished(instance_id, is_delivered and self.rng.random() > 0.05)
            case RemoveReaders(instance_ids):
                record_event("take off", self.now, name, instance_ids)
                if not self.partitioned[name]:
                    self.apply_proposal(without_readers(self.tables[-1], "s", KEY, set(instance_ids))[0])
                    invalidation.readers_removed(self.now, instance_ids)
            case WaitForLeaseExpiry():
                pass

    def apply_confirmation(self, proxy, requested_at, table_index):
        if self.tables[table_index]["n"] > proxy.table_version:
            self.apply_table(proxy, table_index)
        proxy.confirmed_at = max(proxy.confirmed_at, requested_at)

    # --- steps

    def step(self):
        self.now += STEP
        for name in self.partitioned:
            if self.rng.random() < (0.05 if self.partitioned[name] else 0.004):
                self.partitioned[name] = not self.partitioned[name]
        if self.rng.random() < 0.003:
            table = self.tables[-1]
            chosen_readers = self.rng.sample(READERS, self.rng.randrange(4))
            entry = with_readers(table["s"]["s"][str(KEY)], sorted(chosen_readers), table["n"] + 1)
            self.apply_proposal({"n": table["n"] + 1, "s": {"s": {str(KEY): entry}}})
        arriving = [item for item in self.in_transit if item[0] <= self.now]
        self.in_transit = [item for item in self.in_transit if item[0] > self.now]
        for _, function, arguments in sorted(arriving, key=lambda item: item[0]):
            function(*arguments)
        for name in self.controllers:
            self.send_leases(name)
        for name in self.proxies:
            self.run_proxy(name)
        for instance_id, reader in self.readers.items():
            if reader.valid_until > self.now and reader.value < self.newest_answered_value:
                raise StaleRead(
                    f"{instance_id} has value {reader.value} after {self.newest_answered_value} was answered"
                )

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.step()
        return self
