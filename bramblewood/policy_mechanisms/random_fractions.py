"""A seeded sequence of numbers that is equal on all machines and in all versions of Python."""

import zlib


class RandomFractions:
    """The sequence of a seed: next(fractions) returns the next number from 0 up to 1."""

    def __init__(self, seed: int) -> None:
        self.seed, self.count = seed, 0

    def __next__(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32
