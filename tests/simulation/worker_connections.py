"""Two requests, one of which may not repeat, over connections to two workers that do whatever workers may.

A world plays what a worker and the wire did, event by event; the desk's own connections, shelf of kept ones
and errands answer. After each event the worker's ledger is held against what the clients were told: MIXED,
TWICE, REFUSED and UNASKED of the rules. All orders of events up to a depth are played, and dice beyond it.
"""

import random
import re
from types import SimpleNamespace
from unittest.mock import patch

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.proxy import request_attempts as request_attempts
from bramblewood.proxy import response_parser
from bramblewood.proxy.connection_pool import ConnectionPool
from bramblewood.proxy.request_attempts import RequestAttempts, RetryBudget, SendToWorker, WaitUntil
from bramblewood.proxy.worker_connection import (
    AttemptOutcome,
    ConnectionPhase,
    ExchangeResult,
    WorkerConnectionState,
)
from tests.simulation.digests import record_event
from tests.simulation.proxy import CONFIG, answer

CONFIGURATION_UNDER_TEST = build_configuration(CONFIG).ok_value
TWO_REQUESTS = ("effect", "lookup")
ROUTES = {
    "effect": CONFIGURATION_UNDER_TEST.find_route("h.example", "/pay/1"),
    "lookup": CONFIGURATION_UNDER_TEST.find_route("h.example", "/look/1"),
}
MANY_REQUESTS = tuple(f"{kind}{place}" for place in range(4) for kind in TWO_REQUESTS)
# what a worker may do with a request that is there
WORKER_ACTIONS = (
    "run",
    "error",
    "refuse",
    "bare",
    "double",
    "part",
    "late",
    "refuse late",
    "error part",
    "cut",
)
WORKER_ACTIONS += ("cut head", "drop", "run drop", "noise", "early", "foreign", "anonymous")


class RuleBroken(AssertionError):
    """A rule that did not hold."""


class SimulatedConnection(SimpleNamespace):
    """A connection as the shell has it, and its worker's end."""

    @property
    def is_reusable(self) -> bool:
        return self.state.is_reusable

    def close(self) -> None:
        self.state.on_closed()


class World:
    def __init__(self, keyed: bool, careless: str = "", names: tuple[str, ...] = TWO_REQUESTS) -> None:
        self.keyed, self.careless, self.names = keyed, careless, names
        self.now = dict.fromkeys(names, 0.0)
        self.connection_pool, self.retry_budget, self.lines = ConnectionPool(), RetryBudget(1.0, 5.0, 1e6), []
        self.request_attempts, self.out, self.replies = {}, {}, {}
        self.ledger: list[str] = []
        self.given: dict[str, list[tuple]] = {name: [] for name in names}
        self.left: list[str] = []  # requests at workers that the desk has given up
        self.load_balancer = SimpleNamespace(
            pinned=lambda *_: None,
            choose=lambda now, service, key, request, tried, pure: next(
                (instance_id for instance_id in ("w1", "w2") if instance_id not in tried), None
            ),
            full=lambda *_: False,
            crowd=lambda *_: False,
            moving=lambda *_: False,
        )

    # --- the desk

    def begin(self, name: str) -> None:
        route, key = ROUTES[name.rstrip("0123456789")], 7 if self.keyed else None
        self.request_attempts[name] = RequestAttempts(0.0, route, "plain", key, name, 1.5)
        self.proceed(name)

    def proceed(self, name: str) -> None:
        while name not in self.out and name not in self.replies:
            step = self.request_attempts[name].next(self.now[name], self.load_balancer, self.retry_budget)
            if isinstance(step, WaitUntil):
                self.now[name] = step.until
            elif isinstance(step, SendToWorker):
                self.send(name, step.instance_id)
            else:
                self.replies[name] = step

    def send(self, name: str, instance_id: str) -> None:
        attempts = self.request_attempts[name]
        used_connections = set() if self.careless == "same line" else attempts.used_connections
        line = self.connection_pool.take_idle(instance_id, 0.0, not attempts.route.pure, used_connections)
        if line is None:
            line = SimulatedConnection(
                number=len(self.lines),
                state=new_connection_state(self.careless),
                instance_id=instance_id,
                reusable_until=9e9,
            )
            line.idle_since, line.lies, line.shut, line.rest, line.asked = 0.0, b"", False, False, None
            self.lines.append(line)
        if line.rest:
            raise RuleBroken("UNASKED: the rest of a body is read as a request")
        attempts.used_connections.add(line.number)
        record_event("request", self.now[name], name, instance_id, line.number)
        line.state.begin_request(name, False)
        self.out[name] = line
        if line.shut:
            self.ended(line, line.state.on_closed())
            return
        line.asked, lies, line.lies = name, line.lies, b""
        if lies:
            self.arrive(line, lies)

    def arrive(self, line: SimulatedConnection, data: bytes, unsent_bytes: int = 0) -> None:
        self.ended(line, line.state.on_data(data, unsent_bytes))

    def ended(self, line: SimulatedConnection, ended: ExchangeResult | None) -> None:
        if ended is None:
            return
        name = line.state.request_id
        del self.out[name]
        if line.asked is not None:  # the desk is done with it, its worker is not
            self.left.append(line.asked)
            line.asked = None
        self.connection_pool.release(line.instance_id, line, 9)
        attempts = self.request_attempts[name]
        if self.careless == "again" and ended.outcome is AttemptOutcome.CONNECTION_BROKEN:
            attempts.route = attempts.route._replace(pure=True)
        reply = attempts.attempt_finished(self.now[name], line.instance_id, ended.outcome, ended.answer)
        answered = reply and (reply.status, reply.answer and reply.answer.body)
        record_event("reply", self.now[name], name, line.number, answered)
        if reply is not None:
            self.replies[name] = reply
        self.proceed(name)

    # --- workers and the wire

    def events(self) -> list[tuple]:
        found = [("begin", name) for name in self.names if name not in self.request_attempts]
        for line in self.lines:
            if line.asked is not None:
                found += [(act, line.number) for act in WORKER_ACTIONS]
            elif line.is_reusable and not line.shut:
                found += [("shut unseen", line.number), ("shut", line.number)]
            if line.lies and line.is_reusable:
                found.append(("arrives", line.number))
        found += [("silence", name) for name in self.out]
        return found + [("late run", name) for name in sorted(set(self.left))]

    def play(self, event: tuple) -> None:
        what, whom = event
        if what == "begin":
            self.begin(whom)
        elif what == "silence":
            self.now[whom] = self.request_attempts[whom].deadline
            line = self.out[whom]
            self.ended(line, line.state.on_timeout())
        elif what == "late run":
            self.left.remove(whom)
            self.ledger.append(whom)
        elif what == "arrives":
            line = self.lines[whom]
            lies, line.lies = line.lies, b""
            self.arrive(line, lies)
        elif what.startswith("shut"):
            line = self.lines[whom]
            line.shut = True
            if what == "shut":
                line.state.on_closed()
        else:
            self.act(what, self.lines[whom])
        self.judge()

    def act(self, what: str, line: SimulatedConnection) -> None:
        name, line.asked = line.asked, None
        ran = what not in ("refuse", "refuse late", "drop", "noise", "early", "foreign", "anonymous")
        self.ledger += [name] * ran
        status = {"error": 500, "error part": 500, "bare": 503}.get(what, 200 if ran else 503)
        body = f"{name} {len(self.ledger)}"
        extra = "X-Response-Seal: s" if status == 200 else "X-Other: 1" if ran else "X-Not-Run: 1"
        whole = answer(status, name, body, extra)
        head, tail = whole.index(b"X-Attempt"), len(whole) - 3
        data, unsent_bytes = whole, 0
        match what:
            case "double":
                data += whole
            case "part":
                data += whole[: head - 2]  # its first line without the end
            case "late" | "refuse late":
                line.lies = whole
            case "error part":
                line.lies = whole[: head - 2]
            case "cut":
                data = whole[:tail]
            case "cut head":
                data = whole[:head]
            case "drop" | "run drop":
                data = b""
            case "noise":
                data = b"\0\1 no answer\r\n\r\n"
            case "early":
                unsent_bytes, line.rest = 9, True
            case "foreign":
                data = answer(200, "another", "another's") + whole
            case "anonymous":
                data = whole.replace(b"X-Attempt-Id", b"X-Other")
        if data[: len(whole)] == whole or what == "foreign":
            self.given[name].append((status, body))
        if data:
            self.arrive(line, data, unsent_bytes)
        if what in ("cut", "cut head", "drop", "run drop"):
            line.shut = True
            self.ended(line, line.state.on_closed())

    # --- judges

    def judge(self) -> None:
        if any(self.ledger.count(name) > 1 for name in self.names if name.startswith("effect")):
            raise RuleBroken("TWICE")
        for name, reply in self.replies.items():
            told = reply.response
            if told is not None:
                if (told.status, told.body.decode()) not in self.given[name]:
                    raise RuleBroken("MIXED")
                if told.status != reply.status or (told.status == 200) != (
                    "X-Response-Seal" in told.headers_by_name
                ):
                    raise RuleBroken("MIXED")
            elif reply.status < 400:
                raise RuleBroken("MIXED")
            promised = name.startswith("effect") and reply.status in (408, 421, 429, 503)
            if promised and name in self.ledger:
                raise RuleBroken("REFUSED")

    def key(self) -> tuple:
        lines = []
        for line in self.lines:
            c = line.state
            lines += [
                c.phase,
                c.request_id,
                bytes(c.parser.buffer),
                c.parser.response_head,
                c.foreign_answer_seen,
            ]
            lines += [line.lies, line.shut, line.rest, line.asked, line.instance_id]
            lines.append(line in self.connection_pool.idle.get(line.instance_id, ()))
        tries = [
            (e.sent_count, sorted(e.tried), sorted(e.used_connections), e.may_have_run)
            for e in self.request_attempts.values()
        ]
        told = [(n, r.status, r.response is None) for n, r in sorted(self.replies.items())]
        return repr(
            (lines, tries, list(self.request_attempts), told, self.ledger, self.given, self.left, self.now)
        )


# --- guards taken out


class AnyId(WorkerConnectionState):
    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        return super().on_data(
            re.sub(rb"(?<=X-Attempt-Id: )\w+", self.request_id.encode(), data), unsent_bytes
        )


class KeptWhatever(WorkerConnectionState):
    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        ended = super().on_data(data, unsent_bytes)
        if ended is not None and ended.outcome is AttemptOutcome.ANSWERED:
            self.phase = ConnectionPhase.ANSWER_COMPLETE
        return ended


class TakesCut(WorkerConnectionState):
    def on_closed(self) -> ExchangeResult | None:
        head, rest = self.parser.response_head, bytes(self.parser.buffer)
        ended = super().on_closed()
        return (
            ExchangeResult(AttemptOutcome.ANSWERED, head._replace(body=rest))
            if ended and head is not None
            else ended
        )


CARELESS = {"id": AnyId, "kept": KeptWhatever, "cut": TakesCut}
NEVER = re.compile(rb"(?!)")


def new_connection_state(careless: str) -> WorkerConnectionState:
    return CARELESS.get(careless, WorkerConnectionState)()


def without(careless: str):
    """The module's guards that are no method's."""
    if careless == "bare":
        return patch.object(request_attempts, "STATUSES_PROMISING_NOT_RUN", ())
    return patch.object(
        response_parser,
        "EMBEDDED_STATUS_LINE",
        NEVER if careless == "glued" else response_parser.EMBEDDED_STATUS_LINE,
    )


# --- plays


def world_after(events_so_far: list[tuple], keyed: bool, careless: str = "") -> World:
    made = World(keyed, careless)
    for event in events_so_far:
        made.play(event)
    return made


def play_all_orders(depth: int, keyed: bool, careless: str = "", most: int = 10**9) -> tuple[int, int]:
    """All orders of events up to this depth; how many states and events. Raises Broken with the trace."""
    seen, events, level = set(), 0, [[]]
    with without(careless):
        for _ in range(depth):
            after = []
            for events_so_far in level:
                for event in world_after(events_so_far, keyed, careless).events():
                    events += 1
                    if events > most:
                        return len(seen), events
                    try:
                        reached = world_after([*events_so_far, event], keyed, careless).key()
                    except RuleBroken as broken:
                        raise RuleBroken(
                            f"{broken} after {events} events: {[*events_so_far, event]}"
                        ) from None
                    if reached not in seen:
                        seen.add(reached)
                        after.append([*events_so_far, event])
            level = after
    return len(seen), events


def play_random(seed: int, steps: int, keyed: bool, careless: str = "") -> int:
    """One random play of many requests; how many events it had."""
    random_events, play = random.Random(seed), World(keyed, careless, MANY_REQUESTS)
    with without(careless):
        for count in range(steps):
            events = play.events()
            if not events:
                return count
            play.play(random_events.choice(events))
    return steps


# --- bytes of one answer


def answered_with(
    data: bytes, cuts: tuple[int, ...] = (), head_request: bool = False
) -> tuple[WorkerConnectionState, ExchangeResult | None]:
    """A connection whose request "r" was answered with these bytes, in pieces cut at these places."""
    connection, ended = WorkerConnectionState(), None
    connection.begin_request("r", head_request)
    for start, end in zip((0, *cuts), (*cuts, len(data)), strict=True):
        ended = connection.on_data(data[start:end]) or ended
    return connection, ended
