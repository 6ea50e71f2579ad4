"""Outlier detection finds unhealthy workers by what proxies observe on their own requests.

A worker's reports of its own health are not used, so a false report neither ejects a worker nor ends an
ejection. A worker is unhealthy in a cycle if all of the following hold over the last five cycles:

- At least a quarter of its attempts ended with a failure of the worker itself.
- At least two proxies observed such failures. What a single proxy observes may be a fault of its connection.
- Its failure rate is at least three times the median rate of its service's workers.

A worker that is unhealthy in three cycles in a row is an outlier. Time-outs and broken connections do not
count as failures: a full worker resets connections that it has no slot for, and its ejection would overload
the other workers. The proxies' backoff and the policy handle these cases.

Controllers agree on ejections. The table's value holds them under `EJECTIONS_KEY` as
{instance id: [count, version]}, so that a new coordinator and a new proxy receive them. The duration of an
ejection doubles with each further ejection of the worker. At most a fifth of a service's workers are ejected
at once.

The module does no I/O and reads no clock.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..policy.parameters import REPORTS_AVERAGED, REPORTS_NEEDED
from ..policy_mechanisms.averages import median
from .table_changes import ProposedTable, TableValue

EJECTIONS_KEY = "h"  # key of the ejections in the table's value
# failed fraction of a worker's attempts; lost and corrupted answers alone stay below a tenth in simulations
MIN_FAILURE_RATE = 0.25
MEDIAN_RATE_FACTOR = 3.0  # multiple of the median failure rate of the service's workers
MIN_ATTEMPTS = 10  # over the averaged cycles; a rate of fewer attempts is not significant
MIN_OBSERVING_PROXIES = 2  # proxies that observed failures
MAX_EJECTED_FRACTION = 0.2  # of a service's workers; more failures at once point to a fault of the observers
FIRST_EJECTION_DURATION = 4.0  # s, doubled with each further ejection
MAX_DOUBLINGS = 3  # limits the duration to 32 s
EJECTION_RETENTION = 60.0  # s after an ejection's end; the worker's ejections are then counted from 0 again


class EjectionRecord(NamedTuple):
    """The stored record of a worker's ejections.

    `ejection_count` is the number of ejections so far. `version` is the version of the table that started the
    last ejection. After its end, it is the negated version of the table that ended it.
    """

    ejection_count: int
    version: int

    @property
    def is_ejected(self) -> bool:
        """Whether the last ejection has not ended."""
        return self.version > 0


class PlannedEjection(NamedTuple):
    """The planned state of a worker: the number of its ejections, and whether it is ejected."""

    ejection_count: int
    is_ejected: bool


@dataclass
class AttemptCounts:
    """The attempts at a worker, and those of them that ended with a failure of the worker itself."""

    attempts: int = 0
    failures: int = 0


CycleCounts = dict[str, dict[str, AttemptCounts]]  # by worker and proxy


def ejections_of(table: TableValue | None) -> dict[str, EjectionRecord]:
    """Return the agreed ejections by instance id, including those that have ended."""
    stored = table.get(EJECTIONS_KEY, {}) if table else {}
    return {instance_id: EjectionRecord(*fields) for instance_id, fields in stored.items()}


def ejected_workers(table: TableValue | None) -> list[str]:
    """Return the instance ids of the workers that are ejected, sorted."""
    return sorted(instance_id for instance_id, ejection in ejections_of(table).items() if ejection.is_ejected)


class OutlierDetection:
    """One controller's observations of all workers, and the ejections that it plans from them."""

    def __init__(self) -> None:
        self._current_cycle: CycleCounts = {}
        self._past_cycles: deque[CycleCounts] = deque(maxlen=REPORTS_AVERAGED)
        self._unhealthy_cycles: Counter[str] = Counter()  # in a row, by worker
        # by worker and record: when this controller first received the record
        self._first_seen_at: dict[tuple[str, EjectionRecord], float] = {}

    def record_attempts(self, proxy: str, instance_id: str, attempts: int, failures: int) -> None:
        """Record the attempts at a worker that a proxy reports."""
        counts_by_proxy = self._current_cycle.setdefault(instance_id, {})
        counts = counts_by_proxy.get(proxy)
        if counts is None:
            counts = counts_by_proxy[proxy] = AttemptCounts()
        counts.attempts += attempts
        counts.failures += failures

    def record_table(self, now: float, table: TableValue) -> None:
        """Record when this controller first received each ejection; called with each newer table."""
        agreed = ejections_of(table).items()
        self._first_seen_at = {ejection: self._first_seen_at.get(ejection, now) for ejection in agreed}

    def find_outliers(self, services: Mapping[str, list[str]]) -> set[str]:
        """End a cycle, and return the workers that have been unhealthy for `REPORTS_NEEDED` cycles in a row.

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
            instance_id for instance_id in unhealthy if self._unhealthy_cycles[instance_id] >= REPORTS_NEEDED
        }

    def _unhealthy_workers(self, instance_ids: Iterable[str]) -> set[str]:
        """Return those of one service's workers that are unhealthy over the past cycles."""
        failure_rates: dict[str, float] = {}
        observing_proxies: dict[str, int] = {}  # by worker: how many proxies observed failures
        for instance_id in instance_ids:
            observations = [
                item for cycle in self._past_cycles for item in cycle.get(instance_id, {}).items()
            ]
            attempts = sum(counts.attempts for _, counts in observations)
            if attempts >= MIN_ATTEMPTS:
                failure_rates[instance_id] = sum(counts.failures for _, counts in observations) / attempts
                observing_proxies[instance_id] = len(
                    {proxy for proxy, counts in observations if counts.failures}
                )
        threshold = max(MIN_FAILURE_RATE, MEDIAN_RATE_FACTOR * median(failure_rates.values()))
        return {
            instance_id
            for instance_id, rate in failure_rates.items()
            if rate >= threshold and observing_proxies[instance_id] >= MIN_OBSERVING_PROXIES
        }

    def plan_ejections(
        self,
        now: float,
        table: TableValue,
        outliers: set[str],
        services: Mapping[str, list[str]],
    ) -> dict[str, PlannedEjection]:
        """Return the ejections that the table should contain now, by worker.

        Args:
            outliers: the workers that `find_outliers` has returned.
            services: the workers in use, by service. The ejections of other workers are dropped.
        """
        planned = self._remaining_ejections(now, table)
        for instance_ids in services.values():
            ejected_count = sum(
                planned[instance_id].is_ejected for instance_id in instance_ids if instance_id in planned
            )
            allowed = int(MAX_EJECTED_FRACTION * len(instance_ids)) - ejected_count
            for instance_id in sorted(outliers.intersection(instance_ids)):
                count, is_ejected = planned.get(instance_id, PlannedEjection(0, False))
                if not is_ejected and allowed > 0:
                    planned[instance_id] = PlannedEjection(count + 1, True)
                    allowed -= 1
        in_use = {instance_id for instance_ids in services.values() for instance_id in instance_ids}
        return {instance_id: ejection for instance_id, ejection in planned.items() if instance_id in in_use}

    def _remaining_ejections(self, now: float, table: TableValue) -> dict[str, PlannedEjection]:
        """Return the agreed ejections as they should be at the time `now`, by worker.

        An ejection ends after its duration. A worker's record is dropped `EJECTION_RETENTION` s after that.
        Both times count from the moment at which this controller first received the record.
        """
        remaining = {}
        for instance_id, ejection in ejections_of(table).items():
            age = now - self._first_seen_at.get((instance_id, ejection), now)
            if ejection.is_ejected:
                duration = FIRST_EJECTION_DURATION * 2 ** min(ejection.ejection_count - 1, MAX_DOUBLINGS)
                remaining[instance_id] = PlannedEjection(ejection.ejection_count, age < duration)
            elif age < EJECTION_RETENTION:
                remaining[instance_id] = PlannedEjection(ejection.ejection_count, False)
        return remaining


def with_ejections(
    table: TableValue | None,
    planned: Mapping[str, PlannedEjection],
    expected: Mapping[str, EjectionRecord],
) -> ProposedTable:
    """Return the table with the planned ejections, or None as the table if nothing changes.

    Records that change get the version of the new table.

    Args:
        expected: the agreed ejections from which `planned` was made. If the table contains others by now,
            another controller has changed them, and nothing changes.
    """
    agreed, version = ejections_of(table), (table["n"] if table else 0) + 1
    if agreed != expected:
        return None, True
    updated = {}
    for instance_id, (count, is_ejected) in planned.items():
        ejection = agreed.get(instance_id)
        if ejection is None or (ejection.ejection_count, ejection.is_ejected) != (count, is_ejected):
            ejection = EjectionRecord(count, version if is_ejected else -version)
        updated[instance_id] = ejection
    if table is None or updated == agreed:
        return None, True
    stored = {instance_id: [*ejection] for instance_id, ejection in updated.items()}
    return {**table, "n": version, EJECTIONS_KEY: stored}, True
