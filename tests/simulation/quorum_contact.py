"""Simulated runs of whole clusters that test quorum contact and deregistrations.

There are runs with random faults, runs with an isolated minority, and directed runs. A directed run plays a
sequence of events in which the absence of one guard breaks a rule. Every run raises RuleViolation where a
rule is broken, and otherwise returns the fleet.
"""

import math
from unittest import mock

from bramblewood.common.worker_registry import DRAINING, READY, WorkerRegistration
from bramblewood.controller.commands import DeregisterWorker, RegisterWorker
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.key_leases import RELEASE

from .fleet import TCP_USER_TIMEOUT, Fleet, RuleViolation
from .fleet.timing import DRAIN_TIME
from .fleet.worker import SLOTS

LONG_TCP_USER_TIMEOUT = 30.0  # s; longer than any partition, so that buffered bytes arrive after it
REST_OF_RUN = 20.0  # s; longer than the rest of any run that uses it


def inject_random_fault(fleet):
    """Start one random fault, and return its duration in s."""
    rng, voters = fleet.rng, list(fleet.voters)
    rng.shuffle(voters)
    minority = len(voters) // 2
    seconds, kind = rng.choice([0.7, 3.0, 6.0, 20.0]), rng.randrange(10)
    fleet.tcp_user_timeout = rng.choice([TCP_USER_TIMEOUT, LONG_TCP_USER_TIMEOUT])
    if kind < 4:  # a minority of one or more voters that stay connected to each other
        isolated = voters[: rng.randint(1, minority)]
        fleet.partition(isolated, fleet.now + seconds, ("both", "in", "out", "both")[kind])
    elif kind < 6:
        fleet.freeze(voters[0], seconds)
    elif kind == 6:
        fleet.restart(voters[0])
    elif kind == 7:
        fleet.partition(["d0"], fleet.now + seconds, rng.choice(["both", "in", "out"]))
    elif kind == 8:
        for name in voters:
            fleet.restart(name, 0.2 + 0.3 * rng.random())
    else:
        fleet.restart("d1")
        fleet.partition(voters[:minority], fleet.now + seconds)
    return seconds


def start_fleet(seed, voter_count=5, spares=0, tcp_user_timeout=TCP_USER_TIMEOUT):
    """Return a fleet whose first configuration is in force."""
    fleet = Fleet(seed, voter_count, spares=spares)
    fleet.tcp_user_timeout = tcp_user_timeout
    fleet.run(1.5 + fleet.rng.random())
    fleet.put_configuration("a")
    fleet.run(1.5)
    return fleet


def replace_worker(fleet):
    """Add a worker and return its name. One ready worker begins to drain where there are more than three."""
    ready = [worker for worker in fleet.workers.values() if worker.phase == READY]
    if len(ready) > 3:
        draining = fleet.rng.choice(ready)
        draining.phase, draining.next_call_at = DRAINING, fleet.now
    name = f"w{len(fleet.workers)}"
    fleet.add_worker(name)
    return name


def random_faults(seed, voter_count=5, seconds=60.0, partitions_workers=False):
    """Inject random faults, up to two at a time, during puts, reads, slice moves and deregistrations.

    partitions_workers: whether single workers are partitioned too, with refused connections to them.
    """
    fleet = start_fleet(seed, voter_count, spares=seed % 2)
    fleet.partitions_refuse_connections = partitions_workers
    rng, ends_at = fleet.rng, fleet.now + seconds
    next_fault_at = next_call_at = next_move_at = next_replacement_at = fleet.now
    next_partition_at = fleet.now if partitions_workers else math.inf
    while fleet.now < ends_at:
        if fleet.now >= next_fault_at:
            next_fault_at = fleet.now + inject_random_fault(fleet) * rng.choice([0.5, 1.2])
        if fleet.now >= next_partition_at:
            next_partition_at = fleet.now + rng.uniform(1.0, 5.0)
            fleet.partition([rng.choice(sorted(fleet.workers))], fleet.now + rng.uniform(1.0, 10.0))
        if fleet.now >= next_call_at:
            next_call_at = fleet.now + rng.choice([0.05, 0.5, 1.0])
            call = fleet.put_configuration if rng.random() < 0.4 else fleet.get_configuration
            call(rng.choice(fleet.controllers))
        if fleet.now >= next_move_at:
            next_move_at = fleet.now + rng.uniform(0.2, 2.0)
            fleet.move_slice(rng.choice(fleet.controllers))
        if fleet.now >= next_replacement_at:
            next_replacement_at = fleet.now + rng.uniform(2.0, 8.0)
            replace_worker(fleet)
        fleet.step()
    fleet.finish()
    return fleet


def isolation(seed, isolated, direction, voter_count=5, spares=0):
    """Isolate these machines for 20 s while configurations, reads and deregistrations continue everywhere.

    Isolated controllers receive more of the calls than the others.

    direction: "both", "in" or "out" for a partition in these directions, "frozen" for a freeze.
    """
    tcp_user_timeout = TCP_USER_TIMEOUT if seed % 2 else LONG_TCP_USER_TIMEOUT
    fleet, isolated = start_fleet(seed, voter_count, spares, tcp_user_timeout), list(isolated)
    fleet.run(fleet.rng.random())
    for name in isolated:
        if direction == "frozen":
            fleet.freeze(name, 20.0)
    if direction != "frozen":
        fleet.partition(isolated, fleet.now + 20.0, direction)
    ends_at, step_count = fleet.now + 23.0, 0
    while fleet.now < ends_at:
        step_count += 1
        if step_count % 20 == 0:
            name = fleet.rng.choice([*isolated, *fleet.controllers])
            call = fleet.put_configuration if fleet.rng.random() < 0.5 else fleet.get_configuration
            call(name)
        if step_count % 300 == 0:
            replace_worker(fleet)
            for worker in fleet.workers.values():
                worker.controller = fleet.rng.choice(isolated)
        fleet.step()
    fleet.finish()
    return fleet


def minority_partition(seed):
    """Two of five controllers are partitioned from the others, but not from each other."""
    return isolation(seed, "ab", "both")


def freeze_during_reads(seed):
    """A controller is frozen while reads wait for its proposals, and the others accept a configuration."""
    fleet = start_fleet(seed, 3)
    for _ in range(4):
        for _ in range(5):
            fleet.get_configuration("a")
            fleet.run(0.01)
        fleet.freeze("a", 4.0)
        fleet.run(0.5)
        fleet.put_configuration("b")
        fleet.run(4.5)
    fleet.finish()
    return fleet


def freeze_before_grants(seed):
    """The coordinator is frozen between the check of its quorum contact and the dependent grants."""
    fleet = start_fleet(seed, 3)
    for _ in range(3):
        fleet.freeze_when("a", lambda server: server.key_leases.calls_in_flight, 5.0)
        fleet.run(8.0)
    fleet.finish()
    return fleet


def chosen_proposal_not_learned(seed):
    """A voter accepts a proposal that is chosen, but learns of the choice from no other controller.

    The proposing controller can no longer reach it. Its connection to the third controller is fast enough for
    heartbeats, but too slow for proposals.
    """
    fleet = start_fleet(seed, 3)
    acceptor = fleet.machines["a"].server.quorum_io.consensus.acceptors[CONFIG]
    accepted_before = acceptor.accepted
    fleet.tcp_user_timeout = LONG_TCP_USER_TIMEOUT
    fleet.put_configuration("c", newest=True)
    fleet.partition(["b"], fleet.now + 0.6, "in")
    while acceptor.accepted == accepted_before:
        fleet.step()
    for other in "ab":
        fleet.blocked_until["c", other] = fleet.now + REST_OF_RUN
    fleet.blocked_until.pop(("a", "b"), None)
    fleet.transit_times = (0.15, 0.16)
    fleet.run(5.0)
    fleet.finish()
    return fleet


def proxy_behind_slow_connections(seed):
    """A proxy starts while new configurations are put, and it reads too slowly to keep up with them."""
    fleet = start_fleet(seed, 3)
    fleet.restart("d1", 0.1)
    fleet.read_delays["d1"] = 0.5 + 0.2 * fleet.rng.random()
    for _ in range(30):
        fleet.put_configuration("a", newest=True)
        fleet.run(0.5)
    fleet.read_delays.clear()
    fleet.run(2.0)
    fleet.finish()
    return fleet


def deregister(fleet, name):
    """Run until this worker's deregistration is acknowledged, and stop its further calls.

    Returns the worker's last call before the deregistration, so that the caller can deliver it late.
    """
    worker = fleet.workers[name]
    registration = WorkerRegistration("s", f"{name}:1", "z", SLOTS, READY, worker.call_sequence)
    worker.phase, worker.next_call_at = DRAINING, fleet.now
    while not worker.is_deregistered:
        fleet.step()
    worker.next_call_at = fleet.now + REST_OF_RUN
    return RegisterWorker(name, registration)


def restart_of_all_after_deregistration(seed):
    """All controllers restart right after a deregistration.

    An older call of the worker then arrives late, and a proxy starts.
    """
    fleet = start_fleet(seed, 3)
    name = sorted(fleet.workers)[seed % 4]
    late_call = deregister(fleet, name)
    fleet.machines["d1"].kill()
    for controller in fleet.controllers:
        fleet.restart(controller, 0.2)
    fleet.run(0.8)
    fleet.call("a", late_call)
    fleet.run(0.2)
    fleet.machines["d1"].start(False)
    fleet.run(5.0)
    fleet.finish()
    return fleet


def power_loss_after_deregistration(seed):
    """All machines lose power right after a deregistration is acknowledged, and one voter loses its disk.

    An older call of the worker then arrives late, several times and at several controllers.
    """
    fleet = start_fleet(seed, 3 + 2 * (seed % 2))
    name = fleet.rng.choice(sorted(fleet.workers))
    late_call = deregister(fleet, name)
    for machine in fleet.machines.values():
        machine.kill()
    new_disk_voter = fleet.machines[fleet.rng.choice(fleet.voters)]
    new_disk_voter.facts, new_disk_voter.registers = {"disk": f"disk-{new_disk_voter.name}-2"}, {}
    for machine in fleet.machines.values():
        fleet.schedule(fleet.now + fleet.rng.uniform(0.2, 1.0), machine.start, False)
    for _ in range(6):
        called_at = fleet.now + fleet.rng.uniform(0.3, 6.0)
        fleet.schedule(called_at, fleet.call, fleet.rng.choice(fleet.controllers), late_call)
    fleet.run(9.0)
    assert all(state.is_ready for state in fleet.rules.proxy_states.values())
    fleet.finish()
    return fleet


def worker_crash_during_restart_of_all(seed):
    """A worker crashes while all controllers restart and the proxies keep running.

    The proxies must count exactly this worker as timed out.
    """
    fleet = start_fleet(seed, 3)
    fleet.run(fleet.rng.random())
    name = fleet.rng.choice(sorted(fleet.workers))
    fleet.workers[name].has_ended = True
    for controller in fleet.controllers:
        fleet.restart(controller, 0.2 + 0.3 * fleet.rng.random())
    fleet.run(16.0)
    for machine in fleet.machines.values():
        if machine.is_proxy and name not in machine.server.load_balancer.timed_out:
            raise RuleViolation(f"{machine.name} does not count {name} as timed out")
    for machine in fleet.machines.values():
        if machine.is_proxy and len(machine.server.load_balancer.timed_out) > 1:
            raise RuleViolation(
                f"{machine.name} counts {machine.server.load_balancer.timed_out} as timed out, more than one"
            )
    fleet.finish()
    return fleet


def freeze_before_releases(seed):
    """The coordinator is frozen between the check of its quorum contact and the dependent releases."""
    fleet = start_fleet(seed, 3)
    for _ in range(3):
        fleet.move_slice("a")
        fleet.freeze_when(
            "a", lambda server: any(call.kind == RELEASE for call in server.key_leases.calls_in_flight), 5.0
        )
        fleet.run(8.0)
    fleet.finish()
    return fleet


def deregistration_of_unknown_worker(seed):
    """A worker deregisters at a controller that has no registration of it and no link to one that has."""
    fleet = start_fleet(seed, 3)
    fleet.blocked_until["a", "b"] = fleet.blocked_until["b", "a"] = fleet.now + REST_OF_RUN
    fleet.run(fleet.rng.random())
    name = replace_worker(fleet)
    worker = fleet.workers[name]
    worker.controller, worker.next_call_at = "b", fleet.now
    fleet.run(0.5)
    assert name not in fleet.machines["a"].server.registry.registrations
    worker.has_ended = True
    fleet.call("a", DeregisterWorker(name))
    fleet.run(4.0)
    fleet.finish()
    return fleet


def deregistration_with_broken_link(seed):
    """A worker deregisters at one of two controllers without a link between them.

    The third controller is connected to both.
    """
    fleet = start_fleet(seed, 3)
    fleet.tcp_user_timeout = fleet.rng.choice([TCP_USER_TIMEOUT, LONG_TCP_USER_TIMEOUT])
    fleet.blocked_until["a", "c"] = fleet.blocked_until["c", "a"] = fleet.now + REST_OF_RUN
    fleet.run(fleet.rng.random())
    worker = fleet.workers[sorted(fleet.workers)[seed % 4]]
    worker.phase, worker.controller, worker.next_call_at = DRAINING, "c", fleet.now
    fleet.run(5.0)
    fleet.finish()
    return fleet


def missed_configuration(seed):
    """One of three controllers does not learn a configuration, but still learns tables."""
    fleet = start_fleet(seed, 3)
    learner = fleet.machines["a"].server.quorum_io.consensus.learner
    fleet.run(fleet.rng.random())
    with mock.patch.object(learner, "learn", lambda *_: None):
        fleet.put_configuration("b", newest=True)
        fleet.run(3.0)
    fleet.finish()
    return fleet


def workers_behind_refusing_partition(seed):
    """Workers are partitioned from all controllers, whose connections to them are refused, several times.

    Some of them drain or deregister before. The keys of all of them may move, and they keep their leases.
    """
    fleet = start_fleet(seed, 3)
    fleet.partitions_refuse_connections = True
    for _ in range(4):
        ready = [name for name, worker in fleet.workers.items() if worker.phase == READY]
        isolated = fleet.rng.sample(ready, fleet.rng.randint(1, len(ready) - 1))
        if fleet.rng.random() < 0.3:
            replace_worker(fleet)
            fleet.run(fleet.rng.choice([0.1, DRAIN_TIME + 1.5]))
        fleet.partition(isolated, fleet.now + fleet.rng.uniform(2.0, 12.0))
        for _ in range(6):
            fleet.move_slice(fleet.rng.choice(fleet.controllers))
            fleet.run(fleet.rng.uniform(0.2, 2.0))
    fleet.finish()
    return fleet


def random_faults_with_refusing_partitions(seed):
    """Random faults, while workers are partitioned from the controllers, whose connections are refused."""
    return random_faults(seed, 3 + 2 * (seed % 2), 40.0, partitions_workers=True)


# by their names in features/quorum_contact.feature
DIRECTED_RUNS = {
    "minority partition": minority_partition,
    "freeze during reads": freeze_during_reads,
    "freeze before grants": freeze_before_grants,
    "chosen proposal not learned": chosen_proposal_not_learned,
    "proxy behind slow connections": proxy_behind_slow_connections,
    "restart of all controllers after a deregistration": restart_of_all_after_deregistration,
    "power loss after a deregistration": power_loss_after_deregistration,
    "worker crash during a restart of all controllers": worker_crash_during_restart_of_all,
    "freeze before releases": freeze_before_releases,
    "deregistration of an unknown worker": deregistration_of_unknown_worker,
    "deregistration with a broken link": deregistration_with_broken_link,
    "missed configuration": missed_configuration,
    "workers behind a partition that refuses": workers_behind_refusing_partition,
    "random faults with partitions that refuse": random_faults_with_refusing_partitions,
}
