"""Selects the controller that sends updates to this proxy, and determines when the proxy is ready.

No I/O. Times are seconds of the proxy's own steady clock. A controller is current if its newest heartbeat
says that it has recent contact with a quorum and can serve proxies. The proxy selects its upstream by the
heartbeats, which also announce newer versions. A heartbeat may be delayed in a socket, so no safety property
depends on its content.

Invariant: the proxy becomes ready, and treats its slice table as the newest, only after a confirmation that
it requested. The controller that confirms has recent contact with a quorum on all registers when it confirms.
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

UPSTREAM_GRACE = 0.2  # s for the upstream to send a version that another controller announces
REQUEST_RETRY_INTERVAL = 0.4  # s after which a version that has not arrived is requested again

Message = Subscribe | Unsubscribe | UpdateRequest | ConfirmationRequest
OutgoingMessages = list[tuple[str, Message]]  # controller, message


class ControllerSelection:
    """The state of the controllers as this proxy sees it.

    coordinator: the controller that receives load reports. upstream: the controller that sends updates.
    registry_source: the controller whose complete worker registry was received on the present connection.
    table_confirmed_at: when the newest confirmation of the slice table was requested. is_ready: whether the
    proxy is ready; it then stays true for the life of the process.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.connected: set[str] = set()
        self.heartbeats: dict[str, ProxyHeartbeat] = {}  # newest by controller, on its present connection
        self.zones: dict[str, str] = {}  # by controller
        self.coordinator: str | None = None
        self.upstream: str | None = None
        self.registry_source: str | None = None
        # by register: newest version announced, time of the next request
        self.awaited_versions: dict[str, tuple[int, float]] = {}
        self.table_confirmed_at = -1e9
        self.is_ready = False

    def is_current_upstream(self, peer: str) -> bool:
        """Whether a controller is the upstream and is current according to its newest heartbeat."""
        heartbeat = self.heartbeats.get(peer)
        return peer == self.upstream and heartbeat is not None and heartbeat.is_current

    def connection_changed(self, peer: str, is_up: bool, known_versions: Versions) -> OutgoingMessages:
        """Process a new or lost connection to a controller. Returns the messages to send."""
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
        """Select one current controller as the upstream, in this zone if possible.

        Returns the messages to send. If no controller is current, the upstream stays the same. Its
        registrations may still be new, and older versions are never applied.
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
        """Process a heartbeat.

        known_versions: the versions that this proxy has. Returns the messages to send.
        """
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
                continue  # the controller runs a release with more registers
            if version > known_versions[register] and self._is_request_due(now, register, version):
                messages.append((peer, UpdateRequest(register, known_versions[register])))
        return messages + self.confirmation_request(now, known_versions)

    def _is_request_due(self, now: float, register: str, version: int) -> bool:
        """Whether to request a newer version now.

        The upstream is expected to send the version without a request. If it has not arrived after
        UPSTREAM_GRACE, it is requested every REQUEST_RETRY_INTERVAL.
        """
        newest, request_at = self.awaited_versions.get(register, (0, 0.0))
        if version > newest:
            self.awaited_versions[register] = (version, now + UPSTREAM_GRACE)
            return False
        if now < request_at:
            return False
        self.awaited_versions[register] = (version, now + REQUEST_RETRY_INTERVAL)
        return True

    def registry_received(self, now: float, peer: str, known_versions: Versions) -> OutgoingMessages:
        """Process a complete worker registry from a controller. Returns the messages to send."""
        self.registry_source = peer if peer == self.upstream else self.registry_source
        return self.confirmation_request(now, known_versions)

    def confirmation_request(self, now: float, known_versions: Versions) -> OutgoingMessages:
        """Return the request for a confirmation that the versions of this proxy are the newest.

        There is none if the proxy is ready or lacks the complete registry or a version.
        """
        if self.is_ready or self.registry_source is None or not all(known_versions.values()):
            return []
        return [(self.registry_source, ConfirmationRequest(now))]

    def confirmation_received(
        self, now: float, peer: str, confirmation: Confirmation, known_versions: Versions
    ) -> None:
        """Process a confirmation from a current controller, which contains the newest versions.

        The slice table is confirmed if it is the newest. The proxy becomes ready if all its versions are the
        newest, if the controller is the source of its registry and if the confirmation is still valid.
        """
        newest, requested_at = confirmation.versions, confirmation.requested_at
        if newest.get("table", math.inf) <= known_versions["table"]:
            self.table_confirmed_at = max(self.table_confirmed_at, requested_at)
        has_newest = all(known_versions.values()) and all(
            newest.get(register, math.inf) <= version for register, version in known_versions.items()
        )
        if has_newest and peer == self.registry_source and now < requested_at + CONFIRMATION_VALIDITY:
            self.is_ready = True
