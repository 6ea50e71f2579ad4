"""The pool of idle connections to workers, which limits their number and closes them before they expire.

Invariant: a connection is either in the pool or carries one exchange. `connection_state` determines whether
it may return to the pool. A non-idempotent request is not sent on an idle connection that may already be
dead.
"""

import asyncio

from ..common.connection_state import AttemptOutcome
from ..common.worker_connection import WorkerConnection, WorkerUnreachable, connect

# A non-idempotent request uses a connection only if it was idle for at most this fraction of the idle time
# after which a connection may be dead.
TRUSTED_IDLE_FRACTION = 0.5
# s in which the trusted idle time doubles; workers close connections early for some seconds at a time only
TRUST_RECOVERY_TIME = 5.0
MAX_TRUST_DOUBLINGS = 30.0  # prevents an overflow long after the last dead connection


class ConnectionPool:
    """Idle connections by instance id of the worker, the most recently used one last."""

    def __init__(self) -> None:
        self.idle: dict[str, list[WorkerConnection]] = {}
        self.opened = self.reused = self.rejected = 0  # counts since the start, for the metrics
        self.dead_idle_time = 0.0  # s of idle time after which a connection may be dead; 0: unknown
        self.dead_found_at = -1e9  # time at which the last dead connection was found

    def trusted_idle_time(self, now: float) -> float:
        """Return the longest idle time (s) after which a connection may carry a non-idempotent request."""
        if not self.dead_idle_time:
            return float("inf")
        doublings = min((now - self.dead_found_at) / TRUST_RECOVERY_TIME, MAX_TRUST_DOUBLINGS)
        return TRUSTED_IDLE_FRACTION * self.dead_idle_time * 2**doublings

    def record_dead_connection(self, now: float, idle_time: float) -> None:
        """Record that a connection with this idle time (s) was reset on use: others may be dead as well."""
        self.dead_idle_time, self.dead_found_at = min(idle_time, self.trusted_idle_time(now)), now

    async def acquire(
        self,
        instance_id: str,
        address: str,
        now: float,
        non_idempotent: bool,
        excluded: set[int] | frozenset[int] = frozenset(),
    ) -> WorkerConnection:
        """Return an idle connection that may carry a request, or else a new connection.

        excluded: numbers of the connections on which the request was sent before. Raises `WorkerUnreachable`
        if no connection can be opened, or if the worker resets the new connection.
        """
        connection = self.take_idle(instance_id, now, non_idempotent, excluded)
        return connection if connection is not None else await self._open(address)

    def take_idle(
        self,
        instance_id: str,
        now: float,
        non_idempotent: bool,
        excluded: set[int] | frozenset[int] = frozenset(),
    ) -> WorkerConnection | None:
        """Return the most recently used idle connection that may carry a request, or None.

        Connections in `excluded` are not returned: a surplus response to an earlier attempt of the same
        request would have the same request id. Expired idle connections to the worker are closed.
        """
        trusted_time = self.trusted_idle_time(now) if non_idempotent else float("inf")
        idle = []
        for connection in self.idle.get(instance_id, ()):
            if connection.is_reusable and connection.reusable_until > now:
                idle.append(connection)
            else:
                connection.close()
        self.idle[instance_id] = idle
        for position in range(len(idle) - 1, -1, -1):
            connection = idle[position]
            if now - connection.idle_since <= trusted_time and connection.number not in excluded:
                self.reused += 1
                return idle.pop(position)
        return None

    async def _open(self, address: str) -> WorkerConnection:
        connection, round_trip = await connect(address)
        self.opened += 1
        try:
            survived = await connection.survives_round_trip(round_trip)
        except asyncio.CancelledError:  # no other code has a reference to close it
            connection.close()
            raise
        if not survived:
            self.rejected += 1
            raise WorkerUnreachable(AttemptOutcome.CONNECTION_REJECTED, address)
        return connection

    def release(self, instance_id: str, connection: WorkerConnection, limit: int) -> None:
        """Keep a connection for reuse if fewer than `limit` to this worker are idle. Otherwise close it."""
        idle = self.idle.setdefault(instance_id, [])
        if connection.is_reusable and len(idle) < limit:
            idle.append(connection)
        else:
            connection.close()

    def close_all(self, instance_id: str) -> None:
        """Close all idle connections to a worker."""
        for connection in self.idle.pop(instance_id, ()):
            connection.close()

    def prune(self, now: float, limits: dict[str, int]) -> None:
        """Close expired idle connections and those that exceed the limits.

        limits: number of idle connections that may be kept, by instance id. All connections to other workers
        are closed.
        """
        for instance_id in list(self.idle):
            if instance_id not in limits:
                self.close_all(instance_id)
                continue
            keep = [
                connection
                for connection in self.idle[instance_id]
                if connection.is_reusable and connection.reusable_until > now
            ]
            keep = keep[max(len(keep) - limits[instance_id], 0) :]  # the most recently used ones
            for connection in self.idle[instance_id]:
                if connection not in keep:
                    connection.close()
            self.idle[instance_id] = keep
