"""HTTP header fields of requests and responses that pass through the proxy. No I/O.

Hop-by-hop fields, which concern one connection only, are not forwarded (RFC 9110, section 7.6.1).
"""

from collections.abc import Iterable
from typing import Any, Protocol

from aiohttp import web
from multidict import CIMultiDict

from .long_response import LONG_RESPONSE_BYTES, LongResponse
from .request_attempts import FinalReply, RequestAttempts

HOP_BY_HOP_FIELDS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"expect",
}
# These determine where a request is sent and which request a response belongs to. A request with more than
# one value of such a field is ambiguous.
SINGLE_VALUE_FIELDS = ("Host", "X-Attempt-Id", "X-Shard-Key", "X-Deadline-Ms")
# A `Connection` field cannot remove these.
END_TO_END_FIELDS = {name.lower().encode() for name in SINGLE_VALUE_FIELDS}
FIELDS_SET_FOR_WORKERS = {b"x-deadline-ms", b"x-target-instance", b"content-length"}
FIELDS_SET_FOR_CLIENTS = {b"content-length", b"date", b"server"}
_NOT_FOR_WORKERS = HOP_BY_HOP_FIELDS | FIELDS_SET_FOR_WORKERS
_NOT_FOR_CLIENTS = HOP_BY_HOP_FIELDS | FIELDS_SET_FOR_CLIENTS
MAX_DIGITS = 18  # of an integer in a header field, which then fits into 64 bits


class _MultiValueHeaders(Protocol):
    def getall(self, key: str, default: Any) -> Iterable[str]: ...


def request_head(
    request: web.BaseRequest, body_size: int, attempts: RequestAttempts, instance_id: str, now: float
) -> bytes:
    """Return the head of a request to a worker.

    It is the client's head without hop-by-hop fields. The proxy sets `X-Deadline-Ms`, `X-Target-Instance` and
    `Content-Length`, and adds `X-Attempt-Id` if it is missing. now: s of the loop's clock.
    """
    not_forwarded = _NOT_FOR_WORKERS | (connection_options(request.headers) - END_TO_END_FIELDS)
    lines = [f"{request.method} {request.raw_path} HTTP/1.1".encode("utf-8", "surrogateescape")]
    for name, value in request.raw_headers:
        if name.lower() not in not_forwarded:
            lines.append(name + b": " + value)
    if "X-Attempt-Id" not in request.headers:
        lines.append(f"X-Attempt-Id: {attempts.request_id}".encode())
    lines.append(f"X-Deadline-Ms: {max(int((attempts.deadline - now) * 1000), 1)}".encode())
    lines.append(f"X-Target-Instance: {instance_id}".encode())
    if body_size or "Content-Length" in request.headers or "Transfer-Encoding" in request.headers:
        lines.append(f"Content-Length: {body_size}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"


def connection_options(headers: _MultiValueHeaders) -> set[bytes]:
    """Return the names of the hop-by-hop fields that the `Connection` fields list, in lower case."""
    options = ",".join(headers.getall("Connection", ()))
    return {name.strip().lower().encode("utf-8", "surrogateescape") for name in options.split(",")}


def error_response(
    status: int, reason: str, retry_after: float | None = None, close: bool = False
) -> web.Response:
    """Return an error response of the proxy itself.

    retry_after: s, or None. close: whether to close the client's connection after the response.
    """
    response = web.json_response({"Failure": reason}, status=status)
    if retry_after is not None:
        response.headers["Retry-After"] = f"{retry_after:.3f}"
    if close:
        response.force_close()
    return response


def client_response(reply: FinalReply, method: str) -> web.StreamResponse:
    """Return the response to the client. method: the method of the client's request."""
    if reply.response is None:
        return error_response(reply.status, reply.reason, reply.retry_after)
    response = reply.response
    headers: CIMultiDict[str] = CIMultiDict()
    not_forwarded = _NOT_FOR_CLIENTS | connection_options(response.headers_by_name)
    for name, value in response.raw_headers:
        if name.lower() not in not_forwarded:
            headers.add(name.decode("utf-8", "surrogateescape"), value.decode("utf-8", "surrogateescape"))
    if method == "HEAD" and "Content-Length" in response.headers_by_name:
        headers["Content-Length"] = response.headers_by_name["Content-Length"]  # as for a GET
    if len(response.body) > LONG_RESPONSE_BYTES and method != "HEAD":
        return LongResponse(response.status, response.reason, headers, response.body)
    return web.Response(status=response.status, reason=response.reason, body=response.body, headers=headers)


def expects_continue(request: web.BaseRequest) -> bool:
    """Whether the client waits for `100 Continue` before it sends a body."""
    return request.headers.get("Expect", "").lower() == "100-continue"


def parse_integer(text: str) -> int | None:
    """Return the non-negative integer that a text represents, or None if it represents none.

    A text with more than MAX_DIGITS digits is not accepted.
    """
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS else None
