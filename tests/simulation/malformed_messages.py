"""Malformed messages between peers, made from valid ones by removing a key or replacing its value."""

import copy
import json
from collections.abc import Iterator
from typing import Any

from bramblewood.common import messages
from bramblewood.common.errors import PeerMessageError
from bramblewood.common.messages import kinds
from bramblewood.controller.consensus import messages as consensus_messages
from bramblewood.controller.register_values import validate_message_values

# Each of these values replaces that of a field in turn. Some are valid for some fields, for example the
# numbers.
REPLACEMENT_VALUES: tuple[Any, ...] = (
    None,
    True,
    "x",
    "x" * 5000,
    7,
    1.5,
    10**30,
    -(10**30),
    1e300,
    float("nan"),
    float("inf"),
    [],
    [[]],
    [None] * 4,
    ["a", "b", "c", "d"],
    {},
    {"a": 1},
    {"a": {"b": []}},
    {"config": [1, 2, 3, 4]},
)
DECODERS = {
    kinds.HELLO: messages.Hello.from_wire,
    kinds.REGISTRY_UPDATE: messages.RegistryUpdate.from_wire,
    kinds.REGISTRY_ACKNOWLEDGEMENT: messages.RegistryAcknowledgement.from_wire,
    kinds.SUBSCRIPTION: messages.subscription_from_wire,
    kinds.UPDATE_REQUEST: messages.UpdateRequest.from_wire,
    kinds.LOAD_REPORT: messages.LoadReport.from_wire,
    kinds.CONFIRMATION_REQUEST: messages.ConfirmationRequest.from_wire,
    kinds.CONFIRMATION: messages.Confirmation.from_wire,
    kinds.REMOVE_READERS: messages.RemoveReaders.from_wire,
    kinds.READERS_REMOVED: messages.ReadersRemoved.from_wire,
    kinds.CONFIGURATION_UPDATE: messages.ConfigurationUpdate.from_wire,
    kinds.TABLE_UPDATE: messages.TableUpdate.from_wire,
}


def decode_message(wire: dict) -> Any:
    """Decodes a message of any kind. Raises PeerMessageError if it is malformed.

    Controllers and proxies share the kind of heartbeats. Only a controller's heartbeat has the key "acc".
    """
    kind = wire["k"]
    if kind in consensus_messages.CONSENSUS_MESSAGE_KINDS:
        validate_message_values(wire)
        return consensus_messages.decode_message(wire)
    if kind == kinds.HEARTBEAT:
        return (messages.ControllerHeartbeat if "acc" in wire else messages.ProxyHeartbeat).from_wire(wire)
    return DECODERS[kind](wire)


def mutations(wire: dict) -> Iterator[dict]:
    """Yields copies of a message, each with one key removed or with one value replaced."""
    for key in wire.keys() - {"k"}:
        yield {name: value for name, value in wire.items() if name != key}
        for value in REPLACEMENT_VALUES:
            yield {**wire, key: copy.deepcopy(value)}


def is_malformed(wire: dict) -> bool:
    """Whether decoding raises PeerMessageError. Any other error propagates."""
    try:
        decode_message(wire)
    except PeerMessageError:
        return True
    return False


def malformed_texts(wire_forms: list[dict]) -> list[str]:
    """Returns the JSON texts of all malformed mutations of these messages, without duplicates."""
    texts = [
        json.dumps(mutation) for wire in wire_forms for mutation in mutations(wire) if is_malformed(mutation)
    ]
    return list(dict.fromkeys(texts))
