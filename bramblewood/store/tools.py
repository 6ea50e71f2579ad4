"""What the commands do with a folder: read it, check every byte, export, import, save what is sound.

Readings change nothing. One beside a running manager is done again where files went away under it.
"""

import os
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from . import frames, recovery
from .frames import Head, Operation, Spoilt
from .layers import merged
from .port import Folder
from .recovery import Refused
from .store import DAMAGE, Unreadable, after, alive, value_in
from .table import Hole, Table

TRIES = 5  # readings at most beside a manager that goes on; a merge ends in far less than one
PAUSE = 0.2  # s between them
AT_ONCE = 1000  # keys in one batch of an export or import
EXPORT = 5  # kind of an exported file

__all__ = ["Unreadable"]


class Unfit(Exception):
    """A file or folder that can't be used for what was asked; the text says why."""


class Sound(NamedTuple):
    pairs: list[Operation]
    lost: list[str]

    @property
    def count(self) -> int:
        return len(self.pairs)

    def batches(self) -> Iterator[list[Operation]]:
        for begin in range(0, len(self.pairs), AT_ONCE):
            yield self.pairs[begin : begin + AT_ONCE]


def must_be(folder: str) -> None:
    if not os.path.isdir(folder):
        raise Refused("no such folder")


def must_be_new(folder: str) -> None:
    if os.path.exists(folder) and (not os.path.isdir(folder) or os.listdir(folder)):
        raise Unfit(f"{folder}: expected a new folder, there is something already")


def reading(folder: str, what: Callable[[Folder], Any]) -> Any:
    """What a function makes of the folder; again where it looks damaged while a manager has it open."""
    must_be(folder)
    for left in reversed(range(TRIES)):
        port = Folder(folder, only_read=True)
        try:
            found = what(port)
            damaged = found.get("damaged") if isinstance(found, dict) else None
            if not damaged or not left or not in_use(folder):
                return found
        except (Refused, OSError):
            if not left or not in_use(folder):
                raise
        finally:
            port.release()
        time.sleep(PAUSE)


def in_use(folder: str) -> bool:
    """Whether some process has the folder open to write."""
    try:
        port = Folder(folder)
        free = port.lock()
    except OSError:
        return False
    port.release()
    return not free


def found_of(port: Folder) -> recovery.Found:
    found = recovery.read(port)
    if found is None:
        raise Refused("no store was ever made here")
    return found


def operations_of(port: Folder, prefix: bytes = b"", holes: list[Hole] | None = None) -> list[Operation]:
    found = found_of(port)
    now = max(found.at, time.time())
    return [
        op
        for op in merged(found.layers, prefix, after(prefix), holes)
        if alive(op, now) and not op[0].startswith(DAMAGE)
    ]


def pairs(port: Folder, prefix: bytes) -> list[tuple[bytes, bytes]]:
    return [(key, value) for key, value, _ in operations_of(port, prefix)]


def value(port: Folder, key: bytes) -> bytes | None:
    """The value of a key, None where there is none; raises Unreadable."""
    found = found_of(port)
    return value_in(found.layers, key, max(found.at, time.time()))


def sound(port: Folder) -> Sound:
    """All that is sound, with expiries, and what is not, in words."""
    found, holes = found_of(port), []
    kept = [op for op in merged(found.layers, holes=holes) if alive(op, max(found.at, time.time()))]
    lost = [str(damage) for damage in found.damages if not damage.kept]
    lost += [
        f"{hole.table} at {hole.offset}: keys from {hole.begin!r} to {hole.end!r}: {hole.why}"
        for hole in holes
    ]
    return Sound([op for op in kept if not op[0].startswith(DAMAGE)], lost)


def info(port: Folder) -> dict:
    found = found_of(port)
    tables = {
        table.name: f"{table.summary.entries} operations, {table.summary.deletions} of them deletions, "
        f"in {table.summary.blocks} blocks"
        for table in found.tables
    }
    files = []
    for name in port.names():
        size = os.stat(name, dir_fd=port.folder).st_size
        match = recovery.NAMES.fullmatch(name)
        kind = match[2] if match else "witness" if name == recovery.WITNESS else "other"
        holds = tables.get(name, "in use" if name in found.logs else "")
        files.append({"name": name, "kind": kind, "bytes": size, "holds": holds})
    manifest = found.manifest
    return {
        "version": frames.VERSION,
        "store": manifest.store.hex() if manifest else "",
        "generation": manifest.generation if manifest else 0,
        "batch": found.number,
        "promised": found.witness.number if found.witness else 0,
        "written": found.at,
        "keys in memory": len(found.held.operations),
        "tables": len(found.tables),
        "bytes": sum(file["bytes"] for file in files),
        "in use": in_use(port.path),
        "files": files,
    }


def check(port: Folder, progress: Callable) -> dict:
    """Every byte of every file that holds anything; each damaged record by file and offset."""
    found = found_of(port)
    damaged = [
        {"file": d.file, "offset": d.offset, "what": d.what, "lost": not d.kept} for d in found.damages
    ]
    for table in found.tables:
        damaged += [
            {"file": hole.table, "offset": hole.offset, "what": hole.why, "lost": True}
            for hole in blocks_of(table, progress)
            if not table.damaged
        ]
        if not table.damaged:
            damaged += rest_of(table)
    keys = sum(1 for op in merged(found.layers) if op[1] is not None)
    names = port.names()
    return {
        "damaged": damaged,
        "dropped": found.dropped,
        "strangers": found.strangers,
        "keys": keys,
        "files": len(names),
        "bytes": sum(os.stat(name, dir_fd=port.folder).st_size for name in names),
    }


def blocks_of(table: Table, progress: Callable) -> list[Hole]:
    for k in progress(range(len(table.keys)), table.name):
        table.block(k)
    return table.holes


def rest_of(table: Table) -> list[dict]:
    """Damage of a table's filter, which costs time and no data."""
    try:
        table._read_filter()
    except (Spoilt, OSError) as problem:
        return [
            {"file": table.name, "offset": table.summary.filter, "what": f"filter: {problem}", "lost": False}
        ]
    return []


def export(found: Iterable[Operation], path: str, progress: Callable) -> int:
    """All that lives as frames of one file, the last one empty; its name appears once it is on the disc."""
    count, number, batch = 0, 0, []
    beside = f"{path}.part"
    with open(beside, "wb") as file:
        head = frames.head_bytes(Head(EXPORT, bytes(16), 0))
        file.write(head)
        chain = int.from_bytes(head[-4:], "little")

        def put() -> None:
            nonlocal number, chain
            number += 1
            data, chain = frames.frame_bytes(frames.BATCH, number, chain, frames.payload_of(batch))
            file.write(data)

        for operation in progress(found, "exporting"):
            batch.append(operation)
            count += 1
            if len(batch) >= AT_ONCE:
                put()
                batch.clear()
        if batch:
            put()
            batch.clear()
        put()  # the empty one: without it the file was cut
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    return count


def exported(path: str) -> list[list[Operation]]:
    """The batches of an exported file; raises Unfit unless all of it is there and sound."""
    with open(path, "rb") as file:
        data = file.read()
    try:
        frames.head_of(data, EXPORT)
        batches, offset = [], frames.HEAD.size
        chain = int.from_bytes(data[offset - 4 : offset], "little")
        while True:
            frame = frames.frame_at(data, offset, chain)
            operations = frames.operations_of(frame.payload)
            if not operations:
                if frame.end != len(data):
                    raise Spoilt("something stands behind its end")
                return batches
            batches.append(operations)
            offset, chain = frame.end, frame.check
    except (Spoilt, frames.Newer) as problem:
        raise Unfit(f"{path}: {problem}") from None
