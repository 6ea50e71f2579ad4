"""Cancels the work on requests whose clients have disconnected.

This implements rule GONE of the user documentation: from half a second after a client disconnects, its
request is sent to no further worker. If the request is idempotent, no worker is still processing it by then.
A non-idempotent request that was sent is not cancelled.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import web

from ..common.errors import BramblewoodError


class ClientDisconnected(BramblewoodError):
    """The client closed its connection before its request was answered."""

    step = "request"


class ClientServer(web.Server):
    """Serves client connections and reports lost ones to `disconnects`."""

    def __init__(self, handler, disconnects: "ClientDisconnects", **options) -> None:
        """handler, options: arguments of `web.Server`."""
        super().__init__(handler, **options)
        self.disconnects = disconnects

    def connection_made(self, handler, transport: asyncio.Transport) -> None:
        """Handle a new client connection."""
        super().connection_made(handler, transport)
        self.disconnects.transports[id(handler)] = transport

    def connection_lost(self, handler, exc: BaseException | None = None) -> None:
        """Handle the end of a client connection. exc: the error that ended it, if any."""
        super().connection_lost(handler, exc)
        self.disconnects.connection_lost(handler)


class ClientDisconnects:
    """Holds the work to cancel when a client connection is lost, at most one request per connection.

    transports: those of all client connections that have not ended, by `id()` of the connection's protocol.
    """

    def __init__(self) -> None:
        self.transports: dict[int, asyncio.Transport] = {}
        self._scopes: dict[int, asyncio.Timeout] = {}  # by `id()` of the connection's protocol

    def connection_lost(self, protocol: object) -> None:
        """Cancel the work that depends on this connection."""
        self.transports.pop(id(protocol), None)
        scope = self._scopes.pop(id(protocol), None)
        if scope is not None:
            scope.reschedule(asyncio.get_running_loop().time())  # expires now, which cancels the work

    def undelivered_bytes(self) -> int:
        """Return the number of bytes of responses that have not left this process."""
        return sum(transport.get_write_buffer_size() for transport in self.transports.values())

    def close_all(self) -> None:
        """Close all client connections. What is in their buffers is still sent."""
        for transport in list(self.transports.values()):
            transport.close()

    def check(self, request: web.BaseRequest) -> None:
        """Raise `ClientDisconnected` if the request's client has closed its connection."""
        if request.transport is None or request.transport.is_closing():
            raise ClientDisconnected

    @contextlib.asynccontextmanager
    async def watch(self, request: web.BaseRequest) -> AsyncIterator[None]:
        """Cancel the body of an `async with` block when the client disconnects.

        Raises `ClientDisconnected` in that case, or if the client has disconnected before.
        """
        self.check(request)
        protocol = id(request.protocol)
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes[protocol] = scope
                try:
                    yield
                finally:
                    self._scopes.pop(protocol, None)
        except TimeoutError:
            if scope.expired():
                raise ClientDisconnected from None
            raise
