"""The relay's news: proxies, slices and their lines to events, reconciled after a break.

What stands comes first, and nothing marks its end. It is taken as told at the first line that can't be part
of it: a sign of life, an answer to a mark, a proxy that left, or a slice taken away.
"""

from collections.abc import Callable

from ... import interface as door
from ..protocol import relay
from ..protocol.words import Skipped, Unreadable
from ..transport.buffer import Buffer
from .stream import Attempt, Stream


class Standing:
    """Who is joined and what is held, as one connection has told."""

    def __init__(self) -> None:
        self.proxies: dict[int, door.ProxyJoined] = {}
        self.slices: dict[int, dict[str, float]] = {}
        self.watched = False

    def note(self, event: door.Event) -> None:
        match event:
            case door.ProxyJoined():
                self.proxies[event.proxy] = event
            case door.ProxyLeft():
                self.proxies.pop(event.proxy, None)
            case door.SliceGiven(number, True):
                self.slices[number] = {}
            case door.SliceGiven(number, False):
                self.slices.pop(number, None)
            case door.LineHeld(number, worker, weight):
                table = self.slices.get(number, {})
                table.pop(worker, None)
                if weight:
                    table[worker] = weight


def reconciled(known: Standing, told: Standing) -> list[door.Event]:
    """What must have happened between: who or what is no longer named has left."""
    events: list[door.Event] = [door.ProxyLeft(proxy) for proxy in known.proxies if proxy not in told.proxies]
    events += told.proxies.values()
    events += [door.SliceGiven(number, False) for number in known.slices if number not in told.slices]
    for number, table in told.slices.items():
        if known.slices.get(number) != table:
            events += [door.SliceGiven(number, True)]
            events += [door.LineHeld(number, worker, weight) for worker, weight in table.items()]
    return events


class News(Stream):
    party = "relay's news"

    def __init__(self, *args, tell: Callable[[door.Event], None], **more) -> None:
        super().__init__(*args, **more)
        self.tell, self.known = tell, Standing()

    def greeting(self) -> bytes:
        return relay.WATCH

    def reader(self) -> Standing:
        return Standing()

    def read(self, attempt: Attempt, buffer: Buffer) -> None:
        while (line := buffer.line()) is not None:
            if not attempt.standing.watched:
                if line != relay.WATCHED:
                    raise Unreadable(f"answer to {relay.WATCH!r}: {line[:60]!r}")
                attempt.standing.watched = True
                continue
            try:
                event = relay.news(line)
            except Skipped as problem:
                self.notices.say("news skipped", self.party, why=str(problem))
                continue
            self.take(attempt, event)

    def take(self, attempt: Attempt, event: door.Event | None) -> None:
        """News of the stream that runs goes on at once; what the next one tells waits till it takes over."""
        if not attempt.told:
            more = isinstance(event, (door.ProxyJoined, door.LineHeld)) or (
                isinstance(event, door.SliceGiven) and event.ours)
            attempt.told = not more
        if event is None:
            return
        if attempt is self.current:
            self.known.note(event)
            self.tell(event)
        else:
            attempt.standing.note(event)
            if isinstance(event, door.MarkAnswered) and not self.current:
                self.tell(event)

    def taken_over(self, attempt: Attempt) -> None:
        for event in reconciled(self.known, attempt.standing):
            self.tell(event)
        self.known = attempt.standing

    def forgotten(self) -> None:
        """A new module knows nothing: all that stands is told again."""
        self.known = Standing()
        self.again()
