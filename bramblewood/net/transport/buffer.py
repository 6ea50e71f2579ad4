"""The one buffer of a connection: grows as it needs, is compacted in place, and is capped."""

LEAST = 4096  # bytes at first; most messages are smaller
MOST = 1 << 21  # bytes at most: one message of 1 MiB and what may come behind it


class Overfull(Exception):
    """More has come than the buffer may keep."""


class Buffer:
    """The bytes that a connection has received and nobody has taken yet."""

    def __init__(self, most: int = MOST) -> None:
        self.data, self.start, self.end, self.most = bytearray(LEAST), 0, 0, most

    def __len__(self) -> int:
        return self.end - self.start

    def room(self, wanted: int) -> memoryview:
        """Free space of the size wanted, or what is left of it below the cap."""
        wanted = min(wanted, self.most - len(self))
        if wanted <= 0:
            raise Overfull
        if self.end + wanted > len(self.data):
            self.data[: len(self)] = self.data[self.start : self.end]
            self.start, self.end = 0, len(self)
        if self.end + wanted > len(self.data):
            size = min(max(2 * len(self.data), self.end + wanted), self.most)
            self.data.extend(bytes(size - len(self.data)))
        return memoryview(self.data)[self.end : self.end + wanted]

    def filled(self, count: int) -> None:
        """So many bytes were written to the free space."""
        self.end += count

    def peek(self, count: int) -> bytes:
        """The first bytes, at most so many; they stay."""
        return bytes(self.data[self.start : min(self.start + count, self.end)])

    def take(self, count: int) -> bytes:
        """The first bytes, at most so many; they go."""
        taken = self.peek(count)
        self.start += len(taken)
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > 16 * LEAST:  # a large message has gone: its memory too
                self.data = bytearray(LEAST)
        return taken

    def line(self) -> bytes | None:
        """The next whole line without its end, or None while it is not all there."""
        at = self.data.find(b"\n", self.start, self.end)
        return None if at < 0 else self.take(at + 1 - self.start).rstrip(b"\r\n")
