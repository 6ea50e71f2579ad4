"""The idle connections to all workers: reused, limited in number, closed in time.

Invariant: a connection is in the pool or carries one exchange, never both; `connection_state` says whether it
may come back. A request whose method is not idempotent goes on no idle connection that may be dead already.
"""

import asyncio

from ..common.connection_state import AttemptOutcome
from ..common.worker_connection import WorkerConnection, WorkerUnreachable, connect

# of the idle time after which a connection was found dead: still trusted with non-idempotent requests
TRUSTED_IDLE_FRACTION = 0.5
# s in which the trusted time doubles again: workers drop connections early for some seconds only
TRUST_RECOVERY_TIME = 5.0
MAX_TRUST_DOUBLINGS = 30.0


class ConnectionPool:
    """Idle connections by the worker's instance id, the one used last at the end."""

    def __init__(self) -> None:
        self.idle: dict[str, list[WorkerConnection]] = {}
        self.opened = self.reused = self.rejected = 0  # counts since the start, for the metrics
        self.dead_idle_time = 0.0  # s after which an idle connection was found dead; 0: none was
        self.dead_found_at = -1e9  # when that was

    def trusted_idle_time(self, now: float) -> float:
        """For how long (s) a connection may have been idle to carry what must not be sent twice."""
        if not self.dead_idle_time:
            return float("inf")
        doublings = min((now - self.dead_found_at) / TRUST_RECOVERY_TIME, MAX_TRUST_DOUBLINGS)
        return TRUSTED_IDLE_FRACTION * self.dead_idle_time * 2**doublings

    def record_dead_connection(self, now: float, idle_time: float) -> None:
        """A connection that was idle for so long (s) was reset on use: workers may have dropped others."""
        self.dead_idle_time, self.dead_found_at = min(idle_time, self.trusted_idle_time(now)), now

    async def acquire(
        self,
        instance_id: str,
        address: str,
        now: float,
        non_idempotent: bool,
        excluded: set[int] | frozenset[int] = frozenset(),
    ) -> WorkerConnection:
        """A connection that may carry a request: an idle one, else a new one.

        excluded: numbers of connections on which the request was sent before. Raises `WorkerUnreachable`.
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
        """An idle connection that may carry a request, the one idle for the shortest time first.

        None of `excluded`: a surplus answer to the request's earlier attempt would have the same id.
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
        except asyncio.CancelledError:  # nobody else knows of it yet
            connection.close()
            raise
        if not survived:
            self.rejected += 1
            raise WorkerUnreachable(AttemptOutcome.CONNECTION_REJECTED, address)
        return connection

    def release(self, instance_id: str, connection: WorkerConnection, limit: int) -> None:
        """Keep a connection for reuse, if fewer than `limit` are idle to this worker; else close it."""
        idle = self.idle.setdefault(instance_id, [])
        if connection.is_reusable and len(idle) < limit:
            idle.append(connection)
        else:
            connection.close()

    def close_all(self, instance_id: str) -> None:
        """Close the idle connections to a worker."""
        for connection in self.idle.pop(instance_id, ()):
            connection.close()

    def prune(self, now: float, limits: dict[str, int]) -> None:
        """Close what was idle for too long and what exceeds the limits.

        limits: by instance id, how many idle connections may be kept; workers that are not named have gone.
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
            keep = keep[max(len(keep) - limits[instance_id], 0) :]  # those used last
            for connection in self.idle[instance_id]:
                if connection not in keep:
                    connection.close()
            self.idle[instance_id] = keep
