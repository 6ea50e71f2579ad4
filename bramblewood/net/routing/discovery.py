"""Discovery: the watch on the list of workers, and asking for it once."""

from collections.abc import Callable

from ... import events
from ..protocol import roster
from ..protocol.http import Answer, get
from ..protocol.words import Unreadable
from ..transport.buffer import Buffer
from ..transport.connection import Connection, spelled
from ..transport.ending import Ending
from .stream import Attempt, Stream

ANSWER = 3.0  # s for a whole list; the agent answers at once when it answers at all


class Discovery(Stream):
    party = "discovery"

    def __init__(self, *args, tell: Callable[[events.Event], None], **more) -> None:
        super().__init__(*args, **more)
        self.tell, self.version, self.addresses, self.held = tell, 0, {}, {}
        self.asked: Ask | None = None
        self.report_failure = False  # where the module asked to follow, it is told of a break

    def greeting(self) -> bytes:
        return get(roster.watch_path(self.version), spelled(self.address), keep=True)

    def reader(self) -> Answer:
        return Answer()

    def read(self, attempt: Attempt, buffer: Buffer) -> None:
        answer = attempt.reader
        answer.feed(buffer.take(len(buffer)))
        if answer.status not in (0, 200):
            raise Unreadable(f"status {answer.status}")
        for line in answer.lines():
            if line:  # an empty one is a sign of life
                self.listed(line)
        if answer.status:
            self.spoke(attempt)
        if answer.whole:
            attempt.connection.end(Ending.CLOSED)

    def listed(self, data: bytes | dict, cached: bool = False) -> None:
        version, event, addresses, problems = roster.read(data, cached)
        for problem in problems:
            self.notices.say("entry skipped", self.party, why=problem)
        self.version = version
        if event.complete:
            self.addresses.clear()
            self.held.clear()
        self.addresses.update(addresses)
        self.held.update((entry.worker, entry) for entry in event.workers)
        for entry in event.workers:
            if entry.state == events.DEREGISTERED:
                self.held.pop(entry.worker, None)
                self.addresses.pop(entry.worker, None)
        self.tell(event)

    def broken(self) -> None:
        if self.report_failure and self.on:
            self.tell(events.WorkerListFailed())

    def follow(self, on: bool) -> None:
        self.report_failure = on
        if on:
            self.start()
        else:
            self.stop()

    def ask(self) -> None:
        if not self.asked:
            self.asked = Ask(self)

    def forgotten(self) -> None:
        """A new module knows no list: it is told what is held, and all of it is asked for."""
        self.tell(events.WorkersListed(tuple(self.held.values()), complete=True, cached=True))
        self.ask()


class Ask:
    """One call for the whole list."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery, self.answer = discovery, Answer()
        self.connection = discovery.dial(discovery.loop, discovery.address, self)

    def opened(self, connection: Connection) -> None:
        connection.send(get(roster.LIST, spelled(self.discovery.address)))
        connection.limit_to(ANSWER)

    def received(self, connection: Connection) -> None:
        try:
            self.answer.feed(connection.buffer.take(len(connection.buffer)))
            if self.answer.whole:
                if self.answer.status != 200:
                    raise Unreadable(f"status {self.answer.status}")
                self.discovery.listed(bytes(self.answer.body))
                self.discovery.asked = None
                connection.end()
        except Unreadable as problem:
            self.discovery.notices.say("list can't be read", self.discovery.party, why=str(problem))
            connection.end(Ending.UNREADABLE)

    def ended(self, connection: Connection, ending: Ending) -> None:
        if self.discovery.asked is self:
            self.discovery.asked = None
            self.discovery.tell(events.WorkerListFailed())
