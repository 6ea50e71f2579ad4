"""What a manager is told at its start: the one place where it is read, checked and given defaults."""

import json
import os
from collections.abc import Mapping
from typing import Any, NamedTuple

from ...events import NO_RETRY
from ...startup_settings import SOURCES, StartupSettings, parse_settings
from ..transport.connection import Address

FEWEST = 32  # descriptors below which a manager can't work: its own streams, a few collectors and probes


class Faulty(Exception):
    """A configuration that can't be used; the text names the key."""


class Charter(NamedTuple):
    """The configuration of a manager, checked."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    seed: str
    descriptors: int
    peer_listen: Address | None
    peers: list[Address]
    everyone: Address | None
    known: dict
    facts: StartupSettings


def address(text: Any, key: str) -> Address:
    """A host and port of a text; raises Faulty with the key."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise Faulty(f"{key}: expected an address such as 10.0.0.4:3000, found {text!r:.60}")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise Faulty(f"{key}: expected a port from 1 to 65535, found {text!r:.60}")
    return host, int(port)


def of_type(found: Mapping, key: str, kind: type, default: Any = None) -> Any:
    """The value of a key if it is of this type; raises Faulty."""
    value = found.get(key.rpartition(".")[2], default)
    if not isinstance(value, kind) or isinstance(value, bool):
        words = {dict: "an object", str: "a text", int: "a whole number", list: "a list"}
        what = "it is missing" if value is None else f"found {value!r:.60}"
        raise Faulty(f"{key}: expected {words[kind]}, {what}")
    return value


def read(environment: Mapping[str, str] = os.environ, path: str | None = None) -> Charter:
    """The configuration that EDGE_CONFIG names, or the one at path."""
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise Faulty("EDGE_CONFIG: expected the path of the configuration, it is missing")
    try:
        with open(path, "rb") as file:
            found = json.load(file)
    except OSError as problem:
        raise Faulty(f"{path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:
        raise Faulty(f"{path}: not JSON: {problem}") from None
    if not isinstance(found, dict):
        raise Faulty(f"{path}: expected an object")
    told = {
        "name": environment.get("EDGE_NAME"),
        "listen": environment.get("EDGE_LISTEN"),
        "discovery": environment.get("EDGE_DISCOVERY"),
    }
    return check({**{key: value for key, value in told.items() if value}, **found})


def in_range(settings: StartupSettings) -> None:
    """No figure below 0, and none of 0 where it parts others."""
    for name, section, key, _ in SOURCES:
        value, least = getattr(settings, name), "more than 0" if name == "cycle" else "0 or more"
        if isinstance(value, (int, float)) and (value < 0 or name == "cycle" and not value):
            raise Faulty(f"settings.{section and section + '.'}{key}: expected {least}")
    for k, operation in enumerate(settings.operations):
        if operation.latency_objective <= 0 or operation.billed_value < 0:
            raise Faulty(f"settings.classes.{k}: expected an objective above 0 and no figure below 0")


def check(found: Mapping) -> Charter:
    """The configuration of the object that was read; raises Faulty."""
    registry = of_type(found, "registry", dict)
    peers = of_type(found, "peers", list, [])
    limits = of_type(found, "limits", dict, {})
    descriptors = of_type(limits, "limits.sockets", int, 1024)
    if descriptors < FEWEST:
        raise Faulty(f"limits.sockets: expected {FEWEST} or more, found {descriptors}")
    peer_listen, everyone = found.get("peer_listen"), found.get("peers_all")
    try:
        settings = parse_settings(of_type(found, "settings", dict))
    except ValueError as problem:
        raise Faulty(f"settings.{problem}") from None
    in_range(settings)
    if settings.default_retry is None:
        settings.default_retry = NO_RETRY
    return Charter(
        of_type(found, "name", str, "manager"),
        address(found.get("listen"), "listen"),
        address(found.get("discovery"), "discovery"),
        address(registry.get("address"), "registry.address"),
        str(found.get("seed", "0")),
        descriptors,
        address(peer_listen, "peer_listen") if peer_listen else None,
        [address(peer, f"peers.{k}") for k, peer in enumerate(peers)],
        address(everyone, "peers_all") if everyone else None,
        of_type(found, "known", dict, {}),
        settings,
    )
