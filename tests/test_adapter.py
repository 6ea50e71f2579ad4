"""The wire: a start, orders in wire words, and bad input."""

import io
import json

import pytest

from bramblewood.adapter import host
from bramblewood.adapter.wire import MalformedInput

OPTIONS = {
    "me": 0,
    "n_instances": 1,
    "discovery": "automatic",
    "report": {"fields": ["cpu", "unheard-of"]},
    "classes": [
        {"name": "c", "objective": 1000.0, "deadline": 4000.0, "importance": 1.0, "effect": "non_idempotent"}
    ],
    "specifics": {"key_ranges": 2, "usual_how": 0, "cycle": 1000.0},
    "unknown": {"x": 1},
}
ITEMS = [{"health": 2, "worker": "worker-a", "w": 1}, {"health": 1, "worker": "worker-b", "w": 1}]


def run(*messages):
    out = io.BytesIO()
    lines = [m if isinstance(m, bytes) else json.dumps(m).encode() for m in messages]
    host.serve(io.BytesIO(b"\n".join(lines)), out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def start(*events):
    return (
        {"clock": {"t": 5000.0, "round": 1}},
        {"start": {"who": 3, "seed": 7, "options": OPTIONS}},
        {"ledger": {"list": 0, "items": ITEMS}},
        {"view": {"who": 3, "form": 2, "gen": 1, "list": 0}},
        *events,
        {"eof_batch": {}},
    )


def test_a_slice_on_a_gone_worker_is_moved_in_wire_words():
    reply = run(
        *start(
            {"enrolled": {"who": 3, "edge": 1, "w": 2.0}},
            {"handed": {"who": 3, "table": 1, "flag": True}},
            {"held": {"who": 3, "table": 1, "worker": "worker-b", "w": 1}},
        )
    )
    assert {"set_weight": {"who": 3, "table": 1, "worker": "worker-a", "w": 1.0}} in reply
    assert {"pull": {"who": 3, "flag": True, "worker": "worker-b"}} in reply
    assert {"ration": {"who": 3, "retry_mode": 1, "only": 0, "table": 65535, "allowance": 1.0}} in reply
    assert reply[-1] == {"ack": {"round": 1}}


@pytest.mark.parametrize(
    "messages, words",
    [
        ([b"{nonsense"], "line 1: not JSON"),
        ([{"clock": {"t": 1.0, "round": 4}}], "ends inside batch 4"),
        ([{"clock": {"round": 4}}], "line 1: clock lacks"),
        ([{"eof_batch": {}}], "outside a batch"),
        (start({"heard": {"who": 3, "n": 1}}), "line 5: heard: lacks or does not know 'worker'"),
        (start({"surprise": {"who": 3}}), "line 5: surprise: lacks or does not know 'surprise'"),
    ],
)
def test_bad_input_is_named_with_its_place(messages, words):
    with pytest.raises(MalformedInput, match=words):
        run(*messages)


def test_an_exception_in_the_module_goes_out_as_the_failure_report(monkeypatch):
    def broken(self, now, events):
        raise RuntimeError("a defect")

    monkeypatch.setattr(host.Manager, "handle", broken)
    assert {"bug": {"who": 3, "what": "RuntimeError: a defect"}} in run(*start())
