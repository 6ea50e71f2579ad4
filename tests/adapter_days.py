"""Days of several managers on the adapter's wire, recorded with the answers that they got.

A day plays discovery, proxies, workers under load and the managers' timers against the adapter itself, from a
seed. What went in and what came out is kept under tests/data; `tests/test_adapter_days.py` compares the
answers byte for byte. After a change that is meant to decide otherwise, record the days again:

    PYTHONHASHSEED=0 python -m tests.adapter_days
"""

import io
import json
import lzma
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bramblewood.adapter import host

DATA = Path(__file__).parent / "data"
START_MS = 1_000_000.0
TURN_MS = 250.0  # between batches
REPORT_TURNS = 4  # batches between the reports of load
READY, DRAINING, GONE = 2, 0, 1  # health of a worker on the wire
ANSWERED, TIMED_OUT, UNREACHABLE = 100, 303, 304
COMPLETE, CHANGES, FAILED = 1, 0, 3  # forms of a view


@dataclass(frozen=True)
class Site:
    """What a day's deployment is like."""

    managers: int = 3
    slices: int = 18
    proxies: int = 4
    workers: int = 8
    turns: int = 800  # batches
    options: dict[str, Any] = field(default_factory=dict)  # laid over the usual start-up settings


SITES = {
    "plenty": Site(),
    "blind": Site(managers=2, options={"report": {"fields": []}, "discovery": "subscribe"}),
    "crowded": Site(
        workers=5,
        slices=24,
        options={"specifics": {"lb_method": "pair", "pushes_allowed": 40, "counted_over": 10000.0}},
    ),
    "single": Site(managers=1, proxies=9, slices=40, options={"n_instances": 1, "weight_kind": "nominal"}),
}


def options_of(site: Site, manager: int) -> dict[str, Any]:
    """The start-up settings of one manager."""
    classes = [
        ("look", 200.0, 1000.0, 1.0, "read_like"),
        ("pay", 400.0, 3000.0, 5.0, "idempotency_key"),
        ("send", 1000.0, 4000.0, 2.0, "non_idempotent"),
    ]
    keys = ("name", "objective", "deadline", "importance", "effect")
    usual = {
        "me": manager,
        "az": "ab"[manager % 2],
        "zones": ["a", "b"],
        "n_instances": site.managers,
        "discovery": "automatic",
        "report": {"fields": ["cpu", "waiting", "avg_ms"]},
        "classes": [dict(zip(keys, values, strict=True)) for values in classes],
        "limits": {"may_probe": True, "peers": True},
        "obligations": {"stop_sending_within": 20000.0, "warm_after": 8000.0, "cold_from": 0.2},
    }
    specifics = {"key_ranges": site.slices, "proxy_count": site.proxies, "usual_how": 0, "cycle": 1000.0}
    specifics |= {"egress_per_s": 400.0, "overhead": 2, "push_delay": 300.0, "most_waiting": 500}
    more = dict(site.options)
    specifics |= more.pop("specifics", {})
    return {**usual, **more, "specifics": specifics}


class Worker:
    """A worker that grows slow, then drops requests, as its load passes what it can do."""

    def __init__(self, name: str, zone: str, able: float, started: float) -> None:
        self.name, self.zone, self.able, self.started = name, zone, able, started
        self.health, self.alive, self.load = READY, True, 0.0

    def item(self) -> dict[str, Any]:
        """Its entry in a list of workers."""
        item = {"worker": self.name, "health": self.health, "w": 1.0, "rack_zone": self.zone, "cluster": 0}
        return {**item, "class_of_host": "c4", "boot_time": self.started}


class Day:
    """One day: `lines` is the adapter's input, made while its output comes in."""

    def __init__(self, seed: int, site: Site) -> None:
        self.dice, self.site, self.now, self.round = random.Random(seed), site, START_MS, 0
        self.out, self.read, self.lists, self.next_worker = io.BytesIO(), 0, 0, 0
        self.input: list[bytes] = []
        self.workers: dict[str, Worker] = {}
        for _ in range(site.workers):
            self.new_worker(0.0)
        self.tables: dict[int, dict[str, float]] = {k: {} for k in range(site.slices)}
        self.heat = {k: self.dice.uniform(2.0, 30.0) for k in range(site.slices)}
        self.owner = {k: k % site.managers for k in range(site.slices)}
        self.up: set[int] = set()
        self.due: list[tuple[float, int, str, dict]] = []  # when, order, message, fields
        self.count = 0

    def new_worker(self, started: float) -> Worker:
        name = f"worker-{self.next_worker}"
        able = self.dice.uniform(60.0, 140.0)
        made = self.workers[name] = Worker(name, "ab"[self.next_worker % 2], able, started)
        self.next_worker += 1
        return made

    # --- the wire

    def lines(self) -> Iterator[bytes]:
        for turn in range(self.site.turns):
            self.now, self.round = self.now + TURN_MS, self.round + 1
            yield self.line("clock", t=self.now, round=self.round)
            yield from self.events(turn)
            yield self.line("eof_batch")
            self.take_replies()

    def line(self, message: str, **fields: Any) -> bytes:
        made = json.dumps({message: fields}, separators=(",", ":")).encode() + b"\n"
        self.input.append(made)
        return made

    def after(self, delay: float, message: str, **fields: Any) -> None:
        """An event to come after so many ms."""
        self.count += 1
        self.due.append((self.now + delay, self.count, message, fields))

    def take_replies(self) -> None:
        """Carry out what the managers ordered in the last batch."""
        replies = self.out.getvalue()[self.read :]
        self.read += len(replies)
        for reply in replies.splitlines():
            ((message, fields),) = json.loads(reply).items()
            if message == "bug":
                raise AssertionError(f"a manager failed: {fields}")
            self.obey(message, fields)

    def obey(self, message: str, fields: dict) -> None:
        who, dice = fields.get("who"), self.dice
        match message:
            case "set_weight":
                table = self.tables[fields["table"]]
                table.pop(fields["worker"], None)
                if fields["w"]:
                    table[fields["worker"]] = fields["w"]
            case "reset_table":
                self.tables[fields["table"]].clear()
            case "sleep":
                self.after(fields["delay"], "wakeup", who=who, nonce=fields["nonce"])
            case "seal":
                for proxy in range(self.site.proxies):
                    took = dice.uniform(20.0, 900.0)
                    if dice.random() < 0.98:
                        self.after(took, "installed", who=who, edge=proxy, gen=fields["gen"], time_taken=took)
            case "touch":
                worker = self.workers.get(fields["worker"])
                how = ANSWERED if worker and worker.alive else dice.choice((TIMED_OUT, UNREACHABLE))
                self.after(50.0, "ping_result", who=who, worker=fields["worker"], how=how, time_taken=12.5)
            case "say":
                for peer in self.up - {who}:
                    self.after(30.0, "mail", who=peer, origin_peer=who, msg=fields["msg"])
            case "query_all" | "follow":
                self.after(100.0, "whole list", who=who)

    # --- events

    def events(self, turn: int) -> Iterator[bytes]:
        if turn == 0:
            for manager in range(self.site.managers):
                yield from self.start(manager)
        yield from self.due_events()
        yield from self.discovery(turn)
        yield from self.accidents(turn)
        if turn % REPORT_TURNS == 0:
            yield from self.reports(turn)

    def due_events(self) -> Iterator[bytes]:
        due = sorted(item for item in self.due if item[0] <= self.now)
        self.due = [item for item in self.due if item[0] > self.now]
        for _, _, message, fields in due:
            if fields["who"] not in self.up:
                continue
            if message == "whole list":
                yield from self.list_to([fields["who"]], list(self.workers.values()), COMPLETE)
            else:
                yield self.line(message, **fields)

    def start(self, manager: int) -> Iterator[bytes]:
        """A manager begins, and is told what there is."""
        options = options_of(self.site, manager)
        yield self.line("start", who=manager, seed=self.dice.randrange(2**31), options=options)
        self.up.add(manager)
        yield from self.list_to([manager], list(self.workers.values()), COMPLETE)
        for proxy in range(self.site.proxies):
            yield self.line("enrolled", who=manager, edge=proxy, rack_zone="ab"[proxy % 2], w=5.0, flag=False)
        for number in range(self.site.slices):
            if self.owner[number] == manager:
                yield from self.hand(number)

    def hand(self, number: int) -> Iterator[bytes]:
        yield self.line("handed", who=self.owner[number], table=number, flag=True)
        for worker, weight in self.tables[number].items():
            yield self.line("held", who=self.owner[number], table=number, worker=worker, w=weight)

    def list_to(self, managers: list[int], workers: list[Worker], form: int) -> Iterator[bytes]:
        self.lists += 1
        yield self.line("ledger", list=self.lists, items=[worker.item() for worker in workers])
        for manager in managers:
            yield self.line("view", who=manager, form=form, gen=self.lists, list=self.lists)

    def discovery(self, turn: int) -> Iterator[bytes]:
        """Workers come, drain, end and are found dead; at times the list fails."""
        dice, changed = self.dice, []
        for worker in list(self.workers.values()):
            if worker.health == DRAINING and dice.random() < 0.01:
                worker.health, worker.alive = GONE, False
                changed.append(worker)
            elif not worker.alive and worker.health == READY and dice.random() < 0.02:
                worker.health = GONE
                changed.append(worker)
        ready = [worker for worker in self.workers.values() if worker.health == READY]
        if dice.random() < 0.01 and len(ready) > 3:
            leaver = dice.choice(ready)
            leaver.health = DRAINING
            changed.append(leaver)
        if dice.random() < 0.02 and len(ready) < self.site.workers + 2:
            changed.append(self.new_worker(self.now))
        managers = sorted(self.up)
        if changed:
            yield from self.list_to(managers, changed, CHANGES)
        if dice.random() < 0.004 and managers:
            yield self.line("view", who=dice.choice(managers), form=FAILED, gen=0, list=0)
        if turn % 400 == 399:
            yield from self.list_to(managers, list(self.workers.values()), COMPLETE)

    def accidents(self, turn: int) -> Iterator[bytes]:
        """Workers die, proxies break off, slices pass to other managers, managers crash and start anew."""
        dice = self.dice
        alive = [worker for worker in self.workers.values() if worker.alive and worker.health == READY]
        if dice.random() < 0.004 and len(alive) > 3:
            dice.choice(alive).alive = False
        if dice.random() < 0.01 and self.up:
            manager, proxy = dice.choice(sorted(self.up)), dice.randrange(self.site.proxies)
            yield self.line("disconnected", who=manager, edge=proxy)
            fields = {"edge": proxy, "rack_zone": "ab"[proxy % 2], "w": 5.0, "flag": dice.random() < 0.5}
            self.after(dice.uniform(200.0, 4000.0), "enrolled", who=manager, **fields)
        if dice.random() < 0.006 and len(self.up) > 1:
            number = dice.randrange(self.site.slices)
            if self.owner[number] in self.up:
                yield self.line("handed", who=self.owner[number], table=number, flag=False)
            self.owner[number] = dice.choice(sorted(self.up))
            yield from self.hand(number)
        if turn and dice.random() < 0.002:
            manager = dice.randrange(self.site.managers)
            if manager in self.up:
                self.up.remove(manager)
                self.due = [item for item in self.due if item[3]["who"] != manager]
                yield self.line("crash_now", who=manager)
        for manager in sorted(set(range(self.site.managers)) - self.up):
            if dice.random() < 0.1:
                yield from self.start(manager)

    def reports(self, turn: int) -> Iterator[bytes]:
        """Heat of slices, and what proxies met at workers."""
        dice, over = self.dice, REPORT_TURNS * TURN_MS
        surge = 1.8 if turn // 200 % 3 == 2 else 1.0
        for worker in self.workers.values():
            worker.load = 0.0
        for number, table in self.tables.items():
            self.heat[number] = min(max(self.heat[number] * dice.uniform(0.93, 1.07), 0.5), 60.0)
            invocations = int(self.heat[number] * surge)
            main = max(table, key=lambda name: table[name], default=None)
            if main in self.workers:
                self.workers[main].load += invocations
            if self.owner[number] in self.up:
                fields = {"who": self.owner[number], "table": number, "over": over}
                for operation, part in (("look", 0.7), ("pay", 0.2), ("send", 0.1)):
                    fields |= {"class": operation, "n": int(invocations * part), "bad": 0}
                    yield self.line("weight_seen", **fields)
        for worker in self.workers.values():
            if worker.health != GONE or worker.load:
                yield from self.heard(worker, over)

    def heard(self, worker: Worker, over: float) -> Iterator[bytes]:
        use = worker.load / worker.able
        tries = int(worker.load) // 2
        bad = tries if not worker.alive else int(tries * max(use - 1.0, 0.0) / 2)
        time_taken = 40.0 / max(1.0 - use, 0.05) if worker.alive else 3000.0
        health = {"cpu": round(min(use, 1.0), 3), "waiting": round(max(use - 0.8, 0.0) * 50, 1), "odd": 7}
        for manager in sorted(self.up):
            for zone in "ab":
                fields = {"worker": worker.name, "rack_zone": zone, "n": tries, "bad": min(bad, tries)}
                load = {"health_info": health} if worker.alive else {}
                times = {"time_taken": round(time_taken, 3), "over": over}
                yield self.line("heard", who=manager, **fields, **times, **load)


def played(seed: int, site: Site) -> tuple[bytes, bytes]:
    """One day's input and the adapter's output."""
    day = Day(seed, site)
    host.serve(day.lines(), day.out)
    return b"".join(day.input), day.out.getvalue()


def files(name: str) -> tuple[Path, Path]:
    """Where a day's input and output are kept."""
    return DATA / f"adapter-{name}-input.jsonl.xz", DATA / f"adapter-{name}-output.jsonl.xz"


def main() -> None:
    for seed, (name, site) in enumerate(SITES.items()):
        for path, data in zip(files(name), played(seed, site), strict=True):
            path.write_bytes(lzma.compress(data, preset=9))
            print(f"{path.name}: {len(data)} bytes, {path.stat().st_size} compressed")


if __name__ == "__main__":
    main()
