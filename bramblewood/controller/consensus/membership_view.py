"""The view of the voters and other controllers that `bramblewood members show` prints."""

from collections.abc import Callable
from typing import TypedDict

from .peer_status import PeerStatus
from .voter_set import VoterSet, is_voter


class MemberView(TypedDict):
    """The view of one controller. Its keys and states are part of the `--json` output."""

    disk: str
    state: str  # voter, joining, leaving, silent, lost, other disk, disk fails, spare, new
    heard: float | None  # s since its last heartbeat, None if no heartbeat ever arrived
    epoch: int | None  # the epoch that it reports, None if no heartbeat ever arrived
    lag: dict[str, int] | None  # by register, the number of versions by which it is behind


class MembershipView(TypedDict):
    """The view that one controller has of all controllers. Its keys are part of the `--json` output."""

    me: str  # the address of the controller that reports
    epoch: int
    state: str  # the state of `me`, one of the states of `MemberView`
    members: dict[str, MemberView]  # the voters, by address
    others: dict[str, MemberView]  # the other controllers, by address
    tolerance: int  # how many lost voters the voter set should tolerate
    margin: int  # how many active voters may be lost with a majority left; below 0 without a majority


def membership_view(
    address: str,
    voter_set: VoterSet,
    peers: dict[str, PeerStatus],
    versions: dict[str, int],
    is_lost: Callable[[PeerStatus], bool],
    tolerated_losses: int,
    margin: int,
) -> MembershipView:
    """Returns the view that the controller at `address` has.

    peers: the status of every known controller, including this one.
    versions: the chosen versions, by register.
    is_lost: returns whether a voter counts as lost, so that its seat may be assigned to another controller.
    """
    voters = voter_set["voters"]

    def member_views(addresses: set[str]) -> dict[str, MemberView]:
        return {
            controller: member_view(controller, voter_set, peers[controller], versions, is_lost)
            for controller in sorted(addresses)
        }

    return {
        "me": address,
        "epoch": voter_set["n"],
        "state": member_state(address, voter_set, peers[address], is_lost),
        "members": member_views({*voters}),
        "others": member_views(peers.keys() - voters.keys()),
        "tolerance": tolerated_losses,
        "margin": margin,
    }


def member_view(
    address: str,
    voter_set: VoterSet,
    peer: PeerStatus,
    versions: dict[str, int],
    is_lost: Callable[[PeerStatus], bool],
) -> MemberView:
    """Returns the view of the controller at `address`. The parameters are as in `membership_view`."""
    has_reported = bool(peer.disk)
    lag = {
        register: max(version - peer.versions.get(register, 0), 0) for register, version in versions.items()
    }
    return {
        "disk": peer.disk or voter_set["voters"].get(address) or "",
        "state": member_state(address, voter_set, peer, is_lost),
        "heard": round(peer.silent_for, 2) if has_reported or peer.is_reachable else None,
        "epoch": peer.epoch if has_reported else None,
        "lag": lag if has_reported else None,
    }


def member_state(
    address: str, voter_set: VoterSet, peer: PeerStatus, is_lost: Callable[[PeerStatus], bool]
) -> str:
    """Returns the state of the controller at `address`, one of the states of `MemberView`."""
    voters, has_seat = voter_set["voters"], address in voter_set["voters"]
    if not peer.is_reachable:
        return "lost" if has_seat and is_lost(peer) else "silent"
    if peer.is_leaving:
        return "leaving"
    if peer.disk_failing_for:
        return "disk fails"
    if not has_seat:
        return "spare" if peer.epoch == voter_set["n"] > 0 else "new"
    if not is_voter(voters, address, peer.disk):
        return "other disk"
    return "voter" if peer.is_active_in(voter_set, address) else "joining"
