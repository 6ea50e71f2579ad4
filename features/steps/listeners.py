import asyncio
import os
import socket
import tempfile
from unittest import mock

from aiohttp import web
from behave import given, then, when

from bramblewood.common.listeners import listen_on, open_listeners_early
from bramblewood.common.peer_connections import PeerConnections, accept_connection

LISTENERS = ("Front", "ReadyProbe")


def free_port() -> int:
    """Return a port of 127.0.0.1 that is not in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def write_settings(context, ports):
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        lines = [f'{name} = "127.0.0.1:{port}"' for name, port in zip(LISTENERS, ports, strict=True)]
        file.write("\n".join(["[BindMap]", *lines]))
    context.add_cleanup(os.unlink, file.name)
    context.settings_path, context.ports = file.name, ports


def open_early(context):
    with mock.patch.dict(os.environ, {"BRAMBLEWOOD_BOOT": context.settings_path}):
        return open_listeners_early(LISTENERS)


@given("a settings file that names two listeners")
def two_listeners(context):
    write_settings(context, (free_port(), free_port()))


@given("a settings file whose second listener's address is in use")
def address_in_use(context):
    context.other_listener = listen_on("127.0.0.1", 0)
    context.add_cleanup(context.other_listener.close)
    write_settings(context, (free_port(), context.other_listener.getsockname()[1]))


@when("the listeners are opened early and a client connects to the first")
def client_connects(context):
    context.listeners = open_early(context)
    context.client = socket.create_connection(("127.0.0.1", context.ports[0]), 1)
    context.add_cleanup(context.client.close)


@then("the client is accepted once a server uses the listener")
def client_is_accepted(context):
    async def serve():
        accepted = asyncio.Event()
        sock = context.listeners["Front"]
        server = await asyncio.start_server(lambda reader, writer: accepted.set(), sock=sock)
        await asyncio.wait_for(accepted.wait(), 1)
        server.close()

    asyncio.run(serve())
    context.listeners["ReadyProbe"].close()


@then("no listener is open")
def no_listener_is_open(context):
    assert open_early(context) == {}
    listen_on("127.0.0.1", context.ports[0]).close()  # raises OSError if the first listener is still open


def do_nothing(*_):
    pass


@then(
    "of two peers whose first dial failed, the one that listens is connected and the other is still dialled"
)
def peers_are_dialled_again(context):
    async def dial():
        first_message_received, port = asyncio.Event(), free_port()
        peer_connections = PeerConnections(lambda peer: {"k": "hello"}, do_nothing, do_nothing, None)
        with mock.patch(
            "bramblewood.common.peer_connections.asyncio.sleep", side_effect=asyncio.sleep
        ) as sleep:
            for ip in ("127.0.0.2", "127.0.0.3"):
                peer_connections.keep_connected(ip, port)
            while sleep.call_count < 2:  # until the first dial of each peer has failed
                await asyncio.wait(peer_connections.tasks.values(), timeout=0.01)

        def accept(request):
            return accept_connection(request, lambda *_: first_message_received.set(), do_nothing, do_nothing)

        listener = await asyncio.get_running_loop().create_server(
            web.Server(accept, access_log=None), "127.0.0.2", port
        )
        async with asyncio.timeout(2):
            await first_message_received.wait()
        result = [*peer_connections.connected], [task.done() for task in peer_connections.tasks.values()]
        await peer_connections.close()
        listener.close()
        return result

    assert asyncio.run(dial()) == (["127.0.0.2"], [False, False])
