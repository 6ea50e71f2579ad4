"""A stream that must not end: it is dialled again with growing waits, and silence counts as a break.

The next connection is opened before the silent one is ended, and takes over with its first good word.
"""

from ..protocol.words import Unreadable
from ..transport.connection import Address, Connection, growing_wait
from ..transport.ending import Ending
from ..transport.loop import Loop
from ..transport.notices import Notices

FIRST_WORD = 2.0  # s for the first words after the dial; what stands is sent at once
WAITS = (0.05, 1.0)  # s from a dial that failed to the next, first and longest; doubled in between
LASTING = 5.0  # s after which a stream that ends is dialled at once; sooner counts as a failure
LIVELY = 1.5  # s; a stream heard from since has lost nothing: signs of life come each second
QUICK = 0.5  # s from a break to the next good word in which nothing is missed that matters
LOOK = 0.25  # s between looks for silence


class Attempt:
    """One connection of a stream, and what reads it."""

    def __init__(self, stream: "Stream") -> None:
        self.stream, self.reader, self.since = stream, stream.reader(), stream.loop.now()
        self.connection = stream.dial(stream.loop, stream.address, self)

    def opened(self, connection: Connection) -> None:
        connection.send(self.stream.greeting())
        connection.limit_to(FIRST_WORD)

    def received(self, connection: Connection) -> None:
        try:
            self.stream.read(self, connection.buffer)
        except Unreadable as problem:
            self.stream.notices.say("stream can't be read", self.stream.party, why=str(problem))
            connection.end(Ending.UNREADABLE)

    def ended(self, connection: Connection, ending: Ending) -> None:
        self.stream.lost(self, ending)


class Stream:
    """Subclasses give party, greeting and read, which calls spoke at the first good word."""

    party = ""

    def __init__(
        self, loop: Loop, address: Address, notices: Notices, silence: float, dial=Connection.dial
    ) -> None:
        self.loop, self.address, self.notices, self.silence, self.dial = loop, address, notices, silence, dial
        self.current: Attempt | None = None
        self.coming: Attempt | None = None
        self.failures, self.waiting, self.on, self.looking = 0, None, False, None
        self.quick_until = 0.0  # till when a stream that stands again has missed nothing
        self.stood = False  # whether any connection has ever told

    def start(self) -> None:
        if not self.on:
            self.on = True
            self.open()
            self.look()

    def stop(self) -> None:
        self.on = False
        for timer in (self.waiting, self.looking):
            if timer:
                timer.cancel()
        self.waiting = None
        for attempt in (self.current, self.coming):
            if attempt:
                attempt.connection.end()

    def again(self) -> None:
        """Read all that stands anew, beside the stream that runs."""
        if self.on and not self.coming and not self.waiting:
            self.open()

    def move(self, address: Address) -> None:
        """Another address holds from now on; the old connection tells till one there does.

        No wait or failure of the old road counts on the new one, and a dial that is out goes to nowhere.
        """
        if address == self.address:
            return
        self.address, self.failures = address, 0
        if self.waiting:
            self.waiting.cancel()
            self.waiting = None
        stale, self.coming = self.coming, None
        if stale:
            stale.connection.end()
        self.open()

    def open(self) -> None:
        self.waiting = None
        if self.on and not self.coming:
            self.coming = Attempt(self)

    def look(self) -> None:
        self.looking = self.loop.after(LOOK, self.look)
        if self.current and self.loop.now() > self.current.connection.heard_at + self.silence:
            if not self.coming and not self.waiting:
                self.notices.say("stream silent", self.party)
                self.open()

    def spoke(self, attempt: Attempt) -> None:
        """The first good word: the connection that comes takes over."""
        if attempt is self.coming:
            if self.current:
                self.current.connection.read_out()  # it may end at that
            before, self.current, self.coming = self.current, attempt, None
            whole = self.lively(before) if before else self.loop.now() < self.quick_until
            attempt.connection.limit_to(None)
            if self.stood:
                self.notices.say("stream stands again", self.party)
            self.stood = True
            if before:
                before.connection.end()
            self.taken_over(whole)

    def lively(self, attempt: Attempt) -> bool:
        return self.loop.now() < attempt.connection.heard_at + LIVELY

    def lost(self, attempt: Attempt, ending: Ending) -> None:
        if attempt is self.current:
            self.current = None
            self.quick_until = self.loop.now() + QUICK if self.lively(attempt) else 0.0
            lasted = self.loop.now() >= attempt.since + LASTING
            self.failures = 0 if lasted else self.failures + 1
            self.broken()
            if self.coming and not self.coming.connection.up:  # the other side is back: a dial from before
                stale, self.coming = self.coming, None  # is lost, and would only end by its limit
                stale.connection.end()
        elif attempt is self.coming:
            self.coming = None
            self.failures += 1
        else:
            return
        if ending is not Ending.OURS:
            self.notices.say("stream ended", self.party, how=ending.value)
        if self.on and not self.coming and not self.waiting:
            wait = growing_wait(WAITS, self.failures) if self.failures else 0.0
            self.waiting = self.loop.after(max(attempt.since + wait - self.loop.now(), 0.0), self.open)

    def reader(self):
        """What reads one connection and no other, where something must."""

    def taken_over(self, whole: bool) -> None:
        """Another connection tells from here on; whole: the one before told all up to now."""

    def broken(self) -> None:
        """The stream that ran has ended."""
