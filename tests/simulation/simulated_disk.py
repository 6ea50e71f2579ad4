"""A disc that fails as discs do, behind the store's port: power cuts, torn or lost writes, errors."""

import errno
import random

SECTOR = 512


class PowerCut(BaseException):
    """The machine is off: nothing of the program runs on."""


class Inode:
    def __init__(self, data=b""):
        self.durable, self.seen, self.writes = bytes(data), bytearray(data), []


class Disc:
    """What survives, what is only in the cache, and the faults to come. Handed on from life to life.

    cut_at: number of the file call after which the power goes. refusals: what to raise, by kind of call.
    apart: a file's sync makes its own name last, and only that, for whoever asks (`shelf_play.File`).
    """

    apart = False

    def __init__(self, dice=None):
        self.dice = dice or random.Random(0)
        self.names, self.durable_names, self.changes = {}, {}, []
        self.calls, self.cut_at, self.refusals, self.locked, self.space = 0, None, {}, False, None

    # --- what befalls it

    def after_power_cut(self, dice):
        """The disc as it comes back: of what was not flushed, some is lost, some torn, in any order."""
        back = Disc(dice)
        back.apart = self.apart
        names = dict(self.durable_names)
        for old, new, inode in self.changes:
            if dice.random() < 0.5:
                if old is not None:
                    names.pop(old, None)
                if new is not None:
                    names[new] = inode
        kept = {}
        for name, inode in names.items():
            if inode not in kept:
                data = bytearray(inode.durable)
                for offset, part in inode.writes:
                    fate = dice.random()
                    if fate < 0.4:
                        continue
                    if part is None:
                        del data[offset:]
                        continue
                    if fate < 0.7:  # torn: some of its sectors, or cut at any byte
                        part = self.torn(dice, data, offset, part)
                    data[len(data) :] = bytes(max(offset - len(data), 0))
                    data[offset : offset + len(part)] = part
                kept[inode] = Inode(data)
            back.names[name] = kept[inode]
        back.durable_names = dict(back.names)
        return back

    @staticmethod
    def torn(dice, data, offset, part):
        if dice.random() < 0.5:
            return part[: dice.randrange(len(part) + 1)]
        old = bytes(data[offset : offset + len(part)]).ljust(len(part), b"\0")
        made = bytearray()
        for at in range(0, len(part), SECTOR):
            made += (part if dice.random() < 0.5 else old)[at : at + SECTOR]
        return bytes(made)

    def copy(self):
        """The same files, all of them safe: for damage of the test's own."""
        back = Disc()
        back.names = {name: Inode(inode.seen) for name, inode in self.names.items()}
        back.durable_names = dict(back.names)
        return back

    # --- the port

    def called(self, kind):
        self.calls += 1
        if self.cut_at is not None and self.calls > self.cut_at:
            raise PowerCut
        refusal = self.refusals.get(kind)
        if refusal and (error := refusal()):
            raise OSError(error, errno.errorcode[error])

    def entries(self):
        return sorted(self.names)

    def port(self):
        return Driver(self)


class Driver:
    """One process's hold on a disc."""

    def __init__(self, disc):
        self.disc, self.handles, self.count, self.mine = disc, {}, 0, False

    def names(self):
        self.disc.called("names")
        return self.disc.entries()

    def open(self, name, create=False):
        disc = self.disc
        disc.called("create" if create else "open")
        if create == (name in disc.names):
            raise OSError(errno.EEXIST if create else errno.ENOENT, "no or another file of this name", name)
        if create:
            disc.names[name] = Inode()
            disc.changes.append((None, name, disc.names[name]))
        self.count += 1
        self.handles[self.count] = disc.names[name]
        return self.count

    def size(self, handle):
        self.disc.called("size")
        return len(self.handles[handle].seen)

    def read(self, handle, offset, size):
        self.disc.called("read")
        return bytes(self.handles[handle].seen[offset : offset + size])

    def write(self, handle, offset, data):
        disc, inode = self.disc, self.handles[handle]
        disc.called("write")
        fits = bytes(data)
        if disc.space is not None:
            fits = fits[: max(disc.space, 0)]
            disc.space -= len(fits)
        inode.writes.append((offset, fits))
        inode.seen[len(inode.seen) :] = bytes(max(offset - len(inode.seen), 0))
        inode.seen[offset : offset + len(fits)] = fits
        if len(fits) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, handle, size):
        self.disc.called("truncate")
        self.handles[handle].writes.append((size, None))
        del self.handles[handle].seen[size:]

    def flush(self, handle):
        inode = self.handles[handle]
        try:
            self.disc.called("flush")
        except OSError:
            inode.writes, inode.seen = [], bytearray(inode.durable)  # the pages are gone
            raise
        inode.durable, inode.writes = bytes(inode.seen), []

    def flush_folder(self):
        self.disc.called("flush folder")
        self.disc.durable_names, self.disc.changes = dict(self.disc.names), []

    def close(self, handle):
        del self.handles[handle]

    def rename(self, old, new):
        self.disc.called("rename")
        inode = self.disc.names.pop(old)
        self.disc.names[new] = inode
        self.disc.changes.append((old, new, inode))

    def remove(self, name):
        self.disc.called("remove")
        if name not in self.disc.names:
            raise OSError(errno.ENOENT, "No such file or directory", name)
        self.disc.changes.append((name, None, self.disc.names.pop(name)))

    def lock(self):
        if self.disc.locked:
            return False
        self.disc.locked = self.mine = True
        return True

    def release(self):
        if self.mine:
            self.disc.locked = self.mine = False
