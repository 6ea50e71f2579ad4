"""Sessions between controllers: who was heard, and how fresh the contact with a quorum is.

Each controller sends heartbeats to each other one. A heartbeat says what its sender has accepted and echoes
the time that the receiver put into its own last heartbeat, on the receiver's clock. So the receiver knows
that the sender had accepted nothing newer at that time, or later. Quorum contact rests on the echoes of a
majority and holds for QUORUM_CONTACT_VALIDITY s from the oldest of them: whatever a majority chooses later is
chosen after that, so whoever moves keys on a chosen change need wait no longer than that for the last renewal
that rested on older contact.

All times are this controller's own steady clock, in s, and an echo counts only once it came there and back.
So quorum contact ends by itself after a freeze, and after a partition in either direction, whatever still
waits in a socket.
"""

from collections.abc import Collection
from typing import NamedTuple

from ..common.messages import ControllerHeartbeat
from ..common.timeouts import QUORUM_CONTACT_VALIDITY
from .consensus.peer_status import PeerStatus
from .consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from .consensus.voter_set import VoterSet, is_voter, majority

HEARTBEAT_INTERVAL = 0.25  # s between heartbeats; three of them fit into QUORUM_CONTACT_VALIDITY
PEER_TIMEOUT = 0.9  # s without a heartbeat after which a controller counts as away: three and their transit


class PeerSession(NamedTuple):
    """What the newest heartbeat of another controller said."""

    received_at: float
    echo: float  # when we sent the heartbeat that it echoes
    accepted: dict[str, ProposalNumber]  # newest accepted proposal by register, on disk or not yet
    is_voting: bool  # an active voter of its epoch
    is_current: bool  # it has quorum contact itself and its disk answers
    epoch: int
    disk: str
    is_leaving: bool
    versions: dict[str, int]  # what it knows to be chosen, by register
    durable: dict[str, ProposalNumber]  # newest accepted proposal by register that is safe on its disk
    disk_failing_for: float = 0.0  # s that its disk has refused every write, or not answered


class PeerDetails(NamedTuple):
    """What a controller tells others of itself that changes seldom; None for what was sent before."""

    members: VoterSet | None
    zone: str | None
    counted: bool | None  # whether the loss of its zone is to be borne
    controllers: list[str] | None
    proxies: list[str] | None
    digests: dict[str, tuple[tuple, int]] | None = None  # of what is safe on its disk, by register


NOTHING_SENT = PeerDetails(None, None, None, None, None, None)


class Sessions:
    """The sessions of one controller with all others, by their addresses."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.by_peer: dict[str, PeerSession] = {}
        self.sent_details: dict[str, PeerDetails] = {}  # on the connection that stands
        self.echoes: dict[str, float] = {}  # time in each one's last heartbeat, to give back
        self.proxies: dict[str, list[str]] = {}  # those connected to each one, by its last word
        self.zones: dict[str, tuple[str, bool]] = {}  # zone, and whether its loss is to be borne
        self.uninterrupted_since: dict[str, float] = {}  # since when its heartbeats come without a gap
        # by register, when we had last accepted nothing newer than was known to be chosen
        self.up_to_date_at: dict[str, float] = {}

    def forget_sent_details(self, peer: str) -> None:
        """A new connection to this controller: whoever listens there now may know nothing."""
        self.sent_details.pop(peer, None)

    def has_sent_details(self, peer: str) -> bool:
        """Whether something was sent on the connection that stands."""
        return peer in self.sent_details

    def take_unsent_details(self, peer: str, details: PeerDetails) -> PeerDetails:
        """Of these details what was not yet sent on this connection; it counts as sent from now on."""
        sent = self.sent_details.get(peer, NOTHING_SENT)
        self.sent_details[peer] = details
        changed = [None if old == new else new for old, new in zip(sent, details, strict=True)]
        return PeerDetails._make(changed)

    def record_heartbeat(self, now: float, peer: str, heartbeat: ControllerHeartbeat) -> None:
        """Take a heartbeat of another controller."""
        before = self.by_peer.get(peer)
        if before is None or now - before.received_at > PEER_TIMEOUT or before.disk != heartbeat.disk:
            self.uninterrupted_since[peer] = now
        self.by_peer[peer] = PeerSession(
            now,
            heartbeat.echo,
            heartbeat.accepted,
            heartbeat.is_voting,
            heartbeat.is_current,
            heartbeat.epoch,
            heartbeat.disk,
            heartbeat.is_leaving,
            heartbeat.versions,
            heartbeat.durable,
            heartbeat.disk_failing_for or 0.0,
        )
        self.echoes[peer] = heartbeat.sent_at
        if heartbeat.proxies is not None:
            self.proxies[peer] = heartbeat.proxies
        if heartbeat.zone is not None:
            self.zones[peer] = (heartbeat.zone, bool(heartbeat.counted))

    def quorum_contact_until(
        self,
        now: float,
        voters: dict[str, str],
        epoch: int,
        known: dict[str, ProposalNumber],
        accepted: dict[str, ProposalNumber] | None,
        excluded: Collection[str] = (),
    ) -> float:
        """Until when it is certain that in these registers nothing newer than `known` is chosen; 0.0 where it
        is not. With no register it tells of contact alone.

        voters, epoch: the voter set that is known here, with its disks. A majority of it that had not left
        the epoch as it sent shows that no later epoch had begun.
        accepted: what this controller has accepted itself, None where it does not vote. It counts as heard
        when it was last found to have accepted nothing newer: with one more voter that may be the majority.
        excluded: controllers that count for nothing, as their content differs from ours.
        """
        echoes = []
        if accepted is not None and self.own_address in voters:
            for register, proposal_number in known.items():
                if accepted[register] <= proposal_number:
                    self.up_to_date_at[register] = now
            echoes.append(
                min(
                    (self.up_to_date_at.get(register, -QUORUM_CONTACT_VALIDITY) for register in known),
                    default=now,
                )
            )
        for peer, session in self.by_peer.items():
            has_nothing_newer = all(
                session.accepted.get(register, NO_PROPOSAL) <= proposal_number
                for register, proposal_number in known.items()
            )
            is_active = is_voter(voters, peer, session.disk) and session.is_voting and session.epoch == epoch
            if is_active and has_nothing_newer and peer not in excluded:
                echoes.append(session.echo)
        needed = majority(voters)
        if not voters or len(echoes) < needed:
            return 0.0
        return sorted(echoes, reverse=True)[needed - 1] + QUORUM_CONTACT_VALIDITY

    def peer_statuses(self, now: float) -> dict[str, PeerStatus]:
        """The other controllers that were heard, as changes of the voter set look at them."""
        statuses = {}
        for peer, session in self.by_peer.items():
            since_last = now - session.received_at
            uninterrupted_for = max(now - self.uninterrupted_since[peer], HEARTBEAT_INTERVAL)
            statuses[peer] = PeerStatus(
                session.disk,
                *self.zones.get(peer, ("", False)),
                session.epoch,
                session.is_voting,
                session.is_leaving,
                since_last,
                uninterrupted_for if since_last <= PEER_TIMEOUT else 0.0,
                session.versions,
                session.disk_failing_for,
            )
        return statuses

    def current_peers(self, now: float) -> list[str]:
        """The other controllers heard of late that have quorum contact."""
        return [
            peer
            for peer, session in self.by_peer.items()
            if self.is_present(now, peer) and session.is_current
        ]

    def coordinator(self, now: float, is_current: bool, disk_fails: bool = False) -> str | None:
        """The controller that proposes moves and sends grants: the first by address of the current ones, of
        those whose disks are well where there are any.

        This only avoids competing proposals: every move is agreed by a quorum, whoever proposes it.
        is_current, disk_fails: whether this controller itself is current, and its disk fails.
        """
        current = {peer: self.by_peer[peer].disk_failing_for > 0 for peer in self.current_peers(now)}
        if is_current:
            current[self.own_address] = disk_fails
        well = [peer for peer, fails in current.items() if not fails]
        return min(well or current, default=None)

    def all_proxies(self, now: float, connected: list[str]) -> set[str]:
        """The proxies connected to any controller heard of late; connected: those connected to this one."""
        elsewhere = [
            proxy for peer, proxies in self.proxies.items() for proxy in proxies if self.is_present(now, peer)
        ]
        return {*connected, *elsewhere}

    def is_present(self, now: float, peer: str) -> bool:
        """Whether another controller was heard of late."""
        return peer in self.by_peer and now - self.by_peer[peer].received_at <= PEER_TIMEOUT
