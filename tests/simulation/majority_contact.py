"""Whole archives and desks in one process, from a seed: the real shells, each on a loop of its own whose
clock is the play's. Between them links that delay, hold up in one direction or both, and break; machines
that freeze, thaw and start anew; workers that beat, leave and hold keys; an operator. Judges look on at
every step.
"""

import asyncio
import json
import random
import types
from unittest import mock

from multidict import CIMultiDict

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.settings import Bounds, Settings
from bramblewood.common.slice_table import PREVIOUS_OWNER, WORKER
from bramblewood.common.timeouts import (
    CLOCK_DRIFT_FACTOR,
    CONFIRMATION_VALIDITY,
    MAX_TRANSIT_TIME,
    QUORUM_CONTACT_VALIDITY,
)
from bramblewood.common.worker_registry import READY, WorkerRegistration
from bramblewood.controller.commands import (
    DeregisterWorker,
    GetConfiguration,
    PutConfiguration,
    RegisterWorker,
)
from bramblewood.controller.consensus.registers import CONFIG, TABLE
from bramblewood.controller.placement import PlacementPlanner
from bramblewood.controller.quorum_io import AGREEMENT_TIMEOUT
from bramblewood.controller.runtime import TICK_INTERVAL
from bramblewood.controller.server import Controller
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.server import Proxy
from tests.simulation.digests import record_event

STEP = 0.01  # s of the play's clock
WAYS = (0.002, 0.02)  # s that a message travels
SYNC = 0.004  # s that a write takes
BEAT, DRAIN = 1.5, 2.5  # s
PATIENCE = 1.0  # s that bytes may wait for a cut until their sender gives the link up (TCP_USER_TIMEOUT)
CONNECTION_TIMEOUT = 1.2  # s after which a desk gives a link up
REDIAL = 0.3  # s
WITHIN = 1.0  # s that a caller waits; it takes no later answer
LATE = 0.1  # s that an answer of a machine may be late by its own timers
# s after which a machine that is cut off must have seen it: the word it had, and a call's time
SEEN = QUORUM_CONTACT_VALIDITY + AGREEMENT_TIMEOUT + LATE
TOUCH = 3.0  # s; ContactS
SLOTS = 2


class Broken(AssertionError):
    """A judge's word."""


class Loop(asyncio.BaseEventLoop):
    """An event loop on the play's clock; it runs while its machine does."""

    def __init__(self, play):
        self.play = play
        super().__init__()
        self._selector = types.SimpleNamespace(select=lambda timeout: [], close=lambda: None)
        self.set_exception_handler(self.fault)
        self.running, self.halts = set(), None

    def time(self):
        return self.play.now

    def _process_events(self, events):
        pass

    def _write_to_self(self):
        pass

    def fault(self, loop, told):
        if "exception" in told:  # else a task ended with its machine
            self.play.faults.append(told["exception"])

    def begin(self, work):
        """A task whose fault ends the play."""

        def ended(task):
            self.running.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self.play.faults.append(task.exception())

        task = self.create_task(work)
        self.running.add(task)
        task.add_done_callback(ended)

    def run(self):
        """All that is due now."""
        asyncio._set_running_loop(self)
        try:
            while self._ready or self._scheduled and self._scheduled[0].when() <= self.time():
                self._run_once()
                if self.halts is not None and self.halts():  # frozen amid a turn
                    return
        finally:
            asyncio._set_running_loop(None)


class End:
    """One end of a link, as the shells know it: what `common.peer_connections.PeerConnection` is to them."""

    def __init__(self, wire, node, peer):
        self.wire, self.node, self.peer = wire, node, peer
        self.role, self.details_version, self.sent_versions, self.next_at = "", -1, {}, 0.0
        self.queue = []  # what waits to arrive at the other end: (when, message, when sent, newest heard)

    def send(self, message):
        if self.wire.stands:
            text = message if isinstance(message, str) else json.dumps(message)
            record_event("message", self.node.play.now, self.node.name, self.peer, json.loads(text))
            due = self.node.play.now + self.node.play.dice.uniform(*self.node.play.ways)
            due = max(due, self.queue[-1][0]) if self.queue else due
            heard = self.node.heard.get(self.peer or self.wire.dialler.name, 0.0)
            self.queue.append((due, text, self.node.play.now, heard))

    def close(self):
        self.wire.lost()


class Wire:
    """A link that one node dialled to an archive."""

    def __init__(self, dialler, acceptor):
        self.stands, self.dialler, self.acceptor = True, dialler, acceptor
        self.near, self.far = End(self, dialler, acceptor.name), End(self, acceptor, "")
        self.met, self.heard_at, self.thawed = False, dialler.play.now, False

    def lost(self):
        if not self.stands:
            return
        dialler, acceptor = self.dialler, self.acceptor
        for end, target in self.ways():
            if target.frozen:  # what has come is read after the thaw
                self.take(end, target)
        self.stands = False
        if dialler.peer_connections.connected.get(acceptor.name) is self.near:
            del dialler.peer_connections.connected[acceptor.name]
            dialler.tell(acceptor.name, False)
        if self.met:
            acceptor.loop.call_soon(acceptor.handlers.handle_disconnect, self.far)
        dialler.peer_connections.again[acceptor.name] = dialler.play.now + REDIAL

    def ways(self):
        return ((self.near, self.acceptor), (self.far, self.dialler))

    def carry(self, now):
        """Hand on what has arrived."""
        for end, target in self.ways():
            if not end.queue or now < end.queue[0][0]:
                continue
            play = self.dialler.play
            if play.cut(end.node.name, target.name):
                if now > end.queue[0][0] + play.patience:
                    return self.lost()
                continue
            if not target.frozen and now >= end.next_at:
                end.next_at = now + play.slow.get(target.name, 0.0)
                self.take(end, target, 1 if target.name in play.slow else len(end.queue))

    def take(self, end, target, most=1000):
        while most and end.queue and target.play.now >= end.queue[0][0]:
            _, text, sent, heard = end.queue.pop(0)
            target.heard[end.node.name] = sent
            target.back[end.node.name] = max(heard, target.back.get(end.node.name, 0.0))
            self.bring(end, target, json.loads(text))
            most -= 1

    def bring(self, end, target, message):
        if end is self.far:
            self.heard_at = self.dialler.play.now
            target.loop.call_soon(target.handlers.handle_message, self.near, message)
        elif self.met:
            target.loop.call_soon(target.handlers.handle_message, self.far, message)
        else:
            self.met = True
            target.loop.call_soon(target.handlers.handle_greeting, self.far, message)


class Wires:
    """What `common.peer_connections.PeerConnections` is to a shell."""

    def __init__(self, node):
        self.node, self.connected, self.again = node, {}, {}

    def maintain(self, peer, port):
        self.again.setdefault(peer, 0.0)

    def send(self, peer, message):
        if peer in self.connected:
            self.connected[peer].send(message)
        return peer in self.connected

    def dial(self, now):
        play, node = self.node.play, self.node
        for peer, at in self.again.items():
            target = play.nodes.get(peer)
            if peer in self.connected or now < at or target is None or target.server is None:
                continue
            if play.cut(node.name, peer) or play.cut(peer, node.name):
                continue
            wire = Wire(node, target)
            play.wires.append(wire)
            self.connected[peer] = wire.near
            wire.near.send(node.handlers.greeting(peer))
            node.tell(peer, True)


class ControllerHandlers:
    """What connections bring to a controller, by the names that both kinds of programs have here."""

    def __init__(self, controller):
        handlers = controller.peer_handlers
        self.greeting, self.handle_greeting = handlers.greeting, handlers.handle_greeting
        self.handle_message, self.handle_disconnect = handlers.handle_message, handlers.handle_disconnect
        self.connection_changed = controller.controller_peers.connection_changed


class ProxyHandlers:
    """The same of a proxy, which nobody dials."""

    def __init__(self, proxy):
        sessions = proxy.sessions
        self.greeting, self.handle_message = sessions.greeting, sessions.handle_message
        self.connection_changed = sessions.connection_changed


class Node:
    """A machine: its program of the moment, its disk, whether it is frozen."""

    def __init__(self, play, name, kind):
        self.play, self.name, self.kind, self.instance_ids = play, name, kind, 0
        voters = {name: f"disk-{name}" for name in play.voters}
        self.facts = {"disk": f"disk-{name}", "held": 1 if name in voters else -1}
        self.facts["members"] = {"n": 1, "voters": voters, "before": {}}
        self.registers, self.server, self.frozen, self.thawed_at = {}, None, False, -9.0
        self.began = self.touched_at = 0.0  # what it said until then has come to a majority and back
        self.heard, self.back = {}, {}  # by machine: when what was last heard, and last answered, was sent

    def start(self, first):
        play, controllers = self.play, self.play.controllers
        self.loop, self.peer_connections = Loop(play), Wires(self)
        self.instance_ids, self.began, self.heard, self.back = self.instance_ids + 1, play.now, {}, {}
        ports = {"Control": (self.name, 3)} if self.kind is Controller else {"Front": (self.name, 3)}
        seeds = tuple(f"{name}:3" for name in play.voters)
        told = Settings(
            self.name, self.name, "z", (1, 2), seeds, first, None, BEAT, ports, 2**28, 100, Bounds()
        )
        with mock.patch("bramblewood.common.logs.start_logging", return_value=mock.Mock()):
            made = self.kind(told)
        if self.kind is Controller:
            self.controller(made)
            self.handlers = ControllerHandlers(made)
        else:
            made.sessions.start(self.loop)
            made.sessions.peer_connections = self.peer_connections
            self.handlers = ProxyHandlers(made)
        for peer in controllers:
            if peer != self.name:
                self.peer_connections.maintain(peer, 1)
        self.server = made
        self.loop.begin(self.turns(made))

    def tell(self, peer, up):
        """A link came or went; one that is frozen hears of it when it is thawed."""
        if self.frozen:
            self.loop.call_soon(self.handlers.connection_changed, peer, up)
        else:
            self.handlers.connection_changed(peer, up)

    def controller(self, made):
        """What a start does, with a first set of voters; it changes as the archives see fit."""
        made.runtime.loop, made.runtime.peer_connections = self.loop, self.peer_connections
        made.runtime.started_at = self.play.now
        made.quorum_io.incarnation = 1000 * self.instance_ids + ord(self.name)
        made.quorum_io.storage = self
        made.quorum_io.restore(dict(self.facts), dict(self.registers))
        made.controller_peers.known = set(self.play.controllers) - {self.name}
        made.controller_peers.next_seed_reread_at = 1e9
        made.lease_calls.pooled_session = made.lease_calls.single_use_session = Calls(self)
        made.set_planner(PlacementPlanner(self.play.now, BEAT, False))

    def write(self, rows, facts, done):
        """What `archive.shelf.Shelf` is to its shell."""

        def kept():
            record_event("write", self.play.now, self.name, rows, facts)
            for register, promised, accepted, value in rows:
                self.registers[register] = (promised, accepted, value)
            self.facts |= facts
            done(None)

        self.loop.call_later(SYNC, kept)

    async def turns(self, made):
        while True:
            if self.kind is Controller:
                made.tick(self.play.now)
            else:
                made.sessions.send_report(self.play.now)
            await asyncio.sleep(TICK_INTERVAL if self.kind is Controller else 0.5)

    def stop(self):
        """Killed: its links break, what was not synced is gone."""
        for wire in self.play.wires:
            if self in (wire.dialler, wire.acceptor):
                wire.lost()
        self.server, self.frozen = None, False
        self.end()

    def end(self):
        for task in list(self.loop.running):
            task.cancel()
        self.loop.run()
        self.loop.close()


class Calls:
    """Calls to workers: what `aiohttp.ClientSession` is to an archive."""

    def __init__(self, node):
        self.node = node

    def post(self, url, json, headers, timeout):
        _, _, address, *path = url.split("/")
        return Call(self.node, address, path[-1], json, headers)


class Call:
    def __init__(self, node, address, kind, body, headers):
        self.node, self.address, self.kind, self.body = node, address, kind, body
        self.status, self.headers = 0, CIMultiDict({"X-Attempt-Id": headers["X-Attempt-Id"]})

    async def __aenter__(self):
        play = self.node.play
        play.touch(self.node.name, self.node)
        if self.kind == "grant" and play.now > self.node.touched_at + QUORUM_CONTACT_VALIDITY + LATE:
            raise Broken(f"{self.node.name} grants at {play.now:.2f}, apart since {self.node.touched_at:.2f}")
        await asyncio.sleep(play.dice.uniform(*WAYS))
        worker = play.workers.get(self.address.partition(":")[0])
        if worker is None or worker.ended or play.cut(self.node.name, worker.name):
            raise OSError
        self.status = worker.told(self.kind, self.body, self.node)
        record_event("call", play.now, self.node.name, worker.name, self.kind, self.body, self.status)
        if self.kind == "release":
            self.headers["X-Handover"] = "h"
        await asyncio.sleep(play.dice.uniform(*WAYS))
        if play.cut(worker.name, self.node.name):
            raise OSError
        return self

    async def __aexit__(self, *problem):
        pass

    async def read(self):
        pass


class Worker:
    """A worker of the keyed service, on a clock that is 2% slow."""

    def __init__(self, play, name):
        self.play, self.name, self.phase, self.seq, self.ended = play, name, READY, 0, False
        self.next_at, self.at, self.calling = play.now + BEAT * play.dice.random(), "", None
        self.held = {}  # by first key: last key, fence, until
        self.fences = {}  # by first and last key: the highest seen
        self.acknowledged = False

    def told(self, kind, body, node):
        first, last, fencing_token, now = body["Source"], body["TargetVersion"], body["fence"], self.play.now
        over = max((f for (a, b), f in self.fences.items() if a <= last and first <= b), default=0)
        if kind == "grant" and over > fencing_token:
            return 409
        self.fences[first, last] = fencing_token
        mine = [start for start, (end, _, _) in self.held.items() if start <= last and first <= end]
        if kind == "release":
            for start in mine:
                del self.held[start]
            return 200
        for start in mine:
            end, old, until = self.held.pop(start)
            for a, b in ((start, first - 1), (last + 1, end)):
                if a <= b:
                    self.held[a] = (b, old, until)
        self.held[first] = (last, fencing_token, now + body["HoldS"] * CLOCK_DRIFT_FACTOR)
        if now > node.thawed_at + MAX_TRANSIT_TIME:
            self.play.granted(self, first, last)
        return 200

    def turn(self, now):
        """Beat, and go elsewhere where that is not acknowledged."""
        play = self.play
        if self.calling is not None:
            status, until = self.calling[0], self.calling[1]
            if status is None and now < until:
                return
            self.calling = None
            if status is None or status >= 500:
                self.at, self.next_at = "", now + 0.2
                return
            self.next_at = now + BEAT
            if self.phase == "draining" and not self.acknowledged:
                self.acknowledged, self.ends_at = True, now + DRAIN + 1.0
            if self.phase == "gone":
                self.ended = True
            return
        if self.phase == "draining" and self.acknowledged and now >= self.ends_at:
            self.phase, self.next_at = "gone", now
        if now < self.next_at:
            return
        self.seq += 1
        self.at = self.at or play.dice.choice(play.controllers)
        row = WorkerRegistration("s", f"{self.name}:1", "z", SLOTS, self.phase, self.seq)
        call = DeregisterWorker(self.name) if self.phase == "gone" else RegisterWorker(self.name, row)
        self.calling = [None, now + WITHIN]
        play.call(self.at, call, self.calling, self.name)


class Play:
    def __init__(self, seed, count=5, proxies=2, spares=0):
        self.dice, self.now, self.patience, self.ways = random.Random(seed), 100.0, PATIENCE, WAYS
        self.voters = tuple("abcde"[:count])
        self.controllers = self.voters + tuple("xyz"[:spares])  # callers don't tell them apart
        self.wires, self.cuts, self.later, self.answers = [], {}, [], {}
        self.workers, self.slow = {}, {}  # by machine: s for each message that comes there
        self.acked, self.refused, self.tried = {}, {}, 0  # configurations by number: when, digest
        self.leaves = []  # (life, when it was acknowledged)
        self.plenty = {}  # how often what the judges look at has come about
        self.disturbed = {}  # by desk: when it was last out of touch
        self.seen, self.faults, self.epochs = {}, [], {}  # sets of voters: since when
        self.nodes = {name: Node(self, name, Controller) for name in self.controllers}
        self.nodes |= {f"d{i}": Node(self, f"d{i}", Proxy) for i in range(proxies)}
        for node in self.nodes.values():
            node.start(True)
        for i in range(4):
            self.workers[f"w{i}"] = Worker(self, f"w{i}")

    def count(self, what):
        self.plenty[what] = self.plenty.get(what, 0) + 1

    # --- the network

    def cut(self, one, other):
        return self.now < self.cuts.get((one, other), 0.0)

    def part(self, some, until, way="both"):
        """Cut these from all others; way: "in", they hear nothing; "out", they are not heard."""
        for one in some:
            for other in (*self.nodes, *self.workers):
                if other not in some:
                    if way != "out":
                        self.cuts[other, one] = until
                    if way != "in":
                        self.cuts[one, other] = until

    def freeze(self, name, span):
        node = self.nodes[name]
        node.frozen, node.loop.halts = True, None
        self.later.append((self.now + span, self.thaw, (node, node.instance_ids)))

    def freeze_when(self, name, found, span):
        """Freeze a machine amid a turn, once this is so."""
        node = self.nodes[name]

        def halts():
            if found(node.server):
                self.freeze(name, span)
            return node.frozen

        node.loop.halts = halts

    def thaw(self, node, instance_id):
        if node.server is not None and node.instance_ids == instance_id:
            node.frozen, node.thawed_at = False, self.now

    def restart(self, name, after=0.3):
        if self.nodes[name].server is not None:
            self.nodes[name].stop()
            self.later.append((self.now + after, self.nodes[name].start, (False,)))

    # --- callers

    def call(self, name, command, kept, caller=""):
        """A call to an archive; kept[0] becomes the status, if the answer comes back."""
        node = self.nodes[name]

        async def serve(made):
            began = self.now  # a call that waited for a thaw begins then
            known = max((n for n, (at, _) in self.acked.items() if at <= began), default=0)
            answer = await made.execute(command)
            record_event("answer", self.now, name, answer.status, answer.text)
            self.judge_answer(node, command, answer, began, known)
            if not self.cut(node.name, caller):
                kept[0] = answer.status
                self.taken(command, answer)

        def arrive():
            if node.server is not None and not self.cut(caller, name):
                node.loop.begin(serve(node.server))

        self.later.append((self.now + self.dice.uniform(*WAYS), arrive, ()))

    def taken(self, command, answer):
        if isinstance(command, PutConfiguration):
            number, digest = command.configuration.revision, command.configuration.digest
            if answer.status == 200:
                self.acked.setdefault(number, (self.now, digest))
                self.count("orders taken")
            elif answer.status == 412:
                self.refused[digest] = number
                self.count("orders refused")

    def put(self, name, newest=False):
        """An order on what the operator believes to stand, or on an older one."""
        parent = max(self.acked, default=0)
        if not newest and self.dice.random() < 0.2:
            parent = self.dice.choice([0, *self.acked])
        self.tried += 1
        number = max(parent, max(self.acked, default=0)) + self.tried % 3 + 1
        routes = [["r", "h.example", f"/p{self.tried}/", "pure", 2, 0.5, 1, 2, "s"]]
        config = configuration(f"r{number}", routes, [["s", True]])
        requested = build_configuration({**config, "ParentVersion": f"r{parent}" if parent else 0}).ok_value
        self.call(name, PutConfiguration(requested), [None], "operator")

    def get(self, name):
        self.call(name, GetConfiguration(), [None], "operator")

    def move(self, name):
        """Somebody has a slice pass to another worker, by agreement."""
        node, to = self.nodes[name], self.dice.choice(sorted(self.workers))
        number = self.dice.random()

        def change(value):
            entries = value["s"].get("s", {}) if value else {}
            able = [start for start, entry in entries.items() if entry[WORKER] and not entry[PREVIOUS_OWNER]]
            if not able:
                return None, True
            start = sorted(able)[int(number * len(able))]
            if entries[start][WORKER] == to:
                return None, True
            entry = [to, "", 0.0, value["n"] + 1, "", entries[start][WORKER]]
            entries = {**entries, start: entry}
            return {**value, "n": value["n"] + 1, "s": {**value["s"], "s": entries}}, True

        if node.server is not None and not node.frozen:
            node.loop.call_soon(node.server.quorum_io.propose, TABLE, change, lambda outcome: None, 1.0)

    # --- judges

    def reaches(self, name):
        """The archives that this machine has a way to and from, itself among them where it is one."""
        node = self.nodes[name]
        if node.server is None or node.frozen:
            return set()
        found = {name} & set(self.controllers)
        for other in self.controllers:
            there = self.nodes[other]
            up = there.server is not None and not there.frozen
            if up and not self.cut(name, other) and not self.cut(other, name):
                found.add(other)
        return found

    def sets(self):
        """The sets of voters that were the newest at some time within a word's time."""
        for node in self.nodes.values():
            if (
                node.kind is Controller
                and node.server is not None
                and node.server.quorum_io.consensus.is_active_voter
            ):
                consensus = node.server.quorum_io.consensus
                self.epochs.setdefault(consensus.epoch, ({*consensus.voters}, self.now))
        ends = [*sorted(self.epochs), None]
        return [
            self.epochs[epoch][0]
            for epoch, after in zip(ends[:-1], ends[1:], strict=True)
            if after is None or self.now < self.epochs[after][1] + QUORUM_CONTACT_VALIDITY + LATE
        ]

    def touch(self, name, node):
        """What this archive said until `touched_at` has come to a majority, and an answer from there back."""
        node.back[name] = self.now
        for voters in self.sets():
            there = [node.back.get(one, 0.0) for one in voters]
            node.touched_at = max(node.touched_at, sorted(there, reverse=True)[len(there) // 2])

    def judge_answer(self, node, command, answer, asked, known):
        """An archive answers a caller: not on its own, not late, nothing older than what was acknowledged."""
        status = answer.status
        if status >= 500:
            return
        what = f"{node.name} answers {type(command).__name__} {status} at {self.now:.2f}"
        self.touch(node.name, node)
        if self.now > node.touched_at + SEEN:
            raise Broken(f"{what}, apart since {node.touched_at:.2f}")
        if self.now > asked + WITHIN + LATE and not isinstance(command, RegisterWorker | DeregisterWorker):
            raise Broken(f"{what}, asked at {asked:.2f}")
        if isinstance(command, GetConfiguration):
            number = int(json.loads(answer.text)["Revision"][1:]) if status == 200 else 0
            self.count("configurations read")
            if number < known:
                raise Broken(f"{what}: r{number}, r{known} was acknowledged before it was asked")
        leaving = (
            isinstance(command, DeregisterWorker)
            or isinstance(command, RegisterWorker)
            and command.is_leaving
        )
        if leaving:
            held = [name for name in self.controllers if self.holds(name, command.instance_id)]
            if not any(2 * len(voters & {*held}) > len(voters) for voters in self.sets()):
                raise Broken(f"{what}: {command.instance_id}'s leave is held by {held}")
            self.leaves.append((command.instance_id, self.now))
            self.later.append((self.now + DRAIN, self.judge_desks, (command.instance_id, self.now)))
            self.count("leaves confirmed")

    def holds(self, name, instance_id):
        server = self.nodes[name].server
        row = server.registry.registrations.get(instance_id) if server is not None else None
        return row is not None and row.phase != READY

    def judge_desks(self, instance_id, acked):
        """Each desk that was in touch all the time has heard of a leave."""
        for name, node in self.nodes.items():
            if node.kind is Proxy and self.disturbed.get(name, 0.0) < acked - TOUCH:
                row = node.server.load_balancer.registry.registrations.get(instance_id)
                self.count("desks looked at")
                if row is not None and row.phase == READY:
                    raise Broken(f"{name} still sends to {instance_id}, which left at {acked:.2f}")

    def granted(self, worker, first, last):
        """Two workers that are up hold the same keys at no moment."""
        self.count("grants")
        for other in self.workers.values():
            if other is worker or other.ended:
                continue
            for start, (end, _, until) in other.held.items():
                if start <= last and first <= end and until > self.now:
                    raise Broken(
                        f"{worker.name} is granted {first}-{last} at {self.now:.2f}, "
                        f"{other.name} holds {start}-{end} until {until:.2f}"
                    )

    def judge(self):
        newest = max(
            (n for n, (at, _) in self.acked.items() if at < self.now - QUORUM_CONTACT_VALIDITY - LATE),
            default=0,
        )
        left = {
            instance_id for instance_id, at in self.leaves if at < self.now - QUORUM_CONTACT_VALIDITY - LATE
        }
        for name in self.controllers:
            node = self.nodes[name]
            self.touch(name, node)
            if node.server is None or node.frozen or not node.server.quorum_contact.is_current(self.now):
                continue
            self.count("looks at whole archives")
            if self.now > node.touched_at + QUORUM_CONTACT_VALIDITY + LATE:
                raise Broken(f"{name} is whole at {self.now:.2f}, apart since {node.touched_at:.2f}")
            if node.server.quorum_io.consensus.version(CONFIG) < newest:
                raise Broken(f"{name} is whole at {self.now:.2f}, and behind r{newest}")
            for instance_id in left:
                row = node.server.registry.registrations.get(instance_id)
                if row is not None and row.phase == READY:
                    raise Broken(f"{name} is whole at {self.now:.2f}, and knows not that {instance_id} left")
        for name, node in self.nodes.items():
            if node.kind is Proxy:
                self.judge_desk(name, node)

    def judge_desk(self, name, node):
        made = node.server
        if made is None or node.frozen or len(self.reaches(name)) < len(self.controllers):
            self.disturbed[name] = self.now
        if made is None:
            return
        ready, had = made.sessions.selection.is_ready, self.seen.get(name, (0, False, 0, 0))
        versions = made.sessions.known_versions()
        have = tuple(versions.values())
        if had[0] == node.instance_ids and any(now < then for now, then in zip(have, had[2:], strict=True)):
            raise Broken(f"{name} goes back at {self.now:.2f}: {had} to {versions}")
        if ready and not (had[0] == node.instance_ids and had[1]):
            self.count("desks ready")
            bound = self.now - CONFIRMATION_VALIDITY - QUORUM_CONTACT_VALIDITY - LATE
            newest = max((n for n, (at, _) in self.acked.items() if at < bound), default=0)
            if versions["config"] < newest:
                raise Broken(f"{name} is ready at {self.now:.2f} with {versions}, r{newest} stands")
            for instance_id, at in self.leaves:
                row = made.load_balancer.registry.registrations.get(instance_id)
                known = any(
                    instance_id in self.nodes[one].server.registry.registrations for one in self.reaches(name)
                )
                if not known and self.workers[instance_id].ended:
                    continue  # all archives started anew since its end: nobody can know it
                if at < bound and row is not None and row.phase == READY:
                    raise Broken(f"{name} is ready at {self.now:.2f}, and knows not that {instance_id} left")
        self.seen[name] = (node.instance_ids, ready, *have)

    # --- the run

    def step(self):
        self.now += STEP
        due = [item for item in self.later if item[0] <= self.now]
        self.later = [item for item in self.later if item[0] > self.now]
        for _, what, told in due:
            what(*told)
        for wire in self.wires:
            if wire.stands:
                wire.carry(self.now)
                quiet = wire.dialler.kind is Proxy and self.now > wire.heard_at + CONNECTION_TIMEOUT
                if (
                    quiet
                    and not wire.dialler.frozen
                    and self.now > wire.dialler.thawed_at + CONNECTION_TIMEOUT
                ):
                    wire.lost()
        self.wires = [wire for wire in self.wires if wire.stands]
        for node in self.nodes.values():
            if node.server is not None and not node.frozen:
                node.peer_connections.dial(self.now)
                node.loop.run()
        for worker in list(self.workers.values()):
            if not worker.ended:
                worker.turn(self.now)
        if self.faults:
            raise self.faults[0]
        self.judge()

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()
        return self

    def end(self):
        """What was acknowledged is in force or was, and nothing that was refused."""
        for node in self.nodes.values():
            if node.server is None:
                continue
            value = node.server.quorum_io.consensus.value(CONFIG) if node.kind is Controller else None
            past = value["past"] if value else {}
            for number, digest in past.items():
                if digest in self.refused or self.acked.get(int(number), (0.0, digest))[1] != digest:
                    raise Broken(f"r{number} at {node.name} was refused, or is another than was acknowledged")
            if missing := [n for n in self.acked if past and n <= value["n"] and str(n) not in past]:
                raise Broken(f"{missing} were acknowledged, and {node.name} knows them not")
            node.end()


def trouble(play):
    """One draw of trouble for some seconds."""
    dice, voters = play.dice, list(play.voters)
    dice.shuffle(voters)
    few = len(voters) // 2
    span, kind = dice.choice([0.7, 3.0, 6.0, 20.0]), dice.randrange(10)
    play.patience = dice.choice([PATIENCE, 30.0])
    if kind < 4:  # one, or two that are cut off together
        play.part(voters[: dice.randint(1, few)], play.now + span, ("both", "in", "out", "both")[kind])
    elif kind < 6:
        play.freeze(voters[0], span)
    elif kind == 6:
        play.restart(voters[0])
    elif kind == 7:
        play.part(["d0"], play.now + span, dice.choice(["both", "in", "out"]))
    elif kind == 8:
        for name in voters:
            play.restart(name, 0.2 + 0.3 * dice.random())
    else:
        play.restart("d1")
        play.part(voters[:few], play.now + span)
    return span


def begun(seed, count=5, spares=0, patience=PATIENCE):
    """A play with its first configuration in force."""
    play = Play(seed, count, spares=spares)
    play.patience = patience
    play.run(1.5 + play.dice.random())
    play.put("a")
    play.run(1.5)
    return play


def leave(play):
    """One worker begins to leave, another comes."""
    here = [worker for worker in play.workers.values() if worker.phase == READY]
    if len(here) > 3:
        leaver = play.dice.choice(here)
        leaver.phase, leaver.next_at = "draining", play.now
    name = f"w{len(play.workers)}"
    play.workers[name] = Worker(play, name)
    return name


def storm(seed, count=5, seconds=60.0):
    """Trouble upon trouble, at times two at once, with orders, moves and leaves meanwhile."""
    play = begun(seed, count, spares=seed % 2)
    dice, until = play.dice, play.now + seconds
    next_trouble = next_order = next_move = next_leave = play.now
    while play.now < until:
        if play.now >= next_trouble:
            next_trouble = play.now + trouble(play) * dice.choice([0.5, 1.2])
        if play.now >= next_order:
            next_order = play.now + dice.choice([0.05, 0.5, 1.0])
            (play.put if dice.random() < 0.4 else play.get)(dice.choice(play.controllers))
        if play.now >= next_move:
            next_move = play.now + dice.uniform(0.2, 2.0)
            play.move(dice.choice(play.controllers))
        if play.now >= next_leave:
            next_leave = play.now + dice.uniform(2.0, 8.0)
            leave(play)
        play.step()
    play.end()
    return play


def twenty(seed, some, way, count=5, spares=0):
    """These machines are cut off, or frozen, for twenty seconds; orders, reads and leaves go on at all
    machines, most of them at these.
    """
    play = begun(seed, count, spares, seed % 2 and PATIENCE or 30.0)
    some = list(some)
    play.run(play.dice.random())
    for name in some:
        if way == "frozen":
            play.freeze(name, 20.0)
    if way != "frozen":
        play.part(some, play.now + 20.0, way)
    until, step = play.now + 23.0, 0
    while play.now < until:
        step += 1
        if step % 20 == 0:
            name = play.dice.choice([*some, *play.controllers])
            (play.put if play.dice.random() < 0.5 else play.get)(name)
        if step % 300 == 0:
            leave(play)
            for worker in play.workers.values():
                worker.at = play.dice.choice(some)  # those that still call there
        play.step()
    play.end()
    return play


def thaw(seed):
    """An archive is frozen amid rounds that readers wait for, while others go on."""
    play = begun(seed, 3)
    for _ in range(4):
        for _ in range(5):
            play.get("a")
            play.run(0.01)
        play.freeze("a", 4.0)
        play.run(0.5)
        play.put("b")
        play.run(4.5)
    play.end()
    return play


def halted(seed):
    """The scribe is frozen between the look at its word and the calls that rest on it."""
    play = begun(seed, 3)
    for _ in range(3):
        play.freeze_when("a", lambda made: made.key_leases.calls_in_flight, 5.0)
        play.run(8.0)
    play.end()
    return play


def unheard(seed):
    """A voter accepts what then is chosen, and hears of that from nobody: its links to the other that would
    tell it are too slow for rounds, though not for pulses.
    """
    play = begun(seed, 3)
    node, before = play.nodes["a"], play.nodes["a"].server.quorum_io.consensus.acceptors[CONFIG].accepted
    play.patience = 30.0
    play.put("c", newest=True)
    play.part(["b"], play.now + 0.6, "in")
    while node.server.quorum_io.consensus.acceptors[CONFIG].accepted == before:
        play.step()
    for other in "ab":
        play.cuts["c", other] = play.now + 20.0
    play.cuts.pop(("a", "b"), None)
    play.ways = (0.15, 0.16)
    play.run(5.0)
    play.end()
    return play


def slow(seed):
    """A desk starts behind links that bring what archives said later and later, while orders go on."""
    play = begun(seed, 3)
    play.restart("d1", 0.1)
    play.slow["d1"] = 0.5 + 0.2 * play.dice.random()
    for _ in range(30):
        play.put("a", newest=True)
        play.run(0.5)
    play.slow.clear()
    play.run(2.0)
    play.end()
    return play


def forgot(seed):
    """All archives start anew at once just after a leave; an older call arrives late, and a desk starts."""
    play = begun(seed, 3)
    name = sorted(play.workers)[seed % 4]
    worker = play.workers[name]
    old = RegisterWorker(name, WorkerRegistration("s", f"{name}:1", "z", SLOTS, READY, worker.seq))
    worker.phase, worker.next_at = "draining", play.now
    while not worker.acknowledged:
        play.step()
    worker.next_at = play.now + 20.0  # it calls no more of itself
    play.nodes["d1"].stop()
    for one in play.controllers:
        play.restart(one, 0.2)
    play.run(0.8)
    play.call("a", old, [None])
    play.run(0.2)
    play.nodes["d1"].start(False)
    play.run(5.0)
    play.end()
    return play


def stranger(seed):
    """A worker takes leave at an archive that has never heard of it, and does not hear the one that has."""
    play = begun(seed, 3)
    play.cuts["a", "b"] = play.cuts["b", "a"] = play.now + 20.0
    play.run(play.dice.random())
    name = leave(play)
    worker = play.workers[name]
    worker.at, worker.next_at = "b", play.now
    play.run(0.5)
    assert name not in play.nodes["a"].server.registry.registrations
    worker.ended = True
    play.call("a", DeregisterWorker(name), [None])
    play.run(4.0)
    play.end()
    return play


def aside(seed):
    """Two archives don't hear each other, a third hears both; a worker leaves at one of the two."""
    play = begun(seed, 3)
    play.patience = play.dice.choice([PATIENCE, 30.0])
    play.cuts["a", "c"] = play.cuts["c", "a"] = play.now + 20.0
    play.run(play.dice.random())
    name = sorted(play.workers)[seed % 4]
    play.workers[name].phase, play.workers[name].at = "draining", "c"
    play.workers[name].next_at = play.now
    play.run(5.0)
    play.end()
    return play


def behind(seed):
    """A configuration comes to two of three, while tables still come to the third."""
    play = begun(seed, 3)
    learner = play.nodes["a"].server.quorum_io.consensus.learner
    play.run(play.dice.random())
    with mock.patch.object(learner, "learn", lambda *_: None):
        play.put("b", newest=True)
        play.run(3.0)
    play.end()
    return play
