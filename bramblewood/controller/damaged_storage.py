"""What becomes of a controller's database that is damaged: it is kept aside, and the controller goes on with
an empty one, as after the loss of its disk.

Safe, since an empty database has another disk name, which makes its controller a new member without a vote
(`consensus/epochs.py`): what the damaged one had promised binds nobody else. A controller that has ever kept
a database aside founds no voter set, as its `FirstBoot` may be true while others hold acknowledged values.

Invariant: a database that was found damaged is never opened again, whenever the power is cut: a marker file
is synced before the first file moves, and removed after the last one has.
"""

import os
from pathlib import Path

import logbook
from result import Err, Result

from .storage import Storage, sync_folder
from .storage_errors import StorageDamagedError, StorageError
from .storage_reader import StoredState
from .storage_schema import DATABASE_FILE

MARKER_FILE = f"{DATABASE_FILE}.damaged"  # holds the reason
KEPT_FOLDER_PREFIX = "damaged-"
MAX_KEPT_FOLDERS = 3  # the oldest goes with the next
FILE_ENDINGS = ("", "-wal", "-journal", "-shm")


def kept_folders(folder: str) -> list[Path]:
    """The folders of databases that were kept aside, oldest first."""
    found = (one for one in Path(folder).glob(f"{KEPT_FOLDER_PREFIX}*") if one.is_dir())
    return sorted((one for one in found if number_of(one) > 0), key=number_of)


def number_of(kept: Path) -> int:
    """The number in a kept folder's name; 0 where there is none."""
    digits = kept.name.removeprefix(KEPT_FOLDER_PREFIX)
    return int(digits) if digits.isdecimal() else 0


def mark_damaged(folder: str, reason: str) -> None:
    """Have the next start keep this folder's database aside. Raises OSError where the disk refuses it."""
    marker = Path(folder) / MARKER_FILE
    with marker.open("w", encoding="utf-8") as file:
        file.write(reason)
        file.flush()
        os.fsync(file.fileno())
    sync_folder(marker.parent)


def marked_reason(folder: str) -> str | None:
    """Why this folder's database is to be kept aside; None where it is not."""
    marker = Path(folder) / MARKER_FILE
    return marker.read_text(encoding="utf-8", errors="replace") if marker.exists() else None


def set_aside(folder: str) -> Path:
    """Move a marked database into a folder of its own, and remove the marker. Raises OSError."""
    home, kept = Path(folder), kept_folders(folder)
    unfinished = kept and not (kept[-1] / DATABASE_FILE).exists()
    target = kept[-1] if unfinished else home / f"{KEPT_FOLDER_PREFIX}{next_number(kept)}"
    target.mkdir(exist_ok=True)
    for ending in FILE_ENDINGS[::-1]:  # the database last: a folder that has it is complete
        if (home / (DATABASE_FILE + ending)).exists():
            os.replace(home / (DATABASE_FILE + ending), target / (DATABASE_FILE + ending))
    sync_folder(target)
    sync_folder(home)
    (home / MARKER_FILE).unlink()
    sync_folder(home)
    for old in kept[: max(0, len(kept) + (not unfinished) - MAX_KEPT_FOLDERS)]:
        remove_kept(old)
    return target


def next_number(kept: list[Path]) -> int:
    """The number of the next kept folder."""
    return number_of(kept[-1]) + 1 if kept else 1


def remove_kept(kept: Path) -> None:
    """Remove a kept folder and the files that belong there."""
    for ending in FILE_ENDINGS:
        (kept / (DATABASE_FILE + ending)).unlink(missing_ok=True)
    kept.rmdir()


def open_or_replace(storage: Storage, log: logbook.Logger) -> Result[StoredState, StorageError]:
    """Open a controller's database; where it is damaged keep it aside, and begin an empty one."""
    try:
        if (reason := marked_reason(storage.folder)) is not None:
            keep_aside(storage, reason, log)
        found = storage.open()
        if isinstance(found, Err) and isinstance(found.err_value, StorageDamagedError):
            reason = str(found.err_value)
            mark_damaged(storage.folder, reason)
            keep_aside(storage, reason, log)
            found = storage.open()
        storage.replaces_damaged = bool(kept_folders(storage.folder))
    except OSError as problem:
        return Err(StorageError(storage.path, problem))
    return found


def keep_aside(storage: Storage, reason: str, log: logbook.Logger) -> None:
    """Set a marked database aside, and say so in one line."""
    kept = set_aside(storage.folder)
    log.error("storage damaged", step="open", problem=reason, kept=str(kept))
