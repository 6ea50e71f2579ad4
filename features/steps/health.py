from behave import given, then, when

from bramblewood.controller.outlier_detection import (
    OutlierDetection,
    ejected_workers,
    ejections_of,
    with_ejections,
)

CYCLE = 0.5  # s


@given("ten workers, and desks that try each {tries:d} times a report")
def workers(context, tries):
    context.instance_ids, context.tries, context.now = [f"w{i}" for i in range(10)], tries, 100.0
    context.outlier_detection, context.value = OutlierDetection(), {"n": 1, "s": {}}


def cycle(context, bad, proxies):
    """One report: so many of the tries of some workers go wrong at some desks."""
    context.now += CYCLE
    out = ejected_workers(context.value)
    for instance_id in context.instance_ids:
        for proxy in ("d1", "d2", "d3"):
            if instance_id not in out:
                context.outlier_detection.record_attempts(
                    proxy, instance_id, context.tries, bad.get(instance_id, 0) if proxy in proxies else 0
                )
    ill = context.outlier_detection.find_outliers({"s": context.instance_ids})
    told = context.outlier_detection.plan_ejections(
        context.now, context.value, ill, {"s": context.instance_ids}
    )
    context.value = with_ejections(context.value, told, ejections_of(context.value))[0] or context.value
    context.outlier_detection.record_table(context.now, context.value)


@when("{names} fails {bad:d} of 4 at {proxies} for {count:d} reports")
def fails(context, names, bad, proxies, count):
    some = context.instance_ids if names == "every worker" else [names]
    for _ in range(count):
        cycle(context, dict.fromkeys(some, bad), proxies.split(" and "))


@when("w0, w1, w2 and w3 fail {bad:d} of 4 at d1 and d2 for {count:d} reports")
def many(context, bad, count):
    for _ in range(count):
        cycle(context, dict.fromkeys(("w0", "w1", "w2", "w3"), bad), ("d1", "d2"))


@then("nobody is out")
def nobody(context):
    assert ejected_workers(context.value) == []


@then("two are out")
def two(context):
    assert len(ejected_workers(context.value)) == 2


@then("{instance_id} is out, and for {span:g} s")
def out(context, instance_id, span):
    assert ejected_workers(context.value) == [instance_id]
    began = context.now
    while ejected_workers(context.value):
        cycle(context, {}, ())
    assert abs(context.now - began - span) <= 2 * CYCLE, context.now - began


@given("a table in which w0 is out")
def one_out(context):
    context.value = with_ejections({"n": 1, "s": {}}, {"w0": [1, True]}, {})[0]


@when("one archive judges that w1 is out too, and another, which missed that, that w0 may serve again")
def two_judge(context):
    seen = ejections_of(context.value)
    for told in ({"w0": [1, True], "w1": [1, True]}, {"w0": [1, False]}):
        context.value = with_ejections(context.value, told, seen)[0] or context.value


@then("w0 and w1 are out")
def both_out(context):
    assert ejected_workers(context.value) == ["w0", "w1"]
