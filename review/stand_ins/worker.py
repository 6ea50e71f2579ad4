"""A stand-in worker, written from PROTOCOL: it registers, beats, takes keys, and answers requests.

It serves one request at a time per connection, with a number of slots and a short queue.
"""

import asyncio
import json
import secrets
from collections.abc import Callable

from .fleet import WORKERS, Fleet

QUEUE = 4
BEAT_S = 1.5
MAX_HEAD = 2**17


class Run:
    """One request that a worker has begun to work on."""

    def __init__(self, worker: "Worker", attempt: str, method: str, path: str, body_bytes: int) -> None:
        self.worker, self.attempt, self.method, self.path = worker, attempt, method, path
        self.body_bytes = body_bytes
        self.ended = False


class Worker:
    """One instance of a worker.

    answer(run): the seconds of work and the body of the answer. `runs` lists what it has begun to work on.
    """

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        number: int,
        answer: Callable[[Run], tuple[float, bytes]],
        slots: int = 2,
        keyed: bool = False,
    ) -> None:
        self.fleet, self.service, self.answer, self.slots, self.keyed = fleet, service, answer, slots, keyed
        self.instance_id = f"i-{secrets.token_hex(4)}"
        self.address = (fleet.ip(WORKERS), fleet.port + 20 + number)
        self.runs: list[Run] = []
        self.free_slots = asyncio.Semaphore(slots)
        self.running = self.waiting = self.calls = 0
        self.phase = "ready"
        self.holds: list[tuple[int, int, int, float]] = []  # first key, last key, fence, until
        self.fences: list[tuple[int, int, int]] = []
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and begin to register."""
        self.server = await asyncio.start_server(self.serve, *self.address, limit=MAX_HEAD)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Send a beat every BEAT_S."""
        while True:
            await self.tell("PUT")
            await asyncio.sleep(BEAT_S)

    async def tell(self, method: str) -> bool:
        """Call one controller after the other until one acknowledges."""
        self.calls += 1
        body = {
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Summary": {
                "Target": self.service,
                "Revision": "v1",
                "Zone": "sala-norte",
                "Slots": self.slots,
            },
            "Condition": {"Phase": self.phase, "CallSeq": self.calls, "ColdLeftS": 0},
        }
        for controller in self.fleet.controllers:
            path = f"/bramblewood/instances/{self.instance_id}"
            status = await self.fleet.call(controller, method, path, body if method == "PUT" else None)
            if status // 100 == 2:
                return True
        return False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, path, _ = first.split(" ", 2)
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, extra, content = await self.handle(method, path, fields, body)
                await self.send(writer, method, fields, status, extra, content)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            writer.close()

    async def send(
        self, writer: asyncio.StreamWriter, method: str, fields: dict, status: int, extra: dict, body: bytes
    ) -> None:
        """Send one answer."""
        headers = {
            "Content-Length": str(len(body)),
            "X-Attempt-Id": fields.get("x-attempt-id", ""),
            "X-Server-Load": f"{self.running},{self.waiting},{self.slots}",
            "Keep-Alive": "timeout=10",
            **extra,
        }
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)
        await writer.drain()

    async def handle(self, method: str, path: str, fields: dict, body: bytes) -> tuple[int, dict, bytes]:
        """The status, header fields and body of the answer to one request."""
        if path in ("/bramblewood/grant", "/bramblewood/release"):
            return self.lease(path, json.loads(body))
        if fields.get("x-target-instance", self.instance_id) != self.instance_id:
            return 421, {"X-Not-Run": "1"}, b""
        if path == "/health":
            return (200 if self.phase == "ready" else 503), {"X-Instance": self.instance_id}, b""
        if self.keyed and not self.holds_key(int(fields.get("x-shard-key", -1))):
            return 421, {"X-Not-Run": "1"}, b""
        if self.running >= self.slots and self.waiting >= QUEUE:
            return 503, {"X-Not-Run": "1"}, b""
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        run = Run(self, fields.get("x-attempt-id", ""), method, path, len(body))
        self.runs.append(run)
        self.fleet.record(f"{self.service} {self.instance_id} runs {run.attempt} {method} {path}")
        try:
            work_s, content = self.answer(run)
            await asyncio.sleep(work_s)
        finally:
            run.ended = True
            self.running -= 1
            self.free_slots.release()
        return 200, {"X-Response-Seal": f"{self.instance_id}.{run.attempt}"}, content

    # --- keys

    def holds_key(self, key: int) -> bool:
        """Whether it holds a key now."""
        now = asyncio.get_running_loop().time()
        return any(first <= key <= last and until > now for first, last, _, until in self.holds)

    def lease(self, path: str, order: dict) -> tuple[int, dict, bytes]:
        """Take a grant or a release."""
        first, last, fence = order["Source"], order["TargetVersion"], order["fence"]
        if path.endswith("release"):
            self.fences.append((first, last, fence))
            self._cut_out(first, last)
            return 200, {"X-Handover": secrets.token_hex(8)}, b""
        if any(a <= last and first <= b and seen > fence for a, b, seen in self.fences):
            return 409, {}, b""
        self.fences = [entry for entry in self.fences if entry[:2] != (first, last)]
        self.fences.append((first, last, fence))
        self._cut_out(first, last)
        self.holds.append((first, last, fence, asyncio.get_running_loop().time() + order["HoldS"]))
        return 200, {}, b""

    def _cut_out(self, first: int, last: int) -> None:
        """Hold none of these keys any more."""
        kept = []
        for a, b, fence, until in self.holds:
            if a < first:
                kept.append((a, min(b, first - 1), fence, until))
            if b > last:
                kept.append((max(a, last + 1), b, fence, until))
        self.holds = kept
