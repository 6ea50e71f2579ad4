"""Zone affinity decides which fraction of a zone's requests stays in the zone, for services without keys.

A request of such a service is assigned to a slice by a hash of its id, so any worker may serve it. A proxy
may therefore choose among the slices whose workers are in its own zone. This saves paid traffic between
zones, but it overloads a zone whose share of the requests exceeds its share of the workers. Each zone's
fraction therefore starts at 0. It increases while the zone's workers are not much busier than the average or
are at most half busy. Otherwise it decreases, twice as fast.

The module does no I/O and reads no clock.
"""

from collections.abc import Iterable
from typing import NamedTuple

# change of a fraction per cycle; an increase from 0 to 1 takes ten cycles, twice the span of the averages
FRACTION_INCREASE, FRACTION_DECREASE = 0.1, 0.2
MAX_UTILIZATION_RATIO = 1.1  # of a zone's utilization to the mean utilization of all zones
LOW_UTILIZATION = 0.5  # up to this, no request waits for a slot, whatever the other zones' utilization


class WorkerUtilization(NamedTuple):
    """A worker in use: its zone, its slots, and the busy fraction of these, averaged over five reports."""

    zone: str
    slots: float
    utilization: float


class ZoneAffinity:
    """The fraction (0 to 1) of its requests that each zone keeps local, for one service."""

    def __init__(self) -> None:
        self.local_fractions: dict[str, float] = {}  # by zone

    def adjust(self, workers: Iterable[WorkerUtilization]) -> None:
        """Change each zone's fraction by one step; called once per cycle with all workers in use."""
        slots: dict[str, float] = {}
        busy_slots: dict[str, float] = {}
        for zone, worker_slots, utilization in workers:
            slots[zone] = slots.get(zone, 0.0) + worker_slots
            busy_slots[zone] = busy_slots.get(zone, 0.0) + worker_slots * utilization
        mean_utilization = sum(busy_slots.values()) / (sum(slots.values()) or 1.0)
        max_utilization = max(MAX_UTILIZATION_RATIO * mean_utilization, LOW_UTILIZATION)
        local_fractions = {}
        for zone in slots:
            may_increase = busy_slots[zone] / slots[zone] <= max_utilization
            fraction = self.local_fractions.get(zone, 0.0) + (
                FRACTION_INCREASE if may_increase else -FRACTION_DECREASE
            )
            local_fractions[zone] = round(min(max(fraction, 0.0), 1.0), 2)
        self.local_fractions = local_fractions
