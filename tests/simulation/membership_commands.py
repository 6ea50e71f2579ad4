"""Starts, stops and queries real controllers on loopback addresses, for tests of the voter set and of disks.

There are no fixed waits. A wait polls a condition, and fails if it does not hold within WAIT_TIMEOUT.
"""

import asyncio
import json
import os
import re
import shutil
import sqlite3
import tempfile
import time
import urllib.error
import urllib.request

from click.testing import CliRunner

from bramblewood.cli.gateway import gateway
from bramblewood.common.settings import Bounds
from bramblewood.controller.consensus.membership import LOST_AFTER_FRACTION
from bramblewood.controller.peer_sessions import HEARTBEAT_INTERVAL
from bramblewood.emulator.operator import configuration
from bramblewood.emulator.processes import start
from bramblewood.emulator.processes import write_settings as write_settings_file

PEER_PORT, CONTROL_PORT = 17640, 18644  # ports for peers and for operators
WAIT_TIMEOUT = 20.0  # s for each wait
POLL_INTERVAL = 0.05  # s
RESPONSE_TIMEOUT = 2.0  # s for each HTTP call
ROUTE = ["look", "club.example", "/look/", "pure", 2, 0.5, 1, 2, "register"]
SEAT_KEPT_FOR = Bounds().CatchUpS * LOST_AFTER_FRACTION  # s that a lost voter's seat is kept for it
# s; a voter that is absent for a shorter time is certain to keep its seat
MAX_SAFE_ABSENCE = SEAT_KEPT_FOR - 2 * HEARTBEAT_INTERVAL
# The database schema of the releases without epochs. It has one row for each register. A proposal number
# consists of a counter, the address of a controller and its incarnation.
SCHEMA_1_STATEMENTS = (
    "create table facts (name text primary key, value text not null)",
    "create table registers (name text primary key, promised text not null, accepted text not null,"
    " value text not null)",
    "pragma user_version=1",
)


class ControllerProcesses:
    """Controller processes, identified by numbers from 1.

    Each has an address of its own. Test processes that run at the same time use different network prefixes.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        self.network_prefix = f"127.{100 + pid // 250 % 100}.{pid % 250}"
        self.folder, self.loop = tempfile.TemporaryDirectory(), asyncio.new_event_loop()
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.paths: dict[int, str] = {}
        self.revision = self.epoch = 0
        self.cli_runner = CliRunner()
        self.killed_at: dict[int, float] = {}
        self.starts_before_kill: dict[int, int] = {}
        self.absences: dict[int, float] = {}  # s from a kill to the next start

    def close(self) -> None:
        for n in list(self.running):
            self.kill(n)
        self.loop.close()
        self.folder.cleanup()

    # --- machines

    def address_of(self, n: int) -> str:
        return f"{self.network_prefix}.{n}"

    def write_settings(self, voters: int, controllers: int) -> None:
        """Writes the settings files of this many controllers, of which the first `voters` are seeds.

        The seeds form the first voter set at their first boot.
        """
        seeds = [f"{self.address_of(n)}:{CONTROL_PORT}" for n in range(1, voters + 1)]
        for n in range(1, controllers + 1):
            path, listeners = (
                f"{self.folder.name}/archive-{n}.toml",
                {"Control": f"{self.address_of(n)}:{CONTROL_PORT}"},
            )
            self.paths[n] = write_settings_file(
                path, self.address_of(n), seeds, PEER_PORT, listeners, first=n <= voters
            )

    def start(self, n: int) -> None:
        starting = start(["controller"], self.paths[n], f"{self.folder.name}/{n}.log")
        self.running[n] = self.loop.run_until_complete(starting)

    def kill(self, n: int) -> None:
        process = self.running.pop(n)
        self.starts_before_kill[n] = self.count_starts(n)
        self.absences.pop(n, None)
        self.killed_at[n] = time.monotonic()
        process.kill()
        self.loop.run_until_complete(process.wait())

    def count_starts(self, n: int) -> int:
        """Returns how often this controller has logged that it has started."""
        return len(self.log_events(n, "started"))

    def record_absences(self) -> None:
        """Records the absence of each killed controller that has started again since the last call."""
        for n, killed_at in self.killed_at.items():
            if (
                n in self.running
                and n not in self.absences
                and self.count_starts(n) > self.starts_before_kill[n]
            ):
                self.absences[n] = time.monotonic() - killed_at

    def terminate(self, n: int) -> tuple[int, float]:
        """Sends SIGTERM to a controller. Returns its exit code and the time in s until it ended."""
        process, started_at = self.running.pop(n), time.monotonic()
        process.terminate()
        code = self.loop.run_until_complete(asyncio.wait_for(process.wait(), WAIT_TIMEOUT))
        return code, time.monotonic() - started_at

    def data_folder(self, n: int) -> str:
        return f"{self.paths[n]}.d"

    def delete_disk(self, n: int) -> None:
        shutil.rmtree(self.data_folder(n))

    def write_schema_1_disk(self, n: int, voters: int, config: dict) -> None:
        """Creates the disk of a controller in the format of a release without epochs.

        The disk holds this configuration.
        """
        os.makedirs(self.data_folder(n))
        database = sqlite3.connect(f"{self.data_folder(n)}/shelf.db")
        for sql in SCHEMA_1_STATEMENTS:
            database.execute(sql)
        voter_addresses = [self.address_of(voter) for voter in range(1, voters + 1)]
        proposal_number, value = [4, self.address_of(1), 7], {"n": 1, "config": config, "past": {"1": "0"}}
        rows = {"config": (proposal_number, proposal_number, value), "table": ([0, "", 0], [0, "", 0], None)}
        rows["voters"] = (proposal_number, proposal_number, voter_addresses)
        database.executemany(
            "insert into registers values (?, ?, ?, ?)",
            [(name, *map(json.dumps, row)) for name, row in rows.items()],
        )
        database.executemany(
            "insert into facts values (?, ?)", [("born", "true"), ("voters", json.dumps(voter_addresses))]
        )
        database.commit()
        database.close()

    # --- queries

    def call(self, n: int, port: int, path: str, body: dict | None = None) -> tuple[int, dict]:
        """Sends a GET request, or a PUT request if there is a body. Returns the status and the JSON response.

        Returns status 0 if the controller cannot be reached, and an empty response for an error status.
        """
        data = None if body is None else json.dumps(body).encode()
        url, method = f"http://{self.address_of(n)}:{port}{path}", "PUT" if data else "GET"
        request = urllib.request.Request(url, data, method=method)
        try:
            with urllib.request.urlopen(request, timeout=RESPONSE_TIMEOUT) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as error:
            return error.code, {}
        except OSError:
            return 0, {}

    def membership_at(self, n: int) -> dict:
        """Returns the membership view of a controller.

        "states" and "disks" map the number of each controller to its state and to its disk. "behind" lists
        the addresses of the controllers that have not reported the newest versions. Without a response,
        "epoch" is 0 and the others are empty.
        """
        _, view = self.call(n, PEER_PORT, "/view/members")
        members = view.get("members", {}) | view.get("others", {})
        number_of = lambda address: int(address.rpartition(".")[2])  # noqa: E731
        return {
            "epoch": view.get("epoch", 0),
            "states": {number_of(address): member["state"] for address, member in members.items()},
            "disks": {number_of(address): member["disk"] for address, member in members.items()},
            "behind": [
                address
                for address, member in members.items()
                if member["lag"] is None or any(member["lag"].values())
            ],
        }

    def wait_until(self, condition: str, is_met) -> None:
        """Polls until `is_met` returns true.

        condition: the description for the AssertionError that is raised after `WAIT_TIMEOUT`.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT
        while not is_met():
            assert time.monotonic() < deadline, (
                f"{condition}: not within {WAIT_TIMEOUT:g} s; {self.describe()}"
            )
            time.sleep(POLL_INTERVAL)

    def describe(self) -> str:
        """Returns the membership views of all controllers that run, as JSON."""
        return json.dumps({n: self.membership_at(n) for n in self.running}, default=sorted)

    def wait_for_states(self, states: dict[int, str]) -> None:
        """Waits until all controllers that run show these states, by number, at the same epoch."""

        def is_met() -> bool:
            views = [self.membership_at(n) for n in self.running]
            return all(
                view["epoch"] == views[0]["epoch"] and states.items() <= view["states"].items()
                for view in views
            )

        self.wait_until(f"states {states}", is_met)

    def spares(self) -> set[int] | None:
        """Returns the spares, or None while the controllers that run do not all show the same states.

        Also returns None while a controller is neither voter nor spare.
        """
        views = [self.membership_at(n) for n in self.running]
        states = views[0]["states"]
        if any(view["epoch"] != views[0]["epoch"] or view["states"] != states for view in views):
            return None
        if states.keys() != self.running.keys() or not set(states.values()) <= {"voter", "spare"}:
            return None
        return {n for n, state in states.items() if state == "spare"}

    def wait_for_spare(self, spare: int) -> None:
        """Waits until this controller is the spare and all others are voters.

        The time that a process takes to start depends on the load of the machine. A voter that returns too
        late has lost its seat to the spare (docs/members.md, "How the set grows and changes by itself"). An
        operator's command then gives the seat back, so that the next steps begin with the same voters.
        """

        spares = None

        def is_met() -> bool:
            nonlocal spares
            self.record_absences()
            spares = self.spares()
            return spares is not None

        self.wait_until(f"{spare} is a spare and the others are voters", is_met)
        if spares != {spare}:
            (late_voter,) = spares
            assert self.absences.get(late_voter, 0.0) > MAX_SAFE_ABSENCE, (late_voter, self.absences)
            self.wait_until_settled()
            self.replace_voter(spare, late_voter)
        self.wait_for_states({n: "spare" if n == spare else "voter" for n in self.paths})

    def replace_voter(self, old: int, new: int) -> None:
        """Gives the seat of one controller to another with an operator's command."""
        command = ["members", "replace", self.address_of(old), self.address_of(new)]
        result = self.cli_runner.invoke(
            gateway, [*command, "--controller", f"{self.address_of(1)}:{PEER_PORT}"]
        )
        assert result.exit_code == 0, result.output

    def wait_until_settled(self) -> None:
        """Waits until every controller is shown as a voter or spare that has the newest versions."""

        def is_met() -> bool:
            views = [self.membership_at(n) for n in self.running]
            states = {state for view in views for state in view["states"].values()}
            return states <= {"voter", "spare"} and not any(view["behind"] for view in views)

        self.wait_until("all voters and spares have the newest versions", is_met)

    def configuration(self, revision: int) -> dict:
        """Returns the body of a configuration with this revision, which follows the one before it."""
        parent = f"r{revision - 1}" if revision > 1 else 0
        return configuration(f"r{revision}", [ROUTE], [["register", None]], ParentVersion=parent)

    def put_configuration(self) -> None:
        """Puts the next configuration, and repeats the call until a controller acknowledges it."""
        self.revision += 1
        body = self.configuration(self.revision)
        put = lambda n: self.call(n, CONTROL_PORT, "/bramblewood/config", body)[0]  # noqa: E731
        self.wait_until(f"r{self.revision} is acknowledged", lambda: any(put(n) == 200 for n in self.running))

    def wait_until_read_back(self) -> None:
        """Waits until each controller that runs returns the newest configuration."""
        expected = (200, self.configuration(self.revision))
        get = lambda n: self.call(n, CONTROL_PORT, "/bramblewood/config")  # noqa: E731
        self.wait_until(
            f"r{self.revision} is returned by every controller",
            lambda: all(get(n) == expected for n in self.running),
        )

    def log_events(self, n: int, event: str) -> list[dict]:
        """Returns the log lines of a controller with this event, in their order."""
        with open(f"{self.folder.name}/{n}.log") as file:
            lines = [json.loads(line) for line in file if line.startswith("{")]
        return [line for line in lines if line["event"] == event]

    # --- operators

    def run_command(self, command: str, n: int) -> list[str]:
        """Runs an operator's command against a controller.

        Returns the command, its output and its exit code as lines.

        "archive-N" in the command stands for the address of controller N. Addresses, times, names of disks
        and epochs differ between runs, so they are masked in the output.
        """
        self.epoch = self.epoch or self.membership_at(n)["epoch"]
        command = re.sub(r"\barchive-(\d)", lambda match: self.address_of(int(match[1])), command)
        result = self.cli_runner.invoke(
            gateway, [*command.split(), "--controller", f"{self.address_of(n)}:{PEER_PORT}"]
        )
        text = f"$ {command}\n{result.output}exit code {result.exit_code}\n"
        for pattern, mask in (
            (rf"{re.escape(self.network_prefix)}\.(\d)", r"archive-\1"),
            (r"heard [\d.]+ s ago", "heard S s ago"),
            (r'"heard":[\d.]+', '"heard":S'),
            (r"disk [0-9a-f]{8}", "disk D"),
            (r'"disk":"[0-9a-f]{8}"', '"disk":"D"'),
        ):
            text = re.sub(pattern, mask, text)
        return re.sub(r'(epoch |"epoch":|"Epoch":)(\d+)', self.mask_epoch, text).split("\n")

    def mask_epoch(self, match: re.Match) -> str:
        """Returns an epoch as a difference to that of the first command: E, E+1 and so on."""
        difference = int(match[2]) - self.epoch
        return f"{match[1]}E{f'+{difference}' if difference > 0 else ''}"
