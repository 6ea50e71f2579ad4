"""Connections between controllers and proxies: one websocket to each peer, dialled again when it breaks.

A connection promises nothing but order: what was in transit when it broke is lost, and its sender sends it
again. A peer that stays silent for too long is given up, as a partition closes no socket.
"""

import asyncio
import json
import socket
from collections.abc import Callable
from enum import Enum
from typing import Any

import aiohttp
from aiohttp import web

from .errors import BramblewoodError, PeerMessageError
from .timeouts import UNACKNOWLEDGED_TIMEOUT_MS

CONNECT_TIMEOUT = 0.6  # s for a connection to come up; many times the transit between zones
# s without a message after which a connection counts as lost; heartbeats come each quarter of a second
CONNECTION_TIMEOUT = 1.2
FIRST_RECONNECT_DELAY = 0.1  # s between dials; doubled after each that failed
MAX_RECONNECT_DELAY = 0.5  # s
MAX_DELAY_AFTER_MALFORMED = 5.0  # s between dials to a peer that goes on to send what can't be decoded
# what handling a message raises where it is not of the form that it should have
MALFORMED_MESSAGE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
MAX_QUEUED_MESSAGES = 400  # that may wait for a slow peer; with more the connection is given up
MAX_MESSAGE_BYTES = 16 * 2**20  # a configuration of thousands of routes and its table
COMPRESSION_WINDOW_BITS = 15

Message = dict[str, Any]


def set_connection_timeouts(
    sock: socket.socket | None, unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Have the system end a connection whose bytes stay unacknowledged, as behind a partition."""
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def create_connection_socket(address_info: tuple) -> socket.socket:
    """A socket for an outgoing connection, as aiohttp's `socket_factory`."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    set_connection_timeouts(sock)
    return sock


class PeerConnection:
    """One websocket and the messages that wait to be sent on it. It owns the task that writes them."""

    def __init__(self, peer: str, websocket: Any) -> None:
        self.peer, self.websocket = peer, websocket
        # kept by the program that uses the connection: what the peer is, and what it was sent
        self.role = ""
        self.details_version = -1
        self.sent_versions: dict[str, int] = {}
        self._outgoing: asyncio.Queue[str] = asyncio.Queue()
        self._writer_task = asyncio.ensure_future(self._write_messages())

    def send(self, message: Message | str) -> None:
        """Queue a message, or its JSON text; a peer that falls too far behind loses the connection."""
        if self._outgoing.qsize() > MAX_QUEUED_MESSAGES:
            self.close()
            return
        text = message if isinstance(message, str) else json.dumps(message, separators=(",", ":"))
        self._outgoing.put_nowait(text)

    async def _write_messages(self) -> None:
        try:
            while True:
                await self.websocket.send_str(await self._outgoing.get())
        except (ConnectionError, RuntimeError, aiohttp.ClientError):
            self.close()

    def close(self) -> None:
        """Abort the connection; messages that wait are lost."""
        self._writer_task.cancel()
        transport = getattr(getattr(self.websocket, "_writer", None), "transport", None)
        if transport is not None:
            transport.abort()  # a close handshake would wait for a peer that may be gone

    async def wait_closed(self) -> None:
        """Wait for the writing task to end, after `close`."""
        await asyncio.wait((self._writer_task,))


MessageHandler = Callable[[PeerConnection, Message], None]


def decode_message(connection: PeerConnection, text: str) -> Message:
    """The message in a websocket's text; raises PeerMessageError where it is no JSON object with a kind."""
    try:
        message = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise PeerMessageError(error, peer=connection.peer) from error
    if not isinstance(message, dict) or not isinstance(message.get("k"), str):
        raise PeerMessageError("no message with a kind", peer=connection.peer)
    return message


def handle_message(connection: PeerConnection, on_message: MessageHandler, text: str) -> None:
    """Decode a message and hand it on. Raises PeerMessageError, with kind and peer, where that can't be."""
    message = decode_message(connection, text)
    try:
        on_message(connection, message)
    except MALFORMED_MESSAGE_ERRORS as error:
        problem = error.problem if isinstance(error, BramblewoodError) else repr(error)
        raise PeerMessageError(f"{message['k']:.40}: {problem}", peer=connection.peer) from error


async def receive_messages(
    connection: PeerConnection, on_message: MessageHandler, timeout: float | None
) -> None:
    """Hand on each message until the connection ends or brings none for `timeout` s. Raises PeerMessageError
    at the first that can't be handled.
    """
    while True:
        try:
            frame = await connection.websocket.receive(timeout=timeout)
        except TimeoutError:
            return
        if frame.type is not aiohttp.WSMsgType.TEXT:
            return
        handle_message(connection, on_message, frame.data)


class DialOutcome(Enum):
    """How one dialled connection ended."""

    FAILED = "failed"  # it did not come up
    LOST = "lost"
    MALFORMED = "malformed"  # the peer sent what can't be decoded


class PeerConnections:
    """The connections that this program dials, by peer. It owns the task that dials each."""

    def __init__(
        self,
        first_message: Callable[[str], Message],
        on_message: MessageHandler,
        on_change: Callable[[str, bool], None],
        receive_timeout: float | None,
        local_ip: str = "",
    ) -> None:
        """Dial nobody yet.

        first_message: of a peer, what each new connection to it begins with.
        on_change: called with a peer and whether its connection has come up or has been lost.
        receive_timeout: s without a message after which a connection counts as lost; None: never, for peers
        that send nothing.
        local_ip: the address to dial from, where that matters.
        """
        self.connected: dict[str, PeerConnection] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self._first_message, self._on_message, self._on_change = first_message, on_message, on_change
        self._receive_timeout = receive_timeout
        self._local_address = (local_ip, 0) if local_ip else None
        self._session: aiohttp.ClientSession | None = None
        # called with each message that could not be handled, before its connection is closed
        self.on_malformed: Callable[[PeerMessageError], None] = lambda error: None

    def maintain(self, peer: str, port: int) -> None:
        """Keep a connection to this peer from now on."""
        if peer not in self.tasks:
            self.tasks[peer] = asyncio.ensure_future(self._maintain(peer, port))

    def send(self, peer: str, message: Message | str) -> bool:
        """Send to a peer; False where it is not connected."""
        connection = self.connected.get(peer)
        if connection is not None:
            connection.send(message)
        return connection is not None

    async def close(self) -> None:
        """Dial no more, and close all connections."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _maintain(self, peer: str, port: int) -> None:
        delay = FIRST_RECONNECT_DELAY
        while True:
            outcome = await self._connect_and_receive(peer, port)
            if outcome is DialOutcome.LOST:
                delay = FIRST_RECONNECT_DELAY
            await asyncio.sleep(delay)
            is_malformed = outcome is DialOutcome.MALFORMED
            delay = min(delay * 2, MAX_DELAY_AFTER_MALFORMED if is_malformed else MAX_RECONNECT_DELAY)

    async def _connect_and_receive(self, peer: str, port: int) -> DialOutcome:
        """Dial once, and receive until the connection is lost."""
        connection = None
        try:
            connection = PeerConnection(peer, await self._open(peer, port))
            connection.send(self._first_message(peer))
            self.connected[peer] = connection
            self._on_change(peer, True)
            await receive_messages(connection, self._on_message, self._receive_timeout)
        except PeerMessageError as error:
            self.on_malformed(error)
            return DialOutcome.MALFORMED
        except (OSError, TimeoutError, aiohttp.ClientError, ValueError):
            pass  # dialled again, whatever the reason
        finally:
            if connection is not None:
                await self._close_lost(peer, connection)
        return DialOutcome.FAILED if connection is None else DialOutcome.LOST

    async def _open(self, peer: str, port: int) -> aiohttp.ClientWebSocketResponse:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                socket_factory=create_connection_socket,
                limit=0,
                ttl_dns_cache=None,
                local_addr=self._local_address,
            )
            self._session = aiohttp.ClientSession(connector=connector)
        async with asyncio.timeout(CONNECT_TIMEOUT):
            return await self._session.ws_connect(
                f"http://{peer}:{port}/link",
                compress=COMPRESSION_WINDOW_BITS,
                autoping=True,
                max_msg_size=MAX_MESSAGE_BYTES,
            )

    async def _close_lost(self, peer: str, connection: PeerConnection) -> None:
        connection.close()
        await connection.websocket.close()
        if self.connected.get(peer) is connection:
            del self.connected[peer]
            self._on_change(peer, False)
        await connection.wait_closed()


async def accept_connection(
    request: web.BaseRequest,
    on_first_message: MessageHandler,
    on_message: MessageHandler,
    on_close: Callable[[PeerConnection], None],
    on_malformed: Callable[[PeerMessageError], None] = lambda error: None,
) -> web.StreamResponse:
    """Serve a connection that a peer dialled: its first message says who it is."""
    websocket = web.WebSocketResponse(compress=True, max_msg_size=MAX_MESSAGE_BYTES)
    try:
        await websocket.prepare(request)
    except ConnectionError:  # the dialler has gone meanwhile
        return web.Response(status=503)
    set_connection_timeouts(request.transport.get_extra_info("socket") if request.transport else None)
    connection = PeerConnection(request.remote or "", websocket)
    try:
        first = await websocket.receive(timeout=CONNECTION_TIMEOUT)
        if first.type is aiohttp.WSMsgType.TEXT:
            handle_message(connection, on_first_message, first.data)
            await receive_messages(connection, on_message, None)
    except PeerMessageError as error:
        on_malformed(error)
    except (TimeoutError, ConnectionError):
        pass  # the peer dials again
    finally:
        on_close(connection)
        connection.close()
        await connection.wait_closed()
    return websocket
