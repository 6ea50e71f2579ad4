"""Runs of whole fleets: random faults, isolation of a minority, and orders of events that a missing guard
would not survive. A run raises RuleViolation where a rule is broken.
"""

from unittest import mock

from bramblewood.common.worker_registry import DRAINING, READY, WorkerRegistration
from bramblewood.controller.commands import DeregisterWorker, RegisterWorker
from bramblewood.controller.consensus.registers import CONFIG
from bramblewood.controller.key_leases import RELEASE

from .fleet import CONNECTION_PATIENCE, Fleet, RuleViolation
from .fleet.worker import SLOTS

LONG_PATIENCE = 30.0  # s; bytes outlast any partition
UNTIL_THE_END = 20.0  # s, longer than what is left of a run


def draw_fault(fleet):
    """One random fault; how long it lasts, in s."""
    rng, voters = fleet.rng, list(fleet.voters)
    rng.shuffle(voters)
    minority = len(voters) // 2
    seconds, kind = rng.choice([0.7, 3.0, 6.0, 20.0]), rng.randrange(10)
    fleet.connection_patience = rng.choice([CONNECTION_PATIENCE, LONG_PATIENCE])
    if kind < 4:  # one, or two that are cut off together
        some = voters[: rng.randint(1, minority)]
        fleet.partition(some, fleet.now + seconds, ("both", "in", "out", "both")[kind])
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


def started_fleet(seed, count=5, spares=0, patience=CONNECTION_PATIENCE):
    """A fleet with its first configuration in force."""
    fleet = Fleet(seed, count, spares=spares)
    fleet.connection_patience = patience
    fleet.run(1.5 + fleet.rng.random())
    fleet.put_configuration("a")
    fleet.run(1.5)
    return fleet


def replace_worker(fleet):
    """One worker begins to drain, another comes; the name of the one that comes."""
    ready = [worker for worker in fleet.workers.values() if worker.phase == READY]
    if len(ready) > 3:
        leaver = fleet.rng.choice(ready)
        leaver.phase, leaver.next_call_at = DRAINING, fleet.now
    name = f"w{len(fleet.workers)}"
    fleet.add_worker(name)
    return name


def random_faults(seed, count=5, seconds=60.0):
    """Fault upon fault, at times two at once, with configurations, moves and deregistrations meanwhile."""
    fleet = started_fleet(seed, count, spares=seed % 2)
    rng, until = fleet.rng, fleet.now + seconds
    next_fault = next_call = next_move = next_replacement = fleet.now
    while fleet.now < until:
        if fleet.now >= next_fault:
            next_fault = fleet.now + draw_fault(fleet) * rng.choice([0.5, 1.2])
        if fleet.now >= next_call:
            next_call = fleet.now + rng.choice([0.05, 0.5, 1.0])
            call = fleet.put_configuration if rng.random() < 0.4 else fleet.get_configuration
            call(rng.choice(fleet.controllers))
        if fleet.now >= next_move:
            next_move = fleet.now + rng.uniform(0.2, 2.0)
            fleet.move_slice(rng.choice(fleet.controllers))
        if fleet.now >= next_replacement:
            next_replacement = fleet.now + rng.uniform(2.0, 8.0)
            replace_worker(fleet)
        fleet.step()
    fleet.end()
    return fleet


def isolation(seed, isolated, direction, count=5, spares=0):
    """These machines are cut off, or frozen, for twenty seconds; configurations, reads and deregistrations go
    on at all machines, most of them at these. direction: "both", "in", "out" or "frozen".
    """
    patience = CONNECTION_PATIENCE if seed % 2 else LONG_PATIENCE
    fleet, isolated = started_fleet(seed, count, spares, patience), list(isolated)
    fleet.run(fleet.rng.random())
    for name in isolated:
        if direction == "frozen":
            fleet.freeze(name, 20.0)
    if direction != "frozen":
        fleet.partition(isolated, fleet.now + 20.0, direction)
    until, step = fleet.now + 23.0, 0
    while fleet.now < until:
        step += 1
        if step % 20 == 0:
            name = fleet.rng.choice([*isolated, *fleet.controllers])
            call = fleet.put_configuration if fleet.rng.random() < 0.5 else fleet.get_configuration
            call(name)
        if step % 300 == 0:
            replace_worker(fleet)
            for worker in fleet.workers.values():
                worker.controller = fleet.rng.choice(isolated)  # those that still call there
        fleet.step()
    fleet.end()
    return fleet


def minority_partition(seed):
    """Two of five are cut off together."""
    return isolation(seed, "ab", "both")


def freeze_amid_reads(seed):
    """A controller is frozen amid proposals that readers wait for, while others go on."""
    fleet = started_fleet(seed, 3)
    for _ in range(4):
        for _ in range(5):
            fleet.get_configuration("a")
            fleet.run(0.01)
        fleet.freeze("a", 4.0)
        fleet.run(0.5)
        fleet.put_configuration("b")
        fleet.run(4.5)
    fleet.end()
    return fleet


def freeze_before_grants(seed):
    """The coordinator is frozen between the look at its quorum contact and the grants that rest on it."""
    fleet = started_fleet(seed, 3)
    for _ in range(3):
        fleet.freeze_when("a", lambda server: server.key_leases.calls_in_flight, 5.0)
        fleet.run(8.0)
    fleet.end()
    return fleet


def unlearned_acceptance(seed):
    """A voter accepts what then is chosen, and hears of that from nobody: its connections to the other that
    would tell it are too slow for proposals, though not for heartbeats.
    """
    fleet = started_fleet(seed, 3)
    acceptor = fleet.machines["a"].server.quorum_io.consensus.acceptors[CONFIG]
    before = acceptor.accepted
    fleet.connection_patience = LONG_PATIENCE
    fleet.put_configuration("c", newest=True)
    fleet.partition(["b"], fleet.now + 0.6, "in")
    while acceptor.accepted == before:
        fleet.step()
    for other in "ab":
        fleet.cuts["c", other] = fleet.now + UNTIL_THE_END
    fleet.cuts.pop(("a", "b"), None)
    fleet.transit_times = (0.15, 0.16)
    fleet.run(5.0)
    fleet.end()
    return fleet


def proxy_behind_slow_connections(seed):
    """A proxy starts behind connections that bring what controllers said later and later, while
    configurations follow each other.
    """
    fleet = started_fleet(seed, 3)
    fleet.restart("d1", 0.1)
    fleet.read_delays["d1"] = 0.5 + 0.2 * fleet.rng.random()
    for _ in range(30):
        fleet.put_configuration("a", newest=True)
        fleet.run(0.5)
    fleet.read_delays.clear()
    fleet.run(2.0)
    fleet.end()
    return fleet


def deregister(fleet, name):
    """A worker's deregistration is acknowledged, and it calls no more of itself. Returns its last call from
    before that, which may still come late.
    """
    worker = fleet.workers[name]
    registration = WorkerRegistration("s", f"{name}:1", "z", SLOTS, READY, worker.call_sequence)
    worker.phase, worker.next_call_at = DRAINING, fleet.now
    while not worker.is_acknowledged:
        fleet.step()
    worker.next_call_at = fleet.now + UNTIL_THE_END  # it calls no more of itself
    return RegisterWorker(name, registration)


def restart_of_all_after_deregistration(seed):
    """All controllers restart at once just after a deregistration; an old call comes late, a proxy starts."""
    fleet = started_fleet(seed, 3)
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
    fleet.end()
    return fleet


def all_dark_after_deregistration(seed):
    """All machines lose their power within milliseconds of a deregistration's acknowledgement, and one its
    disk; an old call comes late, more than once and at several controllers.
    """
    fleet = started_fleet(seed, 3 + 2 * (seed % 2))
    name = fleet.rng.choice(sorted(fleet.workers))
    late_call = deregister(fleet, name)
    for machine in fleet.machines.values():
        machine.kill()
    lost = fleet.machines[fleet.rng.choice(fleet.voters)]
    lost.facts, lost.registers = {"disk": f"disk-{lost.name}-2"}, {}
    for machine in fleet.machines.values():
        fleet.at(fleet.now + fleet.rng.uniform(0.2, 1.0), machine.start, False)
    for _ in range(6):
        late = fleet.now + fleet.rng.uniform(0.3, 6.0)
        fleet.at(late, fleet.call, fleet.rng.choice(fleet.controllers), late_call)
    fleet.run(9.0)
    assert all(state.is_ready for state in fleet.rules.proxy_states.values())
    fleet.end()
    return fleet


def death_unheard_amid_restart_of_all(seed):
    """A worker dies without a word while all controllers restart; the proxies go on."""
    fleet = started_fleet(seed, 3)
    fleet.run(fleet.rng.random())
    name = fleet.rng.choice(sorted(fleet.workers))
    fleet.workers[name].has_ended = True
    for controller in fleet.controllers:
        fleet.restart(controller, 0.2 + 0.3 * fleet.rng.random())
    fleet.run(16.0)
    for machine in fleet.machines.values():
        if machine.is_proxy and name not in machine.server.load_balancer.timed_out:
            raise RuleViolation(f"{machine.name} still takes {name} for ready")
    for machine in fleet.machines.values():
        if machine.is_proxy and len(machine.server.load_balancer.timed_out) > 1:
            raise RuleViolation(f"{machine.name} takes {machine.server.load_balancer.timed_out} for silent")
    fleet.end()
    return fleet


def freeze_before_releases(seed):
    """The coordinator is frozen between the look at its quorum contact and the releases that rest on it."""
    fleet = started_fleet(seed, 3)
    for _ in range(3):
        fleet.move_slice("a")
        fleet.freeze_when(
            "a", lambda server: any(call.kind == RELEASE for call in server.key_leases.calls_in_flight), 5.0
        )
        fleet.run(8.0)
    fleet.end()
    return fleet


def deregistration_of_unknown_worker(seed):
    """A worker deregisters at a controller that has never heard of it, and does not hear the one that has."""
    fleet = started_fleet(seed, 3)
    fleet.cuts["a", "b"] = fleet.cuts["b", "a"] = fleet.now + UNTIL_THE_END
    fleet.run(fleet.rng.random())
    name = replace_worker(fleet)
    worker = fleet.workers[name]
    worker.controller, worker.next_call_at = "b", fleet.now
    fleet.run(0.5)
    assert name not in fleet.machines["a"].server.registry.registrations
    worker.has_ended = True
    fleet.call("a", DeregisterWorker(name))
    fleet.run(4.0)
    fleet.end()
    return fleet


def deregistration_across_broken_pair(seed):
    """Two controllers don't hear each other, a third hears both; a worker deregisters at one of the two."""
    fleet = started_fleet(seed, 3)
    fleet.connection_patience = fleet.rng.choice([CONNECTION_PATIENCE, LONG_PATIENCE])
    fleet.cuts["a", "c"] = fleet.cuts["c", "a"] = fleet.now + UNTIL_THE_END
    fleet.run(fleet.rng.random())
    worker = fleet.workers[sorted(fleet.workers)[seed % 4]]
    worker.phase, worker.controller, worker.next_call_at = DRAINING, "c", fleet.now
    fleet.run(5.0)
    fleet.end()
    return fleet


def missed_configuration(seed):
    """A configuration comes to two of three, while tables still come to the third."""
    fleet = started_fleet(seed, 3)
    learner = fleet.machines["a"].server.quorum_io.consensus.learner
    fleet.run(fleet.rng.random())
    with mock.patch.object(learner, "learn", lambda *_: None):
        fleet.put_configuration("b", newest=True)
        fleet.run(3.0)
    fleet.end()
    return fleet


# by the names that features/quorum_contact.feature has for them
DIRECTED_RUNS = {
    "minority partition": minority_partition,
    "freeze amid reads": freeze_amid_reads,
    "freeze before grants": freeze_before_grants,
    "unlearned acceptance": unlearned_acceptance,
    "proxy behind slow connections": proxy_behind_slow_connections,
    "restart of all after a deregistration": restart_of_all_after_deregistration,
    "all dark after a deregistration": all_dark_after_deregistration,
    "death unheard amid a restart of all": death_unheard_amid_restart_of_all,
    "freeze before releases": freeze_before_releases,
    "deregistration of an unknown worker": deregistration_of_unknown_worker,
    "deregistration across a broken pair": deregistration_across_broken_pair,
    "missed configuration": missed_configuration,
}
