"""Short messages between managers."""

from collections.abc import Callable

from ... import events
from ..transport.connection import Address
from ..transport.datagrams import Datagrams
from ..transport.loop import Loop
from ..transport.notices import Notices

LONGEST = 256  # bytes; a longer datagram voids the run, so it is never sent


class Peers:
    def __init__(
        self,
        loop: Loop,
        listen: Address,
        peers: list[Address],
        everyone: Address | None,
        me: int,
        notices: Notices,
        tell: Callable[[events.Event], None],
    ) -> None:
        self.peers, self.everyone, self.me, self.notices, self.tell = peers, everyone, me, notices, tell
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.datagrams = Datagrams(loop, listen, self.came)

    def send(self, order: events.TellPeer) -> None:
        if order.manager is None:
            to = self.everyone
        else:
            to = self.peers[order.manager] if 0 <= order.manager < len(self.peers) else None
        if to is None or len(order.payload) > LONGEST:
            self.notices.say(
                "message to a manager not sent", "peers", size=len(order.payload), known=to is not None
            )
        else:
            self.datagrams.send(order.payload, to)

    def came(self, payload: bytes, sender: Address) -> None:
        if sender not in self.numbers or len(payload) > LONGEST:
            self.notices.say("datagram skipped", "peers", size=len(payload), known=sender in self.numbers)
        elif self.numbers[sender] != self.me:  # one to all comes back too
            self.tell(events.PeerMessageReceived(self.numbers[sender], payload))
