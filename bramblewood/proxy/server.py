"""The desk's shell: clients' connections, workers' connections, links to the archives, signals."""

import asyncio
import json
import os
import signal
import socket
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from ..common import logs, metrics
from ..common.configuration import Configuration
from ..common.configuration_parser import build_configuration
from ..common.listeners import ACCEPT_BACKLOG, listen_on
from ..common.peer_connections import CONNECTION_TIMEOUT, PeerConnection, PeerConnections
from ..common.settings import SEED_REREAD_INTERVAL, Settings, reread_seeds
from ..common.slice_table import KEY_SPACE_SIZE
from ..common.worker_registry import GONE, WorkerRegistration
from .connection_pool import ROUND_TRIP_WATCH, ConnectionPool
from .connection_quota import idle_connection_quota
from .controller_selection import ControllerSelection, OutgoingMessages
from .load_balancing import LoadBalancer
from .replica_invalidation import ALL_CLEAR, ConfirmTable, DropReplicas, RemoveReaders, ReplicaInvalidation
from .request_attempts import FinalReply, RequestAttempts, RetryBudget, SendToWorker, WaitUntil
from .worker_connection import AttemptOutcome

# without a configuration: bytes of headers and body, s for a first request and between requests
HEADER_BYTES, BODY_BYTES, HEADER_TIME, IDLE = 2**14, 2**26, 3.0, 15.0
MEET = 0.01  # s after a standstill in which requests that came meanwhile are met: some turns of the loop
REPORT = 0.5  # s between reports to the scribe: the design's cycle, whose length is free
START_WAIT = 0.25  # s that a request waits for the first configuration: a restart of all is over soon
TIDY = 1.0  # s between looks at kept connections
LEFT_OF_LATE = 10.0  # s for which a leave is told to archives again: many times what a late call of it takes
CONFIRM_AGAIN = 0.1  # s until an archive is asked again whether a table is the newest
DROP_WITHIN = 0.2  # s for a reader to drop a copy: many times the way between zones
OFF_WITHIN = 1.0  # s for a change of the table to be agreed and told
LAST = 0.3  # s of the grace that are kept for the end itself
MISSES = 2.6  # s after which the platform has missed two of its looks and sends no new connections
MEMORY_PART = 0.25  # of the process's memory that clients' bodies may take
AT_ONCE = 2**16  # bytes read from a body at once
HOPS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"expect",
}
# whose value decides who gets a request and whose an answer is: twice, it would be read in two ways
ONCE = ("Host", "X-Attempt-Id", "X-Shard-Key", "X-Deadline-Ms")
FOR_WORKERS = {name.lower().encode() for name in ONCE}  # no `Connection` field may take these away
OURS = {b"x-deadline-ms", b"x-target-instance", b"content-length"}
NOTHING = {b"content-length", b"date", b"server"}
BACK_MOST = 60.0  # s, a deadline where a client names none


class Proxy:
    def __init__(self, told: Settings, doors: dict[str, socket.socket] | None = None) -> None:
        """doors: sockets that listen already, by their names in `BindMap`."""
        self.settings, self.doors = told, doors or {}
        self.log = logs.start_logging(told.name)
        bounds = told.bounds
        self.load_balancer = LoadBalancer(bounds.DrainS, told.zone)
        self.retry_budget = RetryBudget(bounds.RetryRatio, bounds.RetryWindowS, bounds.RetrySlack)
        self.connection_pool = ConnectionPool()
        self.configuration: Configuration | None = None
        self.peer_connections = PeerConnections(
            self.hello, self.hear, self.link_told, CONNECTION_TIMEOUT, told.bind_ip
        )
        self.controller_selection = ControllerSelection(told.name, told.zone)
        self.ending = False
        self.front: asyncio.Server | None = None
        self.clients: tuple[Configuration | None, web.Server] | None = (
            None  # by whose limits, and what serves them
        )
        self.young: set[int] = set()  # connections that have brought no request yet
        self.flight, self.held = 0, 0
        self.tries: dict[AttemptOutcome, int] = dict.fromkeys(AttemptOutcome, 0)
        self.answers: dict[int, int] = {}
        self.ids, self.offs = 0, {}
        self.changed: asyncio.Event | None = None
        self.reported_at = 0.0

    async def run(self) -> int:
        loop = self.loop = asyncio.get_running_loop()
        self.leaving, self.changed = asyncio.Event(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self.reread_seeds)
        for peer in self.settings.seed_hosts():
            self.peer_connections.maintain(peer, self.settings.peer_port)
        probe = web.Server(self.readiness, access_log=None, keepalive_timeout=5.0)
        for name, server in (("Front", self.newcomer), ("ReadyProbe", probe)):
            sock = self.doors.get(name) or listen_on(*self.settings.listen_addresses[name])
            made = await loop.create_server(server, sock=sock, backlog=ACCEPT_BACKLOG)
            self.front = made if name == "Front" else self.front
        self.reported_at = tidy_at = loop.time()
        lonely_at = self.reported_at + SEED_REREAD_INTERVAL
        logs.log_started(self.log, self.settings.unsupported, contract=self.settings.rule_parts)
        while not self.leaving.is_set():
            try:
                async with asyncio.timeout(REPORT):
                    await self.leaving.wait()
            except TimeoutError:
                pass
            now = loop.time()
            self.report(now)
            if self.peer_connections.connected or now >= lonely_at:
                if not self.peer_connections.connected:
                    self.reread_seeds()
                lonely_at = now + SEED_REREAD_INTERVAL
            if now >= tidy_at:
                tidy_at = now + TIDY
                rows = self.load_balancer.registry.registrations.items()
                self.connection_pool.prune(
                    now,
                    {
                        instance_id: self.room(row.service, instance_id, now)
                        for instance_id, row in rows
                        if row.phase != GONE
                    },
                )
                self.load_balancer.registry.remove_expired(now)
                self.load_balancer.forget_departed()
        return await self.end(loop.time())

    # --- what a client may send, how long it may take

    def limit(self, name: str, usual: float) -> float:
        """A figure of the configuration's `Limits`, or what holds without one."""
        return self.configuration.limits.get(name, usual) if self.configuration is not None else usual

    def newcomer(self) -> asyncio.Protocol:
        """The protocol of a client's new connection, by the limits of now."""
        if self.clients is None or self.clients[0] is not self.configuration:
            size = int(self.limit("MaxHeaderBytes", HEADER_BYTES))
            # a request that begins at the end of a rest has its own time still
            rest = self.limit("IdleTimeoutS", IDLE) + self.limit("HeaderTimeoutS", HEADER_TIME)
            made = web.Server(
                self.serve,
                access_log=None,
                max_line_size=size,
                max_field_size=size,
                max_headers=256,
                keepalive_timeout=rest,
                auto_decompress=False,
            )
            self.clients = (self.configuration, made)
        handler = self.clients[1]()
        self.young.add(id(handler))  # the timer holds it meanwhile
        within = self.limit("HeaderTimeoutS", HEADER_TIME)
        self.loop.call_later(within, self.loop.call_later, MEET, self.late, handler)
        return handler

    def late(self, handler: Any) -> None:
        """Its time for a first request is over: a client that has sent none by now is let go."""
        if id(handler) in self.young:
            self.young.discard(id(handler))
            if handler.transport is not None:
                handler.transport.abort()

    async def end(self, now: float) -> int:
        """SIGTERM: not ready, new connections still answered and closed, work in flight finished within
        GraceS.
        """
        self.ending = True
        self.log.info("ending", step="end", flight=self.flight)
        last, calm = now + self.settings.bounds.GraceS - LAST, now + MISSES
        while self.loop.time() < last and (self.flight or self.loop.time() < calm):
            if self.loop.time() >= calm and self.front is not None:
                # where few machines are in, the platform goes on sending: the refused go elsewhere at once
                self.front.close()
                self.front = None
            await asyncio.sleep(0.05)
            self.report(self.loop.time())
        self.log.info("stopped", step="end", flight=self.flight)
        await self.peer_connections.close()
        return 0

    # --- the archives

    def reread_seeds(self) -> None:
        for peer in reread_seeds(self.settings, self.log):
            self.peer_connections.maintain(peer, self.settings.peer_port)

    def hello(self, peer: str) -> dict:
        """The first words to an archive: also who leaves, as a restart of all archives forgets it."""
        leaving = self.load_balancer.registry.departing_registrations(self.loop.time() - LEFT_OF_LATE)
        return {"k": "hello", "role": "desk", "from": self.settings.name, "rows": leaving}

    def link_told(self, peer: str, up: bool) -> None:
        self.say(self.controller_selection.connection_changed(peer, up, self.have()))

    def say(self, sends: OutgoingMessages) -> None:
        for peer, message in sends:
            self.peer_connections.send(peer, message)

    def have(self) -> dict[str, int]:
        return {
            "config": self.configuration.revision if self.configuration else 0,
            "table": self.load_balancer.table_version,
        }

    def hear(self, link: PeerConnection, message: dict) -> None:
        now, kind = self.loop.time(), message["k"]
        if kind == "pulse":
            self.pulse(now, link.peer, message)
        elif kind == "roll":
            for instance_id, row in message["rows"].items():
                if (
                    self.load_balancer.registry.record(now, instance_id, WorkerRegistration(*row))
                    and row[4] == GONE
                ):
                    self.connection_pool.close_all(instance_id)
            if "all" in message:
                self.say(self.controller_selection.registry_received(now, link.peer, self.have()))
            self.stir()
        elif kind == "config":
            self.take_config(message)
        elif kind == "confirmed":
            was_ready = self.controller_selection.is_ready
            self.controller_selection.confirmation_received(now, link.peer, message, self.have())
            if self.controller_selection.is_ready and not was_ready:
                self.log.info("ready", step="start", number=self.configuration.revision)
            self.stir()
        elif kind == "offed":
            if (waiting := self.offs.get(message["id"])) is not None and not waiting.done():
                waiting.set_result(True)
        elif kind == "table":
            if not self.load_balancer.apply_table(message):
                link.send({"k": "want", "r": "table", "have": 0})
            self.stir()
        if kind in ("config", "table"):
            self.say(self.controller_selection.confirmation_request(now, self.have()))

    def pulse(self, now: float, peer: str, message: dict) -> None:
        if message["scribe"] and "near" in message:
            self.load_balancer.apply_hot_keys(message.get("crowds", {}))
            near = message["near"].items()
            self.load_balancer.local_fractions = {
                service: parts.get(self.settings.zone, 0.0) for service, parts in near
            }
        if message["whole"]:
            self.load_balancer.timed_out = set(message.get("silent", ()))
            self.retry_budget.proxies = max(message["desks"], 1)
        for other in message.get("archives", ()):
            self.peer_connections.maintain(other, self.settings.peer_port)
        self.say(self.controller_selection.heartbeat_received(now, peer, message, self.have()))

    def take_config(self, message: dict) -> None:
        if self.configuration is not None and message["n"] <= self.configuration.revision:
            return  # never back within one life
        configuration = build_configuration(message["config"])
        if configuration.is_ok():
            self.configuration = configuration.ok_value
            self.log.info("configuration", step="take", number=self.configuration.revision)
            self.stir()

    def stir(self) -> None:
        """Requests that wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def stirred(self, until: float) -> None:
        """Wait for news of the archives, at most until then."""
        try:
            async with asyncio.timeout_at(until):
                await self.changed.wait()
        except TimeoutError:
            pass

    def report(self, now: float) -> None:
        coordinator = self.controller_selection.coordinator
        if coordinator is not None and self.peer_connections.send(
            coordinator, self.load_balancer.build_report(now - self.reported_at, now)
        ):
            self.reported_at = now

    # --- the platform

    async def readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            return web.Response(text=metrics.format_metrics(self.counted()))
        ready = self.controller_selection.is_ready and not self.ending
        return web.Response(status=200 if ready else 503)

    def counted(self) -> dict[str, float]:
        ended = {f'desk_answers_total{{class="{kind}xx"}}': count for kind, count in self.answers.items()}
        return {
            "desk_ready": int(self.controller_selection.is_ready and not self.ending),
            "desk_in_flight": self.flight,
            "desk_config_version": self.configuration.revision if self.configuration else 0,
            "desk_table_version": self.load_balancer.table_version,
            "desk_archives": len(self.peer_connections.connected),
            "desk_connections_opened_total": self.connection_pool.opened,
            "desk_connections_reused_total": self.connection_pool.reused,
            "desk_connections_turned_total": self.connection_pool.rejected,
            "desk_body_bytes": self.held,
            **{f'desk_tries_total{{how="{how.value}"}}': count for how, count in self.tries.items()},
            **ended,
        }

    def room(self, service: str, instance_id: str, now: float) -> int:
        """Idle connections that may be kept to a worker of this service."""
        told = self.configuration.services.get(service) if self.configuration is not None else None
        return idle_connection_quota(
            told.max_connections if told else 0,
            self.retry_budget.proxies,
            self.settings.name,
            instance_id,
            now,
        )

    # --- clients

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.flight += 1
        self.young.discard(id(request.protocol))
        try:
            response = await self.request(request)
        finally:
            self.flight -= 1
        self.answers[response.status // 100] = self.answers.get(response.status // 100, 0) + 1
        unread = not request.content.at_eof()
        # who waits to send a body may send it or not; what follows a declined upgrade may be read in part
        if self.ending or unread and expects(request) or "Upgrade" in request.headers:
            response.force_close()
        return response

    async def request(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self.loop.time()
        while self.configuration is None and self.loop.time() < now + START_WAIT:
            await self.stirred(now + START_WAIT)
        configuration = self.configuration
        if configuration is None:
            return own(503, "no configuration yet", 0.5)
        route = configuration.find_route(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            return own(404, "no route")
        if sum(len(name) + len(value) + 4 for name, value in request.raw_headers) > self.limit(
            "MaxHeaderBytes", HEADER_BYTES
        ):
            return own(431, "headers too large", close=True)
        for field in ONCE:
            if len(request.headers.getall(field, ())) > 1:
                return own(400, f"{field}: more than one")
        name = request.headers.get("X-Attempt-Id")
        if name == "":
            return own(400, "X-Attempt-Id: empty")
        if request.headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
            return own(400, "Transfer-Encoding: expected chunked", close=True)
        name = name or f"{self.settings.name}-{os.urandom(8).hex()}"
        service = route.choose_service(name)
        key = None
        if configuration.services[service].sharded:
            key = whole_number(request.headers.get("X-Shard-Key", ""))
            if key is None or key >= KEY_SPACE_SIZE:
                return own(400, f"X-Shard-Key: expected a number from 0 to {KEY_SPACE_SIZE - 1}")
        told = whole_number(request.headers.get("X-Deadline-Ms", ""))
        deadline = BACK_MOST if told is None else told / 1000
        body = await self.body(request, self.limit("MaxBodyBytes", BODY_BYTES), now + deadline)
        if isinstance(body, web.Response):
            return body
        attempts = RequestAttempts(now, route, service, key, name, deadline)
        if route.pinned and key is None:
            attempts.affinity_key = request.headers.get("X-Shard-Key", "")
        try:
            return await self.carry(request, body, attempts)
        finally:
            attempts.leave_queue()
            self.held -= len(body)

    async def body(self, request: web.BaseRequest, most: int, until: float) -> bytes | web.Response:
        """The whole body, within what the configuration, the machine's memory and the client's time allow."""
        if not request.can_read_body:
            return b""
        if expects(request) and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        parts, size = [], 0
        try:
            async with asyncio.timeout_at(until):
                async for part in request.content.iter_chunked(AT_ONCE):
                    size += len(part)
                    if size > most:
                        return own(413, f"at most {most} bytes", close=True)
                    if self.held + size > self.settings.memory_limit * MEMORY_PART:
                        return own(503, "too many bodies at once", 0.5, close=True)
                    parts.append(part)
        except TimeoutError:  # also where bytes came that form no chunk: aiohttp does not tell its handler
            return own(408, "the body did not come in time", close=True)
        except ConnectionError:
            return own(400, "the client went away", close=True)
        self.held += size
        return b"".join(parts)

    async def carry(self, request: web.BaseRequest, body: bytes, attempts: RequestAttempts) -> web.Response:
        loop, load_balancer = self.loop, self.load_balancer
        self.retry_budget.record_request(attempts.service, loop.time())
        key = attempts.key
        if key is None:
            key = load_balancer.slice_key(loop.time(), attempts.service, attempts.request_id)
        load_balancer.count_request(attempts.service, key)
        while True:
            step = attempts.next_step(loop.time(), load_balancer, self.retry_budget)
            if isinstance(step, WaitUntil):
                await self.stirred(step.until)
                continue
            reply = (
                step if isinstance(step, FinalReply) else await self.attempt(request, body, attempts, step)
            )
            if reply is not None:
                return finish(reply, request.method)

    async def attempt(
        self, request: web.BaseRequest, body: bytes, attempts: RequestAttempts, step: SendToWorker
    ) -> FinalReply | None:
        loop, load_balancer, instance_id = self.loop, self.load_balancer, step.instance_id
        seen = load_balancer.observation(instance_id)
        effect = not attempts.route.pure
        seen.oldest_in_flight_at = seen.oldest_in_flight_at if seen.in_flight else loop.time()
        seen.in_flight += 1
        seen.non_idempotent_in_flight += effect
        if attempts.affinity_key:
            load_balancer.set_affinity(
                seen.oldest_in_flight_at,
                attempts.service,
                attempts.affinity_key,
                instance_id,
                attempts.route.timeout,
            )
        began, answer = loop.time(), None
        try:
            address = load_balancer.registry.registrations[instance_id].address
            line, how = await self.connection_pool.acquire(
                instance_id, address, began, effect, attempts.used_connections
            )
            if line is not None:
                now = loop.time()
                if now >= attempts.deadline:  # its connection took that long to come up
                    line.close()
                    return attempts.fail(now, "no answer in time")
                attempts.used_connections.add(line.number)
                rest = now - line.idle_since if line.idle_since else 0.0
                asked = head(request, body, attempts, instance_id, now) + body
                bare = request.method == "HEAD"
                how, answer = await line.exchange(asked, attempts.request_id, attempts.deadline, bare)
                at_once = (
                    how is AttemptOutcome.CONNECTION_BROKEN
                    and rest
                    and loop.time() - now < ROUND_TRIP_WATCH[1]
                )
                if (
                    at_once and load_balancer.load_per_slot(now, instance_id) < 1.0
                ):  # a full one resets what finds no room
                    self.connection_pool.record_dead_connection(now, rest)
                self.connection_pool.release(instance_id, line, self.room(attempts.service, instance_id, now))
        finally:
            seen.in_flight -= 1
            seen.non_idempotent_in_flight -= effect
        now = loop.time()
        self.tries[how] += 1
        if how is AttemptOutcome.ANSWERED:
            load_balancer.record_answer(now, instance_id, now - began)
            load_balancer.record_load(now, instance_id, answer.headers_by_name.get("X-Server-Load", ""))
            if answer.status in (429, 503):
                load_balancer.record_rejection(now, instance_id)
            if answer.status >= 500 and "X-Not-Run" not in answer.headers_by_name:
                load_balancer.record_server_error(instance_id)
        elif how is AttemptOutcome.CONNECTION_REJECTED:
            load_balancer.record_rejection(now, instance_id)
        else:
            load_balancer.record_failure(now, instance_id, how is not AttemptOutcome.CONNECTION_BROKEN)
            if how is AttemptOutcome.CONNECTION_BROKEN:
                load_balancer.record_rejection(
                    now, instance_id
                )  # workers of some services reset what they have no room for
            self.log.info(
                "try failed",
                step="attempt",
                peer=instance_id,
                how=how.value,
                id=attempts.request_id,
                key=attempts.key,
                fencing_token=load_balancer.fencing_token(attempts.service, attempts.key),
            )
            if how is AttemptOutcome.NOT_SENT:
                self.connection_pool.close_all(instance_id)
        readers = (
            load_balancer.replica_holders(attempts.service, attempts.key) if attempts.key is not None else ()
        )
        reply = attempts.attempt_finished(now, instance_id, how, answer, instance_id in readers)
        copied = attempts.key is not None and self.configuration.services[attempts.service].read_replicas
        if (
            copied
            and not attempts.route.pure
            and how is AttemptOutcome.ANSWERED
            and 200 <= answer.status < 300
        ):
            if not await self.invalidation(attempts):
                return FinalReply(504, "copies of its record could not be recalled in time")
        return reply

    # --- read copies

    async def invalidation(self, attempts: RequestAttempts) -> bool:
        """Let no copy stand that is older than this effect; false where that takes longer than its client
        waits.
        """
        invalidation, load_balancer, key = ReplicaInvalidation(), self.load_balancer, attempts.key
        while (now := self.loop.time()) < attempts.deadline:
            step = invalidation.next_step(
                now,
                self.controller_selection.table_confirmed_at,
                load_balancer.replica_holders(attempts.service, key),
            )
            if step == ALL_CLEAR:
                return True
            if isinstance(step, ConfirmTable):
                self.confirm(now)
                await self.stirred(min(now + CONFIRM_AGAIN, attempts.deadline))
            elif isinstance(step, DropReplicas):
                fencing_token = load_balancer.fencing_token(attempts.service, key) or 0
                drops = [self.drop(instance_id, key, fencing_token) for instance_id in step.instance_ids]
                for instance_id, dropped in zip(step.instance_ids, await asyncio.gather(*drops), strict=True):
                    invalidation.drop_finished(instance_id, dropped)
            elif isinstance(step, RemoveReaders):
                if await self.taken_off(attempts.service, key, step.instance_ids, attempts.deadline):
                    invalidation.readers_removed(self.loop.time(), step.instance_ids)
            else:
                await asyncio.sleep(min(step.at, attempts.deadline) - now)
        return False

    def confirm(self, now: float) -> None:
        """Ask the home archive whether our table is the newest; the answer counts from now."""
        if self.controller_selection.upstream is not None:
            self.peer_connections.send(self.controller_selection.upstream, {"k": "confirm", "t": now})

    async def drop(self, instance_id: str, key: int, fencing_token: int) -> bool:
        """Have a reader drop its copy of a record."""
        row = self.load_balancer.registry.registrations.get(instance_id)
        if row is None or row.phase == GONE:
            return True
        body = json.dumps({"Source": key, "TargetVersion": key, "fence": fencing_token}).encode()
        name = f"drop-{self.settings.name}-{os.urandom(4).hex()}"
        lines = [
            "POST /bramblewood/release HTTP/1.1",
            f"Host: {row.address}",
            "Content-Type: application/json",
        ]
        lines += [
            f"X-Attempt-Id: {name}",
            f"X-Target-Instance: {instance_id}",
            f"Content-Length: {len(body)}",
        ]
        line, _ = await self.connection_pool.acquire(instance_id, row.address, self.loop.time(), False)
        if line is None:
            return False
        asked = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        how, answer = await line.exchange(asked, name, self.loop.time() + DROP_WITHIN)
        line.close()
        return how is AttemptOutcome.ANSWERED and answer.status == 200

    async def taken_off(self, service: str, key: int, instance_ids: tuple[str, ...], until: float) -> bool:
        """Have readers that don't answer taken off a record; whether that is agreed."""
        number = self.ids = self.ids + 1
        waiting = self.offs[number] = self.loop.create_future()
        try:
            asked = {"k": "off", "id": number, "service": service, "key": key, "lives": instance_ids}
            if self.controller_selection.upstream is None or not self.peer_connections.send(
                self.controller_selection.upstream, asked
            ):
                await self.stirred(min(self.loop.time() + CONFIRM_AGAIN, until))
                return False
            async with asyncio.timeout_at(min(self.loop.time() + OFF_WITHIN, until)):
                return await waiting
        except TimeoutError:
            return False
        finally:
            del self.offs[number]


def head(
    request: web.BaseRequest, body: bytes, attempts: RequestAttempts, instance_id: str, now: float
) -> bytes:
    """The request as a worker gets it: unchanged but for what concerns one connection, the time left and its
    target.
    """
    named = options(request.headers) - FOR_WORKERS
    lines = [f"{request.method} {request.raw_path} HTTP/1.1".encode("utf-8", "surrogateescape")]
    for name, value in request.raw_headers:
        low = name.lower()
        if low not in HOPS and low not in OURS and low not in named:
            lines.append(name + b": " + value)
    if "X-Attempt-Id" not in request.headers:
        lines.append(f"X-Attempt-Id: {attempts.request_id}".encode())
    lines.append(f"X-Deadline-Ms: {max(int((attempts.deadline - now) * 1000), 1)}".encode())
    lines.append(f"X-Target-Instance: {instance_id}".encode())
    if body or "Content-Length" in request.headers or "Transfer-Encoding" in request.headers:
        lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"


def own(status: int, reason: str, later: float | None = None, close: bool = False) -> web.Response:
    response = web.json_response({"Failure": reason}, status=status)
    if later is not None:
        response.headers["Retry-After"] = f"{later:.3f}"
    if close:
        response.force_close()
    return response


def finish(reply: FinalReply, method: str) -> web.Response:
    if reply.response is None:
        return own(reply.status, reply.reason, reply.retry_after)
    answer = reply.response
    headers: CIMultiDict[Any] = CIMultiDict()
    left_out = HOPS | options(answer.headers_by_name) | NOTHING
    for name, value in answer.raw_headers:
        if name.lower() not in left_out:
            headers.add(name.decode("utf-8", "surrogateescape"), value.decode("utf-8", "surrogateescape"))
    if method == "HEAD" and "Content-Length" in answer.headers_by_name:
        headers["Content-Length"] = answer.headers_by_name["Content-Length"]  # of what a GET would bring
    return web.Response(status=answer.status, reason=answer.reason, body=answer.body, headers=headers)


def options(headers: Any) -> set[bytes]:
    """The fields that concern one connection by the word of its `Connection` fields."""
    told = ",".join(headers.getall("Connection", ()))
    return {name.strip().lower().encode("utf-8", "surrogateescape") for name in told.split(",")}


def expects(request: web.BaseRequest) -> bool:
    """Whether the client waits for a word before it sends a body."""
    return request.headers.get("Expect", "").lower() == "100-continue"


def whole_number(text: str) -> int | None:
    """A whole number as a field brings it, of 18 digits at most; None if it is none."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 18 else None
