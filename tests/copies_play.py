"""Read copies in one process, from a seed: two archives that lease, readers that fetch, desks that recall,
and between them delays, loss, cuts and freezes. The judge looks at every step whether a copy can be read
that is older than an effect that was answered.
"""

import random

from bramblewood.archive.copies import Copies, forgotten, taken_off
from bramblewood.archive.roll import Roll, Row
from bramblewood.archive.sessions import WORD
from bramblewood.catalogue.table import readers_of, with_readers
from bramblewood.desk import recall as words
from bramblewood.desk.recall import Confirm, Drop, Recall, TakeOff, Until
from tests.sameness import note

STEP = 0.02  # s
KEY = 4096
READERS = ("r1", "r2", "r3")


class Stale(AssertionError):
    """An old copy can be read after an effect was answered."""


class Reader:
    """A copy under a lease, on a clock that is 2% slow."""

    def __init__(self):
        self.value, self.until, self.drops = 0, 0.0, 0


class Desk:
    def __init__(self):
        self.n, self.readers, self.sure_at = 1, set(), -1e9
        self.frozen_until = 0.0
        self.recalls = []  # (recall, value of the effect, asked until)


class Play:
    def __init__(self, seed, careless=""):
        """careless: "sure", desks ask for no confirmation; "fetch", a copy fetched across a release
        stands.
        """
        self.dice, self.careless, self.now, self.value, self.floor = (
            random.Random(seed),
            careless,
            100.0,
            0,
            0,
        )
        entry = ["h", "", 0.0, 1, "", ""]
        self.tables = [{"n": 1, "s": {"s": {str(KEY): entry}}}]
        self.archives = {name: Copies() for name in "ab"}
        self.views, self.heard = dict.fromkeys("ab", 0), dict.fromkeys("ab", 100.0)
        self.cut = dict.fromkeys(("a", "b", "d1", "d2", *READERS), False)
        self.desks, self.readers = {"d1": Desk(), "d2": Desk()}, {name: Reader() for name in READERS}
        self.roll, self.later, self.answered, self.leases = Roll(), [], 0, 0
        for name in ("h", *READERS):
            self.roll.merge(100.0, name, Row("s", f"{name}:1", "z", 2, "ready", 1))

    def after(self, longest, call, *what):
        self.later.append((self.now + STEP + self.dice.random() * longest, call, what))

    def reach(self, one, other):
        return not self.cut[one] and not self.cut[other] and self.dice.random() > 0.03

    def change(self, made):
        if made is not None:
            note("table", self.now, made)
            self.tables.append(made)

    # --- archives and readers

    def lead(self, name):
        """The scribe of the moment, or one that still believes it is."""
        copies, dice = self.archives[name], self.dice
        if not self.cut[name] and dice.random() < 0.5:
            if self.views[name] != len(self.tables) - 1:
                self.views[name] = len(self.tables) - 1
                copies.learn(self.now, self.tables[-1])
            self.heard[name] = self.now
        if self.now >= self.heard[name] + WORD:
            return
        leases, over = copies.step(self.now, self.tables[self.views[name]], self.roll)
        if over and not self.cut[name]:
            self.change(forgotten(self.tables[-1], over)[0])
        for lease in sorted(leases, key=lambda lease: lease.one):  # made in the order of a set
            life = lease.one[2]
            note("lease", self.now, name, lease.one, lease.address, lease.fence, lease.holder)
            if self.reach(name, life):
                self.after(0.25, self.fetch, life, name, lease)
            else:
                copies.answered(self.now, lease, 0)

    def fetch(self, life, name, lease):
        """A lease arrives: the reader renews the copy that it has, or fetches the record."""
        reader = self.readers[life]
        self.after(0.1, self.install, life, name, lease, self.value, self.now, reader.drops)

    def install(self, life, name, lease, value, began, drops):
        reader, status = self.readers[life], 503
        if drops == reader.drops or self.careless == "fetch":
            reader.value, reader.until, status = value, began + 1.0 * 1.02, 200
            self.leases += 1
        self.archives[name].answered(self.now, lease, status)

    # --- desks

    def work(self, name):
        desk, dice = self.desks[name], self.dice
        if dice.random() < 0.004:
            desk.frozen_until = self.now + 4 * dice.random()
        if self.now < desk.frozen_until:
            return
        if not self.cut[name] and dice.random() < 0.1:
            self.take(desk, len(self.tables) - 1 - (dice.random() < 0.3))
        if dice.random() < 0.03:
            self.value += 1
            desk.recalls.append((Recall(), self.value, self.now + 6.0))
        for one in list(desk.recalls):
            self.recall(name, desk, *one)
        desk.recalls = [one for one in desk.recalls if one[2] > self.now]

    def take(self, desk, place):
        table = self.tables[max(place, 0)]
        if table["n"] >= desk.n:
            desk.n, desk.readers = table["n"], set(readers_of(table["s"]["s"][str(KEY)]))

    def recall(self, name, desk, recall, value, until):
        sure_at = self.now if self.careless == "sure" else desk.sure_at
        match recall.next(self.now, sure_at, desk.readers):
            case words.CLEAR:
                note("answer", self.now, name, value)
                self.floor, self.answered = max(self.floor, value), self.answered + 1
                desk.recalls.remove((recall, value, until))
            case Confirm():
                archive = self.dice.choice("ab")
                note("confirm", self.now, name, archive)
                if self.reach(name, archive) and self.now < self.heard[archive] + WORD:
                    self.after(0.5, self.confirmed, desk, self.now, self.views[archive])
            case Drop(lives):
                note("drop", self.now, name, lives)
                for life in lives:
                    reached = self.reach(name, life)
                    if reached:
                        self.readers[life].drops += 1
                        self.readers[life].until = 0.0
                    recall.answered(life, reached and self.dice.random() > 0.05)
            case TakeOff(lives):
                note("take off", self.now, name, lives)
                if not self.cut[name]:
                    self.change(taken_off(self.tables[-1], "s", KEY, set(lives))[0])
                    recall.off(self.now, lives)
            case Until():
                pass

    def confirmed(self, desk, asked, view):
        if self.tables[view]["n"] > desk.n:
            self.take(desk, view)
        desk.sure_at = max(desk.sure_at, asked)

    # --- the run

    def step(self):
        self.now += STEP
        for name in self.cut:
            if self.dice.random() < (0.05 if self.cut[name] else 0.004):
                self.cut[name] = not self.cut[name]
        if self.dice.random() < 0.003:
            table = self.tables[-1]
            some = self.dice.sample(READERS, self.dice.randrange(4))
            entry = with_readers(table["s"]["s"][str(KEY)], sorted(some), table["n"] + 1)
            self.change({"n": table["n"] + 1, "s": {"s": {str(KEY): entry}}})
        due = [item for item in self.later if item[0] <= self.now]
        self.later = [item for item in self.later if item[0] > self.now]
        for _, call, what in sorted(due, key=lambda item: item[0]):
            call(*what)
        for name in self.archives:
            self.lead(name)
        for name in self.desks:
            self.work(name)
        for life, reader in self.readers.items():
            if reader.until > self.now and reader.value < self.floor:
                raise Stale(f"{life} gives {reader.value}, {self.floor} was answered")

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.step()
        return self
