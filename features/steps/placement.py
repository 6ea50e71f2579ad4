from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER
from bramblewood.common.worker_registry import WorkerRegistration
from bramblewood.controller.zone_affinity import ZoneAffinity
from bramblewood.proxy.load_balancing import LoadBalancer
from tests.simulation.placement import Play


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
    heat |= {8192 + i * KEYS_PER_RANGE: hot * KEYS_PER_RANGE / keys for i in range(keys // KEYS_PER_RANGE)}
    context.began = play.now
    for _ in range(reports):
        play.cycle(heat, {worker})


@then("that slice was split by the third report")
def split(context):
    after = [at - context.began for at in context.play.splits]
    assert after and after[0] <= 3 * 0.5 + 0.01, after


@given("workers in zones a and b, busy {a:g} and {b:g}")
def zones(context, a, b):
    context.zone_affinity, context.busy = ZoneAffinity(), [("a", 2, a), ("a", 2, a), ("b", 2, b)]


@when("they are busy {a:g} and {b:g}")
def busier(context, a, b):
    context.busy = [("a", 2, a), ("a", 2, a), ("b", 2, b)]


@then("after {cycles:d} cycles all of a's requests stay")
def stay(context, cycles):
    for _ in range(cycles):
        context.zone_affinity.adjust(context.busy)
    assert context.zone_affinity.local_shares["a"] == 1.0


@then("after {cycles:d} cycles {part:g} of a's requests stay, and all of b's")
def fewer(context, cycles, part):
    for _ in range(cycles):
        context.zone_affinity.adjust(context.busy)
    assert context.zone_affinity.local_shares == {"a": part, "b": 1.0}


@given("a desk of zone a, of whose requests {part:g} are to stay, with workers in a and b")
def near(context, part):
    context.proxy = LoadBalancer(2.5, "a")
    context.proxy.near = {"s": part}
    for name, zone in (("w1", "a"), ("w2", "a"), ("w3", "b"), ("w4", "b")):
        context.proxy.registry.merge(0.0, name, WorkerRegistration("s", f"{name}:1", zone, 2, "ready", 1))
    names = ("w1", "w2", "w3", "w4")
    entries = {str(i * 8192): [names[i % 4], "", 0.01, 1, "", ""] for i in range(8)}
    context.proxy.take_table({"n": 1, "s": {"s": entries}})
    context.now = 10.0


@when("the workers of a drain")
def drain(context):
    context.now += 1.0
    for name in ("w1", "w2"):
        context.proxy.registry.merge(
            context.now, name, WorkerRegistration("s", f"{name}:1", "a", 2, "draining", 2)
        )


@then("of {count:d} requests {part} to workers of a")
def go(context, count, part):
    chosen = [context.proxy.choose(context.now, "s", None, f"request {i}", set()) for i in range(count)]
    here = sum(instance_id in ("w1", "w2") for instance_id in chosen)
    if part.startswith("none"):
        assert here == 0, here
    else:
        assert abs(here / count - 0.75) < 0.06, here
