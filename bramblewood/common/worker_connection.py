"""A TCP connection to a worker: an asyncio protocol that drives a `WorkerConnectionState`.

Each request is sent once. aiohttp's client is not used, because it sends a GET or a PUT again when a reused
connection closes, and because its parser reads the bytes after a truncated response as a part of it.
"""

import asyncio
import itertools
import socket

from .connection_state import AttemptOutcome, ExchangeResult, WorkerConnectionState
from .errors import BramblewoodError
from .peer_connections import set_connection_timeouts

CONNECT_TIMEOUT = 0.35  # s; TCP sends a lost SYN packet again after a second or more, which is too late
# ms that sent bytes may stay unacknowledged; a worker's machine acknowledges packets in a few ms
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 500
KEEP_ALIVE_FRACTION = 0.6  # of the time for which a worker states that it keeps an idle connection
DEFAULT_KEEP_ALIVE = 0.8  # s, if the worker states no time; a stated time is in whole seconds
# bounds of the time in s that a new connection is watched for a reset before a request is sent; the lower
# bound is the usual delay of a timer
MIN_RESET_WATCH, MAX_RESET_WATCH = 0.001, 0.02

_connection_numbers = itertools.count(1)


class WorkerUnreachable(BramblewoodError):
    """A connection to a worker could not be made. `outcome` is NOT_SENT or CONNECTION_REJECTED."""

    step = "connect"

    def __init__(self, outcome: AttemptOutcome, address: str, is_refused: bool = False) -> None:
        """`is_refused` states that no process listens at the address."""
        super().__init__(outcome.value, peer=address)
        self.outcome, self.is_refused = outcome, is_refused


class WorkerConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    `idle_since` is the time at which the last response was complete, or 0 before the first one.
    `reusable_until` is the time at which the worker may close the connection. Both are in s of the loop's
    clock. `lost` is resolved when the connection is closed or reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.transport, self.number = loop, None, next(_connection_numbers)
        self.state, self.is_open = WorkerConnectionState(), False
        self.pending_exchange: asyncio.Future[ExchangeResult] | None = None
        self.reusable_until = self.idle_since = 0.0
        self.lost = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport. Called by asyncio when the connection is established."""
        self.transport, self.is_open = transport, True

    def data_received(self, data: bytes) -> None:
        """Process received bytes. Called by asyncio."""
        self._resolve(self.state.on_data(data, self.transport.get_write_buffer_size()))
        if not self.state.is_awaiting_response and not self.is_reusable:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress. Called by asyncio when the connection is closed or reset."""
        self.is_open = False
        if not self.lost.done():
            self.lost.set_result(True)
        self._resolve(self.state.on_closed())

    def _resolve(self, result: ExchangeResult | None) -> None:
        pending = self.pending_exchange
        if result is not None and pending is not None and not pending.done():
            pending.set_result(result)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be kept and may carry a request. A closing transport sends no data."""
        return self.is_open and not self.transport.is_closing() and self.state.is_reusable

    async def survives_round_trip(self, round_trip: float) -> bool:
        """Wait for `round_trip` s, and return whether the connection is still open.

        The wait is between MIN_RESET_WATCH and MAX_RESET_WATCH s. It ends early if the connection is lost. A
        worker without a slot for a new connection accepts it and resets it at once.
        """
        watch_time = min(max(round_trip, MIN_RESET_WATCH), MAX_RESET_WATCH)
        await asyncio.wait([self.lost], timeout=watch_time)
        return self.is_open

    def close(self) -> None:
        """Close the connection at once. An exchange in progress ends as CONNECTION_BROKEN."""
        self._resolve(self.state.on_closed())
        if self.is_open and self.transport is not None:
            self.is_open = False
            self.transport.abort()

    async def exchange(
        self,
        request: bytes,
        request_id: str,
        deadline: float,
        is_head_request: bool = False,
        accepts_missing_id: bool = False,
    ) -> ExchangeResult:
        """Send a request once, and return the result of the exchange.

        `deadline` is in s of the loop's clock. `is_head_request` and `accepts_missing_id` are those of
        `WorkerConnectionState.begin_request`.
        """
        if not self.is_reusable or not self.state.begin_request(
            request_id, is_head_request, accepts_missing_id
        ):
            return ExchangeResult(AttemptOutcome.NOT_SENT)
        pending = self.pending_exchange = self.loop.create_future()
        self.transport.write(request)
        try:
            async with asyncio.timeout_at(deadline):
                result = await pending
        except TimeoutError:
            result = self.state.on_timeout() or ExchangeResult(AttemptOutcome.TIMED_OUT)
        finally:
            self.pending_exchange = None
            if self.state.is_awaiting_response:  # the exchange was cancelled
                self.state.on_timeout()
            if not self.is_reusable:
                self.close()
        if result.response is not None:
            self.idle_since = self.loop.time()
            keep_alive = result.response.headers_by_name.get("Keep-Alive", "")
            self.reusable_until = self.idle_since + keep_alive_seconds(keep_alive)
        return result


def keep_alive_seconds(header: str) -> float:
    """Return the time in s for which an idle connection may be reused.

    `header` is the value of a `Keep-Alive` header such as `timeout=10`.
    """
    _, _, value = header.partition("timeout=")
    number = value.partition(",")[0].strip()
    return int(number) * KEEP_ALIVE_FRACTION if number.isdigit() else DEFAULT_KEEP_ALIVE


async def connect(
    address: str, unacknowledged_ms: int = UNACKNOWLEDGED_DATA_TIMEOUT_MS
) -> tuple[WorkerConnection, float]:
    """Connect to the worker at `host:port`.

    Returns the connection, and the time in s that the TCP handshake took. `unacknowledged_ms` is the time for
    which sent bytes may stay unacknowledged. Raises `WorkerUnreachable` with the outcome NOT_SENT.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    started_at = loop.time()
    try:
        sock.setblocking(False)
        set_connection_timeouts(sock, unacknowledged_ms)
        async with asyncio.timeout(CONNECT_TIMEOUT):
            await loop.sock_connect(sock, (host, int(port)))
        round_trip = loop.time() - started_at
        _, connection = await loop.create_connection(lambda: WorkerConnection(loop), sock=sock)
    except (OSError, TimeoutError, ValueError) as error:
        sock.close()
        is_refused = isinstance(error, ConnectionRefusedError)
        raise WorkerUnreachable(AttemptOutcome.NOT_SENT, address, is_refused) from error
    except asyncio.CancelledError:
        sock.close()
        raise
    return connection, round_trip
