"""The form of a controller's HTTP answers."""

from aiohttp import web

NO_QUORUM = "no majority heard"
NO_QUORUM_IN_TIME = "no majority heard in time"


def make_response(status: int, reason: str = "", headers: dict | None = None) -> web.Response:
    """A JSON answer that names its reason under `Failure`, where there is one."""
    body = {"Failure": reason} if reason else {}
    return web.json_response(body, status=status, headers=headers)
