"""SQLite on a simulated disk, through apsw, which can pass SQLite's file calls to Python code."""

import contextlib
import functools
import sqlite3
import uuid

import apsw

from tests.simulation.simulated_disk import SECTOR_SIZE, PowerCut


def raises_sqlite_error(method):
    """Decorates a file call of SQLite, so that a failure of the disk becomes an I/O error of SQLite."""

    @functools.wraps(method)
    def wrapper(*args):
        try:
            return method(*args)
        except (PowerCut, OSError):
            raise apsw.IOError from None

    return wrapper


class SqliteFile:
    """A file that SQLite has open. Each file call of SQLite is a call of the simulated disk."""

    def __init__(self, disk, name, create):
        self.disk, self.name, self.port = disk, name, disk.port()
        self.handle = self.port.open(name, create=create)
        self.file = self.port.handles[self.handle]
        # On Unix, SQLite's first sync of a new journal or log syncs the folder too (UNIXFILE_DIRSYNC).
        self.syncs_folder = create and name.endswith(("-journal", "-wal"))

    @raises_sqlite_error
    def xRead(self, amount, offset):
        return self.port.read(self.handle, offset, amount)

    @raises_sqlite_error
    def xWrite(self, data, offset):
        self.port.write(self.handle, offset, bytes(data))

    @raises_sqlite_error
    def xTruncate(self, size):
        self.port.truncate(self.handle, size)

    @raises_sqlite_error
    def xSync(self, flags):
        self.port.flush(self.handle)
        if self.disk.syncs_own_name:
            self.disk.durable_names[self.name] = self.file
            self.disk.unsynced_names = [
                change for change in self.disk.unsynced_names if self.name not in change[:2]
            ]
        elif self.syncs_folder:
            self.port.flush_folder()
            self.syncs_folder = False

    def xFileSize(self):
        return len(self.file.contents)

    def xClose(self):
        pass

    def xLock(self, level):
        pass

    def xUnlock(self, level):
        pass

    def xCheckReservedLock(self):
        return False

    def xFileControl(self, op, pointer):
        return False

    def xSectorSize(self):
        return SECTOR_SIZE

    def xDeviceCharacteristics(self):
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE  # SQLite assumes the same of files on Unix


class SimulatedVfs(apsw.VFS):
    """A file system of SQLite whose files are on a simulated disk."""

    def __init__(self, disk):
        self.disk, self.vfs_name = disk, f"disk-{uuid.uuid4().hex}"
        super().__init__(self.vfs_name, "")

    @raises_sqlite_error
    def xOpen(self, name, flags):
        name = name.filename() if isinstance(name, apsw.URIFilename) else name
        return SqliteFile(self.disk, name, name not in self.disk.names)

    @raises_sqlite_error
    def xDelete(self, name, sync):
        self.disk.port().remove(name)
        if sync:
            self.disk.port().flush_folder()

    def xAccess(self, name, flags):
        return name in self.disk.names

    def xFullPathname(self, name):
        return name


class ApswConnection:
    """An apsw connection with those methods of `sqlite3.Connection` that the storage uses."""

    def __init__(self, disk, path, replacements=()):
        """replacements: pairs of a text and its replacement, applied to each SQL statement before it runs."""
        self.disk, self.vfs, self.replacements = disk, SimulatedVfs(disk), replacements
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE
        self.database = self.call_sqlite(lambda: apsw.Connection(path, vfs=self.vfs.vfs_name, flags=flags))

    def call_sqlite(self, call):
        """Returns the result of a call of apsw.

        Raises PowerCut where the power was cut during the call, and sqlite3.OperationalError for other
        errors.
        """
        try:
            result = call()
        except (apsw.Error, OSError, PowerCut) as error:
            if self.disk.power_cut_at is not None and self.disk.call_count > self.disk.power_cut_at:
                raise PowerCut from None
            raise sqlite3.OperationalError(str(error)) from None
        if self.disk.power_cut_at is not None and self.disk.call_count > self.disk.power_cut_at:
            raise PowerCut
        return result

    def execute(self, sql, values=()):
        for original, replacement in self.replacements:
            sql = sql.replace(original, replacement)
        return Rows(self.call_sqlite(lambda: [*self.database.execute(sql, values)]))

    @property
    def in_transaction(self):
        return self.database.in_transaction

    def close(self):
        self.call_sqlite(self.database.close)

    def __del__(self):
        """Closes the connection. After a power cut this fails, and apsw would print the error."""
        with contextlib.suppress(apsw.Error, AttributeError):
            self.database.close(True)


class Rows(list):
    """The rows of a result, with the method of a cursor that the storage uses."""

    def fetchone(self):
        return self[0] if self else None
