"""The simulated runs whose digests are kept in tests/data/play_digests.json.

A run is identified by its name and its seed. A difference means that the program sends, stores or answers
something else than when the digests were recorded. After a change that is meant to do so, record them again:

    PYTHONHASHSEED=0 python -m tests.sameness > tests/data/play_digests.json
"""

import json
import random
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

from tests import (
    contact_play,
    copies_play,
    core_play,
    epochs_play,
    holds_play,
    lines_play,
    orders_play,
    withdrawal_play,
)
from tests.sameness import recording

DIGESTS = Path(__file__).parent / "data" / "play_digests.json"


def operators(seed: int) -> Any:
    return orders_play.storm(seed, voters=3 + 2 * (seed % 2), follow=orders_play.FEW)


def operators_over_hundreds(seed: int) -> Any:
    return orders_play.long_day(seed, voters=3, changes=150)


def isolation(seed: int) -> Any:
    return contact_play.twenty(seed, "ab", ("both", "in", "out", "frozen")[seed % 4])


# by name: what runs one seed, and which seeds are recorded
RUNS: dict[str, tuple[Callable[[int], Any], Iterable[int]]] = {
    "core": (core_play.storm, range(6)),
    "epochs": (partial(epochs_play.day, rounds=1), range(6)),
    "epochs, older disks": (partial(epochs_play.day, rounds=1, older=3), range(6, 8)),
    "orders": (operators, range(4)),
    "orders, long": (operators_over_hundreds, range(1)),
    "orders, far reader": (partial(orders_play.readers, voters=3), range(2)),
    "contact": (partial(contact_play.storm, seconds=10.0), range(2)),
    "contact, five and a spare": (isolation, range(4)),
    "contact, frozen scribe": (contact_play.halted, range(1)),
    "contact, forgotten leave": (contact_play.forgot, range(1)),
    "holds": (lambda seed: holds_play.Play(seed).run(300.0), range(4)),
    "copies": (lambda seed: copies_play.Play(seed).run(120.0), range(4)),
    "withdrawal": (lambda seed: withdrawal_play.Play(seed).run(300.0), range(4)),
    "lines, keyed": (lambda seed: lines_play.dice(seed, 300, True), range(12)),
    "lines, unkeyed": (lambda seed: lines_play.dice(seed, 300, False), range(12)),
}


def digest(name: str, seed: int) -> dict[str, Any]:
    """Run one seed: how many records there were, and their digest."""
    run, _ = RUNS[name]
    random.seed(seed)
    with recording() as recorder:
        run(seed)
    return recorder.result()


def digests() -> dict[str, dict[str, dict[str, Any]]]:
    """The digests of all runs, by name and seed."""
    return {name: {str(seed): digest(name, seed) for seed in seeds} for name, (_, seeds) in RUNS.items()}


def main() -> None:
    print(json.dumps(digests(), indent=1))
