"""The settings, clock, log and connections that all parts of one controller share."""

import asyncio

from ..common import logs
from ..common.peer_connections import PeerConnections
from ..common.settings import Settings

TICK_INTERVAL = 0.1  # s between two calls of `Controller.tick`


class Runtime:
    """The process-wide state of one controller.

    `Controller` sets `loop` and `peer_connections` once they exist. Simulations set replacements for them.
    """

    loop: asyncio.AbstractEventLoop
    peer_connections: PeerConnections

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.own_address = settings.ip
        self.log = logs.start_logging(settings.name)
        self.started_at = 0.0  # s, on the clock of `now`
        self.shutdown_requested = asyncio.Event()

    def now(self) -> float:
        """Returns the time of the monotonic clock in s."""
        return self.loop.time()
