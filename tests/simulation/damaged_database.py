"""A controller's database with bytes flipped, cut off and doubled, at pages of every kind.

A play damages a copy of a sound folder by its seed; what a start and the commands make of it must be either
the damage, noticed in one line, or exactly what was written.
"""

import json
import os
import random
import shutil
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from click.testing import CliRunner, Result

from benchmarks.controller_storage import moved, table
from bramblewood.cli.storage import storage as storage_commands
from bramblewood.controller.storage import Storage
from bramblewood.controller.storage_errors import StorageDamagedError
from bramblewood.controller.storage_schema import DATABASE_FILE

PAGE_SIZE = 4096
SECTOR_SIZE = 512
SLICES = 400  # enough for interior pages in the table and in its index
LONG_TEXT = "x" * 3 * PAGE_SIZE  # a row with pages of its own (overflow)
SOUND, DAMAGED = "sound", "damaged"
NUMBERS = ((2, 7, "10.0.0.1", 5), (2, 6, "10.0.0.2", 9))  # promised, accepted


class DamageUnnoticed(AssertionError):
    """A damaged database was taken for a sound one, with other content than was written."""


class Written(NamedTuple):
    """A sound folder and what was written there, as `storage export` shows it."""

    folder: str
    contents: str


def config(number: int, timeout: int = 2) -> dict:
    routes = {f"route-{at}": {"TimeoutS": timeout, "note": LONG_TEXT if at == 3 else ""} for at in range(8)}
    return {"n": number, "config": {"Revision": f"r{number}", "Routes": routes}, "past": {"1": "5e21"}}


def write_database(folder: str) -> Written:
    """A folder as a controller leaves it that ended in order: some commits, rows put again and removed."""
    storage = Storage(folder)
    storage.open().unwrap()
    value = table(SLICES)
    facts = {"disk": "5e210001", "held": 2, "members": {"n": 2, "voters": {"10.0.0.1": "5e210001"}}}
    storage.commit([([("config", *NUMBERS, config(1)), ("table", *NUMBERS, value)], facts, None)])
    for at in range(40):
        value = moved(value, 17 * at)
        storage.commit([([("table", *NUMBERS, value)], {"seen": at}, None)])
    fewer = {**value["s"], "service-2": {}}
    storage.commit([([("table", *NUMBERS, {**value, "s": fewer})], {"seen": None}, None)])
    storage.database.close()
    return Written(folder, run("export", folder).output)


def run(command: str, folder: str) -> Result:
    return CliRunner().invoke(storage_commands, [command, folder])


# --- kinds of damage


def flip_bit(dice: random.Random, data: bytearray) -> None:
    data[dice.randrange(len(data))] ^= 1 << dice.randrange(8)


def change_byte(dice: random.Random, data: bytearray) -> None:
    data[dice.randrange(len(data))] = dice.randrange(256)


def flip_bit_of_content(dice: random.Random, data: bytearray) -> None:
    """In a byte that is not zero: most free space is."""
    at = dice.choice([at for at, byte in enumerate(data) if byte])
    data[at] ^= 1 << dice.randrange(8)


def change_header(dice: random.Random, data: bytearray) -> None:
    data[dice.randrange(100)] = dice.randrange(256)


def clear_sector(dice: random.Random, data: bytearray) -> None:
    start = dice.randrange(len(data) // SECTOR_SIZE) * SECTOR_SIZE
    data[start : start + SECTOR_SIZE] = bytes(SECTOR_SIZE)


def copy_page(dice: random.Random, data: bytearray) -> None:
    """One page is there twice, in place of another."""
    source, target = (dice.randrange(len(data) // PAGE_SIZE) * PAGE_SIZE for _ in range(2))
    data[target : target + PAGE_SIZE] = data[source : source + PAGE_SIZE]


def cut_off(dice: random.Random, data: bytearray) -> None:
    del data[dice.randrange(1, len(data)) :]


def cut_off_pages(dice: random.Random, data: bytearray) -> None:
    del data[dice.randrange(1, len(data) // PAGE_SIZE) * PAGE_SIZE :]


def double_bytes(dice: random.Random, data: bytearray) -> None:
    """A few bytes are there twice, and all behind them has moved on."""
    start = dice.randrange(len(data))
    data[start:start] = data[start : start + dice.randrange(1, 64)]


def change_number_in_text(dice: random.Random, data: bytearray) -> None:
    """The users' case: one digit of a value becomes another."""
    digits = [at for at, byte in enumerate(data) if chr(byte) in "0123456789"]
    at = dice.choice(digits)
    data[at] = ord(dice.choice([digit for digit in "0123456789" if ord(digit) != data[at]]))


KINDS: dict[str, Callable[[random.Random, bytearray], None]] = {
    "bit flipped": flip_bit,
    "byte changed": change_byte,
    "bit of content flipped": flip_bit_of_content,
    "header changed": change_header,
    "sector cleared": clear_sector,
    "page copied": copy_page,
    "cut off": cut_off,
    "pages cut off": cut_off_pages,
    "bytes doubled": double_bytes,
    "digit changed": change_number_in_text,
}


def play(written: Written, kind: str, seed: int, place: str) -> str:
    """Damage a copy of the folder at `place`; SOUND where it had no effect, DAMAGED where it was noticed."""
    shutil.copytree(written.folder, place)
    path, dice = Path(place) / DATABASE_FILE, random.Random(f"{kind} {seed}")
    data = bytearray(path.read_bytes())
    KINDS[kind](dice, data)
    path.write_bytes(data)
    outcome = outcome_of_commands(written, place)
    at_start = outcome_of_start(written, place)
    if at_start != outcome:
        raise DamageUnnoticed(f"{kind}, seed {seed}: {outcome} by the commands, {at_start} by a start")
    return outcome


def outcome_of_commands(written: Written, folder: str) -> str:
    """What check, show and export say; each by itself, and the same."""
    results = {name: run(name, folder) for name in ("check", "show", "export")}
    for name, result in results.items():
        if result.exception is not None and not isinstance(result.exception, SystemExit):
            raise DamageUnnoticed(f"{name} ended in {result.exception!r}") from result.exception
    codes = {result.exit_code for result in results.values()}
    if codes == {0}:
        if results["export"].output != written.contents:
            raise DamageUnnoticed("the commands show other content than was written")
        return SOUND
    if codes != {1}:
        raise DamageUnnoticed(f"exit codes {codes}")
    for name in ("show", "export"):
        if results[name].output.count("\n") != 1:
            raise DamageUnnoticed(f"{name}: not one line: {results[name].output!r}")
    return DAMAGED


def outcome_of_start(written: Written, folder: str) -> str:
    """What a start finds."""
    storage = Storage(folder)
    found = storage.open()
    if found.is_err():
        is_later_form = str(found.err_value.problem).startswith(
            "schema version "
        )  # of a program to come, as it seems
        if not isinstance(found.err_value, StorageDamagedError) and not is_later_form:
            raise DamageUnnoticed(f"not called damage: {found.err_value}")
        return DAMAGED
    facts, registers, _ = found.ok_value
    storage.database.close()
    fields = ("promised", "accepted", "value")
    rows = {name: dict(zip(fields, one, strict=True)) for name, one in registers.items()}
    if json.dumps({"facts": facts, "registers": rows}) + "\n" != written.contents:
        raise DamageUnnoticed("a start finds other content than was written")
    return SOUND


def page_kinds(folder: str) -> set[str]:
    """The kinds of pages that a folder's database has."""
    names = {2: "interior index", 5: "interior table", 10: "leaf index", 13: "leaf table"}
    data = Path(folder, DATABASE_FILE).read_bytes()
    pages = [data[start : start + PAGE_SIZE] for start in range(0, len(data), PAGE_SIZE)]
    kinds = {names.get(page[100 if number == 0 else 0], "other") for number, page in enumerate(pages)}
    database = sqlite3.connect(os.path.join(folder, DATABASE_FILE))
    has_map = database.execute("pragma auto_vacuum").fetchone()[0] != 0
    database.close()
    return kinds | ({"pointer map"} if has_map else set())
