"""One attempt at a worker: the request is sent at most once, and the outcome is recorded.

Invariant: an attempt increments the worker's in-flight counts when it starts and decrements them when it
ends, whatever its outcome.
"""

import asyncio
from collections.abc import Sequence

import logbook
from aiohttp import web

from ..common.connection_state import AttemptOutcome, ExchangeResult
from ..common.memory_budget import Reservation
from ..common.response_parser import WorkerResponse
from ..common.worker_connection import MAX_RESET_WATCH, WorkerConnection, WorkerUnreachable
from .connection_pool import ConnectionPool
from .connection_quota import idle_connection_quota
from .controller_sessions import ControllerSessions
from .http_fields import request_head
from .load_balancing import LoadBalancer
from .replica_invalidation_calls import ReplicaInvalidator
from .request_attempts import FinalReply, RequestAttempts
from .retry_budget import RetryBudget

INVALIDATION_FAILED = FinalReply(504, "copies of its record could not be recalled in time")


class Forwarder:
    """Sends requests to workers.

    attempts_by_outcome: number of attempts since the start of the process, by outcome.
    """

    def __init__(
        self,
        proxy_name: str,
        log: logbook.Logger,
        load_balancer: LoadBalancer,
        retry_budget: RetryBudget,
        connection_pool: ConnectionPool,
        sessions: ControllerSessions,
    ) -> None:
        self.proxy_name, self.log = proxy_name, log
        self.load_balancer, self.retry_budget = load_balancer, retry_budget
        self.connection_pool, self.sessions = connection_pool, sessions
        self.invalidator = ReplicaInvalidator(proxy_name, load_balancer, connection_pool, sessions)
        self.attempts_by_outcome: dict[AttemptOutcome, int] = dict.fromkeys(AttemptOutcome, 0)

    async def attempt(
        self,
        request: web.BaseRequest,
        body_parts: Sequence[bytes],
        attempts: RequestAttempts,
        instance_id: str,
        response_memory: Reservation | None = None,
    ) -> FinalReply | None:
        """Send the request to a worker.

        response_memory: from which the memory of a long response is taken; the caller releases it.

        Returns the final reply, or None if `attempts` decides how to continue.
        """
        loop, load_balancer = asyncio.get_running_loop(), self.load_balancer
        observation, non_idempotent = load_balancer.observation(instance_id), attempts.non_idempotent
        observation.request_started(loop.time(), non_idempotent)
        version = load_balancer.version_of(instance_id)
        load_balancer.rollout_trials.attempt_started(attempts.service, attempts.route.label, version)
        if attempts.affinity_key:
            load_balancer.set_affinity(
                observation.in_flight_since,
                attempts.service,
                attempts.affinity_key,
                instance_id,
                attempts.route.timeout,
            )
        started_at = loop.time()
        try:
            result = await self._exchange(
                request, body_parts, attempts, instance_id, started_at, response_memory
            )
        finally:
            observation.request_ended(non_idempotent)
        now = loop.time()
        if result is None:
            return attempts.fail(now, "no answer in time")
        self.attempts_by_outcome[result.outcome] += 1
        load_balancer.rollout_trials.attempt_ended(
            attempts.service,
            instance_id,
            version,
            attempts.route.label,
            result.outcome,
            result.response,
            now - started_at,
        )
        if result.outcome is AttemptOutcome.ANSWERED:
            self._record_response(now, instance_id, result.response, now - started_at)
        else:
            self._record_failure(now, instance_id, result.outcome, attempts)
        return await self._final_reply(now, instance_id, result, attempts)

    async def _exchange(
        self,
        request: web.BaseRequest,
        body_parts: Sequence[bytes],
        attempts: RequestAttempts,
        instance_id: str,
        started_at: float,
        response_memory: Reservation | None,
    ) -> ExchangeResult | None:
        """Send the request over a connection from the pool.

        Returns None if the request's deadline passes before a connection is acquired.
        """
        loop, pool = asyncio.get_running_loop(), self.connection_pool
        address = self.load_balancer.registry.registrations[instance_id].address
        try:
            connection = await pool.acquire(
                instance_id, address, started_at, attempts.non_idempotent, attempts.used_connections
            )
        except WorkerUnreachable as error:
            return ExchangeResult(error.outcome)
        now = loop.time()
        if now >= attempts.deadline:  # acquiring the connection took too long
            connection.close()
            return None
        attempts.used_connections.add(connection.number)
        idle_time = now - connection.idle_since if connection.idle_since else 0.0
        message = request_head(request, sum(map(len, body_parts)), attempts, instance_id, now)
        if len(body_parts) == 1:  # one write, as for a request without a body
            message, body_parts = message + body_parts[0], ()
        result = await connection.exchange(
            message,
            attempts.request_id,
            attempts.deadline,
            is_head_request=request.method == "HEAD",
            body_parts=body_parts,
            reservation=response_memory,
        )
        if result.outcome is AttemptOutcome.CONNECTION_BROKEN and idle_time:
            self._check_dead_connection(now, instance_id, idle_time, loop.time() - now)
        self._release(now, attempts.service, instance_id, connection)
        return result

    def _check_dead_connection(
        self, now: float, instance_id: str, idle_time: float, broken_after: float
    ) -> None:
        """Record a connection that broke immediately on reuse as dead.

        A worker without a free slot is excepted, because a full worker also resets connections.
        """
        if broken_after < MAX_RESET_WATCH and self.load_balancer.load_per_slot(now, instance_id) < 1.0:
            self.connection_pool.record_dead_connection(now, idle_time)

    def _release(self, now: float, service: str, instance_id: str, connection: WorkerConnection) -> None:
        limit = self.idle_connection_limit(service, instance_id, now)
        self.connection_pool.release(instance_id, connection, limit)

    def idle_connection_limit(self, service: str, instance_id: str, now: float) -> int:
        """Return the number of idle connections that may be kept to a worker of this service."""
        configuration = self.sessions.configuration
        settings = configuration.services.get(service) if configuration is not None else None
        max_connections = settings.max_connections if settings else 0
        proxy_count = self.retry_budget.proxy_count
        return idle_connection_quota(max_connections, proxy_count, self.proxy_name, instance_id, now)

    def _record_response(
        self, now: float, instance_id: str, answer: WorkerResponse, response_time: float
    ) -> None:
        observation = self.load_balancer.observation(instance_id)
        observation.record_response(response_time)
        observation.answered_at = now
        observation.record_load(now, answer.headers_by_name.get("X-Server-Load", ""))
        if answer.status in (429, 503):
            observation.record_rejection(now)
        if answer.status >= 500 and "X-Not-Run" not in answer.headers_by_name:
            observation.record_server_error()

    def _record_failure(
        self, now: float, instance_id: str, outcome: AttemptOutcome, attempts: RequestAttempts
    ) -> None:
        observation = self.load_balancer.observation(instance_id)
        if outcome is AttemptOutcome.CONNECTION_REJECTED:
            observation.record_rejection(now)
            return
        broken = outcome is AttemptOutcome.CONNECTION_BROKEN
        observation.record_failure(now, back_off=not broken)
        if broken:  # workers of some services reset connections while they are full
            observation.record_rejection(now)
        self.log.info(
            "attempt failed",
            step="attempt",
            peer=instance_id,
            outcome=outcome.value,
            id=attempts.request_id,
            key=attempts.key,
            fencing_token=self.load_balancer.slices.fencing_token(attempts.service, attempts.key),
        )
        if outcome is AttemptOutcome.NOT_SENT:
            self.connection_pool.close_all(instance_id)

    async def _final_reply(
        self, now: float, instance_id: str, result: ExchangeResult, attempts: RequestAttempts
    ) -> FinalReply | None:
        """Record the outcome and return the final reply, or None if another attempt may follow.

        After a successful non-idempotent request, the reply waits until no outdated read replica of the key
        can be read.
        """
        service, key = attempts.service, attempts.key
        from_replica = key is not None and instance_id in self.load_balancer.slices.replica_holders(
            service, key
        )
        reply = attempts.attempt_finished(now, instance_id, result.outcome, result.response, from_replica)
        if key is None or not attempts.non_idempotent or result.outcome is not AttemptOutcome.ANSWERED:
            return reply
        succeeded = 200 <= result.response.status < 300
        if attempts.has_read_replicas and succeeded and not await self.invalidator.invalidate(attempts):
            return INVALIDATION_FAILED
        return reply
