import asyncio

from behave import given, then, when

from tests.approved import approve
from tests.simulation.proxy import Play


@given("a desk before")
def proxy(context):
    context.scripts = {
        row["worker"]: [step.strip() for step in row["script"].split(",") if step.strip()]
        for row in context.table
    }
    context.asked = []


@when("clients ask")
def asks(context):
    context.asked = [(r["method"], r["path"], r["id"], r["body"], r["fields"]) for r in context.table]


@then('the exchange is "{name}"')
def exchange(context, name):
    async def play():
        made = Play()
        await made.start(context.scripts)
        for method, path, request, body, fields in context.asked:
            await made.ask(method, path, request, body, *[f for f in fields.split("; ") if f])
        await made.end()
        return made.lines

    approve(name, asyncio.run(play()))


@given(
    "a desk whose configuration allows {header:d} bytes of headers, {body:d} of body "
    "and {time:g} s for a first request"
)
def limits(context, header, body, time):
    context.limits = {"MaxHeaderBytes": header, "MaxBodyBytes": body, "HeaderTimeoutS": time}


@then("a client that sends half a request is let go")
def half(context):
    async def play():
        made = Play()
        await made.start({"w1": []}, context.limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
        writer.write(b"GET /look/1 HTTP/1.1\r\nHost: h.exam")
        try:
            return await asyncio.wait_for(reader.read(), 2)
        except ConnectionResetError:
            return b""
        finally:
            writer.close()
            await made.end()

    assert asyncio.run(play()) == b""


@then("a request that came while the desk stood still is answered, though its time is over by then")
def stood_still(context):
    async def play():
        made = Play()
        await made.start({"w1": []}, context.limits)
        loop, proxy = made.proxy.sessions.loop, made.proxy
        reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
        while not proxy.client_connections.awaiting_first_request:
            await asyncio.sleep(0)
        for _ in range(3):  # until the desk reads from it
            await asyncio.sleep(0)
        until = loop.time() + context.limits["HeaderTimeoutS"] + 0.02
        writer.write(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s1\r\n\r\n")
        while loop.time() < until:
            pass
        try:
            return await asyncio.wait_for(reader.readline(), 2)
        finally:
            writer.close()
            await made.end()

    assert asyncio.run(play()).startswith(b"HTTP/1.1 200 ")


@given("a desk whose clients may rest for {rest:g} s and take {time:g} s for the headers of a request")
def rests(context, rest, time):
    context.limits = {"IdleTimeoutS": rest, "HeaderTimeoutS": time}


@then("it keeps a connection for {rest:g} s after an answer")
def kept_for(context, rest):
    async def play():
        made = Play()
        await made.start({"w1": []}, context.limits)
        await made.end()
        return made.proxy.client_connections.create_protocol().keepalive_timeout

    assert asyncio.run(play()) == rest


@then("large headers are answered 431, a large body 413, and a proper request 200")
def large(context):
    async def play():
        made = Play()
        await made.start({"w1": []}, context.limits)
        await made.ask("POST", "/pay/1", "l1", "x", f"X-Large: {'y' * 250}")
        await made.ask("POST", "/pay/2", "l2", "x" * 21)
        await made.ask("POST", "/pay/3", "l3", "x" * 20)
        await made.end()
        return [line.split()[2] for line in made.lines if "client gets" in line]

    assert asyncio.run(play()) == ["431", "413", "200"]
