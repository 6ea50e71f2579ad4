"""Proposes the changes of the voter set that `consensus/membership.py` finds due, and says when this
controller may shut down.

A seed proposes the founding set, the coordinator alone a later one. Log: `voter set change`.
"""

from typing import Any

from .consensus.membership import Membership, may_shut_down
from .consensus.peer_status import PeerStatus
from .consensus.registers import VOTER_SET
from .consensus.voter_set import next_voter_set
from .controller_peers import ControllerPeers
from .quorum_contact import QuorumContact
from .quorum_io import PROPOSAL_TIMEOUT, QuorumIO
from .runtime import Runtime
from .sessions import Sessions

FOUNDING_TIMEOUT = 3.0  # s of the first boot in which more controllers may show up; all start at once
UNKNOWN_VOTERS_PATIENCE = 10.0  # s after a start until nobody in reach is taken to know a voter set
UNKNOWN_VOTERS_LOG_INTERVAL = 30.0  # s
WAY_OUT = (
    "bring back a controller whose disk is sound; if there is none left, start the seeds on empty folders"
    " with FirstBoot = true and put the configuration again"
)
VOTE_KEPT_FRACTION = 2 / 3  # of GraceS that a vote is kept after SIGTERM, until others hold what it holds


class VoterChanges:
    """Proposes the voter set that is due, one change at a time; after the founding as coordinator only."""

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        quorum_contact: QuorumContact,
        sessions: Sessions,
        controller_peers: ControllerPeers,
    ) -> None:
        settings = runtime.settings
        self.runtime, self.quorum_io, self.quorum_contact = runtime, quorum_io, quorum_contact
        self.sessions, self.controller_peers = sessions, controller_peers
        self.membership = Membership(settings.tolerance, settings.region_of_zone, settings.bounds.CatchUpS)
        self.is_changing = False  # a proposal from here is under way
        self.shutdown_began_at: float | None = None
        self.next_unknown_voters_log_at = 0.0

    def peer_statuses(self, now: float) -> dict[str, PeerStatus]:
        """All known controllers, by address; one that was never heard counts as silent since our start."""
        consensus, settings = self.quorum_io.consensus, self.runtime.settings
        uptime = now - self.runtime.started_at
        unheard = PeerStatus("", "", True, 0, False, False, uptime, 0.0, {})
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
        known = dict.fromkeys({*self.controller_peers.known, *consensus.voters}, unheard)
        return {**known, **self.sessions.peer_statuses(now), self.runtime.own_address: own}

    def propose_due_change(self, now: float) -> None:
        """Propose the change of the voter set that is due, if any."""
        consensus = self.quorum_io.consensus
        if consensus.epoch == 0 and not consensus.is_member:
            self._log_unknown_voters(now)
            return
        if self.is_changing:
            return
        change = None
        if consensus.epoch == 0:
            is_late = now >= self.runtime.started_at + FOUNDING_TIMEOUT
            seeds = self.runtime.settings.seed_hosts()
            change = self.membership.founding_change(seeds, self.peer_statuses(now), is_late)
        elif self.quorum_contact.coordinator(now) == self.runtime.own_address:
            change = self.membership.due_change(
                consensus.voter_set, self.peer_statuses(now), self.quorum_io.versions()
            )
        if change is None:
            return
        self.is_changing = True
        self.runtime.log.info(
            "voter set change",
            step="epoch",
            epoch=consensus.epoch + 1,
            reason=change.reason,
            voters=change.voters,
        )
        following = next_voter_set(consensus.voter_set, change.voters)
        self.quorum_io.propose(VOTER_SET, following, self.change_finished, PROPOSAL_TIMEOUT)

    def _log_unknown_voters(self, now: float) -> None:
        """Neither this disk nor any controller in reach knows who votes: say so, and what helps."""
        due_at = max(self.runtime.started_at + UNKNOWN_VOTERS_PATIENCE, self.next_unknown_voters_log_at)
        if now >= due_at:
            self.next_unknown_voters_log_at = now + UNKNOWN_VOTERS_LOG_INTERVAL
            known = sorted(self.controller_peers.known)
            self.runtime.log.error("voters unknown", step="epoch", peer=known, way_out=WAY_OUT)

    def change_finished(self, outcome: Any) -> None:
        """A proposed change was agreed, or not; None where that is unclear."""
        self.is_changing = False

    def may_shut_down(self, now: float) -> bool:
        """Whether this controller, asked to shut down, may: its vote is needed no more, or its time is up."""
        if not self.runtime.shutdown_requested.is_set():
            return False
        consensus = self.quorum_io.consensus
        if self.shutdown_began_at is None:
            self.shutdown_began_at = now
            self.runtime.log.info("shutting down", step="end", voting=consensus.is_active_voter)
            self.controller_peers.send_heartbeats(now)
        grace = self.runtime.settings.bounds.GraceS * VOTE_KEPT_FRACTION
        if now >= self.shutdown_began_at + grace or consensus.active_epoch < 0:
            return True
        peers = self.peer_statuses(now)
        return may_shut_down(
            self.runtime.own_address,
            consensus.disk,
            consensus.voter_set,
            peers,
            {register: acceptor.accepted for register, acceptor in consensus.acceptors.items()},
            {peer: session.durable for peer, session in self.sessions.by_peer.items()},
            bool(self.membership.successors(consensus.voter_set, peers)),
        )
