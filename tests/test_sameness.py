"""The simulated runs send, store and answer what they did when their digests were recorded."""

import dataclasses
import enum
import json
from typing import Any, NamedTuple

import pytest

from tests.simulation.digests import Recorder, canonical, record_event, recording
from tests.simulation.recorded_runs import DIGESTS, RUNS, digest

RECORDED = json.loads(DIGESTS.read_text())


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
    "value, wire",
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
def test_canonical_form(value: Any, wire: Any) -> None:
    assert canonical(value) == wire


def test_canonical_form_refuses_what_has_an_address() -> None:
    with pytest.raises(TypeError, match="no canonical form of object"):
        canonical({"a": object()})


def test_digest_knows_order_and_keys() -> None:
    def result(*records: Any) -> str:
        with recording() as recorder:
            for record in records:
                record_event("message", record)
        return recorder.result()["sha256"]

    assert result({"a": 1}, {"b": 2}) == result({"a": 1}, {"b": 2})
    assert result({"a": 1}, {"b": 2}) != result({"b": 2}, {"a": 1})
    assert result({"a": 1}) != result({"c": 1})


def test_nothing_is_recorded_outside_a_recording() -> None:
    with recording() as recorder:
        pass
    record_event("message", {"a": 1})
    assert recorder.result() == Recorder().result()


def test_all_runs_are_recorded() -> None:
    recorded = {name: sorted(seeds) for name, seeds in RECORDED.items()}
    assert recorded == {name: sorted(map(str, seeds)) for name, (_, seeds) in RUNS.items()}


@pytest.mark.parametrize("name", RUNS)
def test_run_is_as_recorded(name: str) -> None:
    _, seeds = RUNS[name]
    assert {str(seed): digest(name, seed) for seed in seeds} == RECORDED[name]
