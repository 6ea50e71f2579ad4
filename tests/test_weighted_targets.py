"""The parts of a route that `WeightedTargets` names get their shares, whatever else their ids decide."""

import random
from collections import Counter

import pytest

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.slice_table import KEY_SPACE_SIZE
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.load_balancing import LoadBalancer

REQUESTS = 40_000
TOLERANCE = 0.015  # of all requests; the rules allow 0.2
KEY_RANGES = 8
DICE = random.Random(5)
IDS = [f"{DICE.getrandbits(64):016x}" for _ in range(REQUESTS)]


def route_of(*shares: float):
    """The route of a configuration whose targets have these shares, in order: service s0, s1, ..."""
    targets = [{"Target": f"s{at}", "Share": share} for at, share in enumerate(shares)]
    record = ["look", "club.example", "/look/", "pure", 2, 0.5, 1, 2, None]
    made = configuration("r1", [record], [[target["Target"], None] for target in targets])
    routes = made["RouteList"]
    routes["ColumnNames"] = [*routes["ColumnNames"], "WeightedTargets"]
    routes["Records"] = [[*record, targets]]
    return build_configuration(made).unwrap().find_route("club.example", "/look/1")


def parts(*shares: float) -> dict[str, list[str]]:
    """The ids of the requests that each service gets."""
    route, found = route_of(*shares), {}
    for request_id in IDS:
        found.setdefault(route.choose_service(request_id), []).append(request_id)
    return found


@pytest.mark.parametrize("shares", [(90, 10), (50, 50), (1, 1, 2), (99.5, 0.5), (0.2, 0.3, 0.5)])
def test_each_part_gets_its_share(shares: tuple[float, ...]) -> None:
    found = parts(*shares)
    for at, share in enumerate(shares):
        assert abs(len(found[f"s{at}"]) / REQUESTS - share / sum(shares)) < TOLERANCE


def test_a_part_without_a_share_gets_nothing() -> None:
    assert parts(100, 0).keys() == {"s0"}


def test_one_id_always_goes_the_same_way() -> None:
    one, other = route_of(50, 50), route_of(50, 50)
    assert all(one.choose_service(request_id) == other.choose_service(request_id) for request_id in IDS[:500])


@pytest.mark.parametrize("shares", [(90, 10), (50, 50)])
@pytest.mark.parametrize("local_fraction", [0.1, 0.3, 0.6, 0.9])
def test_a_part_stays_in_its_zone_as_its_fraction_says(
    shares: tuple[float, ...], local_fraction: float
) -> None:
    for request_ids in parts(*shares).values():
        local = sum(LoadBalancer.locality_draw(request_id) < local_fraction for request_id in request_ids)
        assert abs(local / len(request_ids) - local_fraction) < 3 * TOLERANCE


@pytest.mark.parametrize("shares", [(90, 10), (50, 50)])
def test_a_part_meets_all_slices_alike(shares: tuple[float, ...]) -> None:
    for request_ids in parts(*shares).values():
        ranges = Counter(
            LoadBalancer.hash_request_id(one) * KEY_RANGES // KEY_SPACE_SIZE for one in request_ids
        )
        assert max(ranges.values()) < 1.2 * len(request_ids) / KEY_RANGES
