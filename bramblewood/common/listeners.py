"""Listening sockets, opened before the rest of a proxy is imported.

Clients that connect meanwhile wait in the backlog and are not rejected.

Imports nothing heavy. A faulty settings file opens no socket here; it is reported later by `settings.load`.
"""

import os
import socket
import tomllib

from .settings_path import DEFAULT_SETTINGS_PATH, SETTINGS_PATH_VARIABLE

ACCEPT_BACKLOG = 1024  # connections that may wait to be accepted


def open_listeners_early(names: tuple[str, ...]) -> dict[str, socket.socket]:
    """Listening sockets by these names of `BindMap` in the settings file; none where any of them fails."""
    sockets: dict[str, socket.socket] = {}
    try:
        with open(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH), "rb") as file:
            addresses = tomllib.load(file)["BindMap"]
        for name in names:
            host, _, port = addresses[name].rpartition(":")
            sockets[name] = listen_on(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        for sock in sockets.values():
            sock.close()
        return {}
    return sockets


def listen_on(host: str, port: int) -> socket.socket:
    """A non-blocking listening socket; raises OSError where the address can't be had."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(ACCEPT_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
