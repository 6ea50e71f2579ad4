"""The commands `emulator run|report`, and the worker process that a run starts."""

import asyncio
import json
import os
import sys
from collections.abc import Callable

import click
from result import Err

from ..emulator.scenario import Scenario, needs_previous, scenario_of
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
@click.option(
    "--previous",
    metavar="PATH",
    type=click.Path(exists=True, file_okay=False),
    help="a checkout of an earlier text, for scenarios with a mixed fleet",
)
@JSON
def run(
    scenario: str, folder: str, seed: int, net: int, no_notice: bool, previous: str | None, as_json: bool
) -> None:
    """Run SCENARIO.

    Exit codes: 0 the audit finds nothing, 1 it finds something, 2 it could not be run.
    """
    from ..emulator.processes import earlier_release
    from ..emulator.report import figures
    from ..emulator.run import Run

    checked = read_scenario(scenario)
    if no_notice:
        checked["notice"] = False
    if needs_previous(checked) and previous is None:
        fail(f"{scenario}: machines start from an earlier text: --previous must name a checkout of it")
    if previous is not None and not os.path.exists(f"{previous}/bramblewood/__main__.py"):
        fail(f"{previous}: no checkout of bramblewood")
    folder = os.path.abspath(folder)
    if os.path.exists(f"{folder}/run.json"):
        fail(f"{folder}: holds a run already")
    release = earlier_release(previous) if previous else None
    try:
        result = asyncio.run(Run(checked, seed, folder, write_progress, net, release).run())
    except (OSError, TimeoutError) as problem:
        fail(f"not played: {problem or 'not ready in time'}")
    show(checked, result, figures, as_json)


def write_progress(line: str) -> None:
    """One event of a run, on standard error."""
    click.echo(line, err=True)


def show(scenario: Scenario, result: dict, figures: Callable, as_json: bool) -> None:
    """A run's figures and findings; ends the command with the audit's exit code."""
    rows = figures(result, latency_targets(scenario))
    findings = result["findings"]
    lines = [
        f"{kind}: " + ", ".join(f"{name} {value:.4g}" for name, value in row.items())
        for kind, row in rows.items()
    ]
    lines += [f"{one['what']}: order {one['order']}, {one['detail']}" for one in findings[:FINDINGS_SHOWN]]
    if result.get("changes", {}).get("sent"):
        counts = ", ".join(f"{name} {count}" for name, count in result["changes"].items())
        lines.append(f"configurations: {counts}")
    lines.append(f"{result['tries']} tries, {result['effects']} lines, {len(findings)} findings")
    value = {key: result.get(key) for key in ("findings", "tries", "effects", "changes")}
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

    checked = read_scenario(scenario)
    try:
        with open(f"{folder}/run.json") as file:
            result = json.load(file)
        with open(f"{folder}/report.html", "w") as file:
            file.write(page(result, latency_targets(checked)))
    except (OSError, ValueError) as problem:
        fail(f"{folder}: {problem}")
    show(checked, result, figures, as_json)


@emulator.command("worker", hidden=True)
@click.option("--service", required=True)
@click.option("--address", required=True)
@click.option("--zone", required=True)
@click.option("--slots", type=int, required=True)
@click.option("--work", type=float, required=True)
@click.option("--effects", required=True)
@click.option("--controls", required=True)
@click.option("--keyed", is_flag=True)
@click.option("--instance-id", default="")
def worker(service, address, zone, slots, work, effects, controls, keyed, instance_id) -> None:
    """One stand-in worker; a run starts these."""
    from ..emulator.worker_process import run_worker
    from ..emulator.worker_stub import WorkerStub

    host, _, port = address.rpartition(":")
    stub = WorkerStub(service, (host, int(port)), zone, slots, keyed, lambda request: work, instance_id)
    sys.exit(asyncio.run(run_worker(stub, effects, controls)))
