"""`ReadReplicas` and `ProxyUpdates` process only the changed rows of a new slice table. The result is the
same as if they processed the whole table.
"""

import random

from benchmarks.controller_storage import make_slice_table
from bramblewood.common.slice_table import readers_with_versions
from bramblewood.controller import proxy_updates, read_replicas
from bramblewood.controller.proxy_updates import ProxyUpdates
from bramblewood.controller.read_replicas import Reader, ReadReplicas
from bramblewood.controller.value_diff import apply_difference, changed_keys, difference

ROUNDS = 400
SERVICES = ("service-0", "service-1", "service-2")


def changed_table(rng: random.Random, value: dict) -> dict:
    """Return a table with a few rows replaced, with and without readers.

    With a probability of 0.1, the service loses all its rows. With a probability of 0.2, the result is a
    plain map, which does not hold its difference to `value`, so that all rows must be compared.
    """
    service, services = rng.choice(SERVICES), dict(value["s"])
    rows = dict(services.get(service, {}))
    for _ in range(rng.randrange(1, 4)):
        start, worker = str(rng.randrange(40)), f"w{rng.randrange(9)}"
        readers = [{worker: rng.choice([-1, 1]) * value["n"]}] if rng.random() < 0.5 else []
        rows[start] = [worker, "", 0.0, value["n"], "", "", *readers]
    if rng.random() < 0.1:
        rows = {}
    changed = {**value, "n": value["n"] + 1, "s": {**services, service: rows}}
    return changed if rng.random() < 0.2 else apply_difference(value, difference(value, changed))


def readers_in(value: dict) -> set[Reader]:
    return {
        Reader(service, int(start), instance_id, version)
        for service, rows in value["s"].items()
        for start, row in rows.items()
        for instance_id, version in readers_with_versions(row).items()
    }


def test_after_each_change_known_readers_equal_the_readers_in_the_whole_table() -> None:
    rng, replicas, value, known_since = random.Random(7), ReadReplicas(), {"n": 1, "s": {}}, {}
    for now in range(ROUNDS):
        value = changed_table(rng, value)
        replicas.record_table(float(now), value)
        known_since = {reader: known_since.get(reader, float(now)) for reader in readers_in(value)}
        assert replicas.known_since == known_since
    assert len(known_since) > 5


def test_proxy_update_contains_exactly_the_changed_rows() -> None:
    rng, updates, value = random.Random(8), ProxyUpdates(), {"n": 1, "s": {}}
    for _ in range(ROUNDS):
        before, value = value, changed_table(rng, value)
        updates.record_table(value)
        changed = updates.recent_steps[-1].changed_starts
        expected = {
            service: {start for start, row in rows.items() if before["s"].get(service, {}).get(start) != row}
            for service, rows in value["s"].items()
        }
        assert {service: {*starts} for service, starts in changed.items()} == {
            service: starts for service, starts in expected.items() if starts
        }


def test_change_of_one_row_is_processed_as_one_row(monkeypatch) -> None:
    processed: list[str] = []

    def recording_changed_keys(old: dict, new: dict) -> list[str]:
        keys = [*changed_keys(old, new)]
        processed.extend(keys)
        return keys

    value, replicas, updates = make_slice_table(3000), ReadReplicas(), ProxyUpdates()
    replicas.record_table(0.0, value)
    updates.record_table(value)
    monkeypatch.setattr(read_replicas, "changed_keys", recording_changed_keys)
    monkeypatch.setattr(proxy_updates, "changed_keys", recording_changed_keys)
    rows = {**value["s"]["service-0"], "3": ["w", "", 0.0, 9, "", "", {"r": 9}]}
    changed = {**value, "n": 2, "s": {**value["s"], "service-0": rows}}
    patched = apply_difference(value, difference(value, changed))
    replicas.record_table(1.0, patched)
    updates.record_table(patched)
    assert processed == ["3", "3"]
    assert replicas.known_since == {Reader("service-0", 3, "r", 9): 1.0}
