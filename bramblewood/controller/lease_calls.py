"""Calls to workers that grant or release keys, or lease a read replica, and what their answers mean."""

import asyncio
import os
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

import aiohttp

from ..common.peer_connections import create_connection_socket
from ..common.timeouts import READ_LEASE_DURATION
from ..common.worker_registry import GONE, WorkerRegistration
from .chosen_values import ChosenValues
from .consensus.registers import TABLE
from .key_leases import (
    CONNECTION_REFUSED,
    GRANT,
    NO_ANSWER,
    RELEASE,
    RENEWAL_FRACTION,
    KeyLeases,
    LeaseCall,
    ReleasedKeys,
)
from .key_releases import KeyReleases
from .placement import raise_fencing_tokens
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO
from .read_replicas import ReadReplicas, ReplicaLease
from .registry_exchange import RegistryExchange
from .runtime import Runtime

GRANT_TIMEOUT = 1.0  # s
KEEPALIVE = 4.0  # s that an idle connection to a worker is kept
# a worker whose port refuses calls has ended once it was silent for this many of its heartbeat intervals
MISSED_HEARTBEATS = 1.3


class LeaseCalls:
    """Calls under way, their counts, and the two HTTP sessions that they use.

    Invariant: no call leaves after the quorum contact that it rests on has run out.
    """

    pooled_session: aiohttp.ClientSession
    single_use_session: aiohttp.ClientSession  # a new connection for each call

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        chosen_values: ChosenValues,
        registry_exchange: RegistryExchange,
        key_leases: KeyLeases,
        read_replicas: ReadReplicas,
        key_releases: KeyReleases,
    ) -> None:
        self.runtime, self.quorum_io, self.chosen_values = runtime, quorum_io, chosen_values
        self.registry_exchange, self.registry = registry_exchange, registry_exchange.registry
        self.key_leases, self.read_replicas, self.key_releases = key_leases, read_replicas, key_releases
        self.tasks: set[asyncio.Task] = set()
        self.refusals: dict[str, int] = {}  # by worker: calls in a row whose connection was refused
        # names of metrics
        self.counts = dict.fromkeys(
            ("archive_grants", "archive_releases", "archive_leases", "archive_calls_failed"), 0
        )

    def start(self, call: Coroutine) -> None:
        """Run a call as a task of its own."""
        task = asyncio.ensure_future(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def cancel_all(self) -> None:
        """End the calls under way; their answers count no more."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def grant_or_release(self, call: LeaseCall, until: float) -> None:
        """One grant or release. until: when the quorum contact ends that it rests on, own clock in s."""
        sent_at = self.runtime.now()
        status, handover = await self._send_lease_call(call, sent_at, until)
        self.counts[f"archive_{call.kind}s"] += 1
        self.counts["archive_calls_failed"] += status != HTTPStatus.OK
        now = self.runtime.now()
        registration = self.registry.registrations.get(call.instance_id)
        has_ended = self._worker_has_ended(now, call.instance_id, registration, status)
        self._log_lease_call(call, status)
        if status == HTTPStatus.CONFLICT:
            self.quorum_io.propose(
                TABLE,
                lambda table: raise_fencing_tokens(table, call.service, call.starts, call.fencing_token),
                lambda outcome: self.chosen_values.refresh(),
                PROPOSAL_TIMEOUT,
            )
        released: ReleasedKeys | None = self.key_leases.call_finished(
            now, call, sent_at, status, handover, has_ended
        )
        if released is not None:
            self.key_releases.add(released)
        elif (
            status == CONNECTION_REFUSED
            and has_ended
            and registration is not None
            and registration.phase != GONE
        ):
            self.registry_exchange.record(call.instance_id, registration._replace(phase=GONE))

    async def _send_lease_call(self, call: LeaseCall, sent_at: float, until: float) -> tuple[int, str]:
        """The call's status and handover; NO_ANSWER, CONNECTION_REFUSED where there was none.

        A grant's connection must be up by `until`. A release needs contact as it starts, so that a freeze
        doesn't lie before it; its connection may take longer, as whatever it frees stands in the table.
        """
        if sent_at >= until:
            return NO_ANSWER, ""
        body = {"Source": call.first_key, "TargetVersion": call.last_key, "fence": call.fencing_token}
        timeout = self.key_leases.expiry_wait
        if call.kind == GRANT:
            body["HoldS"] = call.duration
            if call.handover:
                body["Handover"] = call.handover
            timeout = GRANT_TIMEOUT
        else:
            until = sent_at + timeout
        try:
            async with asyncio.timeout(timeout):
                return await self.send(call.kind, call.address, call.instance_id, body, until)
        except aiohttp.ClientConnectorError as problem:
            is_refused = isinstance(problem.os_error, ConnectionRefusedError)
            return (CONNECTION_REFUSED if is_refused else NO_ANSWER), ""
        except (OSError, TimeoutError, aiohttp.ClientError):
            return NO_ANSWER, ""

    def _worker_has_ended(
        self, now: float, instance_id: str, registration: WorkerRegistration | None, status: int
    ) -> bool:
        is_refused = status == CONNECTION_REFUSED
        self.refusals[instance_id] = self.refusals.get(instance_id, 0) + 1 if is_refused else 0
        since_heard = now - self.registry.last_heard.get(instance_id, 0.0)
        return (
            registration is None
            or registration.phase == GONE
            or self.refusals[instance_id] > 1
            and since_heard > MISSED_HEARTBEATS * self.runtime.settings.heartbeat_interval
        )

    def _log_lease_call(self, call: LeaseCall, status: int) -> None:
        fields = {
            "step": call.kind,
            "peer": call.instance_id,
            "keys": (call.first_key, call.last_key),
            "fencing_token": call.fencing_token,
        }
        if status != HTTPStatus.OK:
            self.runtime.log.info("call failed", status=status, **fields)
        elif call.kind == RELEASE or self.key_leases.is_first_grant(call):
            self.runtime.log.info("keys passed", **fields)

    async def lease_replica(self, lease: ReplicaLease, until: float) -> None:
        """One lease of a read replica. until: as of a grant."""
        status, (_, key, instance_id, _) = NO_ANSWER, lease.reader
        body = {
            "Source": key,
            "TargetVersion": key,
            "fence": lease.fencing_token,
            "HoldS": READ_LEASE_DURATION,
            "Copy": lease.owner_address,
        }
        try:
            async with asyncio.timeout(READ_LEASE_DURATION * RENEWAL_FRACTION):
                status, _ = await self.send(GRANT, lease.address, instance_id, body, until)
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        self.counts["archive_leases"] += 1
        self.read_replicas.lease_finished(self.runtime.now(), lease, status)

    async def send(
        self,
        kind: str,
        address: str,
        instance_id: str,
        body: dict[str, Any],
        until: float,
        on_new_connection: bool = False,
    ) -> tuple[int, str]:
        """A call about a worker's keys, not sent after `until` however long its connection takes to come up;
        its status and handover.

        The status is NO_ANSWER where the answer is of another call: a surplus one of an older call may come
        in its place and names that one's id. One without an id proves no release, but on a connection that
        carried nothing before.
        """
        url = f"http://{address}/bramblewood/{kind}"
        attempt_id = f"{self.runtime.settings.name}-{os.urandom(8).hex()}"
        headers = {"X-Target-Instance": instance_id, "X-Attempt-Id": attempt_id}
        time_left = until - self.runtime.now()
        if time_left <= 0:
            return NO_ANSWER, ""
        timeout = aiohttp.ClientTimeout(connect=time_left)
        session = self.single_use_session if on_new_connection else self.pooled_session
        async with session.post(url, json=body, headers=headers, timeout=timeout) as response:
            answered_ids = response.headers.getall("X-Attempt-Id", [])
            if answered_ids not in ([], [attempt_id]):
                response.protocol.close()  # the call's own may still come there
                return NO_ANSWER, ""
            await response.read()
        if not answered_ids and kind == RELEASE and not on_new_connection:
            return await self.send(kind, address, instance_id, body, until, True)
        return response.status, response.headers.get("X-Handover", "")


class ConnectionKeepingResponse(aiohttp.ClientResponse):
    """An answer that knows its connection even when that has gone back to the pool already."""

    async def start(self, connection: Any) -> "ConnectionKeepingResponse":
        """Called by aiohttp as the connection is there."""
        self.protocol = connection.protocol
        return await super().start(connection)


def open_worker_session(**connector_options: Any) -> aiohttp.ClientSession:
    """A session for calls to workers; connector_options: as of aiohttp.TCPConnector."""
    connector = aiohttp.TCPConnector(socket_factory=create_connection_socket, limit=0, **connector_options)
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, response_class=ConnectionKeepingResponse
    )


def open_pooled_session() -> aiohttp.ClientSession:
    """A session that keeps idle connections for later calls."""
    return open_worker_session(keepalive_timeout=KEEPALIVE)


def open_single_use_session() -> aiohttp.ClientSession:
    """A session that opens a new connection for each call."""
    return open_worker_session(force_close=True)
