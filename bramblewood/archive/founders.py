"""Who votes first: chosen once, at the first boot, from the archives that have shown themselves. Pure."""

from collections import Counter
from collections.abc import Iterable
from itertools import chain, zip_longest
from typing import NamedTuple

from ..catalogue.bootfile import Tolerance


class Place(NamedTuple):
    """Where an archive stands, and whether its loss is one of those that `Tolerance` bounds."""

    zone: str
    region: str
    counted: bool


def left(voters: Iterable[str], places: dict[str, Place], tolerance: Tolerance) -> int:
    """Voters that are still there after the worst loss that is to be borne."""
    voters = list(voters)
    worst = 0
    for count, groups in (
        (tolerance.machines, voters),
        (tolerance.zones, [places[name].zone for name in voters]),
        (tolerance.regions, [places[name].region for name in voters]),
    ):
        worst = max(worst, sum(size for _, size in Counter(groups).most_common(count)))
    return len(voters) - worst


def founders(
    places: dict[str, Place | None], seeds: Iterable[str], tolerance: Tolerance, late: bool
) -> tuple[str, ...] | None:
    """The first voters by name, or None where it is better to wait for more to show themselves.

    places: None for a seed that has said nothing yet; it may only be starting. late: wait no longer, and take
    the best that is there, silent seeds too. Machines that don't count may go in any number, so they vote
    only where none counts. Zones or regions that may go whole get as few voters each as can be.
    """
    if not late and None in places.values():
        return None
    known = {name: place or Place(name, name, True) for name, place in places.items()}
    counted = {name: place for name, place in known.items() if place.counted} or known
    first, groups = set(seeds), {}
    for name in sorted(counted, key=lambda name: (name not in first, name)):
        place = counted[name]
        group = place.region if tolerance.regions else place.zone if tolerance.zones else name
        groups.setdefault(group, []).append(name)
    in_turn = [name for name in chain(*zip_longest(*groups.values())) if name is not None]
    enough = 2 * max(tolerance.machines, tolerance.zones, tolerance.regions) + 1
    count = min(len(in_turn), enough)
    odd = range(count - (count % 2 == 0), 0, -2)
    for some in (in_turn[:count] for count in odd):
        if 2 * left(some, known, tolerance) > len(some):
            return tuple(sorted(some))
    return tuple(sorted(in_turn[: odd[0]])) if late else None
