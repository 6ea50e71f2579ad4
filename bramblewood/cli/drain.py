"""The commands `drain plan|start|show|stop|back`: take workers out of service. All are safe to repeat."""

import sys
import time

import click

from .controller_client import Response, get_view, post_order
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import BOOT, CONTROLLER, JSON
from .output import fail, write_result
from .views import DrainPlanView, DrainWorkerView

POLL_INTERVAL = 0.5  # s between two views while `show --wait` waits
PATH = "/plan"  # of orders about drain plans
RUNNING = "running"  # a plan's state while it has waves to go


@click.group()
def drain() -> None:
    """Take workers out of service, in waves: plan, start, show, stop, back.

    Every controller and proxy agrees on each step. Exit codes: 0 taken or as asked, 1 refused or no such
    plan, 2 nobody answers or invalid arguments.
    """


def selection_options(command):
    """The options that say which workers."""
    for option in (
        click.option("--service", required=True),
        click.option("--worker", "workers", multiple=True, help="a worker's id; may be given again"),
        click.option("--zone", default="", help="all of a zone"),
        click.option("--revision", default="", help="all of a revision of their software"),
        click.option("--count", type=click.IntRange(1), help="so many of these at most"),
        click.option("--wave", type=click.IntRange(1), default=1, help="so many at a time"),
    ):
        command = option(command)
    return command


def plan_order(do: str, name: str, service, workers, zone, revision, count, wave) -> dict:
    """The body of an order that selects workers."""
    order = {"Do": do, "Name": name, "Service": service, "Workers": list(workers), "Wave": wave}
    order |= {"Zone": zone, "Revision": revision}
    return {**order, "Count": count} if count else order


def end_with(response: Response, success: str, as_json: bool) -> None:
    """Show whether an order was taken, and end the command."""
    taken, reason = response.status == 200, response.json().get("Failure", "")
    line = success if taken else f"refused: {reason}"
    write_result({"status": response.status, "reason": reason}, as_json, [line])
    sys.exit(SUCCESS if taken else PROBLEM_FOUND)


@drain.command("start")
@click.argument("name")
@selection_options
@CONTROLLER
@BOOT
@JSON
def start(name, service, workers, zone, revision, count, wave, controller, boot, as_json) -> None:
    """Begin the plan NAME: these workers leave, so many at a time."""
    order = plan_order("start", name, service, workers, zone, revision, count, wave)
    end_with(post_order(controller, boot, PATH, order), f"{name} begins", as_json)


@drain.command("plan")
@selection_options
@CONTROLLER
@BOOT
@JSON
def plan(service, workers, zone, revision, count, wave, controller, boot, as_json) -> None:
    """Say what a plan would do, and change nothing."""
    order = plan_order("plan", "trial", service, workers, zone, revision, count, wave)
    response = post_order(controller, boot, PATH, order)
    answer = response.json()
    reason = answer.get("Failure", "")
    lines = [f"wave {i + 1}: {', '.join(wave)}" for i, wave in enumerate(answer.get("Waves", []))]
    lines += [f"would be refused: {reason}"] if reason else []
    write_result(answer, as_json, lines)
    sys.exit(PROBLEM_FOUND if reason or response.status != 200 else SUCCESS)


def worker_line(instance_id: str, worker: DrainWorkerView) -> str:
    """One worker of a plan: its step, and what the next step still waits for."""
    pending = [f"not yet closed at {', '.join(worker['sending'])}"] if worker["sending"] else []
    pending += ["keys still to pass on"] if worker["keys"] else []
    pending += [
        f"{proxy}: {lookups} lookups, {effects} effects, the oldest for {oldest} s"
        for proxy, (lookups, effects, oldest) in worker["under way"].items()
    ]
    return "; ".join([f"  {instance_id} {worker['step']}", *pending])


def plan_lines(name: str, plan: DrainPlanView) -> list[str]:
    """A plan and its workers, for people."""
    why = f", {plan['why']}" if plan["why"] else ""
    first = f"{name}: {plan['service']}, {plan['state']}{why}, {plan['wave']} at a time"
    return [first, *(worker_line(instance_id, worker) for instance_id, worker in plan["workers"].items())]


@drain.command("show")
@click.argument("name", required=False)
@click.option("--wait", type=float, default=0.0, help="s to wait until NAME has ended")
@CONTROLLER
@BOOT
@JSON
def show(name, wait, controller, boot, as_json) -> None:
    """Show the plans: each worker's step, what is still under way, where, since when."""
    deadline = time.monotonic() + wait
    while True:
        plans: dict[str, DrainPlanView] = get_view(controller, boot, "plans")
        if name and name not in plans:
            fail(f"no plan {name}", PROBLEM_FOUND)
        plans = {name: plans[name]} if name else plans
        running = any(plan["state"] == RUNNING for plan in plans.values())
        if not running or time.monotonic() >= deadline:
            break
        time.sleep(POLL_INTERVAL)
    lines = [line for plan_name, plan in plans.items() for line in plan_lines(plan_name, plan)]
    write_result(plans, as_json, lines or ["no plan"])
    sys.exit(PROBLEM_FOUND if wait and running else SUCCESS)


@drain.command("stop")
@click.argument("name")
@CONTROLLER
@BOOT
@JSON
def stop(name, controller, boot, as_json) -> None:
    """Begin no further wave of a plan; those under way go on to their end."""
    response = post_order(controller, boot, PATH, {"Do": "stop", "Name": name})
    end_with(response, f"{name}: no further wave", as_json)


@drain.command("back")
@click.argument("name")
@CONTROLLER
@BOOT
@JSON
def back(name, controller, boot, as_json) -> None:
    """Take all workers of a plan that still run back into use."""
    response = post_order(controller, boot, PATH, {"Do": "back", "Name": name})
    end_with(response, f"{name}: its workers are in use again", as_json)
