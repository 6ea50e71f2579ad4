"""Decides from the quorum contact of this controller whether it may act for the cluster."""

import math

from .consensus.registers import DATA_REGISTERS
from .grant_claims import GrantClaims
from .peer_sessions import PeerSessions
from .quorum_io import QuorumIO
from .runtime import Runtime


class QuorumContact:
    """Evaluates the quorum contact of this controller before each response, grant and move.

    The data come from the sessions and the consensus replica. This class keeps no state of its own.
    """

    def __init__(
        self, runtime: Runtime, quorum_io: QuorumIO, sessions: PeerSessions, grant_claims: GrantClaims
    ) -> None:
        self.runtime, self.quorum_io, self.sessions = runtime, quorum_io, sessions
        self.grant_claims = grant_claims

    def is_current(self, now: float) -> bool:
        """Whether this controller may act for the cluster and proxies may rely on its heartbeats.

        A current controller has quorum contact on all data registers, its disk responds, and no shutdown is
        requested.
        """
        if self.runtime.shutdown_requested.is_set():
            return False
        return not self.quorum_io.is_stalled(now) and self.quorum_contact_until(now) > now

    def lease_contact_until(self, now: float) -> float:
        """Return the time (s, own clock) until which this controller may send grants; 0.0 where it may not.

        Only echoes of heartbeats with this controller's claim to send grants count (`grant_claims.py`).
        """
        since = self.grant_claims.granting_since
        return 0.0 if since is None else self.quorum_contact_until(now, echoes_after=since)

    def quorum_contact_until(
        self, now: float, registers: tuple[str, ...] = DATA_REGISTERS, echoes_after: float = -math.inf
    ) -> float:
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
            echoes_after,
        )

    def has_quorum_contact(self, now: float) -> bool:
        """Whether contact with a majority of the voters is still valid, whatever they have accepted."""
        return self.quorum_contact_until(now, ()) > now

    def coordinator(self, now: float) -> str | None:
        """The address of the controller that proposes moves and sends grants; None where none is current."""
        is_disk_failing = self.quorum_io.disk_failing_for(now) > 0
        return self.sessions.coordinator(now, self.is_current(now), is_disk_failing)
