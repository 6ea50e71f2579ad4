"""The simulated runs whose digests are kept in tests/data/play_digests.json.

A run is identified by its name and its seed. A changed digest means that the messages, disk writes or
responses of the program have changed since the digests were recorded. After an intended change, record them
again:

    PYTHONHASHSEED=0 python -m tests.simulation.digests > tests/data/play_digests.json
"""

import json
import random
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

from tests.simulation import (
    configuration_change_guards,
    configuration_changes,
    consensus,
    drain_plans,
    key_leases,
    membership_epoch_days,
    quorum_contact,
    read_replicas,
    worker_connections,
)
from tests.simulation.digests import recording

DIGESTS_FILE = Path(__file__).parent.parent / "data" / "play_digests.json"


def random_configuration_changes(seed: int) -> Any:
    return configuration_changes.random_concurrent_requests(
        seed, voters=3 + 2 * (seed % 2), decide=configuration_change_guards.apply_with_few_digests
    )


def many_configuration_changes(seed: int) -> Any:
    return configuration_changes.successive_changes(seed, voters=3, changes=150)


def isolated_minority(seed: int) -> Any:
    return quorum_contact.isolation(seed, "ab", ("both", "in", "out", "frozen")[seed % 4])


# by name in play_digests.json: the function that runs one seed, and the recorded seeds. The names are those
# under which the digests were first recorded, and some of them use earlier terms.
RUNS: dict[str, tuple[Callable[[int], Any], Iterable[int]]] = {
    "core": (consensus.run_random_faults, range(6)),
    "epochs": (partial(membership_epoch_days.day, rounds=1), range(6)),
    "epochs, older disks": (partial(membership_epoch_days.day, rounds=1, older=3), range(6, 8)),
    "orders": (random_configuration_changes, range(4)),
    "orders, long": (many_configuration_changes, range(1)),
    "orders, far reader": (partial(configuration_changes.reads_at_distant_controller, voters=3), range(2)),
    "contact": (partial(quorum_contact.random_faults, seconds=10.0), range(2)),
    "contact, five and a spare": (isolated_minority, range(4)),
    "contact, frozen scribe": (quorum_contact.freeze_before_grants, range(1)),
    "contact, forgotten leave": (quorum_contact.restart_of_all_after_deregistration, range(1)),
    "holds": (lambda seed: key_leases.KeyLeaseSimulation(seed).run(300.0), range(4)),
    "copies": (lambda seed: read_replicas.ReadReplicaSimulation(seed).run(120.0), range(4)),
    "withdrawal": (lambda seed: drain_plans.DrainPlanSimulation(seed).run(300.0), range(4)),
    "lines, keyed": (lambda seed: worker_connections.run_random_events(seed, 300, True), range(12)),
    "lines, unkeyed": (lambda seed: worker_connections.run_random_events(seed, 300, False), range(12)),
}


def run_digest(name: str, seed: int) -> dict[str, Any]:
    """Run one seed, and return the number of its events and their digest, as `Recorder.result` does."""
    run, _ = RUNS[name]
    random.seed(seed)
    with recording() as recorder:
        run(seed)
    return recorder.result()


def all_digests() -> dict[str, dict[str, dict[str, Any]]]:
    """Run all seeds of all runs, and return their digests by name and seed."""
    return {name: {str(seed): run_digest(name, seed) for seed in seeds} for name, (_, seeds) in RUNS.items()}


def main() -> None:
    print(json.dumps(all_digests(), indent=1))
