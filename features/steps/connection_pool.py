import asyncio
import types
from unittest import mock

from behave import given, then, when

from bramblewood.common import worker_connection
from bramblewood.proxy.connection_pool import ConnectionPool
from tests.simulation.proxy import ProxySimulation

NOW = 100.0  # s


@given("connections to a worker that are idle for {a:g} s, {b:g} s and {c:g} s")
def idle_connections(context, a, b, c):
    context.connection_pool = ConnectionPool()
    context.idle = [
        types.SimpleNamespace(
            is_reusable=True,
            number=0,
            idle_since=NOW - idle_time,
            reusable_until=NOW + 100.0,
            idle_time=idle_time,
        )
        for idle_time in sorted((a, b, c), reverse=True)
    ]


def acquired_idle_time(context, non_idempotent):
    """Return the idle time (s) of the acquired connection, or None if a new connection is opened."""
    context.connection_pool.idle["w"] = list(context.idle)
    try:
        context.connection_pool.acquire("w", "nowhere", NOW, non_idempotent).send(None)
    except StopIteration as returned:
        return returned.value.idle_time
    except RuntimeError:
        return None  # opening a connection fails, as no event loop is running
    raise AssertionError("acquire() neither returned an idle connection nor opened a new one")


@when("a connection that was idle for {idle_time:g} s is reset on use")
def reset_on_use(context, idle_time):
    context.connection_pool.record_dead_connection(NOW, idle_time)


@then(
    "an idempotent request takes the connection idle for {first:g} s, "
    "and the next request the one idle for {second:g} s"
)
def idempotent_requests(context, first, second):
    assert acquired_idle_time(context, non_idempotent=False) == first
    context.idle.pop()
    assert acquired_idle_time(context, non_idempotent=False) == second


@then(
    "a non-idempotent request takes no connection idle for more than {first:g} s, "
    "and {after:g} s later none idle for more than {second:g} s"
)
def non_idempotent_requests(context, first, after, second):
    assert abs(context.connection_pool.trusted_idle_time(NOW) - first) < 1e-9
    # the shortest idle time among the remaining connections is 0.3 s
    assert acquired_idle_time(context, non_idempotent=True) is None
    assert abs(context.connection_pool.trusted_idle_time(NOW + after) - second) < 1e-9


@when("a request is cancelled once its worker has accepted the connection")
def cancelled_while_connecting(context):
    async def run():
        simulation = ProxySimulation()
        await simulation.start(context.scripts)
        worker, pool = simulation.workers["w1"], simulation.proxy.connection_pool
        acquiring = asyncio.ensure_future(pool.acquire("w1", worker.address, NOW, False))
        async with asyncio.timeout(2):
            while not worker.open_connections:
                await asyncio.sleep(0)
            acquiring.cancel()
            await asyncio.wait([acquiring])
            for _ in range(100):  # until the worker reads the end of the connection
                await asyncio.sleep(0.001)
        context.result = acquiring.cancelled(), worker.open_connections, dict(pool.idle)
        await simulation.end()

    with mock.patch.multiple(worker_connection, MIN_RESET_WATCH=1.0, MAX_RESET_WATCH=1.0):
        asyncio.run(run())


@then("the connection is closed and not kept in the pool")
def closed_and_not_kept(context):
    assert context.result == (True, 0, {"w1": []}), context.result
