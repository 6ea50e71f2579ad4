"""The gate before the worker of a crowded record: how fast this desk sends lookups to it, and whose turn it
is.

Such a worker turns away what it has no room for, payments too. Desks don't know each other's requests, so
each finds its own pace: it slows down when the worker says that more wait than it has slots, or turns
something away, and gains again while it does not. Effects pass at once and count; lookups take what is
left, by rank, then as they came; the queue is as long as what leaves it in time. Pure; times in s.
"""

import math

PRESSED = 0.85  # of its pace that a desk keeps when a worker says that more wait than it has slots
TURNED = 0.7  # and when it turns a request away
SEES = 0.2  # s before a slower pace can show: about a request's work
GAIN = 0.3  # of its pace that it gains each second
LEAST = 0.2  # requests a second that are always let through: some news of the worker each five seconds
FLOW = 1.0  # s over which the flow is counted
FREE = 2.0  # times the flow at which a pace bounds nothing any more: the gate opens


class HotKeyQueue:
    def __init__(self) -> None:
        self.pace = math.inf  # requests a second
        self.next_at = self.cut_at = self.gained_at = -1e9
        self.count, self.counted_at = 0.0, 0.0  # requests that came, fading over FLOW
        self.waiting: dict[str, tuple[int, float]] = {}  # by request: rank, since when

    @property
    def closed(self) -> bool:
        return self.pace < math.inf

    def flow(self, now: float) -> float:
        """Requests a second that come for this worker."""
        return self.count * math.exp(-max(now - self.counted_at, 0.0) / FLOW) / FLOW

    def came(self, now: float) -> None:
        self.count, self.counted_at = self.flow(now) * FLOW + 1.0, now

    def slower(self, now: float, part: float) -> None:
        """The worker has more than it can do: PRESSED or TURNED."""
        if now < self.cut_at + SEES or self.flow(now) < LEAST:
            return
        self.pace = max(part * min(self.pace, self.flow(now)), LEAST)
        self.cut_at = self.gained_at = now

    def faster(self, now: float) -> None:
        """It answered, and fewer wait than it works on."""
        if not self.closed:
            return
        self.pace *= 1 + GAIN * min(now - self.gained_at, 1.0)
        self.gained_at = now
        if self.pace > FREE * max(self.flow(now), LEAST):
            self.pace = math.inf

    def turn(self, now: float, request: str, mine: tuple[int, float], until: float) -> float | None:
        """When to look again: now where it is this request's turn, None where it can't be by `until`.

        mine: its rank, since when it waits.
        """
        if not self.closed:
            self.waiting.pop(request, None)
            return now
        ahead = sum(other < mine for other in self.waiting.values())
        at = max(self.next_at, now) + ahead / self.pace
        if at > until:
            self.waiting.pop(request, None)
            return None
        if at > now:
            self.waiting[request] = mine
            return min(at, until)
        self.waiting.pop(request, None)
        return now

    def left(self, request: str) -> None:
        """It waits here no more."""
        self.waiting.pop(request, None)

    def went(self, now: float) -> None:
        if self.closed:
            self.next_at = max(self.next_at, now) + 1 / self.pace
