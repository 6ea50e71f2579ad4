"""Bytes of every file of the store: heads, frames, operations, witnesses. Pure; see docs/formats.md."""

import struct
from typing import NamedTuple

import msgspec
from google_crc32c import extend
from google_crc32c import value as crc32c

VERSION = 1  # of all files; a file of a higher one is refused untouched
MAGIC = b"BWSTORE\n"
LOG, TABLE, MANIFEST, WITNESS = 1, 2, 3, 4  # kinds of file
BATCH, BLOCK, INDEX, FILTER, FOOTER, LISTING = 1, 2, 3, 4, 5, 6  # kinds of frame
SQUEEZED = 1  # flag of a frame: its payload is compressed by zstandard
LONGEST_KEY = 1 << 12  # bytes; keys are names, and one must never fill a block
LONGEST_BATCH = 1 << 24  # bytes of a batch as it is written
LONGEST_FRAME = 1 << 28  # bytes of a payload; a length above it is no length
OVERHEAD = 8  # bytes of an operation beside its key and value, about
HEAD = struct.Struct("<8sHHI16sQQQQI24xI")
FRAME = struct.Struct("<IBBHQII")
SLOT = struct.Struct("<8sHHI16sQQQQQId8xI")
SLOT_AT = (0, 4096)  # offsets of the two witnesses; far enough that one torn page leaves the other
FIRST = 12  # bytes of a head that its first checksum covers, in every version

Operation = tuple[bytes, bytes | None, int]  # key, value or None for a deletion, expiry in ms (0: never)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(list[Operation])


class Newer(Exception):
    """A file of a later version of this program: it is left as it is."""


class Spoilt(Exception):
    """Bytes that are not what was written."""


class Foreign(Spoilt):
    """A sound file that is not the one looked for: of another store, or under another's name."""


class Head(NamedTuple):
    """How a file begins. prior, prior_end and chain tie a log to the one before it."""

    kind: int
    store: bytes
    number: int
    first: int = 0  # log, table: sequence number of the first batch; manifest: generation
    prior: int = 0  # log: number of the log before it, 0 for none; table: last sequence number
    prior_end: int = 0  # log: where the frames of that one end
    chain: int = 0  # log: checksum of the last frame of that one


def checked_bytes(form: struct.Struct, kind: int, fields: tuple) -> bytes:
    """What begins a file: magic, version, kind and their checksum, fields, and a checksum of all of it."""
    begin = MAGIC + struct.pack("<HH", VERSION, kind)
    bare = form.pack(MAGIC, VERSION, kind, crc32c(begin), *fields, 0)[:-4]
    return bare + struct.pack("<I", crc32c(bare))


def checked_fields(form: struct.Struct, kind: int, data: bytes, what: str) -> tuple:
    """The fields that checked_bytes was given; raises Newer or Spoilt."""
    begins(data, kind)
    if len(data) < form.size:
        raise Spoilt(f"{what} cut short")
    fields = form.unpack_from(data)
    if crc32c(data[: form.size - 4]) != fields[-1]:
        raise Spoilt(f"{what} damaged")
    return fields[4:-1]


def head_bytes(head: Head) -> bytes:
    return checked_bytes(HEAD, head.kind, head[1:])


def begins(data: bytes, kind: int) -> None:
    """Raise Newer or Spoilt unless these bytes begin a file of this kind and version."""
    if len(data) < FIRST + 4 or data[:8] != MAGIC:
        raise Spoilt("no head")
    version, found, check = struct.unpack_from("<HHI", data, 8)
    if crc32c(data[:FIRST]) != check:
        raise Spoilt("head damaged")
    if version > VERSION:
        raise Newer(f"version {version}, this program reads {VERSION}")
    if found != kind:
        raise Spoilt(f"a file of kind {found}, expected {kind}")


def head_of(data: bytes, kind: int) -> Head:
    return Head(kind, *checked_fields(HEAD, kind, data, "head"))


class Frame(NamedTuple):
    kind: int
    flags: int
    number: int
    payload: bytes
    check: int  # the checksum, which chains the next frame to this one
    end: int  # offset behind it


def frame_bytes(kind: int, number: int, chain: int, payload: bytes, flags: int = 0) -> tuple[bytes, int]:
    """A frame and its checksum; chain is the checksum of the frame before, or of the head."""
    bare = FRAME.pack(len(payload), kind, flags, 0, number, chain, 0)[:-4]
    check = extend(crc32c(bare), payload)
    return b"".join((bare, struct.pack("<I", check), payload)), check


def frame_at(data: bytes, offset: int, chain: int | None = None) -> Frame:
    """The frame that begins at this offset of data; raises Spoilt. chain None: whatever came before."""
    if len(data) < offset + FRAME.size:
        raise Spoilt("cut short")
    length, kind, flags, spare, number, before, check = FRAME.unpack_from(data, offset)
    if length > LONGEST_FRAME or spare or not kind:
        raise Spoilt("no frame")
    end = offset + FRAME.size + length
    if len(data) < end:
        raise Spoilt("cut short")
    payload = bytes(data[offset + FRAME.size : end])
    if extend(crc32c(bytes(data[offset : offset + FRAME.size - 4])), payload) != check:
        raise Spoilt("checksum differs")
    if chain is not None and before != chain:
        raise Spoilt("does not follow the frame before it")
    return Frame(kind, flags, number, payload, check, end)


def next_frame(data: bytes, offset: int, above: int, most: int = 64) -> tuple[int, Frame] | None:
    """The first sound frame behind a damaged one, by its number: one of the next `most` above this one."""
    for number in range(above + 1, above + 1 + most):
        mark = struct.pack("<HQ", 0, number)
        at = data.find(mark, offset + 6)  # the mark stands six bytes into a frame
        while at >= 0:
            try:
                return at - 6, frame_at(data, at - 6)
            except Spoilt:
                at = data.find(mark, at + 1)
    return None


def payload_of(operations: list[Operation]) -> bytes:
    return ENCODER.encode(operations)


def operations_of(payload: bytes) -> list[Operation]:
    """The operations of a payload; raises Spoilt where it holds anything else."""
    try:
        return DECODER.decode(payload)
    except msgspec.MsgspecError as problem:
        raise Spoilt(f"not operations: {problem}") from None


class Witness(NamedTuple):
    """What was promised, kept apart from the log: up to which batch, and where it ends."""

    store: bytes
    count: int  # goes up with each one written; the higher of two holds
    generation: int  # of the manifest
    log: int  # number of the log that holds the last promised batch
    end: int  # offset behind that batch
    number: int  # its sequence number
    chain: int  # its checksum
    at: float  # s, when, by the handed-in clock


def witness_bytes(witness: Witness) -> bytes:
    return checked_bytes(SLOT, WITNESS, witness)


def witness_of(data: bytes) -> Witness:
    return Witness(*checked_fields(SLOT, WITNESS, data, "witness"))
