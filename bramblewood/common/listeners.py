"""Opens the listening sockets of a proxy before the rest of the proxy is imported.

Clients that connect during the imports wait in the backlog, and their connections are not rejected.

This module imports only the standard library and `settings_path`, so that its own import is fast. If the
settings file is invalid, no socket is opened here, and `settings.load_settings` reports the fault later.
"""

import os
import socket
import tomllib

from .settings_path import DEFAULT_SETTINGS_PATH, SETTINGS_PATH_VARIABLE

ACCEPT_BACKLOG = 1024  # the most connections that may wait to be accepted


def open_listeners_early(names: tuple[str, ...]) -> dict[str, socket.socket]:
    """Return a listening socket for each of these names of `BindMap`, or {} if any of them cannot be opened.

    Sockets that are already open are closed in that case.
    """
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
    """Return a non-blocking socket that listens at this address; raises OSError if it cannot be bound."""
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
