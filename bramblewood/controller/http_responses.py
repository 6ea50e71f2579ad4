"""The JSON format of a controller's HTTP responses."""

from aiohttp import web

# reasons of responses with status 503
NO_QUORUM = "no majority heard"
NO_QUORUM_IN_TIME = "no majority heard in time"


def make_response(status: int, reason: str = "", headers: dict | None = None) -> web.Response:
    """Returns a JSON response: the reason under `Failure`, or an empty object without a reason."""
    body = {"Failure": reason} if reason else {}
    return web.json_response(body, status=status, headers=headers)
