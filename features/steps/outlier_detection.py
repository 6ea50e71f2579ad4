from behave import given, then, when

from bramblewood.controller.outlier_detection import (
    OutlierDetection,
    PlannedEjection,
    ejected_workers,
    ejections_of,
    with_ejections,
)

CYCLE = 0.5  # s
PROXIES = ("d1", "d2", "d3")


@given("ten workers, and proxies that make {attempts:d} attempts each in a report")
def workers(context, attempts):
    context.instance_ids, context.attempts, context.now = [f"w{i}" for i in range(10)], attempts, 100.0
    context.outlier_detection, context.value = OutlierDetection(), {"n": 1, "s": {}}


def run_cycle(context, failures, failing_proxies):
    """One report of each proxy: so many attempts at some workers fail, at some proxies."""
    context.now += CYCLE
    detection, ejected = context.outlier_detection, ejected_workers(context.value)
    for instance_id in context.instance_ids:
        for proxy in PROXIES:
            if instance_id not in ejected:
                failed = failures.get(instance_id, 0) if proxy in failing_proxies else 0
                detection.record_attempts(proxy, instance_id, context.attempts, failed)
    services = {"s": context.instance_ids}
    outliers = detection.find_outliers(services)
    wanted = detection.plan_ejections(context.now, context.value, outliers, services)
    context.value = with_ejections(context.value, wanted, ejections_of(context.value))[0] or context.value
    detection.record_table(context.now, context.value)


@when("{names} fails {failures:d} of 4 at {proxies} for {count:d} reports")
def worker_fails(context, names, failures, proxies, count):
    failing = context.instance_ids if names == "every worker" else [names]
    for _ in range(count):
        run_cycle(context, dict.fromkeys(failing, failures), proxies.split(" and "))


@when("w0, w1, w2 and w3 fail {failures:d} of 4 at d1 and d2 for {count:d} reports")
def four_workers_fail(context, failures, count):
    for _ in range(count):
        run_cycle(context, dict.fromkeys(("w0", "w1", "w2", "w3"), failures), ("d1", "d2"))


@then("no worker is ejected")
def no_worker_is_ejected(context):
    assert ejected_workers(context.value) == []


@then("two workers are ejected")
def two_workers_are_ejected(context):
    assert len(ejected_workers(context.value)) == 2


@then("{instance_id} is ejected, and for {duration:g} s")
def worker_is_ejected(context, instance_id, duration):
    assert ejected_workers(context.value) == [instance_id]
    ejected_from = context.now
    while ejected_workers(context.value):
        run_cycle(context, {}, ())
    assert abs(context.now - ejected_from - duration) <= 2 * CYCLE, context.now - ejected_from


@given("a table in which w0 is ejected")
def one_worker_is_ejected(context):
    context.value = with_ejections({"n": 1, "s": {}}, {"w0": PlannedEjection(1, True)}, {})[0]


@when("one controller ejects w1 too, and another, which missed that, takes w0 back")
def two_controllers_decide(context):
    seen = ejections_of(context.value)
    ejected, back = PlannedEjection(1, True), PlannedEjection(1, False)
    for wanted in ({"w0": ejected, "w1": ejected}, {"w0": back}):
        context.value = with_ejections(context.value, wanted, seen)[0] or context.value


@then("w0 and w1 are ejected")
def both_workers_are_ejected(context):
    assert ejected_workers(context.value) == ["w0", "w1"]
