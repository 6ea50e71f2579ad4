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

ANSWER_TIMEOUT = 0.15  # s for an answer: 0.05 by the protocol, the rest for a shared core
STORE_READ_DELAY = 0.1  # s till the news are read anew; a call is carried out within 0.05 or not at all
UNCONFIRMED_TIME = (
    0.5  # s at least for a sign of an unanswered call: sent again sooner, calls that always break
)
# would become more messages than a site may allow (20 in 10 s)
ACKNOWLEDGEMENT_FACTOR = (
    1.5  # times the usual time to the first answer to a mark; a slow channel brings it late
)
NOT_STARTED_BACKOFF = 0.1  # s before the next try while the run has not begun
# s before the next dial after a failure, first and longest; doubled in between
RECONNECT_BACKOFF = (0.05, 0.8)
MAX_IDLE = 2.0  # s for which an idle connection is used; the relay closes it after 10 s or less
WEIGHT_TOLERANCE = 1e-6  # difference of a weight that is none, as it goes through texts
MAX_MERGED = 256  # marks remembered: those folded into a later one, and those not yet answered


class PendingOrder(NamedTuple):
    """An order on its way."""

    order: events.Order
    text: str


OrderQueue = dict[Hashable, PendingOrder]


def fold(queued: OrderQueue, key: Hashable, out: PendingOrder) -> None:
    """Put an order behind the others; one that it makes void is taken out, and a mark stays the last."""
    queued.pop(key, None)
    if key[0] == "table":
        for other in [k for k in queued if k[0] in ("route", "admission") and k[1] == key[1]]:
            del queued[other]
    queued[key] = out
    if ("acknowledgement",) in queued:
        queued["acknowledgement",] = queued.pop(("acknowledgement",))


class RelayCalls:
    """The queue of orders for the relay, and the call that is out."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        operations: list[str],
        notices: Notices,
        emit: Callable[[events.Event], None],
        order_applied: Callable[[events.Order], None],
        read_store: Callable[[], None],
        dial=Connection.dial,
    ) -> None:
        self.loop, self.address, self.operations, self.notices = loop, address, operations, notices
        self.emit, self.order_applied, self.read_store, self.dial = emit, order_applied, read_store, dial
        self.queued: OrderQueue = {}
        self.in_flight: OrderQueue = {}  # of the call that is out
        self.unconfirmed: OrderQueue = {}  # of calls whose answer never came whole; part of what waits
        self.merged_numbers: dict[int, list[int]] = {}  # by mark: earlier ones that it stands for
        self.sent_at: dict[int, float] = {}  # by mark, till the first answer to it
        self.first_acknowledgement_delay = (
            0.0  # s to the first answer to a mark, lately; longer ones count at once
        )
        self.connection: Connection | None = None
        self.spent = False  # whether the connection is to carry no other call: moved away from, or spoilt
        self.unconfirmed_until = 0.0  # when the last unanswered call is sent again all the same
        self.failures, self.timer, self.used_at, self.max_orders = 0, None, 0.0, relay.MAX_CALL_ORDERS

    def submit(self, orders: list[events.Order]) -> None:
        """Queue orders; later ones replace earlier ones of the same key."""
        for order in orders:
            made = relay.format_order(order, self.operations)
            if made is None:
                self.notices.say("order without a message", "relay", order=type(order).__name__)
                continue
            key, text = made
            self.merge_number(order, self.queued.get(key))
            fold(self.queued, key, PendingOrder(order, text))
        self.push()

    def merge_number(self, order: events.Order, earlier: PendingOrder | None) -> None:
        """A mark that replaces an earlier one stands for it too."""
        if (
            isinstance(order, events.RequestAcknowledgement)
            and earlier
            and earlier.order.number != order.number
        ):
            before = earlier.order.number
            self.merged_numbers[order.number] = [*self.merged_numbers.pop(before, []), before][-MAX_MERGED:]
        for kept in (self.merged_numbers, self.sent_at):
            while len(kept) > MAX_MERGED:
                del kept[next(iter(kept))]

    def acknowledged(self, event: events.MessageAcknowledged) -> None:
        """An answer to a mark, as the news tell it: also to those folded into it, and it settles a doubt."""
        for mark in [*self.merged_numbers.get(event.number, []), event.number]:
            self.emit(event._replace(number=mark))
        if event.number in self.sent_at:
            elapsed = self.loop.now() - self.sent_at.pop(event.number)
            self.first_acknowledgement_delay = max(
                elapsed, (3 * self.first_acknowledgement_delay + elapsed) / 4
            )
        mark = self.unconfirmed.get(("acknowledgement",))
        if mark and mark.order.number == event.number:
            self.resolve(True)

    def resolve(self, done: bool) -> None:
        """What was in doubt was carried out, or not: then it goes out again before what came behind."""
        unconfirmed, self.unconfirmed = self.unconfirmed, {}
        for key, out in unconfirmed.items() if done else ():
            self.order_applied(out.order)
            if self.queued.get(key) is out:
                del self.queued[key]
        self.unconfirmed_until = self.loop.now()
        self.wait(0.0)

    def compare_stored(self, number: int, told: dict[str, float], table: dict[str, float]) -> None:
        """The store's table of a slice beside what was told of it: a call is carried out whole or not at all.

        Guards the channel: sent a second time, a large call waits there twice.
        """
        for out in self.unconfirmed.values():
            match out.order:
                case events.SetRoute(table=of, worker=worker, weight=weight) if (
                    of == number and told.get(worker, 0) != weight
                ):
                    self.resolve(abs(table.get(worker, 0) - weight) < WEIGHT_TOLERANCE)
                    return

    def slice_reassigned(self, number: int) -> None:
        """Guards against lines that nobody knows of: orders from before a slice was given no longer hold."""
        for orders in (self.queued, self.unconfirmed):
            for key in [k for k in orders if k[0] in ("route", "table", "admission") and k[1] == number]:
                del orders[key]

    def is_unconfirmed(self, number: int) -> bool:
        """Whether the store may hold other than was told of a slice, by a call that is out or in doubt."""
        return any(
            getattr(out.order, "table", None) == number
            for part in (self.in_flight, self.unconfirmed)
            for out in part.values()
        )

    def move(self, address: Address) -> None:
        """Another address holds from now on; a call that is out ends on the old road, so none overtakes it.

        No wait or failure of the old road counts on the new one, but an unanswered call stays in doubt.
        """
        if address == self.address:
            return
        self.address, self.failures, self.spent = address, 0, self.connection is not None
        if self.timer and self.loop.now() >= self.unconfirmed_until:
            self.timer.cancel()
            self.timer = None
        self.close_spent()
        self.push()

    def close_spent(self) -> None:
        """End a connection that carries no other call, once its call is done."""
        if self.spent and not self.in_flight:
            old, self.connection, self.spent = self.connection, None, False
            old.end()

    def wait(self, seconds: float) -> None:
        """Send nothing for so many seconds."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.after(seconds, self.resume)

    def resume(self) -> None:
        """The wait is over."""
        self.timer = None
        self.push()

    def push(self) -> None:
        """Send what waits, unless a call is out or something is waited for."""
        if self.timer or self.in_flight or not self.queued:
            return
        if self.connection and self.connection.up and self.loop.now() > self.used_at + MAX_IDLE:
            stale, self.connection = self.connection, None
            stale.end()  # guards against the other side's closing it under a call
        if not self.connection:
            self.connection = self.dial(self.loop, self.address, self)
        elif self.connection.up:
            self.send()

    def send(self) -> None:
        """Send a call with as much of the queue as it may hold."""
        size, self.unconfirmed = 0, {}
        for key, out in list(self.queued.items()):
            size += len(out.text) + 1
            if self.in_flight and (size > relay.MAX_CALL_BYTES or len(self.in_flight) >= self.max_orders):
                break
            self.in_flight[key] = self.queued.pop(key)
        self.connection.send(relay.format_call(out.text for out in self.in_flight.values()))
        self.connection.limit_to(ANSWER_TIMEOUT, total=True)
        self.used_at = self.loop.now()
        if mark := self.in_flight.get(("acknowledgement",)):
            self.sent_at.setdefault(mark.order.number, self.used_at)

    def requeue(self, orders: OrderQueue) -> None:
        """To the front; what was ordered later still stands above it."""
        later, self.queued = self.queued, {}
        if ("acknowledgement",) in later:
            self.merge_number(later["acknowledgement",].order, orders.get(("acknowledgement",)))
        for key, out in [*orders.items(), *later.items()]:
            fold(self.queued, key, out)

    def opened(self, connection: Connection) -> None:
        """The connection is up."""
        self.failures = 0
        self.used_at = self.loop.now()
        self.push()

    def received(self, connection: Connection) -> None:
        """Bytes have arrived in the connection's buffer."""
        line = connection.buffer.line()
        if line is None or connection is not self.connection:
            return
        connection.limit_to(None)
        self.used_at = self.loop.now()
        found = relay.parse_answer(line)
        if found is None or not self.in_flight or isinstance(found, int) and found > len(self.in_flight):
            self.notices.say("answer can't be read", "relay", line=repr(line[:60]))
            connection.end(Ending.UNREADABLE)
            return
        sent, self.in_flight = self.in_flight, {}
        if found == relay.NOT_YET:
            self.requeue(sent)
            self.wait(NOT_STARTED_BACKOFF)
        elif isinstance(found, str):
            self.orders_rejected(sent, found)
        else:
            self.max_orders = relay.MAX_CALL_ORDERS
            self.orders_taken(sent, found)
        self.spent |= len(connection.buffer) > 0  # or what came behind would answer the next call
        self.close_spent()
        self.push()

    def orders_rejected(self, sent: OrderQueue, error: str) -> None:
        """A call that can't be read as a whole: halves are sent till the order at fault stands alone."""
        self.notices.say(
            "call not taken", "relay", error=error, orders=len(sent), first=next(iter(sent.values())).text
        )
        if len(sent) > 1:
            self.max_orders = (len(sent) + 1) // 2
            self.requeue(sent)

    def orders_taken(self, sent: OrderQueue, count: int) -> None:
        """So many orders of a call were carried out; the one after them is at fault, the rest waits."""
        for out in list(sent.values())[:count]:
            self.order_applied(out.order)
        if count < len(sent):
            (_, fault), *rest = list(sent.items())[count:]
            self.notices.say("order not taken", "relay", order=fault.text)
            self.requeue(dict(rest))

    def ended(self, connection: Connection, ending: Ending) -> None:
        """The connection has ended, for this reason."""
        if connection is not self.connection:
            return
        self.connection, self.spent = None, False
        if self.in_flight:
            self.notices.say("call without an answer", "relay", how=ending.value, orders=len(self.in_flight))
            self.unconfirmed, self.in_flight = self.in_flight, {}
            self.requeue(self.unconfirmed)
            delay = max(UNCONFIRMED_TIME, ACKNOWLEDGEMENT_FACTOR * self.first_acknowledgement_delay)
            self.unconfirmed_until = self.loop.now() + delay
            self.wait(delay)
            self.loop.after(STORE_READ_DELAY, lambda: self.read_store() if self.unconfirmed else None)
        elif not connection.up:
            self.notices.say("no connection", "relay", how=ending.value)
            self.wait(growing_wait(RECONNECT_BACKOFF, self.failures))
            self.failures += 1
        else:
            self.push()
