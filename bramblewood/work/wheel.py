"""A hierarchical timing wheel. The cost to add, cancel or expire a timer does not depend on how many are set.

There are four levels of 64 slots. A slot of one level covers as many ticks as the whole level below it. An
integer for each level is a bitmap of the slots that may hold timers, which finds the next such slot quickly.
All times are in s.
"""

from collections.abc import Callable

TICK = 0.001  # s; due times are rounded up to whole ticks, so a timer never expires early
LEVEL_BITS = 6  # bits of the tick number that select a slot of one level
SLOTS_PER_LEVEL = 1 << LEVEL_BITS
SLOT_MASK = SLOTS_PER_LEVEL - 1
LEVEL_COUNT = 4  # four levels cover 64 ** 4 ticks, about 4.7 hours; later timers wait in `overflow`
WHEEL_TICKS = 1 << LEVEL_BITS * LEVEL_COUNT


class Timer:
    """A callback and its due time.

    `sequence` numbers the timers in order of addition and is the timer's key in its slot. `slot` is the dict
    that holds the timer, or None after the timer expires or is cancelled.
    """

    __slots__ = ("due_at", "sequence", "callback", "slot")

    def __init__(self, due_at: float, sequence: int, callback: Callable[[], None]) -> None:
        self.due_at, self.sequence, self.callback = due_at, sequence, callback
        self.slot: dict | None = None

    def cancel(self) -> None:
        """Removes the timer from the wheel and drops its callback."""
        self.callback = None
        if self.slot is not None:
            self.slot.pop(self.sequence, None)
            self.slot = None


class Wheel:
    """The timers that are set, and the tick up to which they have expired."""

    def __init__(self, now: float) -> None:
        self.tick = int(now / TICK)
        self.levels: list[list[dict]] = [[{} for _ in range(SLOTS_PER_LEVEL)] for _ in range(LEVEL_COUNT)]
        self.occupied = [0] * LEVEL_COUNT  # bitmaps of the slots that may hold timers
        self.overflow: dict[int, Timer] = {}
        self.last_sequence = 0

    def add(self, due_at: float, callback: Callable[[], None]) -> Timer:
        """Sets a timer. `due` returns it when it expires, and the caller of `due` then runs the callback."""
        self.last_sequence += 1
        timer = Timer(due_at, self.last_sequence, callback)
        self._insert(timer)
        return timer

    def _insert(self, timer: Timer) -> None:
        tick = max(-int(-timer.due_at // TICK), self.tick + 1)  # rounded up, and later than the current tick
        ticks_ahead, differing_bits = tick - self.tick, tick ^ self.tick
        if ticks_ahead >= WHEEL_TICKS or differing_bits >> LEVEL_BITS * LEVEL_COUNT:
            slot = self.overflow
        else:
            level = 0 if differing_bits < SLOTS_PER_LEVEL else (differing_bits.bit_length() - 1) // LEVEL_BITS
            index = tick >> LEVEL_BITS * level & SLOT_MASK
            slot = self.levels[level][index]
            self.occupied[level] |= 1 << index
        slot[timer.sequence] = timer
        timer.slot = slot

    def next_at(self) -> float | None:
        """Returns a time at which to call `due`, or None if no timer is set.

        No timer expires before that time. It may be earlier than the next expiry.
        """
        for level in range(LEVEL_COUNT):
            index = self.tick >> LEVEL_BITS * level & SLOT_MASK
            # The bits of the slots after the current one. Addition binds tighter than the shifts.
            occupied_ahead = self.occupied[level] >> index + 1 << index + 1
            while occupied_ahead:
                slot_index = (occupied_ahead & -occupied_ahead).bit_length() - 1
                if self.levels[level][slot_index]:
                    base_tick = self.tick >> LEVEL_BITS * (level + 1) << LEVEL_BITS * (level + 1)
                    return (base_tick + (slot_index << LEVEL_BITS * level)) * TICK
                self.occupied[level] &= ~(1 << slot_index)  # all timers in the slot were cancelled
                occupied_ahead &= occupied_ahead - 1
        return ((self.tick // WHEEL_TICKS + 1) * WHEEL_TICKS) * TICK if self.overflow else None

    def due(self, now: float) -> list[Timer]:
        """Removes and returns the timers that are due, in order of due time and then of addition."""
        target_tick, expired = int(now / TICK), []
        while self.tick < target_tick:
            next_time = self.next_at()
            if next_time is None or round(next_time / TICK) > target_tick:
                self.tick = target_tick
                break
            self.tick = round(next_time / TICK)
            if not self.tick & WHEEL_TICKS - 1:  # the wheel starts a new revolution
                overflow, self.overflow = self.overflow, {}
                for timer in overflow.values():
                    self._expire_or_insert(timer, expired)
            for level in reversed(range(1, LEVEL_COUNT)):
                if not self.tick & (1 << LEVEL_BITS * level) - 1:  # the level enters its next slot
                    self._cascade(level, expired)
            index = self.tick & SLOT_MASK
            slot = self.levels[0][index]
            self.occupied[0] &= ~(1 << index)
            expired += slot.values()
            slot.clear()
        for timer in expired:
            timer.slot = None
        return sorted(expired, key=lambda timer: (timer.due_at, timer.sequence))

    def _cascade(self, level: int, expired: list[Timer]) -> None:
        """Moves the timers of a level's current slot to lower levels, or to `expired` if they are due."""
        index = self.tick >> LEVEL_BITS * level & SLOT_MASK
        slot = self.levels[level][index]
        if slot:
            self.levels[level][index] = {}
            self.occupied[level] &= ~(1 << index)
            for timer in slot.values():
                self._expire_or_insert(timer, expired)

    def _expire_or_insert(self, timer: Timer, expired: list[Timer]) -> None:
        if -int(-timer.due_at // TICK) <= self.tick:  # the due time, rounded up to a whole tick
            expired.append(timer)
        else:
            self._insert(timer)
