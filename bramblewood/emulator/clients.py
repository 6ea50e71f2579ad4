"""Clients written from the protocol: arrivals by a seed, ready desks only, further tries as the page
allows.
"""

import asyncio
import json
import math
import zlib
from typing import Any

import aiohttp

from .audit import PROMISES, Try

TRIES = 4  # of one order, within its deadline
# looks at readiness without 200 after which a desk gets nothing new; PROTOCOL, "How clients arrive"
MISSES = 2
LOOK = 1.0  # s between looks


class Chance:
    """Numbers from a seed and a counter."""

    def __init__(self, seed: int, name: str) -> None:
        self.seed, self.name, self.count = seed, name, 0

    def next(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed} {self.name} {self.count}".encode()) / 2**32


class Clients:
    def __init__(self, seed: int, proxies: dict[str, tuple[str, str]]) -> None:
        """desks: by name, front and readiness addresses, host:port."""
        self.seed, self.proxies = seed, proxies
        self.missed = dict.fromkeys(proxies, 0)
        self.tries: list[Try] = []
        self.orders: list[dict[str, Any]] = []  # how each ended, for the report
        self.ids = 0
        self.under_way: set[asyncio.Task] = set()

    async def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0))

    async def end(self) -> None:
        if self.under_way:
            await asyncio.wait(self.under_way)
        await self.session.close()

    async def platform(self) -> None:
        """Look at each desk once a second, as the platform does."""
        while True:
            await asyncio.gather(*(self.look(name) for name in self.proxies))
            await asyncio.sleep(LOOK)

    async def look(self, name: str) -> None:
        try:
            async with asyncio.timeout(LOOK):
                async with self.session.get(
                    f"http://{self.proxies[name][1]}/bramblewood/readiness"
                ) as answer:
                    good = answer.status == 200
        except (OSError, TimeoutError, aiohttp.ClientError):
            good = False
        self.missed[name] = 0 if good else self.missed[name] + 1

    def proxy(self, lot: float) -> str:
        able = sorted(name for name, missed in self.missed.items() if missed < MISSES) or sorted(self.proxies)
        return self.proxies[able[int(lot * len(able))]][0]

    async def arrive(self, what: dict, rate: float, until: float, key: int | None, name: str) -> None:
        """Arrivals of one kind, apart by lots of an exponential distribution, until a time."""
        chance, at = Chance(self.seed, name), self.loop.time()
        first, last = what.get("keys", [0, 65535])
        while True:
            at += -math.log(max(1 - chance.next(), 1e-9)) / rate
            if at >= until:
                return
            await asyncio.sleep(at - self.loop.time())
            own = key if key is not None else first + int(chance.next() * (last - first + 1))
            task = asyncio.ensure_future(self.order(what, own, chance))
            self.under_way.add(task)
            task.add_done_callback(self.under_way.discard)

    async def order(self, what: dict, key: int, chance: Chance) -> None:
        self.ids += 1
        order, began = f"o{self.seed}-{self.ids}", self.loop.time()
        deadline, effect = began + what["deadline_s"], what.get("adds", 0)
        status, tries = 0, 0
        while tries < TRIES and (left := deadline - self.loop.time()) > 0.02:
            tries += 1
            status, later = await self.attempt(what, order, f"{order}-{tries}", key, left, chance)
            if status in (400, 401, 404, 413, 431) or 200 <= status < 300:
                break
            if effect and status not in PROMISES:
                break
            await asyncio.sleep(max(min(later, (deadline - self.loop.time()) / 3), 0.0))
        took = self.loop.time() - began
        self.orders.append(
            {"kind": what["name"], "key": key, "at": began, "took": took, "status": status, "tries": tries}
        )

    async def attempt(
        self, what: dict, order: str, attempt: str, key: int, left: float, chance: Chance
    ) -> tuple[int, float]:
        """One try; its status, 0 for none, and after how long it may be asked again."""
        effect, sent = what.get("adds", 0), self.loop.time()
        headers = {"Host": "lab.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(left * 1000))}
        headers |= {"X-Shard-Key": str(key), "X-Order": order}
        if effect:
            headers["X-Adds"] = str(effect)
        url, status, lines, later = f"http://{self.proxy(chance.next())}/{what['name']}/{key}", 0, None, 0.0
        try:
            async with asyncio.timeout(left):
                # never GET or PUT for an effect: the library sends those again by itself on a closed
                # connection
                async with self.session.request("POST" if effect else "GET", url, headers=headers) as answer:
                    body = await answer.read()
                    status, later = answer.status, float(answer.headers.get("Retry-After", 0))
                    if 200 <= status < 300:
                        lines = json.loads(body).get("lines")
        except (OSError, TimeoutError, aiohttp.ClientError, ValueError):
            pass
        ended = self.loop.time()
        one = Try(what["name"], effect, order, attempt, what["service"], key, sent, ended, status, lines)
        self.tries.append(one)
        return status, later
