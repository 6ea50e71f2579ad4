"""Quarantine of a damaged database.

The files of the database are moved to a separate folder, and the controller starts with an empty database.

A start with an empty database is as safe as a start after the loss of a disk. The empty database gets a new
disk name, so its controller is a new member without a vote (`consensus/epochs.py`). The promises in the
damaged database bind only the old member.

A controller that has ever quarantined a database takes no part in founding a voter set, because its setting
`FirstBoot` may still be true while other controllers hold acknowledged values.

Invariant: a database that was found damaged is never opened again, even if the power is cut at any moment. A
marker file is synced before the first file is moved, and it is removed after the last file was moved.
"""

import os
from pathlib import Path

import logbook
from result import Err, Result

from .storage import Storage, sync_folder
from .storage_errors import StorageDamagedError, StorageError
from .storage_reader import StoredState
from .storage_schema import DATABASE_FILE

MARKER_FILE = f"{DATABASE_FILE}.damaged"  # holds the reason of the quarantine
QUARANTINE_FOLDER_PREFIX = "damaged-"  # followed by a number that increases with each quarantine
MAX_QUARANTINE_FOLDERS = 3  # a further quarantine removes the oldest folder
FILE_ENDINGS = ("", "-wal", "-journal", "-shm")  # of the files that SQLite creates for a database


def quarantine_folders(folder: str) -> list[Path]:
    """Returns the quarantine folders in a data folder, oldest first."""
    candidates = (path for path in Path(folder).glob(f"{QUARANTINE_FOLDER_PREFIX}*") if path.is_dir())
    return sorted((path for path in candidates if folder_number(path) > 0), key=folder_number)


def folder_number(quarantine_folder: Path) -> int:
    """Returns the number in the name of a quarantine folder, 0 if the name has none."""
    digits = quarantine_folder.name.removeprefix(QUARANTINE_FOLDER_PREFIX)
    return int(digits) if digits.isdecimal() else 0


def mark_damaged(folder: str, reason: str) -> None:
    """Marks the database in a data folder as damaged. The next start quarantines it. Raises OSError."""
    marker = Path(folder) / MARKER_FILE
    with marker.open("w", encoding="utf-8") as file:
        file.write(reason)
        file.flush()
        os.fsync(file.fileno())
    sync_folder(marker.parent)


def marked_reason(folder: str) -> str | None:
    """Returns why the database in a data folder is marked as damaged, None where it is not marked."""
    marker = Path(folder) / MARKER_FILE
    return marker.read_text(encoding="utf-8", errors="replace") if marker.exists() else None


def move_to_quarantine(folder: str) -> Path:
    """Moves a marked database to a quarantine folder and removes the marker.

    Continues a quarantine that a power cut interrupted. Returns the quarantine folder. Raises OSError.
    """
    data_folder, quarantined = Path(folder), quarantine_folders(folder)
    is_interrupted = quarantined and not (quarantined[-1] / DATABASE_FILE).exists()
    target = (
        quarantined[-1]
        if is_interrupted
        else data_folder / f"{QUARANTINE_FOLDER_PREFIX}{next_folder_number(quarantined)}"
    )
    target.mkdir(exist_ok=True)
    # The database itself is moved last, so a quarantine folder that contains it is complete.
    for ending in FILE_ENDINGS[::-1]:
        if (data_folder / (DATABASE_FILE + ending)).exists():
            os.replace(data_folder / (DATABASE_FILE + ending), target / (DATABASE_FILE + ending))
    sync_folder(target)
    sync_folder(data_folder)
    (data_folder / MARKER_FILE).unlink()
    sync_folder(data_folder)
    for oldest in quarantined[: max(0, len(quarantined) + (not is_interrupted) - MAX_QUARANTINE_FOLDERS)]:
        remove_quarantine_folder(oldest)
    return target


def next_folder_number(quarantined: list[Path]) -> int:
    """Returns the number for a new quarantine folder, given the existing folders in their order."""
    return folder_number(quarantined[-1]) + 1 if quarantined else 1


def remove_quarantine_folder(quarantine_folder: Path) -> None:
    """Removes a quarantine folder with the files of its database. Raises OSError if it holds other files."""
    for ending in FILE_ENDINGS:
        (quarantine_folder / (DATABASE_FILE + ending)).unlink(missing_ok=True)
    quarantine_folder.rmdir()


def open_or_quarantine(storage: Storage, log: logbook.Logger) -> Result[StoredState, StorageError]:
    """Opens a controller's database and returns its content.

    A database that is marked as damaged, or turns out to be damaged, is quarantined and replaced by an empty
    one. Returns a StorageError if the database cannot be used or the quarantine fails.
    """
    try:
        if (reason := marked_reason(storage.folder)) is not None:
            quarantine(storage, reason, log)
        opened = storage.open()
        if isinstance(opened, Err) and isinstance(opened.err_value, StorageDamagedError):
            reason = str(opened.err_value)
            mark_damaged(storage.folder, reason)
            quarantine(storage, reason, log)
            opened = storage.open()
        storage.has_quarantined_database = bool(quarantine_folders(storage.folder))
    except OSError as error:
        return Err(StorageError(storage.path, error))
    return opened


def quarantine(storage: Storage, reason: str, log: logbook.Logger) -> None:
    """Moves a marked database to a quarantine folder and logs the reason and the folder. Raises OSError."""
    quarantine_folder = move_to_quarantine(storage.folder)
    log.error("storage damaged", step="open", problem=reason, kept=str(quarantine_folder))
