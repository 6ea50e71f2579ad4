"""Encodes a JSON value as rows, so that a change of the value is a change of few rows.

This module does no input or output.

A row is a path and a text, both JSON. The path is the list of keys that lead to a part of the value, and the
text is that part. A map that is fewer than MAX_DEPTH keys deep has a row with the text `{}`, and a row for
each of its keys. Every other part is one row. The slices of a slice table, and the sections and past versions
of a configuration, therefore have a row each.

Invariant: the order of the rows is the order in which they were first written. A map precedes its parts, and
the keys of a map are in the order that `value_diff.apply_difference` gives them.
"""

import json
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, Literal, NamedTuple

from ..common.errors import BramblewoodError
from .value_diff import MISSING, PATCH_KEYS, REMOVE_KEYS, SET

ROOT_KEY = "value"
# `decode_rows` parses this number of rows with one call. One call for each row would be slow, and one call
# for all rows would need far more memory.
ROWS_PER_BATCH = 1000
# The path of a slice in a slice table has three keys: "s", the service and the first key of the slice. A part
# at this depth is the smallest unit that a change rewrites.
MAX_DEPTH = 3
ROOT_PATH = "[]"
ENCODER = json.JSONEncoder(separators=(",", ":"))
MAP_ROW = "{}"  # text of the row of a map whose keys have rows of their own

PUT, CLEAR, DELETE = "put", "clear", "delete"


class StoredRowError(BramblewoodError, ValueError):
    """Stored rows cannot be decoded to a value."""

    step = "open"


class RowOperation(NamedTuple):
    """A change of stored rows.

    PUT writes a row with this text at the path. CLEAR deletes the rows below the path. DELETE deletes the row
    at the path and the rows below it.

    replaced: the text of the row that a PUT overwrites, None where it adds a row.
    """

    kind: Literal["put", "clear", "delete"]
    path: str
    text: str = ""
    replaced: str | None = None


def to_json(value: Any) -> str:
    """Returns a value as compact JSON text, which is how the database stores it."""
    return ENCODER.encode(value)


def child_path(path: str, key: str) -> str:
    """Returns the path of a key of the map at `path`."""
    return f"{path[:-1]}{',' if path != ROOT_PATH else ''}{json.dumps(key)}]"


def descendant_range(path: str) -> tuple[str, str]:
    """Returns the lower and the upper bound, both exclusive, of the paths of all rows below `path`.

    The paths below a path continue with a comma, and those below the root path with a quotation mark. The
    characters that follow these two in code point order are the hyphen and the number sign.
    """
    return ('["', "[#") if path == ROOT_PATH else (f"{path[:-1]},", f"{path[:-1]}-")


def has_child_rows(value: Any, depth: int) -> bool:
    """Returns whether a value at this depth, in keys from the root, has a row for each of its keys."""
    return isinstance(value, dict) and depth < MAX_DEPTH


def row_text(value: Any, depth: int) -> str:
    """Returns the text of the row at a value's own path."""
    return MAP_ROW if has_child_rows(value, depth) else to_json(value)


def encode_rows(
    value: Any, path: str = ROOT_PATH, depth: int = 0, old: Any = MISSING
) -> Iterator[RowOperation]:
    """Yields a PUT for each row of a value at this path. No row may exist below the path.

    old: the value whose row is stored at the path, MISSING where no row is stored there.
    """
    replaced = None if old is MISSING else row_text(old, depth)
    yield RowOperation(PUT, path, row_text(value, depth), replaced)
    if has_child_rows(value, depth):
        for key, child in value.items():
            yield from encode_rows(child, child_path(path, key), depth + 1)


def row_operations(
    difference: dict[str, Any] | None, old: Any, value: Any, path: str = ROOT_PATH, depth: int = 0
) -> Iterator[RowOperation]:
    """Yields the row operations that turn the rows of `old` into the rows of `value`.

    difference: the difference between the two values (`value_diff.difference`). old: the value whose rows are
    stored, MISSING where none is. A row that is overwritten keeps its position in the order of the rows.
    """
    if difference is None:
        return
    if SET in difference:
        if has_child_rows(old, depth):
            yield RowOperation(CLEAR, path)
        yield from encode_rows(value, path, depth, old)
    elif depth == MAX_DEPTH:
        yield RowOperation(PUT, path, to_json(value), to_json(old))
    else:
        for key in difference.get(REMOVE_KEYS, ()):
            yield RowOperation(DELETE, child_path(path, key))
        for key, child_difference in difference[PATCH_KEYS].items():
            path_of_child = child_path(path, key)
            yield from row_operations(
                child_difference, old.get(key, MISSING), value[key], path_of_child, depth + 1
            )


def decode_rows(rows: Iterable[tuple[str, str]]) -> Any:
    """Returns the value that is encoded by rows of path and text, given in their stored order.

    Raises StoredRowError where the row of the root or of a parent map is missing. Raises ValueError where a
    path or a text is not JSON.
    """
    remaining = iter(rows)
    # The value is stored under ROOT_KEY of this map, so that `insert_part` can treat the root like any other
    # part.
    root: dict[str, Any] = {}
    while batch := list(islice(remaining, ROWS_PER_BATCH)):
        paths, parts = (json.loads(f"[{','.join(texts)}]") for texts in zip(*batch, strict=True))
        for path, part in zip(paths, parts, strict=True):
            insert_part(root, path, part)
    if ROOT_KEY not in root:
        raise StoredRowError("the row of the root value is missing")
    return root[ROOT_KEY]


def insert_part(root: dict[str, Any], path: list[str], part: Any) -> None:
    """Stores a part at its path below `root`. Raises StoredRowError if the parent is missing or not a map."""
    parent: Any = root
    last_key = ROOT_KEY
    try:
        for key in path:
            parent, last_key = parent[last_key], key
        parent[last_key] = part
    except (KeyError, TypeError, IndexError):
        raise StoredRowError(f"row {path} has no parent map") from None
