import asyncio
import contextlib
import logging
import re
from functools import partial
from types import SimpleNamespace

from aiohttp.http_exceptions import BadHttpMessage
from behave import then, when

from bramblewood.common.connection_state import AttemptOutcome, ConnectionPhase, ExchangeResult
from bramblewood.common.worker_connection import WorkerConnection
from tests.approved import approve
from tests.simulation.proxy import ProxySimulation
from tests.simulation.worker_connections import RuleBroken, answered_with, play_all_orders, play_random

LOOKUP = "GET /look/9 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: after\r\nX-Deadline-Ms: 900\r\n\r\n"


def bytes_of(cell: str) -> bytes:
    return cell.replace("\\n", "\r\n").encode()


@then("over {count:d} states are reached with and without keys, and no rule is broken in any")
def all_orders(context, count):
    for keyed in (False, True):
        states, _ = play_all_orders(4, keyed)
        assert states > count, states


@then("{seeds:d} random runs of up to {steps:d} events break no rule")
def random_runs(context, seeds, steps):
    assert sum(play_random(seed, steps, seed % 2 == 1) for seed in range(seeds)) > 20 * seeds


@then('without "{guard}" a rule is broken within {seeds:d} random runs')
def guarded(context, guard, seeds):
    for seed in range(seeds):
        try:
            play_random(seed, 80, seed % 2 == 1, guard)
        except RuleBroken:
            return
    raise AssertionError("no seed found it")


@then("these are complete with their last byte only, in any two pieces, and kept if nothing follows")
def framings(context):
    surplus = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nContent-Length: 0\r\n\r\n"
    for row in context.table:
        data, head_request = bytes_of(row["answer"]), row["method"] == "HEAD"
        for cut in range(len(data)):
            connection, result = answered_with(data[:cut], (), head_request)
            assert result is None and connection.on_closed().outcome is AttemptOutcome.CONNECTION_BROKEN, (
                data,
                cut,
            )
            connection, result = answered_with(data, (cut,), head_request)
            assert result.outcome is AttemptOutcome.ANSWERED and result.answer.body == row["body"].encode(), (
                data,
                cut,
            )
            assert connection.phase is ConnectionPhase.RESPONSE_COMPLETE and connection.is_reusable, (
                data,
                cut,
            )
        connection, result = answered_with(data, tuple(range(1, len(data))), head_request)
        assert result.answer.body == row["body"].encode() and connection.is_reusable
        for more in range(1, len(surplus) + 1):
            connection, result = answered_with(data + surplus[:more], (), head_request)
            assert (
                result.answer.body == row["body"].encode() and connection.phase is ConnectionPhase.UNUSABLE
            ), more
            connection, result = answered_with(data + surplus[:more], (len(data),), head_request)
            assert connection.phase is ConnectionPhase.UNUSABLE, more


@then("these are complete, and their connection is not kept")
def not_kept(context):
    for row in context.table:
        connection, result = answered_with(bytes_of(row["answer"]))
        assert result.outcome is AttemptOutcome.ANSWERED and connection.phase is ConnectionPhase.UNUSABLE, (
            row["answer"]
        )


@then("these are malformed")
def malformed(context):
    for row in context.table:
        connection, result = answered_with(bytes_of(row["answer"]))
        assert (
            result is not None
            and result.outcome is AttemptOutcome.CONNECTION_BROKEN
            and not connection.is_reusable
        ), row["answer"]


async def exchange(port: int, data: bytes) -> bytes:
    """What comes back on one connection, until it is closed or the answer to the lookup is whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(2):
            while not received.endswith(b"w1 after") and (part := await reader.read(2**16)):
                received += part
                if b"Connection: close" in received:  # as clients heed it
                    break
    except ConnectionResetError:
        pass
    writer.close()
    return received


def simulate(context, scenario):
    """What `scenario(simulation)` returns, with workers by these scripts."""

    async def run():
        simulation = ProxySimulation()
        await simulation.start(context.scripts)
        try:
            return await scenario(simulation)
        finally:
            await simulation.end()

    return asyncio.run(run())


# rows of the scenario below, by their fields: requests that the HTTP parser rejects and logs
REJECTED_BY_PARSER = [
    "hOST: h.example",
    "Content-Length: 2",
    "Transfer-Encoding: chunked; Content-Length: 1",
    "Transfer-Encoding: chunked",
    "X-Long: a\\n X-Attempt-Id: r2",
]


@contextlib.contextmanager
def parser_errors():
    """The errors that aiohttp's server logs meanwhile. They are kept out of the output of the tests."""
    errors = []
    handler = logging.Handler()
    handler.emit = lambda record: errors.append(record.exc_info[1])
    server_log = logging.getLogger("aiohttp.server")
    server_log.addHandler(handler)
    server_log.propagate = False
    try:
        yield errors
    finally:
        server_log.propagate = True
        server_log.removeHandler(handler)


@when("a client sends each of these and then an idempotent request on the same connection")
def ambiguous_requests(context):
    async def scenario(simulation):
        rejected_by_parser = []
        for row in context.table:
            fields, body = [f for f in row["fields"].split("; ") if f], bytes_of(row["body"])
            fields += [f"Content-Length: {len(body) or 9}"] * ("Transfer" not in row["fields"])
            lines = [f"POST {row['path']} HTTP/1.1", "Host: h.example", "X-Attempt-Id: r1", *fields]
            head = "\r\n".join(lines) + "\r\n\r\n"
            with parser_errors() as errors:
                received = await exchange(
                    simulation.port, bytes_of(head) + body + LOOKUP.encode() * bool(body)
                )
            assert all(isinstance(error, BadHttpMessage) for error in errors), errors
            rejected_by_parser += [row["fields"]] * len(errors)
            simulation.transcript.append(f"client sends {row['path']} {row['fields']}".rstrip())
            simulation.transcript += [f"  {line}" for line in simulation.workers["w1"].arrivals]
            assert not {"x-a", "x-b"} & simulation.workers["w1"].received_fields.keys()
            simulation.workers["w1"].arrivals.clear()
            statuses = re.findall(r"HTTP/1\.[01] (\d+)", received.decode())
            closed = " and a close" * (not received.endswith(b"w1 after"))
            simulation.transcript.append(f"  client gets {' '.join(statuses)}{closed}")
        assert rejected_by_parser == REJECTED_BY_PARSER, rejected_by_parser
        return simulation.transcript

    context.transcript = simulate(context, scenario)


@then('the transcript of those connections is "{name}"')
def ambiguous_requests_transcript(context, name):
    approve(name, context.transcript)


@then('a HEAD is answered 200 with "{length}" and no body, and its connection is kept')
def head_request(context, length):
    async def scenario(simulation):
        received = await exchange(
            simulation.port,
            (LOOKUP.replace("GET", "HEAD").replace("after", "r") + LOOKUP).encode(),
        )
        return received.decode().partition("\r\n\r\n"), simulation.proxy.connection_pool.opened

    (head, _, rest), opened = simulate(context, scenario)
    assert head.startswith("HTTP/1.1 200") and length in head.split("\r\n"), head
    assert rest.startswith("HTTP/1.1 200") and opened == 1, (rest, opened)


@when("a client disconnects while its non-idempotent request is at the worker")
def client_disconnects(context):
    async def scenario(simulation, half: bool):
        worker = simulation.workers["w1"]
        reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
        writer.write(LOOKUP.replace("GET /look/9", "POST /pay/1").replace("after", "gone").encode())
        await worker.reached.wait()
        writer.write_eof() if half else writer.transport.abort()
        answered = await reader.read() if half else b""
        worker.released.set()
        while simulation.proxy.request_handler.in_flight:
            await asyncio.sleep(0)
        await simulation.send("POST", "/pay/2", "next", "x")
        writer.close()
        return simulation.transcript, answered, simulation.proxy.connection_pool.opened

    context.results = [simulate(context, partial(scenario, half=half)) for half in (False, True)]


@then("its request ran once, and the next client gets its own answer on that connection")
def ran_once(context):
    for lines, answered, opened in context.results:
        assert [line.split()[4] for line in lines if " gets POST" in line] == ["gone", "next"], lines
        assert "client gets 200 'w1 next'" in lines[-1] and answered == b"" and opened == 1, (lines, opened)


@when("a client sends a body that the worker does not read")
def early_answer(context):
    async def scenario(simulation):
        await simulation.send("POST", "/pay/1", "large", "x" * 2**24)
        await simulation.send("POST", "/pay/2", "next", "x")
        return simulation.transcript, simulation.proxy.connection_pool.opened

    context.results = simulate(context, scenario)


@then("the client gets the worker's 503, and the next request is sent on another connection")
def early_answer_forwarded(context):
    lines, opened = context.results
    assert [line.split()[2] for line in lines if "client gets" in line] == ["503", "200"], lines
    assert opened == 2, opened


@then(
    "a non-idempotent request whose connection takes longer than its deadline is answered 503 and never sent"
)
def connected_too_late(context):
    async def scenario(simulation):
        acquire, until = simulation.proxy.connection_pool.acquire, simulation.proxy.sessions.loop.time() + 0.1

        async def acquire_late(*arguments):
            acquired = await acquire(*arguments)
            while simulation.proxy.sessions.loop.time() < until:
                await asyncio.sleep(0)
            return acquired

        simulation.proxy.connection_pool.acquire = acquire_late
        await simulation.send("POST", "/pay/1", "late", "x", "X-Deadline-Ms: 90")
        return simulation.transcript

    transcript = simulate(context, scenario)
    assert len(transcript) == 2 and "client gets 503" in transcript[1], transcript


@then("an empty X-Attempt-Id is answered 400, and nothing is forwarded")
def empty_id(context):
    async def scenario(simulation):
        empty = LOOKUP.replace("X-Attempt-Id: after", "X-Attempt-Id:")
        received = await exchange(simulation.port, (empty + LOOKUP).encode())
        return received, simulation.workers["w1"].arrivals

    received, arrivals = simulate(context, scenario)
    assert received.startswith(b"HTTP/1.1 400") and len(arrivals) == 1, (received, arrivals)


BODY = "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: 100\r\n"
CHUNKED = BODY + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
INCOMPLETE = BODY + "Content-Length: 2\r\n\r\nx"


async def start_request(simulation, data: str):
    """A request whose body has begun to come."""
    reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
    writer.write(data.encode())
    while not simulation.proxy.request_handler.in_flight:
        await asyncio.sleep(0)
    return reader, writer


@then("a body with a malformed chunk, or an incomplete one, is answered 408 at its client's deadline")
def incomplete_bodies(context):
    async def scenario(simulation):
        statuses = []
        for first_part, last_part in ((CHUNKED, b"ZZ\r\n"), (INCOMPLETE, b"")):
            reader, writer = await start_request(simulation, first_part)
            writer.write(last_part)
            async with asyncio.timeout(1):
                statuses.append((await reader.readuntil(b"}"))[:12])
            writer.close()
        return statuses, simulation.workers["w1"].arrivals, simulation.proxy.request_handler.in_flight

    assert simulate(context, scenario) == ([b"HTTP/1.1 408"] * 2, [], 0)


@then("a client that disconnects within its body leaves no state behind")
def disconnects_in_body(context):
    async def scenario(simulation):
        _, writer = await start_request(simulation, INCOMPLETE)
        writer.transport.abort()
        while simulation.proxy.request_handler.in_flight:
            await asyncio.sleep(0)
        return (
            simulation.workers["w1"].arrivals,
            simulation.proxy.request_handler.body_bytes,
            simulation.proxy.request_handler.responses_by_class,
        )

    assert simulate(context, scenario) == ([], 0, {4: 1})


@then("a keyed idempotent request is answered 200 over {count:d} connections")
def not_run_twice(context, count):
    async def scenario(simulation):
        await simulation.send("GET", "/keyed/1", "k", "", "X-Shard-Key: 7")
        return simulation.transcript[-1], simulation.proxy.connection_pool.opened

    answer_line, opened = simulate(context, scenario)
    assert "client gets 200" in answer_line and opened == count, (answer_line, opened)


@then('one is closed after each of "{steps}", and when unsolicited bytes arrive')
def closed_after_surplus(context, steps):
    async def scenario(simulation):
        await simulation.send("POST", "/pay/1", "u", "x", "X-Deadline-Ms: 100")
        open_connections = simulation.workers["w1"].open_connections
        simulation.workers["w1"].released.set()
        async with asyncio.timeout(1):
            while simulation.workers["w1"].open_connections:
                await asyncio.sleep(0)
        return open_connections

    for step in steps.split(", "):
        context.scripts = {"w1": [step]}
        simulate(context, scenario)
    context.scripts = {"w1": ["unasked"]}
    assert simulate(context, scenario) == 1  # it was kept until those bytes came


@then("one that is closing carries no request")
def closing_connection(context):
    async def run():
        connection = WorkerConnection(asyncio.get_running_loop())
        connection.connection_made(SimpleNamespace(is_closing=lambda: True, abort=lambda: None))
        return await connection.exchange(b"x", "r", connection.loop.time() + 0.1)

    assert asyncio.run(run()) == ExchangeResult(AttemptOutcome.NOT_SENT)
