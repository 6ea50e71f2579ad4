"""Steps that put configurations at simulated controllers, with all guards or with one guard removed.

The two mappings list the guards that can be removed, by their names in the feature.
"""

from functools import partial

from behave import given, then, when

from bramblewood.common.settings import Bounds
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.consensus.replica import ConsensusReplica
from tests.simulation import configuration_change_guards
from tests.simulation.configuration_change_guards import apply_with_few_digests
from tests.simulation.configuration_changes import (
    ConfigurationChangeSimulation,
    SimulatedSite,
    build_replica,
    concurrent_requests,
    random_concurrent_requests,
    reads_at_distant_controller,
    start_simulation,
    successive_changes,
)
from tests.simulation.consensus import RuleViolation, configuration

# fields of SimulatedSite, in s
DISTANT_CONTROLLERS = {"delays": (0.055, 0.06)}
LINKS = {"distant controllers": DISTANT_CONTROLLERS, "one slow link": {"slow_link_delay": 0.25}}
REPLICAS_WITHOUT_GUARD = {
    "a quorum is a majority": configuration_change_guards.QuorumBelowMajority,
    "a value accepted by a minority is not chosen": configuration_change_guards.TreatsAcceptedAsChosen,
}
DECISIONS_WITHOUT_GUARD = {
    "a discarded revision is not rejected": configuration_change_guards.reject_discarded_revisions,
    "a repeated request is recognized": configuration_change_guards.reject_repeats,
    "repeats are recognized by digest, not revision": configuration_change_guards.match_repeats_by_revision,
    "a rejection for an unknown parent is recorded": configuration_change_guards.leave_rejections_unrecorded,
    "each revision has at most one successor": configuration_change_guards.ignore_parent,
}


def replica_builder(replica_class):
    return partial(build_replica, replica_class=replica_class)


def assert_violation_found(run, count):
    for seed in range(count):
        try:
            run(seed)
        except RuleViolation:
            return
    raise AssertionError(f"no invariant was violated in the seeds below {count}")


@then("{count:d} random runs with {voters:d} voters keep the invariants")
def assert_random_runs_keep_invariants(context, count, voters):
    requests = [
        request
        for seed in range(count)
        for request in random_concurrent_requests(seed, voters, decide=apply_with_few_digests).requests
    ]
    for status in (200, 412):
        assert sum(request.status == status for request in requests) > 5 * count, "too few of these answers"


@then("without each of these guards an invariant is violated within {count:d} runs with {voters:d} voters")
def assert_guards_are_needed(context, count, voters):
    for row in context.table:
        guard = row["guard"]
        assert guard in {**REPLICAS_WITHOUT_GUARD, **DECISIONS_WITHOUT_GUARD}, guard
        make_replica = replica_builder(REPLICAS_WITHOUT_GUARD.get(guard, ConsensusReplica))
        decide = DECISIONS_WITHOUT_GUARD.get(guard, apply_with_few_digests)
        assert_violation_found(
            lambda seed: random_concurrent_requests(seed, voters, make_replica, decide),  # noqa: B023
            count,
        )


@given("the register value of an older release that holds r9 after r7")
def set_register_value_of_older_release(context):
    context.value = {"n": 9, "config": {}, "past": {"7": "r7", "9": "r9"}}


@then("successive requests get these answers")
def assert_successive_answers(context):
    for row in context.table:
        requested = configuration(int(row["revision"]), int(row["parent"]), row["content"])
        next_value, (status, _) = apply_configuration(requested, context.value)
        assert status == int(row["answer"]), (row, status)
        context.value = next_value or context.value


@then("no recorded rejection is left")
def assert_no_recorded_rejections(context):
    assert context.value["refused"] == {}


@then("of {count:d} requests with an unknown parent {rejected:d} are rejected and the others get status 503")
def assert_recorded_rejections_are_bounded(context, count, rejected):
    for number in range(count):
        requested = configuration(101 + number, 100 + number, f"early{number}")
        next_value, (status, _) = apply_configuration(requested, context.value)
        assert status == (412 if number < rejected else 503), (number, status)
        context.value = next_value or context.value


@then("{count:d} runs with a distant reader and {voters:d} voters keep the invariants")
def assert_reads_keep_invariants(context, count, voters):
    context.count, context.voters = count, voters
    for seed in range(count):
        reads_at_distant_controller(seed, voters)


@then("the same runs without proposer backoff keep the invariants")
def assert_reads_without_backoff_keep_invariants(context):
    for seed in range(context.count):
        reads_at_distant_controller(
            seed, context.voters, replica_builder(configuration_change_guards.NoBackoff)
        )


@then("adding changes to a started round violates an invariant within {count:d} of these runs")
def assert_late_additions_violate_invariant(context, count):
    assert_violation_found(
        lambda seed: reads_at_distant_controller(
            seed, context.voters, replica_builder(configuration_change_guards.AddsChangesToStartedRound)
        ),
        count,
    )


@then("{count:d} successive changes and their repeats are all acknowledged")
def assert_successive_changes_acknowledged(context, count):
    context.changes = count
    simulation = successive_changes(1, 3, count)
    assert len(simulation.acknowledged) == count + 1
    assert {request.status for request in simulation.requests} == {200}


@then("with {digests:d} kept digests older repeats get no definite answer and no request is rejected")
def assert_older_repeats_get_no_definite_answer(context, digests):
    simulation = successive_changes(2, 5, context.changes, partial(apply_configuration, max_digests=digests))
    assert len(simulation.acknowledged) == context.changes + 1 and not simulation.rejected
    assert {request.status for request in simulation.requests} == {200, 0}


@given("all controllers hold r2 as the successor of r1")
def put_two_revisions(context):
    simulation = context.simulation = start_simulation(1, SimulatedSite(3))
    context.first, context.second = simulation.requests[0].requested, configuration(2, 1, "second")
    request = simulation.put(context.second, simulation.names[1])
    simulation.run(simulation.now + 5.0, lambda: request.status)
    simulation.run(simulation.now + 1.0)


@when("one controller is isolated")
def isolate_controller(context):
    context.simulation.not_receiving = context.simulation.not_sending = {context.simulation.names[0]}


def first_status(simulation: ConfigurationChangeSimulation, requested):
    """Returns the status of the isolated controller's answer to one call. The call is not repeated."""
    request = simulation.put(requested, simulation.names[0])
    simulation.run(simulation.now + 3.0, lambda: request.status or request.statuses)
    request.current_call += 1  # The retry that is pending is then ignored.
    return request.status or request.statuses[0]


@then("it acknowledges r1 and r2 again")
def assert_repeats_acknowledged(context):
    assert [first_status(context.simulation, requested) for requested in (context.first, context.second)] == [
        200,
        200,
    ]


@then("it rejects another configuration on r1")
def assert_conflict(context):
    assert first_status(context.simulation, configuration(3, 1, "late")) == 412


@then("it gives no definite answer to another configuration on r2")
def assert_no_definite_answer(context):
    assert first_status(context.simulation, configuration(3, 2, "third")) == 503


@then("eight requests with {voters:d} voters and {links} are answered within half of AckS in {count:d} seeds")
def assert_answers_in_time(context, voters, links, count):
    for seed in range(count):
        longest = max(concurrent_requests(seed, SimulatedSite(voters, **LINKS[links])))
        assert longest < Bounds.AckS / 2, (seed, longest)


@then("without proposer backoff an answer takes more than half of AckS within {count:d} seeds")
def assert_backoff_is_needed(context, count):
    make_replica = replica_builder(configuration_change_guards.NoBackoff)
    site = SimulatedSite(5, **DISTANT_CONTROLLERS)
    longest = max(max(concurrent_requests(seed, site, make_replica=make_replica)) for seed in range(count))
    assert longest > Bounds.AckS / 2, longest


def slowdown_at_one_controller(seed, replica_class=ConsensusReplica):
    """Returns the ratio of the longest time of eight concurrent requests to the time of a single one.

    The concurrent requests are all sent to the same controller.
    """
    single = start_simulation(seed, SimulatedSite(3, **DISTANT_CONTROLLERS)).requests[0].duration
    return (
        max(
            concurrent_requests(
                seed,
                SimulatedSite(3, **DISTANT_CONTROLLERS),
                spread=False,
                make_replica=replica_builder(replica_class),
            )
        )
        / single
    )


@then("eight requests at one distant controller take less than three times as long as one request")
def assert_requests_share_rounds(context):
    slowdown = max(slowdown_at_one_controller(seed) for seed in range(20))
    assert slowdown < 3, slowdown


@then("with one change per round they take more than three times as long within {count:d} seeds")
def assert_batches_are_needed(context, count):
    assert any(
        slowdown_at_one_controller(seed, configuration_change_guards.OneChangePerRound) > 3
        for seed in range(count)
    )
