"""The manager's turn with the ledger on over off, by the number of proxies: `python -m benchmarks.turn`.

A day of reports, marks and a drain each twenty turns, the same for both; the flushing process is at work.
With `--against REV` the module's turn over that of its text at a revision, by the size of the fleet.
"""

import argparse
import subprocess
import sys
import tempfile
import time
from dataclasses import replace

from bramblewood import events
from bramblewood.ledger.stage import Ledger
from bramblewood.operator.bylaws import StoreTerms
from bramblewood.policy.manager import Manager
from bramblewood.startup_settings import Operation, StartupSettings

from .common import machine, ratios, row

SETTINGS = StartupSettings(
    operations=[
        Operation("look", events.IDEMPOTENT, 1.0, 4.0, 1.0),
        Operation("pay", events.SIDE_EFFECTING, 1.0, 4.0, 5.0),
    ],
    managers=1,
    cycle=1.0,
    slow_start_window=10.0,
    slow_start_minimum=0.25,
    drain_grace=3.0,
    default_retry=0,
    max_waiting_lines=200_000,
    message_header=8,
    load_fields=["utilization"],
    lines_per_second=100_000.0,
)
WORKERS = 40
FLEETS = ((400, 30, 100), (640, 120, 60), (1600, 200, 40))  # proxies, workers, turns; slices as in turns
INTAKE = 150  # report lines a second that the settings of a large fleet let in


class Quiet:
    def info(self, *_, **__):
        pass

    warning = info


def tree_at(revision: str, folder: str) -> None:
    """Extract the repository at a revision into a folder; raises CalledProcessError where there is none."""
    archive = subprocess.run(["git", "archive", revision], capture_output=True, check=True).stdout
    subprocess.run(["tar", "x", "-C", folder], input=archive, check=True)


def day_at(folder: str, proxies: int, turns: int, workers: int, thin: int) -> float:
    """The same as `day` without a ledger, by the text in that folder, in a process of its own."""
    call = f"from benchmarks.turn import day; print(day({proxies}, {turns}, None, {workers}, thin={thin}))"
    done = subprocess.run(
        [sys.executable, "-c", call], cwd=folder, capture_output=True, check=True, text=True
    )
    return float(done.stdout)


def day(proxies: int, turns: int, folder: str | None, workers: int = WORKERS, thin: int = 4) -> float:
    """Seconds that the turns of a seeded day take, in all; with a ledger where there is a folder.

    One report of `thin` arrives in each turn.
    """
    now, stage = [1000.0], None
    if folder:
        terms = StoreTerms(folder, "apart", False, 0.002, 0.25, 86400.0)
        stage = Ledger(terms, SETTINGS, "1", lambda: now[0], Quiet())
    manager, marks, took = Manager(1, replace(SETTINGS, slices=proxies, proxies=proxies)), [], 0.0
    entries = [events.ListedWorker(f"w{k}", events.READY, zone="ab"[k % 2]) for k in range(workers)]
    batch = [events.WorkersListed(tuple(entries), True, True, 1), *(stage.start() if stage else [])]
    batch += [events.ProxyJoined(p, "a", 5.0) for p in range(proxies)]
    for number in range(proxies):
        batch += [events.SliceAssigned(number, True), events.RouteStored(number, f"w{number % workers}", 1.0)]
    for turn in range(turns):
        if turn % 20 == 10:
            gone = events.ListedWorker(f"w{turn // 20 % workers}", events.DRAINING)
            batch.append(events.WorkersListed((gone,), False, False, 2 + turn))
        batch += [
            events.SliceHeatReported(n, "look", 3 + n % 5, 0, 1.0) for n in range(turn % thin, proxies, thin)
        ]
        batch += [
            events.WorkerReported(f"w{k}", "a", 20, 0, 0.2, 1.0, {"utilization": 0.4 + 0.01 * (k % 9)})
            for k in range(turn % thin, workers, thin)
        ]
        batch += [events.MessageAcknowledged(p, mark, 0.2) for mark in marks for p in range(proxies)]
        batch.append(events.TimerFired("turn"))
        began = time.perf_counter()
        if stage:
            _, orders = stage.turn(now[0], 0.2)
            heard = stage.filter_events(now[0], batch)
            orders += stage.filter_orders(now[0], manager.handle(now[0], heard))
            for order in orders:
                stage.order_applied(order)
        else:
            orders = manager.handle(now[0], batch)
        took += time.perf_counter() - began
        marks = [order.number for order in orders if isinstance(order, events.RequestAcknowledgement)]
        batch = []
        now[0] += 0.25
    if stage:
        stage.close()
    return took


def main():
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    words.add_argument("--folder", default=".")
    words.add_argument("--against", metavar="REV", help="compare the module with its text at this revision")
    told = words.parse_args()
    machine()
    if told.against:
        with tempfile.TemporaryDirectory(dir=told.folder, prefix=".bench-") as before:
            tree_at(told.against, before)
            for proxies, workers, turns in FLEETS:
                thin = max(4 * (proxies + workers) // INTAKE, 4)
                row(
                    f"turns with {proxies} proxies, {workers} workers, now over {told.against}",
                    ratios(
                        lambda size=(proxies, turns, workers, thin), before=before: (
                            day(size[0], size[1], None, *size[2:]),
                            day_at(before, *size),
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
