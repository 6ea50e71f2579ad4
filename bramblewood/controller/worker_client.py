"""HTTP calls of a controller to workers, with the connections and the strict response parser of the proxies.

Invariant: a call is sent at most once. Its answer is read completely, and the answer to another call is never
returned for it (`common/connection_state.py`).

A few idle connections per worker are kept for a short time. A worker's grants, one for each run of adjacent
slices, are renewed at the same moment and use these connections.
"""

import asyncio
import json
from typing import Any, NamedTuple

from multidict import CIMultiDict

from ..common.timeouts import UNACKNOWLEDGED_TIMEOUT_MS
from ..common.worker_connection import WorkerConnection, connect

KEEP_ALIVE = 4.0  # s for which an idle connection to a worker is kept
MAX_IDLE_PER_WORKER = 8
ANSWER_TIMEOUT = 60.0  # s; an upper limit, as callers set shorter timeouts of their own


class WorkerAnswer(NamedTuple):
    """A worker's answer to a call."""

    status: int
    headers: CIMultiDict[str]
    # the connection carried no call before, so it cannot deliver the answer to another call
    is_first_on_connection: bool


class WorkerClient:
    """Sends calls to workers, and keeps the idle connections."""

    def __init__(self) -> None:
        # by address, in the order of their last use
        self.idle_connections: dict[str, list[WorkerConnection]] = {}

    async def post(
        self,
        address: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
        connect_by: float,
        on_new_connection: bool,
    ) -> WorkerAnswer | None:
        """Send one POST request and return its answer, or None if it is not sent or no answer arrives.

        Nothing is sent after `connect_by` (s of the loop's clock). `headers` must contain `X-Attempt-Id`. An
        answer without this header is accepted too. The caller decides by `is_first_on_connection` whether
        such an answer belongs to this call.

        Raises WorkerUnreachable if the connection fails, and TimeoutError if it is not open by `connect_by`.
        """
        loop = asyncio.get_running_loop()
        connection = None if on_new_connection else self._take_idle(address, loop.time())
        if connection is None:
            async with asyncio.timeout_at(connect_by):
                connection, _ = await connect(address, UNACKNOWLEDGED_TIMEOUT_MS)
        if loop.time() > connect_by:
            connection.close()
            return None
        is_first = connection.state.requests_sent == 0
        result = await connection.exchange(
            encode_request(address, path, headers, body),
            headers["X-Attempt-Id"],
            loop.time() + ANSWER_TIMEOUT,
            accepts_missing_id=True,
        )
        self._keep_or_close(address, connection)
        if result.response is None:
            return None
        return WorkerAnswer(result.response.status, result.response.headers_by_name, is_first)

    def _take_idle(self, address: str, now: float) -> WorkerConnection | None:
        connections = self.idle_connections.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable and now - connection.idle_since < KEEP_ALIVE:
                return connection
            connection.close()
        return None

    def _keep_or_close(self, address: str, connection: WorkerConnection) -> None:
        connections = self.idle_connections.setdefault(address, [])
        if not connection.is_reusable or len(connections) >= MAX_IDLE_PER_WORKER:
            connection.close()
            return
        connections.append(connection)
        connection.loop.call_later(KEEP_ALIVE, self._close_idle, address, connection, connection.idle_since)

    def _close_idle(self, address: str, connection: WorkerConnection, idle_since: float) -> None:
        """Close a connection that was not used after `idle_since`."""
        connections = self.idle_connections.get(address, [])
        if connection in connections and connection.idle_since == idle_since:
            connections.remove(connection)
            connection.close()
        if not connections:
            self.idle_connections.pop(address, None)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle_connections.values():
            for connection in connections:
                connection.close()
        self.idle_connections.clear()


def encode_request(address: str, path: str, headers: dict[str, str], body: dict[str, Any]) -> bytes:
    """Return the bytes of a POST request with `body` as JSON."""
    content = json.dumps(body).encode()
    fields = {
        "Host": address,
        **headers,
        "Content-Type": "application/json",
        "Content-Length": str(len(content)),
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + content
