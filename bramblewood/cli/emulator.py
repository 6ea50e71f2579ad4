"""The commands `emulator run|report`, and the worker process that a run starts."""

import asyncio
import json
import os
import sys
from collections.abc import Callable

import click
from result import Err

from ..emulator.scenario import Scenario, scenario_of
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import JSON
from .output import fail, write_result

FINDINGS_SHOWN = 20  # of an audit's; --json gives all


def read_scenario(path: str) -> Scenario:
    """A scenario file, checked; ends the command with what is wrong."""
    try:
        with open(path, "rb") as file:
            scenario = scenario_of(file.read())
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    if isinstance(scenario, Err):
        fail(f"{path}: {scenario.err_value}")
    return scenario.ok_value


def latency_targets(scenario: Scenario) -> dict[str, float]:
    """By kind of request, the s within which an answer is in time."""
    return {request["name"]: request["aim_s"] for request in scenario["requests"]}


@click.group()
def emulator() -> None:
    """Run a gateway on loopback under load and faults, and audit it: run, report.

    Real controllers and proxies between stand-in workers and clients.
    """


@emulator.command("run")
@click.argument("scenario")
@click.option("--out", "folder", default="target/lab", help="where the run is left")
@click.option("--seed", default=1, help="of arrivals, keys and instance ids")
@click.option("--net", default=0, type=click.IntRange(0, 255), help="addresses 127.NET.21.1 and on")
@click.option("--no-notice", is_flag=True, help="controllers don't notice hot keys: to compare with")
@JSON
def run(scenario: str, folder: str, seed: int, net: int, no_notice: bool, as_json: bool) -> None:
    """Run SCENARIO.

    Exit codes: 0 the audit finds nothing, 1 it finds something, 2 it could not be run.
    """
    from ..emulator.report import figures
    from ..emulator.run import World

    told = read_scenario(scenario)
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


def show(scenario: Scenario, found: dict, figures: Callable, as_json: bool) -> None:
    """A run's figures and findings; ends the command with the audit's exit code."""
    rows = figures(found, latency_targets(scenario))
    findings = found["findings"]
    lines = [
        f"{kind}: " + ", ".join(f"{name} {value:.4g}" for name, value in row.items())
        for kind, row in rows.items()
    ]
    lines += [f"{one['what']}: order {one['order']}, {one['detail']}" for one in findings[:FINDINGS_SHOWN]]
    if found.get("changes", {}).get("sent"):
        counts = ", ".join(f"{name} {count}" for name, count in found["changes"].items())
        lines.append(f"configurations: {counts}")
    lines.append(f"{found['tries']} tries, {found['effects']} lines, {len(findings)} findings")
    value = {key: found.get(key) for key in ("findings", "tries", "effects", "changes")}
    write_result({**value, "kinds": rows}, as_json, lines)
    sys.exit(PROBLEM_FOUND if findings else SUCCESS)


@emulator.command("report")
@click.argument("scenario")
@click.argument("folder")
@JSON
def report(scenario: str, folder: str, as_json: bool) -> None:
    """Write FOLDER/report.html from a run of SCENARIO that was left there.

    Exit codes as those of `emulator run`.
    """
    from ..emulator.report import figures, page

    told = read_scenario(scenario)
    try:
        with open(f"{folder}/run.json") as file:
            found = json.load(file)
        with open(f"{folder}/report.html", "w") as file:
            file.write(page(found, latency_targets(told)))
    except (OSError, ValueError) as problem:
        fail(f"{folder}: {problem}")
    show(told, found, figures, as_json)


@emulator.command("worker", hidden=True)
@click.option("--service", required=True)
@click.option("--address", required=True)
@click.option("--zone", required=True)
@click.option("--slots", type=int, required=True)
@click.option("--work", type=float, required=True)
@click.option("--ledger", required=True)
@click.option("--controls", required=True)
@click.option("--keyed", is_flag=True)
@click.option("--life", default="")
def worker(service, address, zone, slots, work, ledger, controls, keyed, life) -> None:
    """One stand-in worker; a run starts these."""
    from ..emulator.worker_process import work as play

    host, _, port = address.rpartition(":")
    place = (host, int(port))
    sys.exit(asyncio.run(play(service, place, zone, slots, keyed, work, ledger, controls, life)))
