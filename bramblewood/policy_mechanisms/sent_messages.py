"""Messages to the proxies: one that is being filled, and those that have not been acknowledged."""

from collections import deque
from dataclasses import dataclass

from ..events import MessageAcknowledged, Order
from ..policy.parameters import ACK_TIMEOUT, LONG_AGO, REPORT_LAG

NUMBERS = 65536  # message numbers, used in turn


@dataclass
class SentMessage:
    """A message to all proxies of its time: lines that it takes in the channel, times in unix s."""

    number: int
    lines: float
    sent_at: float
    proxies: int
    awaited: set[int]  # proxies that have not acknowledged it
    pending_until: float  # when one was last awaited


class MessageDraft:
    """A message that is being filled; each order, and a header, takes one line for each proxy."""

    def __init__(self, orders: list[Order], header: float, proxies: int, waiting: float) -> None:
        self.orders, self.proxies = orders, proxies
        self.lines = (header + len(orders)) * proxies
        self.waiting = waiting  # lines that wait in the channel already

    def fits(self, limit: float, more: int = 0) -> bool:
        """Whether no more lines than the limit would wait, with so many more orders."""
        return self.lines + more * self.proxies + self.waiting <= limit

    def add(self, orders: list[Order]) -> None:
        """Add orders and their lines."""
        self.orders += orders
        self.lines += len(orders) * self.proxies


class SentMessages:
    """The messages that wait in the channel or count for the number allowed, oldest first."""

    def __init__(self) -> None:
        self.messages: deque[SentMessage] = deque()
        self.last_number = 0
        self.acknowledgements_lost_at = LONG_AGO  # unix time

    def add(self, now: float, lines: float, proxies: set[int]) -> int:
        """Add a message to these proxies; its number."""
        self.last_number = (self.last_number + 1) % NUMBERS
        self.messages.append(SentMessage(self.last_number, lines, now, len(proxies), proxies, now))
        return self.last_number

    def acknowledge(self, event: MessageAcknowledged) -> None:
        """A proxy has a message; messages leave in order, so all earlier ones have left."""
        for position, message in enumerate(self.messages):
            if message.number == event.number:
                message.awaited.discard(event.proxy)
                for earlier in range(position):
                    self.messages[earlier].awaited.clear()

    def remove_proxy(self, proxy: int) -> None:
        """A proxy left: no acknowledgement of it is awaited."""
        for message in self.messages:
            message.awaited.discard(proxy)

    def expire(self, now: float, counted_for: float) -> None:
        """Await no longer what is lost; drop messages that left longer ago than they count for, in s."""
        lost_at = self.acknowledgements_lost_at
        void_before = max(min(lost_at, (now + lost_at) / 2 - REPORT_LAG), now - ACK_TIMEOUT)
        for message in self.messages:
            if message.sent_at < void_before:
                message.awaited.clear()
            message.pending_until = now if message.awaited else message.pending_until
        while self.messages and not self.messages[0].awaited:
            if self.messages[0].pending_until >= now - counted_for:
                break
            self.messages.popleft()

    def waiting_lines(self) -> float:
        """Lines of messages that proxies have not acknowledged, by the share of these proxies."""
        return sum(m.lines * len(m.awaited) / m.proxies for m in self.messages if m.awaited)

    def last_sent_at(self) -> float:
        """Unix time of the latest message that still counts."""
        return self.messages[-1].sent_at if self.messages else LONG_AGO
