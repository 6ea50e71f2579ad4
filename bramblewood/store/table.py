"""Sorted tables: written block by block in slices of work, read by a sparse index and a filter."""

import struct
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import zstandard

from . import frames
from .frames import Foreign, Frame, Head, Operation, Spoilt
from .port import Port
from .sketch import Filter, Sketch, hash_of

BLOCK = 8192  # bytes of operations in a block before it is squeezed; a read unpacks one
LEVEL = 1  # of zstandard; higher ones cost more time a slice than they save space here
ENTRY = struct.Struct("<QIIH")  # of the index: offset, size, operations, length of the first key
SUMMARY = struct.Struct("<QQQQQQQQ")  # of the footer; its fields: Summary
FOOTER_SIZE = frames.FRAME.size + SUMMARY.size
CACHED = 32  # blocks kept unpacked for reads, by table


class Summary(NamedTuple):
    """The end of a table: where its parts lie and what it covers."""

    index: int  # offset of the index frame
    filter: int  # offset of the filter frame
    entries: int  # operations
    deletions: int
    first: int  # first and last batch that it covers
    last: int
    raw: int  # bytes of operations
    blocks: int


class Hole(NamedTuple):
    """Keys from `begin` to before `end` (None: all above) whose values in a table can't be read."""

    table: str
    offset: int
    begin: bytes
    end: bytes | None
    why: str

    def covers(self, key: bytes) -> bool:
        return self.begin <= key and (self.end is None or key < self.end)


def name_of(number: int) -> str:
    return f"{number:08d}.table"


def build(port: Port, handle: int, head: Head, most: int, operations: Iterable[Operation]) -> Iterator[None]:
    """Write a table to a new file, a block a step. Nothing is flushed.

    most: an upper bound of the number of operations. Operations come sorted, each key once.
    """
    squeeze = zstandard.ZstdCompressor(level=LEVEL, write_checksum=False).compress
    data = frames.head_bytes(head)
    port.write(handle, 0, data)
    offset, chain = len(data), struct.unpack("<I", data[-4:])[0]
    seen, sketch, index, block = Filter.sized(most), Sketch(), [], []
    size = entries = deletions = raw = 0
    last_key = b""

    def put(kind: int, order: int, payload: bytes) -> None:
        nonlocal offset, chain
        squeezed = squeeze(payload)
        flags = frames.SQUEEZED if len(squeezed) < len(payload) else 0
        data, chain = frames.frame_bytes(kind, order, chain, squeezed if flags else payload, flags)
        port.write(handle, offset, data)
        offset += len(data)

    def close_block() -> None:
        nonlocal size, raw
        begun, payload = offset, frames.payload_of(block)
        put(frames.BLOCK, len(index), payload)
        key = block[0][0]
        index.append(ENTRY.pack(begun, offset - begun, len(block), len(key)) + key)
        size, raw = 0, raw + len(payload)
        block.clear()

    for operation in operations:
        key, value, _ = operation
        hashed = hash_of(key)
        seen.add(hashed)
        sketch.add(hashed)
        entries, deletions, last_key = entries + 1, deletions + (value is None), key
        size += frames.OVERHEAD + len(key) + len(value or b"")
        block.append(operation)
        if size >= BLOCK:
            close_block()
            yield None
    if block:
        close_block()
        yield None
    at_index = offset
    put(frames.INDEX, 0, b"".join(index) + ENTRY.pack(0, 0, 0, len(last_key)) + last_key)
    yield None
    at_filter, smallest = offset, sketch.smallest()
    put(frames.FILTER, 0, struct.pack(f"<I{len(smallest)}Q", len(smallest), *smallest) + bytes(seen.data))
    summary = Summary(at_index, at_filter, entries, deletions, head.first, head.prior, raw, len(index))
    data, _ = frames.frame_bytes(frames.FOOTER, 0, chain, SUMMARY.pack(*summary))
    port.write(handle, offset, data)
    yield None


def unpacked(frame: Frame) -> bytes:
    if not frame.flags & frames.SQUEEZED:
        return frame.payload
    try:
        return zstandard.ZstdDecompressor().decompress(frame.payload, max_output_size=frames.LONGEST_FRAME)
    except (zstandard.ZstdError, MemoryError) as problem:
        raise Spoilt(f"not unpacked: {problem}") from None


class Table:
    """One sorted table for reading. Opening reads its footer and index, no block, not the filter."""

    def __init__(self, port: Port, number: int) -> None:
        self.port, self.number, self.name = port, number, name_of(number)
        self.handle: int | None = None
        self.size, self.damaged = 0, ""  # damaged: why its ends had to be rebuilt, or its file is lost
        self.summary = Summary(0, 0, 0, 0, 0, 0, 0, 0)
        self.keys: list[bytes] = []
        self.blocks: list[tuple[int, int, int] | Hole] = []
        self.last_key: bytes = b""
        self.holes: list[Hole] = []
        self.cache: dict[int, list[Operation]] = {}
        self.pins, self.doomed = 0, False  # snapshots that read it; whether it goes once nobody does
        self._filter: Filter | None = None
        self._sketch: list[int] | None = None

    @classmethod
    def opened(cls, port: Port, number: int, store: bytes | None = None) -> "Table":
        """A table as its file tells it; raises Spoilt, OSError or frames.Newer."""
        table = cls(port, number)
        table.handle = port.open(table.name)
        try:
            table.size = port.size(table.handle)
            head = frames.head_of(port.read(table.handle, 0, frames.HEAD.size), frames.TABLE)
            if store is not None and head.store != store or head.number != number:
                raise Foreign("a file of another store, or under another's name")
            table._read_ends()
        except (Spoilt, OSError, frames.Newer):
            table.close()
            raise
        return table

    @classmethod
    def lost(cls, port: Port, number: int, why: str) -> "Table":
        """A table that can't be read at all: it hides everything that older ones say."""
        table = cls(port, number)
        table.damaged = why
        table._hole(0, b"", None, why)
        return table

    @classmethod
    def rebuilt(cls, port: Port, number: int, why: str) -> "Table":
        """A table whose head, index or footer is damaged: indexed anew by its blocks, with holes between."""
        table = cls(port, number)
        table.damaged, table.handle = why, port.open(table.name)
        table.size = port.size(table.handle)
        data = port.read(table.handle, 0, table.size)
        offset, last, order = frames.HEAD.size, b"", -1
        while offset < len(data):
            try:
                found = offset, frames.frame_at(data, offset)
            except Spoilt:
                found = frames.next_frame(data, offset, order)
            if not found or found[1].kind != frames.BLOCK:
                break
            begun, frame = found
            try:
                operations = frames.operations_of(unpacked(frame))
            except Spoilt:
                operations = []
            if not operations:
                break
            first = operations[0][0]
            if frame.number != order + 1:
                table._hole(offset, last + b"\0" if last else b"", first, why)
            table.keys.append(first)
            table.blocks.append((begun, frame.end - begun, len(operations)))
            last, order, offset = operations[-1][0], frame.number, frame.end
        try:
            index = frames.frame_at(data, offset)
            whole = index.kind == frames.INDEX
        except Spoilt:
            whole = False
        if not whole:
            table._hole(offset, last + b"\0" if last else b"", None, why)
        table.last_key = last
        entries = sum(block[2] for block in table.blocks if not isinstance(block, Hole))
        table.summary = table.summary._replace(entries=entries, blocks=len(table.blocks))
        table._sketch = []
        return table

    def _hole(self, offset: int, begin: bytes, end: bytes | None, why: str) -> None:
        hole = Hole(self.name, offset, begin, end, why)
        self.holes.append(hole)
        self.keys.append(begin)
        self.blocks.append(hole)

    def _frame(self, offset: int, size: int, kind: int) -> Frame:
        frame = frames.frame_at(self.port.read(self.handle, offset, size), 0)
        if frame.kind != kind:
            raise Spoilt(f"a frame of kind {frame.kind}, expected {kind}")
        return frame

    def _read_ends(self) -> None:
        footer = self._frame(self.size - FOOTER_SIZE, FOOTER_SIZE, frames.FOOTER)
        self.summary = Summary(*SUMMARY.unpack(footer.payload))
        summary = self.summary
        index = unpacked(self._frame(summary.index, summary.filter - summary.index, frames.INDEX))
        at = 0
        while at < len(index):
            offset, size, count, length = ENTRY.unpack_from(index, at)
            at += ENTRY.size + length
            self.keys.append(index[at - length : at])
            self.blocks.append((offset, size, count))
        self.last_key = self.keys.pop()
        self.blocks.pop()

    def _read_filter(self) -> None:
        size = self.size - FOOTER_SIZE - self.summary.filter
        data = unpacked(self._frame(self.summary.filter, size, frames.FILTER))
        (count,) = struct.unpack_from("<I", data)
        self._sketch = list(struct.unpack_from(f"<{count}Q", data, 4))
        self._filter = Filter(bytearray(data[4 + 8 * count :]))

    @property
    def sketch(self) -> list[int]:
        """The smallest hashes of its keys; none where the part of the file that holds them is damaged."""
        if self._sketch is None:
            try:
                self._read_filter()
            except (Spoilt, OSError):
                self._sketch = []
        return self._sketch

    def may_hold(self, key: bytes) -> bool:
        if self.holes:
            return True
        if not self.keys or key < self.keys[0] or key > self.last_key:
            return False
        if self._filter is None:
            try:
                self._read_filter()
            except (Spoilt, OSError):
                return True  # a damaged filter only costs time
        return hash_of(key) in self._filter

    def block(self, k: int) -> list[Operation] | Hole:
        """The operations of a block, or the hole that its damage leaves."""
        if (kept := self.cache.get(k)) is not None:
            return kept
        if isinstance(place := self.blocks[k], Hole):
            return place
        offset, size, count = place
        try:
            found = frames.operations_of(unpacked(self._frame(offset, size, frames.BLOCK)))
            if len(found) != count or found[0][0] != self.keys[k]:
                raise Spoilt("not the block that the index names")
        except (Spoilt, OSError) as problem:
            end = self.keys[k + 1] if k + 1 < len(self.keys) else self.last_key + b"\0"
            hole = Hole(self.name, offset, self.keys[k], end, str(problem))
            if hole not in self.holes:
                self.holes.append(hole)
            return hole
        while len(self.cache) >= CACHED:
            del self.cache[next(iter(self.cache))]
        self.cache[k] = found
        return found

    def get(self, key: bytes) -> Operation | Hole | None:
        if not self.may_hold(key):
            return None
        at = bisect_right(self.keys, key) - 1
        if at < 0:
            return None
        found = self.block(at)
        if isinstance(found, Hole):
            return found if found.covers(key) else None
        at = bisect_right(found, key, key=lambda operation: operation[0]) - 1
        return found[at] if at >= 0 and found[at][0] == key else None

    def scan(self, begin: bytes = b"", end: bytes | None = None) -> Iterator[Operation | Hole]:
        """Operations from begin to before end, in order; a hole in place of each damaged block."""
        for k in range(max(bisect_right(self.keys, begin) - 1, 0), len(self.keys)):
            if end is not None and self.keys[k] >= end:
                return
            found = self.block(k)
            if isinstance(found, Hole):
                yield found
                continue
            for operation in found:
                if operation[0] >= begin and (end is None or operation[0] < end):
                    yield operation

    def close(self) -> None:
        if self.handle is not None:
            self.port.close(self.handle)
        self.handle = None
        self.cache.clear()
