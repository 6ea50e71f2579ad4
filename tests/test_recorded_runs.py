"""Guards against an unintended change of the messages, disk writes and responses in simulated runs."""

import dataclasses
import enum
import json
from typing import Any, NamedTuple

import pytest

from tests.simulation.digests import Recorder, canonical, record_event, recording
from tests.simulation.recorded_runs import DIGESTS_FILE, RUNS, run_digest

RECORDED_DIGESTS = json.loads(DIGESTS_FILE.read_text())


class Pair(NamedTuple):
    first: int
    second: str


@dataclasses.dataclass
class Message:
    number: int

    def to_wire(self) -> dict[str, Any]:
        return {"n": self.number}


class Kind(enum.Enum):
    GRANT = "grant"


@pytest.mark.parametrize(
    "value, expected",
    [
        ({"b": 1, "a": None}, {"a": None, "b": 1}),
        ({2: "x"}, {"2": "x"}),
        ((1, [2.5, True]), [1, [2.5, True]]),
        (Pair(1, "a"), [1, "a"]),
        (Message(3), {"n": 3}),
        ([Message(3)], [{"n": 3}]),
        (Kind.GRANT, "grant"),
        (b"\x00\xff", {"bytes": "00ff"}),
        ({"b", "a"}, {"set": ["a", "b"]}),
        (frozenset({(2, 1), (1, 2)}), {"set": [[1, 2], [2, 1]]}),
    ],
)
def test_canonical_form_consists_of_json_types(value: Any, expected: Any) -> None:
    assert canonical(value) == expected


def test_object_without_canonical_form_raises_type_error() -> None:
    with pytest.raises(TypeError, match="no canonical form of object"):
        canonical({"a": object()})


def test_digest_depends_on_order_of_events_and_on_keys() -> None:
    def digest_of(*messages: Any) -> str:
        with recording() as recorder:
            for message in messages:
                record_event("message", message)
        return recorder.result()["sha256"]

    assert digest_of({"a": 1}, {"b": 2}) == digest_of({"a": 1}, {"b": 2})
    assert digest_of({"a": 1}, {"b": 2}) != digest_of({"b": 2}, {"a": 1})
    assert digest_of({"a": 1}) != digest_of({"c": 1})


def test_events_outside_a_recording_are_ignored() -> None:
    with recording() as recorder:
        pass
    record_event("message", {"a": 1})
    assert recorder.result() == Recorder().result()


def test_digests_of_all_runs_and_seeds_are_recorded() -> None:
    recorded_seeds = {name: sorted(seeds) for name, seeds in RECORDED_DIGESTS.items()}
    assert recorded_seeds == {name: sorted(map(str, seeds)) for name, (_, seeds) in RUNS.items()}


@pytest.mark.parametrize("name", RUNS)
def test_run_has_recorded_digests(name: str) -> None:
    _, seeds = RUNS[name]
    assert {str(seed): run_digest(name, seed) for seed in seeds} == RECORDED_DIGESTS[name]
