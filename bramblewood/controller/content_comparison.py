"""Detects controllers that hold different content under the same proposal number.

This module does no input or output.

Two controllers that have accepted the same proposal hold the same value. Each controller sends the others a
digest of every durable register together with the accepted proposal number. The digest is the sum of the
checksums of the value's rows (`storage_checksums.py`). If two digests differ under one proposal number, one
of the two values was changed by something other than consensus: a damaged byte that an older schema version
could not detect, a copied disk, or a defect of a program.

Invariant: a controller takes no decision together with a peer whose content differs. It drops the consensus
messages of that peer and does not count it for quorum contact, so the two are never part of one majority. A
controller whose content differs from that of a majority of the voters is the one that changed. It restarts
with an empty database, as after the loss of its disk. Where no majority agrees, no controller acts until
digests of more voters arrive.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .consensus.voter_set import majority_size

# A proposal number (`consensus/proposal_number.py`) as a plain tuple.
ProposalNumber = tuple
Digest = int
# Digests of this number of durable values are retained for each register. A peer is at most a few versions
# behind.
MAX_RETAINED_DIGESTS = 32


class StoredDigests:
    """The digests of the durable registers of this controller.

    The writer thread of the storage writes them, and the main thread reads them.

    newest: the newest accepted number and its digest, by register. retained: the digests of the newest
    durable values, by register and proposal number.
    """

    def __init__(self) -> None:
        self.newest: dict[str, tuple[ProposalNumber, Digest]] = {}
        self.retained: dict[str, dict[ProposalNumber, Digest]] = {}

    def record(self, register: str, accepted: ProposalNumber, digest: Digest) -> None:
        """Records the digest of a value that has become durable."""
        by_number = dict(self.retained.get(register, {}))
        by_number[accepted] = digest
        while len(by_number) > MAX_RETAINED_DIGESTS:
            del by_number[next(iter(by_number))]
        # The map is replaced and not modified, because the main thread may be reading it.
        self.retained[register] = by_number
        self.newest[register] = (accepted, digest)

    def differs(self, register: str, accepted: ProposalNumber, digest: Digest) -> bool:
        """Returns whether another digest is retained for this register under the same proposal number."""
        return self.retained.get(register, {}).get(accepted, digest) != digest


class Divergence(NamedTuple):
    """A register for which a majority of the voters holds other content under the same proposal number.

    peers: the addresses of these voters, sorted.
    """

    register: str
    accepted: ProposalNumber
    peers: list[str]


class ContentComparison:
    """Compares the digests that the other controllers sent with those of this controller.

    own: the digests of this controller. by_peer: the newest digests of each peer, by peer and register.
    """

    def __init__(self, own: StoredDigests) -> None:
        self.own = own
        self.by_peer: dict[str, dict[str, tuple[ProposalNumber, Digest]]] = {}

    def record(self, peer: str, digests: Mapping[str, tuple[ProposalNumber, Digest]]) -> None:
        """Replaces the digests of a peer. `digests` holds those of all its registers."""
        self.by_peer[peer] = dict(digests)

    def differing_registers(self, peer: str) -> list[str]:
        """Returns the registers for which a peer and this controller hold different content.

        Only digests under a proposal number that is retained here are compared.
        """
        received = self.by_peer.get(peer, {})
        return [
            name for name, (accepted, digest) in received.items() if self.own.differs(name, accepted, digest)
        ]

    def differs_from(self, peer: str) -> bool:
        """Returns whether the content of a peer differs from the content of this controller."""
        return bool(self.differing_registers(peer))

    def divergence(self, voters: dict[str, str]) -> Divergence | None:
        """Returns a register whose content changed on this controller, None where there is none.

        The content changed here if a majority of the voters agrees on other content under the same number.

        voters: the disk name of each voter by address, from the newest voter set that is known here.
        """
        for register, (accepted, digest) in self.own.newest.items():
            peers_by_digest: dict[Digest, list[str]] = {}  # peers whose digest differs from this controller's
            for peer, received in self.by_peer.items():
                number, peer_digest = received.get(register, (None, digest))
                if peer in voters and number == accepted and peer_digest != digest:
                    peers_by_digest.setdefault(peer_digest, []).append(peer)
            for agreeing_peers in peers_by_digest.values():
                if len(agreeing_peers) >= majority_size(voters):
                    return Divergence(register, accepted, sorted(agreeing_peers))
        return None
