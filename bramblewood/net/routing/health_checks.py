"""Probes of workers: one GET each, and how it ended in the module's words."""

from collections.abc import Callable

from ... import events
from ..protocol.fields import ProtocolError, parse_load_body
from ..protocol.http import HttpResponse, format_get
from ..transport.connection import Address, Connection, spelled
from ..transport.ending import Ending
from ..transport.loop import Loop
from ..transport.notices import Notices
from .outcomes import outcome_of, outcome_of_status

PING_PATH, LOAD_PATH = "/ping", "/_load"
ANSWER_TIMEOUT = 1.0  # s for an answer; a worker that takes longer is as good as none
MAX_RUNNING = 64  # probes out at once; each holds a descriptor


class HealthCheckConnection:
    """The one request of a health check."""

    def __init__(self, checks: "HealthChecks", worker: str, address: Address) -> None:
        self.checks, self.worker, self.address, self.answer = checks, worker, address, HttpResponse()
        self.since = checks.loop.now()
        self.connection = checks.dial(checks.loop, address, self)

    def opened(self, connection: Connection) -> None:
        """The connection is up."""
        connection.send(format_get(self.checks.path, spelled(self.address)))
        connection.limit_to(ANSWER_TIMEOUT)

    def received(self, connection: Connection) -> None:
        """Bytes have arrived in the connection's buffer."""
        try:
            self.answer.feed(connection.buffer.take(len(connection.buffer)))
        except ProtocolError:
            connection.end(Ending.UNREADABLE)
            return
        if self.answer.complete:
            connection.end(Ending.OURS)

    def ended(self, connection: Connection, ending: Ending) -> None:
        """The connection has ended, for this reason."""
        finished = self.answer.complete
        outcome = outcome_of_status(self.answer.status) if finished else outcome_of(ending)
        load = parse_load_body(bytes(self.answer.body)) if finished and self.checks.path == LOAD_PATH else {}
        self.checks.finished(
            self, events.HealthCheckFinished(self.worker, outcome, self.checks.loop.now() - self.since, load)
        )


class HealthChecks:
    """The health checks that run."""

    def __init__(
        self,
        loop: Loop,
        addresses: Callable[[str], Address | None],
        with_load: bool,
        notices: Notices,
        emit: Callable[[events.Event], None],
        dial=Connection.dial,
    ) -> None:
        self.loop, self.addresses, self.notices, self.emit, self.dial = loop, addresses, notices, emit, dial
        self.path, self.running = LOAD_PATH if with_load else PING_PATH, set()

    def send(self, order: events.CheckHealth) -> None:
        """Start a health check; one that can't start ends as unknown."""
        address = self.addresses(order.worker)
        if address is None or len(self.running) >= MAX_RUNNING:
            self.notices.say("probe not sent", "workers", worker=order.worker, known=address is not None)
            self.emit(events.HealthCheckFinished(order.worker, "unknown", 0.0))
        else:
            self.running.add(HealthCheckConnection(self, order.worker, address))

    def finished(self, probe: HealthCheckConnection, event: events.HealthCheckFinished) -> None:
        """Pass on how a health check ended."""
        self.running.discard(probe)
        self.emit(event)
