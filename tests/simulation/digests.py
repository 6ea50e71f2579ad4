"""Digests of what a simulation sends, stores and answers.

A simulation reports each message, disk write and answer with `record_event`. While a `Recorder` is active,
these reports are hashed in their order; at all other times `record_event` does nothing. Two versions of the
program that behave alike have equal digests, whatever their classes, attributes and functions are called:
only values in their wire form are hashed.

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
    """A value in terms of JSON only, independent of class names, attribute names and hash order.

    An object with a `to_wire()` method stands for what that returns. Tuples, named tuples and dataclasses are
    lists of their values in the order of their fields, enumeration members are their values, bytes are
    {"bytes": hexadecimal digits}, and sets are {"set": members in the order of their JSON}. Keys of a mapping
    that are not strings become their JSON. Raises TypeError for anything else, so that no representation with
    a memory address is ever hashed.
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
        return {key if isinstance(key, str) else text(key): canonical(one) for key, one in value.items()}
    if isinstance(value, set | frozenset):
        return {"set": sorted((canonical(one) for one in value), key=text)}
    if isinstance(value, list | tuple):
        return [canonical(one) for one in value]
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [canonical(getattr(value, field.name)) for field in dataclasses.fields(value)]
    raise TypeError(f"no canonical form of {type(value).__name__}")


def text(value: Any) -> str:
    """The one JSON text of a value's canonical form."""
    return json.dumps(canonical(value), sort_keys=True, separators=(",", ":"))


class Recorder:
    """Hashes the records of one run."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.count = 0

    def record(self, kind: str, *values: Any) -> None:
        self.hash.update(text([kind, *values]).encode() + b"\n")
        self.count += 1

    def result(self) -> dict[str, Any]:
        """{"records": how many, "sha256": their digest}."""
        return {"records": self.count, "sha256": self.hash.hexdigest()}


active: list[Recorder] = []


def record_event(kind: str, *values: Any) -> None:
    """Report a message, disk write or answer to the active recorders. Values are hashed as they are now."""
    for recorder in active:
        recorder.record(kind, *values)


@contextlib.contextmanager
def recording() -> Iterator[Recorder]:
    """Record what is noted meanwhile."""
    recorder = Recorder()
    active.append(recorder)
    try:
        yield recorder
    finally:
        active.remove(recorder)


if __name__ == "__main__":
    from tests.simulation.recorded_runs import main

    main()
