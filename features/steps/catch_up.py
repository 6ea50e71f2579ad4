from behave import given, then

from bramblewood.common.settings import Bounds
from tests.simulation.catch_up import LINK_RATE, CatchUpAfterStop


@given(
    "a voter that missed {changes:d} changes with"
    " {routes:d} routes, {slices:d} slices and {past_revisions:d} past revisions"
)
def run_catch_up(context, changes, routes, slices, past_revisions):
    context.sizes = (routes, slices, past_revisions)
    context.simulation = CatchUpAfterStop(changes, *context.sizes)


@then("it has caught up with fewer bytes than 2 Mbit/s transfer in {fraction:g} of CatchUpS")
def assert_caught_up_in_time(context, fraction):
    assert context.simulation.has_caught_up()
    assert context.simulation.bytes_received < fraction * Bounds().CatchUpS * LINK_RATE, (
        context.simulation.bytes_received
    )


@then("a voter that missed {changes:d} changes receives a number of bytes that differs by at most a tenth")
def assert_bytes_independent_of_changes(context, changes):
    expected = CatchUpAfterStop(changes, *context.sizes).bytes_received
    assert abs(context.simulation.bytes_received - expected) <= 0.1 * expected, (
        context.simulation.bytes_received,
        expected,
    )


@then("it receives more bytes than 2 Mbit/s transfer in CatchUpS")
def assert_too_many_bytes(context):
    assert context.simulation.bytes_received > Bounds().CatchUpS * LINK_RATE, (
        context.simulation.bytes_received
    )
