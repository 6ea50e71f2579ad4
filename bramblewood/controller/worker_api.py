"""Workers' calls: registrations and deregistrations."""

import asyncio

from aiohttp import web

from ..common.worker_registry import GONE, WorkerRegistration
from .commands import DeregisterWorker, RegisterWorker
from .departures import Departures
from .deregistration import CONFIRMATION_TIMEOUT, Deregistrations
from .http_responses import NO_QUORUM, make_response
from .quorum_contact import QuorumContact
from .quorum_io import QuorumIO
from .registry_exchange import RegistryExchange
from .runtime import Runtime

# of a worker whose last call is the first that is heard of it: other controllers may know it
UNKNOWN_WORKER = WorkerRegistration("", "", "", 1, GONE, 0)


class WorkerApi:
    """Answers workers. Each call is recorded and passed on at once, acknowledged with quorum contact only,
    so that the worker goes to a controller that the others hear.

    Invariant: a deregistration is acknowledged only once a majority of the voters has it on disk.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        registry_exchange: RegistryExchange,
        departures: Departures,
    ) -> None:
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.registry_exchange, self.departures = registry_exchange, departures
        self.deregistrations = Deregistrations(runtime.own_address)
        self.confirmations: dict[int, asyncio.Future] = {}  # by request id

    async def register(self, call: RegisterWorker) -> web.Response:
        """A worker's heartbeat; the first that says `draining` deregisters it too."""
        if call.is_leaving:
            return await self._deregister(call.instance_id, call.registration)
        self.registry_exchange.record(call.instance_id, call.registration)
        has_contact = self.quorum_contact.has_quorum_contact(self.runtime.now())
        return web.json_response({}) if has_contact else make_response(503, NO_QUORUM)

    async def deregister(self, call: DeregisterWorker) -> web.Response:
        """A worker's last call."""
        known = self.registry_exchange.registry.registrations.get(call.instance_id) or UNKNOWN_WORKER
        registration = known._replace(phase=GONE, call_sequence=known.call_sequence + 1)
        return await self._deregister(call.instance_id, registration)

    async def _deregister(self, instance_id: str, registration: WorkerRegistration) -> web.Response:
        request_id = self.deregistrations.begin(self.runtime.now())
        confirmation = self.confirmations[request_id] = self.runtime.loop.create_future()
        self.registry_exchange.record(instance_id, registration, request_id)
        self.departures.keep([instance_id], lambda: self._held_here(request_id))
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT):
                await confirmation
        except TimeoutError:
            pass
        is_confirmed = self._is_confirmed(request_id)  # by the clock of now: a freeze may lie before
        del self.confirmations[request_id]
        self.deregistrations.end(request_id)
        return web.json_response({}) if is_confirmed else make_response(503, "no majority holds it in time")

    def _held_here(self, request_id: int) -> None:
        self.deregistrations.record_held_here(request_id)
        self.check_confirmations()

    def check_confirmations(self) -> None:
        """Wake the deregistrations that are confirmed by now."""
        for request_id, confirmation in self.confirmations.items():
            if not confirmation.done() and self._is_confirmed(request_id):
                confirmation.set_result(True)

    def _is_confirmed(self, request_id: int) -> bool:
        now, consensus = self.runtime.now(), self.quorum_io.consensus
        has_contact = self.quorum_contact.has_quorum_contact(now)
        return self.deregistrations.is_confirmed(
            now, request_id, consensus.voters, consensus.epoch, has_contact
        )
