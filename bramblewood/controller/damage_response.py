"""The reaction of a running controller to a damaged database: it stops voting and ends its process."""

import asyncio

from .quorum_io import QuorumIO
from .runtime import Runtime
from .storage_quarantine import mark_damaged

STORAGE_DAMAGED_EXIT_CODE = 3  # the next start quarantines the damaged database


class DamageResponse:
    """Ends this process after the database was found damaged.

    reason: a description of the first damage that was found, None as long as there is none. The main loop of
    the controller ends once the reason is set.
    """

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO) -> None:
        self.runtime, self.quorum_io = runtime, quorum_io
        self.reason: str | None = None

    def report_damage(self, reason: str) -> None:
        """Stops voting and records the reason. Later calls have no effect."""
        if self.reason is None:
            self.reason = reason
            self.quorum_io.consensus.stop_voting()
            self.runtime.log.error("storage damaged", step="run", problem=reason)

    async def mark_for_quarantine(self) -> int:
        """Marks the database as damaged, so that the next start quarantines it. Returns the exit code."""
        try:
            await asyncio.to_thread(mark_damaged, self.quorum_io.storage.folder, self.reason)
        except OSError as error:
            self.runtime.log.error("damage marker not written", step="end", problem=str(error))
        return STORAGE_DAMAGED_EXIT_CODE
