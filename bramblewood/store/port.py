"""The one place where the store touches files: a narrow port over one flat folder."""

import errno
import fcntl
import os
from typing import Protocol

LOCK = "lock"  # file that one process at a time holds; the system lets go of it when that process ends
MODE = 0o640  # of new files: readers of the group may make copies


class Port(Protocol):
    """What the store asks of a folder. Every call may raise OSError; names are plain, without a path."""

    def names(self) -> list[str]: ...
    def open(self, name: str, create: bool = False) -> int: ...
    def size(self, handle: int) -> int: ...
    def read(self, handle: int, offset: int, size: int) -> bytes: ...
    def write(self, handle: int, offset: int, data: bytes) -> None: ...
    def flush(self, handle: int) -> None: ...
    def flush_folder(self) -> None: ...
    def close(self, handle: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def lock(self) -> bool: ...
    def release(self) -> None: ...


class Folder:
    """The port on a real folder, made where it is missing unless it is only to be read."""

    def __init__(self, path: str, only_read: bool = False) -> None:
        self.path, self.only_read, self.locked = path, only_read, None
        if not only_read:
            os.makedirs(path, exist_ok=True)
        self.folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name != LOCK)

    def open(self, name: str, create: bool = False) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL if create else os.O_RDONLY if self.only_read else os.O_RDWR
        return os.open(name, flags | os.O_CLOEXEC, MODE, dir_fd=self.folder)

    def size(self, handle: int) -> int:
        return os.fstat(handle).st_size

    def read(self, handle: int, offset: int, size: int) -> bytes:
        return os.pread(handle, size, offset)

    def write(self, handle: int, offset: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            count = os.pwrite(handle, left, offset)
            left, offset = left[count:], offset + count

    def flush(self, handle: int) -> None:
        os.fdatasync(handle)

    def flush_folder(self) -> None:
        os.fsync(self.folder)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self.folder, dst_dir_fd=self.folder)

    def remove(self, name: str) -> None:
        os.unlink(name, dir_fd=self.folder)

    def lock(self) -> bool:
        """Whether this process alone may write the folder from here on."""
        handle = os.open(LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE, dir_fd=self.folder)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            os.close(handle)
            if problem.errno in (errno.EWOULDBLOCK, errno.EACCES):
                return False
            raise
        self.locked = handle
        return True

    def release(self) -> None:
        """Let go of the folder; a second call does nothing."""
        for handle in (self.locked, self.folder):
            if handle is not None:
                os.close(handle)
        self.locked = self.folder = None
