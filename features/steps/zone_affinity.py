from behave import given, then, when

from bramblewood.common.messages import TableUpdate
from bramblewood.common.worker_registry import WorkerRegistration
from bramblewood.controller.zone_affinity import WorkerUtilization, ZoneAffinity
from bramblewood.proxy.load_balancing import LoadBalancer

SLOTS = 2  # of each worker


@given("two workers in zone a and one in zone b, with utilization {a:g} in a and {b:g} in b")
def workers_in_zones(context, a, b):
    context.zone_affinity = ZoneAffinity()
    set_utilization(context, a, b)


@when("the utilization is {a:g} in a and {b:g} in b")
def set_utilization(context, a, b):
    context.utilizations = [
        WorkerUtilization("a", SLOTS, a),
        WorkerUtilization("a", SLOTS, a),
        WorkerUtilization("b", SLOTS, b),
    ]


@then("after {cycles:d} cycles, all requests of zone a stay in it")
def all_requests_stay(context, cycles):
    for _ in range(cycles):
        context.zone_affinity.adjust(context.utilizations)
    assert context.zone_affinity.local_fractions["a"] == 1.0


@then("after {cycles:d} cycles, the fraction of requests that stay is {fraction:g} in a and 1 in b")
def some_requests_stay(context, cycles, fraction):
    for _ in range(cycles):
        context.zone_affinity.adjust(context.utilizations)
    assert context.zone_affinity.local_fractions == {"a": fraction, "b": 1.0}


@given(
    "a proxy in zone a that keeps {fraction:g} of its requests local, "
    "and two workers in each of the zones a and b"
)
def proxy_in_zone(context, fraction):
    context.load_balancer = LoadBalancer(2.5, "a")
    context.load_balancer.local_fractions = {"s": fraction}
    for name, zone in (("w1", "a"), ("w2", "a"), ("w3", "b"), ("w4", "b")):
        context.load_balancer.registry.record(
            0.0, name, WorkerRegistration("s", f"{name}:1", zone, 2, "ready", 1)
        )
    names = ("w1", "w2", "w3", "w4")
    rows = {str(i * 8192): [names[i % 4], "", 0.01, 1, "", ""] for i in range(8)}
    context.load_balancer.slices.apply(TableUpdate(1, {"s": rows}))
    context.now = 10.0


@when("the workers in zone a drain")
def workers_drain(context):
    context.now += 1.0
    for name in ("w1", "w2"):
        context.load_balancer.registry.record(
            context.now, name, WorkerRegistration("s", f"{name}:1", "a", 2, "draining", 2)
        )


@then("of {count:d} requests, {expected} to workers in zone a")
def requests_go_to_zone(context, count, expected):
    chosen = [
        context.load_balancer.choose_worker(context.now, "s", None, f"request {i}", set())
        for i in range(count)
    ]
    local = sum(instance_id in ("w1", "w2") for instance_id in chosen)
    if expected.startswith("none"):
        assert local == 0, local
    else:
        # half of the requests stay in the zone, and half of the others go there as well
        assert abs(local / count - 0.75) < 0.06, local
