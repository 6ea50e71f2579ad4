"""Recorded runs of several managers in the adapter: their input and their output.

A run simulates discovery, proxies, workers under load and the managers' timers from a seed. The recordings
are stored under tests/data, and `tests/test_adapter_recordings.py` compares the output byte for byte. After
an intended change of decisions, record the runs again:

    PYTHONHASHSEED=0 python -m tests.adapter_recordings
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
REPORT_TURNS = 4  # batches between load reports
READY, DRAINING, DEREGISTERED = 2, 0, 1  # states of a worker on the wire
ANSWERED, TIMED_OUT, UNREACHABLE = 100, 303, 304  # outcomes of a health check on the wire
COMPLETE, CHANGES, FAILED = 1, 0, 3  # forms of a view of the worker list


@dataclass(frozen=True)
class Site:
    """The size and the settings of a simulated deployment."""

    managers: int = 3
    slices: int = 18
    proxies: int = 4
    workers: int = 8
    turns: int = 800  # batches
    options: dict[str, Any] = field(default_factory=dict)  # replace the default startup options


SITES = {  # by the name of the recording
    "plenty": Site(),  # the default sizes
    # the options name no load fields, and the worker list is sent only on request
    "blind": Site(managers=2, options={"report": {"fields": []}, "discovery": "subscribe"}),
    # fewer workers, more slices and few messages
    "crowded": Site(
        workers=5,
        slices=24,
        options={"specifics": {"lb_method": "pair", "pushes_allowed": 40, "counted_over": 10000.0}},
    ),
    # one manager for all slices
    "single": Site(managers=1, proxies=9, slices=40, options={"n_instances": 1, "weight_kind": "nominal"}),
}


def startup_options(site: Site, manager: int) -> dict[str, Any]:
    """Return the startup options of one manager."""
    classes = [
        ("look", 200.0, 1000.0, 1.0, "read_like"),
        ("pay", 400.0, 3000.0, 5.0, "idempotency_key"),
        ("send", 1000.0, 4000.0, 2.0, "non_idempotent"),
    ]
    keys = ("name", "objective", "deadline", "importance", "effect")
    defaults = {
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
    overrides = dict(site.options)
    specifics |= overrides.pop("specifics", {})
    return {**defaults, **overrides, "specifics": specifics}


class Worker:
    """A worker that responds more slowly under load, and drops requests above its capacity."""

    def __init__(self, name: str, zone: str, capacity: float, started: float) -> None:
        self.name, self.zone, self.capacity, self.started = name, zone, capacity, started
        self.state, self.alive, self.load = READY, True, 0.0

    def list_entry(self) -> dict[str, Any]:
        """Return the worker's entry in a worker list."""
        entry = {"worker": self.name, "health": self.state, "w": 1.0, "rack_zone": self.zone, "cluster": 0}
        return {**entry, "class_of_host": "c4", "boot_time": self.started}


class AdapterRun:
    """One run: `input_lines` generates the adapter's input, and carries out its output after each batch."""

    def __init__(self, seed: int, site: Site) -> None:
        self.rng, self.site, self.now, self.round = random.Random(seed), site, START_MS, 0
        self.output, self.read_position, self.list_count, self.next_worker = io.BytesIO(), 0, 0, 0
        self.input: list[bytes] = []
        self.workers: dict[str, Worker] = {}
        for _ in range(site.workers):
            self.add_worker(0.0)
        self.tables: dict[int, dict[str, float]] = {k: {} for k in range(site.slices)}
        self.heat = {k: self.rng.uniform(2.0, 30.0) for k in range(site.slices)}
        self.owner = {k: k % site.managers for k in range(site.slices)}
        self.running: set[int] = set()
        # (time in ms at which it is due, sequence number, message, fields)
        self.scheduled: list[tuple[float, int, str, dict]] = []
        self.sequence = 0

    def add_worker(self, started: float) -> Worker:
        name = f"worker-{self.next_worker}"
        capacity = self.rng.uniform(60.0, 140.0)
        worker = self.workers[name] = Worker(name, "ab"[self.next_worker % 2], capacity, started)
        self.next_worker += 1
        return worker

    # --- input and output

    def input_lines(self) -> Iterator[bytes]:
        for turn in range(self.site.turns):
            self.now, self.round = self.now + TURN_MS, self.round + 1
            yield self.record_input("clock", t=self.now, round=self.round)
            yield from self.batch_messages(turn)
            yield self.record_input("eof_batch")
            self.apply_replies()

    def record_input(self, message: str, **fields: Any) -> bytes:
        line = json.dumps({message: fields}, separators=(",", ":")).encode() + b"\n"
        self.input.append(line)
        return line

    def schedule(self, delay: float, message: str, **fields: Any) -> None:
        """Schedule a message to a manager in `delay` ms."""
        self.sequence += 1
        self.scheduled.append((self.now + delay, self.sequence, message, fields))

    def apply_replies(self) -> None:
        """Carry out the orders that the managers returned for the last batch."""
        replies = self.output.getvalue()[self.read_position :]
        self.read_position += len(replies)
        for reply in replies.splitlines():
            ((message, fields),) = json.loads(reply).items()
            if message == "bug":
                raise AssertionError(f"a manager raised an exception: {fields}")
            self.apply_reply(message, fields)

    def apply_reply(self, message: str, fields: dict) -> None:
        manager, rng = fields.get("who"), self.rng
        match message:
            case "set_weight":
                table = self.tables[fields["table"]]
                table.pop(fields["worker"], None)
                if fields["w"]:
                    table[fields["worker"]] = fields["w"]
            case "reset_table":
                self.tables[fields["table"]].clear()
            case "sleep":
                self.schedule(fields["delay"], "wakeup", who=manager, nonce=fields["nonce"])
            case "seal":
                for proxy in range(self.site.proxies):
                    elapsed = rng.uniform(20.0, 900.0)
                    if rng.random() < 0.98:
                        self.schedule(
                            elapsed,
                            "installed",
                            who=manager,
                            edge=proxy,
                            gen=fields["gen"],
                            time_taken=elapsed,
                        )
            case "touch":
                worker = self.workers.get(fields["worker"])
                how = ANSWERED if worker and worker.alive else rng.choice((TIMED_OUT, UNREACHABLE))
                self.schedule(
                    50.0, "ping_result", who=manager, worker=fields["worker"], how=how, time_taken=12.5
                )
            case "say":
                for peer in self.running - {manager}:
                    self.schedule(30.0, "mail", who=peer, origin_peer=manager, msg=fields["msg"])
            case "query_all" | "follow":
                self.schedule(100.0, "complete list", who=manager)

    # --- the messages of a batch

    def batch_messages(self, turn: int) -> Iterator[bytes]:
        if turn == 0:
            for manager in range(self.site.managers):
                yield from self.start(manager)
        yield from self.due_messages()
        yield from self.worker_changes(turn)
        yield from self.failures(turn)
        if turn % REPORT_TURNS == 0:
            yield from self.load_reports(turn)

    def due_messages(self) -> Iterator[bytes]:
        due = sorted(item for item in self.scheduled if item[0] <= self.now)
        self.scheduled = [item for item in self.scheduled if item[0] > self.now]
        for _, _, message, fields in due:
            if fields["who"] not in self.running:
                continue
            if message == "complete list":
                yield from self.send_list([fields["who"]], list(self.workers.values()), COMPLETE)
            else:
                yield self.record_input(message, **fields)

    def start(self, manager: int) -> Iterator[bytes]:
        """Start a manager, and send it the worker list, the proxies and its slices."""
        options = startup_options(self.site, manager)
        yield self.record_input("start", who=manager, seed=self.rng.randrange(2**31), options=options)
        self.running.add(manager)
        yield from self.send_list([manager], list(self.workers.values()), COMPLETE)
        for proxy in range(self.site.proxies):
            yield self.record_input(
                "enrolled", who=manager, edge=proxy, rack_zone="ab"[proxy % 2], w=5.0, flag=False
            )
        for number in range(self.site.slices):
            if self.owner[number] == manager:
                yield from self.assign_slice(number)

    def assign_slice(self, number: int) -> Iterator[bytes]:
        yield self.record_input("handed", who=self.owner[number], table=number, flag=True)
        for worker, weight in self.tables[number].items():
            yield self.record_input("held", who=self.owner[number], table=number, worker=worker, w=weight)

    def send_list(self, managers: list[int], workers: list[Worker], form: int) -> Iterator[bytes]:
        self.list_count += 1
        yield self.record_input(
            "ledger", list=self.list_count, items=[worker.list_entry() for worker in workers]
        )
        for manager in managers:
            yield self.record_input("view", who=manager, form=form, gen=self.list_count, list=self.list_count)

    def worker_changes(self, turn: int) -> Iterator[bytes]:
        """Add, drain and deregister workers; sometimes, fail the worker list."""
        rng, changed = self.rng, []
        for worker in list(self.workers.values()):
            if worker.state == DRAINING and rng.random() < 0.01:
                worker.state, worker.alive = DEREGISTERED, False
                changed.append(worker)
            elif not worker.alive and worker.state == READY and rng.random() < 0.02:
                worker.state = DEREGISTERED
                changed.append(worker)
        ready = [worker for worker in self.workers.values() if worker.state == READY]
        if rng.random() < 0.01 and len(ready) > 3:
            drained = rng.choice(ready)
            drained.state = DRAINING
            changed.append(drained)
        if rng.random() < 0.02 and len(ready) < self.site.workers + 2:
            changed.append(self.add_worker(self.now))
        managers = sorted(self.running)
        if changed:
            yield from self.send_list(managers, changed, CHANGES)
        if rng.random() < 0.004 and managers:
            yield self.record_input("view", who=rng.choice(managers), form=FAILED, gen=0, list=0)
        if turn % 400 == 399:
            yield from self.send_list(managers, list(self.workers.values()), COMPLETE)

    def failures(self, turn: int) -> Iterator[bytes]:
        """Stop workers, disconnect proxies, reassign slices, and crash and restart managers."""
        rng = self.rng
        alive = [worker for worker in self.workers.values() if worker.alive and worker.state == READY]
        if rng.random() < 0.004 and len(alive) > 3:
            rng.choice(alive).alive = False
        if rng.random() < 0.01 and self.running:
            manager, proxy = rng.choice(sorted(self.running)), rng.randrange(self.site.proxies)
            yield self.record_input("disconnected", who=manager, edge=proxy)
            fields = {"edge": proxy, "rack_zone": "ab"[proxy % 2], "w": 5.0, "flag": rng.random() < 0.5}
            self.schedule(rng.uniform(200.0, 4000.0), "enrolled", who=manager, **fields)
        if rng.random() < 0.006 and len(self.running) > 1:
            number = rng.randrange(self.site.slices)
            if self.owner[number] in self.running:
                yield self.record_input("handed", who=self.owner[number], table=number, flag=False)
            self.owner[number] = rng.choice(sorted(self.running))
            yield from self.assign_slice(number)
        if turn and rng.random() < 0.002:
            manager = rng.randrange(self.site.managers)
            if manager in self.running:
                self.running.remove(manager)
                self.scheduled = [item for item in self.scheduled if item[3]["who"] != manager]
                yield self.record_input("crash_now", who=manager)
        for manager in sorted(set(range(self.site.managers)) - self.running):
            if rng.random() < 0.1:
                yield from self.start(manager)

    def load_reports(self, turn: int) -> Iterator[bytes]:
        """Report the heat of slices, and the attempts that proxies made at workers."""
        rng, interval = self.rng, REPORT_TURNS * TURN_MS
        surge = 1.8 if turn // 200 % 3 == 2 else 1.0
        for worker in self.workers.values():
            worker.load = 0.0
        for number, table in self.tables.items():
            self.heat[number] = min(max(self.heat[number] * rng.uniform(0.93, 1.07), 0.5), 60.0)
            invocations = int(self.heat[number] * surge)
            primary = max(table, key=lambda name: table[name], default=None)
            if primary in self.workers:
                self.workers[primary].load += invocations
            if self.owner[number] in self.running:
                fields = {"who": self.owner[number], "table": number, "over": interval}
                for operation, share in (("look", 0.7), ("pay", 0.2), ("send", 0.1)):
                    fields |= {"class": operation, "n": int(invocations * share), "bad": 0}
                    yield self.record_input("weight_seen", **fields)
        for worker in self.workers.values():
            if worker.state != DEREGISTERED or worker.load:
                yield from self.worker_reports(worker, interval)

    def worker_reports(self, worker: Worker, interval: float) -> Iterator[bytes]:
        utilization = worker.load / worker.capacity
        attempts = int(worker.load) // 2
        unanswered = attempts if not worker.alive else int(attempts * max(utilization - 1.0, 0.0) / 2)
        response_ms = 40.0 / max(1.0 - utilization, 0.05) if worker.alive else 3000.0
        report = {
            "cpu": round(min(utilization, 1.0), 3),
            "waiting": round(max(utilization - 0.8, 0.0) * 50, 1),
            "odd": 7,  # an unknown field, which the adapter ignores
        }
        for manager in sorted(self.running):
            for zone in "ab":
                fields = {
                    "worker": worker.name,
                    "rack_zone": zone,
                    "n": attempts,
                    "bad": min(unanswered, attempts),
                }
                load = {"health_info": report} if worker.alive else {}
                times = {"time_taken": round(response_ms, 3), "over": interval}
                yield self.record_input("heard", who=manager, **fields, **times, **load)


def record_run(seed: int, site: Site) -> tuple[bytes, bytes]:
    """Return the input of one run and the adapter's output."""
    run = AdapterRun(seed, site)
    host.serve(run.input_lines(), run.output)
    return b"".join(run.input), run.output.getvalue()


def recording_paths(name: str) -> tuple[Path, Path]:
    """Return the paths of the recorded input and output of one run."""
    return DATA / f"adapter-{name}-input.jsonl.xz", DATA / f"adapter-{name}-output.jsonl.xz"


def main() -> None:
    for seed, (name, site) in enumerate(SITES.items()):
        for path, data in zip(recording_paths(name), record_run(seed, site), strict=True):
            path.write_bytes(lzma.compress(data, preset=9))
            print(f"{path.name}: {len(data)} bytes, {path.stat().st_size} compressed")


if __name__ == "__main__":
    main()
