"""A small gateway on loopback: three archives, two desks, a stand-in worker a service; one request is served.

    .venv/bin/python example/small.py

Prints each step; exit code 0 once the request was answered by a worker, 1 if it was not within 20 s.
"""

import asyncio
import pathlib
import sys
import tempfile

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
from bramblewood.emulator.operator import configuration  # noqa: E402
from bramblewood.emulator.processes import start, write_settings  # noqa: E402
from bramblewood.emulator.worker_stub import WorkerStub  # noqa: E402

WITHIN = 20.0  # s for the whole
PORTS = {"control": 18544, "front": 18548, "ready": 18542, "inner": 17540, "worker": 18700}
SEEDS = [f"127.0.0.{n}:{PORTS['control']}" for n in (1, 2, 3)]
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


async def until(what: str, check) -> None:
    while not await check():
        await asyncio.sleep(0.1)
    print(what, flush=True)


async def main() -> int:
    processes, workers = [], []
    async with asyncio.timeout(WITHIN), aiohttp.ClientSession() as session:
        with tempfile.TemporaryDirectory() as folder:
            try:
                for n in (1, 2, 3):
                    listen = {"Control": SEEDS[n - 1]}
                    path = write_settings(
                        f"{folder}/archive-{n}.toml", f"127.0.0.{n}", SEEDS, PORTS["inner"], listen
                    )
                    processes.append(await start(["controller"], path))
                for n in (4, 5):
                    ip = f"127.0.0.{n}"
                    listen = {"Front": f"{ip}:{PORTS['front']}", "ReadyProbe": f"{ip}:{PORTS['ready']}"}
                    path = write_settings(f"{folder}/desk-{n}.toml", ip, SEEDS, PORTS["inner"], listen)
                    processes.append(await start(["proxy"], path))
                for n, (service, keyed) in enumerate((("register", True), ("payments", False))):
                    address = ("127.0.0.6", PORTS["worker"] + n)
                    worker = WorkerStub(service, address, "here", 2, keyed, lambda request: 0.05)
                    await worker.start()
                    workers.append(worker)

                async def configured() -> bool:
                    try:
                        async with session.put(
                            f"http://{SEEDS[0]}/bramblewood/config", json=CONFIG
                        ) as answer:
                            return answer.status == 200
                    except aiohttp.ClientError:
                        return False

                async def ready() -> bool:
                    for worker in workers:
                        await worker.call(session, "PUT", SEEDS)
                    try:
                        for n in (4, 5):
                            url = f"http://127.0.0.{n}:{PORTS['ready']}/bramblewood/readiness"
                            async with session.get(url) as answer:
                                if answer.status != 200:
                                    return False
                    except aiohttp.ClientError:
                        return False
                    return True

                async def served() -> bool:
                    url, headers = f"http://127.0.0.4:{PORTS['front']}", {"Host": "club.example"}
                    headers |= {"X-Attempt-Id": "a1", "X-Deadline-Ms": "2000", "X-Shard-Key": "4096"}
                    async with session.get(f"{url}/members/7", headers=headers) as answer:
                        print(answer.status, await answer.text(), flush=True)
                        return answer.status == 200

                await until("a majority of three archives has the configuration on disk", configured)
                await until("both desks say that they are ready", ready)
                await until("a request was served", served)
            finally:
                for process in processes:
                    if process.returncode is None:
                        process.terminate()
                await asyncio.gather(*(process.wait() for process in processes))
    return 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except TimeoutError:
        print(f"not served within {WITHIN:.0f} s", file=sys.stderr)
        sys.exit(1)
