"""Who votes, shown and changed by command: against a stub, and with real controllers."""

import asyncio
import copy
import json
import time

from aiohttp import web
from behave import given, then, when
from click.testing import CliRunner

from bramblewood.cli.gateway import gateway
from bramblewood.common.settings import Bounds
from bramblewood.controller.command_decoding import decode_membership_call
from bramblewood.controller.sessions import HEARTBEAT_INTERVAL
from tests.approved import approve
from tests.simulation.membership_commands import SEAT_KEPT_FOR, ControllerFleet


def member(disk: str, state: str, heard: float | None, epoch: int | None, *lag: int) -> dict:
    behind = dict(zip(("config", "table"), lag, strict=True)) if lag else None
    return {"disk": disk, "state": state, "heard": heard, "epoch": epoch, "lag": behind}


MEMBERSHIP_VIEW = {
    "me": "10.0.0.4",
    "epoch": 3,
    "state": "voter",
    "members": {
        "10.0.0.4": member("5e21", "voter", None, 3, 0, 0),
        "10.0.0.5": member("77a0", "voter", 0.2, 3, 0, 0),
        "10.0.0.6": member("c019", "voter", 0.1, 2, 1, 14),
    },
    "others": {"10.0.0.7": member("", "spare", None, None)},
    "tolerance": 1,
    "margin": 1,
    "change": "",
}


@when("the body of a call about members is")
def decode_bodies(context):
    decoded = [(row["body"], decode_membership_call(row["body"].encode())) for row in context.table]
    context.lines = [
        f"{body}: {result.ok_value if result.is_ok() else result.err_value}" for body, result in decoded
    ]


async def transcript(command: str, change: str) -> list[str]:
    """One command against a stub: what was asked of it, the output, the exit code.

    change: fields of the stub that differ. `answer`: status and body of its answer to orders; `moved`: calls
    that it answers with 307; `gone`: whether it has no view.
    """
    stub = {**copy.deepcopy(MEMBERSHIP_VIEW), "answer": [404, {}], "moved": 0, "gone": False}
    requests = []
    for name, _, value in (part.partition("=") for part in change.split("; ") if part):
        changed, field = (stub["members"][name], "state") if name in stub["members"] else (stub, name)
        changed[field] = json.loads(value)

    async def answer(request):
        requests.append(f"  {request.method} {request.path} {await request.text()}".rstrip())
        if len(requests) <= stub["moved"]:
            return web.Response(status=307, headers={"Location": f"http://{request.host}{request.path}"})
        if request.method == "GET" and not stub["gone"]:
            return web.json_response({name: stub[name] for name in MEMBERSHIP_VIEW})
        return web.json_response(stub["answer"][1], status=stub["answer"][0])

    server = await asyncio.get_running_loop().create_server(
        web.Server(answer, access_log=None), "127.0.0.1", 0
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    arguments = [*command.split(), "--controller", address]
    result = await asyncio.to_thread(CliRunner().invoke, gateway, arguments)
    server.close()
    output = result.output.replace(address, "HOST:PORT").splitlines()
    first = f"$ {command}   # {change}".strip(" #")
    return [first, *requests, *output, f"exit code {result.exit_code}", ""]


@when("an operator calls a controller that shows three voters at epoch 3")
def call_stub(context):
    rows = [(row["command"], row["change"]) for row in context.table]
    context.lines = [line for row in rows for line in asyncio.run(transcript(*row))]


@then('the membership is shown as "{name}"')
def shown_as(context, name):
    approve(name, context.lines)


def new_fleet(context) -> ControllerFleet:
    context.fleet = ControllerFleet()
    context.add_cleanup(context.fleet.close)
    return context.fleet


@given("three controllers that vote, with a configuration, and a spare")
def three_and_a_spare(context):
    fleet = new_fleet(context)
    fleet.write_settings(3, 4)
    for n in (1, 2, 3):
        fleet.start(n)
    fleet.put_configuration()
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter"})
    fleet.start(4)  # only now, as it would get the seat of a seed that is slow to start
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter", 4: "spare"})


@when("controller {n:d} is killed")
@when("controller {n:d} is killed and stays away")
def killed(context, n):
    context.killed_at = time.monotonic()
    context.fleet.kill(n)


@then("controller {n:d} has its seat, no sooner than its time is up")
def seat_taken(context, n):
    context.fleet.wait_for_states({n: "voter"})
    assert (
        time.monotonic() - context.killed_at > SEAT_KEPT_FOR - HEARTBEAT_INTERVAL
    )  # its last pulse may be so old


@then("the configuration is read back and a new one is taken")
def read_and_put(context):
    context.fleet.wait_until_read_back()
    context.fleet.put_configuration()
    context.fleet.wait_until_read_back()


@when("controllers {n:d} and {m:d} return")
def both_return(context, n, m):
    context.fleet.start(n)
    context.fleet.start(m)


@when("controller {n:d} returns")
def returns(context, n):
    context.fleet.start(n)


@then("controller {n:d} is a spare")
def stands_by(context, n):
    context.fleet.wait_for_spare(n)


@when("controller {n:d} receives SIGTERM")
@when("controller {n:d} receives SIGTERM, with nobody to take its seat")
def told_to_end(context, n):
    context.leaver, context.ended = n, context.fleet.terminate(n)


@then("it has ended in order within GraceS")
def ended(context):
    code, took = context.ended
    assert code == 0 and took < Bounds().GraceS, context.ended
    last = [
        context.fleet.log_events(context.leaver, event)[-1]["step"] for event in ("shutting down", "stopped")
    ]
    assert last == ["end", "end"], last


@then("it has ended in order within GraceS and controller {n:d} has its seat")
def handed_on(context, n):
    ended(context)
    fleet = context.fleet
    fleet.wait_for_states({n: "voter"})
    said = [line["reason"] for one in fleet.running for line in fleet.log_events(one, "voter set change")]
    assert f"{fleet.address_of(context.leaver)} leaves" in said, said


@when("controller {n:d} is killed and returns with an empty disk")
def emptied(context, n):
    context.disk = context.fleet.membership_at(n)["disks"][n], n
    context.fleet.kill(n)
    context.fleet.delete_disk(n)
    context.fleet.start(n)


@then("its new disk has the seat, and controller {spare:d} is a spare")
def new_disk(context, spare):
    before, n = context.disk
    context.fleet.wait_for_spare(spare)
    assert context.fleet.membership_at(n)["disks"][n] != before


@when("an operator orders")
def orders(context):
    context.lines = []
    for row in context.table:
        context.fleet.wait_until_settled()
        context.lines += context.fleet.run_command(row["command"], 1)


@given("three controllers whose disks the program before epochs has written")
def old_disks(context):
    fleet = new_fleet(context)
    fleet.write_settings(3, 3)
    fleet.revision = 1
    for n in (1, 2, 3):
        fleet.write_form_1_disk(n, 3, fleet.configuration(1))
        fleet.start(n)


@then("they vote on them, each seat with its disk's name, with the configuration that lay there")
def named(context):
    fleet = context.fleet
    named = lambda: fleet.membership_at(1)["epoch"] == 4 and all(fleet.membership_at(1)["disks"].values())  # noqa: E731
    fleet.wait_until("three seats named", named)
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter"})
    fleet.wait_until_read_back()
