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

LINES = 0.2  # s in which the lines of a slice follow it; they are written in one go


class Standing:
    """Who is joined and what is held, as one connection has told."""

    def __init__(self) -> None:
        self.proxies: dict[int, door.ProxyJoined] = {}
        self.slices: dict[int, dict[str, float]] = {}
        self.leveled: set[int] = set()  # slices with levels ordered since they were given
        self.watched = False

    def named(self) -> bool:
        return bool(self.proxies or self.slices or self.leveled)

    def note(self, event: door.Event | door.Order | None) -> None:
        match event:
            case door.ProxyJoined():
                self.proxies[event.proxy] = event
            case door.ProxyLeft():
                self.proxies.pop(event.proxy, None)
            case door.SliceGiven(number, ours):
                self.leveled.discard(number)
                self.slices.pop(number, None)
                if ours:
                    self.slices[number] = {}
            case door.Admit(number):
                self.leveled.add(number)
            case door.LineHeld(number, worker, weight) | door.SetLine(number, worker, weight):
                table = self.slices.get(number, {})
                table.pop(worker, None)
                if weight:
                    table[worker] = weight
            case door.ClearTable(number):
                self.slices.get(number, {}).clear()


def reconciled(known: Standing, told: Standing) -> list[door.Event]:
    """What must have happened between: who is no longer named has left, other lines mean given anew."""
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
        self.given: list[door.Event] = []  # a slice just given, and its lines so far

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
                attempt.told = not self.known.named()  # nothing to reconcile: all goes on at once
                if attempt.told:
                    self.take_over(attempt)
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
        if attempt is self.current:
            self.known.note(event)
            self.pass_on(event)
        elif event is None:
            return
        else:
            attempt.standing.note(event)
            if isinstance(event, door.MarkAnswered) and not self.current:
                self.tell(event)

    def pass_on(self, event: door.Event | None) -> None:
        """Guards against bytes that come in pieces: a slice without its lines would look empty."""
        same = self.given and isinstance(event, door.LineHeld) and event.slice == self.given[0].slice
        if not same:
            self.lines_told()
        if same or isinstance(event, door.SliceGiven) and event.ours:
            self.given.append(event)
            if not same:
                given = self.given
                self.loop.after(LINES, lambda: self.lines_told() if self.given is given else None)
        elif event is not None:
            self.tell(event)

    def lines_told(self) -> None:
        given, self.given = self.given, []
        for event in given:
            self.tell(event)

    def taken_over(self, attempt: Attempt) -> None:
        self.lines_told()
        events = reconciled(self.known, attempt.standing)
        attempt.standing.leveled |= self.known.leveled & set(attempt.standing.slices)
        self.known = attempt.standing
        for event in events:
            self.tell(event)

    def carried(self, order: door.Order) -> None:
        """An order that the relay took; what is being read anew may have been written before it."""
        self.known.note(order)
        if self.coming:
            self.coming.standing.note(order)

    def forgotten(self) -> None:
        """A new module knows nothing: all that stands is told again, as if given now."""
        known, self.known = self.known, Standing()
        self.known.leveled, self.given = known.leveled, []
        self.again()
