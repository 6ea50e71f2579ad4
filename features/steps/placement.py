from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER
from tests.simulation.placement import CYCLE, Play


@given("{workers:d} workers with their first table")
def first_table(context, workers):
    context.play = Play(3, workers)
    while context.play.table is None:
        context.play.run_cycle({})
    for _ in range(16):  # until no move of the first table counts as unseen
        context.play.run_cycle({})


@when(
    "{reports:d} reports state of a worker that is full {hot:d} requests a second on {keys:d} keys in a row, "
    "{rest:d} on each other slice of it"
)
def report_full_worker(context, reports, hot, keys, rest):
    play = context.play
    entries, worker = play.table["s"]["s"], play.owner(8192)
    rates = {int(start) + 256: 0.0 for start, entry in entries.items() if entry[WORKER] != worker}
    rates |= {int(start) + 256: rest for start, entry in entries.items() if entry[WORKER] == worker}
    rates |= {8192 + i * KEYS_PER_RANGE: hot * KEYS_PER_RANGE / keys for i in range(keys // KEYS_PER_RANGE)}
    context.reported_from = play.now
    for _ in range(reports):
        play.run_cycle(rates, {worker})


@then("that slice was split by the third report")
def slice_was_split(context):
    delays = [at - context.reported_from for at in context.play.split_times]
    assert delays and delays[0] <= 3 * CYCLE + 0.01, delays
