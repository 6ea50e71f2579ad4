"""Messages between peers with keys missing, of other types and sizes, of unknown kinds."""

import copy
import json
from collections.abc import Iterator
from typing import Any

from bramblewood.common import messages
from bramblewood.common.errors import PeerMessageError
from bramblewood.common.messages import kinds
from bramblewood.controller.consensus.messages import CONSENSUS_MESSAGE_KINDS, decode
from bramblewood.controller.register_values import require_values

# in place of a field's value; lone numbers of either sign are of the right type for some fields
OTHER_VALUES: tuple[Any, ...] = (
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
READERS = {
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


def read(wire: dict) -> Any:
    """The message of a wire form; a heartbeat is a controller's where it says what it accepted."""
    kind = wire["k"]
    if kind in CONSENSUS_MESSAGE_KINDS:
        require_values(wire)
        return decode(wire)
    if kind == kinds.HEARTBEAT:
        return (messages.ControllerHeartbeat if "acc" in wire else messages.ProxyHeartbeat).from_wire(wire)
    return READERS[kind](wire)


def mutations(wire: dict) -> Iterator[dict]:
    """Each key left out, and each value replaced by others."""
    for key in wire.keys() - {"k"}:
        yield {name: value for name, value in wire.items() if name != key}
        for value in OTHER_VALUES:
            yield {**wire, key: copy.deepcopy(value)}


def is_malformed(wire: dict) -> bool:
    """Whether a message can't be read. Fails where it ends in any other error than PeerMessageError."""
    try:
        read(wire)
    except PeerMessageError:
        return True
    return False


def malformed_texts(wire_forms: list[dict]) -> list[str]:
    """The texts of all mutations that can't be read."""
    found = [json.dumps(one) for wire in wire_forms for one in mutations(wire) if is_malformed(one)]
    return list(dict.fromkeys(found))
