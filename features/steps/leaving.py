import asyncio
import zlib
from unittest import mock

from behave import given, then, when

from bramblewood.common.worker_registry import WorkerRegistration
from bramblewood.proxy import server
from bramblewood.proxy.load_balancing import LoadBalancer
from tests.simulation.proxy import Play


@given("a service of w1 and w2, {how}")
def service(context, how):
    context.load_balancer, context.keyed = LoadBalancer(2.5), how.startswith("with keys")
    for name in ("w1", "w2"):
        context.load_balancer.registry.record(
            0.0, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 1)
        )
    context.entries = {
        str(i * 8192): ["w1", "" if context.keyed else "w2", 0.01, 1, "", ""] for i in range(8)
    }
    context.load_balancer.slices.apply({"n": 1, "s": {"s": context.entries}})


@when("{name} is heard to be draining at {now:g}")
def draining(context, name, now):
    context.load_balancer.registry.record(
        now, name, WorkerRegistration("s", f"{name}:1", "z", 2, "draining", 5)
    )


@when("{name} is heard to be ready again at {now:g}, by a call that was sent before")
def late(context, name, now):
    context.load_balancer.registry.record(now, name, WorkerRegistration("s", f"{name}:1", "z", 2, "ready", 4))


@when("the table moves all keys from w1 to w2")
def moves(context):
    entries = {start: ["w2", "", 0.0, 2, "", "w1"] for start in context.entries}
    context.load_balancer.slices.apply({"n": 2, "base": 1, "d": {"s": entries}})


@when("w1 has let go of them")
def released(context):
    entries = {start: ["w2", "", 0.0, 2, "h", ""] for start in context.entries}
    context.load_balancer.slices.apply({"n": 3, "base": 2, "d": {"s": entries}})


@then("of {count:d} requests at {now:g} {part} to {name}")
def requests(context, count, now, part, name):
    gone = 0
    for number in range(count):
        key = zlib.crc32(b"%d" % number) % 65536 if context.keyed else None
        gone += context.load_balancer.choose_worker(now, "s", key, f"r{number}", set()) == name
    assert gone == (count if part.startswith("all") else 0), gone


@given("a desk with a request that its worker is working on")
def proxy(context):
    context.grace = 1.0


@when("SIGTERM comes")
def sigterm(context):
    pass  # within the exchange below, once the worker has the request


@then("readiness says 503, a new connection is answered and closed, and the request ends whole")
def ends(context):
    async def play():
        made = Play(grace=context.grace)
        await made.start({"w1": ["held", "answer"]})
        first = asyncio.ensure_future(made.ask("POST", "/pay/1", "t1", "x"))
        await made.workers["w1"].reached.wait()
        end = asyncio.ensure_future(made.proxy.shut_down())
        await asyncio.sleep(0)
        status = (await made.proxy.readiness.handle(Probe())).status
        await made.ask("POST", "/pay/2", "t2", "x", keep=True)
        made.workers["w1"].go.set()
        await first
        code = await end
        await made.end()
        return status, code, made.lines

    status, code, lines = asyncio.run(play())
    ended = [line.strip() for line in lines if "client gets" in line]
    assert (status, code) == (503, 0)
    assert ended == [
        "client gets 200 'w1 t2' X-Response-Seal Connection",
        "client gets 200 'w1 t1' X-Response-Seal",
    ], lines


@then("new connections are refused after two missed looks, and the request ends whole")
def refused(context):
    async def play():
        made = Play(grace=3.0)
        await made.start({"w1": ["held"]})
        first = asyncio.ensure_future(made.ask("POST", "/pay/1", "t1", "x"))
        await made.workers["w1"].reached.wait()
        end = asyncio.ensure_future(made.proxy.shut_down())
        while made.server.is_serving():
            await asyncio.sleep(0)
        try:
            await made.ask("POST", "/pay/2", "t2", "x")
            taken = True
        except ConnectionRefusedError:
            taken = False
        made.workers["w1"].go.set()
        await first
        await end
        await made.end()
        return taken, made.lines

    with mock.patch.object(server, "HEALTH_CHECKS_FAILED_AFTER", 0.05):
        taken, lines = asyncio.run(play())
    assert not taken
    assert "  client gets 200 'w1 t1' X-Response-Seal" in lines, lines


class Probe:
    path = "/bramblewood/readiness"
