"""A JSON value as rows, so that a change of it is a change of few rows. Pure.

A row is a path and a text, both JSON: the keys that lead to a part, and the part. A map that is fewer than
DEPTH keys deep is a row {} with a row for each of its keys; all else is one row. So a table's slices, a
configuration's sections and its past versions have a row each. Rows are kept in the order in which they were
first made: a map comes before its parts, and the keys of a map in the order that `patched` gives them.
"""

import json
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

from .value_diff import PATCH_KEYS, REMOVE_KEYS, SET

VALUE = "value"
AT_ONCE = 1000  # rows that are read in one go: far fewer calls than one by one, far less memory than all
DEPTH = 3  # keys to a slice of the table: "s", service, first key; one change is of so much at least
ROOT = "[]"

PUT, CLEAR, GONE = "put", "clear", "gone"
Step = tuple[str, str, str]  # PUT a row's text at a path; CLEAR what is below it; GONE: the row too


def text(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))


def below(path: str, key: str) -> str:
    return f"{path[:-1]}{',' if path != ROOT else ''}{json.dumps(key)}]"


def span(path: str) -> tuple[str, str]:
    """Texts between which lie the paths of all that is below this one: a path goes on with a comma, ROOT's
    with a quote, and a hyphen and a hash are the next characters after these.
    """
    return ('["', "[#") if path == ROOT else (f"{path[:-1]},", f"{path[:-1]}-")


def rows(value: Any, path: str = ROOT, deep: int = 0) -> Iterator[Step]:
    """All rows of a value that lies at this path."""
    if not isinstance(value, dict) or deep == DEPTH:
        yield PUT, path, text(value)
        return
    yield PUT, path, "{}"
    for key, inner in value.items():
        yield from rows(inner, below(path, key), deep + 1)


def steps(change: dict | None, value: Any, path: str = ROOT, deep: int = 0) -> Iterator[Step]:
    """What a difference (`patches.difference`) changes of the rows; value: what it leads to. A row that is
    put again keeps its place.
    """
    if change is None:
        return
    if SET in change:
        yield CLEAR, path, ""
        yield from rows(value, path, deep)
    elif deep == DEPTH:
        yield PUT, path, text(value)
    else:
        for key in change.get(REMOVE_KEYS, ()):
            yield GONE, below(path, key), ""
        for key, inner in change[PATCH_KEYS].items():
            yield from steps(inner, value[key], below(path, key), deep + 1)


def value_of(found: Iterable[tuple[str, str]]) -> Any:
    """The value of all its rows, in their order. Raises ValueError where a row's map is missing."""
    found, whole = iter(found), {}  # the value as the part of a map of its own, so that its row is as any
    while some := list(islice(found, AT_ONCE)):
        paths, parts = (json.loads(f"[{','.join(texts)}]") for texts in zip(*some, strict=True))
        for path, part in zip(paths, parts, strict=True):
            place, last = whole, VALUE
            try:
                for key in path:
                    place, last = place[last], key
                place[last] = part
            except (KeyError, TypeError, IndexError):
                raise ValueError(f"row {path} without its map") from None
    if VALUE not in whole:
        raise ValueError("no row of the value itself")
    return whole[VALUE]
