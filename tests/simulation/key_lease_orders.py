"""Simulates all orders of a given number of events for the key leases of one slice and two workers."""

from collections.abc import Callable
from typing import Any

from bramblewood.controller.grant_arrivals import NO_ANSWER
from bramblewood.controller.key_leases import RETRY_DELAY

from .key_leases import SERVICE, KeyLeaseSimulation

Event = tuple[str, Any]

# events that can follow for a call or an answer in transit
TRANSIT_EVENTS = {
    "call": ("deliver call", "lose"),
    "answer": ("deliver answer", "deliver answer twice", "lose"),
}
# Controller b sends the release and then the grant of a move, and receives their answers. These messages have
# the index 1, because the late answer with the index 0 is still in transit.
MOVE_BY_B: list[Event] = [("send calls", "b"), ("deliver call", 1), ("deliver answer", 1)] * 2
# The answer to the release of w1 is late. Meanwhile the slice moves to w2 and back to w1, and its next move
# to w2 begins.
LATE_RELEASE_ANSWER: list[Event] = [
    ("send calls", "a"),
    ("deliver call", 0),
    ("deliver answer", 0),
    ("move", ""),
    ("send calls", "a"),
    ("deliver call", 0),
]
LATE_RELEASE_ANSWER += [*MOVE_BY_B, ("move", ""), *MOVE_BY_B, ("move", "")]


class OneSliceSimulation(KeyLeaseSimulation):
    """The simulation with one slice, in which the caller chooses each event instead of the seed."""

    def __init__(self, missing_guard: str = "", sending: str = "a") -> None:
        """missing_guard: as for `KeyLeaseSimulation`. sending: the controllers that send calls, by name."""
        super().__init__(0, missing_guard)
        self.sending = sending
        self.messages: list[tuple] = []  # calls and answers in transit: ("call" or "answer", arguments ...)
        self.pending_registrations: list[Callable] = []  # they have not reached the controllers yet
        self.tables = [{"n": 1, "s": {SERVICE: {"0": ["w1", "", 0.0, 1, "", ""]}}}]
        del self.workers["w3"]

    def possible_events(self) -> list[Event]:
        events: list[Event] = [("send calls", name) for name in self.sending]
        events += [("move", ""), ("retry delay", ""), ("expiry wait", "")]
        for index, (kind, *_) in enumerate(self.messages):
            events += [(event, index) for event in TRANSIT_EVENTS[kind]]
        events += [("restart", address) for address in self.workers]
        return events + [("register", "")] * bool(self.pending_registrations)

    def apply_event(self, event: Event) -> None:
        match event:
            case "send calls", name:
                self.refresh_contact(name)
                self.send_calls(name, self.controllers[name])
            case "move", _:
                worker = self.tables[-1]["s"][SERVICE]["0"][0]
                other = {"w1": "w2", "w2": "w1"}[worker.partition(".")[0]]
                self.move_slice(0, self.workers[other].instance_id, 1)
            case "retry delay", _:
                self.now += RETRY_DELAY
            case "expiry wait", _:  # it exceeds any transit time, so all messages in transit are lost
                self.now += self.controllers["a"].lease_expiry_delay
                for _, name, call, sent_at, *_ in self.messages:
                    self.deliver_answer(name, call, sent_at, NO_ANSWER)
                self.messages = []
            case "restart", address:
                self.restart(address)
            case "register", _:
                self.pending_registrations.pop(0)()
            case "deliver call", index:
                self.deliver_call(*self.messages.pop(index)[1:])
            case action, index:
                _, name, call, sent_at, *status = self.messages.pop(index)
                self.deliver_answer(name, call, sent_at, NO_ANSWER if action == "lose" else status[0])
                if action == "deliver answer twice":
                    self.surplus_answers[name, call.address] = status[0]
        self.check_leases()

    def schedule(self, max_delay: float, function: Callable, *arguments: Any) -> None:
        if function == self.deliver_call:
            self.messages.append(("call", *arguments))
        elif function == self.deliver_answer:
            self.messages.append(("answer", *arguments))
        else:
            self.pending_registrations.append(function)

    def occurs(self, probability: float) -> bool:
        return False

    def state(self) -> str:
        """Return all values that affect later events as a text, with times relative to the present time."""
        row = self.tables[-1]["s"][SERVICE]["0"]
        now = self.now
        workers = [
            (worker.instance_id, worker.fencing_tokens[0], max(round(worker.lease_until[0] - now, 1), 0))
            for worker in self.workers.values()
        ]
        leases = [
            [
                sorted(
                    (key, lease[:2], round(lease.sent_at - now, 1))
                    for key, lease in key_leases.granted.items()
                ),
                sorted(
                    (key, round(at - now, 1))
                    for key, at in (key_leases.release_pending_since | key_leases.retry_at).items()
                ),
                sorted(key_leases.calls_in_flight),
            ]
            for key_leases in self.controllers.values()
        ]
        messages = [(kind, name, call, rest) for kind, name, call, _, *rest in self.messages]
        registry = sorted(self.registry.registrations.items())
        return repr(
            (
                row,
                workers,
                leases,
                messages,
                self.surplus_answers,
                len(self.pending_registrations),
                registry,
            )
        )


def count_states(
    depth: int, missing_guard: str = "", sending: str = "a", first_events: tuple | list = ()
) -> int:
    """Apply all orders of `depth` events after `first_events`, and return the number of different states."""
    seen, level = set(), [list(first_events)]
    for _ in range(depth):
        next_level = []
        for events in level:
            for event in simulate(events, missing_guard, sending).possible_events():
                state = simulate([*events, event], missing_guard, sending).state()
                if state not in seen:
                    seen.add(state)
                    next_level.append([*events, event])
        level = next_level
    return len(seen)


def simulate(events: list[Event], missing_guard: str, sending: str) -> OneSliceSimulation:
    """Return a new simulation after these events."""
    simulation = OneSliceSimulation(missing_guard, sending)
    for event in events:
        simulation.apply_event(event)
    return simulation
