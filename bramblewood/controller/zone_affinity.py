"""How many of a zone's requests stay in it, for services whose requests may go to any worker. Pure.

Such a request's slice is a hash of its id, so a desk may as well draw it among the slices whose workers stand
in its own zone; bytes between zones are paid for. What speaks against it is a zone with more requests than
its part of the workers. So each zone's part of requests that stay begins at nothing, grows while its workers
are no busier than the others or half idle, and shrinks at twice the pace while they are.
"""

from collections.abc import Iterable

SHARE_INCREASE, SHARE_DECREASE = (
    0.1,
    0.2,
)  # of all its requests, a cycle: full use in the time that five reports take, twice
EVEN_UTILIZATION_FACTOR = 1.1  # times the mean busyness that a zone's may be
IDLE_UTILIZATION = 0.5  # busyness below which nothing waits, whatever the others have; half of the slots


class ZoneAffinity:
    def __init__(self) -> None:
        self.local_shares: dict[str, float] = {}  # by zone

    def adjust(self, busy: Iterable[tuple[str, float, float]]) -> None:
        """Once a cycle: (zone, slots, busyness averaged over five reports) of each worker in use."""
        slots: dict[str, float] = {}
        taken: dict[str, float] = {}
        for zone, weight, level in busy:
            slots[zone] = slots.get(zone, 0.0) + weight
            taken[zone] = taken.get(zone, 0.0) + weight * level
        mean = sum(taken.values()) / (sum(slots.values()) or 1.0)
        local_shares = {}
        for zone in slots:
            calm = taken[zone] / slots[zone] <= max(EVEN_UTILIZATION_FACTOR * mean, IDLE_UTILIZATION)
            share = self.local_shares.get(zone, 0.0) + (SHARE_INCREASE if calm else -SHARE_DECREASE)
            local_shares[zone] = round(min(max(share, 0.0), 1.0), 2)
        self.local_shares = local_shares
