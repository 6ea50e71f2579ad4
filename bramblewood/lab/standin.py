"""A stand-in worker, written from the protocol: slots, a queue, keys under fences, and a ledger of what it
ran.

Each request that it begins is a line of the ledger: the attempt's id, the key, the kind. Times in seconds.
"""

import asyncio
import json
import secrets
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

QUEUE = 4  # requests that wait beside the slots; "queues a few more", PROTOCOL
IDLE = 10  # s that an idle connection is kept, as its answers say
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
    fence: int
    until: float


class StandIn:
    """One life of a worker. `work(request)` gives the s that a request takes; `spoil` may take over an
    answer.
    """

    def __init__(
        self, service: str, address: tuple[str, int], zone: str, slots: int, keyed: bool, work: Any
    ) -> None:
        self.life = f"i-{secrets.token_hex(4)}"
        self.service, self.address, self.zone, self.slots, self.keyed = service, address, zone, slots, keyed
        self.work, self.spoil = work, None
        self.ledger: list[Line] = []
        self.arrivals: list[tuple[str, str]] = []
        self.holds: list[Hold] = []
        self.seen: list[Hold] = []  # every range with its fence, for the highest seen on a key
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
            url = f"http://{control}/bramblewood/instances/{self.life}"
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
        return max((hold.fence for hold in self.seen if hold.first <= last and first <= hold.last), default=0)

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
            return await self.keys(request)
        if request.path == "/health":
            status = 200 if self.phase == "ready" else 503
            return web.Response(status=status, headers={"X-Instance": self.life, **headers})
        body = await request.content.read()
        self.arrivals.append((name, request.method))
        if request.headers.get("X-Target-Instance", self.life) != self.life:
            return web.Response(status=421, headers={"X-Instance": self.life, **headers})
        key = int(request.headers["X-Shard-Key"]) if self.keyed and "X-Shard-Key" in request.headers else None
        if self.keyed and (key is None or not self.holds_key(key)):
            return web.Response(status=421, headers={"X-Not-Run": "1", **headers})
        if self.running >= self.slots and self.waiting >= QUEUE:
            return web.Response(status=503, headers={"X-Not-Run": "1", **headers})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.ledger.append(Line(self.loop.time(), name, request.method, key))
            took = self.work(request)
            if took:
                await asyncio.sleep(took)
        finally:
            self.running -= 1
            self.free.release()
        if self.spoil is not None and (spoilt := await self.spoil(self, request)) is not None:
            return spoilt
        text = json.dumps({"worker": self.life, "path": request.raw_path, "bytes": len(body)})
        if self.phase != "ready":
            headers["Connection"] = "close"
        return web.Response(text=text, headers={**headers, "X-Response-Seal": f"seal.{self.life}"})

    async def keys(self, request: web.BaseRequest) -> web.Response:
        try:
            told = json.loads(await request.content.read())
            first, last, fence = int(told["Source"]), int(told["TargetVersion"]), int(told["fence"])
        except (ValueError, KeyError, TypeError):
            return web.Response(status=400)
        now = self.loop.time()
        if request.path == "/bramblewood/grant":
            if self.fence_over(first, last) > fence:
                return web.Response(status=409)
            self.keep_out(first, last)
            self.holds.append(Hold(first, last, fence, now + float(told["HoldS"])))
            self.seen.append(Hold(first, last, fence, 0.0))
            return web.Response(status=200)
        self.keep_out(first, last)
        self.seen.append(Hold(first, last, fence, 0.0))
        while self.running:  # its answer comes once what ran has ended
            await self.free.acquire()
            self.free.release()
            if self.running:
                await asyncio.sleep(0.01)
        return web.Response(status=200, headers={"X-Handover": secrets.token_hex(8)})
