"""Serves the readiness check of the platform and the metrics.

The names and labels of the metrics are a public interface and stay the same across releases.
"""

from aiohttp import web

from ..common import metrics
from .connection_pool import ConnectionPool
from .controller_sessions import CONFIGURATION_REGISTER, TABLE_REGISTER, ControllerSessions
from .forwarding import Forwarder
from .request_handler import RequestHandler

METRICS_PATH = "/metrics"
READY = "desk_ready"
REQUESTS_IN_FLIGHT = "desk_in_flight"
CONFIGURATION_VERSION = "desk_config_version"
TABLE_VERSION = "desk_table_version"
CONNECTED_CONTROLLERS = "desk_archives"
CONNECTIONS_OPENED = "desk_connections_opened_total"
CONNECTIONS_REUSED = "desk_connections_reused_total"
CONNECTIONS_REJECTED = "desk_connections_turned_total"
BODY_BYTES = "desk_body_bytes"
ATTEMPTS_BY_OUTCOME = 'desk_tries_total{{how="{}"}}'
RESPONSES_BY_CLASS = 'desk_answers_total{{class="{}xx"}}'


class Readiness:
    """Handles requests on the readiness address."""

    def __init__(
        self,
        sessions: ControllerSessions,
        request_handler: RequestHandler,
        forwarder: Forwarder,
        connection_pool: ConnectionPool,
    ) -> None:
        self.sessions, self.request_handler = sessions, request_handler
        self.forwarder, self.connection_pool = forwarder, connection_pool

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send new connections here."""
        return self.sessions.selection.is_ready and not self.request_handler.is_shutting_down

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics at `/metrics`.

        At any other path, return 200 if the proxy is ready and 503 if not.
        """
        if request.path == METRICS_PATH:
            return web.Response(text=metrics.format_metrics(self.metrics()))
        return web.Response(status=200 if self.is_ready else 503)

    def metrics(self) -> dict[str, float]:
        """Return the value of each metric by its name, which includes its label."""
        versions, pool = self.sessions.known_versions(), self.connection_pool
        values = {
            READY: int(self.is_ready),
            REQUESTS_IN_FLIGHT: self.request_handler.in_flight,
            CONFIGURATION_VERSION: versions[CONFIGURATION_REGISTER],
            TABLE_VERSION: versions[TABLE_REGISTER],
            CONNECTED_CONTROLLERS: len(self.sessions.peer_connections.connected),
            CONNECTIONS_OPENED: pool.opened,
            CONNECTIONS_REUSED: pool.reused,
            CONNECTIONS_REJECTED: pool.rejected,
            BODY_BYTES: self.request_handler.memory.used,
        }
        for outcome, count in self.forwarder.attempts_by_outcome.items():
            values[ATTEMPTS_BY_OUTCOME.format(outcome.value)] = count
        for status_class, count in self.request_handler.responses_by_class.items():
            values[RESPONSES_BY_CLASS.format(status_class)] = count
        return values
