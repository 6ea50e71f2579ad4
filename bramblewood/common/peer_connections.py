"""Links between managers: one websocket to each peer, dialled again when it breaks, silent ones given up in
time.

A link promises nothing but order: what was on its way when it broke is lost, and whoever sent it says it
again.
"""

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

DIAL = 0.6  # s for a link to come up; many times the way between zones
CONNECTION_TIMEOUT = (
    1.2  # s without a message after which a link counts as cut; pulses come each quarter of a second
)
WAITS = (0.1, 0.5)  # s between dials, growing
BACKLOG = 400  # messages that may wait for a slow peer; more, and the link is given up
LARGEST = 16 * 2**20  # bytes of one message: a configuration of thousands of routes and its table
UNHEARD_MS = 1000  # ms that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)


def set_connection_timeouts(sock: socket.socket | None, unheard_ms: int = UNHEARD_MS) -> None:
    """A cut must not leave a connection hanging."""
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unheard_ms)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def create_connection_socket(info: tuple) -> socket.socket:
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    set_connection_timeouts(sock)
    return sock


class PeerConnection:
    """One standing websocket and what waits to go out on it."""

    def __init__(self, peer: str, ws: Any) -> None:
        self.peer, self.ws = peer, ws
        self.role, self.about, self.sent = (
            "",
            -1,
            {},
        )  # what the peer is and was told, kept by the link's user
        self.waiting: asyncio.Queue = asyncio.Queue()
        self.writer = asyncio.ensure_future(self._write())

    def send(self, message: dict | str) -> None:
        if self.waiting.qsize() > BACKLOG:
            self.close()
            return
        self.waiting.put_nowait(
            message if isinstance(message, str) else json.dumps(message, separators=(",", ":"))
        )

    async def _write(self) -> None:
        try:
            while True:
                await self.ws.send_str(await self.waiting.get())
        except (ConnectionError, RuntimeError, aiohttp.ClientError):
            self.close()

    def close(self) -> None:
        self.writer.cancel()
        transport = getattr(getattr(self.ws, "_writer", None), "transport", None)
        if transport is not None:
            transport.abort()  # a close handshake would wait for a peer that may be gone


async def listen(
    link: PeerConnection, hear: Callable[[PeerConnection, dict], None], quiet: float | None
) -> None:
    """Hand on what a link brings until it ends or stays quiet for too long."""
    while True:
        try:
            message = await link.ws.receive(timeout=quiet)
        except TimeoutError:
            return
        if message.type is not aiohttp.WSMsgType.TEXT:
            return
        hear(link, json.loads(message.data))


class PeerConnections:
    """Dialled links, by peer."""

    def __init__(
        self,
        hello: Callable[[str], dict],
        hear: Callable[[PeerConnection, dict], None],
        told: Callable[[str, bool], None],
        quiet: float | None,
        local: str = "",
    ) -> None:
        """hello(peer) is the first message on each new link; told(peer, up) is called when one comes or goes.

        quiet: s without a message after which a link counts as cut; None where its peer says nothing on it.
        local: the address to dial from, where that matters.
        """
        self.local = (local, 0) if local else None
        self.hello, self.hear, self.told, self.quiet = hello, hear, told, quiet
        self.up: dict[str, PeerConnection] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.session: aiohttp.ClientSession | None = None

    def keep(self, peer: str, port: int) -> None:
        """Keep a link to this peer from now on."""
        if peer not in self.tasks:
            self.tasks[peer] = asyncio.ensure_future(self._keep(peer, port))

    async def _keep(self, peer: str, port: int) -> None:
        if self.session is None:
            connector = aiohttp.TCPConnector(
                socket_factory=create_connection_socket, limit=0, ttl_dns_cache=None, local_addr=self.local
            )
            self.session = aiohttp.ClientSession(connector=connector)
        wait = WAITS[0]
        while True:
            link = None
            try:
                async with asyncio.timeout(DIAL):
                    ws = await self.session.ws_connect(
                        f"http://{peer}:{port}/link", compress=15, autoping=True, max_msg_size=LARGEST
                    )
                link = PeerConnection(peer, ws)
                link.send(self.hello(peer))
                self.up[peer] = link
                self.told(peer, True)
                wait = WAITS[0]
                await listen(link, self.hear, self.quiet)
            except (OSError, TimeoutError, aiohttp.ClientError, ValueError):
                pass
            finally:
                if link is not None:
                    link.close()
                    await link.ws.close()
                    if self.up.get(peer) is link:
                        del self.up[peer]
                        self.told(peer, False)
            await asyncio.sleep(wait)
            wait = min(wait * 2, WAITS[1])

    async def end(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        if self.session is not None:
            await self.session.close()

    def send(self, peer: str, message: dict | str) -> bool:
        link = self.up.get(peer)
        if link is not None:
            link.send(message)
        return link is not None


async def accept(
    request: web.BaseRequest,
    met: Callable[[PeerConnection, dict], None],
    hear: Callable[[PeerConnection, dict], None],
    left: Callable[[PeerConnection], None],
) -> web.StreamResponse:
    """Serve one link that a peer dialled: its first message says who it is."""
    ws = web.WebSocketResponse(compress=True, max_msg_size=LARGEST)
    try:
        await ws.prepare(request)
    except ConnectionError:  # the dialler has gone meanwhile
        return web.Response(status=503)
    set_connection_timeouts(request.transport.get_extra_info("socket") if request.transport else None)
    link = PeerConnection(request.remote or "", ws)
    try:
        first = await ws.receive(timeout=CONNECTION_TIMEOUT)
        if first.type is aiohttp.WSMsgType.TEXT:
            met(link, json.loads(first.data))
            await listen(link, hear, None)
    except (TimeoutError, ValueError, ConnectionError):
        pass
    finally:
        left(link)
        link.close()
    return ws
