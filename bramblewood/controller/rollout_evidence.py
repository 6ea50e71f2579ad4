"""The verdict on the target version of a rollout, from the outcomes that proxies report.

The target version is judged against the old workers in the same seconds, route by route, since faults of the
network, bursts and hot keys strike both. Two properties are tested: failures (server errors), and lateness
(responses that take much longer than the old workers' median, or none until the deadline). Each test compares
"as bad as the old version, with a tolerance" with "worse by a step". For failures it is a CUSUM of the log
odds, and for lateness the log odds of all attempts and of the recent ones. A version that turns bad late is
thus found as fast as one that is bad from the start.

A wrong verdict "good" exposes all requests to a bad version, and a wrong verdict "bad" costs one more try of
the rollout. The tolerances therefore favour "bad".

The module does no I/O and reads no clock.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ..common.rollout_counts import RolloutCounts, RouteCounts, VersionCounts

# The old version's rate counts with this factor, and as at least the minimum.
OLD_RATE_FACTOR = 1.5
MIN_FAILURE_RATE, MIN_LATE_RATE = 0.01, 0.05
# How much higher than that the rate of a bad version is assumed to be. More than that is found faster.
FAILURE_RATE_STEP, LATE_RATE_STEP = 0.08, 0.15
MAX_RATE = 0.9  # of the assumption "as bad as the old version"
# Responses this many buckets above the old version's median are late: 1.5**3, more than three times as long.
LATE_BUCKETS = 3
# Workers may be slow by themselves. This part of the trial's workers, those with the most late responses,
# does not count.
SLOW_WORKER_FRACTION = 1 / 3
BAD_SCORE = math.log(1000)  # of the odds for "worse" at which a version is bad
SUSPICIOUS_SCORE = BAD_SCORE / 3  # above this in one route no version is good
# log odds for lateness in the service's busiest route, above which no version is good; other routes have too
# few attempts for that, or answer so fast that their times show nothing
ON_TIME_SCORE = -BAD_SCORE
MIN_TRIAL_ATTEMPTS = 40  # attempts of the target version, in all routes
MIN_ROUTE_ATTEMPTS = 6  # attempts of the target version, in each route that counts
MIN_ROUTE_FRACTION = 0.03  # of the service's recent attempts that a route needs to count
MIN_REPORTING_FRACTION = 0.5  # of the proxies that have to report
MIN_OLD_ANSWERS = 30  # of a route, for a median of the old version's response times
RECENT_TIME = 2.0  # s; what the old workers did in the last one to two of these spans counts as recent


class Verdict(NamedTuple):
    """What the evidence shows: `is_bad`, `is_good` or neither, and the reason in one line."""

    is_bad: bool
    is_good: bool
    reason: str


def log_odds(events: int, total: int, usual_rate: float, step: float) -> float:
    """Return the logarithm of the odds for a rate raised by `step` against the usual rate."""
    usual = min(usual_rate, MAX_RATE)
    raised = min(usual + step, (1 + MAX_RATE) / 2)
    return events * math.log(raised / usual) + (total - events) * math.log((1 - raised) / (1 - usual))


class Cusum:
    """A one-sided sequential test of whether a rate has risen."""

    def __init__(self) -> None:
        self.score = 0.0

    def add(self, events: int, total: int, usual_rate: float, step: float) -> None:
        """Count `events` in `total` attempts, against the usual rate and the usual rate plus `step`."""
        self.score = max(0.0, self.score + log_odds(events, total, usual_rate, step))


class RecentCounts:
    """The counts of the last `RECENT_TIME` to twice as many seconds."""

    def __init__(self) -> None:
        self.current, self.previous = VersionCounts(), VersionCounts()
        self.current_since = -math.inf

    def add(self, now: float, counts: VersionCounts) -> None:
        """Add counts that were reported now."""
        self._begin_span(now)
        self.current.add(counts)

    def _begin_span(self, now: float) -> None:
        if now >= self.current_since + RECENT_TIME:
            self.previous = self.current if now < self.current_since + 2 * RECENT_TIME else VersionCounts()
            self.current, self.current_since = VersionCounts(), now

    def total(self, now: float) -> VersionCounts:
        """Return the sum of the counts that are recent now."""
        self._begin_span(now)
        counts = VersionCounts()
        counts.add(self.current)
        counts.add(self.previous)
        return counts


class WorkerEvidence:
    """The evidence of one route at one worker of the target version: all of it, and the recent part."""

    def __init__(self) -> None:
        self.sums, self.recent = VersionCounts(), RecentCounts()


class RouteEvidence:
    """The evidence of one route: the sums over all proxies, and the tests.

    The rates of the old workers are the higher one of all seconds and of the recent ones, since a burst or a
    fault that strikes both versions raises both.
    """

    def __init__(self) -> None:
        self.old, self.recent_old = VersionCounts(), RecentCounts()
        self.workers: dict[str, WorkerEvidence] = {}
        self.failures = Cusum()
        # the bucket above which responses are late, None until enough is known of the old workers
        self.late_bucket: int | None = None
        self.usual_late_rate = MIN_LATE_RATE

    @property
    def target(self) -> VersionCounts:
        """The sums of all workers of the target version."""
        sums = VersionCounts()
        for worker in self.workers.values():
            sums.add(worker.sums)
        return sums

    @property
    def late(self) -> int:
        """The attempts of the target version that were late."""
        if self.late_bucket is None:
            return 0
        return sum(worker.sums.slower_than(self.late_bucket) for worker in self.workers.values())

    def late_score(self, now: float) -> float:
        """Return the log odds for lateness of the version: of all attempts or the recent ones, if higher."""
        recent = self._late_score_of([worker.recent.total(now) for worker in self.workers.values()])
        return max(self.total_late_score, recent)

    @property
    def total_late_score(self) -> float:
        """The log odds for lateness of the version, of all attempts."""
        return self._late_score_of([worker.sums for worker in self.workers.values()])

    def _late_score_of(self, counts: Collection[VersionCounts]) -> float:
        """Return the log odds of these counts, one for each worker, without the slowest workers."""
        late_bucket = self.late_bucket
        if late_bucket is None:
            return 0.0
        by_late_rate = sorted(
            (sent.slower_than(late_bucket) / sent.total, sent.slower_than(late_bucket), sent.total)
            for sent in counts
            if sent.total
        )
        counted = by_late_rate[: len(by_late_rate) - int(len(by_late_rate) * SLOW_WORKER_FRACTION)]
        late, total = sum(late for _, late, _ in counted), sum(total for _, _, total in counted)
        return log_odds(late, total, self.usual_late_rate, LATE_RATE_STEP)

    def add(self, now: float, new: RouteCounts) -> None:
        """Add the counts of one report that are new."""
        self.old.add(new.old)
        self.recent_old.add(now, new.old)
        target = {worker: counts for worker, counts in new.target.items() if counts.total}
        if not target:
            return
        references = [self.old, self.recent_old.total(now)]
        self._test_failures(target, references)
        for instance_id, counts in target.items():
            worker = self.workers.setdefault(instance_id, WorkerEvidence())
            worker.sums.add(counts)
            worker.recent.add(now, counts)
        self._update_late_rate([old for old in references if old.answers >= MIN_OLD_ANSWERS])

    def _update_late_rate(self, references: list[VersionCounts]) -> None:
        """Learn from the old workers which responses are late, and how many usually are."""
        if references:
            self.late_bucket = LATE_BUCKETS + max(old.median_bucket() for old in references)
            late_rate = max(old.slower_than(self.late_bucket) / old.total for old in references)
            self.usual_late_rate = max(OLD_RATE_FACTOR * late_rate, MIN_LATE_RATE)

    def _test_failures(self, target: Mapping[str, VersionCounts], references: list[VersionCounts]) -> None:
        failure_rate = max(old.failures / max(old.total, 1) for old in references)
        usual = max(OLD_RATE_FACTOR * failure_rate, MIN_FAILURE_RATE)
        failures = sum(counts.failures for counts in target.values())
        total = sum(counts.total for counts in target.values())
        self.failures.add(failures, total, usual, FAILURE_RATE_STEP)


class RolloutEvidence:
    """The evidence on one rollout, merged from the reports of all proxies."""

    def __init__(self, ordered_at: int) -> None:
        self.ordered_at = ordered_at
        self.routes: dict[str, RouteEvidence] = {}
        self._last_counts: dict[str, RolloutCounts] = {}  # by proxy

    def record(self, now: float, proxy: str, counts: RolloutCounts) -> None:
        """Record a report. What the same process has reported before is not counted again."""
        if counts.ordered_at != self.ordered_at:
            return
        last = self._last_counts.get(proxy)
        known = last.routes if last is not None and last.incarnation == counts.incarnation else {}
        self._last_counts[proxy] = counts
        for label, route_counts in counts.routes.items():
            if route_counts != known.get(label):
                new = _difference(route_counts, known.get(label))
                self.routes.setdefault(label, RouteEvidence()).add(now, new)

    @property
    def target_attempts(self) -> int:
        """The attempts of the target version in all routes."""
        return sum(route.target.total for route in self.routes.values())

    def view(self) -> dict[str, dict[str, int]]:
        """Return the sums by route, as operators' views show them."""
        return {
            label: {
                "target": route.target.total,
                "target_failures": route.target.failures,
                "target_late": route.late,
                "old": route.old.total,
                "old_failures": route.old.failures,
            }
            for label, route in self.routes.items()
        }

    def verdict(self, now: float, proxies: Collection[str], judges_lateness: bool = True) -> Verdict:
        """Return the verdict.

        proxies: the proxies that are connected. judges_lateness: False while the whole load moves to the
        target version, when its workers are late until placement has given each the share that it can serve.
        """
        for label, route in sorted(self.routes.items()):
            if route.failures.score >= BAD_SCORE:
                return Verdict(True, False, f"failures on route {label}: {_describe(route)}")
            if judges_lateness and route.late_score(now) >= BAD_SCORE:
                return Verdict(True, False, f"late responses on route {label}: {_describe(route)}")
        doubt = self._first_doubt(now, proxies)
        late = sum(route.late for route in self.routes.values())
        evidence = f"{self.target_attempts} attempts, {late} late, without a difference"
        return Verdict(False, not doubt, doubt or evidence)

    def _first_doubt(self, now: float, proxies: Collection[str]) -> str:
        """Return why the version can't be called good yet, "" if it can."""
        reporting = sum(proxy in self._last_counts for proxy in proxies)
        if reporting < MIN_REPORTING_FRACTION * len(proxies) or not reporting:
            return f"{reporting} of {len(proxies)} proxies report"
        if self.target_attempts < MIN_TRIAL_ATTEMPTS:
            return f"only {self.target_attempts} attempts"
        recent = {label: route.recent_old.total(now).total for label, route in self.routes.items()}
        for label, route in sorted(self.routes.items()):
            if max(route.failures.score, route.late_score(now)) > SUSPICIOUS_SCORE:
                return f"suspicious on route {label}: {_describe(route)}"
            attempts = route.target.total
            is_used = recent[label] >= max(MIN_ROUTE_FRACTION * sum(recent.values()), 1)
            if is_used and attempts < MIN_ROUTE_ATTEMPTS:
                return f"only {attempts} attempts on route {label}"
        busiest = max(recent, key=recent.__getitem__)
        if self.routes[busiest].total_late_score > ON_TIME_SCORE:
            return f"too little to tell on route {busiest}: {_describe(self.routes[busiest])}"
        return ""


def _difference(counts: RouteCounts, known: RouteCounts | None) -> RouteCounts:
    """Return the counts that are new since `known`."""
    if known is None:
        return counts
    target = {
        worker: _version_difference(sent, known.target.get(worker)) for worker, sent in counts.target.items()
    }
    return RouteCounts(target, _version_difference(counts.old, known.old))


def _version_difference(counts: VersionCounts, known: VersionCounts | None) -> VersionCounts:
    new = VersionCounts()
    new.add(counts)
    if known is not None:
        new.add(known, -1)
    return new


def _describe(route: RouteEvidence) -> str:
    target, old = route.target, route.old
    return (
        f"{target.failures} failed, {route.late} late, {target.unanswered} unanswered"
        f" of {target.total} at {len(route.workers)} workers;"
        f" old {old.failures} failed, {old.unanswered} unanswered of {old.total}"
    )
