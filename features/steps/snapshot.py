from behave import given, then

from bramblewood.catalogue.bootfile import Bounds
from tests.snapshot_play import RATE, Away


@given(
    "a member that was away for {changes:d} changes,"
    " amid {routes:d} routes, {slices:d} slices and {past:d} past versions"
)
def away(context, changes, routes, slices, past):
    context.sizes = (routes, slices, past)
    context.play = Away(changes, *context.sizes)


def takes(context):
    """Seconds that the bytes to it take, once its links are up."""
    return context.play.bytes / RATE


@then("it holds what the others hold after as many bytes as 2 Mbit/s carry in CatchUpS")
def current(context, part=1.0):
    assert context.play.current()
    assert takes(context) < part * Bounds().CatchUpS, takes(context)


@then("it holds what the others hold after as many bytes as 2 Mbit/s carry in half of CatchUpS")
def in_half(context):
    current(context, 0.5)


@then("after {changes:d} changes it would have been within a tenth of that")
def by_value(context, changes):
    fewer = Away(changes, *context.sizes).bytes
    assert abs(context.play.bytes - fewer) <= 0.1 * fewer, (context.play.bytes, fewer)


@then("that is more than 2 Mbit/s carry in CatchUpS")
def too_much(context):
    assert takes(context) > Bounds().CatchUpS, takes(context)
