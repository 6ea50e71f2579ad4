"""A controller's database that is damaged: noticed by the commands and by a start, and kept aside."""

import os
import random
import shutil
import sqlite3
from collections import Counter
from pathlib import Path

import pytest

from bramblewood.controller import damaged_storage
from bramblewood.controller.damaged_storage import (
    MAX_QUARANTINE_FOLDERS,
    QUARANTINE_FOLDER_PREFIX,
    mark_damaged,
    marked_reason,
    move_to_quarantine,
    open_or_replace,
    quarantine_folders,
)
from bramblewood.controller.storage import Storage
from bramblewood.controller.storage_errors import StorageDamagedError, is_damage_on_read, is_damage_on_write
from bramblewood.controller.storage_reader import RowsDamagedError
from bramblewood.controller.storage_schema import DATABASE_FILE
from tests.simulation.damaged_database import (
    DAMAGED,
    KINDS,
    NUMBERS,
    SOUND,
    Written,
    change_number_in_text,
    config,
    outcome_of_commands,
    page_kinds,
    play,
    run,
    write_database,
)

HEADER_SIZE = 100  # bytes at a database's start, in which sqlite counts its transactions
SEEDS = 40  # of each kind of damage
# kinds of which no damage can be without effect
ALWAYS_NOTICED = {"cut off", "pages cut off", "bytes doubled", "digit changed"}
OLD_FOLDER = Path(__file__).parent / "data" / "disk-4cd356e" / "controller-form-2"


class Log:
    """Keeps the lines that are written to it."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def error(self, event: str, **fields: str) -> None:
        self.lines.append((event, fields))


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> Written:
    return write_database(str(tmp_path_factory.mktemp("written") / "sound"))


def test_the_plays_have_pages_of_every_kind(written: Written) -> None:
    kinds = {"interior table", "leaf table", "interior index", "leaf index", "other", "pointer map"}
    assert page_kinds(written.folder) == kinds


@pytest.mark.parametrize("kind", KINDS)
def test_damage_is_noticed_or_without_effect(kind: str, written: Written, tmp_path: Path) -> None:
    outcomes = Counter(play(written, kind, seed, str(tmp_path / str(seed))) for seed in range(SEEDS))
    assert outcomes[DAMAGED] >= (SEEDS if kind in ALWAYS_NOTICED else SEEDS // 4), outcomes
    assert outcomes[DAMAGED] + outcomes[SOUND] == SEEDS


def test_a_sound_folder_is_called_sound(written: Written) -> None:
    assert outcome_of_commands(written, written.folder) == SOUND


@pytest.mark.parametrize(
    ("statement", "place"),
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
def test_changed_rows_are_named(statement: str, place: str, written: Written, tmp_path: Path) -> None:
    folder = str(shutil.copytree(written.folder, tmp_path / "changed"))
    database = sqlite3.connect(os.path.join(folder, DATABASE_FILE))
    database.execute(statement)
    database.commit()
    database.close()
    error = Storage(folder).open().err_value
    assert isinstance(error, StorageDamagedError) and place in str(error)
    assert run("check", folder).exit_code == 1


def test_rows_that_changed_places_are_noticed(written: Written, tmp_path: Path) -> None:
    folder = str(shutil.copytree(written.folder, tmp_path / "swapped"))
    database = sqlite3.connect(os.path.join(folder, DATABASE_FILE))
    query = "select id, value, checksum from parts where path like '%service-0%' and value like '[%' limit 2"
    (first, *one), (second, *other) = database.execute(query).fetchall()
    for row_id, (value, checksum) in ((first, other), (second, one)):
        database.execute("update parts set value = ?, checksum = ? where id = ?", (value, checksum, row_id))
    database.commit()
    database.close()
    assert isinstance(Storage(folder).open().err_value, StorageDamagedError)


def test_commands_on_a_damaged_folder_of_the_second_form_never_end_in_a_traceback(tmp_path: Path) -> None:
    sound = Path(OLD_FOLDER, DATABASE_FILE).read_bytes()
    for seed in range(60):
        folder, dice, data = tmp_path / str(seed), random.Random(seed), bytearray(sound)
        folder.mkdir()
        dice.choice([*KINDS.values()])(dice, data)
        (folder / DATABASE_FILE).write_bytes(data)
        for name in ("check", "show", "export"):
            result = run(name, str(folder))
            assert result.exception is None or isinstance(result.exception, SystemExit), (seed, name)
            assert result.exit_code in (0, 1), (seed, name)
        Storage(str(folder)).open()  # an answer, and no exception


# --- kept aside


def damage(folder: str) -> None:
    path = Path(folder, DATABASE_FILE)
    data = bytearray(path.read_bytes())
    change_number_in_text(random.Random(1), data)
    path.write_bytes(data)


def test_a_damaged_database_is_kept_aside_and_an_empty_one_begun(written: Written, tmp_path: Path) -> None:
    folder, log = str(shutil.copytree(written.folder, tmp_path / "damaged")), Log()
    damage(folder)
    damaged = Path(folder, DATABASE_FILE).read_bytes()[HEADER_SIZE:]
    storage = Storage(folder)
    found = open_or_replace(storage, log).unwrap()
    assert (found.facts, found.registers) == ({}, {})
    assert storage.replaces_damaged
    assert storage.commit([([("config", *NUMBERS, config(1))], {"disk": "77a00002"}, None)]) is None
    storage.database.close()
    [kept] = quarantine_folders(folder)
    assert (kept / DATABASE_FILE).read_bytes()[HEADER_SIZE:] == damaged
    [(event, more)] = log.lines
    assert event == "storage damaged" and more["kept"] == str(kept) and "checksum" in more["problem"]
    again = Storage(folder)
    assert open_or_replace(again, log).unwrap().facts == {"disk": "77a00002"}
    assert again.replaces_damaged  # for good: it founds no voter set, whatever its settings say
    again.database.close()


def test_a_sound_database_replaces_nothing(written: Written, tmp_path: Path) -> None:
    storage = Storage(str(shutil.copytree(written.folder, tmp_path / "sound")))
    assert open_or_replace(storage, Log()).is_ok() and not storage.replaces_damaged
    storage.database.close()


@pytest.mark.parametrize("moves", range(2))
def test_a_power_cut_amid_keeping_aside_never_brings_the_database_back(
    moves: int, written: Written, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = str(shutil.copytree(written.folder, tmp_path / "cut"))
    damage(folder)
    Path(folder, DATABASE_FILE + "-wal").write_bytes(b"log")
    mark_damaged(folder, "for a test")
    made = []

    def replace(source: Path, target: Path) -> None:
        if len(made) == moves:
            raise OSError("the power is cut")
        made.append(source)
        shutil.move(source, target)

    with monkeypatch.context() as patched:
        patched.setattr(damaged_storage.os, "replace", replace)
        with pytest.raises(OSError, match="power"):
            move_to_quarantine(folder)
    storage = Storage(folder)
    assert marked_reason(folder) == "for a test"
    assert open_or_replace(storage, Log()).unwrap().registers == {}
    storage.database.close()
    assert marked_reason(folder) is None
    [kept] = quarantine_folders(folder)
    assert {DATABASE_FILE, DATABASE_FILE + "-wal"} <= {path.name for path in kept.iterdir()}


def test_few_folders_are_kept(written: Written, tmp_path: Path) -> None:
    folder = str(tmp_path / "again")
    for number in range(MAX_QUARANTINE_FOLDERS + 2):
        shutil.copytree(written.folder, folder, dirs_exist_ok=True)
        mark_damaged(folder, f"time {number}")
        move_to_quarantine(folder)
    names = [f"{QUARANTINE_FOLDER_PREFIX}{number}" for number in (3, 4, 5)]
    assert [path.name for path in quarantine_folders(folder)] == names


def test_a_disk_that_does_not_answer_is_not_damaged(tmp_path: Path) -> None:
    refused = sqlite3.OperationalError("disk I/O error")
    refused.sqlite_errorcode = sqlite3.SQLITE_IOERR_READ

    def connect(path: str) -> sqlite3.Connection:
        raise refused

    error = Storage(str(tmp_path), connect).open().err_value
    assert not isinstance(error, StorageDamagedError)
    assert not is_damage_on_read(refused) and not is_damage_on_read(OSError("no such folder"))
    assert is_damage_on_read(RowsDamagedError("a row")) and is_damage_on_read(ValueError("no JSON"))


def test_damage_met_by_a_write_is_told(written: Written, tmp_path: Path) -> None:
    """Pages that are read again as the controller runs: sqlite notices, and the shell hears of it."""
    storage, told = Storage(str(shutil.copytree(written.folder, tmp_path / "running"))), []
    storage.on_damage = told.append
    storage.open().unwrap()
    storage.database.execute("pragma cache_size=1")
    page_count = os.path.getsize(storage.path) // 4096
    storage.database.execute("pragma wal_checkpoint(truncate)")
    with open(storage.path, "r+b") as file:
        for page in range(1, page_count):
            file.seek(page * 4096)
            file.write(b"\xff" * 64)
    storage.database.execute("pragma shrink_memory")
    value = storage.stored_values["table"]
    changed = {**value, "n": value["n"] + 1, "s": {**value["s"], "service-0": {}}}
    problem = storage.commit([([("table", *NUMBERS, changed)], {}, None)])
    assert problem is not None and "malformed" in problem
    assert told == ["database disk image is malformed"]


def test_only_corruption_counts_as_damage_amid_a_write() -> None:
    full, corrupt = sqlite3.OperationalError("full"), sqlite3.DatabaseError("malformed")
    full.sqlite_errorcode, corrupt.sqlite_errorcode = sqlite3.SQLITE_FULL, sqlite3.SQLITE_CORRUPT_INDEX
    assert (
        is_damage_on_write(corrupt)
        and not is_damage_on_write(full)
        and not is_damage_on_write(TypeError("no JSON"))
    )
