"""One manager: wiring, and the turn: gather what is ready, ask the module once, carry out what came back."""

import gc
import resource
import signal
import socket
import traceback
from collections.abc import Callable
from typing import TypeVar

import structlog

from ... import events, turn_stages
from ...policy.manager import Manager
from ..protocol.fields import ProtocolError
from ..protocol.frames import Scope
from ..routing.collectors import Collectors
from ..routing.discovery import Discovery
from ..routing.health_checks import HealthChecks
from ..routing.peers import Peers
from ..routing.relay_calls import RelayCalls
from ..routing.relay_updates import RelayUpdates
from ..transport.connection import Address, spelled
from ..transport.listener import Listener
from ..transport.loop import LONGEST, Loop
from ..transport.notices import Notices
from .configuration import ConfigurationError, ManagerConfiguration, parse_address, read

READY_WITHIN = 1.5  # s for the first dials; after that the manager says it may be used all the same
UPDATES_SILENCE_TIMEOUT = 1.7  # s; a sign of life comes every second, and a second reading harms nobody
DISCOVERY_SILENCE_TIMEOUT = 5.0  # s; an empty line comes every two
ACCEPTED_SHARE = 0.5  # part of the descriptors that may go to whoever connects
RESTART_DELAY = 0.5  # s between a module's failure and the next start; it may fail again at once

# fields of the configuration that take effect at once; the rest waits for a start
EFFECTIVE_AT_ONCE = ("discovery", "relay")
LOGGED_AS = {"settings": "facts"}  # fields that have another name in the log

T = TypeVar("T")


def at_address(key: str, where: Address, make: Callable[[], T]) -> T:
    """Something that needs an address of this machine; one that is taken or foreign is a faulty key."""
    try:
        return make()
    except OSError as problem:
        raise ConfigurationError(f"{key}: {spelled(where)}: {problem.strerror}") from None


class Service:
    """One manager in service: its parties, its stages and the policy."""

    def __init__(
        self, configuration: ManagerConfiguration, loop: Loop | None = None, log=None, bylaws=None
    ) -> None:
        self.configuration, self.bylaws, self.loop = configuration, bylaws, loop or Loop()
        self.log = log or structlog.get_logger().bind(manager=configuration.name)
        self.inbox: list[events.Event] = []
        self.manager: Manager | None = None
        self.policy_starts = 0
        self.stopping = self.reload_requested = False
        notices, emit = Notices(self.log, self.loop.now), self.add_event
        self.notices = notices
        settings = configuration.settings
        operations = [operation.name for operation in settings.operations]
        self.discovery = Discovery(
            self.loop, configuration.discovery, notices, DISCOVERY_SILENCE_TIMEOUT, emit=emit
        )
        self.collectors = Collectors(
            notices,
            emit,
            Scope(settings.zones, operations, settings.slices, self.discovery.workers),
        )
        self.relay_calls = RelayCalls(
            self.loop,
            configuration.relay,
            operations,
            notices,
            emit,
            self.order_applied,
            lambda: self.relay_updates.reread(),
        )
        self.relay_updates = RelayUpdates(
            self.loop,
            configuration.relay,
            notices,
            UPDATES_SILENCE_TIMEOUT,
            emit=self.handle_relay_event,
            compare_stored=self.relay_calls.compare_stored,
        )
        self.stages: list[turn_stages.Stage] = []
        self.turned_at, self.wakers = self.loop.now(), {}  # wakers: descriptors of stages that wake the loop
        self.health_checks = HealthChecks(
            self.loop, self.worker_address, bool(settings.load_fields), notices, emit
        )
        self.peers = self.open_peers() if configuration.peer_listen else None
        self.listener = self.open_listener()
        try:
            self.stages = turn_stages.start_stages(
                bylaws, settings, configuration.seed, self.loop.now, self.log
            )
        except Exception as problem:  # whatever the folder or its files raise: nothing was begun
            self.listener.close()
            raise ConfigurationError(f"store.folder: {bylaws.store.folder}: {problem}") from None

    def open_peers(self) -> Peers:
        """The address for messages between managers; raises ConfigurationError."""
        configuration = self.configuration
        return at_address(
            "peer_listen",
            configuration.peer_listen,
            lambda: Peers(
                self.loop,
                configuration.peer_listen,
                configuration.peers,
                configuration.everyone,
                configuration.settings.manager,
                self.notices,
                self.add_event,
            ),
        )

    def open_listener(self) -> Listener:
        """The manager's own address, for a share of the descriptors; raises ConfigurationError."""
        address, (allowed, _) = self.configuration.listen, resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = min(self.configuration.descriptors, allowed)
        return at_address(
            "listen",
            address,
            lambda: Listener(
                self.loop,
                address,
                self.collectors,
                int(descriptors * ACCEPTED_SHARE),
                lambda why: self.notices.say("newcomer turned away", "listener", why=why),
            ),
        )

    def order_applied(self, order: events.Order) -> None:
        """An order that the relay took."""
        self.relay_updates.order_applied(order)
        for stage in self.stages:
            stage.order_applied(order)

    def add_event(self, event: events.Event) -> None:
        """Keep an event for the policy's next turn."""
        self.inbox.append(event)

    def handle_relay_event(self, event: events.Event) -> None:
        """The relay's news; answers to marks also settle calls."""
        if isinstance(event, events.MessageAcknowledged):
            self.relay_calls.acknowledged(event)
            return
        if isinstance(event, events.SliceAssigned):
            never_away = event.slice in self.relay_updates.with_admission or self.relay_calls.is_unconfirmed(
                event.slice
            )
            self.relay_calls.slice_reassigned(event.slice)
            if event.assigned and never_away:  # a slice comes with the usual levels; this one may have others
                self.relay_calls.submit(
                    [events.SetAdmission(event.slice, (), 1.0, self.configuration.settings.default_retry)]
                )
        self.inbox.append(event)

    def worker_address(self, worker: str):
        """Where a worker answers health checks; None where that is not known or no address."""
        try:
            return parse_address(self.discovery.addresses.get(worker), worker)
        except ConfigurationError:
            return None

    def start(self) -> None:
        """Start the policy, the stages and the streams."""
        self.start_policy()
        try:
            self.discovery.handle_list(self.configuration.known, cached=True)
        except ProtocolError as problem:
            self.log.warning("known list not usable", why=str(problem))
        for stage in self.stages:
            self.inbox += stage.start()
        if not self.configuration.settings.must_request_list:
            self.discovery.start()
        self.relay_updates.start()
        self.loop.after(READY_WITHIN, self.mark_in_use)

    def start_policy(self) -> None:
        """A new policy, with a seed of its own."""
        self.manager = Manager(f"{self.configuration.seed}:{self.policy_starts}", self.configuration.settings)
        self.policy_starts += 1

    def turn(self, most: float = LONGEST) -> None:
        """Gather what is ready, hand it to the module in one go, carry out what came back."""
        if self.reload_requested:
            self.reload_requested = False
            self.loop.after(0.0, self.renew)
        for stage in self.stages:
            wait = stage.longest_wait()
            most = most if wait is None else min(most, wait)
        try:
            self.loop.turn(most)
        except Exception as problem:  # a defect of the network code; the connection that met it has ended
            self.notices.say("defect in the network code", why=repr(problem), where=traceback.format_exc(-3))
        if self.stages:
            self.run_stages()
        if self.inbox and self.manager:
            batch, self.inbox = self.inbox, []
            for stage in self.stages:
                batch = self.ask_stage(stage.filter_events, batch, batch)
            try:
                orders = self.manager.handle(self.loop.now(), batch)
            except Exception:  # whatever the module raises: it starts anew, and the manager goes on
                self.log.exception("the module failed")
                self.manager = None
                self.loop.after(RESTART_DELAY, self.restart_policy)
                return
            for stage in self.stages:
                orders = self.ask_stage(
                    stage.filter_orders, orders, lambda stage=stage, of=orders: stage.fallback_orders(of)
                )
            try:
                self.carry_out(orders)
            except Exception as problem:  # an order that no protocol can express must not end the process
                self.notices.say("orders not carried out", why=repr(problem))
        if self.manager is None:
            self.inbox.clear()  # the next module is told all that stands
        if self.discovery.current and self.relay_updates.current:
            self.mark_in_use()

    def ask_stage(self, ask: Callable, what: list, otherwise) -> list:
        """What a stage makes of events or orders; if it raises, its stated fallback."""
        try:
            return ask(self.loop.now(), what)
        except Exception as problem:
            self.notices.say(
                "stage failed", type(ask.__self__).__name__, why=repr(problem), where=traceback.format_exc(-3)
            )
            return otherwise() if callable(otherwise) else otherwise

    def run_stages(self) -> None:
        """Once a turn for each stage, whatever came."""
        now = self.loop.now()
        span, self.turned_at = now - self.turned_at, now
        busy = min(max(1 - self.loop.waited / span, 0.0), 1.0) if span > 0 else 0.0
        for k, stage in enumerate(self.stages):
            if (waker := stage.wake_descriptor()) != self.wakers.get(k):
                self.loop.watch_number(waker, self.wakers.get(k))
                self.wakers[k] = waker
            try:
                batch, orders = stage.turn(now, busy)
            except Exception as problem:
                self.notices.say(
                    "stage failed", type(stage).__name__, why=repr(problem), where=traceback.format_exc(-3)
                )
                continue
            self.inbox += batch
            if orders:
                self.carry_out(orders)

    def mark_in_use(self) -> None:
        """From here on the manager says that it may be used."""
        if not self.collectors.in_use:
            self.collectors.mark_in_use()
            self.log.info(
                "in use", discovery=bool(self.discovery.current), news=bool(self.relay_updates.current)
            )

    def renew(self) -> None:
        """The configuration read anew as one value: it holds as a whole, or the old one goes on."""
        try:
            told = read()
        except ConfigurationError as problem:
            self.log.warning("new configuration refused", why=str(problem))
            return
        was, self.configuration = (
            self.configuration,
            self.configuration._replace(discovery=told.discovery, relay=told.relay),
        )
        self.discovery.move(told.discovery)
        self.relay_updates.move(told.relay)
        self.relay_calls.move(told.relay)
        later = [
            LOGGED_AS.get(field, field)
            for field, old, new in zip(ManagerConfiguration._fields, was, told, strict=True)
            if old != new and field not in EFFECTIVE_AT_ONCE
        ]
        self.log.info(
            "new configuration taken",
            discovery=spelled(told.discovery),
            relay=spelled(told.relay),
            at_the_next_start=later,
        )
        if self.bylaws:
            self.renew_bylaws()

    def renew_bylaws(self) -> None:
        """The operator's file read anew: it holds as a whole, or the old one goes on."""
        from ...operator import bylaws

        try:
            told = bylaws.load(self.bylaws.path)
        except bylaws.Faulty as problem:
            self.log.warning("new operator's file refused", why=str(problem))
            return
        self.bylaws, now, later = bylaws.renewed(self.bylaws, told)
        for stage in self.stages:
            stage.update_terms(self.bylaws.store)
        self.log.info("new operator's file taken", at_once=now, at_the_next_start=later)

    def restart_policy(self) -> None:
        """A new module after one that raised: it is told all that stands, and missed nothing else."""
        self.start_policy()
        self.discovery.policy_restarted()
        for stage in self.stages:
            self.inbox += stage.policy_restarted()
        self.relay_updates.policy_restarted()

    def carry_out(self, orders: list[events.Order]) -> None:
        """Hand each order to the party that carries it out."""
        self.relay_calls.submit([order for order in orders if isinstance(order, events.RELAY_ORDERS)])
        for order in orders:
            match order:
                case events.SetTimer(after, token):
                    self.loop.after(after, lambda token=token: self.inbox.append(events.TimerFired(token)))
                case events.Log(text):
                    self.log.info(text)
                case events.SubscribeWorkerList(on):
                    self.discovery.watch(on)
                case events.RequestWorkerList():
                    self.discovery.request_list()
                case events.CheckHealth():
                    self.health_checks.send(order)
                case events.SendPeerMessage():
                    if self.peers:
                        self.peers.send(order)
                    else:
                        self.notices.say("order without a message", "peers", order="TellPeer")

    def serve(self) -> int:
        """Until SIGTERM or SIGINT; the connections end with the process."""
        near, far = socket.socketpair()
        for end in (near, far):
            end.setblocking(False)
        signal.set_wakeup_fd(far.fileno())
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.stop)
        signal.signal(signal.SIGHUP, self.request_reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came before is met now
        self.loop.watch(near, 1, lambda _events: near.recv(64))
        self.start()
        gc.collect()
        gc.freeze()
        self.log.info("started", listen=spelled(self.configuration.listen))
        while not self.stopping:
            self.turn()
        for stage in self.stages:
            try:
                stage.close()
            except Exception as problem:
                self.log.warning("stage not ended", why=repr(problem))
        self.log.info("stopped")
        return 0

    def stop(self, _number, _frame) -> None:
        """Signal handler: end after this turn."""
        self.stopping = True

    def request_reload(self, _number, _frame) -> None:
        """Signal handler: read the configuration anew in the next turn."""
        self.reload_requested = True
