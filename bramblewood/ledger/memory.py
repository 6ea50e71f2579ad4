"""The ledger's state: what is remembered, what each event and order changes in it, and which orders may go.

Pure: events and orders come with the time; changes are gathered as records to be written. A manager has one,
over all lives of its module.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from .. import events
from ..startup_settings import StartupSettings
from . import records, rules
from .records import Admitted, Closed, Doubt, Lines, Record, Withdrawn
from .rules import Promise

NUMBERS = 65536  # marks go round in so many
ANSWERABLE = 4096  # marks of this life to which an answer still counts; older ones are long void
NOTES = 32  # notes kept for the log in one turn


class Outcome(NamedTuple):
    """A turn's orders in their order, each with whether it may only go with what it rests on on the disc."""

    orders: list[tuple[events.Order, bool]]
    first: bool  # whether any record of the turn should be on the disc before the others too

    @property
    def free(self) -> list[events.Order]:
        return [order for order, strict in self.orders if not strict]

    @property
    def strict(self) -> list[events.SetAdmission]:
        return [order for order, strict in self.orders if strict]


class Memory:
    def __init__(self, settings: StartupSettings, keep: float) -> None:
        self.settings, self.keep = settings, keep
        self.operations = settings.operations
        self.timeout = rules.longest_timeout(self.operations)
        self.usual = events.NO_RETRY if settings.default_retry is None else settings.default_retry
        self.closed: dict[str, Closed] = {}
        self.admitted: dict[tuple[int, int], Admitted] = {}
        self.withdrawn: dict[str, Withdrawn] = {}
        self.doubts: dict[str, Doubt] = {}
        self.lines: dict[int, Lines] = {}
        self.life = records.Life(0, 0.0, 0.0, 0, 0.0, 0, 0)
        self.changed: dict[bytes, tuple[Record | None, float]] = {}  # by key: record, when it expires
        self.classes: set[str] = set()  # of what changed in this turn
        self.notes: list[str] = []
        self.ready: set[str] = set()  # told ready to the module
        self.proved: set[str] = set()  # of those: as told live, in this life
        self.spoke = False  # whether discovery has told anything live in this life
        # named ready and not believed, and since when discovery itself does so
        self.kept_out: dict[str, tuple[events.ListedWorker, float | None]] = {}
        self.marks: dict[int, int] = {}  # sent in this life: the module's number by the relay's
        self.taken = 0  # the last mark used
        self.waiting: dict[tuple, tuple[events.Order, float, str]] = {}  # orders put off: till when, and why
        self.unsent: set[tuple[int, int]] = set()  # further tries that still wait for the disc
        self.standing: set[int] = set()  # slices that the news of this life named as they were remembered

    # --- records

    def load(self, pairs: Iterable[tuple[bytes, bytes]]) -> list[str]:
        """Take in what a store holds; what could not be used."""
        odd = []
        places = {
            b"w": self.closed,
            b"a": self.admitted,
            b"o": self.withdrawn,
            b"d": self.doubts,
            b"s": self.lines,
        }
        for key, value in pairs:
            if key.startswith(b"\0"):
                continue
            try:
                kind, name, record = records.read(key, value)
            except records.Unknown as problem:
                odd.append(str(problem))
                continue
            if kind == records.LIFE:
                self.life = record
            else:
                places[kind][name] = record
        return odd

    def note(self, kind: str, key: bytes, record: Record | None, expiry: float = 0.0) -> None:
        self.changed[key] = record, expiry
        self.classes.add(kind)

    def changes(self) -> list[tuple[bytes, bytes | None, float]]:
        """What is to be written for this turn: keys, values (None: delete), expiries (unix time, 0: none)."""
        changed, self.changed = self.changed, {}
        self.classes.clear()
        return [
            (key, None if record is None else records.value_of(record), expiry)
            for key, (record, expiry) in changed.items()
        ]

    def say(self, text: str) -> None:
        if len(self.notes) < NOTES:
            self.notes.append(text)

    def renew(self, kind: str, **fields) -> None:
        self.life = msgspec.structs.replace(self.life, **fields)
        self.note(kind, records.LIFE, self.life)

    # --- a start

    def begin(self, now: float, damaged: list[str], first_mark: int = 0) -> list[events.Event]:
        """A new life: what it makes of what is remembered; what the module is told behind the first list."""
        was = self.life
        down = rules.downtime(was.alive, now)
        careful = rules.careful_until(bool(damaged), was.careful_until, now, self.operations)
        self.renew(
            "careful" if damaged else "life",
            number=was.number + 1,
            began=now,
            alive=now,
            careful_until=careful,
        )
        self.taken = was.marks + rules.SKIPPED if was.number else first_mark
        if was.number and now < was.alive:
            self.say(f"the clock was set back by {was.alive - now:.1f} s between two lives: ages count as 0")
        if careful > now:
            self.say(
                f"records were damaged: for {careful - now:.1f} s no further tries of operations with "
                "effects, and no new use of workers that discovery has not named while others serve"
            )
        if was.number and rules.outlived(down, self.settings.lease):
            if self.admitted or self.lines:
                self.say(f"down for {down:.1f} s: levels and tables remembered are no longer counted on")
            for table, operation in list(self.admitted):
                self.forget_admitted(table, operation)
            for number in list(self.lines):
                del self.lines[number]
                self.note("lines", records.slice_key(number), None)
        for name, doubt in list(self.doubts.items()):
            if not rules.doubt_left(doubt.until, doubt.at, now):
                del self.doubts[name]
                self.note("doubt", records.worker_key(b"d", name), None)
        if self.closed:
            self.say(
                f"remembered as closed: {', '.join(sorted(self.closed)[:8])}"
                f"{' and others' if len(self.closed) > 8 else ''}"
            )
        return self.opening(now)

    def opening(self, now: float) -> list[events.Event]:
        """What a module that knows nothing is told behind its first list."""
        doubts = [
            events.EjectionRestored(name, now + rules.doubt_left(doubt.until, doubt.at, now), doubt.doubts)
            for name, doubt in sorted(self.doubts.items())
        ]
        return [*doubts, *(events.ExclusionRestored(name) for name in sorted(self.withdrawn))]

    def alive(self, now: float) -> None:
        """Told about once a second: this life goes on; what was kept for long enough is let go."""
        self.renew("life trails", alive=max(now, self.life.began))
        for kind, held, over in (
            (b"d", self.doubts, lambda doubt: doubt.until < now),
            (b"o", self.withdrawn, lambda out: out.at + self.keep < now),
        ):
            for name in [name for name, record in held.items() if over(record)]:
                del held[name]
                self.note("closed trails", records.worker_key(kind, name), None)
        oldest = next(iter(self.closed), None)
        while oldest is not None and (
            self.closed[oldest].at + self.keep < now or len(self.closed) > rules.MOST_CLOSED
        ):
            del self.closed[oldest]
            self.note("closed trails", records.worker_key(b"w", oldest), None)
            oldest = next(iter(self.closed), None)

    # --- events

    def hear(self, now: float, batch: list[events.Event]) -> list[events.Event]:
        """The events as the module is to be told them."""
        told = []
        for event in batch:
            match event:
                case events.WorkersListed():
                    told.append(self.listed(now, event))
                case events.MessageAcknowledged(_, mark):
                    if mark in self.marks:
                        told.append(event._replace(number=self.marks[mark]))
                case events.SliceAssigned(number, ours):
                    self.given(now, number, ours)
                    told.append(event)
                case events.RouteStored(number, worker, weight):
                    self.held(now, number, worker, weight)
                    told.append(event)
                case _:
                    told.append(event)
        return told

    def listed(self, now: float, event: events.WorkersListed) -> events.WorkersListed:
        live, entries = not event.cached, []
        if event.complete:
            named = {entry.worker for entry in event.workers}
            for name in sorted(self.ready - named) if live else ():
                self.close(now, events.ListedWorker(name, events.DEREGISTERED), event.version)
            self.kept_out = {name: kept for name, kept in self.kept_out.items() if name in named}
            self.ready &= named
        for entry in event.workers:
            entries.append(self.entry(now, entry, event.version, live))
        if live:
            named = {entry.worker for entry in event.workers}
            all_told = event.complete or not self.spoke  # the first tells all since the list held before
            self.proved = set(self.ready) if all_told else (self.proved | named) & self.ready
            self.spoke = True
            if event.version > self.life.version:
                self.renew("life trails", version=event.version)
        if rules.let_in(len(self.kept_out), len(self.ready)):
            for name, (entry, _) in sorted(self.kept_out.items()):
                self.open(now, entry, "nobody else can serve")
                entries = [e for e in entries if e.worker != name] + [entry]
            self.kept_out.clear()
        return event._replace(workers=tuple(entries))

    def entry(self, now: float, entry: events.ListedWorker, version: int, live: bool) -> events.ListedWorker:
        """One worker as the module is to be told it."""
        was = self.closed.get(entry.worker)
        if entry.state != events.READY:
            self.kept_out.pop(entry.worker, None)
            if live or was is None:  # a list from before a start may be older than what is remembered
                self.close(now, entry, version)
            return entry
        if was is not None:
            why = rules.believed(entry, was, version, live)
            if why is None:
                since = self.kept_out.get(entry.worker, (entry, None))[1]
                self.kept_out[entry.worker] = entry, now if live and since is None else since
                self.ready.discard(entry.worker)
                return entry._replace(state=events.DRAINING)
            self.open(now, entry, why)
        self.kept_out.pop(entry.worker, None)
        self.ready.add(entry.worker)
        return entry

    def close(self, now: float, entry: events.ListedWorker, version: int) -> None:
        was = self.closed.get(entry.worker)
        self.ready.discard(entry.worker)
        self.proved.discard(entry.worker)
        started = entry.started if entry.started is not None else was.started if was else None
        if was is None or (was.state, was.started) != (entry.state, started) or version > was.version:
            self.closed.pop(entry.worker, None)  # the order is by when it was told
            self.closed[entry.worker] = Closed(entry.state, started, version, now)
            same = was is not None and (was.state, was.started) == (entry.state, started)
            self.note(
                "closed trails" if same else "closed worker",
                records.worker_key(b"w", entry.worker),
                self.closed[entry.worker],
                now + self.keep,
            )

    def open(self, now: float, entry: events.ListedWorker, why: str) -> None:
        if self.closed.pop(entry.worker, None):
            self.say(f"{entry.worker} is open again: {why}")
            self.note("closed trails", records.worker_key(b"w", entry.worker), None)
        self.ready.add(entry.worker)

    def insisting(self, now: float) -> events.WorkersListed | None:
        """Those that discovery has named ready for so long that it is believed against what is remembered."""
        due = [
            entry
            for entry, since in self.kept_out.values()
            if since is not None and rules.insists(since, now)
        ]
        for entry in due:
            del self.kept_out[entry.worker]
            self.open(now, entry, "discovery keeps to it")
        return events.WorkersListed(tuple(due)) if due else None

    def given(self, now: float, number: int, ours: bool) -> None:
        """A slice given or taken away: its levels are the usual ones again, but for one named as it was."""
        was = self.lines.pop(number, None)
        order = was.given if was else 0
        if ours and was and was.at < self.life.began and number not in self.standing:
            self.standing.add(number)  # told at the start, as it stood: not given anew
        else:
            for operation in range(len(self.operations)):
                self.forget_admitted(number, operation)
            if ours:
                order = self.life.given + 1
                self.renew("life trails", given=order)
            self.standing.add(number)
        if ours:
            self.lines[number] = Lines({}, now, order)
            self.note("lines", records.slice_key(number), self.lines[number])
        else:
            self.note("lines", records.slice_key(number), None)

    def held(self, now: float, number: int, worker: str, weight: float) -> None:
        if (was := self.lines.get(number)) is None:
            return
        lines = {name: part for name, part in {**was.lines, worker: weight}.items() if part}
        self.lines[number] = Lines(lines, now, was.given)
        self.note("lines", records.slice_key(number), self.lines[number])

    def forget_admitted(self, table: int, operation: int) -> None:
        if self.admitted.pop((table, operation), None):
            self.note("level", records.admit_key(table, operation), None)

    # --- orders

    def weigh(self, now: float, orders: list[events.Order]) -> Outcome:
        """A turn's orders: those that may go, those that wait for the disc, and what is put off."""
        going: list[tuple[events.Order, bool]] = []
        for order in orders:
            match order:
                case events.SetAdmission():
                    self.admit(now, order, going)
                case events.SetRoute():
                    if not self.puts_off(now, order):
                        going.append((order, False))
                case events.ExcludeWorker(worker, out):
                    key = records.worker_key(b"o", worker)
                    if out:
                        self.withdrawn[worker] = Withdrawn(now)
                        self.note("withdrawal", key, self.withdrawn[worker], now + self.keep)
                    elif self.withdrawn.pop(worker, None):
                        self.note("withdrawal", key, None)
                    going.append((order, False))
                case events.WorkerEjected(worker, until, doubts):
                    self.doubts[worker] = Doubt(until, doubts, now)
                    self.note("doubt", records.worker_key(b"d", worker), self.doubts[worker], until)
                case events.RequestAcknowledgement():
                    going.append((self.mark(order), False))
                case _:
                    going.append((order, False))
        first = any(
            rules.PROMISES[kind][0] is not Promise.TRAILS for kind in self.classes if kind in rules.PROMISES
        )
        return Outcome(going, first)

    def mark(self, order: events.RequestAcknowledgement) -> events.RequestAcknowledgement:
        """A mark of the module's under a number that no earlier life has used."""
        self.taken += 1
        if self.taken + rules.MARKS // 2 > self.life.marks:
            self.renew("marks", marks=self.taken + rules.MARKS)
        number = self.taken % NUMBERS
        self.marks.pop(number, None)
        self.marks[number] = order.number
        while len(self.marks) > ANSWERABLE:
            del self.marks[next(iter(self.marks))]
        return order._replace(number=number)

    def stands(self, table: int, operation: int) -> Admitted | None:
        """What is remembered of an operation at a table: its own record, or a later one for all slices."""
        everywhere = self.admitted.get((events.ALL_SLICES, operation))
        if table == events.ALL_SLICES:  # for all of them only if none was given since
            return everywhere if everywhere and everywhere.given >= self.life.given else None
        own = self.admitted.get((table, operation))
        if everywhere and table in self.lines and self.lines[table].given > everywhere.given:
            everywhere = None  # the slice was given after that
        return max((found for found in (own, everywhere) if found), key=lambda found: found.at, default=None)

    def admit(self, now: float, order: events.SetAdmission, going: list) -> None:
        """Part one order by what each of its operations may do."""
        if order.table == events.ALL_SLICES:
            order = self.narrowed(now, order, going)
            if order is None:
                return
        parts: dict[str, list[int]] = {}
        for k in order.operations or range(len(self.operations)):
            found = rules.judge_try(
                self.operations[k].kind,
                order.level,
                order.retry,
                self.stands(order.table, k),
                self.usual,
                self.life.number,
                self.life.careful_until,
                now,
                (order.table, k) in self.unsent,
            )
            parts.setdefault(found.verdict, []).append(k)
            self.waiting.pop(("try", order.table, k), None)
            if found.verdict == "waits":
                one = events.SetAdmission(order.table, (k,), order.level, order.retry)
                self.waiting["try", order.table, k] = one, found.until, found.why
                self.say(
                    f"{self.operations[k].name} at table {order.table} gets no further tries for "
                    f"{found.until - now:.1f} s: {found.why}"
                )
            elif found.verdict != "stands":
                record = Admitted(order.level, order.retry, False, now, self.life.number, self.life.given)
                self.admitted[order.table, k] = record
                promised = found.verdict == "promised first"
                (self.unsent.add if promised else self.unsent.discard)((order.table, k))
                self.note("further try" if promised else "level", records.admit_key(order.table, k), record)
        whole = len(parts) == 1
        for verdict, strict in (("sent", False), ("promised first", True)):
            if verdict in parts:
                going.append((order if whole else order._replace(operations=tuple(parts[verdict])), strict))

    def narrowed(self, now: float, order: events.SetAdmission, going: list) -> events.SetAdmission | None:
        """An order for all slices, less operations that stand so since an earlier life.

        Those go to the slices alone that were given since, or an effect would be let in a second time.
        """
        again, rest = {}, []
        for k in order.operations or range(len(self.operations)):
            was = self.admitted.get((events.ALL_SLICES, k))
            if (
                was
                and was.life != self.life.number
                and (self.operations[k].kind != events.IDEMPOTENT and order.retry > self.usual)
            ):
                for number, lines in self.lines.items():
                    if lines.given > was.given:
                        again.setdefault(number, []).append(k)
            else:
                rest.append(k)
        for number, operations in again.items():
            self.admit(now, events.SetAdmission(number, tuple(operations), order.level, order.retry), going)
        whole = len(rest) == len(order.operations or self.operations)
        return order if whole else order._replace(operations=tuple(rest)) if rest else None

    def by_slice(self, order: events.SetAdmission) -> list[events.SetAdmission]:
        """An order for all slices as one for each, so that later ones for single slices can make it void."""
        if order.table != events.ALL_SLICES:
            return [order]
        return [order._replace(table=number) for number in self.lines]

    def puts_off(self, now: float, order: events.SetRoute) -> bool:
        """Whether a line waits till its worker is proved: only after damage, while a proved one serves."""
        key = "line", order.table, order.worker
        self.waiting.pop(key, None)
        if now >= self.life.careful_until:
            return False
        table = self.lines.get(order.table)
        if order.weight > 0:
            off = table is not None and rules.uses_unproved(
                table.lines, order.worker, self.proved, self.ready, self.spoke
            )
        else:  # nothing makes way for a line that waits, but a closed worker's line: a proved one serves
            off = order.worker in self.ready and any(kept[:2] == key[:2] for kept in self.waiting)
        if off:
            self.waiting[key] = order, self.life.careful_until, "its worker is not proved to be open"
        return off

    def due(self, now: float) -> list[events.Order]:
        """Orders that were put off and may be weighed again; those of closed workers are let go."""
        found = []
        for key, (order, until, _) in list(self.waiting.items()):
            line = isinstance(order, events.SetRoute)
            if (
                now >= until
                or line
                and (
                    order.worker in self.proved
                    if order.weight
                    else not any(
                        other[:2] == key[:2] and kept[0].weight for other, kept in self.waiting.items()
                    )
                )
            ):
                del self.waiting[key]
                if not line or order.worker in self.ready or not order.weight:
                    found.append(order)
        return found

    def carried(self, now: float, order: events.Order) -> None:
        """The relay has carried out an order."""
        match order:
            case events.SetAdmission(table, operations):
                for k in operations or range(len(self.operations)):
                    was = self.admitted.get((table, k))
                    if was and (was.level, was.retry) == (order.level, order.retry) and not was.carried:
                        self.admitted[table, k] = msgspec.structs.replace(was, carried=True)
                        effects = self.operations[k].kind != events.IDEMPOTENT and order.retry > self.usual
                        self.note(
                            "try carried out" if effects else "level",
                            records.admit_key(table, k),
                            self.admitted[table, k],
                        )
            case events.SetRoute(table, worker, weight):
                self.held(now, table, worker, weight)

    def forgotten(self) -> None:
        """The module began anew within this life: its numbers begin anew, and old answers mean nothing."""
        self.marks.clear()
        self.waiting.clear()
        self.unsent.clear()
        self.standing.clear()

    def explain(self, worker: str, now: float) -> list[str]:
        """What a restart now would make of a worker, and why, in sentences."""
        said, closed = [], self.closed.get(worker)
        if closed is None:
            said.append("not remembered as closed: the configuration's list and discovery hold")
        else:
            start = f" than {closed.started:.3f}" if closed.started is not None else ""
            said.append(
                f"told {closed.state} {now - closed.at:.0f} s ago in version {closed.version}: it "
                "stays out until discovery names it ready in a later version or with a later "
                f"start{start}, or keeps to it for {rules.INSISTING:.0f} s, or nobody else can serve"
            )
        if worker in self.withdrawn:
            said.append("proxies were told to keep off it: it is let back with the first line that names it")
        doubt = self.doubts.get(worker)
        left = rules.doubt_left(doubt.until, doubt.at, now) if doubt else 0.0
        if left:
            said.append(f"doubted {doubt.doubts} times: out of use for another {left:.1f} s")
        on = [number for number, lines in sorted(self.lines.items()) if worker in lines.lines]
        if on:
            said.append(f"named by {len(on)} slices as last carried: {', '.join(map(str, on[:12]))}")
        if now < self.life.careful_until:
            left = self.life.careful_until - now
            said.append(
                f"the start is careful for another {left:.1f} s, as records were damaged: it is "
                "not put to new use before discovery names it, while others can serve"
            )
        return said


def without(held: list, order: events.SetAdmission, everything: int) -> list:
    """Held orders to let in, less what a later order on the same operations has made void.

    everything: how many operations there are; an order that names none is for all of them.
    """
    kept, later = [], set(order.operations or range(everything))
    for old in held:
        if order.table in (old.table, events.ALL_SLICES):
            left = tuple(k for k in old.operations or range(everything) if k not in later)
            if left:
                kept.append(old._replace(operations=left))
        else:
            kept.append(old)
    return kept
