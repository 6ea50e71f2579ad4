"""`bramblewood emulator worker`: a stand-in worker as a process, so that it can be killed and frozen."""

import asyncio
import itertools
import signal
from collections.abc import Callable

import aiohttp
from aiohttp import web

from .effect_log import EffectLog
from .worker_stub import WorkerStub

HEARTBEAT_INTERVAL = 1.0  # s between calls
# s that it serves on once its draining was acknowledged: DrainS and a little longer, PROTOCOL
DRAIN_TIME = 2.8
ACKNOWLEDGEMENT_TIMEOUT = 5.0  # s after which it ends without an acknowledgement
RETRY_INTERVAL = 0.2  # s between two calls that it is draining
IDLE_POLL_INTERVAL = 0.05  # s between two looks whether requests still run
SPOILT_ONE_IN = 5  # of so many answers one is lost and one goes out twice, while answers are spoilt


def answer_spoiler() -> Callable[[web.BaseRequest, web.Response], None]:
    """Loses and repeats answers in turn."""
    turns = itertools.count()

    def spoil(request: web.BaseRequest, answer: web.Response) -> None:
        turn = next(turns) % SPOILT_ONE_IN
        if turn == 0:
            request.transport.abort()
        elif turn == 1:
            head = {**answer.headers, "Content-Length": str(len(answer.body))}
            lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items()), "", ""]
            request.transport.write("\r\n".join(lines).encode() + answer.body)

    return spoil


def control_addresses(path: str) -> list[str]:
    """Control addresses as the platform names them now: one a line."""
    with open(path) as file:
        return file.read().split()


async def run_worker(worker: WorkerStub, effects: str, controls: str) -> int:
    """Serve and call until SIGTERM, then drain and end; SIGUSR1 begins and ends the spoiling of answers.

    effects: path of the service's effect log. controls: path of the file that names the controllers' Control
    addresses. Returns the exit code.
    """
    worker.records = EffectLog(effects)
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)

    def toggle_spoiling() -> None:
        worker.spoil = None if worker.spoil else answer_spoiler()

    loop.add_signal_handler(signal.SIGUSR1, toggle_spoiling)
    async with aiohttp.ClientSession() as session:
        worker.session = session
        await worker.start()
        while not terminated.is_set():
            await worker.call(session, "PUT", control_addresses(controls))
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL):
                    await terminated.wait()
            except TimeoutError:
                pass
        await drain(worker, session, controls)
        await worker.call(session, "DELETE", control_addresses(controls))
        worker.stop()
    return 0


async def drain(worker: WorkerStub, session: aiohttp.ClientSession, controls: str) -> None:
    """Say that it drains, serve on for a while, and let what runs end."""
    loop = asyncio.get_running_loop()
    worker.phase, deadline = "draining", loop.time() + ACKNOWLEDGEMENT_TIMEOUT
    while await worker.call(session, "PUT", control_addresses(controls)) is None and loop.time() < deadline:
        await asyncio.sleep(RETRY_INTERVAL)
    await asyncio.sleep(DRAIN_TIME)
    while worker.running or worker.waiting:
        await asyncio.sleep(IDLE_POLL_INTERVAL)
