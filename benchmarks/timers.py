"""The timing wheel against the heap of the loop, by how many timers stand: `python -m benchmarks.timers`.

Each step a timer is set and the oldest is called off, as with limits of connections; now and then some run.
"""

import heapq
import random

from bramblewood.work.wheel import Wheel

from .common import machine, ratios, row, timed


class Timer:
    __slots__ = ("call",)

    def __init__(self, call):
        self.call = call


def heap_day(steps, standing, waits):
    heap, live, now = [], [], 0.0
    for k in range(steps):
        timer = Timer(print)
        heapq.heappush(heap, (now + waits[k % len(waits)], k, timer))
        live.append(timer)
        if len(live) > standing:
            live[k % standing].call = None
            live[k % standing] = live.pop()
        if k % 50 == 0:
            now += 0.01
            while heap and heap[0][0] <= now:
                heapq.heappop(heap)
            while heap and heap[0][2].call is None:
                heapq.heappop(heap)


def wheel_day(steps, standing, waits):
    wheel, live, now = Wheel(0.0), [], 0.0
    for k in range(steps):
        live.append(wheel.add(now + waits[k % len(waits)], print))
        if len(live) > standing:
            live[k % standing].cancel()
            live[k % standing] = live.pop()
        if k % 50 == 0:
            now += 0.01
            wheel.due(now)
            wheel.next_at()


def main():
    machine()
    dice = random.Random(1)
    waits = [dice.choice([0.15, 0.5, 1.6, 5.0, 10.0]) * (0.8 + 0.4 * dice.random()) for _ in range(997)]
    for standing in (100, 1_000, 10_000, 100_000):
        steps = max(100_000, 3 * standing)
        row(
            f"{standing} timers standing: the wheel's time over the heap's",
            ratios(
                lambda s=standing, n=steps: (
                    timed(lambda: wheel_day(n, s, waits)),
                    timed(lambda: heap_day(n, s, waits)),
                )
            ),
        )


if __name__ == "__main__":
    main()
