"""Messages that controllers send each other."""

from typing import Any, NamedTuple

from . import kinds
from .fields import Fields, is_integer, is_list, is_proposal_number
from .greetings import Registrations, Versions


class ControllerHeartbeat(NamedTuple):
    """What a controller tells each other controller several times a second.

    Proposal numbers are tuples here and lists on the wire.
    """

    sent_at: float
    is_voting: bool  # an active voter of its epoch, on disk too
    is_current: bool  # it has fresh contact with a quorum and its disk answers
    accepted: dict[str, tuple]  # newest accepted proposal number, by register
    durable: dict[str, tuple]  # the same, safe on its disk
    epoch: int
    disk: str
    versions: Versions  # what it knows to be chosen
    is_leaving: bool
    echo: float  # `sent_at` of the newest heartbeat it had from the receiver; negative for none
    bound: dict[str, Any] | None = None  # what the receiver has promised, as heard by the sender
    # what changes seldom is left out where it was sent on this connection before
    members: Any = None
    zone: str | None = None
    counted: bool | None = None  # whether the loss of its zone is to be borne
    controllers: list[str] | None = None
    proxies: list[str] | None = None  # names of those connected to the sender
    worker_ages: dict[str, float] | None = None  # s since workers were heard, of the last ones
    # by register: the proposal number of what is safe on the sender's disk, and the digest of its content
    digests: dict[str, tuple[tuple, int]] | None = None
    disk_failing_for: float | None = None  # s that its disk has refused every write, or not answered

    @classmethod
    def from_wire(cls, message: dict) -> "ControllerHeartbeat":
        """Read the form on the wire."""
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
        )

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        made = {
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
            ("bound", self.bound),
            ("members", self.members),
            ("zone", self.zone),
            ("counted", self.counted),
            ("archives", self.controllers),
            ("desks", self.proxies),
            ("heard", self.worker_ages),
            ("sums", self.digests),
            ("nodisk", self.disk_failing_for),
        ):
            if value is not None:
                made[key] = value
        return made


def is_digest_row(row: Any) -> bool:
    """Whether this is a proposal number with a digest."""
    return is_list(row) and len(row) == 2 and is_proposal_number(row[0]) and is_integer(row[1])


def digests_from_wire(fields: Fields) -> dict[str, tuple[tuple, int]] | None:
    """Digests by register; None where a heartbeat has none, as those of earlier releases."""
    rows = fields.map_of("sums", is_digest_row, "proposal numbers with digests", None)
    return rows and {register: (tuple(number), digest) for register, (number, digest) in rows.items()}


class RegistryAcknowledgement(NamedTuple):
    """A controller holds the registrations that it was sent, or newer ones."""

    request_id: int
    newer: Registrations  # of workers that leave, where the sender knows more
    epoch: int  # in which it was an active voter as it said so; -1 for none

    @classmethod
    def from_wire(cls, message: dict) -> "RegistryAcknowledgement":
        """Read the form on the wire."""
        fields = Fields(message)
        return cls(fields.integer("id"), fields.rows("rows"), fields.integer("epoch"))

    def to_wire(self) -> dict[str, Any]:
        """The form on the wire."""
        return {
            "k": kinds.REGISTRY_ACKNOWLEDGEMENT,
            "id": self.request_id,
            "rows": self.newer,
            "epoch": self.epoch,
        }
