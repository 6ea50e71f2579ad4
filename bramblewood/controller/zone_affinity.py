"""Zone affinity: what fraction of a zone's requests stays in the zone, for services without keys. Pure.

A request of such a service may go to any worker: its slice is a hash of its id, so a proxy may as well choose
among the slices whose workers stand in its own zone. That saves traffic between zones, which is paid for, but
overloads a zone with more requests than its part of the workers. So each zone's fraction starts at 0, grows
while its workers are no busier than the others or half idle, and shrinks at twice the pace otherwise.
"""

from collections.abc import Iterable
from typing import NamedTuple

# a cycle, of all the zone's requests: from 0 to all of them in twice the time that five reports take
FRACTION_INCREASE, FRACTION_DECREASE = 0.1, 0.2
EVEN_UTILIZATION_FACTOR = 1.1  # times the mean of all zones that a zone's utilization may be
IDLE_UTILIZATION = 0.5  # below it nothing waits, whatever the others have


class WorkerUtilization(NamedTuple):
    """A worker in use: the part of its slots that was taken, averaged over five reports."""

    zone: str
    slots: float
    utilization: float


class ZoneAffinity:
    """The local fractions of one service's zones, 0 to 1."""

    def __init__(self) -> None:
        self.local_fractions: dict[str, float] = {}  # by zone

    def adjust(self, workers: Iterable[WorkerUtilization]) -> None:
        """Move each zone's fraction one step; called once a cycle with all workers in use."""
        slots: dict[str, float] = {}
        busy_slots: dict[str, float] = {}
        for zone, worker_slots, utilization in workers:
            slots[zone] = slots.get(zone, 0.0) + worker_slots
            busy_slots[zone] = busy_slots.get(zone, 0.0) + worker_slots * utilization
        mean_utilization = sum(busy_slots.values()) / (sum(slots.values()) or 1.0)
        highest_utilization = max(EVEN_UTILIZATION_FACTOR * mean_utilization, IDLE_UTILIZATION)
        local_fractions = {}
        for zone in slots:
            may_grow = busy_slots[zone] / slots[zone] <= highest_utilization
            fraction = self.local_fractions.get(zone, 0.0) + (
                FRACTION_INCREASE if may_grow else -FRACTION_DECREASE
            )
            local_fractions[zone] = round(min(max(fraction, 0.0), 1.0), 2)
        self.local_fractions = local_fractions
