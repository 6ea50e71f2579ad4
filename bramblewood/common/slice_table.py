"""The form of a table, as archives agree on it and desks follow it.

{"n": version, "s": {service: {first key: entry}}}. A slice spans from its first key to the next slice's;
its entry is a list: worker, second worker, the second's share, fence, handover, old holder, and, only where
a crowded record has any, its readers: by worker, the version that made it one, or less the version that
made it none. Keyed services use the keys of the requests, others a hash of their ids. An entry with an old
holder has no holder yet.
"""

WORKER, SECOND, SECOND_SHARE, FENCING_TOKEN, HANDOVER, PREVIOUS_OWNER = range(6)
READERS = 6
# steps of a worker in a drain plan, as they are stored and sent
DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS, DRAINED, OUT_OF_SERVICE = "told", "closing", "closed", "out"
UNASSIGNED = ["", "", 0.0, 0, "", ""]
KEY_SPACE_SIZE = 65536
KEYS_PER_RANGE = 8  # keys that a count of heat covers: the finest that a slice is split to


def all_readers(entry: list) -> dict[str, int]:
    """All workers that may hold read copies of this record, those too that are readers no more."""
    return entry[READERS] if len(entry) > READERS else {}


def active_readers(entry: list) -> list[str]:
    """The workers that lookups of this record may go to, beside its own."""
    return [instance_id for instance_id, number in all_readers(entry).items() if number > 0]


def with_readers(entry: list, readers: list[str], number: int) -> list:
    """The entry with just these readers; those that are new are so since version `number`.

    One that is a reader no more stays there, as such, until its last lease has run out: an effect must
    still be kept from being answered while its copy can be read.
    """
    told = {
        instance_id: since if since < 0 or instance_id in readers else -number
        for instance_id, since in all_readers(entry).items()
    }
    told |= {instance_id: number for instance_id in readers if instance_id not in told}
    return [*entry[:READERS], *([told] if told else [])]


def sorted_starts(entries: dict) -> list[int]:
    return sorted(map(int, entries))
