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
from tests.simulation.worker_connections import (
    RuleViolation,
    receive_response,
    run_all_orders,
    run_random_events,
)

LOOKUP_REQUEST = (
    "GET /look/9 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: after\r\nX-Deadline-Ms: 900\r\n\r\n"
)


def bytes_of(cell: str) -> bytes:
    """Return the bytes of a table cell, in which \\n stands for CRLF."""
    return cell.replace("\\n", "\r\n").encode()


@then("more than {count:d} states are reached with and without keys, and no rule is broken")
def all_orders_break_no_rule(context, count):
    for keyed in (False, True):
        states, _ = run_all_orders(4, keyed)
        assert states > count, states


@then("{seeds:d} random runs of up to {steps:d} events break no rule")
def random_runs_break_no_rule(context, seeds, steps):
    assert sum(run_random_events(seed, steps, seed % 2 == 1) for seed in range(seeds)) > 20 * seeds


@then('without "{guard}" a rule is broken within {seeds:d} random runs')
def rule_is_broken_without_guard(context, guard, seeds):
    for seed in range(seeds):
        try:
            run_random_events(seed, 80, seed % 2 == 1, guard)
        except RuleViolation:
            return
    raise AssertionError("no rule is broken in any of the random runs")


@then(
    "each response is complete at its last byte only, and its connection is reusable unless more bytes follow"
)
def responses_are_complete_at_last_byte(context):
    surplus = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nContent-Length: 0\r\n\r\n"
    for row in context.table:
        data, is_head = bytes_of(row["response"]), row["method"] == "HEAD"
        for cut in range(len(data)):
            connection, result = receive_response(data[:cut], (), is_head)
            assert result is None and connection.on_closed().outcome is AttemptOutcome.CONNECTION_BROKEN, (
                data,
                cut,
            )
            connection, result = receive_response(data, (cut,), is_head)
            assert (
                result.outcome is AttemptOutcome.ANSWERED and result.response.body == row["body"].encode()
            ), (
                data,
                cut,
            )
            assert connection.phase is ConnectionPhase.RESPONSE_COMPLETE and connection.is_reusable, (
                data,
                cut,
            )
        connection, result = receive_response(data, tuple(range(1, len(data))), is_head)
        assert result.response.body == row["body"].encode() and connection.is_reusable
        for surplus_length in range(1, len(surplus) + 1):
            connection, result = receive_response(data + surplus[:surplus_length], (), is_head)
            assert (
                result.response.body == row["body"].encode() and connection.phase is ConnectionPhase.UNUSABLE
            ), surplus_length
            connection, result = receive_response(data + surplus[:surplus_length], (len(data),), is_head)
            assert connection.phase is ConnectionPhase.UNUSABLE, surplus_length


@then("each response is complete, and its connection is not reusable")
def connection_is_not_reusable(context):
    for row in context.table:
        connection, result = receive_response(bytes_of(row["response"]))
        assert result.outcome is AttemptOutcome.ANSWERED and connection.phase is ConnectionPhase.UNUSABLE, (
            row["response"]
        )


@then("each response is malformed")
def responses_are_malformed(context):
    for row in context.table:
        connection, result = receive_response(bytes_of(row["response"]))
        assert (
            result is not None
            and result.outcome is AttemptOutcome.CONNECTION_BROKEN
            and not connection.is_reusable
        ), row["response"]


async def exchange(port: int, data: bytes) -> bytes:
    """Return the bytes received on a new connection until it is closed or the lookup is answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(2):
            while not received.endswith(b"w1 after") and (part := await reader.read(2**16)):
                received += part
                if b"Connection: close" in received:  # a client must not use the connection any more
                    break
    except ConnectionResetError:
        pass
    writer.close()
    return received


def run_scenario(context, scenario):
    """Run a scenario with the workers of `context.scripts`, and return its result."""

    async def run():
        simulation = ProxySimulation()
        await simulation.start(context.scripts)
        try:
            return await scenario(simulation)
        finally:
            await simulation.end()

    return asyncio.run(run())


# the fields of the ambiguous requests that the HTTP parser rejects and logs
REJECTED_BY_PARSER = [
    "hOST: h.example",
    "Content-Length: 2",
    "Transfer-Encoding: chunked; Content-Length: 1",
    "Transfer-Encoding: chunked",
    "X-Long: a\\n X-Attempt-Id: r2",
]


@contextlib.contextmanager
def parser_errors():
    """Collect the errors that aiohttp's server logs, and keep them out of the output of the tests."""
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
def client_sends_ambiguous_requests(context):
    async def scenario(simulation):
        rejected_by_parser = []
        for row in context.table:
            fields, body = [f for f in row["fields"].split("; ") if f], bytes_of(row["body"])
            fields += [f"Content-Length: {len(body) or 9}"] * ("Transfer" not in row["fields"])
            lines = [f"POST {row['path']} HTTP/1.1", "Host: h.example", "X-Attempt-Id: r1", *fields]
            head = "\r\n".join(lines) + "\r\n\r\n"
            with parser_errors() as errors:
                received = await exchange(
                    simulation.port, bytes_of(head) + body + LOOKUP_REQUEST.encode() * bool(body)
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

    context.transcript = run_scenario(context, scenario)


@then('the transcript of those connections is "{name}"')
def transcript_is_approved(context, name):
    approve(name, context.transcript)


@then('a HEAD request gets status 200 with "{length}" and no body, and its connection is reused')
def head_response_has_no_body(context, length):
    async def scenario(simulation):
        received = await exchange(
            simulation.port,
            (LOOKUP_REQUEST.replace("GET", "HEAD").replace("after", "r") + LOOKUP_REQUEST).encode(),
        )
        return received.decode().partition("\r\n\r\n"), simulation.proxy.connection_pool.opened

    (head, _, rest), connections_opened = run_scenario(context, scenario)
    assert head.startswith("HTTP/1.1 200") and length in head.split("\r\n"), head
    assert rest.startswith("HTTP/1.1 200") and connections_opened == 1, (rest, connections_opened)


@when("a client disconnects while its non-idempotent request is at the worker")
def client_disconnects(context):
    async def scenario(simulation, half_close: bool):
        worker = simulation.workers["w1"]
        reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
        writer.write(LOOKUP_REQUEST.replace("GET /look/9", "POST /pay/1").replace("after", "gone").encode())
        await worker.reached.wait()
        writer.write_eof() if half_close else writer.transport.abort()
        bytes_received = await reader.read() if half_close else b""
        worker.released.set()
        while simulation.proxy.request_handler.in_flight:
            await asyncio.sleep(0)
        await simulation.send("POST", "/pay/2", "next", "x")
        writer.close()
        return simulation.transcript, bytes_received, simulation.proxy.connection_pool.opened

    context.results = [
        run_scenario(context, partial(scenario, half_close=half_close)) for half_close in (False, True)
    ]


@then("its request runs once, and the next client gets its own response on that connection")
def request_runs_once(context):
    for lines, bytes_received, connections_opened in context.results:
        assert [line.split()[4] for line in lines if " gets POST" in line] == ["gone", "next"], lines
        assert (
            "client gets 200 'w1 next'" in lines[-1] and bytes_received == b"" and connections_opened == 1
        ), (lines, connections_opened)


@when("a client sends a body that the worker does not read")
def client_sends_unread_body(context):
    async def scenario(simulation):
        await simulation.send("POST", "/pay/1", "large", "x" * 2**24)
        await simulation.send("POST", "/pay/2", "next", "x")
        return simulation.transcript, simulation.proxy.connection_pool.opened

    context.results = run_scenario(context, scenario)


@then("the client gets the worker's 503, and the next request is sent on another connection")
def early_response_is_forwarded(context):
    lines, connections_opened = context.results
    assert [line.split()[2] for line in lines if "client gets" in line] == ["503", "200"], lines
    assert connections_opened == 2, connections_opened


@then("a non-idempotent request is not sent and gets status 503 if connecting exceeds its deadline")
def late_connection_is_not_used(context):
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

    transcript = run_scenario(context, scenario)
    assert len(transcript) == 2 and "client gets 503" in transcript[1], transcript


@then("a request with an empty X-Attempt-Id gets status 400 and is not forwarded")
def empty_id_is_rejected(context):
    async def scenario(simulation):
        empty = LOOKUP_REQUEST.replace("X-Attempt-Id: after", "X-Attempt-Id:")
        received = await exchange(simulation.port, (empty + LOOKUP_REQUEST).encode())
        return received, simulation.workers["w1"].arrivals

    received, arrivals = run_scenario(context, scenario)
    assert received.startswith(b"HTTP/1.1 400") and len(arrivals) == 1, (received, arrivals)


REQUEST_WITHOUT_BODY = "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: 100\r\n"
INCOMPLETE_CHUNKS = REQUEST_WITHOUT_BODY + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
INCOMPLETE_BODY = REQUEST_WITHOUT_BODY + "Content-Length: 2\r\n\r\nx"


async def start_request(simulation, data: str):
    """Send a part of a request, and wait until the proxy has the request in flight.

    Returns the client's reader and writer.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
    writer.write(data.encode())
    while not simulation.proxy.request_handler.in_flight:
        await asyncio.sleep(0)
    return reader, writer


@then("a request with a malformed chunk or an incomplete body gets status 408 at its deadline")
def incomplete_bodies_time_out(context):
    async def scenario(simulation):
        statuses = []
        for first_part, last_part in ((INCOMPLETE_CHUNKS, b"ZZ\r\n"), (INCOMPLETE_BODY, b"")):
            reader, writer = await start_request(simulation, first_part)
            writer.write(last_part)
            async with asyncio.timeout(1):
                statuses.append((await reader.readuntil(b"}"))[:12])
            writer.close()
        return statuses, simulation.workers["w1"].arrivals, simulation.proxy.request_handler.in_flight

    assert run_scenario(context, scenario) == ([b"HTTP/1.1 408"] * 2, [], 0)


@then("a client that disconnects within its body leaves no request in flight and no body bytes")
def disconnect_within_body(context):
    async def scenario(simulation):
        _, writer = await start_request(simulation, INCOMPLETE_BODY)
        writer.transport.abort()
        while simulation.proxy.request_handler.in_flight:
            await asyncio.sleep(0)
        return (
            simulation.workers["w1"].arrivals,
            simulation.proxy.request_handler.memory.used,
            simulation.proxy.request_handler.responses_by_class,
        )

    assert run_scenario(context, scenario) == ([], 0, {4: 1})


@then("a keyed idempotent request gets status 200 after attempts on {count:d} connections")
def rejected_twice_on_one_connection(context, count):
    async def scenario(simulation):
        await simulation.send("GET", "/keyed/1", "k", "", "X-Shard-Key: 7")
        return simulation.transcript[-1], simulation.proxy.connection_pool.opened

    answer_line, connections_opened = run_scenario(context, scenario)
    assert "client gets 200" in answer_line and connections_opened == count, (answer_line, connections_opened)


@then('a connection is closed after each of the worker steps "{steps}" and after unsolicited bytes')
def connection_is_closed_after_surplus(context, steps):
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
        run_scenario(context, scenario)
    context.scripts = {"w1": ["unasked"]}
    assert run_scenario(context, scenario) == 1  # it is kept until the unsolicited bytes arrive


@then("a closing connection sends no request")
def closing_connection_sends_nothing(context):
    async def run():
        connection = WorkerConnection(asyncio.get_running_loop())
        connection.connection_made(SimpleNamespace(is_closing=lambda: True, abort=lambda: None))
        return await connection.exchange(b"x", "r", connection.loop.time() + 0.1)

    assert asyncio.run(run()) == ExchangeResult(AttemptOutcome.NOT_SENT)
