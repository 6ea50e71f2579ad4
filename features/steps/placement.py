from behave import given, then, when

from bramblewood.catalogue.table import FINE, WORKER
from tests.placement_play import Play


@given("{workers:d} workers with their first table")
def first(context, workers):
    context.play = Play(3, workers)
    while context.play.table is None:
        context.play.cycle({})
    for _ in range(16):  # until no move of the first table counts as unseen
        context.play.cycle({})


@when(
    "{reports:d} reports tell of a worker that is full: {hot:d} requests a second on {keys:d} keys in a row, "
    "{rest:d} on each other slice of it"
)
def crowd(context, reports, hot, keys, rest):
    play = context.play
    entries, worker = play.table["s"]["s"], play.holder(8192)
    heat = {int(start) + 256: 0.0 for start, entry in entries.items() if entry[WORKER] != worker}
    heat |= {int(start) + 256: rest for start, entry in entries.items() if entry[WORKER] == worker}
    heat |= {8192 + i * FINE: hot * FINE / keys for i in range(keys // FINE)}
    context.began = play.now
    for _ in range(reports):
        play.cycle(heat, {worker})


@then("that slice was split by the third report")
def split(context):
    after = [at - context.began for at in context.play.splits]
    assert after and after[0] <= 3 * 0.5 + 0.01, after
