"""Why a controller's database can't be used."""

import sqlite3

from ..common.errors import BramblewoodError

# sqlite's primary result codes that speak of the disk or the process, not of what the file holds
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
# what reading a damaged database may raise
READ_ERRORS = (sqlite3.Error, ValueError, TypeError, LookupError, RecursionError)
CORRUPTION_CODES = frozenset({sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB})
PRIMARY_CODE_MASK = 0xFF  # sqlite's extended result codes hold the primary one in their lowest byte


class StorageError(BramblewoodError):
    """A database that can't be opened; the text names the file."""

    step = "open"

    def __init__(self, path: str, problem: object) -> None:
        super().__init__(problem)
        self.path = path

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}"


class StorageDamagedError(StorageError):
    """A database whose content is not what was written: it must not be gone on from."""


def primary_code(problem: Exception) -> int | None:
    """Sqlite's primary result code of an error, None where the error is not of sqlite's own."""
    code = getattr(problem, "sqlite_errorcode", None)
    return None if code is None else code & PRIMARY_CODE_MASK


def means_damage(problem: Exception) -> bool:
    """Whether an error while a database is read says that its content is damaged, and not that the disk
    doesn't answer.
    """
    if isinstance(problem, (OSError, MemoryError)):
        return False
    return primary_code(problem) not in NOT_DAMAGE_CODES


def is_corruption(problem: Exception) -> bool:
    """Whether an error while a database is written says that the file is damaged."""
    return primary_code(problem) in CORRUPTION_CODES
