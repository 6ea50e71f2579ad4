"""A desk's archives: which one is its home, which is the scribe, when the desk may call itself ready. Pure.

Times are the desk's own steady clock, in s. What an archive claims in its pulses chooses a home and says that
there is something newer to ask for; nothing rests on a claim for good, as it may have waited in a socket.
Readiness, and the certainty that the table is the newest, rest on an answer to a question that this desk
asked: from an archive that at that moment had a word of the majority on all registers. Configurations and
tables are only ever taken newer, from whichever archive.
"""

import zlib

from ..common.timeouts import CONFIRMATION_VALIDITY

UPSTREAM_GRACE = 0.2  # s in which the home may bring what another archive tells of
REQUEST_RETRY_INTERVAL = 0.4  # s after which what was asked for and did not come is asked elsewhere

OutgoingMessages = list[tuple[str, dict]]  # archive, message


class ControllerSelection:
    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.connected: set[str] = set()
        self.heartbeats: dict[str, dict] = {}  # by archive: its newest pulse on this link
        self.zones: dict[str, str] = {}  # by archive
        self.coordinator: str | None = None
        self.upstream: str | None = None
        self.registry_source: str | None = None  # the archive whose whole roll came, on the link that stands
        self.awaited_versions: dict[str, tuple[int, float]] = {}  # by register: newest told of, when to ask
        self.table_confirmed_at = (
            -1e9
        )  # when the last confirmation that our table is the newest was asked for
        self.is_ready = False  # for this life, once it is

    def connection_changed(self, peer: str, is_up: bool, known_versions: dict[str, int]) -> OutgoingMessages:
        """A link came or went."""
        if is_up:
            self.connected.add(peer)
            return []
        self.connected.discard(peer)
        self.heartbeats.pop(peer, None)
        self.zones.pop(peer, None)
        self.upstream = None if self.upstream == peer else self.upstream
        self.coordinator = None if self.coordinator == peer else self.coordinator
        self.registry_source = None if self.registry_source == peer else self.registry_source
        return self._choose_upstream(known_versions)

    def _choose_upstream(self, known_versions: dict[str, int]) -> OutgoingMessages:
        """One archive pushes all news here: of those that are whole one of this zone, if there is one.

        Where none is, the last one goes on pushing: its rows may be news, and nothing older is taken.
        """
        candidates = [
            peer
            for peer, heartbeat in self.heartbeats.items()
            if heartbeat["whole"] and peer in self.connected
        ]
        best = min(
            candidates,
            key=lambda peer: (
                self.zones.get(peer) != self.zone,
                zlib.crc32(f"{self.name}{peer}".encode()),
            ),
            default=None,
        )
        if best is None or best == self.upstream:
            return []
        sends: OutgoingMessages = (
            [] if self.upstream is None else [(self.upstream, {"k": "home", "on": False})]
        )
        self.upstream, self.registry_source = best, None
        return [*sends, (best, {"k": "home", "on": True, "have": known_versions})]

    def heartbeat_received(
        self, now: float, peer: str, message: dict, known_versions: dict[str, int]
    ) -> OutgoingMessages:
        """An archive's pulse; have: the versions that this desk has, by register."""
        self.heartbeats[peer] = message
        self.zones[peer] = message.get("zone", self.zones.get(peer, ""))
        if message["scribe"]:
            self.coordinator = peer
        elif self.coordinator == peer:
            self.coordinator = None
        sends = self._choose_upstream(known_versions)
        for register, number in message["n"].items():
            if number <= known_versions[register]:
                continue
            # the home pushes: another is asked only if that does not come
            first, at = self.awaited_versions.get(register, (0, 0.0))
            if number > first:
                self.awaited_versions[register] = (number, now + UPSTREAM_GRACE)
            elif now >= at:
                self.awaited_versions[register] = (number, now + REQUEST_RETRY_INTERVAL)
                sends.append((peer, {"k": "want", "r": register, "have": known_versions[register]}))
        return sends + self.confirmation_request(now, known_versions)

    def registry_received(self, now: float, peer: str, known_versions: dict[str, int]) -> OutgoingMessages:
        """A whole roll came from this archive."""
        self.registry_source = peer if peer == self.upstream else self.registry_source
        return self.confirmation_request(now, known_versions)

    def confirmation_request(self, now: float, known_versions: dict[str, int]) -> OutgoingMessages:
        """While not ready: ask the home whether what is here is all and the newest."""
        if self.is_ready or self.registry_source is None or not all(known_versions.values()):
            return []
        return [(self.registry_source, {"k": "confirm", "t": now})]

    def confirmation_received(
        self, now: float, peer: str, message: dict, known_versions: dict[str, int]
    ) -> None:
        """An archive that is whole answers what we asked it at `t`: these are the newest versions."""
        newest, asked = message["n"], message["t"]
        if newest["table"] <= known_versions["table"]:
            self.table_confirmed_at = max(self.table_confirmed_at, asked)
        here = all(known_versions.values()) and all(
            known_versions[register] >= number for register, number in newest.items()
        )
        if here and peer == self.registry_source and now < asked + CONFIRMATION_VALIDITY:
            self.is_ready = True
