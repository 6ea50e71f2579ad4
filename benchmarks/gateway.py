"""What a calm second costs a desk and an archive, by desks, workers and routes: `python -m
benchmarks.gateway`.

No sockets and no bench: the cores are fed with reports from a seed. Bytes are those of the messages as JSON,
before deflating; each figure stands beside the same with whole tables in place of differences, as the first
text sent them. Processor time is this machine's; only ratios and growth mean something elsewhere.
"""

import argparse
import json
import random
import time

from bramblewood.common.configuration import Service, build_configuration
from bramblewood.common.slice_table import KEY_SPACE_SIZE, KEYS_PER_RANGE
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.placement import PlacementPlanner, apply_slice_changes, worker_report
from bramblewood.controller.proxy_updates import ProxyUpdates
from bramblewood.controller.value_diff import difference
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.load_balancing import LoadBalancer

SIZES = (
    (10, 35, 10),
    (70, 35, 10),
    (70, 120, 10),
    (200, 120, 10),
    (200, 500, 10),
    (70, 120, 100),
    (70, 120, 1000),
)
RATE = 8.0  # requests a second and desk
SECONDS = 20


def size(message: object) -> int:
    return len(json.dumps(message, separators=(",", ":")))


def config(routes: int) -> dict:
    records = [
        [f"r{i}", f"h{i % 7}.example", f"/p{i}/q/", "pure", 3, 0.8, 1, 2, "keyed" if i % 2 else "plain"]
        for i in range(routes)
    ]
    return configuration("r2", records, [["keyed", True], ["plain", None]])


def day(proxies: int, workers: int, routes: int) -> dict[str, float]:
    """A calm stretch; per second: the archive's time and bytes to all desks, a desk's bytes and time a
    request.
    """
    dice, registry, feed, now = random.Random(1), WorkerRegistry(), ProxyUpdates(), 100.0
    for i in range(workers):
        service = "keyed" if i % 2 else "plain"
        registry.merge(
            now,
            f"i-{i:08x}",
            WorkerRegistration(service, f"10.0.{i // 250}.{i % 250}:8080", "z", 4, "ready", 1),
        )
    services = {name: Service(name, "/", 100, name == "keyed", 0.0) for name in ("keyed", "plain")}
    placement, table, whole = PlacementPlanner(now, 1.5), None, 0
    spent = pushed = reports = accepts = whole_accepts = versions = 0.0
    load_balancer = [LoadBalancer(2.5) for _ in range(1)]
    load_balancer[0].registry = registry
    began = None
    while now < 100.0 + 5.0 + SECONDS:
        now += 0.5
        if now > 105.0 and began is None:
            began, spent, pushed, reports, accepts, whole_accepts, versions, whole = (
                now,
                0.0,
                0,
                0,
                0,
                0,
                0,
                0,
            )
        for proxy in range(proxies if table else 0):
            heat: dict[str, dict] = {"keyed": {}, "plain": {}}
            met = {}
            for _ in range(int(RATE / 2)):
                service = dice.choice(("keyed", "plain"))
                key = int(KEY_SPACE_SIZE * dice.random() ** 2)
                heat[service][str(key // KEYS_PER_RANGE)] = (
                    heat[service].get(str(key // KEYS_PER_RANGE), 0) + 1
                )
                instance_id = load_balancer[0].entry(service, key)[0]
                met[instance_id] = [1, 0, 0.2, [2, 0, 4]]
            report = json.dumps({"k": "report", "over": 0.5, "heat": heat, "met": met})
            reports += len(report)
            at = time.process_time()
            told = json.loads(report)
            lines: dict[str, list] = {name: [] for name in heat}
            for instance_id, (tries, bad, mean, load) in told["met"].items():
                lines[registry.rows[instance_id].service].append(
                    worker_report(instance_id, tries, bad, mean, 0.5, load)
                )
            for service, some in lines.items():
                placement.record_report(now, service, f"d{proxy}", told["heat"][service], {}, 0.5, some)
            spent += time.process_time() - at
        at = time.process_time()
        wanted = placement.plan_changes(now, services, {}, registry, set(), table)
        made = apply_slice_changes(table, wanted, {"keyed"})[0] if wanted else None
        if made is not None:
            feed.learned(made)
            versions += 1
            change = feed.since(table["n"]) if table else None
            spent += time.process_time() - at
            if change:
                accepts += size(difference(table, made))
                whole_accepts += size(made)
                pushed += size(change) * proxies
                whole += size({"k": "table", **made}) * proxies
            table = made
            load_balancer[0].take_table({"n": table["n"], "s": table["s"]})
        else:
            spent += time.process_time() - at
    configuration = build_configuration(config(routes)).ok_value
    paths = [(f"h{i % 7}.example", f"/p{i}/q/x") for i in (dice.randrange(routes) for _ in range(2000))]
    at = time.process_time()
    for number, (host, path) in enumerate(paths):
        configuration.route(host, path)
        load_balancer[0].choose(now, "plain", None, str(number), set())
    choosing = (time.process_time() - at) / len(paths)
    span = now - began
    return {
        "archive ms/s": 1000 * spent / span,
        "reports kB/s": reports / span / 1000,
        "tables kB/s": pushed / span / 1000,
        "over whole": pushed / whole if whole else 0.0,
        "accept over whole": accepts / whole_accepts if whole_accepts else 0.0,
        "versions/s": versions / span,
        "desk kB/s": (reports + pushed) / span / proxies / 1000,
        "choice us": 1e6 * choosing,
        "config kB": size(config(routes)) / 1000,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    found = [{"desks": d, "workers": w, "routes": r, **day(d, w, r)} for d, w, r in SIZES]
    if parser.parse_args().json:
        print(json.dumps(found))
        return
    print("  ".join(f"{name:>17}" for name in found[0]))
    for row in found:
        print("  ".join(f"{value:>17.3g}" for value in row.values()))


if __name__ == "__main__":
    main()
