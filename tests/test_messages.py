"""Guards against a change of the wire format of messages: their keys, the order of keys, optional keys."""

import json

import pytest

from bramblewood.common import messages

CONTROLLER_HEARTBEAT = {
    "k": "pulse",
    "t": 7.5,
    "v": True,
    "w": False,
    "acc": {"table": [1, 2, "a", 3]},
    "dur": {"table": [1, 1, "a", 3]},
    "ep": 1,
    "disk": "0a",
    "ver": {"table": 4},
    "leaving": False,
    "e": -1e9,
}
RARELY_SENT_FIELDS = {"members": {"n": 1}, "zone": "", "counted": False, "archives": ["a"], "desks": []}
PROXY_HEARTBEAT = {"k": "pulse", "n": {"table": 4}, "whole": True, "scribe": False, "desks": 2}

WIRE_FORMS = [
    (messages.Hello, {"k": "hello", "role": "desk", "from": "d1", "rows": {}}),
    (messages.Hello, {"k": "hello", "role": "archive", "from": "a", "rows": {"w": []}, "ages": {}}),
    (messages.ControllerHeartbeat, CONTROLLER_HEARTBEAT),
    (messages.ControllerHeartbeat, {**CONTROLLER_HEARTBEAT, "bound": {}, **RARELY_SENT_FIELDS, "heard": {}}),
    (messages.ProxyHeartbeat, PROXY_HEARTBEAT),
    (messages.ProxyHeartbeat, {**PROXY_HEARTBEAT, "silent": ["w"], "zone": "", "archives": [], "near": {}}),
    (
        messages.ProxyHeartbeat,
        {**PROXY_HEARTBEAT, "zone": "z", "archives": ["a"], "near": {}, "crowds": {"s": [[1], [8]]}},
    ),
    (messages.RegistryUpdate, {"k": "roll", "rows": {"w": ["s"]}}),
    (messages.RegistryUpdate, {"k": "roll", "rows": {}, "id": 0}),
    (messages.RegistryUpdate, {"k": "roll", "rows": {}, "all": True}),
    (messages.RegistryAcknowledgement, {"k": "rolled", "id": 3, "rows": {}, "epoch": -1}),
    (messages.Subscribe, {"k": "home", "on": True, "have": {"config": 0, "table": 0}}),
    (messages.UpdateRequest, {"k": "want", "r": "table", "have": 0}),
    (messages.LoadReport, {"k": "report", "over": 0.5, "heat": {}, "met": {}}),
    (
        messages.LoadReport,
        {"k": "report", "over": 0.5, "heat": {}, "met": {}, "n": 0, "left": {}, "keys": {"s": {"1": 2}}},
    ),
    (messages.ConfirmationRequest, {"k": "confirm", "t": 1.5}),
    (messages.Confirmation, {"k": "confirmed", "t": 1.5, "n": {"config": 1, "table": 2}}),
    (messages.RemoveReaders, {"k": "off", "id": 1, "service": "s", "key": 7, "lives": ["w1"]}),
    (messages.ReadersRemoved, {"k": "offed", "id": 1, "n": 5}),
    (messages.ConfigurationUpdate, {"k": "config", "n": 1, "config": {}}),
    (messages.TableUpdate, {"k": "table", "n": 2, "s": {}, "w": {}}),
    (messages.TableUpdate, {"k": "table", "n": 2, "base": 0, "d": {"s": {}}}),
    (messages.TableUpdate, {"k": "table", "n": 2, "base": 1, "d": {}, "w": {"w1": "told"}}),
]


@pytest.mark.parametrize(("message_class", "wire_form"), WIRE_FORMS)
def test_encoding_of_a_decoded_message_is_the_same_json(message_class, wire_form):
    assert json.dumps(message_class.from_wire(wire_form).to_wire()) == json.dumps(wire_form)


def test_subscribe_and_unsubscribe_share_one_kind():
    unsubscribe = {"k": "home", "on": False}
    assert messages.subscription_from_wire(unsubscribe).to_wire() == unsubscribe
    subscribe = {"k": "home", "on": True, "have": {"config": 1, "table": 0}}
    assert messages.subscription_from_wire(subscribe) == messages.Subscribe({"config": 1, "table": 0})


def test_proposal_numbers_of_a_heartbeat_are_decoded_as_tuples():
    heartbeat = messages.ControllerHeartbeat.from_wire(CONTROLLER_HEARTBEAT)
    assert heartbeat.accepted["table"] > heartbeat.durable["table"] == (1, 1, "a", 3)
