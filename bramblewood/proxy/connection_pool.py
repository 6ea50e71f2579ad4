"""Connections to workers: kept, lent for one exchange at a time, and given up when their bytes can't be
trusted.

Aiohttp's client sends a GET or a PUT a second time by itself when a connection that it took up again closes,
and its parser takes what follows a cut answer for a part of it. So requests go out here once, and
`connection.py` says whose answer came and whether a connection may be kept.
"""

import asyncio
import itertools
import socket

from ..common.peer_connections import set_connection_timeouts
from .response_parser import WorkerResponse
from .worker_connection import AttemptOutcome, ExchangeResult, WorkerConnectionState

CONNECT_TIMEOUT = (
    0.35  # s for a connection to come up: a dropped opening packet is sent again after a second or more
)
UNACKNOWLEDGED_DATA_TIMEOUT_MS = (
    500  # ms that sent bytes may stay unacknowledged: a worker's machine answers packets in a few ms
)
KEEP_ALIVE_FRACTION = 0.6  # of the time that a worker says it keeps an idle connection
DEFAULT_KEEP_ALIVE = 0.8  # s, where it says none; it gives whole seconds if there are any
# s at least (a timer's own lateness) and at most that a new connection is watched before anything goes out
ROUND_TRIP_WATCH = (0.001, 0.02)
TRUSTED_IDLE_FRACTION = (
    0.5  # of the rest after which a connection was found dead, that what may not repeat still trusts
)
TRUST_RECOVERY_TIME = 5.0  # s in which that doubles again: workers forget for some seconds, then as they said
CONNECTION_NUMBERS = itertools.count(1)


class WorkerConnection(asyncio.Protocol):
    """One connection to a worker: the shell around its state."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.transport, self.number = loop, None, next(CONNECTION_NUMBERS)
        self.state, self.is_open = WorkerConnectionState(), False
        self.pending_exchange: asyncio.Future | None = None
        self.reusable_until = self.idle_since = 0.0
        self.lost = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.is_open = transport, True

    def data_received(self, data: bytes) -> None:
        self._resolve(self.state.on_data(data, self.transport.get_write_buffer_size()))
        if not self.state.is_awaiting_answer and not self.is_reusable:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.is_open = False
        if not self.lost.done():
            self.lost.set_result(True)
        self._resolve(self.state.on_closed())

    def _resolve(self, ended: ExchangeResult | None) -> None:
        if ended is not None and self.pending_exchange is not None and not self.pending_exchange.done():
            self.pending_exchange.set_result(ended)

    @property
    def is_reusable(self) -> bool:
        """Whether it may be kept and carry a request. One that is closing sends nothing any more."""
        return self.is_open and not self.transport.is_closing() and self.state.is_reusable

    async def survives_round_trip(self, round_trip: float) -> bool:
        """Whether a new connection still stands after a way there and back (s): a worker without room resets
        it at once.
        """
        await asyncio.wait(
            [self.lost], timeout=min(max(round_trip, ROUND_TRIP_WATCH[0]), ROUND_TRIP_WATCH[1])
        )
        return self.is_open

    def close(self) -> None:
        self._resolve(self.state.on_closed())
        if self.is_open and self.transport is not None:
            self.is_open = False
            self.transport.abort()

    async def exchange(
        self, request: bytes, request_id: str, deadline: float, head_request: bool = False
    ) -> tuple[AttemptOutcome, WorkerResponse | None]:
        """Send a request once; how that ended. `bare`: it is a HEAD."""
        if not self.is_reusable or not self.state.begin_request(request_id, head_request):
            return AttemptOutcome.NOT_SENT, None
        waiting = self.pending_exchange = self.loop.create_future()
        self.transport.write(request)
        try:
            async with asyncio.timeout_at(deadline):
                outcome, answer = await waiting
        except TimeoutError:
            outcome, answer = self.state.on_timeout() or ExchangeResult(AttemptOutcome.TIMED_OUT)
        finally:
            self.pending_exchange = None
            if self.state.is_awaiting_answer:  # the exchange itself was given up
                self.state.on_timeout()
            if not self.is_reusable:
                self.close()
        if answer is not None:
            self.idle_since = self.loop.time()
            self.reusable_until = self.idle_since + keep_alive_seconds(
                answer.headers_by_name.get("Keep-Alive", "")
            )
        return outcome, answer


def keep_alive_seconds(text: str) -> float:
    """s that an idle connection may be taken up again, from a Keep-Alive value such as `timeout=10`."""
    _, _, value = text.partition("timeout=")
    number = value.partition(",")[0].strip()
    return int(number) * KEEP_ALIVE_FRACTION if number.isdigit() else DEFAULT_KEEP_ALIVE


class ConnectionPool:
    """The kept connections of all workers, by life."""

    def __init__(self) -> None:
        self.idle: dict[str, list[WorkerConnection]] = {}
        self.opened = self.reused = self.rejected = 0
        self.dead_idle_time, self.dead_found_at = (
            0.0,
            -1e9,
        )  # rest after which a connection was found dead, and when

    def trusted_idle_time(self, now: float) -> float:
        """s of rest for which a kept connection is trusted with what may not be sent again."""
        if not self.dead_idle_time:
            return float("inf")
        return (
            TRUSTED_IDLE_FRACTION
            * self.dead_idle_time
            * 2 ** min((now - self.dead_found_at) / TRUST_RECOVERY_TIME, 30.0)
        )

    def record_dead_connection(self, now: float, idle_time: float) -> None:
        """A connection that had rested so long was reset as it was used: workers may forget others."""
        self.dead_idle_time, self.dead_found_at = min(idle_time, self.trusted_idle_time(now)), now

    async def acquire(
        self,
        instance_id: str,
        address: str,
        now: float,
        non_idempotent: bool,
        excluded: set[int] = frozenset(),
    ) -> tuple[WorkerConnection | None, AttemptOutcome]:
        """A connection that may carry a request; none, and why, where none came up. `once`: what it carries
        may not be sent again; `carried`: connections that it went out on before.
        """
        line = self.take_idle(instance_id, now, non_idempotent, excluded)
        return (line, AttemptOutcome.ANSWERED) if line is not None else await self.connect(address)

    def take_idle(
        self, instance_id: str, now: float, non_idempotent: bool, excluded: set[int] = frozenset()
    ) -> WorkerConnection | None:
        """A kept connection that may carry a request.

        None that carried it before: a surplus answer of the first time has the same id.
        """
        trusted_idle_time = self.trusted_idle_time(now) if non_idempotent else float("inf")
        idle = []
        for line in self.idle.get(instance_id, ()):
            if line.is_reusable and line.reusable_until > now:
                idle.append(line)
            else:
                line.close()
        self.idle[instance_id] = idle
        for position in range(len(idle) - 1, -1, -1):  # the one that rested least first
            if now - idle[position].idle_since <= trusted_idle_time and idle[position].number not in excluded:
                self.reused += 1
                return idle.pop(position)
        return None

    async def connect(self, address: str) -> tuple[WorkerConnection | None, AttemptOutcome]:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        began = loop.time()
        try:
            sock.setblocking(False)
            set_connection_timeouts(sock, UNACKNOWLEDGED_DATA_TIMEOUT_MS)
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.sock_connect(sock, (host, int(port)))
            round_trip = loop.time() - began
            _, line = await loop.create_connection(lambda: WorkerConnection(loop), sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            return None, AttemptOutcome.NOT_SENT
        self.opened += 1
        if not await line.survives_round_trip(round_trip):
            self.rejected += 1
            return None, AttemptOutcome.CONNECTION_REJECTED
        return line, AttemptOutcome.ANSWERED

    def release(self, instance_id: str, line: WorkerConnection, limit: int) -> None:
        """Keep a connection for later, if it is one of so many that may be kept to this worker."""
        idle = self.idle.setdefault(instance_id, [])
        if line.is_reusable and len(idle) < limit:
            idle.append(line)
        else:
            line.close()

    def close_all(self, instance_id: str) -> None:
        for line in self.idle.pop(instance_id, ()):
            line.close()

    def prune(self, now: float, instance_ids: dict[str, int]) -> None:
        """Close what has been idle for too long, what is beyond the room that is left (by life), and all of
        workers that are gone.
        """
        for instance_id in list(self.idle):
            if instance_id not in instance_ids:
                self.close_all(instance_id)
                continue
            keep = [line for line in self.idle[instance_id] if line.is_reusable and line.reusable_until > now]
            keep = keep[max(len(keep) - instance_ids[instance_id], 0) :]  # those that rested least
            for line in self.idle[instance_id]:
                if line not in keep:
                    line.close()
            self.idle[instance_id] = keep
