"""Requests whose clients have disconnected: work on them that nobody needs any more is stopped.

Rule GONE of the users' pages: half a second after a client has gone, no worker gets its request any more, and
none is still at work on it, if it may be repeated. What may not be repeated runs on once it was sent.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import web

from ..common.errors import BramblewoodError


class ClientDisconnected(BramblewoodError):
    """The client of a request has closed its connection."""

    step = "request"


class ClientServer(web.Server):
    """Serves clients' connections, and announces those that are lost."""

    def __init__(self, handler, disconnects: "ClientDisconnects", **options) -> None:
        """handler, options: as `web.Server` takes them."""
        super().__init__(handler, **options)
        self.disconnects = disconnects

    def connection_lost(self, handler, exc: BaseException | None = None) -> None:
        """A client's connection has ended, for whatever reason."""
        super().connection_lost(handler, exc)
        self.disconnects.connection_lost(handler)


class ClientDisconnects:
    """Which work ends with which client's connection."""

    def __init__(self) -> None:
        self._scopes: dict[int, asyncio.Timeout] = {}  # by id of the connection's protocol

    def connection_lost(self, protocol: object) -> None:
        """End the work that depends on this connection."""
        scope = self._scopes.pop(id(protocol), None)
        if scope is not None:
            scope.reschedule(asyncio.get_running_loop().time())

    def check(self, request: web.BaseRequest) -> None:
        """Raise `ClientDisconnected` where the request's client has gone."""
        if request.transport is None or request.transport.is_closing():
            raise ClientDisconnected

    @contextlib.asynccontextmanager
    async def watch(self, request: web.BaseRequest) -> AsyncIterator[None]:
        """Cancel what is done inside when the request's client goes; raises `ClientDisconnected` then."""
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
