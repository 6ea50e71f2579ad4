"""Digests of the messages, disk writes and responses of a simulated run.

A simulation reports each of them with `record_event`. While a `Recorder` is active, it hashes these events in
their order. At all other times, `record_event` does nothing. Only values in their wire form are hashed. Two
versions of the program with the same behaviour therefore have equal digests, even if their classes,
attributes and functions have different names.

    PYTHONHASHSEED=0 python -m tests.simulation.digests    # print the digests of all recorded runs as JSON
"""

import contextlib
import dataclasses
import enum
import hashlib
import json
from collections.abc import Iterator, Mapping
from typing import Any

SCALARS = (str, int, float, bool, type(None))


def canonical(value: Any) -> Any:
    """Convert a value to JSON types, independent of class names, attribute names and hash order.

    An object with a `to_wire()` method is replaced by the result of that method. Tuples, named tuples and
    dataclasses become lists of their values in the order of their fields. Enumeration members become their
    values, bytes become {"bytes": hexadecimal digits}, and sets become {"set": members in the order of their
    JSON}. Keys of a mapping that are not strings become their JSON.

    Raises TypeError for anything else, so that no representation with a memory address is ever hashed.
    """
    if hasattr(value, "to_wire") and not isinstance(value, type):
        return canonical(value.to_wire())
    if isinstance(value, enum.Enum):
        return canonical(value.value)
    if isinstance(value, SCALARS):
        return value
    if isinstance(value, bytes | bytearray):
        return {"bytes": value.hex()}
    if isinstance(value, Mapping):
        return {
            key if isinstance(key, str) else canonical_json(key): canonical(item)
            for key, item in value.items()
        }
    if isinstance(value, set | frozenset):
        return {"set": sorted((canonical(item) for item in value), key=canonical_json)}
    if isinstance(value, list | tuple):
        return [canonical(item) for item in value]
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [canonical(getattr(value, field.name)) for field in dataclasses.fields(value)]
    raise TypeError(f"no canonical form of {type(value).__name__}")


def canonical_json(value: Any) -> str:
    """The canonical form of a value as JSON, with sorted keys and without spaces."""
    return json.dumps(canonical(value), sort_keys=True, separators=(",", ":"))


class Recorder:
    """Hashes the events of one run."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.count = 0

    def record(self, kind: str, *values: Any) -> None:
        self.hash.update(canonical_json([kind, *values]).encode() + b"\n")
        self.count += 1

    def result(self) -> dict[str, Any]:
        """The digest so far, as {"records": number of events, "sha256": hexadecimal digest}."""
        return {"records": self.count, "sha256": self.hash.hexdigest()}


active_recorders: list[Recorder] = []


def record_event(kind: str, *values: Any) -> None:
    """Pass an event to the active recorders, which hash the present state of its values at once."""
    for recorder in active_recorders:
        recorder.record(kind, *values)


@contextlib.contextmanager
def recording() -> Iterator[Recorder]:
    """Record the events that are reported while the context is open."""
    recorder = Recorder()
    active_recorders.append(recorder)
    try:
        yield recorder
    finally:
        active_recorders.remove(recorder)


if __name__ == "__main__":
    from tests.simulation.recorded_runs import main

    main()
