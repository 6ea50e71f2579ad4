import asyncio
import copy
import json
import time

from aiohttp import web
from behave import given, then, when
from click.testing import CliRunner

from bramblewood.cli.gateway import gateway
from bramblewood.common.settings import Bounds
from bramblewood.controller.commands import members_call
from bramblewood.controller.sessions import HEARTBEAT_INTERVAL
from tests.approved import approve
from tests.simulation.membership_commands import TAKES_SEAT, VoterSet


def one(disk: str, state: str, heard: float | None, epoch: int | None, *lag: int) -> dict:
    behind = dict(zip(("config", "table"), lag, strict=True)) if lag else None
    return {"disk": disk, "state": state, "heard": heard, "epoch": epoch, "lag": behind}


TOLD = {
    "me": "10.0.0.4",
    "epoch": 3,
    "state": "voter",
    "members": {
        "10.0.0.4": one("5e21", "voter", None, 3, 0, 0),
        "10.0.0.5": one("77a0", "voter", 0.2, 3, 0, 0),
        "10.0.0.6": one("c019", "voter", 0.1, 2, 1, 14),
    },
    "others": {"10.0.0.7": one("", "spare", None, None)},
    "tolerance": 1,
    "margin": 1,
    "change": "",
}


@when("the body of a call about members is")
def bodies(context):
    told = [(row["body"], members_call(row["body"].encode())) for row in context.table]
    context.lines = [f"{body}: {one.ok_value if one.is_ok() else one.err_value}" for body, one in told]


async def called(words: str, change: str) -> list[str]:
    """One command against a stand-in: what was asked of it, the output, the exit code."""
    told, asked = {**copy.deepcopy(TOLD), "answer": [404, {}], "moved": 0, "gone": False}, []
    for name, _, value in (part.partition("=") for part in change.split("; ") if part):
        at, field = (told["members"][name], "state") if name in told["members"] else (told, name)
        at[field] = json.loads(value)

    async def answer(request):
        asked.append(f"  {request.method} {request.path} {await request.text()}".rstrip())
        if len(asked) <= told["moved"]:
            return web.Response(status=307, headers={"Location": f"http://{request.host}{request.path}"})
        if request.method == "GET" and not told["gone"]:
            return web.json_response({name: told[name] for name in TOLD})
        return web.json_response(told["answer"][1], status=told["answer"][0])

    server = await asyncio.get_running_loop().create_server(
        web.Server(answer, access_log=None), "127.0.0.1", 0
    )
    place = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    result = await asyncio.to_thread(CliRunner().invoke, gateway, [*words.split(), "--controller", place])
    server.close()
    output = result.output.replace(place, "HOST:PORT").splitlines()
    return [f"$ {words}   # {change}".strip(" #"), *asked, *output, f"exit code {result.exit_code}", ""]


@when("an operator calls an archive that tells of three voters at epoch 3")
def calls(context):
    rows = [(row["words"], row["change"]) for row in context.table]
    context.lines = [line for row in rows for line in asyncio.run(called(*row))]


@then('the members are told "{name}"')
def shown(context, name):
    approve(name, context.lines)


def play(context) -> VoterSet:
    context.play = VoterSet()
    context.add_cleanup(context.play.end)
    return context.play


@given("three archives that vote, with a configuration, and a spare")
def three_and_a_spare(context):
    members = play(context)
    members.settle(3, 4)
    for n in (1, 2, 3, 4):
        members.start(n)
    members.put()
    members.agree({1: "voter", 2: "voter", 3: "voter", 4: "spare"})


@when("archive {n:d} is killed")
@when("archive {n:d} is killed and stays away")
def killed(context, n):
    context.killed_at = time.monotonic()
    context.play.kill(n)


@then("archive {n:d} has its seat, no sooner than its time is up")
def seat_taken(context, n):
    context.play.agree({n: "voter"})
    assert (
        time.monotonic() - context.killed_at > TAKES_SEAT - HEARTBEAT_INTERVAL
    )  # its last pulse may be so old


@then("the configuration is read back and a new one is taken")
def read_and_put(context):
    context.play.reads()
    context.play.put()
    context.play.reads()


@when("archives {n:d} and {m:d} return")
def both_return(context, n, m):
    context.play.start(n)
    context.play.start(m)


@when("archive {n:d} returns")
def returns(context, n):
    context.play.start(n)


@then("archive {n:d} is a spare")
def stands_by(context, n):
    others = context.play.paths.keys() - {n}
    context.play.agree({n: "spare", **dict.fromkeys(others, "voter")})


@when("archive {n:d} is told to end")
@when("archive {n:d} is told to end, with nobody to take its seat")
def told_to_end(context, n):
    context.leaver, context.ended = n, context.play.terminate(n)


@then("it has ended in order within GraceS")
def ended(context):
    code, took = context.ended
    assert code == 0 and took < Bounds().GraceS, context.ended
    last = [context.play.log(context.leaver, event)[-1]["step"] for event in ("ending", "stopped")]
    assert last == ["end", "end"], last


@then("it has ended in order within GraceS and archive {n:d} has its seat")
def handed_on(context, n):
    ended(context)
    members = context.play
    members.agree({n: "voter"})
    said = [line["why"] for one in members.running for line in members.log(one, "member change")]
    assert f"{members.ip(context.leaver)} leaves" in said, said


@when("archive {n:d} is killed and returns with an empty disk")
def emptied(context, n):
    context.disk = context.play.seen(n)["disks"][n], n
    context.play.kill(n)
    context.play.empty(n)
    context.play.start(n)


@then("its new disk has the seat")
def new_disk(context):
    before, n = context.disk
    context.play.agree({n: "voter"})
    assert context.play.seen(n)["disks"][n] != before


@when("an operator orders")
def orders(context):
    context.lines = []
    for row in context.table:
        context.play.calm()
        context.lines += context.play.command(row["words"], 1)


@given("three archives whose disks the program before epochs has written")
def old_disks(context):
    members = play(context)
    members.settle(3, 3)
    members.revision = 1
    for n in (1, 2, 3):
        members.old_disk(n, 3, members.config(1))
        members.start(n)


@then("they vote on them, each seat with its disk's name, with the configuration that lay there")
def named(context):
    members = context.play
    named = lambda: members.seen(1)["epoch"] == 4 and all(members.seen(1)["disks"].values())  # noqa: E731
    members.until("three seats named", named)
    members.agree({1: "voter", 2: "voter", 3: "voter"})
    members.reads()
