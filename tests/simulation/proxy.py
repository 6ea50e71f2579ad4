"""One desk on loopback between a raw client and scripted workers: whole exchanges, as a transcript."""

import asyncio

from bramblewood.common.configuration_parser import build_configuration
from bramblewood.common.settings import Bounds, Settings
from bramblewood.common.worker_registry import WorkerRegistration
from bramblewood.emulator.operator import configuration
from bramblewood.proxy.server import Proxy

ROUTES = [
    ["look", "h.example", "/look/", "pure", 2, 0.5, 1, 2, "plain"],
    ["pay", "h.example", "/pay/", "effectful", 2, 0.5, 0, 2, "plain"],
    ["keyed", "h.example", "/keyed/", "pure", 2, 0.5, 1, 2, "divided"],
]
CONFIG = configuration("r3", ROUTES, [["plain", None], ["divided", True]])


class Scripted:
    """A worker that answers its arrivals as scripted, and keeps them. `after` keeps what comes once it was
    asked.
    """

    def __init__(self, name: str, script: list[str]) -> None:
        self.name, self.script, self.arrivals, self.address = name, list(script), [], ""
        self.fields: dict[str, str] = {}  # of its requests so far
        self.open = 0  # connections that callers have not closed
        self.reached, self.go = asyncio.Event(), asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late = b""
        self.open += 1
        if self.script[:1] == ["no room"]:
            self.arrivals.append(f"{self.name} resets a connection: {self.script.pop(0)}")
            writer.transport.abort()
            return
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = {k.lower(): v for k, _, v in (x.partition(": ") for x in head.split("\r\n")[1:])}
                if self.script[:1] == ["early"]:
                    self.arrivals.append(f"{self.name} gets a head and no body: {self.script.pop(0)}")
                    writer.write(answer(503, fields.get("x-attempt-id", ""), "", "X-Not-Run: 1"))
                    await self.go.wait()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, path, _ = head.split("\r\n")[0].split(" ")
                name, step = fields.get("x-attempt-id", ""), self.script.pop(0) if self.script else "answer"
                self.arrivals.append(f"{self.name} gets {method} {path} {name} {body.decode()!r}: {step}")
                self.fields |= fields
                whole = answer(200, name, f"{self.name} {name}")
                if method == "HEAD":
                    whole = whole[: whole.index(b"\r\n\r\n") + 4]
                writer.write(late)
                late = b""
                match step:
                    case "answer":
                        writer.write(whole)
                    case "close":
                        writer.close()
                    case "cut":
                        writer.write(whole[:-3])
                        writer.close()
                    case "extra":
                        writer.write(whole + answer(200, name, "again"))
                    case "late extra":
                        writer.write(whole)
                        late = answer(200, name, "a late second answer")
                    case "full twice":
                        whole = late = answer(503, name, "", "X-Not-Run: 1")
                        writer.write(whole)
                    case "unasked":
                        writer.write(whole)
                        await self.go.wait()
                        writer.write(answer(200, name, "bytes that nobody asked for"))
                    case "noise":
                        writer.write(b"\x00\x01 no answer at all\r\n\r\n")
                    case "unsealed":
                        writer.write(whole.replace(b"X-Response-Seal", b"X-Other"))
                    case "encoded":
                        writer.write(
                            whole.replace(b"X-Response-Seal", b"Content-Encoding: br\r\nX-Response-Seal")
                        )
                    case "full":
                        writer.write(answer(503, name, "", "X-Not-Run: 1"))
                    case "elsewhere":
                        writer.write(answer(421, name, "", "X-Instance: i-other"))
                    case "error":
                        writer.write(answer(500, name, "failed"))
                    case "silent":
                        pass
                    case "held":
                        self.reached.set()
                        await self.go.wait()
                        writer.write(whole)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.open -= 1
            writer.close()


def answer(status: int, name: str, body: str, extra: str = "X-Response-Seal: s") -> bytes:
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Attempt-Id: {name}",
        extra,
        f"Content-Length: {len(body)}",
        "Keep-Alive: timeout=10",
        "X-Server-Load: 0,0,2",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Play:
    def __init__(self, grace: float = 6.0) -> None:
        told = Settings(
            "desk-1", "127.0.0.1", "z", (1, 2), (), False, None, 1.5, {}, 2**28, 100, Bounds(GraceS=grace)
        )
        self.proxy = Proxy(told)
        self.workers: dict[str, Scripted] = {}
        self.lines: list[str] = []

    async def start(self, scripts: dict[str, list[str]], limits: dict | None = None) -> None:
        proxy = self.proxy
        proxy.loop, proxy.changed = asyncio.get_running_loop(), asyncio.Event()
        proxy.configuration = build_configuration({**CONFIG, "Limits": limits or {}}).ok_value
        for place, (name, script) in enumerate(scripts.items()):
            worker = self.workers[name] = Scripted(name, script)
            await worker.start()
            proxy.load_balancer.registry.record(
                0.0, name, WorkerRegistration("plain", worker.address, "z", 2, "ready", place)
            )
        names = list(scripts)
        table = {
            str(i * 8192): [names[0], names[-1] if len(names) > 1 else "", 0.01, 1, "", ""] for i in range(8)
        }
        proxy.load_balancer.apply_table({"n": 1, "s": {"plain": table, "divided": table}})
        self.server = await proxy.loop.create_server(proxy.newcomer, "127.0.0.1", 0)
        proxy.front = self.server
        self.port = self.server.sockets[0].getsockname()[1]

    async def ask(
        self, method: str, path: str, name: str, body: str = "", *fields: str, keep: bool = False
    ) -> None:
        """One request on a connection of its own; what came back is written down."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {name}", *fields]
        lines += [f"Content-Length: {len(body)}"] * bool(body) + ["Connection: close"] * (not keep)
        if not any("Deadline" in field for field in fields):
            lines.append("X-Deadline-Ms: 1500")
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        head, _, text = (await reader.read()).decode().partition("\r\n\r\n")
        status = head.split(" ")[1] if head else "no answer"
        wanted = ("retry-after", "x-response-seal", *["connection"] * keep)
        told = [line for line in head.split("\r\n") if line.lower().startswith(wanted)]
        self.lines.append(f"client asks {method} {path} {name}")
        for worker in self.workers.values():
            self.lines += [f"  {line}" for line in worker.arrivals]
            worker.arrivals.clear()
        shown = [line.split(":")[0] for line in told]
        self.lines.append(f"  client gets {status} {text!r} {' '.join(shown)}".rstrip())
        writer.close()

    async def end(self) -> None:
        self.server.close()
        for worker in self.workers.values():
            worker.server.close()
        for line in [line for kept in self.proxy.connection_pool.idle.values() for line in kept]:
            line.close()
