"""Carries out the actions of `replica_invalidation`: calls to readers, requests to controllers and waits."""

import asyncio
import json
import os
from http import HTTPStatus

from ..common.connection_state import AttemptOutcome
from ..common.worker_connection import WorkerUnreachable
from .connection_pool import ConnectionPool
from .controller_sessions import ControllerSessions
from .load_balancing import LoadBalancer
from .replica_invalidation import (
    INVALIDATION_COMPLETE,
    ConfirmTable,
    DropReplicas,
    RemoveReaders,
    ReplicaInvalidation,
)
from .request_attempts import RequestAttempts

DROP_TIMEOUT = 0.2  # s for a reader to confirm a drop: many times the transit time between zones
# statuses that prove a drop: a confirmation, or the answer of another instance at the reader's address
DROPPED_STATUSES = (HTTPStatus.OK, HTTPStatus.MISDIRECTED_REQUEST)
RELEASE_PATH = "/bramblewood/release"  # path at which workers accept the release of keys and replicas


class ReplicaInvalidator:
    """Invalidates the read replicas of a key after a non-idempotent request has run."""

    def __init__(
        self,
        proxy_name: str,
        load_balancer: LoadBalancer,
        connection_pool: ConnectionPool,
        sessions: ControllerSessions,
    ) -> None:
        self.proxy_name, self.load_balancer = proxy_name, load_balancer
        self.connection_pool, self.sessions = connection_pool, sessions

    async def invalidate(self, attempts: RequestAttempts) -> bool:
        """Ensure that no read replica that is older than the request's effect can be read.

        Returns False if the request's deadline passes before that.
        """
        loop, slices = asyncio.get_running_loop(), self.load_balancer.slices
        service, key, deadline = attempts.service, attempts.key, attempts.deadline
        invalidation = ReplicaInvalidation()
        while (now := loop.time()) < deadline:
            confirmed_at = self.sessions.selection.table_confirmed_at
            step = invalidation.next_step(now, confirmed_at, slices.replica_holders(service, key))
            if step == INVALIDATION_COMPLETE:
                return True
            if isinstance(step, ConfirmTable):
                await self.sessions.confirm_table(deadline)
            elif isinstance(step, DropReplicas):
                await self._drop_replicas(invalidation, service, key, step.instance_ids)
            elif isinstance(step, RemoveReaders):
                if await self.sessions.remove_readers(service, key, step.instance_ids, deadline):
                    invalidation.readers_removed(loop.time(), step.instance_ids)
            else:
                await asyncio.sleep(min(step.deadline, deadline) - now)
        return False

    async def _drop_replicas(
        self, invalidation: ReplicaInvalidation, service: str, key: int, instance_ids: tuple[str, ...]
    ) -> None:
        fencing_token = self.load_balancer.slices.fencing_token(service, key) or 0
        calls = [self._drop_replica(instance_id, key, fencing_token) for instance_id in instance_ids]
        for instance_id, dropped in zip(instance_ids, await asyncio.gather(*calls), strict=True):
            invalidation.drop_finished(instance_id, dropped)

    async def _drop_replica(self, instance_id: str, key: int, fencing_token: int) -> bool:
        """Request that a reader drop its replica of a key.

        Returns whether it confirms the drop, or another instance answers at its address. A reader that has
        deregistered may still serve reads for some seconds, so its registration proves nothing.
        """
        registration = self.load_balancer.registry.registrations.get(instance_id)
        if registration is None or not registration.address:
            return False
        # a release of the range from `Source` to `TargetVersion`, which contains only this key
        body = json.dumps({"Source": key, "TargetVersion": key, "fence": fencing_token}).encode()
        request_id = f"drop-{self.proxy_name}-{os.urandom(4).hex()}"
        head = [
            f"POST {RELEASE_PATH} HTTP/1.1",
            f"Host: {registration.address}",
            "Content-Type: application/json",
            f"X-Attempt-Id: {request_id}",
            f"X-Target-Instance: {instance_id}",
            f"Content-Length: {len(body)}",
        ]
        request = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        loop = asyncio.get_running_loop()
        try:
            connection = await self.connection_pool.acquire(
                instance_id, registration.address, loop.time(), non_idempotent=False
            )
        except WorkerUnreachable:
            return False
        result = await connection.exchange(request, request_id, loop.time() + DROP_TIMEOUT)
        connection.close()
        return result.outcome is AttemptOutcome.ANSWERED and result.response.status in DROPPED_STATUSES
