"""The agreed table of slices: its format, its constants, and a typed form of its entries.

Controllers agree on the table, and proxies follow it. It has the form
`{"n": version, "s": {service: {first key: row}}}`. A slice contains the keys from its first key up to the
next slice's first key. The last slice extends to the end of the key space. The requests of a keyed service
state their keys. For other services the key is a hash of the request id.

On the wire and on disk a row is a list of the following values:

- the worker
- the second worker, or "" for none
- the second worker's share of the requests
- the fencing token
- the handover: data that the previous owner returned with its release, for the new owner
- the previous owner, or "" if the worker owns the keys. While there is a previous owner, the slice has no
  owner: the worker is granted the keys once the previous owner has released them.
- the readers, which are the workers with a read replica. Only a slice with a hot key has them. They map each
  instance id to the version of the table that made it a reader, or, once it is not a reader any more, to the
  negated version of the table that removed it.

`SliceEntry` decodes and encodes rows. The proxy reads rows by the index constants for each request, since
decoding a row costs more than the look-up itself.
"""

from typing import Any, NamedTuple

WORKER, SECOND_WORKER, SECOND_SHARE, FENCING_TOKEN, HANDOVER, PREVIOUS_OWNER = range(6)  # indexes in a row
READERS = 6  # index of the readers, in a row that has them
ROW_LENGTHS = (READERS, READERS + 1)
# the steps of a worker in a drain plan, as they are stored and sent
DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS, DRAINED, OUT_OF_SERVICE = "told", "closing", "closed", "out"
UNASSIGNED_ROW = ["", "", 0.0, 0, "", ""]  # the row of a slice that is not assigned to a worker
KEY_SPACE_SIZE = 65536
KEYS_PER_RANGE = 8  # keys in a range; requests are counted by range, except in ranges that are watched
NO_READERS: dict[str, int] = {}  # shared by all entries without readers, so it must not be modified

Row = list[Any]


class SliceEntry(NamedTuple):
    """One slice of a service, decoded from its row."""

    worker: str
    second_worker: str
    second_share: float
    fencing_token: int
    handover: str
    previous_owner: str  # has not released the keys yet; "" if the worker owns them
    readers: dict[str, int] = NO_READERS  # table version by instance id; negative for a removed reader

    @classmethod
    def decode(cls, row: Row) -> "SliceEntry":
        """Return the entry of a row. Raises TypeError if the row has another length."""
        return cls(*row)

    def encode(self) -> Row:
        """Return the row. A row without readers ends with the previous owner."""
        return [*self[:READERS], *([self.readers] if self.readers else [])]


def is_slice_row(value: Any) -> bool:
    """Return whether a value is a row of a slice. Only the values that a look-up uses are checked."""
    if not isinstance(value, (list, tuple)) or len(value) not in ROW_LENGTHS:
        return False
    worker, second, share, fencing_token, _, previous_owner, *readers = value
    return (
        type(worker) is type(second) is type(previous_owner) is str
        and type(share) in (int, float)
        and type(fencing_token) is int
        and all(isinstance(versions, dict) for versions in readers)
    )


def readers_with_versions(row: Row) -> dict[str, int]:
    """Return the table version by instance id of all readers, including the removed ones.

    Each of them may hold read replicas of the slice's keys.
    """
    return row[READERS] if len(row) > READERS else {}


def active_readers(row: Row) -> list[str]:
    """Return the instance ids of the readers that are not removed.

    Idempotent requests for the slice's keys may be sent to them as well as to the slice's worker.
    """
    return [instance_id for instance_id, version in readers_with_versions(row).items() if version > 0]


def with_readers(row: Row, readers: list[str], version: int) -> Row:
    """Return the row in which the workers in `readers` are readers, and all other readers are removed.

    `version` is the version of the table that contains the new row. It is recorded for each reader that is
    added or removed. The row still contains a removed reader, since its replica can be read until its last
    lease has expired, and responses to writes must wait for that. Such a reader stays removed even if
    `readers` contains it.
    """
    versions = {
        instance_id: recorded_version if recorded_version < 0 or instance_id in readers else -version
        for instance_id, recorded_version in readers_with_versions(row).items()
    }
    versions |= {instance_id: version for instance_id in readers if instance_id not in versions}
    return [*row[:READERS], *([versions] if versions else [])]


def sorted_first_keys(entries: dict[str, Row]) -> list[int]:
    """Return the first keys of a service's slices as integers, in ascending order."""
    return sorted(map(int, entries))
