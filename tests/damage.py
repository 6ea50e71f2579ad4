"""Every file of a folder cut at every byte and every byte changed, a manager started on each: `python -m
tests.damage --jobs 8`. The test suite takes a sample of the same."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from bramblewood.store import plan

from .test_ledger import damage_days

SHARDS = 64  # parts of the work; more than jobs, so that they end together


def shard(seed, first):
    plan.SEAL_BYTES, plan.LOG_BYTES = 6000, 3000
    return damage_days(SHARDS, seed, first)


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--jobs", type=int, default=4)
    words.add_argument("--seed", type=int, default=7)
    told = words.parse_args()
    with ProcessPoolExecutor(told.jobs) as pool:
        done = list(pool.map(partial(shard, told.seed), range(SHARDS)))
    print(
        f"{sum(cases for cases, _, _ in done)} damages of {done[0][2]} files, data lost and said in "
        f"{sum(lost for _, lost, _ in done)}, no rule broken"
    )


if __name__ == "__main__":
    main()
