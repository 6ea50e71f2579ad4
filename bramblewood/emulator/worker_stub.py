"""A stand-in worker, written from the protocol: slots, a queue, key leases, read replicas.

Times in seconds.
"""

import asyncio
import json
import secrets
from collections.abc import Callable
from typing import NamedTuple, Protocol

import aiohttp
from aiohttp import web

from .effect_log import RecordValue
from .worker_leases import WorkerLeases

QUEUE_LENGTH = 4  # requests that wait beside the slots; "queues a few more", PROTOCOL
KEEP_ALIVE = 10  # s that an idle connection is kept, as its answers say
RELEASE_POLL_INTERVAL = 0.005  # s between looks at what still runs on keys that are to be released
CALL_TIMEOUT = 1.0  # s that a call of its own waits for an answer; PROTOCOL, "Which workers there are"


class ReadReplica(NamedTuple):
    """A record's value as another worker gave it, to be read until a time of our clock."""

    value: RecordValue
    fencing_token: int
    until: float


class Records(Protocol):
    """The records behind a service."""

    def value(self, key: int) -> RecordValue:
        """A record's value."""

    def append(self, order: str, attempt: str, key: int, kind: str, added: int, worker: str) -> RecordValue:
        """Write one effect; the record's value with it."""


class WorkerStub:
    """One instance of a worker.

    work(request): the s that a request takes. `spoil(request, answer)` may spoil an answer that is about to
    go out.
    """

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        zone: str,
        slots: int,
        keyed: bool,
        work: Callable[[web.BaseRequest], float],
        instance_id: str = "",
    ) -> None:
        self.instance_id = instance_id or f"i-{secrets.token_hex(4)}"
        self.service, self.address, self.zone, self.slots, self.keyed = service, address, zone, slots, keyed
        self.work = work
        self.spoil: Callable[[web.BaseRequest, web.Response], None] | None = None
        self.leases = WorkerLeases()
        self.running_keys: list[int] = []  # of what runs under its own leases
        self.read_replicas: dict[int, ReadReplica] = {}
        self.releases = 0  # that came; a replica fetched across one is dropped
        self.records: Records | None = None  # behind it; None where only the forwarding is looked at
        self.session: aiohttp.ClientSession | None = None  # to fetch replicas with
        self.running = self.waiting = 0
        self.free_slots = asyncio.Semaphore(slots)
        self.phase, self.calls = "ready", 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at its address."""
        self.loop = asyncio.get_running_loop()
        handler = web.Server(
            self.handle, access_log=None, keepalive_timeout=KEEP_ALIVE, auto_decompress=False
        )
        self.server = await self.loop.create_server(handler, *self.address)

    def stop(self) -> None:
        """Listen no more."""
        if self.server is not None:
            self.server.close()

    # --- what it says

    async def call(self, session: aiohttp.ClientSession, method: str, controls: list[str]) -> str | None:
        """Call one controller after the other until one acknowledges; which did, or None."""
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
                async with asyncio.timeout(CALL_TIMEOUT):
                    async with session.request(method, url, json=body if method == "PUT" else None) as answer:
                        if answer.status // 100 == 2:
                            return control
            except (OSError, TimeoutError, aiohttp.ClientError):
                continue
        return None

    # --- what it is asked

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Any request: of controllers, of other workers, of proxies."""
        attempt = request.headers.get("X-Attempt-Id", "")
        headers = {
            "X-Attempt-Id": attempt,
            "X-Server-Load": f"{self.running},{self.waiting},{self.slots}",
            "Keep-Alive": f"timeout={KEEP_ALIVE}",
        }
        if request.path in ("/bramblewood/grant", "/bramblewood/release"):
            answer = await self._handle_lease(request)
            answer.headers["X-Attempt-Id"] = attempt
            return answer
        if request.path == "/bramblewood/copy":
            return self._give_replica(request, headers)
        if request.path == "/health":
            status = 200 if self.phase == "ready" else 503
            return web.Response(status=status, headers={"X-Instance": self.instance_id, **headers})
        return await self._handle_work(request, headers)

    async def _handle_work(self, request: web.BaseRequest, headers: dict[str, str]) -> web.Response:
        """A client's request: refused, or run once a slot is free."""
        body = await request.content.read()
        if request.headers.get("X-Target-Instance", self.instance_id) != self.instance_id:
            return web.Response(status=421, headers={"X-Instance": self.instance_id, **headers})
        key = int(request.headers["X-Shard-Key"]) if self.keyed and "X-Shard-Key" in request.headers else None
        replica = self._valid_replica(request, key)
        if self.keyed and replica is None and (key is None or not self.leases.cover(key, self.loop.time())):
            return web.Response(status=421, headers={"X-Not-Run": "1", **headers})
        if self.running >= self.slots and self.waiting >= QUEUE_LENGTH:
            return web.Response(status=503, headers={"X-Not-Run": "1", **headers})
        value = await self._run(request, key, replica)
        result = {"worker": self.instance_id, "path": request.raw_path, "bytes": len(body)}
        if value is not None:
            result |= {"lines": value.entries, "value": value.total}
        if self.phase != "ready":
            headers["Connection"] = "close"
        headers["X-Response-Seal"] = f"seal.{self.instance_id}"
        answer = web.Response(text=json.dumps(result), headers=headers)
        if self.spoil is not None:
            self.spoil(request, answer)
        return answer

    def _valid_replica(self, request: web.BaseRequest, key: int | None) -> ReadReplica | None:
        """The replica that a lookup may be answered from."""
        replica = self.read_replicas.get(key) if request.method == "GET" and key is not None else None
        return replica if replica is not None and replica.until > self.loop.time() else None

    async def _run(
        self, request: web.BaseRequest, key: int | None, replica: ReadReplica | None
    ) -> RecordValue | None:
        """Take a slot and do the work; the record's value after it."""
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        leased_keys = [key] if key is not None and replica is None else []
        self.running_keys += leased_keys
        try:
            if duration := self.work(request):
                await asyncio.sleep(duration)
            return self._value_after(request, key, replica)
        finally:
            for leased_key in leased_keys:
                self.running_keys.remove(leased_key)
            self.running -= 1
            self.free_slots.release()

    def _value_after(
        self, request: web.BaseRequest, key: int | None, replica: ReadReplica | None
    ) -> RecordValue | None:
        """The record's value after this request; `X-Order` and `X-Adds` make it an effect."""
        if self.records is None:
            return None
        key = key if key is not None else int(request.headers.get("X-Shard-Key", 0))
        if "X-Adds" not in request.headers:
            return self.records.value(key) if replica is None else replica.value
        order, attempt = request.headers.get("X-Order", ""), request.headers.get("X-Attempt-Id", "")
        added = int(request.headers["X-Adds"])
        return self.records.append(order, attempt, key, request.path, added, self.instance_id)

    # --- leases and replicas

    def _give_replica(self, request: web.BaseRequest, headers: dict[str, str]) -> web.Response:
        """A record's value for another worker; only its lease holder gives it."""
        key = int(request.query.get("key", -1))
        if self.records is None or not self.leases.cover(key, self.loop.time()):
            return web.Response(status=421, headers=headers)
        return web.json_response({"value": self.records.value(key)})

    async def _fetch_replica(self, key: int, fencing_token: int, duration: float, holder: str) -> int:
        """Fetch a record from its lease holder and read it for so long (s); the status of the grant."""
        began, releases = self.loop.time(), self.releases
        url = f"http://{holder}/bramblewood/copy?key={key}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT), self.session.get(url) as answer:
                if answer.status != 200:
                    return answer.status
                value = RecordValue(*(await answer.json())["value"])
        except (OSError, TimeoutError, aiohttp.ClientError):
            return 503
        if releases != self.releases:
            return 503  # something was released meanwhile: it may be older than that
        self.read_replicas[key] = ReadReplica(value, fencing_token, began + duration)
        return 200

    async def _handle_lease(self, request: web.BaseRequest) -> web.Response:
        """A grant or a release of a range of keys."""
        try:
            order = json.loads(await request.content.read())
            first, last, fencing_token = (
                int(order["Source"]),
                int(order["TargetVersion"]),
                int(order["fence"]),
            )
        except (ValueError, KeyError, TypeError):
            return web.Response(status=400)
        if request.path == "/bramblewood/release":
            return await self._release(first, last, fencing_token)
        granted_at = self.loop.time()
        if self.leases.newest_token(first, last) > fencing_token:
            return web.Response(status=409)
        duration = float(order["HoldS"])
        if "Copy" in order:
            return web.Response(
                status=await self._fetch_replica(first, fencing_token, duration, order["Copy"])
            )
        self.leases.grant(first, last, fencing_token, granted_at + duration)
        return web.Response(status=200)

    async def _release(self, first: int, last: int, fencing_token: int) -> web.Response:
        """Take nothing new for these keys; answered once what ran there has ended."""
        self.leases.release(first, last, fencing_token)
        self.releases += 1
        for key in [key for key in self.read_replicas if first <= key <= last]:
            del self.read_replicas[key]
        while any(first <= key <= last for key in self.running_keys):
            await asyncio.sleep(RELEASE_POLL_INTERVAL)
        return web.Response(status=200, headers={"X-Handover": secrets.token_hex(8)})
