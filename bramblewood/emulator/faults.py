"""Faults and restarts of a run, each at its time."""

import asyncio
import signal
import time

from .events import EventLog
from .machines import Machines
from .processes import CURRENT, Release
from .scenario import FaultSpec, RestartSpec

RESET_INTERVAL = 1.0  # s between two times that a machine's connections are broken off
DOWNTIME = 1.0  # s that an ended program stays away, where a scenario does not say
# signals that begin and end a fault of a process
SIGNALS = {"freeze": (signal.SIGSTOP, signal.SIGCONT), "spoil": (signal.SIGUSR1, signal.SIGUSR1)}


class FaultInjector:
    """Brings a scenario's faults and restarts about; previous: the earlier release that restarts may name."""

    def __init__(self, machines: Machines, events: EventLog, previous: Release | None) -> None:
        self.machines, self.events = machines, events
        self.releases = {"current": CURRENT, "previous": previous or CURRENT}

    async def inject(self, fault: FaultSpec) -> None:
        """Wait for a fault's time, bring it about, and end it."""
        await asyncio.sleep(fault["at"])
        name, kind, duration = fault["who"], fault["kind"], fault.get("for_s", DOWNTIME)
        self.events.add(kind, who=name, for_s=duration)
        if kind == "cut":
            await self._partition(name, duration)
        elif kind == "reset":
            await self._reset_connections(name, duration)
        elif kind in SIGNALS:
            await self._signal(name, kind, duration)
        elif kind == "replace":
            await self._replace(name, duration)
        else:
            await self._kill(name, duration, lose_disk=kind == "lose disk")
        self.events.add(f"{kind} over", who=name)

    async def _partition(self, name: str, duration: float) -> None:
        network, outer = self.machines.network, self.machines.machines[name].outer
        network.partition(outer)
        await asyncio.sleep(duration)
        network.heal(outer)

    async def _reset_connections(self, name: str, duration: float) -> None:
        over = time.monotonic() + duration
        while time.monotonic() < over:
            self.machines.network.reset(self.machines.machines[name].outer)
            await asyncio.sleep(RESET_INTERVAL)

    async def _signal(self, name: str, kind: str, duration: float) -> None:
        process, (begin, end) = self.machines.processes[name], SIGNALS[kind]
        process.send_signal(begin)
        await asyncio.sleep(duration)
        process.send_signal(end)

    async def _kill(self, name: str, downtime: float, lose_disk: bool) -> None:
        await self.machines.kill(name)
        if lose_disk:
            self.machines.delete_disk(name)
        await asyncio.sleep(downtime)
        await self.machines.start(name)

    async def _replace(self, name: str, downtime: float) -> None:
        await self.machines.kill(name)
        self.machines.retire_controller(name)
        await asyncio.sleep(downtime)
        await self.machines.start(await self.machines.add_controller(False))

    async def restart(self, restart: RestartSpec) -> None:
        """Wait for a restart's time, end the program in order, and start it from the release named."""
        await asyncio.sleep(restart["at"])
        name, release = restart["who"], restart["release"]
        self.events.add("restart", who=name, release=release)
        code = await self.machines.terminate(name)
        await asyncio.sleep(restart.get("for_s", DOWNTIME))
        self.machines.releases[name] = self.releases[release]
        await self.machines.start(name)
        self.events.add("restart over", who=name, release=release, code=code)
