"""Handlers of workers' calls: registrations and deregistrations."""

import asyncio

from aiohttp import web

from ..common.worker_registry import GONE, WorkerRegistration
from .commands import DeregisterWorker, RegisterWorker
from .deregistration import CONFIRMATION_TIMEOUT, Deregistrations
from .deregistration_store import DeregistrationStore
from .http_responses import NO_QUORUM, make_response
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .registry_exchange import RegistryExchange
from .runtime import Runtime

# Stands for the registration of a worker that is unknown here when its deregistration arrives. Other
# controllers may have its registration.
UNKNOWN_WORKER = WorkerRegistration("", "", "", 1, GONE, 0)


class WorkerApi:
    """Executes workers' commands and responds to them.

    Each call is recorded and forwarded to the other controllers at once. The response is 503 while this
    controller has no quorum contact. The worker then calls another controller, which may have quorum contact.

    Invariant: a deregistration is acknowledged only once a majority of the voters has it on disk.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        registry_exchange: RegistryExchange,
        deregistration_store: DeregistrationStore,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.registry_exchange, self.deregistration_store = registry_exchange, deregistration_store
        self.deregistrations = Deregistrations(runtime.own_address)
        self.confirmations: dict[int, asyncio.Future] = {}  # by request id

    async def register(self, call: RegisterWorker) -> web.Response:
        """Records the heartbeat of a worker. One with the phase `draining` is also a deregistration."""
        if call.is_draining:
            return await self._deregister(call.instance_id, call.registration)
        self.registry_exchange.record(call.instance_id, call.registration)
        has_contact = self.quorum_contact.has_quorum_contact(self.runtime.now())
        return web.json_response({}) if has_contact else make_response(503, NO_QUORUM)

    async def deregister(self, call: DeregisterWorker) -> web.Response:
        """Records that a worker is gone, and responds once a majority has stored it or the wait times out."""
        previous = self.registry_exchange.registry.registrations.get(call.instance_id) or UNKNOWN_WORKER
        registration = previous._replace(phase=GONE, call_sequence=previous.call_sequence + 1)
        return await self._deregister(call.instance_id, registration)

    async def _deregister(self, instance_id: str, registration: WorkerRegistration) -> web.Response:
        """Records and forwards a deregistration, and responds after at most CONFIRMATION_TIMEOUT s."""
        request_id = self.deregistrations.begin(self.runtime.now())
        confirmation = self.confirmations[request_id] = self.runtime.loop.create_future()
        self.registry_exchange.record(instance_id, registration, request_id)
        self.deregistration_store.persist([instance_id], lambda: self._record_stored_locally(request_id))
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT):
                await confirmation
        except TimeoutError:
            pass
        # This is checked again, because the process may have been suspended since the confirmation was set.
        is_confirmed = self._is_confirmed(request_id)
        del self.confirmations[request_id]
        self.deregistrations.end(request_id)
        return web.json_response({}) if is_confirmed else make_response(503, "no majority holds it in time")

    def _record_stored_locally(self, request_id: int) -> None:
        self.deregistrations.record_stored_locally(request_id)
        self.check_confirmations()

    def check_confirmations(self) -> None:
        """Wakes the calls whose deregistrations are confirmed by now."""
        for request_id, confirmation in self.confirmations.items():
            if not confirmation.done() and self._is_confirmed(request_id):
                confirmation.set_result(True)

    def _is_confirmed(self, request_id: int) -> bool:
        now, consensus = self.runtime.now(), self.quorum_io.consensus
        has_contact = self.quorum_contact.has_quorum_contact(now)
        return self.deregistrations.is_confirmed(
            now, request_id, consensus.voters, consensus.epoch, has_contact
        )
