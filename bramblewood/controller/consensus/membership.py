"""Who should vote: the one change of the set of voters that is due, if any. Pure.

A change takes a seat from a controller that is lost, is leaving, or came back with another disk, and gives
it to one that holds what is agreed. It is only ever proposed here; consensus makes the majority of the set
before agree. Bounds against flapping: one change at a time, none while a voter that can be heard is not
active yet; a seat is taken from a silent voter after half of `CatchUpS`, the time in which the rules expect
it back, and given to a controller that has been heard for a quarter of it without a gap, so that a second
loss that the rules allow once `CatchUpS` is over meets the new set.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ...common.settings import Tolerance
from .membership_view import MembershipView, membership_view
from .peer_status import PeerStatus, active_voters, reachable_peers
from .quorum import FailureDomain, keeps_majority, select_first_voters, voters_needed
from .voter_set import VoterSet, is_voter, majority

LOST_AFTER_FRACTION = 1 / 2  # of CatchUpS without a heartbeat, after which a voter's seat is given away
STEADY_FRACTION = 1 / 4  # of CatchUpS with heartbeats, before a controller may take a seat


class VoterSetChange(NamedTuple):
    """Voters that should follow those of the current epoch."""

    voters: dict[str, str]  # the name of each voter's disk, by its address
    reason: str  # for the log


def replace_voter(voters: dict[str, str], old: str, new: str, disk: str) -> dict[str, str]:
    """These voters with `new` on this disk in the seat of `old`; with one seat more where `old` has none."""
    return {**{name: kept for name, kept in voters.items() if name != old}, new: disk}


class Membership:
    """Finds the change of voters that is due. It keeps no state but its settings."""

    def __init__(self, tolerance: Tolerance, regions: dict[str, str], catch_up: float) -> None:
        """regions: the region of each zone; catch_up: `CatchUpS` in s."""
        self.tolerance, self.regions = tolerance, regions
        self.lost_after = catch_up * LOST_AFTER_FRACTION
        self.steady_after = catch_up * STEADY_FRACTION

    def failure_domains(self, peers: dict[str, PeerStatus]) -> dict[str, FailureDomain]:
        """Where each of these controllers stands."""
        return {
            name: FailureDomain(peer.zone, self.regions.get(peer.zone, peer.zone), peer.counts_for_tolerance)
            for name, peer in peers.items()
        }

    def is_silent(self, peer: PeerStatus | None) -> bool:
        """Whether it was silent for so long that its seat may be given to another; None: never heard of."""
        return peer is None or peer.silent_for > self.lost_after

    def has_failed_disk(self, peer: PeerStatus | None) -> bool:
        """Whether its disk has failed for as long: it can promise and accept nothing, like a silent one."""
        return peer is not None and peer.disk_failing_for > self.lost_after

    def is_lost(self, peer: PeerStatus | None) -> bool:
        """Whether its seat may be given to another, and no change waits for it."""
        return self.is_silent(peer) or self.has_failed_disk(peer)

    # --- the change that is due

    def founding_change(
        self, seeds: tuple[str, ...], peers: dict[str, PeerStatus], late: bool
    ) -> VoterSetChange | None:
        """The voters of epoch 1, of those who have shown themselves; None while it is better to wait."""
        heard = reachable_peers(peers)
        chosen = select_first_voters(self.failure_domains(heard), seeds, self.tolerance, late)
        return VoterSetChange({name: heard[name].disk for name in chosen}, "first boot") if chosen else None

    def due_change(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """The change that is due. peers: all controllers known, this one too; versions: what is chosen."""
        if self.has_joining_voter(voter_set, peers):
            return None
        return self.due_disk_change(voter_set, peers, versions) or self.due_replacement(
            voter_set, peers, versions
        )

    def has_joining_voter(self, voter_set: VoterSet, peers: dict[str, PeerStatus]) -> bool:
        """Whether a voter that is heard on its disk is about to be active: one change at a time. One whose
        disk fails won't be; the majority that a change needs is counted without it anyway.
        """
        heard = reachable_peers(peers)
        return any(
            name in heard
            and heard[name].disk == disk
            and not heard[name].is_active_in(voter_set, name)
            and not self.has_failed_disk(heard[name])
            for name, disk in voter_set["voters"].items()
        )

    def due_disk_change(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """The seat of a voter that is heard on another disk than its seat names, given to that disk."""
        voters, heard = voter_set["voters"], reachable_peers(peers)
        for name, disk in voters.items():
            peer = heard.get(name)
            if peer is None or peer.disk == disk or peer.epoch != voter_set["n"] or peer.leaving:
                continue
            if not disk or peer.has_caught_up(versions):
                reason = "other disk" if disk else "disk named"
                return VoterSetChange(replace_voter(voters, name, name, peer.disk), reason)
        return None

    def due_replacement(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """The seat of a voter that leaves or is lost, or a free one, given to a spare."""
        voters = voter_set["voters"]
        spares = self.eligible_spares(voter_set, peers, versions)
        if not spares:
            return None
        for reason, is_due in (
            ("leaves", self.is_leaving),
            ("silent", self.is_silent),
            ("disk fails", self.has_failed_disk),
        ):
            for name in voters:
                if is_due(peers.get(name)):
                    following = self.assign_to_best_spare(voters, spares, peers, name)
                    return VoterSetChange(following, f"{name} {reason}")
        if len(voters) < voters_needed(self.tolerance):
            return VoterSetChange(self.assign_to_best_spare(voters, spares, peers), "a seat is free")
        return None

    def is_leaving(self, peer: PeerStatus | None) -> bool:
        """Whether it is heard, and was told to end."""
        return peer is not None and peer.is_reachable and peer.leaving

    def eligible_spares(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> list[str]:
        """Controllers that may take a seat now."""
        voters = voter_set["voters"]
        any_counts = any(peers[name].counts_for_tolerance for name in voters if name in peers)
        return sorted(
            name
            for name, peer in peers.items()
            if name not in voters
            and peer.steady_for >= self.steady_after
            and not peer.leaving
            and not peer.disk_failing_for
            and peer.epoch == voter_set["n"]
            and (peer.counts_for_tolerance or not any_counts)
            and peer.has_caught_up(versions)
        )

    def successors(self, voter_set: VoterSet, peers: dict[str, PeerStatus]) -> list[str]:
        """Controllers that may take a seat now or soon: a voter that leaves waits for them."""
        voters = voter_set["voters"]
        return [
            name for name, peer in reachable_peers(peers).items() if name not in voters and not peer.leaving
        ]

    def assign_to_best_spare(
        self, voters: dict[str, str], spares: list[str], peers: dict[str, PeerStatus], old: str = ""
    ) -> dict[str, str]:
        """The voters once the best spare has the seat of `old`, or a further seat where `old` is empty.

        The best leaves a majority after the losses to be tolerated, then stands in the zone with the fewest
        voters, then is the first by address.
        """
        domains = self.failure_domains(peers)
        staying = [name for name in voters if name != old]
        zones = [domains[name].zone for name in staying if name in domains]

        def rank(name: str) -> tuple:
            known = [voter for voter in (*staying, name) if voter in domains]
            loses_majority = not keeps_majority(known, domains, self.tolerance)
            return loses_majority, zones.count(domains[name].zone), name

        new = min(spares, key=rank)
        return replace_voter(voters, old, new, peers[new].disk)

    # --- operators

    def requested_change(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int], old: str, new: str
    ) -> Result[VoterSetChange, str]:
        """An operator's change; old or new may be empty, for an addition or a removal.

        Returns the voters as they are where that is how they stand already, as a request may be repeated; or
        why the change is refused.
        """
        voters = voter_set["voters"]
        if old and old not in peers:
            return Err(f"{old} is not known")
        if (not old or old not in voters) and (not new or new in voters):
            return Ok(VoterSetChange(voters, "stands"))
        if old and old not in voters:
            return Err(f"{old} is no voter of epoch {voter_set['n']}")
        if new and (problem := self.rejection_reason(new, voters, peers, versions)):
            return Err(problem)
        following = {name: disk for name, disk in voters.items() if name != old}
        if new:
            following[new] = peers[new].disk
        if len(following) < min(len(voters), voters_needed(self.tolerance)):
            return Err(f"{len(following)} voters don't bear what may be lost: replace it, or add one first")
        active = active_voters(following, voter_set, peers)
        if len(active) + (1 if new else 0) < majority(following):
            return Err("no majority of that set can be heard")
        return Ok(VoterSetChange(following, "by hand"))

    def rejection_reason(
        self, new: str, voters: dict[str, str], peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> str:
        """Why an operator may not give a seat to this controller now, "" if nothing forbids it."""
        if new in voters:
            return f"{new} votes already"
        if new not in reachable_peers(peers):
            return f"{new} is not heard"
        if peers[new].disk_failing_for:
            return f"the disk of {new} refuses writes, or does not answer"
        return "" if peers[new].has_caught_up(versions) else f"{new} has not caught up"

    def failure_margin(self, voter_set: VoterSet, peers: dict[str, PeerStatus]) -> int:
        """How many more active voters may be lost with a majority left; below 0: there is none."""
        voters = voter_set["voters"]
        return len(active_voters(voters, voter_set, peers)) - majority(voters)

    def view(
        self, address: str, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> MembershipView:
        """What operators are shown of who votes, as the controller at this address sees it."""
        margin, losses = self.failure_margin(voter_set, peers), self.tolerance.losses
        return membership_view(address, voter_set, peers, versions, self.is_lost, losses, margin)


def may_shut_down(
    address: str,
    disk: str,
    voter_set: VoterSet,
    peers: dict[str, PeerStatus],
    accepted: dict[str, tuple],
    durable: dict[str, dict[str, tuple]],
    has_successor: bool,
) -> bool:
    """Whether a controller that was told to end may go: its seat is another's and a majority of that set is
    active, or (there being nobody to take it) a majority of the others holds on disk what it holds itself.

    address, disk: its own; accepted: the number of what it accepted, by register; durable: that of what
    others have safe on disk, by controller and register; has_successor: somebody may take the seat, now or
    soon.
    """
    voters = voter_set["voters"]
    active = [name for name in voters if name in peers and peers[name].is_active_in(voter_set, name)]
    if not is_voter(voters, address, disk):
        return len(active) >= majority(voters)
    if has_successor:
        return False
    others = [name for name in voters if name != address]
    holders = [
        name
        for name in others
        if name in durable
        and name in active
        and all(tuple(durable[name].get(register, ())) >= number for register, number in accepted.items())
    ]
    return len(holders) >= len(others) // 2 + 1 or not others
