import random
from itertools import combinations

from behave import then

from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.quorum import FailureDomain, select_first_voters


def random_fleet(seed: int) -> tuple[dict[str, FailureDomain], tuple[str, ...], Tolerance]:
    """Returns random failure domains, the seeds, and a random tolerance.

    The controllers are in up to 5 zones and 3 regions. Some do not count for the tolerance. The first three
    controllers are the seeds.
    """
    rng = random.Random(seed)
    zones = [f"z{i}" for i in range(rng.randint(1, 5))]
    names = [f"10.0.0.{i}" for i in range(1, rng.randint(1, 9) + 1)]
    domains = {}
    for name in names:
        zone = rng.choice(zones)
        domains[name] = FailureDomain(zone, f"r{int(zone[1]) % 3}", rng.random() < 0.8)
    tolerance = Tolerance(*rng.choice([(1, 0, 0), (2, 0, 0), (0, 1, 0), (1, 1, 0), (2, 1, 0), (0, 0, 1)]))
    return domains, tuple(names[:3]), tolerance


def keeps_majority(voters: tuple[str, ...], domains: dict, tolerance: Tolerance) -> bool:
    """Returns whether a majority of these voters is left after every loss within the tolerance."""
    group_functions = {"machines": lambda name: name, "zones": lambda name: domains[name].zone}
    group_functions["regions"] = lambda name: domains[name].region
    for kind, group_of in group_functions.items():
        groups = {group_of(name) for name in domains}
        for lost_groups in combinations(groups, min(getattr(tolerance, kind), len(groups))):
            if 2 * sum(group_of(name) not in lost_groups for name in voters) <= len(voters):
                return False
    return True


@then("in {count:d} random fleets the first voters keep a majority if any selection does")
def check_first_voters_keep_majority(context, count):
    satisfiable_count = 0
    for seed in range(count):
        domains, seeds, tolerance = random_fleet(seed)
        voters = select_first_voters(domains, seeds, tolerance, True)
        assert voters == select_first_voters(dict(reversed(domains.items())), seeds, tolerance, True)
        eligible = [name for name, domain in domains.items() if domain.counts_for_tolerance] or list(domains)
        assert set(voters) <= set(eligible)
        selections = (
            selection for n in range(1, len(eligible) + 1) for selection in combinations(eligible, n)
        )
        if any(keeps_majority(selection, domains, tolerance) for selection in selections):
            satisfiable_count += 1
            assert keeps_majority(voters, domains, tolerance), (seed, domains, tolerance, voters)
        early_voters = select_first_voters(domains, seeds, tolerance, False)
        assert early_voters is None or keeps_majority(early_voters, domains, tolerance), (seed, early_voters)
    assert satisfiable_count > count // 10, satisfiable_count


@then("the selection waits for an unreachable seed until the wait is over")
def check_selection_waits_for_seed(context):
    domains = {name: FailureDomain(f"z{name}", "r", True) for name in "abde"}
    assert select_first_voters(domains, "cde", Tolerance(), False) is None
    assert select_first_voters(domains, "cde", Tolerance(), True) == ("a", "d", "e")
