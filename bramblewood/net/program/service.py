"""One manager: wiring, and the turn: gather what is ready, ask the module once, carry out what came back."""

import gc
import signal
import socket

import structlog

from ... import interface as door
from ...balance import Manager
from ..protocol.words import Unreadable
from ..routing.calls import Calls
from ..routing.collectors import Collectors
from ..routing.discovery import Discovery
from ..routing.news import News
from ..routing.peers import Peers
from ..routing.probes import Probes
from ..transport.listener import Listener
from ..transport.loop import Loop
from ..transport.notices import Notices
from .charter import Charter, Faulty, address

READY_WITHIN = 1.5       # s for the first dials; after that the manager says that it may be used all the same
NEWS_SILENCE = 3.2       # s; a sign of life comes every second
DISCOVERY_SILENCE = 5.0  # s; an empty line comes every two
TAKEN_PART = 0.5         # part of the descriptors that may go to whoever connects
AGAIN_AFTER = 0.5        # s at least between two starts of a failing module

TO_RELAY = (door.SetLine, door.ClearTable, door.BindProxy, door.Admit, door.Withdraw, door.Mark)


class Service:
    def __init__(self, charter: Charter, loop: Loop | None = None, log=None) -> None:
        self.charter, self.loop = charter, loop or Loop()
        self.log = log or structlog.get_logger().bind(manager=charter.name)
        self.inbox: list[door.Event] = []
        self.starts, self.stopping, self.ready_at = 0, False, self.loop.now() + READY_WITHIN
        notices, tell = Notices(self.log, self.loop.now), self.inbox_tell
        facts = charter.facts
        self.collectors = Collectors(notices, tell)
        self.discovery = Discovery(self.loop, charter.discovery, notices, DISCOVERY_SILENCE, tell=tell)
        self.calls = Calls(self.loop, charter.relay, [o["name"] for o in facts["operations"]], notices, tell,
                           lambda order: self.news.known.note(order))
        self.news = News(self.loop, charter.relay, notices, NEWS_SILENCE, tell=self.told,
                         unsettled=self.calls.touched)
        self.probes = Probes(self.loop, self.worker_address, bool(facts["load_fields"]), notices, tell)
        self.peers = None
        if charter.peer_listen:
            self.peers = Peers(self.loop, charter.peer_listen, charter.peers, charter.everyone, notices, tell)
        self.listener = Listener(self.loop, charter.listen, self.collectors,
                                 int(charter.descriptors * TAKEN_PART),
                                 lambda why: notices.say("newcomer turned away", "listener", why=why))

    def inbox_tell(self, event: door.Event) -> None:
        self.inbox.append(event)

    def told(self, event: door.Event) -> None:
        """The relay's news; answers to marks also settle calls."""
        if isinstance(event, door.MarkAnswered):
            self.calls.answered(event)
        else:
            self.inbox.append(event)

    def worker_address(self, worker: str):
        try:
            return address(self.discovery.addresses.get(worker), worker)
        except Faulty:
            return None

    def start(self) -> None:
        self.begin_module()
        try:
            self.discovery.listed(self.charter.known, cached=True)
        except Unreadable as problem:
            self.log.warning("known list not usable", why=str(problem))
        if not self.charter.facts.get("must_ask_for_list"):
            self.discovery.start()
        self.news.start()

    def begin_module(self) -> None:
        self.manager = Manager(f"{self.charter.seed}:{self.starts}", self.charter.facts)
        self.starts += 1

    def turn(self) -> None:
        self.loop.turn()
        if not self.collectors.in_use and (self.discovery.current and self.news.current
                                           or self.loop.now() >= self.ready_at):
            self.collectors.use()
            self.log.info("in use", discovery=bool(self.discovery.current), news=bool(self.news.current))
        if self.inbox:
            events, self.inbox = self.inbox, []
            self.inbox_handled(events)

    def inbox_handled(self, events: list[door.Event]) -> None:
        try:
            orders = self.manager.handle(self.loop.now(), events)
        except Exception:  # whatever the module raises: it starts anew, and the manager goes on
            self.log.exception("the module failed")
            self.begin_module()
            self.loop.after(AGAIN_AFTER, self.read_again)
            return
        self.carry_out(orders)

    def read_again(self) -> None:
        self.discovery.forgotten()
        self.news.forgotten()

    def carry_out(self, orders: list[door.Order]) -> None:
        self.calls.give([order for order in orders if isinstance(order, TO_RELAY)])
        for order in orders:
            match order:
                case door.Wake(after, token):
                    self.loop.after(after, lambda token=token: self.inbox.append(door.TimerDue(token)))
                case door.Log(text):
                    self.log.info(text)
                case door.FollowList(on):
                    self.discovery.follow(on)
                case door.AskList():
                    self.discovery.ask()
                case door.Probe():
                    self.probes.send(order)
                case door.TellPeer() if self.peers:
                    self.peers.send(order)

    def serve(self) -> int:
        """Until SIGTERM or SIGINT; the connections end with the process."""
        near, far = socket.socketpair()
        for end in (near, far):
            end.setblocking(False)
        signal.set_wakeup_fd(far.fileno())
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.stop)
        self.loop.watch(near, 1, lambda _events: near.recv(64))
        self.start()
        gc.collect()
        gc.freeze()
        self.log.info("started", listen="{}:{}".format(*self.charter.listen))
        while not self.stopping:
            self.turn()
        self.log.info("stopped")
        return 0

    def stop(self, _number, _frame) -> None:
        self.stopping = True
