"""Messages to the proxies: the draft that is being filled, and sent messages until they are acknowledged."""

from collections import deque
from dataclasses import dataclass

from ..events import MessageAcknowledged, Order
from ..policy.parameters import ACK_TIMEOUT, LONG_AGO, REPORT_LAG

NUMBER_COUNT = 65536  # message numbers; they wrap around to 0


@dataclass
class SentMessage:
    """A message to all proxies that were joined when it was sent. Times are unix times in s."""

    number: int
    lines: float  # in the channel, for all proxies together
    sent_at: float
    proxies: int
    awaited: set[int]  # proxies that have not acknowledged it
    pending_until: float  # when an acknowledgement was last awaited


class MessageDraft:
    """A message that is being filled. Each proxy receives `header` lines, and one line for each order."""

    def __init__(self, orders: list[Order], header: float, proxies: int, waiting: float) -> None:
        self.orders, self.proxies = orders, proxies
        self.lines = (header + len(orders)) * proxies
        self.waiting = waiting  # lines that wait in the channel already

    def fits(self, limit: float, more: int = 0) -> bool:
        """Return whether at most `limit` lines would wait, if `more` orders were added."""
        return self.lines + more * self.proxies + self.waiting <= limit

    def add(self, orders: list[Order]) -> None:
        """Add orders and count their lines."""
        self.orders += orders
        self.lines += len(orders) * self.proxies


class SentMessages:
    """The messages that are unacknowledged or still count towards the rate limit, oldest first."""

    def __init__(self) -> None:
        self.messages: deque[SentMessage] = deque()
        self.last_number = 0
        self.acknowledgements_lost_at = LONG_AGO  # unix time of the last join that may have lost some

    def add(self, now: float, lines: float, proxies: set[int]) -> int:
        """Record a message to these proxies and return its number."""
        self.last_number = (self.last_number + 1) % NUMBER_COUNT
        self.messages.append(SentMessage(self.last_number, lines, now, len(proxies), proxies, now))
        return self.last_number

    def acknowledge(self, event: MessageAcknowledged) -> None:
        """Record an acknowledgement. The channel keeps the order, so all earlier messages have left it."""
        for position, message in enumerate(self.messages):
            if message.number == event.number:
                message.awaited.discard(event.proxy)
                for earlier in range(position):
                    self.messages[earlier].awaited.clear()

    def remove_proxy(self, proxy: int) -> None:
        """Await no acknowledgement of a proxy that left."""
        for message in self.messages:
            message.awaited.discard(proxy)

    def expire(self, now: float, counted_for: float) -> None:
        """Give up lost acknowledgements; drop messages that left the channel over `counted_for` s ago."""
        lost_at = self.acknowledgements_lost_at
        # a message sent shortly before the loss may still be in the channel: it is awaited a little longer
        lost_before = max(min(lost_at, (now + lost_at) / 2 - REPORT_LAG), now - ACK_TIMEOUT)
        for message in self.messages:
            if message.sent_at < lost_before:
                message.awaited.clear()
            message.pending_until = now if message.awaited else message.pending_until
        while self.messages and not self.messages[0].awaited:
            if self.messages[0].pending_until >= now - counted_for:
                break
            self.messages.popleft()

    def waiting_lines(self) -> float:
        """Return the lines of unacknowledged messages, weighted by the share of proxies still awaited."""
        return sum(m.lines * len(m.awaited) / m.proxies for m in self.messages if m.awaited)

    def last_sent_at(self) -> float:
        """Return the unix time of the latest message that still counts, or LONG_AGO."""
        return self.messages[-1].sent_at if self.messages else LONG_AGO
