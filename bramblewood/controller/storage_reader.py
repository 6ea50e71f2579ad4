"""Reads a controller's database of any schema version, and verifies the content of one of the newest version.

Invariant: for a database of the newest schema version, `read_database` returns exactly the content that one
commit stored. If the database holds anything else, it raises RowsDamagedError or an error of SQLite.
"""

import functools
import json
import sqlite3
from typing import Any, NamedTuple

from ..common.errors import BramblewoodError
from .row_encoding import decode_rows
from .storage_checksums import (
    RowSetSum,
    StoredChecksums,
    fact_checksum,
    part_checksum,
    register_checksum,
    totals_checksum,
)
from .storage_schema import CREATE_TABLES, NO_SCHEMA, SCHEMA_VERSION, SCHEMA_VERSION_1

# A proposal number (`consensus/proposal_number.py`) as a plain tuple. The package `consensus` is not imported
# here, because the commands that only read a database do not load it.
ProposalNumber = tuple
RegisterState = tuple[ProposalNumber, ProposalNumber, Any]  # promised, accepted, value

LIST_SCHEMA = "select type, name, tbl_name, sql from sqlite_master"
READ_PARTS = "select register, path, value, checksum from parts order by id"


class RowsDamagedError(BramblewoodError, ValueError):
    """The stored rows differ from the rows that were written."""

    step = "open"


class StoredState(NamedTuple):
    """The content of a database.

    facts: JSON values by name. registers: promised number, accepted number and value, by name. checksums:
    None for a schema version without checksums, and for an empty database.
    """

    facts: dict[str, Any]
    registers: dict[str, RegisterState]
    checksums: StoredChecksums | None = None


def to_tuples(value: Any) -> Any:
    """Returns a proposal number that was read from JSON with each list turned into a tuple.

    Proposal numbers are compared as tuples, and JSON has only lists.
    """
    return tuple(map(to_tuples, value)) if isinstance(value, list) else value


def add_epoch(number: ProposalNumber) -> ProposalNumber:
    """Returns a proposal number of schema version 1 with the epoch that later versions put first.

    The epoch is 1, or 0 for a number with the counter 0. No proposer has ever used such a number.
    """
    return (1 if number[0] else 0, *number)


def schema_version(database: Any) -> int:
    """Returns the schema version of an open database, 0 for an empty one."""
    return database.execute("pragma user_version").fetchone()[0]


def find_file_faults(database: Any) -> list[str]:
    """Returns the faults that SQLite finds in the pages, tables and indexes of the file, one line each."""
    # SQLite starts the heading above the faults of a database with "***".
    lines = [line for row in database.execute("pragma integrity_check") for line in row[0].splitlines()]
    return [line for line in lines if line != "ok" and not line.startswith("***")]


def read_database(database: Any) -> StoredState:
    """Returns the content of an open database of any schema version up to SCHEMA_VERSION.

    Raises RowsDamagedError or another of `storage_errors.READ_ERRORS` where the rows differ from what was
    written. Raises sqlite3.Error where SQLite cannot read the file.
    """
    version = schema_version(database)
    if version == NO_SCHEMA:
        require_no_rows(database)
        return StoredState({}, {})
    if version == SCHEMA_VERSION:
        return read_verified(database)
    if not 0 < version < SCHEMA_VERSION:
        raise RowsDamagedError(
            f"schema version {version} is unknown: this program reads versions 1 to {SCHEMA_VERSION}"
        )
    facts = {name: json.loads(value) for name, value in database.execute("select name, value from facts")}
    read_registers = (
        read_registers_of_version_1 if version == SCHEMA_VERSION_1 else read_registers_of_version_2
    )
    return StoredState(facts, read_registers(database))


def require_no_rows(database: Any) -> None:
    """Raises RowsDamagedError where a database without a schema version has rows.

    Without a schema version, the file is empty, or the creation of its tables was interrupted.
    """
    for kind, name, *_ in list(database.execute(LIST_SCHEMA)):
        if kind == "table" and database.execute(f'select 1 from "{name}" limit 1').fetchone():
            raise RowsDamagedError(f"the table {name} has rows, but the database has no schema version")


def read_registers_of_version_1(database: Any) -> dict[str, RegisterState]:
    """Returns the registers of schema version 1, with the epoch added to their proposal numbers."""
    registers = {}
    for name, *numbers, value in database.execute("select name, promised, accepted, value from registers"):
        promised, accepted = (add_epoch(to_tuples(json.loads(number))) for number in numbers)
        registers[name] = (promised, accepted, json.loads(value))
    return registers


def read_registers_of_version_2(database: Any) -> dict[str, RegisterState]:
    """Returns the registers of schema version 2."""
    registers = {}
    for name, *numbers in database.execute("select name, promised, accepted from registers"):
        promised, accepted = (to_tuples(json.loads(number)) for number in numbers)
        parts = database.execute("select path, value from parts where register = ? order by id", (name,))
        registers[name] = (promised, accepted, decode_rows(parts))
    return registers


# --- the newest schema version


def read_verified(database: Any) -> StoredState:
    """Returns the content of a database of the newest schema version.

    Raises RowsDamagedError where the tables, a row or the number of rows differs from what was written.
    """
    require_schema(database)
    facts, fact_checksums = read_verified_facts(database)
    parts = read_verified_parts(database)
    registers = read_verified_registers(database, parts)
    checksums = StoredChecksums(fact_checksums, {name: parts[name].row_sum for name in registers})
    require_totals(database, checksums.totals())
    return StoredState(facts, registers, checksums)


@functools.cache
def expected_schema() -> frozenset[tuple]:
    """Returns the rows of `sqlite_master` for the tables of the newest schema version."""
    database = sqlite3.connect(":memory:")
    for statement in CREATE_TABLES:
        database.execute(statement)
    schema = frozenset(map(tuple, database.execute(LIST_SCHEMA)))
    database.close()
    return schema


def require_schema(database: Any) -> None:
    """Raises RowsDamagedError unless the tables and indexes are those of the newest schema version."""
    schema = [tuple(row) for row in database.execute(LIST_SCHEMA)]
    if len(schema) != len(expected_schema()) or set(schema) != expected_schema():
        raise RowsDamagedError(f"the tables or indexes are not those of schema version {SCHEMA_VERSION}")


def read_verified_facts(database: Any) -> tuple[dict[str, Any], dict[str, int]]:
    """Returns the facts and their checksums, both by name. Raises RowsDamagedError for a changed row."""
    facts, checksums = {}, {}
    for name, value, checksum in database.execute("select name, value, checksum from facts"):
        require_match(checksum == fact_checksum(name, value), "fact", name)
        facts[name], checksums[name] = json.loads(value), checksum
    return facts, checksums


class RegisterParts:
    """The rows of the parts of one register, as path and text in stored order, and the sum over them."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, str]] = []
        self.row_sum = RowSetSum()


def read_verified_parts(database: Any) -> dict[str, RegisterParts]:
    """Returns the parts of all registers, by register. Raises RowsDamagedError for a changed row.

    The table is read as a whole and without its index, so a damaged index has no effect.
    """
    parts_by_register: dict[str, RegisterParts] = {}
    for register, path, value, checksum in database.execute(READ_PARTS):
        require_match(checksum == part_checksum(register, path, value), "part", register, path)
        parts = parts_by_register.setdefault(register, RegisterParts())
        parts.rows.append((path, value))
        parts.row_sum = parts.row_sum.with_row(checksum)
    return parts_by_register


def read_verified_registers(
    database: Any, parts_by_register: dict[str, RegisterParts]
) -> dict[str, RegisterState]:
    """Returns the registers by name.

    Raises RowsDamagedError for a changed row, for a register with missing or surplus parts, and for parts of
    a register that does not exist.
    """
    registers = {}
    statement = "select name, promised, accepted, part_count, part_sum, checksum from registers"
    for name, *numbers, part_count, part_sum, checksum in database.execute(statement):
        expected_sum = RowSetSum(part_count, part_sum)
        require_match(checksum == register_checksum(name, *numbers, expected_sum), "register", name)
        parts = parts_by_register.get(name, RegisterParts())
        require_match(parts.row_sum == expected_sum, "number or content of the parts of", name)
        promised, accepted = (to_tuples(json.loads(number)) for number in numbers)
        registers[name] = (promised, accepted, decode_rows(parts.rows))
    for name in parts_by_register:
        require_match(name in registers, "parts of an unknown register", name)
    return registers


def require_totals(database: Any, expected: RowSetSum) -> None:
    """Raises RowsDamagedError unless `totals` has exactly one row and that row holds the expected sum."""
    rows = list(database.execute("select row_count, row_sum, checksum from totals"))
    require_match(len(rows) == 1, "totals")
    row_count, row_sum, checksum = rows[0]
    stored = RowSetSum(row_count, row_sum)
    require_match(checksum == totals_checksum(stored) and stored == expected, "totals")


def require_match(is_match: bool, *location: str) -> None:
    """Raises RowsDamagedError with the location of the rows unless they match their checksum or row count."""
    if not is_match:
        raise RowsDamagedError(f"checksum or row count mismatch: {' '.join(map(str, location))}")
