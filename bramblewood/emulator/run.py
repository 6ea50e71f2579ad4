"""A run of the emulator: real archives and desks on loopback, stand-in workers, clients, faults, and the
audit.

Each machine has an address of its own in 127.0.0.0/8; managers listen behind relays (`wire.py`). What a run
leaves in its folder: tries.json, orders.json, events.json, ledgers, logs, settings; `report.py` makes a
page of them.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from .audit import Finding, audit
from .clients import Clients
from .effect_log import Ledger
from .network import Wire
from .operator import ROUTE_FIELDS, configuration
from .processes import boot, start
from .scenario import Scenario

INNER, CONTROL, FRONT, READY, WORKER = 27540, 28544, 28548, 28542, 28700
UP_WITHIN = 30.0  # s for all to be ready
AFTER = 3.0  # s after the last arrival until the ledgers are read: longer than the last deadline's rest
SERVICE_FIELDS = ["Label", "Sharded", "MaxConns", "HealthPath", "ReadCopies"]
ASK = 1.0  # s for an archive's answer
FOUNDERS = 3  # archives that found the set of voters; one may be lost, the settings' default `Tolerance`
AGAIN = 0.2  # s until an order without a clear answer is sent again, to the next archive
CLEAR_WITHIN = 20.0  # s after which an order without a clear answer is given up
ACK = 5.0  # s within which a majority acknowledges an order; the rules' AckS
RESETS = 1.0  # s between two times that a machine's connections are broken off
SIGNALS = {"freeze": (signal.SIGSTOP, signal.SIGCONT), "spoil": (signal.SIGUSR1, signal.SIGUSR1)}
DOWN = 1.0  # s that a killed program stays away, where a fault does not say


class World:
    def __init__(
        self, scenario: Scenario, seed: int, folder: str, say: Callable[[str], None], net: int = 0
    ) -> None:
        """net: which addresses to use, 127.net.21.1 and on, so that runs can stand side by side."""
        self.relayed, self.behind, self.fronts, self.workers = (f"127.{net}.{n}" for n in (21, 22, 23, 24))
        self.scenario, self.seed, self.folder, self.say = scenario, seed, folder, say
        self.zones = scenario.get("zones", ["norte", "sur"])
        self.programs: dict[str, tuple[list[str], str]] = {}  # by name: words and settings
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.outer: dict[str, str] = {}
        self.instance_ids: dict[str, str] = {}  # by worker's name, its life
        self.events: list[dict[str, Any]] = []
        self.ends: dict[str, float] = {}
        self.controls: dict[str, str] = {}  # by archive that is there, its Control address
        self.placed = 0  # archives that were given an address
        self.revision, self.turn = 1, 0  # of orders, and which archive is asked next
        self.changed: list[dict[str, Any]] = []  # configurations sent amid the traffic
        self.dice = random.Random(seed)

    def note(self, what: str, **more: Any) -> None:
        self.events.append({"at": time.monotonic(), "what": what, **more})
        self.say(f"{time.monotonic() - self.began:6.1f} s  {what}  " + " ".join(map(str, more.values())))

    # --- machines

    async def machines(self) -> None:
        self.wire = Wire()
        fronts: dict[str, tuple[str, str]] = {}
        self.seeds = [f"{self.relayed}.{n + 1}:{CONTROL}" for n in range(FOUNDERS)]
        for n in range(self.scenario.get("archives", FOUNDERS)):
            await self.controller(n < FOUNDERS)
        for n in range(self.scenario.get("desks", 2)):
            name, ip, inner = f"desk-{n + 1}", f"{self.fronts}.{n + 1}", f"{self.behind}.{101 + n}"
            self.outer[name], self.wire.outer[inner] = ip, ip
            listen = {"Front": f"{ip}:{FRONT}", "ReadyProbe": f"{ip}:{READY}"}
            fronts[name] = (listen["Front"], listen["ReadyProbe"])
            self.settle(name, ["proxy"], ip, listen, self.zones[n % len(self.zones)], inner)
        for service in self.scenario["services"]:
            for n in range(service["workers"]):
                self.worker(service, n)
        self.clients = Clients(self.seed, fronts)
        for name in self.programs:
            await self.begin(name)

    async def controller(self, first: bool) -> str:
        """Settings and an address for one more archive; its name. first: `FirstBoot`."""
        n, self.placed = self.placed, self.placed + 1
        name, outer, inner = f"archive-{n + 1}", f"{self.relayed}.{n + 1}", f"{self.behind}.{n + 1}"
        self.outer[name] = outer
        for port in (INNER, CONTROL):
            await self.wire.relay(outer, inner, port)
        listen = {"Control": f"{inner}:{CONTROL}"}
        self.settle(name, ["controller"], outer, listen, self.zones[n % len(self.zones)], inner, first)
        self.list_controls({**self.controls, name: f"{outer}:{CONTROL}"})
        return name

    def list_controls(self, controls: dict[str, str]) -> None:
        """What the platform tells callers of `control`."""
        self.controls = controls
        path = f"{self.folder}/controls"
        with open(f"{path}.new", "w") as file:
            file.write("\n".join(controls.values()))
        os.replace(f"{path}.new", path)

    def settle(self, name, words, ip, listen, zone, bind, first=False) -> None:
        path = boot(
            f"{self.folder}/{name}.toml",
            ip,
            self.seeds,
            INNER,
            listen,
            (zone, self.zones),
            bind,
            tuple(self.scenario.get("bounds", ())),
            self.scenario.get("notice", True),
            first,
        )
        self.programs[name] = (words, path)

    def worker(self, service: dict, n: int) -> None:
        name, place = f"{service['name']}-{n + 1}", len(self.instance_ids) + 1
        zone = self.zones[n % len(self.zones)]
        words = [
            "emulator",
            "worker",
            "--service",
            service["name"],
            "--address",
            f"{self.workers}.{place}:{WORKER}",
        ]
        words += ["--zone", zone, "--slots", str(service["slots"]), "--work", str(service["work_s"])]
        words += ["--ledger", f"{self.folder}/{service['name']}.db", "--controls", f"{self.folder}/controls"]
        words += ["--keyed"] if service.get("keyed") else []
        self.programs[name] = (words, "")
        self.instance_ids[name] = ""

    async def begin(self, name: str) -> None:
        words, path = self.programs[name]
        if name in self.instance_ids:  # each start is a new life
            self.instance_ids[name] = f"i-{self.dice.getrandbits(32):08x}"
            words = [*words, "--life", self.instance_ids[name]]
        self.processes[name] = await start(words, path, f"{self.folder}/{name}.log")

    async def ready(self) -> None:
        """Put the configuration and wait until every desk is ready."""
        config = self.config(self.revision)
        async with asyncio.timeout(UP_WITHIN), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.put(
                        f"http://{self.seeds[0]}/bramblewood/config", json=config
                    ) as answer:
                        if answer.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.2)
            while True:
                await asyncio.gather(*(self.clients.look(name) for name in self.clients.proxies))
                if not any(self.clients.missed.values()):
                    return
                await asyncio.sleep(0.2)

    def config(self, revision: int) -> dict:
        routes = [
            [
                one["name"],
                "lab.example",
                f"/{one['name']}/",
                "effectful" if one.get("adds") else "pure",
                one["deadline_s"],
                one["aim_s"],
                one.get("priority", 1),
                2,
                one["service"],
            ]
            for one in self.scenario["requests"]
        ]
        services = [
            [one["name"], one.get("keyed"), 200, "/health", one.get("copies")]
            for one in self.scenario["services"]
        ]
        made = configuration(f"r{revision}", routes, services, SERVICE_FIELDS)
        made["ParentVersion"] = f"r{revision - 1}" if revision > 1 else 0
        pinned = [one.get("stays") for one in self.scenario["requests"]]
        made["RouteList"] = {
            "ColumnNames": [*ROUTE_FIELDS, "Pinned"],
            "Records": [[*route, stays] for route, stays in zip(routes, pinned, strict=True)],
        }
        return made

    # --- what befalls them

    async def fault(self, fault: dict) -> None:
        await asyncio.sleep(fault["at"])
        name, kind, lasts = fault["who"], fault["kind"], fault.get("for_s", DOWN)
        self.note(kind, who=name, for_s=lasts)
        process = self.processes[name]
        if kind == "cut":
            self.wire.cut(self.outer[name])
            await asyncio.sleep(lasts)
            self.wire.heal(self.outer[name])
        elif kind == "reset":
            over = time.monotonic() + lasts
            while time.monotonic() < over:
                self.wire.reset(self.outer[name])
                await asyncio.sleep(RESETS)
        elif kind in SIGNALS:
            begins, ends = SIGNALS[kind]
            process.send_signal(begins)
            await asyncio.sleep(lasts)
            process.send_signal(ends)
        else:
            if process.returncode is None:
                process.kill()
                await process.wait()
            if kind == "replace":
                self.list_controls({one: at for one, at in self.controls.items() if one != name})
                self.seeds = list(self.controls.values())
            if kind == "lose disk":
                shutil.rmtree(f"{self.programs[name][1]}.d")
            await asyncio.sleep(lasts)
            await self.begin(await self.controller(False) if kind == "replace" else name)
        self.note(f"{kind} over", who=name)

    # --- the run

    async def run(self) -> dict[str, Any]:
        self.began = time.monotonic()
        os.makedirs(self.folder, exist_ok=True)
        for service in self.scenario["services"]:
            Ledger(f"{self.folder}/{service['name']}.db").close()
        try:
            await self.machines()
            await self.clients.start()
            await self.ready()
            return await self.traffic()
        finally:
            await self.end()

    async def traffic(self) -> dict[str, Any]:
        self.began = time.monotonic()
        self.note("traffic begins")
        until = asyncio.get_running_loop().time() + self.scenario["seconds"]
        by_name = {one["name"]: one for one in self.scenario["requests"]}
        looking = asyncio.ensure_future(self.clients.platform())
        tasks = [
            asyncio.ensure_future(self.clients.arrive(one, one["rate"], until, None, name))
            for name, one in by_name.items()
        ]
        tasks += [
            asyncio.ensure_future(self.crush(by_name[one["request"]], one))
            for one in self.scenario.get("crushes", [])
        ]
        tasks += [asyncio.ensure_future(self.fault(one)) for one in self.scenario.get("faults", [])]
        tasks += [asyncio.ensure_future(self.more(one)) for one in self.scenario.get("withdrawals", [])]
        tasks += [asyncio.ensure_future(self.changes(one)) for one in self.scenario.get("changes", [])]
        await asyncio.gather(*tasks)
        await asyncio.sleep(AFTER)
        looking.cancel()
        await self.clients.end()
        return self.judge(await self.standing())

    async def changes(self, plan: dict) -> None:
        """Configurations one after another, each on the one before."""
        await asyncio.sleep(plan["at"])
        self.note("changes", count=plan["count"])
        for _ in range(plan["count"]):
            self.revision += 1
            began, status = time.monotonic(), 0
            body = self.config(self.revision)
            while time.monotonic() < began + CLEAR_WITHIN and status // 100 not in (2, 4):
                status = await self.put(body)
                if status // 100 not in (2, 4):
                    await asyncio.sleep(AGAIN)
            took = time.monotonic() - began
            self.changed.append({"number": self.revision, "at": began, "took": took, "status": status})
            await asyncio.sleep(max(plan["every_s"] - took, 0.0))
        self.note("changes over")

    async def put(self, body: dict) -> int:
        """An order, to the next archive in turn; the status, 0 for no answer."""
        self.turn += 1
        place = list(self.controls.values())[self.turn % len(self.controls)]
        try:
            async with asyncio.timeout(ASK), aiohttp.ClientSession() as session:
                async with session.put(f"http://{place}/bramblewood/config", json=body) as answer:
                    return answer.status
        except (OSError, TimeoutError, aiohttp.ClientError):
            return 0

    async def standing(self) -> int:
        """The number of the configuration that a reader gets at the end; 0 where nobody answers one."""
        for place in self.controls.values():
            try:
                async with asyncio.timeout(ASK), aiohttp.ClientSession() as session:
                    async with session.get(f"http://{place}/bramblewood/config") as answer:
                        if answer.status == 200:
                            return int((await answer.json())["Revision"][1:])
            except (OSError, TimeoutError, aiohttp.ClientError):
                continue
        return 0

    async def crush(self, what: dict, crush: dict) -> None:
        await asyncio.sleep(crush["at"])
        self.note("crush", request=what["name"], key=crush["key"], rate=crush["rate"])
        until = asyncio.get_running_loop().time() + crush["for_s"]
        await self.clients.arrive(what, crush["rate"], until, crush["key"], f"crush {what['name']}")
        self.note("crush over")

    async def more(self, plan: dict) -> None:
        """An operator's plan of withdrawal; each worker that is out is stopped at once."""
        await asyncio.sleep(plan["at"])
        name = f"plan-{plan['service']}-{plan['at']:g}"
        body = {"Do": "start", "Name": name, "Service": plan["service"], "Wave": plan.get("wave", 1)}
        body |= {"Zone": plan.get("zone", ""), **({"Count": plan["count"]} if "count" in plan else {})}
        self.note("withdraw", plan=name)
        names = {instance_id: worker for worker, instance_id in self.instance_ids.items()}
        stopped: set[str] = set()
        while time.monotonic() < self.began + self.scenario["seconds"] + AFTER:
            told = await self.asked("POST", "/plan", body) if body else {}
            body = body if told is None else None
            plans = await self.asked("GET", "/view/plans", None) or {}
            workers = plans.get(name, {}).get("workers", {})
            for instance_id in [instance_id for instance_id, one in workers.items() if one["step"] == "out"]:
                if instance_id not in stopped:
                    stopped.add(instance_id)
                    asyncio.ensure_future(self.leave(names[instance_id]))
            if plans.get(name, {}).get("state") not in (None, "running"):
                self.note("withdrawn", plan=name, state=plans[name]["state"], why=plans[name]["why"])
                return
            await asyncio.sleep(0.2)
        self.note("not withdrawn in time", plan=name)

    async def asked(self, method: str, path: str, body: dict | None) -> dict | None:
        """A call at the inner address of the first archive that answers it."""
        for name in list(self.controls):
            try:
                async with asyncio.timeout(ASK), aiohttp.ClientSession() as session:
                    url = f"http://{self.outer[name]}:{INNER}{path}"
                    async with session.request(method, url, json=body) as answer:
                        if answer.status < 500:
                            return await answer.json()
            except (OSError, TimeoutError, aiohttp.ClientError):
                continue
        return None

    async def leave(self, name: str) -> None:
        """Stop a worker that is out: it drains and ends by itself."""
        self.note("ends", who=name)
        self.processes[name].terminate()
        await self.processes[name].wait()
        self.ends[self.instance_ids[name]] = time.monotonic()

    def judge(self, standing: int) -> dict[str, Any]:
        """standing: the number of the configuration that a reader gets at the end."""
        ledgers = {}
        for service in self.scenario["services"]:
            book = Ledger(f"{self.folder}/{service['name']}.db")
            ledgers[service["name"]] = book.lines()
            book.close()
        found = audit(self.clients.tries, ledgers, self.ends)
        newest = max((one["number"] for one in self.changed if one["status"] == 200), default=1)
        if standing < newest:
            found.append(Finding("configuration lost", f"r{newest}", f"at the end r{standing} is read"))
        origin = self.began
        told = {
            "scenario": self.scenario["name"],
            "seed": self.seed,
            "findings": [finding._asdict() for finding in found],
            "tries": len(self.clients.tries),
            "effects": sum(map(len, ledgers.values())),
            "events": [{**event, "at": round(event["at"] - origin, 2)} for event in self.events],
            "changes": changes_of(self.changed),
            "orders": [{**one, "at": round(one["at"] - origin, 3)} for one in self.clients.orders],
        }
        with open(f"{self.folder}/run.json", "w") as file:
            json.dump(told, file)
        return told

    async def end(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))
        if hasattr(self, "wire"):
            self.wire.end()


def changes_of(changed: list[dict[str, Any]]) -> dict[str, Any]:
    """How the configurations sent amid the traffic fared; late: clear, but after more than ACK s."""
    took = sorted(one["took"] for one in changed)
    clear = [one for one in changed if one["status"]]
    return {
        "sent": len(changed),
        "taken": sum(one["status"] == 200 for one in clear),
        "refused": sum(one["status"] // 100 == 4 for one in clear),
        "unclear": sum(one["status"] // 100 not in (2, 4) for one in changed),
        "late": sum(one["took"] > ACK for one in clear),
        "median_s": round(took[len(took) // 2], 3) if took else 0.0,
        "longest_s": round(took[-1], 3) if took else 0.0,
    }
