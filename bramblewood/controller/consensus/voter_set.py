"""Sets of voters: who votes in an epoch, each by address and disk."""

from collections.abc import Callable
from typing import Any, TypedDict

from ...common.messages.fields import Fields, is_text


class VoterSet(TypedDict):
    """The voters of one epoch, in the form that is stored, sent, and chosen in the register VOTER_SET."""

    n: int  # the epoch
    voters: dict[str, str]  # the name of each voter's disk, by its address
    before: dict[str, str]  # the voters of the epoch before, likewise


def voter_set_from(wire: Any) -> VoterSet:
    """Read the form on the wire. Raises PeerMessageError."""
    fields = Fields(wire)
    fields.integer("n")
    for key in ("voters", "before"):
        fields.map_of(key, is_text, "names of disks")
    return wire


NO_VOTERS: VoterSet = {"n": 0, "voters": {}, "before": {}}
ANY_DISK = ""  # stands for a disk's name where a seat belongs to whatever disk is at the address


def founding_voters(seeds: tuple[str, ...]) -> VoterSet:
    """Epoch 0, which agrees on epoch 1 and on nothing else: the seeds of the first boot, on any disk."""
    return {"n": 0, "voters": dict.fromkeys(seeds, ANY_DISK), "before": {}}


def majority(voters: dict[str, str]) -> int:
    """How many of these voters are more than half of them."""
    return len(voters) // 2 + 1


def is_voter(voters: dict[str, str], address: str, disk: str) -> bool:
    """Whether this address with this disk has one of these seats."""
    return voters.get(address) in (ANY_DISK, disk)


def next_voter_set(
    current: VoterSet, voters: dict[str, str]
) -> Callable[[VoterSet | None], tuple[VoterSet | None, bool]]:
    """The change that makes these voters the epoch after `current`, unless another set has been agreed.

    Returns a change as `ConsensusReplica.propose` takes it; its outcome is whether this set was chosen.
    """
    following: VoterSet = {"n": current["n"] + 1, "voters": voters, "before": current["voters"]}

    def change(chosen: VoterSet | None) -> tuple[VoterSet | None, bool]:
        if chosen is None or chosen["n"] == current["n"]:  # none: nothing was agreed since the founding
            return following, True
        return None, chosen["n"] == following["n"] and chosen["voters"] == voters

    return change
