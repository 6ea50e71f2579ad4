"""One TCP connection, dialled or taken. Its owner is told what comes, and once how it ended."""

import errno
import socket
from collections import deque
from selectors import EVENT_READ, EVENT_WRITE
from typing import Protocol

from .buffer import Buffer, Overfull
from .ending import Ending, ending_of
from .loop import Loop, Timer

DIAL_TIME = 0.5  # s in which a connection must come up; on one network it takes some milliseconds
CHUNK = 65536  # bytes read at once at most; others get their turn between
FIRST_READ = 4096  # bytes read at once at first, doubled while they are filled: hundreds may say nothing
UNREAD = 1 << 20  # bytes read at most of a connection that is about to be ended
UNSENT = 1 << 18  # bytes that may wait to be written; four of the longest calls

MOST_DOUBLED = 32  # times that a wait is doubled; any first wait is past its longest by then

Address = tuple[str, int]


def spelled(address: Address) -> str:
    """An address as people write it."""
    return "{}:{}".format(*address)


def growing_wait(waits: tuple[float, float], failures: int) -> float:
    """The wait after so many failures: the first one, doubled each time, up to the longest.

    Guards against an outage of hours: two to the power of a thousand failures is no float.
    """
    first, longest = waits
    return min(first * 2 ** min(failures, MOST_DOUBLED), longest)


class Owner(Protocol):
    """Who is told of a connection."""

    def opened(self, connection: "Connection") -> None:
        """The connection is up."""

    def received(self, connection: "Connection") -> None:
        """Bytes have arrived in the connection's buffer."""

    def ended(self, connection: "Connection", ending: Ending) -> None:
        """The connection has ended, for this reason; told once."""


class Connection:
    """A connection that dials or was accepted; it ends by a limit, a fault, the other side or this one."""

    def __init__(self, loop: Loop, owner: Owner, sock: socket.socket | None = None) -> None:
        self.loop, self.owner, self.sock, self.buffer = loop, owner, sock, Buffer()
        self.unsent: deque[memoryview] = deque()
        self.limit: Timer | None = None
        self.up, self.heard_at, self.chunk = False, loop.now(), FIRST_READ
        if sock is not None:
            self.come_up()

    @classmethod
    def dial(cls, loop: Loop, address: Address, owner: Owner) -> "Connection":
        """Begin to connect; whatever goes wrong is told later, never from in here."""
        connection = cls(loop, owner)
        try:
            connection.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.sock.setblocking(False)
            error = connection.sock.connect_ex(address)
        except OSError as problem:
            error = problem.errno
        if error not in (0, errno.EINPROGRESS):
            loop.after(0.0, lambda: connection.end(ending_of(error)))
            return connection
        loop.watch(connection.sock, EVENT_WRITE, connection.ready)
        connection.limit_to(DIAL_TIME, Ending.NOT_UP)
        return connection

    def limit_to(self, seconds: float | None, ending: Ending = Ending.SILENT, total: bool = False) -> None:
        """End with this ending unless another limit is set in so many seconds, or, if not total, some heard.

        A total limit guards against who brings a byte now and then, for ever.
        """
        if self.limit:
            self.limit.cancel()
        self.limit = None
        if seconds is not None:
            late = (lambda: self.end(ending)) if total else (lambda: self.over(seconds, ending))
            self.limit = self.loop.after(seconds, late)

    def over(self, seconds: float, ending: Ending) -> None:
        """The time limit is due: end, unless something was heard in the meantime."""
        left = self.heard_at + seconds - self.loop.now() if self.up else 0.0
        if left > 0:
            self.limit = self.loop.after(left, lambda: self.over(seconds, ending))
        else:
            self.end(ending)

    def come_up(self) -> None:
        """The connection stands: read from now on."""
        self.up, self.heard_at = True, self.loop.now()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.limit_to(None)
        self.loop.watch(self.sock, EVENT_READ, self.ready)

    def ready(self, events: int) -> None:
        """The socket can be read or written; whatever that raises ends this connection alone."""
        try:
            self.handle(events)
        except Exception:  # a defect met by what this connection brought: it goes, the others stay
            self.end(Ending.FAULT)
            raise

    def handle(self, events: int) -> None:
        """Finish the dial, write what waits, read what has come."""
        if not self.up:
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.end(ending_of(error))
                return
            self.come_up()
            self.owner.opened(self)
            return
        if events & EVENT_WRITE:
            self.flush()
        if events & EVENT_READ and self.sock is not None:
            self.read()

    def read(self) -> bool:
        """Whether anything came."""
        try:
            count = self.sock.recv_into(self.buffer.room(self.chunk))
        except BlockingIOError:
            return False
        except Overfull:
            self.end(Ending.OVERFULL)
            return False
        except OSError as problem:
            self.end(ending_of(problem.errno))
            return False
        if not count:
            self.end(Ending.CLOSED)
            return False
        self.buffer.filled(count)
        if count == self.chunk:
            self.chunk = min(2 * count, CHUNK)
        self.heard_at = self.loop.now()
        self.owner.received(self)
        return True

    def read_out(self) -> None:
        """Read what has come and is not read yet, before it is ended: it would be lost."""
        self.chunk = CHUNK
        for _ in range(UNREAD // CHUNK):
            if self.sock is None or not self.read():
                return

    def send(self, data: bytes) -> None:
        """Write now what goes, keep the rest; a failure is told later, never from in here."""
        if self.sock is None:
            return
        self.unsent.append(memoryview(data))
        if sum(map(len, self.unsent)) > UNSENT:
            self.loop.after(0.0, lambda: self.end(Ending.OVERFULL))
        elif len(self.unsent) == 1:
            self.flush()

    def flush(self) -> None:
        """Write what the socket takes."""
        try:
            while self.unsent:
                part = self.unsent.popleft()
                sent = self.sock.send(part)
                if sent < len(part):
                    self.unsent.appendleft(part[sent:])
        except BlockingIOError:
            self.unsent.appendleft(part)
        except OSError as problem:
            ending = ending_of(problem.errno)
            self.loop.after(0.0, lambda: self.end(ending))
            return
        self.loop.watch(self.sock, EVENT_READ | (EVENT_WRITE if self.unsent else 0), self.ready)

    def end(self, ending: Ending = Ending.OURS) -> None:
        """End it; the owner hears of it once."""
        if self.owner is None:
            return
        owner, self.owner = self.owner, None
        self.limit_to(None)
        if self.sock is not None:
            self.loop.forget(self.sock)
            self.sock.close()
            self.sock = None
        owner.ended(self, ending)
