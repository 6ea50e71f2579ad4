"""Eight orders at once: s from an order's first call to its clear answer, by kind of site: `python -m
benchmarks.orders`. One JSON row for each; the clock is simulated, so figures are the same anywhere.

Controllers' own work takes no time there; links, syncs, waits and callers' backoff do. worst and median: of
all orders of all seeds; by_seed: each seed's [worst, median].
"""

import argparse
import json
import statistics

from tests.simulation.configuration_changes import SimulatedSite, concurrent_requests

NEAR, WIDE, FAR = (0.0005, 0.003), (0.0005, 0.06), (0.055, 0.06)  # s one way
SITES = {
    "near": {"delays": NEAR},
    "wide": {"delays": WIDE},
    "far": {"delays": FAR},
    "wide, one link of 250 ms": {"delays": WIDE, "slow_link_delay": 0.25},
    "wide, a voter that hears none": {"delays": WIDE, "not_receiving": True},
    "wide, a voter that none hears": {"delays": WIDE, "not_sending": True},
    "wide, accidents": {"delays": WIDE, "lost": 0.03, "answers_lost": 0.2},
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=50)
    seeds = parser.parse_args().seeds
    for voters in (3, 5):
        for name, site in SITES.items():
            for spread in (True, False):
                took = [
                    concurrent_requests(seed, SimulatedSite(voters, **site), spread=spread)
                    for seed in range(seeds)
                ]
                row = {
                    "voters": voters,
                    "site": name,
                    "at": "all archives" if spread else "one archive",
                    "worst": round(max(max(some) for some in took), 2),
                    "median": round(statistics.median(one for some in took for one in some), 2),
                    "by_seed": [[round(max(some), 2), round(statistics.median(some), 2)] for some in took],
                }
                print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
