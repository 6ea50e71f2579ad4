"""Voter sets: which addresses vote in an epoch, each with one disk.

A seat is one entry of a voter set. It gives the vote to an address together with the name of a disk.
"""

from collections.abc import Callable
from typing import Any, TypedDict

from ...common.messages.fields import Fields, is_text


class VoterSet(TypedDict):
    """The voters of one epoch. This form is stored, sent, and chosen in the register VOTER_SET."""

    n: int  # the epoch
    voters: dict[str, str]  # the name of each voter's disk, by the voter's address
    before: dict[str, str]  # the voters of the previous epoch, in the same form


def parse_voter_set(wire: Any) -> VoterSet:
    """Validates the wire form of a voter set and returns it. Raises PeerMessageError."""
    fields = Fields(wire)
    fields.integer("n")
    for key in ("voters", "before"):
        fields.map_of(key, is_text, "names of disks")
    return wire


NO_VOTERS: VoterSet = {"n": 0, "voters": {}, "before": {}}
ANY_DISK = ""  # in place of a disk's name: the seat is open to any disk at the address


def founding_voter_set(seeds: tuple[str, ...]) -> VoterSet:
    """Returns the voter set of epoch 0, in which each seed has a seat that is open to any disk.

    Epoch 0 chooses the voter set of epoch 1 and nothing else.
    """
    return {"n": 0, "voters": dict.fromkeys(seeds, ANY_DISK), "before": {}}


def majority_size(voters: dict[str, str]) -> int:
    """Returns the smallest number of these voters that is more than half of them."""
    return len(voters) // 2 + 1


def is_voter(voters: dict[str, str], address: str, disk: str) -> bool:
    """Returns whether one of these seats belongs to this address with this disk."""
    return voters.get(address) in (ANY_DISK, disk)


def voter_set_change(
    current: VoterSet, voters: dict[str, str]
) -> Callable[[VoterSet | None], tuple[VoterSet | None, bool]]:
    """Returns a change that makes `voters` the voters of the epoch after `current`.

    The change has the form that `ConsensusReplica.propose` takes. It writes nothing if another voter set
    was chosen after `current`. Its outcome is whether the voter set with `voters` is the chosen one.
    """
    proposed: VoterSet = {"n": current["n"] + 1, "voters": voters, "before": current["voters"]}

    def change(chosen: VoterSet | None) -> tuple[VoterSet | None, bool]:
        if chosen is None or chosen["n"] == current["n"]:  # None: no voter set has been chosen so far
            return proposed, True
        return None, chosen["n"] == proposed["n"] and chosen["voters"] == voters

    return change
