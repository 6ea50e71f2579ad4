"""Controllers that run as processes never answer with damaged or changed content."""

import asyncio
import random
from collections.abc import Iterator
from pathlib import Path

import pytest

from bramblewood.controller.damage_response import STORAGE_DAMAGED_EXIT_CODE
from bramblewood.controller.storage import Storage
from bramblewood.controller.storage_schema import DATABASE_FILE
from bramblewood.controller.voter_changes import UNKNOWN_VOTERS_LOG_DELAY
from tests.simulation.damaged_database import change_digit
from tests.simulation.membership_commands import CONTROL_PORT, PEER_PORT, WAIT_TIMEOUT, ControllerProcesses

CHANGED_TIMEOUT = 9  # s; the timeout of the route is 2 s
CONFIG_PATH = "/bramblewood/config"


@pytest.fixture
def fleet() -> Iterator[ControllerProcesses]:
    controllers = ControllerProcesses()
    yield controllers
    controllers.close()


def start_all(fleet: ControllerProcesses, numbers: range) -> None:
    for number in numbers:
        fleet.start(number)


def create_cluster_and_stop(fleet: ControllerProcesses, count: int) -> None:
    """Creates a cluster of `count` voters, stores a configuration there, and ends all controllers."""
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
    """Replaces the configuration under its proposal number by another one, with correct checksums."""
    storage = Storage(folder)
    promised, accepted, value = storage.open().unwrap().registers["config"]
    routes = value["config"]["RouteList"]
    record = routes["Records"][0]
    column = routes["ColumnNames"].index("TimeoutS")
    records = [[*record[:column], CHANGED_TIMEOUT, *record[column + 1 :]]]
    changed = {**value, "config": {**value["config"], "RouteList": {**routes, "Records": records}}}
    assert storage.commit([([("config", promised, accepted, changed)], {}, None)]) is None
    storage.database.close()


def damage_database(folder: str) -> None:
    path = Path(folder, DATABASE_FILE)
    storage = Storage(folder)
    storage.open().unwrap()
    storage.database.close()  # moves the content of the log to the database file
    data = bytearray(path.read_bytes())
    change_digit(random.Random(3), data)
    path.write_bytes(data)


def statuses_without_changed_content(fleet: ControllerProcesses, numbers: range) -> dict[int, int]:
    """Returns the HTTP status of each controller's answer, by number.

    Fails where a controller answers with another configuration than the one that was stored.
    """
    expected, statuses = fleet.configuration(fleet.revision), {}
    for number in numbers:
        statuses[number], body = fleet.call(number, CONTROL_PORT, CONFIG_PATH)
        assert statuses[number] != 200 or body == expected, (number, body)
    return statuses


def restart_ended_controllers(fleet: ControllerProcesses, exit_codes: dict[int, int]) -> None:
    """Restarts the controllers that have ended, as their machines do, and records their exit codes."""
    for number, process in list(fleet.running.items()):
        fleet.loop.run_until_complete(asyncio.sleep(0.01))
        if process.returncode is not None:
            exit_codes[number] = process.returncode
            fleet.start(number)


def assert_changed_controllers_recover(fleet: ControllerProcesses, voters: int, changed: set[int]) -> None:
    """Changes the content of some controllers, and checks that they restart with an empty database."""
    create_cluster_and_stop(fleet, voters)
    numbers, exit_codes = range(1, voters + 1), {}
    for number in changed:
        change_content(fleet.data_folder(number))
    start_all(fleet, numbers)

    def all_answer() -> bool:
        restart_ended_controllers(fleet, exit_codes)
        statuses = statuses_without_changed_content(fleet, numbers)
        return exit_codes.keys() == changed and set(statuses.values()) == {200}

    fleet.wait_until("all controllers answer", all_answer)
    assert exit_codes == dict.fromkeys(changed, STORAGE_DAMAGED_EXIT_CODE)
    fleet.wait_until_settled()
    fleet.put_configuration()
    fleet.wait_until_read_back()
    for number in changed:
        detected, quarantined = fleet.log_events(number, "storage damaged")
        assert "differs from the content at" in detected["problem"]
        assert (
            quarantined["problem"] == detected["problem"]
            and Path(quarantined["kept"], DATABASE_FILE).exists()
        )


def test_one_of_three_controllers_with_changed_content_recovers(fleet: ControllerProcesses) -> None:
    assert_changed_controllers_recover(fleet, 3, {2})
    events = [event for number in (1, 2, 3) for event in fleet.log_events(number, "content differs")]
    assert events and all(event["registers"] == ["config"] for event in events)


def test_two_of_five_controllers_with_changed_content_recover(fleet: ControllerProcesses) -> None:
    assert_changed_controllers_recover(fleet, 5, {1, 4})


def test_no_controller_answers_until_a_majority_agrees(fleet: ControllerProcesses) -> None:
    """Two of three controllers run and differ. Only the third one reveals which of the two changed."""
    create_cluster_and_stop(fleet, 3)
    change_content(fleet.data_folder(1))
    fleet.start(1)
    fleet.start(2)
    fleet.wait_until(
        "difference logged", lambda: all(fleet.log_events(number, "content differs") for number in (1, 2))
    )
    for _ in range(4):
        assert statuses_without_changed_content(fleet, range(1, 3)) == {1: 503, 2: 503}
    fleet.start(3)
    exit_codes: dict[int, int] = {}

    def all_answer() -> bool:
        restart_ended_controllers(fleet, exit_codes)
        return set(statuses_without_changed_content(fleet, range(1, 4)).values()) == {200}

    fleet.wait_until("all controllers answer", all_answer)
    assert exit_codes == {1: STORAGE_DAMAGED_EXIT_CODE}


def test_controller_with_a_damaged_database_becomes_a_voter_again(fleet: ControllerProcesses) -> None:
    create_cluster_and_stop(fleet, 3)
    damage_database(fleet.data_folder(3))
    start_all(fleet, range(1, 4))
    fleet.wait_for_states({1: "voter", 2: "voter", 3: "voter"})
    fleet.wait_until_read_back()
    [event] = fleet.log_events(3, "storage damaged")
    assert Path(event["kept"], DATABASE_FILE).exists()
    fleet.kill(1)  # the cluster survives a second loss, because the new disk of controller 3 votes
    sessions = lambda: fleet.call(2, PEER_PORT, "/view/sessions")[1]["archives"]  # noqa: E731
    # The next change must not rely on the last messages of controller 1.
    fleet.wait_until("controller 1 is silent", lambda: not sessions()[fleet.address_of(1)]["whole"])
    fleet.put_configuration()
    fleet.wait_until_read_back()


def test_controllers_refuse_to_answer_if_all_databases_are_damaged(fleet: ControllerProcesses) -> None:
    create_cluster_and_stop(fleet, 3)
    numbers = range(1, 4)
    for number in numbers:
        damage_database(fleet.data_folder(number))
    start_all(fleet, numbers)
    assert UNKNOWN_VOTERS_LOG_DELAY < WAIT_TIMEOUT
    fleet.wait_until(
        "unknown voters logged",
        lambda: all(fleet.log_events(number, "voters unknown") for number in numbers),
    )
    assert statuses_without_changed_content(fleet, numbers) == dict.fromkeys(numbers, 503)
    assert "FirstBoot = true" in fleet.log_events(1, "voters unknown")[0]["way_out"]
