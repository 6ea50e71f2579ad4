"""A disk that fails as disks do, behind the store's port: power cuts, torn or lost writes, errors."""

import errno
import random

SECTOR = 512


class PowerCut(BaseException):
    """The machine is off: nothing of the program runs on."""


class SimulatedFile:
    """durable: bytes that survive a power cut; contents: as processes see them; writes: those not synced."""

    def __init__(self, data=b""):
        self.durable, self.contents, self.writes = bytes(data), bytearray(data), []


class SimulatedDisk:
    """What survives, what is only in the cache, and the faults to come. Handed on from process to process.

    power_cut_at: number of the file call after which the power goes. errors: what gives the error number to
    raise, 0 for none, by kind of call. syncs_own_name: a file's sync makes its own name last, and only that,
    for whoever asks (`sqlite_on_simulated_disk.File`). free_bytes: what still fits, None for no bound.
    """

    syncs_own_name = False

    def __init__(self, dice=None):
        self.dice = dice or random.Random(0)
        self.names, self.durable_names, self.unsynced_names = {}, {}, []
        self.calls, self.power_cut_at, self.errors, self.locked, self.free_bytes = 0, None, {}, False, None

    # --- faults

    def after_power_cut(self, dice):
        """The disk as it comes back: of what was not flushed, some is lost, some torn, in any order."""
        after = SimulatedDisk(dice)
        after.syncs_own_name = self.syncs_own_name
        names = dict(self.durable_names)
        for old, new, inode in self.unsynced_names:
            if dice.random() < 0.5:
                if old is not None:
                    names.pop(old, None)
                if new is not None:
                    names[new] = inode
        kept_files = {}
        for name, inode in names.items():
            if inode not in kept_files:
                data = bytearray(inode.durable)
                for offset, part in inode.writes:
                    draw = dice.random()
                    if draw < 0.4:
                        continue
                    if part is None:
                        del data[offset:]
                        continue
                    if draw < 0.7:  # torn: some of its sectors, or cut at any byte
                        part = self.torn(dice, data, offset, part)
                    data[len(data) :] = bytes(max(offset - len(data), 0))
                    data[offset : offset + len(part)] = part
                kept_files[inode] = SimulatedFile(data)
            after.names[name] = kept_files[inode]
        after.durable_names = dict(after.names)
        return after

    @staticmethod
    def torn(dice, data, offset, part):
        if dice.random() < 0.5:
            return part[: dice.randrange(len(part) + 1)]
        old = bytes(data[offset : offset + len(part)]).ljust(len(part), b"\0")
        torn_data = bytearray()
        for at in range(0, len(part), SECTOR):
            torn_data += (part if dice.random() < 0.5 else old)[at : at + SECTOR]
        return bytes(torn_data)

    def copy(self):
        """The same files, all of them safe: for damage of the test's own."""
        after = SimulatedDisk()
        after.names = {name: SimulatedFile(inode.contents) for name, inode in self.names.items()}
        after.durable_names = dict(after.names)
        return after

    # --- the port

    def count_call(self, kind):
        self.calls += 1
        if self.power_cut_at is not None and self.calls > self.power_cut_at:
            raise PowerCut
        error_source = self.errors.get(kind)
        if error_source and (error := error_source()):
            raise OSError(error, errno.errorcode[error])

    def entries(self):
        return sorted(self.names)

    def port(self):
        return Driver(self)


class Driver:
    """The disk as one process has it open."""

    def __init__(self, disk):
        self.disk, self.handles, self.count, self.holds_lock = disk, {}, 0, False

    def names(self):
        self.disk.count_call("names")
        return self.disk.entries()

    def open(self, name, create=False):
        disk = self.disk
        disk.count_call("create" if create else "open")
        if create == (name in disk.names):
            raise OSError(errno.EEXIST if create else errno.ENOENT, "no or another file of this name", name)
        if create:
            disk.names[name] = SimulatedFile()
            disk.unsynced_names.append((None, name, disk.names[name]))
        self.count += 1
        self.handles[self.count] = disk.names[name]
        return self.count

    def size(self, handle):
        self.disk.count_call("size")
        return len(self.handles[handle].contents)

    def read(self, handle, offset, size):
        self.disk.count_call("read")
        return bytes(self.handles[handle].contents[offset : offset + size])

    def write(self, handle, offset, data):
        disk, inode = self.disk, self.handles[handle]
        disk.count_call("write")
        stored = bytes(data)
        if disk.free_bytes is not None:
            stored = stored[: max(disk.free_bytes, 0)]
            disk.free_bytes -= len(stored)
        inode.writes.append((offset, stored))
        inode.contents[len(inode.contents) :] = bytes(max(offset - len(inode.contents), 0))
        inode.contents[offset : offset + len(stored)] = stored
        if len(stored) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, handle, size):
        self.disk.count_call("truncate")
        self.handles[handle].writes.append((size, None))
        del self.handles[handle].contents[size:]

    def flush(self, handle):
        inode = self.handles[handle]
        try:
            self.disk.count_call("flush")
        except OSError:
            inode.writes, inode.contents = [], bytearray(inode.durable)  # the pages are gone
            raise
        inode.durable, inode.writes = bytes(inode.contents), []

    def flush_folder(self):
        self.disk.count_call("flush folder")
        self.disk.durable_names, self.disk.unsynced_names = dict(self.disk.names), []

    def close(self, handle):
        del self.handles[handle]

    def rename(self, old, new):
        self.disk.count_call("rename")
        inode = self.disk.names.pop(old)
        self.disk.names[new] = inode
        self.disk.unsynced_names.append((old, new, inode))

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
