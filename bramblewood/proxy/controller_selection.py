"""Which controller this proxy gets its updates from, which coordinates, and when the proxy is ready. Pure.

Times are seconds of the proxy's own steady clock. What a controller claims in its heartbeats selects the
upstream and says that there is something newer to ask for; nothing rests on a claim for good, as it may have
waited in a socket.

Invariant: readiness, and the certainty that the slice table is the newest, rest on an answer to a question
that this proxy asked, from a controller that had fresh contact with a quorum on all registers at that moment.
"""

import math
import zlib

from ..common.messages import (
    Confirmation,
    ConfirmationRequest,
    ProxyHeartbeat,
    Subscribe,
    Unsubscribe,
    UpdateRequest,
    Versions,
)
from ..common.timeouts import CONFIRMATION_VALIDITY

UPSTREAM_GRACE = 0.2  # s in which the upstream may bring what another controller states
REQUEST_RETRY_INTERVAL = 0.4  # s after which what was asked for and did not arrive is asked elsewhere

Message = Subscribe | Unsubscribe | UpdateRequest | ConfirmationRequest
OutgoingMessages = list[tuple[str, Message]]  # controller, message


class ControllerSelection:
    """What this proxy knows of the controllers.

    coordinator: the one that takes load reports. upstream: the one that pushes updates here. registry_source:
    the one whose complete worker registry came on the connection that is up. table_confirmed_at: when the
    last confirmation was asked for that our slice table is the newest. is_ready: for the life of this
    process.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.connected: set[str] = set()
        self.heartbeats: dict[str, ProxyHeartbeat] = {}  # by controller: the newest on this connection
        self.zones: dict[str, str] = {}  # by controller
        self.coordinator: str | None = None
        self.upstream: str | None = None
        self.registry_source: str | None = None
        self.awaited_versions: dict[str, tuple[int, float]] = {}  # by register: the newest, when to ask
        self.table_confirmed_at = -1e9
        self.is_ready = False

    def is_current_upstream(self, peer: str) -> bool:
        """Whether this controller is the upstream, and current by its newest heartbeat."""
        heartbeat = self.heartbeats.get(peer)
        return peer == self.upstream and heartbeat is not None and heartbeat.is_current

    def connection_changed(self, peer: str, is_up: bool, known_versions: Versions) -> OutgoingMessages:
        """The connection to a controller came up or was lost."""
        if is_up:
            self.connected.add(peer)
            return []
        self.connected.discard(peer)
        self.heartbeats.pop(peer, None)
        self.zones.pop(peer, None)
        self.upstream = None if self.upstream == peer else self.upstream
        self.coordinator = None if self.coordinator == peer else self.coordinator
        self.registry_source = None if self.registry_source == peer else self.registry_source
        return self._select_upstream(known_versions)

    def _select_upstream(self, known_versions: Versions) -> OutgoingMessages:
        """Have one controller push all updates: of those that are current one of this zone, if there is one.

        Where none is current, the last one goes on pushing: its registrations may be new, and nothing older
        is taken in.
        """
        candidates = [
            peer
            for peer, heartbeat in self.heartbeats.items()
            if heartbeat.is_current and peer in self.connected
        ]
        best = min(
            candidates,
            key=lambda peer: (
                self.zones.get(peer, "") != self.zone,
                zlib.crc32(f"{self.name}{peer}".encode()),
            ),
            default=None,
        )
        if best is None or best == self.upstream:
            return []
        messages: OutgoingMessages = []
        if self.upstream is not None:
            messages.append((self.upstream, Unsubscribe()))
        self.upstream, self.registry_source = best, None
        messages.append((best, Subscribe(known_versions)))
        return messages

    def heartbeat_received(
        self, now: float, peer: str, heartbeat: ProxyHeartbeat, known_versions: Versions
    ) -> OutgoingMessages:
        """A controller's heartbeat arrived; known_versions: those that this proxy has."""
        self.heartbeats[peer] = heartbeat
        if heartbeat.zone is not None:
            self.zones[peer] = heartbeat.zone
        if heartbeat.is_coordinator:
            self.coordinator = peer
        elif self.coordinator == peer:
            self.coordinator = None
        messages = self._select_upstream(known_versions)
        for register, version in heartbeat.versions.items():
            if register not in known_versions:
                continue  # of a controller that knows more registers
            if version > known_versions[register] and self._is_due(now, register, version):
                messages.append((peer, UpdateRequest(register, known_versions[register])))
        return messages + self.confirmation_request(now, known_versions)

    def _is_due(self, now: float, register: str, version: int) -> bool:
        """Whether to ask for a newer version: the upstream pushes it, others are asked if that fails."""
        newest, ask_at = self.awaited_versions.get(register, (0, 0.0))
        if version > newest:
            self.awaited_versions[register] = (version, now + UPSTREAM_GRACE)
            return False
        if now < ask_at:
            return False
        self.awaited_versions[register] = (version, now + REQUEST_RETRY_INTERVAL)
        return True

    def registry_received(self, now: float, peer: str, known_versions: Versions) -> OutgoingMessages:
        """A complete worker registry came from this controller."""
        self.registry_source = peer if peer == self.upstream else self.registry_source
        return self.confirmation_request(now, known_versions)

    def confirmation_request(self, now: float, known_versions: Versions) -> OutgoingMessages:
        """While not ready: ask the upstream whether what is here is all and the newest."""
        if self.is_ready or self.registry_source is None or not all(known_versions.values()):
            return []
        return [(self.registry_source, ConfirmationRequest(now))]

    def confirmation_received(
        self, now: float, peer: str, confirmation: Confirmation, known_versions: Versions
    ) -> None:
        """A controller that is current answers what we asked it: these versions are the newest."""
        newest, asked_at = confirmation.versions, confirmation.asked_at
        if newest.get("table", math.inf) <= known_versions["table"]:
            self.table_confirmed_at = max(self.table_confirmed_at, asked_at)
        has_newest = all(known_versions.values()) and all(
            newest.get(register, math.inf) <= version for register, version in known_versions.items()
        )
        if has_newest and peer == self.registry_source and now < asked_at + CONFIRMATION_VALIDITY:
            self.is_ready = True
