"""An operator amid a run: configurations one after another, and plans that drain workers."""

import asyncio
import time
from typing import Any, TypedDict

import aiohttp

from .events import EventLog
from .machines import INNER, Machines
from .operator import scenario_configuration
from .scenario import ChangesSpec, DrainSpec, Scenario

ANSWER_TIMEOUT = 1.0  # s for a controller's answer
RETRY_INTERVAL = 0.2  # s until an order without a clear answer is sent again, to the next controller
CLEAR_ANSWER_TIMEOUT = 20.0  # s after which an order without a clear answer is given up
ACKNOWLEDGEMENT_TIMEOUT = 5.0  # s within which a majority acknowledges an order; the rules' AckS
POLL_INTERVAL = 0.2  # s between two views of a drain plan

CALL_ERRORS = (OSError, TimeoutError, aiohttp.ClientError)


class ChangeResult(TypedDict):
    """How one configuration fared: when it was sent, s until its clear answer, its status (0: none)."""

    number: int
    at: float
    took: float
    status: int


class Operator:
    """Calls controllers as an operator's tools do; they change nothing of a run but by their orders."""

    def __init__(self, scenario: Scenario, machines: Machines, events: EventLog) -> None:
        self.scenario, self.machines, self.events = scenario, machines, events
        self.revision = 1
        self.next_controller = 0
        self.changes: list[ChangeResult] = []  # configurations sent amid the traffic
        self.drained_at: dict[str, float] = {}  # by instance id of a drained worker: when it ended, s
        self.stopping: set[asyncio.Task] = set()  # drained workers that are told to end

    # --- configurations

    async def put_first(self, address: str) -> None:
        """Put the first configuration at this Control address until it is taken."""
        body = scenario_configuration(self.scenario, self.revision)
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.put(f"http://{address}/bramblewood/config", json=body) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(RETRY_INTERVAL)

    async def change_configurations(self, changes: ChangesSpec) -> None:
        """Configurations one after another, each on the one before."""
        await asyncio.sleep(changes["at"])
        self.events.add("changes", count=changes["count"])
        for _ in range(changes["count"]):
            self.revision += 1
            result = await self._change_configuration(self.revision)
            self.changes.append(result)
            await asyncio.sleep(max(changes["every_s"] - result["took"], 0.0))
        self.events.add("changes over")

    async def _change_configuration(self, revision: int) -> ChangeResult:
        """Send a configuration until it has a clear answer: taken or refused."""
        began, status = time.monotonic(), 0
        body = scenario_configuration(self.scenario, revision)
        while time.monotonic() < began + CLEAR_ANSWER_TIMEOUT and not is_clear(status):
            status = await self._put(body)
            if not is_clear(status):
                await asyncio.sleep(RETRY_INTERVAL)
        return {"number": revision, "at": began, "took": time.monotonic() - began, "status": status}

    async def _put(self, body: dict) -> int:
        """A configuration, to the next controller in turn; the status, 0 for no answer."""
        self.next_controller += 1
        addresses = list(self.machines.control_addresses.values())
        url = f"http://{addresses[self.next_controller % len(addresses)]}/bramblewood/config"
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT), aiohttp.ClientSession() as session:
                async with session.put(url, json=body) as answer:
                    return answer.status
        except CALL_ERRORS:
            return 0

    async def read_revision(self) -> int:
        """The number of the configuration that a reader gets; 0 where nobody answers one."""
        for address in self.machines.control_addresses.values():
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT), aiohttp.ClientSession() as session:
                    async with session.get(f"http://{address}/bramblewood/config") as answer:
                        if answer.status == 200:
                            return int((await answer.json())["Revision"][1:])
            except CALL_ERRORS:
                continue
        return 0

    # --- drain plans

    async def drain(self, drain: DrainSpec, until: float) -> None:
        """A drain plan; each worker that is out of service is stopped. until: s of the steady clock."""
        await asyncio.sleep(drain["at"])
        name = f"plan-{drain['service']}-{drain['at']:g}"
        order = {"Do": "start", "Name": name, "Service": drain["service"], "Wave": drain.get("wave", 1)}
        order |= {"Zone": drain.get("zone", ""), **({"Count": drain["count"]} if "count" in drain else {})}
        self.events.add("withdraw", plan=name)
        names = {instance_id: worker for worker, instance_id in self.machines.instance_ids.items()}
        acknowledged, stopped = False, set()
        while time.monotonic() < until:
            acknowledged = acknowledged or await self._call("POST", "/plan", order) is not None
            plan = (await self._call("GET", "/view/plans", None) or {}).get(name, {})
            for instance_id, worker in plan.get("workers", {}).items():
                if worker["step"] == "out" and instance_id not in stopped:
                    stopped.add(instance_id)
                    self._stop_soon(names[instance_id])
            if plan.get("state") not in (None, "running"):
                self.events.add("withdrawn", plan=name, state=plan["state"], why=plan["why"])
                return
            await asyncio.sleep(POLL_INTERVAL)
        self.events.add("not withdrawn in time", plan=name)

    def _stop_soon(self, worker: str) -> None:
        task = asyncio.ensure_future(self._stop_worker(worker))
        self.stopping.add(task)
        task.add_done_callback(self.stopping.discard)

    async def _stop_worker(self, name: str) -> None:
        """Stop a worker that is out of service: it drains and ends by itself."""
        self.events.add("ends", who=name)
        await self.machines.terminate(name)
        self.drained_at[self.machines.instance_ids[name]] = time.monotonic()

    async def close(self) -> None:
        """Wait no longer for workers that were told to end."""
        for task in self.stopping:
            task.cancel()
        await asyncio.gather(*self.stopping, return_exceptions=True)

    async def _call(self, method: str, path: str, body: dict | None) -> dict[str, Any] | None:
        """A call at the inner address of the first controller that answers it; None where none does."""
        for name in list(self.machines.control_addresses):
            url = f"http://{self.machines.machines[name].outer}:{INNER}{path}"
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT), aiohttp.ClientSession() as session:
                    async with session.request(method, url, json=body) as answer:
                        if answer.status < 500:
                            return await answer.json()
            except CALL_ERRORS:
                continue
        return None


def is_clear(status: int) -> bool:
    """Whether an order with this answer was taken or refused."""
    return status // 100 in (2, 4)


def summarize_changes(changes: list[ChangeResult]) -> dict[str, Any]:
    """How the configurations sent amid the traffic fared.

    late: answered, but after more than ACKNOWLEDGEMENT_TIMEOUT.
    """
    durations = sorted(one["took"] for one in changes)
    answered = [one for one in changes if one["status"]]
    return {
        "sent": len(changes),
        "taken": sum(one["status"] == 200 for one in answered),
        "refused": sum(one["status"] // 100 == 4 for one in answered),
        "unclear": sum(not is_clear(one["status"]) for one in changes),
        "late": sum(one["took"] > ACKNOWLEDGEMENT_TIMEOUT for one in answered),
        "median_s": round(durations[len(durations) // 2], 3) if durations else 0.0,
        "longest_s": round(durations[-1], 3) if durations else 0.0,
    }
