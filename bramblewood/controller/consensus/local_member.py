"""This controller's address and disk, the newest voter set that it has learned, and whether it votes."""

from .voter_set import NO_VOTERS, VoterSet, is_voter, majority_size

NEVER_ACTIVE = -1  # in place of an epoch


class LocalMember:
    """This controller as a member of the newest voter set that it has learned.

    Invariant: the controller votes only in the epoch of that voter set, and only while `is_active_voter`.
    """

    def __init__(
        self,
        address: str,
        disk: str,
        incarnation: int,
        voter_set: VoterSet | None = None,
        active_epoch: int = NEVER_ACTIVE,
    ) -> None:
        """Creates the member from what the disk holds.

        disk: the name of this controller's disk.
        incarnation: a number that identifies this process among all processes at the address.
        active_epoch: the newest epoch in which this disk was an active voter.
        """
        self.address, self.disk, self.incarnation = address, disk, incarnation
        self.voter_set: VoterSet = voter_set or NO_VOTERS
        self.active_epoch = active_epoch
        # whether this process votes no more; its disk still holds what it has accepted
        self.has_stopped_voting = False

    @property
    def epoch(self) -> int:
        """Returns the epoch of the current voter set, which is the newest one learned."""
        return self.voter_set["n"]

    @property
    def voters(self) -> dict[str, str]:
        """Returns the name of each current voter's disk, by the voter's address."""
        return self.voter_set["voters"]

    @property
    def majority(self) -> int:
        """Returns the smallest number of current voters that is more than half of them."""
        return majority_size(self.voters)

    def is_current_voter(self, address: str, disk: str) -> bool:
        """Returns whether the current voter set has a seat for this address with this disk."""
        return is_voter(self.voters, address, disk)

    @property
    def matches_seat(self) -> bool:
        """Returns whether a seat of the current voter set names this disk, or is open to any disk here.

        The second case does not suffice to join the epoch; see `holds_seat`.
        """
        return self.is_current_voter(self.address, self.disk)

    @property
    def holds_seat(self) -> bool:
        """Returns whether this disk may join the current epoch as a voter.

        It may if the seat names the disk. It may also if the seat is open to any disk and this disk was
        active in the previous epoch. An empty disk was not active in it, and waits for a seat that names it.
        It may not once this process has stopped voting.
        """
        if self.has_stopped_voting:
            return False
        if self.voters.get(self.address) == self.disk:
            return True
        return self.matches_seat and 0 <= self.active_epoch == self.epoch - 1

    @property
    def is_active_voter(self) -> bool:
        """Returns whether this controller votes. It then holds the state with which the epoch began."""
        return self.matches_seat and self.active_epoch == self.epoch
