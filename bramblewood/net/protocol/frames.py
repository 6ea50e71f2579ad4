"""Frames at the manager's own address: a length of four bytes, then one JSON object of that length."""

import json
import struct

from ... import interface as door
from ..transport.buffer import Buffer
from .words import MS, Skipped, Unreadable, load_of, number, text, whole

LONGEST = 1 << 20  # bytes of one message; the protocol's
HEAD = struct.Struct(">I")
PING, SOURCE = "PING", "SOURCE"


def frame(message: dict) -> bytes:
    body = json.dumps(message, separators=(",", ":")).encode()
    return HEAD.pack(len(body)) + body


PONG = frame({"t": "PONG"})


def take(buffer: Buffer) -> dict | None:
    """The next whole message, or None while it is not all there."""
    if len(buffer) < HEAD.size:
        return None
    length, = HEAD.unpack(buffer.peek(HEAD.size))
    if length > LONGEST:
        raise Unreadable(f"a frame of {length} bytes")
    if len(buffer) < HEAD.size + length:
        return None
    body = buffer.take(HEAD.size + length)[HEAD.size:]
    try:
        message = json.loads(body)
    except (ValueError, RecursionError):
        raise Unreadable(f"a frame that is no JSON: {body[:40]!r}") from None
    if not isinstance(message, dict):
        raise Unreadable(f"a frame that is no object: {body[:40]!r}")
    return message


def event_of(message: dict, unknown: set) -> door.Event:
    """A collector's report as an event."""
    kind = message.get("t")
    if kind == "LOAD":
        return door.WorkerHeard(
            text(message, "server"), text(message, "zone", ""), whole(message, "tries"),
            int(number(message, "failed", 0)), number(message, "mean_ms", 0) / MS,
            number(message, "span_ms") / MS, load_of(message.get("load"), unknown))
    if kind == "SHARD":
        return door.SliceHeat(whole(message, "slice"), text(message, "class"), whole(message, "tries"),
                              int(number(message, "failed", 0)), number(message, "span_ms") / MS)
    raise Skipped(f"kind {kind!r:.40} is not known")
