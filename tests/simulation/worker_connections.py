"""Two requests, one of which is not idempotent, over connections to two workers that do whatever workers may.

The simulation applies what a worker and the network did, event by event; the proxy's own connection states,
connection pool and request attempts answer. After each event, what the workers executed is compared with what
the clients were answered: the rules MIXED, TWICE, REFUSED and UNASKED. All orders of events up to a depth are
played, and random ones beyond it.
"""

import contextlib
import random
import re
from types import SimpleNamespace
from unittest.mock import patch

from bramblewood.common import response_parser
from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.connection_state import (
    AttemptOutcome,
    ConnectionPhase,
    ExchangeResult,
    WorkerConnectionState,
)
from bramblewood.proxy import request_attempts
from bramblewood.proxy.connection_pool import ConnectionPool
from bramblewood.proxy.request_attempts import FinalReply, RequestAttempts, SendToWorker, WaitUntil
from bramblewood.proxy.retry_budget import RetryBudget
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
    """A connection as the pool has it, and its worker's end."""

    @property
    def is_reusable(self) -> bool:
        return self.state.is_reusable

    def close(self) -> None:
        self.state.on_closed()


class ExchangeSimulation:
    """The requests, connections and workers, and what happened so far. removed_guard: one taken out."""

    def __init__(self, keyed: bool, removed_guard: str = "", names: tuple[str, ...] = TWO_REQUESTS) -> None:
        self.keyed, self.removed_guard, self.names = keyed, removed_guard, names
        self.now = dict.fromkeys(names, 0.0)
        self.connection_pool, self.retry_budget = ConnectionPool(), RetryBudget(1.0, 5.0, 1e6)
        self.connections: list[SimulatedConnection] = []
        self.request_attempts: dict[str, RequestAttempts] = {}
        self.in_flight: dict[str, SimulatedConnection] = {}
        self.replies: dict[str, FinalReply] = {}
        self.executed: list[str] = []
        self.answers_given: dict[str, list[tuple]] = {name: [] for name in names}
        self.abandoned: list[str] = []  # requests still at workers, which the proxy has given up
        self.load_balancer = SimpleNamespace(
            affinity_worker=lambda *_: None,
            choose_worker=lambda now, service, key, request_id, tried, idempotent: next(
                (instance_id for instance_id in ("w1", "w2") if instance_id not in tried), None
            ),
            is_full=lambda *_: False,
            is_hot=lambda *_: False,
            in_handover=lambda *_: False,
        )

    # --- the proxy

    def begin(self, name: str) -> None:
        route, key = ROUTES[name.rstrip("0123456789")], 7 if self.keyed else None
        self.request_attempts[name] = RequestAttempts(0.0, route, "plain", key, name, 1.5)
        self.proceed(name)

    def proceed(self, name: str) -> None:
        while name not in self.in_flight and name not in self.replies:
            attempts = self.request_attempts[name]
            step = attempts.next_step(self.now[name], self.load_balancer, self.retry_budget)
            if isinstance(step, WaitUntil):
                self.now[name] = step.until
            elif isinstance(step, SendToWorker):
                self.send(name, step.instance_id)
            else:
                self.replies[name] = step

    def send(self, name: str, instance_id: str) -> None:
        attempts = self.request_attempts[name]
        may_reuse = self.removed_guard == "another connection for the same request"
        excluded = set() if may_reuse else attempts.used_connections
        connection = self.connection_pool.take_idle(instance_id, 0.0, attempts.non_idempotent, excluded)
        if connection is None:
            connection = SimulatedConnection(
                number=len(self.connections),
                state=new_connection_state(self.removed_guard),
                instance_id=instance_id,
                reusable_until=9e9,
                idle_since=0.0,
                surplus=b"",
                closed_by_worker=False,
                unread_body=False,
                request_at_worker=None,
            )
            self.connections.append(connection)
        if connection.unread_body:
            raise RuleBroken("UNASKED: the rest of a body is read as a request")
        attempts.used_connections.add(connection.number)
        record_event("request", self.now[name], name, instance_id, connection.number)
        connection.state.begin_request(name, False)
        self.in_flight[name] = connection
        if connection.closed_by_worker:
            self.exchange_ended(connection, connection.state.on_closed())
            return
        connection.request_at_worker, surplus, connection.surplus = name, connection.surplus, b""
        if surplus:
            self.receive(connection, surplus)

    def receive(self, connection: SimulatedConnection, data: bytes, unsent_bytes: int = 0) -> None:
        self.exchange_ended(connection, connection.state.on_data(data, unsent_bytes))

    def exchange_ended(self, connection: SimulatedConnection, result: ExchangeResult | None) -> None:
        if result is None:
            return
        name = connection.state.request_id
        del self.in_flight[name]
        if connection.request_at_worker is not None:  # the proxy is done with it, its worker is not
            self.abandoned.append(connection.request_at_worker)
            connection.request_at_worker = None
        self.connection_pool.release(connection.instance_id, connection, 9)
        attempts = self.request_attempts[name]
        if (
            self.removed_guard == "non-idempotent requests not retried"
            and result.outcome is AttemptOutcome.CONNECTION_BROKEN
        ):
            attempts.route = attempts.route._replace(pure=True)
        reply = attempts.attempt_finished(
            self.now[name], connection.instance_id, result.outcome, result.answer
        )
        answered = reply and (reply.status, reply.response and reply.response.body)
        record_event("reply", self.now[name], name, connection.number, answered)
        if reply is not None:
            self.replies[name] = reply
        self.proceed(name)

    # --- workers and the network

    def possible_events(self) -> list[tuple]:
        found = [("begin", name) for name in self.names if name not in self.request_attempts]
        for connection in self.connections:
            if connection.request_at_worker is not None:
                found += [(act, connection.number) for act in WORKER_ACTIONS]
            elif connection.is_reusable and not connection.closed_by_worker:
                found += [("shut unseen", connection.number), ("shut", connection.number)]
            if connection.surplus and connection.is_reusable:
                found.append(("arrives", connection.number))
        found += [("silence", name) for name in self.in_flight]
        return found + [("late run", name) for name in sorted(set(self.abandoned))]

    def apply(self, event: tuple) -> None:
        action, target = event
        if action == "begin":
            self.begin(target)
        elif action == "silence":
            self.now[target] = self.request_attempts[target].deadline
            connection = self.in_flight[target]
            self.exchange_ended(connection, connection.state.on_timeout())
        elif action == "late run":
            self.abandoned.remove(target)
            self.executed.append(target)
        elif action == "arrives":
            connection = self.connections[target]
            surplus, connection.surplus = connection.surplus, b""
            self.receive(connection, surplus)
        elif action.startswith("shut"):
            connection = self.connections[target]
            connection.closed_by_worker = True
            if action == "shut":
                connection.state.on_closed()
        else:
            self.act(action, self.connections[target])
        self.check_rules()

    def act(self, action: str, connection: SimulatedConnection) -> None:
        name, connection.request_at_worker = connection.request_at_worker, None
        ran = action not in ("refuse", "refuse late", "drop", "noise", "early", "foreign", "anonymous")
        self.executed += [name] * ran
        status = {"error": 500, "error part": 500, "bare": 503}.get(action, 200 if ran else 503)
        body = f"{name} {len(self.executed)}"
        extra = "X-Response-Seal: s" if status == 200 else "X-Other: 1" if ran else "X-Not-Run: 1"
        complete = answer(status, name, body, extra)
        head, tail = complete.index(b"X-Attempt"), len(complete) - 3
        data, unsent_bytes = complete, 0
        match action:
            case "double":
                data += complete
            case "part":
                data += complete[: head - 2]  # its first line without the end
            case "late" | "refuse late":
                connection.surplus = complete
            case "error part":
                connection.surplus = complete[: head - 2]
            case "cut":
                data = complete[:tail]
            case "cut head":
                data = complete[:head]
            case "drop" | "run drop":
                data = b""
            case "noise":
                data = b"\0\1 no answer\r\n\r\n"
            case "early":
                unsent_bytes, connection.unread_body = 9, True
            case "foreign":
                data = answer(200, "another", "another's") + complete
            case "anonymous":
                data = complete.replace(b"X-Attempt-Id", b"X-Other")
        if data[: len(complete)] == complete or action == "foreign":
            self.answers_given[name].append((status, body))
        if data:
            self.receive(connection, data, unsent_bytes)
        if action in ("cut", "cut head", "drop", "run drop"):
            connection.closed_by_worker = True
            self.exchange_ended(connection, connection.state.on_closed())

    # --- the rules

    def check_rules(self) -> None:
        if any(self.executed.count(name) > 1 for name in self.names if name.startswith("effect")):
            raise RuleBroken("TWICE")
        for name, reply in self.replies.items():
            response = reply.response
            if response is not None:
                if (response.status, response.body.decode()) not in self.answers_given[name]:
                    raise RuleBroken("MIXED")
                if response.status != reply.status or (response.status == 200) != (
                    "X-Response-Seal" in response.headers_by_name
                ):
                    raise RuleBroken("MIXED")
            elif reply.status < 400:
                raise RuleBroken("MIXED")
            promises_not_run = name.startswith("effect") and reply.status in (408, 421, 429, 503)
            if promises_not_run and name in self.executed:
                raise RuleBroken("REFUSED")

    def state_key(self) -> str:
        """All that decides what may happen from now on."""
        connections = []
        for connection in self.connections:
            state = connection.state
            connections += [
                state.phase,
                state.request_id,
                bytes(state.parser.buffer),
                state.parser.response_head,
                state.foreign_response_seen,
            ]
            connections += [
                connection.surplus,
                connection.closed_by_worker,
                connection.unread_body,
                connection.request_at_worker,
                connection.instance_id,
            ]
            connections.append(connection in self.connection_pool.idle.get(connection.instance_id, ()))
        attempt_states = [
            (
                attempts.sent_count,
                sorted(attempts.tried),
                sorted(attempts.used_connections),
                attempts.may_have_run,
            )
            for attempts in self.request_attempts.values()
        ]
        replies = [
            (name, reply.status, reply.response is None) for name, reply in sorted(self.replies.items())
        ]
        return repr(
            (
                connections,
                attempt_states,
                list(self.request_attempts),
                replies,
                self.executed,
                self.answers_given,
                self.abandoned,
                self.now,
            )
        )


# --- guards taken out


class TakesAnyId(WorkerConnectionState):
    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        return super().on_data(
            re.sub(rb"(?<=X-Attempt-Id: )\w+", self.request_id.encode(), data), unsent_bytes
        )


class KeepsSurplusBytes(WorkerConnectionState):
    def on_data(self, data: bytes, unsent_bytes: int = 0) -> ExchangeResult | None:
        result = super().on_data(data, unsent_bytes)
        if result is not None and result.outcome is AttemptOutcome.ANSWERED:
            self.phase = ConnectionPhase.RESPONSE_COMPLETE
        return result


class TakesTruncated(WorkerConnectionState):
    def on_closed(self) -> ExchangeResult | None:
        head, received = self.parser.response_head, bytes(self.parser.buffer)
        result = super().on_closed()
        if result is None or head is None:
            return result
        return ExchangeResult(AttemptOutcome.ANSWERED, head._replace(body=received))


STATES_WITHOUT_GUARD = {
    "answers matched by id": TakesAnyId,
    "connections with surplus bytes closed": KeepsSurplusBytes,
    "truncated answers rejected": TakesTruncated,
}
NEVER = re.compile(rb"(?!)")


def new_connection_state(removed_guard: str) -> WorkerConnectionState:
    return STATES_WITHOUT_GUARD.get(removed_guard, WorkerConnectionState)()


def without_guard(removed_guard: str):
    """The module's guards that are no method's."""
    if removed_guard == "unconfirmed promises of not run withheld":
        return patch.object(request_attempts, "STATUSES_PROMISING_NOT_RUN", ())
    if removed_guard == "embedded status lines rejected":
        return patch.object(response_parser, "EMBEDDED_STATUS_LINE", NEVER)
    return contextlib.nullcontext()


# --- runs


def simulation_after(events_so_far: list[tuple], keyed: bool, removed_guard: str = "") -> ExchangeSimulation:
    simulation = ExchangeSimulation(keyed, removed_guard)
    for event in events_so_far:
        simulation.apply(event)
    return simulation


def play_all_orders(
    depth: int, keyed: bool, removed_guard: str = "", max_events: int = 10**9
) -> tuple[int, int]:
    """Run all orders of so many events; how many states and events there were. Raises RuleBroken."""
    seen_states, events, level = set(), 0, [[]]
    with without_guard(removed_guard):
        for _ in range(depth):
            next_level = []
            for events_so_far in level:
                for event in simulation_after(events_so_far, keyed, removed_guard).possible_events():
                    events += 1
                    if events > max_events:
                        return len(seen_states), events
                    trace = [*events_so_far, event]
                    try:
                        reached = simulation_after(trace, keyed, removed_guard).state_key()
                    except RuleBroken as broken:
                        raise RuleBroken(f"{broken} after {events} events: {trace}") from None
                    if reached not in seen_states:
                        seen_states.add(reached)
                        next_level.append(trace)
            level = next_level
    return len(seen_states), events


def play_random(seed: int, steps: int, keyed: bool, removed_guard: str = "") -> int:
    """One random run of many requests; how many events it had."""
    random_events, simulation = random.Random(seed), ExchangeSimulation(keyed, removed_guard, MANY_REQUESTS)
    with without_guard(removed_guard):
        for count in range(steps):
            events = simulation.possible_events()
            if not events:
                return count
            simulation.apply(random_events.choice(events))
    return steps


# --- bytes of one answer


def answered_with(
    data: bytes, cuts: tuple[int, ...] = (), head_request: bool = False
) -> tuple[WorkerConnectionState, ExchangeResult | None]:
    """A connection whose request "r" was answered with these bytes, in pieces cut at these places."""
    connection, result = WorkerConnectionState(), None
    connection.begin_request("r", head_request)
    for start, end in zip((0, *cuts), (*cuts, len(data)), strict=True):
        result = connection.on_data(data[start:end]) or result
    return connection, result
