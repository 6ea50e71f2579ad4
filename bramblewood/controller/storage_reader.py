"""Reads a controller's database of any schema version, and checks all of it.

Invariant: what `read_database` returns of a database of the newest version is what some commit left there,
byte for byte; where anything else lies there it raises RowsDamagedError or an error of sqlite.
"""

import functools
import json
import sqlite3
from typing import Any, NamedTuple

from ..common.errors import BramblewoodError
from .row_encoding import decode_rows
from .storage_checksums import (
    ContentSum,
    StoredChecksums,
    fact_checksum,
    part_checksum,
    register_checksum,
    totals_checksum,
)
from .storage_schema import CREATE_TABLES, NO_SCHEMA, SCHEMA_VERSION, SCHEMA_VERSION_1

ProposalNumber = tuple  # as `consensus` has it; that package is not loaded for commands that only read
RegisterState = tuple[ProposalNumber, ProposalNumber, Any]  # promised, accepted, value

LIST_SCHEMA = "select type, name, tbl_name, sql from sqlite_master"
READ_PARTS = "select register, path, value, checksum from parts order by id"


class RowsDamagedError(BramblewoodError, ValueError):
    """Rows on disk that are not as they were written."""

    step = "open"


class StoredState(NamedTuple):
    """All that lies in a database; checksums: None in a version that has none."""

    facts: dict[str, Any]
    registers: dict[str, RegisterState]
    checksums: StoredChecksums | None = None


def to_tuples(value: Any) -> Any:
    """A proposal number as it is compared: JSON knows lists only."""
    return tuple(map(to_tuples, value)) if isinstance(value, list) else value


def add_epoch(number: ProposalNumber) -> ProposalNumber:
    """A proposal number of schema version 1 as one of the first epoch; one that nobody cast (counter 0) is
    of none.
    """
    return (1 if number[0] else 0, *number)


def schema_version(database: Any) -> int:
    """The schema version of an open database, 0 of an empty one."""
    return database.execute("pragma user_version").fetchone()[0]


def find_file_faults(database: Any) -> list[str]:
    """What is wrong with the file itself: its pages, its tables and its indexes; a line each."""
    lines = [line for row in database.execute("pragma integrity_check") for line in row[0].splitlines()]
    return [line for line in lines if line != "ok" and not line.startswith("***")]


def read_database(database: Any) -> StoredState:
    """What lies there, in any schema version up to SCHEMA_VERSION.

    Raises RowsDamagedError or ValueError where rows are not as they were written, sqlite3.Error where the
    file can't be read.
    """
    version = schema_version(database)
    if version == NO_SCHEMA:
        require_no_rows(database)
        return StoredState({}, {})
    if version == SCHEMA_VERSION:
        return read_checked(database)
    if not 0 < version < SCHEMA_VERSION:
        raise RowsDamagedError(f"form {version}, and this program knows 1 to {SCHEMA_VERSION}")
    facts = {name: json.loads(value) for name, value in database.execute("select name, value from facts")}
    read = read_registers_1 if version == SCHEMA_VERSION_1 else read_registers_2
    return StoredState(facts, read(database))


def require_no_rows(database: Any) -> None:
    """A database without a version holds nothing: an empty file, or one whose making was cut off."""
    for kind, name, *_ in list(database.execute(LIST_SCHEMA)):
        if kind == "table" and database.execute(f'select 1 from "{name}" limit 1').fetchone():
            raise RowsDamagedError("rows, but no schema version")


def read_registers_1(database: Any) -> dict[str, RegisterState]:
    """The registers of schema version 1, their proposal numbers as of the first epoch."""
    registers = {}
    for name, *numbers, value in database.execute("select name, promised, accepted, value from registers"):
        promised, accepted = (add_epoch(to_tuples(json.loads(number))) for number in numbers)
        registers[name] = (promised, accepted, json.loads(value))
    return registers


def read_registers_2(database: Any) -> dict[str, RegisterState]:
    """The registers of schema version 2."""
    registers = {}
    for name, *numbers in database.execute("select name, promised, accepted from registers"):
        promised, accepted = (to_tuples(json.loads(number)) for number in numbers)
        parts = database.execute("select path, value from parts where register = ? order by id", (name,))
        registers[name] = (promised, accepted, decode_rows(parts))
    return registers


# --- the newest version


def read_checked(database: Any) -> StoredState:
    """What lies in a database of the newest version, each row and the number of rows checked."""
    require_schema(database)
    facts, fact_checksums = read_checked_facts(database)
    rows = read_checked_parts(database)
    registers = read_checked_registers(database, rows)
    checksums = StoredChecksums(fact_checksums, {name: rows[name].content_sum for name in registers})
    require_totals(database, checksums.totals())
    return StoredState(facts, registers, checksums)


@functools.cache
def expected_schema() -> frozenset[tuple]:
    """What sqlite lists of the tables of the newest version."""
    database = sqlite3.connect(":memory:")
    for statement in CREATE_TABLES:
        database.execute(statement)
    listed = frozenset(map(tuple, database.execute(LIST_SCHEMA)))
    database.close()
    return listed


def require_schema(database: Any) -> None:
    """The tables and indexes are those of the newest version, and no others."""
    listed = [tuple(row) for row in database.execute(LIST_SCHEMA)]
    if len(listed) != len(expected_schema()) or set(listed) != expected_schema():
        raise RowsDamagedError("the tables are not those of this form")


def read_checked_facts(database: Any) -> tuple[dict[str, Any], dict[str, int]]:
    """The facts and their checksums, by name."""
    facts, checksums = {}, {}
    for name, value, checksum in database.execute("select name, value, checksum from facts"):
        require(checksum == fact_checksum(name, value), "fact", name)
        facts[name], checksums[name] = json.loads(value), checksum
    return facts, checksums


class PartRows:
    """The rows of one register's parts, in their order, and their sum."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, str]] = []
        self.content_sum = ContentSum()


def read_checked_parts(database: Any) -> dict[str, PartRows]:
    """The parts of all registers, in one look at the whole table: no index is relied on."""
    found: dict[str, PartRows] = {}
    for register, path, value, checksum in database.execute(READ_PARTS):
        require(checksum == part_checksum(register, path, value), "part", register, path)
        part_rows = found.setdefault(register, PartRows())
        part_rows.rows.append((path, value))
        part_rows.content_sum = part_rows.content_sum.with_row(checksum)
    return found


def read_checked_registers(database: Any, parts: dict[str, PartRows]) -> dict[str, RegisterState]:
    """The registers by name. Raises RowsDamagedError where their parts are not all there."""
    registers = {}
    statement = "select name, promised, accepted, part_count, part_sum, checksum from registers"
    for name, *numbers, part_count, part_sum, checksum in database.execute(statement):
        content_sum = ContentSum(part_count, part_sum)
        require(checksum == register_checksum(name, *numbers, content_sum), "register", name)
        found = parts.get(name, PartRows())
        require(found.content_sum == content_sum, "number or content of the parts of", name)
        promised, accepted = (to_tuples(json.loads(number)) for number in numbers)
        registers[name] = (promised, accepted, decode_rows(found.rows))
    for name in parts:
        require(name in registers, "parts of an unknown register", name)
    return registers


def require_totals(database: Any, expected: ContentSum) -> None:
    """The row of totals is there, and says what was found."""
    rows = list(database.execute("select row_count, row_sum, checksum from totals"))
    require(len(rows) == 1, "totals")
    row_count, row_sum, checksum = rows[0]
    stored = ContentSum(row_count, row_sum)
    require(checksum == totals_checksum(stored) and stored == expected, "totals")


def require(is_sound: bool, *place: str) -> None:
    """Raise RowsDamagedError, naming the place, where something is not as it was written."""
    if not is_sound:
        raise RowsDamagedError(f"checksum does not fit: {' '.join(map(str, place))}")
