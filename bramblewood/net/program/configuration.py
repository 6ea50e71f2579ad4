"""What a manager is told at its start: the one place where it is read, checked and given defaults."""

import json
import os
from collections.abc import Mapping
from typing import Any, NamedTuple

from ...events import NO_RETRY
from ...startup_settings import SOURCES, StartupSettings, parse_settings
from ..transport.connection import Address

# below this a manager can't work: its own streams, a few collectors and health checks
MIN_DESCRIPTORS = 32


class ConfigurationError(Exception):
    """A configuration that can't be used; the text names the key."""


class ManagerConfiguration(NamedTuple):
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
    settings: StartupSettings


def parse_address(text: Any, key: str) -> Address:
    """A host and port of a text; raises ConfigurationError with the key."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise ConfigurationError(f"{key}: expected an address such as 10.0.0.4:3000, found {text!r:.60}")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{key}: expected a port from 1 to 65535, found {text!r:.60}")
    return host, int(port)


def value_of_type(found: Mapping, key: str, kind: type, default: Any = None) -> Any:
    """The value of a key if it is of this type; raises ConfigurationError."""
    value = found.get(key.rpartition(".")[2], default)
    if not isinstance(value, kind) or isinstance(value, bool):
        words = {dict: "an object", str: "a text", int: "a whole number", list: "a list"}
        what = "it is missing" if value is None else f"found {value!r:.60}"
        raise ConfigurationError(f"{key}: expected {words[kind]}, {what}")
    return value


def read(environment: Mapping[str, str] = os.environ, path: str | None = None) -> ManagerConfiguration:
    """The configuration that EDGE_CONFIG names, or the one at path."""
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("EDGE_CONFIG: expected the path of the configuration, it is missing")
    try:
        with open(path, "rb") as file:
            found = json.load(file)
    except OSError as problem:
        raise ConfigurationError(f"{path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:
        raise ConfigurationError(f"{path}: not JSON: {problem}") from None
    if not isinstance(found, dict):
        raise ConfigurationError(f"{path}: expected an object")
    from_environment = {
        "name": environment.get("EDGE_NAME"),
        "listen": environment.get("EDGE_LISTEN"),
        "discovery": environment.get("EDGE_DISCOVERY"),
    }
    return parse({**{key: value for key, value in from_environment.items() if value}, **found})


def check_ranges(settings: StartupSettings) -> None:
    """No figure below 0, and none of 0 where it parts others."""
    for name, section, key, _ in SOURCES:
        value, least = getattr(settings, name), "more than 0" if name == "cycle" else "0 or more"
        if isinstance(value, (int, float)) and (value < 0 or name == "cycle" and not value):
            raise ConfigurationError(f"settings.{section and section + '.'}{key}: expected {least}")
    for k, operation in enumerate(settings.operations):
        if operation.latency_objective <= 0 or operation.billed_value < 0:
            raise ConfigurationError(
                f"settings.classes.{k}: expected an objective above 0 and no figure below 0"
            )


def parse(found: Mapping) -> ManagerConfiguration:
    """The configuration of the object that was read; raises ConfigurationError."""
    registry = value_of_type(found, "registry", dict)
    peers = value_of_type(found, "peers", list, [])
    limits = value_of_type(found, "limits", dict, {})
    descriptors = value_of_type(limits, "limits.sockets", int, 1024)
    if descriptors < MIN_DESCRIPTORS:
        raise ConfigurationError(f"limits.sockets: expected {MIN_DESCRIPTORS} or more, found {descriptors}")
    peer_listen, everyone = found.get("peer_listen"), found.get("peers_all")
    try:
        settings = parse_settings(value_of_type(found, "settings", dict))
    except ValueError as problem:
        raise ConfigurationError(f"settings.{problem}") from None
    check_ranges(settings)
    if settings.default_retry is None:
        settings.default_retry = NO_RETRY
    return ManagerConfiguration(
        value_of_type(found, "name", str, "manager"),
        parse_address(found.get("listen"), "listen"),
        parse_address(found.get("discovery"), "discovery"),
        parse_address(registry.get("address"), "registry.address"),
        str(found.get("seed", "0")),
        descriptors,
        parse_address(peer_listen, "peer_listen") if peer_listen else None,
        [parse_address(peer, f"peers.{k}") for k, peer in enumerate(peers)],
        parse_address(everyone, "peers_all") if everyone else None,
        value_of_type(found, "known", dict, {}),
        settings,
    )
