"""Commands that take backends out of service: withdraw start, plan, show, stop, back. All are safe to
repeat.
"""

import json
import sys
import time

import click

from .boot import BOOT, fail
from .exit_codes import FOUND
from .inspection import ARCHIVE, JSON, ask, call, out, places

LOOK = 0.5  # s between looks while `show --wait` waits


@click.group()
def withdraw() -> None:
    """Take backends out of service, in waves; every node agrees on each step.

    Exit codes: 0 taken or as asked, 1 refused or no such plan, 2 nobody answers or faulty words.
    """


def told(body: dict, archive: str | None, boot: str | None) -> tuple[int, dict]:
    status, answer = call(places(archive, boot), "POST", "/plan", json.dumps(body).encode())
    return status, json.loads(answer or b"{}")


def ended(status: int, reason: str, good: str, as_json: bool) -> None:
    out({"status": status, "reason": reason}, as_json, [good if status == 200 else f"refused: {reason}"])
    sys.exit(0 if status == 200 else FOUND)


def chosen(command):
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


def body_of(do: str, name: str, service, workers, zone, revision, count, wave) -> dict:
    body = {"Do": do, "Name": name, "Service": service, "Workers": list(workers), "Wave": wave}
    body |= {"Zone": zone, "Revision": revision}
    return {**body, "Count": count} if count else body


@withdraw.command("start")
@click.argument("name")
@chosen
@ARCHIVE
@BOOT
@JSON
def withdraw_start(name, service, workers, zone, revision, count, wave, archive, boot, as_json) -> None:
    """Begin the plan NAME: these workers leave, so many at a time."""
    body = body_of("start", name, service, workers, zone, revision, count, wave)
    status, answer = told(body, archive, boot)
    ended(status, answer.get("Failure", ""), f"{name} begins", as_json)


@withdraw.command("plan")
@chosen
@ARCHIVE
@BOOT
@JSON
def withdraw_plan(service, workers, zone, revision, count, wave, archive, boot, as_json) -> None:
    """Say what a plan would do, and change nothing."""
    body = body_of("plan", "trial", service, workers, zone, revision, count, wave)
    status, answer = told(body, archive, boot)
    reason = answer.get("Failure", "")
    lines = [f"wave {i + 1}: {', '.join(wave)}" for i, wave in enumerate(answer.get("Waves", []))]
    out(answer, as_json, [*lines, *([f"would be refused: {reason}"] if reason else [])])
    sys.exit(FOUND if reason or status != 200 else 0)


def shown(name: str, plan: dict) -> list[str]:
    why = f", {plan['why']}" if plan["why"] else ""
    lines = [f"{name}: {plan['service']}, {plan['state']}{why}, {plan['wave']} at a time"]
    for instance_id, one in plan["workers"].items():
        rest = [f"not yet closed at {', '.join(one['sending'])}"] if one["sending"] else []
        rest += ["keys still to pass on"] if one["keys"] else []
        rest += [
            f"{proxy}: {lookups} lookups, {effects} effects, the oldest for {oldest} s"
            for proxy, (lookups, effects, oldest) in one["under way"].items()
        ]
        lines.append(f"  {instance_id} {one['step']}" + ("; " + "; ".join(rest) if rest else ""))
    return lines


@withdraw.command("show")
@click.argument("name", required=False)
@click.option("--wait", type=float, default=0.0, help="s to wait until NAME has ended")
@ARCHIVE
@BOOT
@JSON
def withdraw_show(name, wait, archive, boot, as_json) -> None:
    """Show the plans: each worker's step, what is still under way, where, since when."""
    until = time.monotonic() + wait
    while True:
        plans = ask(archive, boot, "plans")
        if name and name not in plans:
            fail(f"no plan {name}", FOUND)
        plans = {name: plans[name]} if name else plans
        running = any(plan["state"] == "running" for plan in plans.values())
        if not running or time.monotonic() >= until:
            break
        time.sleep(LOOK)
    out(plans, as_json, [line for one, plan in plans.items() for line in shown(one, plan)] or ["no plan"])
    sys.exit(FOUND if wait and running else 0)


def end(do: str, good: str, name: str, archive, boot, as_json) -> None:
    status, answer = told({"Do": do, "Name": name}, archive, boot)
    ended(status, answer.get("Failure", ""), f"{name}: {good}", as_json)


@withdraw.command("stop")
@click.argument("name")
@ARCHIVE
@BOOT
@JSON
def withdraw_stop(name, archive, boot, as_json) -> None:
    """Begin no further wave of a plan; those under way go on to their end."""
    end("stop", "no further wave", name, archive, boot, as_json)


@withdraw.command("back")
@click.argument("name")
@ARCHIVE
@BOOT
@JSON
def withdraw_back(name, archive, boot, as_json) -> None:
    """Take all workers of a plan that still run back into use."""
    end("back", "its workers are in use again", name, archive, boot, as_json)
