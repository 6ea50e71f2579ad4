"""The one loop: what is ready is read and written, what is due is run, by one clock."""

import heapq
import selectors
import time
from collections.abc import Callable

LONGEST = 1.0  # s in one wait; a signal or a stop is seen no later


class Timer:
    """Something to run, unless it is called off before."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call

    def cancel(self) -> None:
        """Run nothing when the time comes."""
        self.call = None


class Loop:
    """Unix time is read once and goes on by a clock that never jumps."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, unix: float | None = None) -> None:
        self.clock, self.offset = clock, (time.time() if unix is None else unix) - clock()
        self.selector, self.timers, self.counter = selectors.DefaultSelector(), [], 0
        self.waited = 0.0  # s that the last turn waited; the rest of the time it worked

    def now(self) -> float:
        """Unix time in s."""
        return self.offset + self.clock()

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Run a call after so many seconds."""
        self.counter += 1
        timer = Timer(call)
        heapq.heappush(self.timers, (self.now() + seconds, self.counter, timer))
        return timer

    def watch(self, sock, events: int, handler: Callable[[int], None]) -> None:
        """Hand what happens at a socket to a handler, in place of an earlier one."""
        if sock.fileno() in self.selector.get_map():
            self.selector.modify(sock, events, handler)
        else:
            self.selector.register(sock, events, handler)

    def watch_number(self, number: int | None, before: int | None) -> None:
        """Be woken by a descriptor that is read elsewhere, and no longer by the one before."""
        if before is not None and before in self.selector.get_map():
            self.selector.unregister(before)
        if number is not None:
            self.selector.register(number, selectors.EVENT_READ, lambda _events: None)

    def forget(self, sock) -> None:
        """Watch a socket no longer."""
        if sock.fileno() >= 0 and sock.fileno() in self.selector.get_map():
            self.selector.unregister(sock)

    def turn(self, most: float = LONGEST) -> None:
        """Wait for what is ready, hand it to its handlers, then run what is due."""
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        wait = min(max(self.timers[0][0] - self.now(), 0.0), most) if self.timers else most
        began = self.clock()
        ready = self.selector.select(wait)
        self.waited = self.clock() - began
        for key, events in ready:
            if self.selector.get_map().get(key.fd) is key:  # not forgotten by one handled before it
                key.data(events)
        due = self.now()
        while self.timers and self.timers[0][0] <= due:
            timer = heapq.heappop(self.timers)[2]
            if timer.call:
                timer.call()
