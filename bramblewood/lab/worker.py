"""One stand-in worker as a process of its own, so that it can be killed and frozen: `bramblewood lab
worker`.
"""

import asyncio
import signal

import aiohttp

from .ledger import Ledger
from .standin import StandIn

BEAT = 1.0  # s between calls
DRAINS = 2.8  # s that it serves on once its leave was acknowledged: DrainS and a little longer, PROTOCOL
UNHEARD = 5.0  # s after which it ends without an acknowledgement


async def work(
    service: str,
    address: tuple[str, int],
    zone: str,
    slots: int,
    keyed: bool,
    took: float,
    ledger: str,
    controls: list[str],
    life: str,
) -> int:
    """Serve and call until SIGTERM, then leave in order."""
    one = StandIn(service, address, zone, slots, keyed, lambda request: took)
    one.life = life or one.life
    one.book = Ledger(ledger)
    loop = asyncio.get_running_loop()
    leaving = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, leaving.set)
    async with aiohttp.ClientSession() as session:
        one.session = session
        await one.start()
        while not leaving.is_set():
            await one.call(session, "PUT", controls)
            try:
                async with asyncio.timeout(BEAT):
                    await leaving.wait()
            except TimeoutError:
                pass
        one.phase, until = "draining", loop.time() + UNHEARD
        while await one.call(session, "PUT", controls) is None and loop.time() < until:
            await asyncio.sleep(0.2)
        await asyncio.sleep(DRAINS)
        while one.running or one.waiting:
            await asyncio.sleep(0.05)
        await one.call(session, "DELETE", controls)
        one.stop()
    return 0
