"""Sqlite itself, through apsw, whose file calls can be Python's, over a simulated disk."""

import contextlib
import functools
import sqlite3
import uuid

import apsw

from tests.simulation.simulated_disk import PowerCut


def as_sqlite_error(call):
    """What the disk raises, as sqlite knows it: after a power cut every call fails."""

    @functools.wraps(call)
    def made(*args):
        try:
            return call(*args)
        except (PowerCut, OSError):
            raise apsw.IOError from None

    return made


class File:
    """One open file of sqlite's; every call is a call of the disk's."""

    def __init__(self, disk, name, create):
        self.disk, self.name, self.port = disk, name, disk.port()
        self.handle = self.port.open(name, create=create)
        self.inode = self.port.handles[self.handle]
        # sqlite's way on unix (UNIXFILE_DIRSYNC): the first sync of a new journal or log is its folder's too
        self.takes_folder = create and name.endswith(("-journal", "-wal"))

    @as_sqlite_error
    def xRead(self, amount, offset):
        return self.port.read(self.handle, offset, amount)

    @as_sqlite_error
    def xWrite(self, data, offset):
        self.port.write(self.handle, offset, bytes(data))

    @as_sqlite_error
    def xTruncate(self, size):
        self.port.truncate(self.handle, size)

    @as_sqlite_error
    def xSync(self, flags):
        self.port.flush(self.handle)
        if self.disk.syncs_own_name:
            self.disk.durable_names[self.name] = self.inode
            self.disk.unsynced_names = [
                change for change in self.disk.unsynced_names if self.name not in change[:2]
            ]
        elif self.takes_folder:
            self.port.flush_folder()
            self.takes_folder = False

    def xFileSize(self):
        return len(self.inode.contents)

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
        return 512

    def xDeviceCharacteristics(self):
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE  # as sqlite takes unix files to be


class Folder(apsw.VFS):
    def __init__(self, disk):
        self.disk, self.label = disk, f"disk-{uuid.uuid4().hex}"
        super().__init__(self.label, "")

    @as_sqlite_error
    def xOpen(self, name, flags):
        name = name.filename() if isinstance(name, apsw.URIFilename) else name
        return File(self.disk, name, name not in self.disk.names)

    @as_sqlite_error
    def xDelete(self, name, sync):
        self.disk.port().remove(name)
        if sync:
            self.disk.port().flush_folder()

    def xAccess(self, name, flags):
        return name in self.disk.names

    def xFullPathname(self, name):
        return name


class Apsw:
    """An apsw connection in sqlite3's words."""

    def __init__(self, disk, path, replacements=()):
        """replacements: pairs of what the storage asks of sqlite and what is asked in its place."""
        self.disk, self.folder, self.replacements = disk, Folder(disk), replacements
        flags = apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE
        self.database = self.ask(lambda: apsw.Connection(path, vfs=self.folder.label, flags=flags))

    def ask(self, what):
        try:
            found = what()
        except (apsw.Error, OSError, PowerCut) as problem:
            if self.disk.power_cut_at is not None and self.disk.calls > self.disk.power_cut_at:
                raise PowerCut from None
            raise sqlite3.OperationalError(str(problem)) from None
        if self.disk.power_cut_at is not None and self.disk.calls > self.disk.power_cut_at:
            raise PowerCut
        return found

    def execute(self, sql, values=()):
        for original, replacement in self.replacements:
            sql = sql.replace(original, replacement)
        return Rows(self.ask(lambda: [*self.database.execute(sql, values)]))

    @property
    def in_transaction(self):
        return self.database.in_transaction

    def close(self):
        self.ask(self.database.close)

    def __del__(self):
        """After a power cut it can't be closed, which apsw would print."""
        with contextlib.suppress(apsw.Error, AttributeError):
            self.database.close(True)


class Rows(list):
    def fetchone(self):
        return self[0] if self else None
