"""Real controllers of which some hold damaged or changed content: none ever answers with it."""

import asyncio
import random
from collections.abc import Iterator
from pathlib import Path

import pytest

from bramblewood.controller.damage_response import STORAGE_DAMAGED
from bramblewood.controller.storage import Storage
from bramblewood.controller.storage_schema import DATABASE_FILE
from bramblewood.controller.voter_changes import UNKNOWN_VOTERS_PATIENCE
from tests.simulation.damaged_database import change_digit
from tests.simulation.membership_commands import CONTROL, INNER, WAIT_TIMEOUT, ControllerFleet

WRONG_TIMEOUT = 9  # s; the route's is 2
CONFIG_PATH = "/bramblewood/config"


@pytest.fixture
def fleet() -> Iterator[ControllerFleet]:
    made = ControllerFleet()
    yield made
    made.close()


def start_all(fleet: ControllerFleet, controllers: range) -> None:
    for number in controllers:
        fleet.start(number)


def found_and_stop(fleet: ControllerFleet, count: int) -> None:
    """So many voters with a configuration, all of them ended."""
    fleet.write_settings(count, count)
    for number in range(1, count + 1):
        with open(fleet.paths[number], "a") as settings:
            settings.write(f"[Tolerance]\nMachines = {count // 2}\n")
    start_all(fleet, range(1, count + 1))
    fleet.wait_until_settled()
    fleet.put_configuration()
    fleet.wait_until_read_back()
    fleet.wait_until_settled()
    for number in range(1, count + 1):
        fleet.kill(number)


def change_content(folder: str) -> None:
    """The same version with another content, as rows that are sound by themselves."""
    storage = Storage(folder)
    promised, accepted, value = storage.open().unwrap().registers["config"]
    routes = value["config"]["RouteList"]
    record = routes["Records"][0]
    at = routes["ColumnNames"].index("TimeoutS")
    records = [[*record[:at], WRONG_TIMEOUT, *record[at + 1 :]]]
    changed = {**value, "config": {**value["config"], "RouteList": {**routes, "Records": records}}}
    assert storage.commit([([("config", promised, accepted, changed)], {}, None)]) is None
    storage.database.close()


def flip_digit(folder: str) -> None:
    path = Path(folder, DATABASE_FILE)
    storage = Storage(folder)
    storage.open().unwrap()
    storage.database.close()  # the log is in the database now
    data = bytearray(path.read_bytes())
    change_digit(random.Random(3), data)
    path.write_bytes(data)


def answers_without_wrong_content(fleet: ControllerFleet, numbers: range) -> dict[int, int]:
    """What each controller answers, by number; fails where one answers with other content."""
    expected, statuses = fleet.configuration(fleet.revision), {}
    for number in numbers:
        statuses[number], body = fleet.call(number, CONTROL, CONFIG_PATH)
        assert statuses[number] != 200 or body == expected, (number, body)
    return statuses


def restart_ended(fleet: ControllerFleet, codes: dict[int, int]) -> None:
    """As the machine does: who has ended is started again; codes: filled with the exit codes."""
    for number, process in list(fleet.running.items()):
        fleet.loop.run_until_complete(asyncio.sleep(0.01))
        if process.returncode is not None:
            codes[number] = process.returncode
            fleet.start(number)


def play_changed_content(fleet: ControllerFleet, voters: int, changed: set[int]) -> None:
    found_and_stop(fleet, voters)
    numbers, codes = range(1, voters + 1), {}
    for number in changed:
        change_content(fleet.data_folder(number))
    start_all(fleet, numbers)

    def all_answer() -> bool:
        restart_ended(fleet, codes)
        statuses = answers_without_wrong_content(fleet, numbers)
        return codes.keys() == changed and set(statuses.values()) == {200}

    fleet.wait_until("all answer", all_answer)
    assert codes == dict.fromkeys(changed, STORAGE_DAMAGED)
    fleet.wait_until_settled()
    fleet.put_configuration()
    fleet.wait_until_read_back()
    for number in changed:
        found, kept = fleet.log_events(number, "storage damaged")
        assert "differs from the content at" in found["problem"]
        assert kept["problem"] == found["problem"] and Path(kept["kept"], DATABASE_FILE).exists()


def test_one_of_three_with_other_content_under_the_same_version(fleet: ControllerFleet) -> None:
    play_changed_content(fleet, 3, {2})
    lines = [line for number in (1, 2, 3) for line in fleet.log_events(number, "content differs")]
    assert lines and all(line["registers"] == ["config"] for line in lines)


def test_two_of_five_with_other_content_under_the_same_version(fleet: ControllerFleet) -> None:
    play_changed_content(fleet, 5, {1, 4})


def test_without_a_majority_that_agrees_nobody_answers(fleet: ControllerFleet) -> None:
    """One of two in reach has changed, and nothing tells which: both wait for the third."""
    found_and_stop(fleet, 3)
    change_content(fleet.data_folder(1))
    fleet.start(1)
    fleet.start(2)
    fleet.wait_until("noticed", lambda: all(fleet.log_events(n, "content differs") for n in (1, 2)))
    for _ in range(4):
        assert answers_without_wrong_content(fleet, range(1, 3)) == {1: 503, 2: 503}
    fleet.start(3)
    codes: dict[int, int] = {}

    def all_answer() -> bool:
        restart_ended(fleet, codes)
        return set(answers_without_wrong_content(fleet, range(1, 4)).values()) == {200}

    fleet.wait_until("all answer", all_answer)
    assert codes == {1: STORAGE_DAMAGED}


def test_a_damaged_disk_counts_as_a_lost_one(fleet: ControllerFleet) -> None:
    found_and_stop(fleet, 3)
    flip_digit(fleet.data_folder(3))
    start_all(fleet, range(1, 4))
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter"})
    fleet.wait_until_read_back()
    [line] = fleet.log_events(3, "storage damaged")
    assert Path(line["kept"], DATABASE_FILE).exists()
    fleet.kill(1)  # a further loss is borne: its new disk votes
    sessions = lambda: fleet.call(2, INNER, "/view/sessions")[1]["archives"]  # noqa: E731
    fleet.wait_until("silent", lambda: not sessions()[fleet.address_of(1)]["whole"])  # not its last word
    fleet.put_configuration()
    fleet.wait_until_read_back()


def test_all_disks_damaged(fleet: ControllerFleet) -> None:
    found_and_stop(fleet, 3)
    numbers = range(1, 4)
    for number in numbers:
        flip_digit(fleet.data_folder(number))
    start_all(fleet, numbers)
    assert UNKNOWN_VOTERS_PATIENCE < WAIT_TIMEOUT
    fleet.wait_until("said", lambda: all(fleet.log_events(n, "voters unknown") for n in numbers))
    assert answers_without_wrong_content(fleet, numbers) == dict.fromkeys(numbers, 503)
    assert "FirstBoot = true" in fleet.log_events(1, "voters unknown")[0]["way_out"]
