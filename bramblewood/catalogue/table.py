"""The form of a table, as archives agree on it and desks follow it.

{"n": version, "s": {service: {first key: entry}}}. A slice spans from its first key to the next slice's; its
entry is a list: worker, second worker, the second's share, fence, handover, old holder. Keyed services use
the keys of the requests, others a hash of their ids. An entry with an old holder has no holder yet.
"""

WORKER, SECOND, PART, FENCE, HANDOVER, OLD = range(6)
EMPTY = ["", "", 0.0, 0, "", ""]
KEYS = 65536
FINE = 8  # keys that a count of heat covers: the finest that a slice is split to


def starts_of(entries: dict) -> list[int]:
    return sorted(map(int, entries))
