import asyncio
import types

from behave import given, then, when

from tests.simulation.proxy import ProxySimulation

CONTROLLER_CONNECTION = types.SimpleNamespace(peer="127.0.0.9")  # stands in for a `PeerConnection`


def run_exchange(context, exchange):
    """Run one exchange with a proxy and its scripted workers, and return the result of the exchange."""

    async def run():
        simulation = ProxySimulation()
        await simulation.start(context.scripts)
        try:
            return await exchange(simulation)
        finally:
            for worker in simulation.workers.values():
                worker.released.set()
            await simulation.end()

    return asyncio.run(run())


async def send(simulation, method, path, deadline_ms):
    """Send one request and return the reader and writer of its connection. deadline_ms: `X-Deadline-Ms`."""
    reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
    fields = f"Host: h.example\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
    writer.write(f"{method} {path} HTTP/1.1\r\n{fields}\r\n".encode())
    return reader, writer


async def status_of(reader, writer):
    """Return the status of the response after its connection is closed."""
    answer = await reader.read()
    writer.close()
    return int(answer.split(b" ", 2)[1])


async def worker_with_request(simulation):
    """Wait until a worker holds a request, and return this worker."""
    while not (holding := [worker for worker in simulation.workers.values() if worker.reached.is_set()]):
        await asyncio.sleep(0.01)
    return holding[0]


@given("a proxy with these scripted workers")
def proxy_with_workers(context):
    context.scripts = {
        row["worker"]: [step.strip() for step in row["script"].split(",") if step.strip()]
        for row in context.table
    }


@when("a client with a deadline of {seconds:g} s sends an idempotent request")
def idempotent_request(context, seconds):
    async def exchange(simulation):
        status = await status_of(*await send(simulation, "GET", "/look/1", int(seconds * 1000)))
        return status, {name: worker.received_fields for name, worker in simulation.workers.items()}

    context.status, context.fields = run_exchange(context, exchange)


@then("the response has status {status:d}")
def response_status(context, status):
    assert context.status == status, context.status


@then("the first worker received a deadline of at most {first:g} s, and the other at most {second:g} s")
def received_deadlines(context, first, second):
    time_left = {name: int(fields["x-deadline-ms"]) / 1000 for name, fields in context.fields.items()}
    assert first - 0.5 < time_left["w1"] <= first and 0.0 < time_left["w2"] <= second, time_left


@when("a client with a deadline of {seconds:g} s sends a non-idempotent request")
def non_idempotent_request(context, seconds):
    async def exchange(simulation):
        started_at = asyncio.get_running_loop().time()
        status = await status_of(*await send(simulation, "POST", "/pay/1", int(seconds * 1000)))
        return status, asyncio.get_running_loop().time() - started_at

    context.status, context.took = run_exchange(context, exchange)


@then("the response has status {status:d} after {seconds:g} s, with a delay of at most {delay:g} s")
def timed_out(context, status, seconds, delay):
    assert context.status == status, context.status
    assert seconds - 0.1 <= context.took <= seconds + delay, context.took


@when("a client disconnects while the worker holds its idempotent request")
def client_disconnects(context):
    async def exchange(simulation):
        _, writer = await send(simulation, "GET", "/look/1", 1500)
        worker = await worker_with_request(simulation)
        writer.transport.abort()
        disconnected_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.4)
        worker.released.set()  # the worker then reads again and detects a closed connection
        while worker.open_connections and asyncio.get_running_loop().time() < disconnected_at + 1.0:
            await asyncio.sleep(0.01)
        return worker.open_connections, asyncio.get_running_loop().time() - disconnected_at

    context.open, context.took = run_exchange(context, exchange)


@then("the worker's connection is closed within {seconds:g} s")
def closed(context, seconds):
    assert not context.open and context.took <= seconds, (context.open, context.took)


@when("the worker that holds an idempotent request deregisters")
def deregisters(context):
    async def exchange(simulation):
        connection = await send(simulation, "GET", "/look/1", 1500)
        worker = await worker_with_request(simulation)
        gone_row = ["plain", worker.address, "z", 2, "gone", 9]
        simulation.proxy.sessions.handle_message(
            CONTROLLER_CONNECTION, {"k": "roll", "rows": {worker.name: gone_row}}
        )
        worker.released.set()
        status, arrivals_before = await status_of(*connection), len(worker.arrivals)
        later_statuses = [
            await status_of(*await send(simulation, "GET", f"/look/{n}", 1500)) for n in range(8)
        ]
        return status, later_statuses, len(worker.arrivals) - arrivals_before

    context.status, context.later_statuses, context.arrivals = run_exchange(context, exchange)


@then("that worker answers the request {status:d}")
def request_completed(context, status):
    assert context.status == status, context.status


@then("the next {count:d} requests go to the other worker")
def later_requests(context, count):
    assert context.later_statuses == [200] * count and context.arrivals == 0, (
        context.later_statuses,
        context.arrivals,
    )


@when("the proxy has no configuration")
def no_configuration(context):
    async def exchange(simulation):
        simulation.proxy.sessions.configuration = None
        reader, writer = await send(simulation, "GET", "/look/1", 1500)
        answer = await reader.read()
        writer.close()
        return answer

    context.answer = run_exchange(context, exchange)


@then("a request is answered {status:d} with Retry-After")
def answered_with_retry_after(context, status):
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
    assert b"Retry-After" in context.answer, context.answer
