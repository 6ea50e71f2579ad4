"""A stream that must not end: it is dialled again with growing waits, and silence counts as a break.

The next connection is opened before the silent one is ended, and takes over when it has told all that stands.
"""

from ..protocol.words import Unreadable
from ..transport.connection import Address, Connection
from ..transport.ending import Ending
from ..transport.loop import Loop
from ..transport.notices import Notices

FIRST_WORD = 2.0            # s for the first words after the dial; what stands is sent at once
WAITS = (0.05, 3.2)         # s before the next dial after a failure, first and longest; doubled in between
LOOK = 0.25                 # s between looks for silence


class Attempt:
    """One connection of a stream; what it has read so far is its own."""

    def __init__(self, stream: "Stream") -> None:
        self.stream, self.standing, self.told = stream, stream.reader(), False
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
            return
        if self.told and self.stream.coming is self:
            self.stream.take_over(self)

    def ended(self, connection: Connection, ending: Ending) -> None:
        self.stream.lost(self, ending)


class Stream:
    """Subclasses give party, greeting, reader, read (sets attempt.told) and taken_over."""
    party = ""

    def __init__(self, loop: Loop, address: Address, notices: Notices, silence: float,
                 dial=Connection.dial) -> None:
        self.loop, self.address, self.notices, self.silence, self.dial = loop, address, notices, silence, dial
        self.current: Attempt | None = None
        self.coming: Attempt | None = None
        self.failures, self.waiting, self.on, self.looking = 0, None, False, None

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

    def take_over(self, attempt: Attempt) -> None:
        before, self.current, self.coming, self.failures = self.current, attempt, None, 0
        attempt.connection.limit_to(None)
        self.taken_over(attempt)
        if before:
            before.connection.end()

    def lost(self, attempt: Attempt, ending: Ending) -> None:
        if attempt is self.current:
            self.current = None
            self.broken()
        elif attempt is self.coming:
            self.coming = None
            self.failures += 1
        else:
            return
        if ending is not Ending.OURS:
            self.notices.say("stream ended", self.party, how=ending.value)
        if self.on and not self.coming and not self.waiting:
            wait = min(WAITS[0] * 2 ** self.failures, WAITS[1]) if self.failures else 0.0
            self.waiting = self.loop.after(wait, self.open)

    def broken(self) -> None:
        """The stream that ran has ended."""
