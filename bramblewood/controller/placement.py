"""Placement: the present manager's decisions, one of them a service, over the table that the archives agree
on.

The form of a table: `catalogue/table.py`. Pure: time and facts are handed in.

Added to the design: a slice hotter than any limit, which the source leaves open. It is split where its heat
lies, and its parts go to the least loaded at once (`Office.split`).
"""

from bisect import bisect_right
from collections import Counter
from typing import Any

from .. import interface as door
from ..common.slice_table import (
    EMPTY,
    FENCING_TOKEN,
    HANDOVER,
    KEY_SPACE_SIZE,
    KEYS_PER_RANGE,
    PREVIOUS_OWNER,
    READERS,
    SECOND,
    SECOND_SHARE,
    WORKER,
    readers_of,
    reading,
    with_readers,
)
from ..common.worker_registry import DRAINING, GONE, READY, WorkerRegistry
from ..policy.figures import HELD, LIMIT, UNSEEN, mean, usual
from ..policy.manager import Manager
from .drain_plans import DRAIN_ANNOUNCED, ServiceCapacity, drain_steps_of
from .hot_keys import HotKeyNotice, HotKeys
from .outlier_detection import ejected_workers
from .read_replicas import wanted as readers_wanted
from .zone_affinity import ZoneAffinity

MIN_SLICES_PER_WORKER = (
    6  # slices a worker at least, so that one is a small step; each keyed slice costs a renewal
)
MIN_SLICES = 32
HEAT_DECAY = 0.8  # part of a fine count that a cycle leaves: five reports, as the design averages
MAX_SPLIT_PARTS = 16  # parts that a hot slice is split into at most at one time
FULL_UTILIZATION = 1.0  # load of a worker, by its own word, at which all its slots are taken
SLOW_START_SPEED = 0.5  # part of its speed that a new worker is taken to have; the protocol says "slow" only
# s that a worker back from a doubt is taken to be new, where no worker told that it was cold
REPORT_CYCLE = 0.5  # s, the cycle of the rule: as desks report; a crowd of keys is spread in seconds
DEFAULT_WARM_UP = 1.0
POLICY_STATES = {READY: door.READY, DRAINING: door.DRAINING, GONE: door.GONE}
FIRST_TABLE_HEARTBEATS = (
    2.2  # beats before a service's first table, so that every worker that is up has called once
)


def initial_slice_count(workers: int) -> int:
    count = MIN_SLICES
    while count < MIN_SLICES_PER_WORKER * workers:
        count *= 2
    return count


class SliceChanges:
    """What one service's manager asks for: lines by slice, slices to split off: (parent, start, line), and
    readers of crowded records.
    """

    def __init__(
        self,
        assignments: dict[int, tuple],
        splits: list[tuple[int, int, tuple]],
        slice_count: int,
        readers: dict[int, list[str]] | None = None,
    ) -> None:
        self.assignments, self.splits, self.slice_count = assignments, splits, slice_count
        self.readers = readers or {}


def reassigned(entry: list, line: tuple, keyed: bool, number: int) -> list:
    """An entry after a change of its line; a keyed one's old holder must first let go."""
    made = list(entry)
    if made[WORKER] != line[0]:
        if keyed:
            made[PREVIOUS_OWNER], made[HANDOVER] = made[PREVIOUS_OWNER] or made[WORKER], ""
        made[FENCING_TOKEN] = number
    made[WORKER], made[SECOND], made[SECOND_SHARE] = line
    return with_readers(
        made, [instance_id for instance_id in reading(made) if instance_id != line[0]], number
    )


def apply_slice_changes(
    value: dict | None, wanted: dict[str, SliceChanges], keyed: set[str]
) -> tuple[dict | None, bool]:
    """The table after these changes; None where nothing changes."""
    value = value or {"n": 0, "s": {}}
    number, made, changed = value["n"] + 1, dict(value["s"]), False
    for service, changes in wanted.items():
        entries = dict(
            made.get(service)
            or {str(i * KEY_SPACE_SIZE // changes.slice_count): EMPTY for i in range(changes.slice_count)}
        )
        for parent, start, line in changes.splits:
            entry = entries.get(str(parent))
            if entry is not None and str(start) not in entries:
                entries[str(start)] = reassigned(entry[:READERS], line, service in keyed, number)
                changed = True
        for start, line in changes.assignments.items():
            entry = entries.get(str(start))
            if entry is not None and tuple(entry[:FENCING_TOKEN]) != line:
                entries[str(start)], changed = reassigned(entry, line, service in keyed, number), True
        for start, readers in changes.readers.items():
            entry = entries.get(str(start))
            if entry is not None and reading(entry) != readers:
                entries[str(start)], changed = with_readers(entry, readers, number), True
        made[service] = entries
    return ({**value, "n": number, "s": made}, True) if changed else (None, False)


def with_changed_entries(
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
    return ({**value, "n": number, "s": {**value["s"], service: entries}}, True) if found else (None, False)


def clear_previous_owner(
    value: dict | None, service: str, starts: tuple[int, ...], fencing_token: int, old: str, handover: str
):
    """The table once the old holder has let go of these slices."""

    def change(entry: list, _number: int) -> list | None:
        if entry[PREVIOUS_OWNER] != old or entry[FENCING_TOKEN] != fencing_token:
            return None
        entry[PREVIOUS_OWNER], entry[HANDOVER] = "", handover
        return entry

    return with_changed_entries(value, service, starts, change)


def raise_fencing_tokens(value: dict | None, service: str, starts: tuple[int, ...], fencing_token: int):
    """The table with a higher fence for these slices: their worker has seen a higher one than this."""

    def change(entry: list, number: int) -> list | None:
        if entry[FENCING_TOKEN] != fencing_token:
            return None
        entry[FENCING_TOKEN] = number
        return entry

    return with_changed_entries(value, service, starts, change)


def worker_report(
    instance_id: str, tries: int, unanswered: int, mean_time: float, over: float, load: list | None
):
    """What a desk met at a worker, as the manager is told; load is running, waiting and slots, as the worker
    said.
    """
    slots = max(load[2], 1) if load else 1
    told = {"busy": load[0] / slots, "queued": load[1] / slots} if load else {}
    return door.WorkerHeard(instance_id, "", tries, unanswered, mean_time, over, told)


class ServicePlacement:
    """One service's manager and what it was told."""

    def __init__(self, service: str, keyed: bool, count: int, aim: float, notice: bool) -> None:
        self.service, self.keyed, self.count, self.notice = service, keyed, count, notice
        self.facts = {
            "slices": count,
            "managers": 1,
            "pick": "pair",
            "single_owner": keyed,
            "cycle": REPORT_CYCLE,
            "load_fields": ["busy", "queued"],
            "warm_after": DEFAULT_WARM_UP,
            "cold_from": SLOW_START_SPEED,
            "usual_retry": door.RETRY_UNSTARTED,
            "operations": [{"latency_objective": aim, "billed_value": 1.0}],
        }
        self.manager = Manager(f"office:{service}", self.facts)
        self.listed: dict[str, tuple] = {}
        self.known: dict[int, tuple] = {}  # lines that the manager was last told or itself asked for
        self.fine: Counter = Counter()  # heat by first key of a range, or by key where watched, fading
        self.spans: dict[str, float] = {}  # s that the desks' reports span, since the last cycle
        self.proxies: dict[str, float] = {}  # when each desk last reported
        self.came: Counter = Counter()  # what came by ranges of FINE keys since the last cycle
        self.by_key: dict[int, dict[str, int]] = {}  # of watched ranges: what came by key and desk
        self.hot_keys = HotKeys()
        self.split_at = self.heat_at = -1e9
        self.relieved: dict[str, float] = {}  # when each worker was last relieved
        self.lines: dict[int, tuple] = {}  # what `relieve` asks for
        self.zone_affinity = ZoneAffinity()

    def record_request_counts(
        self, proxy: str, now: float, counts: dict[str, int], keys: dict[str, int], over: float
    ) -> None:
        """A desk's counts over so many seconds: by FINE keys, and by key of the ranges that are watched."""
        self.spans[proxy] = self.spans.get(proxy, 0.0) + over
        self.proxies[proxy] = now
        for fine, count in counts.items():
            self.fine[int(fine) * KEYS_PER_RANGE] += count
            self.came[int(fine)] += count
        for key, count in keys.items():
            self.fine[int(key)] += count
            told = self.by_key.setdefault(int(key), {})
            told[proxy] = told.get(proxy, 0) + count

    def heat(self, now: float) -> list:
        """Once a cycle, what came at all desks as heat of every slice: none came is heat too."""
        if now < self.heat_at + self.facts["cycle"] or not self.known:
            return []
        self.proxies = {
            proxy: at for proxy, at in self.proxies.items() if now - at < 3 * self.facts["cycle"] + 1.0
        }
        over = sum(self.spans.values()) / max(len(self.proxies), 1)  # reports come in crowds: none, then two
        if over <= self.facts["cycle"] / 4:
            return []
        starts, sums = sorted(self.known), Counter()
        for fine, count in self.came.items():
            sums[starts[bisect_right(starts, fine * KEYS_PER_RANGE) - 1]] += count
        for key, proxies in self.by_key.items():
            sums[starts[bisect_right(starts, key) - 1]] += sum(proxies.values())
        if self.keyed and self.notice:
            self.hot_keys.record_cycle(self.came, self.by_key, over, self.ability())
        self.came, self.by_key, self.heat_at, self.spans = Counter(), {}, now, {}
        return [door.SliceHeat(start, "all", sums[start], 0, over) for start in starts]

    def ability(self) -> float:
        """Requests a second that a usual worker can do: its slots over the usual time of an answer."""
        workers = [w for w in self.manager.usable() if w.times and mean(w.times) > 0]
        times = usual(mean(w.times) for w in workers)
        return usual(w.weight for w in workers) / times if times else 0.0

    def own_ranges(self, entries: dict, reassigned: dict) -> list[tuple[int, int, tuple]]:
        """A slice of its own for each crowded key, at the worker that it has."""
        made, starts = [], sorted(self.known)
        for key in self.hot_keys.notice().keys:
            place = bisect_right(starts, key) - 1
            start, end = starts[place], starts[place + 1] if place + 1 < len(starts) else KEY_SPACE_SIZE
            if start in reassigned or entries[str(start)][PREVIOUS_OWNER]:
                continue
            line = tuple(entries[str(start)][:FENCING_TOKEN])
            made += [(start, cut, line) for cut in (key, key + 1) if start < cut < end]
        return made

    def readers(self, entries: dict) -> dict[int, list[str]]:
        """Whom to let read copies of the crowded records that have slices of their own; only what changes."""
        made, usable = {}, {w.name: w for w in self.manager.usable()}
        for start, entry in entries.items():
            key, had = int(start), reading(entry)
            kept = [
                instance_id for instance_id in had if instance_id in usable and instance_id != entry[WORKER]
            ]
            if key in self.hot_keys.keys.since and str(key + 1) in entries and not entry[PREVIOUS_OWNER]:
                count = readers_wanted(self.hot_keys.keys.reports[-1][key], self.ability())
                able = [
                    w for w in usable.values() if w.name != entry[WORKER] and w.name not in readers_of(entry)
                ]
                able.sort(key=lambda w: (self.carries(w) / w.weight, w.name))
                kept += [w.name for w in able[: max(count - len(kept), 0)]]
            elif key not in self.hot_keys.keys.since:
                kept = []
            if kept != had:
                made[key] = kept
        return made

    def split(self, now: float, entries: dict, reassigned: dict) -> list[tuple[int, int, tuple]]:
        """Slices hotter than a worker's limit, over three reports: their parts go to the least loaded at
        once. `moved`: lines that change in the same turn; these slices wait for the next.
        """
        if now < self.split_at + self.facts["cycle"]:
            return []
        self.split_at = now
        for fine in list(self.fine):
            self.fine[fine] *= HEAT_DECAY
            if self.fine[fine] < 0.05:
                del self.fine[fine]
        manager, made, starts = self.manager, [], sorted(self.known)
        made = self.own_ranges(entries, reassigned)
        if made:
            return made
        able = [p for p in manager.ours() if p.main and p.main.usable and p.number not in reassigned]
        for piece in [p for p in able if not entries[str(p.number)][PREVIOUS_OWNER]]:
            limit = LIMIT * manager.planner.capacity(piece.main)
            recent = [*piece.estimates][-HELD:]
            if len(recent) < HELD or min(recent) <= limit or not limit:
                continue
            place = starts.index(piece.number)
            end = starts[place + 1] if place + 1 < len(starts) else KEY_SPACE_SIZE
            cuts = self.cuts(piece.number, end, min(int(2 * piece.estimate() / limit) + 1, MAX_SPLIT_PARTS))
            heat = piece.estimate() / (len(cuts) + 1)
            for start in cuts:
                target = self.lightest(heat, piece.main)
                if target is None or self.carries(target) + heat > self.carries(piece.main):
                    target = piece.main
                else:
                    self.shift(now, piece.main, target, heat)
                made.append((piece.number, start, (target.name, "", 0.0)))
            if cuts:
                piece.estimates.clear()
        if not made and not reassigned:
            self.lines = self.relieve(now, entries)
        return made

    def carries(self, worker: Any) -> float:
        """Heat that a worker carries: by its word or by what comes for it, as a full one can't tell how much
        more.
        """
        return max(self.manager.planner.loads[worker], self.manager.planner.own[worker])

    def lightest(self, heat: float, but: Any) -> Any:
        """The worker that carries least of those that may take this heat."""
        able = [w for w in self.manager.usable() if w is not but and self.manager.planner.has_room(w, heat)]
        return min(able, key=lambda w: (self.carries(w) / w.weight, w.name), default=None)

    def shift(self, now: float, source: Any, target: Any, heat: float) -> None:
        """Book a move that the manager did not make itself."""
        planner = self.manager.planner
        for books in (planner.loads, planner.own):
            books[source] = max(books[source] - heat, 0.0)
            books[target] += heat
        planner.moves.append((now, source, target, heat))

    def relieve(self, now: float, entries: dict) -> dict[int, tuple]:
        """The hottest slices of a worker that can't do what comes, over three reports, go where they fit at
        once.

        Such a worker has all slots taken and a queue by its own word, and more heat than the stand-in
        capacity; its smallest slices, one a cycle, would take minutes.
        """
        planner, lines = self.manager.planner, {}
        for worker, pieces in planner.by_main.items() if hasattr(planner, "by_main") else ():
            levels = [*worker.levels][-HELD:] if worker else []
            if len(levels) < HELD or min(levels) < FULL_UTILIZATION or not worker.usable:
                continue
            if now < self.relieved.get(worker.name, -1e9) + UNSEEN:
                continue  # no report can show the last relief yet
            limit, crowded = planner.capacity(worker), self.hot_keys.keys.since
            # a crowded record gets a worker of its own
            alone = any(piece.number in crowded for piece in pieces)
            for piece in sorted(pieces, key=lambda p: (-p.estimate(), p.number)):
                heat = piece.estimate()
                if self.carries(worker) <= limit and not alone or heat < limit / MAX_SPLIT_PARTS:
                    break  # relieved, or down to slices that only cost
                if heat > limit or entries[str(piece.number)][PREVIOUS_OWNER] or piece.number in crowded:
                    continue
                target = self.lightest(heat, worker)
                if target is None or self.carries(target) + heat > LIMIT * planner.capacity(target):
                    continue
                self.shift(now, worker, target, heat)
                self.relieved[worker.name] = now
                lines[piece.number] = (target.name, "", 0.0)
        return lines

    def cuts(self, start: int, end: int, parts: int) -> list[int]:
        """First keys of further parts, so that each has about the same of the heat seen of late."""
        inside = sorted((key, heat) for key, heat in self.fine.items() if start <= key < end)
        total, done, found = sum(heat for _, heat in inside), 0.0, []
        for key, heat in inside:
            width = 1 if key // KEYS_PER_RANGE in self.hot_keys.ranges.since else KEYS_PER_RANGE
            if key > start and done >= total * (len(found) + 1) / parts and len(found) < parts - 1:
                found.append(key)
            done += heat
            if done >= total * (len(found) + 1) / parts and heat > total / parts and key + width < end:
                if len(found) < parts - 1:  # a hot key ends its part
                    found.append(key + width)
        return found


class PlacementPlanner:
    """Turns the roll, the desks' reports and the agreed table into the changes that the design asks for."""

    def __init__(self, start: float, beat: float, notice: bool = True) -> None:
        self.notice = notice
        self.services: dict[str, ServicePlacement] = {}
        self.events: dict[str, list] = {}
        self.first_at: dict[str, float] = {}
        self.start, self.beat = start, beat
        self.leaving: set[str] = set()  # workers that a plan takes out of use, or that are ill

    def reset(self) -> None:
        """Forget what was asked for: begin again from the table that stands."""
        self.services.clear()

    def record_report(
        self,
        now: float,
        service: str,
        proxy: str,
        heat: dict[str, int],
        keys: dict[str, int],
        over: float,
        met: list,
    ) -> None:
        office = self.services.get(service)
        if office is not None:
            office.record_request_counts(proxy, now, heat, keys, over)
            self.events.setdefault(service, []).extend(met)

    def plan_changes(
        self,
        now: float,
        services: dict[str, Any],
        aims: dict[str, float],
        registry: WorkerRegistry,
        silent: set[str],
        table: dict | None,
    ) -> dict[str, SliceChanges]:
        """The changes to ask for now; nothing where the table is as it should be."""
        wanted = {}
        stands, steps = table["s"] if table else {}, drain_steps_of(table)
        self.leaving = {instance_id for instance_id, step in steps.items() if step != DRAIN_ANNOUNCED} | set(
            ejected_workers(table)
        )
        for service, told in services.items():
            rows = {instance_id: row for instance_id, row in registry.rows.items() if row.service == service}
            ready = [
                instance_id
                for instance_id, row in rows.items()
                if row.phase == READY and instance_id not in silent
            ]
            ready = [instance_id for instance_id in ready if instance_id not in self.leaving]
            if service not in stands:  # the first table waits until those that are up have been heard
                if not ready or now < self.first_at.setdefault(
                    service, now + self.beat * FIRST_TABLE_HEARTBEATS
                ):
                    continue
            entries = stands.get(service)
            if entries and now < self.start + self.beat * FIRST_TABLE_HEARTBEATS:
                if any(entry[WORKER] and entry[WORKER] not in registry.rows for entry in entries.values()):
                    continue  # just started: a worker not heard yet is not a worker that is gone
            count = len(entries) if entries else initial_slice_count(len(ready))
            office = self.services.get(service)
            if office is None or office.keyed != told.keyed:
                office = self.services[service] = ServicePlacement(
                    service, told.keyed, count, aims.get(service, 1.0), self.notice
                )
            office.count = office.facts["slices"] = count
            lines, splits = self.ask(now, office, rows, silent, registry, entries)
            readers = office.readers(entries) if told.read_replicas and entries else {}
            if lines or splits or readers:
                wanted[service] = SliceChanges(lines, splits, count, readers)
        return wanted

    def hot_keys(self) -> dict[str, HotKeyNotice]:
        """By service, what desks are to know of crowded records; services without any are left out."""
        found = {service: office.hot_keys.notice() for service, office in self.services.items()}
        return {service: told for service, told in found.items() if told.watched_ranges}

    def service_capacities(self) -> dict[str, ServiceCapacity]:
        """By service, how busy its workers are and how much each can do, what is cold counted as cold."""
        found = {}
        for service, office in self.services.items():
            ready = office.manager.ready()
            busy = sum(mean(w.levels) * w.weight for w in ready)
            found[service] = ServiceCapacity(busy, {w.name: w.weight * w.ramp() for w in ready if w.usable})
        return found

    def zone_shares(self) -> dict[str, dict[str, float]]:
        """By service and zone, the part of the zone's requests that stay in it."""
        found = {service: office.zone_affinity.local_shares for service, office in self.services.items()}
        return {service: parts for service, parts in found.items() if parts}

    def ask(
        self,
        now: float,
        office: ServicePlacement,
        rows: dict,
        silent: set[str],
        registry: WorkerRegistry,
        entries: dict | None,
    ):
        events, listed = self.events.pop(office.service, []), {}
        for instance_id, row in rows.items():
            state = door.GONE if instance_id in silent else POLICY_STATES.get(row.phase, door.GONE)
            if state == door.READY and instance_id in self.leaving:
                state = door.DRAINING  # by a plan, or ill: its slices move at once, it serves what it has
            office.facts["warm_after"] = max(office.facts["warm_after"], row.cold)
            listed[instance_id] = (
                state,
                float(max(row.slots, 1)),
                row.zone,
                registry.warm_at.get(instance_id, 0.0) if row.cold else None,
            )
        if listed != office.listed:
            office.listed, after = listed, office.facts["warm_after"]
            events.insert(
                0,
                door.WorkersListed(
                    tuple(
                        door.ListedWorker(
                            instance_id, state, weight, zone, 0, "", warm - after if warm else None
                        )
                        for instance_id, (state, weight, zone, warm) in listed.items()
                    ),
                    True,
                ),
            )
        if entries is None:
            entries = {str(i * KEY_SPACE_SIZE // office.count): EMPTY for i in range(office.count)}
        events += self.told_anew(
            office, {int(start): tuple(entry[:FENCING_TOKEN]) for start, entry in entries.items()}
        )
        orders = office.manager.handle(now, [*events, *office.heat(now)])
        lines = {}
        for start in {order.table for order in orders if isinstance(order, door.SetLine)}:
            line = self.line(office.manager.slices[start])
            if line and line != office.known[start]:
                lines[start] = office.known[start] = line
        if not office.keyed:
            if now >= office.split_at + office.facts["cycle"]:
                office.split_at = now
                usable = [w for w in office.manager.usable() if w.levels]
                office.zone_affinity.adjust((w.zone, w.weight, mean(w.levels)) for w in usable)
            return lines, []
        splits = office.split(now, entries, lines)
        office.known.update(office.lines)
        lines, office.lines = lines | office.lines, {}
        return lines, splits

    @staticmethod
    def told_anew(office: ServicePlacement, lines: dict[int, tuple]) -> list:
        """Where the table is another than the manager thinks: tell it the lines that stand."""
        events = []
        for start, line in lines.items():
            if office.known.get(start) == line:
                continue
            events.append(door.SliceGiven(start, True))
            if line[WORKER]:
                events.append(door.LineHeld(start, line[WORKER], 1.0))
            if line[SECOND]:
                events.append(door.LineHeld(start, line[SECOND], line[SECOND_SHARE]))
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
