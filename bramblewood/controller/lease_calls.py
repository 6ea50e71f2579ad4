"""Calls to workers that grant or release keys, or lease a read replica, and what their answers mean."""

import asyncio
import os
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from ..common.timeouts import READ_LEASE_DURATION
from ..common.worker_connection import WorkerUnreachable
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
from .worker_client import WorkerClient

GRANT_TIMEOUT = 1.0  # s
# a worker whose port refuses calls has ended once it was silent for this many of its heartbeat intervals
MISSED_HEARTBEATS = 1.3


class LeaseCalls:
    """Calls under way, their counts, and the connections that they use.

    Invariant: no call leaves after the quorum contact that it rests on has run out.
    """

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
        self.client = WorkerClient()
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
        except WorkerUnreachable as problem:
            return (CONNECTION_REFUSED if problem.is_refused else NO_ANSWER), ""
        except (OSError, TimeoutError):
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
        except (WorkerUnreachable, OSError, TimeoutError):
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
        its status and handover. Raises WorkerUnreachable.

        The status is NO_ANSWER where the worker's own answer did not come. One without an id proves no
        release, but on a connection that carried nothing before: it may be a surplus one of an older call.
        """
        attempt_id = f"{self.runtime.settings.name}-{os.urandom(8).hex()}"
        headers = {"X-Target-Instance": instance_id, "X-Attempt-Id": attempt_id}
        if until <= self.runtime.now():
            return NO_ANSWER, ""
        answer = await self.client.post(
            address, f"/bramblewood/{kind}", headers, body, until, on_new_connection
        )
        if answer is None:
            return NO_ANSWER, ""
        is_proven = "X-Attempt-Id" in answer.headers or answer.is_first_on_connection
        if kind == RELEASE and not is_proven:
            return await self.send(kind, address, instance_id, body, until, True)
        return answer.status, answer.headers.get("X-Handover", "")
