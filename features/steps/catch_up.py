from behave import given, then

from bramblewood.common.settings import Bounds
from tests.simulation.catch_up import LINE_RATE, MemberAway


@given(
    "a member that was away for {changes:d} changes,"
    " amid {routes:d} routes, {slices:d} slices and {past:d} past versions"
)
def away(context, changes, routes, slices, past):
    context.sizes = (routes, slices, past)
    context.play = MemberAway(changes, *context.sizes)


@then("it holds what the others hold after as many bytes as 2 Mbit/s carry in {part:g} of CatchUpS")
def has_caught_up(context, part):
    assert context.play.has_caught_up()
    assert context.play.bytes < part * Bounds().CatchUpS * LINE_RATE, context.play.bytes


@then("after {changes:d} changes it would have been within a tenth of that")
def by_value(context, changes):
    fewer = MemberAway(changes, *context.sizes).bytes
    assert abs(context.play.bytes - fewer) <= 0.1 * fewer, (context.play.bytes, fewer)


@then("that is more than 2 Mbit/s carry in CatchUpS")
def too_much(context):
    assert context.play.bytes > Bounds().CatchUpS * LINE_RATE, context.play.bytes
