"""The messages that controllers send to each other."""

from typing import Any, NamedTuple

from . import kinds
from .fields import Fields, is_integer, is_list, is_proposal_number
from .greetings import Registrations, Versions


class ControllerHeartbeat(NamedTuple):
    """The state of a controller, which it sends to each other controller several times a second.

    Proposal numbers are tuples in the fields and lists on the wire. Only the first heartbeat on a connection
    contains `peer_commitments`, and only some contain `worker_ages`. `voter_set`, `zone`,
    `counts_for_tolerance`, `controllers`, `proxies` and `digests` are left out if they are unchanged since
    they were sent on the connection.
    """

    sent_at: float
    is_voting: bool  # whether the sender is an active voter of its epoch, and its disk holds that state
    is_current: bool  # whether the sender has quorum contact, its disk responds, and it is not shutting down
    accepted: dict[str, tuple]  # the newest accepted proposal number, by register
    durable: dict[str, tuple]  # the newest accepted proposal number on the sender's disk, by register
    epoch: int
    disk: str  # the name of the sender's disk
    versions: Versions  # the newest versions that the sender knows to be chosen
    is_leaving: bool  # whether the sender is shutting down
    echo: float  # `sent_at` of the newest heartbeat from the receiver to the sender; negative for none
    # by register the proposal number that the receiver is known to have promised or accepted, so that the
    # receiver can detect a rollback of its disk
    peer_commitments: dict[str, Any] | None = None
    voter_set: Any = None  # the set of voters
    zone: str | None = None
    # whether the loss of the sender's machine counts for `Tolerance`
    counts_for_tolerance: bool | None = None
    controllers: list[str] | None = None
    proxies: list[str] | None = None  # the names of the proxies that are connected to the sender
    # s since the last contact, by instance id, for workers with a recent contact
    worker_ages: dict[str, float] | None = None
    # the proposal number of the value on the sender's disk, and the digest of that value, by register
    digests: dict[str, tuple[tuple, int]] | None = None
    # s for which the sender's disk has refused each write or has stalled; None for a healthy disk
    disk_failing_for: float | None = None
    # whether the sender may send grants on the basis of an echo of this heartbeat; None in earlier releases
    sends_grants: bool | None = None
    # s since the sender knew of such a claim by any controller except the receiver; None in earlier releases
    claim_age: float | None = None

    @classmethod
    def from_wire(cls, message: dict) -> "ControllerHeartbeat":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(
            fields.number("t"),
            fields.flag("v"),
            fields.flag("w"),
            fields.proposal_numbers("acc"),
            fields.proposal_numbers("dur"),
            fields.integer("ep"),
            fields.text("disk"),
            fields.versions("ver"),
            fields.flag("leaving"),
            fields.number("e"),
            fields.map_of("bound", is_proposal_number, "proposal numbers", None),
            fields.mapping("members", None),
            fields.text("zone", None),
            fields.flag("counted", None),
            fields.texts("archives", None),
            fields.texts("desks", None),
            fields.ages("heard", None),
            digests_from_wire(fields),
            fields.number("nodisk", None),
            fields.flag("grants", None),
            fields.number("granted", None),
        )

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        wire_form = {
            "k": kinds.HEARTBEAT,
            "t": self.sent_at,
            "v": self.is_voting,
            "w": self.is_current,
            "acc": self.accepted,
            "dur": self.durable,
            "ep": self.epoch,
            "disk": self.disk,
            "ver": self.versions,
            "leaving": self.is_leaving,
            "e": self.echo,
        }
        for key, value in (
            ("bound", self.peer_commitments),
            ("members", self.voter_set),
            ("zone", self.zone),
            ("counted", self.counts_for_tolerance),
            ("archives", self.controllers),
            ("desks", self.proxies),
            ("heard", self.worker_ages),
            ("sums", self.digests),
            ("nodisk", self.disk_failing_for),
            ("grants", self.sends_grants),
            ("granted", self.claim_age),
        ):
            if value is not None:
                wire_form[key] = value
        return wire_form


def is_numbered_digest(value: Any) -> bool:
    """Return whether a value is a pair of a proposal number and a digest."""
    return is_list(value) and len(value) == 2 and is_proposal_number(value[0]) and is_integer(value[1])


def digests_from_wire(fields: Fields) -> dict[str, tuple[tuple, int]] | None:
    """Return the digests by register, or None if the heartbeat has none. Earlier releases send none."""
    rows = fields.map_of("sums", is_numbered_digest, "proposal numbers with digests", None)
    return rows and {register: (tuple(number), digest) for register, (number, digest) in rows.items()}


class RegistryAcknowledgement(NamedTuple):
    """The sender holds the registrations of a RegistryUpdate, or newer ones."""

    request_id: int  # of the RegistryUpdate
    newer: Registrations  # the sender's newer registrations of workers that are draining or gone
    epoch: int  # the epoch in which the sender was an active voter when it sent this; -1 for none

    @classmethod
    def from_wire(cls, message: dict) -> "RegistryAcknowledgement":
        """Decode a received message. Raises PeerMessageError if it is malformed."""
        fields = Fields(message)
        return cls(fields.integer("id"), fields.rows("rows"), fields.integer("epoch"))

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object of the message."""
        return {
            "k": kinds.REGISTRY_ACKNOWLEDGEMENT,
            "id": self.request_id,
            "rows": self.newer,
            "epoch": self.epoch,
        }
