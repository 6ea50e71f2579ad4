import random
from itertools import combinations

from behave import then

from bramblewood.common.settings import Tolerance
from bramblewood.controller.consensus.quorum import FailureDomain, select_first_voters


def random_fleet(seed: int) -> tuple[dict[str, FailureDomain], tuple[str, ...], Tolerance]:
    """Controllers in zones of two regions, some of which don't count; the first three are the seeds."""
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
    """Whether each loss within the tolerance leaves a majority of these voters."""
    by = {"machines": lambda name: name, "zones": lambda name: domains[name].zone}
    by["regions"] = lambda name: domains[name].region
    for kind, key in by.items():
        groups = {key(name) for name in domains}
        for lost in combinations(groups, min(getattr(tolerance, kind), len(groups))):
            if 2 * sum(key(name) not in lost for name in voters) <= len(voters):
                return False
    return True


@then("in {count:d} random fleets the founding voters keep a majority wherever some set of voters would")
def founding_voters_keep_majority(context, count):
    able = 0
    for seed in range(count):
        domains, seeds, tolerance = random_fleet(seed)
        voters = select_first_voters(domains, seeds, tolerance, True)
        assert voters == select_first_voters(dict(reversed(domains.items())), seeds, tolerance, True)
        counted = [name for name, domain in domains.items() if domain.counts_for_tolerance] or list(domains)
        assert set(voters) <= set(counted)
        sets = (some for n in range(1, len(counted) + 1) for some in combinations(counted, n))
        if any(keeps_majority(some, domains, tolerance) for some in sets):
            able += 1
            assert keeps_majority(voters, domains, tolerance), (seed, domains, tolerance, voters)
        early = select_first_voters(domains, seeds, tolerance, False)
        assert early is None or keeps_majority(early, domains, tolerance), (seed, early)
    assert able > count // 10, able


@then("founding waits for a seed that has not been heard yet, but not for ever")
def founding_waits(context):
    domains = {name: FailureDomain(f"z{name}", "r", True) for name in "abde"}
    assert select_first_voters(domains, "cde", Tolerance(), False) is None
    assert select_first_voters(domains, "cde", Tolerance(), True) == ("a", "d", "e")
