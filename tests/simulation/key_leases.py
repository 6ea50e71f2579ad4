"""Simulation of key leases in one process, with faults drawn from a seed.

Two controllers move and renew leases, and workers keep the leases that they are granted. Either controller
may act at any time. A controller that is partitioned from the majority uses an old table until its quorum
contact expires. Calls take up to their longest transit time. Their answers are lost, delayed, or sent twice:
the second answer then stays on the connection, where the next call reads it. Workers answer some releases
late, because they first finish the work in progress. Workers also restart at their address.

After each step, the simulation checks that no two workers hold a valid lease on the same slice.
"""

import random
from collections.abc import Callable
from typing import Any

from bramblewood.common.slice_table import KEY_SPACE_SIZE, SliceEntry
from bramblewood.common.timeouts import MAX_CALL_TRANSIT
from bramblewood.common.worker_registry import READY, WorkerRegistration, WorkerRegistry
from bramblewood.controller.grant_arrivals import CONNECTION_REFUSED, NO_ANSWER
from bramblewood.controller.key_leases import (
    GRANT,
    RELEASE,
    KeyLeases,
    LeaseCall,
    ReleasedKeys,
)
from bramblewood.controller.peer_sessions import QUORUM_CONTACT_VALIDITY
from bramblewood.controller.placement import SliceChanges, apply_slice_changes, clear_previous_owner
from bramblewood.controller.placement.slice_changes import Assignment
from tests.simulation.digests import record_event

STEP = 0.05  # s
SLICES = 4
SERVICE = "s"
ADDRESSES = ("w1", "w2", "w3")
MAX_LEASE = 10.0  # s, HoldMaxS
SLOW_CLOCK = 1.02  # factor by which the clocks of workers run slow
# Without the guard "expiry wait", leases last UNSHORTENED_LEASE s, but the wait of the controllers is shorter
# by QUORUM_CONTACT_VALIDITY (1 s) and by half of such a lease on a slow clock (6.12 s).
UNSHORTENED_LEASE = 6.0
SHORTENING_FACTOR = 0.5 - 1 / 6.12


class ConflictingLeases(AssertionError):
    """Two workers hold a valid lease on the same slice."""


def registration_at(address: str) -> WorkerRegistration:
    return WorkerRegistration(SERVICE, f"{address}:1", "z", 2, READY, 1)


class Worker:
    """A worker that keeps leases as the protocol requires, on a clock that is 2% slow."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self.fencing_tokens, self.lease_until = [0] * SLICES, [0.0] * SLICES  # by index of the slice
        self.reachable = {"a": True, "b": True}  # by controller

    def grant(self, now: float, slices: list[int], fencing_token: int, duration: float) -> int:
        if any(self.fencing_tokens[index] > fencing_token for index in slices):
            return 409
        for index in slices:
            self.fencing_tokens[index] = fencing_token
            self.lease_until[index] = now + duration * SLOW_CLOCK
        return 200

    def release(self, now: float, slices: list[int], fencing_token: int) -> int:
        for index in slices:
            self.fencing_tokens[index] = max(fencing_token, self.fencing_tokens[index])
            self.lease_until[index] = now
        return 200


class KeyLeaseSimulation:
    def __init__(self, seed: int, missing_guard: str = "", cut_refuses_connections: bool = False) -> None:
        """cut_refuses_connections: a controller without a path to a worker is refused, instead of silence.

        missing_guard: the guard that is removed, or "" for none.

        "quorum contact": grants are sent without quorum contact. "expiry wait": the wait for the expiry of
        leases is too short. "attempt id": the next answer on a connection counts as the answer to a call,
        whatever its id is. "fencing token": a late answer to a release removes the present previous owner,
        whatever the release was for.
        """
        self.rng, self.missing_guard, self.now = random.Random(seed), missing_guard, 100.0
        self.status_behind_cut = CONNECTION_REFUSED if cut_refuses_connections else NO_ANSWER
        rows = {str(i * KEY_SPACE_SIZE // SLICES): ["w1", "", 0.0, 1, "", ""] for i in range(SLICES)}
        self.tables: list[dict[str, Any]] = [{"n": 1, "s": {SERVICE: rows}}]
        self.workers = {address: Worker(address) for address in ADDRESSES}
        self.controllers = {name: KeyLeases(MAX_LEASE) for name in "ab"}
        for key_leases in self.controllers.values():
            key_leases.lease_duration *= SHORTENING_FACTOR if missing_guard == "expiry wait" else 1.0
        self.known_table = dict.fromkeys(self.controllers, 0)  # index in `tables`
        self.contact_at = dict.fromkeys(self.controllers, self.now)
        self.partitioned = dict.fromkeys(self.controllers, False)
        self.registry = WorkerRegistry()
        for address in ADDRESSES:
            self.registry.record(self.now, address, registration_at(address))
        self.in_transit: list[tuple] = []  # calls and answers: (time, function, arguments ...)
        self.surplus_answers: dict[tuple[str, str], int] = {}  # statuses, by controller and address
        self.moves = self.grants = self.restarts = self.late_answers = self.surplus_answers_read = 0

    def apply_proposal(self, proposed: tuple) -> None:
        """Make the proposed table the agreed one at once, if there is one."""
        if proposed[0] is not None:
            record_event("table", self.now, proposed[0])
            self.tables.append(proposed[0])

    def step(self) -> None:
        self.now += STEP
        rng = self.rng
        for name in self.controllers:
            if rng.random() < 0.006:
                self.partitioned[name] = not self.partitioned[name]
            if not self.partitioned[name] and rng.random() < 0.5:
                self.refresh_contact(name)
            if rng.random() < 0.01:
                self.controllers[name].calls_in_flight.clear()  # the controller becomes coordinator again
        for address, worker in self.workers.items():
            for name in self.controllers:
                if rng.random() < 0.006:
                    worker.reachable[name] = not worker.reachable[name]
            if rng.random() < 0.0005:
                self.restart(address)
        if rng.random() < 0.08 and not all(self.partitioned.values()):
            start = rng.randrange(SLICES) * KEY_SPACE_SIZE // SLICES
            worker = rng.choice([worker.instance_id for worker in self.workers.values()])
            self.move_slice(start, worker, SLICES)
            self.moves += 1
        for name, key_leases in self.controllers.items():
            self.send_calls(name, key_leases)
        for item in [item for item in self.in_transit if item[0] <= self.now]:
            self.in_transit.remove(item)
            item[1](*item[2:])
        self.check_leases()

    def occurs(self, probability: float) -> bool:
        return self.rng.random() < probability

    def refresh_contact(self, name: str) -> None:
        """A controller has contact with the majority, and receives the newest table."""
        self.known_table[name], self.contact_at[name] = len(self.tables) - 1, self.now

    def move_slice(self, start: int, instance_id: str, slices: int) -> None:
        """Assign the slice with this first key to another worker."""
        changes = {SERVICE: SliceChanges({start: Assignment(instance_id)}, [], slices)}
        self.apply_proposal(apply_slice_changes(self.tables[-1], changes, {SERVICE}))

    def restart(self, address: str) -> None:
        """Start a new instance at the same address. Calls may reach it before it is registered."""
        self.restarts += 1
        worker = self.workers[address] = Worker(f"{address}.{self.restarts}")
        registration = registration_at(address)
        self.schedule(2.0, lambda: self.registry.record(self.now, worker.instance_id, registration))

    def schedule(self, max_delay: float, function: Callable, *arguments: Any) -> None:
        fraction = self.rng.choice(
            (0.0, self.rng.random(), 1.0)
        )  # the shortest and the longest delay reveal most faults
        self.in_transit.append((self.now + fraction * (max_delay - STEP), function, *arguments))

    def send_calls(self, name: str, key_leases: KeyLeases) -> None:
        """A controller sends its calls."""
        table = self.tables[self.known_table[name]]
        calls, released = key_leases.next_calls(self.now, table, {SERVICE}, self.registry)
        contact_until = self.contact_at[name] + QUORUM_CONTACT_VALIDITY
        for call in calls:
            if call.kind == GRANT and self.now >= contact_until and self.missing_guard != "quorum contact":
                key_leases.call_finished(self.now, call, self.now, NO_ANSWER, "")
                continue
            duration = UNSHORTENED_LEASE if self.missing_guard == "expiry wait" else call.duration
            surplus = self.surplus_answers.pop((name, call.address), None)
            if surplus is not None:  # it has the id of another call, so it is not an answer to this one
                self.surplus_answers_read += 1
                self.deliver_answer(
                    name, call, self.now, surplus if self.missing_guard == "attempt id" else NO_ANSWER
                )
            sent_call = call._replace(duration=duration)
            self.schedule(MAX_CALL_TRANSIT, self.deliver_call, name, sent_call, self.now, surplus is not None)
        for keys in released if not self.partitioned[name] else ():
            self.free_slices(keys)

    def deliver_call(self, name: str, call: LeaseCall, sent_at: float, already_answered: bool) -> None:
        """A call arrives at the worker that listens at its address."""
        worker = self.workers[call.address.partition(":")[0]]
        status = NO_ANSWER if worker.reachable[name] else self.status_behind_cut
        slices = [start * SLICES // KEY_SPACE_SIZE for start in call.starts]
        if worker.reachable[name] and worker.instance_id != call.instance_id:
            status = 421
        elif worker.reachable[name] and call.kind == GRANT:
            status = worker.grant(self.now, slices, call.fencing_token, call.duration)
            self.grants += status == 200
        elif worker.reachable[name]:
            status = worker.release(self.now, slices, call.fencing_token)
        if status > 0 and self.occurs(0.1):
            self.surplus_answers[name, call.address] = status  # the worker answers twice
        if self.occurs(0.1):
            status = NO_ANSWER  # the call arrived, and its answer is lost
        request = (
            call.kind,
            call.address,
            call.instance_id,
            slices,
            call.fencing_token,
            call.duration,
        )
        record_event("call", self.now, name, request, status)
        if already_answered:
            return
        is_late = call.kind == RELEASE and self.occurs(0.2)
        self.late_answers += is_late
        max_delay = self.controllers[name].lease_expiry_delay if is_late else 2 * STEP
        self.schedule(max_delay, self.deliver_answer, name, call, sent_at, status)

    def deliver_answer(self, name: str, call: LeaseCall, sent_at: float, status: int) -> None:
        """An answer arrives at its controller."""
        keys = self.controllers[name].call_finished(self.now, call, sent_at, status, "h")
        if keys is not None and not self.partitioned[name]:
            if self.missing_guard == "fencing token":
                entry = SliceEntry.decode(self.tables[-1]["s"][SERVICE][str(keys.starts[0])])
                keys = keys._replace(fencing_token=entry.fencing_token, previous_owner=entry.previous_owner)
            self.free_slices(keys)

    def free_slices(self, keys: ReleasedKeys) -> None:
        record_event("freed", self.now, *keys)
        self.apply_proposal(clear_previous_owner(self.tables[-1], *keys))

    def check_leases(self) -> None:
        for index in range(SLICES):
            holders = [name for name, worker in self.workers.items() if worker.lease_until[index] > self.now]
            if len(holders) > 1:
                raise ConflictingLeases(f"slice {index} is leased to {' and '.join(holders)}")

    def run(self, seconds: float) -> "KeyLeaseSimulation":
        for _ in range(int(seconds / STEP)):
            self.step()
        return self


def expiry_margin(transit: float) -> float:
    """Return the time (s) between the expiry of the last possible grant and the release of its keys.

    The grant is sent at the last moment at which an older table allows it, and arrives after `transit` s at a
    worker with the slowest clock. The previous owner answers no call.
    """
    key_leases, registry, worker = KeyLeases(MAX_LEASE), WorkerRegistry(), Worker("w1")
    registry.record(0.0, "w1", registration_at("w1"))
    table = {"n": 2, "s": {SERVICE: {"0": ["w2", "", 0.0, 2, "", "w1"]}}}
    # sent by another controller, whose quorum contact is from just before the change of the table
    worker.grant(QUORUM_CONTACT_VALIDITY + transit, [0], 1, key_leases.lease_duration)
    steps = 0
    while not key_leases.next_calls(steps * STEP, table, {SERVICE}, registry)[1]:
        steps += 1
    return steps * STEP - worker.lease_until[0]
