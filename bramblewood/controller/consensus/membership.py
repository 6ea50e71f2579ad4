"""Finds the one change of the voter set that is due, if any. It performs no I/O and reads no clock.

A change takes the seat of a voter that is lost, is leaving, or came back with another disk. It gives the seat
to a controller or disk that has caught up. The change takes effect once a majority of the current voters has
chosen it.

Three bounds keep the voter set from flapping:

- Voters change one at a time. No change is due while a reachable voter is not active yet.
- A silent voter keeps its seat for half of `CatchUpS`, the time within which it is expected back.
- A controller takes a seat only after a quarter of `CatchUpS` in which its heartbeats arrived without a gap.

The two waits add up to less than `CatchUpS`. A second loss is tolerated only after `CatchUpS`, and the new
voter set is in effect by then.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ...common.settings import Tolerance
from .membership_view import MembershipView, membership_view
from .peer_status import PeerStatus, active_voters, reachable_peers
from .quorum import FailureDomain, keeps_majority, select_first_voters, voters_needed
from .voter_set import VoterSet, is_voter, majority_size

LOST_AFTER_FRACTION = 1 / 2  # of CatchUpS; a voter that is silent or fails for longer may lose its seat
STEADY_FRACTION = 1 / 4  # of CatchUpS; a controller whose heartbeats arrive for this long may take a seat


class VoterSetChange(NamedTuple):
    """The voters proposed for the next epoch."""

    voters: dict[str, str]  # the name of each voter's disk, by its address
    reason: str  # for the log


def replace_voter(voters: dict[str, str], old: str, new: str, disk: str) -> dict[str, str]:
    """Returns these voters with `new`, on this disk, in the seat of `old`.

    Adds a seat for `new` if `old` has none.
    """
    return {**{address: kept_disk for address, kept_disk in voters.items() if address != old}, new: disk}


class Membership:
    """Finds the change of the voter set that is due. It has no state except its settings.

    Parameters named `peers` hold the status of every known controller by address, including this one.
    Parameters named `versions` hold the chosen versions by register.
    """

    def __init__(self, tolerance: Tolerance, regions: dict[str, str], catch_up: float) -> None:
        """Takes the settings. regions: the region of each zone. catch_up: `CatchUpS` in s."""
        self.tolerance, self.regions = tolerance, regions
        self.lost_after = catch_up * LOST_AFTER_FRACTION
        self.steady_after = catch_up * STEADY_FRACTION

    def failure_domains(self, peers: dict[str, PeerStatus]) -> dict[str, FailureDomain]:
        """Returns the failure domain of each of these controllers."""
        return {
            address: FailureDomain(
                peer.zone, self.regions.get(peer.zone, peer.zone), peer.counts_for_tolerance
            )
            for address, peer in peers.items()
        }

    def is_silent(self, peer: PeerStatus | None) -> bool:
        """Returns whether a controller has sent no heartbeat for so long that it may lose its seat.

        peer: None if the controller is unknown, which also counts as silent.
        """
        return peer is None or peer.silent_for > self.lost_after

    def has_failed_disk(self, peer: PeerStatus | None) -> bool:
        """Returns whether a controller's disk has failed for so long that it may lose its seat.

        Such a controller can neither promise nor accept, like a silent one.
        """
        return peer is not None and peer.disk_failing_for > self.lost_after

    def is_lost(self, peer: PeerStatus | None) -> bool:
        """Returns whether a controller may lose its seat. No change waits for a lost voter."""
        return self.is_silent(peer) or self.has_failed_disk(peer)

    # --- the change that is due

    def founding_change(
        self, seeds: tuple[str, ...], peers: dict[str, PeerStatus], wait_is_over: bool
    ) -> VoterSetChange | None:
        """Returns the change to the voters of epoch 1, or None while `select_first_voters` selects none.

        wait_is_over: as in `select_first_voters`.
        """
        reachable = reachable_peers(peers)
        selected = select_first_voters(self.failure_domains(reachable), seeds, self.tolerance, wait_is_over)
        return (
            VoterSetChange({address: reachable[address].disk for address in selected}, "first boot")
            if selected
            else None
        )

    def due_change(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """Returns the change that is due, or None."""
        if self.has_joining_voter(voter_set, peers):
            return None
        return self.due_disk_change(voter_set, peers, versions) or self.due_replacement(
            voter_set, peers, versions
        )

    def has_joining_voter(self, voter_set: VoterSet, peers: dict[str, PeerStatus]) -> bool:
        """Returns whether a reachable voter on the disk of its seat is about to become active.

        A voter whose disk has failed for so long that it may lose its seat does not count, because it is not
        going to become active. The majority that chooses a change does not include such a voter either.
        """
        reachable = reachable_peers(peers)
        return any(
            address in reachable
            and reachable[address].disk == disk
            and not reachable[address].is_active_in(voter_set, address)
            and not self.has_failed_disk(reachable[address])
            for address, disk in voter_set["voters"].items()
        )

    def due_disk_change(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """Returns the change that gives a voter's seat to the disk that the voter has now, or None."""
        voters, reachable = voter_set["voters"], reachable_peers(peers)
        for address, disk in voters.items():
            peer = reachable.get(address)
            if peer is None or peer.disk == disk or peer.epoch != voter_set["n"] or peer.is_leaving:
                continue
            if not disk or peer.has_caught_up(versions):
                reason = (
                    f"{address} is back on another disk"
                    if disk
                    else f"{address} has a seat that names no disk"
                )
                return VoterSetChange(replace_voter(voters, address, address, peer.disk), reason)
        return None

    def due_replacement(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """Returns the change that gives a spare a free seat or that of a leaving or lost voter, or None."""
        voters = voter_set["voters"]
        spares = self.eligible_spares(voter_set, peers, versions)
        if not spares:
            return None
        for reason, is_due in (
            ("leaves", self.is_leaving),
            ("sends no heartbeats", self.is_silent),
            ("disk fails", self.has_failed_disk),
        ):
            for address in voters:
                if is_due(peers.get(address)):
                    changed_voters = self.assign_to_best_spare(voters, spares, peers, address)
                    return VoterSetChange(changed_voters, f"{address} {reason}")
        if len(voters) < voters_needed(self.tolerance):
            return VoterSetChange(self.assign_to_best_spare(voters, spares, peers), "a seat is free")
        return None

    def is_leaving(self, peer: PeerStatus | None) -> bool:
        """Returns whether a reachable controller is shutting down."""
        return peer is not None and peer.is_reachable and peer.is_leaving

    def eligible_spares(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> list[str]:
        """Returns the controllers that may take a seat now, sorted."""
        voters = voter_set["voters"]
        any_voter_counts = any(peers[address].counts_for_tolerance for address in voters if address in peers)
        return sorted(
            address
            for address, peer in peers.items()
            if address not in voters
            and peer.uninterrupted_for >= self.steady_after
            and not peer.is_leaving
            and not peer.disk_failing_for
            and peer.epoch == voter_set["n"]
            and (peer.counts_for_tolerance or not any_voter_counts)
            and peer.has_caught_up(versions)
        )

    def successors(self, voter_set: VoterSet, peers: dict[str, PeerStatus]) -> list[str]:
        """Returns the controllers that may take a seat now or soon. A leaving voter waits for one."""
        voters = voter_set["voters"]
        return [
            address
            for address, peer in reachable_peers(peers).items()
            if address not in voters and not peer.is_leaving
        ]

    def assign_to_best_spare(
        self, voters: dict[str, str], spares: list[str], peers: dict[str, PeerStatus], old: str = ""
    ) -> dict[str, str]:
        """Returns the voters after the best spare has taken the seat of `old`, or a new seat if `old` is "".

        A spare is better if the voters keep a majority after every tolerated loss, then if its zone has fewer
        voters, then if its address sorts first.
        """
        domains = self.failure_domains(peers)
        remaining = [address for address in voters if address != old]
        zones = [domains[address].zone for address in remaining if address in domains]

        def rank(address: str) -> tuple:
            known_voters = [voter for voter in (*remaining, address) if voter in domains]
            loses_majority = not keeps_majority(known_voters, domains, self.tolerance)
            return loses_majority, zones.count(domains[address].zone), address

        new = min(spares, key=rank)
        return replace_voter(voters, old, new, peers[new].disk)

    # --- operators

    def requested_change(
        self, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int], old: str, new: str
    ) -> Result[VoterSetChange, str]:
        """Returns the change that an operator requests, or the reason why it is rejected.

        old: the voter to remove, "" to add one only.
        new: the controller that gets a seat, "" to remove one only.

        Returns the current voters if the change has been made already, because a request may be repeated.
        """
        voters = voter_set["voters"]
        if old and old not in peers:
            return Err(f"{old} is not a known controller")
        if (not old or old not in voters) and (not new or new in voters):
            return Ok(VoterSetChange(voters, "stands"))
        if old and old not in voters:
            return Err(f"{old} is not a voter of epoch {voter_set['n']}")
        if new and (problem := self.rejection_reason(new, voters, peers, versions)):
            return Err(problem)
        requested = {address: disk for address, disk in voters.items() if address != old}
        if new:
            requested[new] = peers[new].disk
        if len(requested) < min(len(voters), voters_needed(self.tolerance)):
            return Err(
                f"{len(requested)} voters are too few for Tolerance: replace the voter, or add one first"
            )
        active = active_voters(requested, voter_set, peers)
        if len(active) + (1 if new else 0) < majority_size(requested):
            return Err("no majority of the requested voters is reachable and active")
        return Ok(VoterSetChange(requested, "by hand"))

    def rejection_reason(
        self, new: str, voters: dict[str, str], peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> str:
        """Returns why an operator may not give a seat to the controller `new` now, or "" if it may."""
        if new in voters:
            return f"{new} is a voter already"
        if new not in reachable_peers(peers):
            return f"{new} sends no heartbeats"
        if peers[new].disk_failing_for:
            return f"the disk of {new} refuses writes, or does not answer"
        return (
            "" if peers[new].has_caught_up(versions) else f"{new} has not caught up with the chosen versions"
        )

    def failure_margin(self, voter_set: VoterSet, peers: dict[str, PeerStatus]) -> int:
        """Returns how many active voters may be lost with a majority left; below 0 without a majority."""
        voters = voter_set["voters"]
        return len(active_voters(voters, voter_set, peers)) - majority_size(voters)

    def view(
        self, address: str, voter_set: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> MembershipView:
        """Returns the view of all controllers that the controller at `address` shows to operators."""
        margin, losses = self.failure_margin(voter_set, peers), self.tolerance.tolerated_losses
        return membership_view(address, voter_set, peers, versions, self.is_lost, losses, margin)


def is_vote_dispensable(
    address: str,
    disk: str,
    voter_set: VoterSet,
    peers: dict[str, PeerStatus],
    accepted: dict[str, tuple],
    durable: dict[str, dict[str, tuple]],
    has_successor: bool,
) -> bool:
    """Returns whether a controller that is shutting down may exit without a risk to the chosen values.

    - A controller whose disk has no seat may exit once a majority of the current voters is active.
    - A controller that has a seat and no successor may exit once a majority of the other voters holds on disk
      everything that the controller has accepted.
    - A controller that has a seat and a successor waits for the change that gives the seat away.

    address, disk: those of the controller that is shutting down.
    accepted: by register, the number of the proposal that this controller accepted last.
    durable: by controller and register, the number of the proposal that is accepted and on disk there.
    has_successor: whether another controller may take the seat now or soon.
    """
    voters = voter_set["voters"]
    active = [voter for voter in voters if voter in peers and peers[voter].is_active_in(voter_set, voter)]
    if not is_voter(voters, address, disk):
        return len(active) >= majority_size(voters)
    if has_successor:
        return False
    others = [voter for voter in voters if voter != address]
    holders = [
        voter
        for voter in others
        if voter in durable
        and voter in active
        and all(tuple(durable[voter].get(register, ())) >= number for register, number in accepted.items())
    ]
    return len(holders) >= len(others) // 2 + 1 or not others
