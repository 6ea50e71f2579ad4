import asyncio
import socket
from types import SimpleNamespace

from behave import given, then, when

from bramblewood.common.timeouts import MAX_CALL_TRANSIT
from bramblewood.common.worker_registry import GONE, WorkerRegistration, WorkerRegistry
from bramblewood.controller.key_leases import KeyLeases
from bramblewood.controller.lease_calls import LeaseCalls
from tests.simulation.key_lease_orders import LATE_ANSWER, all_orders
from tests.simulation.key_leases import STEP, Play, TwoHolders, margin

CONNECTION_END_TIMEOUT = 2.0  # s


@then("{count:d} minutes of that never give a key two holders")
def no_two_holders(context, count):
    plays = [Play(seed).run(60) for seed in range(count)]
    counts = {
        what: sum(getattr(play, what) for play in plays)
        for what in ("moves", "grants", "restarts", "late_answers", "surplus_read")
    }
    assert counts["moves"] > 10 * count and counts["grants"] > 10 * count, counts
    assert min(counts.values()) > count, counts


@then(
    "over {states:d} states of {depth:d} events are met, and over {states_of_two:d} of {less:d} "
    "with two controllers, and no key has two holders"
)
def every_order(context, states, depth, states_of_two, less):
    assert all_orders(depth) > states and all_orders(less, acting="ab") > states_of_two


@then("over {count:d} states of {depth:d} events after a release whose answer is late")
def every_order_after_late_answer(context, count, depth):
    assert all_orders(depth, "", "ab", LATE_ANSWER) > count


@then(
    "another call's answer taken for one's own breaks it within {depth:d}, "
    "a late one that frees more within {late:d}"
)
def orders_find(context, depth, late):
    for arguments in ((depth, "call id"), (late, "fencing token", "ab", LATE_ANSWER)):
        try:
            all_orders(*arguments)
        except TwoHolders:
            continue
        raise AssertionError(arguments)


@then("{what} is found out within {count:d} minutes")
def guard_found(context, what, count):
    guard = {
        "a grant without quorum contact": "contact",
        "a wait that is too short": "wait",
        "another call's answer taken for a release's": "call id",
        "a late release that frees what it did not name": "fencing token",
    }[what]
    for seed in range(count):
        try:
            Play(seed, guard).run(60)
        except TwoHolders:
            return
    raise AssertionError("no minute found it")


@then("its grant is over as its keys are freed, and would not be with a transit that is {more:g} s longer")
def margin_holds(context, more):
    assert 0 <= margin(MAX_CALL_TRANSIT) <= STEP, margin(MAX_CALL_TRANSIT)
    assert margin(MAX_CALL_TRANSIT + more) < 0


@given("a registry that hears of an instance, and then of the one before it at the same address")
def late_registration(context):
    context.registry = WorkerRegistry()
    for instance_id in ("young", "old"):
        context.registry.record(0.0, instance_id, WorkerRegistration("s", "w:1", "z", 2, "ready", 1))
    context.registry.record(0.0, "next", WorkerRegistration("s", "w:2", "z", 2, "ready", 1))
    assert context.registry.registrations["young"].phase == GONE


@then("the younger one's keys are freed only as another instance answers there")
def asked_there(context):
    key_leases, table = KeyLeases(10.0), {"n": 2, "s": {"s": {"0": ["next", "", 0.0, 2, "", "young"]}}}
    (call,), released = key_leases.next_calls(0.0, table, {"s"}, context.registry)
    assert (call.kind, call.instance_id, released) == ("release", "young", [])
    assert key_leases.call_finished(0.0, call, 0.0, 0, "", False) is None
    assert key_leases.call_finished(0.0, call, 0.0, 421, "", False).previous_owner == "young"


def lease_calls() -> LeaseCalls:
    """The calls of a controller that has nothing else."""
    clock = asyncio.get_running_loop().time
    runtime = SimpleNamespace(now=clock, settings=SimpleNamespace(name="a"))
    return LeaseCalls(runtime, None, None, SimpleNamespace(registry=None), None, None, None)


@given("a worker that is busy with a key, and answers the grant before twice")
def busy_worker(context):
    async def play(repeats: bool) -> tuple:
        """The status of the release, whether the worker was done by then, and of the next release."""
        done, asked, kinds = asyncio.Event(), asyncio.Event(), []
        serving = []  # a task for each connection of the worker

        async def serve(reader, writer):
            serving.append(asyncio.current_task())
            before = b""
            while True:
                try:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                except (asyncio.IncompleteReadError, ConnectionError):
                    return writer.close()
                fields = {k.lower(): v for k, _, v in (x.partition(": ") for x in head.split("\r\n"))}
                await reader.readexactly(int(fields["content-length"]))
                named = f"X-Attempt-Id: {fields['x-attempt-id']}\r\n" * repeats
                named += f"X-Handover: {len(kinds)}\r\nContent-Length: 0\r\n\r\n"
                own = f"HTTP/1.1 200 OK\r\n{named}".encode()
                kinds.append(head.split(" ")[1].rpartition("/")[2])
                writer.write(before)
                if kinds[-1] == "release":
                    asked.set()
                    await done.wait()
                writer.write(own)
                before = own

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        calls = lease_calls()
        until = calls.runtime.now() + 9
        granted, _ = await calls.send("grant", address, "w1", {}, until)
        release = asyncio.ensure_future(calls.send("release", address, "w1", {}, until))
        await asked.wait()
        for _ in range(50):
            await asyncio.sleep(0)
        early = release.result() if release.done() else None
        asyncio.get_running_loop().call_later(0.05, done.set)
        outcome = granted, early, await release, await calls.send("release", address, "w1", {}, until)
        late = await calls.send("grant", address, "w1", {}, calls.runtime.now())
        calls.client.close()
        server.close()
        # each connection ends with the client's end of the stream, and without an error
        await asyncio.wait_for(asyncio.gather(*serving), CONNECTION_END_TIMEOUT)
        return *outcome, late, len(kinds)

    context.play = play


@when("its grant and then its release are called")
def called(context):
    context.outcomes = [asyncio.run(context.play(repeats)) for repeats in (True, False)]


@then("the release counts once the worker's own answer came, where workers repeat ids and where they don't")
def own_answer_counts(context):
    named, unnamed = context.outcomes
    assert named[:2] == (200, None) and named[2:] == ((200, "1"), (200, "2"), (0, ""), 3), named
    assert unnamed[:2] == (200, None) and unnamed[2][0] == unnamed[3][0] == 200, unnamed
    assert unnamed[2][1] != "0" and unnamed[4] == (0, ""), unnamed


@given("a worker that takes no connection")
def closed_listener(context):
    context.listen_on = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.queued = [socket.socket() for _ in range(4)]
    for connection in context.queued:  # they fill its backlog: further opening packets are dropped
        connection.setblocking(False)
        connection.connect_ex(context.listen_on.getsockname())


@then("a grant on quorum contact of {more:g} s more is given up with it")
def given_up(context, more):
    async def play() -> float:
        calls, (host, port) = lease_calls(), context.listen_on.getsockname()
        began = calls.runtime.now()
        try:
            async with asyncio.timeout(20 * more):
                await calls.send("grant", f"{host}:{port}", "w1", {}, began + more)
        except TimeoutError:
            return calls.runtime.now() - began
        finally:
            calls.client.close()

    took = asyncio.run(play())
    for opened in (context.listen_on, *context.queued):
        opened.close()
    assert more <= took < 10 * more, took
