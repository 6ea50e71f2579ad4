import asyncio

from behave import given, then, when

from tests.approved import approve
from tests.simulation.proxy import ProxySimulation


@given("a proxy in front of these workers")
def scripted_workers(context):
    context.scripts = {
        row["worker"]: [step.strip() for step in row["script"].split(",") if step.strip()]
        for row in context.table
    }
    context.requests = []


@when("clients send")
def requests_sent(context):
    context.requests = [
        (row["method"], row["path"], row["id"], row["body"], row["fields"]) for row in context.table
    ]


@then('the transcript is "{name}"')
def transcript_is_approved(context, name):
    async def run():
        simulation = ProxySimulation()
        await simulation.start(context.scripts)
        for method, path, request_id, body, fields in context.requests:
            await simulation.send(method, path, request_id, body, *[f for f in fields.split("; ") if f])
        await simulation.end()
        return simulation.transcript

    approve(name, asyncio.run(run()))


@given(
    "a proxy whose configuration allows {header:d} bytes of headers, {body:d} of body "
    "and {time:g} s for a first request"
)
def client_limits(context, header, body, time):
    context.limits = {"MaxHeaderBytes": header, "MaxBodyBytes": body, "HeaderTimeoutS": time}


@then("a client that sends an incomplete request head is disconnected")
def incomplete_request_head(context):
    async def run():
        simulation = ProxySimulation()
        await simulation.start({"w1": []}, context.limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
        writer.write(b"GET /look/1 HTTP/1.1\r\nHost: h.exam")
        try:
            return await asyncio.wait_for(reader.read(), 2)
        except ConnectionResetError:
            return b""
        finally:
            writer.close()
            await simulation.end()

    assert asyncio.run(run()) == b""


@then(
    "a request that arrives while the event loop is blocked is answered, "
    "although its time-out passes meanwhile"
)
def request_while_loop_is_blocked(context):
    async def run():
        simulation = ProxySimulation()
        await simulation.start({"w1": []}, context.limits)
        loop, connections = asyncio.get_running_loop(), simulation.proxy.client_connections
        reader, writer = await asyncio.open_connection("127.0.0.1", simulation.port)
        while not connections.awaiting_first_request:
            await asyncio.sleep(0)
        for _ in range(3):  # until the proxy reads from the connection
            await asyncio.sleep(0)
        timed_out_at = loop.time() + context.limits["HeaderTimeoutS"] + 0.02
        writer.write(b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s1\r\n\r\n")
        while loop.time() < timed_out_at:
            pass
        try:
            return await asyncio.wait_for(reader.readline(), 2)
        finally:
            writer.close()
            await simulation.end()

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200 ")


@given("a proxy with an idle time-out of {idle:g} s and a header time-out of {header:g} s")
def time_outs(context, idle, header):
    context.limits = {"IdleTimeoutS": idle, "HeaderTimeoutS": header}


@then("it keeps a client's connection for {seconds:g} s after a response")
def client_keep_alive(context, seconds):
    async def run():
        simulation = ProxySimulation()
        await simulation.start({"w1": []}, context.limits)
        await simulation.end()
        return simulation.proxy.client_connections.create_protocol().keepalive_timeout

    assert asyncio.run(run()) == seconds


@then(
    "a request with large headers is answered 431, one with a large body 413, and one within the limits 200"
)
def large_requests(context):
    async def run():
        simulation = ProxySimulation()
        await simulation.start({"w1": []}, context.limits)
        await simulation.send("POST", "/pay/1", "l1", "x", f"X-Large: {'y' * 250}")
        await simulation.send("POST", "/pay/2", "l2", "x" * 21)
        await simulation.send("POST", "/pay/3", "l3", "x" * 20)
        await simulation.end()
        return [line.split()[2] for line in simulation.transcript if "client gets" in line]

    assert asyncio.run(run()) == ["431", "413", "200"]
