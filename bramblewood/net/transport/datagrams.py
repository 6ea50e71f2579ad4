"""Datagrams at one address; loss is normal and told to no one."""

import socket
from collections.abc import Callable
from selectors import EVENT_READ

from .connection import Address
from .loop import Loop

BATCH = 64  # datagrams read in one turn
LONGEST = 2048  # bytes read of one; a longer one is cut and then refused for its size


class Datagrams:
    """A socket for datagrams."""

    def __init__(self, loop: Loop, address: Address, came: Callable[[bytes, Address], None]) -> None:
        self.loop, self.came = loop, came
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.sock.setblocking(False)
        loop.watch(self.sock, EVENT_READ, self.ready)

    def ready(self, _events: int) -> None:
        """Read what has come, a batch at most."""
        for _ in range(BATCH):
            try:
                data, sender = self.sock.recvfrom(LONGEST)
            except OSError:  # nothing more, or an earlier one that reached no one
                return
            self.came(data, sender)

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram, or lose it."""
        try:
            self.sock.sendto(data, address)
        except OSError:
            pass  # lost, as any datagram may be

    def close(self) -> None:
        """Close the socket."""
        self.loop.forget(self.sock)
        self.sock.close()
