"""The relay's news: proxies, slices and their lines to events, reconciled after a break.

What stands comes first, and nothing marks its end. After a break it is passed on as it comes, but for tables
that the module knows; who and what is not named by the first line that can't be part of what stands (a sign
of life, an answer to a mark, a proxy that left, a slice taken away) has left in between.
"""

from collections.abc import Callable

from ... import events
from ..protocol import relay
from ..protocol.words import Skipped, Unreadable
from ..transport.buffer import Buffer
from .stream import Attempt, Stream

LINES = 0.2  # s in which the lines of a slice follow it; they are written in one go


class Standing:
    """Who is joined and what is held, as told and as ordered since."""

    def __init__(self) -> None:
        self.proxies: dict[int, events.ProxyJoined] = {}
        self.slices: dict[int, dict[str, float]] = {}
        self.leveled: set[int] = set()  # of these slices: those with levels ordered since they were given

    def note(self, event: events.Event | events.Order) -> None:
        match event:
            case events.ProxyJoined():
                self.proxies[event.proxy] = event
            case events.ProxyLeft():
                self.proxies.pop(event.proxy, None)
            case events.SliceAssigned(number, ours):
                self.leveled.discard(number)
                self.slices.pop(number, None)
                if ours:
                    self.slices[number] = {}
            case events.SetAdmission(number):
                self.leveled.add(number)
            case events.RouteStored(number, worker, weight) | events.SetRoute(number, worker, weight):
                table = self.slices.get(number, {})
                table.pop(worker, None)
                if weight:
                    table[worker] = weight
            case events.ClearTable(number):
                self.slices.get(number, {}).clear()


class News(Stream):
    party = "relay's news"

    def __init__(
        self,
        *args,
        tell: Callable[[events.Event], None],
        stored: Callable[[int, dict, dict], None] = lambda *_: None,
        **more,
    ) -> None:
        super().__init__(*args, **more)
        self.tell, self.known, self.stored = tell, Standing(), stored
        self.before = Standing()  # what was known before a break and is not named again yet
        self.whole = False  # whether nothing was missed before this stream took over
        self.given: list[events.Event] = []  # a slice just given, and its lines so far
        self.leveled: set[int] = set()  # slices with levels that the module of now knows nothing of

    def greeting(self) -> bytes:
        return relay.WATCH

    def read(self, attempt: Attempt, buffer: Buffer) -> None:
        while (line := buffer.line()) is not None and attempt.connection.owner:
            if attempt is not self.current:
                if line != relay.WATCHED:
                    raise Unreadable(f"answer to {relay.WATCH!r}: {line[:60]!r}")
                self.spoke(attempt)
                continue
            try:
                event = relay.news(line)
            except Skipped as problem:
                self.notices.say("news skipped", self.party, why=str(problem))
                continue
            self.take(event)

    def taken_over(self, whole: bool) -> None:
        """From here on this stream tells; what was known is compared with what it names."""
        self.given, self.whole = [], whole
        self.known.proxies |= {p: e for p, e in self.before.proxies.items() if p not in self.known.proxies}
        self.known.slices |= {n: t for n, t in self.before.slices.items() if n not in self.known.slices}
        self.known.leveled |= self.before.leveled
        self.before, self.known = self.known, Standing()

    def take(self, event: events.Event | None) -> None:
        """One line of news, None for a sign of life."""
        if isinstance(event, events.RouteStored) and self.given and event.slice == self.given[0].slice:
            self.given.append(event)
            return
        self.lines_told()
        match event:
            case events.SliceAssigned(
                _, True
            ):  # guards against bytes that come in pieces: it would look empty
                given = self.given = [event]
                self.loop.after(LINES, lambda: self.lines_told() if self.given is given else None)
            case events.ProxyJoined(proxy):
                known = self.before.proxies.pop(proxy, None)
                if self.whole and known and event.fresh <= known.fresh:
                    self.known.note(event)  # it never left: nothing of what it was told is lost
                else:
                    self.pass_on(event)
            case events.RouteStored():
                self.pass_on(event)
            case _:
                self.all_named()
                if event is not None:
                    self.pass_on(event)

    def pass_on(self, event: events.Event) -> None:
        self.known.note(event)
        self.tell(event)

    def lines_told(self) -> None:
        """The slice just given is whole: told, unless it is as it was before a break."""
        given, self.given = self.given, []
        if given:
            number, named = given[0].slice, Standing()
            for event in given:
                named.note(event)
            if given[0].assigned and number in self.before.slices:
                self.stored(number, self.before.slices[number], named.slices[number])
            if self.before.slices.pop(number, None) != named.slices[number]:
                for event in given:
                    self.pass_on(event)
            else:
                self.known.slices[number] = named.slices[number]
                self.known.leveled |= self.before.leveled & {number}
            self.leveled.discard(number)

    def all_named(self) -> None:
        """The end of what stands: who and what has not been named has left."""
        before, self.before = self.before, Standing()
        for proxy in before.proxies:
            self.pass_on(events.ProxyLeft(proxy))
        for number in before.slices:
            self.pass_on(events.SliceAssigned(number, False))

    def carried(self, order: events.Order) -> None:
        """An order that the relay took; what is being read anew may have been written before it."""
        self.known.note(order)
        if getattr(order, "table", None) in self.before.slices:
            self.before.note(order)

    def forgotten(self) -> None:
        """A new module knows nothing: all that stands is told again, as if given now."""
        self.leveled |= self.known.leveled | self.before.leveled
        self.known, self.before, self.given = Standing(), Standing(), []
        self.again()  # nobody is known, so all are told
