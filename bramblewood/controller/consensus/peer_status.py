"""What is known here of each controller, as the question of who should vote needs it."""

from typing import NamedTuple

from .registers import CONFIG, TABLE
from .voter_set import VoterSet, is_voter


class PeerStatus(NamedTuple):
    """One controller as it is seen from here. Times in s."""

    disk: str  # the name of its disk, "" where it was never heard
    zone: str
    counts_for_tolerance: bool  # its loss is one of those that `Tolerance` bounds
    epoch: int
    is_active_voter: bool  # of that epoch, as it says itself
    leaving: bool
    silent_for: float  # since its last heartbeat
    steady_for: float  # since its heartbeats began to come without a gap; 0 while they don't
    versions: dict[str, int]  # what it knows to be chosen, by register
    disk_failing_for: float = 0.0  # that its disk has refused every write, or not answered one

    @property
    def is_reachable(self) -> bool:
        """Whether its heartbeats come."""
        return self.steady_for > 0

    def is_active_in(self, voter_set: VoterSet, address: str) -> bool:
        """Whether it said that it is an active voter of this very epoch, on the disk that this epoch knows.

        address: its own.
        """
        knows_disk = is_voter(voter_set["voters"], address, self.disk)
        return self.is_active_voter and self.epoch == voter_set["n"] and knows_disk

    def has_caught_up(self, versions: dict[str, int]) -> bool:
        """Whether it follows these chosen versions; not whether it has the newest, as its heartbeats lag."""
        return all(self.versions.get(name, 0) > 0 or not versions.get(name, 0) for name in (CONFIG, TABLE))


def reachable_peers(peers: dict[str, PeerStatus]) -> dict[str, PeerStatus]:
    """Those of these controllers whose heartbeats come."""
    return {name: peer for name, peer in peers.items() if peer.is_reachable}


def active_voters(voters: dict[str, str], voter_set: VoterSet, peers: dict[str, PeerStatus]) -> list[str]:
    """Of these voters, those heard that are active in the epoch of `voter_set`."""
    heard = reachable_peers(peers)
    return [name for name in voters if name in heard and heard[name].is_active_in(voter_set, name)]
