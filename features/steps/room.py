import types

from behave import given, then, when

from bramblewood.proxy.connection_pool import ConnectionPool
from bramblewood.proxy.connection_quota import LOTTERY_PERIOD, idle_connection_quota

NOW = 100.0


@given("connections kept to a worker that rested {a:g} s, {b:g} s and {c:g} s")
def kept(context, a, b, c):
    context.connection_pool = ConnectionPool()
    context.kept = [
        types.SimpleNamespace(
            is_reusable=True, number=0, idle_since=NOW - rest, reusable_until=NOW + 100.0, rest=rest
        )
        for rest in sorted((a, b, c), reverse=True)
    ]


def acquire_idle_time(context, now, once):
    """The rest of the connection that is lent, or None where a new one is dialled."""
    context.connection_pool.idle["w"] = list(context.kept)
    try:
        context.connection_pool.acquire("w", "nowhere", now, once).send(None)
    except StopIteration as ended:
        return ended.value.rest
    except RuntimeError:
        return None  # it dials, and there is no loop here
    raise AssertionError("it waits")


@when("one that rested {rest:g} s was reset as soon as it was used")
def reset(context, rest):
    context.connection_pool.record_dead_connection(NOW, rest)


@then("what may repeat takes the one that rested {first:g} s, then {second:g} s")
def repeat(context, first, second):
    assert acquire_idle_time(context, NOW, False) == first
    context.kept.pop()
    assert acquire_idle_time(context, NOW, False) == second


@then("what may not repeat takes none that rested over {first:g} s for {after:g} s, then over {second:g} s")
def once(context, first, after, second):
    assert abs(context.connection_pool.trusted_idle_time(NOW) - first) < 1e-9
    assert acquire_idle_time(context, NOW, True) is None  # 0.3 s is the one that rested least by now
    assert abs(context.connection_pool.trusted_idle_time(NOW + after) - second) < 1e-9


@given("{proxies:d} desks and {workers:d} workers of {connections:d} connections each")
def fleet(context, proxies, workers, connections):
    context.idle_connection_quota = lambda proxy, worker, now: idle_connection_quota(
        connections, proxies, f"d{proxy}", f"w{worker}", now
    )
    context.proxies, context.workers = range(proxies), range(workers)


@then("at no worker they keep over {most:d} connections, and on the mean about half of the room")
def share(context, most):
    sums = [
        sum(context.idle_connection_quota(proxy, worker, 0.0) for proxy in context.proxies)
        for worker in context.workers
    ]
    assert max(sums) <= most and abs(sum(sums) / len(sums) - 57 / 2) < 1.5, sums


@then("no desk is without a connection to the same worker for {turns:d} turns")
def turn(context, turns):
    for proxy in context.proxies:
        lots = [context.idle_connection_quota(proxy, 1, LOTTERY_PERIOD * k) for k in range(4 * turns)]
        assert all(any(lots[k : k + turns]) for k in range(3 * turns)), (proxy, lots)
