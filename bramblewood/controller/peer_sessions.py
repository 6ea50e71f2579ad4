"""Sessions between controllers: the newest heartbeat of each peer, and the quorum contact derived from them.

Each controller sends heartbeats to every other controller. A heartbeat lists the proposals that its sender
has accepted, and it echoes the send time of the last heartbeat that the sender received from the receiver.
The echoed time is on the receiver's clock, and the sender composed the list after that time. The receiver
can therefore conclude that, at the echoed time, the sender had accepted nothing newer than the list shows.

Quorum contact is valid for QUORUM_CONTACT_VALIDITY s after the oldest echoed time among the newest echoes of
a majority. A value that a majority chooses later is chosen after that time. A controller that moves keys
because of a chosen change therefore waits at most that long for the last lease renewal that rests on older
contact.

All times are in s on this controller's own monotonic clock, and an echo proves a complete round trip. Quorum
contact therefore expires without further action after a freeze of the process and after a partition in either
direction, whatever data is still buffered in a socket.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

from ..common.messages import ControllerHeartbeat
from ..common.timeouts import QUORUM_CONTACT_VALIDITY
from .consensus.peer_status import PeerStatus
from .consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from .consensus.voter_set import VoterSet, is_voter, majority_size

HEARTBEAT_INTERVAL = 0.25  # s between heartbeats; three intervals fit into QUORUM_CONTACT_VALIDITY
PEER_TIMEOUT = 0.9  # s without a heartbeat until a peer counts as absent: three intervals and a transit time


class PeerSession(NamedTuple):
    """The contents of the newest heartbeat that a peer sent."""

    received_at: float
    echo: float  # send time of this controller's heartbeat that the peer echoes
    accepted: dict[str, ProposalNumber]  # newest accepted proposal by register, durable or not
    is_voting: bool  # whether the peer is an active voter of its epoch
    is_current: bool  # whether the peer has quorum contact and its disk responds
    epoch: int
    disk: str
    is_leaving: bool
    versions: dict[str, int]  # newest version by register that the peer knows to be chosen
    durable: dict[str, ProposalNumber]  # newest accepted proposal by register that the peer has on disk
    disk_failing_for: float = 0.0  # s for which the peer's disk has refused each write, or has stalled


class PeerDetails(NamedTuple):
    """The heartbeat fields that rarely change. None marks a field that was already sent."""

    voter_set: VoterSet | None
    zone: str | None
    counts_for_tolerance: bool | None  # whether `Tolerance` bounds the loss of the sender's machine
    controllers: list[str] | None
    proxies: list[str] | None
    digests: dict[str, tuple[tuple, int]] | None = None  # digests of the durable values, by register


NOTHING_SENT = PeerDetails(None, None, None, None, None, None)


class PeerSessions:
    """The sessions of one controller with all peers, by the peers' addresses."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.by_peer: dict[str, PeerSession] = {}
        self.sent_details: dict[str, PeerDetails] = {}  # details sent on the present connection
        self.times_to_echo: dict[str, float] = {}  # send time of each peer's newest heartbeat, on its clock
        self.proxies_by_peer: dict[str, list[str]] = {}  # proxies connected to each peer, as last reported
        self.zones: dict[str, tuple[str, bool]] = {}  # by peer: zone, counts_for_tolerance
        self.uninterrupted_since: dict[str, float] = {}  # by peer: when its present run of heartbeats began
        # by register: the last time at which this controller had accepted nothing newer than the newest
        # chosen proposal known here
        self.up_to_date_at: dict[str, float] = {}

    def forget_sent_details(self, peer: str) -> None:
        """Send all details to this peer again, as a new connection may lead to another process."""
        self.sent_details.pop(peer, None)

    def has_sent_details(self, peer: str) -> bool:
        """Whether any details were sent to this peer on the present connection."""
        return peer in self.sent_details

    def take_unsent_details(self, peer: str, details: PeerDetails) -> PeerDetails:
        """Return the details that differ from those sent to this peer, and record all of them as sent."""
        sent = self.sent_details.get(peer, NOTHING_SENT)
        self.sent_details[peer] = details
        changed = [None if old == new else new for old, new in zip(sent, details, strict=True)]
        return PeerDetails._make(changed)

    def record_heartbeat(self, now: float, peer: str, heartbeat: ControllerHeartbeat) -> None:
        """Replace the session of this peer with the contents of a heartbeat received from it."""
        previous = self.by_peer.get(peer)
        if previous is None or now - previous.received_at > PEER_TIMEOUT or previous.disk != heartbeat.disk:
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
        self.times_to_echo[peer] = heartbeat.sent_at
        if heartbeat.proxies is not None:
            self.proxies_by_peer[peer] = heartbeat.proxies
        if heartbeat.zone is not None:
            self.zones[peer] = (heartbeat.zone, bool(heartbeat.counts_for_tolerance))

    def quorum_contact_until(
        self,
        now: float,
        voters: dict[str, str],
        epoch: int,
        chosen: dict[str, ProposalNumber],
        accepted: dict[str, ProposalNumber] | None,
        excluded: Collection[str] = (),
        echoes_after: float = -math.inf,
    ) -> float:
        """Return the time until which no proposal newer than `chosen` can have been chosen unnoticed.

        Returns 0.0 where a majority does not confirm this. With no register in `chosen`, the result covers
        contact with a majority alone.

        voters, epoch: the newest voter set known here, by address and disk, and its epoch. Only peers
        that were active voters of this epoch when they sent their heartbeats count, because no later epoch
        begins while a majority is active in this one.
        chosen: the newest chosen proposal known here, by register.
        accepted: the newest proposal that this controller has accepted, by register; None where it does not
        vote. This controller counts with the last time at which it had accepted nothing newer than `chosen`,
        because its vote together with one more may complete a majority.
        excluded: controllers that do not count because their content differs from the content held here.
        echoes_after: only echoes of heartbeats that were sent after this time count.
        """
        contact_times = []
        if accepted is not None and self.own_address in voters:
            for register, proposal_number in chosen.items():
                if accepted[register] <= proposal_number:
                    self.up_to_date_at[register] = now
            contact_times.append(
                min(
                    (self.up_to_date_at.get(register, -QUORUM_CONTACT_VALIDITY) for register in chosen),
                    default=now,
                )
            )
        for peer, session in self.by_peer.items():
            has_nothing_newer = all(
                session.accepted.get(register, NO_PROPOSAL) <= proposal_number
                for register, proposal_number in chosen.items()
            )
            is_active = is_voter(voters, peer, session.disk) and session.is_voting and session.epoch == epoch
            is_usable = is_active and session.echo > echoes_after and peer not in excluded
            if is_usable and has_nothing_newer:
                contact_times.append(session.echo)
        needed = majority_size(voters)
        if not voters or len(contact_times) < needed:
            return 0.0
        return sorted(contact_times, reverse=True)[needed - 1] + QUORUM_CONTACT_VALIDITY

    def peer_statuses(self, now: float) -> dict[str, PeerStatus]:
        """The status, by address, of each peer that has sent a heartbeat, for the choice of voters."""
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
        """The present peers that report themselves as current: with quorum contact and a responsive disk."""
        return [
            peer
            for peer, session in self.by_peer.items()
            if self.is_present(now, peer) and session.is_current
        ]

    def coordinator(self, now: float, is_current: bool, is_disk_failing: bool = False) -> str | None:
        """The address of the controller that proposes moves and sends grants; None where none is current.

        It is the lowest address among the current controllers whose disks do not fail, or among all current
        controllers where every disk fails. The choice only avoids competing proposals: a quorum agrees on
        every move, whichever controller proposes it.

        is_current, is_disk_failing: the state of this controller itself.
        """
        is_failing_by_address = {
            peer: self.by_peer[peer].disk_failing_for > 0 for peer in self.current_peers(now)
        }
        if is_current:
            is_failing_by_address[self.own_address] = is_disk_failing
        healthy = [address for address, is_failing in is_failing_by_address.items() if not is_failing]
        return min(healthy or is_failing_by_address, default=None)

    def all_proxies(self, now: float, connected: list[str]) -> set[str]:
        """The proxies connected to this controller, given as `connected`, or to any present peer."""
        connected_to_peers = [
            proxy
            for peer, proxies in self.proxies_by_peer.items()
            for proxy in proxies
            if self.is_present(now, peer)
        ]
        return {*connected, *connected_to_peers}

    def is_present(self, now: float, peer: str) -> bool:
        """Whether a heartbeat of this peer arrived within the last PEER_TIMEOUT s."""
        return peer in self.by_peer and now - self.by_peer[peer].received_at <= PEER_TIMEOUT
