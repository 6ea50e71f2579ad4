"""The controller's HTTP listeners: they decode requests and pass them to the handlers."""

from aiohttp import web
from result import Err

from ..common.peer_connections import accept_connection
from .command_decoding import (
    INSTANCES_PATH,
    MAX_CALL_BYTES,
    decode,
    decode_drain_plan_call,
    decode_membership_call,
    max_body_bytes,
)
from .commands import (
    Command,
    DeregisterWorker,
    GetConfiguration,
    GetRollout,
    PutConfiguration,
    RegisterWorker,
    Rejection,
    StartRollout,
)
from .http_responses import make_response
from .introspection import Introspection
from .operator_api import OperatorApi
from .peer_handlers import PeerHandlers
from .runtime import Runtime
from .worker_api import WorkerApi

READ_CHUNK = 2**16  # bytes of a request body that are read at a time
CONNECTION_PATH = "/link"  # on which peers open their connections
MAX_LOGGED_PATH = 80  # characters of a rejected call's path
DRAIN_PLAN_PATH, MEMBERS_PATH = "/plan", "/members"


class HttpListener:
    """Serves the requests of both listeners.

    The internal listener, on `peer_port`, serves other controllers, proxies and operators' tools. The
    listener `Control` serves workers and the clients that read and put the configuration.
    """

    def __init__(
        self,
        runtime: Runtime,
        peer_handlers: PeerHandlers,
        worker_api: WorkerApi,
        operator_api: OperatorApi,
        introspection: Introspection,
    ) -> None:
        self.runtime, self.peer_handlers = runtime, peer_handlers
        self.worker_api, self.operator_api, self.introspection = worker_api, operator_api, introspection

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one HTTP request. The local port of its connection selects the listener."""
        if request.transport.get_extra_info("sockname")[1] == self.runtime.settings.peer_port:
            return await self._serve_internal(request)
        method, path, body = request.method, request.raw_path, bytearray()
        limit = max_body_bytes(method, path)
        async for chunk in request.content.iter_chunked(READ_CHUNK):
            body += chunk
            if len(body) > limit:
                return make_response(413, f"the request body exceeds {limit} bytes")
        command = decode(method, path, bytes(body))
        if isinstance(command, Err):
            rejection: Rejection = command.err_value
            self._log_rejection(method, path, rejection)
            headers = {"Allow": rejection.allow} if rejection.allow else {}
            return make_response(rejection.status, rejection.reason, headers)
        return await self.execute(command.ok_value)

    def _log_rejection(self, method: str, path: str, rejection: Rejection) -> None:
        """Logs the rejection of an operator's call. Workers repeat their calls too often for a line each."""
        if method == "PUT" and path.startswith("/bramblewood/config"):
            self.runtime.log.info("configuration rejected", step="check", reason=rejection.reason)
        elif not path.startswith(INSTANCES_PATH):
            self.runtime.log.warning(
                "call rejected",
                step="check",
                method=method,
                path=path[:MAX_LOGGED_PATH],
                status=rejection.status,
                reason=rejection.reason,
            )

    async def _serve_internal(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a request on the internal listener: a peer connection, an operator's call, or a view."""
        handlers, path = self.peer_handlers, request.raw_path
        if request.path == CONNECTION_PATH:
            return await accept_connection(
                request,
                handlers.handle_greeting,
                handlers.handle_message,
                handlers.handle_disconnect,
                handlers.log_malformed,
            )
        if request.method != "POST" or path not in (DRAIN_PLAN_PATH, MEMBERS_PATH):
            return self.introspection.respond(path)
        body = (await request.content.read())[:MAX_CALL_BYTES]
        decode_call, execute = {
            DRAIN_PLAN_PATH: (decode_drain_plan_call, self.operator_api.change_drain_plan),
            MEMBERS_PATH: (decode_membership_call, self.operator_api.change_voter_set),
        }[path]
        command = decode_call(body)
        if isinstance(command, Err):
            return make_response(command.err_value.status, command.err_value.reason)
        return await execute(command.ok_value)

    async def execute(self, command: Command) -> web.Response:
        """Executes a command from the listener `Control`, and returns the response.

        A command is acknowledged, or finally rejected, only with a quorum.
        """
        match command:
            case RegisterWorker():
                return await self.worker_api.register(command)
            case DeregisterWorker():
                return await self.worker_api.deregister(command)
            case PutConfiguration():
                return await self.operator_api.put_configuration(command)
            case GetConfiguration():
                return await self.operator_api.get_configuration()
            case StartRollout():
                return await self.operator_api.start_rollout(command)
            case GetRollout():
                return await self.operator_api.get_rollout(command)
