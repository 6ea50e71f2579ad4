"""A simulated worker of the sharded service `s`."""

from typing import NamedTuple

from bramblewood.common.timeouts import CLOCK_DRIFT_FACTOR, MAX_TRANSIT_TIME
from bramblewood.common.worker_registry import DRAINING, GONE, READY, WorkerRegistration
from bramblewood.controller.commands import DeregisterWorker, RegisterWorker

from .timing import CALL_TIMEOUT, DRAIN_TIME, WORKER_HEARTBEAT

SLOTS = 2
RETRY_DELAY = 0.2  # s from a failed call to the next call, which goes to a random controller


class Lease(NamedTuple):
    """The right of a worker to serve the keys from a first key to `last_key`."""

    last_key: int
    fencing_token: int
    until: float  # s, simulated clock


class PendingCall:
    """A call to a controller in flight. `status` is None until the response arrives."""

    def __init__(self, deadline):
        self.status, self.deadline = None, deadline


class SimulatedWorker:
    """Sends heartbeats, deregisters, and keeps its leases by a clock that is as slow as the rules allow."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.phase, self.call_sequence, self.has_ended = fleet, name, READY, 0, False
        self.next_call_at, self.controller, self.call = (
            fleet.now + WORKER_HEARTBEAT * fleet.rng.random(),
            "",
            None,
        )
        self.leases = {}  # by first key
        self.fencing_tokens = {}  # by first and last key: token of the newest call for this range
        # whether its `draining` call is acknowledged, and when it then makes its last call
        self.is_deregistered, self.ends_at = False, 0.0

    def handle_call(self, kind, body, machine):
        """Process a grant or release that a controller sends, and return the HTTP status of the response.

        A grant with a lower fencing token than one seen for any of its keys is rejected with 409.
        """
        first, last, token = body["Source"], body["TargetVersion"], body["fence"]
        seen_tokens = [
            seen for (start, end), seen in self.fencing_tokens.items() if start <= last and first <= end
        ]
        if kind == "grant" and max(seen_tokens, default=0) > token:
            return 409
        self.fencing_tokens[first, last] = token
        overlapping = [
            start for start, lease in self.leases.items() if start <= last and first <= lease.last_key
        ]
        if kind == "release":
            for start in overlapping:
                del self.leases[start]
            return 200
        for start in overlapping:
            lease = self.leases.pop(start)
            for part_first, part_last in ((start, first - 1), (last + 1, lease.last_key)):
                if part_first <= part_last:
                    self.leases[part_first] = lease._replace(last_key=part_last)
        until = self.fleet.now + body["HoldS"] * CLOCK_DRIFT_FACTOR
        self.leases[first] = Lease(last, token, until)
        if self.fleet.now > machine.thawed_at + MAX_TRANSIT_TIME:
            self.fleet.rules.check_grant_is_exclusive(self, first, last)
        return 200

    def step(self, now):
        """Send the call that is due, or process the response to the call in flight."""
        if self.call is not None:
            self.process_response(now)
            return
        if self.phase == DRAINING and self.is_deregistered and now >= self.ends_at:
            self.phase, self.next_call_at = GONE, now
        if now < self.next_call_at:
            return
        self.call_sequence += 1
        self.controller = self.controller or self.fleet.rng.choice(self.fleet.controllers)
        registration = WorkerRegistration("s", f"{self.name}:1", "z", SLOTS, self.phase, self.call_sequence)
        command = (
            DeregisterWorker(self.name) if self.phase == GONE else RegisterWorker(self.name, registration)
        )
        self.call = PendingCall(now + CALL_TIMEOUT)
        self.fleet.call(self.controller, command, self.call, self.name)

    def process_response(self, now):
        """End the call in flight after a response or a timeout.

        A failed call is retried at a random controller.
        """
        status, deadline = self.call.status, self.call.deadline
        if status is None and now < deadline:
            return
        self.call = None
        if status is None or status >= 500:
            self.controller, self.next_call_at = "", now + RETRY_DELAY
            return
        self.next_call_at = now + WORKER_HEARTBEAT
        if self.phase == DRAINING and not self.is_deregistered:
            self.is_deregistered, self.ends_at = True, now + DRAIN_TIME + 1.0
        if self.phase == GONE:
            self.has_ended = True
