"""Proposes the voter set changes that `consensus/membership.py` finds due, and decides when to shut down.

Any seed may propose the founding voter set. Only the coordinator proposes a later one. Each proposal is
logged as `voter set change`.
"""

from typing import Any

from .consensus.membership import Membership, is_vote_dispensable
from .consensus.peer_status import PeerStatus
from .consensus.registers import VOTER_SET
from .consensus.voter_set import voter_set_change
from .controller_peers import ControllerPeers
from .peer_sessions import PeerSessions
from .quorum_contact import QuorumContact
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO
from .runtime import Runtime

FOUNDING_TIMEOUT = 3.0  # s that a first boot waits for controllers that start at about the same time
UNKNOWN_VOTERS_LOG_DELAY = 10.0  # s after the start of the process until an unknown voter set is logged
UNKNOWN_VOTERS_LOG_INTERVAL = 30.0  # s between two log lines about an unknown voter set
UNKNOWN_VOTERS_REMEDY = (
    "start a controller whose disk is intact; if none is left, start the seeds on empty folders"
    " with FirstBoot = true and put the configuration again"
)
# share of GraceS for which a voter keeps its vote after SIGTERM, so that others can copy what it holds
VOTE_RETENTION_FRACTION = 2 / 3


class VoterChanges:
    """Proposes the voter set change that is due, with at most one proposal in flight.

    After the founding, it proposes only while this controller is the coordinator.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        sessions: PeerSessions,
        controller_peers: ControllerPeers,
    ) -> None:
        settings = runtime.settings
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.sessions, self.controller_peers = sessions, controller_peers
        self.membership = Membership(settings.tolerance, settings.region_of_zone, settings.bounds.CatchUpS)
        self.is_proposal_in_flight = False  # whether a proposal of this controller is in flight
        self.shutdown_began_at: float | None = None
        self.next_unknown_voters_log_at = 0.0

    def peer_statuses(self, now: float) -> dict[str, PeerStatus]:
        """The status of every known controller, including this one, by address.

        A controller that has never sent a heartbeat counts as silent since the start of this process.
        """
        consensus, settings = self.quorum_io.consensus, self.runtime.settings
        uptime = now - self.runtime.started_at
        never_heard = PeerStatus("", "", True, 0, False, False, uptime, 0.0, {})
        own = PeerStatus(
            consensus.disk,
            settings.zone,
            settings.counts_for_tolerance,
            consensus.epoch,
            consensus.is_active_voter,
            self.runtime.shutdown_requested.is_set(),
            0.0,
            uptime,
            self.quorum_io.versions(),
            self.quorum_io.disk_failing_for(now),
        )
        all_known = dict.fromkeys({*self.controller_peers.known_addresses, *consensus.voters}, never_heard)
        return {**all_known, **self.sessions.peer_statuses(now), self.runtime.own_address: own}

    def propose_due_change(self, now: float) -> None:
        """Propose the voter set change that is due, if any, unless a proposal is in flight."""
        consensus = self.quorum_io.consensus
        if consensus.epoch == 0 and not consensus.matches_seat:
            self._log_unknown_voters(now)
            return
        if self.is_proposal_in_flight:
            return
        change = None
        if consensus.epoch == 0:
            is_overdue = now >= self.runtime.started_at + FOUNDING_TIMEOUT
            seeds = self.runtime.settings.seed_hosts()
            change = self.membership.founding_change(seeds, self.peer_statuses(now), is_overdue)
        elif self.quorum_contact.coordinator(now) == self.runtime.own_address:
            change = self.membership.due_change(
                consensus.voter_set, self.peer_statuses(now), self.quorum_io.versions()
            )
        if change is None:
            return
        self.is_proposal_in_flight = True
        self.runtime.log.info(
            "voter set change",
            step="epoch",
            epoch=consensus.epoch + 1,
            reason=change.reason,
            voters=change.voters,
        )
        register_change = voter_set_change(consensus.voter_set, change.voters)
        self.quorum_io.propose(VOTER_SET, register_change, self.change_finished, PROPOSAL_TIMEOUT)

    def _log_unknown_voters(self, now: float) -> None:
        """Log an error with its remedy, as neither this disk nor a reachable controller holds a voter set."""
        due_at = max(self.runtime.started_at + UNKNOWN_VOTERS_LOG_DELAY, self.next_unknown_voters_log_at)
        if now >= due_at:
            self.next_unknown_voters_log_at = now + UNKNOWN_VOTERS_LOG_INTERVAL
            peers = sorted(self.controller_peers.known_addresses)
            self.runtime.log.error("voters unknown", step="epoch", peer=peers, way_out=UNKNOWN_VOTERS_REMEDY)

    def change_finished(self, outcome: Any) -> None:
        """Allow the next proposal.

        The outcome is ignored, because `propose_due_change` reads the voter set that is actually chosen.
        """
        self.is_proposal_in_flight = False

    def may_shut_down(self, now: float) -> bool:
        """Whether a shutdown is requested and may proceed.

        A controller without an active vote may shut down at once. A voter may shut down when
        `consensus/membership.py` finds that its vote is no longer needed, and in any case after
        VOTE_RETENTION_FRACTION of GraceS. The first call after the request logs the shutdown and sends
        heartbeats that announce it.
        """
        if not self.runtime.shutdown_requested.is_set():
            return False
        consensus = self.quorum_io.consensus
        if self.shutdown_began_at is None:
            self.shutdown_began_at = now
            self.runtime.log.info("shutting down", step="end", voting=consensus.is_active_voter)
            self.controller_peers.send_heartbeats(now)
        vote_retention = self.runtime.settings.bounds.GraceS * VOTE_RETENTION_FRACTION
        if now >= self.shutdown_began_at + vote_retention or consensus.active_epoch < 0:
            return True
        peers = self.peer_statuses(now)
        return is_vote_dispensable(
            self.runtime.own_address,
            consensus.disk,
            consensus.voter_set,
            peers,
            {register: acceptor.accepted for register, acceptor in consensus.acceptors.items()},
            {peer: session.durable for peer, session in self.sessions.by_peer.items()},
            bool(self.membership.successors(consensus.voter_set, peers)),
        )
