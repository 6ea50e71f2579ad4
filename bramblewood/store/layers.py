"""Layers of operations, newest first, read as one: what is held in memory, the sorted tables below. Pure."""

import heapq
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from .frames import Operation
from .table import Hole

RUN = 1000  # keys sorted or let go in one step of background work; a quarter of a millisecond


class Held:
    """Operations in memory: a dict, and its keys in order from when they are first asked for."""

    def __init__(self) -> None:
        self.operations: dict[bytes, Operation] = {}
        self.ordered: list[bytes] = []
        self.runs: list[list[bytes]] = []  # its keys, sorted in parts
        self.size = 0  # bytes told, replaced ones too
        self.pins = 0  # snapshots that read it

    def put(self, operations: Iterable[Operation], size: int) -> None:
        """size: bytes of the operations as they are written."""
        self.take({operation[0]: operation for operation in operations}, size)

    def take(self, last: dict[bytes, Operation], size: int) -> None:
        """The same, by key."""
        self.operations.update(last)
        self.size += size

    def get(self, key: bytes) -> Operation | None:
        return self.operations.get(key)

    def keys(self) -> list[bytes]:
        if len(self.ordered) != len(self.operations):  # keys are never taken out
            self.ordered = sorted(self.operations)
        return self.ordered

    def prepare(self) -> Iterator[None]:
        """Sort the keys of a layer that is written to no more, in steps: at once it takes too long."""
        keys, runs = list(self.operations), []
        yield None
        for at in range(0, len(keys), RUN):
            runs.append(sorted(keys[at : at + RUN]))
            yield None
        self.runs = runs

    def dissolve(self) -> Iterator[None]:
        """Let go of what nobody reads any more, in steps: freed at once, 50,000 operations take 8 ms."""
        self.ordered, self.runs = [], []
        yield None
        while self.operations and not self.pins:
            for _ in range(min(RUN, len(self.operations))):
                self.operations.popitem()
            yield None

    def scan(self, begin: bytes = b"", end: bytes | None = None) -> Iterator[Operation]:
        """As it stands at the call: a layer that is written to meanwhile is scanned by a copy of its keys."""
        runs = self.runs or [self.keys()]
        runs = [run[bisect_left(run, begin) :] for run in runs] if begin else runs
        for key in heapq.merge(*runs) if len(runs) > 1 else runs[0]:
            if end is not None and key >= end:
                return
            yield self.operations[key]


def merged(
    layers: Sequence[Any], begin: bytes = b"", end: bytes | None = None, holes: list[Hole] | None = None
) -> Iterator[Operation]:
    """Each key once, in order, as its newest layer has it, deletions included.

    A hole hides what older layers say of its keys: the newer value is unknown, and is never guessed. Holes
    that were met are added to `holes`.
    """
    hiding: list[tuple[int, Hole]] = []

    def entries(depth: int, layer: Any) -> Iterator[tuple[bytes, int, Any]]:
        for found in layer.scan(begin, end):
            yield (max(found.begin, begin) if isinstance(found, Hole) else found[0]), depth, found

    last = None
    for key, depth, found in heapq.merge(
        *(entries(depth, layer) for depth, layer in enumerate(layers)), key=lambda entry: entry[:2]
    ):
        if isinstance(found, Hole):
            hiding = [(d, hole) for d, hole in hiding if hole.end is None or hole.end > key]
            hiding.append((depth, found))
            if holes is not None:
                holes.append(found)
            continue
        if key == last:
            continue
        last = key
        if hiding and any(d < depth and hole.covers(key) for d, hole in hiding):
            continue
        yield found


def found_in(layers: Sequence[Any], key: bytes) -> Operation | Hole | None:
    """The newest operation on a key, the hole that hides it, or None."""
    for layer in layers:
        found = layer.get(key)
        if found is not None:
            return found
    return None
