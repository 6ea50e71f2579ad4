"""The manager's turn with the ledger on over off, by the number of proxies: `python -m benchmarks.turn`.

A day of reports, marks and a drain each twenty turns, the same for both; the flushing process is at work.
With `--against REV` the module's turn over that of its text at a revision, by the size of the fleet.
"""

import argparse
import importlib
import os
import subprocess
import tempfile
import time
import types

import bramblewood
from bramblewood import interface as door
from bramblewood.ledger.stage import Ledger
from bramblewood.operator.bylaws import StoreTerms
from bramblewood.policy.manager import Manager

from .common import machine, ratios, row

OPERATIONS = [
    {"name": name, "kind": kind, "latency_objective": 1.0, "integration_timeout": 4.0, "billed_value": value}
    for name, kind, value in (("look", door.IDEMPOTENT, 1.0), ("pay", door.SIDE_EFFECTING, 5.0))
]
FACTS = {
    "operations": OPERATIONS,
    "managers": 1,
    "cycle": 1.0,
    "warm_after": 10.0,
    "cold_from": 0.25,
    "drain_grace": 3.0,
    "usual_retry": 0,
    "most_waiting": 200_000,
    "message_head": 8,
    "load_fields": ["busy"],
    "lines_per_second": 100_000.0,
}
WORKERS = 40
FLEETS = ((400, 30, 100), (640, 120, 60), (1600, 200, 40))  # proxies, workers, turns; slices as in turns
INTAKE = 150  # report lines a second that the settings of a large fleet let in


class Quiet:
    def info(self, *_, **__):
        pass

    warning = info


def shown(revision: str, path: str) -> str:
    """A file's text at a revision; raises CalledProcessError where there is none."""
    told = subprocess.run(["git", "show", f"{revision}:{path}"], capture_output=True, check=True, text=True)
    return told.stdout


def module_at(revision: str) -> types.ModuleType:
    """The module that holds Manager as it stood at a revision: one file once, a package since."""
    listed = subprocess.run(
        ["git", "ls-tree", "--name-only", revision, "bramblewood/policy/"],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    if listed:
        folder = tempfile.mkdtemp()
        os.mkdir(os.path.join(folder, "policy_before"))
        for path in listed:
            with open(os.path.join(folder, "policy_before", os.path.basename(path)), "w") as file:
                file.write(shown(revision, path))
        bramblewood.__path__.append(folder)
        return importlib.import_module("bramblewood.policy_before.manager")
    text = shown(revision, "bramblewood/balance.py")
    module = types.ModuleType("bramblewood.balance_before")
    module.__package__ = "bramblewood"
    exec(compile(text, f"balance.py at {revision}", "exec"), module.__dict__)
    return module


def day(
    proxies: int, turns: int, folder: str | None, workers: int = WORKERS, make=Manager, thin: int = 4
) -> float:
    """Seconds that the turns of a seeded day take, in all; with a ledger where there is a folder.

    One line of thin comes in each turn; make is what to call for a manager.
    """
    now, stage = [1000.0], None
    if folder:
        terms = StoreTerms(folder, "apart", False, 0.002, 0.25, 86400.0)
        stage = Ledger(terms, FACTS, "1", lambda: now[0], Quiet())
    manager, marks, took = make(1, {**FACTS, "slices": proxies, "proxies": proxies}), [], 0.0
    entries = [door.ListedWorker(f"w{k}", door.READY, zone="ab"[k % 2]) for k in range(workers)]
    events = [door.WorkersListed(tuple(entries), True, True, 1), *(stage.begin() if stage else [])]
    events += [door.ProxyJoined(p, "a", 5.0) for p in range(proxies)]
    for number in range(proxies):
        events += [door.SliceGiven(number, True), door.LineHeld(number, f"w{number % workers}", 1.0)]
    for turn in range(turns):
        if turn % 20 == 10:
            gone = door.ListedWorker(f"w{turn // 20 % workers}", door.DRAINING)
            events.append(door.WorkersListed((gone,), False, False, 2 + turn))
        events += [door.SliceHeat(n, "look", 3 + n % 5, 0, 1.0) for n in range(turn % thin, proxies, thin)]
        events += [
            door.WorkerHeard(f"w{k}", "a", 20, 0, 0.2, 1.0, {"busy": 0.4 + 0.01 * (k % 9)})
            for k in range(turn % thin, workers, thin)
        ]
        events += [door.MarkAnswered(p, mark, 0.2) for mark in marks for p in range(proxies)]
        events.append(door.TimerDue("turn"))
        began = time.perf_counter()
        if stage:
            _, orders = stage.turn(now[0], 0.2)
            heard = stage.hear(now[0], events)
            orders += stage.say_orders(now[0], manager.handle(now[0], heard))
            for order in orders:
                stage.carried(order)
        else:
            orders = manager.handle(now[0], events)
        took += time.perf_counter() - began
        marks = [order.number for order in orders if isinstance(order, door.Mark)]
        events = []
        now[0] += 0.25
    if stage:
        stage.end()
    return took


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--folder", default=".")
    words.add_argument("--against", metavar="REV", help="compare the module with its text at this revision")
    told = words.parse_args()
    machine()
    if told.against:
        before = module_at(told.against).Manager
        for proxies, workers, turns in FLEETS:
            thin = max(4 * (proxies + workers) // INTAKE, 4)
            row(
                f"turns with {proxies} proxies, {workers} workers, now over {told.against}",
                ratios(
                    lambda size=(proxies, turns, None, workers), thin=thin: (
                        day(*size, Manager, thin),
                        day(*size, before, thin),
                    )
                ),
            )
        return
    for proxies, turns in ((150, 200), (400, 100), (4000, 24)):

        def pair(proxies=proxies, turns=turns):
            with tempfile.TemporaryDirectory(dir=told.folder, prefix=".bench-") as folder:
                return day(proxies, turns, folder), day(proxies, turns, None)

        row(f"turns with {proxies} proxies and slices, ledger on over off", ratios(pair))


if __name__ == "__main__":
    main()
