"""Damages copies of a controller's database: bits are flipped, bytes are changed, removed or duplicated.

The database has pages of every kind. A start and the storage commands must either report the damage in one
line or return exactly the content that was written.
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

from benchmarks.controller_storage import make_slice_table, move_slice
from bramblewood.cli.storage import storage as storage_commands
from bramblewood.controller.storage import Storage
from bramblewood.controller.storage_errors import StorageDamagedError
from bramblewood.controller.storage_schema import DATABASE_FILE

PAGE_SIZE = 4096
SECTOR_SIZE = 512
HEADER_SIZE = 100  # bytes of the header at the start of a database
SLICE_COUNT = 400  # enough for interior pages in the table `parts` and in its index
LONG_TEXT = "x" * 3 * PAGE_SIZE  # needs overflow pages
SOUND, DAMAGED = "sound", "damaged"
PROPOSAL_NUMBERS = ((2, 7, "10.0.0.1", 5), (2, 6, "10.0.0.2", 9))  # promised, accepted


class UndetectedDamage(AssertionError):
    """Damage was not reported, or it was not reported as specified."""


class IntactDatabase(NamedTuple):
    """A data folder with an intact database, and its content as `storage export` prints it."""

    folder: str
    exported: str


def make_config_value(number: int, timeout: int = 2) -> dict:
    """Returns a value of the register `config`; one of its routes needs overflow pages."""
    routes = {
        f"route-{index}": {"TimeoutS": timeout, "note": LONG_TEXT if index == 3 else ""} for index in range(8)
    }
    return {"n": number, "config": {"Revision": f"r{number}", "Routes": routes}, "past": {"1": "5e21"}}


def write_database(folder: str) -> IntactDatabase:
    """Writes a database as a controller leaves it after a clean shutdown.

    The commits add, overwrite and delete rows.
    """
    storage = Storage(folder)
    storage.open().unwrap()
    value = make_slice_table(SLICE_COUNT)
    facts = {"disk": "5e210001", "held": 2, "members": {"n": 2, "voters": {"10.0.0.1": "5e210001"}}}
    storage.commit(
        [
            (
                [("config", *PROPOSAL_NUMBERS, make_config_value(1)), ("table", *PROPOSAL_NUMBERS, value)],
                facts,
                None,
            )
        ]
    )
    for index in range(40):
        value = move_slice(value, 17 * index)
        storage.commit([([("table", *PROPOSAL_NUMBERS, value)], {"seen": index}, None)])
    services = {**value["s"], "service-2": {}}
    storage.commit([([("table", *PROPOSAL_NUMBERS, {**value, "s": services})], {"seen": None}, None)])
    storage.database.close()
    return IntactDatabase(folder, run_command("export", folder).output)


def run_command(command: str, folder: str) -> Result:
    return CliRunner().invoke(storage_commands, [command, folder])


# --- kinds of damage


def flip_bit(rng: random.Random, data: bytearray) -> None:
    data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)


def change_byte(rng: random.Random, data: bytearray) -> None:
    data[rng.randrange(len(data))] = rng.randrange(256)


def flip_bit_in_nonzero_byte(rng: random.Random, data: bytearray) -> None:
    """Flips a bit in a byte that is not zero, since most of the free space consists of zeros."""
    offset = rng.choice([offset for offset, byte in enumerate(data) if byte])
    data[offset] ^= 1 << rng.randrange(8)


def change_header_byte(rng: random.Random, data: bytearray) -> None:
    data[rng.randrange(HEADER_SIZE)] = rng.randrange(256)


def clear_sector(rng: random.Random, data: bytearray) -> None:
    start = rng.randrange(len(data) // SECTOR_SIZE) * SECTOR_SIZE
    data[start : start + SECTOR_SIZE] = bytes(SECTOR_SIZE)


def copy_page(rng: random.Random, data: bytearray) -> None:
    """Overwrites one page with another."""
    source, target = (rng.randrange(len(data) // PAGE_SIZE) * PAGE_SIZE for _ in range(2))
    data[target : target + PAGE_SIZE] = data[source : source + PAGE_SIZE]


def truncate(rng: random.Random, data: bytearray) -> None:
    del data[rng.randrange(1, len(data)) :]


def truncate_pages(rng: random.Random, data: bytearray) -> None:
    del data[rng.randrange(1, len(data) // PAGE_SIZE) * PAGE_SIZE :]


def duplicate_bytes(rng: random.Random, data: bytearray) -> None:
    """Inserts a copy of a few bytes, which shifts all bytes behind them."""
    start = rng.randrange(len(data))
    data[start:start] = data[start : start + rng.randrange(1, 64)]


def change_digit(rng: random.Random, data: bytearray) -> None:
    """Replaces a digit by another one, which changes a value but leaves valid JSON."""
    offsets = [offset for offset, byte in enumerate(data) if chr(byte) in "0123456789"]
    offset = rng.choice(offsets)
    data[offset] = ord(rng.choice([digit for digit in "0123456789" if ord(digit) != data[offset]]))


# The names are part of the random seeds.
DAMAGE_KINDS: dict[str, Callable[[random.Random, bytearray], None]] = {
    "bit flipped": flip_bit,
    "byte changed": change_byte,
    "bit of content flipped": flip_bit_in_nonzero_byte,
    "header changed": change_header_byte,
    "sector cleared": clear_sector,
    "page copied": copy_page,
    "cut off": truncate,
    "pages cut off": truncate_pages,
    "bytes doubled": duplicate_bytes,
    "digit changed": change_digit,
}


def damage_copy(intact: IntactDatabase, kind: str, seed: int, folder: str) -> str:
    """Copies an intact database to `folder`, damages the copy, and opens it with the commands and by a start.

    Returns SOUND where the damage has no effect, and DAMAGED where it is reported. Raises UndetectedDamage.
    """
    shutil.copytree(intact.folder, folder)
    path, rng = Path(folder) / DATABASE_FILE, random.Random(f"{kind} {seed}")
    data = bytearray(path.read_bytes())
    DAMAGE_KINDS[kind](rng, data)
    path.write_bytes(data)
    outcome = outcome_of_commands(intact, folder)
    start_outcome = outcome_of_start(intact, folder)
    if start_outcome != outcome:
        raise UndetectedDamage(f"{kind}, seed {seed}: {outcome} by the commands, {start_outcome} by a start")
    return outcome


def outcome_of_commands(intact: IntactDatabase, folder: str) -> str:
    """Returns SOUND or DAMAGED, as reported by check, show and export.

    Raises UndetectedDamage where the commands differ, end in an exception, print more than one line about the
    damage, or show other content than was written.
    """
    results = {name: run_command(name, folder) for name in ("check", "show", "export")}
    for name, result in results.items():
        if result.exception is not None and not isinstance(result.exception, SystemExit):
            raise UndetectedDamage(f"{name} ended in {result.exception!r}") from result.exception
    codes = {result.exit_code for result in results.values()}
    if codes == {0}:
        if results["export"].output != intact.exported:
            raise UndetectedDamage("the command export prints other content than was written")
        return SOUND
    if codes != {1}:
        raise UndetectedDamage(f"check, show and export end with different or unexpected exit codes: {codes}")
    for name in ("show", "export"):
        if results[name].output.count("\n") != 1:
            raise UndetectedDamage(f"{name} does not print exactly one line: {results[name].output!r}")
    return DAMAGED


def outcome_of_start(intact: IntactDatabase, folder: str) -> str:
    """Returns SOUND or DAMAGED, as reported by a start.

    Damage in the header may look like a newer schema version. Raises UndetectedDamage where the start reports
    an error other than these two, or finds other content than was written.
    """
    storage = Storage(folder)
    opened = storage.open()
    if opened.is_err():
        is_newer_version = str(opened.err_value.problem).startswith("schema version ")
        if not isinstance(opened.err_value, StorageDamagedError) and not is_newer_version:
            raise UndetectedDamage(f"the start does not report damage: {opened.err_value}")
        return DAMAGED
    facts, registers, _ = opened.ok_value
    storage.database.close()
    fields = ("promised", "accepted", "value")
    named_registers = {name: dict(zip(fields, register, strict=True)) for name, register in registers.items()}
    if json.dumps({"facts": facts, "registers": named_registers}) + "\n" != intact.exported:
        raise UndetectedDamage("a start finds other content than was written")
    return SOUND


def page_kinds(folder: str) -> set[str]:
    """Returns the kinds of the pages that a folder's database has."""
    # The first byte of a page's header is the type of the page.
    names_by_type = {2: "interior index", 5: "interior table", 10: "leaf index", 13: "leaf table"}
    data = Path(folder, DATABASE_FILE).read_bytes()
    pages = [data[start : start + PAGE_SIZE] for start in range(0, len(data), PAGE_SIZE)]
    kinds = {
        names_by_type.get(page[HEADER_SIZE if number == 0 else 0], "other")
        for number, page in enumerate(pages)
    }
    database = sqlite3.connect(os.path.join(folder, DATABASE_FILE))
    has_pointer_map = database.execute("pragma auto_vacuum").fetchone()[0] != 0
    database.close()
    return kinds | ({"pointer map"} if has_pointer_map else set())
