"""Takes connections at one address; too many, or no descriptor left, costs the newcomer alone."""

import errno
import os
import socket
from collections.abc import Callable
from selectors import EVENT_READ

from .connection import Address, Connection, Owner
from .loop import Loop

BACKLOG = 1024  # connections that may wait to be taken; one that finds no place comes a second later
BATCH = 64  # taken in one turn; what is read must not wait for strangers


class Listener:
    """A listening socket, and how many of its connections are open."""

    def __init__(
        self, loop: Loop, address: Address, owner: Owner, most: int, turned_away: Callable[[str], None]
    ) -> None:
        self.loop, self.owner, self.most, self.turned_away, self.open = loop, owner, most, turned_away, 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.spare = os.open(os.devnull, os.O_RDONLY)  # given up for a moment to turn someone away
        loop.watch(self.sock, EVENT_READ, self.ready)

    def ready(self, _events: int) -> None:
        """Accept a batch of connections."""
        for _ in range(BATCH):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE):
                    self.turn_away()
                return
            if self.open >= self.most:
                sock.close()
                self.turned_away("too many connections")
                continue
            sock.setblocking(False)
            self.open += 1
            connection = Connection(self.loop, self, sock)
            self.owner.opened(connection)
            connection.ready(EVENT_READ)  # a joining is often there: it is not to be taken for a stranger

    def turn_away(self) -> None:
        """Guards against a full table: unanswered, the next in line would wake the loop without end."""
        self.turned_away("out of descriptors")
        os.close(self.spare)
        try:
            self.sock.accept()[0].close()
        except OSError:
            pass
        self.spare = os.open(os.devnull, os.O_RDONLY)

    def opened(self, connection: Connection) -> None:
        """Pass on to the owner."""
        self.owner.opened(connection)

    def received(self, connection: Connection) -> None:
        """Pass on to the owner."""
        self.owner.received(connection)

    def ended(self, connection: Connection, ending) -> None:
        """Count it out and pass on to the owner."""
        self.open -= 1
        self.owner.ended(connection, ending)

    def close(self) -> None:
        """Stop listening."""
        self.loop.forget(self.sock)
        self.sock.close()
        os.close(self.spare)
