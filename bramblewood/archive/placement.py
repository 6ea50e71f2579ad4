"""Placement: the present manager's decisions, one of them a service, over the table that the archives agree
on.

A table is {"n": version, "s": {service: {first key: entry}}}. A slice spans from its first key to the next
slice's; its entry is a list: worker, second worker, the second's share, fence, handover, old holder. Keyed
services use the keys of the requests, others a hash of their ids. An entry with an old holder has no holder
yet. Pure: time and facts are handed in.

Added to the design: a slice hotter than any limit, which the source leaves open. It is split where its heat
lies, and its parts go to the least loaded at once (`Office.split`).
"""

from bisect import bisect_right
from collections import Counter
from typing import Any

from .. import interface as door
from ..balance import HELD, LIMIT, Manager
from .roll import DRAINING, GONE, READY, Roll

WORKER, SECOND, PART, FENCE, HANDOVER, OLD = range(6)
EMPTY = ["", "", 0.0, 0, "", ""]
KEYS = 65536
A_WORKER = 6  # slices a worker at least, so that one is a small step; each keyed slice costs a renewal
LEAST = 32
FINE = 8  # keys that a count of heat covers: the finest that a slice is split to
FADE = 0.8  # part of a fine count that a cycle leaves: five reports, as the design averages
PARTS = 16  # parts that a hot slice is split into at most at one time
COLD_FROM = 0.5  # part of its speed that a new worker is taken to have; the protocol says "slow" only
WARM_AFTER = (
    1.0  # s that a worker back from a doubt is taken to be new, where no worker told that it was cold
)
STATES = {READY: door.READY, DRAINING: door.DRAINING, GONE: door.GONE}
SETTLE = 2.2  # beats before a service's first table, so that every worker that is up has called once


def slices_for(workers: int) -> int:
    count = LEAST
    while count < A_WORKER * workers:
        count *= 2
    return count


def starts_of(entries: dict) -> list[int]:
    return sorted(map(int, entries))


class Changes:
    """What one service's manager asks for: lines by slice, and slices to split off: (parent, start, line)."""

    def __init__(self, lines: dict[int, tuple], splits: list[tuple[int, int, tuple]], count: int) -> None:
        self.lines, self.splits, self.count = lines, splits, count


def moved(entry: list, line: tuple, keyed: bool, number: int) -> list:
    """An entry after a change of its line; a keyed one's old holder must first let go."""
    made = list(entry)
    if made[WORKER] != line[0]:
        if keyed:
            made[OLD], made[HANDOVER] = made[OLD] or made[WORKER], ""
        made[FENCE] = number
    made[WORKER], made[SECOND], made[PART] = line
    return made


def apply(value: dict | None, wanted: dict[str, Changes], keyed: set[str]) -> tuple[dict | None, bool]:
    """The table after these changes; None where nothing changes."""
    value = value or {"n": 0, "s": {}}
    number, made, changed = value["n"] + 1, dict(value["s"]), False
    for service, changes in wanted.items():
        entries = dict(
            made.get(service) or {str(i * KEYS // changes.count): EMPTY for i in range(changes.count)}
        )
        for parent, start, line in changes.splits:
            entry = entries.get(str(parent))
            if entry is not None and str(start) not in entries:
                entries[str(start)], changed = moved(entry, line, service in keyed, number), True
        for start, line in changes.lines.items():
            entry = entries.get(str(start))
            if entry is not None and tuple(entry[:FENCE]) != line:
                entries[str(start)], changed = moved(entry, line, service in keyed, number), True
        made[service] = entries
    return ({"n": number, "s": made}, True) if changed else (None, False)


def changed_slices(
    value: dict | None, service: str, starts: tuple[int, ...], change: Any
) -> tuple[dict | None, bool]:
    """The table with change(entry, number) put for these slices where that gives one."""
    if not value or service not in value["s"]:
        return None, False
    entries, number, found = dict(value["s"][service]), value["n"] + 1, False
    for start in starts:
        entry = entries.get(str(start))
        made = change(list(entry), number) if entry else None
        if made is not None:
            entries[str(start)], found = made, True
    return ({"n": number, "s": {**value["s"], service: entries}}, True) if found else (None, False)


def freed(value: dict | None, service: str, starts: tuple[int, ...], fence: int, old: str, handover: str):
    """The table once the old holder has let go of these slices."""

    def change(entry: list, _number: int) -> list | None:
        if entry[OLD] != old or entry[FENCE] != fence:
            return None
        entry[OLD], entry[HANDOVER] = "", handover
        return entry

    return changed_slices(value, service, starts, change)


def refenced(value: dict | None, service: str, starts: tuple[int, ...], fence: int):
    """The table with a higher fence for these slices: their worker has seen a higher one than this."""

    def change(entry: list, number: int) -> list | None:
        if entry[FENCE] != fence:
            return None
        entry[FENCE] = number
        return entry

    return changed_slices(value, service, starts, change)


def met_of(life: str, tries: int, unanswered: int, mean_time: float, over: float, load: list | None):
    """What a desk met at a worker, as the manager is told; load is running, waiting and slots, as the worker
    said.
    """
    slots = max(load[2], 1) if load else 1
    told = {"busy": load[0] / slots, "queued": load[1] / slots} if load else {}
    return door.WorkerHeard(life, "", tries, unanswered, mean_time, over, told)


class Office:
    """One service's manager and what it was told."""

    def __init__(self, service: str, keyed: bool, count: int, aim: float) -> None:
        self.service, self.keyed, self.count = service, keyed, count
        self.facts = {
            "slices": count,
            "managers": 1,
            "pick": "pair",
            "single_owner": keyed,
            "cycle": 1.0,
            "load_fields": ["busy", "queued"],
            "warm_after": WARM_AFTER,
            "cold_from": COLD_FROM,
            "usual_retry": door.RETRY_UNSTARTED,
            "operations": [{"latency_objective": aim, "billed_value": 1.0}],
        }
        self.manager = Manager(f"office:{service}", self.facts)
        self.listed: dict[str, tuple] = {}
        self.known: dict[int, tuple] = {}  # lines that the manager was last told or itself asked for
        self.fine: Counter = Counter()  # heat by FINE keys, fading
        self.split_at = -1e9

    def heat_of(self, desk: str, counts: dict[str, int], over: float) -> list:
        """A desk's counts by FINE keys as heat of slices."""
        starts, sums = sorted(self.known), Counter()
        for fine, count in counts.items():
            key = int(fine) * FINE
            self.fine[int(fine)] += count
            if starts:
                sums[starts[bisect_right(starts, key) - 1]] += count
        return [door.SliceHeat(start, desk, count, 0, over) for start, count in sums.items()]

    def split(self, now: float, entries: dict) -> list[tuple[int, int, tuple]]:
        """Slices hotter than a worker's limit, over three reports: their parts go to the least loaded at
        once.
        """
        if now < self.split_at + self.facts["cycle"]:
            return []
        self.split_at = now
        for fine in list(self.fine):
            self.fine[fine] *= FADE
            if self.fine[fine] < 0.05:
                del self.fine[fine]
        manager, made, starts = self.manager, [], sorted(self.known)
        for piece in [
            p for p in manager.ours() if p.main and p.main.usable and not entries[str(p.number)][OLD]
        ]:
            limit = LIMIT * manager.planner.capacity(piece.main)
            recent = [*piece.estimates][-HELD:]
            if len(recent) < HELD or min(recent) <= limit or not limit:
                continue
            place = starts.index(piece.number)
            end = starts[place + 1] if place + 1 < len(starts) else KEYS
            cuts = self.cuts(piece.number, end, min(int(2 * piece.estimate() / limit) + 1, PARTS))
            heat = piece.estimate() / (len(cuts) + 1)
            for start in cuts:
                target = manager.planner.least_loaded(heat, piece.main)
                if target is None or manager.planner.loads[target] + heat > manager.planner.loads[piece.main]:
                    target = piece.main
                manager.planner.loads[target] += heat
                manager.planner.loads[piece.main] -= heat
                manager.planner.moves.append((now, piece.main, target, heat))
                made.append((piece.number, start, (target.name, "", 0.0)))
            if cuts:
                piece.estimates.clear()
        return made

    def cuts(self, start: int, end: int, parts: int) -> list[int]:
        """First keys of further parts, so that each has about the same of the heat seen of late."""
        inside = sorted((fine * FINE, heat) for fine, heat in self.fine.items() if start <= fine * FINE < end)
        total, done, found = sum(heat for _, heat in inside), 0.0, []
        for key, heat in inside:
            if key > start and done >= total * (len(found) + 1) / parts and len(found) < parts - 1:
                found.append(key)
            done += heat
            if done >= total * (len(found) + 1) / parts and heat > total / parts and key + FINE < end:
                if len(found) < parts - 1:  # a hot key ends its part
                    found.append(key + FINE)
        return found


class Placement:
    """Turns the roll, the desks' reports and the agreed table into the changes that the design asks for."""

    def __init__(self, start: float, beat: float, first: bool) -> None:
        self.offices: dict[str, Office] = {}
        self.events: dict[str, list] = {}
        self.first_at: dict[str, float] = {}
        self.start, self.beat, self.first = start, beat, first

    def report(self, service: str, desk: str, heat: dict[str, int], over: float, met: list) -> None:
        office = self.offices.get(service)
        if office is not None:
            self.events.setdefault(service, []).extend([*office.heat_of(desk, heat, over), *met])

    def step(
        self,
        now: float,
        services: dict[str, Any],
        aims: dict[str, float],
        roll: Roll,
        silent: set[str],
        table: dict | None,
    ) -> dict[str, Changes]:
        """The changes to ask for now; nothing where the table is as it should be."""
        wanted = {}
        stands = table["s"] if table else {}
        for service, told in services.items():
            rows = {life: row for life, row in roll.rows.items() if row.service == service}
            ready = [life for life, row in rows.items() if row.phase == READY and life not in silent]
            if service not in stands:  # the first table waits until those that are up have been heard
                if not ready or now < self.first_at.setdefault(service, now + self.beat * SETTLE):
                    continue
            entries = stands.get(service)
            count = len(entries) if entries else slices_for(len(ready))
            office = self.offices.get(service)
            if office is None or office.keyed != told.keyed:
                office = self.offices[service] = Office(service, told.keyed, count, aims.get(service, 1.0))
            office.count = office.facts["slices"] = count
            lines, splits = self.ask(now, office, rows, silent, roll, entries)
            if lines or splits:
                wanted[service] = Changes(lines, splits, count)
        return wanted

    def ask(self, now: float, office: Office, rows: dict, silent: set[str], roll: Roll, entries: dict | None):
        events, listed = self.events.pop(office.service, []), {}
        for life, row in rows.items():
            state = door.GONE if life in silent else STATES.get(row.phase, door.GONE)
            office.facts["warm_after"] = max(office.facts["warm_after"], row.cold)
            listed[life] = (
                state,
                float(max(row.slots, 1)),
                row.zone,
                roll.warm_at.get(life, 0.0) if row.cold else None,
            )
        if listed != office.listed:
            office.listed, after = listed, office.facts["warm_after"]
            events.insert(
                0,
                door.WorkersListed(
                    tuple(
                        door.ListedWorker(life, state, weight, zone, 0, "", warm - after if warm else None)
                        for life, (state, weight, zone, warm) in listed.items()
                    ),
                    True,
                ),
            )
        if entries is None:
            entries = {str(i * KEYS // office.count): EMPTY for i in range(office.count)}
        events += self.told_anew(
            office, {int(start): tuple(entry[:FENCE]) for start, entry in entries.items()}
        )
        orders = office.manager.handle(now, events)
        lines = {}
        for start in {order.table for order in orders if isinstance(order, door.SetLine)}:
            line = self.line(office.manager.slices[start])
            if line and line != office.known[start]:
                lines[start] = office.known[start] = line
        return lines, office.split(now, entries) if office.keyed and not lines else []

    @staticmethod
    def told_anew(office: Office, lines: dict[int, tuple]) -> list:
        """Where the table is another than the manager thinks: tell it the lines that stand."""
        events = []
        for start, line in lines.items():
            if office.known.get(start) == line:
                continue
            events.append(door.SliceGiven(start, True))
            if line[WORKER]:
                events.append(door.LineHeld(start, line[WORKER], 1.0))
            if line[SECOND]:
                events.append(door.LineHeld(start, line[SECOND], line[PART]))
        office.known = lines
        return events

    @staticmethod
    def line(piece: Any) -> tuple | None:
        """A slice's table as the manager sent it, as worker, second and the second's share."""
        ranked = sorted(piece.stored, key=lambda worker: (worker is not piece.main, -piece.stored[worker]))
        if not ranked:
            return None
        second = next((w for w in ranked[1:] if w is piece.standby), None)
        return (
            ranked[0].name,
            second.name if second else "",
            round(piece.stored[second], 3) if second else 0.0,
        )
