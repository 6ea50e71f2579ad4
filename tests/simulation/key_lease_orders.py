"""Key leases of one slice and two workers: the steps of each call in every order, so many events deep."""

from collections.abc import Callable
from typing import Any

from bramblewood.controller.key_leases import NO_ANSWER, RETRY_DELAY

from .key_leases import SERVICE, Play

Event = tuple[str, Any]

# what may happen next to a call or an answer in transit
TRANSIT_EVENTS = {"call": ("arrive", "lose"), "answer": ("answer", "answer twice", "lose")}
MOVED_BY_B: list[Event] = [("act", "b"), ("arrive", 1), ("answer", 1)] * 2
# w1 has released, its answer is late; meanwhile the slice went to w2, back to w1, and is to leave it again
LATE_ANSWER: list[Event] = [
    ("act", "a"),
    ("arrive", 0),
    ("answer", 0),
    ("move", ""),
    ("act", "a"),
    ("arrive", 0),
]
LATE_ANSWER += [*MOVED_BY_B, ("move", ""), *MOVED_BY_B, ("move", "")]


class OneSlice(Play):
    """Each step of a call by itself; what happens next is chosen, not thrown."""

    def __init__(self, without: str = "", acting: str = "a") -> None:
        """acting: names of the controllers that act."""
        super().__init__(0, without)
        self.acting = acting
        self.transit: list[tuple] = []  # ("call" or "answer", arguments ...)
        self.unheard: list[Callable] = []  # registrations that the controllers have not heard
        self.tables = [{"n": 1, "s": {SERVICE: {"0": ["w1", "", 0.0, 1, "", ""]}}}]
        del self.workers["w3"]

    def events(self) -> list[Event]:
        found: list[Event] = [("act", name) for name in self.acting]
        found += [("move", ""), ("retry delay", ""), ("expiry wait", "")]
        for place, (what, *_) in enumerate(self.transit):
            found += [(event, place) for event in TRANSIT_EVENTS[what]]
        found += [("restart", address) for address in self.workers]
        return found + [("hear", "")] * bool(self.unheard)

    def play(self, event: Event) -> None:
        match event:
            case "act", name:
                self.learn(name)
                self.act(name, self.controllers[name])
            case "move", _:
                worker = self.tables[-1]["s"][SERVICE]["0"][0]
                other = {"w1": "w2", "w2": "w1"}[worker.partition(".")[0]]
                self.move(0, self.workers[other].instance_id, 1)
            case "retry delay", _:
                self.now += RETRY_DELAY
            case "expiry wait", _:  # all that is in transit is lost by then
                self.now += self.controllers["a"].expiry_wait
                for _, name, call, sent, *_ in self.transit:
                    self.answer(name, call, sent, NO_ANSWER)
                self.transit = []
            case "restart", address:
                self.restart(address)
            case "hear", _:
                self.unheard.pop(0)()
            case "arrive", place:
                self.arrive(*self.transit.pop(place)[1:])
            case what, place:
                _, name, call, sent, *status = self.transit.pop(place)
                self.answer(name, call, sent, NO_ANSWER if what == "lose" else status[0])
                if what == "answer twice":
                    self.surplus_answers[name, call.address] = status[0]
        self.judge()

    def after(self, longest: float, function: Callable, *arguments: Any) -> None:
        if function == self.arrive:
            self.transit.append(("call", *arguments))
        elif function == self.answer:
            self.transit.append(("answer", *arguments))
        else:
            self.unheard.append(function)

    def happens(self, part: float) -> bool:
        return False

    def state(self) -> str:
        """All that what may happen next rests on; times as spans from now."""
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
        transit = [(what, name, call, rest) for what, name, call, _, *rest in self.transit]
        registry = sorted(self.registry.registrations.items())
        return repr((row, workers, leases, transit, self.surplus_answers, len(self.unheard), registry))


def all_orders(depth: int, without: str = "", acting: str = "a", begun: tuple | list = ()) -> int:
    """Play all orders of so many events after those that have begun; how many states are met."""
    seen, level = set(), [list(begun)]
    for _ in range(depth):
        next_level = []
        for events in level:
            for event in play_after(events, without, acting).events():
                state = play_after([*events, event], without, acting).state()
                if state not in seen:
                    seen.add(state)
                    next_level.append([*events, event])
        level = next_level
    return len(seen)


def play_after(events: list[Event], without: str, acting: str) -> OneSlice:
    """The play in which these events have happened."""
    play = OneSlice(without, acting)
    for event in events:
        play.play(event)
    return play
