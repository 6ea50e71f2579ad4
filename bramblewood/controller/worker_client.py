"""HTTP calls of a controller to workers, over the connections and the strict reader that proxies use too.

Invariant: a call is sent once. Its answer is read whole, and another call's answer is never taken for it
(`common/connection_state.py`). Idle connections are kept for a while, a few to a worker: grants of its
several runs of slices are renewed at the same moment.
"""

import asyncio
import json
from typing import Any, NamedTuple

from multidict import CIMultiDict

from ..common.timeouts import UNACKNOWLEDGED_TIMEOUT_MS
from ..common.worker_connection import WorkerConnection, connect

KEEP_ALIVE = 4.0  # s that an idle connection to a worker is kept
MAX_IDLE_PER_WORKER = 8
ANSWER_TIMEOUT = 60.0  # s; callers bound their calls themselves, by less


class WorkerAnswer(NamedTuple):
    """A worker's answer to a call."""

    status: int
    headers: CIMultiDict[str]
    is_first_on_connection: bool  # nothing was sent there before, so no answer of another call can come


class WorkerClient:
    """The idle connections to workers, by address; the one used last at the end."""

    def __init__(self) -> None:
        self.idle: dict[str, list[WorkerConnection]] = {}

    async def post(
        self,
        address: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
        connect_by: float,
        on_new_connection: bool,
    ) -> WorkerAnswer | None:
        """One call, not sent after `connect_by` (s of the loop's clock); None where no answer to it came.

        headers: `X-Attempt-Id` among them. An answer without that field is taken too; the caller looks at
        what the connection carried before. Raises WorkerUnreachable, and TimeoutError where no connection
        was made in time.
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
            accepts_unnamed=True,
        )
        self._keep(address, connection)
        if result.answer is None:
            return None
        return WorkerAnswer(result.answer.status, result.answer.headers_by_name, is_first)

    def _take_idle(self, address: str, now: float) -> WorkerConnection | None:
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable and now - connection.idle_since < KEEP_ALIVE:
                return connection
            connection.close()
        return None

    def _keep(self, address: str, connection: WorkerConnection) -> None:
        idle = self.idle.setdefault(address, [])
        if not connection.is_reusable or len(idle) >= MAX_IDLE_PER_WORKER:
            connection.close()
            return
        idle.append(connection)
        connection.loop.call_later(KEEP_ALIVE, self._close_idle, address, connection, connection.idle_since)

    def _close_idle(self, address: str, connection: WorkerConnection, idle_since: float) -> None:
        """Close a connection that nobody has used since."""
        idle = self.idle.get(address, [])
        if connection in idle and connection.idle_since == idle_since:
            idle.remove(connection)
            connection.close()
        if not idle:
            self.idle.pop(address, None)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()


def encode_request(address: str, path: str, headers: dict[str, str], body: dict[str, Any]) -> bytes:
    """The bytes of a POST with a JSON body."""
    content = json.dumps(body).encode()
    fields = {
        "Host": address,
        **headers,
        "Content-Type": "application/json",
        "Content-Length": str(len(content)),
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + content
