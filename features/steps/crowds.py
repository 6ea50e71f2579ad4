from collections import Counter

from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER, starts_of
from bramblewood.controller.hot_keys import HotKeys
from bramblewood.proxy.hot_key_queue import TURNED, HotKeyQueue

OVER = 0.5  # s of a report


@given("desks d1 to d4 and workers that can do {ability:g} requests a second")
def proxies(context, ability):
    context.hot_keys, context.ability = HotKeys(), ability


def report(context, rates):
    """One report: requests a second by key and desk, told as desks do, by key only where the range is
    watched.
    """
    came, by_key = Counter(), {}
    for (key, proxy), rate in rates.items():
        if key // KEYS_PER_RANGE in context.hot_keys.ranges.since:
            by_key.setdefault(key, {})[proxy] = rate * OVER
        else:
            came[key // KEYS_PER_RANGE] += rate * OVER
    context.hot_keys.record_cycle(came, by_key, OVER, context.ability)


def even(key, rate):
    return {(key, f"d{i}"): rate / 4 for i in range(1, 5)}


@when("{count:d} reports tell of {rate:g} a second for key {key:d}")
def tell(context, count, rate, key):
    for _ in range(count):
        report(context, even(key, rate))


@when("{count:d} reports tell of {rate:g} a second for one key of {first:d} to {last:d} after the other")
def wander(context, count, rate, first, last):
    for i in range(count):
        report(context, even(first + i % (last - first + 1), rate))


@when("{count:d} reports tell of {rate:g} a second for each of {keys:d} keys")
def warm(context, count, rate, keys):
    for _ in range(count):
        report(context, {k: v for i in range(keys) for k, v in even(i * 97, rate).items()})


@when("{count:d} reports of d1 alone tell of {rate:g} a second for key {key:d}, and the others of {rest:g}")
def lie(context, count, rate, key, rest):
    for _ in range(count):
        report(context, {(key, "d1"): rate} | {(key, f"d{i}"): rest / 3 for i in (2, 3, 4)})


@then("its range is watched, and nothing is crowded")
def watched(context):
    assert context.hot_keys.notice() == ((4001 // KEYS_PER_RANGE,), ())


@then("{key:d} is crowded")
def crowded(context, key):
    assert context.hot_keys.notice().keys == (key,)


@then("nothing is crowded")
def calm(context):
    assert context.hot_keys.notice().keys == ()


@then("nothing is crowded, and at most {most:d} ranges are watched")
def few(context, most):
    assert context.hot_keys.notice().keys == () and len(context.hot_keys.notice().watched_ranges) <= most


@then("nothing is watched")
def none(context):
    assert context.hot_keys.notice() == ((), ())


@when(
    "{reports:d} reports tell of {hot:g} requests a second for key {key:d}, "
    "{rest:g} on each other slice of its worker, which is full"
)
def crowd(context, reports, hot, key, rest):
    play = context.play
    entries, worker = play.table["s"]["s"], play.holder(key)
    heat = {int(start) + 256: rest for start, entry in entries.items() if entry[WORKER] == worker}
    heat[key] = hot
    for _ in range(reports):
        play.cycle(heat, {play.holder(key)})
    context.heat = heat


@then("key {key:d} is a slice of its own, and its worker has no other slice that is asked for")
def own(context, key):
    play, worker = context.play, context.play.holder(key)
    assert {key, key + 1} <= set(starts_of(play.table["s"]["s"]))
    others = [one for one in context.heat if one != key and play.holder(one) == worker]
    assert not others, others


@given("a gate that {rate:d} lookups a second come to, whose worker turned one away")
def hot_key_queue(context, rate):
    context.hot_key_queue, context.now, context.rate = HotKeyQueue(), 10.0, rate
    for i in range(3 * rate):
        context.hot_key_queue.came(context.now + i / rate)
    context.now += 3.0
    context.hot_key_queue.slower(context.now, TURNED)


@then("it lets {rate:d} a second through")
def lets(context, rate):
    through = 0
    for i in range(2000):  # somebody looks each millisecond
        now = context.now + i / 1000
        if context.hot_key_queue.turn(now, f"r{i}", (1, now), now) == now:
            through += 1
            context.hot_key_queue.went(now)
    context.now += 2.0
    assert abs(through - 2 * rate) <= 2, through


@then("an effect passes at once, and the next lookup goes so much later")
def effect(context):
    before = context.hot_key_queue.next_at
    context.hot_key_queue.went(context.now)
    assert context.hot_key_queue.next_at > max(before, context.now)


@then("of two that wait the one of the higher rank goes first")
def ranks(context):
    low = context.hot_key_queue.turn(context.now, "low", (2, 1.0), context.now + 1)
    high = context.hot_key_queue.turn(context.now, "high", (0, 2.0), context.now + 1)
    again = context.hot_key_queue.turn(context.now, "low", (2, 1.0), context.now + 1)
    assert high <= low < again


@then("one whose turn would come too late is told so at once")
def late(context):
    assert context.hot_key_queue.turn(context.now, "late", (3, 3.0), context.now + 0.01) is None
    assert "late" not in context.hot_key_queue.waiting


@when("the worker has answered for {span:g} s with free slots")
def answered(context, span):
    for i in range(int(span * 10)):
        context.hot_key_queue.faster(context.now + i / 10)


@then("it is open")
def is_open(context):
    assert not context.hot_key_queue.closed
