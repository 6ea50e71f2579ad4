"""This controller's place among the voters: its seat, and whether it may vote in the epoch it knows."""

from .voter_set import NO_VOTERS, VoterSet, is_voter, majority

NEVER_ACTIVE = -1  # in place of an epoch


class LocalMember:
    """Who this controller is, the newest set of voters it knows, and the newest epoch it was active in."""

    def __init__(
        self,
        address: str,
        disk: str,
        incarnation: int,
        voter_set: VoterSet | None = None,
        active_epoch: int = NEVER_ACTIVE,
    ) -> None:
        """disk: the name that this machine's disk was given; incarnation: of this process; active_epoch: the
        newest epoch in which this disk was an active voter.
        """
        self.address, self.disk, self.incarnation = address, disk, incarnation
        self.voter_set: VoterSet = voter_set or NO_VOTERS
        self.active_epoch = active_epoch

    @property
    def epoch(self) -> int:
        """The newest epoch known here."""
        return self.voter_set["n"]

    @property
    def voters(self) -> dict[str, str]:
        """The name of each voter's disk in that epoch, by its address."""
        return self.voter_set["voters"]

    @property
    def majority(self) -> int:
        """How many voters are more than half of them."""
        return majority(self.voters)

    def is_current_voter(self, address: str, disk: str) -> bool:
        """Whether this address with this disk votes in the epoch known here."""
        return is_voter(self.voters, address, disk)

    @property
    def is_member(self) -> bool:
        """Whether this controller, on this disk, may have a seat in that epoch; see `holds_seat`."""
        return self.is_current_voter(self.address, self.disk)

    @property
    def holds_seat(self) -> bool:
        """Whether this very disk is a member. Only a disk that was active in the epoch before may go on to a
        seat of any disk: one that came back empty may not.
        """
        if self.voters.get(self.address) == self.disk:
            return True
        return self.is_member and 0 <= self.active_epoch == self.epoch - 1

    @property
    def is_active_voter(self) -> bool:
        """Whether this controller votes: it holds all that its epoch began with."""
        return self.is_member and self.active_epoch == self.epoch
