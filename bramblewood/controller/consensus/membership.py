"""Who should vote: the one change of the set of voters that is due, if any. Pure.

A change takes a seat from an archive that is lost, leaves, or came back with another disk, and gives it to
one that holds what is agreed. It is only ever proposed; `ballots` makes the majority of the set before agree.
Bounds against flapping: one change at a time, none while a voter that can be heard is not active yet; a seat
is taken from a silent voter after half of CatchUpS, the time in which the rules expect it back, and given to
an archive that has been heard for a quarter of it without a gap, so that a second loss that the rules allow
once CatchUpS is over meets the new set.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from ...common.settings import Tolerance
from .quorum import FailureDomain, bears, enough, first_voters
from .registers import CONFIG, TABLE
from .voter_set import VoterSet, is_voter, majority

LOST_AFTER_FRACTION = 1 / 2  # of CatchUpS without a pulse, after which a voter's seat is given away
STEADY_FRACTION = 1 / 4  # of CatchUpS with pulses, before an archive may take a seat


class PeerStatus(NamedTuple):
    """One archive as it is seen from here; times in s."""

    disk: str
    zone: str
    counted: bool  # whether its loss is one of those that `Tolerance` bounds
    epoch: int
    votes: bool  # an active voter of that epoch
    leaving: bool
    silent: float  # since its last pulse
    steady: float  # since its pulses began to come without a gap; 0 while they don't
    versions: dict[str, int]  # what it knows to be chosen, by register


def is_active_in(peer: PeerStatus | None, members: VoterSet, name: str) -> bool:
    """Whether it said that it is an active voter of this very epoch, on the disk that this epoch knows."""
    return (
        peer is not None
        and peer.votes
        and peer.epoch == members["n"]
        and is_voter(members["voters"], name, peer.disk)
    )


class VoterSetChange(NamedTuple):
    voters: dict[str, str]
    reason: str


def replaced(voters: dict[str, str], old: str, new: str, disk: str) -> dict[str, str]:
    return {**{name: kept for name, kept in voters.items() if name != old}, new: disk}


def current(peer: PeerStatus, versions: dict[str, int]) -> bool:
    """Whether it follows what is chosen; not whether it has the newest, as its pulses lag behind."""
    return all(peer.versions.get(name, 0) > 0 or not versions.get(name, 0) for name in (CONFIG, TABLE))


class Membership:
    def __init__(self, tolerance: Tolerance, regions: dict[str, str], catch_up: float) -> None:
        """regions: the region of each zone; catch_up: `CatchUpS` in s."""
        self.tolerance, self.regions = tolerance, regions
        self.lost_after, self.steady_after = catch_up * LOST_AFTER_FRACTION, catch_up * STEADY_FRACTION

    def failure_domains(self, peers: dict[str, PeerStatus]) -> dict[str, FailureDomain]:
        return {
            name: FailureDomain(peer.zone, self.regions.get(peer.zone, peer.zone), peer.counted)
            for name, peer in peers.items()
        }

    def founding_change(
        self, seeds: tuple[str, ...], peers: dict[str, PeerStatus], late: bool
    ) -> VoterSetChange | None:
        """The voters of epoch 1, of those who have shown themselves; None while it is better to wait."""
        there = {name: peer for name, peer in peers.items() if self.is_heard(peer)}
        chosen = first_voters(self.failure_domains(there), seeds, self.tolerance, late)
        return VoterSetChange({name: there[name].disk for name in chosen}, "first boot") if chosen else None

    def is_heard(self, peer: PeerStatus | None) -> bool:
        return peer is not None and peer.steady > 0

    def is_active_voter(self, peers: dict[str, PeerStatus], members: VoterSet, name: str) -> bool:
        return self.is_heard(peers.get(name)) and is_active_in(peers[name], members, name)

    def spares(self, members: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]) -> list[str]:
        """Archives that may take a seat now."""
        voters = members["voters"]
        whoever = not any(peers[name].counted for name in voters if name in peers)
        return sorted(
            name
            for name, peer in peers.items()
            if name not in voters
            and peer.steady >= self.steady_after
            and not peer.leaving
            and peer.epoch == members["n"]
            and (peer.counted or whoever)
            and current(peer, versions)
        )

    def best_replacement(
        self, voters: dict[str, str], spares: list[str], peers: dict[str, PeerStatus], old: str = ""
    ) -> dict:
        """The voters once one of the spares has the seat of `old`, or one of its own: such that the losses to
        be borne leave a majority, and of a zone with few voters.
        """
        places, stay = self.failure_domains(peers), [name for name in voters if name != old]
        zones = [places[name].zone for name in stay if name in places]

        def rank(name: str) -> tuple:
            known = [one for one in (*stay, name) if one in places]
            return (not bears(known, places, self.tolerance), zones.count(places[name].zone), name)

        new = min(spares, key=rank)
        return replaced(voters, old, new, peers[new].disk)

    def successors(self, members: VoterSet, peers: dict[str, PeerStatus]) -> list[str]:
        """Archives that may take a seat now or soon: who leaves waits for them."""
        voters = members["voters"]
        return [
            n for n, peer in peers.items() if n not in voters and self.is_heard(peer) and not peer.leaving
        ]

    def due_change(
        self, members: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> VoterSetChange | None:
        """The change that is due. peers: all archives known, this one too; versions: what is chosen."""
        voters, n = members["voters"], members["n"]
        for name, disk in voters.items():
            peer = peers.get(name)
            if self.is_heard(peer) and peer.disk == disk and not is_active_in(peer, members, name):
                return None  # it is about to be active: one change at a time
        for name, disk in voters.items():
            peer = peers.get(name)
            if not self.is_heard(peer) or peer.disk == disk or peer.epoch != n or peer.leaving:
                continue
            if not disk or current(peer, versions):
                return VoterSetChange(
                    replaced(voters, name, name, peer.disk), "other disk" if disk else "disk named"
                )
        spares = self.spares(members, peers, versions)
        if not spares:
            return None
        for why, due in (("leaves", self.is_leaving), ("silent", self.is_lost)):
            for name in voters:
                if due(peers.get(name)):
                    return VoterSetChange(self.best_replacement(voters, spares, peers, name), f"{name} {why}")
        if len(voters) < enough(self.tolerance):
            return VoterSetChange(self.best_replacement(voters, spares, peers), "a seat is free")
        return None

    def is_leaving(self, peer: PeerStatus | None) -> bool:
        return self.is_heard(peer) and peer.leaving

    def is_lost(self, peer: PeerStatus | None) -> bool:
        return peer is None or peer.silent > self.lost_after

    def failure_margin(self, members: VoterSet, peers: dict[str, PeerStatus]) -> int:
        """How many more active voters may be lost with a majority left; below 0: there is none."""
        voters = members["voters"]
        active = [name for name in voters if self.is_active_voter(peers, members, name)]
        return len(active) - majority(voters)

    def requested_change(
        self, members: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int], old: str, new: str
    ) -> Result[VoterSetChange, str]:
        """An operator's change; old or new may be empty, for an addition or a removal. The voters as they are
        where that is how they stand already: an order may be repeated.
        """
        voters = members["voters"]
        if old and old not in peers:
            return Err(f"{old} is not known")
        if (not old or old not in voters) and (not new or new in voters):
            return Ok(VoterSetChange(voters, "stands"))
        if old and old not in voters:
            return Err(f"{old} is no voter of epoch {members['n']}")
        if new and (new in voters or not self.is_heard(peers.get(new))):
            return Err(f"{new} {'votes already' if new in voters else 'is not heard'}")
        if new and not current(peers[new], versions):
            return Err(f"{new} has not caught up")
        made = {name: disk for name, disk in voters.items() if name != old}
        if new:
            made[new] = peers[new].disk
        if len(made) < min(len(voters), enough(self.tolerance)):
            return Err(f"{len(made)} voters don't bear what may be lost: replace it, or add one first")
        active = [name for name in made if self.is_active_voter(peers, members, name)]
        if len(active) + (1 if new else 0) < majority(made):
            return Err("no majority of that set can be heard")
        return Ok(VoterSetChange(made, "by hand"))

    def view(
        self, me: str, members: VoterSet, peers: dict[str, PeerStatus], versions: dict[str, int]
    ) -> dict:
        """What operators are shown of who votes, as this archive sees it."""
        voters = members["voters"]

        def shown(name: str) -> dict:
            peer, disk = peers[name], voters.get(name)
            return {
                "disk": peer.disk or disk or "",
                "state": self.state(members, name, peer),
                "heard": None if peer.steady <= 0 and not peer.disk else round(peer.silent, 2),
                "epoch": peer.epoch if peer.disk else None,
                "lag": {kind: max(n - peer.versions.get(kind, 0), 0) for kind, n in versions.items()}
                if peer.disk
                else None,
            }

        return {
            "me": me,
            "epoch": members["n"],
            "state": self.state(members, me, peers[me]),
            "members": {name: shown(name) for name in sorted(voters)},
            "others": {name: shown(name) for name in sorted(peers.keys() - voters.keys())},
            "tolerance": self.tolerance.losses,
            "margin": self.failure_margin(members, peers),
        }

    def state(self, members: VoterSet, name: str, peer: PeerStatus) -> str:
        disk = members["voters"].get(name)
        if not self.is_heard(peer):
            return "lost" if disk is not None and self.is_lost(peer) else "silent"
        if peer.leaving:
            return "leaving"
        if disk is None:
            return "spare" if peer.epoch == members["n"] > 0 else "new"
        if not is_voter({name: disk}, name, peer.disk):
            return "other disk"
        return "voter" if is_active_in(peer, members, name) else "joining"


def may_shut_down(
    me: str,
    disk: str,
    members: VoterSet,
    peers: dict[str, PeerStatus],
    accepted: dict[str, tuple],
    durable: dict[str, dict[str, tuple]],
    heirs: bool,
) -> bool:
    """Whether an archive that was told to end may go: its seat is another's and a majority of that set is
    active, or (there being nobody to take it) a majority of the others holds on disk what it holds itself.

    accepted: its ballots by register; durable: those of the others, by archive; heirs: whether there is
    somebody to take the seat, now or soon.
    """
    voters = members["voters"]
    if not is_voter(voters, me, disk):
        return sum(is_active_in(peers.get(name), members, name) for name in voters) >= majority(voters)
    if heirs:
        return False
    others = [name for name in voters if name != me]
    hold = [
        name
        for name in others
        if name in durable
        and is_active_in(peers.get(name), members, name)
        and all(
            tuple(durable[name].get(register, ())) >= proposal_number
            for register, proposal_number in accepted.items()
        )
    ]
    return len(hold) >= len(others) // 2 + 1 or not others
