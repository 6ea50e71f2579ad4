from functools import partial

from behave import given, then, when

from bramblewood.common.settings import Bounds
from bramblewood.controller.configuration_succession import apply_configuration
from bramblewood.controller.consensus.replica import ConsensusReplica
from tests.simulation import configuration_change_guards
from tests.simulation.configuration_change_guards import short_memory
from tests.simulation.configuration_changes import (
    Play,
    Site,
    build,
    concurrent_orders,
    long_day,
    readers,
    start_play,
    storm,
)
from tests.simulation.consensus import RuleViolation, configuration

FAR = {"delays": (0.055, 0.06)}
SITES = {"far": FAR, "one slow": {"slow": 0.25}}
REPLICAS_WITHOUT_GUARD = {
    "a majority": configuration_change_guards.BelowMajority,
    "a value that a minority holds is not yet chosen": configuration_change_guards.TrustsMinority,
}
DECISIONS_WITHOUT_GUARD = {
    "what is forgotten is not refused": configuration_change_guards.refuses_what_was_forgotten,
    "an order is known again": configuration_change_guards.no_repeats,
    "an order is known by its content, not its number": configuration_change_guards.repeats_by_number,
    "a refusal of what may still come is agreed": configuration_change_guards.refusals_unrecorded,
    "one version on each parent": configuration_change_guards.parent_ignored,
}


def builder(made):
    return partial(build, kind=made)


def assert_found(play, count):
    for seed in range(count):
        try:
            play(seed)
        except RuleViolation:
            return
    raise AssertionError(f"not found out within {count}")


@then("{count:d} storms of orders at {voters:d} voters keep every answer")
def storms(context, count, voters):
    orders = [order for seed in range(count) for order in storm(seed, voters, decide=short_memory).orders]
    for status in (200, 412):
        assert sum(order.status == status for order in orders) > 5 * count, "the storms prove little"


@then("each of these is found out within {count:d} storms at {voters:d} voters")
def guards(context, count, voters):
    for row in context.table:
        guard = row["guard taken out"]
        assert guard in {**REPLICAS_WITHOUT_GUARD, **DECISIONS_WITHOUT_GUARD}, guard
        make_replica = builder(REPLICAS_WITHOUT_GUARD.get(guard, ConsensusReplica))
        decide = DECISIONS_WITHOUT_GUARD.get(guard, short_memory)
        assert_found(lambda seed: storm(seed, voters, make_replica, decide), count)  # noqa: B023


@given("a register of an older program that holds r9 after r7")
def old_value(context):
    context.value = {"n": 9, "config": {}, "past": {"7": "r7", "9": "r9"}}


@then("orders are answered in turn")
def in_turn(context):
    for row in context.table:
        requested = configuration(int(row["number"]), int(row["parent"]), row["content"])
        following, (status, _) = apply_configuration(requested, context.value)
        assert status == int(row["answer"]), (row, status)
        context.value = following or context.value


@then("no trace of refused orders is left")
def no_trace(context):
    assert context.value["refused"] == {}


@then(
    "of {count:d} orders whose parent is not there {some:d} are refused and the others have no clear answer"
)
def bounded(context, count, some):
    for number in range(count):
        requested = configuration(101 + number, 100 + number, f"early{number}")
        following, (status, _) = apply_configuration(requested, context.value)
        assert status == (412 if number < some else 503), (number, status)
        context.value = following or context.value


@then("{count:d} plays of a far reader at {voters:d} voters keep what was acknowledged")
def far_readers(context, count, voters):
    context.count, context.voters = count, voters
    for seed in range(count):
        readers(seed, voters)


@then("the same without backoff, as no rule rests on waits")
def pushing_readers(context):
    for seed in range(context.count):
        readers(seed, context.voters, builder(configuration_change_guards.NoBackoff))


@then("letting changes into a round that has begun is found out within {count:d} of these")
def late_comers(context, count):
    assert_found(
        lambda seed: readers(seed, context.voters, builder(configuration_change_guards.JoinsLate)), count
    )


@then("a day of {count:d} changes acknowledges all, and each repeat")
def day(context, count):
    context.changes = count
    play = long_day(1, 3, count)
    assert len(play.acknowledged) == count + 1
    assert {order.status for order in play.orders} == {200}


@then("where {kept:d} digests are kept, repeats of what is older have no clear answer and none is refused")
def few_digests_kept(context, kept):
    play = long_day(2, 5, context.changes, partial(apply_configuration, max_digests=kept))
    assert len(play.acknowledged) == context.changes + 1 and not play.rejected
    assert {order.status for order in play.orders} == {200, 0}


@given("controllers that know that r2 followed r1")
def two_versions(context):
    play = context.play = start_play(1, Site(3))
    context.first, context.second = play.orders[0].requested, configuration(2, 1, "second")
    order = play.order(context.second, play.names[1])
    play.run(play.now + 5.0, lambda: order.status)
    play.run(play.now + 1.0)


@when("all links of one are cut")
def cut(context):
    context.play.not_receiving = context.play.not_sending = {context.play.names[0]}


def status(play: Play, requested):
    """What the archive that is cut off answers to one call; 503 = nothing clear."""
    order = play.order(requested, play.names[0])
    play.run(play.now + 3.0, lambda: order.status or order.statuses)
    order.call += 1  # it is not sent again
    return order.status or order.statuses[0]


@then("it acknowledges r1 and r2 again")
def known_again(context):
    assert [status(context.play, requested) for requested in (context.first, context.second)] == [200, 200]


@then("it refuses another order on r1")
def rejected(context):
    assert status(context.play, configuration(3, 1, "late")) == 412


@then("it has no clear answer for an order on r2")
def unclear(context):
    assert status(context.play, configuration(3, 2, "third")) == 503


@then("eight at {voters:d} voters, {site}, have clear answers within half of AckS in {count:d} seeds")
def in_time(context, voters, site, count):
    for seed in range(count):
        worst = max(concurrent_orders(seed, Site(voters, **SITES[site])))
        assert worst < Bounds.AckS / 2, (seed, worst)


@then("proposers without backoff are found out by the time within {count:d} seeds")
def no_way(context, count):
    make_replica = builder(configuration_change_guards.NoBackoff)
    site = Site(5, **FAR)
    worst = max(max(concurrent_orders(seed, site, make_replica=make_replica)) for seed in range(count))
    assert worst > Bounds.AckS / 2, worst


def at_one(seed, made=ConsensusReplica):
    """The worst time of eight at one archive over that of one."""
    alone = start_play(seed, Site(3, **FAR)).orders[0].duration
    return max(concurrent_orders(seed, Site(3, **FAR), spread=False, make_replica=builder(made))) / alone


@then("eight at one controller far from others take three times as long as one, not eight times")
def folded(context):
    worst = max(at_one(seed) for seed in range(20))
    assert worst < 3, worst


@then("one change in a round is found out by that within {count:d} seeds")
def singly(context, count):
    assert any(at_one(seed, configuration_change_guards.NoBatches) > 3 for seed in range(count))
