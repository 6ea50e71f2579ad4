"""Frames at the manager's own address: a length of four bytes, then one JSON object of that length."""

import json
import struct
from collections.abc import Container
from typing import Any, NamedTuple

from ... import events
from ..transport.buffer import Buffer
from .words import MS, Skipped, Unreadable, load_of, number, text, whole

LONGEST = 1 << 20  # bytes of one message; the protocol's
LONGEST_UNJOINED = 4096  # bytes of a question or a joining; what is longer is neither
HEAD = struct.Struct(">I")
PING, SOURCE = "PING", "SOURCE"
MOST_TRIES = 10**7  # of one report; more than a whole site sends in the span of one
LONGEST_SPAN = 3600.0  # s, of a report's span and mean time; they take seconds


def frame(message: dict) -> bytes:
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
        return isinstance(zone, str) and (not self.zones or zone in self.zones)


def take(buffer: Buffer, most: int = LONGEST) -> dict | None:
    """The next whole message, or None while it is not all there."""
    if len(buffer) < HEAD.size:
        return None
    (length,) = HEAD.unpack(buffer.peek(HEAD.size))
    if length > most:
        raise Unreadable(f"a frame of {length} bytes")
    if len(buffer) < HEAD.size + length:
        return None
    body = buffer.take(HEAD.size + length)[HEAD.size :]
    try:
        message = json.loads(body)
    except (ValueError, RecursionError):
        raise Unreadable(f"a frame that is no JSON: {body[:40]!r}") from None
    if not isinstance(message, dict):
        raise Unreadable(f"a frame that is no object: {body[:40]!r}")
    return message


def one_of(found: str, known: Container[str] | None, name: str) -> str:
    if known and found not in known:
        raise Skipped(f"{name} {found[:40]!r} does not exist")
    return found


def tried(message: dict) -> tuple[int, int, float]:
    """Tries, how many failed, and over how long; no more than one report can tell.

    More may fail than were tried: the last tries of the span before are told when they fail.
    """
    tries, failed, span = whole(message, "tries"), whole(message, "failed"), number(message, "span_ms") / MS
    if max(tries, failed) > MOST_TRIES or not 0 < span <= LONGEST_SPAN:
        raise Skipped(f"{failed} failed of {tries} tries in {span} s")
    return tries, failed, span


def event_of(message: dict, scope: Scope, unknown: set) -> events.Event:
    """A collector's report as an event; one that is spoilt in any part is skipped whole."""
    kind = message.get("t")
    if kind == "LOAD":
        tries, failed, span = tried(message)
        mean_time = number(message, "mean_ms", 0 if failed >= tries else None) / MS
        if mean_time > LONGEST_SPAN:
            raise Skipped(f"a mean time of {mean_time} s")
        return events.WorkerReported(
            one_of(text(message, "server"), scope.workers, "server"),
            one_of(text(message, "zone"), scope.zones, "zone"),
            tries,
            failed,
            mean_time,
            span,
            load_of(message.get("load"), unknown),
        )
    if kind == "SHARD":
        tries, failed, span = tried(message)
        number_ = whole(message, "slice")
        if scope.slices and number_ >= scope.slices:
            raise Skipped(f"slice {number_} does not exist")
        return events.SliceHeatReported(
            number_, one_of(text(message, "class"), scope.operations, "class"), tries, failed, span
        )
    raise Skipped(f"kind {kind!r:.40} is not known")
