"""Whoever connects to the manager: collectors with their reports, and those who ask whether it is in use.

Joined is who has named a zone that exists. Until then a connection may only ask and join, has a limited
time in all, and gets a refusal or an end for anything else; nothing that it sends reaches the module.
"""

from collections.abc import Callable

from ... import events
from ..protocol import frames
from ..protocol.words import Skipped, Unreadable
from ..transport.connection import Connection
from ..transport.ending import Ending
from ..transport.notices import Notices

UNJOINED = 1.6  # s from connecting, bytes or not; past the 1.5 s in which a start answers who asks
STRANGERS = 64  # unjoined connections; the oldest goes, or they would fill the table
PER_ZONE = 8  # joined connections of a zone; the one heard longest ago goes, it has vanished
SILENCE = 10.0  # s without a report; they come each second, so this collector has vanished or lost its way
WHOLE = 5.0  # s in which a message begun must end; one of 1 MiB takes far less on one network
LARGE = 65536  # bytes of a message in pieces; below, many may be kept
KEPT = 1 << 22  # bytes of all messages in pieces together; a sixteenth of the memory of a small manager


class Collectors:
    def __init__(self, notices: Notices, tell: Callable[[events.Event], None], scope: frames.Scope) -> None:
        self.notices, self.tell, self.scope, self.in_use = notices, tell, scope, False
        self.unknown: set[str] = set()
        self.asked: dict[Connection, None] = {}  # unjoined ones that wait to hear that it is in use
        self.strangers: dict[Connection, None] = {}  # unjoined ones, oldest first
        self.joined: dict[Connection, str] = {}  # by connection: the zone it named
        self.begun: set[Connection] = set()  # joined ones that have sent a part of a message
        self.large: set[Connection] = set()  # connections that hold much of a message not yet whole

    def use(self) -> None:
        """From here on the manager says that it may be used; who asked before is answered now."""
        self.in_use = True
        asked, self.asked = self.asked, {}
        for connection in asked:
            connection.send(frames.PONG)

    def opened(self, connection: Connection) -> None:
        connection.limit_to(UNJOINED, total=True)
        self.strangers[connection] = None
        if len(self.strangers) > STRANGERS:
            next(iter(self.strangers)).end(Ending.SILENT)

    def received(self, connection: Connection) -> None:
        whole = False
        try:
            while connection.owner and (message := self.next_message(connection)) is not None:
                whole = True
                self.take(connection, message)
        except Unreadable as problem:
            self.notices.say("connection can't be read", "collector", why=str(problem))
            self.refuse(connection)
        if connection.owner:
            self.bound(connection, whole)

    def next_message(self, connection: Connection) -> dict | None:
        most = frames.LONGEST if connection in self.joined else frames.LONGEST_UNJOINED
        return frames.take(connection.buffer, most)

    def refuse(self, connection: Connection) -> None:
        """Told so where it has not joined; nothing is ever written to a collector."""
        if connection not in self.joined:
            connection.send(frames.NACK)
        connection.end(Ending.UNREADABLE)

    def bound(self, connection: Connection, whole: bool) -> None:
        """Guards against messages that never end: in time, and in memory all together."""
        left = len(connection.buffer)
        if connection in self.joined:
            if left and (whole or connection not in self.begun):
                self.begun.add(connection)
                connection.limit_to(WHOLE, total=True)
            elif not left and connection in self.begun:
                self.begun.discard(connection)
                connection.limit_to(SILENCE)
        self.large.discard(connection)
        if left > LARGE:
            self.large.add(connection)
            if sum(len(other.buffer) for other in self.large) > KEPT:
                connection.end(Ending.OVERFULL)

    def take(self, connection: Connection, message: dict) -> None:
        kind = message.get("t")
        if kind == frames.PING:
            if self.in_use:
                connection.send(frames.PONG)
            else:
                self.asked[connection] = None
        elif connection in self.joined:
            self.report(message)
        elif kind == frames.SOURCE and self.scope.has_zone(message.get("zone")):
            self.join(connection, message["zone"])
        else:
            self.notices.say("joining refused", "collector", message=repr(message)[:80])
            self.refuse(connection)

    def join(self, connection: Connection, zone: str) -> None:
        del self.strangers[connection]
        self.joined[connection] = zone
        connection.limit_to(SILENCE)  # ended, a collector that still runs comes again at once
        others = [other for other, named in self.joined.items() if named == zone]
        if len(others) > PER_ZONE:
            min(others, key=lambda other: other.heard_at).end(Ending.SILENT)

    def report(self, message: dict) -> None:
        if message.get("t") == frames.SOURCE:
            return  # said again; it has joined
        known = len(self.unknown)
        try:
            self.tell(frames.event_of(message, self.scope, self.unknown))
        except Skipped as problem:
            self.notices.say("report skipped", "collector", why=str(problem))
        if len(self.unknown) > known:  # guards against a module gone blind: the words may differ
            self.notices.say("load report with unknown words", "collector", words=sorted(self.unknown))

    def ended(self, connection: Connection, ending: Ending) -> None:
        for kept in (self.strangers, self.asked, self.joined):
            kept.pop(connection, None)
        self.begun.discard(connection)
        self.large.discard(connection)
        if ending not in (Ending.CLOSED, Ending.UNREADABLE):
            self.notices.say("connection ended", "collector", how=ending.value)
