"""Listening sockets opened before all else: clients that come while a desk still starts wait, and are not
turned away.

Imports nothing heavy; what is wrong with the settings is told later, by those who check them.
"""

import os
import socket
import tomllib

BACKLOG = 1024


def open_listeners_early(names: tuple[str, ...]) -> dict[str, socket.socket]:
    """Sockets for these names of `BindMap` by the settings file that the variable names; none where that
    fails.
    """
    found: dict[str, socket.socket] = {}
    try:
        with open(os.environ.get("BRAMBLEWOOD_BOOT", "/etc/bramblewood/boot.toml"), "rb") as file:
            listen = tomllib.load(file)["BindMap"]
        for name in names:
            host, _, port = listen[name].rpartition(":")
            found[name] = listen_on(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        for sock in found.values():
            sock.close()
        return {}
    return found


def listen_on(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
