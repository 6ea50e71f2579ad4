"""A desk's archives: which one is its home, which is the scribe, when the desk may call itself ready. Pure.

Times are the desk's own steady clock, in s. What an archive claims in its pulses chooses a home and says that
there is something newer to ask for; nothing rests on a claim for good, as it may have waited in a socket.
Readiness, and the certainty that the table is the newest, rest on an answer to a question that this desk
asked: from an archive that at that moment had a word of the majority on all registers. Configurations and
tables are only ever taken newer, from whichever archive.
"""

import zlib

from ..common.timeouts import CONFIRMATION_VALIDITY

WANT_AFTER = 0.2  # s in which the home may bring what another archive tells of
WANT_AGAIN = 0.4  # s after which what was asked for and did not come is asked elsewhere

Sends = list[tuple[str, dict]]  # archive, message


class ControllerSelection:
    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.up: set[str] = set()
        self.claims: dict[str, dict] = {}  # by archive: its newest pulse on this link
        self.zones: dict[str, str] = {}  # by archive
        self.coordinator: str | None = None
        self.home: str | None = None
        self.rolled: str | None = None  # the archive whose whole roll came, on the link that stands
        self.wanted: dict[str, tuple[int, float]] = {}  # by register: newest told of, when to ask
        self.sure_at = -1e9  # when the last confirmation that our table is the newest was asked for
        self.ready = False  # for this life, once it is

    def link(self, peer: str, up: bool, have: dict[str, int]) -> Sends:
        """A link came or went."""
        if up:
            self.up.add(peer)
            return []
        self.up.discard(peer)
        self.claims.pop(peer, None)
        self.zones.pop(peer, None)
        self.home = None if self.home == peer else self.home
        self.coordinator = None if self.coordinator == peer else self.coordinator
        self.rolled = None if self.rolled == peer else self.rolled
        return self.choose(have)

    def choose(self, have: dict[str, int]) -> Sends:
        """One archive pushes all news here: of those that are whole one of this zone, if there is one.

        Where none is, the last one goes on pushing: its rows may be news, and nothing older is taken.
        """
        able = [peer for peer, told in self.claims.items() if told["whole"] and peer in self.up]
        best = min(
            able,
            key=lambda peer: (
                self.zones.get(peer) != self.zone,
                zlib.crc32(f"{self.name}{peer}".encode()),
            ),
            default=None,
        )
        if best is None or best == self.home:
            return []
        sends: Sends = [] if self.home is None else [(self.home, {"k": "home", "on": False})]
        self.home, self.rolled = best, None
        return [*sends, (best, {"k": "home", "on": True, "have": have})]

    def pulse(self, now: float, peer: str, message: dict, have: dict[str, int]) -> Sends:
        """An archive's pulse; have: the versions that this desk has, by register."""
        self.claims[peer] = message
        self.zones[peer] = message.get("zone", self.zones.get(peer, ""))
        if message["scribe"]:
            self.coordinator = peer
        elif self.coordinator == peer:
            self.coordinator = None
        sends = self.choose(have)
        for register, number in message["n"].items():
            if number <= have[register]:
                continue
            # the home pushes: another is asked only if that does not come
            first, at = self.wanted.get(register, (0, 0.0))
            if number > first:
                self.wanted[register] = (number, now + WANT_AFTER)
            elif now >= at:
                self.wanted[register] = (number, now + WANT_AGAIN)
                sends.append((peer, {"k": "want", "r": register, "have": have[register]}))
        return sends + self.ask(now, have)

    def registry(self, now: float, peer: str, have: dict[str, int]) -> Sends:
        """A whole roll came from this archive."""
        self.rolled = peer if peer == self.home else self.rolled
        return self.ask(now, have)

    def ask(self, now: float, have: dict[str, int]) -> Sends:
        """While not ready: ask the home whether what is here is all and the newest."""
        if self.ready or self.rolled is None or not all(have.values()):
            return []
        return [(self.rolled, {"k": "confirm", "t": now})]

    def confirmed(self, now: float, peer: str, message: dict, have: dict[str, int]) -> None:
        """An archive that is whole answers what we asked it at `t`: these are the newest versions."""
        newest, asked = message["n"], message["t"]
        if newest["table"] <= have["table"]:
            self.sure_at = max(self.sure_at, asked)
        here = all(have.values()) and all(have[register] >= number for register, number in newest.items())
        if here and peer == self.rolled and now < asked + CONFIRMATION_VALIDITY:
            self.ready = True
