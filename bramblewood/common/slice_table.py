"""The agreed table of slices: its form, its constants, and a typed view of one entry.

`{"n": version, "s": {service: {first key: row}}}`, as controllers agree on it and proxies follow it. A slice
spans from its first key to the next slice's first key, the last one to the end of the key space. Keyed
services use the keys of the requests, others a hash of their ids.

A row is a list, on the wire and on disk: worker, second worker, the second's share, fencing token, handover,
previous owner, and, only where a hot key has any, its readers: by worker the version of the table that made
it one, or that version negated once it is none. The handover is what the previous owner gave with its
release, for the new one. An entry with a previous owner has no owner yet: its worker is granted the keys once
that one has released them.

`SliceEntry` decodes and encodes rows. The proxy's path of each request reads rows by the index constants, as
decoding a row costs more than the look-up itself.
"""

from typing import Any, NamedTuple

WORKER, SECOND, SECOND_SHARE, FENCING_TOKEN, HANDOVER, PREVIOUS_OWNER = range(6)  # places in a row
READERS = 6  # place of the readers, where the row has any
ROW_LENGTHS = (READERS, READERS + 1)
# steps of a worker in a drain plan, as they are stored and sent
DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS, DRAINED, OUT_OF_SERVICE = "told", "closing", "closed", "out"
UNASSIGNED = ["", "", 0.0, 0, "", ""]  # the row of a slice that no worker has yet
KEY_SPACE_SIZE = 65536
KEYS_PER_RANGE = 8  # keys that a count of heat covers: the finest that a slice is split to
NO_READERS: dict[str, int] = {}  # never changed in place

Row = list[Any]


class SliceEntry(NamedTuple):
    """One slice of a service, decoded from its row."""

    worker: str
    second_worker: str
    second_share: float
    fencing_token: int
    handover: str
    previous_owner: str  # still to release the keys; "" where the worker owns them
    readers: dict[str, int] = (
        NO_READERS  # by worker: the version that made it one, negative for none any more
    )

    @classmethod
    def decode(cls, row: Row) -> "SliceEntry":
        """The entry of a row; the row itself is not kept."""
        return cls(*row)

    def encode(self) -> Row:
        """The row, without readers where there are none."""
        return [*self[:READERS], *([self.readers] if self.readers else [])]


def is_slice_row(value: Any) -> bool:
    """Whether this is the row of a slice, as far as a look-up relies on it."""
    if not isinstance(value, (list, tuple)) or len(value) not in ROW_LENGTHS:
        return False
    worker, second, share, fencing_token, _, previous_owner, *readers = value
    return (
        type(worker) is type(second) is type(previous_owner) is str
        and type(share) in (int, float)
        and type(fencing_token) is int
        and all(isinstance(by_worker, dict) for by_worker in readers)
    )


def all_readers(row: Row) -> dict[str, int]:
    """All workers that may hold read replicas of this record, those too that are readers no more."""
    return row[READERS] if len(row) > READERS else {}


def active_readers(row: Row) -> list[str]:
    """The workers that lookups of this record may go to, beside its own."""
    return [instance_id for instance_id, version in all_readers(row).items() if version > 0]


def with_readers(row: Row, readers: list[str], version: int) -> Row:
    """The row with just these readers; those that are new are so since this version of the table.

    One that is a reader no more stays there, as such, until its last lease has run out: an effect must
    still be kept from being answered while its replica can be read.
    """
    versions = {
        instance_id: since if since < 0 or instance_id in readers else -version
        for instance_id, since in all_readers(row).items()
    }
    versions |= {instance_id: version for instance_id in readers if instance_id not in versions}
    return [*row[:READERS], *([versions] if versions else [])]


def sorted_starts(entries: dict[str, Row]) -> list[int]:
    """The first keys of a service's slices, ascending."""
    return sorted(map(int, entries))
