"""One TCP connection to a worker: the asyncio transport around its `WorkerConnectionState`.

Aiohttp's client is not used: it sends a GET or a PUT a second time by itself when a reused connection closes,
and its parser takes what follows a truncated answer for a part of it. Here a request is sent once.
"""

import asyncio
import itertools
import socket

from .connection_state import AttemptOutcome, ExchangeResult, WorkerConnectionState
from .errors import BramblewoodError
from .peer_connections import set_connection_timeouts

CONNECT_TIMEOUT = 0.35  # s to connect: a lost SYN packet is sent again after a second or more
# ms that sent bytes may stay unacknowledged: a worker's machine acknowledges packets in a few ms
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 500
KEEP_ALIVE_FRACTION = 0.6  # of the time that a worker says it keeps an idle connection
DEFAULT_KEEP_ALIVE = 0.8  # s, where it says none; workers state whole seconds if any
# s at least (a timer's own lateness) and at most that a new connection is watched before anything is sent
MIN_RESET_WATCH, MAX_RESET_WATCH = 0.001, 0.02

_numbers = itertools.count(1)


class WorkerUnreachable(BramblewoodError):
    """No connection could be made; `outcome` says whether the worker rejected it."""

    step = "connect"

    def __init__(self, outcome: AttemptOutcome, address: str, is_refused: bool = False) -> None:
        """is_refused: nobody listens there."""
        super().__init__(outcome.value, peer=address)
        self.outcome, self.is_refused = outcome, is_refused


class WorkerConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    `idle_since` (when its last answer was complete, 0 before the first) and `reusable_until` (when the worker
    may close it) are in seconds of the loop's clock.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.transport, self.number = loop, None, next(_numbers)
        self.state, self.is_open = WorkerConnectionState(), False
        self.pending_exchange: asyncio.Future[ExchangeResult] | None = None
        self.reusable_until = self.idle_since = 0.0
        self.lost = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        self.transport, self.is_open = transport, True

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        self._resolve(self.state.on_data(data, self.transport.get_write_buffer_size()))
        if not self.state.is_awaiting_answer and not self.is_reusable:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio."""
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
        """Whether it may be kept and carry a request. One that is closing sends nothing any more."""
        return self.is_open and not self.transport.is_closing() and self.state.is_reusable

    async def survives_round_trip(self, round_trip: float) -> bool:
        """Whether a new connection is still open after a round trip (s).

        A worker that has no room for a connection accepts it and resets it at once.
        """
        watch = min(max(round_trip, MIN_RESET_WATCH), MAX_RESET_WATCH)
        await asyncio.wait([self.lost], timeout=watch)
        return self.is_open

    def close(self) -> None:
        """Close it at once; an exchange under way ends as broken."""
        self._resolve(self.state.on_closed())
        if self.is_open and self.transport is not None:
            self.is_open = False
            self.transport.abort()

    async def exchange(
        self,
        request: bytes,
        request_id: str,
        deadline: float,
        head_request: bool = False,
        accepts_unnamed: bool = False,
    ) -> ExchangeResult:
        """Send a request once and await its answer.

        deadline: s of the loop's clock. head_request, accepts_unnamed: as of
        `WorkerConnectionState.begin_request`.
        """
        if not self.is_reusable or not self.state.begin_request(request_id, head_request, accepts_unnamed):
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
            if self.state.is_awaiting_answer:  # the exchange was cancelled
                self.state.on_timeout()
            if not self.is_reusable:
                self.close()
        if result.answer is not None:
            self.idle_since = self.loop.time()
            keep_alive = result.answer.headers_by_name.get("Keep-Alive", "")
            self.reusable_until = self.idle_since + keep_alive_seconds(keep_alive)
        return result


def keep_alive_seconds(header: str) -> float:
    """For how long (s) an idle connection may be reused, by a `Keep-Alive` value such as `timeout=10`."""
    _, _, value = header.partition("timeout=")
    number = value.partition(",")[0].strip()
    return int(number) * KEEP_ALIVE_FRACTION if number.isdigit() else DEFAULT_KEEP_ALIVE


async def connect(
    address: str, unacknowledged_ms: int = UNACKNOWLEDGED_DATA_TIMEOUT_MS
) -> tuple[WorkerConnection, float]:
    """A new connection to a worker at `host:port`, and the round trip (s) that making it took.

    unacknowledged_ms: that sent bytes may stay unacknowledged. Raises `WorkerUnreachable` (not sent).
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
