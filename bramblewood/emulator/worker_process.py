"""One stand-in worker as a process of its own, so that it can be killed and frozen: `bramblewood lab
worker`.
"""

import asyncio
import itertools
import signal
from collections.abc import Callable

import aiohttp
from aiohttp import web

from .effect_log import Ledger
from .worker_stub import WorkerStub

BEAT = 1.0  # s between calls
DRAINS = 2.8  # s that it serves on once its leave was acknowledged: DrainS and a little longer, PROTOCOL
UNHEARD = 5.0  # s after which it ends without an acknowledgement
SPOILT = 5  # of so many answers one is lost and one goes out twice, while answers are spoilt


def spoiler() -> Callable[[web.BaseRequest, web.Response], None]:
    turns = itertools.count()

    def spoil(request: web.BaseRequest, answer: web.Response) -> None:
        turn = next(turns) % SPOILT
        if turn == 0:
            request.transport.abort()
        elif turn == 1:
            head = {**answer.headers, "Content-Length": str(len(answer.body))}
            lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items()), "", ""]
            request.transport.write("\r\n".join(lines).encode() + answer.body)

    return spoil


def listed(path: str) -> list[str]:
    """Control addresses as the platform names them now: one a line."""
    with open(path) as file:
        return file.read().split()


async def work(
    service: str,
    address: tuple[str, int],
    zone: str,
    slots: int,
    keyed: bool,
    took: float,
    ledger: str,
    controls: str,
    instance_id: str,
) -> int:
    """Serve and call until SIGTERM, then leave in order; SIGUSR1 begins and ends the spoiling of answers.

    controls: path of the file that names the archives' Control addresses.
    """
    one = WorkerStub(service, address, zone, slots, keyed, lambda request: took)
    one.instance_id = instance_id or one.instance_id
    one.book = Ledger(ledger)
    loop = asyncio.get_running_loop()
    leaving = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, leaving.set)

    def turn() -> None:
        one.spoil = None if one.spoil else spoiler()

    loop.add_signal_handler(signal.SIGUSR1, turn)
    async with aiohttp.ClientSession() as session:
        one.session = session
        await one.start()
        while not leaving.is_set():
            await one.call(session, "PUT", listed(controls))
            try:
                async with asyncio.timeout(BEAT):
                    await leaving.wait()
            except TimeoutError:
                pass
        one.phase, until = "draining", loop.time() + UNHEARD
        while await one.call(session, "PUT", listed(controls)) is None and loop.time() < until:
            await asyncio.sleep(0.2)
        await asyncio.sleep(DRAINS)
        while one.running or one.waiting:
            await asyncio.sleep(0.05)
        await one.call(session, "DELETE", listed(controls))
        one.stop()
    return 0
