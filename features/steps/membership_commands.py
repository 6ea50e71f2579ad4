"""Steps for the commands that show and change the voters, against a stub and against real controllers."""

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
from bramblewood.controller.peer_sessions import HEARTBEAT_INTERVAL
from tests.approved import approve
from tests.simulation.membership_commands import SEAT_KEPT_FOR, ControllerProcesses


def member(disk: str, state: str, silent_for: float | None, epoch: int | None, *lag: int) -> dict:
    """Returns one controller in the form of the membership view.

    silent_for: the time since its last heartbeat in s. lag: the versions by which it lags behind the chosen
    configuration and table.
    """
    lag_by_register = dict(zip(("config", "table"), lag, strict=True)) if lag else None
    return {"disk": disk, "state": state, "heard": silent_for, "epoch": epoch, "lag": lag_by_register}


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


@when("the body of a membership call is")
def decode_bodies(context):
    decoded = [(row["body"], decode_membership_call(row["body"].encode())) for row in context.table]
    context.lines = [
        f"{body}: {result.ok_value if result.is_ok() else result.err_value}" for body, result in decoded
    ]


async def transcript(command: str, stub_fields: str) -> list[str]:
    """Runs a command against a stub. Returns its requests, its output and its exit code as lines.

    stub_fields: the fields of the stub that differ from the default, as "field=JSON" separated by "; ". Apart
    from the fields of MEMBERSHIP_VIEW and the states of its members, they are:
    answer: the status and body of the response to a change, or to every request if the stub is `gone`.
    moved: how many requests, from the first one on, the stub redirects to itself with status 307.
    gone: whether the stub has no membership view.
    """
    stub = {**copy.deepcopy(MEMBERSHIP_VIEW), "answer": [404, {}], "moved": 0, "gone": False}
    requests = []
    for name, _, value in (part.partition("=") for part in stub_fields.split("; ") if part):
        record, field = (stub["members"][name], "state") if name in stub["members"] else (stub, name)
        record[field] = json.loads(value)

    async def respond(request):
        requests.append(f"  {request.method} {request.path} {await request.text()}".rstrip())
        if len(requests) <= stub["moved"]:
            return web.Response(status=307, headers={"Location": f"http://{request.host}{request.path}"})
        if request.method == "GET" and not stub["gone"]:
            return web.json_response({name: stub[name] for name in MEMBERSHIP_VIEW})
        return web.json_response(stub["answer"][1], status=stub["answer"][0])

    server = await asyncio.get_running_loop().create_server(
        web.Server(respond, access_log=None), "127.0.0.1", 0
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    arguments = [*command.split(), "--controller", address]
    result = await asyncio.to_thread(CliRunner().invoke, gateway, arguments)
    server.close()
    output = result.output.replace(address, "HOST:PORT").splitlines()
    heading = f"$ {command}   # {stub_fields}".strip(" #")
    return [heading, *requests, *output, f"exit code {result.exit_code}", ""]


@when("an operator calls a stub of a controller with three voters at epoch 3")
def call_stub(context):
    rows = [(row["command"], row["stub fields"]) for row in context.table]
    context.lines = [line for row in rows for line in asyncio.run(transcript(*row))]


@then('the output matches the approved membership output "{name}"')
def output_is_approved(context, name):
    approve(name, context.lines)


def new_fleet(context) -> ControllerProcesses:
    context.fleet = ControllerProcesses()
    context.add_cleanup(context.fleet.close)
    return context.fleet


@given("three voting controllers with a configuration, and a spare")
def start_three_voters_and_a_spare(context):
    fleet = new_fleet(context)
    fleet.write_settings(3, 4)
    for n in (1, 2, 3):
        fleet.start(n)
    fleet.put_configuration()
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter"})
    fleet.start(4)  # only now, as it could get the seat of a seed that starts slowly
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter", 4: "spare"})


@when("controller {n:d} is killed")
@when("controller {n:d} is killed and does not return")
def kill(context, n):
    context.killed_at = time.monotonic()
    context.fleet.kill(n)


@then("controller {n:d} gets the seat after half of CatchUpS, not before")
def seat_is_replaced_in_time(context, n):
    context.fleet.wait_for_states({n: "voter"})
    # The last heartbeat of the killed controller was sent up to one interval before the kill.
    assert time.monotonic() - context.killed_at > SEAT_KEPT_FOR - HEARTBEAT_INTERVAL


@then("the configuration can be read, and a new one is acknowledged")
def read_and_put_configuration(context):
    context.fleet.wait_until_read_back()
    context.fleet.put_configuration()
    context.fleet.wait_until_read_back()


@when("controllers {n:d} and {m:d} return")
def start_both(context, n, m):
    context.fleet.start(n)
    context.fleet.start(m)


@when("controller {n:d} returns")
def start_again(context, n):
    context.fleet.start(n)


@then("controller {n:d} is a spare")
def is_a_spare(context, n):
    context.fleet.wait_for_spare(n)


@when("controller {n:d} receives SIGTERM")
@when("controller {n:d} receives SIGTERM without a successor")
def terminate(context, n):
    context.terminated, context.exit = n, context.fleet.terminate(n)


@then("it completes its shutdown within GraceS")
def shutdown_is_complete(context):
    code, seconds = context.exit
    assert code == 0 and seconds < Bounds().GraceS, context.exit
    last_steps = [
        context.fleet.log_events(context.terminated, event)[-1]["step"]
        for event in ("shutting down", "stopped")
    ]
    assert last_steps == ["end", "end"], last_steps


@then("it completes its shutdown within GraceS, and controller {n:d} gets the seat")
def shutdown_is_complete_with_successor(context, n):
    shutdown_is_complete(context)
    fleet = context.fleet
    fleet.wait_for_states({n: "voter"})
    reasons = [
        line["reason"] for other in fleet.running for line in fleet.log_events(other, "voter set change")
    ]
    assert f"{fleet.address_of(context.terminated)} leaves" in reasons, reasons


@when("controller {n:d} is killed and returns with an empty disk")
def restart_with_empty_disk(context, n):
    context.replaced_disk = context.fleet.membership_at(n)["disks"][n], n
    context.fleet.kill(n)
    context.fleet.delete_disk(n)
    context.fleet.start(n)


@then("its new disk gets the seat, and controller {spare:d} is a spare")
def new_disk_has_seat(context, spare):
    old_disk, n = context.replaced_disk
    context.fleet.wait_for_spare(spare)
    assert context.fleet.membership_at(n)["disks"][n] != old_disk


@when("an operator runs these commands")
def run_commands(context):
    context.lines = []
    for row in context.table:
        context.fleet.wait_until_settled()
        context.lines += context.fleet.run_command(row["command"], 1)


@given("three controllers with disks from a release without epochs")
def start_from_schema_1_disks(context):
    fleet = new_fleet(context)
    fleet.write_settings(3, 3)
    fleet.revision = 1
    for n in (1, 2, 3):
        fleet.write_schema_1_disk(n, 3, fleet.configuration(1))
        fleet.start(n)


@then("all three vote, each seat names its disk, and the stored configuration can be read")
def old_disks_vote(context):
    fleet = context.fleet
    all_named = lambda: fleet.membership_at(1)["epoch"] == 4 and all(fleet.membership_at(1)["disks"].values())  # noqa: E731
    fleet.wait_until("epoch 4, in which each seat names its disk", all_named)
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter"})
    fleet.wait_until_read_back()
