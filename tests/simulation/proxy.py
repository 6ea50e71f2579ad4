"""Runs a proxy on loopback between a client and scripted workers, and records a transcript.

The client and the workers write the bytes of HTTP messages themselves, so they can send malformed ones.
"""

import asyncio
from typing import Any

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.messages import TableUpdate
from bramblewood.common.settings import Bounds, Settings
from bramblewood.common.worker_registry import WorkerRegistration
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.server import Proxy

# name, host, path prefix, route type, time-out (s), latency target (s), priority, max. attempts, service
ROUTES = [
    ["look", "h.example", "/look/", "pure", 2, 0.5, 1, 2, "plain"],
    ["pay", "h.example", "/pay/", "effectful", 2, 0.5, 0, 2, "plain"],
    ["keyed", "h.example", "/keyed/", "pure", 2, 0.5, 1, 2, "sharded"],
]
CONFIG = configuration("r3", ROUTES, [["plain", None], ["sharded", True]])
SLICE_COUNT, KEYS_PER_SLICE = 8, 8192
END_OF_HEAD = b"\r\n\r\n"


def answer(status: int, request_id: str, body: str, extra_field: str = "X-Response-Seal: s") -> bytes:
    """Return a worker's response in bytes."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Attempt-Id: {request_id}",
        extra_field,
        f"Content-Length: {len(body)}",
        "Keep-Alive: timeout=10",
        "X-Server-Load: 0,0,2",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class ScriptedWorker:
    """A worker that handles each request by the next step of its script and records what arrives.

    arrivals: transcript lines of the requests so far. received_fields: header fields of the requests so far,
    by lower-case name. open_connections: number of connections that callers have not closed. reached: set
    when a request is held. released: when set, the worker continues with the held request.
    """

    def __init__(self, name: str, script: list[str]) -> None:
        self.name, self.script, self.address = name, list(script), ""
        self.arrivals: list[str] = []
        self.received_fields: dict[str, str] = {}
        self.open_connections = 0
        self.reached, self.released = asyncio.Event(), asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        if self.script[:1] == ["no room"]:  # the worker resets the connection without reading from it
            self.arrivals.append(f"{self.name} resets a connection: {self.script.pop(0)}")
            writer.transport.abort()
            return
        late_bytes = b""
        try:
            while True:
                late_bytes = await self.serve_request(reader, writer, late_bytes)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.open_connections -= 1
            writer.close()

    async def serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, late_bytes: bytes
    ) -> bytes:
        """Respond to one request, after sending `late_bytes` of the previous one.

        Returns the late bytes of this one.
        """
        head = (await reader.readuntil(END_OF_HEAD)).decode()
        request_line, *field_lines = head.split("\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in field_lines)}
        request_id = fields.get("x-attempt-id", "")
        if self.script[:1] == ["early"]:  # the worker responds before it has read the body
            self.arrivals.append(f"{self.name} gets a head and no body: {self.script.pop(0)}")
            writer.write(answer(503, request_id, "", "X-Not-Run: 1"))
            await self.released.wait()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        method, path, _ = request_line.split(" ")
        step = self.script.pop(0) if self.script else "answer"
        self.arrivals.append(f"{self.name} gets {method} {path} {request_id} {body.decode()!r}: {step}")
        self.received_fields |= fields
        complete_response = answer(200, request_id, f"{self.name} {request_id}")
        if method == "HEAD":
            complete_response = complete_response[: complete_response.index(END_OF_HEAD) + len(END_OF_HEAD)]
        writer.write(late_bytes)
        return await self.perform(step, request_id, complete_response, writer)

    async def perform(
        self, step: str, request_id: str, complete_response: bytes, writer: asyncio.StreamWriter
    ) -> bytes:
        """Carry out a step of the script. Returns the late bytes, which are sent before the next response."""
        match step:
            case "answer":
                writer.write(complete_response)
            case "close":
                writer.close()
            case "cut":  # a truncated response
                writer.write(complete_response[:-3])
                writer.close()
            case "extra":  # a surplus response immediately after the response
                writer.write(complete_response + answer(200, request_id, "again"))
            case "late extra":  # a surplus response just before the response to the next request
                writer.write(complete_response)
                return answer(200, request_id, "a late second answer")
            case "full twice":  # the same rejection again, just before the response to the next request
                not_run = answer(503, request_id, "", "X-Not-Run: 1")
                writer.write(not_run)
                return not_run
            case "unasked":  # a surplus response while no request is in flight
                writer.write(complete_response)
                await self.released.wait()
                writer.write(answer(200, request_id, "bytes that nobody asked for"))
            case "noise":  # bytes that are not an HTTP response
                writer.write(b"\x00\x01 no answer at all\r\n\r\n")
            case "unsealed":
                writer.write(complete_response.replace(b"X-Response-Seal", b"X-Other"))
            case "encoded":
                encoded = b"Content-Encoding: br\r\nX-Response-Seal"
                writer.write(complete_response.replace(b"X-Response-Seal", encoded))
            case "full":  # a rejection: the request has not run and never will run
                writer.write(answer(503, request_id, "", "X-Not-Run: 1"))
            case "elsewhere":  # a misdirected request: it belongs to another worker
                writer.write(answer(421, request_id, "", "X-Instance: i-other"))
            case "slow error":
                await asyncio.sleep(0.6)
                writer.write(answer(500, request_id, "failed"))
            case "error":
                writer.write(answer(500, request_id, "failed"))
            case "silent":  # no response
                pass
            case "held":
                self.reached.set()
                await self.released.wait()
                writer.write(complete_response)
        return b""


class ProxySimulation:
    """A proxy, its scripted workers, and the transcript of requests and responses."""

    def __init__(self, grace: float = 6.0) -> None:
        """grace: GraceS of the settings, in seconds."""
        settings = Settings(
            "proxy-1", "127.0.0.1", "z", (1, 2), (), False, None, 1.5, {}, 2**28, 100, Bounds(GraceS=grace)
        )
        self.proxy = Proxy(settings)
        self.workers: dict[str, ScriptedWorker] = {}
        self.transcript: list[str] = []

    async def start(self, scripts: dict[str, list[str]], limits: dict[str, Any] | None = None) -> None:
        """Start the workers and the proxy.

        scripts: each worker's script, by its name. limits: `Limits` of the configuration.
        """
        proxy, loop = self.proxy, asyncio.get_running_loop()
        proxy.sessions.start(loop)
        built_configuration = build_configuration({**CONFIG, "Limits": limits or {}})
        proxy.sessions.apply_configuration(built_configuration.ok_value)
        for number, (name, script) in enumerate(scripts.items()):
            worker = self.workers[name] = ScriptedWorker(name, script)
            await worker.start()
            registration = WorkerRegistration("plain", worker.address, "z", 2, "ready", number)
            proxy.load_balancer.registry.record(0.0, name, registration)
        first_worker, last_worker = next(iter(scripts)), [*scripts][-1]
        entry = [first_worker, last_worker if len(scripts) > 1 else "", 0.01, 1, "", ""]
        table = {str(number * KEYS_PER_SLICE): [*entry] for number in range(SLICE_COUNT)}
        proxy.load_balancer.slices.apply(TableUpdate(1, {"plain": table, "sharded": table}))
        self.listener = await loop.create_server(proxy.client_connections.create_protocol, "127.0.0.1", 0)
        proxy.client_listener = self.listener
        self.port = self.listener.sockets[0].getsockname()[1]

    async def send(
        self, method: str, path: str, request_id: str, body: str = "", *fields: str, keep: bool = False
    ) -> None:
        """Send a request on a new connection, and add the exchange to the transcript.

        keep: whether to omit `Connection: close`.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {request_id}", *fields]
        lines += [f"Content-Length: {len(body)}"] * bool(body) + ["Connection: close"] * (not keep)
        if not any("Deadline" in field for field in fields):
            lines.append("X-Deadline-Ms: 1500")
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        head, _, text = (await reader.read()).decode().partition("\r\n\r\n")
        writer.close()
        self.transcript.append(f"client asks {method} {path} {request_id}")
        for worker in self.workers.values():
            self.transcript += [f"  {line}" for line in worker.arrivals]
            worker.arrivals.clear()
        status = head.split(" ")[1] if head else "no answer"
        transcript_fields = ("retry-after", "x-response-seal", *["connection"] * keep)
        shown_lines = [line for line in head.split("\r\n") if line.lower().startswith(transcript_fields)]
        names = " ".join(line.split(":")[0] for line in shown_lines)
        self.transcript.append(f"  client gets {status} {text!r} {names}".rstrip())

    async def end(self) -> None:
        self.listener.close()
        for worker in self.workers.values():
            worker.server.close()
        for instance_id in [*self.proxy.connection_pool.idle]:
            self.proxy.connection_pool.close_all(instance_id)
