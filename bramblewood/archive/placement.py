"""Placement: the present manager's decisions, one of them a service, over the table that the archives agree on.

A table is {"n": version, "s": {service: [entry, ...]}}; a service has as many slices as entries. Entries are lists:
worker, second worker, the second's share, fence, handover, old holder. For a keyed service slice i of k holds the keys
from i * 65536 / k; an entry with an old holder has no holder yet. Pure: time, chance and all facts are handed in.
"""

from typing import Any

from .. import interface as door
from ..balance import Manager
from .roll import DRAINING, GONE, READY, Roll

WORKER, SECOND, PART, FENCE, HANDOVER, OLD = range(6)
KEYS = 65536
A_WORKER = 6       # slices a worker at least, so that one is a small step; each keyed slice costs a renewal
LEAST = 32
COLD_FROM = 0.5    # part of its speed that a new worker is taken to have; the protocol says "slow" only
STATES = {READY: door.READY, DRAINING: door.DRAINING, GONE: door.GONE}
SETTLE = 2.2       # beats before a service's first table, so that every worker that is up has called once


def slices_for(workers: int) -> int:
    count = LEAST
    while count < A_WORKER * workers:
        count *= 2
    return count


def span(place: int, count: int) -> tuple[int, int]:
    """First and last key of a slice."""
    return place * KEYS // count, (place + 1) * KEYS // count - 1


def apply(value: dict | None, wanted: dict[str, dict[int, tuple]], keyed: set[str]) -> tuple[dict | None, bool]:
    """The table after these changes: {service: {slice: (worker, second, part)}}; None where nothing changes."""
    value = value or {"n": 0, "s": {}}
    number, made = value["n"] + 1, dict(value["s"])
    changed = False
    for service, changes in wanted.items():
        entries = list(made.get(service) or [["", "", 0.0, 0, "", ""]] * len(changes))
        for place, (worker, second, part) in changes.items():
            if place >= len(entries):
                continue
            entry = list(entries[place])
            before = list(entry)
            if entry[WORKER] != worker:
                if service in keyed:
                    entry[OLD] = entry[OLD] or entry[WORKER]
                    entry[HANDOVER] = ""
                entry[FENCE] = number
            entry[WORKER], entry[SECOND], entry[PART] = worker, second, part
            if entry != before:
                entries[place] = entry
                changed = True
        made[service] = entries
    return ({"n": number, "s": made}, True) if changed else (None, False)


def freed(value: dict | None, service: str, places: list[int], fence: int, old: str, handover: str):
    """The table once the old holder has let go of these slices."""
    if not value or service not in value["s"]:
        return None, False
    entries, changed = list(value["s"][service]), False
    for place in places:
        entry = list(entries[place])
        if entry[OLD] == old and entry[FENCE] == fence:
            entry[OLD], entry[HANDOVER] = "", handover
            entries[place], changed = entry, True
    return ({"n": value["n"] + 1, "s": {**value["s"], service: entries}}, True) if changed else (None, False)


def refenced(value: dict | None, service: str, places: list[int], fence: int):
    """The table with a higher fence for these slices: their worker has seen a higher one than this."""
    if not value or service not in value["s"]:
        return None, False
    entries, changed = list(value["s"][service]), False
    for place in places:
        if entries[place][FENCE] == fence:
            entry = list(entries[place])
            entry[FENCE] = value["n"] + 1
            entries[place], changed = entry, True
    return ({"n": value["n"] + 1, "s": {**value["s"], service: entries}}, True) if changed else (None, False)


class Office:
    """One service's manager and what it was told."""

    def __init__(self, service: str, keyed: bool, count: int, aim: float) -> None:
        self.service, self.keyed, self.count = service, keyed, count
        self.facts = {"slices": count, "managers": 1, "pick": "pair", "single_owner": keyed, "cycle": 1.0,
                      "load_fields": ["busy", "queued"], "warm_after": 0.0, "cold_from": COLD_FROM,
                      "usual_retry": door.RETRY_UNSTARTED,
                      "operations": [{"latency_objective": aim, "billed_value": 1.0}]}
        self.manager = Manager(f"office:{service}", self.facts)
        self.listed: dict[str, tuple] = {}
        self.known: list | None = None      # the entries that the manager was last told or itself asked for


class Placement:
    """Turns the roll, the desks' reports and the agreed table into the changes that the design asks for."""

    def __init__(self, start: float, beat: float, first: bool) -> None:
        self.offices: dict[str, Office] = {}
        self.events: dict[str, list] = {}
        self.first_at: dict[str, float] = {}
        self.start, self.beat, self.first = start, beat, first

    def report(self, service: str, events: list) -> None:
        self.events.setdefault(service, []).extend(events)

    def step(self, now: float, services: dict[str, Any], aims: dict[str, float], roll: Roll, silent: set[str],
             table: dict | None) -> dict[str, dict[int, tuple]]:
        """The changes to ask for now; nothing where the table is as it should be."""
        wanted = {}
        stands = table["s"] if table else {}
        for service, told in services.items():
            rows = {life: row for life, row in roll.rows.items() if row.service == service}
            ready = [life for life, row in rows.items() if row.phase == READY and life not in silent]
            if service not in stands:   # the first table waits until those that are up have been heard
                if not ready or now < self.first_at.setdefault(service, now + self.beat * SETTLE):
                    continue
            count = len(stands[service]) if service in stands else slices_for(len(ready))
            office = self.offices.get(service)
            if office is None or office.count != count or office.keyed != told.keyed:
                office = self.offices[service] = Office(service, told.keyed, count, aims.get(service, 1.0))
            changes = self.ask(now, office, rows, silent, roll, stands.get(service))
            if changes:
                wanted[service] = changes
        return wanted

    def ask(self, now: float, office: Office, rows: dict, silent: set[str], roll: Roll, entries: list | None) -> dict:
        events, listed = self.events.pop(office.service, []), {}
        for life, row in rows.items():
            state = door.GONE if life in silent else STATES.get(row.phase, door.GONE)
            warm = roll.warm_at.get(life, 0.0)
            office.facts["warm_after"] = max(office.facts["warm_after"], row.cold)
            listed[life] = (state, float(max(row.slots, 1)), row.zone, warm if row.cold else None)
        if listed != office.listed:
            office.listed = listed
            after = office.facts["warm_after"]
            events.insert(0, door.WorkersListed(tuple(
                door.ListedWorker(life, state, weight, zone, 0, "", warm - after if warm else None)
                for life, (state, weight, zone, warm) in listed.items()), True))
        if entries is None:
            entries = [["", "", 0.0, 0, "", ""]] * office.count
        if [entry[:PART + 1] for entry in entries] != office.known:
            events += self.told_anew(office, entries)
        orders = office.manager.handle(now, events)
        changes = {}
        for place in {order.table for order in orders if isinstance(order, door.SetLine)}:
            line = self.line(office.manager.slices[place])
            if line and list(line) != office.known[place]:
                changes[place] = line
                office.known[place] = list(line)
        return changes

    @staticmethod
    def told_anew(office: Office, entries: list) -> list:
        """The table is another than the manager thinks: tell it the lines that stand."""
        events, known = [], [entry[:PART + 1] for entry in entries]
        for place, entry in enumerate(known):
            if office.known is not None and office.known[place] == entry:
                continue
            events.append(door.SliceGiven(place, True))
            if entry[WORKER]:
                events.append(door.LineHeld(place, entry[WORKER], 1.0))
            if entry[SECOND]:
                events.append(door.LineHeld(place, entry[SECOND], entry[PART]))
        office.known = known
        return events

    @staticmethod
    def line(piece: Any) -> tuple | None:
        """A slice's table as the manager sent it, as worker, second and the second's share."""
        ranked = sorted(piece.stored, key=lambda worker: (worker is not piece.main, -piece.stored[worker]))
        if not ranked:
            return None
        second = next((w for w in ranked[1:] if w is piece.standby), None)
        return ranked[0].name, second.name if second else "", round(piece.stored[second], 3) if second else 0.0
