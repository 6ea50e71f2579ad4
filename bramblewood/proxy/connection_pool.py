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
from .response_parser import Answer
from .worker_connection import Connection, Ended, How

DIAL = 0.35  # s for a connection to come up: a dropped opening packet is sent again after a second or more
UNHEARD_MS = 500  # ms that sent bytes may stay unacknowledged: a worker's machine answers packets in a few ms
KEPT_PART = 0.6  # of the time that a worker says it keeps an idle connection
KEPT_UNSAID = 0.8  # s, where it says none; it gives whole seconds if there are any
# s at least (a timer's own lateness) and at most that a new connection is watched before anything goes out
PROOF = (0.001, 0.02)
TRUST_PART = 0.5  # of the rest after which a connection was found dead, that what may not repeat still trusts
TRUST_BACK = 5.0  # s in which that doubles again: workers forget for some seconds, then as they said
NUMBERS = itertools.count(1)


class Line(asyncio.Protocol):
    """One connection to a worker: the shell around its state."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.transport, self.number = loop, None, next(NUMBERS)
        self.connection, self.open = Connection(), False
        self.waiting: asyncio.Future | None = None
        self.idle_until = self.rests_from = 0.0
        self.gone = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = transport, True

    def data_received(self, data: bytes) -> None:
        self.tell(self.connection.received(data, self.transport.get_write_buffer_size()))
        if not self.connection.waiting and not self.usable:
            self.close()

    def connection_lost(self, problem: Exception | None) -> None:
        self.open = False
        if not self.gone.done():
            self.gone.set_result(True)
        self.tell(self.connection.closed())

    def tell(self, ended: Ended | None) -> None:
        if ended is not None and self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(ended)

    @property
    def usable(self) -> bool:
        """Whether it may be kept and carry a request. One that is closing sends nothing any more."""
        return self.open and not self.transport.is_closing() and self.connection.free

    async def proved(self, way: float) -> bool:
        """Whether a new connection still stands after a way there and back (s): a worker without room resets
        it at once.
        """
        await asyncio.wait([self.gone], timeout=min(max(way, PROOF[0]), PROOF[1]))
        return self.open

    def close(self) -> None:
        self.tell(self.connection.closed())
        if self.open and self.transport is not None:
            self.open = False
            self.transport.abort()

    async def exchange(
        self, request: bytes, wanted: str, until: float, bare: bool = False
    ) -> tuple[How, Answer | None]:
        """Send a request once; how that ended. `bare`: it is a HEAD."""
        if not self.usable or not self.connection.send(wanted, bare):
            return How.UNSENT, None
        waiting = self.waiting = self.loop.create_future()
        self.transport.write(request)
        try:
            async with asyncio.timeout_at(until):
                how, answer = await waiting
        except TimeoutError:
            how, answer = self.connection.silence() or Ended(How.PEER_TIMEOUT)
        finally:
            self.waiting = None
            if self.connection.waiting:  # the exchange itself was given up
                self.connection.silence()
            if not self.usable:
                self.close()
        if answer is not None:
            self.rests_from = self.loop.time()
            self.idle_until = self.rests_from + kept_for(answer.named.get("Keep-Alive", ""))
        return how, answer


def kept_for(text: str) -> float:
    """s that an idle connection may be taken up again, from a Keep-Alive value such as `timeout=10`."""
    _, _, value = text.partition("timeout=")
    number = value.partition(",")[0].strip()
    return int(number) * KEPT_PART if number.isdigit() else KEPT_UNSAID


class ConnectionPool:
    """The kept connections of all workers, by life."""

    def __init__(self) -> None:
        self.kept: dict[str, list[Line]] = {}
        self.opened = self.reused = self.turned = 0
        self.forgot, self.forgot_at = 0.0, -1e9  # rest after which a connection was found dead, and when

    def trusted(self, now: float) -> float:
        """s of rest for which a kept connection is trusted with what may not be sent again."""
        if not self.forgot:
            return float("inf")
        return TRUST_PART * self.forgot * 2 ** min((now - self.forgot_at) / TRUST_BACK, 30.0)

    def found_dead(self, now: float, rest: float) -> None:
        """A connection that had rested so long was reset as it was used: workers may forget others."""
        self.forgot, self.forgot_at = min(rest, self.trusted(now)), now

    async def lend(
        self, instance_id: str, address: str, now: float, once: bool, carried: set[int] = frozenset()
    ) -> tuple[Line | None, How]:
        """A connection that may carry a request; none, and why, where none came up. `once`: what it carries
        may not be sent again; `carried`: connections that it went out on before.
        """
        line = self.take(instance_id, now, once, carried)
        return (line, How.WHOLE) if line is not None else await self.dial(address)

    def take(self, instance_id: str, now: float, once: bool, carried: set[int] = frozenset()) -> Line | None:
        """A kept connection that may carry a request.

        None that carried it before: a surplus answer of the first time has the same id.
        """
        trusted = self.trusted(now) if once else float("inf")
        kept = []
        for line in self.kept.get(instance_id, ()):
            if line.usable and line.idle_until > now:
                kept.append(line)
            else:
                line.close()
        self.kept[instance_id] = kept
        for place in range(len(kept) - 1, -1, -1):  # the one that rested least first
            if now - kept[place].rests_from <= trusted and kept[place].number not in carried:
                self.reused += 1
                return kept.pop(place)
        return None

    async def dial(self, address: str) -> tuple[Line | None, How]:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        began = loop.time()
        try:
            sock.setblocking(False)
            set_connection_timeouts(sock, UNHEARD_MS)
            async with asyncio.timeout(DIAL):
                await loop.sock_connect(sock, (host, int(port)))
            way = loop.time() - began
            _, line = await loop.create_connection(lambda: Line(loop), sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            return None, How.UNSENT
        self.opened += 1
        if not await line.proved(way):
            self.turned += 1
            return None, How.TURNED
        return line, How.WHOLE

    def give_back(self, instance_id: str, line: Line, most: int) -> None:
        """Keep a connection for later, if it is one of so many that may be kept to this worker."""
        kept = self.kept.setdefault(instance_id, [])
        if line.usable and len(kept) < most:
            kept.append(line)
        else:
            line.close()

    def drop(self, instance_id: str) -> None:
        for line in self.kept.pop(instance_id, ()):
            line.close()

    def tidy(self, now: float, instance_ids: dict[str, int]) -> None:
        """Close what has been idle for too long, what is beyond the room that is left (by life), and all of
        workers that are gone.
        """
        for instance_id in list(self.kept):
            if instance_id not in instance_ids:
                self.drop(instance_id)
                continue
            keep = [line for line in self.kept[instance_id] if line.usable and line.idle_until > now]
            keep = keep[max(len(keep) - instance_ids[instance_id], 0) :]  # those that rested least
            for line in self.kept[instance_id]:
                if line not in keep:
                    line.close()
            self.kept[instance_id] = keep
