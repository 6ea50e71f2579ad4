"""What a folder holds after whatever befell it. Reads only; what is done about it is the store's.

Three things are told apart: a tail that was never promised (dropped), promised data that is damaged or
missing (named, by file and offset), and files of a later version (refused, untouched).
"""

import re
import struct
from typing import NamedTuple

from . import frames
from .frames import Foreign, Head, Newer, Spoilt, Witness
from .layers import Held
from .port import Port
from .table import Table, name_of

WITNESS = "witness"
Log = tuple[int, bytes, Head | None]  # number, bytes, and the head unless that is damaged
LISTED = struct.Struct("<QQQdI")  # of a manifest: next number, sealed batch, first log, time, tables
LISTED_TABLE = struct.Struct("<QQQQQ")  # number, size, operations, first batch, last batch
NAMES = re.compile(r"(\d{8})\.(log|table|manifest)")


class Refused(Exception):
    """The folder can't be used as it is; the text says why, and nothing in it was changed."""


class Damage(NamedTuple):
    """Something that was promised and is not as it was, or, if `kept`, only its second copy is."""

    file: str
    offset: int
    what: str
    kept: bool = False  # nothing is lost by it

    def __str__(self) -> str:
        return f"{self.file} at {self.offset}: {self.what}" + (" (nothing lost)" if self.kept else "")


class Manifest(NamedTuple):
    store: bytes
    generation: int
    next_number: int  # of files
    sealed: int  # batches up to this one are in tables
    first_log: int  # logs from this one on are read
    at: float  # s, when it was written
    tables: tuple[tuple[int, int, int, int, int], ...]


class End(NamedTuple):
    """Where the sound part of a log ends."""

    log: int
    end: int
    chain: int


class Found(NamedTuple):
    manifest: Manifest | None
    witness: Witness | None
    tables: list[Table]  # oldest first
    held: Held  # what the logs tell beyond the tables
    number: int  # the last batch
    end: End | None
    at: float  # s, the latest time that the folder knows
    next_number: int
    logs: list[str]  # names of those that were read
    damages: list[Damage]
    dropped: list[str]  # what was never promised
    strangers: list[str]  # files that are none of the store's
    spent: list[str]  # its files that nothing needs any more
    spoilt: list[str]  # damaged files whose sound part is in `held` or in another file
    slot: int = 1  # which of the two witnesses holds

    @property
    def layers(self) -> list:
        """What is read as one, newest first."""
        return [self.held, *reversed(self.tables)]


def manifest_name(generation: int) -> str:
    return f"{generation:08d}.manifest"


def log_name(number: int) -> str:
    return f"{number:08d}.log"


def manifest_bytes(manifest: Manifest) -> bytes:
    head = frames.head_bytes(Head(frames.MANIFEST, manifest.store, manifest.generation))
    payload = LISTED.pack(
        manifest.next_number, manifest.sealed, manifest.first_log, manifest.at, len(manifest.tables)
    )
    payload += b"".join(LISTED_TABLE.pack(*table) for table in manifest.tables)
    (chain,) = struct.unpack("<I", head[-4:])
    return head + frames.frame_bytes(frames.LISTING, manifest.generation, chain, payload)[0]


def manifest_of(data: bytes, generation: int) -> Manifest:
    head = frames.head_of(data, frames.MANIFEST)
    frame = frames.frame_at(data, frames.HEAD.size)
    if head.number != generation or frame.kind != frames.LISTING or frame.end != len(data):
        raise Spoilt("not the manifest that its name says")
    *fields, count = LISTED.unpack_from(frame.payload)
    tables = tuple(
        LISTED_TABLE.unpack_from(frame.payload, LISTED.size + k * LISTED_TABLE.size) for k in range(count)
    )
    return Manifest(head.store, generation, *fields, tables)


def whole(port: Port, name: str) -> bytes:
    handle = port.open(name)
    try:
        return port.read(handle, 0, port.size(handle))
    finally:
        port.close(handle)


class Reading:
    """One reading of a folder."""

    def __init__(self, port: Port) -> None:
        self.port, self.damages, self.dropped, self.spoilt = port, [], [], []
        self.by_kind: dict[str, dict[int, str]] = {"log": {}, "table": {}, "manifest": {}}
        self.strangers, self.has_witness = [], False
        for name in port.names():
            if match := NAMES.fullmatch(name):
                self.by_kind[match[2]][int(match[1])] = name
            elif name == WITNESS:
                self.has_witness = True
            else:
                self.strangers.append(name)
        self.slot = 1

    def damage(self, file: str, offset: int, what: str, kept: bool = False) -> None:
        self.damages.append(Damage(file, offset, what, kept))

    def refuse_newer(self) -> None:
        """Before anything else: a file of a later version means that nothing here is ours to judge."""
        kinds = {"log": frames.LOG, "table": frames.TABLE, "manifest": frames.MANIFEST}
        for kind, names in self.by_kind.items():
            for name in names.values():
                self._look(name, kinds[kind])
        if self.has_witness:
            self._look(WITNESS, frames.WITNESS)

    def _look(self, name: str, kind: int) -> None:
        try:
            handle = self.port.open(name)
        except OSError:
            return  # met again where it is needed
        try:
            frames.begins(self.port.read(handle, 0, frames.FIRST + 4), kind)
        except Newer as problem:
            raise Refused(f"{name}: {problem}") from None
        except (Spoilt, OSError):
            pass
        finally:
            self.port.close(handle)

    def witness(self) -> Witness | None:
        """The later of the two that are sound."""
        found = []
        try:
            data = whole(self.port, WITNESS) if self.has_witness else b""
        except OSError as problem:
            data = b""
            self.damage(WITNESS, 0, f"can't be read: {problem.strerror}", kept=True)
        for slot, offset in enumerate(frames.SLOT_AT):
            try:
                found.append((frames.witness_of(data[offset : offset + frames.SLOT.size]), slot))
            except Spoilt as problem:
                if any(data[offset : offset + frames.SLOT.size]):
                    self.damage(WITNESS, offset, f"{problem}; the other copy holds", kept=True)
        best, self.slot = max(found, key=lambda witness: witness[0].count, default=(None, 1))
        return best

    def manifest(self, witness: Witness | None) -> Manifest | None:
        for generation in sorted(self.by_kind["manifest"], reverse=True):
            name = self.by_kind["manifest"][generation]
            try:
                found = manifest_of(whole(self.port, name), generation)
            except (Spoilt, OSError) as problem:
                if witness is None or witness.generation >= generation:
                    self.damage(name, 0, f"{problem}; the one before it holds", kept=True)
                else:
                    self.dropped.append(f"{name}: never promised ({problem})")
                self.spoilt.append(name)
                continue
            if witness and witness.store == found.store and witness.generation > generation:
                self.damage(manifest_name(witness.generation), 0, "missing; the one before it holds", True)
            return found
        return None

    def table(self, number: int, size: int, entries: int, store: bytes) -> Table:
        name = name_of(number)
        if number not in self.by_kind["table"]:
            self.damage(name, 0, f"missing, with {entries} operations")
            return Table.lost(self.port, number, "the file is missing")
        try:
            found = Table.opened(self.port, number, store)
            if found.summary.entries != entries or found.size != size:
                found.close()
                raise Foreign("not the table that the manifest lists")
            return found
        except (OSError, Foreign) as problem:
            self.damage(name, 0, f"can't be used: {problem}")
            return Table.lost(self.port, number, str(problem))
        except Spoilt as problem:
            try:
                found = Table.rebuilt(self.port, number, str(problem))
            except OSError as worse:
                self.damage(name, 0, f"can't be used: {worse}")
                return Table.lost(self.port, number, str(worse))
            kept = not found.holes and found.summary.entries == entries
            self.damage(
                name,
                found.holes[0].offset if found.holes else 0,
                f"{problem}; {entries} operations listed, {found.summary.entries} read by its blocks",
                kept,
            )
            return found

    def tables(self, manifest: Manifest | None) -> list[Table]:
        if manifest:
            return [
                self.table(number, size, entries, manifest.store)
                for number, size, entries, _, _ in manifest.tables
            ]
        found = []  # no manifest at all: the tables that cover most, each batch once
        for number in sorted(self.by_kind["table"]):
            try:
                found.append(Table.opened(self.port, number))
            except (Spoilt, OSError):
                self.dropped.append(f"{name_of(number)}: no whole table, and no manifest lists it")
        taken: list[Table] = []
        for table in sorted(found, key=lambda t: (t.summary.first - t.summary.last, -t.number)):
            if any(
                table.summary.first <= other.summary.last and other.summary.first <= table.summary.last
                for other in taken
            ):
                table.close()
            else:
                taken.append(table)
        return sorted(taken, key=lambda table: table.summary.first)

    def heads(self, first: int, store: bytes, witness: Witness | None) -> list["Log"]:
        """The logs from the first needed on, with their bytes; None for a head that is damaged."""
        found = []
        for number in sorted(n for n in self.by_kind["log"] if n >= first):
            name = self.by_kind["log"][number]
            try:
                data = whole(self.port, name)
                head = frames.head_of(data, frames.LOG)
                if head.number != number or store and head.store != store:
                    raise Foreign("a file of another store, or under another's name")
            except (Spoilt, OSError) as problem:
                if witness and witness.log < number:
                    self.dropped.append(f"{name}: begun and never promised ({problem})")
                    self.spoilt.append(name)
                    continue
                data = b"" if isinstance(problem, OSError | Foreign) else data
                head = None
                self.damage(name, 0, str(problem))
                self.spoilt.append(name)
            found.append((number, data, head))
        return self.linked(found)

    def linked(self, found: list["Log"]) -> list["Log"]:
        """Those that lead to the last one; one that was given up after a failed flush is in no chain."""
        kept, due = [], None
        for log in reversed(found):
            if due is not None and log[0] > due and log[2]:
                self.dropped.append(f"{log_name(log[0])}: given up, what it holds was written again")
                continue
            kept.append(log)
            due = log[2].prior if log[2] else None
        return kept[::-1]

    def logs(
        self, first: int, sealed: int, store: bytes, witness: Witness | None, fresh_first: bool
    ) -> tuple[Held, int, End | None, list[str]]:
        held, last, names, end = Held(), sealed, [], None
        logs = self.heads(first, store, witness)
        if logs and logs[0][2] and logs[0][2].prior >= first:
            self.damage(log_name(logs[0][2].prior), 0, "missing: the next log names it")
        if not logs and not fresh_first:
            self.damage(log_name(first), 0, "missing")
        for k, (number, data, head) in enumerate(logs):
            name, after = log_name(number), logs[k + 1] if k + 1 < len(logs) else None
            names.append(name)
            promised, limit = frames.HEAD.size, len(data)
            if after and after[2]:
                if after[2].prior == number:
                    promised = limit = after[2].prior_end
                elif after[2].prior > number:
                    self.damage(log_name(after[2].prior), 0, "missing: the next log names it")
            elif not after and witness:
                promised = witness.end if witness.log == number else promised
            elif not after:
                promised = -1
            last, chain, at = self._walk(name, data, head, promised, limit, held, last, sealed)
            end = End(number, at, chain)
            if promised == -1:
                self.damage(WITNESS, 0, f"missing: nothing proves that {name} ends at {at}")
            if after and after[2] and after[2].prior == number and after[2].chain != chain:
                if not any(d.file == name and not d.kept for d in self.damages):
                    self.damage(name, at, "another log than the one that the next was written after")
                    self.spoilt.append(name)
        if witness and (end is None or witness.log > end.log):
            if witness.log >= first:
                self.damage(log_name(witness.log), 0, f"missing, promised up to batch {witness.number}")
        if witness and witness.number > last and not any(not d.kept for d in self.damages):
            self.damage(log_name(witness.log), 0, f"ends with batch {last}, promised up to {witness.number}")
        return held, max(last, witness.number if witness else 0), end, names

    def _walk(
        self,
        name: str,
        data: bytes,
        head: Head | None,
        promised: int,
        limit: int,
        held: Held,
        last: int,
        sealed: int,
    ) -> tuple[int, int, int]:
        """Apply the batches of one log; the last batch, its checksum, and where the sound part ends."""
        offset = frames.HEAD.size
        chain = struct.unpack_from("<I", data, offset - 4)[0] if head else None
        if head and promised >= 0 and head.first > last + 1:
            self.damage(name, offset, f"batches {last + 1} to {head.first - 1} are missing before it")
        while offset < limit:
            try:
                frame = frames.frame_at(data, offset, chain)
            except Spoilt as problem:
                if promised != -1 and offset >= promised:
                    rest = len(data[offset:limit].rstrip(b"\0"))
                    if rest:
                        self.dropped.append(f"{name} at {offset}: {rest} bytes never promised ({problem})")
                    break
                if promised == -1:
                    break
                found = frames.next_frame(data[:limit], offset + 1, last)
                upto = f"to {found[1].number - 1}" if found else "and all that follow"
                lost = f"batches from {last + 1} {upto} lost"
                self.damage(name, offset, f"{problem}; {lost}")
                self.spoilt.append(name)
                if not found:
                    return last, 0, offset
                offset, frame = found
                last, chain = frame.number - 1, None
                continue
            try:
                if frame.kind != frames.BATCH:
                    raise Spoilt(f"a frame of kind {frame.kind}")
                operations = frames.operations_of(frame.payload)
            except Spoilt as problem:  # written so, by a defect: its checksum is right
                self.damage(name, offset, f"{problem}; batch {frame.number} lost")
                self.spoilt.append(name)
                operations = []
            if frame.number > sealed:
                held.put(operations, len(frame.payload))
            last, chain, offset = max(frame.number, last), frame.check, frame.end
        if promised > offset and not any(d.file == name and not d.kept for d in self.damages):
            self.damage(name, offset, f"ends here, promised up to {promised}")
            self.spoilt.append(name)
        return last, chain or 0, offset


def read(port: Port) -> Found | None:
    """All that the folder holds, or None where no store was ever made. Raises Refused; changes nothing."""
    reading = Reading(port)
    try:
        reading.refuse_newer()
        witness = reading.witness()
        manifest = reading.manifest(witness)
        if manifest and witness and witness.store != manifest.store:
            reading.damage(WITNESS, 0, "of another store")
            witness = None
        if (
            manifest is None
            and (witness is None or not witness.number)
            and not reading.by_kind["table"]
            and (not has_batches(reading))
        ):
            return None  # never made, or its making was cut short: nothing was promised
        return _read(reading, witness, manifest)
    except OSError as problem:
        raise Refused(f"{problem.filename or 'the folder'}: {problem.strerror}") from None


def has_batches(reading: Reading) -> bool:
    """Whether any log of a folder without manifest and witness holds more than its head."""
    return any(len(whole(reading.port, name)) > frames.HEAD.size for name in reading.by_kind["log"].values())


def _read(reading: Reading, witness: Witness | None, manifest: Manifest | None) -> Found:
    if manifest is None:
        reading.damage(
            manifest_name(witness.generation if witness else 0),
            0,
            "no manifest can be read; tables are taken by what they cover",
        )
    if witness is None:
        reading.damage(WITNESS, 0, "no witness can be read", kept=True)
    tables = reading.tables(manifest)
    store = manifest.store if manifest else witness.store if witness else b""
    if manifest:
        first, sealed = manifest.first_log, manifest.sealed
    else:
        first, sealed = 0, max((table.summary.last for table in tables), default=0)
    held, number, end, logs = reading.logs(
        first, sealed, store, witness, manifest is not None and witness is not None and witness.log < first
    )
    numbers = [n for names in reading.by_kind.values() for n in names]
    before = manifest.generation - 1 if manifest else 0
    needed = {name_of(table.number) for table in tables} | set(logs)
    if manifest:
        needed |= {manifest_name(manifest.generation), manifest_name(before)}
        try:
            older = manifest_of(whole(reading.port, manifest_name(before)), before)
            needed |= {name_of(number) for number, *_ in older.tables}
            needed |= {log_name(n) for n in reading.by_kind["log"] if n >= older.first_log}
        except (Spoilt, OSError):
            pass  # what an unreadable one before the newest needed is not known, and not needed
    spent = (
        [
            name
            for names in reading.by_kind.values()
            for name in names.values()
            if name not in needed and name not in reading.spoilt
        ]
        if manifest
        else []
    )
    return Found(
        manifest,
        witness,
        tables,
        held,
        number,
        end,
        max(manifest.at if manifest else 0.0, witness.at if witness else 0.0),
        max([manifest.next_number if manifest else 1, *(n + 1 for n in numbers)]),
        logs,
        reading.damages,
        reading.dropped,
        reading.strangers,
        spent,
        list(dict.fromkeys(reading.spoilt)),
        reading.slot,
    )
