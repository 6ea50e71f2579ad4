"""Selects voters so that a majority is left after every loss that `Tolerance` allows for."""

from collections import Counter
from collections.abc import Iterable
from itertools import chain, zip_longest
from typing import NamedTuple

from ...common.settings import Tolerance


class FailureDomain(NamedTuple):
    """The zone and region of a controller, and whether `Tolerance` limits how many like it may be lost."""

    zone: str
    region: str
    counts_for_tolerance: bool


def remaining_after_worst_loss(
    voters: Iterable[str], domains: dict[str, FailureDomain], tolerance: Tolerance
) -> int:
    """Returns how many of these voters are left after the worst loss that `tolerance` allows for."""
    voters = list(voters)
    worst_loss = 0
    for lost_group_count, voter_groups in (
        (tolerance.machines, voters),
        (tolerance.zones, [domains[address].zone for address in voters]),
        (tolerance.regions, [domains[address].region for address in voters]),
    ):
        largest_groups = Counter(voter_groups).most_common(lost_group_count)
        worst_loss = max(worst_loss, sum(size for _, size in largest_groups))
    return len(voters) - worst_loss


def keeps_majority(voters: Iterable[str], domains: dict[str, FailureDomain], tolerance: Tolerance) -> bool:
    """Returns whether more than half of these voters are left after every loss that is tolerated."""
    voters = list(voters)
    return 2 * remaining_after_worst_loss(voters, domains, tolerance) > len(voters)


def voters_needed(tolerance: Tolerance) -> int:
    """Returns the smallest number of voters of which a majority is left after the tolerated losses."""
    return 2 * tolerance.tolerated_losses + 1


def select_first_voters(
    domains: dict[str, FailureDomain], seeds: Iterable[str], tolerance: Tolerance, wait_is_over: bool
) -> tuple[str, ...] | None:
    """Returns the addresses of the first voters, sorted, or None to wait for further controllers.

    domains: the failure domain of every controller that is reachable.
    wait_is_over: whether to select voters even if a seed is not reachable or no selection keeps a majority.

    Seeds are preferred. Controllers that do not count for `Tolerance` may be lost in any number, so they vote
    only if no controller counts.
    """
    seeds = set(seeds)
    if not wait_is_over and not seeds <= domains.keys():
        return None
    candidates = candidates_in_order(domains, seeds, tolerance)
    needed = voters_needed(tolerance)
    for count in range(min(needed, len(candidates)), 0, -1):
        if keeps_majority(candidates[:count], domains, tolerance):
            return tuple(sorted(candidates[:count]))
    return tuple(sorted(candidates[:needed])) if wait_is_over else None


def candidates_in_order(
    domains: dict[str, FailureDomain], seeds: set[str], tolerance: Tolerance
) -> list[str]:
    """Returns the controllers that may vote, in the order in which they are selected.

    Seeds come first. If a whole zone or region may be lost, the order takes one controller of each zone or
    region in turn.
    """
    eligible = {
        address: domain for address, domain in domains.items() if domain.counts_for_tolerance
    } or domains
    groups: dict[str, list[str]] = {}
    for address in sorted(eligible, key=lambda address: (address not in seeds, address)):
        domain = eligible[address]
        group = domain.region if tolerance.regions else domain.zone if tolerance.zones else address
        groups.setdefault(group, []).append(address)
    return [address for address in chain(*zip_longest(*groups.values())) if address is not None]
