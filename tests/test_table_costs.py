"""What follows the slice table looks at what changed, and comes to what a look at all of it would."""

import random

from benchmarks.controller_storage import table
from bramblewood.common.slice_table import all_readers
from bramblewood.controller import proxy_updates, read_replicas
from bramblewood.controller.proxy_updates import ProxyUpdates
from bramblewood.controller.read_replicas import Reader, ReadReplicas
from bramblewood.controller.value_diff import apply_difference, changed_keys, difference

ROUNDS = 400
SERVICES = ("service-0", "service-1", "service-2")


def changed_table(dice: random.Random, value: dict) -> dict:
    """A few rows moved, with and without readers; at times a service is emptied, or the whole is copied."""
    service, services = dice.choice(SERVICES), dict(value["s"])
    entries = dict(services.get(service, {}))
    for _ in range(dice.randrange(1, 4)):
        start, worker = str(dice.randrange(40)), f"w{dice.randrange(9)}"
        readers = [{worker: dice.choice([-1, 1]) * value["n"]}] if dice.random() < 0.5 else []
        entries[start] = [worker, "", 0.0, value["n"], "", "", *readers]
    if dice.random() < 0.1:
        entries = {}
    made = {**value, "n": value["n"] + 1, "s": {**services, service: entries}}
    return made if dice.random() < 0.2 else apply_difference(value, difference(value, made))


def readers_in(value: dict) -> set[Reader]:
    return {
        Reader(service, int(start), instance_id, version)
        for service, entries in value["s"].items()
        for start, row in entries.items()
        for instance_id, version in all_readers(row).items()
    }


def test_readers_are_those_of_the_whole_table() -> None:
    dice, replicas, value, since = random.Random(7), ReadReplicas(), {"n": 1, "s": {}}, {}
    for now in range(ROUNDS):
        value = changed_table(dice, value)
        replicas.learn_table(float(now), value)
        since = {reader: since.get(reader, float(now)) for reader in readers_in(value)}
        assert replicas.known_since == since
    assert len(since) > 5


def test_an_update_brings_a_proxy_to_the_table_that_stands() -> None:
    dice, updates, value = random.Random(8), ProxyUpdates(), {"n": 1, "s": {}}
    for _ in range(ROUNDS):
        before, value = value, changed_table(dice, value)
        updates.learn_table(value)
        changed = updates.changes[-1].changed_starts
        expected = {
            service: {
                start for start, row in entries.items() if before["s"].get(service, {}).get(start) != row
            }
            for service, entries in value["s"].items()
        }
        assert {service: {*starts} for service, starts in changed.items()} == {
            service: starts for service, starts in expected.items() if starts
        }


def test_one_move_is_one_look(monkeypatch) -> None:
    looked: list[str] = []

    def counting(old: dict, new: dict) -> list[str]:
        found = [*changed_keys(old, new)]
        looked.extend(found)
        return found

    value, replicas, updates = table(3000), ReadReplicas(), ProxyUpdates()
    replicas.learn_table(0.0, value)
    updates.learn_table(value)
    monkeypatch.setattr(read_replicas, "changed_keys", counting)
    monkeypatch.setattr(proxy_updates, "changed_keys", counting)
    entries = {**value["s"]["service-0"], "3": ["w", "", 0.0, 9, "", "", {"r": 9}]}
    made = {**value, "n": 2, "s": {**value["s"], "service-0": entries}}
    moved = apply_difference(value, difference(value, made))
    replicas.learn_table(1.0, moved)
    updates.learn_table(moved)
    assert looked == ["3", "3"]
    assert replicas.known_since == {Reader("service-0", 3, "r", 9): 1.0}
