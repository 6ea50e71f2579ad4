"""A hierarchical timing wheel: timers set, called off and run in time that does not grow with their number.

Four wheels of 64 slots; a slot of the next spans a whole wheel before it. Which slots hold anything stands in
one whole number a wheel, so the next one due is found by its bits.
"""

from collections.abc import Callable

TICK = 0.001  # s; a timer runs in the tick after the one it falls in, never early
BITS = 6
SLOTS = 1 << BITS
MASK = SLOTS - 1
WHEELS = 4  # 64 ** 4 ticks, four and a half hours; what is due later waits in a list of its own
SPAN = 1 << BITS * WHEELS


class Entry:
    """A timer that is set; `cancel` takes it off at once."""

    __slots__ = ("at", "order", "call", "slot")

    def __init__(self, at: float, order: int, call: Callable[[], None]) -> None:
        self.at, self.order, self.call = at, order, call
        self.slot: dict | None = None

    def cancel(self) -> None:
        self.call = None
        if self.slot is not None:
            self.slot.pop(self.order, None)
            self.slot = None


class Wheel:
    def __init__(self, now: float) -> None:
        self.tick = int(now / TICK)
        self.wheels: list[list[dict]] = [[{} for _ in range(SLOTS)] for _ in range(WHEELS)]
        self.filled = [0] * WHEELS  # bit by slot that may hold something
        self.far: dict[int, Entry] = {}
        self.count = 0

    def add(self, at: float, call: Callable[[], None]) -> Entry:
        self.count += 1
        entry = Entry(at, self.count, call)
        self._place(entry)
        return entry

    def _place(self, entry: Entry) -> None:
        tick = max(-int(-entry.at // TICK), self.tick + 1)  # rounded up
        away, top = tick - self.tick, tick ^ self.tick
        if away >= SPAN or top >> BITS * WHEELS:
            slot = self.far
        else:
            level = 0 if top < SLOTS else (top.bit_length() - 1) // BITS
            place = tick >> BITS * level & MASK
            slot = self.wheels[level][place]
            self.filled[level] |= 1 << place
        slot[entry.order] = entry
        entry.slot = slot

    def next_at(self) -> float | None:
        """A time at or before the next timer is due, never after it; None where none is set."""
        for level in range(WHEELS):
            place = self.tick >> BITS * level & MASK
            ahead = self.filled[level] >> place + 1 << place + 1
            while ahead:
                bit = (ahead & -ahead).bit_length() - 1
                if self.wheels[level][bit]:
                    base = self.tick >> BITS * (level + 1) << BITS * (level + 1)
                    return (base + (bit << BITS * level)) * TICK
                self.filled[level] &= ~(1 << bit)  # all in it were called off
                ahead &= ahead - 1
        return ((self.tick // SPAN + 1) * SPAN) * TICK if self.far else None

    def due(self, now: float) -> list[Entry]:
        """Take out what is due, in the order of its times."""
        target, found = int(now / TICK), []
        while self.tick < target:
            following = self.next_at()
            if following is None or round(following / TICK) > target:
                self.tick = target
                break
            self.tick = round(following / TICK)
            if not self.tick & SPAN - 1:
                far, self.far = self.far, {}
                for entry in far.values():
                    self._again(entry, found)
            for level in reversed(range(1, WHEELS)):
                if not self.tick & (1 << BITS * level) - 1:
                    self._spill(level, found)
            place = self.tick & MASK
            slot = self.wheels[0][place]
            self.filled[0] &= ~(1 << place)
            found += slot.values()
            slot.clear()
        for entry in found:
            entry.slot = None
        return sorted(found, key=lambda entry: (entry.at, entry.order))

    def _spill(self, level: int, found: list[Entry]) -> None:
        place = self.tick >> BITS * level & MASK
        slot = self.wheels[level][place]
        if slot:
            self.wheels[level][place] = {}
            self.filled[level] &= ~(1 << place)
            for entry in slot.values():
                self._again(entry, found)

    def _again(self, entry: Entry, found: list[Entry]) -> None:
        if -int(-entry.at // TICK) <= self.tick:
            found.append(entry)
        else:
            self._place(entry)
