"""What a running controller does once its database turns out to be damaged: it votes no more, and ends."""

import asyncio

from .damaged_storage import mark_damaged
from .quorum_io import QuorumIO
from .runtime import Runtime

STORAGE_DAMAGED = 3  # exit code: the next start keeps the database aside


class DamageResponse:
    """The first damage that was met, and the end of this process for its sake."""

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO) -> None:
        self.runtime, self.quorum_io = runtime, quorum_io
        self.reason: str | None = None

    def begin(self, reason: str) -> None:
        """Vote no more; the program is to end soon."""
        if self.reason is None:
            self.reason = reason
            self.quorum_io.consensus.stop_voting()
            self.runtime.log.error("storage damaged", step="run", problem=reason)

    async def finish(self) -> int:
        """Have the next start keep the database aside. Returns the exit code."""
        try:
            await asyncio.to_thread(mark_damaged, self.quorum_io.storage.folder, self.reason)
        except OSError as problem:
            self.runtime.log.error("storage not marked", step="end", problem=str(problem))
        return STORAGE_DAMAGED
