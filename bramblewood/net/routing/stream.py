"""A stream that must not end: it is dialled again with growing waits, and silence counts as a break.

The next connection is opened before the silent one is ended, and takes over with its first good word.
"""

from ..protocol.fields import ProtocolError
from ..transport.buffer import Buffer
from ..transport.connection import Address, Connection, growing_wait
from ..transport.ending import Ending
from ..transport.loop import Loop
from ..transport.notices import Notices

FIRST_ANSWER_TIMEOUT = 2.0  # s for the first words after the dial; what stands is sent at once
# s from a dial that failed to the next, first and longest; doubled in between
RECONNECT_BACKOFF = (0.05, 1.0)
STABLE_AFTER = 5.0  # s after which a stream that ends is dialled at once; sooner counts as a failure
RECENT = 1.5  # s; a stream heard from since has lost nothing: signs of life come each second
SEAMLESS_GAP = 0.5  # s from a break to the next good word in which nothing is missed that matters
SILENCE_CHECK_INTERVAL = 0.25  # s between looks for silence


class Attempt:
    """One connection of a stream, and what reads it."""

    def __init__(self, stream: "Stream") -> None:
        self.stream, self.reader, self.since = stream, stream.reader(), stream.loop.now()
        self.connection = stream.dial(stream.loop, stream.address, self)

    def opened(self, connection: Connection) -> None:
        """The connection is up."""
        connection.send(self.stream.greeting())
        connection.limit_to(FIRST_ANSWER_TIMEOUT)

    def received(self, connection: Connection) -> None:
        """Bytes have arrived in the connection's buffer."""
        try:
            self.stream.read(self, connection.buffer)
        except ProtocolError as problem:
            self.stream.notices.say("stream can't be read", self.stream.party, why=str(problem))
            connection.end(Ending.UNREADABLE)

    def ended(self, connection: Connection, ending: Ending) -> None:
        """The connection has ended, for this reason."""
        self.stream.attempt_ended(self, ending)


class Stream:
    """Subclasses give party, greeting and read, which calls spoke at the first good word."""

    party = ""

    def __init__(
        self, loop: Loop, address: Address, notices: Notices, silence_timeout: float, dial=Connection.dial
    ) -> None:
        self.loop, self.address, self.notices, self.silence_timeout, self.dial = (
            loop,
            address,
            notices,
            silence_timeout,
            dial,
        )
        self.current: Attempt | None = None
        self.next_attempt: Attempt | None = None
        self.failures, self.reconnect_timer, self.on, self.silence_timer = 0, None, False, None
        self.seamless_until = 0.0  # till when a stream that stands again has missed nothing
        self.was_up = False  # whether any connection has ever told

    def start(self) -> None:
        """Open the stream, if it is not open."""
        if not self.on:
            self.on = True
            self.open()
            self.check_silence()

    def stop(self) -> None:
        """Close the stream and dial no more."""
        self.on = False
        for timer in (self.reconnect_timer, self.silence_timer):
            if timer:
                timer.cancel()
        self.reconnect_timer = None
        for attempt in (self.current, self.next_attempt):
            if attempt:
                attempt.connection.end()

    def reread(self) -> None:
        """Read all that stands anew, beside the stream that runs."""
        if self.on and not self.next_attempt and not self.reconnect_timer:
            self.open()

    def move(self, address: Address) -> None:
        """Another address holds from now on; the old connection tells till one there does.

        No wait or failure of the old road counts on the new one, and a dial that is out goes to nowhere.
        """
        if address == self.address:
            return
        self.address, self.failures = address, 0
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        stale, self.next_attempt = self.next_attempt, None
        if stale:
            stale.connection.end()
        self.open()

    def open(self) -> None:
        """Dial, unless a connection is being opened."""
        self.reconnect_timer = None
        if self.on and not self.next_attempt:
            self.next_attempt = Attempt(self)

    def check_silence(self) -> None:
        """Dial anew beside a stream that has been silent for too long."""
        self.silence_timer = self.loop.after(SILENCE_CHECK_INTERVAL, self.check_silence)
        if self.current and self.loop.now() > self.current.connection.heard_at + self.silence_timeout:
            if not self.next_attempt and not self.reconnect_timer:
                self.notices.say("stream silent", self.party)
                self.open()

    def first_answer(self, attempt: Attempt) -> None:
        """The first good word: the connection that comes takes over."""
        if attempt is self.next_attempt:
            if self.current:
                self.current.connection.read_out()  # it may end at that
            before, self.current, self.next_attempt = self.current, attempt, None
            nothing_missed = self.is_recent(before) if before else self.loop.now() < self.seamless_until
            attempt.connection.limit_to(None)
            if self.was_up:
                self.notices.say("stream stands again", self.party)
            self.was_up = True
            if before:
                before.connection.end()
            self.taken_over(nothing_missed)

    def is_recent(self, attempt: Attempt) -> bool:
        """Whether a connection was heard from so lately that nothing was missed."""
        return self.loop.now() < attempt.connection.heard_at + RECENT

    def attempt_ended(self, attempt: Attempt, ending: Ending) -> None:
        """One connection has ended: dial again, if it was needed."""
        if attempt is self.current:
            self.current = None
            self.seamless_until = self.loop.now() + SEAMLESS_GAP if self.is_recent(attempt) else 0.0
            lasted = self.loop.now() >= attempt.since + STABLE_AFTER
            self.failures = 0 if lasted else self.failures + 1
            self.broken()
            if (
                self.next_attempt and not self.next_attempt.connection.up
            ):  # the other side is back: a dial from before
                stale, self.next_attempt = self.next_attempt, None  # is lost, and would only end by its limit
                stale.connection.end()
        elif attempt is self.next_attempt:
            self.next_attempt = None
            self.failures += 1
        else:
            return
        if ending is not Ending.OURS:
            self.notices.say("stream ended", self.party, how=ending.value)
        if self.on and not self.next_attempt and not self.reconnect_timer:
            wait = growing_wait(RECONNECT_BACKOFF, self.failures) if self.failures else 0.0
            self.reconnect_timer = self.loop.after(
                max(attempt.since + wait - self.loop.now(), 0.0), self.open
            )

    def greeting(self) -> bytes:
        """What is sent first on a new connection."""
        raise NotImplementedError

    def read(self, attempt: Attempt, buffer: Buffer) -> None:
        """Read what has arrived on an attempt; raises ProtocolError."""
        raise NotImplementedError

    def reader(self):
        """What reads one connection and no other, where something must."""

    def taken_over(self, nothing_missed: bool) -> None:
        """Another connection tells from here on; whole: the one before told all up to now."""

    def broken(self) -> None:
        """The stream that ran has ended."""
