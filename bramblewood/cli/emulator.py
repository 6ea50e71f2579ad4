"""Commands of the emulator: lab run, report and the worker that a run starts."""

import asyncio
import json
import os
import sys

import click
from result import Err

from ..emulator.scenario import Scenario, scenario_of
from .boot import fail
from .exit_codes import FOUND
from .inspection import JSON, out


def read(path: str) -> Scenario:
    try:
        with open(path, "rb") as file:
            told = scenario_of(file.read())
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    if isinstance(told, Err):
        fail(f"{path}: {told.err_value}")
    return told.ok_value


@click.group()
def lab() -> None:
    """The emulator: real archives and desks on loopback between stand-in workers and clients, with an
    audit.
    """


@lab.command("run")
@click.argument("scenario")
@click.option("--out", "folder", default="target/lab", help="where the run is left")
@click.option("--seed", default=1, help="of arrivals, keys and lives")
@click.option("--net", default=0, type=click.IntRange(0, 255), help="addresses 127.NET.21.1 and on")
@click.option("--no-notice", is_flag=True, help="archives don't notice crowded records: to compare with")
@JSON
def lab_run(scenario: str, folder: str, seed: int, net: int, no_notice: bool, as_json: bool) -> None:
    """Play SCENARIO. Exit codes: 0 the audit finds nothing, 1 it finds something, 2 it could not be
    played.
    """
    from ..emulator.report import figures
    from ..emulator.run import World

    told = read(scenario)
    if no_notice:
        told["notice"] = False
    folder = os.path.abspath(folder)
    if os.path.exists(f"{folder}/run.json"):
        fail(f"{folder}: holds a run already")
    try:
        found = asyncio.run(World(told, seed, folder, lambda line: click.echo(line, err=True), net).run())
    except (OSError, TimeoutError) as problem:
        fail(f"not played: {problem or 'not ready in time'}")
    show(told, found, figures, as_json)


def show(scenario: Scenario, found: dict, figures, as_json: bool) -> None:
    rows = figures(found, {one["name"]: one["aim_s"] for one in scenario["requests"]})
    lines = [
        f"{kind}: " + ", ".join(f"{name} {value:.4g}" for name, value in row.items())
        for kind, row in rows.items()
    ]
    lines += [f"{one['what']}: order {one['order']}, {one['detail']}" for one in found["findings"][:20]]
    if found.get("changes", {}).get("sent"):
        lines.append("configurations: " + ", ".join(f"{what} {n}" for what, n in found["changes"].items()))
    lines.append(f"{found['tries']} tries, {found['effects']} lines, {len(found['findings'])} findings")
    out(
        {**{key: found.get(key) for key in ("findings", "tries", "effects", "changes")}, "kinds": rows},
        as_json,
        lines,
    )
    sys.exit(FOUND if found["findings"] else 0)


@lab.command("report")
@click.argument("scenario")
@click.argument("folder")
@JSON
def lab_report(scenario: str, folder: str, as_json: bool) -> None:
    """Write FOLDER/report.html from a run of SCENARIO that was left there. Exit codes as those of `lab
    run`.
    """
    from ..emulator.report import figures, page

    told = read(scenario)
    try:
        with open(f"{folder}/run.json") as file:
            found = json.load(file)
        with open(f"{folder}/report.html", "w") as file:
            file.write(page(found, {one["name"]: one["aim_s"] for one in told["requests"]}))
    except (OSError, ValueError) as problem:
        fail(f"{folder}: {problem}")
    show(told, found, figures, as_json)


@lab.command("worker", hidden=True)
@click.option("--service", required=True)
@click.option("--address", required=True)
@click.option("--zone", required=True)
@click.option("--slots", type=int, required=True)
@click.option("--work", type=float, required=True)
@click.option("--ledger", required=True)
@click.option("--controls", required=True)
@click.option("--keyed", is_flag=True)
@click.option("--life", default="")
def lab_worker(service, address, zone, slots, work, ledger, controls, keyed, life) -> None:
    """One stand-in worker; a run starts these."""
    from ..emulator.worker_process import work as play

    host, _, port = address.rpartition(":")
    place = (host, int(port))
    sys.exit(asyncio.run(play(service, place, zone, slots, keyed, work, ledger, controls, life)))
