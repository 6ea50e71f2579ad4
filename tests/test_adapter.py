"""The adapter's protocol: the start of a manager, orders as messages, and malformed input."""

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
LIST_ENTRIES = [{"health": 2, "worker": "worker-a", "w": 1}, {"health": 1, "worker": "worker-b", "w": 1}]


def serve(*messages):
    out = io.BytesIO()
    lines = [m if isinstance(m, bytes) else json.dumps(m).encode() for m in messages]
    host.serve(io.BytesIO(b"\n".join(lines)), out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def start_batch(*events):
    return (
        {"clock": {"t": 5000.0, "round": 1}},
        {"start": {"who": 3, "seed": 7, "options": OPTIONS}},
        {"ledger": {"list": 0, "items": LIST_ENTRIES}},
        {"view": {"who": 3, "form": 2, "gen": 1, "list": 0}},
        *events,
        {"eof_batch": {}},
    )


def test_slice_of_a_deregistered_worker_moves_and_the_worker_is_excluded():
    replies = serve(
        *start_batch(
            {"enrolled": {"who": 3, "edge": 1, "w": 2.0}},
            {"handed": {"who": 3, "table": 1, "flag": True}},
            {"held": {"who": 3, "table": 1, "worker": "worker-b", "w": 1}},
        )
    )
    assert {"set_weight": {"who": 3, "table": 1, "worker": "worker-a", "w": 1.0}} in replies
    assert {"pull": {"who": 3, "flag": True, "worker": "worker-b"}} in replies
    assert {"ration": {"who": 3, "retry_mode": 1, "only": 0, "table": 65535, "allowance": 1.0}} in replies
    assert replies[-1] == {"ack": {"round": 1}}


@pytest.mark.parametrize(
    "messages, error",
    [
        ([b"{nonsense"], "line 1: not JSON"),
        ([{"clock": {"t": 1.0, "round": 4}}], "ends inside batch 4"),
        ([{"clock": {"round": 4}}], "line 1: clock lacks"),
        ([{"eof_batch": {}}], "outside a batch"),
        (start_batch({"heard": {"who": 3, "n": 1}}), "line 5: heard: missing or unknown: 'worker'"),
        (start_batch({"surprise": {"who": 3}}), "line 5: surprise: missing or unknown: 'surprise'"),
    ],
)
def test_malformed_input_raises_an_error_with_the_line_and_the_reason(messages, error):
    with pytest.raises(MalformedInput, match=error):
        serve(*messages)


def test_exception_of_a_manager_is_reported_as_a_bug_message(monkeypatch):
    def fail(self, now, events):
        raise RuntimeError("a defect")

    monkeypatch.setattr(host.Manager, "handle", fail)
    assert {"bug": {"who": 3, "what": "RuntimeError: a defect"}} in serve(*start_batch())
