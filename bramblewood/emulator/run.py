"""A run of the emulator: controllers and proxies on loopback, stand-in workers, clients, faults, the audit.

What a run leaves in its folder: run.json (findings, events, how each order ended), the effects of each
service, settings and logs; `report.py` makes a page of them.
"""

import asyncio
import json
import os
import time
from collections.abc import Callable, Coroutine
from typing import Any

from .audit import Finding, audit
from .clients import Clients
from .effect_log import EffectLog
from .events import EventLog
from .faults import FaultInjector
from .machines import Machines
from .operator_calls import Operator, summarize_changes
from .processes import CURRENT, Release
from .scenario import HotKeySpec, RequestSpec, Scenario

START_TIMEOUT = 30.0  # s for all to be ready
POLL_INTERVAL = 0.2  # s between two looks whether all are ready
SETTLING_TIME = 3.0  # s after the last arrival until effects are read: longer than the last deadline's rest


class Run:
    """One run of a scenario in a folder.

    tell: gets a line for each event. net: see `Machines`. previous: the earlier release for mixed fleets.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: str,
        tell: Callable[[str], None],
        net: int = 0,
        previous: Release | None = None,
    ) -> None:
        self.scenario, self.seed, self.folder = scenario, seed, folder
        self.events = EventLog(tell)
        self.machines = Machines(scenario, seed, folder, net, previous or CURRENT)
        self.faults = FaultInjector(self.machines, self.events, previous)
        self.operator = Operator(scenario, self.machines, self.events)

    async def run(self) -> dict[str, Any]:
        """Start all, send the traffic, and audit; what run.json holds.

        Raises TimeoutError where the machines are not ready in time.
        """
        os.makedirs(self.folder, exist_ok=True)
        for service in self.scenario["services"]:
            EffectLog(self._effects_path(service["name"])).close()
        try:
            await self.machines.start_all()
            async with Clients(self.seed, self.machines.proxies) as self.clients:
                await self._until_ready()
                await self._send_traffic()
            return self._judge(await self.operator.read_revision())
        finally:
            await self.operator.close()
            await self.machines.close()

    def _effects_path(self, service: str) -> str:
        return f"{self.folder}/{service}.db"

    async def _until_ready(self) -> None:
        """Put the configuration and wait until every proxy is ready."""
        async with asyncio.timeout(START_TIMEOUT):
            await self.operator.put_first(self.machines.seeds[0])
            while not await self.clients.check_all():
                await asyncio.sleep(POLL_INTERVAL)

    async def _send_traffic(self) -> None:
        """All of the scenario, and some time for what is still in flight."""
        self.events.began = time.monotonic()
        self.events.add("traffic begins")
        watching = asyncio.create_task(self.clients.watch_readiness())
        activities = [asyncio.create_task(activity) for activity in self._activities()]
        try:
            await asyncio.gather(*activities)
            await asyncio.sleep(SETTLING_TIME)
        finally:
            for task in (watching, *activities):
                task.cancel()
            await asyncio.gather(watching, *activities, return_exceptions=True)

    def _activities(self) -> list[Coroutine]:
        """Everything that goes on side by side in a run."""
        scenario, requests = self.scenario, {one["name"]: one for one in self.scenario["requests"]}
        until = asyncio.get_running_loop().time() + scenario["seconds"]
        drains_until = self.events.began + scenario["seconds"] + SETTLING_TIME
        return [
            *(
                self.clients.send_arrivals(one, one["rate"], until, None, name)
                for name, one in requests.items()
            ),
            *(self._crowd_key(requests[one["request"]], one) for one in scenario.get("crushes", [])),
            *(self.faults.inject(one) for one in scenario.get("faults", [])),
            *(self.faults.restart(one) for one in scenario.get("restarts", [])),
            *(self.operator.drain(one, drains_until) for one in scenario.get("withdrawals", [])),
            *(self.operator.change_configurations(one) for one in scenario.get("changes", [])),
        ]

    async def _crowd_key(self, request: RequestSpec, hot_key: HotKeySpec) -> None:
        """Further requests, all for one key."""
        await asyncio.sleep(hot_key["at"])
        key, rate = hot_key["key"], hot_key["rate"]
        self.events.add("crush", request=request["name"], key=key, rate=rate)
        until = asyncio.get_running_loop().time() + hot_key["for_s"]
        await self.clients.send_arrivals(request, rate, until, key, f"crush {request['name']}")
        self.events.add("crush over")

    def _judge(self, revision: int) -> dict[str, Any]:
        """Audit the run and write run.json; revision: of the configuration that a reader gets at the end."""
        effects = {}
        for service in self.scenario["services"]:
            log = EffectLog(self._effects_path(service["name"]))
            effects[service["name"]] = log.effects()
            log.close()
        findings = audit(self.clients.attempts, effects, self.operator.drained_at)
        changes = self.operator.changes
        newest = max((one["number"] for one in changes if one["status"] == 200), default=1)
        if revision < newest:
            detail = f"at the end r{revision} is read"
            findings.append(Finding("configuration lost", f"r{newest}", detail))
        began = self.events.began
        result = {
            "scenario": self.scenario["name"],
            "seed": self.seed,
            "findings": [finding._asdict() for finding in findings],
            "tries": len(self.clients.attempts),
            "effects": sum(map(len, effects.values())),
            "events": self.events.since_start(),
            "changes": summarize_changes(changes),
            "orders": [{**one, "at": round(one["at"] - began, 3)} for one in self.clients.results],
        }
        with open(f"{self.folder}/run.json", "w") as file:
            json.dump(result, file)
        return result
