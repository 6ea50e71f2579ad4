"""The memory that the bodies of requests and answers may take at the same time. No I/O.

Bytes are counted as they arrive, and until they have left this process.
"""

from collections import deque
from collections.abc import Callable


class MemoryBudget:
    """A number of bytes that is shared by all bodies.

    limit: the most bytes that may be in use. used: bytes that are in use. Those who could not get bytes may
    wait: they are called once others have been released, in the order in which they began to wait.
    """

    def __init__(self, limit: float) -> None:
        self.limit, self.used = limit, 0
        self._waiting: deque[Callable[[], None]] = deque()

    def try_reserve(self, size: int) -> bool:
        """Reserve `size` bytes. Returns False, and reserves nothing, if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Give back `size` bytes, and call those who wait."""
        self.used -= size
        waiting, self._waiting = self._waiting, deque()
        for retry in waiting:
            retry()

    def call_on_release(self, retry: Callable[[], None]) -> None:
        """Call `retry` once after the next release. It may call this again if there is still too little."""
        self._waiting.append(retry)


class Reservation:
    """The bytes that one body has reserved. It can grow, and is released as a whole."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.size = budget, 0

    def try_grow_to(self, size: int) -> bool:
        """Reserve as many more bytes as make `size` in all. Returns whether there were enough."""
        if size <= self.size:
            return True
        if not self.budget.try_reserve(size - self.size):
            return False
        self.size = size
        return True

    def release(self) -> None:
        """Give back all bytes. Further calls change nothing."""
        size, self.size = self.size, 0
        if size:
            self.budget.release(size)
