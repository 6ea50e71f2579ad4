"""Each target in `WeightedTargets` of a route gets its share, independently of the zone and slice choice."""

import random
from collections import Counter

import pytest

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.slice_table import KEY_SPACE_SIZE
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.load_balancing import LoadBalancer

REQUESTS = 40_000
TOLERANCE = 0.015  # fraction of all requests; the rules allow 0.2
KEY_RANGES = 8
RANDOM = random.Random(5)
REQUEST_IDS = [f"{RANDOM.getrandbits(64):016x}" for _ in range(REQUESTS)]


def route_with_shares(*shares: float):
    """Return a route whose targets are the services s0, s1, ... with these shares."""
    targets = [{"Target": f"s{index}", "Share": share} for index, share in enumerate(shares)]
    record = ["look", "club.example", "/look/", "pure", 2, 0.5, 1, 2, None]
    raw_configuration = configuration("r1", [record], [[target["Target"], None] for target in targets])
    routes = raw_configuration["RouteList"]
    routes["ColumnNames"] = [*routes["ColumnNames"], "WeightedTargets"]
    routes["Records"] = [[*record, targets]]
    return build_configuration(raw_configuration).unwrap().find_route("club.example", "/look/1")


def request_ids_by_service(*shares: float) -> dict[str, list[str]]:
    """Return the ids of the requests that each service gets, by service."""
    route, request_ids = route_with_shares(*shares), {}
    for request_id in REQUEST_IDS:
        request_ids.setdefault(route.choose_service(request_id), []).append(request_id)
    return request_ids


@pytest.mark.parametrize("shares", [(90, 10), (50, 50), (1, 1, 2), (99.5, 0.5), (0.2, 0.3, 0.5)])
def test_each_target_gets_its_share_of_requests(shares: tuple[float, ...]) -> None:
    request_ids = request_ids_by_service(*shares)
    for index, share in enumerate(shares):
        assert abs(len(request_ids[f"s{index}"]) / REQUESTS - share / sum(shares)) < TOLERANCE


def test_a_target_with_share_zero_gets_no_requests() -> None:
    assert request_ids_by_service(100, 0).keys() == {"s0"}


def test_a_request_id_always_selects_the_same_target() -> None:
    route, same_route = route_with_shares(50, 50), route_with_shares(50, 50)
    assert all(
        route.choose_service(request_id) == same_route.choose_service(request_id)
        for request_id in REQUEST_IDS[:500]
    )


@pytest.mark.parametrize("shares", [(90, 10), (50, 50)])
@pytest.mark.parametrize("local_fraction", [0.1, 0.3, 0.6, 0.9])
def test_local_fraction_holds_among_the_requests_of_each_target(
    shares: tuple[float, ...], local_fraction: float
) -> None:
    for request_ids in request_ids_by_service(*shares).values():
        local = sum(LoadBalancer.locality_draw(request_id) < local_fraction for request_id in request_ids)
        assert abs(local / len(request_ids) - local_fraction) < 3 * TOLERANCE


@pytest.mark.parametrize("shares", [(90, 10), (50, 50)])
def test_requests_of_each_target_are_spread_evenly_over_the_key_space(shares: tuple[float, ...]) -> None:
    for request_ids in request_ids_by_service(*shares).values():
        requests_by_range = Counter(
            LoadBalancer.hash_request_id(request_id) * KEY_RANGES // KEY_SPACE_SIZE
            for request_id in request_ids
        )
        assert max(requests_by_range.values()) < 1.2 * len(request_ids) / KEY_RANGES
