"""The command `explain`: a request's way, found by a proxy's load balancer from what a controller shows."""

import sys
from typing import Any

import click

from ..common.configuration import Configuration
from ..common.configuration_parser import build_configuration
from ..common.messages import TableUpdate
from ..common.slice_table import SliceEntry
from ..common.worker_registry import WorkerRegistration
from ..proxy.load_balancing import LoadBalancer
from .controller_client import get_configuration, get_view
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import BOOT, CONTROL, CONTROLLER, JSON
from .output import write_result
from .views import TableView, WorkerView
from .workers import VIEW as WORKERS_VIEW

NOW = 0.0  # s; the clock of a load balancer that lives for one choice


def load_balancer_from(registrations: dict[str, WorkerView], table: TableView) -> LoadBalancer:
    """A proxy's load balancer that has this registry and table."""
    load_balancer = LoadBalancer(NOW)
    load_balancer.slices.apply(TableUpdate.from_wire(table))
    for instance_id, row in registrations.items():
        registration = WorkerRegistration.from_view(row)
        load_balancer.registry.record(NOW, instance_id, registration)
    load_balancer.timed_out = {instance_id for instance_id, row in registrations.items() if row["silent"]}
    return load_balancer


def slice_line(service: str, keyed: bool, key: int | None, row: list | None) -> str:
    """Which slice a request falls into, and whose it is."""
    if key is None:
        return f"{service} is divided by key, and no --key was given: 400"
    if row is None:
        return f"no slice of {service} is placed yet"
    entry = SliceEntry.decode(row)
    line = f"slice of {'key' if keyed else 'hash'} {key}: {entry.worker or 'nobody'}"
    line += f", second {entry.second_worker}" if entry.second_worker else ""
    return line + (f", not yet released by {entry.previous_owner}" if entry.previous_owner else "")


@click.command()
@click.argument("host")
@click.argument("path")
@click.option("--key", type=click.IntRange(0, 65535), help="the request's X-Shard-Key")
@click.option("--id", "request", default="explain", help="the request's X-Attempt-Id")
@CONTROLLER
@CONTROL
@BOOT
@JSON
def explain(
    host: str,
    path: str,
    key: int | None,
    request: str,
    controller: str | None,
    control: str | None,
    boot: str | None,
    as_json: bool,
) -> None:
    """Explain which route, slice and worker a request gets. Exit codes: 0 a worker, 1 none."""
    configuration: Configuration = build_configuration(get_configuration(control, boot)).ok_value
    revision, route = f"r{configuration.revision}", configuration.find_route(host, path)
    found: dict[str, Any] = {"version": revision, "route": route and route.label}
    if route is None:
        write_result(found, as_json, [f"{revision}: no route of {host} begins {path}: 404"])
        sys.exit(PROBLEM_FOUND)
    service = route.choose_service(request)
    keyed = configuration.services[service].keyed
    registrations = get_view(controller, boot, WORKERS_VIEW)
    load_balancer = load_balancer_from(registrations, get_view(controller, boot, "table"))
    slice_key = key if keyed else load_balancer.hash_request_id(request)
    entry = load_balancer.slices.entry(service, slice_key) if slice_key is not None else None
    choose = lambda: load_balancer.choose_worker(NOW, service, slice_key if keyed else None, request, set())  # noqa: E731
    worker = choose() if entry else None
    found |= {"service": service, "keyed": keyed, "key": slice_key, "entry": entry, "worker": worker}
    lines = [
        f"{revision}: route {route.label}, prefix {route.path_prefix}, service {service}",
        slice_line(service, keyed, slice_key, entry),
        f"goes to {worker}" if worker else "no worker may get it now",
    ]
    write_result(found, as_json, lines)
    sys.exit(SUCCESS if worker else PROBLEM_FOUND)
