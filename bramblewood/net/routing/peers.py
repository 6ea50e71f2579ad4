"""Short messages between managers."""

from collections.abc import Callable

from ... import events
from ..transport.connection import Address
from ..transport.datagrams import Datagrams
from ..transport.loop import Loop
from ..transport.notices import Notices

MAX_PAYLOAD = 256  # bytes; a longer datagram voids the run, so it is never sent


class Peers:
    """Messages to and from the other managers."""

    def __init__(
        self,
        loop: Loop,
        listen: Address,
        peers: list[Address],
        broadcast: Address | None,
        me: int,
        notices: Notices,
        emit: Callable[[events.Event], None],
    ) -> None:
        self.peers, self.broadcast, self.me, self.notices, self.emit = peers, broadcast, me, notices, emit
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.datagrams = Datagrams(loop, listen, self.received)

    def send(self, order: events.SendPeerMessage) -> None:
        """Send a message to one manager or to all; one that can't be sent is logged."""
        if order.manager is None:
            to = self.broadcast
        else:
            to = self.peers[order.manager] if 0 <= order.manager < len(self.peers) else None
        if to is None or len(order.payload) > MAX_PAYLOAD:
            self.notices.say(
                "message to a manager not sent", "peers", size=len(order.payload), known=to is not None
            )
        else:
            self.datagrams.send(order.payload, to)

    def received(self, payload: bytes, sender: Address) -> None:
        """Pass on a message of a known manager."""
        if sender not in self.numbers or len(payload) > MAX_PAYLOAD:
            self.notices.say("datagram skipped", "peers", size=len(payload), known=sender in self.numbers)
        elif self.numbers[sender] != self.me:  # one to all comes back too
            self.emit(events.PeerMessageReceived(self.numbers[sender], payload))
