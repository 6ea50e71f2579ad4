"""How fresh this controller's contact with a quorum is, and what it may do on the strength of it."""

from .consensus.registers import DATA_REGISTERS
from .quorum_io import QuorumIO
from .runtime import Runtime
from .sessions import Sessions


class QuorumContact:
    """Whether this controller may act for all: every answer, grant and move rests on one of these."""

    def __init__(self, runtime: Runtime, quorum_io: QuorumIO, sessions: Sessions) -> None:
        self.runtime, self.quorum_io, self.sessions = runtime, quorum_io, sessions

    def is_current(self, now: float) -> bool:
        """Whether this controller may act for the others and be believed by proxies: it has fresh contact
        with a quorum on all registers, its disk answers, and nobody has asked it to shut down.
        """
        if self.runtime.shutdown_requested.is_set():
            return False
        return not self.quorum_io.is_stalled(now) and self.quorum_contact_until(now) > now

    def quorum_contact_until(self, now: float, registers: tuple[str, ...] = DATA_REGISTERS) -> float:
        """Until when it is certain that nothing newer is chosen in these registers than is known here; 0.0
        where it is not.
        """
        consensus = self.quorum_io.consensus
        known = {register: consensus.chosen[register][0] for register in registers}
        accepted = {register: acceptor.accepted for register, acceptor in consensus.acceptors.items()}
        agreement = self.quorum_io.content_agreement
        return self.sessions.quorum_contact_until(
            now,
            consensus.voters,
            consensus.epoch,
            known,
            accepted if consensus.is_active_voter else None,
            [peer for peer in consensus.voters if agreement.differs_from(peer)],
        )

    def has_quorum_contact(self, now: float) -> bool:
        """Whether a majority of the voters has answered of late, whatever it has accepted."""
        return self.quorum_contact_until(now, ()) > now

    def coordinator(self, now: float) -> str | None:
        """The address of the controller that proposes moves and sends grants for now; None for none."""
        disk_fails = self.quorum_io.disk_failing_for(now) > 0
        return self.sessions.coordinator(now, self.is_current(now), disk_fails)
