"""The facts that last, as records of a store: keys of bytes, values of MessagePack arrays. docs/formats.md.

A value begins with the version of its kind. A record of a later version is kept as it is and not used; one
that can't be read counts as damage. Fields are only ever added, at the end.
"""

import struct
from typing import Any, Union

import msgspec

VERSION = 1
TABLE = struct.Struct(">iH")  # a table and the position of an operation, in keys; ordered as numbers are


class Closed(msgspec.Struct, array_like=True, frozen=True):
    """A worker told draining or gone: its start (unix time, None: long ago), the list's version, and when."""

    state: str
    started: float | None
    version: int
    at: float


class Admitted(msgspec.Struct, array_like=True, frozen=True):
    """Level and way of trying again of one operation at a table (-1: all slices in charge).

    carried: whether the relay has said so. life: of the manager that ordered it. given: how many slices had
    been given by then; an order for all slices stands only for those.
    """

    level: float
    retry: int
    carried: bool
    at: float
    life: int
    given: int


class Withdrawn(msgspec.Struct, array_like=True, frozen=True):
    """A worker that proxies were told to keep off."""

    at: float


class Doubt(msgspec.Struct, array_like=True, frozen=True):
    """A worker out of use till then, for the so manyth time."""

    until: float
    doubts: int
    at: float


class Lines(msgspec.Struct, array_like=True, frozen=True):
    """A slice in charge and its lines as last carried; given: it was the so manyth slice given."""

    lines: dict[str, float]
    at: float
    given: int = 0


class Life(msgspec.Struct, array_like=True, frozen=True):
    """This manager's own: which start this is, when it began, when it was last alive, the marks it may use.

    marks: numbers up to this one may have been used; careful_until: after damage was found; version: the
    highest of a list that discovery told; given: slices given so far, over all lives.
    """

    number: int
    began: float
    alive: float
    marks: int
    careful_until: float
    version: int
    given: int


Record = Union[Closed, Admitted, Withdrawn, Doubt, Lines, Life]
KINDS: dict[bytes, type] = {
    b"w": Closed,
    b"a": Admitted,
    b"o": Withdrawn,
    b"d": Doubt,
    b"s": Lines,
    b"life": Life,
}
ENCODER = msgspec.msgpack.Encoder()
DECODERS = {kind: msgspec.msgpack.Decoder(tuple[int, kind]) for kind in KINDS.values()}
UNREADABLE = (msgspec.MsgspecError, struct.error, UnicodeDecodeError, TypeError, IndexError, KeyError)
ANY = msgspec.msgpack.Decoder()


class Unknown(Exception):
    """A record that can't be used; the text says why."""


def worker_key(kind: bytes, worker: str) -> bytes:
    return kind + b"/" + worker.encode()


def admit_key(table: int, operation: int) -> bytes:
    return b"a/" + TABLE.pack(table, operation)


def slice_key(number: int) -> bytes:
    return b"s/" + struct.pack(">i", number)


LIFE = b"life"


def value_of(record: Record) -> bytes:
    return ENCODER.encode((VERSION, record))


def read(key: bytes, value: bytes) -> tuple[bytes, Any, Record]:
    """The kind, the id (a worker's name, a slice, or table and operation) and the record; raises Unknown."""
    kind, _, rest = key.partition(b"/")
    if kind not in KINDS:
        raise Unknown(f"key {key[:40]!r} is of no known kind")
    try:
        if ANY.decode(value)[0] > VERSION:
            raise Unknown(f"key {key[:40]!r} is of a later version")
        _, record = DECODERS[KINDS[kind]].decode(value)
        if kind == b"a":
            return kind, TABLE.unpack(rest), record
        if kind == b"s":
            return kind, struct.unpack(">i", rest)[0], record
        return kind, rest.decode(), record
    except UNREADABLE as problem:
        raise Unknown(f"key {key[:40]!r}: {problem}") from None
