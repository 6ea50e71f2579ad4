"""Decides from the quorum contact of this controller whether it may act for the cluster."""

from .consensus.registers import DATA_REGISTERS
from .peer_sessions import PeerSessions
from .quorum_io import QuorumIO
from .runtime import Runtime


class QuorumContact:
    """Evaluates the quorum contact of this controller before each response, grant and move.

    The data come from the sessions and the consensus replica. This class keeps no state of its own.
    """

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO, sessions: PeerSessions) -> None:
        self.runtime, self.quorum_io, self.sessions = runtime, quorum_io, sessions

    def is_current(self, now: float) -> bool:
        """Whether this controller may act for the cluster and proxies may rely on its heartbeats.

        A current controller has quorum contact on all data registers, its disk responds, and no shutdown is
        requested.
        """
        if self.runtime.shutdown_requested.is_set():
            return False
        return not self.quorum_io.is_stalled(now) and self.quorum_contact_until(now) > now

    def quorum_contact_until(self, now: float, registers: tuple[str, ...] = DATA_REGISTERS) -> float:
        """Return the time (s, own clock) until which nothing newer than the values known here can have been
        chosen in these registers; 0.0 where a majority does not confirm it.
        """
        consensus = self.quorum_io.consensus
        chosen = {register: consensus.chosen[register][0] for register in registers}
        accepted = {register: acceptor.accepted for register, acceptor in consensus.acceptors.items()}
        comparison = self.quorum_io.content_comparison
        return self.sessions.quorum_contact_until(
            now,
            consensus.voters,
            consensus.epoch,
            chosen,
            accepted if consensus.is_active_voter else None,
            [peer for peer in consensus.voters if comparison.differs_from(peer)],
        )

    def has_quorum_contact(self, now: float) -> bool:
        """Whether contact with a majority of the voters is still valid, whatever they have accepted."""
        return self.quorum_contact_until(now, ()) > now

    def coordinator(self, now: float) -> str | None:
        """The address of the controller that proposes moves and sends grants; None where none is current."""
        is_disk_failing = self.quorum_io.disk_failing_for(now) > 0
        return self.sessions.coordinator(now, self.is_current(now), is_disk_failing)
