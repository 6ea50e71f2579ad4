"""Connections to workers: kept, lent for one exchange at a time, and given up when their bytes can't be
trusted.

Aiohttp's client sends a GET or a PUT a second time by itself when a connection that it took up again closes;
so its own parser is used here under a protocol that sends once and says whether anything went out. What a
connection brings is told apart by `X-Attempt-Id`: an answer with another id belongs to nobody here, bytes
while nothing is asked end it.
"""

import asyncio
import socket
from collections import deque
from enum import Enum
from typing import NamedTuple

from aiohttp.http import HttpResponseParser

from ..catalogue.links import careful

DIAL = 0.35  # s for a connection to come up: a dropped opening packet is sent again after a second or more
UNHEARD_MS = 500  # ms that sent bytes may stay unacknowledged: a worker's machine answers packets in a few ms
ANSWER_MOST = 32 * 2**20  # bytes of one answer that is held here
KEPT_PART = 0.6  # of the time that a worker says it keeps an idle connection
KEPT_UNSAID = 0.8  # s, where it says none; it gives whole seconds if there are any
# s at least (a timer's own lateness) and at most that a new connection is watched before anything goes out
PROOF = (0.001, 0.02)
TRUST_PART = 0.5  # of the rest after which a connection was found dead, that what may not repeat still trusts
TRUST_BACK = 5.0  # s in which that doubles again: workers forget for some seconds, then as they said
ID = "X-Attempt-Id"


class How(Enum):
    """How a try ended."""

    WHOLE = "whole"  # a whole answer of this request
    UNSENT = "unsent"  # nothing of it went out
    TURNED = "turned"  # nothing of it went out: the worker takes no further connection now
    BROKEN = "broken"  # it went out, and no answer of it can come any more
    SILENT = "silent"  # it went out, and the time is over


class Answer(NamedTuple):
    status: int
    reason: str
    headers: tuple  # raw (name, value) pairs
    named: dict  # by name, any case
    body: bytes


class Line(asyncio.Protocol):
    """One connection to a worker."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.transport = loop, None
        self.parser = HttpResponseParser(
            self,
            loop,
            2**26,
            max_line_size=16384,
            max_field_size=32768,
            max_headers=256,
            auto_decompress=False,
        )
        self.came: deque = deque()
        self.waiting: asyncio.Future | None = None
        self.wanted, self.got = "", 0
        self.open, self.clean = False, True
        self.idle_until = self.rests_from = 0.0
        self.gone = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = transport, True

    def pause_reading(self) -> None:
        """The parser asks when much lies unread; ANSWER_MOST bounds that here."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        if self.waiting is None:
            self.close()  # bytes that nobody asked for
            return
        self.got += len(data)
        try:
            messages, _, tail = self.parser.feed_data(data)
        except Exception:  # the parser's many kinds: bytes that form no answer
            self.look()
            self.fail()
            return
        self.came.extend(messages)
        self.clean = self.clean and not tail
        self.look()
        if self.got > ANSWER_MOST:
            self.fail()

    def look(self) -> None:
        """Hand on the answer that is waited for once it is whole; let fall those of other requests."""
        while self.came and self.waiting is not None:
            message, payload = self.came[0]
            if payload.exception() is not None:
                self.fail()
                return
            if not payload.is_eof():
                return
            self.came.popleft()
            told = message.headers.get(ID)
            if message.code < 200:
                continue
            if told != self.wanted:
                self.clean = False
                if told is None:
                    self.fail()
                continue
            body = payload.read_nowait(-1)
            self.clean = self.clean and not message.should_close and not self.came
            if self.clean:
                self.rests_from = self.loop.time()
                self.idle_until = self.rests_from + kept_for(message.headers.get("Keep-Alive", ""))
            answer = Answer(message.code, message.reason, message.raw_headers, message.headers, body)
            waiting, self.waiting = self.waiting, None
            if not waiting.done():
                waiting.set_result((How.WHOLE, answer))

    def fail(self) -> None:
        waiting, self.waiting = self.waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result((How.BROKEN, None))
        self.close()

    def connection_lost(self, problem: Exception | None) -> None:
        self.open = False
        if not self.gone.done():
            self.gone.set_result(True)
        self.fail()

    async def proved(self, way: float) -> bool:
        """Whether a new connection still stands after a way there and back (s): a worker without room resets
        it at once.
        """
        await asyncio.wait([self.gone], timeout=min(max(way, PROOF[0]), PROOF[1]))
        return self.open

    def close(self) -> None:
        self.clean = False
        if self.open and self.transport is not None:
            self.open = False
            self.transport.abort()

    async def exchange(self, request: bytes, wanted: str, until: float) -> tuple[How, Answer | None]:
        if not self.open:
            return How.UNSENT, None
        self.waiting, self.wanted, self.got = self.loop.create_future(), wanted, 0
        waiting = self.waiting
        self.transport.write(request)
        try:
            async with asyncio.timeout_at(until):
                return await waiting
        except TimeoutError:
            return How.SILENT, None
        finally:
            if self.waiting is not None:  # given up with the answer still to come
                self.waiting = None
                self.close()


def kept_for(text: str) -> float:
    """s that an idle connection may be taken up again, from a Keep-Alive value such as `timeout=10`."""
    _, _, value = text.partition("timeout=")
    number = value.partition(",")[0].strip()
    return int(number) * KEPT_PART if number.isdigit() else KEPT_UNSAID


class Stacks:
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

    async def lend(self, life: str, address: str, now: float, once: bool) -> tuple[Line | None, How]:
        """A connection that may carry a request; none, and why, where none came up. `once`: what it carries
        may not be sent again.
        """
        kept, trusted = self.kept.get(life, []), self.trusted(now) if once else float("inf")
        while kept:
            line = kept.pop()  # the one that rested least
            if not line.open or not line.clean or line.idle_until <= now:
                line.close()
                continue
            if now - line.rests_from > trusted:
                kept.append(line)
                break
            self.reused += 1
            return line, How.WHOLE
        return await self.dial(address)

    async def dial(self, address: str) -> tuple[Line | None, How]:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        began = loop.time()
        try:
            sock.setblocking(False)
            careful(sock, UNHEARD_MS)
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

    def give_back(self, life: str, line: Line, most: int) -> None:
        """Keep a connection for later, if it is one of so many that may be kept to this worker."""
        kept = self.kept.setdefault(life, [])
        if line.open and line.clean and len(kept) < most:
            kept.append(line)
        else:
            line.close()

    def drop(self, life: str) -> None:
        for line in self.kept.pop(life, ()):
            line.close()

    def tidy(self, now: float, lives: dict[str, int]) -> None:
        """Close what has been idle for too long, what is beyond the room that is left (by life), and all of
        workers that are gone.
        """
        for life in list(self.kept):
            if life not in lives:
                self.drop(life)
                continue
            keep = [line for line in self.kept[life] if line.open and line.idle_until > now]
            keep = keep[max(len(keep) - lives[life], 0) :]  # those that rested least
            for line in self.kept[life]:
                if line not in keep:
                    line.close()
            self.kept[life] = keep
