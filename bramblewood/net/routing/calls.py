"""Calls to the relay: one at a time, in order; what waits is folded, so that it stays bounded.

A call without a whole answer was carried out or not, unknown. Its orders go back to the front, nothing
overtakes them, and an answer to its mark settles it, or the store: the news are read anew, and one line of
the call tells of all. Without either they are sent again with what came behind.
"""

from collections.abc import Callable, Hashable
from typing import NamedTuple

from ... import events
from ..protocol import relay
from ..transport.connection import Address, Connection, growing_wait
from ..transport.ending import Ending
from ..transport.loop import Loop
from ..transport.notices import Notices

ANSWER = 0.15  # s for an answer: 0.05 by the protocol, the rest for a shared core
STORE_READ = 0.1  # s till the news are read anew; a call is carried out within 0.05 or not at all
DOUBT = 0.5  # s at least for a sign of an unanswered call: sent again sooner, calls that always break
# would become more messages than a site may allow (20 in 10 s)
SIGN = 1.5  # times the usual time to the first answer to a mark; a slow channel brings it late
BEFORE = 0.1  # s before the next try while the run has not begun
WAITS = (0.05, 0.8)  # s before the next dial after a failure, first and longest; doubled in between
FRESH = 2.0  # s for which an idle connection is used; the relay closes it after 10 s or less
ROUNDED = 1e-6  # difference of a weight that is none, as it goes through texts
ALIASES = 256  # marks remembered: those folded into a later one, and those not yet answered


class Out(NamedTuple):
    """An order on its way."""

    order: events.Order
    text: str


Waiting = dict[Hashable, Out]


def fold(waiting: Waiting, key: Hashable, out: Out) -> None:
    """Put an order behind the others; one that it makes void is taken out, and a mark stays the last."""
    waiting.pop(key, None)
    if key[0] == "table":
        for other in [k for k in waiting if k[0] in ("line", "level") and k[1] == key[1]]:
            del waiting[other]
    waiting[key] = out
    if ("mark",) in waiting:
        waiting["mark",] = waiting.pop(("mark",))


class Calls:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        operations: list[str],
        notices: Notices,
        tell: Callable[[events.Event], None],
        carried: Callable[[events.Order], None],
        read_store: Callable[[], None],
        dial=Connection.dial,
    ) -> None:
        self.loop, self.address, self.operations, self.notices = loop, address, operations, notices
        self.tell, self.carried, self.read_store, self.dial = tell, carried, read_store, dial
        self.waiting: Waiting = {}
        self.flight: Waiting = {}  # of the call that is out
        self.doubted: Waiting = {}  # of calls whose answer never came whole; part of what waits
        self.aliases: dict[int, list[int]] = {}  # by mark: earlier ones that it stands for
        self.sent_at: dict[int, float] = {}  # by mark, till the first answer to it
        self.first_answer = 0.0  # s to the first answer to a mark, lately; longer ones count at once
        self.connection: Connection | None = None
        self.spent = False  # whether the connection is to carry no other call: moved away from, or spoilt
        self.doubt_until = 0.0  # when the last unanswered call is sent again all the same
        self.failures, self.pause, self.used_at, self.most = 0, None, 0.0, relay.ORDERS

    def give(self, orders: list[events.Order]) -> None:
        for order in orders:
            made = relay.order_text(order, self.operations)
            if made is None:
                self.notices.say("order without a message", "relay", order=type(order).__name__)
                continue
            key, text = made
            self.alias(order, self.waiting.get(key))
            fold(self.waiting, key, Out(order, text))
        self.push()

    def alias(self, order: events.Order, earlier: Out | None) -> None:
        """A mark that replaces an earlier one stands for it too."""
        if (
            isinstance(order, events.RequestAcknowledgement)
            and earlier
            and earlier.order.number != order.number
        ):
            before = earlier.order.number
            self.aliases[order.number] = [*self.aliases.pop(before, []), before][-ALIASES:]
        for kept in (self.aliases, self.sent_at):
            while len(kept) > ALIASES:
                del kept[next(iter(kept))]

    def answered(self, event: events.MessageAcknowledged) -> None:
        """An answer to a mark, as the news tell it: also to those folded into it, and it settles a doubt."""
        for mark in [*self.aliases.get(event.number, []), event.number]:
            self.tell(event._replace(number=mark))
        if event.number in self.sent_at:
            took = self.loop.now() - self.sent_at.pop(event.number)
            self.first_answer = max(took, (3 * self.first_answer + took) / 4)
        mark = self.doubted.get(("mark",))
        if mark and mark.order.number == event.number:
            self.settle(True)

    def settle(self, done: bool) -> None:
        """What was in doubt was carried out, or not: then it goes out again before what came behind."""
        doubted, self.doubted = self.doubted, {}
        for key, out in doubted.items() if done else ():
            self.carried(out.order)
            if self.waiting.get(key) is out:
                del self.waiting[key]
        self.doubt_until = self.loop.now()
        self.wait(0.0)

    def stored(self, number: int, told: dict[str, float], table: dict[str, float]) -> None:
        """The store's table of a slice beside what was told of it: a call is carried out whole or not at all.

        Guards the channel: sent a second time, a large call waits there twice.
        """
        for out in self.doubted.values():
            match out.order:
                case events.SetRoute(table=of, worker=worker, weight=weight) if (
                    of == number and told.get(worker, 0) != weight
                ):
                    self.settle(abs(table.get(worker, 0) - weight) < ROUNDED)
                    return

    def given_anew(self, number: int) -> None:
        """Guards against lines that nobody knows of: orders from before a slice was given no longer hold."""
        for orders in (self.waiting, self.doubted):
            for key in [k for k in orders if k[0] in ("line", "table", "level") and k[1] == number]:
                del orders[key]

    def unsettled(self, number: int) -> bool:
        """Whether the store may hold other than was told of a slice, by a call that is out or in doubt."""
        return any(
            getattr(out.order, "table", None) == number
            for part in (self.flight, self.doubted)
            for out in part.values()
        )

    def move(self, address: Address) -> None:
        """Another address holds from now on; a call that is out ends on the old road, so none overtakes it.

        No wait or failure of the old road counts on the new one, but an unanswered call stays in doubt.
        """
        if address == self.address:
            return
        self.address, self.failures, self.spent = address, 0, self.connection is not None
        if self.pause and self.loop.now() >= self.doubt_until:
            self.pause.cancel()
            self.pause = None
        self.leave_spent()
        self.push()

    def leave_spent(self) -> None:
        if self.spent and not self.flight:
            old, self.connection, self.spent = self.connection, None, False
            old.end()

    def wait(self, seconds: float) -> None:
        if self.pause:
            self.pause.cancel()
        self.pause = self.loop.after(seconds, self.resume)

    def resume(self) -> None:
        self.pause = None
        self.push()

    def push(self) -> None:
        """Send what waits, unless a call is out or something is waited for."""
        if self.pause or self.flight or not self.waiting:
            return
        if self.connection and self.connection.up and self.loop.now() > self.used_at + FRESH:
            stale, self.connection = self.connection, None
            stale.end()  # guards against the other side's closing it under a call
        if not self.connection:
            self.connection = self.dial(self.loop, self.address, self)
        elif self.connection.up:
            self.send()

    def send(self) -> None:
        size, self.doubted = 0, {}
        for key, out in list(self.waiting.items()):
            size += len(out.text) + 1
            if self.flight and (size > relay.LONGEST or len(self.flight) >= self.most):
                break
            self.flight[key] = self.waiting.pop(key)
        self.connection.send(relay.call(out.text for out in self.flight.values()))
        self.connection.limit_to(ANSWER, total=True)
        self.used_at = self.loop.now()
        if mark := self.flight.get(("mark",)):
            self.sent_at.setdefault(mark.order.number, self.used_at)

    def put_back(self, orders: Waiting) -> None:
        """To the front; what was ordered later still stands above it."""
        later, self.waiting = self.waiting, {}
        if ("mark",) in later:
            self.alias(later["mark",].order, orders.get(("mark",)))
        for key, out in [*orders.items(), *later.items()]:
            fold(self.waiting, key, out)

    def opened(self, connection: Connection) -> None:
        self.failures = 0
        self.used_at = self.loop.now()
        self.push()

    def received(self, connection: Connection) -> None:
        line = connection.buffer.line()
        if line is None or connection is not self.connection:
            return
        connection.limit_to(None)
        self.used_at = self.loop.now()
        found = relay.answer(line)
        if found is None or not self.flight or isinstance(found, int) and found > len(self.flight):
            self.notices.say("answer can't be read", "relay", line=repr(line[:60]))
            connection.end(Ending.UNREADABLE)
            return
        sent, self.flight = self.flight, {}
        if found == relay.NOT_YET:
            self.put_back(sent)
            self.wait(BEFORE)
        elif isinstance(found, str):
            self.refused(sent, found)
        else:
            self.most = relay.ORDERS
            self.taken(sent, found)
        self.spent |= len(connection.buffer) > 0  # or what came behind would answer the next call
        self.leave_spent()
        self.push()

    def refused(self, sent: Waiting, error: str) -> None:
        """A call that can't be read as a whole: halves are sent till the order at fault stands alone."""
        self.notices.say(
            "call not taken", "relay", error=error, orders=len(sent), first=next(iter(sent.values())).text
        )
        if len(sent) > 1:
            self.most = (len(sent) + 1) // 2
            self.put_back(sent)

    def taken(self, sent: Waiting, count: int) -> None:
        for out in list(sent.values())[:count]:
            self.carried(out.order)
        if count < len(sent):
            (_, fault), *rest = list(sent.items())[count:]
            self.notices.say("order not taken", "relay", order=fault.text)
            self.put_back(dict(rest))

    def ended(self, connection: Connection, ending: Ending) -> None:
        if connection is not self.connection:
            return
        self.connection, self.spent = None, False
        if self.flight:
            self.notices.say("call without an answer", "relay", how=ending.value, orders=len(self.flight))
            self.doubted, self.flight = self.flight, {}
            self.put_back(self.doubted)
            doubt = max(DOUBT, SIGN * self.first_answer)
            self.doubt_until = self.loop.now() + doubt
            self.wait(doubt)
            self.loop.after(STORE_READ, lambda: self.read_store() if self.doubted else None)
        elif not connection.up:
            self.notices.say("no connection", "relay", how=ending.value)
            self.wait(growing_wait(WAITS, self.failures))
            self.failures += 1
        else:
            self.push()
