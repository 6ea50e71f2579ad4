"""Whoever connects to the manager: collectors with their reports, and those who ask whether it is in use.

Joined is who has named a zone that exists. Until then a connection may only ask and join, has a limited
time in all, and gets a refusal or an end for anything else; nothing that it sends reaches the module.
"""

from collections.abc import Callable

from ... import events
from ..protocol import frames
from ..protocol.fields import InvalidMessage, ProtocolError
from ..transport.connection import Connection
from ..transport.ending import Ending
from ..transport.notices import Notices

JOIN_TIMEOUT = 1.6  # s from connecting, bytes or not; past the 1.5 s in which a start answers who asks
MAX_UNJOINED = 64  # unjoined connections; the oldest goes, or they would fill the table
MAX_PER_ZONE = 8  # joined connections of a zone; the one heard longest ago goes, it has vanished
SILENCE_TIMEOUT = (
    10.0  # s without a report; they come each second, so this collector has vanished or lost its way
)
MESSAGE_TIMEOUT = 5.0  # s in which a message begun must end; one of 1 MiB takes far less on one network
LARGE_MESSAGE = 65536  # bytes of a message in pieces; below, many may be kept
# bytes of all messages in pieces together; a sixteenth of the memory of a small manager
MAX_PARTIAL_BYTES = 1 << 22


class Collectors:
    """The connections at the manager's own address."""

    def __init__(self, notices: Notices, emit: Callable[[events.Event], None], scope: frames.Scope) -> None:
        self.notices, self.emit, self.scope, self.in_use = notices, emit, scope, False
        self.unknown: set[str] = set()
        self.waiting_for_pong: dict[
            Connection, None
        ] = {}  # unjoined ones that wait to hear that it is in use
        self.unjoined: dict[Connection, None] = {}  # unjoined ones, oldest first
        self.joined: dict[Connection, str] = {}  # by connection: the zone it named
        self.partial: set[Connection] = set()  # joined ones that have sent a part of a message
        self.large: set[Connection] = set()  # connections that hold much of a message not yet whole

    def mark_in_use(self) -> None:
        """From here on the manager says that it may be used; who asked before is answered now."""
        self.in_use = True
        waiting_for_pong, self.waiting_for_pong = self.waiting_for_pong, {}
        for connection in waiting_for_pong:
            connection.send(frames.PONG)

    def opened(self, connection: Connection) -> None:
        """The connection is up."""
        connection.limit_to(JOIN_TIMEOUT, total=True)
        self.unjoined[connection] = None
        if len(self.unjoined) > MAX_UNJOINED:
            next(iter(self.unjoined)).end(Ending.SILENT)

    def received(self, connection: Connection) -> None:
        """Bytes have arrived in the connection's buffer."""
        whole = False
        try:
            while connection.owner and (message := self.next_message(connection)) is not None:
                whole = True
                self.handle_message(connection, message)
        except ProtocolError as problem:
            self.notices.say("connection can't be read", "collector", why=str(problem))
            self.reject(connection)
        if connection.owner:
            self.limit_partial_messages(connection, whole)

    def next_message(self, connection: Connection) -> dict | None:
        """The next whole message of a connection, within the size that it may send."""
        most = frames.MAX_MESSAGE_BYTES if connection in self.joined else frames.MAX_UNJOINED_BYTES
        return frames.read_message(connection.buffer, most)

    def reject(self, connection: Connection) -> None:
        """Told so where it has not joined; nothing is ever written to a collector."""
        if connection not in self.joined:
            connection.send(frames.NACK)
        connection.end(Ending.UNREADABLE)

    def limit_partial_messages(self, connection: Connection, whole: bool) -> None:
        """Guards against messages that never end: in time, and in memory all together."""
        left = len(connection.buffer)
        if connection in self.joined:
            if left and (whole or connection not in self.partial):
                self.partial.add(connection)
                connection.limit_to(MESSAGE_TIMEOUT, total=True)
            elif not left and connection in self.partial:
                self.partial.discard(connection)
                connection.limit_to(SILENCE_TIMEOUT)
        self.large.discard(connection)
        if left > LARGE_MESSAGE:
            self.large.add(connection)
            if sum(len(other.buffer) for other in self.large) > MAX_PARTIAL_BYTES:
                connection.end(Ending.OVERFULL)

    def handle_message(self, connection: Connection, message: dict) -> None:
        """Answer, join or pass on one message; refuse what may not come."""
        kind = message.get("t")
        if kind == frames.PING:
            if self.in_use:
                connection.send(frames.PONG)
            else:
                self.waiting_for_pong[connection] = None
        elif connection in self.joined:
            self.handle_report(message)
        elif kind == frames.SOURCE and self.scope.has_zone(message.get("zone")):
            self.join(connection, message["zone"])
        else:
            self.notices.say("joining refused", "collector", message=repr(message)[:80])
            self.reject(connection)

    def join(self, connection: Connection, zone: str) -> None:
        """A connection has named its zone; of too many in one zone the one silent for longest goes."""
        del self.unjoined[connection]
        self.joined[connection] = zone
        connection.limit_to(SILENCE_TIMEOUT)  # ended, a collector that still runs comes again at once
        others = [other for other, named in self.joined.items() if named == zone]
        if len(others) > MAX_PER_ZONE:
            min(others, key=lambda other: other.heard_at).end(Ending.SILENT)

    def handle_report(self, message: dict) -> None:
        """Pass on a report as an event; one that can't be used is logged."""
        if message.get("t") == frames.SOURCE:
            return  # said again; it has joined
        known = len(self.unknown)
        try:
            self.emit(frames.parse_report(message, self.scope, self.unknown))
        except InvalidMessage as problem:
            self.notices.say("report skipped", "collector", why=str(problem))
        if len(self.unknown) > known:  # guards against a module gone blind: the words may differ
            self.notices.say("load report with unknown words", "collector", words=sorted(self.unknown))

    def ended(self, connection: Connection, ending: Ending) -> None:
        """The connection has ended, for this reason."""
        for kept in (self.unjoined, self.waiting_for_pong, self.joined):
            kept.pop(connection, None)
        self.partial.discard(connection)
        self.large.discard(connection)
        if ending not in (Ending.CLOSED, Ending.UNREADABLE):
            self.notices.say("connection ended", "collector", how=ending.value)
