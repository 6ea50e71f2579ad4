"""Guards the wire forms of consensus messages, as controllers of different releases run side by side."""

import json

import pytest

from bramblewood.controller.consensus import messages
from bramblewood.controller.consensus.messages import OMITTED, AcceptDifference, Promise, decode_message
from bramblewood.controller.consensus.proposal_number import (
    NO_PROPOSAL,
    ProposalNumber,
    format_proposal_number,
)

VOTERS = '{"n":2,"voters":{"10.0.0.1":"8eba264a","10.0.0.4":"f7dd8be5"},"before":{"10.0.0.1":"8eba264a"}}'
# recorded from an earlier release, with the keys in the order in which it sent them
WIRE_FORMS = [
    '{"k":"prepare","r":"config","b":[1,4,"10.0.0.1",7],"have":[0,0,"",0]}',
    '{"k":"promise","r":"config","b":[1,4,"10.0.0.1",7],"disk":"8eba264a","a":[1,3,"10.0.0.2",9]}',
    '{"k":"promise","r":"table","b":[1,4,"10.0.0.1",7],"disk":"8eba264a","a":[1,3,"10.0.0.2",9],"v":{"n":3}}',
    '{"k":"promise","r":"table","b":[1,4,"10.0.0.1",7],"disk":"8eba264a","a":[0,0,"",0],"v":null}',
    '{"k":"accept","r":"config","b":[1,4,"10.0.0.1",7],"v":{"n":4}}',
    '{"k":"accept","r":"config","b":[1,4,"10.0.0.1",7],"base":[1,3,"10.0.0.2",9],"d":{"+":{"n":{"=":4}}}}',
    '{"k":"accept","r":"config","b":[1,4,"10.0.0.1",7],"base":[1,3,"10.0.0.2",9],"d":null}',
    '{"k":"accepted","r":"config","b":[1,4,"10.0.0.1",7],"disk":"8eba264a"}',
    '{"k":"refuse","r":"config","b":[1,4,"10.0.0.1",7],"p":[1,5,"10.0.0.2",9],"disk":"8eba264a"}',
    '{"k":"done","r":"config","b":[1,4,"10.0.0.1",7]}',
    '{"k":"fetch","r":"config","b":[1,4,"10.0.0.1",7]}',
    '{"k":"chosen","r":"config","b":[1,4,"10.0.0.1",7],"v":{"n":4}}',
    f'{{"k":"epoch","m":{VOTERS}}}',
    f'{{"k":"join","m":{VOTERS},"have":{{"config":[1,4,"10.0.0.1",7]}}}}',
    f'{{"k":"join","m":{VOTERS},"have":{{"config":[1,4,"10.0.0.1",7]}},"again":true}}',
    '{"k":"state","e":2,"held":1,"disk":"8eba264a","regs":'
    '{"config":{"a":[1,4,"10.0.0.1",7]},"table":{"a":[1,3,"10.0.0.2",9],"v":{"n":3}}}}',
    '{"k":"state","e":2,"held":-1,"disk":"8eba264a","regs":{}}',
]


@pytest.mark.parametrize("text", WIRE_FORMS)
def test_a_decoded_message_encodes_to_the_same_wire_form(text):
    message = decode_message(json.loads(text))
    assert json.dumps(message.to_wire(), separators=(",", ":")) == text


def test_wire_forms_cover_every_kind():
    assert {json.loads(text)["k"] for text in WIRE_FORMS} == messages.CONSENSUS_MESSAGE_KINDS


def test_a_promise_without_a_value_differs_from_one_with_null():
    omitted, null = (decode_message(json.loads(WIRE_FORMS[index])) for index in (1, 3))
    assert isinstance(omitted, Promise) and omitted.value is OMITTED and not omitted.has_value
    assert isinstance(null, Promise) and null.value is None and null.has_value


def test_an_accept_with_a_base_decodes_to_accept_difference():
    message = decode_message(json.loads(WIRE_FORMS[5]))
    assert isinstance(message, AcceptDifference)
    assert message.base == ProposalNumber(1, 3, "10.0.0.2", 9)


def test_an_unknown_kind_raises_key_error():
    with pytest.raises(KeyError):
        decode_message({"k": "pulse"})


def test_proposal_numbers_compare_field_by_field():
    numbers = [
        NO_PROPOSAL,
        ProposalNumber(1, 9, "10.0.0.9", 1),
        ProposalNumber(2, 1, "10.0.0.1", 7),
        ProposalNumber(2, 1, "10.0.0.1", 8),
        ProposalNumber(2, 1, "10.0.0.2", 1),
        ProposalNumber(2, 2, "10.0.0.1", 1),
    ]
    assert sorted(reversed(numbers)) == numbers


def test_a_proposal_number_encodes_as_a_list_and_equals_its_tuple():
    number = ProposalNumber(2, 1, "10.0.0.1", 255)
    assert json.dumps(number) == '[2, 1, "10.0.0.1", 255]'
    assert ProposalNumber.from_wire(json.loads(json.dumps(number))) == number == (2, 1, "10.0.0.1", 255)
    assert format_proposal_number(number) == "2.1@10.0.0.1/ff"
