import asyncio
import zlib
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from bramblewood.common.messages import TableUpdate
from bramblewood.common.slice_table import KEY_SPACE_SIZE
from bramblewood.common.worker_registry import WorkerRegistration
from bramblewood.proxy import server
from bramblewood.proxy.load_balancing import LoadBalancer
from tests.simulation.proxy import ProxySimulation

HEALTH_CHECK = SimpleNamespace(path="/bramblewood/readiness")


def register(context, name, now, phase, call_sequence):
    registration = WorkerRegistration("s", f"{name}:1", "z", 2, phase, call_sequence)
    context.load_balancer.registry.record(now, name, registration)


@given("a service of w1 and w2, {key_ownership}")
def service(context, key_ownership):
    context.load_balancer, context.keyed = LoadBalancer(2.5), key_ownership.startswith("with keys")
    for name in ("w1", "w2"):
        register(context, name, 0.0, "ready", 1)
    second_worker = "" if context.keyed else "w2"
    context.entries = {str(number * 8192): ["w1", second_worker, 0.01, 1, "", ""] for number in range(8)}
    context.load_balancer.slices.apply(TableUpdate(1, {"s": context.entries}))


@when("{name} is registered as draining at {now:g} s")
def registered_as_draining(context, name, now):
    register(context, name, now, "draining", 5)


@when("{name} is registered as ready at {now:g} s by a delayed earlier heartbeat")
def registered_by_delayed_heartbeat(context, name, now):
    register(context, name, now, "ready", 4)


@when("the slice table moves all keys from w1 to w2")
def table_moves_keys(context):
    entries = {start: ["w2", "", 0.0, 2, "", "w1"] for start in context.entries}
    context.load_balancer.slices.apply(TableUpdate(2, {"s": entries}, base=1))


@when("w1 has released the keys")
def keys_released(context):
    entries = {start: ["w2", "", 0.0, 2, "h", ""] for start in context.entries}
    context.load_balancer.slices.apply(TableUpdate(3, {"s": entries}, base=2))


@then("of {count:d} requests at {now:g} s {share} to {name}")
def requests_sent_to(context, count, now, share, name):
    chosen = 0
    for number in range(count):
        key = zlib.crc32(b"%d" % number) % KEY_SPACE_SIZE if context.keyed else None
        chosen += context.load_balancer.choose_worker(now, "s", key, f"r{number}", set()) == name
    assert chosen == (count if share.startswith("all") else 0), chosen


@given("a proxy with a request in flight at its worker")
def request_in_flight(context):
    context.grace = 1.0


@when("the proxy receives SIGTERM")
def sigterm(context):
    pass  # the steps below shut the proxy down once the worker has received the request


@then(
    "readiness is 503, a request on a new connection is answered and the connection closed, "
    "and the request in flight is answered"
)
def shuts_down(context):
    async def run():
        simulation = ProxySimulation(grace=context.grace)
        await simulation.start({"w1": ["held", "answer"]})
        proxy, worker = simulation.proxy, simulation.workers["w1"]
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(simulation.send("POST", "/pay/1", "t1", "x"))
            await worker.reached.wait()
            shutdown = tasks.create_task(proxy.shut_down())
            await asyncio.sleep(0)
            status = (await proxy.readiness.handle(HEALTH_CHECK)).status
            await simulation.send("POST", "/pay/2", "t2", "x", keep=True)
            worker.released.set()
        await simulation.end()
        return status, shutdown.result(), simulation.transcript

    status, exit_code, transcript = asyncio.run(run())
    responses = [line.strip() for line in transcript if "client gets" in line]
    assert (status, exit_code) == (503, 0)
    assert responses == [
        "client gets 200 'w1 t2' X-Response-Seal Connection",
        "client gets 200 'w1 t1' X-Response-Seal",
    ], transcript


@then("new connections are refused once two health checks have failed, and the request in flight is answered")
def refuses_connections(context):
    async def run():
        simulation = ProxySimulation(grace=3.0)
        await simulation.start({"w1": ["held"]})
        worker = simulation.workers["w1"]
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(simulation.send("POST", "/pay/1", "t1", "x"))
            await worker.reached.wait()
            tasks.create_task(simulation.proxy.shut_down())
            while simulation.listener.is_serving():
                await asyncio.sleep(0)
            try:
                await simulation.send("POST", "/pay/2", "t2", "x")
                accepted = True
            except ConnectionRefusedError:
                accepted = False
            worker.released.set()
        await simulation.end()
        return accepted, simulation.transcript

    with mock.patch.object(server, "HEALTH_CHECKS_FAILED_AFTER", 0.05):
        accepted, transcript = asyncio.run(run())
    assert not accepted
    assert "  client gets 200 'w1 t1' X-Response-Seal" in transcript, transcript
