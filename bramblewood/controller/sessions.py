"""Who is there: sessions between archives and of desks with archives, and how fresh the word of the majority
is.

An archive pulses each other one. A pulse says what its sender has accepted and gives back the stamp of the
last pulse heard from the receiver, in the receiver's own clock. So the receiver knows that the sender had
accepted nothing newer when that stamp was set, or later. A word rests on the stamps of a majority and is good
for WORD s from the oldest of them: whatever a majority chooses later is chosen after that stamp, so whoever
moves keys on a chosen change need wait no longer than WORD for the last renewal that rested on an older word.

All times are this archive's own steady clock, and a stamp counts only once it came there and back. So a word
ends by itself after a freeze, and after a cut in either direction, whatever still waits in a socket.
"""

from typing import NamedTuple

from ..common.timeouts import QUORUM_CONTACT_VALIDITY
from .consensus.peer_status import PeerStatus
from .consensus.proposal_number import NO_PROPOSAL, ProposalNumber
from .consensus.voter_set import is_voter, majority

HEARTBEAT_INTERVAL = 0.25  # s between pulses; three of them fit into WORD
PEER_TIMEOUT = 0.9  # s without a pulse after which an archive counts as away: three pulses and some way


class Heard(NamedTuple):
    at: float  # when the pulse came, our clock
    stamp: float  # our own stamp that it gave back, our clock
    accepted: dict[str, ProposalNumber]  # newest accepted ballot by register, on disk or not yet
    votes: bool  # an active voter of its epoch
    whole: bool  # it has a word of the majority itself and its disk answers
    epoch: int
    disk: str
    leaving: bool
    versions: dict[str, int]  # what it knows to be chosen, by register
    durable: dict[str, ProposalNumber]  # newest accepted ballot by register that is safe on its disk


class Sessions:
    def __init__(self, me: str) -> None:
        self.me = me
        self.heard: dict[str, Heard] = {}
        self.told: dict[str, dict] = {}  # by archive, what changes seldom and was said on its link
        self.stamps: dict[str, float] = {}  # last stamp of each other archive, to give back
        self.proxies: dict[str, list[str]] = {}  # by archive, the desks that it last told of
        self.places: dict[str, tuple[str, bool]] = {}  # by archive, its zone and whether its loss is counted
        self.since: dict[str, float] = {}  # by archive, since when its pulses come without a gap
        self.level: dict[str, float] = {}  # by register, when we had accepted nothing newer than was known

    def anew(self, peer: str) -> None:
        """A link to this archive stands anew: whoever listens there now may know nothing."""
        self.told.pop(peer, None)

    def news(self, peer: str, about: dict) -> dict:
        """Of what changes seldom, what this archive was not told on this link."""
        before = self.told.get(peer, {})
        self.told[peer] = about
        return {name: value for name, value in about.items() if name not in before or before[name] != value}

    def pulse(self, now: float, peer: str, message: dict) -> None:
        accepted, durable = (
            {name: tuple(proposal_number) for name, proposal_number in message[kind].items()}
            for kind in ("acc", "dur")
        )
        before = self.heard.get(peer)
        if before is None or now - before.at > PEER_TIMEOUT or before.disk != message["disk"]:
            self.since[peer] = now
        self.heard[peer] = Heard(
            now,
            message["e"],
            accepted,
            message["v"],
            message["w"],
            message["ep"],
            message["disk"],
            message["leaving"],
            message["ver"],
            durable,
        )
        self.stamps[peer] = message["t"]
        if "desks" in message:
            self.proxies[peer] = message["desks"]
        if "zone" in message:
            self.places[peer] = (message["zone"], message["counted"])

    def word_until(
        self,
        now: float,
        voters: dict[str, str],
        epoch: int,
        known: dict[str, ProposalNumber],
        own: dict[str, ProposalNumber] | None,
    ) -> float:
        """Until when the word holds that in these registers nothing newer than `known` is chosen; 0 where
        none does. With no register it tells of contact alone.

        voters, epoch: the set of voters that is known here, with their disks. A majority of it that was not
        sealed as it stamped is a word that no later epoch had begun.
        own: what this archive has accepted itself, None where it does not vote. It counts as heard when it
        was last found to have accepted nothing newer: with one more voter that may be the majority.
        """
        stamps = []
        if own is not None and self.me in voters:
            for register, proposal_number in known.items():
                if own[register] <= proposal_number:
                    self.level[register] = now
            stamps.append(
                min((self.level.get(register, -QUORUM_CONTACT_VALIDITY) for register in known), default=now)
            )
        for peer, heard in self.heard.items():
            level = all(
                heard.accepted.get(register, NO_PROPOSAL) <= proposal_number
                for register, proposal_number in known.items()
            )
            if is_voter(voters, peer, heard.disk) and heard.votes and heard.epoch == epoch and level:
                stamps.append(heard.stamp)
        needed = majority(voters)
        if not voters or len(stamps) < needed:
            return 0.0
        return sorted(stamps, reverse=True)[needed - 1] + QUORUM_CONTACT_VALIDITY

    def peers(self, now: float) -> dict[str, PeerStatus]:
        """The other archives as the question of who should vote sees them."""
        return {
            name: PeerStatus(
                heard.disk,
                *self.places.get(name, ("", False)),
                heard.epoch,
                heard.votes,
                heard.leaving,
                now - heard.at,
                max(now - self.since[name], HEARTBEAT_INTERVAL) if now - heard.at <= PEER_TIMEOUT else 0.0,
                heard.versions,
            )
            for name, heard in self.heard.items()
        }

    def present(self, now: float) -> list[str]:
        """The other archives heard of late that have a word of the majority."""
        return [peer for peer, heard in self.heard.items() if now - heard.at <= PEER_TIMEOUT and heard.whole]

    def coordinator(self, now: float, whole: bool) -> str | None:
        """Whose turn it is to propose moves and to send grants: the first by name of those that are whole.

        Only to keep out of each other's way: every move is agreed by ballots, whoever proposes it.
        """
        return min([*self.present(now), *([self.me] if whole else [])], default=None)

    def all_proxies(self, now: float, mine: list[str]) -> set[str]:
        others = [
            name
            for peer, names in self.proxies.items()
            for name in names
            if peer in self.heard and now - self.heard[peer].at <= PEER_TIMEOUT
        ]
        return {*mine, *others}
