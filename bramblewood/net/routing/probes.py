"""Probes of workers: one GET each, and how it ended in the module's words."""

from collections.abc import Callable

from ... import events
from ..protocol.http import Answer, get
from ..protocol.words import Unreadable, load_of_body
from ..transport.connection import Address, Connection, spelled
from ..transport.ending import Ending
from ..transport.loop import Loop
from ..transport.notices import Notices
from .outcomes import outcome_of, outcome_of_status

PING, LOAD = "/ping", "/_load"
ANSWER = 1.0  # s for an answer; a worker that takes longer is as good as none
MOST = 64  # probes out at once; each holds a descriptor


class Probe:
    def __init__(self, probes: "Probes", worker: str, address: Address) -> None:
        self.probes, self.worker, self.address, self.answer = probes, worker, address, Answer()
        self.since = probes.loop.now()
        self.connection = probes.dial(probes.loop, address, self)

    def opened(self, connection: Connection) -> None:
        connection.send(get(self.probes.path, spelled(self.address)))
        connection.limit_to(ANSWER)

    def received(self, connection: Connection) -> None:
        try:
            self.answer.feed(connection.buffer.take(len(connection.buffer)))
        except Unreadable:
            connection.end(Ending.UNREADABLE)
            return
        if self.answer.whole:
            connection.end(Ending.OURS)

    def ended(self, connection: Connection, ending: Ending) -> None:
        done = self.answer.whole
        outcome = outcome_of_status(self.answer.status) if done else outcome_of(ending)
        load = load_of_body(bytes(self.answer.body)) if done and self.probes.path == LOAD else {}
        self.probes.done(
            self, events.HealthCheckFinished(self.worker, outcome, self.probes.loop.now() - self.since, load)
        )


class Probes:
    def __init__(
        self,
        loop: Loop,
        addresses: Callable[[str], Address | None],
        with_load: bool,
        notices: Notices,
        tell: Callable[[events.Event], None],
        dial=Connection.dial,
    ) -> None:
        self.loop, self.addresses, self.notices, self.tell, self.dial = loop, addresses, notices, tell, dial
        self.path, self.out = LOAD if with_load else PING, set()

    def send(self, order: events.CheckHealth) -> None:
        address = self.addresses(order.worker)
        if address is None or len(self.out) >= MOST:
            self.notices.say("probe not sent", "workers", worker=order.worker, known=address is not None)
            self.tell(events.HealthCheckFinished(order.worker, "unknown", 0.0))
        else:
            self.out.add(Probe(self, order.worker, address))

    def done(self, probe: Probe, event: events.HealthCheckFinished) -> None:
        self.out.discard(probe)
        self.tell(event)
