"""The outcomes of attempts at the workers of each version, as proxies report them during a rollout.

The counts are cumulative over the life of a proxy process, so that a report that is lost or received twice
changes nothing. This module does no I/O and reads no clock.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Any, NamedTuple

# Upper bounds (s) of the buckets of response times, each 1.5 times the one before. The last bucket has none.
FIRST_BUCKET_BOUND, BUCKET_FACTOR, BOUNDED_BUCKETS = 0.02, 1.5, 16
BUCKET_BOUNDS = [FIRST_BUCKET_BOUND * BUCKET_FACTOR**i for i in range(BOUNDED_BUCKETS)]
BUCKETS = BOUNDED_BUCKETS + 1
COUNTS_BEFORE_BUCKETS = 2  # in a row of `VersionCounts`


@dataclass
class VersionCounts:
    """The attempts of one route at the workers of one version.

    `failures` counts responses with a server error of the worker. `unanswered` counts attempts that got no
    response until the request's deadline. `response_times` counts the other responses by bucket.
    """

    failures: int = 0
    unanswered: int = 0
    response_times: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    @property
    def answers(self) -> int:
        """The number of responses without a server error."""
        return sum(self.response_times)

    @property
    def total(self) -> int:
        """The number of attempts that count."""
        return self.failures + self.unanswered + self.answers

    def record_answer(self, response_time: float) -> None:
        """Count a response without a server error. response_time: s."""
        self.response_times[bisect_left(BUCKET_BOUNDS, response_time)] += 1

    def add(self, other: "VersionCounts", sign: int = 1) -> None:
        """Add the counts of another object, or subtract them with the sign -1."""
        self.failures += sign * other.failures
        self.unanswered += sign * other.unanswered
        for bucket, count in enumerate(other.response_times):
            self.response_times[bucket] += sign * count

    def slower_than(self, bucket: int) -> int:
        """Return the number of attempts that took longer than a bucket's bound, or were never answered."""
        return sum(self.response_times[bucket + 1 :]) + self.unanswered

    def median_bucket(self) -> int:
        """Return the bucket that contains the median of the response times; 0 if there are none."""
        remaining = self.answers / 2
        for bucket, count in enumerate(self.response_times):
            remaining -= count
            if count and remaining <= 0:
                return bucket
        return 0

    def to_row(self) -> list[int]:
        """Return the counts as a list, in the form that is sent."""
        return [self.failures, self.unanswered, *self.response_times]

    @classmethod
    def from_row(cls, row: list[int]) -> "VersionCounts":
        """Return the counts in a list that `to_row` produced."""
        failures, unanswered, *response_times = row
        return cls(failures, unanswered, response_times)


class RouteCounts(NamedTuple):
    """The counts of one route: by worker of the target version, and for all other versions together."""

    target: dict[str, VersionCounts]
    old: VersionCounts

    @classmethod
    def empty(cls) -> "RouteCounts":
        """Return counts of a route without attempts."""
        return cls({}, VersionCounts())


class RolloutCounts(NamedTuple):
    """All counts of one proxy process for one rollout.

    `ordered_at` identifies the rollout, and `incarnation` the process. `routes` is by the route's label.
    """

    ordered_at: int
    incarnation: int
    routes: dict[str, RouteCounts]

    def to_row(self) -> list[Any]:
        """Return the counts in the form that is sent."""
        routes = {
            label: [{worker: sent.to_row() for worker, sent in counts.target.items()}, counts.old.to_row()]
            for label, counts in self.routes.items()
        }
        return [self.ordered_at, self.incarnation, routes]

    @classmethod
    def from_row(cls, row: list[Any]) -> "RolloutCounts":
        """Return the counts in a row that `to_row` produced."""
        ordered_at, incarnation, routes = row
        return cls(
            ordered_at,
            incarnation,
            {
                label: RouteCounts(
                    {worker: VersionCounts.from_row(counts) for worker, counts in target.items()},
                    VersionCounts.from_row(old),
                )
                for label, (target, old) in routes.items()
            },
        )


def _is_version_counts(value: Any) -> bool:
    return (
        isinstance(value, (list, tuple))
        and len(value) == COUNTS_BEFORE_BUCKETS + BUCKETS
        and all(type(count) is int and count >= 0 for count in value)
    )


def is_rollout_counts(value: Any) -> bool:
    """Return whether a value is a row of `RolloutCounts`."""
    if not isinstance(value, (list, tuple)) or len(value) != len(RolloutCounts._fields):
        return False
    ordered_at, incarnation, routes = value
    return (
        type(ordered_at) is type(incarnation) is int
        and isinstance(routes, dict)
        and all(
            isinstance(rows, (list, tuple))
            and len(rows) == len(RouteCounts._fields)
            and isinstance(rows[0], dict)
            and all(map(_is_version_counts, [*rows[0].values(), rows[1]]))
            for rows in routes.values()
        )
    )
