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
from ..common.configuration import Edition, edition_of
from ..common.listeners import BACKLOG, door
from ..common.peer_connections import QUIET, Link, Links
from ..common.settings import LONELY, Settings, seeds_again
from ..common.slice_table import KEYS
from ..common.worker_registry import GONE, Row
from .connection_pool import PROOF, Stacks
from .connection_quota import keeps
from .controller_selection import Contact, Sends
from .load_balancing import Steering
from .replica_invalidation import CLEAR, Confirm, Drop, Recall, TakeOff
from .request_attempts import Budget, Errand, Reply, Send, Wait
from .worker_connection import How

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


class Desk:
    def __init__(self, told: Settings, doors: dict[str, socket.socket] | None = None) -> None:
        """doors: sockets that listen already, by their names in `BindMap`."""
        self.told, self.doors = told, doors or {}
        self.log = logs.begin(told.name)
        bounds = told.bounds
        self.steering = Steering(bounds.DrainS, told.zone)
        self.budget = Budget(bounds.RetryRatio, bounds.RetryWindowS, bounds.RetrySlack)
        self.stacks = Stacks()
        self.edition: Edition | None = None
        self.links = Links(self.hello, self.hear, self.link_told, QUIET, told.bind)
        self.contact = Contact(told.name, told.zone)
        self.ending = False
        self.front: asyncio.Server | None = None
        self.clients: tuple[Edition | None, web.Server] | None = None  # by whose limits, and what serves them
        self.young: set[int] = set()  # connections that have brought no request yet
        self.flight, self.held = 0, 0
        self.tries: dict[How, int] = dict.fromkeys(How, 0)
        self.answers: dict[int, int] = {}
        self.ids, self.offs = 0, {}
        self.changed: asyncio.Event | None = None
        self.reported_at = 0.0

    async def run(self) -> int:
        loop = self.loop = asyncio.get_running_loop()
        self.leaving, self.changed = asyncio.Event(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self.seeds_again)
        for peer in self.told.seed_ips():
            self.links.keep(peer, self.told.inner)
        probe = web.Server(self.readiness, access_log=None, keepalive_timeout=5.0)
        for name, server in (("Front", self.newcomer), ("ReadyProbe", probe)):
            sock = self.doors.get(name) or door(*self.told.listen[name])
            made = await loop.create_server(server, sock=sock, backlog=BACKLOG)
            self.front = made if name == "Front" else self.front
        self.reported_at = tidy_at = loop.time()
        lonely_at = self.reported_at + LONELY
        logs.started(self.log, self.told.unread, contract=self.told.contract)
        while not self.leaving.is_set():
            try:
                async with asyncio.timeout(REPORT):
                    await self.leaving.wait()
            except TimeoutError:
                pass
            now = loop.time()
            self.report(now)
            if self.links.up or now >= lonely_at:
                if not self.links.up:
                    self.seeds_again()
                lonely_at = now + LONELY
            if now >= tidy_at:
                tidy_at = now + TIDY
                rows = self.steering.roll.rows.items()
                self.stacks.tidy(
                    now,
                    {life: self.room(row.service, life, now) for life, row in rows if row.phase != GONE},
                )
                self.steering.roll.forget(now)
                self.steering.forget()
        return await self.end(loop.time())

    # --- what a client may send, how long it may take

    def limit(self, name: str, usual: float) -> float:
        """A figure of the configuration's `Limits`, or what holds without one."""
        return self.edition.limits.get(name, usual) if self.edition is not None else usual

    def newcomer(self) -> asyncio.Protocol:
        """The protocol of a client's new connection, by the limits of now."""
        if self.clients is None or self.clients[0] is not self.edition:
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
            self.clients = (self.edition, made)
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
        last, calm = now + self.told.bounds.GraceS - LAST, now + MISSES
        while self.loop.time() < last and (self.flight or self.loop.time() < calm):
            if self.loop.time() >= calm and self.front is not None:
                # where few machines are in, the platform goes on sending: the refused go elsewhere at once
                self.front.close()
                self.front = None
            await asyncio.sleep(0.05)
            self.report(self.loop.time())
        self.log.info("stopped", step="end", flight=self.flight)
        await self.links.end()
        return 0

    # --- the archives

    def seeds_again(self) -> None:
        for peer in seeds_again(self.told, self.log):
            self.links.keep(peer, self.told.inner)

    def hello(self, peer: str) -> dict:
        """The first words to an archive: also who leaves, as a restart of all archives forgets it."""
        leaving = self.steering.roll.leaving(self.loop.time() - LEFT_OF_LATE)
        return {"k": "hello", "role": "desk", "from": self.told.name, "rows": leaving}

    def link_told(self, peer: str, up: bool) -> None:
        self.say(self.contact.link(peer, up, self.have()))

    def say(self, sends: Sends) -> None:
        for peer, message in sends:
            self.links.send(peer, message)

    def have(self) -> dict[str, int]:
        return {"config": self.edition.number if self.edition else 0, "table": self.steering.table_n}

    def hear(self, link: Link, message: dict) -> None:
        now, kind = self.loop.time(), message["k"]
        if kind == "pulse":
            self.pulse(now, link.peer, message)
        elif kind == "roll":
            for life, row in message["rows"].items():
                if self.steering.roll.merge(now, life, Row(*row)) and row[4] == GONE:
                    self.stacks.drop(life)
            if "all" in message:
                self.say(self.contact.roll(now, link.peer, self.have()))
            self.stir()
        elif kind == "config":
            self.take_config(message)
        elif kind == "confirmed":
            was_ready = self.contact.ready
            self.contact.confirmed(now, link.peer, message, self.have())
            if self.contact.ready and not was_ready:
                self.log.info("ready", step="start", number=self.edition.number)
            self.stir()
        elif kind == "offed":
            if (waiting := self.offs.get(message["id"])) is not None and not waiting.done():
                waiting.set_result(True)
        elif kind == "table":
            if not self.steering.take_table(message):
                link.send({"k": "want", "r": "table", "have": 0})
            self.stir()
        if kind in ("config", "table"):
            self.say(self.contact.ask(now, self.have()))

    def pulse(self, now: float, peer: str, message: dict) -> None:
        if message["scribe"] and "near" in message:
            self.steering.take_crowds(message.get("crowds", {}))
            near = message["near"].items()
            self.steering.near = {service: parts.get(self.told.zone, 0.0) for service, parts in near}
        if message["whole"]:
            self.steering.silent = set(message.get("silent", ()))
            self.budget.desks = max(message["desks"], 1)
        for other in message.get("archives", ()):
            self.links.keep(other, self.told.inner)
        self.say(self.contact.pulse(now, peer, message, self.have()))

    def take_config(self, message: dict) -> None:
        if self.edition is not None and message["n"] <= self.edition.number:
            return  # never back within one life
        edition = edition_of(message["config"])
        if edition.is_ok():
            self.edition = edition.ok_value
            self.log.info("configuration", step="take", number=self.edition.number)
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
        scribe = self.contact.scribe
        if scribe is not None and self.links.send(scribe, self.steering.report(now - self.reported_at, now)):
            self.reported_at = now

    # --- the platform

    async def readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            return web.Response(text=metrics.text(self.counted()))
        ready = self.contact.ready and not self.ending
        return web.Response(status=200 if ready else 503)

    def counted(self) -> dict[str, float]:
        ended = {f'desk_answers_total{{class="{kind}xx"}}': count for kind, count in self.answers.items()}
        return {
            "desk_ready": int(self.contact.ready and not self.ending),
            "desk_in_flight": self.flight,
            "desk_config_version": self.edition.number if self.edition else 0,
            "desk_table_version": self.steering.table_n,
            "desk_archives": len(self.links.up),
            "desk_connections_opened_total": self.stacks.opened,
            "desk_connections_reused_total": self.stacks.reused,
            "desk_connections_turned_total": self.stacks.turned,
            "desk_body_bytes": self.held,
            **{f'desk_tries_total{{how="{how.value}"}}': count for how, count in self.tries.items()},
            **ended,
        }

    def room(self, service: str, life: str, now: float) -> int:
        """Idle connections that may be kept to a worker of this service."""
        told = self.edition.services.get(service) if self.edition is not None else None
        return keeps(told.connections if told else 0, self.budget.desks, self.told.name, life, now)

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
        while self.edition is None and self.loop.time() < now + START_WAIT:
            await self.stirred(now + START_WAIT)
        edition = self.edition
        if edition is None:
            return own(503, "no configuration yet", 0.5)
        route = edition.route(request.headers.get("Host", ""), request.raw_path)
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
        name = name or f"{self.told.name}-{os.urandom(8).hex()}"
        service = route.service(name)
        key = None
        if edition.services[service].keyed:
            key = whole_number(request.headers.get("X-Shard-Key", ""))
            if key is None or key >= KEYS:
                return own(400, f"X-Shard-Key: expected a number from 0 to {KEYS - 1}")
        told = whole_number(request.headers.get("X-Deadline-Ms", ""))
        deadline = BACK_MOST if told is None else told / 1000
        body = await self.body(request, self.limit("MaxBodyBytes", BODY_BYTES), now + deadline)
        if isinstance(body, web.Response):
            return body
        errand = Errand(now, route, service, key, name, deadline)
        if route.pinned and key is None:
            errand.pin = request.headers.get("X-Shard-Key", "")
        try:
            return await self.carry(request, body, errand)
        finally:
            errand.done()
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
                    if self.held + size > self.told.memory * MEMORY_PART:
                        return own(503, "too many bodies at once", 0.5, close=True)
                    parts.append(part)
        except TimeoutError:  # also where bytes came that form no chunk: aiohttp does not tell its handler
            return own(408, "the body did not come in time", close=True)
        except ConnectionError:
            return own(400, "the client went away", close=True)
        self.held += size
        return b"".join(parts)

    async def carry(self, request: web.BaseRequest, body: bytes, errand: Errand) -> web.Response:
        loop, steering = self.loop, self.steering
        self.budget.arrived(errand.service, loop.time())
        key = errand.key
        if key is None:
            key = steering.drawn(loop.time(), errand.service, errand.request)
        steering.counted(errand.service, key)
        while True:
            step = errand.next(loop.time(), steering, self.budget)
            if isinstance(step, Wait):
                await self.stirred(step.until)
                continue
            reply = step if isinstance(step, Reply) else await self.attempt(request, body, errand, step)
            if reply is not None:
                return finish(reply, request.method)

    async def attempt(
        self, request: web.BaseRequest, body: bytes, errand: Errand, step: Send
    ) -> Reply | None:
        loop, steering, life = self.loop, self.steering, step.life
        seen = steering.of(life)
        effect = not errand.route.pure
        seen.since = seen.since if seen.flight else loop.time()
        seen.flight += 1
        seen.effects += effect
        if errand.pin:
            steering.pin(seen.since, errand.service, errand.pin, life, errand.route.timeout)
        began, answer = loop.time(), None
        try:
            address = steering.roll.rows[life].address
            line, how = await self.stacks.lend(life, address, began, effect, errand.carried)
            if line is not None:
                now = loop.time()
                if now >= errand.until:  # its connection took that long to come up
                    line.close()
                    return errand.give_up(now, "no answer in time")
                errand.carried.add(line.number)
                rest = now - line.rests_from if line.rests_from else 0.0
                asked = head(request, body, errand, life, now) + body
                bare = request.method == "HEAD"
                how, answer = await line.exchange(asked, errand.request, errand.until, bare)
                at_once = how is How.BROKEN and rest and loop.time() - now < PROOF[1]
                if at_once and steering.pressure(now, life) < 1.0:  # a full one resets what finds no room
                    self.stacks.found_dead(now, rest)
                self.stacks.give_back(life, line, self.room(errand.service, life, now))
        finally:
            seen.flight -= 1
            seen.effects -= effect
        now = loop.time()
        self.tries[how] += 1
        if how is How.WHOLE:
            steering.answered(now, life, now - began)
            steering.loaded(now, life, answer.named.get("X-Server-Load", ""))
            if answer.status in (429, 503):
                steering.turned_away(now, life)
            if answer.status >= 500 and "X-Not-Run" not in answer.named:
                steering.wrong(life)
        elif how is How.TURNED:
            steering.turned_away(now, life)
        else:
            steering.failed(now, life, how is not How.BROKEN)
            if how is How.BROKEN:
                steering.turned_away(now, life)  # workers of some services reset what they have no room for
            self.log.info(
                "try failed",
                step="attempt",
                peer=life,
                how=how.value,
                id=errand.request,
                key=errand.key,
                fence=steering.fence(errand.service, errand.key),
            )
            if how is How.UNSENT:
                self.stacks.drop(life)
        readers = steering.readers(errand.service, errand.key) if errand.key is not None else ()
        reply = errand.ended(now, life, how, answer, life in readers)
        copied = errand.key is not None and self.edition.services[errand.service].copies
        if copied and not errand.route.pure and how is How.WHOLE and 200 <= answer.status < 300:
            if not await self.recall(errand):
                return Reply(504, "copies of its record could not be recalled in time")
        return reply

    # --- read copies

    async def recall(self, errand: Errand) -> bool:
        """Let no copy stand that is older than this effect; false where that takes longer than its client
        waits.
        """
        recall, steering, key = Recall(), self.steering, errand.key
        while (now := self.loop.time()) < errand.until:
            step = recall.next(now, self.contact.sure_at, steering.readers(errand.service, key))
            if step == CLEAR:
                return True
            if isinstance(step, Confirm):
                self.confirm(now)
                await self.stirred(min(now + CONFIRM_AGAIN, errand.until))
            elif isinstance(step, Drop):
                fence = steering.fence(errand.service, key) or 0
                drops = [self.drop(life, key, fence) for life in step.lives]
                for life, dropped in zip(step.lives, await asyncio.gather(*drops), strict=True):
                    recall.answered(life, dropped)
            elif isinstance(step, TakeOff):
                if await self.taken_off(errand.service, key, step.lives, errand.until):
                    recall.off(self.loop.time(), step.lives)
            else:
                await asyncio.sleep(min(step.at, errand.until) - now)
        return False

    def confirm(self, now: float) -> None:
        """Ask the home archive whether our table is the newest; the answer counts from now."""
        if self.contact.home is not None:
            self.links.send(self.contact.home, {"k": "confirm", "t": now})

    async def drop(self, life: str, key: int, fence: int) -> bool:
        """Have a reader drop its copy of a record."""
        row = self.steering.roll.rows.get(life)
        if row is None or row.phase == GONE:
            return True
        body = json.dumps({"Source": key, "TargetVersion": key, "fence": fence}).encode()
        name = f"drop-{self.told.name}-{os.urandom(4).hex()}"
        lines = [
            "POST /bramblewood/release HTTP/1.1",
            f"Host: {row.address}",
            "Content-Type: application/json",
        ]
        lines += [f"X-Attempt-Id: {name}", f"X-Target-Instance: {life}", f"Content-Length: {len(body)}"]
        line, _ = await self.stacks.lend(life, row.address, self.loop.time(), False)
        if line is None:
            return False
        asked = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        how, answer = await line.exchange(asked, name, self.loop.time() + DROP_WITHIN)
        line.close()
        return how is How.WHOLE and answer.status == 200

    async def taken_off(self, service: str, key: int, lives: tuple[str, ...], until: float) -> bool:
        """Have readers that don't answer taken off a record; whether that is agreed."""
        number = self.ids = self.ids + 1
        waiting = self.offs[number] = self.loop.create_future()
        try:
            asked = {"k": "off", "id": number, "service": service, "key": key, "lives": lives}
            if self.contact.home is None or not self.links.send(self.contact.home, asked):
                await self.stirred(min(self.loop.time() + CONFIRM_AGAIN, until))
                return False
            async with asyncio.timeout_at(min(self.loop.time() + OFF_WITHIN, until)):
                return await waiting
        except TimeoutError:
            return False
        finally:
            del self.offs[number]


def head(request: web.BaseRequest, body: bytes, errand: Errand, life: str, now: float) -> bytes:
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
        lines.append(f"X-Attempt-Id: {errand.request}".encode())
    lines.append(f"X-Deadline-Ms: {max(int((errand.until - now) * 1000), 1)}".encode())
    lines.append(f"X-Target-Instance: {life}".encode())
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


def finish(reply: Reply, method: str) -> web.Response:
    if reply.answer is None:
        return own(reply.status, reply.reason, reply.later)
    answer = reply.answer
    headers: CIMultiDict[Any] = CIMultiDict()
    left_out = HOPS | options(answer.named) | NOTHING
    for name, value in answer.headers:
        if name.lower() not in left_out:
            headers.add(name.decode("utf-8", "surrogateescape"), value.decode("utf-8", "surrogateescape"))
    if method == "HEAD" and "Content-Length" in answer.named:
        headers["Content-Length"] = answer.named["Content-Length"]  # of what a GET would bring
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
