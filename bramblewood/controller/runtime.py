"""What every part of one running controller uses: its settings, clock, log and connections."""

import asyncio

from ..common import logs
from ..common.peer_connections import PeerConnections
from ..common.settings import Settings

TICK_INTERVAL = 0.1  # s between looks at what is due


class Runtime:
    """Shared by all parts of a controller. Simulations put their own loop and connections here."""

    loop: asyncio.AbstractEventLoop
    peer_connections: PeerConnections

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.own_address = settings.ip
        self.log = logs.start_logging(settings.name)
        self.started_at = 0.0  # s, by `now`
        self.shutdown_requested = asyncio.Event()

    def now(self) -> float:
        """Steady clock in s."""
        return self.loop.time()
