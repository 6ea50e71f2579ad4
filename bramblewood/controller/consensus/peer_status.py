"""The status of each controller, as needed to decide which controllers vote."""

from typing import NamedTuple

from .registers import CONFIG, TABLE
from .voter_set import VoterSet, is_voter


class PeerStatus(NamedTuple):
    """The status of one controller, from the heartbeats that arrive here. All times are in s."""

    disk: str  # the name of its disk, "" if no heartbeat ever arrived
    zone: str
    counts_for_tolerance: bool  # whether `Tolerance` limits how many controllers like this one may be lost
    epoch: int  # the epoch that it reports
    is_active_voter: bool  # whether it reports that it is an active voter of that epoch
    is_leaving: bool  # whether it is shutting down
    silent_for: float  # time since its last heartbeat
    uninterrupted_for: float  # time for which its heartbeats have arrived without a gap, 0 while they do not
    versions: dict[str, int]  # by register, the newest version that it reports as chosen
    disk_failing_for: float = 0.0  # time for which its disk has refused every write or left one unanswered

    @property
    def is_reachable(self) -> bool:
        """Returns whether its heartbeats arrive."""
        return self.uninterrupted_for > 0

    def is_active_in(self, voter_set: VoterSet, address: str) -> bool:
        """Returns whether it reports that it is an active voter of this epoch, on the disk of its seat.

        address: the address of the controller whose status this is.
        """
        matches_seat = is_voter(voter_set["voters"], address, self.disk)
        return self.is_active_voter and self.epoch == voter_set["n"] and matches_seat

    def has_caught_up(self, versions: dict[str, int]) -> bool:
        """Returns whether it reports a chosen version of each data register that has one.

        versions: the chosen versions by register. The controller need not report the newest version, because
        its heartbeats arrive later than the versions are chosen.
        """
        return all(
            self.versions.get(register, 0) > 0 or not versions.get(register, 0)
            for register in (CONFIG, TABLE)
        )


def reachable_peers(peers: dict[str, PeerStatus]) -> dict[str, PeerStatus]:
    """Returns the controllers whose heartbeats arrive."""
    return {address: peer for address, peer in peers.items() if peer.is_reachable}


def active_voters(voters: dict[str, str], voter_set: VoterSet, peers: dict[str, PeerStatus]) -> list[str]:
    """Returns those of `voters` that are reachable and active in the epoch of `voter_set`."""
    reachable = reachable_peers(peers)
    return [
        address
        for address in voters
        if address in reachable and reachable[address].is_active_in(voter_set, address)
    ]
