from behave import given, then

from bramblewood.proxy.connection_quota import DRAW_PERIOD, idle_connection_quota


@given("{proxies:d} proxies and {workers:d} workers that accept {connections:d} connections each")
def proxies_and_workers(context, proxies, workers, connections):
    def quota(proxy, worker, now):
        return idle_connection_quota(connections, proxies, f"d{proxy}", f"w{worker}", now)

    context.quota, context.connections = quota, connections
    context.proxies, context.workers = range(proxies), range(workers)


@then(
    "they keep at most {limit:d} idle connections to any worker, and on average half of those that it accepts"
)
def idle_connections_per_worker(context, limit):
    kept = [sum(context.quota(proxy, worker, 0.0) for proxy in context.proxies) for worker in context.workers]
    assert max(kept) <= limit and abs(sum(kept) / len(kept) - context.connections / 2) < 1.5, kept


@then("every proxy may keep a connection to a given worker in at least one of {periods:d} successive periods")
def successive_draws(context, periods):
    for proxy in context.proxies:
        draws = [context.quota(proxy, 1, DRAW_PERIOD * number) for number in range(4 * periods)]
        assert all(any(draws[first : first + periods]) for first in range(3 * periods)), (proxy, draws)
