"""The present programs read what the programs of 4cd356e left on disk, and go on from there."""

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
from tests.simulation.membership_commands import CONTROL, INNER, ControllerFleet
from tests.test_ledger import Log

ROOT = Path(__file__).parent.parent
WRITTEN = Path(__file__).parent / "data" / "disk-4cd356e"
CONTENTS = json.loads((WRITTEN / "contents.json").read_text())
CONTROLLERS = CONTENTS["controllers"]
ADDRESS = "127.77.4.1"  # of the controllers that these folders were written by
STARTED_AT = 1_760_000_051.0  # unix time of the manager's next life, 2 s after the last, s
TERMS = StoreTerms("", "in-loop", False, 0.002, 0.25, 3.2e9)
WITHIN = 30.0  # s for a command
KEPT = (
    "closed",
    "withdrawn",
    "slices",
    "admitted",
)  # of what a ledger shows: what a short stop leaves as it was


def command(*words: str, code: int = 0) -> str:
    """What a command of the program prints."""
    line = [sys.executable, "-m", "bramblewood", *words]
    ended = subprocess.run(line, capture_output=True, cwd=ROOT, timeout=WITHIN, text=True)
    assert ended.returncode == code, ended.stderr
    return ended.stdout


def rows(*words: str) -> list:
    """What a command prints as one JSON value a line."""
    return [json.loads(line) for line in command(*words).splitlines()]


@pytest.fixture
def copy(tmp_path: Path) -> Any:
    """Copies of the written folders, by name."""

    def made(name: str) -> str:
        return str(shutil.copytree(WRITTEN / name, tmp_path / name))

    return made


# --- controllers


def test_folders_are_the_recorded_ones() -> None:
    assert sorted(CONTROLLERS) == sorted(path.name for path in WRITTEN.glob("controller-*"))
    table = CONTROLLERS["controller-form-2"]["registers"]["table"]["value"]
    assert sum(map(len, table["s"].values())) == 322


@pytest.mark.parametrize("name", CONTROLLERS)
def test_commands_show_the_same_of_a_controllers_folder(name: str, copy: Any) -> None:
    folder = copy(name)
    assert command("shelf", "check", folder) == "sound\n"
    assert command("shelf", "export", folder) == json.dumps(CONTROLLERS[name]) + "\n"


def contents(found: dict) -> str:
    """What an opened folder holds, in the form of `storage export`; the order of keys counts."""
    fields = ("promised", "accepted", "value")
    registers = {name: dict(zip(fields, one, strict=True)) for name, one in found.registers.items()}
    return json.dumps({"facts": found.facts, "registers": registers})


def assert_proposal_numbers_can_be_compared(found: dict) -> None:
    for promised, accepted, _ in found.registers.values():
        assert isinstance(promised, tuple) and isinstance(accepted, tuple)
        assert accepted <= promised


def write(folder: str, row: tuple, facts: dict) -> None:
    """Open a folder, write one register and close it."""
    storage, problems = Storage(folder), []
    storage.open().unwrap()
    storage.start(lambda call, problem: call(problem))
    storage.write([row], facts, problems.append)
    storage.close()
    storage.writer_thread.join(WITHIN)
    assert problems == [None]


@pytest.mark.parametrize("name", CONTROLLERS)
def test_a_controllers_folder_is_opened_and_written_further(name: str, copy: Any) -> None:
    folder, expected = copy(name), json.loads(json.dumps(CONTROLLERS[name]))
    storage = Storage(folder)
    found = storage.open().unwrap()
    storage.database.close()
    assert contents(found) == json.dumps(expected)
    assert_proposal_numbers_can_be_compared(found)
    number = expected["registers"]["table"]["value"]
    value = {**(number or {"s": {}}), "n": 99}
    value["s"] = {
        **value["s"],
        "register": {**value["s"].get("register", {}), "7": ["w", "", 0.5, 99, "", "v"]},
    }
    write(folder, ("table", (9, 9, "10.0.0.2", 1), (9, 8, "10.0.0.2", 1), value), {"held": 9})
    row = {"promised": [9, 9, "10.0.0.2", 1], "accepted": [9, 8, "10.0.0.2", 1], "value": value}
    expected["registers"]["table"] = row
    expected["facts"]["held"] = 9
    assert json.loads(command("shelf", "export", folder)) == expected
    again = Storage(folder)
    assert json.loads(contents(again.open().unwrap())) == expected
    assert again.database.execute("pragma user_version").fetchone() == (3,)
    again.database.close()


@pytest.fixture
def controller() -> Iterator[ControllerFleet]:
    """A real controller with the address that the folders were written at, bound to one of this run's own."""
    made = ControllerFleet()
    path, listen = f"{made.folder.name}/controller.toml", {"Control": f"{made.address_of(1)}:{CONTROL}"}
    made.paths[1] = write_settings(
        path, ADDRESS, [f"{ADDRESS}:{CONTROL}"], INNER, listen, bind=made.address_of(1), first=False
    )
    yield made
    made.close()


def test_a_killed_controller_goes_on(controller: ControllerFleet) -> None:
    shutil.copytree(WRITTEN / "controller-process", controller.data_folder(1))
    controller.revision = 3
    controller.start(1)
    controller.wait_until_read_back()
    controller.wait_for_states({1: "voter"})
    controller.put_configuration()
    controller.kill(1)
    controller.start(1)
    controller.wait_until_read_back()


def test_a_controller_of_form_1_goes_on(controller: ControllerFleet) -> None:
    shutil.copytree(WRITTEN / "controller-form-1", controller.data_folder(1))
    config = CONTROLLERS["controller-form-1"]["registers"]["config"]["value"]["config"]
    controller.start(1)
    read = lambda: controller.call(1, CONTROL, "/bramblewood/config")  # noqa: E731
    controller.wait_until("its configuration", lambda: read() == (200, config))
    controller.revision = 4
    controller.put_configuration()
    controller.kill(1)
    controller.start(1)
    controller.wait_until_read_back()


# --- managers


def test_commands_show_the_same_of_a_managers_store(copy: Any) -> None:
    folder = copy("manager-store")
    found = rows("store", "check", folder, "--json")[0]
    assert (found["damaged"], found["dropped"], found["strangers"]) == ([], [], [])
    assert rows("store", "list", folder, "--values", "--json") == CONTENTS["store"]
    assert rows("ledger", "show", folder, "--json") == [CONTENTS["ledger"]]
    for key in ("x/expired", "x/removed"):
        command("store", "get", folder, key, code=1)


def test_an_export_is_written_alike_and_imported(copy: Any, tmp_path: Path) -> None:
    exported, imported = str(tmp_path / "again.export"), str(tmp_path / "imported")
    command("store", "export", copy("manager-store"), exported)
    command("store", "import", str(WRITTEN / "manager-store.export"), imported)
    assert rows("store", "list", imported, "--values", "--json") == CONTENTS["store"]
    command("store", "import", exported, imported + "-again")
    assert rows("store", "list", imported + "-again", "--values", "--json") == CONTENTS["store"]
    assert os.path.getsize(exported) == os.path.getsize(WRITTEN / "manager-store.export")


def begun(folder: str) -> tuple[Ledger, list, Log]:
    """A manager's next life: its ledger, what the start tells it, and the log."""
    log = Log()
    store = Store(Folder(folder), lambda: STARTED_AT)
    ledger = Ledger(TERMS, SETTINGS, "4", lambda: STARTED_AT, log, store)
    return ledger, ledger.start(), log


def test_a_manager_goes_on(copy: Any) -> None:
    folder = copy("manager-store")
    ledger, told, log = begun(folder)
    assert canonical(told) == CONTENTS["opening"]
    assert not ledger.store.damages and not ledger.store.dropped
    assert [more["life"] for what, more in log.said if what == "ledger opened"] == [4]
    ledger.store.put(b"x/further", b"written")
    for _ in ledger.store.compact():
        pass
    ledger.close()
    shown = rows("ledger", "show", folder, "--json")[0]
    assert shown["life"]["number"] == 4
    assert [shown[kind] for kind in KEPT] == [CONTENTS["ledger"][kind] for kind in KEPT]
    assert command("store", "get", folder, "x/further") == "written\n"
    ledger, told, _ = begun(folder)
    assert canonical(told) == CONTENTS["opening"]
    assert ledger.memory.life.number == 5
    ledger.close()
