"""What the tests of the network share: a loop with a clock by hand, and connections without sockets."""

from bramblewood.net.transport.connection import DIAL_TIME, Connection
from bramblewood.net.transport.ending import Ending
from bramblewood.net.transport.loop import Loop
from bramblewood.net.transport.notices import Notices


class Hands:
    """A clock that stands still until it is set on."""

    def __init__(self):
        self.at = 50.0

    def __call__(self):
        return self.at


def fill(buffer, data):
    buffer.room(len(data) or 1)[: len(data)] = data
    buffer.filled(len(data))


class Line(Connection):
    """A connection without a socket: what is sent is kept, what comes and how it ends is up to the test."""

    def __init__(self, loop, owner):
        super().__init__(loop, owner)
        self.sent, self.ending, self.address, self.unread = [], None, None, b""

    def open(self):
        self.up, self.heard_at = True, self.loop.now()
        self.limit_to(None)
        self.owner.opened(self)
        return self

    def send(self, data):
        self.sent.append(bytes(data))

    def bring(self, data):
        if self.owner is None:
            return
        fill(self.buffer, data)
        self.heard_at = self.loop.now()
        self.owner.received(self)

    def read_out(self):
        if self.unread:
            self.bring(self.unread)

    def end(self, ending=Ending.OURS):
        self.ending = self.ending or ending
        super().end(ending)


class Edge:
    """A loop with a clock by hand, the lines dialled, what was told and what was logged."""

    def __init__(self):
        self.hands, self.lines, self.told, self.said = Hands(), [], [], []
        self.loop = Loop(self.hands, unix=1000.0)
        self.notices = Notices(self, self.loop.now)

    def warning(self, what, **more):
        self.said.append((what, more))

    def dial(self, loop, address, owner):
        self.lines.append(Line(loop, owner))
        self.lines[-1].address = address
        Connection.limit_to(self.lines[-1], DIAL_TIME, Ending.NOT_UP)
        return self.lines[-1]

    def tell(self, event):
        self.told.append(event)

    def news(self):
        told, self.told = self.told, []
        return told

    def wait(self, seconds):
        """Time goes on in small steps, and what is due is run."""
        for _ in range(max(round(seconds / 0.05), 1)):
            self.hands.at += min(seconds, 0.05)
            self.loop.turn(0)


def pieces(dice, data):
    """The same bytes, cut anywhere."""
    while data:
        cut = dice.randint(1, max(len(data) // dice.choice([1, 3, 9]), 1))
        yield data[:cut]
        data = data[cut:]


def spoilt(dice, data):
    """Some bytes changed, taken out or put in."""
    data = bytearray(data)
    for _ in range(dice.randint(1, 6)):
        at = dice.randrange(len(data) + 1)
        data[at : at + dice.randint(0, 3)] = dice.randbytes(dice.randint(0, 3))
    return bytes(data)
