"""A simulated disk with power cuts, torn and lost writes, and I/O errors, for the store and for SQLite."""

import errno
import random

SECTOR_SIZE = 512


class PowerCut(BaseException):
    """The machine has lost power, so no code of the simulated process may run any further."""


class SimulatedFile:
    """A file on the simulated disk.

    durable: the bytes that survive a power cut. contents: the bytes that processes read.
    unsynced_writes: the writes since the last sync as (offset, bytes), and truncations as (size, None).
    """

    def __init__(self, data=b""):
        self.durable, self.contents, self.unsynced_writes = bytes(data), bytearray(data), []


class SimulatedDisk:
    """A disk that is passed on from one simulated process to the next.

    names, durable_names: the files by name, as processes see them and as a power cut leaves them.
    unsynced_names: the name changes since the last sync of the folder, as (old name, new name, file).
    calls: the file calls so far. power_cut_at: the number of the last file call before a power cut, None
    for no power cut. errors: for a kind of call, a function that returns the errno to raise, 0 for none.
    syncs_own_name: whether the sync of a file makes its own name durable, and no other name
    (`sqlite_on_simulated_disk.SqliteFile`). locked: whether a process holds the lock. free_bytes: the number
    of bytes that can still be written, None for no limit.
    """

    syncs_own_name = False

    def __init__(self, rng=None):
        self.rng = rng or random.Random(0)
        self.names, self.durable_names, self.unsynced_names = {}, {}, []
        self.call_count, self.power_cut_at, self.errors = 0, None, {}
        self.locked, self.free_bytes = False, None

    # --- faults

    def after_power_cut(self, rng):
        """Returns the disk after a power cut.

        Of the unsynced writes and name changes, a random subset is applied in the original order. Some of the
        applied writes are torn.
        """
        restored = SimulatedDisk(rng)
        restored.syncs_own_name = self.syncs_own_name
        names = dict(self.durable_names)
        for old, new, file in self.unsynced_names:
            if rng.random() < 0.5:
                if old is not None:
                    names.pop(old, None)
                if new is not None:
                    names[new] = file
        restored_files = {}
        for name, file in names.items():
            if file not in restored_files:
                data = bytearray(file.durable)
                for offset, written in file.unsynced_writes:
                    draw = rng.random()
                    if draw < 0.4:
                        continue
                    if written is None:
                        del data[offset:]
                        continue
                    if draw < 0.7:
                        written = self.torn_write(rng, data, offset, written)
                    data[len(data) :] = bytes(max(offset - len(data), 0))
                    data[offset : offset + len(written)] = written
                restored_files[file] = SimulatedFile(data)
            restored.names[name] = restored_files[file]
        restored.durable_names = dict(restored.names)
        return restored

    @staticmethod
    def torn_write(rng, data, offset, written):
        """Returns what a torn write leaves: either its first bytes, or some of its sectors."""
        if rng.random() < 0.5:
            return written[: rng.randrange(len(written) + 1)]
        old = bytes(data[offset : offset + len(written)]).ljust(len(written), b"\0")
        torn = bytearray()
        for start in range(0, len(written), SECTOR_SIZE):
            torn += (written if rng.random() < 0.5 else old)[start : start + SECTOR_SIZE]
        return bytes(torn)

    def copy(self):
        """Returns a disk with copies of the files, all of them durable, which a test can damage."""
        copied = SimulatedDisk()
        copied.names = {name: SimulatedFile(file.contents) for name, file in self.names.items()}
        copied.durable_names = dict(copied.names)
        return copied

    # --- file calls

    def count_call(self, kind):
        """Counts a file call. Raises PowerCut after the power cut, and OSError where `errors` gives one."""
        self.call_count += 1
        if self.power_cut_at is not None and self.call_count > self.power_cut_at:
            raise PowerCut
        error_source = self.errors.get(kind)
        if error_source and (error := error_source()):
            raise OSError(error, errno.errorcode[error])

    def file_names(self):
        return sorted(self.names)

    def port(self):
        return SimulatedPort(self)


class SimulatedPort:
    """The view that one process has of the disk; it implements `bramblewood.store.port.Port`."""

    def __init__(self, disk):
        self.disk, self.handles, self.last_handle, self.holds_lock = disk, {}, 0, False

    def names(self):
        self.disk.count_call("names")
        return self.disk.file_names()

    def open(self, name, create=False):
        disk = self.disk
        disk.count_call("create" if create else "open")
        if create == (name in disk.names):
            raise OSError(
                errno.EEXIST if create else errno.ENOENT,
                "create requires a new name, open requires an existing file",
                name,
            )
        if create:
            disk.names[name] = SimulatedFile()
            disk.unsynced_names.append((None, name, disk.names[name]))
        self.last_handle += 1
        self.handles[self.last_handle] = disk.names[name]
        return self.last_handle

    def size(self, handle):
        self.disk.count_call("size")
        return len(self.handles[handle].contents)

    def read(self, handle, offset, size):
        self.disk.count_call("read")
        return bytes(self.handles[handle].contents[offset : offset + size])

    def write(self, handle, offset, data):
        disk, file = self.disk, self.handles[handle]
        disk.count_call("write")
        written = bytes(data)
        if disk.free_bytes is not None:
            written = written[: max(disk.free_bytes, 0)]
            disk.free_bytes -= len(written)
        file.unsynced_writes.append((offset, written))
        file.contents[len(file.contents) :] = bytes(max(offset - len(file.contents), 0))
        file.contents[offset : offset + len(written)] = written
        if len(written) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, handle, size):
        self.disk.count_call("truncate")
        self.handles[handle].unsynced_writes.append((size, None))
        del self.handles[handle].contents[size:]

    def flush(self, handle):
        file = self.handles[handle]
        try:
            self.disk.count_call("flush")
        except OSError:
            file.unsynced_writes, file.contents = [], bytearray(file.durable)  # the cached pages are dropped
            raise
        file.durable, file.unsynced_writes = bytes(file.contents), []

    def flush_folder(self):
        self.disk.count_call("flush folder")
        self.disk.durable_names, self.disk.unsynced_names = dict(self.disk.names), []

    def close(self, handle):
        del self.handles[handle]

    def rename(self, old, new):
        self.disk.count_call("rename")
        file = self.disk.names.pop(old)
        self.disk.names[new] = file
        self.disk.unsynced_names.append((old, new, file))

    def remove(self, name):
        self.disk.count_call("remove")
        if name not in self.disk.names:
            raise OSError(errno.ENOENT, "No such file or directory", name)
        self.disk.unsynced_names.append((name, None, self.disk.names.pop(name)))

    def lock(self):
        if self.disk.locked:
            return False
        self.disk.locked = self.holds_lock = True
        return True

    def release(self):
        if self.holds_lock:
            self.disk.locked = self.holds_lock = False
