"""Connections between controllers and proxies: one websocket to each peer, dialled again when it is lost.

A connection guarantees only the order of its messages. Messages in transit are lost with the connection, and
their sender has to send them again. A partition does not close a socket, so a connection also counts as lost
if no message arrives for too long.
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

CONNECT_TIMEOUT = 0.6  # s to establish a connection; many times the transit time between zones
# s without a message after which a connection counts as lost; a heartbeat is sent every quarter of a second
CONNECTION_TIMEOUT = 1.2
FIRST_RECONNECT_DELAY = 0.1  # s between dials; doubled after each failed dial
MAX_RECONNECT_DELAY = 0.5  # s
MAX_DELAY_AFTER_MALFORMED = 5.0  # s between dials of a peer that keeps sending malformed messages
# the errors that a message handler raises for a message with missing or invalid fields
MALFORMED_MESSAGE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
MAX_QUEUED_MESSAGES = 400  # to a slow peer; a connection with more is closed
MAX_MESSAGE_BYTES = 16 * 2**20  # enough for a configuration of thousands of routes, and for its table
COMPRESSION_WINDOW_BITS = 15

Message = dict[str, Any]


def set_connection_timeouts(
    sock: socket.socket | None, unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Set TCP_USER_TIMEOUT and TCP_NODELAY on a socket.

    The system then ends a connection whose sent bytes stay unacknowledged for `unacknowledged_ms`, as they do
    in a partition.
    """
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def create_connection_socket(address_info: tuple) -> socket.socket:
    """Return a socket for an outgoing connection; a `socket_factory` of aiohttp."""
    family, socket_type, protocol, _, _ = address_info
    sock = socket.socket(family, socket_type, protocol)
    sock.setblocking(False)
    set_connection_timeouts(sock)
    return sock


class PeerConnection:
    """A websocket and the queue of messages to send on it. It owns the task that writes them."""

    def __init__(self, peer: str, websocket: Any) -> None:
        self.peer, self.websocket = peer, websocket
        # set by the owner of the connection: the peer's role, the version of the heartbeat details that were
        # sent to the peer last, and the newest version sent to it by register
        self.role = ""
        self.details_version = -1
        self.sent_versions: dict[str, int] = {}
        self._outgoing: asyncio.Queue[str] = asyncio.Queue()
        self._writer_task = asyncio.ensure_future(self._write_messages())

    def send(self, message: Message | str) -> None:
        """Queue a message or its JSON text. Closes the connection if too many messages are queued."""
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
        """Abort the connection. Queued messages are lost."""
        self._writer_task.cancel()
        transport = getattr(getattr(self.websocket, "_writer", None), "transport", None)
        if transport is not None:
            transport.abort()  # a close handshake would wait for the peer, which may be unreachable

    async def wait_closed(self) -> None:
        """Wait until the writer task has ended. Call `close` first."""
        await asyncio.wait((self._writer_task,))


MessageHandler = Callable[[PeerConnection, Message], None]


def decode_message(connection: PeerConnection, text: str) -> Message:
    """Return the message in a websocket's text.

    Raises PeerMessageError if it is not a JSON object with a kind.
    """
    try:
        message = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise PeerMessageError(error, peer=connection.peer) from error
    if not isinstance(message, dict) or not isinstance(message.get("k"), str):
        raise PeerMessageError("expected a JSON object whose key k is a text", peer=connection.peer)
    return message


def handle_message(connection: PeerConnection, on_message: MessageHandler, text: str) -> None:
    """Decode a message and pass it to `on_message`.

    Raises PeerMessageError with the peer if the message cannot be decoded, and with the peer and the kind if
    `on_message` fails with one of MALFORMED_MESSAGE_ERRORS.
    """
    message = decode_message(connection, text)
    try:
        on_message(connection, message)
    except MALFORMED_MESSAGE_ERRORS as error:
        problem = error.problem if isinstance(error, BramblewoodError) else repr(error)
        raise PeerMessageError(f"{message['k']:.40}: {problem}", peer=connection.peer) from error


async def receive_messages(
    connection: PeerConnection, on_message: MessageHandler, timeout: float | None
) -> None:
    """Pass each message to `on_message` until the connection ends or no message arrives for `timeout` s.

    A `timeout` of None means no limit. Raises PeerMessageError at the first message that cannot be handled.
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
    """How a dial or the connection that it established ended."""

    FAILED = "failed"  # no connection was established
    LOST = "lost"  # the connection was established, and has been closed or timed out
    MALFORMED = "malformed"  # the peer sent a message that cannot be handled


class PeerConnections:
    """The connections that this program dials, by peer. It owns a task for each peer."""

    def __init__(
        self,
        first_message: Callable[[str], Message],
        on_message: MessageHandler,
        on_change: Callable[[str, bool], None],
        receive_timeout: float | None,
        local_ip: str = "",
    ) -> None:
        """Store the arguments. `maintain` starts to dial.

        `first_message` returns the message that each new connection to a peer begins with. `on_change` is
        called with a peer and True when its connection is established, and with False when it is lost.
        `receive_timeout` is the time in s without a message after which a connection counts as lost, or None
        for peers that send no messages. `local_ip` is the address to dial from, or "" for any.
        """
        self.connected: dict[str, PeerConnection] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self._first_message, self._on_message, self._on_change = first_message, on_message, on_change
        self._receive_timeout = receive_timeout
        self._local_address = (local_ip, 0) if local_ip else None
        self._session: aiohttp.ClientSession | None = None
        # called with the error of each message that cannot be handled, before its connection is closed
        self.on_malformed: Callable[[PeerMessageError], None] = lambda error: None

    def keep_connected(self, peer: str, port: int) -> None:
        """Dial a peer now, and again whenever the connection is lost, until `close`."""
        if peer not in self.tasks:
            self.tasks[peer] = asyncio.ensure_future(self._maintain(peer, port))

    def send(self, peer: str, message: Message | str) -> bool:
        """Queue a message to a peer. Returns False if the peer is not connected."""
        connection = self.connected.get(peer)
        if connection is not None:
            connection.send(message)
        return connection is not None

    async def close(self) -> None:
        """Stop dialling, and close all connections."""
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
        """Dial a peer once, and receive its messages until the connection ends."""
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
            pass  # the peer is dialled again after any of these errors
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
    """Serve a connection that a peer dialled, until it ends.

    The first message, which identifies the peer, is passed to `on_first_message`, and all others to
    `on_message`. `on_malformed` is called with the error of a message that cannot be handled, and `on_close`
    when the connection has ended.
    """
    websocket = web.WebSocketResponse(compress=True, max_msg_size=MAX_MESSAGE_BYTES)
    try:
        await websocket.prepare(request)
    except ConnectionError:  # the peer has closed the connection in the meantime
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
