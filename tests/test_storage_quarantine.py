"""Damage to a controller's database is reported by the commands and by a start, which quarantines it."""

import os
import random
import shutil
import sqlite3
from collections import Counter
from pathlib import Path

import pytest

from bramblewood.controller import storage_quarantine
from bramblewood.controller.storage import Storage
from bramblewood.controller.storage_errors import StorageDamagedError, is_damage_on_read, is_damage_on_write
from bramblewood.controller.storage_quarantine import (
    MAX_QUARANTINE_FOLDERS,
    QUARANTINE_FOLDER_PREFIX,
    mark_damaged,
    marked_reason,
    move_to_quarantine,
    open_or_quarantine,
    quarantine_folders,
)
from bramblewood.controller.storage_reader import RowsDamagedError
from bramblewood.controller.storage_schema import DATABASE_FILE
from tests.simulation.damaged_database import (
    DAMAGE_KINDS,
    DAMAGED,
    HEADER_SIZE,
    PAGE_SIZE,
    PROPOSAL_NUMBERS,
    SOUND,
    IntactDatabase,
    change_digit,
    damage_copy,
    make_config_value,
    outcome_of_commands,
    page_kinds,
    run_command,
    write_database,
)

SEEDS = 40  # for each kind of damage
# Kinds of damage that always change the content, and so have to be reported for each seed.
ALWAYS_DETECTED_KINDS = {"cut off", "pages cut off", "bytes doubled", "digit changed"}
SCHEMA_2_FOLDER = Path(__file__).parent / "data" / "disk-4cd356e" / "controller-form-2"


class RecordingLog:
    """Records the error events that are logged, as (event, fields)."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def error(self, event: str, **fields: str) -> None:
        self.events.append((event, fields))


@pytest.fixture(scope="module")
def intact(tmp_path_factory: pytest.TempPathFactory) -> IntactDatabase:
    return write_database(str(tmp_path_factory.mktemp("intact") / "sound"))


def test_intact_database_has_pages_of_every_kind(intact: IntactDatabase) -> None:
    kinds = {"interior table", "leaf table", "interior index", "leaf index", "other", "pointer map"}
    assert page_kinds(intact.folder) == kinds


@pytest.mark.parametrize("kind", DAMAGE_KINDS)
def test_damage_is_detected_or_has_no_effect(kind: str, intact: IntactDatabase, tmp_path: Path) -> None:
    outcomes = Counter(damage_copy(intact, kind, seed, str(tmp_path / str(seed))) for seed in range(SEEDS))
    assert outcomes[DAMAGED] >= (SEEDS if kind in ALWAYS_DETECTED_KINDS else SEEDS // 4), outcomes
    assert outcomes[DAMAGED] + outcomes[SOUND] == SEEDS


def test_commands_report_an_intact_database_as_sound(intact: IntactDatabase) -> None:
    assert outcome_of_commands(intact, intact.folder) == SOUND


@pytest.mark.parametrize(
    ("statement", "location"),
    [
        ("update parts set value = '9' where path like '%TimeoutS%' or path like '%route-2%'", "part config"),
        (
            "update parts set path = '[\"n\",\"x\"]' where register = 'table' and path = '[\"n\"]'",
            "part table",
        ),
        ("delete from parts where register = 'table' and path like '%\"7\"]'", "parts of table"),
        ("insert into parts select null, 'spare', path, value, checksum from parts limit 1", "part spare"),
        ("update registers set promised = '[9,9,\"a\",1]' where name = 'config'", "register config"),
        ("delete from registers where name = 'table'", "parts of an unknown register table"),
        ("update facts set value = '\"other\"' where name = 'disk'", "fact disk"),
        ("delete from facts where name = 'held'", "totals"),
        ("delete from totals", "totals"),
        ("create table more (name text)", "tables"),
    ],
)
def test_error_names_the_location_of_changed_rows(
    statement: str, location: str, intact: IntactDatabase, tmp_path: Path
) -> None:
    folder = str(shutil.copytree(intact.folder, tmp_path / "changed"))
    database = sqlite3.connect(os.path.join(folder, DATABASE_FILE))
    database.execute(statement)
    database.commit()
    database.close()
    error = Storage(folder).open().err_value
    assert isinstance(error, StorageDamagedError) and location in str(error)
    assert run_command("check", folder).exit_code == 1


def test_exchanged_rows_are_detected(intact: IntactDatabase, tmp_path: Path) -> None:
    folder = str(shutil.copytree(intact.folder, tmp_path / "swapped"))
    database = sqlite3.connect(os.path.join(folder, DATABASE_FILE))
    query = "select id, value, checksum from parts where path like '%service-0%' and value like '[%' limit 2"
    (first_id, *first), (second_id, *second) = database.execute(query).fetchall()
    for row_id, (value, checksum) in ((first_id, second), (second_id, first)):
        database.execute("update parts set value = ?, checksum = ? where id = ?", (value, checksum, row_id))
    database.commit()
    database.close()
    assert isinstance(Storage(folder).open().err_value, StorageDamagedError)


def test_commands_on_a_damaged_database_of_schema_version_2_raise_no_exception(tmp_path: Path) -> None:
    intact_bytes = Path(SCHEMA_2_FOLDER, DATABASE_FILE).read_bytes()
    for seed in range(60):
        folder, rng, data = tmp_path / str(seed), random.Random(seed), bytearray(intact_bytes)
        folder.mkdir()
        rng.choice([*DAMAGE_KINDS.values()])(rng, data)
        (folder / DATABASE_FILE).write_bytes(data)
        for name in ("check", "show", "export"):
            result = run_command(name, str(folder))
            assert result.exception is None or isinstance(result.exception, SystemExit), (seed, name)
            assert result.exit_code in (0, 1), (seed, name)
        Storage(str(folder)).open()  # must not raise an exception


# --- quarantine


def damage_database(folder: str) -> None:
    path = Path(folder, DATABASE_FILE)
    data = bytearray(path.read_bytes())
    change_digit(random.Random(1), data)
    path.write_bytes(data)


def test_damaged_database_is_quarantined_and_replaced_by_an_empty_one(
    intact: IntactDatabase, tmp_path: Path
) -> None:
    folder, log = str(shutil.copytree(intact.folder, tmp_path / "damaged")), RecordingLog()
    damage_database(folder)
    # The header is not compared, because SQLite counts transactions there.
    damaged = Path(folder, DATABASE_FILE).read_bytes()[HEADER_SIZE:]
    storage = Storage(folder)
    stored_state = open_or_quarantine(storage, log).unwrap()
    assert (stored_state.facts, stored_state.registers) == ({}, {})
    assert storage.has_quarantined_database
    assert (
        storage.commit([([("config", *PROPOSAL_NUMBERS, make_config_value(1))], {"disk": "77a00002"}, None)])
        is None
    )
    storage.database.close()
    [quarantined] = quarantine_folders(folder)
    assert (quarantined / DATABASE_FILE).read_bytes()[HEADER_SIZE:] == damaged
    [(event, fields)] = log.events
    assert (
        event == "storage damaged" and fields["kept"] == str(quarantined) and "checksum" in fields["problem"]
    )
    reopened = Storage(folder)
    assert open_or_quarantine(reopened, log).unwrap().facts == {"disk": "77a00002"}
    # set at every later start, so the controller founds no voter set
    assert reopened.has_quarantined_database
    reopened.database.close()


def test_intact_database_is_not_replaced(intact: IntactDatabase, tmp_path: Path) -> None:
    storage = Storage(str(shutil.copytree(intact.folder, tmp_path / "sound")))
    assert open_or_quarantine(storage, RecordingLog()).is_ok() and not storage.has_quarantined_database
    storage.database.close()


@pytest.mark.parametrize("moves_before_cut", range(2))
def test_quarantine_interrupted_by_a_power_cut_is_completed_by_the_next_start(
    moves_before_cut: int, intact: IntactDatabase, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = str(shutil.copytree(intact.folder, tmp_path / "cut"))
    damage_database(folder)
    Path(folder, DATABASE_FILE + "-wal").write_bytes(b"log")
    mark_damaged(folder, "for a test")
    moved = []

    def replace_until_cut(source: Path, target: Path) -> None:
        if len(moved) == moves_before_cut:
            raise OSError("the power is cut")
        moved.append(source)
        shutil.move(source, target)

    with monkeypatch.context() as patched:
        patched.setattr(storage_quarantine.os, "replace", replace_until_cut)
        with pytest.raises(OSError, match="power"):
            move_to_quarantine(folder)
    storage = Storage(folder)
    assert marked_reason(folder) == "for a test"
    assert open_or_quarantine(storage, RecordingLog()).unwrap().registers == {}
    storage.database.close()
    assert marked_reason(folder) is None
    [quarantined] = quarantine_folders(folder)
    assert {DATABASE_FILE, DATABASE_FILE + "-wal"} <= {path.name for path in quarantined.iterdir()}


def test_oldest_quarantine_folders_are_removed(intact: IntactDatabase, tmp_path: Path) -> None:
    folder = str(tmp_path / "repeated")
    for number in range(MAX_QUARANTINE_FOLDERS + 2):
        shutil.copytree(intact.folder, folder, dirs_exist_ok=True)
        mark_damaged(folder, f"damage {number}")
        move_to_quarantine(folder)
    names = [f"{QUARANTINE_FOLDER_PREFIX}{number}" for number in (3, 4, 5)]
    assert [path.name for path in quarantine_folders(folder)] == names


def test_io_error_is_not_damage(tmp_path: Path) -> None:
    io_error = sqlite3.OperationalError("disk I/O error")
    io_error.sqlite_errorcode = sqlite3.SQLITE_IOERR_READ

    def connect(path: str) -> sqlite3.Connection:
        raise io_error

    error = Storage(str(tmp_path), connect).open().err_value
    assert not isinstance(error, StorageDamagedError)
    assert not is_damage_on_read(io_error) and not is_damage_on_read(OSError("no such folder"))
    assert is_damage_on_read(RowsDamagedError("a row")) and is_damage_on_read(ValueError("not JSON"))


def test_write_that_finds_corruption_reports_damage(intact: IntactDatabase, tmp_path: Path) -> None:
    """The pages are damaged after the start, and a write reads them again because SQLite's cache is small."""
    storage, problems = Storage(str(shutil.copytree(intact.folder, tmp_path / "running"))), []
    storage.on_damage = problems.append
    storage.open().unwrap()
    storage.database.execute("pragma cache_size=1")
    page_count = os.path.getsize(storage.path) // PAGE_SIZE
    storage.database.execute("pragma wal_checkpoint(truncate)")
    with open(storage.path, "r+b") as file:
        for page in range(1, page_count):
            file.seek(page * PAGE_SIZE)
            file.write(b"\xff" * 64)
    storage.database.execute("pragma shrink_memory")
    value = storage.stored_values["table"]
    changed = {**value, "n": value["n"] + 1, "s": {**value["s"], "service-0": {}}}
    problem = storage.commit([([("table", *PROPOSAL_NUMBERS, changed)], {}, None)])
    assert problem is not None and "malformed" in problem
    assert problems == ["database disk image is malformed"]


def test_write_error_is_damage_only_if_sqlite_reports_corruption() -> None:
    full, corrupt = sqlite3.OperationalError("full"), sqlite3.DatabaseError("malformed")
    full.sqlite_errorcode, corrupt.sqlite_errorcode = sqlite3.SQLITE_FULL, sqlite3.SQLITE_CORRUPT_INDEX
    assert (
        is_damage_on_write(corrupt)
        and not is_damage_on_write(full)
        and not is_damage_on_write(TypeError("not JSON"))
    )
