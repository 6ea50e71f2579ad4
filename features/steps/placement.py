from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER
from tests.simulation.placement import CYCLE, PlacementSimulation

HOT_SLICE_START = 8192  # with 18 workers, the table has 128 slices of 512 keys
KEY_OFFSET = 256  # of a key in the middle of its slice
SETTLING_CYCLES = 16  # until the reports cover all moves of the first table


@given("a service with {workers:d} workers and its first slice table")
def first_table(context, workers):
    context.simulation = PlacementSimulation(3, workers)
    while context.simulation.table is None:
        context.simulation.run_cycle({})
    for _ in range(SETTLING_CYCLES):
        context.simulation.run_cycle({})


@when(
    "a full worker receives {hot:d} requests per second on {keys:d} adjacent keys of a slice "
    "and {rest:d} on each of its other slices, in {reports:d} reports"
)
def report_full_worker_with_hot_slice(context, reports, hot, keys, rest):
    simulation = context.simulation
    rows, worker = simulation.table["s"]["s"], simulation.owner(HOT_SLICE_START)
    rates = {int(start) + KEY_OFFSET: 0.0 for start, row in rows.items() if row[WORKER] != worker}
    rates |= {int(start) + KEY_OFFSET: rest for start, row in rows.items() if row[WORKER] == worker}
    rates |= {
        HOT_SLICE_START + i * KEYS_PER_RANGE: hot * KEYS_PER_RANGE / keys
        for i in range(keys // KEYS_PER_RANGE)
    }
    context.reported_from = simulation.now
    for _ in range(reports):
        simulation.run_cycle(rates, {worker})


@then("the slice is split by the third report")
def slice_is_split(context):
    delays = [at - context.reported_from for at in context.simulation.split_times]
    assert delays and delays[0] <= 3 * CYCLE + 0.01, delays
