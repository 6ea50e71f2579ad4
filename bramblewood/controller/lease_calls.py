"""Sends the calls to workers that grant or release keys or lease read replicas, and handles the answers."""

import asyncio
import math
import os
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from ..common.timeouts import READ_LEASE_DURATION
from ..common.worker_connection import WorkerUnreachable
from .chosen_values import ChosenValues
from .consensus.registers import TABLE
from .grant_arrivals import CONNECTION_REFUSED, NO_ANSWER, NOT_SENT
from .key_leases import (
    GRANT,
    OTHER_INSTANCE,
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
FAILURE_LOG_INTERVAL = 1.0  # s between two lines about failed calls of one kind to one worker
FAILURE_RETENTION = 60.0  # s after a line for which further failures are counted
# a worker is unreachable after this many refused connections in a row, if it was not heard for this many
# heartbeat intervals
REFUSALS_UNTIL_UNREACHABLE = 2
MISSED_HEARTBEATS_WHEN_REFUSED = 1.3
# kinds of evidence that a previous owner no longer holds its keys; they are parts of metric names
ACKNOWLEDGED, EXPIRED = "acknowledged", "expired"
RELEASE_EVIDENCE = {  # by the status of a release
    HTTPStatus.OK: ACKNOWLEDGED,
    OTHER_INSTANCE: "other_instance",
}


class LeaseCalls:
    """The calls to workers in flight, the counts of calls, and the connections that the calls use.

    Invariant: a grant or replica lease is sent, and a release is started, only while the quorum contact on
    which it is based is valid.
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
        self.consecutive_refusals: dict[str, int] = {}  # by instance id: refused connections in a row
        # by worker, kind and status of failed calls: time of the last line, and failures since then
        self.unlogged_failures: dict[tuple[str, str, int], tuple[float, int]] = {}
        # number of calls, by the name of their metric
        self.counts = dict.fromkeys(
            (
                "archive_grants",
                "archive_releases",
                "archive_leases",
                "archive_calls_failed",
                *(f"archive_freed_{evidence}" for evidence in (*RELEASE_EVIDENCE.values(), EXPIRED)),
            ),
            0,
        )

    def start(self, call: Coroutine) -> None:
        """Run a call as a task, which this object keeps until it ends."""
        task = asyncio.ensure_future(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def cancel_all(self) -> None:
        """Cancel the calls in flight, and wait until their tasks have ended. Their answers are ignored."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def grant_or_release(self, call: LeaseCall, quorum_contact_until: float) -> None:
        """Send one grant or release, and handle its result.

        quorum_contact_until: end of the validity of the quorum contact on which the call is based, in s of
        this controller's clock.
        """
        sent_at = self.runtime.now()
        status, handover = await self._send_lease_call(call, sent_at, quorum_contact_until)
        self.counts[f"archive_{call.kind}s"] += 1
        self.counts["archive_calls_failed"] += status != HTTPStatus.OK
        now = self.runtime.now()
        self._log_lease_call(call, status)
        if status == HTTPStatus.CONFLICT:  # the worker has received a higher fencing token
            self.quorum_io.propose(
                TABLE,
                lambda table: raise_fencing_tokens(table, call.service, call.starts, call.fencing_token),
                lambda outcome: self.chosen_values.refresh(),
                PROPOSAL_TIMEOUT,
            )
        released: ReleasedKeys | None = self.key_leases.call_finished(now, call, sent_at, status, handover)
        if released is not None:
            self.log_freed_keys(released, RELEASE_EVIDENCE[status])
            self.key_releases.add(released)
        if self._is_unreachable(now, call.instance_id, status):
            self.registry_exchange.report_unreachable(call.instance_id)

    async def _send_lease_call(self, call: LeaseCall, sent_at: float, send_by: float) -> tuple[int, str]:
        """Send a call, and return its status and the handover in its answer.

        The status is NO_ANSWER, CONNECTION_REFUSED or NOT_SENT if no answer arrived. A grant is sent by
        `send_by` or not at all. A release must only be started by then, so that none is sent if this process
        was frozen after it planned the call. Its connection may open later, because a release frees slices
        only through a change of the agreed table.
        """
        if sent_at >= send_by:
            return NOT_SENT, ""
        body = {"Source": call.first_key, "TargetVersion": call.last_key, "fence": call.fencing_token}
        timeout = self.key_leases.lease_expiry_delay
        if call.kind == GRANT:
            body["HoldS"] = call.duration
            if call.handover:
                body["Handover"] = call.handover
            timeout = GRANT_TIMEOUT
        else:
            send_by = sent_at + timeout
        try:
            async with asyncio.timeout(timeout):
                return await self.send(call.kind, call.address, call.instance_id, body, send_by)
        except WorkerUnreachable as error:
            return (CONNECTION_REFUSED if error.is_refused else NOT_SENT), ""
        except (OSError, TimeoutError):
            return NO_ANSWER, ""

    def _is_unreachable(self, now: float, instance_id: str, status: int) -> bool:
        """Count refused connections in a row, and return whether the worker is neither reached nor heard."""
        if status != CONNECTION_REFUSED:
            self.consecutive_refusals.pop(instance_id, None)
            return False
        refusals = self.consecutive_refusals.get(instance_id, 0) + 1
        self.consecutive_refusals = {
            other: count
            for other, count in self.consecutive_refusals.items()
            if other in self.registry.registrations
        } | {instance_id: refusals}
        contact_age = now - self.registry.last_contact_at.get(instance_id, 0.0)
        max_contact_age = MISSED_HEARTBEATS_WHEN_REFUSED * self.runtime.settings.heartbeat_interval
        return refusals >= REFUSALS_UNTIL_UNREACHABLE and contact_age > max_contact_age

    def _log_lease_call(self, call: LeaseCall, status: int) -> None:
        fields = {
            "step": call.kind,
            "service": call.service,
            "peer": call.instance_id,
            "keys": (call.first_key, call.last_key),
            "fencing_token": call.fencing_token,
        }
        if status != HTTPStatus.OK:
            self._log_failure(self.runtime.now(), call, status, fields)
        elif call.kind == RELEASE or self.key_leases.is_first_grant(call):
            self.runtime.log.info("lease call acknowledged", **fields)

    def _log_failure(self, now: float, call: LeaseCall, status: int, fields: dict[str, Any]) -> None:
        """Log a failed call, unless one of this kind to this worker was logged within the last interval.

        A worker has a call for each run of its slices. Without this limit, one unreachable worker causes more
        lines than MAX_LINES_PER_SECOND, and lines that matter more are dropped.
        """
        self.unlogged_failures = {
            failure: (logged_at, count)
            for failure, (logged_at, count) in self.unlogged_failures.items()
            if now < logged_at + FAILURE_RETENTION
        }
        failure = (call.instance_id, call.kind, status)
        logged_at, unlogged = self.unlogged_failures.get(failure, (-math.inf, 0))
        if now < logged_at + FAILURE_LOG_INTERVAL:
            self.unlogged_failures[failure] = (logged_at, unlogged + 1)
            return
        self.unlogged_failures[failure] = (now, 0)
        contact_age = self._contact_age(now, call.instance_id)
        self.runtime.log.info(
            "lease call failed", status=status, contact_age=contact_age, unlogged=unlogged, **fields
        )

    def log_freed_keys(self, released: ReleasedKeys, evidence: str) -> None:
        """Log and count keys that their previous owner no longer holds, and the evidence for it.

        An acknowledged release is only counted, because its call is logged.
        """
        self.counts[f"archive_freed_{evidence}"] += 1
        if evidence == ACKNOWLEDGED:
            return
        self.runtime.log.info(
            "keys freed without a release",
            step=RELEASE,
            evidence=evidence,
            service=released.service,
            peer=released.previous_owner,
            first_keys=released.starts,
            fencing_token=released.fencing_token,
            contact_age=self._contact_age(self.runtime.now(), released.previous_owner),
        )

    def _contact_age(self, now: float, instance_id: str) -> float | None:
        """Return the time (s) since any controller or proxy heard the worker; None if none has heard it."""
        contact_at = self.registry.last_contact_at.get(instance_id)
        return None if contact_at is None else round(now - contact_at, 2)

    async def lease_replica(self, lease: ReplicaLease, quorum_contact_until: float) -> None:
        """Send one lease of a read replica. quorum_contact_until: as for `grant_or_release`."""
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
                status, _ = await self.send(GRANT, lease.address, instance_id, body, quorum_contact_until)
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
        send_by: float,
        on_new_connection: bool = False,
    ) -> tuple[int, str]:
        """Send a call to a worker, and return the status of its answer and the handover in it.

        The call is not sent after `send_by` (s of this controller's clock), even if its connection opens
        later. The status is NO_ANSWER if no answer to this call arrived. Raises WorkerUnreachable if the
        connection fails, and TimeoutError if it does not open in time.

        The answer to a release counts only if it has the attempt id of the call, or if the connection carried
        no call before. Otherwise it may be a second answer to an earlier call, and the release is sent again
        on a new connection.
        """
        attempt_id = f"{self.runtime.settings.name}-{os.urandom(8).hex()}"
        headers = {"X-Target-Instance": instance_id, "X-Attempt-Id": attempt_id}
        if send_by <= self.runtime.now():
            return NO_ANSWER, ""
        answer = await self.client.post(
            address, f"/bramblewood/{kind}", headers, body, send_by, on_new_connection
        )
        if answer is None:
            return NO_ANSWER, ""
        # the client never returns an answer that has the attempt id of another call
        is_own_answer = "X-Attempt-Id" in answer.headers or answer.is_first_on_connection
        if kind == RELEASE and not is_own_answer:
            return await self.send(kind, address, instance_id, body, send_by, True)
        return answer.status, answer.headers.get("X-Handover", "")
