from behave import given, then, when

from bramblewood.controller.outlier_detection import (
    OutlierDetection,
    PlannedEjection,
    ejected_workers,
    ejections_of,
    with_ejections,
)

CYCLE = 0.5  # s between two reports of a proxy
PROXIES = ("d1", "d2", "d3")


@given("ten workers, and three proxies that make {attempts:d} attempts at each worker per report")
def workers_and_proxies(context, attempts):
    context.instance_ids, context.attempts, context.now = [f"w{i}" for i in range(10)], attempts, 100.0
    context.outlier_detection, context.slice_table = OutlierDetection(), {"n": 1, "s": {}}


def run_cycle(context, failures, observing_proxies):
    """Record one report of each proxy, and apply the ejections that follow from it.

    failures: failed attempts at each observing proxy, by instance id. observing_proxies: the proxies that
    observe these failures.
    """
    context.now += CYCLE
    detection, ejected = context.outlier_detection, ejected_workers(context.slice_table)
    for instance_id in context.instance_ids:
        for proxy in PROXIES:
            if instance_id not in ejected:
                failed = failures.get(instance_id, 0) if proxy in observing_proxies else 0
                detection.record_attempts(proxy, instance_id, context.attempts, failed)
    services = {"s": context.instance_ids}
    outliers = detection.find_outliers(services)
    planned = detection.plan_ejections(context.now, context.slice_table, outliers, services)
    context.slice_table = (
        with_ejections(context.slice_table, planned, ejections_of(context.slice_table))[0]
        or context.slice_table
    )
    detection.record_table(context.now, context.slice_table)


@when("{names} fails {failures:d} of 4 attempts at {proxies} in {count:d} reports")
def worker_fails(context, names, failures, proxies, count):
    failing = context.instance_ids if names == "every worker" else [names]
    for _ in range(count):
        run_cycle(context, dict.fromkeys(failing, failures), proxies.split(" and "))


@when("w0, w1, w2 and w3 fail {failures:d} of 4 attempts at d1 and d2 in {count:d} reports")
def four_workers_fail(context, failures, count):
    for _ in range(count):
        run_cycle(context, dict.fromkeys(("w0", "w1", "w2", "w3"), failures), ("d1", "d2"))


@then("no worker is ejected")
def no_worker_is_ejected(context):
    assert ejected_workers(context.slice_table) == []


@then("two workers are ejected")
def two_workers_are_ejected(context):
    assert len(ejected_workers(context.slice_table)) == 2


@then("{instance_id} is ejected for {duration:g} s")
def worker_is_ejected(context, instance_id, duration):
    assert ejected_workers(context.slice_table) == [instance_id]
    ejected_at = context.now
    while ejected_workers(context.slice_table):
        run_cycle(context, {}, ())
    assert abs(context.now - ejected_at - duration) <= 2 * CYCLE, context.now - ejected_at


@given("a table in which w0 is ejected")
def table_with_ejection(context):
    context.slice_table = with_ejections({"n": 1, "s": {}}, {"w0": PlannedEjection(1, True)}, {})[0]


@when("one controller ejects w1, and then another ends the ejection of w0 on the basis of the earlier table")
def two_controllers_change_ejections(context):
    expected = ejections_of(context.slice_table)
    ejected, ended = PlannedEjection(1, True), PlannedEjection(1, False)
    for planned in ({"w0": ejected, "w1": ejected}, {"w0": ended}):
        context.slice_table = with_ejections(context.slice_table, planned, expected)[0] or context.slice_table


@then("w0 and w1 are ejected")
def both_workers_are_ejected(context):
    assert ejected_workers(context.slice_table) == ["w0", "w1"]
