"""Writes the rows of a controller's database and computes the checksums that match the new content.

Each function runs within a transaction of its caller. The `database` is an open database with the interface
of `sqlite3.Connection`.
"""

from collections.abc import Iterable
from typing import Any

from .row_encoding import DELETE, PUT, RowOperation, descendant_range, to_json
from .storage_checksums import (
    RowSetSum,
    StoredChecksums,
    fact_checksum,
    part_checksum,
    register_checksum,
    totals_checksum,
)
from .storage_schema import (
    DELETE_DESCENDANT_PARTS,
    DELETE_FACT,
    DELETE_PART,
    PUT_FACT,
    PUT_PART,
    PUT_REGISTER,
    PUT_TOTALS,
)


def write_register(database: Any, name: str, proposal_numbers: tuple[str, str], part_sum: RowSetSum) -> None:
    """Writes the row of a register in `registers`.

    proposal_numbers: the promised and the accepted number, as JSON text. part_sum: the sum over the parts of
    the register's value.
    """
    database.execute(
        PUT_REGISTER,
        (name, *proposal_numbers, *part_sum, register_checksum(name, *proposal_numbers, part_sum)),
    )


def write_totals(database: Any, checksums: StoredChecksums) -> None:
    """Writes the row of `totals`, by which a reader detects missing and surplus rows."""
    totals = checksums.totals()
    database.execute(PUT_TOTALS, (*totals, totals_checksum(totals)))


def write_fact(database: Any, name: str, value: Any, checksums: dict[str, int]) -> None:
    """Writes a fact, or deletes it where the value is None.

    checksums: the checksums of all facts, by name; the function updates them.
    """
    if value is None:
        database.execute(DELETE_FACT, (name,))
        checksums.pop(name, None)
        return
    text = to_json(value)
    checksums[name] = fact_checksum(name, text)
    database.execute(PUT_FACT, (name, text, checksums[name]))


def write_parts(
    database: Any, register: str, operations: Iterable[RowOperation], part_sum: RowSetSum
) -> RowSetSum:
    """Applies operations to the parts of a register's value.

    part_sum: the sum over the parts before the operations. Returns the sum over the parts after them.
    """
    for operation in operations:
        if operation.kind == PUT:
            part_sum = put_part(database, register, operation, part_sum)
        else:
            part_sum = delete_parts(database, register, operation, part_sum)
    return part_sum


def put_part(database: Any, register: str, operation: RowOperation, part_sum: RowSetSum) -> RowSetSum:
    """Writes one part. Returns the sum over all parts of the register after the write."""
    path, replaced = operation.path, operation.replaced
    checksum = part_checksum(register, path, operation.text)
    database.execute(PUT_PART, (register, path, operation.text, checksum))
    return part_sum.with_row(checksum, None if replaced is None else part_checksum(register, path, replaced))


def delete_parts(database: Any, register: str, operation: RowOperation, part_sum: RowSetSum) -> RowSetSum:
    """Deletes the parts below a path, and for a DELETE also the part at the path itself.

    Returns the sum over the remaining parts of the register.
    """
    removed = list(database.execute(DELETE_DESCENDANT_PARTS, (register, *descendant_range(operation.path))))
    if operation.kind == DELETE:
        removed += database.execute(DELETE_PART, (register, operation.path))
    return part_sum.without_rows(len(removed), sum(checksum for (checksum,) in removed))
