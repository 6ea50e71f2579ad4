"""Writes the rows of a controller's database, and reckons the checksums of what they leave there.

Each function runs within a transaction of its caller, on an open database in sqlite3's words.
"""

from collections.abc import Iterable
from typing import Any

from .row_encoding import DELETE, PUT, RowOperation, descendant_range, to_json
from .storage_checksums import (
    ContentSum,
    StoredChecksums,
    fact_checksum,
    part_checksum,
    register_checksum,
    totals_checksum,
)
from .storage_schema import (
    DELETE_FACT,
    DELETE_PART,
    DELETE_PARTS_BELOW,
    PUT_FACT,
    PUT_PART,
    PUT_REGISTER,
    PUT_TOTALS,
)


def write_register(database: Any, name: str, numbers: tuple[str, str], parts: ContentSum) -> None:
    """A register's own row; numbers: promised and accepted as JSON; parts: the sum over its value's rows."""
    database.execute(PUT_REGISTER, (name, *numbers, *parts, register_checksum(name, *numbers, parts)))


def write_totals(database: Any, checksums: StoredChecksums) -> None:
    """What says which rows there are."""
    totals = checksums.totals()
    database.execute(PUT_TOTALS, (*totals, totals_checksum(totals)))


def write_fact(database: Any, name: str, value: Any, checksums: dict[str, int]) -> None:
    """Put a fact, or remove it where its value is None; checksums: of all facts."""
    if value is None:
        database.execute(DELETE_FACT, (name,))
        checksums.pop(name, None)
        return
    text = to_json(value)
    checksums[name] = fact_checksum(name, text)
    database.execute(PUT_FACT, (name, text, checksums[name]))


def write_parts(
    database: Any, register: str, operations: Iterable[RowOperation], stored: ContentSum
) -> ContentSum:
    """Operations on the rows of a register's value.

    Returns the sum of all its rows, given the sum of those that are stored.
    """
    for operation in operations:
        if operation.kind == PUT:
            stored = put_part(database, register, operation, stored)
        else:
            stored = clear_parts(database, register, operation, stored)
    return stored


def put_part(database: Any, register: str, operation: RowOperation, stored: ContentSum) -> ContentSum:
    """Put one row. Returns the sum of all rows."""
    path, replaced = operation.path, operation.replaced
    checksum = part_checksum(register, path, operation.text)
    database.execute(PUT_PART, (register, path, operation.text, checksum))
    return stored.with_row(checksum, None if replaced is None else part_checksum(register, path, replaced))


def clear_parts(database: Any, register: str, operation: RowOperation, stored: ContentSum) -> ContentSum:
    """Remove the rows below a path, and the row there as `operation` says. Returns the sum of those left."""
    removed = list(database.execute(DELETE_PARTS_BELOW, (register, *descendant_range(operation.path))))
    if operation.kind == DELETE:
        removed += database.execute(DELETE_PART, (register, operation.path))
    return stored.without(len(removed), sum(checksum for (checksum,) in removed))
