"""What a calm second costs a proxy and a controller, by proxies, workers and routes: `python -m
benchmarks.gateway`.

No sockets and no bench: the cores are fed with reports from a seed. Bytes are those of the messages as JSON,
before deflating; each figure stands beside the same with whole tables in place of differences, as the first
text sent them. Processor time is this machine's; only ratios and growth mean something elsewhere.
"""

import argparse
import json
import random
import time
from dataclasses import dataclass

from bramblewood.common.configuration import Service
from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.messages import TableUpdate
from bramblewood.common.slice_table import KEY_SPACE_SIZE, KEYS_PER_RANGE
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.placement import PlacementPlanner, apply_slice_changes, worker_report
from bramblewood.controller.proxy_updates import ProxyUpdates
from bramblewood.controller.value_diff import difference
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.load_balancing import LoadBalancer

SIZES = (  # proxies, workers, routes
    (10, 35, 10),
    (70, 35, 10),
    (70, 120, 10),
    (200, 120, 10),
    (200, 500, 10),
    (70, 120, 100),
    (70, 120, 1000),
)
RATE = 8.0  # requests a second and proxy
SECONDS = 20  # measured
SETTLING_SECONDS = 5.0  # before, not measured
CYCLE = 0.5  # s between two reports of a proxy, and two steps of the planner
START = 100.0  # s, the clock at the start
CHOICES = 2000  # of a route and a worker, timed
SERVICES = ("keyed", "plain")


def size(message: object) -> int:
    """Bytes of a message as JSON."""
    return len(json.dumps(message, separators=(",", ":")))


def config(routes: int) -> dict:
    """A configuration of so many routes."""
    records = [
        [f"r{i}", f"h{i % 7}.example", f"/p{i}/q/", "pure", 3, 0.8, 1, 2, "keyed" if i % 2 else "plain"]
        for i in range(routes)
    ]
    return configuration("r2", records, [["keyed", True], ["plain", None]])


def registry_of(workers: int) -> WorkerRegistry:
    """So many workers, half of each service."""
    registry = WorkerRegistry()
    for i in range(workers):
        address = f"10.0.{i // 250}.{i % 250}:8080"
        registration = WorkerRegistration("keyed" if i % 2 else "plain", address, "z", 4, "ready", 1)
        registry.record(START, f"i-{i:08x}", registration)
    return registry


@dataclass
class Costs:
    """Sums of a stretch: processor time in s, bytes, tables made."""

    controller_time: float = 0.0
    pushed: int = 0  # differences of the table, to all proxies
    pushed_whole: int = 0  # the same with whole tables
    reports: int = 0
    accepts: int = 0  # differences of the table, to a voter
    accepts_whole: int = 0
    versions: int = 0


class CalmStretch:
    """The cores of a controller and of its proxies, fed with reports from a seed."""

    def __init__(self, proxies: int, workers: int) -> None:
        self.proxies, self.random, self.now = proxies, random.Random(1), START
        self.registry, self.updates = registry_of(workers), ProxyUpdates()
        self.services = {name: Service(name, "/", 100, name == "keyed", 0.0) for name in SERVICES}
        self.planner, self.table = PlacementPlanner(START, 1.5), None
        self.load_balancer = LoadBalancer(2.5)
        self.load_balancer.registry = self.registry
        self.costs = Costs()

    def run(self) -> float:
        """The whole stretch; the s that were measured."""
        measured_from = None
        while self.now < START + SETTLING_SECONDS + SECONDS:
            self.now += CYCLE
            if self.now > START + SETTLING_SECONDS and measured_from is None:
                measured_from, self.costs = self.now, Costs()
            for proxy in range(self.proxies if self.table else 0):
                self.take_report(f"d{proxy}", self.report())
            self.plan()
        return self.now - measured_from

    def report(self) -> str:
        """A proxy's report of one cycle, as it is sent."""
        heat: dict[str, dict] = {name: {} for name in SERVICES}
        met = {}
        for _ in range(int(RATE * CYCLE)):
            service = self.random.choice(SERVICES)
            key = int(KEY_SPACE_SIZE * self.random.random() ** 2)
            key_range = str(key // KEYS_PER_RANGE)
            heat[service][key_range] = heat[service].get(key_range, 0) + 1
            instance_id = self.load_balancer.slices.entry(service, key)[0]
            met[instance_id] = [1, 0, 0.2, [2, 0, 4]]
        return json.dumps({"k": "report", "over": CYCLE, "heat": heat, "met": met})

    def take_report(self, proxy: str, report: str) -> None:
        """A report, as the coordinator takes it."""
        self.costs.reports += len(report)
        began = time.process_time()
        message = json.loads(report)
        workers: dict[str, list] = {name: [] for name in SERVICES}
        for instance_id, (attempts, failed, mean, load) in message["met"].items():
            service = self.registry.registrations[instance_id].service
            workers[service].append(worker_report(instance_id, attempts, failed, mean, CYCLE, load))
        for service, reports in workers.items():
            heat = message["heat"][service]
            self.planner.record_report(self.now, service, proxy, heat, {}, CYCLE, reports)
        self.costs.controller_time += time.process_time() - began

    def plan(self) -> None:
        """A step of the planner, and what a new table costs."""
        began = time.process_time()
        changes = self.planner.plan_changes(self.now, self.services, {}, self.registry, set(), self.table)
        table = apply_slice_changes(self.table, changes, {"keyed"})[0] if changes else None
        update = None
        if table is not None:
            self.updates.record_table(table)
            update = self.updates.update_since(self.table["n"]) if self.table else None
        self.costs.controller_time += time.process_time() - began
        if table is not None:
            self.costs.versions += 1
            if update:
                self.count_bytes(table, update)
            self.table = table
            self.load_balancer.slices.apply(TableUpdate(table["n"], table["s"]))

    def count_bytes(self, table: dict, update: TableUpdate) -> None:
        """Bytes of a new table to voters and proxies, beside those of the whole."""
        self.costs.accepts += size(difference(self.table, table))
        self.costs.accepts_whole += size(table)
        self.costs.pushed += size(update.to_wire()) * self.proxies
        self.costs.pushed_whole += size({"k": "table", **table}) * self.proxies

    def time_choices(self, routes: int) -> float:
        """Processor time in s of one choice of a route and a worker."""
        built = build_configuration(config(routes)).ok_value
        numbers = (self.random.randrange(routes) for _ in range(CHOICES))
        paths = [(f"h{i % 7}.example", f"/p{i}/q/x") for i in numbers]
        began = time.process_time()
        for number, (host, path) in enumerate(paths):
            built.find_route(host, path)
            self.load_balancer.choose_worker(self.now, "plain", None, str(number), set())
        return (time.process_time() - began) / len(paths)


def measure(proxies: int, workers: int, routes: int) -> dict[str, float]:
    """A calm stretch; per second: the controller's time and bytes to all proxies, a proxy's bytes and time a
    request.
    """
    stretch = CalmStretch(proxies, workers)
    seconds = stretch.run()
    costs = stretch.costs
    return {
        "archive ms/s": 1000 * costs.controller_time / seconds,
        "reports kB/s": costs.reports / seconds / 1000,
        "tables kB/s": costs.pushed / seconds / 1000,
        "over whole": costs.pushed / costs.pushed_whole if costs.pushed_whole else 0.0,
        "accept over whole": costs.accepts / costs.accepts_whole if costs.accepts_whole else 0.0,
        "versions/s": costs.versions / seconds,
        "desk kB/s": (costs.reports + costs.pushed) / seconds / proxies / 1000,
        "choice us": 1e6 * stretch.time_choices(routes),
        "config kB": size(config(routes)) / 1000,
    }


def main() -> None:
    """Print a row for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    as_json = parser.parse_args().json
    rows = [{"desks": d, "workers": w, "routes": r, **measure(d, w, r)} for d, w, r in SIZES]
    if as_json:
        print(json.dumps(rows))
        return
    print("  ".join(f"{name:>17}" for name in rows[0]))
    for row in rows:
        print("  ".join(f"{value:>17.3g}" for value in row.values()))


if __name__ == "__main__":
    main()
