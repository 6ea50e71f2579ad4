"""The machines of a run: their addresses and settings, and their processes.

Each has an address of its own in 127.0.0.0/8. Controllers and proxies know each other by outer addresses and
listen on inner ones, behind the relays of `network.py`.
"""

import asyncio
import os
import random
import shutil
import signal
from typing import NamedTuple

from .clients import ProxyAddresses
from .network import Network
from .processes import CURRENT, Release, start, write_settings
from .scenario import DEFAULT_CONTROLLERS, DEFAULT_PROXIES, DEFAULT_ZONES, Scenario, ServiceSpec

INNER, CONTROL, FRONT, READINESS, WORKER = 27540, 28544, 28548, 28542, 28700  # ports
FOUNDING_VOTERS = 3  # controllers that found the set of voters; one may be lost, the default `Tolerance`
FIRST_PROXY_HOST = 101  # last part of the first proxy's inner address


class Machine(NamedTuple):
    """A controller or proxy. outer: the address that others know. settings: path of the file."""

    role: str  # "controller" or "proxy", a field of Release
    outer: str
    settings: str


class Worker(NamedTuple):
    """A stand-in worker; arguments: of its command, but its instance id."""

    arguments: list[str]


class Machines:
    """All machines of a run in one folder.

    net: addresses are 127.net.21.1 and on, so that runs can stand side by side. previous: the earlier release
    that the scenario's `previous` machines start from.
    """

    def __init__(
        self, scenario: Scenario, seed: int, folder: str, net: int, previous: Release = CURRENT
    ) -> None:
        self.outer_net, self.inner_net, self.proxy_net, self.worker_net = (
            f"127.{net}.{n}" for n in (21, 22, 23, 24)
        )
        self.scenario, self.folder = scenario, folder
        self.zones = scenario.get("zones", DEFAULT_ZONES)
        self.seeds = [f"{self.outer_net}.{n + 1}:{CONTROL}" for n in range(FOUNDING_VOTERS)]
        self.network = Network()
        self.machines: dict[str, Machine] = {}
        self.releases: dict[str, Release] = dict.fromkeys(scenario.get("previous", []), previous)
        self.workers: dict[str, Worker] = {}
        self.instance_ids: dict[str, str] = {}  # by worker's name; empty before its first start
        self.proxies: dict[str, ProxyAddresses] = {}
        self.control_addresses: dict[str, str] = {}  # of the controllers that there are
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.controller_count = 0  # that were given an address
        self.random = random.Random(seed)

    # --- addresses and settings

    async def start_all(self) -> None:
        """Give all machines addresses and settings, then start them."""
        for n in range(self.scenario.get("archives", DEFAULT_CONTROLLERS)):
            await self.add_controller(n < FOUNDING_VOTERS)
        for n in range(self.scenario.get("desks", DEFAULT_PROXIES)):
            self._add_proxy(n)
        for service in self.scenario["services"]:
            for n in range(service["workers"]):
                self._add_worker(service, n)
        for name in (*self.machines, *self.workers):
            await self.start(name)

    async def add_controller(self, first_boot: bool) -> str:
        """An address and settings for one more controller; its name. first_boot: `FirstBoot`."""
        n, self.controller_count = self.controller_count, self.controller_count + 1
        name, outer, inner = f"archive-{n + 1}", f"{self.outer_net}.{n + 1}", f"{self.inner_net}.{n + 1}"
        for port in (INNER, CONTROL):
            await self.network.start_relay(outer, inner, port)
        self._add_machine(name, "controller", outer, inner, {"Control": f"{inner}:{CONTROL}"}, n, first_boot)
        self.publish_controllers({**self.control_addresses, name: f"{outer}:{CONTROL}"})
        return name

    def _add_proxy(self, n: int) -> None:
        name, ip = f"desk-{n + 1}", f"{self.proxy_net}.{n + 1}"
        inner = f"{self.inner_net}.{FIRST_PROXY_HOST + n}"
        self.network.outer_addresses[inner] = ip
        listen = {"Front": f"{ip}:{FRONT}", "ReadyProbe": f"{ip}:{READINESS}"}
        self.proxies[name] = ProxyAddresses(listen["Front"], listen["ReadyProbe"])
        self._add_machine(name, "proxy", ip, inner, listen, n, False)

    def _add_machine(
        self, name: str, role: str, outer: str, inner: str, listen: dict[str, str], n: int, first_boot: bool
    ) -> None:
        settings = write_settings(
            f"{self.folder}/{name}.toml",
            outer,
            self.seeds,
            INNER,
            listen,
            (self.zones[n % len(self.zones)], self.zones),
            inner,
            tuple(self.scenario.get("bounds", ())),
            self.scenario.get("notice", True),
            first_boot,
        )
        self.machines[name] = Machine(role, outer, settings)

    def _add_worker(self, service: ServiceSpec, n: int) -> None:
        name, host = f"{service['name']}-{n + 1}", len(self.workers) + 1
        options = {
            "service": service["name"],
            "address": f"{self.worker_net}.{host}:{WORKER}",
            "zone": self.zones[n % len(self.zones)],
            "slots": service["slots"],
            "work": service["work_s"],
            "effects": f"{self.folder}/{service['name']}.db",
            "controls": f"{self.folder}/controls",
        }
        arguments = [text for option, value in options.items() for text in (f"--{option}", str(value))]
        arguments += ["--keyed"] if service.get("keyed") else []
        self.workers[name], self.instance_ids[name] = Worker(arguments), ""

    def publish_controllers(self, control_addresses: dict[str, str]) -> None:
        """What the platform tells callers of `control` from now on; addresses by controller."""
        self.control_addresses = control_addresses
        path = f"{self.folder}/controls"
        with open(f"{path}.new", "w") as file:
            file.write("\n".join(control_addresses.values()))
        os.replace(f"{path}.new", path)

    # --- processes

    async def start(self, name: str) -> None:
        """Start a machine's program from the release that it has; a worker as a new instance."""
        log = f"{self.folder}/{name}.log"
        if name in self.workers:
            self.instance_ids[name] = f"i-{self.random.getrandbits(32):08x}"
            arguments = ["emulator", "worker", *self.workers[name].arguments]
            arguments += ["--instance-id", self.instance_ids[name]]
            self.processes[name] = await start(arguments, "", log)
            return
        machine, release = self.machines[name], self.releases.get(name, CURRENT)
        command = getattr(release, machine.role)
        self.processes[name] = await start([command], machine.settings, log, release.checkout)

    async def kill(self, name: str) -> None:
        """End a program at once, if it runs."""
        process = self.processes[name]
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def terminate(self, name: str) -> int:
        """Tell a program to end, and wait until it has; its exit code."""
        process = self.processes[name]
        if process.returncode is None:
            process.terminate()
        return await process.wait()

    def retire_controller(self, name: str) -> None:
        """Take a controller that never returns off the lists; those of later settings too."""
        others = {one: address for one, address in self.control_addresses.items() if one != name}
        self.publish_controllers(others)
        self.seeds = list(others.values())

    def delete_disk(self, name: str) -> None:
        """Empty a controller's data folder while it is down."""
        shutil.rmtree(f"{self.machines[name].settings}.d")

    async def close(self) -> None:
        """Kill all processes, frozen ones too, and close the network."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))
        self.network.close()
