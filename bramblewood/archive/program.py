"""The archive's shell: sockets, disk, timers and signals round its state machines. It decides nothing."""

import asyncio
import json
import os
import signal
from typing import Any

import aiohttp
from aiohttp import web
from result import Err

from ..catalogue import counters, daybook
from ..catalogue.bootfile import Settings
from ..catalogue.edition import edition_of
from ..catalogue.links import QUIET, Link, Links, accept, careful_socket
from ..catalogue.spans import LEASE
from . import placement
from .accession import (
    BEAT_MOST,
    Command,
    EndPlan,
    GetConfig,
    PutConfig,
    Refusal,
    Register,
    StartPlan,
    TakeLeave,
    decode,
    most,
    plan_call,
    succeed,
)
from .ballots import CONFIG, FOUNDING, NONE, REGISTERS, TABLE, VOTERS, VOTES, Ballots, Out, trace
from .copies import Copies, Lease, forgotten, taken_off
from .feed import Feed
from .health import Health, judged, out_of_health
from .holds import RENEW_PART, Call, Freed, Holds
from .leaves import HELD_WITHIN, Leaves
from .roll import GONE, READY, Roll, Row
from .sessions import PULSE, Sessions
from .shelf import Shelf
from .withdrawal import CLOSING, TOLD, Withdrawals, ended, in_use, out_of, plans_of, started, steps_of

TICK = 0.1  # s between looks at what is due
DESK_PULSE = 0.5  # s between pulses to desks; two lost ones are noticed within their QUIET
TURN = 0.5  # s between turns of placement, the manager's own
# s for an operator's or worker's call: callers go elsewhere after a second of silence; PROTOCOL
CALL_WITHIN = 0.85
FOUND_WITHIN = 3.0  # s of the first boot in which more archives may show themselves; all start at once
STALL = 0.3  # s that a write may take before this archive leaves the proposing to others
GRANT_FIRST = 0.025  # s that a table waits for its grants before desks follow it: ways to a worker and back
BEATS_MISSED = 3.2  # beats after which a worker that nobody heard counts as gone
ASK = 1.0  # s for a call to a worker


class Archive:
    def __init__(self, told: Settings) -> None:
        self.told, self.me = told, told.ip
        self.log = daybook.begin(told.name)
        self.life = int.from_bytes(os.urandom(4), "big")
        self.shelf = Shelf(told.data or "/tmp")
        self.roll, self.sessions = Roll(), Sessions(self.me)
        self.links = Links(self.hello, self.hear, self.link_told, None, told.bind)
        self.up_since: dict[str, float] = {}
        self.archives: set[str] = set()
        self.founding: Ballots | None = None
        self.desks: dict[str, Link] = {}
        self.holds, self.copies = Holds(told.bounds.HoldMaxS), Copies()
        self.withdrawals, self.health = Withdrawals(self.holds.expiry), Health()
        self.leaves = Leaves(self.me)
        self.confirms: dict[int, asyncio.Future] = {}  # by round of leaves
        self.editions: tuple[int, Any] = (0, None)
        self.aims: dict[str, float] = {}
        self.shown: dict[str, int] = dict.fromkeys(REGISTERS, 0)
        self.told_of: dict[str, int] = dict.fromkeys(REGISTERS, 0)  # newest versions in the log
        self.feed = Feed()
        self.homes: dict[str, Link] = {}  # desks that are pushed to from here
        self.said, self.sayings = "", 0  # what pulses to desks say seldom, and how often it has changed
        self.writing_since: float | None = None
        self.writes = 0
        self.counts = dict.fromkeys(
            ("archive_grants", "archive_releases", "archive_leases", "archive_calls_failed"), 0
        )
        self.refused: dict[str, int] = {}
        self.to_free: dict[tuple, Freed] = {}
        self.freeing = False
        self.pulse_at = self.desk_pulse_at = self.turn_at = self.health_at = 0.0
        self.proposing = self.was_scribe = self.was_whole = False

    # --- start and end

    async def run(self) -> int:
        loop = self.loop = asyncio.get_running_loop()
        found = await asyncio.to_thread(self.shelf.open)
        if isinstance(found, Err):
            self.log.error("no shelf", step="open", problem=found.err_value)
            return 2
        facts, stored = found.ok_value["facts"], found.ok_value["registers"]
        self.born = "born" in facts  # else the disk is new, or was lost: FirstBoot tells which
        self.ballots = Ballots(self.me, tuple(facts.get("voters", ())), self.life, stored, self.born)
        self.placement = placement.Placement(loop.time(), self.told.beat, self.told.notice)
        self.shelf.start(lambda done, problem: loop.call_soon_threadsafe(done, problem))
        if not self.born and self.told.first_boot:
            self.shelf.write([], {"born": True}, lambda problem: None)
        seeds = tuple(sorted(set(self.told.seed_ips())))
        if "voters" not in facts and self.told.first_boot and self.me in seeds:
            self.founding = Ballots(self.me, seeds, self.life, stored, True, FOUNDING)
        for peer in {*seeds, *self.ballots.voters}:
            self.know(peer)
        self.started = loop.time()
        self.leaving = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        servers = []
        for place in (self.told.listen["Control"], (self.told.bind or self.told.ip, self.told.inner)):
            server = await loop.create_server(web.Server(self.serve, access_log=None), *place, backlog=512)
            servers.append(server)
        connector = aiohttp.TCPConnector(socket_factory=careful_socket, limit=0, keepalive_timeout=4.0)
        self.calls = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self.log.info("started", step="start", voters=self.ballots.voters, voting=self.ballots.voting)
        while not self.leaving.is_set():
            self.tick(loop.time())
            try:
                async with asyncio.timeout(TICK):
                    await self.leaving.wait()
            except TimeoutError:
                pass
        self.log.info("stopped", step="end")
        for server in servers:
            server.close()
        await self.links.end()
        await self.calls.close()
        self.shelf.close()
        return 0

    # --- who votes

    def know(self, peer: str) -> None:
        if peer != self.me and peer not in self.archives:
            self.archives.add(peer)
            self.links.keep(peer, self.told.inner)

    def found(self, now: float) -> None:
        """At the first boot the seeds agree once on who votes: so many archives that the losses to be borne
        leave a majority, or all that have shown themselves by then.
        """
        enough = 2 * self.told.losses + 1
        known = sorted({self.me, *self.archives})
        if self.founding.rounds[VOTERS] or len(known) < enough and now < self.started + FOUND_WITHIN:
            return
        count = min(len(known), enough)
        chosen = [
            *sorted(set(self.told.seed_ips())),
            *(one for one in known if one not in self.told.seed_ips()),
        ]
        value = {"n": 1, "voters": sorted(chosen[: count - (count % 2 == 0)])}
        change = lambda stands: (None if stands else value, True)  # noqa: E731
        self.carry(self.founding.propose(now, VOTERS, change, None, 1.0))

    def adopt(self, voters: tuple[str, ...]) -> None:
        """Who votes is agreed: known for good once it is on the disk."""
        if self.ballots.voters or not voters:
            return
        fresh = self.born or self.told.first_boot
        self.log.info("voters", step="found", voters=voters, voting=fresh)
        stored = {name: (a.promised, a.accepted, a.value) for name, a in self.ballots.acceptors.items()}

        def kept(problem: str | None) -> None:
            if problem is None and not self.ballots.voters:
                self.ballots = Ballots(self.me, voters, self.life, stored, fresh)

        facts = {"voters": voters} if fresh else {}
        self.shelf.write([], facts, kept)

    # --- turns

    def tick(self, now: float) -> None:
        self.carry(self.ballots.tick(now))
        if self.founding is not None:
            self.carry(self.founding.tick(now))
            if not self.ballots.voters:
                if value := self.founding.value(VOTERS):
                    self.adopt(tuple(value["voters"]))
                else:
                    self.found(now)
        if now >= self.pulse_at:
            self.pulse_at = now + PULSE
            self.pulse(now)
        if now >= self.desk_pulse_at or self.whole(now) != self.was_whole:
            self.desk_pulse_at = now + DESK_PULSE
            self.pulse_desks(now)
        self.learned()
        if now >= self.turn_at:
            self.turn_at = now + TURN
            self.roll.forget(now)
            self.withdrawals.present(now, self.sessions.all_desks(now, list(self.desks)))
        self.steer(now)

    def whole(self, now: float) -> bool:
        """Whether this archive may act for the core and be believed by desks: a word of the majority on all
        registers, and a disk that answers.
        """
        stalled = self.writing_since is not None and now - self.writing_since > STALL
        return not stalled and self.word(now) > now

    def word(self, now: float, registers: tuple[str, ...] = REGISTERS) -> float:
        """Until when a majority's word holds that nothing newer is chosen in these registers; 0 for none."""
        ballots = self.ballots
        known = {name: ballots.learned[name][0] for name in registers}
        own = {name: acceptor.accepted for name, acceptor in ballots.acceptors.items()}
        return self.sessions.word_until(now, ballots.voters, known, own if ballots.voting else None)

    def contact(self, now: float) -> bool:
        """Whether a majority of the voters has answered of late, whatever it has accepted."""
        return self.word(now, ()) > now

    def pulse(self, now: float, only: str | None = None) -> None:
        ballots = self.ballots
        message = {
            "k": "pulse",
            "t": now,
            "v": ballots.voting,
            "w": self.whole(now),
            "acc": {name: ballots.acceptors[name].accepted for name in REGISTERS},
            "dur": ballots.durable,
        }
        about = {
            "voters": ballots.voters,
            "archives": sorted({self.me, *self.archives}),
            "desks": sorted(self.desks),
        }
        for peer in [only] if only else list(self.links.up):
            if peer not in self.links.up:
                continue
            heard = self.sessions.heard.get(peer)
            if now - max(heard.at if heard else 0.0, self.up_since[peer]) > QUIET:
                self.links.up[peer].close()  # its own link brings nothing any more: likely a cut
                continue
            told = {**message, "e": self.sessions.stamps.get(peer, -1e9)}
            told |= self.sessions.news(peer, about)
            if int(now / PULSE) % 4 == 0:
                told["heard"] = self.roll.ages(now, 2.0)
            self.links.send(peer, told)

    def pulse_desks(self, now: float) -> None:
        whole = self.was_whole = self.whole(now)
        scribe = self.sessions.scribe(now, whole)
        told = {
            "k": "pulse",
            "n": self.shown,
            "whole": whole,
            "scribe": scribe == self.me,
            "desks": len(self.sessions.all_desks(now, list(self.desks))),
        }
        if silent := self.silent(now):
            told["silent"] = sorted(silent)
        message = json.dumps(told, separators=(",", ":"))
        about = {"zone": self.told.zone, "archives": sorted({self.me, *self.archives})}
        if scribe == self.me:
            about["near"] = self.placement.near()
            if crowds := self.placement.crowds():
                about["crowds"] = crowds
        seldom = json.dumps({**told, **about}, separators=(",", ":"))
        if seldom[len(message) :] != self.said:  # what changes seldom is said when it has, and on a new link
            self.said, self.sayings = seldom[len(message) :], self.sayings + 1
        for link in list(self.desks.values()):
            link.send(message if link.about == self.sayings else seldom)
            link.about = self.sayings

    def push(self, link: Link, register: str) -> None:
        """Send a desk what it lacks of a register, as far as was sent to it before."""
        if register == TABLE:
            if message := self.feed.since(link.sent.get(TABLE, 0)):
                link.sent[TABLE] = message["n"]
                link.send(message)
            return
        value = self.ballots.value(register)
        if value is not None and value["n"] > link.sent.get(register, 0):
            link.sent[register] = value["n"]
            link.send({"k": "config", "n": value["n"], "config": value["config"]})

    def silent(self, now: float) -> set[str]:
        return self.roll.silent(now, BEATS_MISSED * self.told.beat)

    def learned(self) -> None:
        """Show what is newly chosen to the desks."""
        for register in REGISTERS:
            version = self.ballots.version(register)
            if version == self.shown[register]:
                continue
            if version > self.told_of[register]:
                self.told_of[register] = version
                ballot = trace(self.ballots.learned[register][0])
                self.log.info("chosen", step="ballot", ballot=ballot, register=register, version=version)
            if register == TABLE:
                if version > self.feed.n:
                    self.feed.learned(self.ballots.value(TABLE))
                    self.copies.learn(self.loop.time(), self.ballots.value(TABLE))
                    self.health.learn(self.loop.time(), self.ballots.value(TABLE))
                self.loop.call_later(GRANT_FIRST, self.show, register, version)
            else:
                self.show(register, version)
        if self.editions[0] != (version := self.ballots.version(CONFIG)):
            edition = edition_of(self.ballots.value(CONFIG)["config"]).ok()
            self.editions, self.aims = (version, edition), edition.aims() if edition else {}

    def show(self, register: str, version: int) -> None:
        if version > self.shown[register]:
            self.shown[register] = version
            for link in list(self.homes.values()):
                self.push(link, register)
            if register == CONFIG:
                self.pulse_desks(self.loop.time())

    # --- placement and holds

    def steer(self, now: float) -> None:
        """The scribe of the moment proposes moves and sends grants; the others stand by."""
        whole = self.whole(now)
        scribe = self.sessions.scribe(now, whole) == self.me and self.editions[1] is not None
        if scribe != self.was_scribe:
            self.was_scribe = scribe
            self.log.info("scribe" if scribe else "not scribe", step="steer")
            if scribe:
                self.placement.offices.clear()  # others have moved things since
                self.holds.out.clear()
        if not scribe:
            return
        table = self.ballots.value(TABLE)
        services = self.editions[1].services
        keyed = {name for name, service in services.items() if service.keyed}
        if table is not None:
            calls, free = self.holds.step(now, table, keyed, self.roll)
            until = self.word(now)
            for call in calls:
                asyncio.ensure_future(self.call(call, until))
            for one in free:
                self.free(one)
            leases, over = self.copies.step(now, table, self.roll)
            for lease in leases:
                asyncio.ensure_future(self.lease(lease, until))
            if over and not self.proposing:
                self.move(lambda value: forgotten(value, over))
            if out_of(table) and not self.proposing:
                self.withdraw(now, table)
        if table is not None and now >= self.health_at:
            self.health_at = now + TURN
            self.judge(now, table)
        if not self.proposing:
            wanted = self.placement.step(now, services, self.aims, self.roll, self.silent(now), table)
            if wanted:
                moves = {service: (len(c.lines), len(c.splits)) for service, c in wanted.items()}
                self.log.info("moves", step="placement", moves=moves, table=self.ballots.version(TABLE))
                self.move(lambda value: placement.apply(value, wanted, keyed))

    def withdraw(self, now: float, table: dict) -> None:
        """The next step of the plans that take workers out of service."""
        change = self.withdrawals.step(now, table, self.roll, self.placement.rooms())
        if change is not None:
            self.move(change)

    def judge(self, now: float, table: dict) -> None:
        """Take workers out that look ill to the desks, and back after a while."""
        leaving, in_service = self.silent(now) | steps_of(table).keys(), {}
        for life, row in self.roll.rows.items():
            if row.phase == READY and life not in leaving:
                in_service.setdefault(row.service, []).append(life)
        told = self.health.wanted(now, table, self.health.cycle(in_service), in_service)
        seen = out_of_health(table)
        if judged(table, told, seen)[0] is not None and not self.proposing:
            self.log.info("health", step="placement", told=told)
            self.move(lambda value: judged(value, told, seen))

    def move(self, change: Any) -> None:
        """A change of the table by the scribe; void if this archive is whole no more when its turn comes."""
        self.proposing = True
        fenced = lambda value: change(value) if self.whole(self.loop.time()) else (None, None)  # noqa: E731
        self.propose(TABLE, fenced, self.proposed, 1.0)

    def proposed(self, outcome: Any) -> None:
        self.proposing = False
        if outcome is None:
            self.placement.offices.clear()  # unclear: begin again from what stands
        self.learned()

    def free(self, one: Freed) -> None:
        """Ask for a slice to be free of its old holder; all that wait go in one change."""
        self.to_free[one.service, one.starts, one.fence] = one
        if not self.freeing:
            self.freeing, some = True, list(self.to_free.values())
            self.to_free.clear()

            def change(value: dict | None) -> tuple[dict | None, bool]:
                made, changed = value, False
                for each in some:
                    after, found = placement.freed(
                        made, each.service, each.starts, each.fence, each.old, each.handover
                    )
                    made, changed = (after, True) if found else (made, changed)
                return ({**made, "n": value["n"] + 1}, True) if changed else (None, False)

            self.propose(TABLE, change, self.settled, 1.0)

    def settled(self, outcome: Any) -> None:
        self.freeing = False
        self.learned()
        if self.to_free:
            self.free(next(iter(self.to_free.values())))
        else:
            self.steer(self.loop.time())

    def refreshed(self, outcome: Any) -> None:
        self.learned()

    async def call(self, call: Call, until: float) -> None:
        """One grant or release at a worker. A grant leaves at once and on a fresh word, or not at all."""
        sent, status, handover = self.loop.time(), 0, ""
        body = {"Source": call.first, "TargetVersion": call.last, "fence": call.fence}
        if call.kind == "grant":
            body["HoldS"] = call.hold
            if call.handover:
                body["Handover"] = call.handover
        within = ASK if call.kind == "grant" else self.holds.expiry
        try:
            async with asyncio.timeout(within):
                if call.kind == "release" or sent < until:
                    async with self.calls.post(
                        f"http://{call.address}/bramblewood/{call.kind}",
                        json=body,
                        headers={"X-Target-Instance": call.life},
                    ) as answer:
                        status, handover = answer.status, answer.headers.get("X-Handover", "")
                        await answer.read()
        except aiohttp.ClientConnectorError as problem:
            status = -1 if isinstance(problem.os_error, ConnectionRefusedError) else 0
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        self.counts[f"archive_{call.kind}s"] += 1
        self.counts["archive_calls_failed"] += status != 200
        now = self.loop.time()
        row = self.roll.rows.get(call.life)
        self.refused[call.life] = self.refused.get(call.life, 0) + 1 if status == -1 else 0
        unheard = now - self.roll.heard.get(call.life, 0.0)
        ended = (
            row is None or row.phase == GONE or self.refused[call.life] > 1 and unheard > 1.3 * self.told.beat
        )
        if status != 200:
            self.log.info(
                "call failed",
                step=call.kind,
                peer=call.life,
                status=status,
                keys=(call.first, call.last),
                fence=call.fence,
            )
        elif call.kind == "release" or self.holds.new(call):
            self.log.info(
                "keys passed", step=call.kind, peer=call.life, keys=(call.first, call.last), fence=call.fence
            )
        if status == 409:
            self.propose(
                TABLE,
                lambda value: placement.refenced(value, call.service, call.starts, call.fence),
                self.refreshed,
                1.0,
            )
        free = self.holds.answered(now, call, sent, status, handover, ended)
        if free is not None:
            self.free(free)
        elif status == -1 and ended and row is not None and row.phase != GONE:
            self.note(call.life, row._replace(phase=GONE))

    async def lease(self, lease: Lease, until: float) -> None:
        """One lease of a read copy; at once and on a fresh word, or not at all."""
        status, (_, key, life, _) = 0, lease.one
        body = {
            "Source": key,
            "TargetVersion": key,
            "fence": lease.fence,
            "HoldS": LEASE,
            "Copy": lease.holder,
        }
        url, headers = f"http://{lease.address}/bramblewood/grant", {"X-Target-Instance": life}
        try:
            async with asyncio.timeout(LEASE * RENEW_PART):
                if self.loop.time() < until:
                    async with self.calls.post(url, json=body, headers=headers) as answer:
                        status = answer.status
                        await answer.read()
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        self.counts["archive_leases"] += 1
        self.copies.answered(self.loop.time(), lease, status)

    # --- ballots

    def propose(self, register: str, change: Any, tag: Any, within: float) -> None:
        self.carry(self.ballots.propose(self.loop.time(), register, change, tag, within))

    def carry(self, out: Out) -> None:
        """Writes first; sends and answers once they are safe."""
        if not out.writes:
            if out.sends or out.answers:
                self.dispatch(out)
            return
        if self.writing_since is None:
            self.writing_since = self.loop.time()
        self.writes += 1
        facts = {"voters": self.ballots.voters, "born": True} if ("relearn", True) in out.answers else {}
        self.shelf.write(out.writes, facts, lambda problem: self.written(out, problem))

    def written(self, out: Out, problem: str | None) -> None:
        self.writes -= 1
        self.writing_since = self.loop.time() if self.writes else None
        if problem:
            self.log.error("not written", step="write", problem=problem)
            return
        for register, _, accepted, _ in out.writes:
            (self.founding if register == VOTERS else self.ballots).stored(register, accepted)
        self.dispatch(out)

    def dispatch(self, out: Out) -> None:
        for peer, message in out.sends:
            if peer == self.me:
                self.loop.call_soon(self.hear_ballot, self.me, message)
            else:
                self.links.send(peer, message)
        for tag, outcome in out.answers:
            if callable(tag):
                self.loop.call_soon(tag, outcome)
            elif tag == "relearn":
                self.log.info("votes again", step="relearn")
        self.learned()

    def hear_ballot(self, peer: str, message: dict) -> None:
        machine = self.founding if message["r"] == VOTERS else self.ballots
        if machine is None:
            return
        self.carry(machine.hear(self.loop.time(), peer, message))
        if machine.lost_to is not None:
            who, ballot, promised = machine.lost_to
            machine.lost_to = None
            self.log.info("ballot lost", step="ballot", peer=who, ballot=trace(ballot), to=trace(promised))

    # --- other managers

    def hello(self, peer: str) -> dict:
        return {
            "k": "hello",
            "role": "archive",
            "from": self.me,
            "rows": self.rows(),
        }

    def link_told(self, peer: str, up: bool) -> None:
        now = self.up_since[peer] = self.loop.time()
        if up:
            self.sessions.anew(peer)
            self.pulse(now, peer)
        self.log.info("link up" if up else "link lost", step="link", peer=peer)

    def met(self, link: Link, message: dict) -> None:
        link.peer, link.role = str(message["from"]), message["role"]
        if link.role == "archive":
            self.know(link.peer)
            self.take_rows(message.get("rows", {}), link.peer)
            return
        self.desks[link.peer] = link
        self.withdrawals.anew(link.peer)
        self.take_rows(message.get("rows", {}))  # what all archives forgot in a restart, desks have kept
        link.send({"k": "roll", "rows": self.roll.leaving()})
        self.pulse_desks(self.loop.time())

    def left(self, link: Link) -> None:
        for kept in (self.desks, self.homes):
            if kept.get(link.peer) is link:
                del kept[link.peer]

    def home(self, link: Link, message: dict) -> None:
        """A desk chooses to be pushed to from here, or no longer."""
        if not message["on"]:
            self.homes.pop(link.peer, None)
            return
        self.homes[link.peer], link.sent = link, dict(message["have"])
        link.send({"k": "roll", "rows": self.rows(), "all": True})
        for register in REGISTERS:
            self.push(link, register)

    def hear(self, link: Link, message: dict) -> None:
        now, kind = self.loop.time(), message["k"]
        if kind == "pulse":
            self.sessions.pulse(now, link.peer, message)
            if message["e"] < 0:  # it has no stamp of ours yet: at a start nobody waits for the next turn
                self.pulse(now, link.peer)
            self.roll.listen(now, message.get("heard", {}))
            out = Out([], [], [])
            for register, ballot in message["dur"].items():
                if tuple(ballot) != NONE and message["v"]:
                    self.ballots.voted(now, link.peer, register, tuple(ballot), out)
            self.carry(out)
            self.learned()
            self.look_leaves()
            if not self.was_whole and self.whole(now):
                self.pulse_desks(now)
            self.adopt(tuple(message.get("voters", ())))
            for peer in message.get("archives", ()):
                self.know(peer)
        elif kind == "roll":
            newer = self.take_rows(message["rows"], link.peer)
            if "id" in message:
                self.links.send(link.peer, {"k": "rolled", "id": message["id"], "rows": newer})
            elif newer:
                self.links.send(link.peer, {"k": "roll", "rows": newer})
        elif kind == "rolled":
            self.take_rows(message["rows"], link.peer)
            self.leaves.held(message["id"], link.peer)
            self.look_leaves()
        elif kind == "home":
            self.home(link, message)
        elif kind == "want":
            self.wanted(link, message["r"], message["have"])
        elif kind == "report":
            self.reported(now, link, message)
        elif kind == "confirm":
            if self.whole(now):
                newest = {register: self.ballots.version(register) for register in REGISTERS}
                link.send({"k": "confirmed", "t": message["t"], "n": newest})
        elif kind == "off":
            self.take_off(link, message)
        elif kind in VOTES:
            self.hear_ballot(link.peer, message)

    def take_off(self, link: Link, message: dict) -> None:
        """A desk asks that readers of a record that don't answer are taken off it."""
        service, key, lives = message["service"], message["key"], set(message["lives"])

        def told(outcome: Any) -> None:
            if outcome:
                link.send({"k": "offed", "id": message["id"], "n": self.ballots.version(TABLE)})

        self.log.info("readers taken off", step="copies", peer=sorted(lives), keys=(key, key))
        self.propose(TABLE, lambda value: taken_off(value, service, key, lives), told, 1.0)

    def wanted(self, link: Link, register: str, have: int) -> None:
        link.sent[register] = have
        self.push(link, register)

    def reported(self, now: float, link: Link, message: dict) -> None:
        over, by_key = message["over"], message.get("keys", {})
        if "n" in message:
            self.withdrawals.hear(link.peer, message["n"], message.get("left", {}))
        met: dict[str, list] = {service: [] for service in {**message["heat"], **by_key}}
        for life, (tries, unanswered, mean_time, load, *bad) in message["met"].items():
            row = self.roll.rows.get(life)
            if row is None:
                continue
            self.health.report(link.peer, life, tries, sum(bad))
            if tries > unanswered:
                self.roll.heard[life] = max(self.roll.heard.get(life, 0.0), now - over)
            met.setdefault(row.service, []).append(
                placement.met_of(life, tries, unanswered, mean_time, over, load)
            )
        if self.was_scribe:
            for service, some in met.items():
                heat, keys = message["heat"].get(service, {}), by_key.get(service, {})
                self.placement.report(now, service, link.peer, heat, keys, over, some)

    def take_rows(self, rows: dict, sender: str = "") -> dict[str, list]:
        """Take rows that another manager sent; those of its workers that leave of which we have a newer word.

        News of a leave goes on to the other archives, as its sender may reach but some of them.
        """
        news, newer = self.roll.take(self.loop.time(), rows)
        if news:
            self.tell_desks(news)
        if leaving := {life: row for life, row in news.items() if Row(*row).phase != READY}:
            self.share(leaving, but=sender)
        return newer

    def tell_desks(self, rows: dict) -> None:
        """News of workers: to the desks whose home this is; of those that leave to all, as one archive may be
        lost.
        """
        message = json.dumps({"k": "roll", "rows": rows}, separators=(",", ":"))
        for link in list(self.homes.values()):
            link.send(message)
        leaving = {life: row for life, row in rows.items() if Row(*row).phase != READY}
        if leaving:
            message = json.dumps({"k": "roll", "rows": leaving}, separators=(",", ":"))
            for name, link in list(self.desks.items()):
                if name not in self.homes:
                    link.send(message)

    def note(self, life: str, row: Row, number: int | None = None) -> None:
        """Take a row; where it is news, tell all desks and archives. With a number all archives answer."""
        news = self.roll.merge(self.loop.time(), life, row)
        rows = {life: [*self.roll.rows[life]]}
        if news or number is not None:
            self.share(rows, number)
        if not news:
            return
        self.tell_desks(rows)
        if row.phase != READY:
            self.log.info("worker leaves", step="roll", peer=life, phase=row.phase)
            self.loop.call_soon(self.steer, self.loop.time())

    def share(self, rows: dict, number: int | None = None, but: str = "") -> None:
        """Send rows to the other archives; with a number they answer that they hold them."""
        message = {"k": "roll", "rows": rows} | ({} if number is None else {"id": number})
        for peer in list(self.links.up):
            if peer != but:
                self.links.send(peer, message)

    def rows(self) -> dict[str, list]:
        """The whole roll as it travels."""
        return {life: [*row] for life, row in self.roll.rows.items()}

    # --- callers of control

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/link" and request.transport.get_extra_info("sockname")[1] == self.told.inner:
            return await accept(request, self.met, self.hear, self.left)
        method, path = request.method, request.raw_path
        if request.transport.get_extra_info("sockname")[1] == self.told.inner:
            if method == "POST" and path == "/plan":
                return await self.planned(plan_call((await request.content.read())[:BEAT_MOST]))
            view = self.view(path)  # what this archive knows, rounds or not
            view.headers["X-Local-View"] = f"{self.me}; whole={int(self.whole(self.loop.time()))}"
            return view
        body = b""
        bound = most(method, path)
        async for chunk in request.content.iter_chunked(2**16):
            body += chunk
            if len(body) > bound:
                return answer(413, f"at most {bound} bytes")
        command = decode(method, path, body)
        if isinstance(command, Err):
            refusal: Refusal = command.err_value
            if method == "PUT" and path.startswith("/bramblewood/config"):
                self.log.info("configuration refused", step="check", reason=refusal.reason)
            headers = {"Allow": refusal.allow} if refusal.allow else {}
            return answer(refusal.status, refusal.reason, headers)
        return await self.obey(command.ok_value)

    async def obey(self, command: Command) -> web.Response:
        """A worker's or the operator's call: taken, served or refused for good by a majority only."""
        match command:
            case Register(life, row) as call:
                return await self.registered(life, row, call.leaving)
            case TakeLeave(life):
                row = self.roll.rows.get(life) or Row("", "", "", 1, GONE, 0)  # others may know it
                return await self.registered(life, row._replace(phase=GONE, seq=row.seq + 1), True)
            case PutConfig(edition):
                told = await self.agreed(CONFIG, lambda stands: succeed(edition, stands))
                self.log.info(
                    "configuration", step="put", number=edition.number, parent=edition.parent, told=told
                )
                return answer(*told) if told else answer(503, "no majority heard in time")
            case GetConfig():
                told = await self.agreed(CONFIG, lambda stands: (None, [stands]))
                if told is None:
                    return answer(503, "no majority heard in time")
                if told[0] is None:
                    return answer(404, "no configuration yet")
                return web.json_response(told[0]["config"])

    async def planned(self, command: Any) -> web.Response:
        """An operator's call about a plan: agreed by a majority, safe to repeat."""
        if isinstance(command, Err):
            return answer(command.err_value.status, command.err_value.reason)
        command = command.ok_value

        def start(value: dict | None) -> tuple[dict | None, tuple[int, str]]:
            lives = self.chosen(command, value)
            staying = len(set(in_use(self.roll, command.service, out_of(value))) - set(lives))
            return started(value, command.name, command.service, lives, command.wave, staying)

        if isinstance(command, EndPlan):
            told = await self.agreed(TABLE, lambda value: ended(value, command.name, command.state))
        elif command.only_tell:
            read = lambda value: (None, (self.chosen(command, value), start(value)[1]))  # noqa: E731
            if (told := await self.agreed(TABLE, read)) is not None:
                lives, (status, reason) = told
                waves = [lives[i : i + command.wave] for i in range(0, len(lives), command.wave)]
                return web.json_response({"Waves": waves, "Failure": "" if status == 200 else reason})
        else:
            told = await self.agreed(TABLE, start)
        self.log.info("plan", step="withdraw", name=command.name, told=told)
        return answer(*told) if told else answer(503, "no majority heard in time")

    def chosen(self, command: StartPlan, value: dict | None) -> list[str]:
        """The workers that a plan names, by the table that stands."""
        if command.name in plans_of(value):
            return plans_of(value)[command.name]["lives"]  # asked again
        able = in_use(self.roll, command.service, out_of(value))
        lives = [life for life in able if not command.lives or life in command.lives]
        lives = [life for life in lives if command.zone in ("", self.roll.rows[life].zone)]
        lives = [life for life in lives if command.revision in ("", self.roll.rows[life].revision)]
        return lives[: command.count or len(lives)]

    def plans(self, now: float) -> dict:
        """The plans as they stand, with what keeps each worker."""
        table, told = self.ballots.value(TABLE), self.withdrawals
        return {
            name: {
                **plan,
                "workers": {
                    life: {
                        "step": step,
                        "sending": told.sending(now, version) if step == CLOSING else [],
                        "under way": {desk: [*left] for desk, left in told.under_way(now, life).items()},
                        "keys": step != TOLD and told.holds(table, life),
                    }
                    for life, (plan_of, step, version) in out_of(table).items()
                    if plan_of == name
                },
            }
            for name, plan in plans_of(table).items()
        }

    def view(self, path: str) -> web.Response:
        """What operators' tools read, on the listener for other managers; changes nothing."""
        now = self.loop.time()
        if path == "/view/roll":
            silent = self.silent(now)
            return web.json_response(
                {
                    life: {
                        **row._asdict(),
                        "heard": round(now - self.roll.heard.get(life, 0.0), 2),
                        "silent": life in silent,
                    }
                    for life, row in self.roll.rows.items()
                }
            )
        if path == "/view/plans":
            return web.json_response(self.plans(now))
        if path == "/view/table":
            return web.json_response(self.ballots.value(TABLE) or {"n": 0, "s": {}})
        if path == "/view/holds":
            return web.json_response(
                [
                    {
                        "service": service,
                        "from": start,
                        "life": life,
                        "fence": fence,
                        "until": round(at + self.holds.hold - now, 2),
                    }
                    for (service, start), (life, fence, at) in sorted(self.holds.granted.items())
                ]
            )
        if path == "/view/sessions":
            return web.json_response(
                {
                    "me": self.me,
                    "voters": self.ballots.voters,
                    "votes": self.ballots.voting,
                    "whole": self.whole(now),
                    "scribe": self.sessions.scribe(now, self.whole(now)),
                    "archives": {
                        peer: {"heard": round(now - heard.at, 2), "whole": heard.whole, "votes": heard.votes}
                        for peer, heard in self.sessions.heard.items()
                    },
                    "desks": sorted(self.sessions.all_desks(now, list(self.desks))),
                }
            )
        if path == "/view/history":
            value = self.ballots.value(CONFIG)
            return web.json_response(value["past"] if value else {})
        if path == "/metrics":
            ballots = self.ballots
            return web.Response(
                text=counters.text(
                    {
                        "archive_whole": int(self.whole(now)),
                        "archive_votes": int(ballots.voting),
                        "archive_scribe": int(self.was_scribe),
                        "archive_desks": len(self.desks),
                        "archive_workers": len(self.roll.rows),
                        "archive_silent_workers": len(self.silent(now)),
                        "archive_config_version": ballots.version(CONFIG),
                        "archive_table_version": ballots.version(TABLE),
                        "archive_writes_waiting": self.writes,
                        **self.counts,
                    }
                )
            )
        return answer(404, "no such view")

    async def agreed(self, register: str, change: Any) -> Any:
        """The outcome of a round among a majority; None where there was none in time, also after a thaw."""
        waiting, asked = self.loop.create_future(), self.loop.time()
        self.propose(
            register, change, lambda outcome: waiting.done() or waiting.set_result(outcome), CALL_WITHIN
        )
        try:
            async with asyncio.timeout(CALL_WITHIN + TICK):
                outcome = await waiting
        except TimeoutError:
            return None
        return outcome if self.loop.time() <= asked + CALL_WITHIN + TICK else None

    async def registered(self, life: str, row: Row, leaving: bool) -> web.Response:
        """A worker's call: noted and told on at once, but answered 200 in touch with a majority only, so that
        its worker goes to an archive that the others hear. A leave is confirmed once a majority holds it.
        """
        if not leaving:
            self.note(life, row)
            heard = self.contact(self.loop.time())
            return web.json_response({}) if heard else answer(503, "no majority heard")
        number = self.leaves.ask(self.loop.time())
        waiting = self.confirms[number] = self.loop.create_future()
        self.note(life, row, number)
        self.look_leaves()
        try:
            async with asyncio.timeout(HELD_WITHIN):
                await waiting
        except TimeoutError:
            pass
        held = self.held(number)  # by the clock of now: a freeze may lie before
        del self.confirms[number]
        self.leaves.end(number)
        return web.json_response({}) if held else answer(503, "no majority holds it in time")

    def held(self, number: int) -> bool:
        now = self.loop.time()
        return self.leaves.confirmed(now, number, self.ballots.voters, self.contact(now))

    def look_leaves(self) -> None:
        for number, waiting in self.confirms.items():
            if not waiting.done() and self.held(number):
                waiting.set_result(True)


def answer(status: int, reason: str = "", headers: dict | None = None) -> web.Response:
    body = {"Failure": reason} if reason else {}
    return web.json_response(body, status=status, headers=headers)
