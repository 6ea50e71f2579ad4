"""Notices other content under the same version, names it in the log, and has this controller begin anew where
it is the one whose content changed.
"""

from collections.abc import Callable, Mapping

from .consensus.proposal_number import format_proposal_number
from .content_agreement import Digest, Divergence, Number
from .quorum_io import QuorumIO
from .runtime import Runtime


class ContentWatch:
    """Compares content with the other controllers as their heartbeats bring its digests."""

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO) -> None:
        self.runtime, self.quorum_io = runtime, quorum_io
        self.agreement = quorum_io.content_agreement
        self.logged: dict[str, list[str]] = {}  # the registers that differ, by peer
        # called with the reason once a majority of the voters holds other content
        self.on_divergence: Callable[[str], None] = lambda reason: None

    def record(self, peer: str, digests: Mapping[str, tuple[Number, Digest]]) -> None:
        """A peer tells the digests of what is safe on its disk."""
        self.agreement.record(peer, digests)
        self.check()

    def check(self) -> None:
        """Log what differs, or differs no more, and act on it."""
        for peer in self.agreement.by_peer:
            differing = self.agreement.differing_registers(peer)
            if differing != self.logged.get(peer, []):
                self.logged[peer] = differing
                event = "content differs" if differing else "content agrees again"
                self.runtime.log.error(event, step="content", peer=peer, registers=differing)
        divergence = self.agreement.divergence(self.quorum_io.consensus.voters)
        if divergence is not None:
            self.on_divergence(reason_of(divergence))


def reason_of(divergence: Divergence) -> str:
    """One line for the log and the marker of the folder that is kept aside."""
    number = format_proposal_number(divergence.accepted)
    peers = ", ".join(divergence.peers)
    return f"{divergence.register} under proposal {number} has other content than at {peers}"
