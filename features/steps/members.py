import asyncio
import copy
import json

from aiohttp import web
from behave import then, when
from click.testing import CliRunner

from bramblewood.archive.accession import members_call
from bramblewood.cli.rooms import rooms
from tests.approved import approve


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
    result = await asyncio.to_thread(CliRunner().invoke, rooms, [*words.split(), "--archive", place])
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
