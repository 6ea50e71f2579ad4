"""Tests connections between peers over loopback: their tasks, reconnection and malformed messages."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest
from aiohttp import web

from bramblewood.common.errors import BramblewoodError, PeerMessageError, SettingsError
from bramblewood.common.peer_connections import (
    PeerConnection,
    PeerConnections,
    accept_connection,
    decode_message,
)

HOST = "127.0.0.1"


class RecordingServer:
    """Accepts connections, and queues their first messages, further messages and closed connections."""

    def __init__(self) -> None:
        self.first_messages, self.messages, self.closed = asyncio.Queue(), asyncio.Queue(), asyncio.Queue()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        return await accept_connection(
            request,
            lambda connection, message: self.first_messages.put_nowait((connection, message)),
            lambda connection, message: self.messages.put_nowait(message),
            self.closed.put_nowait,
        )


@contextlib.asynccontextmanager
async def serving(acceptor: RecordingServer):
    """Serve connections with the acceptor. Yields the port on which it listens."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port = sock.getsockname()[1]
    server = web.Server(acceptor.serve, access_log=None)
    listener = await asyncio.get_running_loop().create_server(server, HOST, port)
    try:
        yield port
    finally:
        listener.close()
        await server.shutdown(1.0)


def create_connections(changes: asyncio.Queue) -> PeerConnections:
    def on_change(peer: str, connected: bool) -> None:
        changes.put_nowait((peer, connected))

    return PeerConnections(lambda peer: {"k": "hello", "to": peer}, lambda *_: None, on_change, None)


def other_tasks() -> set[asyncio.Task]:
    return asyncio.all_tasks() - {asyncio.current_task()}


def test_close_ends_all_tasks_of_the_connections() -> None:
    async def scenario() -> None:
        acceptor, changes = RecordingServer(), asyncio.Queue()
        async with asyncio.timeout(5), serving(acceptor) as port:
            earlier_tasks = other_tasks()
            connections = create_connections(changes)
            connections.keep_connected(HOST, port)
            assert await changes.get() == (HOST, True)
            _, first = await acceptor.first_messages.get()
            assert first == {"k": "hello", "to": HOST}
            assert connections.send(HOST, {"k": "more"})
            assert await acceptor.messages.get() == {"k": "more"}
            await connections.close()
            assert await changes.get() == (HOST, False)
            assert not connections.send(HOST, {"k": "late"})
            await acceptor.closed.get()
            task_names = [task.get_coro().__qualname__ for task in other_tasks() - earlier_tasks]
            assert not [task_name for task_name in task_names if "PeerConnection" in task_name]

    asyncio.run(scenario())


def test_lost_connection_is_dialled_again() -> None:
    async def scenario() -> None:
        acceptor, changes = RecordingServer(), asyncio.Queue()
        async with asyncio.timeout(5), serving(acceptor) as port:
            connections = create_connections(changes)
            connections.keep_connected(HOST, port)
            connection, _ = await acceptor.first_messages.get()
            connection.close()
            assert [await changes.get() for _ in range(3)] == [(HOST, True), (HOST, False), (HOST, True)]
            await connections.close()

    asyncio.run(scenario())


def test_malformed_first_message_closes_the_connection() -> None:
    async def scenario() -> None:
        acceptor = RecordingServer()
        async with asyncio.timeout(5), serving(acceptor) as port, aiohttp.ClientSession() as session:
            async with session.ws_connect(f"http://{HOST}:{port}/link") as websocket:
                await websocket.send_str("{no JSON")
                await acceptor.closed.get()
                assert (await websocket.receive()).type is not aiohttp.WSMsgType.TEXT
            assert acceptor.first_messages.empty()

    asyncio.run(scenario())


def test_error_of_a_malformed_message_contains_step_and_peer() -> None:
    async def scenario() -> None:
        connection = PeerConnection("10.0.0.4", None)
        with pytest.raises(PeerMessageError) as raised:
            decode_message(connection, "{no JSON")
        connection.close()
        await connection.wait_closed()
        assert isinstance(raised.value, BramblewoodError) and isinstance(raised.value, ValueError)
        fields = raised.value.log_fields()
        assert (fields["step"], fields["peer"]) == ("receive", "10.0.0.4")

    asyncio.run(scenario())


def test_settings_error_contains_the_path_of_its_file() -> None:
    error = SettingsError("Ip: expected a text, found 7")
    assert str(error) == "Ip: expected a text, found 7"
    error_with_path = error.in_file("boot.toml")
    assert str(error_with_path) == "boot.toml: Ip: expected a text, found 7"
    assert error_with_path.log_fields() == {"step": "settings", "reason": str(error_with_path)}
