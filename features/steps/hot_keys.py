from collections import Counter

from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER, sorted_starts
from bramblewood.controller.hot_keys import HotKeys
from bramblewood.proxy.hot_key_queue import REJECTED_RATE_FACTOR, HotKeyQueue

REPORT_INTERVAL = 0.5  # s


@given("proxies d1 to d4 and workers that can do {throughput:g} requests a second")
def proxies(context, throughput):
    context.hot_keys, context.worker_throughput = HotKeys(), throughput


def report(context, rates):
    """One cycle of reports of requests a second by (key, proxy), as proxies count them: by key only where the
    range is watched.
    """
    range_counts, key_counts = Counter(), {}
    for (key, proxy), rate in rates.items():
        if context.hot_keys.is_watched(key):
            key_counts.setdefault(key, {})[proxy] = rate * REPORT_INTERVAL
        else:
            range_counts[key // KEYS_PER_RANGE] += rate * REPORT_INTERVAL
    context.hot_keys.record_cycle(range_counts, key_counts, REPORT_INTERVAL, context.worker_throughput)


def spread_evenly(key, rate):
    return {(key, f"d{i}"): rate / 4 for i in range(1, 5)}


@when("{count:d} reports state {rate:g} requests a second for key {key:d}")
def report_key(context, count, rate, key):
    for _ in range(count):
        report(context, spread_evenly(key, rate))


@when(
    "{count:d} reports state {rate:g} requests a second for one key of {first:d} to {last:d} after the other"
)
def report_wandering_load(context, count, rate, first, last):
    for i in range(count):
        report(context, spread_evenly(first + i % (last - first + 1), rate))


@when("{count:d} reports state {rate:g} requests a second for each of {keys:d} keys")
def report_warm_keys(context, count, rate, keys):
    rates = {one: share for i in range(keys) for one, share in spread_evenly(i * 97, rate).items()}
    for _ in range(count):
        report(context, rates)


@when(
    "{count:d} reports of d1 alone state {rate:g} requests a second for key {key:d}, "
    "and those of the others {rest:g}"
)
def report_too_much(context, count, rate, key, rest):
    for _ in range(count):
        report(context, {(key, "d1"): rate} | {(key, f"d{i}"): rest / 3 for i in (2, 3, 4)})


@then("its range is watched, and no key is hot")
def range_is_watched(context):
    assert context.hot_keys.status() == ((4001 // KEYS_PER_RANGE,), ())


@then("key {key:d} is hot")
def key_is_hot(context, key):
    assert context.hot_keys.status().hot_keys == (key,)


@then("no key is hot")
def no_key_is_hot(context):
    assert context.hot_keys.status().hot_keys == ()


@then("no key is hot, and at most {most:d} ranges are watched")
def few_ranges_are_watched(context, most):
    status = context.hot_keys.status()
    assert status.hot_keys == () and len(status.watched_ranges) <= most


@then("no range is watched")
def no_range_is_watched(context):
    assert context.hot_keys.status() == ((), ())


@when(
    "{reports:d} reports state {hot:g} requests a second for key {key:d}, "
    "{rest:g} on each other slice of its worker, which is full"
)
def report_full_worker(context, reports, hot, key, rest):
    play = context.play
    entries, worker = play.table["s"]["s"], play.owner(key)
    rates = {int(start) + 256: rest for start, entry in entries.items() if entry[WORKER] == worker}
    rates[key] = hot
    for _ in range(reports):
        play.run_cycle(rates, {play.owner(key)})
    context.rates = rates


@then("key {key:d} is a slice of its own, and its worker has no other slice that gets requests")
def key_is_alone(context, key):
    play, worker = context.play, context.play.owner(key)
    assert {key, key + 1} <= set(sorted_starts(play.table["s"]["s"]))
    others = [one for one in context.rates if one != key and play.owner(one) == worker]
    assert not others, others


@given("a gate that {rate:d} lookups a second come to, whose worker turned one away")
def hot_key_queue(context, rate):
    context.hot_key_queue, context.now, context.rate = HotKeyQueue(), 10.0, rate
    for i in range(3 * rate):
        context.hot_key_queue.record_arrival(context.now + i / rate)
    context.now += 3.0
    context.hot_key_queue.reduce_rate(context.now, REJECTED_RATE_FACTOR)


@then("it lets {rate:d} a second through")
def lets(context, rate):
    through = 0
    for i in range(2000):  # somebody looks each millisecond
        now = context.now + i / 1000
        if context.hot_key_queue.turn_at(now, f"r{i}", (1, now), now) == now:
            through += 1
            context.hot_key_queue.record_passage(now)
    context.now += 2.0
    assert abs(through - 2 * rate) <= 2, through


@then("an effect passes at once, and the next lookup goes so much later")
def effect(context):
    before = context.hot_key_queue.next_slot_at
    context.hot_key_queue.record_passage(context.now)
    assert context.hot_key_queue.next_slot_at > max(before, context.now)


@then("of two that wait the one of the higher rank goes first")
def ranks(context):
    low = context.hot_key_queue.turn_at(context.now, "low", (2, 1.0), context.now + 1)
    high = context.hot_key_queue.turn_at(context.now, "high", (0, 2.0), context.now + 1)
    again = context.hot_key_queue.turn_at(context.now, "low", (2, 1.0), context.now + 1)
    assert high <= low < again


@then("one whose turn would come too late is told so at once")
def late(context):
    assert context.hot_key_queue.turn_at(context.now, "late", (3, 3.0), context.now + 0.01) is None
    assert "late" not in context.hot_key_queue.waiting


@when("the worker has answered for {span:g} s with free slots")
def answered(context, span):
    for i in range(int(span * 10)):
        context.hot_key_queue.raise_rate(context.now + i / 10)


@then("it is open")
def is_open(context):
    assert not context.hot_key_queue.is_limiting
