"""Discovery: the watch on the list of workers, and asking for it once."""

from collections.abc import Callable

from ... import events
from ..protocol import worker_list
from ..protocol.fields import ProtocolError
from ..protocol.http import HttpResponse, format_get
from ..transport.buffer import Buffer
from ..transport.connection import Connection, spelled
from ..transport.ending import Ending
from .stream import Attempt, Stream

ANSWER_TIMEOUT = 3.0  # s for a whole list; the agent answers at once when it answers at all


class Discovery(Stream):
    """The watch on the worker list, the last list, and the call for a complete one."""

    party = "discovery"

    def __init__(self, *args, emit: Callable[[events.Event], None], **more) -> None:
        super().__init__(*args, **more)
        self.emit, self.version, self.addresses, self.workers = emit, 0, {}, {}
        self.list_request: ListRequest | None = None
        self.report_failure = False  # where the module asked to follow, it is told of a break

    def greeting(self) -> bytes:
        """The request for the watch."""
        return format_get(worker_list.watch_path(self.version), spelled(self.address), keep=True)

    def reader(self) -> HttpResponse:
        """What reads the answer of one connection."""
        return HttpResponse()

    def read(self, attempt: Attempt, buffer: Buffer) -> None:
        """Read lists as they arrive; raises ProtocolError."""
        answer = attempt.reader
        answer.feed(buffer.take(len(buffer)))
        if answer.status not in (0, 200):
            raise ProtocolError(f"status {answer.status}")
        for line in answer.lines():
            if line:  # an empty one is a sign of life
                self.handle_list(line)
        if answer.status:
            self.first_answer(attempt)
        if answer.complete:
            attempt.connection.end(Ending.CLOSED)

    def handle_list(self, data: bytes | dict, cached: bool = False) -> None:
        """Take over a list and pass it on."""
        version, event, addresses, problems = worker_list.parse_worker_list(data, cached)
        for problem in problems:
            self.notices.say("entry skipped", self.party, why=problem)
        self.version = version
        if event.complete:
            self.addresses.clear()
            self.workers.clear()
        self.addresses.update(addresses)
        self.workers.update((entry.worker, entry) for entry in event.workers)
        for entry in event.workers:
            if entry.state == events.DEREGISTERED:
                self.workers.pop(entry.worker, None)
                self.addresses.pop(entry.worker, None)
        self.emit(event)

    def broken(self) -> None:
        """The watch broke: tell the policy, where it asked to watch."""
        if self.report_failure and self.on:
            self.emit(events.WorkerListFailed())

    def watch(self, on: bool) -> None:
        """Start or stop the watch, as the policy orders."""
        self.report_failure = on
        if on:
            self.start()
        else:
            self.stop()

    def request_list(self) -> None:
        """Call once for the complete list."""
        if not self.list_request:
            self.list_request = ListRequest(self)

    def policy_restarted(self) -> None:
        """A new module knows no list: it is told what is held, and all of it is asked for."""
        self.emit(events.WorkersListed(tuple(self.workers.values()), complete=True, cached=True))
        self.request_list()


class ListRequest:
    """One call for the whole list."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery, self.answer = discovery, HttpResponse()
        self.connection = discovery.dial(discovery.loop, discovery.address, self)

    def opened(self, connection: Connection) -> None:
        """The connection is up."""
        connection.send(format_get(worker_list.LIST_PATH, spelled(self.discovery.address)))
        connection.limit_to(ANSWER_TIMEOUT)

    def received(self, connection: Connection) -> None:
        """Bytes have arrived in the connection's buffer."""
        try:
            self.answer.feed(connection.buffer.take(len(connection.buffer)))
            if self.answer.complete:
                if self.answer.status != 200:
                    raise ProtocolError(f"status {self.answer.status}")
                self.discovery.handle_list(bytes(self.answer.body))
                self.discovery.list_request = None
                connection.end()
        except ProtocolError as problem:
            self.discovery.notices.say("list can't be read", self.discovery.party, why=str(problem))
            connection.end(Ending.UNREADABLE)

    def ended(self, connection: Connection, ending: Ending) -> None:
        """The connection has ended, for this reason."""
        if self.discovery.list_request is self:
            self.discovery.list_request = None
            self.discovery.emit(events.WorkerListFailed())
