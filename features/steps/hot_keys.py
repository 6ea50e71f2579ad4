from collections import Counter

from behave import given, then, when

from bramblewood.common.slice_table import KEYS_PER_RANGE, WORKER, sorted_first_keys
from bramblewood.controller.hot_keys import HotKeys
from bramblewood.proxy.hot_key_queue import REJECTED_RATE_FACTOR, HotKeyQueue

REPORT_INTERVAL = 0.5  # s between two reports of a proxy
KEY_OFFSET = 256  # from the first key of a slice to a key in its middle; slices have 512 keys


@given("proxies d1 to d4, and workers that each serve {throughput:g} requests per second")
def proxies_and_workers(context, throughput):
    context.hot_keys, context.worker_throughput = HotKeys(), throughput


def report(context, rates):
    """Record one cycle of reports as proxies count them: by key in watched ranges, by range elsewhere.

    rates: requests per second, by (key, proxy).
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


@when("{count:d} reports contain {rate:g} requests per second for key {key:d}")
def report_key(context, count, rate, key):
    for _ in range(count):
        report(context, spread_evenly(key, rate))


@when(
    "{count:d} reports contain {rate:g} requests per second for one of the keys {first:d} to {last:d} in turn"
)
def report_moving_load(context, count, rate, first, last):
    for i in range(count):
        report(context, spread_evenly(first + i % (last - first + 1), rate))


@when("{count:d} reports contain {rate:g} requests per second for each of {keys:d} keys")
def report_many_keys(context, count, rate, keys):
    rates = {
        key_and_proxy: proxy_rate
        for i in range(keys)
        for key_and_proxy, proxy_rate in spread_evenly(i * 97, rate).items()
    }
    for _ in range(count):
        report(context, rates)


@when(
    "{count:d} reports contain {rate:g} requests per second for key {key:d} from d1, "
    "and {others_rate:g} from the other proxies together"
)
def report_high_rate_from_one_proxy(context, count, rate, key, others_rate):
    for _ in range(count):
        report(context, {(key, "d1"): rate} | {(key, f"d{i}"): others_rate / 3 for i in (2, 3, 4)})


@then("the range of key 4001 is watched, and no key is hot")
def range_is_watched(context):
    assert context.hot_keys.status() == ((4001 // KEYS_PER_RANGE,), ())


@then("key {key:d} is hot")
def key_is_hot(context, key):
    assert context.hot_keys.status().hot_keys == (key,)


@then("no key is hot")
def no_key_is_hot(context):
    assert context.hot_keys.status().hot_keys == ()


@then("no key is hot, and at most {limit:d} ranges are watched")
def few_ranges_are_watched(context, limit):
    status = context.hot_keys.status()
    assert status.hot_keys == () and len(status.watched_ranges) <= limit


@then("no range is watched")
def no_range_is_watched(context):
    assert context.hot_keys.status() == ((), ())


@when(
    "{count:d} reports state {hot_rate:g} requests a second for key {key:d}, "
    "{other_rate:g} on each other slice of its worker, which is full"
)
def report_full_worker_with_hot_key(context, count, hot_rate, key, other_rate):
    simulation = context.play
    rows, worker = simulation.table["s"]["s"], simulation.owner(key)
    rates = {int(start) + KEY_OFFSET: other_rate for start, row in rows.items() if row[WORKER] == worker}
    rates[key] = hot_rate
    for _ in range(count):
        simulation.run_cycle(rates, {simulation.owner(key)})
    context.rates = rates


@then("key {key:d} has a slice of its own, and its worker has no other slice that receives requests")
def key_is_isolated(context, key):
    simulation, worker = context.play, context.play.owner(key)
    assert {key, key + 1} <= set(sorted_first_keys(simulation.table["s"]["s"]))
    other_keys = [other for other in context.rates if other != key and simulation.owner(other) == worker]
    assert not other_keys, other_keys


@given("a rate limit for a worker that receives {rate:d} requests per second and has rejected one")
def rate_limit(context, rate):
    context.hot_key_queue, context.now, context.rate = HotKeyQueue(), 10.0, rate
    for i in range(3 * rate):
        context.hot_key_queue.record_arrival(context.now + i / rate)
    context.now += 3.0
    context.hot_key_queue.reduce_rate(context.now, REJECTED_RATE_FACTOR)


@then("{rate:d} idempotent requests per second are sent")
def idempotent_requests_are_sent(context, rate):
    sent_count = 0
    for i in range(2000):  # the queue is polled once per millisecond
        now = context.now + i / 1000
        if context.hot_key_queue.send_time(now, f"r{i}", (1, now), now) == now:
            sent_count += 1
            context.hot_key_queue.record_sent(now)
    context.now += 2.0
    assert abs(sent_count - 2 * rate) <= 2, sent_count


@then("a non-idempotent request is sent at once, and delays the next idempotent request")
def non_idempotent_request_is_sent(context):
    before = context.hot_key_queue.next_send_at
    context.hot_key_queue.record_sent(context.now)
    assert context.hot_key_queue.next_send_at > max(before, context.now)


@then("of two waiting requests, the one with the higher priority is sent first")
def higher_priority_is_first(context):
    low = context.hot_key_queue.send_time(context.now, "low", (2, 1.0), context.now + 1)
    high = context.hot_key_queue.send_time(context.now, "high", (0, 2.0), context.now + 1)
    low_again = context.hot_key_queue.send_time(context.now, "low", (2, 1.0), context.now + 1)
    assert high <= low < low_again


@then("a request whose turn would come too late is refused at once")
def late_request_is_refused(context):
    assert context.hot_key_queue.send_time(context.now, "late", (3, 3.0), context.now + 0.01) is None
    assert "late" not in context.hot_key_queue.waiting


@when("the worker has answered for {duration:g} s with free slots")
def worker_answers(context, duration):
    for i in range(int(duration * 10)):
        context.hot_key_queue.raise_rate(context.now + i / 10)


@then("the rate limit is lifted")
def rate_limit_is_lifted(context):
    assert not context.hot_key_queue.is_limiting
