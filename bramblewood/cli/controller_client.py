"""Commands that ask: check, config, roll, holds, sessions, explain, shelf. They change nothing but by `config
put`.
"""

import json
import sqlite3
import sys
import urllib.error
import urllib.request
from typing import Any

import click
from result import Err

from ..common import settings
from ..common.configuration import Configuration, build_configuration, number_of, survey
from ..common.slice_table import FENCING_TOKEN, PREVIOUS_OWNER, SECOND, WORKER, starts_of
from ..common.worker_registry import WorkerRegistration
from ..controller.storage import FORM, NAME, read
from ..proxy.load_balancing import LoadBalancer
from .boot import BOOT, fail, load_settings
from .exit_codes import FOUND

ASK = 3.0  # s for an archive's answer
FOLLOWED = 2  # times that a call goes where a 307 points; PROTOCOL, "The operator"
JSON = click.option("--json", "as_json", is_flag=True, help="one JSON value")
ARCHIVE = click.option(
    "--archive", metavar="HOST:PORT", help="an archive's inner address; else the settings' seeds"
)
CONTROL = click.option(
    "--control", metavar="HOST:PORT", help="an archive's Control address; else the settings' seeds"
)


def out(value: Any, as_json: bool, lines: list[str]) -> None:
    click.echo(json.dumps(value, separators=(",", ":")) if as_json else "\n".join(lines))


def call(addresses: list[str], method: str, path: str, body: bytes | None = None) -> tuple[int, bytes]:
    """The answer of the first place that gives one; as callers of `control` do, it follows 307 and goes on
    after a failure, a 5xx, a 408 or 429.
    """
    why = "no address given"
    for place in addresses:
        url = f"http://{place}{path}"
        for _ in range(1 + FOLLOWED):
            request = urllib.request.Request(url, data=body, method=method)
            request.add_header("Content-Type", "application/json")
            try:
                with urllib.request.urlopen(request, timeout=ASK) as answer:
                    return answer.status, answer.read()
            except urllib.error.HTTPError as problem:
                told = problem.read()
                if problem.code not in (307, 408, 429) and problem.code < 500:
                    return problem.code, told
                why = f"{place}: {problem.code} {failure(told)}".strip()
                url = problem.headers.get("Location", "") if problem.code == 307 else ""
            except OSError as problem:
                why, url = f"{place}: {getattr(problem, 'reason', problem)}", ""
            if not url:
                break
    fail(f"no archive answers: {why}")


def failure(answer: bytes) -> str:
    """The reason that an answer gives."""
    try:
        return json.loads(answer)["Failure"]
    except (ValueError, KeyError, TypeError):
        return ""


def places(archive: str | None, boot: str | None) -> list[str]:
    """Inner addresses of archives."""
    return (
        [archive]
        if archive
        else [f"{ip}:{load_settings(boot).inner}" for ip in load_settings(boot).seed_ips()]
    )


def ask(archive: str | None, boot: str | None, what: str) -> Any:
    status, answer = call(places(archive, boot), "GET", f"/view/{what}")
    if status != 200:
        fail(f"{status} {failure(answer)}".strip())
    return json.loads(answer)


def controls(control: str | None, boot: str | None) -> list[str]:
    return [control] if control else list(load_settings(boot).seeds)


def current(control: str | None, boot: str | None) -> Any:
    status, body = call(controls(control, boot), "GET", "/bramblewood/config")
    if status != 200:
        fail("no configuration yet", FOUND)
    return json.loads(body)


def read_config(path: str) -> Any:
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except OSError as problem:
        fail(f"{path}: {problem.strerror}")
    except ValueError as problem:
        fail(f"{path}: {problem}")


@click.command()
@BOOT
@click.option("--config", metavar="FILE", help="a configuration to check too")
@JSON
def check(boot: str | None, config: str | None, as_json: bool) -> None:
    """Check a settings file, and a configuration: each fault with its place and what was expected.

    Exit codes: 0 no fault, 1 a fault, 2 a file that can't be read.
    """
    faults = []
    if boot or not config:
        told = settings.load(boot)
        faults += [told.err_value] if isinstance(told, Err) else []
    if config:
        faults += [f"{config}: {fault}" for fault in survey(read_config(config))[1]]
    out(faults, as_json, faults or ["no fault"])
    sys.exit(FOUND if faults else 0)


@click.group()
def config() -> None:
    """The configuration: get, put, diff, history."""


@config.command("get")
@CONTROL
@BOOT
def config_get(control: str | None, boot: str | None) -> None:
    """Print the configuration in force, whole."""
    click.echo(json.dumps(current(control, boot)))


@config.command("put")
@click.argument("file")
@CONTROL
@BOOT
def config_put(file: str, control: str | None, boot: str | None) -> None:
    """Put a configuration; safe to repeat.

    Exit codes: 0 taken, 1 refused, 2 nobody answers or faulty file.
    """
    status, body = call(
        controls(control, boot), "PUT", "/bramblewood/config", json.dumps(read_config(file)).encode()
    )
    click.echo("taken" if status == 200 else f"{status} {json.loads(body or b'{}').get('Failure', '')}")
    sys.exit(0 if status == 200 else FOUND)


def routes_of(raw: Any, name: str) -> dict[tuple[str, str], Any]:
    configuration = build_configuration(raw)
    if isinstance(configuration, Err):
        fail(f"{name}: {configuration.err_value}")
    hosts = configuration.ok_value.hosts
    return {(host, prefix): route for host, routes in hosts.items() for prefix, route in routes.items()}


@config.command("diff")
@click.argument("file")
@click.argument("other", required=False)
@CONTROL
@BOOT
@JSON
def config_diff(file: str, other: str | None, control: str | None, boot: str | None, as_json: bool) -> None:
    """What FILE would change in OTHER, or in the configuration in force.

    Exit codes: 0 nothing, 1 something.
    """
    new, old = (
        routes_of(read_config(file), file),
        routes_of(read_config(other) if other else current(control, boot), other or "in force"),
    )
    found = {
        "added": [f"{host}{prefix}" for host, prefix in sorted(new.keys() - old.keys())],
        "removed": [f"{host}{prefix}" for host, prefix in sorted(old.keys() - new.keys())],
        "changed": [
            f"{host}{prefix}: {field} {getattr(old[host, prefix], field)} -> "
            f"{getattr(new[host, prefix], field)}"
            for host, prefix in sorted(new.keys() & old.keys())
            for field in new[host, prefix]._fields
            if getattr(new[host, prefix], field) != getattr(old[host, prefix], field)
        ],
    }
    out(
        found,
        as_json,
        [f"{what}: {item}" for what, items in found.items() for item in items] or ["no difference"],
    )
    sys.exit(FOUND if any(found.values()) else 0)


@config.command("history")
@ARCHIVE
@BOOT
@JSON
def config_history(archive: str | None, boot: str | None, as_json: bool) -> None:
    """The versions that were taken, with their digests, the newest last."""
    past = ask(archive, boot, "history")
    out(
        past,
        as_json,
        [f"r{number} {digest}" for number, digest in sorted(past.items(), key=lambda x: int(x[0]))],
    )


@click.command()
@ARCHIVE
@BOOT
@JSON
def roll(archive: str | None, boot: str | None, as_json: bool) -> None:
    """The workers and their states."""
    rows = ask(archive, boot, "roll")
    lines = [
        f"{row['service']} {instance_id} {row['address']} {row['zone']} {row['phase']}"
        f"{', silent' * row['silent']}, heard {row['heard']} s ago"
        for instance_id, row in sorted(rows.items(), key=lambda item: (item[1]["service"], item[0]))
    ]
    out(rows, as_json, lines)


@click.command()
@ARCHIVE
@BOOT
@JSON
def holds(archive: str | None, boot: str | None, as_json: bool) -> None:
    """Keys: slices, their workers and fences, and what the scribe last granted, until when."""
    table, granted = ask(archive, boot, "table"), ask(archive, boot, "holds")
    until = {(one["service"], one["from"], one["life"]): one["until"] for one in granted}
    found = []
    for service, entries in sorted(table["s"].items()):
        for start in starts_of(entries):
            entry = entries[str(start)]
            found.append(
                {
                    "service": service,
                    "from": start,
                    "worker": entry[WORKER],
                    "second": entry[SECOND],
                    "fence": entry[FENCING_TOKEN],
                    "old": entry[PREVIOUS_OWNER],
                    "until": until.get((service, start, entry[WORKER])),
                }
            )
    lines = [
        f"{one['service']} from {one['from']}: {one['worker'] or 'nobody'}, fence {one['fence']}"
        + f", until {one['until']} s from now" * (one["until"] is not None)
        + f", still to be released by {one['old']}" * bool(one["old"])
        for one in found
    ]
    out(found, as_json, lines)


@click.command()
@ARCHIVE
@BOOT
@JSON
def sessions(archive: str | None, boot: str | None, as_json: bool) -> None:
    """Which archives and desks are there, as one archive sees it."""
    told = ask(archive, boot, "sessions")
    lines = [
        f"{told['me']}: {'whole' if told['whole'] else 'without a majority'}, "
        f"{'votes' if told['votes'] else 'does not vote'}; scribe {told['scribe']}; "
        f"voters {', '.join(told['voters'])}"
    ]
    lines += [
        f"archive {peer}: heard {one['heard']} s ago, {'whole' if one['whole'] else 'without a majority'}"
        for peer, one in sorted(told["archives"].items())
    ]
    out(told, as_json, lines + [f"desk {proxy}" for proxy in told["desks"]])


@click.command()
@click.argument("host")
@click.argument("path")
@click.option("--key", type=click.IntRange(0, 65535), help="the request's X-Shard-Key")
@click.option("--id", "request", default="explain", help="the request's X-Attempt-Id")
@ARCHIVE
@CONTROL
@BOOT
@JSON
def explain(
    host: str,
    path: str,
    key: int | None,
    request: str,
    archive: str | None,
    control: str | None,
    boot: str | None,
    as_json: bool,
) -> None:
    """Which route, slice and worker a request gets, and why. Exit codes: 0 a worker, 1 none."""
    configuration: Configuration = build_configuration(current(control, boot)).ok_value
    route = configuration.route(host, path)
    found: dict[str, Any] = {"version": f"r{configuration.number}", "route": route and route.label}
    if route is None:
        out(found, as_json, [f"r{configuration.number}: no route of {host} begins {path}: 404"])
        sys.exit(FOUND)
    service = route.service(request)
    keyed = configuration.services[service].keyed
    load_balancer, rows = LoadBalancer(0.0), ask(archive, boot, "roll")
    load_balancer.take_table({**ask(archive, boot, "table")})
    for instance_id, row in rows.items():
        load_balancer.registry.merge(
            0.0, instance_id, WorkerRegistration(*(row[field] for field in WorkerRegistration._fields))
        )
    load_balancer.silent = {instance_id for instance_id, row in rows.items() if row["silent"]}
    at = key if keyed else load_balancer.hashed(request)
    entry = load_balancer.entry(service, at) if at is not None else None
    found |= {"service": service, "keyed": keyed, "key": at, "entry": entry}
    lines = [f"r{configuration.number}: route {route.label}, prefix {route.prefix}, service {service}"]
    if at is None:
        lines.append(f"{service} is divided by key, and no --key was given: 400")
    elif entry is None:
        lines.append(f"no slice of {service} is placed yet")
    else:
        lines.append(
            f"slice of {'key' if keyed else 'hash'} {at}: {entry[WORKER] or 'nobody'}"
            + f", second {entry[SECOND]}" * bool(entry[SECOND])
            + f", not yet released by {entry[PREVIOUS_OWNER]}" * bool(entry[PREVIOUS_OWNER])
        )
    instance_id = load_balancer.choose(0.0, service, at if keyed else None, request, set()) if entry else None
    found["worker"] = instance_id
    lines.append(f"goes to {instance_id}" if instance_id else "no worker may get it now")
    out(found, as_json, lines)
    sys.exit(0 if instance_id else FOUND)


@click.group()
def shelf() -> None:
    """Look at an archive's folder; nothing there is changed, and the archive may be running."""


def opened(folder: str) -> sqlite3.Connection:
    """A copy in memory, as a look must neither lock nor recover the archive's own file."""
    import os
    import shutil
    import tempfile

    path = os.path.join(folder, NAME)
    if not os.path.exists(path):
        fail(f"{path}: no such file")
    with tempfile.TemporaryDirectory() as place:
        try:
            for end in ("", "-wal"):
                if os.path.exists(path + end):
                    shutil.copy(path + end, os.path.join(place, NAME + end))
            base, copy = sqlite3.connect(os.path.join(place, NAME)), sqlite3.connect(":memory:")
            base.backup(copy)
            base.close()
        except (sqlite3.Error, OSError) as problem:
            fail(f"{path}: {problem}")
    return copy


def told_of(base: sqlite3.Connection) -> dict:
    """All that lies there, as JSON has it."""
    found, fields = read(base), ("promised", "accepted", "value")
    registers = {name: dict(zip(fields, one, strict=True)) for name, one in found["registers"].items()}
    return {"facts": found["facts"], "registers": registers}


@shelf.command("check")
@click.argument("folder")
@JSON
def shelf_check(folder: str, as_json: bool) -> None:
    """Whether the file is whole and of a form that this program knows. Exit codes: 0 sound, 1 damaged, 2
    unreadable.
    """
    faults = []
    try:
        base = opened(folder)
        form = base.execute("pragma user_version").fetchone()[0]
        faults += [] if 0 < form <= FORM else [f"form {form}, and this program knows 1 to {FORM}"]
        faults += [row[0] for row in base.execute("pragma integrity_check") if row[0] != "ok"]
        told = told_of(base) if not faults else {"facts": {}, "registers": {}}
        faults += (
            []
            if faults or {"disk", "born"} & told["facts"].keys()  # form 1 said born
            else ["the disk has no name: no archive has written to it"]
        )
        config = told["registers"].get("config", {}).get("value")
        if config and (number := number_of(config["config"].get("Revision"))) != config["n"]:
            faults.append(f"the configuration says r{number}, its register r{config['n']}")
    except (sqlite3.Error, ValueError) as problem:
        faults.append(str(problem))
    out(faults, as_json, faults or ["sound"])
    sys.exit(FOUND if faults else 0)


@shelf.command("show")
@click.argument("folder")
@JSON
def shelf_show(folder: str, as_json: bool) -> None:
    """What lies there: who votes, and what each register promised and accepted."""
    told = told_of(opened(folder))
    lines = [f"{name}: {value}" for name, value in told["facts"].items()]
    for name, one in told["registers"].items():
        version = one["value"]["n"] if one["value"] else 0
        lines.append(
            f"{name}: promised {tuple(one['promised'])}, accepted {tuple(one['accepted'])}, version {version}"
        )
    out(told, as_json, lines)


@shelf.command("export")
@click.argument("folder")
def shelf_export(folder: str) -> None:
    """All of it as one JSON value."""
    click.echo(json.dumps(told_of(opened(folder))))


COMMANDS = (check, config, roll, holds, sessions, explain, shelf)
