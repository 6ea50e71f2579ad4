import asyncio
import socket
from types import SimpleNamespace

from behave import given, then, when

from bramblewood.common.timeouts import MAX_CALL_TRANSIT
from bramblewood.common.worker_registry import GONE, WorkerRegistration, WorkerRegistry
from bramblewood.controller.key_leases import KeyLeases
from bramblewood.controller.lease_calls import LeaseCalls
from tests.simulation.key_lease_orders import LATE_RELEASE_ANSWER, count_states
from tests.simulation.key_leases import STEP, ConflictingLeases, KeyLeaseSimulation, expiry_margin

CONNECTION_END_TIMEOUT = 2.0  # s


@then("no key is leased to two workers in {count:d} simulations of one minute")
def no_conflicting_leases(context, count):
    simulations = [KeyLeaseSimulation(seed).run(60) for seed in range(count)]
    counts = {
        event: sum(getattr(simulation, event) for simulation in simulations)
        for event in ("moves", "grants", "restarts", "late_answers", "surplus_answers_read")
    }
    assert counts["moves"] > 10 * count and counts["grants"] > 10 * count, counts
    assert min(counts.values()) > count, counts


@then(
    "over {states:d} states are reached with {depth:d} events of one controller, and over {states_of_two:d} "
    "with {depth_of_two:d} events of two, and no key is leased to two workers"
)
def no_conflicting_leases_in_any_order(context, states, depth, states_of_two, depth_of_two):
    assert count_states(depth) > states and count_states(depth_of_two, sending="ab") > states_of_two


@then(
    "over {count:d} states are reached with {depth:d} events after a release whose answer is late, "
    "and no key is leased to two workers"
)
def no_conflicting_leases_after_late_answer(context, count, depth):
    assert count_states(depth, "", "ab", LATE_RELEASE_ANSWER) > count


@then(
    "without the check of attempt ids a key is leased to two workers within {depth:d} events, "
    "and without the check of a late release's fencing token within {late_depth:d}"
)
def missing_guard_is_detected_in_orders(context, depth, late_depth):
    for arguments in ((depth, "attempt id"), (late_depth, "fencing token", "ab", LATE_RELEASE_ANSWER)):
        try:
            count_states(*arguments)
        except ConflictingLeases:
            continue
        raise AssertionError(arguments)


@then("{fault} leases a key to two workers within {count:d} simulations of one minute")
def missing_guard_is_detected(context, fault, count):
    guard = {
        "a grant without quorum contact": "quorum contact",
        "an expiry wait that is too short": "expiry wait",
        "an answer to another call that counts for a release": "attempt id",
        "a late release that frees a slice after a later move": "fencing token",
    }[fault]
    for seed in range(count):
        try:
            KeyLeaseSimulation(seed, guard).run(60)
        except ConflictingLeases:
            return
    raise AssertionError("no simulation leased a key to two workers")


@then("the grant expires before its keys are freed, but after that if its transit takes {excess:g} s longer")
def grant_expires_before_release(context, excess):
    assert 0 <= expiry_margin(MAX_CALL_TRANSIT) <= STEP, expiry_margin(MAX_CALL_TRANSIT)
    assert expiry_margin(MAX_CALL_TRANSIT + excess) < 0


@given("a registry that receives the registration of an instance before that of its predecessor")
def late_registration(context):
    context.registry = WorkerRegistry()
    for instance_id in ("newer", "older"):
        context.registry.record(0.0, instance_id, WorkerRegistration("s", "w:1", "z", 2, "ready", 1))
    context.registry.record(0.0, "next", WorkerRegistration("s", "w:2", "z", 2, "ready", 1))
    assert context.registry.registrations["newer"].phase == GONE


@then("the keys of the newer instance are freed only after another instance answers at its address")
def keys_are_freed_by_other_instance(context):
    key_leases, table = KeyLeases(10.0), {"n": 2, "s": {"s": {"0": ["next", "", 0.0, 2, "", "newer"]}}}
    (call,), released = key_leases.next_calls(0.0, table, {"s"}, context.registry)
    assert (call.kind, call.instance_id, released) == ("release", "newer", [])
    assert key_leases.call_finished(0.0, call, 0.0, 0, "") is None
    assert key_leases.call_finished(0.0, call, 0.0, 421, "").previous_owner == "newer"


def lease_calls() -> LeaseCalls:
    """Return the lease calls of a controller without its other parts."""
    clock = asyncio.get_running_loop().time
    runtime = SimpleNamespace(now=clock, settings=SimpleNamespace(name="a"))
    return LeaseCalls(runtime, None, None, SimpleNamespace(registry=None), None, None, None)


@given("a worker that answers a grant twice, and answers the release only after its work on the key")
def busy_worker(context):
    async def simulate(repeats_ids: bool) -> tuple:
        """Send a grant, two releases and a grant after its deadline, and return their results.

        The returned tuple contains the status of the grant, the result that the first release has before the
        work on the key is finished (None if it has none), the results of both releases and of the last grant,
        and the number of calls that the worker received.
        """
        work_finished, release_received, kinds = asyncio.Event(), asyncio.Event(), []
        serving = []  # a task for each connection of the worker

        async def serve(reader, writer):
            serving.append(asyncio.current_task())
            previous_answer = b""
            while True:
                try:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                except (asyncio.IncompleteReadError, ConnectionError):
                    return writer.close()
                fields = {
                    name.lower(): value
                    for name, _, value in (line.partition(": ") for line in head.split("\r\n"))
                }
                await reader.readexactly(int(fields["content-length"]))
                headers = f"X-Attempt-Id: {fields['x-attempt-id']}\r\n" * repeats_ids
                headers += f"X-Handover: {len(kinds)}\r\nContent-Length: 0\r\n\r\n"
                own_answer = f"HTTP/1.1 200 OK\r\n{headers}".encode()
                kinds.append(head.split(" ")[1].rpartition("/")[2])
                writer.write(previous_answer)
                if kinds[-1] == "release":
                    release_received.set()
                    await work_finished.wait()
                writer.write(own_answer)
                previous_answer = own_answer

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        calls = lease_calls()
        send_by = calls.runtime.now() + 9
        grant_status, _ = await calls.send("grant", address, "w1", {}, send_by)
        release = asyncio.ensure_future(calls.send("release", address, "w1", {}, send_by))
        await release_received.wait()
        for _ in range(50):
            await asyncio.sleep(0)
        early_result = release.result() if release.done() else None
        asyncio.get_running_loop().call_later(0.05, work_finished.set)
        results = (
            grant_status,
            early_result,
            await release,
            await calls.send("release", address, "w1", {}, send_by),
        )
        late_grant = await calls.send("grant", address, "w1", {}, calls.runtime.now())
        calls.client.close()
        server.close()
        # each connection ends when the client closes it, and without an error
        await asyncio.wait_for(asyncio.gather(*serving), CONNECTION_END_TIMEOUT)
        return *results, late_grant, len(kinds)

    context.simulate = simulate


@when("a grant and then two releases are sent to it")
def grant_and_releases(context):
    context.results = [asyncio.run(context.simulate(repeats_ids)) for repeats_ids in (True, False)]


@then("each release has the worker's answer to it, whether the worker repeats attempt ids or not")
def releases_have_their_own_answers(context):
    with_ids, without_ids = context.results
    assert with_ids[:2] == (200, None) and with_ids[2:] == ((200, "1"), (200, "2"), (0, ""), 3), with_ids
    assert without_ids[:2] == (200, None) and without_ids[2][0] == without_ids[3][0] == 200, without_ids
    assert without_ids[2][1] != "0" and without_ids[4] == (0, ""), without_ids


@given("a worker whose listener accepts no connection")
def listener_with_full_backlog(context):
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.queued = [socket.socket() for _ in range(4)]
    for connection in context.queued:  # they fill the backlog, so the kernel drops further SYN packets
        connection.setblocking(False)
        connection.connect_ex(context.listener.getsockname())


@then("a grant whose quorum contact is valid for {validity:g} s is abandoned when that time ends")
def grant_is_abandoned(context, validity):
    async def simulate() -> float:
        calls, (host, port) = lease_calls(), context.listener.getsockname()
        started_at = calls.runtime.now()
        try:
            async with asyncio.timeout(20 * validity):
                await calls.send("grant", f"{host}:{port}", "w1", {}, started_at + validity)
        except TimeoutError:
            return calls.runtime.now() - started_at
        finally:
            calls.client.close()

    elapsed = asyncio.run(simulate())
    for opened in (context.listener, *context.queued):
        opened.close()
    assert validity <= elapsed < 10 * validity, elapsed
