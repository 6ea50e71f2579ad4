"""The archive's shell: sockets, disk, timers and signals round its state machines. It decides nothing."""

import asyncio
import json
import math
import os
import signal
from typing import Any

import aiohttp
from aiohttp import web
from result import Err

from ..common import logs, metrics
from ..common.configuration import edition_of
from ..common.peer_connections import QUIET, Link, Links, accept, careful_socket
from ..common.settings import LONELY, Settings, seeds_again
from ..common.timeouts import LEASE
from ..common.worker_registry import GONE, READY, Roll, Row
from . import placement
from .commands import (
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
    final_answer,
    members_call,
    most,
    plan_call,
    succeed,
)
from .consensus.membership import Membership, Peer, may_leave
from .consensus.replica import (
    ALL,
    CONFIG,
    MEMBERS,
    NONE,
    REGISTERS,
    TABLE,
    VOTES,
    Ballots,
    Due,
    Out,
    founders,
    nothing,
    succession,
    trace,
)
from .deregistration import HELD_WITHIN, Leaves
from .drain_plans import CLOSING, TOLD, Withdrawals, ended, in_use, out_of, plans_of, started, steps_of
from .key_leases import RENEW_PART, Call, Freed, Holds
from .outlier_detection import Health, judged, out_of_health
from .proxy_updates import Feed
from .read_replicas import Copies, Lease, forgotten, taken_off
from .sessions import PULSE, Sessions
from .storage import Shelf

TICK = 0.1  # s between looks at what is due
DESK_PULSE = 0.5  # s between pulses to desks; two lost ones are noticed within their QUIET
TURN = 0.5  # s between turns of placement, the manager's own
# s for an operator's or worker's call: callers go elsewhere after a second of silence; PROTOCOL
CALL_WITHIN = 0.85
FOUND_WITHIN = 3.0  # s of the first boot in which more archives may show themselves; all start at once
GRACE_PART = 2 / 3  # of GraceS that a vote is kept after SIGTERM, until others hold what it holds
STALL = 0.3  # s that a write may take before this archive leaves the proposing to others
GRANT_FIRST = 0.025  # s that a table waits for its grants before desks follow it: ways to a worker and back
BEATS_MISSED = 3.2  # beats after which a worker that nobody heard counts as gone
ASK = 1.0  # s for a call to a worker


class Archive:
    def __init__(self, told: Settings) -> None:
        self.told, self.me = told, told.ip
        self.log = logs.begin(told.name)
        self.life = int.from_bytes(os.urandom(4), "big")
        self.shelf = Shelf(told.data or "/tmp")
        self.roll, self.sessions = Roll(), Sessions(self.me)
        self.links = Links(self.hello, self.hear, self.link_told, None, told.bind)
        self.up_since: dict[str, float] = {}
        self.archives: set[str] = set()
        self.membership = Membership(told.tolerance, told.zones, told.bounds.CatchUpS)
        self.due = Due({})
        self.changing = False  # the set of voters, from here
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
        self.told_epoch = (-1, False)
        self.leaving, self.leaving_at = asyncio.Event(), None  # told to end; when

    # --- start and end

    async def run(self) -> int:
        loop = self.loop = asyncio.get_running_loop()
        found = await asyncio.to_thread(self.shelf.open)
        if isinstance(found, Err):
            self.log.error("no shelf", step="open", problem=found.err_value)
            return 2
        facts = found.ok_value["facts"]
        self.begin(facts, found.ok_value["registers"])
        self.placement = placement.Placement(loop.time(), self.told.beat, self.told.notice)
        self.shelf.start(lambda done, problem: loop.call_soon_threadsafe(done, problem))
        self.carry(nothing())
        for peer in {*self.told.seed_ips(), *self.ballots.voters, *facts.get("archives", ())}:
            self.know(peer)
        self.started = loop.time()
        self.lonely_at = self.started + LONELY
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self.seeds_again)
        servers = []
        for place in (self.told.listen["Control"], (self.told.bind or self.told.ip, self.told.inner)):
            server = await loop.create_server(web.Server(self.serve, access_log=None), *place, backlog=512)
            servers.append(server)
        self.calls, self.fresh = caller(keepalive_timeout=4.0), caller(force_close=True)
        logs.started(
            self.log,
            self.told.unread,
            contract=self.told.contract,
            epoch=self.ballots.epoch,
            voters=sorted(self.ballots.voters),
            voting=self.ballots.voting,
        )
        while not self.may_end(loop.time()):
            self.tick(loop.time())
            try:
                async with asyncio.timeout(TICK):
                    await self.leaving.wait()
                    await asyncio.sleep(TICK)
            except TimeoutError:
                pass
        self.ballots.held = -1  # no vote is given any more: who holds what has been looked at
        self.log.info("stopped", step="end")
        for server in servers:
            server.close()
        await self.links.end()
        await self.calls.close()
        await self.fresh.close()
        self.shelf.close()
        return 0

    # --- who votes

    def begin(self, facts: dict[str, Any], stored: dict[str, tuple]) -> None:
        """What the disk tells. One that tells nothing is new, whether or not there was another before."""
        disk, members, held = facts.get("disk"), facts.get("members"), facts.get("held", -1)
        if members is None and "voters" in facts:  # of form 1, which knew no epochs
            members = {"n": 1, "voters": dict.fromkeys(facts["voters"], ""), "before": {}}
            held = 1 if "born" in facts else -1
        elif members is None and self.told.first_boot and self.me in self.told.seed_ips():
            members, held = founders(self.told.seed_ips()), 0
        disk = disk or new_name()
        self.ballots = Ballots(self.me, disk, self.life, stored, members, held)
        self.due.facts = {"disk": disk, "held": held}
        if members is not None:
            self.due.facts["members"] = members

    def know(self, peer: str) -> None:
        if peer != self.me and peer not in self.archives:
            self.archives.add(peer)
            self.due.facts["archives"] = sorted(self.archives)
            self.links.keep(peer, self.told.inner)

    def peers(self, now: float) -> dict[str, Peer]:
        """All archives known as the question of who should vote sees them; one that was never heard counts as
        silent since the start.
        """
        ballots = self.ballots
        unheard = Peer("", "", True, 0, False, False, now - self.started, 0.0, {})
        mine = Peer(
            ballots.disk,
            self.told.zone,
            self.told.counted,
            ballots.epoch,
            ballots.voting,
            self.leaving.is_set(),
            0.0,
            now - self.started,
            self.versions(),
        )
        known = dict.fromkeys({*self.archives, *ballots.voters}, unheard)
        return {**known, **self.sessions.peers(now), self.me: mine}

    def versions(self) -> dict[str, int]:
        return {register: self.ballots.version(register) for register in REGISTERS}

    def seats(self, now: float) -> None:
        """Propose the change of the set of voters that is due."""
        ballots = self.ballots
        if self.changing or not ballots.member and ballots.epoch == 0:
            return
        change = None
        if ballots.epoch == 0:
            late = now >= self.started + FOUND_WITHIN
            change = self.membership.founded(self.told.seed_ips(), self.peers(now), late)
        elif self.sessions.scribe(now, self.whole(now)) == self.me:
            change = self.membership.wanted(ballots.members, self.peers(now), self.versions())
        if change is not None:
            self.changing = True
            self.log.info(
                "member change", step="epoch", epoch=ballots.epoch + 1, why=change.why, voters=change.voters
            )
            self.propose(MEMBERS, succession(ballots.members, change.voters), self.changed, 1.0)

    def changed(self, outcome: Any) -> None:
        self.changing = False

    def may_end(self, now: float) -> bool:
        """Whether this program, told to end, may: its vote is not needed any more, or its time is up."""
        if not self.leaving.is_set():
            return False
        if self.leaving_at is None:
            self.leaving_at = now
            self.log.info("ending", step="end", voting=self.ballots.voting)
            self.pulse(now)
        if now >= self.leaving_at + self.told.bounds.GraceS * GRACE_PART or self.ballots.held < 0:
            return True
        peers = self.peers(now)
        return may_leave(
            self.me,
            self.ballots.disk,
            self.ballots.members,
            peers,
            {name: acceptor.accepted for name, acceptor in self.ballots.acceptors.items()},
            {name: heard.durable for name, heard in self.sessions.heard.items()},
            bool(self.membership.heirs(self.ballots.members, peers)),
        )

    # --- turns

    def tick(self, now: float) -> None:
        self.carry(self.ballots.tick(now))
        self.seats(now)
        if self.links.up or now >= self.lonely_at:
            if not self.links.up:
                self.seeds_again()
            self.lonely_at = now + LONELY
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
        registers, a disk that answers, and nobody has told it to end.
        """
        if self.leaving.is_set():
            return False
        stalled = self.writing_since is not None and now - self.writing_since > STALL
        return not stalled and self.word(now) > now

    def word(self, now: float, registers: tuple[str, ...] = REGISTERS) -> float:
        """Until when a majority's word holds that nothing newer is chosen in these registers; 0 for none."""
        ballots = self.ballots
        known = {name: ballots.learned[name][0] for name in registers}
        own = {name: acceptor.accepted for name, acceptor in ballots.acceptors.items()}
        own = own if ballots.voting else None
        return self.sessions.word_until(now, ballots.voters, ballots.epoch, known, own)

    def contact(self, now: float) -> bool:
        """Whether a majority of the voters has answered of late, whatever it has accepted."""
        return self.word(now, ()) > now

    def pulse(self, now: float, only: str | None = None) -> None:
        ballots = self.ballots
        message = {
            "k": "pulse",
            "t": now,
            # active on disk too: others leave and change sets on this word
            "v": ballots.voting and not self.due.facts.keys() & {"members", "held"},
            "w": self.whole(now),
            "acc": {name: ballots.acceptors[name].accepted for name in ALL},
            "dur": ballots.durable,
            "ep": ballots.epoch,
            "disk": ballots.disk,
            "ver": self.versions(),
            "leaving": self.leaving.is_set(),
        }
        about = {
            "members": ballots.members,
            "zone": self.told.zone,
            "counted": self.told.counted,
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
            if peer not in self.sessions.told:  # whoever listens there now may have an older disk
                told["bound"] = {name: kept[peer] for name, kept in ballots.bound.items() if peer in kept}
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
        """One grant or release at a worker. A grant leaves on a fresh word, or not at all."""
        sent, status, handover = self.loop.time(), 0, ""
        body = {"Source": call.first, "TargetVersion": call.last, "fence": call.fence}
        if call.kind == "grant":
            body["HoldS"] = call.hold
            if call.handover:
                body["Handover"] = call.handover
        within = ASK if call.kind == "grant" else self.holds.expiry
        until = until if call.kind == "grant" else sent + within
        try:
            async with asyncio.timeout(within):
                status, handover = await self.ask(call.kind, call.address, call.life, body, until)
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

    async def ask(
        self, kind: str, address: str, life: str, body: dict, until: float, fresh: bool = False
    ) -> tuple[int, str]:
        """A call about a worker's keys, not sent after `until` however long its connection takes to come up;
        its status and handover.

        The status is 0 where the answer is of another call: a surplus one of an older call may come in its
        place and names that one's id. One without an id proves no release, but on a connection that carried
        nothing before.
        """
        url, name = f"http://{address}/bramblewood/{kind}", f"{self.told.name}-{os.urandom(8).hex()}"
        headers = {"X-Target-Instance": life, "X-Attempt-Id": name}
        left = until - self.loop.time()
        if left <= 0:
            return 0, ""
        within = aiohttp.ClientTimeout(connect=left)
        session = self.fresh if fresh else self.calls
        async with session.post(url, json=body, headers=headers, timeout=within) as answer:
            told = answer.headers.getall("X-Attempt-Id", [])
            if told not in ([], [name]):
                answer.protocol.close()  # the call's own may still come there
                return 0, ""
            await answer.read()
        if not told and kind == "release" and not fresh:
            return await self.ask(kind, address, life, body, until, True)
        return answer.status, answer.headers.get("X-Handover", "")

    async def lease(self, lease: Lease, until: float) -> None:
        """One lease of a read copy; on a fresh word, or not at all."""
        status, (_, key, life, _) = 0, lease.one
        body = {
            "Source": key,
            "TargetVersion": key,
            "fence": lease.fence,
            "HoldS": LEASE,
            "Copy": lease.holder,
        }
        try:
            async with asyncio.timeout(LEASE * RENEW_PART):
                status, _ = await self.ask("grant", lease.address, life, body, until)
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        self.counts["archive_leases"] += 1
        self.copies.answered(self.loop.time(), lease, status)

    # --- ballots

    def propose(self, register: str, change: Any, tag: Any, within: float) -> None:
        self.carry(self.ballots.propose(self.loop.time(), register, change, tag, within))

    def carry(self, out: Out) -> None:
        """Writes first; sends and answers once they are safe."""
        rows, facts = self.due.take(out)
        if not rows and not facts:
            if out.sends or out.answers:
                self.dispatch(out)
            return
        if self.writing_since is None:
            self.writing_since = self.loop.time()
        self.writes += 1
        self.shelf.write(rows, facts, lambda problem: self.written(out, rows, facts, problem))

    def written(self, out: Out, rows: list, facts: dict[str, Any], problem: str | None) -> None:
        self.writes -= 1
        self.writing_since = self.loop.time() if self.writes else None
        if problem:
            self.log.error("not written", step="write", problem=problem)
            self.dispatch(nothing()._replace(answers=[(tag, None) for tag, _ in out.answers]))  # unclear
            return
        self.due.safe(rows, facts)
        for register, _, accepted, _ in rows:
            self.ballots.stored(register, accepted)
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
        if out.facts.keys() & {"members", "held"}:
            self.stepped()
        self.learned()

    def stepped(self) -> None:
        """Another epoch is known, or this archive became active in it: on disk by now."""
        ballots = self.ballots
        if (ballots.epoch, ballots.voting) != self.told_epoch:
            self.told_epoch = (ballots.epoch, ballots.voting)
            for peer in ballots.voters:
                self.know(peer)
            self.log.info(
                "epoch", step="epoch", epoch=ballots.epoch, voters=ballots.voters, voting=ballots.voting
            )
            self.pulse(self.loop.time())  # nobody waits for the next turn

    def hear_ballot(self, peer: str, message: dict) -> None:
        ballots = self.ballots
        self.carry(ballots.hear(self.loop.time(), peer, message))
        if ballots.lost_to is not None:
            who, ballot, promised = ballots.lost_to
            ballots.lost_to = None
            self.log.info("ballot lost", step="ballot", peer=who, ballot=trace(ballot), to=trace(promised))

    # --- other managers

    def hello(self, peer: str) -> dict:
        return {
            "k": "hello",
            "role": "archive",
            "from": self.me,
            "rows": self.rows(),
            "ages": self.roll.ages(self.loop.time(), math.inf),
        }

    def seeds_again(self) -> None:
        for peer in seeds_again(self.told, self.log):
            self.know(peer)

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
            self.take_rows(message.get("rows", {}), link.peer, message.get("ages"))
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
            out = nothing()
            if "members" in message:
                self.ballots.adopt(now, message["members"], out)
            for register, ballot in message["dur"].items():
                if tuple(ballot) != NONE and message["v"]:
                    self.ballots.voted(now, link.peer, message["disk"], register, tuple(ballot), out)
            self.carry(out)
            reminded = self.ballots.reminded(message["ep"], message.get("bound", {}), new_name())
            if reminded.facts:
                self.log.error("older disk", step="epoch", peer=link.peer, disk=self.ballots.disk)
                self.carry(reminded)
            self.learned()
            self.look_leaves()
            if not self.was_whole and self.whole(now):
                self.pulse_desks(now)
            for peer in message.get("archives", ()):
                self.know(peer)
        elif kind == "roll":
            newer = self.take_rows(message["rows"], link.peer)
            if "id" in message:
                epoch = self.ballots.epoch if self.ballots.voting else -1
                self.links.send(
                    link.peer, {"k": "rolled", "id": message["id"], "rows": newer, "epoch": epoch}
                )
            elif newer:
                self.links.send(link.peer, {"k": "roll", "rows": newer})
        elif kind == "rolled":
            self.take_rows(message["rows"], link.peer)
            self.leaves.held(message["id"], link.peer, message["epoch"])
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

    def take_rows(self, rows: dict, sender: str = "", ages: dict | None = None) -> dict[str, list]:
        """Take rows that another manager sent; those of its workers that leave of which we have a newer word.

        News of a leave goes on to the other archives, as its sender may reach but some of them.
        """
        news, newer = self.roll.take(self.loop.time(), rows, ages)
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
            if method == "POST" and path in ("/plan", "/members"):
                body = (await request.content.read())[:BEAT_MOST]
                if path == "/plan":
                    return await self.planned(plan_call(body))
                return await self.seated(members_call(body))
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
                heard = self.contact(self.loop.time())
                told = final_answer(edition, self.ballots.value(CONFIG)) if heard else None
                told = told or await self.agreed(CONFIG, lambda stands: succeed(edition, stands))
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

    async def seated(self, command: Any) -> web.Response:
        """An operator's call about who votes: agreed by a majority of those who do."""
        if isinstance(command, Err):
            return answer(command.err_value.status, command.err_value.reason)
        command, members = command.ok_value, self.ballots.members
        old, new = getattr(command, "old", ""), getattr(command, "new", "")
        change = self.membership.ordered(members, self.peers(self.loop.time()), self.versions(), old, new)
        if isinstance(change, Err):
            return answer(409, change.err_value)
        if change.ok_value.voters == members["voters"]:
            heard = self.contact(self.loop.time())
            return web.json_response({"Epoch": members["n"]}) if heard else answer(503, "no majority heard")
        told = await self.agreed(MEMBERS, succession(members, change.ok_value.voters))
        self.log.info("member change", step="epoch", why="by hand", old=old, new=new, told=told)
        if told is None:
            return answer(503, "no majority heard in time")
        if not told:
            return answer(412, "another change came first")
        return web.json_response({"Epoch": members["n"] + 1})

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
        if path == "/view/members":
            shown = self.membership.view(self.me, self.ballots.members, self.peers(now), self.versions())
            return web.json_response({**shown, "change": "a change is being agreed" if self.changing else ""})
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
                    "epoch": self.ballots.epoch,
                    "voters": sorted(self.ballots.voters),
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
                text=metrics.text(
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
        ballots = self.ballots
        return self.leaves.confirmed(now, number, ballots.voters, ballots.epoch, self.contact(now))

    def look_leaves(self) -> None:
        for number, waiting in self.confirms.items():
            if not waiting.done() and self.held(number):
                waiting.set_result(True)


class Heard(aiohttp.ClientResponse):
    """An answer that knows its connection even when that is kept already."""

    async def start(self, connection: Any) -> "Heard":
        self.protocol = connection.protocol
        return await super().start(connection)


def caller(**connections: Any) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(socket_factory=careful_socket, limit=0, **connections)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False, response_class=Heard)


def new_name() -> str:
    """A name for a disk, or for one that goes on as another."""
    return f"{int.from_bytes(os.urandom(4), 'big'):08x}"


def answer(status: int, reason: str = "", headers: dict | None = None) -> web.Response:
    body = {"Failure": reason} if reason else {}
    return web.json_response(body, status=status, headers=headers)
