"""The store: batches written together, promised by a flush, read in order; sealed and merged in steps.

A batch is applied to what is read at once; it is promised when its number is at or below `promised`. Times
are handed in; the latest one seen holds, so a clock that is set back makes nothing expired come back.
"""

import os
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from . import frames, plan, recovery
from .flush import FOLDER, Flusher, InLoop
from .frames import Head, Operation, Spoilt, Witness
from .layers import Held, found_in, merged
from .port import Port
from .recovery import Damage, Manifest, Refused, log_name, manifest_name
from .table import Hole, Table, build, name_of

SPOILT = ".damaged"  # what is put behind the name of a file that is set aside
WITNESS_AFTER = 1.0  # s at most that a promise's second witness itself may be lost with the power
UNPROMISED = 8 << 20  # bytes that wait for a promise, above which they are folded to one batch
CLOSING, CLOSING_WAIT = 8, 0.025  # looks, and s for each, at a stop that waits for a flush: 0.4 s at most
LAYERS = 8  # of memory, above which those below the newest are joined: reads ask each in turn
DAMAGE = b"\0damage\0"  # before the time, key of a damage that was found and healed; the value says what
WAITING = "waiting"  # what a step of background work yields while a flush is out
MS = 1000.0


class Unreadable(Exception):
    """A key whose value is damaged on the disc; the text names file and offset."""


class Notice(NamedTuple):
    """Something for the people on call: a few words, and what it concerns."""

    what: str
    more: dict


class Waiting(NamedTuple):
    """A batch that is not promised yet."""

    number: int
    payload: bytes


class Snapshot:
    """All keys as they stood when it was taken, whatever is written since. close() lets files go."""

    def __init__(self, store: "Store", layers: list, at: float) -> None:
        self.store, self.layers, self.at, self.number = store, layers, at, store.number
        self.holes: list[Hole] = []
        for layer in layers:
            layer.pins += 1

    def get(self, key: bytes) -> bytes | None:
        """The value of a key, None where there is none; raises Unreadable."""
        return value_in(self.layers, key, self.at)

    def scan(self, prefix: bytes = b"", begin: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Keys with this prefix, from begin on, and their values, in order.

        Damaged blocks are passed over; after the scan they stand in `holes`.
        """
        for found in merged(self.layers, max(prefix, begin), after(prefix), self.holes):
            if alive(found, self.at):
                yield found[0], found[1]

    def close(self) -> None:
        layers, self.layers = self.layers, []
        for layer in layers:
            layer.pins -= 1
            if isinstance(layer, Table) and layer.doomed and not layer.pins:
                layer.close()

    def __enter__(self) -> "Snapshot":
        return self

    def __exit__(self, *_) -> None:
        self.close()


def after(prefix: bytes) -> bytes | None:
    """The first key behind all with this prefix; None where there is none."""
    bare = prefix.rstrip(b"\xff")
    return bare[:-1] + bytes([bare[-1] + 1]) if bare else None


def alive(operation: Operation, at: float) -> bool:
    return operation[1] is not None and (not operation[2] or operation[2] > at * MS)


def value_in(layers: list, key: bytes, at: float) -> bytes | None:
    """The value of a key in layers, newest first, at that time; None if there is none; raises Unreadable."""
    found = found_in(layers, key)
    if isinstance(found, Hole):
        raise Unreadable(f"{found.table} at {found.offset}: {found.why}")
    return found[1] if found and alive(found, at) else None


class Store:
    """Opens a folder, made where it is new. Raises Refused; OSError where the disc refuses from the start."""

    def __init__(
        self,
        port: Port,
        clock: Callable[[], float],
        flusher: Flusher | None = None,
        new_id: Callable[[], bytes] = lambda: os.urandom(16),
        must_exist: bool = False,
    ) -> None:
        self.port, self.clock, self.flusher = port, clock, flusher or InLoop(port)
        self.notices: deque[Notice] = deque(maxlen=64)
        self.waiting: deque[Waiting] = deque()  # not written to a log yet
        self.flying: deque[Waiting] = deque()  # written, its flush not done
        self.flight: int | None = None  # the flush of a log that is out
        self.witness_flight: int | None = None
        self.finished: dict[int, str | None] = {}  # of other flushes: how they ended
        self.failures, self.retry_at, self.trouble = 0, 0.0, ""
        self.log: int | None = None  # handle of the log that is written
        self.old_logs: list[tuple[int, str]] = []  # logs that the next seal makes void
        self.spent: list[tuple[int, str]] = []  # (generation that needs it no more, name)
        self.background: Iterator | None = None
        self.considered: list[Table] | None = None  # the tables that were looked at for a merge, in vain
        self.written_bytes = 0  # by this process, all files
        if not port.lock():
            raise Refused("another process has the folder open")
        try:
            found = recovery.read(port)
            if found is None:
                self.damages = [Damage("", 0, "the store that had to be here is gone")] if must_exist else []
                self._create(new_id())
            else:
                self._take(found)
        except BaseException:
            port.release()
            raise

    # --- opening ------------------------------------------------------------------------------------

    def _create(self, store: bytes) -> None:
        for name in self.port.names():
            if recovery.NAMES.fullmatch(name) or name == recovery.WITNESS:
                self.port.remove(name)  # of a creation that was cut short: nothing was ever promised
        self.store, self.number, self.promised, self.latest = store, 0, 0, self.clock()
        self.held, self.frozen, self.tables, self.end = Held(), [], [], None
        self.manifest = Manifest(store, 0, 1, 0, 1, self.latest, ())
        self.dropped: list[str] = []
        self.witness = Witness(store, 0, 0, 0, 0, 0, 0, self.latest)
        self._open_witness()
        self._put_witness()
        self._flush_witness()
        self.port.flush_folder()
        for _ in range(2):  # two, so that the loss of one is none
            self._write_manifest()
        self.fresh = True

    def _take(self, found: recovery.Found) -> None:
        """Go on from what was found; what had to be rebuilt is made lasting before anything is set aside."""
        self.fresh, self.damages, self.dropped = False, found.damages, found.dropped
        self.held, self.frozen, self.tables = found.held, [], found.tables
        self.number = self.promised = found.number
        self.latest, self.end = max(found.at, self.clock()), found.end
        generations = [int(name[:8]) for name in self.port.names() if name.endswith(".manifest")]
        generation = max([0, *generations, found.witness.generation if found.witness else 0])
        store = (
            found.manifest.store
            if found.manifest
            else found.witness.store
            if found.witness
            else (os.urandom(16))
        )
        first_log = found.manifest.first_log if found.manifest else 0
        self.manifest = (found.manifest or Manifest(store, generation, 1, 0, 0, self.latest, ()))._replace(
            next_number=found.next_number, generation=generation, first_log=first_log
        )
        self.store = store
        witness = found.witness or Witness(store, 0, generation, 0, 0, 0, 0, self.latest)
        self.witness = witness._replace(store=store)
        self._open_witness(found.slot)
        for name in found.spent:
            self.port.remove(name)
        ended = any(not damage.kept and not damage.file.endswith(".table") for damage in found.damages)
        if not ended and not found.spoilt and found.manifest and found.manifest.generation == generation:
            if found.end and found.logs:
                handle = self.port.open(log_name(found.end.log))
                try:
                    self.port.flush(handle)  # read from the cache, it may not be on the disc yet
                finally:
                    self.port.close(handle)
                self._witness_end()
                self._put_witness()
            self.old_logs = [(int(name[:8]), name) for name in found.logs]
            before = manifest_name(generation - 1)
            if before in self.port.names():
                self.spent.append((generation + 1, before))
            needed = {name_of(table.number) for table in self.tables} | {recovery.WITNESS, *found.logs}
            needed |= {manifest_name(generation), before}
            self.spent += [
                (generation + 1, name)
                for name in self.port.names()
                if recovery.NAMES.fullmatch(name) and name not in needed
            ]
            return
        self._heal(found)

    def _heal(self, found: recovery.Found) -> None:
        """Write what is sound of damaged logs to a table, list it, then set the damaged files aside."""
        lost = [str(damage) for damage in found.damages if not damage.kept]
        if lost:  # told again at the next start too, till whoever reads it has acted on it
            what = DAMAGE + b"%020d" % int(self.latest * MS), "; ".join(lost).encode(), 0
            self.held.put([what], len(what[1]))
        self.manifest = self.manifest._replace(first_log=self.manifest.next_number)
        if self.held.operations:
            self.frozen, self.held = [self.held], Held()
            for _ in self._seal():
                pass
        self.manifest = self.manifest._replace(sealed=self.number)
        self.end = None
        self.witness = self.witness._replace(log=0, end=0, number=self.number, chain=0)
        self._put_witness()
        self._flush_witness()
        for _ in range(2):
            self._write_manifest()
        for name in dict.fromkeys([*found.spoilt, *found.logs]):
            if name in found.spoilt and name in self.port.names():
                self.port.rename(name, self._aside(name))
            elif name in self.port.names():
                self.port.remove(name)
        for name in self.port.names():  # manifests that could not be read, or are older than two
            match = recovery.NAMES.fullmatch(name)
            if match and match[2] == "manifest" and int(match[1]) < self.manifest.generation - 1:
                self.port.remove(name)
        self.spent = [(self.manifest.generation + 1, manifest_name(self.manifest.generation - 1))]
        self.port.flush_folder()

    def _aside(self, name: str) -> str:
        names, k = set(self.port.names()), 0
        while f"{name}{SPOILT}-{k}" in names:
            k += 1
        return f"{name}{SPOILT}-{k}"

    def _open_witness(self, slot: int = 1) -> None:
        create = recovery.WITNESS not in self.port.names()
        self.witness_handle = self.port.open(recovery.WITNESS, create)
        self.witness_dirty = self.witness_late = False
        self.witness_flushed, self.witness_slot = self.latest, 1 - slot if create else slot
        if not create:
            self._flush_witness()  # what was read may be in the cache alone; then the other is written

    # --- writing ------------------------------------------------------------------------------------

    def time(self) -> float:
        """The latest time seen; a clock set back does not move it."""
        self.latest = max(self.latest, self.clock())
        return self.latest

    def write(self, operations: Iterable[Operation]) -> int:
        """Apply one batch; its number. It is lasting once `promised` reaches that number.

        operations: tuples of key, value or None to delete, expiry in ms of unix time or 0. ValueError for no
        operation, an empty key, too long a key or batch.
        """
        operations = list(operations)
        last = {operation[0]: operation for operation in operations}
        payload, longest = frames.payload_of(operations), max(map(len, last), default=0)
        if not 0 < longest <= frames.LONGEST_KEY or b"" in last or len(payload) > frames.LONGEST_BATCH:
            raise ValueError(f"a batch of {len(payload)} bytes, its longest key of {longest}")
        self.number += 1
        self.held.take(last, len(payload))
        self.waiting.append(Waiting(self.number, payload))
        return self.number

    def put(self, key: bytes, value: bytes, expiry: float = 0.0) -> int:
        """One value, with the unix time in s after which it no longer counts (0: never)."""
        return self.write([(key, value, int(expiry * MS))])

    def delete(self, key: bytes) -> int:
        return self.write([(key, None, 0)])

    def commit(self) -> None:
        """Write what waits and begin its flush, unless one is out: then it goes with the next."""
        self.poll()
        if not self.waiting or self.flight is not None:
            return
        if self.trouble and self.time() < self.retry_at:
            self._fold()
            return
        flushes = []
        try:
            if self.log is None or plan.log_full(self.log_end):
                self._begin_log()
                flushes.append((FOLDER, None))
            parts, chain = [], self.log_chain
            for waiting in self.waiting:
                data, chain = frames.frame_bytes(frames.BATCH, waiting.number, chain, waiting.payload)
                parts.append(data)
            data = b"".join(parts)
            self.port.write(self.log, self.log_end, data)
        except OSError as problem:
            self._failed(problem.strerror or str(problem))
            return
        self.written_bytes += len(data)
        self.log_end, self.log_chain = self.log_end + len(data), chain
        self.flying, self.waiting = self.waiting, deque()
        flushes.insert(0, (log_name(self.log_number), self.log))
        self.flight = self.flusher.begin(flushes)
        self.poll()

    def poll(self) -> None:
        """Take in the flushes that are done; called each turn, and when the flusher has something to tell."""
        for token, problem in self.flusher.done():
            if token == self.flight:
                self.flight = None
                if problem:
                    self._failed(problem)
                else:
                    self._promise()
            elif token == self.witness_flight:
                self.witness_flight = None
                self._witness_lasts(problem)
            else:
                self.finished[token] = problem
        now = self.time()
        if (
            self.witness_dirty
            and self.witness_flight is None
            and (now >= self.witness_flushed + WITNESS_AFTER)
        ):
            self.witness_flushed = now
            self.witness_flight = self.flusher.begin([(recovery.WITNESS, self.witness_handle)])

    def _promise(self) -> None:
        self.promised = self.flying[-1].number
        self.flying.clear()
        self.end = recovery.End(self.log_number, self.log_end, self.log_chain)
        self._witness_end()
        try:
            self._put_witness()
        except OSError as problem:
            self.notices.append(Notice("witness not written", {"why": problem.strerror}))
        if self.trouble:
            self.notices.append(Notice("store writes again", {"after_failures": self.failures}))
            self.trouble, self.failures = "", 0

    def _witness_end(self) -> None:
        if self.end:
            self.witness = self.witness._replace(
                log=self.end.log, end=self.end.end, number=self.promised, chain=self.end.chain
            )

    def _put_witness(self) -> None:
        """Write it over the one of two that was not flushed last: a torn one must leave the other."""
        self.witness = self.witness._replace(count=self.witness.count + 1, at=self.latest)
        self.witness_late = self.witness_flight is not None  # then once that flush is done
        if not self.witness_late:
            data = frames.witness_bytes(self.witness)
            self.port.write(self.witness_handle, frames.SLOT_AT[self.witness_slot], data)
            self.witness_dirty = True
            self.written_bytes += len(data)

    def _witness_lasts(self, problem: str | None) -> None:
        if problem is None:
            self.witness_slot, self.witness_dirty = 1 - self.witness_slot, False
        if self.witness_late:
            self._put_witness()

    def _flush_witness(self) -> None:
        self.port.flush(self.witness_handle)
        self._witness_lasts(None)

    def _begin_log(self) -> None:
        """Begin the next log, tied to the promised end of the one before."""
        number = self.manifest.next_number
        self.manifest = self.manifest._replace(next_number=number + 1)
        prior = self.end or recovery.End(0, 0, 0)
        head = Head(frames.LOG, self.store, number, self.promised + 1, prior.log, prior.end, prior.chain)
        data = frames.head_bytes(head)
        handle = self.port.open(log_name(number), create=True)
        try:
            self.port.write(handle, 0, data)
        except OSError:
            self.port.close(handle)
            self._try_remove(log_name(number))
            raise
        if self.log is not None:
            self.port.close(self.log)
        self.log, self.log_number, self.log_end = handle, number, len(data)
        self.log_chain = int.from_bytes(data[-4:], "little")
        self.old_logs.append((number, log_name(number)))
        self.written_bytes += len(data)

    def _failed(self, problem: str) -> None:
        """A log whose write or flush failed is given up: pages may be gone, no second flush is believed."""
        self.waiting.extendleft(reversed(self.flying))
        self.flying.clear()
        if self.log is not None:
            self.port.close(self.log)
            self.log = None
            if self.end is None or self.end.log != self.log_number:  # nothing in it was ever promised
                self._try_remove(log_name(self.log_number))
        self.failures += 1
        self.retry_at = self.time() + plan.wait_after(self.failures)
        if not self.trouble:
            self.notices.append(Notice("store can't write", {"why": problem}))
        self.trouble = problem

    def _fold(self) -> None:
        """What waits for long is folded to one batch, each key's last operation."""
        if sum(len(waiting.payload) for waiting in self.waiting) <= UNPROMISED or len(self.waiting) < 2:
            return
        last: dict[bytes, Operation] = {}
        for waiting in self.waiting:
            for operation in frames.operations_of(waiting.payload):
                last[operation[0]] = operation
        self.waiting = deque([Waiting(self.waiting[-1].number, frames.payload_of(list(last.values())))])

    def _try_remove(self, name: str) -> None:
        try:
            self.port.remove(name)
        except OSError:
            pass  # it goes at a later start
        self.old_logs = [log for log in self.old_logs if log[1] != name]

    # --- reading ------------------------------------------------------------------------------------

    def layers(self) -> list:
        return [self.held, *self.frozen, *reversed(self.tables)]

    def get(self, key: bytes) -> bytes | None:
        """The value of a key as it stands, promised or not; None where there is none; raises Unreadable."""
        return value_in(self.layers(), key, self.time())

    def snapshot(self) -> Snapshot:
        """All keys as they stand; it costs no copy."""
        if self.held.operations:
            self.frozen.insert(0, self.held)
            self.held = Held()
            if len(self.frozen) > LAYERS and not self.background:
                joined = Held()
                for layer in reversed(self.frozen):
                    joined.put(layer.operations.values(), layer.size)
                self.frozen = [joined]
        return Snapshot(self, self.layers()[1:], self.time())

    def scan(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes]]:
        """Keys with this prefix and their values, in order, as they stand at the call."""
        snapshot = self.snapshot()

        def scanned() -> Iterator[tuple[bytes, bytes]]:
            with snapshot:
                yield from snapshot.scan(prefix)

        return scanned()

    # --- background work ----------------------------------------------------------------------------

    def work(self) -> Iterator | None:
        """The next piece of background work that is due, as steps to be run when there is time, or None.

        A step yields WAITING while it waits for a flush. Only one piece is given out at a time.
        """
        if self.background or self.trouble or self.time() < self.retry_at:
            return None
        size = self.held.size + sum(layer.size for layer in self.frozen)
        if plan.seal_due(size, len(self.old_logs)) and not self.waiting:
            self.background = self._guarded(self._seal_now())
        elif self.tables is not self.considered:
            self.considered = self.tables  # the list is made anew whenever a table comes or goes
            if run := plan.merge([self._planned(table) for table in self.tables]):
                self.background = self._guarded(self._merge(*run))
        return self.background

    def _planned(self, table: Table) -> plan.Table:
        deletions = table.summary.deletions
        return plan.Table(
            table.number, table.size, table.summary.entries, deletions, not table.holes, tuple(table.sketch)
        )

    def compact(self) -> Iterator:
        """Seal what is in memory and merge all that is sound, in steps."""
        if self.held.operations or self.frozen:
            yield from self._seal_now()
        for first, last in reversed(plan.sound_runs([self._planned(table) for table in self.tables])):
            if last - first > 1 or first == 0 and self.tables[first].summary.deletions:
                yield from self._merge(first, last)

    def _guarded(self, steps: Iterator) -> Iterator:
        """Background work that fails is told and tried again later; nothing that was promised rests on it."""
        try:
            yield from steps
        except OSError as problem:
            self.failures += 1
            self.retry_at = self.time() + plan.wait_after(self.failures)
            self.notices.append(Notice("background work failed", {"why": problem.strerror or str(problem)}))
        else:
            self.failures = 0 if not self.trouble else self.failures
        finally:
            self.background = self.considered = None

    def _seal_now(self) -> Iterator:
        """Freeze what is held, begin a log with the next batch, and write the frozen layers to a table."""
        while self.waiting:  # a flush that is out may stay so: if it fails, its batches go to the next log
            self.commit()
            if self.trouble:
                raise OSError(0, self.trouble)
            if self.waiting:
                yield WAITING
        if self.held.operations:
            self.frozen.insert(0, self.held)
            self.held = Held()
        if self.log is not None:
            self.port.close(self.log)
            self.log = None
        yield from self._seal()

    def _seal(self) -> Iterator:
        """The frozen layers become the newest table; their logs are void two manifests later."""
        sealing, logs, upto = list(self.frozen), list(self.old_logs), self.number
        number = self.manifest.next_number
        self.manifest = self.manifest._replace(next_number=number + 1)
        first = self.manifest.sealed + 1
        for layer in sealing:
            yield from layer.prepare()
        yield None
        most = sum(len(layer.operations) for layer in sealing)
        table = yield from self._written(number, first, upto, most, merged(sealing))
        self.frozen = [layer for layer in self.frozen if not any(layer is old for old in sealing)]
        self.tables = [*self.tables, table]
        self.old_logs = [log for log in self.old_logs if log not in logs]
        first_log = max([log for log, _ in logs], default=self.manifest.first_log - 1) + 1
        self.manifest = self.manifest._replace(sealed=upto, first_log=max(first_log, self.manifest.first_log))
        yield from self._listed([name for _, name in logs])
        while sealing:
            yield from sealing.pop().dissolve()

    def _merge(self, first: int, last: int) -> Iterator:
        """Tables from first to before last become one; what is void in them ends."""
        run, oldest, at = self.tables[first:last], first == 0, self.time()
        number = self.manifest.next_number
        self.manifest = self.manifest._replace(next_number=number + 1)
        holes: list[Hole] = []
        operations = merged(list(reversed(run)), holes=holes)
        if oldest:
            operations = (found for found in operations if alive(found, at))
        most = sum(table.summary.entries for table in run)
        steps = self._written(number, run[0].summary.first, run[-1].summary.last, most, operations)
        table = yield from steps
        if holes:
            table.close()
            self.port.remove(table.name)
            self.notices.append(
                Notice("damaged block found", {"where": str(holes[0].table), "offset": holes[0].offset})
            )
            return
        at_first = next(k for k, old in enumerate(self.tables) if old is run[0])
        self.tables = [*self.tables[:at_first], table, *self.tables[at_first + len(run) :]]
        for old in run:
            old.doomed = True
            if not old.pins:
                old.close()
        yield from self._listed([old.name for old in run])

    def _written(self, number: int, first: int, last: int, most: int, operations: Iterator) -> Iterator:
        """Steps that write and flush one table; returns it opened."""
        handle = self.port.open(name_of(number), create=True)
        try:
            head = Head(frames.TABLE, self.store, number, first, last)
            yield from build(self.port, handle, head, most, operations)
            yield from self._flushed([(name_of(number), handle), (FOLDER, None)])
        except OSError:
            self._try_remove(name_of(number))
            raise
        finally:
            self.port.close(handle)
        try:
            table = Table.opened(self.port, number, self.store)
        except Spoilt as problem:
            raise OSError(0, f"{name_of(number)}: {problem}") from None
        self.written_bytes += table.size
        return table

    def _flushed(self, names: list[tuple[str, int | None]]) -> Iterator:
        """Steps that wait for a flush; raises OSError where it failed."""
        token = self.flusher.begin(names)
        self.poll()
        while token not in self.finished:
            yield WAITING
            self.poll()
        if problem := self.finished.pop(token):
            raise OSError(0, problem)

    def _listed(self, spent: list[str]) -> Iterator:
        """A new manifest; what it no longer names goes once the one after it stands."""
        yield None
        generation = self.manifest.generation + 1
        self.spent += [(generation + 1, name) for name in spent]
        handle = self._begin_manifest()
        try:
            yield from self._flushed([(manifest_name(generation), handle), (FOLDER, None)])
        finally:
            self.port.close(handle)
        for _ in self._manifest_stands():
            yield None

    def _begin_manifest(self) -> int:
        generation = self.manifest.generation + 1
        listed = tuple(
            (t.number, t.size, t.summary.entries, t.summary.first, t.summary.last) for t in self.tables
        )
        self.manifest = self.manifest._replace(generation=generation, at=self.time(), tables=listed)
        handle = self.port.open(manifest_name(generation), create=True)
        data = recovery.manifest_bytes(self.manifest)
        try:
            self.port.write(handle, 0, data)
        except OSError:
            self.port.close(handle)
            raise
        self.written_bytes += len(data)
        return handle

    def _manifest_stands(self) -> Iterator[None]:
        """Steps that say so and remove what it makes void; what is left goes at the next start."""
        generation = self.manifest.generation
        self.witness = self.witness._replace(generation=generation)
        self._put_witness()
        self.spent.append((generation + 2, manifest_name(generation)))
        for due, name in [spent for spent in self.spent if spent[0] <= generation]:
            yield None
            self._try_remove(name)
            self.spent.remove((due, name))

    def _write_manifest(self) -> None:
        """The same in one go, while nobody waits: at a start."""
        handle = self._begin_manifest()
        try:
            self.port.flush(handle)
            self.port.flush_folder()
        finally:
            self.port.close(handle)
        for _ in self._manifest_stands():
            pass

    # --- the end ------------------------------------------------------------------------------------

    def close(self) -> None:
        """Promise what waits as far as the disc lets, and let go of the folder."""
        if self.background:
            self.background.close()
        for _ in range(2):
            self.commit()
            for _ in range(CLOSING):
                if self.flight is not None:
                    self.flusher.wait(CLOSING_WAIT)
                    self.poll()
        try:
            self._flush_witness()
        except OSError:
            pass  # the log itself is promised
        for handle in (self.log, self.witness_handle):
            if handle is not None:
                self.port.close(handle)
        self.log = None
        for table in self.tables:
            table.close()
        self.flusher.end()
        self.port.release()
