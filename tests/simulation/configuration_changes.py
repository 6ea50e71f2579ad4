"""Simulates operators who put configurations, and controllers that agree on them, on a virtual clock.

Each operator sends a configuration to any controller, and repeats the call at other ones with growing delays
until the answer is definite. Messages are delayed, lost and duplicated, answers are lost, and controllers
stop and restart with their disks. Invariants are checked after every step. All random choices follow from a
seed. All times are in s.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bramblewood.common.configuration import Configuration
from bramblewood.controller.configuration_succession import apply_configuration, final_answer
from bramblewood.controller.consensus.effects import Effects
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.consensus.replica import ConsensusReplica
from tests.simulation.digests import record_event

from .consensus import RuleViolation, configuration

PROPOSAL_TIMEOUT, TICK_INTERVAL = 0.85, 0.1  # s; as in the controller
CALLER_TIMEOUT = 1.0  # s after which an operator calls another controller; PROTOCOL, "The operator"
# s before an operator repeats a call; the documentation only requires that the delays grow
RETRY_DELAYS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
MAX_CONCURRENT_REQUESTS = 8
SYNC_DURATION = (0.001, 0.008)  # s, shortest and longest time until a write is durable


def build_replica(
    name: str, voters: tuple[str, ...], incarnation: int, stored: dict, replica_class: type = ConsensusReplica
) -> ConsensusReplica:
    """Creates the replica of a controller in epoch 1, in which these voters are active."""
    members = {"n": 1, "voters": {voter: f"{voter}'s disk" for voter in voters}, "before": {}}
    return replica_class(name, f"{name}'s disk", incarnation, stored, members, 1 if name in voters else -1)


@dataclass(frozen=True)
class SimulatedSite:
    """The number of controllers, the delays of the links between them, and the faults that occur.

    Fields without a unit are probabilities for each message or answer.
    """

    voters: int = 3
    spares: int = 2  # controllers that take calls but do not vote
    delays: tuple[float, float] = (0.0005, 0.06)  # s, shortest and longest one-way delay of a link
    slow_link_delay: float = 0.0  # s, one-way delay of one slow link between two voters; 0 for no such link
    distant_delay: float = 0.0  # s, one-way delay of all links of the last controller; 0 for the usual delays
    lost: float = 0.0
    # For a duplicated message and for a late copy, a second copy arrives up to 1 s after the first one,
    # possibly after newer messages.
    duplicated: float = 0.0
    late_copies: float = 0.0
    answers_lost: float = 0.0
    not_receiving: bool = False  # one voter receives no messages, but the others receive its messages
    not_sending: bool = False  # one voter's messages are all lost, but it receives those of the others
    mean_stop_interval: float = 0.0  # s between stops of a controller; 0 for no stops


@dataclass
class ConfigurationRequest:
    """A configuration that an operator puts until the answer is definite, which is any but 503."""

    requested: Configuration
    first_sent_at: float
    call_count: int = 0
    current_call: int = 0  # number of the call in flight; answers to earlier calls are ignored
    status: int = 0  # of the definite answer; 0 as long as there is none
    duration: float = 0.0  # s from the first call to the definite answer
    last_controller: str = ""  # name of the controller that was called last
    statuses: list[int] = field(default_factory=list)  # all statuses that were received


class ConfigurationChangeSimulation:
    """A cluster of controllers and the operators that call them.

    make_replica creates the replicas, and decide makes the decisions on configurations. A test passes others
    than the defaults to remove a guard.
    """

    def __init__(
        self,
        seed: int,
        site: SimulatedSite = SimulatedSite(),
        make_replica: Callable = build_replica,
        decide: Callable = apply_configuration,
    ) -> None:
        self.rng, self.site, self.make_replica, self.decide = random.Random(seed), site, make_replica, decide
        self.now, self.event_count, self.incarnations, self.event_queue = 0.0, 0, 0, []
        self.names = tuple(f"m{k}" for k in range(site.voters + site.spares))
        self.voters = self.names[: site.voters]
        pairs = [(a, b) for a in self.names for b in self.names if a < b]
        self.link_delays = {pair: self.rng.uniform(*site.delays) for pair in pairs}
        if site.slow_link_delay:
            self.link_delays[tuple(sorted(self.rng.sample(self.voters, 2)))] = site.slow_link_delay
        if site.distant_delay:
            self.link_delays |= dict.fromkeys(
                [(a, b) for a, b in pairs if b == self.names[-1]], site.distant_delay
            )
        self.not_receiving, self.not_sending = (
            set(self.voters[:1] * site.not_receiving),
            set(self.voters[-1:] * site.not_sending),
        )
        self.disks: dict[str, dict] = {name: {} for name in self.names}
        self.write_done_at: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self.last_arrival: dict[tuple[str, str], float] = {}  # by sender and receiver
        self.replicas: dict[str, ConsensusReplica] = {}  # of the running controllers
        self.checked_values: dict[str, Any] = {}  # the register value that was checked last, by controller
        self.chosen_digests: dict[int, str] = {}  # by revision, as any controller has learned it
        self.acknowledged: dict[str, Configuration] = {}  # by digest: the answer was 200
        self.rejected: dict[str, Configuration] = {}  # by digest: the answer was 4xx, which is final
        self.acknowledged_successors: dict[int, str] = {}  # by parent revision: the digest
        self.requests: list[ConfigurationRequest] = []
        for name in self.names:
            self.start(name)
        if site.mean_stop_interval:
            self.call_later(self.rng.expovariate(1 / site.mean_stop_interval), self.stop_random_controller)

    # --- virtual clock

    def call_later(self, delay: float, function: Callable, *arguments: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.event_queue, (self.now + delay, self.event_count, function, arguments))

    def run(self, end_time: float, is_done: Callable[[], bool] = lambda: False) -> None:
        """Runs the events in order until `end_time`, or until is_done() is true."""
        while self.event_queue and self.event_queue[0][0] <= end_time and not is_done():
            self.now, _, function, arguments = heapq.heappop(self.event_queue)
            function(*arguments)
        if not is_done():
            self.now = max(self.now, end_time)

    # --- controllers

    def start(self, name: str) -> None:
        self.incarnations += 1
        replica = self.replicas[name] = self.make_replica(
            name, self.voters, self.incarnations, dict(self.disks[name])
        )
        self.checked_values.pop(name, None)
        self.call_later(TICK_INTERVAL * self.rng.random(), self.tick, name, replica)

    def stop(self, name: str) -> None:
        self.replicas.pop(name, None)

    def stop_random_controller(self) -> None:
        """Stops a controller for up to 2 s. Only one controller is stopped at a time."""
        if not self.site.mean_stop_interval:
            return
        name = self.rng.choice(self.names)
        self.stop(name)
        self.call_later(2.0 * self.rng.random(), self.restart, name)

    def restart(self, name: str) -> None:
        self.start(name)
        if self.site.mean_stop_interval:
            self.call_later(
                self.rng.expovariate(1 / self.site.mean_stop_interval), self.stop_random_controller
            )

    def tick(self, name: str, replica: ConsensusReplica) -> None:
        if self.replicas.get(name) is replica:
            self.apply(name, replica, replica.tick(self.now))
            self.call_later(TICK_INTERVAL, self.tick, name, replica)

    def apply(self, name: str, replica: ConsensusReplica, effects: Effects) -> None:
        """Dispatches the effects once their writes are durable, or at once if there are no writes."""
        if not effects.writes and not effects.facts:
            return self.dispatch(name, replica, effects)
        self.write_done_at[name] = max(self.write_done_at[name], self.now) + self.rng.uniform(*SYNC_DURATION)
        self.call_later(self.write_done_at[name] - self.now, self.finish_write, name, replica, effects)

    def finish_write(self, name: str, replica: ConsensusReplica, effects: Effects) -> None:
        if self.replicas.get(name) is not replica:
            return  # the controller stopped before the write was durable, so the write is lost
        for register, promised, accepted, value in effects.writes:
            self.disks[name][register] = (promised, accepted, value)
            record_event("write", self.now, name, register, promised, accepted, value)
            replica.mark_durable(register, accepted)
        self.dispatch(name, replica, effects)

    def dispatch(self, name: str, replica: ConsensusReplica, effects: Effects) -> None:
        for peer, message in effects.sends:
            self.send(name, peer, message)
        for tag, outcome in effects.outcomes:
            if callable(tag):
                tag(outcome)
        self.check_invariants(name, replica)

    def send(self, name: str, peer: str, message: dict) -> None:
        record_event("message", self.now, name, peer, message)
        if peer == name:
            return self.call_later(0.0, self.deliver, name, peer, message)
        site, rng = self.site, self.rng
        if name in self.not_sending or peer in self.not_receiving or rng.random() < site.lost:
            return
        arrival = self.now + self.link_delays[min(name, peer), max(name, peer)] * (1 + 0.2 * rng.random())
        # A link keeps the order of its messages.
        arrival = self.last_arrival[name, peer] = max(arrival, self.last_arrival.get((name, peer), 0.0))
        self.call_later(arrival - self.now, self.deliver, name, peer, message)
        if rng.random() < site.duplicated or rng.random() < site.late_copies:
            self.call_later(arrival - self.now + rng.random(), self.deliver, name, peer, message)

    def deliver(self, name: str, peer: str, message: dict) -> None:
        if replica := self.replicas.get(peer):
            self.apply(peer, replica, replica.receive(self.now, name, message))

    # --- operators

    def put(self, requested: Configuration, first: str = "") -> ConfigurationRequest:
        """Starts to put a configuration. The call is repeated until the answer is definite.

        first: name of the controller that is called first; "" for a random one.
        """
        request = ConfigurationRequest(requested, self.now)
        self.requests.append(request)
        self.call(request, first or self.rng.choice(self.names))
        return request

    def call(self, request: ConfigurationRequest, name: str) -> None:
        request.call_count, request.current_call, request.last_controller = (
            request.call_count + 1,
            request.current_call + 1,
            name,
        )
        self.call_later(self.operator_delay(), self.deliver_call, request, request.current_call, name)
        self.call_later(CALLER_TIMEOUT, self.retry, request, request.current_call)

    def operator_delay(self) -> float:
        return self.rng.uniform(0.0005, 0.01)

    def deliver_call(self, request: ConfigurationRequest, call_number: int, name: str) -> None:
        replica = self.replicas.get(name)
        if replica is None:  # a stopped controller refuses the connection
            return self.call_later(self.operator_delay(), self.handle_status, request, call_number, 503)

        def on_outcome(outcome: tuple[int, str] | None) -> None:
            record_event("answer", self.now, name, request.requested.revision, outcome)
            status = outcome[0] if outcome else 503
            self.record_answer(request.requested, status)
            if self.rng.random() >= self.site.answers_lost:
                self.call_later(self.operator_delay(), self.handle_status, request, call_number, status)

        if answer := final_answer(request.requested, replica.value(CONFIG), self.decide):
            return on_outcome(answer)
        change = lambda current: self.decide(request.requested, current)  # noqa: E731
        self.apply(name, replica, replica.propose(self.now, CONFIG, change, on_outcome, PROPOSAL_TIMEOUT))

    def handle_status(self, request: ConfigurationRequest, call_number: int, status: int) -> None:
        if request.status or call_number != request.current_call:
            return
        request.statuses.append(status)
        if status == 503:
            return self.retry(request, call_number)
        request.status, request.duration = status, self.now - request.first_sent_at

    def retry(self, request: ConfigurationRequest, call_number: int) -> None:
        """Repeats a call without a definite answer at another controller after a delay."""
        if request.status or call_number != request.current_call:
            return
        request.current_call += 1
        delay = RETRY_DELAYS[min(request.call_count - 1, len(RETRY_DELAYS) - 1)]
        others = [name for name in self.names if name != request.last_controller]
        self.call_later(delay * self.rng.uniform(0.5, 1.0), self.call, request, self.rng.choice(others))

    def read(self, name: str) -> list:
        """Starts to read the configuration at a controller.

        Returns a list. The revision is appended to it once it is read. The run raises RuleViolation at that
        time if the revision is older than one that was acknowledged before the read started.
        """
        revisions, oldest_allowed = [], max((c.revision for c in self.acknowledged.values()), default=0)
        replica = self.replicas.get(name)

        def on_outcome(outcome: list | None) -> None:
            record_event("read", self.now, name, outcome)
            if outcome is None:
                return
            revision = outcome[0]["n"] if outcome[0] else 0
            revisions.append(revision)
            if revision < oldest_allowed:
                raise RuleViolation(
                    f"{name} reads r{revision} at {self.now:.3f} s, after r{oldest_allowed} was acknowledged"
                )

        if replica:
            change = lambda current: (None, [current])  # noqa: E731
            self.apply(name, replica, replica.propose(self.now, CONFIG, change, on_outcome, PROPOSAL_TIMEOUT))
        return revisions

    # --- invariants

    def record_answer(self, requested: Configuration, status: int) -> None:
        """Records an answer, and checks it against the answers and the chosen configurations so far."""
        digest = requested.digest
        if status == 200:
            self.acknowledged[digest] = requested
            if self.acknowledged_successors.setdefault(requested.parent_revision, digest) != digest:
                other = self.acknowledged_successors[requested.parent_revision]
                raise RuleViolation(
                    f"{digest} and {other} are both acknowledged on parent r{requested.parent_revision}"
                )
            self.record_in_force(requested.revision, digest)
        elif status != 503:
            self.rejected[digest] = requested
        if digest in self.rejected and (
            digest in self.acknowledged or self.chosen_digests.get(requested.revision) == digest
        ):
            raise RuleViolation(f"{digest} was rejected, and was accepted as r{requested.revision}")

    def record_in_force(self, revision: int, digest: str) -> None:
        if self.chosen_digests.setdefault(revision, digest) != digest:
            raise RuleViolation(f"r{revision} is both {digest} and {self.chosen_digests[revision]}")
        if digest in self.rejected:
            raise RuleViolation(f"{digest} was rejected, and is in force as r{revision}")

    def check_invariants(self, name: str, replica: ConsensusReplica) -> None:
        """Checks the configurations that a replica has learned against the answers so far."""
        value = replica.value(CONFIG)
        if value is None or self.checked_values.get(name) is value:
            return
        self.checked_values[name], past = value, value["past"]
        for revision, digest in past.items():
            self.record_in_force(int(revision), digest)
        for digest, requested in self.acknowledged.items():
            if value.get("forgotten", 0) < requested.revision <= value["n"]:
                if past.get(str(requested.revision)) != digest:
                    raise RuleViolation(
                        f"{digest} was acknowledged as r{requested.revision}, and is not in force at {name}"
                    )

    def newest_revision(self) -> int:
        return max(self.chosen_digests, default=0)

    def check_after_recovery(self, duration: float = 20.0) -> None:
        """Ends all faults, runs for `duration` s, and checks every request and every controller.

        Each request must have a definite answer, unless the digest of its revision may have been discarded. A
        read at each controller must succeed.
        """
        self.site = SimulatedSite(self.site.voters, self.site.spares, self.site.delays)
        self.not_receiving, self.not_sending = set(), set()
        for name in self.names:
            if name not in self.replicas:
                self.start(name)
        self.run(self.now + duration)
        value = max((r.value(CONFIG) for r in self.replicas.values()), key=lambda v: v["n"] if v else 0)
        for request in self.requests:
            if not request.status and request.requested.revision > value.get("forgotten", 0):
                raise RuleViolation(
                    f"{request.requested.digest} has no definite answer, only {request.statuses}"
                )
        for name in self.names:
            revisions = self.read(name)
            self.run(self.now + 5.0, lambda revisions=revisions: revisions)
            if not revisions:
                raise RuleViolation(f"no read succeeds within 5 s at {name}")


def start_simulation(
    seed: int,
    site: SimulatedSite,
    make_replica: Callable = build_replica,
    decide: Callable = apply_configuration,
) -> ConfigurationChangeSimulation:
    """Returns a simulation in which the configuration "first" is in force as r1."""
    simulation = ConfigurationChangeSimulation(seed, site, make_replica, decide)
    first = simulation.put(configuration(1, 0, "first"))
    simulation.run(60.0, lambda: first.status)
    if first.status != 200:
        raise RuleViolation(f"the first configuration is not accepted in 60 s: {first.statuses}")
    return simulation


def random_concurrent_requests(
    seed: int, voters: int, make_replica: Callable = build_replica, decide: Callable = apply_configuration
) -> ConfigurationChangeSimulation:
    """Runs random concurrent requests under faults.

    Most requests name the newest revision as their parent. Others name an older parent, or one that does not
    exist yet. Some requests share a revision, and some repeat an earlier request.
    """
    faults = {
        "lost": 0.05,
        "duplicated": 0.05,
        "late_copies": 0.05,
        "answers_lost": 0.2,
        "mean_stop_interval": 1.5,
    }
    simulation = start_simulation(seed, SimulatedSite(voters, **faults), make_replica, decide)
    rng = simulation.rng
    for turn in range(10):
        newest = simulation.newest_revision()
        requests_on_newest = [
            request.requested
            for request in simulation.requests
            if request.requested.parent_revision == newest
        ]
        for requested in requests_on_newest[:1]:  # It may have been sent before its parent was in force.
            simulation.put(requested)
        for k in range(1 + rng.randrange(MAX_CONCURRENT_REQUESTS - 1)):
            draw, digest = rng.random(), f"{turn}.{k}"
            if draw < 0.25:
                simulation.put(rng.choice(simulation.requests).requested)
            elif draw < 0.35:
                simulation.put(configuration(newest + 1 + rng.randrange(2), rng.randrange(newest), digest))
            elif draw < 0.45:
                simulation.put(configuration(newest + 2 + rng.randrange(2), newest + 1, digest))
            else:
                simulation.put(configuration(newest + 1 + rng.randrange(2), newest, digest))
            simulation.run(simulation.now + 0.1 * rng.random())
        for _ in range(4):
            simulation.read(rng.choice(simulation.names))
            simulation.run(simulation.now + 0.5 * rng.random())
    simulation.check_after_recovery()
    return simulation


def successive_changes(
    seed: int, voters: int, changes: int, decide: Callable = apply_configuration
) -> ConfigurationChangeSimulation:
    """Runs many changes, each on the one before, with lost answers and repeats of random earlier requests."""
    site = SimulatedSite(voters, delays=(0.0005, 0.005), answers_lost=0.1)
    simulation = start_simulation(seed, site, decide=decide)
    for revision in range(2, changes + 2):
        request = simulation.put(configuration(revision, revision - 1, f"m{revision}"))
        if sum(not started.status for started in simulation.requests) < MAX_CONCURRENT_REQUESTS:
            simulation.put(simulation.rng.choice(simulation.requests).requested)
        simulation.run(simulation.now + 20.0, lambda: request.status)  # noqa: B023
    simulation.check_after_recovery()
    return simulation


def reads_at_distant_controller(
    seed: int, voters: int, make_replica: Callable = build_replica
) -> ConfigurationChangeSimulation:
    """Runs changes at controllers that are close to each other, and continuous reads at a distant one.

    A change may be acknowledged while the round of an earlier read is in flight. A read that starts after the
    acknowledgement must return the change.
    """
    simulation = start_simulation(
        seed, SimulatedSite(voters, delays=(0.0005, 0.005), distant_delay=0.1), make_replica
    )
    for revision in range(2, 22):
        request = simulation.put(configuration(revision, revision - 1, f"m{revision}"), simulation.names[0])
        # After the answer there is a pause, in which rounds of the distant reader succeed.
        pause_end = simulation.now + 0.3 * simulation.rng.random()
        while not request.status or simulation.now < pause_end:
            simulation.read(simulation.names[-1])
            simulation.run(simulation.now + 0.03 * simulation.rng.random())
    simulation.check_after_recovery()
    return simulation


def concurrent_requests(
    seed: int,
    site: SimulatedSite,
    turns: int = 4,
    spread: bool = True,
    make_replica: Callable = build_replica,
) -> list[float]:
    """Returns the time in s from the first call to the definite answer of every request.

    In each turn, MAX_CONCURRENT_REQUESTS requests start at about the same time on the same
    parent. spread: whether they are sent to all controllers in turn, or to one. Raises RuleViolation unless
    exactly one request of a turn is accepted and the others are rejected.
    """
    simulation = start_simulation(seed, site, make_replica)
    for turn in range(turns):
        simulation.run(simulation.now + 1.0)
        newest, first, requests = (
            simulation.newest_revision(),
            simulation.rng.randrange(len(simulation.names)),
            [],
        )
        for k in range(MAX_CONCURRENT_REQUESTS):
            name = simulation.names[(first + k * spread) % len(simulation.names)]
            requests.append(simulation.put(configuration(newest + 1 + k // 2, newest, f"{turn}.{k}"), name))
            simulation.run(simulation.now + 0.02 * simulation.rng.random())
        simulation.run(
            simulation.now + 60.0,
            lambda: all(request.status for request in requests),  # noqa: B023
        )
        if sorted(request.status for request in requests) != [200, *[412] * (MAX_CONCURRENT_REQUESTS - 1)]:
            raise RuleViolation(
                f"of concurrent requests on r{newest}, expected one 200 and otherwise 412, found"
                f" {[request.status for request in requests]}"
            )
    return [request.duration for request in simulation.requests[1:]]
