import asyncio
import re
from functools import partial
from types import SimpleNamespace

from behave import then, when

from bramblewood.proxy.connection_state import AttemptOutcome, ConnectionPhase, ExchangeResult
from bramblewood.proxy.worker_connection import WorkerConnection
from tests.approved import approve
from tests.simulation.proxy import Play
from tests.simulation.worker_connections import RuleBroken, answered_with, play_all_orders, play_random

LOOKUP = "GET /look/9 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: after\r\nX-Deadline-Ms: 900\r\n\r\n"


def bytes_of(cell: str) -> bytes:
    return cell.replace("\\n", "\r\n").encode()


@then("over {count:d} states are met with and without keys, and no rule breaks in any")
def all_orders(context, count):
    for keyed in (False, True):
        states, _ = play_all_orders(4, keyed)
        assert states > count, states


@then("{seeds:d} seeds of up to {steps:d} events break no rule")
def by_dice(context, seeds, steps):
    assert sum(play_random(seed, steps, seed % 2 == 1) for seed in range(seeds)) > 20 * seeds


@then('without "{guard}" a rule breaks within {seeds:d} seeds')
def guarded(context, guard, seeds):
    for seed in range(seeds):
        try:
            play_random(seed, 80, seed % 2 == 1, guard)
        except RuleBroken:
            return
    raise AssertionError("no seed found it")


@then("these are whole with their last byte and not before, in any two pieces, and kept with nothing beyond")
def framings(context):
    surplus = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nContent-Length: 0\r\n\r\n"
    for row in context.table:
        data, head_request = bytes_of(row["answer"]), row["method"] == "HEAD"
        for cut in range(len(data)):
            connection, ended = answered_with(data[:cut], (), head_request)
            assert ended is None and connection.on_closed().outcome is AttemptOutcome.CONNECTION_BROKEN, (
                data,
                cut,
            )
            connection, ended = answered_with(data, (cut,), head_request)
            assert ended.outcome is AttemptOutcome.ANSWERED and ended.answer.body == row["body"].encode(), (
                data,
                cut,
            )
            assert connection.phase is ConnectionPhase.ANSWER_COMPLETE and connection.is_reusable, (data, cut)
        connection, ended = answered_with(data, tuple(range(1, len(data))), head_request)
        assert ended.answer.body == row["body"].encode() and connection.is_reusable
        for more in range(1, len(surplus) + 1):
            connection, ended = answered_with(data + surplus[:more], (), head_request)
            assert (
                ended.answer.body == row["body"].encode() and connection.phase is ConnectionPhase.UNUSABLE
            ), more
            connection, ended = answered_with(data + surplus[:more], (len(data),), head_request)
            assert connection.phase is ConnectionPhase.UNUSABLE, more


@then("these are whole, and their connection is not kept")
def not_kept(context):
    for row in context.table:
        connection, ended = answered_with(bytes_of(row["answer"]))
        assert ended.outcome is AttemptOutcome.ANSWERED and connection.phase is ConnectionPhase.UNUSABLE, row[
            "answer"
        ]


@then("these are no answers")
def noise(context):
    for row in context.table:
        connection, ended = answered_with(bytes_of(row["answer"]))
        assert (
            ended is not None
            and ended.outcome is AttemptOutcome.CONNECTION_BROKEN
            and not connection.is_reusable
        ), row["answer"]


async def sent(port: int, data: bytes) -> bytes:
    """What comes back on one connection, until it is closed or the answer to the lookup is whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    got = b""
    try:
        async with asyncio.timeout(2):
            while not got.endswith(b"w1 after") and (part := await reader.read(2**16)):
                got += part
                if b"Connection: close" in got:  # as clients heed it
                    break
    except ConnectionResetError:
        pass
    writer.close()
    return got


def played(context, ask):
    """What a play of these scripts gave: ask(play) is awaited."""

    async def play():
        made = Play()
        await made.start(context.scripts)
        try:
            return await ask(made)
        finally:
            await made.end()

    return asyncio.run(play())


@when("a client sends each of these and then a lookup on the same connection")
def two_ways(context):
    async def ask(made):
        for row in context.table:
            fields, body = [f for f in row["fields"].split("; ") if f], bytes_of(row["body"])
            fields += [f"Content-Length: {len(body) or 9}"] * ("Transfer" not in row["fields"])
            lines = [f"POST {row['path']} HTTP/1.1", "Host: h.example", "X-Attempt-Id: r1", *fields]
            head = "\r\n".join(lines) + "\r\n\r\n"
            got = await sent(made.port, bytes_of(head) + body + LOOKUP.encode() * bool(body))
            made.lines.append(f"client sends {row['path']} {row['fields']}".rstrip())
            made.lines += [f"  {line}" for line in made.workers["w1"].arrivals]
            assert not {"x-a", "x-b"} & made.workers["w1"].fields.keys()
            made.workers["w1"].arrivals.clear()
            statuses = re.findall(r"HTTP/1\.[01] (\d+)", got.decode())
            closed = " and a close" * (not got.endswith(b"w1 after"))
            made.lines.append(f"  client gets {' '.join(statuses)}{closed}")
        return made.lines

    context.lines = played(context, ask)


@then('the answers on those connections are "{name}"')
def two_ways_told(context, name):
    approve(name, context.lines)


@then('a HEAD is answered 200 with "{length}" and no body, and its connection is kept')
def head(context, length):
    async def ask(made):
        got = await sent(made.port, (LOOKUP.replace("GET", "HEAD").replace("after", "r") + LOOKUP).encode())
        return got.decode().partition("\r\n\r\n"), made.proxy.connection_pool.opened

    (told, _, rest), opened = played(context, ask)
    assert told.startswith("HTTP/1.1 200") and length in told.split("\r\n"), told
    assert rest.startswith("HTTP/1.1 200") and opened == 1, (rest, opened)


@when("a client leaves while its effect is at the worker")
def leaves(context):
    async def ask(made, half: bool):
        worker = made.workers["w1"]
        reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
        writer.write(LOOKUP.replace("GET /look/9", "POST /pay/1").replace("after", "gone").encode())
        await worker.reached.wait()
        writer.write_eof() if half else writer.transport.abort()
        answered = await reader.read() if half else b""
        worker.go.set()
        while made.proxy.request_handler.in_flight:
            await asyncio.sleep(0)
        await made.ask("POST", "/pay/2", "next", "x")
        writer.close()
        return made.lines, answered, made.proxy.connection_pool.opened

    context.told = [played(context, partial(ask, half=half)) for half in (False, True)]


@then("its effect ran once, and the next client gets its own answer on that connection")
def left(context):
    for lines, answered, opened in context.told:
        assert [line.split()[4] for line in lines if " gets POST" in line] == ["gone", "next"], lines
        assert "client gets 200 'w1 next'" in lines[-1] and answered == b"" and opened == 1, (lines, opened)


@when("a client sends a body that the worker does not read")
def early(context):
    async def ask(made):
        await made.ask("POST", "/pay/1", "large", "x" * 2**24)
        await made.ask("POST", "/pay/2", "next", "x")
        return made.lines, made.proxy.connection_pool.opened

    context.told = played(context, ask)


@then("the client gets the worker's 503, and the next request goes out on another connection")
def early_told(context):
    lines, opened = context.told
    assert [line.split()[2] for line in lines if "client gets" in line] == ["503", "200"], lines
    assert opened == 2, opened


@then("an effect whose connection takes longer than its client waits is answered 503, and never arrives")
def too_late(context):
    async def ask(made):
        acquire, until = made.proxy.connection_pool.acquire, made.proxy.sessions.loop.time() + 0.1

        async def late(*told):
            acquired = await acquire(*told)
            while made.proxy.sessions.loop.time() < until:
                await asyncio.sleep(0)
            return acquired

        made.proxy.connection_pool.acquire = late
        await made.ask("POST", "/pay/1", "late", "x", "X-Deadline-Ms: 90")
        return made.lines

    lines = played(context, ask)
    assert len(lines) == 2 and "client gets 503" in lines[1], lines


@then("an empty X-Attempt-Id is answered 400, and nothing is sent on")
def empty_id(context):
    async def ask(made):
        empty = LOOKUP.replace("X-Attempt-Id: after", "X-Attempt-Id:")
        got = await sent(made.port, (empty + LOOKUP).encode())
        return got, made.workers["w1"].arrivals

    got, arrivals = played(context, ask)
    assert got.startswith(b"HTTP/1.1 400") and len(arrivals) == 1, (got, arrivals)


BODY = "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: 100\r\n"
CHUNKED = BODY + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
HALF = BODY + "Content-Length: 2\r\n\r\nx"


async def under_way(made, data: str):
    """A request whose body has begun to come."""
    reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
    writer.write(data.encode())
    while not made.proxy.request_handler.in_flight:
        await asyncio.sleep(0)
    return reader, writer


@then("a body with a bad chunk, or one that ends half way, is answered 408 when its client's time is over")
def bad_chunk(context):
    async def ask(made):
        found = []
        for first, then_ in ((CHUNKED, b"ZZ\r\n"), (HALF, b"")):
            reader, writer = await under_way(made, first)
            writer.write(then_)
            async with asyncio.timeout(1):
                found.append((await reader.readuntil(b"}"))[:12])
            writer.close()
        return found, made.workers["w1"].arrivals, made.proxy.request_handler.in_flight

    assert played(context, ask) == ([b"HTTP/1.1 408"] * 2, [], 0)


@then("a client that goes away in its body leaves nothing behind")
def body_gone(context):
    async def ask(made):
        _, writer = await under_way(made, HALF)
        writer.transport.abort()
        while made.proxy.request_handler.in_flight:
            await asyncio.sleep(0)
        return (
            made.workers["w1"].arrivals,
            made.proxy.request_handler.body_bytes,
            made.proxy.request_handler.responses_by_class,
        )

    assert played(context, ask) == ([], 0, {4: 1})


@then("a keyed lookup is answered 200 over {count:d} connections")
def twice_full(context, count):
    async def ask(made):
        await made.ask("GET", "/keyed/1", "k", "", "X-Shard-Key: 7")
        return made.lines[-1], made.proxy.connection_pool.opened

    told, opened = played(context, ask)
    assert "client gets 200" in told and opened == count, (told, opened)


@then('one is closed after each of "{steps}", and as bytes come that nobody asked for')
def untrusted(context, steps):
    async def ask(made):
        await made.ask("POST", "/pay/1", "u", "x", "X-Deadline-Ms: 100")
        stood = made.workers["w1"].open
        made.workers["w1"].go.set()
        async with asyncio.timeout(1):
            while made.workers["w1"].open:
                await asyncio.sleep(0)
        return stood

    for step in steps.split(", "):
        context.scripts = {"w1": [step]}
        played(context, ask)
    context.scripts = {"w1": ["unasked"]}
    assert played(context, ask) == 1  # it was kept until those bytes came


@then("one that is closing carries nothing")
def closing(context):
    async def ask():
        line = WorkerConnection(asyncio.get_running_loop())
        line.connection_made(SimpleNamespace(is_closing=lambda: True, abort=lambda: None))
        return await line.exchange(b"x", "r", line.loop.time() + 0.1)

    assert asyncio.run(ask()) == ExchangeResult(AttemptOutcome.NOT_SENT)
