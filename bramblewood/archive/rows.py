"""A JSON value as rows, so that a change of it is a change of few rows. Pure.

A row is a path and a text, both JSON: the keys that lead to a part, and the part. A map that is fewer than
DEPTH keys deep is a row {} with a row for each of its keys; all else is one row. So a table's slices, a
configuration's sections and its past versions have a row each. Rows are kept in the order in which they were
first made: a map comes before its parts, and the keys of a map in the order that `patched` gives them.
"""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from .patches import DROP, INTO, SET

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
        for key in change.get(DROP, ()):
            yield GONE, below(path, key), ""
        for key, inner in change[INTO].items():
            yield from steps(inner, value[key], below(path, key), deep + 1)


def value_of(found: Iterable[tuple[str, str]]) -> Any:
    """The value of all its rows, in their order. Raises ValueError where a row's map is missing."""
    found = list(found)
    paths = json.loads(f"[{','.join(path for path, _ in found)}]")
    parts = json.loads(f"[{','.join(part for _, part in found)}]")
    if not paths or paths[0]:
        raise ValueError("rows without a root")
    for path, part in zip(paths[1:], parts[1:], strict=True):
        place = parts[0]
        try:
            for key in path[:-1]:
                place = place[key]
            place[path[-1]] = part
        except (KeyError, TypeError, IndexError):
            raise ValueError(f"row {path} without its map") from None
    return parts[0]
