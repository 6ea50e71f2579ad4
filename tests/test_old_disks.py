"""The commands, controllers and managers read and continue the data folders of commit 4cd356e."""

import json
import os
import shutil
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bramblewood.controller.storage import Storage
from bramblewood.emulator.processes import write_settings
from bramblewood.ledger.stage import Ledger
from bramblewood.operator.bylaws import StoreTerms
from bramblewood.store.port import Folder
from bramblewood.store.store import Store
from tests.policy.simulation import SETTINGS
from tests.simulation.digests import canonical
from tests.simulation.membership_commands import CONTROL_PORT, PEER_PORT, ControllerProcesses
from tests.test_ledger import Log

ROOT = Path(__file__).parent.parent
RECORDED_FOLDER = Path(__file__).parent / "data" / "disk-4cd356e"
CONTENTS = json.loads((RECORDED_FOLDER / "contents.json").read_text())
CONTROLLERS = CONTENTS["controllers"]
ADDRESS = "127.77.4.1"  # address of the controllers that wrote the folders
STARTED_AT = 1_760_000_051.0  # Unix time in s of the manager's start, 2 s after the recorded manager ended
TERMS = StoreTerms("", "in-loop", False, 0.002, 0.25, 3.2e9)
COMMAND_TIMEOUT = 30.0  # s
# Keys of the printed ledger that a short stop of the manager does not change.
UNCHANGED_LEDGER_KEYS = (
    "closed",
    "withdrawn",
    "slices",
    "admitted",
)


def run_command(*arguments: str, exit_code: int = 0) -> str:
    """Runs a command of the program and returns its output. Fails unless it ends with this exit code."""
    command_line = [sys.executable, "-m", "bramblewood", *arguments]
    completed = subprocess.run(
        command_line, capture_output=True, cwd=ROOT, timeout=COMMAND_TIMEOUT, text=True
    )
    assert completed.returncode == exit_code, completed.stderr
    return completed.stdout


def read_json_lines(*arguments: str) -> list:
    """Returns the values that a command prints as JSON, one for each line."""
    return [json.loads(line) for line in run_command(*arguments).splitlines()]


@pytest.fixture
def copy_folder(tmp_path: Path) -> Any:
    """Returns a function that copies a recorded folder, given by name, and returns the path of the copy."""

    def copy(name: str) -> str:
        return str(shutil.copytree(RECORDED_FOLDER / name, tmp_path / name))

    return copy


# --- controllers


def test_every_controller_folder_is_recorded_in_contents_json() -> None:
    assert sorted(CONTROLLERS) == sorted(path.name for path in RECORDED_FOLDER.glob("controller-*"))
    table = CONTROLLERS["controller-form-2"]["registers"]["table"]["value"]
    assert sum(map(len, table["s"].values())) == 322


@pytest.mark.parametrize("name", CONTROLLERS)
def test_commands_print_the_recorded_content_of_a_controller_folder(name: str, copy_folder: Any) -> None:
    folder = copy_folder(name)
    assert run_command("shelf", "check", folder) == "sound\n"
    assert run_command("shelf", "export", folder) == json.dumps(CONTROLLERS[name]) + "\n"


def export_contents(stored_state: dict) -> str:
    """Returns the content of an opened folder as `storage export` prints it, with keys in stored order."""
    fields = ("promised", "accepted", "value")
    registers = {
        name: dict(zip(fields, register, strict=True)) for name, register in stored_state.registers.items()
    }
    return json.dumps({"facts": stored_state.facts, "registers": registers})


def assert_proposal_numbers_can_be_compared(stored_state: dict) -> None:
    for promised, accepted, _ in stored_state.registers.values():
        assert isinstance(promised, tuple) and isinstance(accepted, tuple)
        assert accepted <= promised


def write_register(folder: str, row: tuple, facts: dict) -> None:
    """Opens a folder, writes one register and facts, and closes the folder."""
    storage, problems = Storage(folder), []
    storage.open().unwrap()
    storage.start(lambda on_finished, problem: on_finished(problem))
    storage.write([row], facts, problems.append)
    storage.close()
    storage.writer_thread.join(COMMAND_TIMEOUT)
    assert problems == [None]


@pytest.mark.parametrize("name", CONTROLLERS)
def test_controller_folder_is_opened_upgraded_and_written(name: str, copy_folder: Any) -> None:
    folder, expected = copy_folder(name), json.loads(json.dumps(CONTROLLERS[name]))
    storage = Storage(folder)
    stored_state = storage.open().unwrap()
    storage.database.close()
    assert export_contents(stored_state) == json.dumps(expected)
    assert_proposal_numbers_can_be_compared(stored_state)
    old_value = expected["registers"]["table"]["value"]
    value = {**(old_value or {"s": {}}), "n": 99}
    value["s"] = {
        **value["s"],
        "register": {**value["s"].get("register", {}), "7": ["w", "", 0.5, 99, "", "v"]},
    }
    write_register(folder, ("table", (9, 9, "10.0.0.2", 1), (9, 8, "10.0.0.2", 1), value), {"held": 9})
    row = {"promised": [9, 9, "10.0.0.2", 1], "accepted": [9, 8, "10.0.0.2", 1], "value": value}
    expected["registers"]["table"] = row
    expected["facts"]["held"] = 9
    assert json.loads(run_command("shelf", "export", folder)) == expected
    reopened = Storage(folder)
    assert json.loads(export_contents(reopened.open().unwrap())) == expected
    assert reopened.database.execute("pragma user_version").fetchone() == (3,)
    reopened.database.close()


@pytest.fixture
def controller() -> Iterator[ControllerProcesses]:
    """A controller process that has the recorded address and listens on an address of this test run."""
    fleet = ControllerProcesses()
    path, listen = (
        f"{fleet.folder.name}/controller.toml",
        {"Control": f"{fleet.address_of(1)}:{CONTROL_PORT}"},
    )
    fleet.paths[1] = write_settings(
        path, ADDRESS, [f"{ADDRESS}:{CONTROL_PORT}"], PEER_PORT, listen, bind=fleet.address_of(1), first=False
    )
    yield fleet
    fleet.close()


def test_controller_continues_from_the_folder_of_a_killed_controller(controller: ControllerProcesses) -> None:
    shutil.copytree(RECORDED_FOLDER / "controller-process", controller.data_folder(1))
    controller.revision = 3
    controller.start(1)
    controller.wait_until_read_back()
    controller.wait_for_states({1: "voter"})
    controller.put_configuration()
    controller.kill(1)
    controller.start(1)
    controller.wait_until_read_back()


def test_controller_continues_from_a_folder_of_schema_version_1(controller: ControllerProcesses) -> None:
    shutil.copytree(RECORDED_FOLDER / "controller-form-1", controller.data_folder(1))
    config = CONTROLLERS["controller-form-1"]["registers"]["config"]["value"]["config"]
    controller.start(1)
    read_configuration = lambda: controller.call(1, CONTROL_PORT, "/bramblewood/config")  # noqa: E731
    controller.wait_until("configuration read", lambda: read_configuration() == (200, config))
    controller.revision = 4
    controller.put_configuration()
    controller.kill(1)
    controller.start(1)
    controller.wait_until_read_back()


# --- managers


def test_commands_print_the_recorded_content_of_a_manager_store(copy_folder: Any) -> None:
    folder = copy_folder("manager-store")
    report = read_json_lines("store", "check", folder, "--json")[0]
    assert (report["damaged"], report["dropped"], report["strangers"]) == ([], [], [])
    assert read_json_lines("store", "list", folder, "--values", "--json") == CONTENTS["store"]
    assert read_json_lines("ledger", "show", folder, "--json") == [CONTENTS["ledger"]]
    for key in ("x/expired", "x/removed"):
        run_command("store", "get", folder, key, exit_code=1)


def test_export_has_the_recorded_size_and_can_be_imported(copy_folder: Any, tmp_path: Path) -> None:
    exported, imported = str(tmp_path / "again.export"), str(tmp_path / "imported")
    run_command("store", "export", copy_folder("manager-store"), exported)
    run_command("store", "import", str(RECORDED_FOLDER / "manager-store.export"), imported)
    assert read_json_lines("store", "list", imported, "--values", "--json") == CONTENTS["store"]
    run_command("store", "import", exported, imported + "-again")
    assert read_json_lines("store", "list", imported + "-again", "--values", "--json") == CONTENTS["store"]
    assert os.path.getsize(exported) == os.path.getsize(RECORDED_FOLDER / "manager-store.export")


def start_ledger(folder: str) -> tuple[Ledger, list, Log]:
    """Starts a manager's ledger. Returns it, the events that the manager gets at the start, and the log."""
    log = Log()
    store = Store(Folder(folder), lambda: STARTED_AT)
    ledger = Ledger(TERMS, SETTINGS, "4", lambda: STARTED_AT, log, store)
    return ledger, ledger.start(), log


def test_manager_continues_from_the_recorded_store(copy_folder: Any) -> None:
    folder = copy_folder("manager-store")
    ledger, events, log = start_ledger(folder)
    assert canonical(events) == CONTENTS["opening"]
    assert not ledger.store.damages and not ledger.store.dropped
    assert [fields["life"] for event, fields in log.said if event == "ledger opened"] == [4]
    ledger.store.put(b"x/further", b"written")
    for _ in ledger.store.compact():
        pass
    ledger.close()
    printed = read_json_lines("ledger", "show", folder, "--json")[0]
    assert printed["life"]["number"] == 4
    assert [printed[key] for key in UNCHANGED_LEDGER_KEYS] == [
        CONTENTS["ledger"][key] for key in UNCHANGED_LEDGER_KEYS
    ]
    assert run_command("store", "get", folder, "x/further") == "written\n"
    ledger, events, _ = start_ledger(folder)
    assert canonical(events) == CONTENTS["opening"]
    assert ledger.memory.life.number == 5
    ledger.close()
