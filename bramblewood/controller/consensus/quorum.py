"""Which sets of voters keep a majority after whatever `Tolerance` says may be lost. Pure."""

from collections import Counter
from collections.abc import Iterable
from itertools import chain, zip_longest
from typing import NamedTuple

from ...common.settings import Tolerance


class FailureDomain(NamedTuple):
    """Where a controller stands, and whether its loss is one of those that `Tolerance` bounds."""

    zone: str
    region: str
    counts_for_tolerance: bool


def remaining_after_worst_loss(
    voters: Iterable[str], domains: dict[str, FailureDomain], tolerance: Tolerance
) -> int:
    """How many of these voters are left after the worst loss that is to be tolerated."""
    voters = list(voters)
    worst_loss = 0
    for lost_group_count, voter_groups in (
        (tolerance.machines, voters),
        (tolerance.zones, [domains[name].zone for name in voters]),
        (tolerance.regions, [domains[name].region for name in voters]),
    ):
        largest_groups = Counter(voter_groups).most_common(lost_group_count)
        worst_loss = max(worst_loss, sum(size for _, size in largest_groups))
    return len(voters) - worst_loss


def keeps_majority(voters: Iterable[str], domains: dict[str, FailureDomain], tolerance: Tolerance) -> bool:
    """Whether more than half of these voters are left after every loss that is to be tolerated."""
    voters = list(voters)
    return 2 * remaining_after_worst_loss(voters, domains, tolerance) > len(voters)


def voters_needed(tolerance: Tolerance) -> int:
    """The number of voters of whom a majority is left after these losses."""
    return 2 * tolerance.losses + 1


def select_first_voters(
    domains: dict[str, FailureDomain], seeds: Iterable[str], tolerance: Tolerance, late: bool
) -> tuple[str, ...] | None:
    """The first voters by name, or None where it is better to wait for more to show themselves.

    domains: of all controllers that have shown themselves. late: wait no longer, and take what is there.
    Seeds come first. Machines that don't count for `Tolerance` may go in any number, so they vote only where
    none counts.
    """
    seeds = set(seeds)
    if not late and not seeds <= domains.keys():
        return None
    candidates = candidates_in_order(domains, seeds, tolerance)
    needed = voters_needed(tolerance)
    for count in range(min(needed, len(candidates)), 0, -1):
        if keeps_majority(candidates[:count], domains, tolerance):
            return tuple(sorted(candidates[:count]))
    return tuple(sorted(candidates[:needed])) if late else None


def candidates_in_order(
    domains: dict[str, FailureDomain], seeds: set[str], tolerance: Tolerance
) -> list[str]:
    """Those that may vote, one of each zone or region in turn where these may be lost as a whole."""
    eligible = {name: domain for name, domain in domains.items() if domain.counts_for_tolerance} or domains
    groups: dict[str, list[str]] = {}
    for name in sorted(eligible, key=lambda name: (name not in seeds, name)):
        domain = eligible[name]
        group = domain.region if tolerance.regions else domain.zone if tolerance.zones else name
        groups.setdefault(group, []).append(name)
    return [name for name in chain(*zip_longest(*groups.values())) if name is not None]
