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
from ..common.configuration_parser import build_configuration
from ..common.peer_connections import (
    CONNECTION_TIMEOUT,
    PeerConnection,
    PeerConnections,
    accept_connection,
    create_connection_socket,
)
from ..common.settings import SEED_REREAD_INTERVAL, Settings, reread_seeds
from ..common.slice_table import DRAIN_ANNOUNCED, DRAIN_IN_PROGRESS
from ..common.timeouts import READ_LEASE_DURATION
from ..common.worker_registry import GONE, READY, WorkerRegistration, WorkerRegistry
from . import placement
from .commands import (
    MAX_CALL_BYTES,
    Command,
    DeregisterWorker,
    EndDrainPlan,
    GetConfiguration,
    PutConfiguration,
    RegisterWorker,
    Rejection,
    StartDrainPlan,
    decode,
    decode_drain_plan_call,
    decode_membership_call,
    max_body_bytes,
)
from .configuration_succession import apply_configuration, settled_answer
from .consensus.effects import Effects, PendingWrites, no_effects
from .consensus.membership import Membership, may_shut_down
from .consensus.messages import CONSENSUS_MESSAGE_KINDS
from .consensus.peer_status import PeerStatus
from .consensus.proposal_number import NO_PROPOSAL, format_proposal_number
from .consensus.registers import ALL_REGISTERS, CONFIG, DATA_REGISTERS, TABLE, VOTER_SET
from .consensus.replica import ConsensusReplica
from .consensus.voter_set import founding_voters, next_voter_set
from .deregistration import HELD_WITHIN, Deregistrations
from .drain_plans import (
    drain_steps_of,
    end_plan,
    plans_of,
    start_plan,
    worker_drains_of,
    workers_in_use,
)
from .drain_progress import DrainProgress
from .key_leases import RENEWAL_FRACTION, KeyLeases, LeaseCall, ReleasedKeys
from .outlier_detection import OutlierDetection, ejections_of, with_ejections
from .proxy_updates import ProxyUpdates
from .read_replicas import ReadReplicas, ReplicaLease, without_expired_readers, without_readers
from .sessions import HEARTBEAT_INTERVAL, Sessions
from .storage import Storage

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


class Controller:
    def __init__(self, told: Settings) -> None:
        self.settings, self.me = told, told.ip
        self.log = logs.start_logging(told.name)
        self.incarnation = int.from_bytes(os.urandom(4), "big")
        self.storage = Storage(told.data_directory or "/tmp")
        self.registry, self.sessions = WorkerRegistry(), Sessions(self.me)
        self.peer_connections = PeerConnections(self.hello, self.hear, self.link_told, None, told.bind_ip)
        self.up_since: dict[str, float] = {}
        self.controllers: set[str] = set()
        self.membership = Membership(told.tolerance, told.region_of_zone, told.bounds.CatchUpS)
        self.due = PendingWrites({})
        self.changing = False  # the set of voters, from here
        self.proxies: dict[str, PeerConnection] = {}
        self.key_leases, self.read_replicas = KeyLeases(told.bounds.HoldMaxS), ReadReplicas()
        self.drain_plans, self.outlier_detection = (
            DrainProgress(self.key_leases.expiry_wait),
            OutlierDetection(),
        )
        self.deregistrations = Deregistrations(self.me)
        self.confirms: dict[int, asyncio.Future] = {}  # by round of leaves
        self.configurations: tuple[int, Any] = (0, None)
        self.aims: dict[str, float] = {}
        self.shown: dict[str, int] = dict.fromkeys(DATA_REGISTERS, 0)
        self.told_of: dict[str, int] = dict.fromkeys(DATA_REGISTERS, 0)  # newest versions in the log
        self.proxy_updates = ProxyUpdates()
        self.homes: dict[str, PeerConnection] = {}  # desks that are pushed to from here
        self.said, self.sayings = "", 0  # what pulses to desks say seldom, and how often it has changed
        self.writing_since: float | None = None
        self.writes = 0
        self.counts = dict.fromkeys(
            ("archive_grants", "archive_releases", "archive_leases", "archive_calls_failed"), 0
        )
        self.refused: dict[str, int] = {}
        self.to_free: dict[tuple, ReleasedKeys] = {}
        self.freeing = False
        self.pulse_at = self.desk_pulse_at = self.turn_at = self.health_at = 0.0
        self.proposing = self.was_coordinator = self.was_whole = False
        self.told_epoch = (-1, False)
        self.leaving, self.leaving_at = asyncio.Event(), None  # told to end; when

    # --- start and end

    async def run(self) -> int:
        loop = self.loop = asyncio.get_running_loop()
        found = await asyncio.to_thread(self.storage.open)
        if isinstance(found, Err):
            self.log.error("no shelf", step="open", problem=found.err_value)
            return 2
        facts = found.ok_value["facts"]
        self.begin(facts, found.ok_value["registers"])
        self.placement = placement.PlacementPlanner(
            loop.time(), self.settings.heartbeat_interval, self.settings.detect_hot_keys
        )
        self.storage.start(lambda done, problem: loop.call_soon_threadsafe(done, problem))
        self.carry(no_effects())
        for peer in {*self.settings.seed_hosts(), *self.consensus.voters, *facts.get("archives", ())}:
            self.know(peer)
        self.started = loop.time()
        self.lonely_at = self.started + SEED_REREAD_INTERVAL
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self.reread_seeds)
        servers = []
        for place in (
            self.settings.listen_addresses["Control"],
            (self.settings.bind_ip or self.settings.ip, self.settings.peer_port),
        ):
            server = await loop.create_server(web.Server(self.serve, access_log=None), *place, backlog=512)
            servers.append(server)
        self.calls, self.fresh = caller(keepalive_timeout=4.0), caller(force_close=True)
        logs.log_started(
            self.log,
            self.settings.unsupported,
            contract=self.settings.rule_parts,
            epoch=self.consensus.epoch,
            voters=sorted(self.consensus.voters),
            voting=self.consensus.is_active_voter,
        )
        while not self.may_end(loop.time()):
            self.tick(loop.time())
            try:
                async with asyncio.timeout(TICK):
                    await self.leaving.wait()
                    await asyncio.sleep(TICK)
            except TimeoutError:
                pass
        self.consensus.stop_voting()  # no vote is given any more: who holds what has been looked at
        self.log.info("stopped", step="end")
        for server in servers:
            server.close()
        await self.peer_connections.close()
        await self.calls.close()
        await self.fresh.close()
        self.storage.close()
        return 0

    # --- who votes

    def begin(self, facts: dict[str, Any], stored: dict[str, tuple]) -> None:
        """What the disk tells. One that tells nothing is new, whether or not there was another before."""
        disk, members, held = facts.get("disk"), facts.get("members"), facts.get("held", -1)
        if members is None and "voters" in facts:  # of form 1, which knew no epochs
            members = {"n": 1, "voters": dict.fromkeys(facts["voters"], ""), "before": {}}
            held = 1 if "born" in facts else -1
        elif members is None and self.settings.first_boot and self.me in self.settings.seed_hosts():
            members, held = founding_voters(self.settings.seed_hosts()), 0
        disk = disk or new_name()
        self.consensus = ConsensusReplica(self.me, disk, self.incarnation, stored, members, held)
        self.due.facts = {"disk": disk, "held": held}
        if members is not None:
            self.due.facts["members"] = members

    def know(self, peer: str) -> None:
        if peer != self.me and peer not in self.controllers:
            self.controllers.add(peer)
            self.due.facts["archives"] = sorted(self.controllers)
            self.peer_connections.maintain(peer, self.settings.peer_port)

    def peers(self, now: float) -> dict[str, PeerStatus]:
        """All archives known as the question of who should vote sees them; one that was never heard counts as
        silent since the start.
        """
        consensus = self.consensus
        unheard = PeerStatus("", "", True, 0, False, False, now - self.started, 0.0, {})
        mine = PeerStatus(
            consensus.disk,
            self.settings.zone,
            self.settings.counts_for_tolerance,
            consensus.epoch,
            consensus.is_active_voter,
            self.leaving.is_set(),
            0.0,
            now - self.started,
            self.versions(),
        )
        known = dict.fromkeys({*self.controllers, *consensus.voters}, unheard)
        return {**known, **self.sessions.peers(now), self.me: mine}

    def versions(self) -> dict[str, int]:
        return {register: self.consensus.version(register) for register in DATA_REGISTERS}

    def seats(self, now: float) -> None:
        """Propose the change of the set of voters that is due."""
        consensus = self.consensus
        if self.changing or not consensus.is_member and consensus.epoch == 0:
            return
        change = None
        if consensus.epoch == 0:
            late = now >= self.started + FOUND_WITHIN
            change = self.membership.founding_change(self.settings.seed_hosts(), self.peers(now), late)
        elif self.sessions.coordinator(now, self.whole(now)) == self.me:
            change = self.membership.due_change(consensus.voter_set, self.peers(now), self.versions())
        if change is not None:
            self.changing = True
            self.log.info(
                "member change",
                step="epoch",
                epoch=consensus.epoch + 1,
                why=change.reason,
                voters=change.voters,
            )
            self.propose(VOTER_SET, next_voter_set(consensus.voter_set, change.voters), self.changed, 1.0)

    def changed(self, outcome: Any) -> None:
        self.changing = False

    def may_end(self, now: float) -> bool:
        """Whether this program, told to end, may: its vote is not needed any more, or its time is up."""
        if not self.leaving.is_set():
            return False
        if self.leaving_at is None:
            self.leaving_at = now
            self.log.info("ending", step="end", voting=self.consensus.is_active_voter)
            self.pulse(now)
        if (
            now >= self.leaving_at + self.settings.bounds.GraceS * GRACE_PART
            or self.consensus.active_epoch < 0
        ):
            return True
        peers = self.peers(now)
        return may_shut_down(
            self.me,
            self.consensus.disk,
            self.consensus.voter_set,
            peers,
            {name: acceptor.accepted for name, acceptor in self.consensus.acceptors.items()},
            {name: heard.durable for name, heard in self.sessions.heard.items()},
            bool(self.membership.successors(self.consensus.voter_set, peers)),
        )

    # --- turns

    def tick(self, now: float) -> None:
        self.carry(self.consensus.tick(now))
        self.seats(now)
        if self.peer_connections.connected or now >= self.lonely_at:
            if not self.peer_connections.connected:
                self.reread_seeds()
            self.lonely_at = now + SEED_REREAD_INTERVAL
        if now >= self.pulse_at:
            self.pulse_at = now + HEARTBEAT_INTERVAL
            self.pulse(now)
        if now >= self.desk_pulse_at or self.whole(now) != self.was_whole:
            self.desk_pulse_at = now + DESK_PULSE
            self.pulse_desks(now)
        self.learned()
        if now >= self.turn_at:
            self.turn_at = now + TURN
            self.registry.remove_expired(now)
            self.drain_plans.record_connected_proxies(now, self.sessions.all_proxies(now, list(self.proxies)))
        self.steer(now)

    def whole(self, now: float) -> bool:
        """Whether this archive may act for the core and be believed by desks: a word of the majority on all
        registers, a disk that answers, and nobody has told it to end.
        """
        if self.leaving.is_set():
            return False
        stalled = self.writing_since is not None and now - self.writing_since > STALL
        return not stalled and self.word(now) > now

    def word(self, now: float, registers: tuple[str, ...] = DATA_REGISTERS) -> float:
        """Until when a majority's word holds that nothing newer is chosen in these registers; 0 for none."""
        consensus = self.consensus
        known = {name: consensus.chosen[name][0] for name in registers}
        own = {name: acceptor.accepted for name, acceptor in consensus.acceptors.items()}
        own = own if consensus.is_active_voter else None
        return self.sessions.word_until(now, consensus.voters, consensus.epoch, known, own)

    def contact(self, now: float) -> bool:
        """Whether a majority of the voters has answered of late, whatever it has accepted."""
        return self.word(now, ()) > now

    def pulse(self, now: float, only: str | None = None) -> None:
        consensus = self.consensus
        message = {
            "k": "pulse",
            "t": now,
            # active on disk too: others leave and change sets on this word
            "v": consensus.is_active_voter and not self.due.facts.keys() & {"members", "held"},
            "w": self.whole(now),
            "acc": {name: consensus.acceptors[name].accepted for name in ALL_REGISTERS},
            "dur": consensus.durable_accepted,
            "ep": consensus.epoch,
            "disk": consensus.disk,
            "ver": self.versions(),
            "leaving": self.leaving.is_set(),
        }
        about = {
            "members": consensus.voter_set,
            "zone": self.settings.zone,
            "counted": self.settings.counts_for_tolerance,
            "archives": sorted({self.me, *self.controllers}),
            "desks": sorted(self.proxies),
        }
        for peer in [only] if only else list(self.peer_connections.connected):
            if peer not in self.peer_connections.connected:
                continue
            heard = self.sessions.heard.get(peer)
            if now - max(heard.at if heard else 0.0, self.up_since[peer]) > CONNECTION_TIMEOUT:
                self.peer_connections.connected[
                    peer
                ].close()  # its own link brings nothing any more: likely a cut
                continue
            told = {**message, "e": self.sessions.stamps.get(peer, -1e9)}
            if peer not in self.sessions.told:  # whoever listens there now may have an older disk
                told["bound"] = {
                    name: kept[peer] for name, kept in consensus.peer_commitments.items() if peer in kept
                }
            told |= self.sessions.news(peer, about)
            if int(now / HEARTBEAT_INTERVAL) % 4 == 0:
                told["heard"] = self.registry.seconds_since_heard(now, 2.0)
            self.peer_connections.send(peer, told)

    def pulse_desks(self, now: float) -> None:
        whole = self.was_whole = self.whole(now)
        coordinator = self.sessions.coordinator(now, whole)
        told = {
            "k": "pulse",
            "n": self.shown,
            "whole": whole,
            "scribe": coordinator == self.me,
            "desks": len(self.sessions.all_proxies(now, list(self.proxies))),
        }
        if silent := self.silent(now):
            told["silent"] = sorted(silent)
        message = json.dumps(told, separators=(",", ":"))
        about = {"zone": self.settings.zone, "archives": sorted({self.me, *self.controllers})}
        if coordinator == self.me:
            about["near"] = self.placement.zone_shares()
            if hot_keys := self.placement.hot_keys():
                about["crowds"] = hot_keys
        seldom = json.dumps({**told, **about}, separators=(",", ":"))
        if seldom[len(message) :] != self.said:  # what changes seldom is said when it has, and on a new link
            self.said, self.sayings = seldom[len(message) :], self.sayings + 1
        for link in list(self.proxies.values()):
            link.send(message if link.details_version == self.sayings else seldom)
            link.details_version = self.sayings

    def push(self, link: PeerConnection, register: str) -> None:
        """Send a desk what it lacks of a register, as far as was sent to it before."""
        if register == TABLE:
            if message := self.proxy_updates.message_since(link.sent_versions.get(TABLE, 0)):
                link.sent_versions[TABLE] = message["n"]
                link.send(message)
            return
        value = self.consensus.value(register)
        if value is not None and value["n"] > link.sent_versions.get(register, 0):
            link.sent_versions[register] = value["n"]
            link.send({"k": "config", "n": value["n"], "config": value["config"]})

    def silent(self, now: float) -> set[str]:
        return self.registry.timed_out(now, BEATS_MISSED * self.settings.heartbeat_interval)

    def learned(self) -> None:
        """Show what is newly chosen to the desks."""
        for register in DATA_REGISTERS:
            version = self.consensus.version(register)
            if version == self.shown[register]:
                continue
            if version > self.told_of[register]:
                self.told_of[register] = version
                proposal_number = format_proposal_number(self.consensus.chosen[register][0])
                self.log.info(
                    "chosen",
                    step="ballot",
                    proposal_number=proposal_number,
                    register=register,
                    version=version,
                )
            if register == TABLE:
                if version > self.proxy_updates.version:
                    self.proxy_updates.learn_table(self.consensus.value(TABLE))
                    self.read_replicas.learn_table(self.loop.time(), self.consensus.value(TABLE))
                    self.outlier_detection.record_table(self.loop.time(), self.consensus.value(TABLE))
                self.loop.call_later(GRANT_FIRST, self.show, register, version)
            else:
                self.show(register, version)
        if self.configurations[0] != (version := self.consensus.version(CONFIG)):
            configuration = build_configuration(self.consensus.value(CONFIG)["config"]).ok()
            self.configurations, self.aims = (
                (version, configuration),
                configuration.latency_targets() if configuration else {},
            )

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
        coordinator = self.sessions.coordinator(now, whole) == self.me and self.configurations[1] is not None
        if coordinator != self.was_coordinator:
            self.was_coordinator = coordinator
            self.log.info("scribe" if coordinator else "not scribe", step="steer")
            if coordinator:
                self.placement.reset()  # others have moved things since
                self.key_leases.calls_in_flight.clear()
        if not coordinator:
            return
        table = self.consensus.value(TABLE)
        services = self.configurations[1].services
        keyed = {name for name, service in services.items() if service.sharded}
        if table is not None:
            calls, free = self.key_leases.next_calls(now, table, keyed, self.registry)
            until = self.word(now)
            for call in calls:
                asyncio.ensure_future(self.call(call, until))
            for one in free:
                self.free(one)
            leases, over = self.read_replicas.due_leases(now, table, self.registry)
            for lease in leases:
                asyncio.ensure_future(self.lease(lease, until))
            if over and not self.proposing:
                self.move(lambda value: without_expired_readers(value, over))
            if worker_drains_of(table) and not self.proposing:
                self.withdraw(now, table)
        if table is not None and now >= self.health_at:
            self.health_at = now + TURN
            self.judge(now, table)
        if not self.proposing:
            wanted = self.placement.plan_changes(
                now, services, self.aims, self.registry, self.silent(now), table
            )
            if wanted:
                moves = {service: (len(c.assignments), len(c.splits)) for service, c in wanted.items()}
                self.log.info("moves", step="placement", moves=moves, table=self.consensus.version(TABLE))
                self.move(lambda value: placement.apply_slice_changes(value, wanted, keyed))

    def withdraw(self, now: float, table: dict) -> None:
        """The next step of the plans that take workers out of service."""
        change = self.drain_plans.next_change(now, table, self.registry, self.placement.service_capacities())
        if change is not None:
            self.move(change)

    def judge(self, now: float, table: dict) -> None:
        """Take workers out that look ill to the desks, and back after a while."""
        leaving, in_service = self.silent(now) | drain_steps_of(table).keys(), {}
        for instance_id, row in self.registry.registrations.items():
            if row.phase == READY and instance_id not in leaving:
                in_service.setdefault(row.service, []).append(instance_id)
        told = self.outlier_detection.plan_ejections(
            now, table, self.outlier_detection.find_outliers(in_service), in_service
        )
        seen = ejections_of(table)
        if with_ejections(table, told, seen)[0] is not None and not self.proposing:
            self.log.info("health", step="placement", told=told)
            self.move(lambda value: with_ejections(value, told, seen))

    def move(self, change: Any) -> None:
        """A change of the table by the scribe; void if this archive is whole no more when its turn comes."""
        self.proposing = True
        fenced = lambda value: change(value) if self.whole(self.loop.time()) else (None, None)  # noqa: E731
        self.propose(TABLE, fenced, self.proposed, 1.0)

    def proposed(self, outcome: Any) -> None:
        self.proposing = False
        if outcome is None:
            self.placement.reset()  # unclear: begin again from what stands
        self.learned()

    def free(self, one: ReleasedKeys) -> None:
        """Ask for a slice to be free of its old holder; all that wait go in one change."""
        self.to_free[one.service, one.starts, one.fencing_token] = one
        if not self.freeing:
            self.freeing, some = True, list(self.to_free.values())
            self.to_free.clear()

            def change(value: dict | None) -> tuple[dict | None, bool]:
                made, changed = value, False
                for each in some:
                    after, found = placement.clear_previous_owner(
                        made,
                        each.service,
                        each.starts,
                        each.fencing_token,
                        each.previous_owner,
                        each.handover,
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

    async def call(self, call: LeaseCall, until: float) -> None:
        """One grant or release at a worker. A grant leaves on a fresh word, or not at all."""
        sent, status, handover = self.loop.time(), 0, ""
        body = {"Source": call.first_key, "TargetVersion": call.last_key, "fence": call.fencing_token}
        if call.kind == "grant":
            body["HoldS"] = call.duration
            if call.handover:
                body["Handover"] = call.handover
        within = ASK if call.kind == "grant" else self.key_leases.expiry_wait
        until = until if call.kind == "grant" else sent + within
        try:
            async with asyncio.timeout(within):
                status, handover = await self.ask(call.kind, call.address, call.instance_id, body, until)
        except aiohttp.ClientConnectorError as problem:
            status = -1 if isinstance(problem.os_error, ConnectionRefusedError) else 0
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        self.counts[f"archive_{call.kind}s"] += 1
        self.counts["archive_calls_failed"] += status != 200
        now = self.loop.time()
        row = self.registry.registrations.get(call.instance_id)
        self.refused[call.instance_id] = self.refused.get(call.instance_id, 0) + 1 if status == -1 else 0
        unheard = now - self.registry.last_heard.get(call.instance_id, 0.0)
        ended = (
            row is None
            or row.phase == GONE
            or self.refused[call.instance_id] > 1
            and unheard > 1.3 * self.settings.heartbeat_interval
        )
        if status != 200:
            self.log.info(
                "call failed",
                step=call.kind,
                peer=call.instance_id,
                status=status,
                keys=(call.first_key, call.last_key),
                fencing_token=call.fencing_token,
            )
        elif call.kind == "release" or self.key_leases.is_first_grant(call):
            self.log.info(
                "keys passed",
                step=call.kind,
                peer=call.instance_id,
                keys=(call.first_key, call.last_key),
                fencing_token=call.fencing_token,
            )
        if status == 409:
            self.propose(
                TABLE,
                lambda value: placement.raise_fencing_tokens(
                    value, call.service, call.starts, call.fencing_token
                ),
                self.refreshed,
                1.0,
            )
        free = self.key_leases.call_finished(now, call, sent, status, handover, ended)
        if free is not None:
            self.free(free)
        elif status == -1 and ended and row is not None and row.phase != GONE:
            self.note(call.instance_id, row._replace(phase=GONE))

    async def ask(
        self, kind: str, address: str, instance_id: str, body: dict, until: float, fresh: bool = False
    ) -> tuple[int, str]:
        """A call about a worker's keys, not sent after `until` however long its connection takes to come up;
        its status and handover.

        The status is 0 where the answer is of another call: a surplus one of an older call may come in its
        place and names that one's id. One without an id proves no release, but on a connection that carried
        nothing before.
        """
        url, name = f"http://{address}/bramblewood/{kind}", f"{self.settings.name}-{os.urandom(8).hex()}"
        headers = {"X-Target-Instance": instance_id, "X-Attempt-Id": name}
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
            return await self.ask(kind, address, instance_id, body, until, True)
        return answer.status, answer.headers.get("X-Handover", "")

    async def lease(self, lease: ReplicaLease, until: float) -> None:
        """One lease of a read copy; on a fresh word, or not at all."""
        status, (_, key, instance_id, _) = 0, lease.reader
        body = {
            "Source": key,
            "TargetVersion": key,
            "fence": lease.fencing_token,
            "HoldS": READ_LEASE_DURATION,
            "Copy": lease.owner_address,
        }
        try:
            async with asyncio.timeout(READ_LEASE_DURATION * RENEWAL_FRACTION):
                status, _ = await self.ask("grant", lease.address, instance_id, body, until)
        except (OSError, TimeoutError, aiohttp.ClientError):
            pass
        self.counts["archive_leases"] += 1
        self.read_replicas.lease_finished(self.loop.time(), lease, status)

    # --- ballots

    def propose(self, register: str, change: Any, tag: Any, within: float) -> None:
        self.carry(self.consensus.propose(self.loop.time(), register, change, tag, within))

    def carry(self, out: Effects) -> None:
        """Writes first; sends and answers once they are safe."""
        rows, facts = self.due.prepare_write(out)
        if not rows and not facts:
            if out.sends or out.answers:
                self.dispatch(out)
            return
        if self.writing_since is None:
            self.writing_since = self.loop.time()
        self.writes += 1
        self.storage.write(rows, facts, lambda problem: self.written(out, rows, facts, problem))

    def written(self, out: Effects, rows: list, facts: dict[str, Any], problem: str | None) -> None:
        self.writes -= 1
        self.writing_since = self.loop.time() if self.writes else None
        if problem:
            self.log.error("not written", step="write", problem=problem)
            self.dispatch(no_effects()._replace(answers=[(tag, None) for tag, _ in out.answers]))  # unclear
            return
        self.due.mark_durable(rows, facts)
        for register, _, accepted, _ in rows:
            self.consensus.mark_durable(register, accepted)
        self.dispatch(out)

    def dispatch(self, out: Effects) -> None:
        for peer, message in out.sends:
            if peer == self.me:
                self.loop.call_soon(self.hear_ballot, self.me, message)
            else:
                self.peer_connections.send(peer, message)
        for tag, outcome in out.answers:
            if callable(tag):
                self.loop.call_soon(tag, outcome)
        if out.facts.keys() & {"members", "held"}:
            self.stepped()
        self.learned()

    def stepped(self) -> None:
        """Another epoch is known, or this archive became active in it: on disk by now."""
        consensus = self.consensus
        if (consensus.epoch, consensus.is_active_voter) != self.told_epoch:
            self.told_epoch = (consensus.epoch, consensus.is_active_voter)
            for peer in consensus.voters:
                self.know(peer)
            self.log.info(
                "epoch",
                step="epoch",
                epoch=consensus.epoch,
                voters=consensus.voters,
                voting=consensus.is_active_voter,
            )
            self.pulse(self.loop.time())  # nobody waits for the next turn

    def hear_ballot(self, peer: str, message: dict) -> None:
        consensus = self.consensus
        self.carry(consensus.receive(self.loop.time(), peer, message))
        rejection = consensus.take_last_rejection()
        if rejection is not None:
            who, proposal_number, promised = rejection
            self.log.info(
                "ballot lost",
                step="ballot",
                peer=who,
                proposal_number=format_proposal_number(proposal_number),
                to=format_proposal_number(promised),
            )

    # --- other managers

    def hello(self, peer: str) -> dict:
        return {
            "k": "hello",
            "role": "archive",
            "from": self.me,
            "rows": self.rows(),
            "ages": self.registry.seconds_since_heard(self.loop.time(), math.inf),
        }

    def reread_seeds(self) -> None:
        for peer in reread_seeds(self.settings, self.log):
            self.know(peer)

    def link_told(self, peer: str, up: bool) -> None:
        now = self.up_since[peer] = self.loop.time()
        if up:
            self.sessions.anew(peer)
            self.pulse(now, peer)
        self.log.info("link up" if up else "link lost", step="link", peer=peer)

    def met(self, link: PeerConnection, message: dict) -> None:
        link.peer, link.role = str(message["from"]), message["role"]
        if link.role == "archive":
            self.know(link.peer)
            self.take_rows(message.get("rows", {}), link.peer, message.get("ages"))
            return
        self.proxies[link.peer] = link
        self.drain_plans.forget_report(link.peer)
        self.take_rows(message.get("rows", {}))  # what all archives forgot in a restart, desks have kept
        link.send({"k": "roll", "rows": self.registry.departing_registrations()})
        self.pulse_desks(self.loop.time())

    def left(self, link: PeerConnection) -> None:
        for kept in (self.proxies, self.homes):
            if kept.get(link.peer) is link:
                del kept[link.peer]

    def home(self, link: PeerConnection, message: dict) -> None:
        """A desk chooses to be pushed to from here, or no longer."""
        if not message["on"]:
            self.homes.pop(link.peer, None)
            return
        self.homes[link.peer], link.sent_versions = link, dict(message["have"])
        link.send({"k": "roll", "rows": self.rows(), "all": True})
        for register in DATA_REGISTERS:
            self.push(link, register)

    def hear(self, link: PeerConnection, message: dict) -> None:
        now, kind = self.loop.time(), message["k"]
        if kind == "pulse":
            self.sessions.pulse(now, link.peer, message)
            if message["e"] < 0:  # it has no stamp of ours yet: at a start nobody waits for the next turn
                self.pulse(now, link.peer)
            self.registry.record_last_heard(now, message.get("heard", {}))
            out = no_effects()
            if "members" in message:
                self.consensus.adopt_voter_set(now, message["members"], out)
            for register, proposal_number in message["dur"].items():
                if tuple(proposal_number) != NO_PROPOSAL and message["v"]:
                    self.consensus.record_acceptance(
                        now, link.peer, message["disk"], register, tuple(proposal_number), out
                    )
            self.carry(out)
            reminded = self.consensus.check_disk_rollback(message["ep"], message.get("bound", {}), new_name())
            if reminded.facts:
                self.log.error("older disk", step="epoch", peer=link.peer, disk=self.consensus.disk)
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
                epoch = self.consensus.epoch if self.consensus.is_active_voter else -1
                self.peer_connections.send(
                    link.peer, {"k": "rolled", "id": message["id"], "rows": newer, "epoch": epoch}
                )
            elif newer:
                self.peer_connections.send(link.peer, {"k": "roll", "rows": newer})
        elif kind == "rolled":
            self.take_rows(message["rows"], link.peer)
            self.deregistrations.held(message["id"], link.peer, message["epoch"])
            self.look_leaves()
        elif kind == "home":
            self.home(link, message)
        elif kind == "want":
            self.wanted(link, message["r"], message["have"])
        elif kind == "report":
            self.reported(now, link, message)
        elif kind == "confirm":
            if self.whole(now):
                newest = {register: self.consensus.version(register) for register in DATA_REGISTERS}
                link.send({"k": "confirmed", "t": message["t"], "n": newest})
        elif kind == "off":
            self.take_off(link, message)
        elif kind in CONSENSUS_MESSAGE_KINDS:
            self.hear_ballot(link.peer, message)

    def take_off(self, link: PeerConnection, message: dict) -> None:
        """A desk asks that readers of a record that don't answer are taken off it."""
        service, key, instance_ids = message["service"], message["key"], set(message["lives"])

        def told(outcome: Any) -> None:
            if outcome:
                link.send({"k": "offed", "id": message["id"], "n": self.consensus.version(TABLE)})

        self.log.info("readers taken off", step="copies", peer=sorted(instance_ids), keys=(key, key))
        self.propose(TABLE, lambda value: without_readers(value, service, key, instance_ids), told, 1.0)

    def wanted(self, link: PeerConnection, register: str, have: int) -> None:
        link.sent_versions[register] = have
        self.push(link, register)

    def reported(self, now: float, link: PeerConnection, message: dict) -> None:
        over, by_key = message["over"], message.get("keys", {})
        if "n" in message:
            self.drain_plans.record_report(link.peer, message["n"], message.get("left", {}))
        met: dict[str, list] = {service: [] for service in {**message["heat"], **by_key}}
        for instance_id, (tries, unanswered, mean_time, load, *bad) in message["met"].items():
            row = self.registry.registrations.get(instance_id)
            if row is None:
                continue
            self.outlier_detection.record_attempts(link.peer, instance_id, tries, sum(bad))
            if tries > unanswered:
                self.registry.last_heard[instance_id] = max(
                    self.registry.last_heard.get(instance_id, 0.0), now - over
                )
            met.setdefault(row.service, []).append(
                placement.worker_report(instance_id, tries, unanswered, mean_time, over, load)
            )
        if self.was_coordinator:
            for service, some in met.items():
                heat, keys = message["heat"].get(service, {}), by_key.get(service, {})
                self.placement.record_report(now, service, link.peer, heat, keys, over, some)

    def take_rows(self, rows: dict, sender: str = "", ages: dict | None = None) -> dict[str, list]:
        """Take rows that another manager sent; those of its workers that leave of which we have a newer word.

        News of a leave goes on to the other archives, as its sender may reach but some of them.
        """
        news, newer = self.registry.record_all(self.loop.time(), rows, ages)
        if news:
            self.tell_desks(news)
        if leaving := {
            instance_id: row for instance_id, row in news.items() if WorkerRegistration(*row).phase != READY
        }:
            self.share(leaving, but=sender)
        return newer

    def tell_desks(self, rows: dict) -> None:
        """News of workers: to the desks whose home this is; of those that leave to all, as one archive may be
        lost.
        """
        message = json.dumps({"k": "roll", "rows": rows}, separators=(",", ":"))
        for link in list(self.homes.values()):
            link.send(message)
        leaving = {
            instance_id: row for instance_id, row in rows.items() if WorkerRegistration(*row).phase != READY
        }
        if leaving:
            message = json.dumps({"k": "roll", "rows": leaving}, separators=(",", ":"))
            for name, link in list(self.proxies.items()):
                if name not in self.homes:
                    link.send(message)

    def note(self, instance_id: str, row: WorkerRegistration, number: int | None = None) -> None:
        """Take a row; where it is news, tell all desks and archives. With a number all archives answer."""
        news = self.registry.record(self.loop.time(), instance_id, row)
        rows = {instance_id: [*self.registry.registrations[instance_id]]}
        if news or number is not None:
            self.share(rows, number)
        if not news:
            return
        self.tell_desks(rows)
        if row.phase != READY:
            self.log.info("worker leaves", step="roll", peer=instance_id, phase=row.phase)
            self.loop.call_soon(self.steer, self.loop.time())

    def share(self, rows: dict, number: int | None = None, but: str = "") -> None:
        """Send rows to the other archives; with a number they answer that they hold them."""
        message = {"k": "roll", "rows": rows} | ({} if number is None else {"id": number})
        for peer in list(self.peer_connections.connected):
            if peer != but:
                self.peer_connections.send(peer, message)

    def rows(self) -> dict[str, list]:
        """The whole roll as it travels."""
        return {instance_id: [*row] for instance_id, row in self.registry.registrations.items()}

    # --- callers of control

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if (
            request.path == "/link"
            and request.transport.get_extra_info("sockname")[1] == self.settings.peer_port
        ):
            return await accept_connection(request, self.met, self.hear, self.left)
        method, path = request.method, request.raw_path
        if request.transport.get_extra_info("sockname")[1] == self.settings.peer_port:
            if method == "POST" and path in ("/plan", "/members"):
                body = (await request.content.read())[:MAX_CALL_BYTES]
                if path == "/plan":
                    return await self.planned(decode_drain_plan_call(body))
                return await self.seated(decode_membership_call(body))
            view = self.view(path)  # what this archive knows, rounds or not
            view.headers["X-Local-View"] = f"{self.me}; whole={int(self.whole(self.loop.time()))}"
            return view
        body = b""
        bound = max_body_bytes(method, path)
        async for chunk in request.content.iter_chunked(2**16):
            body += chunk
            if len(body) > bound:
                return answer(413, f"at most {bound} bytes")
        command = decode(method, path, body)
        if isinstance(command, Err):
            refusal: Rejection = command.err_value
            if method == "PUT" and path.startswith("/bramblewood/config"):
                self.log.info("configuration refused", step="check", reason=refusal.reason)
            headers = {"Allow": refusal.allow} if refusal.allow else {}
            return answer(refusal.status, refusal.reason, headers)
        return await self.obey(command.ok_value)

    async def obey(self, command: Command) -> web.Response:
        """A worker's or the operator's call: taken, served or refused for good by a majority only."""
        match command:
            case RegisterWorker(instance_id, row) as call:
                return await self.registered(instance_id, row, call.is_leaving)
            case DeregisterWorker(instance_id):
                row = self.registry.registrations.get(instance_id) or WorkerRegistration(
                    "", "", "", 1, GONE, 0
                )  # others may know it
                return await self.registered(
                    instance_id, row._replace(phase=GONE, call_sequence=row.call_sequence + 1), True
                )
            case PutConfiguration(configuration):
                heard = self.contact(self.loop.time())
                told = settled_answer(configuration, self.consensus.value(CONFIG)) if heard else None
                told = told or await self.agreed(
                    CONFIG, lambda stands: apply_configuration(configuration, stands)
                )
                self.log.info(
                    "configuration",
                    step="put",
                    number=configuration.revision,
                    parent=configuration.parent_revision,
                    told=told,
                )
                return answer(*told) if told else answer(503, "no majority heard in time")
            case GetConfiguration():
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
            instance_ids = self.chosen(command, value)
            staying = len(
                set(workers_in_use(self.registry, command.service, worker_drains_of(value)))
                - set(instance_ids)
            )
            return start_plan(value, command.name, command.service, instance_ids, command.wave, staying)

        if isinstance(command, EndDrainPlan):
            told = await self.agreed(TABLE, lambda value: end_plan(value, command.name, command.state))
        elif command.dry_run:
            read = lambda value: (None, (self.chosen(command, value), start(value)[1]))  # noqa: E731
            if (told := await self.agreed(TABLE, read)) is not None:
                instance_ids, (status, reason) = told
                waves = [
                    instance_ids[i : i + command.wave] for i in range(0, len(instance_ids), command.wave)
                ]
                return web.json_response({"Waves": waves, "Failure": "" if status == 200 else reason})
        else:
            told = await self.agreed(TABLE, start)
        self.log.info("plan", step="withdraw", name=command.name, told=told)
        return answer(*told) if told else answer(503, "no majority heard in time")

    def chosen(self, command: StartDrainPlan, value: dict | None) -> list[str]:
        """The workers that a plan names, by the table that stands."""
        if command.name in plans_of(value):
            return plans_of(value)[command.name].instance_ids  # asked again
        able = workers_in_use(self.registry, command.service, worker_drains_of(value))
        instance_ids = [
            instance_id
            for instance_id in able
            if not command.instance_ids or instance_id in command.instance_ids
        ]
        instance_ids = [
            instance_id
            for instance_id in instance_ids
            if command.zone in ("", self.registry.registrations[instance_id].zone)
        ]
        instance_ids = [
            instance_id
            for instance_id in instance_ids
            if command.revision in ("", self.registry.registrations[instance_id].revision)
        ]
        return instance_ids[: command.count or len(instance_ids)]

    async def seated(self, command: Any) -> web.Response:
        """An operator's call about who votes: agreed by a majority of those who do."""
        if isinstance(command, Err):
            return answer(command.err_value.status, command.err_value.reason)
        command, members = command.ok_value, self.consensus.voter_set
        old, new = getattr(command, "old", ""), getattr(command, "new", "")
        change = self.membership.requested_change(
            members, self.peers(self.loop.time()), self.versions(), old, new
        )
        if isinstance(change, Err):
            return answer(409, change.err_value)
        if change.ok_value.voters == members["voters"]:
            heard = self.contact(self.loop.time())
            return web.json_response({"Epoch": members["n"]}) if heard else answer(503, "no majority heard")
        told = await self.agreed(VOTER_SET, next_voter_set(members, change.ok_value.voters))
        self.log.info("member change", step="epoch", why="by hand", old=old, new=new, told=told)
        if told is None:
            return answer(503, "no majority heard in time")
        if not told:
            return answer(412, "another change came first")
        return web.json_response({"Epoch": members["n"] + 1})

    def plans(self, now: float) -> dict:
        """The plans as they stand, with what keeps each worker."""
        table, told = self.consensus.value(TABLE), self.drain_plans
        return {
            name: {
                **plan.stored(),
                "workers": {
                    instance_id: {
                        "step": step,
                        "sending": told.unconfirmed_proxies(now, version)
                        if step == DRAIN_IN_PROGRESS
                        else [],
                        "under way": {
                            proxy: [*left] for proxy, left in told.work_in_flight(now, instance_id).items()
                        },
                        "keys": step != DRAIN_ANNOUNCED and told.owns_keys(table, instance_id),
                    }
                    for instance_id, (plan_of, step, version) in worker_drains_of(table).items()
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
                    instance_id: {
                        **row.to_view(),
                        "heard": round(now - self.registry.last_heard.get(instance_id, 0.0), 2),
                        "silent": instance_id in silent,
                    }
                    for instance_id, row in self.registry.registrations.items()
                }
            )
        if path == "/view/members":
            shown = self.membership.view(self.me, self.consensus.voter_set, self.peers(now), self.versions())
            return web.json_response({**shown, "change": "a change is being agreed" if self.changing else ""})
        if path == "/view/plans":
            return web.json_response(self.plans(now))
        if path == "/view/table":
            return web.json_response(self.consensus.value(TABLE) or {"n": 0, "s": {}})
        if path == "/view/holds":
            return web.json_response(
                [
                    {
                        "service": service,
                        "from": start,
                        "life": instance_id,
                        "fence": fencing_token,
                        "until": round(at + self.key_leases.lease_duration - now, 2),
                    }
                    for (service, start), (instance_id, fencing_token, at) in sorted(
                        self.key_leases.granted.items()
                    )
                ]
            )
        if path == "/view/sessions":
            return web.json_response(
                {
                    "me": self.me,
                    "epoch": self.consensus.epoch,
                    "voters": sorted(self.consensus.voters),
                    "votes": self.consensus.is_active_voter,
                    "whole": self.whole(now),
                    "scribe": self.sessions.coordinator(now, self.whole(now)),
                    "archives": {
                        peer: {"heard": round(now - heard.at, 2), "whole": heard.whole, "votes": heard.votes}
                        for peer, heard in self.sessions.heard.items()
                    },
                    "desks": sorted(self.sessions.all_proxies(now, list(self.proxies))),
                }
            )
        if path == "/view/history":
            value = self.consensus.value(CONFIG)
            return web.json_response(value["past"] if value else {})
        if path == "/metrics":
            consensus = self.consensus
            return web.Response(
                text=metrics.format_metrics(
                    {
                        "archive_whole": int(self.whole(now)),
                        "archive_votes": int(consensus.is_active_voter),
                        "archive_scribe": int(self.was_coordinator),
                        "archive_desks": len(self.proxies),
                        "archive_workers": len(self.registry.registrations),
                        "archive_silent_workers": len(self.silent(now)),
                        "archive_config_version": consensus.version(CONFIG),
                        "archive_table_version": consensus.version(TABLE),
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

    async def registered(self, instance_id: str, row: WorkerRegistration, leaving: bool) -> web.Response:
        """A worker's call: noted and told on at once, but answered 200 in touch with a majority only, so that
        its worker goes to an archive that the others hear. A leave is confirmed once a majority holds it.
        """
        if not leaving:
            self.note(instance_id, row)
            heard = self.contact(self.loop.time())
            return web.json_response({}) if heard else answer(503, "no majority heard")
        number = self.deregistrations.ask(self.loop.time())
        waiting = self.confirms[number] = self.loop.create_future()
        self.note(instance_id, row, number)
        self.look_leaves()
        try:
            async with asyncio.timeout(HELD_WITHIN):
                await waiting
        except TimeoutError:
            pass
        held = self.held(number)  # by the clock of now: a freeze may lie before
        del self.confirms[number]
        self.deregistrations.end(number)
        return web.json_response({}) if held else answer(503, "no majority holds it in time")

    def held(self, number: int) -> bool:
        now = self.loop.time()
        consensus = self.consensus
        return self.deregistrations.confirmed(
            now, number, consensus.voters, consensus.epoch, self.contact(now)
        )

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
    connector = aiohttp.TCPConnector(socket_factory=create_connection_socket, limit=0, **connections)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False, response_class=Heard)


def new_name() -> str:
    """A name for a disk, or for one that goes on as another."""
    return f"{int.from_bytes(os.urandom(4), 'big'):08x}"


def answer(status: int, reason: str = "", headers: dict | None = None) -> web.Response:
    body = {"Failure": reason} if reason else {}
    return web.json_response(body, status=status, headers=headers)
