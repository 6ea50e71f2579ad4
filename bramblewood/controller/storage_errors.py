"""Errors of a controller's database, and the distinction between a damaged file and a failing disk."""

import sqlite3

from ..common.errors import BramblewoodError

# Primary result codes of SQLite that report a failure of the disk or of the process. Such an error says
# nothing about the content of the file.
NOT_DAMAGE_CODES = frozenset(
    {
        sqlite3.SQLITE_PERM,
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_LOCKED,
        sqlite3.SQLITE_NOMEM,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_PROTOCOL,
        sqlite3.SQLITE_INTERRUPT,
    }
)
# Exceptions that reading a damaged database can raise.
READ_ERRORS = (sqlite3.Error, ValueError, TypeError, LookupError, RecursionError)
# Primary result codes of SQLite that report a damaged file.
CORRUPTION_CODES = frozenset({sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB})
# An extended result code of SQLite holds the primary result code in its lowest byte.
PRIMARY_CODE_MASK = 0xFF


class StorageError(BramblewoodError):
    """A database cannot be opened. The text of the error starts with the path of the file."""

    step = "open"

    def __init__(self, path: str, problem: object) -> None:
        super().__init__(problem)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}"


class StorageDamagedError(StorageError):
    """The content of a database differs from what was written, so the controller must not use it."""


def primary_code(error: Exception) -> int | None:
    """Returns the primary result code of an error of SQLite, and None for every other error."""
    code = getattr(error, "sqlite_errorcode", None)
    return None if code is None else code & PRIMARY_CODE_MASK


def is_damage_on_read(error: Exception) -> bool:
    """Returns whether an error that was raised while a database was read reports damaged content.

    Returns False for a failure of the disk or of the process.
    """
    if isinstance(error, (OSError, MemoryError)):
        return False
    return primary_code(error) not in NOT_DAMAGE_CODES


def is_damage_on_write(error: Exception) -> bool:
    """Returns whether an error that was raised while a database was written reports a damaged file.

    Only SQLite's own corruption codes count: any other error may be caused by the disk or by the value.
    """
    return primary_code(error) in CORRUPTION_CODES
