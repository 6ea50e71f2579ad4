"""Two small structures over the hashes of a table's keys: a filter and a sketch of how many differ. Pure."""

import heapq
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest as hash_of  # 64 bits of a key; stored, so the function never changes

BITS = 10  # of a filter for each key; with four probes about one absent key in 80 is taken for present
PROBES = 4
KEPT = 256  # smallest hashes kept by a sketch; its estimate is off by a sixteenth, one time in three
SPAN = 1 << 64

__all__ = ["Filter", "Sketch", "distinct", "hash_of"]


class Filter:
    """A Bloom filter over the two halves of a hash; `in` may be wrong for absent keys only."""

    def __init__(self, data: bytearray) -> None:
        self.data, self.bits = data, 8 * len(data)

    @classmethod
    def sized(cls, keys: int) -> "Filter":
        return cls(bytearray(max(keys * BITS + 7, 64) // 8))

    def add(self, hashed: int) -> None:
        data, bits, low, high = self.data, self.bits, hashed & 0xFFFFFFFF, hashed >> 32 | 1
        for _ in range(PROBES):
            bit = low % bits
            data[bit >> 3] |= 1 << (bit & 7)
            low += high

    def __contains__(self, hashed: int) -> bool:
        data, bits, low, high = self.data, self.bits, hashed & 0xFFFFFFFF, hashed >> 32 | 1
        for _ in range(PROBES):
            bit = low % bits
            if not data[bit >> 3] >> (bit & 7) & 1:
                return False
            low += high
        return True


class Sketch:
    """The smallest hashes of a set of keys (k minimum values); those of many sets add up to their union's."""

    def __init__(self) -> None:
        self.heap: list[int] = []  # negated, so that the largest kept one is at hand

    def add(self, hashed: int) -> None:
        heap = self.heap
        if len(heap) < KEPT:
            heapq.heappush(heap, -hashed)
        elif hashed < -heap[0]:
            heapq.heapreplace(heap, -hashed)

    def smallest(self) -> list[int]:
        return sorted(-negated for negated in self.heap)


def distinct(sketches: Iterable[Sequence[int]]) -> float:
    """How many different keys all these sets have together, by estimate; exact below KEPT."""
    merged = sorted({hashed for sketch in sketches for hashed in sketch})
    if len(merged) < KEPT:
        return float(len(merged))
    return (KEPT - 1) * SPAN / merged[KEPT - 1]
