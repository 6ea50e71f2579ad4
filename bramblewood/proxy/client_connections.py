"""Client connections, with the limits of the newest configuration and a time-out for the first request.

Invariant: a client that sends no complete request head within the configured time is disconnected. A client
whose request arrived in time is not, even if this process was suspended in the meantime.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from ..common.configuration import Configuration
from .client_disconnects import ClientDisconnects, ClientServer
from .client_limits import ClientLimits
from .controller_sessions import ControllerSessions

MAX_HEADERS = 256
# s from the time-out to the disconnect, in which requests that arrived during a suspension are handled
FIRST_REQUEST_READ_GRACE = 0.01

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ClientConnections:
    """Creates the protocols of client connections.

    awaiting_first_request: ids (`id()`) of the protocols that have received no request yet.
    """

    def __init__(
        self, sessions: ControllerSessions, handler: Handler, disconnects: ClientDisconnects
    ) -> None:
        self.sessions, self.handler, self.disconnects = sessions, handler, disconnects
        self.awaiting_first_request: set[int] = set()
        self._server: web.Server | None = None
        # the configuration whose limits `_server` applies
        self._server_configuration: Configuration | None = None

    def create_protocol(self) -> asyncio.Protocol:
        """Return the protocol of a new client connection, with the current limits."""
        limits = self.sessions.client_limits
        if self._server is None or self._server_configuration is not self.sessions.configuration:
            self._server_configuration = self.sessions.configuration
            self._server = self._create_server(limits)
        protocol = self._server()
        self.awaiting_first_request.add(id(protocol))  # stays unique: the timer holds the protocol
        loop = asyncio.get_running_loop()
        # The second timer starts when the first one fires. After a suspension, one timer for the total time
        # would fire before the loop has handled a request that arrived meanwhile.
        loop.call_later(
            limits.header_timeout,
            loop.call_later,
            FIRST_REQUEST_READ_GRACE,
            self._first_request_timed_out,
            protocol,
        )
        return protocol

    def _create_server(self, limits: ClientLimits) -> web.Server:
        return ClientServer(
            self._serve,
            self.disconnects,
            access_log=None,
            max_line_size=int(limits.max_header_bytes),
            max_field_size=int(limits.max_header_bytes),
            max_headers=MAX_HEADERS,
            # a request that begins at the end of the idle time still has the full header time-out
            keepalive_timeout=limits.idle_timeout + limits.header_timeout,
            auto_decompress=False,
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.awaiting_first_request.discard(id(request.protocol))
        return await self.handler(request)

    def _first_request_timed_out(self, protocol: Any) -> None:
        """Disconnect a client that has sent no request within the time-out."""
        if id(protocol) in self.awaiting_first_request:
            self.awaiting_first_request.discard(id(protocol))
            if protocol.transport is not None:
                protocol.transport.abort()
