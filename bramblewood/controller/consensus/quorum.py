"""Which archives vote first, so that whatever `Tolerance` says may be lost leaves a majority. Pure."""

from collections import Counter
from collections.abc import Iterable
from itertools import chain, zip_longest
from typing import NamedTuple

from ...common.settings import Tolerance


class FailureDomain(NamedTuple):
    """Where an archive stands, and whether its loss is one of those that `Tolerance` bounds."""

    zone: str
    region: str
    counted: bool


def left(voters: Iterable[str], places: dict[str, FailureDomain], tolerance: Tolerance) -> int:
    """How many of these voters are there after the worst loss that is to be borne."""
    voters = list(voters)
    worst = 0
    for count, groups in (
        (tolerance.machines, voters),
        (tolerance.zones, [places[name].zone for name in voters]),
        (tolerance.regions, [places[name].region for name in voters]),
    ):
        worst = max(worst, sum(size for _, size in Counter(groups).most_common(count)))
    return len(voters) - worst


def bears(voters: Iterable[str], places: dict[str, FailureDomain], tolerance: Tolerance) -> bool:
    voters = list(voters)
    return 2 * left(voters, places, tolerance) > len(voters)


def enough(tolerance: Tolerance) -> int:
    """Voters of whom a majority is left after these losses."""
    return 2 * tolerance.losses + 1


def first_voters(
    places: dict[str, FailureDomain], seeds: Iterable[str], tolerance: Tolerance, late: bool
) -> tuple[str, ...] | None:
    """The first voters by name, or None where it is better to wait for more to show themselves.

    places: of all archives that have shown themselves. late: wait no longer, and take what is there. Seeds
    come first. Machines that don't count may go in any number, so they vote only where none counts. Zones or
    regions that may go whole get as few voters each as can be.
    """
    first, groups = set(seeds), {}
    if not late and not first <= places.keys():
        return None
    counted = {name: place for name, place in places.items() if place.counted} or places
    for name in sorted(counted, key=lambda name: (name not in first, name)):
        place = counted[name]
        group = place.region if tolerance.regions else place.zone if tolerance.zones else name
        groups.setdefault(group, []).append(name)
    in_turn = [name for name in chain(*zip_longest(*groups.values())) if name is not None]
    seats = enough(tolerance)
    for count in range(min(seats, len(in_turn)), 0, -1):
        if bears(in_turn[:count], places, tolerance):
            return tuple(sorted(in_turn[:count]))
    return tuple(sorted(in_turn[:seats])) if late else None
