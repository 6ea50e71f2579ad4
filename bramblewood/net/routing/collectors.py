"""Whoever connects to the manager: collectors with their reports, and those who ask whether it is in use."""

from collections.abc import Callable

from ... import interface as door
from ..protocol import frames
from ..protocol.words import Skipped, Unreadable
from ..transport.connection import Connection
from ..transport.ending import Ending
from ..transport.notices import Notices

FIRST_WORD = 10.0  # s for the first message; who says nothing till then is a stranger
STRANGERS = 64     # connections that have said nothing yet; the oldest goes, or they would fill the table
SILENCE = 10.0     # s without a report; they come each second, so this collector has vanished or lost its way
IDLE = 120.0       # s without a message of any other; it may ask again whether the manager is in use
LARGE = 65536      # bytes of a message in pieces; below, many may be kept
KEPT = 1 << 25     # bytes of all messages in pieces together; a sixth of the memory of a small manager


class Collectors:
    def __init__(self, notices: Notices, tell: Callable[[door.Event], None]) -> None:
        self.notices, self.tell, self.in_use, self.asked = notices, tell, False, []
        self.unknown: set[str] = set()
        self.strangers: dict[Connection, None] = {}
        self.large: set[Connection] = set()  # connections that hold much of a message not yet whole

    def use(self) -> None:
        """From here on the manager says that it may be used; who asked before is answered now."""
        self.in_use = True
        for connection in self.asked:
            connection.send(frames.PONG)
        self.asked = []

    def opened(self, connection: Connection) -> None:
        connection.limit_to(FIRST_WORD)
        self.strangers[connection] = None
        if len(self.strangers) > STRANGERS:
            next(iter(self.strangers)).end(Ending.SILENT)

    def received(self, connection: Connection) -> None:
        try:
            while (message := frames.take(connection.buffer)) is not None:
                if connection in self.strangers:
                    del self.strangers[connection]
                    connection.limit_to(IDLE)
                self.take(connection, message)
        except Unreadable as problem:
            self.notices.say("connection can't be read", "collector", why=str(problem))
            connection.end(Ending.UNREADABLE)
            return
        self.large.discard(connection)
        if len(connection.buffer) > LARGE:
            self.large.add(connection)
            if sum(len(other.buffer) for other in self.large) > KEPT:
                connection.end(Ending.OVERFULL)

    def take(self, connection: Connection, message: dict) -> None:
        kind = message.get("t")
        if kind == frames.PING:
            if self.in_use:
                connection.send(frames.PONG)
            elif connection not in self.asked:
                self.asked.append(connection)
        elif kind == frames.SOURCE:
            connection.limit_to(SILENCE)  # ended, a collector that still runs comes again at once
        else:
            known = len(self.unknown)
            try:
                self.tell(frames.event_of(message, self.unknown))
            except Skipped as problem:
                self.notices.say("report skipped", "collector", why=str(problem))
            if len(self.unknown) > known:  # guards against a module gone blind: the words may differ
                self.notices.say("load report with unknown words", "collector", words=sorted(self.unknown))

    def ended(self, connection: Connection, ending: Ending) -> None:
        self.strangers.pop(connection, None)
        self.large.discard(connection)
        if connection in self.asked:
            self.asked.remove(connection)
        if ending not in (Ending.CLOSED, Ending.UNREADABLE):
            self.notices.say("connection ended", "collector", how=ending.value)
