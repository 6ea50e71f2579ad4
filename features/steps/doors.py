import asyncio
import os
import socket
import tempfile
from unittest import mock

from aiohttp import web
from behave import given, then, when

from bramblewood.common.listeners import listen_on, open_listeners_early
from bramblewood.common.peer_connections import PeerConnections, accept_connection


def free() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def settings(context, ports):
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        lines = [
            f'{name} = "127.0.0.1:{port}"' for name, port in zip(("Front", "ReadyProbe"), ports, strict=True)
        ]
        file.write("\n".join(["[BindMap]", *lines]))
    context.add_cleanup(os.unlink, file.name)
    context.path, context.ports = file.name, ports


def opened(context):
    with mock.patch.dict(os.environ, {"BRAMBLEWOOD_BOOT": context.path}):
        return open_listeners_early(("Front", "ReadyProbe"))


@given("a settings file that names two doors")
def two(context):
    settings(context, (free(), free()))


@given("a settings file whose second door is taken")
def taken(context):
    context.other = listen_on("127.0.0.1", 0)
    context.add_cleanup(context.other.close)
    settings(context, (free(), context.other.getsockname()[1]))


@when("the doors are opened early and a client connects to the first")
def connects(context):
    context.doors = opened(context)
    context.client = socket.create_connection(("127.0.0.1", context.ports[0]), 1)
    context.add_cleanup(context.client.close)


@then("the client is taken once a server takes up the door")
def served(context):
    async def play():
        met = asyncio.Event()
        made = await asyncio.start_server(lambda reader, writer: met.set(), sock=context.doors["Front"])
        await asyncio.wait_for(met.wait(), 1)
        made.close()

    asyncio.run(play())
    context.doors["ReadyProbe"].close()


@then("no door stays open")
def closed(context):
    assert opened(context) == {}
    listen_on("127.0.0.1", context.ports[0]).close()  # nobody holds it


@then("of two managers that were dialled in vain one is linked once it listens, and the other still dialled")
def dialled(context):
    async def play():
        met, port = asyncio.Event(), free()
        peer_connections = PeerConnections(
            lambda peer: {"k": "hello"}, lambda *_: None, lambda *_: None, None
        )
        with mock.patch(
            "bramblewood.common.peer_connections.asyncio.sleep", side_effect=asyncio.sleep
        ) as waits:
            for ip in ("127.0.0.2", "127.0.0.3"):
                peer_connections.maintain(ip, port)
            while waits.call_count < 2:  # each has failed once, and waits for its next dial
                await asyncio.wait(peer_connections.tasks.values(), timeout=0.01)
        serve = web.Server(
            lambda asked: accept_connection(asked, lambda *_: met.set(), *[lambda *_: None] * 2)
        )
        listening = await asyncio.get_running_loop().create_server(serve, "127.0.0.2", port)
        async with asyncio.timeout(2):
            await met.wait()
        found = [*peer_connections.connected], [task.done() for task in peer_connections.tasks.values()]
        await peer_connections.close()
        listening.close()
        return found

    assert asyncio.run(play()) == (["127.0.0.2"], [False, False])
