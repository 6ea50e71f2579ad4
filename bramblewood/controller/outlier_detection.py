"""Outlier detection: which workers are unhealthy, by what proxies observed on their own requests. Pure.

What a worker says of its own health is never asked for here: a false answer ejects nobody and brings nobody
back. A worker is unhealthy where a quarter of its attempts, over five reports and in three turns in a row,
ended with a failure of its own, at two proxies at least, and three times as many as at its service's usual
worker. What one proxy alone observes is its own connection. Time-outs and broken connections don't count: a
full worker resets what it has no slot for, and ejecting it loads the others; those are left to the proxies'
backoff and to the policy.

Ejections are agreed. They stand in the table's value under `EJECTIONS_KEY`, {instance id: [count, version]},
so that a new coordinator and a new proxy know them. An ejected worker comes back by itself, after a time that
doubles with each ejection; of a service at most a fifth is ejected at once.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..policy.parameters import REPORTS_AVERAGED, REPORTS_HELD
from ..policy_mechanisms.averages import median
from .table_changes import ProposedTable, TableValue

EJECTIONS_KEY = "h"  # in the table's value
# of a worker's attempts that fail; lost and garbled answers stay below a tenth on the days played
MIN_FAILURE_RATE = 0.25
USUAL_RATE_FACTOR = 3.0  # times the failure rate of the service's usual worker
MIN_ATTEMPTS = 10  # over the reports; fewer say nothing
MIN_PROXIES = 2  # that observed failures
MAX_EJECTED_FRACTION = 0.2  # of a service's workers at once; more is a fault of the view
FIRST_EJECTION = 4.0  # s, doubled with each further ejection
MAX_DOUBLINGS = 3  # so 32 s at the most
EJECTION_MEMORY = 60.0  # s in use after which a worker's ejections are forgotten


class Ejection(NamedTuple):
    """A worker's ejections as stored: how many there were, and the version of the table that made the last
    one, or less the version that ended it.
    """

    ejection_count: int
    version: int

    @property
    def is_ejected(self) -> bool:
        """Whether the worker is ejected now, not back."""
        return self.version > 0


class WantedEjection(NamedTuple):
    """What should stand for a worker: how many ejections there were, and whether it is ejected now."""

    ejection_count: int
    is_ejected: bool


@dataclass
class AttemptCounts:
    """Attempts at a worker, and how many of them ended with a failure of its own."""

    attempts: int = 0
    failures: int = 0


CycleCounts = dict[str, dict[str, AttemptCounts]]  # by worker and proxy


def ejections_of(value: TableValue | None) -> dict[str, Ejection]:
    """The agreed ejections by instance id, of workers that are back too."""
    stored = value.get(EJECTIONS_KEY, {}) if value else {}
    return {instance_id: Ejection(*ejection) for instance_id, ejection in stored.items()}


def ejected_workers(value: TableValue | None) -> list[str]:
    """The workers that are ejected, sorted."""
    return sorted(instance_id for instance_id, ejection in ejections_of(value).items() if ejection.is_ejected)


class OutlierDetection:
    """One controller's observations of all workers, and the ejections that follow from them."""

    def __init__(self) -> None:
        self._current_cycle: CycleCounts = {}
        self._past_cycles: deque[CycleCounts] = deque(maxlen=REPORTS_AVERAGED)
        self._unhealthy_cycles: Counter[str] = Counter()  # in a row, by worker
        self._known_since: dict[tuple[str, Ejection], float] = {}  # by worker: when known to this controller

    def record_attempts(self, proxy: str, instance_id: str, attempts: int, failures: int) -> None:
        """Take in what a proxy reports of a worker."""
        by_proxy = self._current_cycle.setdefault(instance_id, {})
        counts = by_proxy.get(proxy)
        if counts is None:
            counts = by_proxy[proxy] = AttemptCounts()
        counts.attempts += attempts
        counts.failures += failures

    def record_table(self, now: float, value: TableValue) -> None:
        """Called with each newer table: the times of ejections begin as they become known."""
        standing = ejections_of(value).items()
        self._known_since = {one: self._known_since.get(one, now) for one in standing}

    def find_outliers(self, services: Mapping[str, list[str]]) -> set[str]:
        """End a cycle: the workers that have been unhealthy for `REPORTS_HELD` cycles.

        Args:
            services: the workers in use, by service.
        """
        self._past_cycles.append(self._current_cycle)
        self._current_cycle = {}
        unhealthy = set()
        for instance_ids in services.values():
            unhealthy |= self._unhealthy_workers(instance_ids)
        self._unhealthy_cycles = Counter(
            {instance_id: self._unhealthy_cycles[instance_id] + 1 for instance_id in unhealthy}
        )
        return {
            instance_id for instance_id in unhealthy if self._unhealthy_cycles[instance_id] >= REPORTS_HELD
        }

    def _unhealthy_workers(self, instance_ids: Iterable[str]) -> set[str]:
        """The workers of one service that look unhealthy over the last cycles."""
        failure_rates: dict[str, float] = {}
        failing_proxies: dict[str, int] = {}
        for instance_id in instance_ids:
            counts = [one for cycle in self._past_cycles for one in cycle.get(instance_id, {}).items()]
            attempts = sum(one.attempts for _, one in counts)
            if attempts >= MIN_ATTEMPTS:
                failure_rates[instance_id] = sum(one.failures for _, one in counts) / attempts
                failing_proxies[instance_id] = len({proxy for proxy, one in counts if one.failures})
        threshold = max(MIN_FAILURE_RATE, USUAL_RATE_FACTOR * median(failure_rates.values()))
        return {
            instance_id
            for instance_id, rate in failure_rates.items()
            if rate >= threshold and failing_proxies[instance_id] >= MIN_PROXIES
        }

    def plan_ejections(
        self,
        now: float,
        value: TableValue,
        outliers: set[str],
        services: Mapping[str, list[str]],
    ) -> dict[str, WantedEjection]:
        """The ejections that should stand now, by worker.

        Args:
            outliers: from `find_outliers`.
            services: the workers in use, by service; ejections of others are dropped.
        """
        wanted = self._remaining_ejections(now, value)
        for instance_ids in services.values():
            ejected_count = sum(
                wanted[instance_id].is_ejected for instance_id in instance_ids if instance_id in wanted
            )
            allowed = int(MAX_EJECTED_FRACTION * len(instance_ids)) - ejected_count
            for instance_id in sorted(outliers.intersection(instance_ids)):
                count, is_ejected = wanted.get(instance_id, WantedEjection(0, False))
                if not is_ejected and allowed > 0:
                    wanted[instance_id] = WantedEjection(count + 1, True)
                    allowed -= 1
        in_use = {instance_id for instance_ids in services.values() for instance_id in instance_ids}
        return {instance_id: one for instance_id, one in wanted.items() if instance_id in in_use}

    def _remaining_ejections(self, now: float, value: TableValue) -> dict[str, WantedEjection]:
        """What is left of the agreed ejections: those whose time is over end, old ones are forgotten."""
        remaining = {}
        for instance_id, ejection in ejections_of(value).items():
            age = now - self._known_since.get((instance_id, ejection), now)
            if ejection.is_ejected:
                duration = FIRST_EJECTION * 2 ** min(ejection.ejection_count - 1, MAX_DOUBLINGS)
                remaining[instance_id] = WantedEjection(ejection.ejection_count, age < duration)
            elif age < EJECTION_MEMORY:
                remaining[instance_id] = WantedEjection(ejection.ejection_count, False)
        return remaining


def with_ejections(
    value: TableValue | None,
    wanted: Mapping[str, WantedEjection],
    seen: Mapping[str, Ejection],
) -> ProposedTable:
    """The table with these ejections; None where nothing changes. What changes gets the new version.

    Args:
        seen: the ejections that stood as these were planned. Where another controller has changed them
            since, nothing changes.
    """
    standing, version = ejections_of(value), (value["n"] if value else 0) + 1
    if standing != seen:
        return None, True
    new = {}
    for instance_id, (count, is_ejected) in wanted.items():
        ejection = standing.get(instance_id)
        if ejection is None or (ejection.ejection_count, ejection.is_ejected) != (count, is_ejected):
            ejection = Ejection(count, version if is_ejected else -version)
        new[instance_id] = ejection
    if value is None or new == standing:
        return None, True
    stored = {instance_id: [*ejection] for instance_id, ejection in new.items()}
    return {**value, "n": version, EJECTIONS_KEY: stored}, True
