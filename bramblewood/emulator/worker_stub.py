"""A stand-in worker, written from the protocol: slots, a queue, keys under fences, read copies, and what it
ran.

Each request that it begins is a line of the ledger: the attempt's id, the key, the kind. Times in seconds.
"""

import asyncio
import json
import secrets
from typing import Any, NamedTuple, Protocol

import aiohttp
from aiohttp import web

QUEUE = 4  # requests that wait beside the slots; "queues a few more", PROTOCOL
IDLE = 10  # s that an idle connection is kept, as its answers say
LOOK = 0.005  # s between looks at what still runs on keys that are to be released
CALL = 1.0  # s that a call of its own waits for an answer; PROTOCOL, "Which workers there are"


class Line(NamedTuple):
    """One request that began to run."""

    at: float
    request: str
    method: str
    key: int | None


class Hold(NamedTuple):
    """A range of keys held until a time of our clock."""

    first: int
    last: int
    fencing_token: int
    until: float


class Copy(NamedTuple):
    """A record's value as another worker gave it, to be read until a time of our clock."""

    value: tuple[int, int]
    fencing_token: int
    until: float


class Book(Protocol):
    """The records behind a service; a value is how many lines a record has, and what they add up to."""

    def value(self, key: int) -> tuple[int, int]: ...

    def enter(
        self, order: str, attempt: str, key: int, kind: str, added: int, worker: str
    ) -> tuple[int, int]: ...


class WorkerStub:
    """One life of a worker. `work(request)` gives the s that a request takes; `spoil(request, answer)`
    may spoil an answer that is about to go out.
    """

    def __init__(
        self, service: str, address: tuple[str, int], zone: str, slots: int, keyed: bool, work: Any
    ) -> None:
        self.instance_id = f"i-{secrets.token_hex(4)}"
        self.service, self.address, self.zone, self.slots, self.keyed = service, address, zone, slots, keyed
        self.work, self.spoil = work, None
        self.ledger: list[Line] = []
        self.arrivals: list[tuple[str, str]] = []
        self.holds: list[Hold] = []
        self.seen: list[Hold] = []  # every range with its fence, for the highest seen on a key
        self.under_way: list[int] = []  # keys of what runs on its own holds
        self.read_replicas: dict[int, Copy] = {}
        self.drops = 0  # releases that came; a copy fetched across one is let fall
        self.book: Book | None = None  # what stands behind it; none where only the carrying is looked at
        self.session: aiohttp.ClientSession | None = None  # to fetch copies with
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.phase, self.calls = "ready", 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.server = await loop.create_server(
            web.Server(self.serve, access_log=None, keepalive_timeout=IDLE, auto_decompress=False),
            *self.address,
        )

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    # --- what it tells

    async def call(self, session: aiohttp.ClientSession, method: str, controls: list[str]) -> str | None:
        """Call one manager after the other until one acknowledges; which did, or None."""
        self.calls += 1
        host, port = self.address
        body = {
            "Address": f"{host}:{port}",
            "Summary": {"Target": self.service, "Revision": "v1", "Zone": self.zone, "Slots": self.slots},
            "Condition": {"Phase": self.phase, "CallSeq": self.calls, "ColdLeftS": 0},
        }
        for control in controls:
            url = f"http://{control}/bramblewood/instances/{self.instance_id}"
            try:
                async with asyncio.timeout(CALL):
                    async with session.request(method, url, json=body if method == "PUT" else None) as answer:
                        if answer.status // 100 == 2:
                            return control
            except (OSError, TimeoutError, aiohttp.ClientError):
                continue
        return None

    # --- what it is asked

    def holds_key(self, key: int) -> bool:
        now = self.loop.time()
        return any(hold.first <= key <= hold.last and hold.until > now for hold in self.holds)

    def fence_over(self, first: int, last: int) -> int:
        return max(
            (hold.fencing_token for hold in self.seen if hold.first <= last and first <= hold.last), default=0
        )

    def keep_out(self, first: int, last: int) -> None:
        """Nothing in this range is held any more."""
        kept = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(hold._replace(last=first - 1))
            if last < hold.last:
                kept.append(hold._replace(first=last + 1))
        self.holds = kept

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        name = request.headers.get("X-Attempt-Id", "")
        headers = {
            "X-Attempt-Id": name,
            "X-Server-Load": f"{self.running},{self.waiting},{self.slots}",
            "Keep-Alive": f"timeout={IDLE}",
        }
        if request.path in ("/bramblewood/grant", "/bramblewood/release"):
            answer = await self.keys(request)
            answer.headers["X-Attempt-Id"] = name
            return answer
        if request.path == "/bramblewood/copy":
            key = int(request.query.get("key", -1))
            if self.book is None or not self.holds_key(key):
                return web.Response(status=421, headers=headers)
            return web.json_response({"value": self.book.value(key)})
        if request.path == "/health":
            status = 200 if self.phase == "ready" else 503
            return web.Response(status=status, headers={"X-Instance": self.instance_id, **headers})
        body = await request.content.read()
        self.arrivals.append((name, request.method))
        if request.headers.get("X-Target-Instance", self.instance_id) != self.instance_id:
            return web.Response(status=421, headers={"X-Instance": self.instance_id, **headers})
        key = int(request.headers["X-Shard-Key"]) if self.keyed and "X-Shard-Key" in request.headers else None
        copy = self.read_replicas.get(key) if request.method == "GET" and key is not None else None
        copied = copy is not None and copy.until > self.loop.time()
        if self.keyed and not copied and (key is None or not self.holds_key(key)):
            return web.Response(status=421, headers={"X-Not-Run": "1", **headers})
        if self.running >= self.slots and self.waiting >= QUEUE:
            return web.Response(status=503, headers={"X-Not-Run": "1", **headers})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        holding = key is not None and not copied
        self.under_way += [key] * holding
        try:
            self.ledger.append(Line(self.loop.time(), name, request.method, key))
            took = self.work(request)
            if took:
                await asyncio.sleep(took)
            value = self.entered(request, key, copy.value if copied else None)
        finally:
            if holding:
                self.under_way.remove(key)
            self.running -= 1
            self.free.release()
        told = {"worker": self.instance_id, "path": request.raw_path, "bytes": len(body)}
        text = json.dumps(told if value is None else {**told, "lines": value[0], "value": value[1]})
        if self.phase != "ready":
            headers["Connection"] = "close"
        answer = web.Response(text=text, headers={**headers, "X-Response-Seal": f"seal.{self.instance_id}"})
        if self.spoil is not None:
            self.spoil(request, answer)
        return answer

    def entered(self, request: web.BaseRequest, key: int | None, copied: tuple | None) -> tuple | None:
        """The record's value after this request; `X-Order` and `X-Adds` make it an effect."""
        if self.book is None:
            return None
        key = key if key is not None else int(request.headers.get("X-Shard-Key", 0))
        if "X-Adds" not in request.headers:
            return self.book.value(key) if copied is None else copied
        order, attempt = request.headers.get("X-Order", ""), request.headers.get("X-Attempt-Id", "")
        return self.book.enter(
            order, attempt, key, request.path, int(request.headers["X-Adds"]), self.instance_id
        )

    async def copy(self, key: int, fencing_token: int, hold: float, holder: str) -> int:
        """Fetch a record from its holder and read it for so long; the status of the grant."""
        began, drops = self.loop.time(), self.drops
        try:
            async with asyncio.timeout(CALL):
                async with self.session.get(f"http://{holder}/bramblewood/copy?key={key}") as answer:
                    if answer.status != 200:
                        return answer.status
                    value = tuple((await answer.json())["value"])
        except (OSError, TimeoutError, aiohttp.ClientError):
            return 503
        if drops != self.drops:
            return 503  # something was released meanwhile: it may be older than that
        self.read_replicas[key] = Copy(value, fencing_token, began + hold)
        return 200

    async def keys(self, request: web.BaseRequest) -> web.Response:
        try:
            told = json.loads(await request.content.read())
            first, last, fencing_token = int(told["Source"]), int(told["TargetVersion"]), int(told["fence"])
        except (ValueError, KeyError, TypeError):
            return web.Response(status=400)
        now = self.loop.time()
        if request.path == "/bramblewood/grant":
            if self.fence_over(first, last) > fencing_token:
                return web.Response(status=409)
            if "Copy" in told:
                return web.Response(
                    status=await self.copy(first, fencing_token, float(told["HoldS"]), told["Copy"])
                )
            self.keep_out(first, last)
            self.holds.append(Hold(first, last, fencing_token, now + float(told["HoldS"])))
            self.seen.append(Hold(first, last, fencing_token, 0.0))
            return web.Response(status=200)
        self.keep_out(first, last)
        self.seen.append(Hold(first, last, fencing_token, 0.0))
        self.drops += 1
        for key in [key for key in self.read_replicas if first <= key <= last]:
            del self.read_replicas[key]
        while any(first <= key <= last for key in self.under_way):  # its answer comes once what ran has ended
            await asyncio.sleep(LOOK)
        return web.Response(status=200, headers={"X-Handover": secrets.token_hex(8)})
