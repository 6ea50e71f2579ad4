"""Handles one client request: validates, routes and reads it, sends it to workers and answers it."""

import asyncio
import os
from typing import NamedTuple

from aiohttp import web

from ..common.configuration import Configuration, Route
from ..common.errors import BramblewoodError
from ..common.memory_budget import MemoryBudget, Reservation
from ..common.settings import Settings
from ..common.slice_table import KEY_SPACE_SIZE
from .client_disconnects import ClientDisconnected, ClientDisconnects
from .controller_sessions import ControllerSessions
from .forwarding import Forwarder
from .http_fields import (
    SINGLE_VALUE_FIELDS,
    client_response,
    error_response,
    expects_continue,
    parse_integer,
)
from .load_balancing import LoadBalancer
from .long_response import LongResponse
from .request_attempts import FinalReply, RequestAttempts, WaitUntil
from .retry_budget import RetryBudget

# s that a request waits for the first configuration, which arrives soon when all machines restart
CONFIGURATION_WAIT = 0.25
# fraction of the process's memory limit for the bodies of requests and answers; the body of a request is held
# once, and an answer counts as often as it is held
BODY_MEMORY_FRACTION = 0.4
BODY_READ_BYTES = 2**16  # bytes read from a body at a time
DEFAULT_DEADLINE = 60.0  # s, for a request without `X-Deadline-Ms`
RETRY_AFTER = 0.5  # s, for requests that are rejected before any attempt
SHUTDOWN_RETRY_AFTER = 0.0  # s; the client connects to another proxy


class RequestRejected(BramblewoodError):
    """A request is rejected before any attempt. `response` is the response to the client."""

    step = "request"

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None, close: bool = False
    ) -> None:
        """retry_after: s, or None. close: whether to close the client's connection after the response."""
        super().__init__(reason)
        self.response = error_response(status, reason, retry_after, close)


class RequestBody(NamedTuple):
    """The complete body of a request, in the parts in which it was read."""

    parts: tuple[bytes, ...] = ()


class RoutedRequest(NamedTuple):
    """The values that are determined by the head of a request.

    key: None if the service has no keys. time_left: s from the request's arrival to the client's deadline.
    has_read_replicas: whether the service's keys may have read replicas.
    """

    request_id: str
    route: Route
    service: str
    key: int | None
    time_left: float
    has_read_replicas: bool = False


class ShutdownTimes(NamedTuple):
    """The times of a shutdown, in s of the loop's clock.

    Up to `accept_all_until` every request is accepted, and from then on those that will end before
    `deadline`.
    """

    accept_all_until: float
    deadline: float


class RequestMemory(NamedTuple):
    """The memory that the body of a request and the bodies of its answers take."""

    request: Reservation
    response: Reservation


class RequestHandler:
    """Handles client requests.

    in_flight: number of requests without a response so far. memory: the bytes of the bodies of requests and
    answers that are being read or held.
    responses_by_class: number of responses by the first digit of their status. shutdown: the times of the
    shutdown, None until it begins. During it, each client connection is closed after its response.
    """

    def __init__(
        self,
        settings: Settings,
        sessions: ControllerSessions,
        load_balancer: LoadBalancer,
        retry_budget: RetryBudget,
        forwarder: Forwarder,
        disconnects: ClientDisconnects,
    ) -> None:
        self.settings, self.sessions, self.load_balancer = settings, sessions, load_balancer
        self.retry_budget, self.forwarder = retry_budget, forwarder
        self.disconnects = disconnects
        self.in_flight = 0
        self.memory = MemoryBudget(settings.memory_limit * BODY_MEMORY_FRACTION)
        self.responses_by_class: dict[int, int] = {}
        self.shutdown: ShutdownTimes | None = None

    @property
    def is_shutting_down(self) -> bool:
        """Whether the shutdown has begun."""
        return self.shutdown is not None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a client's request."""
        self.in_flight += 1
        memory = RequestMemory(Reservation(self.memory), Reservation(self.memory))
        try:
            response = await self._respond(request, memory)
            status_class = response.status // 100
            self.responses_by_class[status_class] = self.responses_by_class.get(status_class, 0) + 1
            # A client that waits for `100 Continue` may or may not send the body. After a declined upgrade,
            # part of the following data may already be read. In both cases, the start of the next request on
            # the connection is uncertain.
            unread = not request.content.at_eof()
            if self.is_shutting_down or unread and expects_continue(request) or "Upgrade" in request.headers:
                response.force_close()
            if isinstance(response, LongResponse):
                await response.send(request, self.sessions.client_limits.idle_timeout)
            return response
        finally:
            self.in_flight -= 1
            memory.request.release()
            memory.response.release()

    async def _respond(self, request: web.BaseRequest, memory: "RequestMemory") -> web.StreamResponse:
        started_at = asyncio.get_running_loop().time()
        try:
            await self.sessions.wait_after_pause()
            configuration = await self._wait_for_configuration(started_at)
            routed = self._route(request, configuration)
            self._check_time_until_shutdown(started_at, routed)
            body = await self._read_body(request, started_at + routed.time_left, memory.request)
        except RequestRejected as rejected:
            return rejected.response
        attempts = RequestAttempts(
            started_at, routed.route, routed.service, routed.key, routed.request_id, routed.time_left
        )
        attempts.has_read_replicas = routed.has_read_replicas
        if routed.route.has_client_affinity and routed.key is None:
            attempts.affinity_key = request.headers.get("X-Shard-Key", "")
        try:
            reply = await self._attempt_until_answered(request, body, attempts, memory.response)
            memory.request.release()
            return client_response(reply, request.method)
        except ClientDisconnected:
            return error_response(400, "the client went away", close=True)  # this response is not delivered
        finally:
            attempts.leave_queue()

    def _check_time_until_shutdown(self, now: float, routed: RoutedRequest) -> None:
        """Raise `RequestRejected` for a request that arrives so late that it may not end before this process.

        A client that gets this rejection knows that the request has not run.
        """
        if self.shutdown is None or now <= self.shutdown.accept_all_until:
            return
        if now + min(routed.time_left, routed.route.timeout) > self.shutdown.deadline:
            raise RequestRejected(503, "this proxy is shutting down", SHUTDOWN_RETRY_AFTER, close=True)

    async def _wait_for_configuration(self, started_at: float) -> Configuration:
        loop, wait_until = asyncio.get_running_loop(), started_at + CONFIGURATION_WAIT
        while self.sessions.configuration is None and loop.time() < wait_until:
            await self.sessions.wait_for_update(wait_until)
        if self.sessions.configuration is None:
            raise RequestRejected(503, "no configuration yet", RETRY_AFTER)
        return self.sessions.configuration

    def _route(self, request: web.BaseRequest, configuration: Configuration) -> RoutedRequest:
        """Validate a request's head and determine its service and key.

        Raises `RequestRejected` for an invalid head.
        """
        headers = request.headers
        route = configuration.find_route(headers.get("Host", ""), request.raw_path)
        if route is None:
            raise RequestRejected(404, "no route")
        header_bytes = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if header_bytes > self.sessions.client_limits.max_header_bytes:
            raise RequestRejected(431, "headers too large", close=True)
        for field in SINGLE_VALUE_FIELDS:
            if len(headers.getall(field, ())) > 1:
                raise RequestRejected(400, f"{field}: more than one")
        request_id = headers.get("X-Attempt-Id")
        if request_id == "":
            raise RequestRejected(400, "X-Attempt-Id: empty")
        if headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
            raise RequestRejected(400, "Transfer-Encoding: expected chunked", close=True)
        request_id = request_id or f"{self.settings.name}-{os.urandom(8).hex()}"
        service = route.choose_service(request_id)
        key = None
        if configuration.services[service].keyed:
            key = parse_integer(headers.get("X-Shard-Key", ""))
            if key is None or key >= KEY_SPACE_SIZE:
                expected = f"X-Shard-Key: expected a number from 0 to {KEY_SPACE_SIZE - 1}"
                raise RequestRejected(400, expected)
        deadline_ms = parse_integer(headers.get("X-Deadline-Ms", ""))
        time_left = DEFAULT_DEADLINE if deadline_ms is None else deadline_ms / 1000
        has_read_replicas = configuration.services[service].read_replicas
        return RoutedRequest(request_id, route, service, key, time_left, has_read_replicas)

    async def _read_body(
        self, request: web.BaseRequest, deadline: float, reservation: Reservation
    ) -> RequestBody:
        """Read the complete body. Its memory is reserved as a whole if its length is known, else as it comes.

        deadline: s of the loop's clock. Raises `RequestRejected` if the body exceeds the configured size or
        the memory that is left, does not arrive by the deadline, or if the client disconnects.
        """
        if not request.can_read_body:
            return RequestBody()
        parts, size, max_bytes = [], 0, self.sessions.client_limits.max_body_bytes
        stated_size = request.content_length or 0
        if stated_size > max_bytes:
            raise RequestRejected(413, f"at most {max_bytes} bytes", close=True)
        self._reserve_body(reservation, stated_size)
        if expects_continue(request) and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout_at(deadline):
                async for part in request.content.iter_chunked(BODY_READ_BYTES):
                    size += len(part)
                    if size > max_bytes:
                        raise RequestRejected(413, f"at most {max_bytes} bytes", close=True)
                    self._reserve_body(reservation, size)
                    parts.append(part)
        except TimeoutError:  # or a malformed chunk, for which aiohttp reports no error
            raise RequestRejected(408, "the body did not come in time", close=True) from None
        except ConnectionError:
            raise RequestRejected(400, "the client went away", close=True) from None
        return RequestBody(tuple(parts))

    @staticmethod
    def _reserve_body(reservation: Reservation, size: int) -> None:
        if not reservation.try_grow_to(size):
            raise RequestRejected(503, "too many bodies at once", RETRY_AFTER, close=True)

    async def _attempt_until_answered(
        self,
        request: web.BaseRequest,
        body: RequestBody,
        attempts: RequestAttempts,
        response_memory: Reservation,
    ) -> FinalReply:
        loop, load_balancer = asyncio.get_running_loop(), self.load_balancer
        self.retry_budget.record_request(attempts.service, loop.time())
        key = attempts.key
        if key is None:
            key = load_balancer.slice_key(loop.time(), attempts.service, attempts.request_id)
        load_balancer.request_counts.record_request(attempts.service, key)
        while True:
            step = attempts.next_step(loop.time(), load_balancer, self.retry_budget)
            if isinstance(step, WaitUntil):
                async with self.disconnects.watch(request):
                    await self.sessions.wait_for_update(step.deadline)
                continue
            if isinstance(step, FinalReply):
                return step
            reply = await self._attempt(request, body, attempts, step.instance_id, response_memory)
            if reply is not None:
                return reply
            response_memory.release()

    async def _attempt(
        self,
        request: web.BaseRequest,
        body: RequestBody,
        attempts: RequestAttempts,
        instance_id: str,
        response_memory: Reservation,
    ) -> FinalReply | None:
        """Make one attempt. If the request is idempotent, a client disconnect cancels the attempt.

        Raises `ClientDisconnected`.
        """
        if attempts.non_idempotent:
            self.disconnects.check(request)
            return await self.forwarder.attempt(request, body.parts, attempts, instance_id, response_memory)
        async with self.disconnects.watch(request):
            return await self.forwarder.attempt(request, body.parts, attempts, instance_id, response_memory)
