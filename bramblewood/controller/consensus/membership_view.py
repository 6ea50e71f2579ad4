"""What operators are shown of who votes; `bramblewood members show` prints it."""

from collections.abc import Callable
from typing import TypedDict

from .peer_status import PeerStatus
from .voter_set import VoterSet, is_voter


class MemberView(TypedDict):
    """One controller. Keys and states are part of the `--json` form."""

    disk: str
    state: str  # voter, joining, leaving, silent, lost, other disk, disk fails, spare, new
    heard: float | None  # s since its last heartbeat, None where it was never heard
    epoch: int | None
    lag: dict[str, int] | None  # versions that it is behind, by register


class MembershipView(TypedDict):
    """Who votes, as the controller `me` sees it. Its keys are part of the `--json` form."""

    me: str
    epoch: int
    state: str
    members: dict[str, MemberView]
    others: dict[str, MemberView]
    tolerance: int  # losses to be tolerated
    margin: int  # active voters that may be lost with a majority left


def membership_view(
    address: str,
    voter_set: VoterSet,
    peers: dict[str, PeerStatus],
    versions: dict[str, int],
    is_lost: Callable[[PeerStatus], bool],
    tolerated_losses: int,
    margin: int,
) -> MembershipView:
    """The view of the controller at this address. versions: what is chosen; peers: itself among them."""
    voters = voter_set["voters"]

    def views(names: set[str]) -> dict[str, MemberView]:
        return {name: member_view(name, voter_set, peers[name], versions, is_lost) for name in sorted(names)}

    return {
        "me": address,
        "epoch": voter_set["n"],
        "state": member_state(address, voter_set, peers[address], is_lost),
        "members": views({*voters}),
        "others": views(peers.keys() - voters.keys()),
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
    """One controller as it is seen here."""
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
    """One of the states of `MemberView`."""
    voters, has_seat = voter_set["voters"], address in voter_set["voters"]
    if not peer.is_reachable:
        return "lost" if has_seat and is_lost(peer) else "silent"
    if peer.leaving:
        return "leaving"
    if peer.disk_failing_for:
        return "disk fails"
    if not has_seat:
        return "spare" if peer.epoch == voter_set["n"] > 0 else "new"
    if not is_voter(voters, address, peer.disk):
        return "other disk"
    return "voter" if peer.is_active_in(voter_set, address) else "joining"
