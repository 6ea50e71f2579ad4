"""Clients written from the protocol: arrivals by a seed, ready proxies only, attempts as the page allows."""

import asyncio
import json
import math
import zlib
from typing import NamedTuple, TypedDict

import aiohttp

from .audit import NOT_RUN, Attempt
from .operator import HOST
from .scenario import RequestSpec

MAX_ATTEMPTS = 4  # of one order, within its deadline
# readiness checks without 200 after which a proxy gets nothing new; PROTOCOL, "How clients arrive"
FAILED_CHECKS = 2
READINESS_INTERVAL = 1.0  # s between readiness checks
KEEP_ALIVE = 5.0  # s that an idle connection is kept
LEAST_TIME_LEFT = 0.02  # s to the deadline; with less no further attempt is made
FINAL_STATUSES = (400, 401, 404, 413, 431)  # a further attempt would get the same
ALL_KEYS = [0, 65535]


class RandomSource:
    """Numbers in [0, 1) from a seed and a counter: the same for the same seed, whatever else is drawn."""

    def __init__(self, seed: int, name: str) -> None:
        self.seed, self.name, self.count = seed, name, 0

    def next(self) -> float:
        """The next number."""
        self.count += 1
        return zlib.crc32(f"{self.seed} {self.name} {self.count}".encode()) / 2**32


class ProxyAddresses(NamedTuple):
    """Where clients find a proxy, host:port."""

    front: str
    readiness: str


class OrderResult(TypedDict):
    """How an order ended, for the report; at, took: s. status: of its last attempt, 0 for none."""

    kind: str
    key: int
    at: float
    took: float
    status: int
    tries: int


class AttemptAnswer(NamedTuple):
    """status: 0 for none; retry_after: s after which it may be asked again."""

    status: int
    retry_after: float


class Clients:
    """All clients of a run, as an async context: it ends once all orders have. proxies: by name."""

    def __init__(self, seed: int, proxies: dict[str, ProxyAddresses]) -> None:
        self.seed, self.proxies = seed, proxies
        self.failed_checks = dict.fromkeys(proxies, 0)
        self.attempts: list[Attempt] = []
        self.results: list[OrderResult] = []
        self.order_count = 0
        self.pending: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Clients":
        self.loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE)
        self.session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Wait for orders in flight, then close the connections."""
        if self.pending:
            await asyncio.wait(self.pending)
        await self.session.close()

    # --- which proxies get requests

    async def watch_readiness(self) -> None:
        """Check each proxy once a second, as the platform does; until cancelled."""
        while True:
            await self.check_all()
            await asyncio.sleep(READINESS_INTERVAL)

    async def check_all(self) -> bool:
        """Check each proxy once; whether all are ready."""
        await asyncio.gather(*(self.check_readiness(name) for name in self.proxies))
        return not any(self.failed_checks.values())

    async def check_readiness(self, name: str) -> None:
        """One readiness check of one proxy."""
        url = f"http://{self.proxies[name].readiness}/bramblewood/readiness"
        try:
            async with asyncio.timeout(READINESS_INTERVAL), self.session.get(url) as answer:
                ready = answer.status == 200
        except (OSError, TimeoutError, aiohttp.ClientError):
            ready = False
        self.failed_checks[name] = 0 if ready else self.failed_checks[name] + 1

    def choose_proxy(self, number: float) -> str:
        """The front of one of the ready proxies, or of any where none is ready; number: in [0, 1)."""
        ready = sorted(name for name, failed in self.failed_checks.items() if failed < FAILED_CHECKS)
        names = ready or sorted(self.proxies)
        return self.proxies[names[int(number * len(names))]].front

    # --- orders

    async def send_arrivals(
        self, request: RequestSpec, rate: float, until: float, key: int | None, name: str
    ) -> None:
        """Orders of one kind at exponentially distributed intervals until a time of the loop's clock.

        rate: a second. key: None draws one for each order. name: of the arrivals' random numbers.
        """
        random, at = RandomSource(self.seed, name), self.loop.time()
        first, last = request.get("keys", ALL_KEYS)
        while True:
            at += -math.log(max(1 - random.next(), 1e-9)) / rate
            if at >= until:
                return
            await asyncio.sleep(at - self.loop.time())
            order_key = key if key is not None else first + int(random.next() * (last - first + 1))
            task = asyncio.ensure_future(self.send_order(request, order_key, random))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)

    async def send_order(self, request: RequestSpec, key: int, random: RandomSource) -> None:
        """One order with as many attempts as the page allows."""
        self.order_count += 1
        order, began = f"o{self.seed}-{self.order_count}", self.loop.time()
        deadline = began + request["deadline_s"]
        status, attempts = 0, 0
        while attempts < MAX_ATTEMPTS and (left := deadline - self.loop.time()) > LEAST_TIME_LEFT:
            attempts += 1
            attempt = f"{order}-{attempts}"
            status, retry_after = await self.send_attempt(request, order, attempt, key, left, random)
            if status in FINAL_STATUSES or 200 <= status < 300:
                break
            if request.get("adds", 0) and status not in NOT_RUN:
                break
            await asyncio.sleep(max(min(retry_after, (deadline - self.loop.time()) / 3), 0.0))
        took = self.loop.time() - began
        self.results.append(
            {
                "kind": request["name"],
                "key": key,
                "at": began,
                "took": took,
                "status": status,
                "tries": attempts,
            }
        )

    async def send_attempt(
        self, request: RequestSpec, order: str, attempt: str, key: int, left: float, random: RandomSource
    ) -> AttemptAnswer:
        """One attempt, recorded for the audit; left: s until its deadline."""
        effect, sent = request.get("adds", 0), self.loop.time()
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(left * 1000))}
        headers |= {"X-Shard-Key": str(key), "X-Order": order}
        if effect:
            headers["X-Adds"] = str(effect)
        url = f"http://{self.choose_proxy(random.next())}/{request['name']}/{key}"
        # never GET or PUT for an effect: the library sends those again by itself on a closed connection
        method = "POST" if effect else "GET"
        status, entries, retry_after = 0, None, 0.0
        try:
            async with asyncio.timeout(left):
                async with self.session.request(method, url, headers=headers) as answer:
                    body = await answer.read()
                    status, retry_after = answer.status, float(answer.headers.get("Retry-After", 0))
                    if 200 <= status < 300:
                        entries = json.loads(body).get("lines")
        except (OSError, TimeoutError, aiohttp.ClientError, ValueError):
            pass
        ended = self.loop.time()
        name, service = request["name"], request["service"]
        self.attempts.append(
            Attempt(name, effect, order, attempt, service, key, sent, ended, status, entries)
        )
        return AttemptAnswer(status, retry_after)
