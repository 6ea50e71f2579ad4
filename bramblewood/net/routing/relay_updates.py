"""The relay's news: proxies, slices and their lines to events, reconciled after a break.

What stands comes first, and nothing marks its end. After a break it is passed on as it comes, but for tables
that the module knows; who and what is not named by the first line that can't be part of what stands (a sign
of life, an answer to a mark, a proxy that left, a slice taken away) has left in between.
"""

from collections.abc import Callable

from ... import events
from ..protocol import relay
from ..protocol.fields import InvalidMessage, ProtocolError
from ..transport.buffer import Buffer
from .stream import Attempt, Stream

ROUTES_WITHIN = 0.2  # s in which the lines of a slice follow it; they are written in one go


class KnownState:
    """Who is joined and what is held, as told and as ordered since."""

    def __init__(self) -> None:
        self.proxies: dict[int, events.ProxyJoined] = {}
        self.slices: dict[int, dict[str, float]] = {}
        # of these slices: those with admission levels ordered since they were assigned
        self.with_admission: set[int] = set()

    def apply(self, event: events.Event | events.Order) -> None:
        """Take in an event or an order."""
        match event:
            case events.ProxyJoined():
                self.proxies[event.proxy] = event
            case events.ProxyLeft():
                self.proxies.pop(event.proxy, None)
            case events.SliceAssigned(number, assigned):
                self.with_admission.discard(number)
                self.slices.pop(number, None)
                if assigned:
                    self.slices[number] = {}
            case events.SetAdmission(number):
                self.with_admission.add(number)
            case events.RouteStored(number, worker, weight) | events.SetRoute(number, worker, weight):
                table = self.slices.get(number, {})
                table.pop(worker, None)
                if weight:
                    table[worker] = weight
            case events.ClearTable(number):
                self.slices.get(number, {}).clear()


class RelayUpdates(Stream):
    """The stream of the relay's updates, and what is known by it."""

    party = "relay's news"

    def __init__(
        self,
        *args,
        emit: Callable[[events.Event], None],
        compare_stored: Callable[[int, dict, dict], None] = lambda *_: None,
        **more,
    ) -> None:
        super().__init__(*args, **more)
        self.emit, self.known, self.compare_stored = emit, KnownState(), compare_stored
        self.unnamed = KnownState()  # what was known before a break and is not named again yet
        self.nothing_missed = False  # whether nothing was missed before this stream took over
        self.new_slice: list[events.Event] = []  # a slice just given, and its lines so far
        self.with_admission: set[int] = set()  # slices with levels that the module of now knows nothing of

    def greeting(self) -> bytes:
        """The request for the stream."""
        return relay.WATCH

    def read(self, attempt: Attempt, buffer: Buffer) -> None:
        """Read updates as they arrive; raises ProtocolError."""
        while (line := buffer.line()) is not None and attempt.connection.owner:
            if attempt is not self.current:
                if line != relay.WATCHED:
                    raise ProtocolError(f"answer to {relay.WATCH!r}: {line[:60]!r}")
                self.first_answer(attempt)
                continue
            try:
                event = relay.parse_update(line)
            except InvalidMessage as problem:
                self.notices.say("news skipped", self.party, why=str(problem))
                continue
            self.handle_update(event)

    def taken_over(self, nothing_missed: bool) -> None:
        """From here on this stream tells; what was known is compared with what it names."""
        self.new_slice, self.nothing_missed = [], nothing_missed
        self.known.proxies |= {p: e for p, e in self.unnamed.proxies.items() if p not in self.known.proxies}
        self.known.slices |= {n: t for n, t in self.unnamed.slices.items() if n not in self.known.slices}
        self.known.with_admission |= self.unnamed.with_admission
        self.unnamed, self.known = self.known, KnownState()

    def handle_update(self, event: events.Event | None) -> None:
        """One line of news, None for a sign of life."""
        if (
            isinstance(event, events.RouteStored)
            and self.new_slice
            and event.slice == self.new_slice[0].slice
        ):
            self.new_slice.append(event)
            return
        self.flush_new_slice()
        match event:
            case events.SliceAssigned(_, True):
                # guards against bytes that come in pieces: it would look empty
                new_slice = self.new_slice = [event]
                self.loop.after(
                    ROUTES_WITHIN, lambda: self.flush_new_slice() if self.new_slice is new_slice else None
                )
            case events.ProxyJoined(proxy):
                known = self.unnamed.proxies.pop(proxy, None)
                if self.nothing_missed and known and event.fresh <= known.fresh:
                    self.known.apply(event)  # it never left: nothing of what it was told is lost
                else:
                    self.emit_known(event)
            case events.RouteStored():
                self.emit_known(event)
            case _:
                self.end_snapshot()
                if event is not None:
                    self.emit_known(event)

    def emit_known(self, event: events.Event) -> None:
        """Pass on an event and remember it."""
        self.known.apply(event)
        self.emit(event)

    def flush_new_slice(self) -> None:
        """The slice just given is whole: told, unless it is as it was before a break."""
        new_slice, self.new_slice = self.new_slice, []
        if new_slice:
            number, named = new_slice[0].slice, KnownState()
            for event in new_slice:
                named.apply(event)
            if new_slice[0].assigned and number in self.unnamed.slices:
                self.compare_stored(number, self.unnamed.slices[number], named.slices[number])
            if self.unnamed.slices.pop(number, None) != named.slices[number]:
                for event in new_slice:
                    self.emit_known(event)
            else:
                self.known.slices[number] = named.slices[number]
                self.known.with_admission |= self.unnamed.with_admission & {number}
            self.with_admission.discard(number)

    def end_snapshot(self) -> None:
        """The end of what stands: who and what has not been named has left."""
        unnamed, self.unnamed = self.unnamed, KnownState()
        for proxy in unnamed.proxies:
            self.emit_known(events.ProxyLeft(proxy))
        for number in unnamed.slices:
            self.emit_known(events.SliceAssigned(number, False))

    def order_applied(self, order: events.Order) -> None:
        """An order that the relay took; what is being read anew may have been written before it."""
        self.known.apply(order)
        if getattr(order, "table", None) in self.unnamed.slices:
            self.unnamed.apply(order)

    def policy_restarted(self) -> None:
        """A new module knows nothing: all that stands is told again, as if given now."""
        self.with_admission |= self.known.with_admission | self.unnamed.with_admission
        self.known, self.unnamed, self.new_slice = KnownState(), KnownState(), []
        self.reread()  # nobody is known, so all are told
