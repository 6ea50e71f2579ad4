from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER
from tests.simulation.placement import CYCLE, PlacementSimulation

HOT_SLICE_START = 8192  # with 18 workers, the table has 128 slices of 512 keys
KEY_OFFSET = 256  # from the first key of a slice to a key in its middle
SETTLING_CYCLES = 16  # cycles after which the reports cover all moves that follow the first table


@given("{workers:d} workers with their first table")
def first_table(context, workers):
    context.play = PlacementSimulation(3, workers)
    while context.play.table is None:
        context.play.run_cycle({})
    for _ in range(SETTLING_CYCLES):
        context.play.run_cycle({})


@when(
    "a worker without a free slot receives {hot_rate:d} requests per second on {key_count:d} adjacent keys "
    "of one slice and {other_rate:d} on each of its other slices, in {count:d} reports"
)
def report_full_worker_with_hot_slice(context, count, hot_rate, key_count, other_rate):
    simulation = context.play
    rows, worker = simulation.table["s"]["s"], simulation.owner(HOT_SLICE_START)
    rates = {int(start) + KEY_OFFSET: 0.0 for start, row in rows.items() if row[WORKER] != worker}
    rates |= {int(start) + KEY_OFFSET: other_rate for start, row in rows.items() if row[WORKER] == worker}
    rates |= {
        HOT_SLICE_START + i * KEYS_PER_RANGE: hot_rate * KEYS_PER_RANGE / key_count
        for i in range(key_count // KEYS_PER_RANGE)
    }
    context.reported_from = simulation.now
    for _ in range(count):
        simulation.run_cycle(rates, {worker})


@then("the slice is split by the third report")
def slice_is_split(context):
    delays = [at - context.reported_from for at in context.play.split_times]
    assert delays and delays[0] <= 3 * CYCLE + 0.01, delays
