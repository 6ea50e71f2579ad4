"""Frames at the manager's own address: a length of four bytes, then one JSON object of that length."""

import json
import struct
from collections.abc import Container
from typing import Any, NamedTuple

from ... import events
from ..transport.buffer import Buffer
from .fields import MS_PER_SECOND, InvalidMessage, ProtocolError, number, parse_load, text, whole_number

MAX_MESSAGE_BYTES = 1 << 20  # bytes of one message; the protocol's
MAX_UNJOINED_BYTES = 4096  # bytes of a question or a joining; what is longer is neither
HEAD = struct.Struct(">I")
PING, SOURCE = "PING", "SOURCE"
MAX_ATTEMPTS = 10**7  # of one report; more than a whole site sends in the span of one
MAX_INTERVAL = 3600.0  # s, of a report's span and mean time; they take seconds


def frame(message: dict) -> bytes:
    """A message with its length before it."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return HEAD.pack(len(body)) + body


PONG = frame({"t": "PONG"})
NACK = frame({"t": "NACK", "why": "expected PING, or SOURCE with a zone of this site"})


class Scope(NamedTuple):
    """What a report may name; where the settings do not tell, anything of the right type."""

    zones: Container[str] = ()
    operations: Container[str] = ()
    slices: float = 0
    workers: Container[str] | None = None

    def has_zone(self, zone: Any) -> bool:
        """Whether this is a zone of the site."""
        return isinstance(zone, str) and (not self.zones or zone in self.zones)


def read_message(buffer: Buffer, most: int = MAX_MESSAGE_BYTES) -> dict | None:
    """The next whole message, or None while it is not all there."""
    if len(buffer) < HEAD.size:
        return None
    (length,) = HEAD.unpack(buffer.peek(HEAD.size))
    if length > most:
        raise ProtocolError(f"a frame of {length} bytes")
    if len(buffer) < HEAD.size + length:
        return None
    body = buffer.take(HEAD.size + length)[HEAD.size :]
    try:
        message = json.loads(body)
    except (ValueError, RecursionError):
        raise ProtocolError(f"a frame that is no JSON: {body[:40]!r}") from None
    if not isinstance(message, dict):
        raise ProtocolError(f"a frame that is no object: {body[:40]!r}")
    return message


def check_known(found: str, known: Container[str] | None, name: str) -> str:
    """The name if the site has it; raises InvalidMessage."""
    if known and found not in known:
        raise InvalidMessage(f"{name} {found[:40]!r} does not exist")
    return found


def parse_attempts(message: dict) -> tuple[int, int, float]:
    """Tries, how many failed, and over how long; no more than one report can tell.

    More may fail than were tried: the last tries of the span before are told when they fail.
    """
    attempts, failed, interval = (
        whole_number(message, "tries"),
        whole_number(message, "failed"),
        number(message, "span_ms") / MS_PER_SECOND,
    )
    if max(attempts, failed) > MAX_ATTEMPTS or not 0 < interval <= MAX_INTERVAL:
        raise InvalidMessage(f"{failed} failed of {attempts} tries in {interval} s")
    return attempts, failed, interval


def parse_report(message: dict, scope: Scope, unknown: set) -> events.Event:
    """A collector's report as an event; one that is spoilt in any part is skipped whole."""
    kind = message.get("t")
    if kind == "LOAD":
        attempts, failed, interval = parse_attempts(message)
        mean_time = number(message, "mean_ms", 0 if failed >= attempts else None) / MS_PER_SECOND
        if mean_time > MAX_INTERVAL:
            raise InvalidMessage(f"a mean time of {mean_time} s")
        return events.WorkerReported(
            check_known(text(message, "server"), scope.workers, "server"),
            check_known(text(message, "zone"), scope.zones, "zone"),
            attempts,
            failed,
            mean_time,
            interval,
            parse_load(message.get("load"), unknown),
        )
    if kind == "SHARD":
        attempts, failed, interval = parse_attempts(message)
        number_ = whole_number(message, "slice")
        if scope.slices and number_ >= scope.slices:
            raise InvalidMessage(f"slice {number_} does not exist")
        return events.SliceHeatReported(
            number_,
            check_known(text(message, "class"), scope.operations, "class"),
            attempts,
            failed,
            interval,
        )
    raise InvalidMessage(f"kind {kind!r:.40} is not known")
