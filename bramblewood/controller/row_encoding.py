"""A JSON value as rows, so that a change of it is a change of few rows. Pure.

A row is a path and a text, both JSON: the keys that lead to a part, and the part. A map that is fewer than
MAX_DEPTH keys deep is a row {} with a row for each of its keys; all else is one row. So a table's slices, a
configuration's sections and its past versions have a row each. Rows are kept in the order in which they were
first made: a map comes before its parts, and the keys of a map in the order that `apply_difference` gives
them.
"""

import json
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, Literal, NamedTuple

from ..common.errors import BramblewoodError
from .value_diff import MISSING, PATCH_KEYS, REMOVE_KEYS, SET

VALUE = "value"
ROWS_PER_BATCH = 1000  # decoded in one go: far fewer calls than one by one, far less memory than all
MAX_DEPTH = 3  # keys to a slice of the table: "s", service, first key; one change is of so much at least
ROOT_PATH = "[]"
ENCODER = json.JSONEncoder(separators=(",", ":"))
MAP_ROW = "{}"  # text of the row of a map whose keys have rows of their own

PUT, CLEAR, DELETE = "put", "clear", "delete"


class StoredRowError(BramblewoodError, ValueError):
    """Rows on disk that form no value."""

    step = "open"


class RowOperation(NamedTuple):
    """PUT a row's text at a path; CLEAR the rows below a path; DELETE: the row at the path too.

    replaced: the text that a PUT takes the place of, None where no row is there.
    """

    kind: Literal["put", "clear", "delete"]
    path: str
    text: str = ""
    replaced: str | None = None


def to_json(value: Any) -> str:
    """The text of a row."""
    return ENCODER.encode(value)


def child_path(path: str, key: str) -> str:
    """The path of a key of the map at this path."""
    return f"{path[:-1]}{',' if path != ROOT_PATH else ''}{json.dumps(key)}]"


def descendant_range(path: str) -> tuple[str, str]:
    """Texts between which lie the paths of all that is below this one, both excluded.

    A path goes on with a comma, the root's with a quote, and a hyphen and a hash are the next characters
    after these.
    """
    return ('["', "[#") if path == ROOT_PATH else (f"{path[:-1]},", f"{path[:-1]}-")


def has_rows_below(value: Any, depth: int) -> bool:
    """Whether this value, so many keys deep, has a row for each of its keys."""
    return isinstance(value, dict) and depth < MAX_DEPTH


def row_text(value: Any, depth: int) -> str:
    """The text of the row at a value's own path."""
    return MAP_ROW if has_rows_below(value, depth) else to_json(value)


def encode_rows(
    value: Any, path: str = ROOT_PATH, depth: int = 0, old: Any = MISSING
) -> Iterator[RowOperation]:
    """All rows of a value that lies at this path, each to be put. Below the path there is no row; old: what
    lies at the path itself.
    """
    replaced = None if old is MISSING else row_text(old, depth)
    yield RowOperation(PUT, path, row_text(value, depth), replaced)
    if has_rows_below(value, depth):
        for key, inner in value.items():
            yield from encode_rows(inner, child_path(path, key), depth + 1)


def row_operations(
    difference: dict[str, Any] | None, old: Any, value: Any, path: str = ROOT_PATH, depth: int = 0
) -> Iterator[RowOperation]:
    """What a difference (`value_diff.difference`) changes of the rows; old: the value whose rows are there,
    MISSING for none; value: what the difference makes of it.

    A row that is put again keeps its place.
    """
    if difference is None:
        return
    if SET in difference:
        if has_rows_below(old, depth):
            yield RowOperation(CLEAR, path)
        yield from encode_rows(value, path, depth, old)
    elif depth == MAX_DEPTH:
        yield RowOperation(PUT, path, to_json(value), to_json(old))
    else:
        for key in difference.get(REMOVE_KEYS, ()):
            yield RowOperation(DELETE, child_path(path, key))
        for key, inner in difference[PATCH_KEYS].items():
            inner_path = child_path(path, key)
            yield from row_operations(inner, old.get(key, MISSING), value[key], inner_path, depth + 1)


def decode_rows(rows: Iterable[tuple[str, str]]) -> Any:
    """The value of all its rows, in their order. Raises StoredRowError where a row's map is missing."""
    remaining = iter(rows)
    root: dict[str, Any] = {}  # holds the value as its part VALUE, so that the value's row is as any other
    while batch := list(islice(remaining, ROWS_PER_BATCH)):
        paths, parts = (json.loads(f"[{','.join(texts)}]") for texts in zip(*batch, strict=True))
        for path, part in zip(paths, parts, strict=True):
            insert_part(root, path, part)
    if VALUE not in root:
        raise StoredRowError("no row of the value itself")
    return root[VALUE]


def insert_part(root: dict[str, Any], path: list[str], part: Any) -> None:
    """Put a part where its path leads. Raises StoredRowError where there is no map."""
    parent: Any = root
    last_key = VALUE
    try:
        for key in path:
            parent, last_key = parent[last_key], key
        parent[last_key] = part
    except (KeyError, TypeError, IndexError):
        raise StoredRowError(f"row {path} without its map") from None
