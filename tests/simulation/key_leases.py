"""Two controllers that move and renew key leases, workers that keep what they were granted, partitions and
lost calls, from a seed.

Either controller may act at any time; one that is cut off from the majority sees an old table until its
quorum contact expires. Calls take as long as they may; their answers are lost, come late, or twice: the
second then lies on the connection, where the next call finds it. Workers are busy with what they began before
they answer a release, and restart at their address. The judge looks at every step whether two workers hold
the same keys and both may begin work on them.
"""

import random
from collections.abc import Callable
from typing import Any

from bramblewood.common.slice_table import KEY_SPACE_SIZE, SliceEntry
from bramblewood.common.timeouts import MAX_CALL_TRANSIT
from bramblewood.common.worker_registry import READY, WorkerRegistration, WorkerRegistry
from bramblewood.controller.key_leases import (
    GRANT,
    NO_ANSWER,
    RELEASE,
    KeyLeases,
    LeaseCall,
    ReleasedKeys,
)
from bramblewood.controller.placement import SliceChanges, apply_slice_changes, clear_previous_owner
from bramblewood.controller.placement.slice_changes import Assignment
from bramblewood.controller.sessions import QUORUM_CONTACT_VALIDITY
from tests.simulation.digests import record_event

STEP = 0.05  # s
SLICES = 4
SERVICE = "s"
ADDRESSES = ("w1", "w2", "w3")
MAX_LEASE = 10.0  # s, HoldMaxS
SLOW_CLOCK = 1.02
# a lease that is longer than the controllers' wait allows for
LEASE_BEYOND_WAIT = 6.0
SHORTER_WAIT = 0.5 - 1 / 6.12


class TwoHolders(AssertionError):
    """Two workers hold the same keys."""


def registration_at(address: str) -> WorkerRegistration:
    return WorkerRegistration(SERVICE, f"{address}:1", "z", 2, READY, 1)


class Worker:
    """Leases as the protocol says, on a clock that is 2% slow."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self.fencing_tokens, self.lease_until = [0] * SLICES, [0.0] * SLICES
        self.reachable = {"a": True, "b": True}  # by controller

    def grant(self, now: float, slices: list[int], fencing_token: int, duration: float) -> int:
        if any(self.fencing_tokens[place] > fencing_token for place in slices):
            return 409
        for place in slices:
            self.fencing_tokens[place] = fencing_token
            self.lease_until[place] = now + duration * SLOW_CLOCK
        return 200

    def release(self, now: float, slices: list[int], fencing_token: int) -> int:
        for place in slices:
            self.fencing_tokens[place] = max(fencing_token, self.fencing_tokens[place])
            self.lease_until[place] = now
        return 200


class Play:
    def __init__(self, seed: int, without: str = "") -> None:
        """without: the guard that is taken out. "contact": grants leave without quorum contact; "wait":
        nobody waits for the quorum contact of others to expire; "call id": the next answer on a connection
        counts as a call's own; "fencing token": a release that is answered late frees whatever previous owner
        stands there now.
        """
        self.dice, self.without, self.now = random.Random(seed), without, 100.0
        rows = {str(i * KEY_SPACE_SIZE // SLICES): ["w1", "", 0.0, 1, "", ""] for i in range(SLICES)}
        self.tables: list[dict[str, Any]] = [{"n": 1, "s": {SERVICE: rows}}]
        self.workers = {address: Worker(address) for address in ADDRESSES}
        self.controllers = {name: KeyLeases(MAX_LEASE) for name in "ab"}
        for key_leases in self.controllers.values():
            key_leases.lease_duration *= SHORTER_WAIT if without == "wait" else 1.0
        self.known_table = dict.fromkeys(self.controllers, 0)  # place in `tables`
        self.contact_at = dict.fromkeys(self.controllers, self.now)
        self.partitioned = dict.fromkeys(self.controllers, False)
        self.registry = WorkerRegistry()
        for address in ADDRESSES:
            self.registry.record(self.now, address, registration_at(address))
        self.in_transit: list[tuple] = []  # calls and answers: (when, function, arguments ...)
        self.surplus_answers: dict[tuple[str, str], int] = {}  # status, by controller and address
        self.moves = self.grants = self.restarts = self.late_answers = self.surplus_read = 0

    def propose(self, proposed: tuple) -> None:
        """A change of the table is chosen at once."""
        if proposed[0] is not None:
            record_event("table", self.now, proposed[0])
            self.tables.append(proposed[0])

    def step(self) -> None:
        self.now += STEP
        dice = self.dice
        for name in self.controllers:
            if dice.random() < 0.006:
                self.partitioned[name] = not self.partitioned[name]
            if not self.partitioned[name] and dice.random() < 0.5:
                self.learn(name)
            if dice.random() < 0.01:
                self.controllers[name].calls_in_flight.clear()  # it is coordinator again
        for address, worker in self.workers.items():
            for name in self.controllers:
                if dice.random() < 0.006:
                    worker.reachable[name] = not worker.reachable[name]
            if dice.random() < 0.0005:
                self.restart(address)
        if dice.random() < 0.08 and not all(self.partitioned.values()):
            start = dice.randrange(SLICES) * KEY_SPACE_SIZE // SLICES
            worker = dice.choice([worker.instance_id for worker in self.workers.values()])
            self.move(start, worker, SLICES)
            self.moves += 1
        for name, key_leases in self.controllers.items():
            self.act(name, key_leases)
        for item in [item for item in self.in_transit if item[0] <= self.now]:
            self.in_transit.remove(item)
            item[1](*item[2:])
        self.judge()

    def happens(self, part: float) -> bool:
        return self.dice.random() < part

    def learn(self, name: str) -> None:
        """A controller hears the majority."""
        self.known_table[name], self.contact_at[name] = len(self.tables) - 1, self.now

    def move(self, start: int, instance_id: str, slices: int) -> None:
        """The slice that begins with this key gets another worker."""
        changes = {SERVICE: SliceChanges({start: Assignment(instance_id)}, [], slices)}
        self.propose(apply_slice_changes(self.tables[-1], changes, {SERVICE}))

    def restart(self, address: str) -> None:
        """A new instance at the same address; calls find it before the controllers hear of it."""
        self.restarts += 1
        worker = self.workers[address] = Worker(f"{address}.{self.restarts}")
        registration = registration_at(address)
        self.after(2.0, lambda: self.registry.record(self.now, worker.instance_id, registration))

    def after(self, longest: float, function: Callable, *arguments: Any) -> None:
        part = self.dice.choice((0.0, self.dice.random(), 1.0))  # the ends are where faults show
        self.in_transit.append((self.now + part * (longest - STEP), function, *arguments))

    def act(self, name: str, key_leases: KeyLeases) -> None:
        """A controller makes its calls."""
        table = self.tables[self.known_table[name]]
        calls, released = key_leases.next_calls(self.now, table, {SERVICE}, self.registry)
        contact_until = self.contact_at[name] + QUORUM_CONTACT_VALIDITY
        for call in calls:
            if call.kind == GRANT and self.now >= contact_until and self.without != "contact":
                key_leases.call_finished(self.now, call, self.now, NO_ANSWER, "", False)
                continue
            duration = LEASE_BEYOND_WAIT if self.without == "wait" else call.duration
            surplus = self.surplus_answers.pop((name, call.address), None)
            if surplus is not None:  # it names another call's id: to the controller that is no answer
                self.surplus_read += 1
                self.answer(name, call, self.now, surplus if self.without == "call id" else NO_ANSWER)
            sent_call = call._replace(duration=duration)
            self.after(MAX_CALL_TRANSIT, self.arrive, name, sent_call, self.now, surplus is not None)
        for keys in released if not self.partitioned[name] else ():
            self.free(keys)

    def arrive(self, name: str, call: LeaseCall, sent: float, already_answered: bool) -> None:
        """A call comes to whoever listens at its address."""
        worker, status = self.workers[call.address.partition(":")[0]], NO_ANSWER
        slices = [start * SLICES // KEY_SPACE_SIZE for start in call.starts]
        if worker.reachable[name] and worker.instance_id != call.instance_id:
            status = 421
        elif worker.reachable[name] and call.kind == GRANT:
            status = worker.grant(self.now, slices, call.fencing_token, call.duration)
            self.grants += status == 200
        elif worker.reachable[name]:
            status = worker.release(self.now, slices, call.fencing_token)
        if status and self.happens(0.1):
            self.surplus_answers[name, call.address] = status  # it answers twice
        if self.happens(0.1):
            status = NO_ANSWER  # it arrived, and its answer is lost
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
        busy = call.kind == RELEASE and self.happens(0.2)
        self.late_answers += busy
        longest = self.controllers[name].expiry_wait if busy else 2 * STEP
        self.after(longest, self.answer, name, call, sent, status)

    def answer(self, name: str, call: LeaseCall, sent: float, status: int) -> None:
        """An answer comes back to its controller."""
        keys = self.controllers[name].call_finished(self.now, call, sent, status, "h", False)
        if keys is not None and not self.partitioned[name]:
            if self.without == "fencing token":
                entry = SliceEntry.decode(self.tables[-1]["s"][SERVICE][str(keys.starts[0])])
                keys = keys._replace(fencing_token=entry.fencing_token, previous_owner=entry.previous_owner)
            self.free(keys)

    def free(self, keys: ReleasedKeys) -> None:
        record_event("freed", self.now, *keys)
        self.propose(clear_previous_owner(self.tables[-1], *keys))

    def judge(self) -> None:
        for place in range(SLICES):
            holders = [name for name, worker in self.workers.items() if worker.lease_until[place] > self.now]
            if len(holders) > 1:
                raise TwoHolders(f"slice {place} is held by {' and '.join(holders)}")

    def run(self, seconds: float) -> "Play":
        for _ in range(int(seconds / STEP)):
            self.step()
        return self


def margin(transit: float) -> float:
    """s between the end of the last grant that may leave, with a transit that long and the slowest clock, and
    its keys' being freed while their previous owner answers nobody.
    """
    key_leases, registry, worker = KeyLeases(MAX_LEASE), WorkerRegistry(), Worker("w1")
    registry.record(0.0, "w1", registration_at("w1"))
    table = {"n": 2, "s": {SERVICE: {"0": ["w2", "", 0.0, 2, "", "w1"]}}}
    # another controller's, on quorum contact from just before the change
    worker.grant(QUORUM_CONTACT_VALIDITY + transit, [0], 1, key_leases.lease_duration)
    steps = 0
    while not key_leases.next_calls(steps * STEP, table, {SERVICE}, registry)[1]:
        steps += 1
    return steps * STEP - worker.lease_until[0]
