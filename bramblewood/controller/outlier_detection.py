"""Which workers are ill, by what desks met on their own requests: agreed, bounded, and damped. Pure.

Health answers are never asked for here: a false one takes nobody out and brings nobody back. A worker is
ill where a quarter of its tries, over five reports and from three in a row, ended with a failure of its own
at two desks at least, and three times as many as at its service's usual worker. What one desk alone meets
is its own way. Silence and broken connections are not looked at here: a full worker resets what it has no
room for, and taking it out loads the others; those are the desks' rests and the manager's doubts.

Who is out stands in the table's value under "h": {life: [times, version]}, so a new scribe and a new desk
know it. It comes back by itself, after a span that doubles with each time; of a service at most a fifth is
out at once.
"""

from collections import Counter, deque

from ..policy.figures import HELD, REPORTS, usual

MIN_FAILURE_RATE = (
    0.25  # of its tries that go wrong; lost and garbled answers stay below a tenth on the days played
)
USUAL_RATE_FACTOR = 3.0  # times the usual worker's part
MIN_ATTEMPTS = 10  # tries over the reports, fewer say nothing
MIN_PROXIES = 2  # that met it
MAX_EJECTED_SHARE = 0.2  # of a service's workers out at once; more is a fault of the view
FIRST_EJECTION = 4.0  # s out at the first time, doubled each time
MAX_DOUBLINGS = 3  # times that it doubles: 32 s
EJECTION_MEMORY = 60.0  # s in use after which its times are forgotten


def ejections_of(value: dict | None) -> dict[str, list]:
    return value.get("h", {}) if value else {}


def ejected_workers(value: dict | None) -> list[str]:
    """The workers that are out."""
    return sorted(instance_id for instance_id, (_, version) in ejections_of(value).items() if version > 0)


class OutlierDetection:
    """One archive's view of one gateway's workers."""

    def __init__(self) -> None:
        self.now: dict[str, dict[str, list[int]]] = {}  # by worker and desk, since the last cycle: tries, bad
        self.past: deque[dict[str, dict[str, list[int]]]] = deque(maxlen=REPORTS)
        self.held: Counter = Counter()
        self.since: dict[tuple[str, int], float] = {}  # by worker and version: when known here

    def record_attempts(self, proxy: str, instance_id: str, tries: int, bad: int) -> None:
        told = self.now.setdefault(instance_id, {}).setdefault(proxy, [0, 0])
        told[0] += tries
        told[1] += bad

    def record_table(self, now: float, value: dict) -> None:
        stands = {(instance_id, version) for instance_id, (_, version) in ejections_of(value).items()}
        self.since = {one: self.since.get(one, now) for one in stands}

    def find_outliers(self, services: dict[str, list[str]]) -> set[str]:
        """Once a cycle: the workers that look ill now; services: those in use, by service."""
        self.past.append(self.now)
        self.now = {}
        ill = set()
        for instance_ids in services.values():
            parts, proxies = {}, {}
            for instance_id in instance_ids:
                told = [proxy for cycle in self.past for proxy in cycle.get(instance_id, {}).items()]
                tries = sum(t for _, (t, _) in told)
                if tries >= MIN_ATTEMPTS:
                    parts[instance_id] = sum(b for _, (_, b) in told) / tries
                    proxies[instance_id] = len({proxy for proxy, (_, b) in told if b})
            common = usual(parts.values())
            for instance_id, part in parts.items():
                if (
                    part >= max(MIN_FAILURE_RATE, USUAL_RATE_FACTOR * common)
                    and proxies[instance_id] >= MIN_PROXIES
                ):
                    ill.add(instance_id)
        self.held = Counter({instance_id: self.held[instance_id] + 1 for instance_id in ill})
        return {instance_id for instance_id in ill if self.held[instance_id] >= HELD}

    def plan_ejections(
        self, now: float, value: dict, ill: set[str], services: dict[str, list[str]]
    ) -> dict[str, list]:
        """What should stand under "h", but for versions: [times, out]."""
        told = {
            instance_id: [times, version > 0] for instance_id, (times, version) in ejections_of(value).items()
        }
        for instance_id, (times, version) in ejections_of(value).items():
            age = now - self.since.get((instance_id, version), now)
            if version > 0 and age >= FIRST_EJECTION * 2 ** min(times - 1, MAX_DOUBLINGS):
                told[instance_id] = [times, False]
            elif version < 0 and age >= EJECTION_MEMORY:
                del told[instance_id]
        for instance_ids in services.values():
            room = int(MAX_EJECTED_SHARE * len(instance_ids)) - sum(
                told.get(instance_id, [0, False])[1] for instance_id in instance_ids
            )
            for instance_id in sorted(ill.intersection(instance_ids)):
                times, out = told.get(instance_id, [0, False])
                if not out and room > 0:
                    told[instance_id], room = [times + 1, True], room - 1
        known = {instance_id for instance_ids in services.values() for instance_id in instance_ids}
        return {instance_id: one for instance_id, one in told.items() if instance_id in known}


def with_ejections(
    value: dict | None, told: dict[str, list], seen: dict[str, list]
) -> tuple[dict | None, bool]:
    """The table with these judgements; what changes gets the new version, less it where a worker is back.

    seen: what stood when it was judged. Where another archive has judged since, this changes nothing.
    """
    had, number = ejections_of(value), (value["n"] if value else 0) + 1
    if had != seen:
        return None, True
    made = {}
    for instance_id, (times, out) in told.items():
        same = instance_id in had and had[instance_id][0] == times and (had[instance_id][1] > 0) == out
        made[instance_id] = had[instance_id] if same else [times, number if out else -number]
    if value is None or made == had:
        return None, True
    return {**value, "n": number, "h": made}, True
