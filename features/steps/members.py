import asyncio
import copy
import json

from aiohttp import web
from behave import given, then, when
from click.testing import CliRunner

from bramblewood.archive.accession import members_call
from bramblewood.cli.enquiries import call
from bramblewood.cli.rooms import rooms
from tests.approved import approve


def one(disk: str, state: str, heard: float | None, epoch: int | None, lag: dict | None) -> dict:
    return {"disk": disk, "state": state, "heard": heard, "epoch": epoch, "lag": lag}


LEVEL = {"config": 0, "table": 0}
TOLD = {
    "me": "10.0.0.4",
    "epoch": 3,
    "state": "voter",
    "members": {
        "10.0.0.4": one("5e21", "voter", None, 3, LEVEL),
        "10.0.0.5": one("77a0", "voter", 0.2, 3, LEVEL),
        "10.0.0.6": one("c019", "voter", 0.1, 2, {"config": 1, "table": 14}),
    },
    "others": {"10.0.0.7": one("", "spare", None, None, None)},
    "tolerance": 1,
    "margin": 1,
    "change": "",
}


@when("the body of a call about members is")
def bodies(context):
    context.lines = []
    for row in context.table:
        told = members_call(row["body"].encode())
        context.lines.append(f"{row['body']}: {told.ok_value if told.is_ok() else told.err_value}")


@then('the calls about members are "{name}"')
def decoded(context, name):
    approve(name, context.lines)


async def serving(answer):
    """A stand-in for an archive's inner listener on loopback: its address, and how to end it."""
    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return f"127.0.0.1:{runner.addresses[0][1]}", runner.cleanup


def changed(change: str) -> dict:
    """What the stand-in tells, with `place=value` changed; of the places only the states lie deeper."""
    told = copy.deepcopy({**TOLD, "answer": [404, {}], "moved": 0, "gone": False})
    for part in filter(None, change.split("; ")):
        path, _, value = part.partition("=")
        if path.startswith("members."):
            told["members"][path[len("members.") : -len(".state")]]["state"] = json.loads(value)
        else:
            told[path] = json.loads(value)
    return told


@given("an archive that tells of three voters at epoch 3")
def archive(context):
    context.lines = []


async def called(words: str, told: dict) -> list[str]:
    """One command against the stand-in: what it sent, its output and its exit code."""
    asked = []

    async def answer(request):
        asked.append(f"  {request.method} {request.path} {await request.text()}".rstrip())
        if told["gone"]:
            return web.json_response({"Failure": "no such view"}, status=404)
        if len(asked) <= told["moved"]:
            place = f"http://{request.host}{request.path}"
            return web.Response(status=307, headers={"Location": place})
        if request.method == "GET":
            shown = {name: value for name, value in told.items() if name in TOLD}
            return web.json_response(shown)
        return web.json_response(told["answer"][1], status=told["answer"][0])

    place, end = await serving(answer)
    words = [*words.split(), "--archive", place]
    result = await asyncio.to_thread(CliRunner().invoke, rooms, words)
    await end()
    lines = (result.output + result.stderr * (result.stderr not in result.output)).splitlines()
    return [*asked, *(line.replace(place, "HOST:PORT") for line in lines), f"exit code {result.exit_code}"]


@when("an operator calls")
def calls(context):
    for row in context.table:
        lines = asyncio.run(called(row["words"], changed(row["change"])))
        context.lines += [f"$ {row['words']}   # {row['change']}".strip(" #"), *lines, ""]


@then('the members are told "{name}"')
def shown(context, name):
    approve(name, context.lines)


@then("of places that answer 500, 408, 429 or nothing, and one that answers 200, the last one's is taken")
def goes_on(context):
    async def play():
        made = []
        for status in (500, 408, 429, 200):

            async def answer(request, status=status):
                return web.json_response({"status": status}, status=status)

            made.append(await serving(answer))
        silent = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        places = [place for place, _ in made]
        places.insert(1, f"127.0.0.1:{silent.sockets[0].getsockname()[1]}")
        told = await asyncio.to_thread(call, places, "PUT", "/x", b"{}")
        silent.close()
        for _, end in made:
            await end()
        return told

    status, body = asyncio.run(play())
    assert (status, json.loads(body)) == (200, {"status": 200})
