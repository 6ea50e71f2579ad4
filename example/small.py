"""A small gateway on loopback: three controllers, two proxies, a worker a service; one request is served.

    .venv/bin/python example/small.py

Prints each step; exit code 0 once the request was answered by a worker, 1 if it was not within 20 s.
"""

import asyncio
import pathlib
import sys
import tempfile
from collections.abc import Awaitable, Callable

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
from bramblewood.emulator.operator import configuration  # noqa: E402
from bramblewood.emulator.processes import start, write_settings  # noqa: E402
from bramblewood.emulator.worker_stub import WorkerStub  # noqa: E402

TIMEOUT = 20.0  # s for the whole
PORTS = {"control": 18544, "front": 18548, "ready": 18542, "inner": 17540, "worker": 18700}
SEEDS = [f"127.0.0.{n}:{PORTS['control']}" for n in (1, 2, 3)]
PROXIES = (4, 5)  # last parts of their addresses
CONFIG = configuration(
    "r1",
    [
        ["members", "club.example", "/members/", "pure", 2, 0.5, 1, 2, "register"],
        ["fees", "club.example", "/fees/", "effectful", 2, 0.5, 0, 2, "payments"],
    ],
    [["register", "/health", 100, True], ["payments", "/health", 100, None]],
    ["Label", "HealthPath", "MaxConns", "Sharded"],
    Limits={"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576},
)


class SmallGateway:
    """Three controllers, two proxies and two workers, as an async context that ends them all."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.processes: list[asyncio.subprocess.Process] = []
        self.workers: list[WorkerStub] = []

    async def __aenter__(self) -> "SmallGateway":
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.session.close()
        for worker in self.workers:
            worker.stop()
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        await asyncio.gather(*(process.wait() for process in self.processes))

    async def start(self) -> None:
        """Start all programs and workers."""
        for n in (1, 2, 3):
            await self.start_program("controller", n, {"Control": SEEDS[n - 1]})
        for n in PROXIES:
            ip = f"127.0.0.{n}"
            listen = {"Front": f"{ip}:{PORTS['front']}", "ReadyProbe": f"{ip}:{PORTS['ready']}"}
            await self.start_program("proxy", n, listen)
        for n, (service, keyed) in enumerate((("register", True), ("payments", False))):
            address = ("127.0.0.6", PORTS["worker"] + n)
            worker = WorkerStub(service, address, "here", 2, keyed, lambda request: 0.05)
            await worker.start()
            self.workers.append(worker)

    async def start_program(self, command: str, n: int, listen: dict[str, str]) -> None:
        """Start a controller or a proxy at 127.0.0.n."""
        path = f"{self.folder}/{command}-{n}.toml"
        settings = write_settings(path, f"127.0.0.{n}", SEEDS, PORTS["inner"], listen)
        self.processes.append(await start([command], settings))

    async def is_configured(self) -> bool:
        """Put the configuration; whether it was taken."""
        try:
            async with self.session.put(f"http://{SEEDS[0]}/bramblewood/config", json=CONFIG) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def is_ready(self) -> bool:
        """Let the workers call; whether both proxies are ready."""
        for worker in self.workers:
            await worker.call(self.session, "PUT", SEEDS)
        try:
            for n in PROXIES:
                url = f"http://127.0.0.{n}:{PORTS['ready']}/bramblewood/readiness"
                async with self.session.get(url) as answer:
                    if answer.status != 200:
                        return False
        except aiohttp.ClientError:
            return False
        return True

    async def is_served(self) -> bool:
        """Send a request; whether a worker answered it."""
        url, headers = f"http://127.0.0.4:{PORTS['front']}", {"Host": "club.example"}
        headers |= {"X-Attempt-Id": "a1", "X-Deadline-Ms": "2000", "X-Shard-Key": "4096"}
        async with self.session.get(f"{url}/members/7", headers=headers) as answer:
            print(answer.status, await answer.text(), flush=True)
            return answer.status == 200


async def wait_until(description: str, check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a check holds, then say so."""
    while not await check():
        await asyncio.sleep(0.1)
    print(description, flush=True)


async def main() -> None:
    """All steps; raises TimeoutError where they take too long."""
    with tempfile.TemporaryDirectory() as folder:
        async with asyncio.timeout(TIMEOUT), SmallGateway(folder) as gateway:
            await gateway.start()
            await wait_until(
                "a majority of three controllers has the configuration on disk", gateway.is_configured
            )
            await wait_until("both proxies say that they are ready", gateway.is_ready)
            await wait_until("a request was served", gateway.is_served)


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except TimeoutError:
        print(f"not served within {TIMEOUT:.0f} s", file=sys.stderr)
        sys.exit(1)
