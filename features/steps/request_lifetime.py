import asyncio
import types

from behave import given, then, when

from tests.simulation.proxy import ProxySimulation

FROM_CONTROLLER = types.SimpleNamespace(peer="127.0.0.9")  # the connection that a message arrives on


def run_play(context, exchange):
    """Run one exchange with a proxy and its scripted workers; what the exchange returns."""

    async def run():
        play = ProxySimulation()
        await play.start(context.scripts)
        try:
            return await exchange(play)
        finally:
            for worker in play.workers.values():
                worker.released.set()
            await play.end()

    return asyncio.run(run())


async def send(play, method, path, wait_ms):
    """Send one request; the reader and writer of its connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", play.port)
    fields = f"Host: h.example\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: {wait_ms}\r\nConnection: close\r\n"
    writer.write(f"{method} {path} HTTP/1.1\r\n{fields}\r\n".encode())
    return reader, writer


async def status_of(reader, writer):
    """The status of the answer, once its connection has ended."""
    answer = await reader.read()
    writer.close()
    return int(answer.split(b" ", 2)[1])


async def first_asked(play):
    """The worker that has a request now."""
    while not (asked := [worker for worker in play.workers.values() if worker.reached.is_set()]):
        await asyncio.sleep(0.01)
    return asked[0]


@given("a proxy before")
def proxy_before(context):
    context.scripts = {
        row["worker"]: [step.strip() for step in row["script"].split(",") if step.strip()]
        for row in context.table
    }


@when("a client that waits {seconds:g} s sends a lookup")
def lookup(context, seconds):
    async def exchange(play):
        status = await status_of(*await send(play, "GET", "/look/1", int(seconds * 1000)))
        return status, {name: worker.received_fields for name, worker in play.workers.items()}

    context.status, context.fields = run_play(context, exchange)


@then("its answer is {status:d}")
def answered(context, status):
    assert context.status == status, context.status


@then("the worker that was asked first was told of at most {first:g} s, the other of at most {second:g} s")
def told(context, first, second):
    left = {name: int(fields["x-deadline-ms"]) / 1000 for name, fields in context.fields.items()}
    assert first - 0.5 < left["w1"] <= first and 0.0 < left["w2"] <= second, left


@when("a client that waits {seconds:g} s sends an effect")
def effect(context, seconds):
    async def exchange(play):
        began = asyncio.get_running_loop().time()
        status = await status_of(*await send(play, "POST", "/pay/1", int(seconds * 1000)))
        return status, asyncio.get_running_loop().time() - began

    context.status, context.took = run_play(context, exchange)


@then("its answer is {status:d} after {seconds:g} s, at most {late:g} s later")
def timed_out(context, status, seconds, late):
    assert context.status == status, context.status
    assert seconds - 0.1 <= context.took <= seconds + late, context.took


@when("a client goes away while the worker has its lookup")
def client_leaves(context):
    async def exchange(play):
        _, writer = await send(play, "GET", "/look/1", 1500)
        worker = await first_asked(play)
        writer.transport.abort()
        left_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.4)
        worker.released.set()  # it reads on, and so finds out whether its caller has gone
        while worker.open_connections and asyncio.get_running_loop().time() < left_at + 1.0:
            await asyncio.sleep(0.01)
        return worker.open_connections, asyncio.get_running_loop().time() - left_at

    context.open, context.took = run_play(context, exchange)


@then("the worker's connection is closed within {seconds:g} s")
def closed(context, seconds):
    assert not context.open and context.took <= seconds, (context.open, context.took)


@when("the worker that has a lookup deregisters")
def deregisters(context):
    async def exchange(play):
        connection = await send(play, "GET", "/look/1", 1500)
        worker = await first_asked(play)
        gone = ["plain", worker.address, "z", 2, "gone", 9]
        play.proxy.sessions.handle_message(FROM_CONTROLLER, {"k": "roll", "rows": {worker.name: gone}})
        worker.released.set()
        status, before = await status_of(*connection), len(worker.arrivals)
        later = [await status_of(*await send(play, "GET", f"/look/{n}", 1500)) for n in range(8)]
        return status, later, len(worker.arrivals) - before

    context.status, context.later, context.arrivals = run_play(context, exchange)


@then("that lookup is answered {status:d} by it")
def finished(context, status):
    assert context.status == status, context.status


@then("the next {count:d} lookups go to the other worker")
def elsewhere(context, count):
    assert context.later == [200] * count and context.arrivals == 0, (context.later, context.arrivals)


@when("it has no configuration yet")
def unconfigured(context):
    async def exchange(play):
        play.proxy.sessions.configuration = None
        reader, writer = await send(play, "GET", "/look/1", 1500)
        answer = await reader.read()
        writer.close()
        return answer

    context.answer = run_play(context, exchange)


@then("a lookup is answered {status:d} with a time to come back")
def come_back(context, status):
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
    assert b"Retry-After" in context.answer, context.answer
