"""Monitors whether the content of this controller agrees with the content of the other controllers.

A difference is logged. If a majority of the voters agrees on other content, this controller restarts with an
empty database.
"""

from collections.abc import Callable, Mapping

from .consensus.proposal_number import format_proposal_number
from .content_comparison import Digest, Divergence, ProposalNumber
from .quorum_io import QuorumIO
from .runtime import Runtime


class DivergenceMonitor:
    """Compares the digests in the heartbeats of the other controllers with those of this controller.

    logged: the differing registers that were logged last, by peer. on_divergence: called with the reason by
    each comparison that finds a majority of the voters with other content than this controller.
    """

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO) -> None:
        self.runtime, self.quorum_io = runtime, quorum_io
        self.comparison = quorum_io.content_comparison
        self.logged: dict[str, list[str]] = {}
        self.on_divergence: Callable[[str], None] = lambda reason: None

    def record(self, peer: str, digests: Mapping[str, tuple[ProposalNumber, Digest]]) -> None:
        """Records the digests of all durable registers of a peer and repeats the comparison."""
        self.comparison.record(peer, digests)
        self.check()

    def check(self) -> None:
        """Logs each change of the differing registers. Calls `on_divergence` if the content changed here."""
        for peer in self.comparison.by_peer:
            differing = self.comparison.differing_registers(peer)
            if differing != self.logged.get(peer, []):
                self.logged[peer] = differing
                event = "content differs" if differing else "content agrees again"
                self.runtime.log.error(event, step="content", peer=peer, registers=differing)
        divergence = self.comparison.divergence(self.quorum_io.consensus.voters)
        if divergence is not None:
            self.on_divergence(format_divergence(divergence))


def format_divergence(divergence: Divergence) -> str:
    """Returns a divergence as one line, which is logged and stored as the reason in the damage marker."""
    number = format_proposal_number(divergence.accepted)
    peers = ", ".join(divergence.peers)
    return f"{divergence.register}: content under proposal {number} differs from the content at {peers}"
