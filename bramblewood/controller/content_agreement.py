"""Whether controllers that hold the same version of a register hold the same content. Pure.

Two controllers that have accepted one proposal hold one value. Each tells the others the digest of what lies
on its disk, by the proposal's number (`storage_checksums.py`: the sum over the value's rows). Where digests
differ under one number, one of the two values was changed by something else than consensus: a damaged byte
that an older schema version could not notice, a copied disk, a fault of a program.

Invariant: nothing is decided together with a controller whose content differs: its messages of consensus are
dropped and it counts for no quorum contact, so the two never make up one majority. A controller that differs
from a majority of the voters is the one that changed, and begins anew as after the loss of its disk. Where no
majority agrees, nobody acts until more voters are heard.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .consensus.voter_set import majority

Number = tuple  # a proposal number
Digest = int
REMEMBERED_DIGESTS = 32  # of a register's newest durable values: peers are at most a few versions behind


class StoredDigests:
    """The digests of what this controller has safe on disk. Written by the storage's thread."""

    def __init__(self) -> None:
        self.newest: dict[str, tuple[Number, Digest]] = {}  # by register
        self.remembered: dict[str, dict[Number, Digest]] = {}  # by register and proposal number

    def record(self, register: str, accepted: Number, digest: Digest) -> None:
        """This value is safe on disk."""
        by_number = dict(self.remembered.get(register, {}))
        by_number[accepted] = digest
        while len(by_number) > REMEMBERED_DIGESTS:
            del by_number[next(iter(by_number))]
        self.remembered[register] = by_number  # replaced at once: the other thread may be looking
        self.newest[register] = (accepted, digest)

    def differs(self, register: str, accepted: Number, digest: Digest) -> bool:
        """Whether another content than this one is known here under the same number."""
        return self.remembered.get(register, {}).get(accepted, digest) != digest


class Divergence(NamedTuple):
    """A register of which a majority of the voters holds other content under the same proposal number."""

    register: str
    accepted: Number
    peers: list[str]


class ContentAgreement:
    """What the other controllers say of their content, beside our own."""

    def __init__(self, own: StoredDigests) -> None:
        self.own = own
        self.by_peer: dict[str, dict[str, tuple[Number, Digest]]] = {}  # the newest, by peer and register

    def record(self, peer: str, digests: Mapping[str, tuple[Number, Digest]]) -> None:
        """A peer's digests, of all of its registers."""
        self.by_peer[peer] = dict(digests)

    def differing_registers(self, peer: str) -> list[str]:
        """The registers of which this peer holds other content under a number that we know."""
        told = self.by_peer.get(peer, {})
        return [name for name, (accepted, digest) in told.items() if self.own.differs(name, accepted, digest)]

    def differs_from(self, peer: str) -> bool:
        """Whether this peer's content differs from ours."""
        return bool(self.differing_registers(peer))

    def divergence(self, voters: dict[str, str]) -> Divergence | None:
        """The register of which we, and not the others, hold changed content; None where there is none.

        voters: the disks by address of the newest voter set known here.
        """
        for register, (accepted, digest) in self.own.newest.items():
            peers: dict[Digest, list[str]] = {}  # by the other digest that they hold
            for peer, told in self.by_peer.items():
                number, other = told.get(register, (None, digest))
                if peer in voters and number == accepted and other != digest:
                    peers.setdefault(other, []).append(peer)
            for agreeing in peers.values():
                if len(agreeing) >= majority(voters):
                    return Divergence(register, accepted, sorted(agreeing))
        return None
