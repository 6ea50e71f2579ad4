"""A TCP connection to a worker: an asyncio protocol that drives a `WorkerConnectionState`.

Each request is sent once. aiohttp's client is not used, because it sends a GET or a PUT again when a reused
connection closes, and because its parser reads the bytes after a truncated response as a part of it.
"""

import asyncio
import itertools
import socket
from collections.abc import Sequence

from .connection_state import AttemptOutcome, ExchangeResult, WorkerConnectionState
from .errors import BramblewoodError
from .memory_budget import Reservation
from .peer_connections import set_connection_timeouts

CONNECT_TIMEOUT = 0.35  # s; TCP sends a lost SYN packet again after a second or more, which is too late
# ms that sent bytes may stay unacknowledged; a worker's machine acknowledges packets in a few ms
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 500
KEEP_ALIVE_FRACTION = 0.6  # of the time for which a worker states that it keeps an idle connection
MAX_KEEP_ALIVE_DIGITS = 9  # of the time that a worker states; a longer number is ignored
DEFAULT_KEEP_ALIVE = 0.8  # s, if the worker states no time; a stated time is in whole seconds
# bounds of the time in s that a new connection is watched for a reset before a request is sent; the lower
# bound is the usual delay of a timer
MIN_RESET_WATCH, MAX_RESET_WATCH = 0.001, 0.02

# bytes of a response up to which no memory is reserved, since the number of requests bounds such responses
UNRESERVED_RESPONSE_BYTES = 2**14
RESPONSE_COPIES = 2  # of a response that exist at a time: the received bytes, and the body taken from them

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
        self._writable = asyncio.Event()  # cleared while the worker reads more slowly than is written
        self._writable.set()
        self._unsent_bytes = 0  # of the body in flight, not passed to the transport yet
        self._reservation: Reservation | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport. Called by asyncio when the connection is established."""
        self.transport, self.is_open = transport, True

    def data_received(self, data: bytes) -> None:
        """Process received bytes. Called by asyncio."""
        unsent_bytes = self.transport.get_write_buffer_size() + self._unsent_bytes
        self._resolve(self.state.on_data(data, unsent_bytes))
        if self._reservation is not None and self.state.is_awaiting_response:
            self._reserve_response()
        if not self.state.is_awaiting_response and not self.is_reusable:
            self.close()

    def _reserve_response(self) -> None:
        """Reserve memory for the response. While there is too little, nothing more is read.

        The rest of the response then waits at the worker, whose writes are held up.
        """
        reservation, parser = self._reservation, self.state.parser
        if not self.is_open or reservation is None:
            return
        needed = parser.response_bytes
        if needed <= UNRESERVED_RESPONSE_BYTES or reservation.try_grow_to(RESPONSE_COPIES * needed):
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            reservation.budget.call_on_release(self._reserve_response)

    def pause_writing(self) -> None:
        """Stop writing the body. Called by asyncio when the worker reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Continue to write the body. Called by asyncio."""
        self._writable.set()

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress. Called by asyncio when the connection is closed or reset."""
        self.is_open = False
        self._writable.set()
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
        body_parts: Sequence[bytes] = (),
        reservation: Reservation | None = None,
    ) -> ExchangeResult:
        """Send a request once, and return the result of the exchange.

        `deadline` is in s of the loop's clock. `is_head_request` and `accepts_missing_id` are those of
        `WorkerConnectionState.begin_request`. `body_parts` are sent after `request`, as fast as the worker
        reads them. The memory of a long response is taken from `reservation`, if there is one; the caller
        releases it.
        """
        if not self.is_reusable or not self.state.begin_request(
            request_id, is_head_request, accepts_missing_id
        ):
            return ExchangeResult(AttemptOutcome.NOT_SENT)
        pending = self.pending_exchange = self.loop.create_future()
        self._reservation, self._unsent_bytes = reservation, sum(map(len, body_parts))
        self.transport.write(request)
        try:
            async with asyncio.timeout_at(deadline):
                await self._write_parts(body_parts, pending)
                result = await pending
        except TimeoutError:
            result = self.state.on_timeout() or ExchangeResult(AttemptOutcome.TIMED_OUT)
        finally:
            self.pending_exchange = self._reservation = None
            if self.state.is_awaiting_response:  # the exchange was cancelled
                self.state.on_timeout()
            if not self.is_reusable:
                self.close()
        if result.response is not None:
            self.idle_since = self.loop.time()
            keep_alive = result.response.headers_by_name.get("Keep-Alive", "")
            self.reusable_until = self.idle_since + keep_alive_seconds(keep_alive)
        return result

    async def _write_parts(self, body_parts: Sequence[bytes], pending: asyncio.Future) -> None:
        """Write the parts of a body as the worker reads them, until all are written or the exchange ends."""
        for part in body_parts:
            await self._writable.wait()
            if pending.done() or not self.is_open:
                return
            self._unsent_bytes -= len(part)
            self.transport.write(part)


def keep_alive_seconds(header: str) -> float:
    """Return the time in s for which an idle connection may be reused.

    `header` is the value of a `Keep-Alive` header such as `timeout=10`.
    """
    _, _, value = header.partition("timeout=")
    number = value.partition(",")[0].strip()
    is_number = number.isascii() and number.isdigit() and len(number) <= MAX_KEEP_ALIVE_DIGITS
    return int(number) * KEEP_ALIVE_FRACTION if is_number else DEFAULT_KEEP_ALIVE


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
