"""The commands `storage check|show|export`: a look at a controller's folder, which may be in use."""

import json
import os
import shutil
import sqlite3
import sys
import tempfile
import time
from typing import NoReturn

import click

from ..common.configuration_parser import parse_revision
from ..controller.storage_errors import READ_ERRORS
from ..controller.storage_reader import StoredState, find_file_faults, read_database, schema_version
from ..controller.storage_schema import DATABASE_FILE, SCHEMA_VERSION
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import JSON
from .output import fail, write_line, write_result

REGISTER_FIELDS = ("promised", "accepted", "value")
# facts that only a disk with a name has; `born` is form 1's
DISK_NAME_FACTS = {"disk", "born"}
FILE_ENDINGS = ("", "-wal")  # of the database and its log
MAX_COPIES = 5  # tries at a copy that the controller's writes don't cross
COPY_RETRY_DELAY = 0.1  # s


@click.group()
def storage() -> None:
    """Inspect a controller's data folder: check, show, export.

    Nothing there is changed, and the controller may be running.
    """


def file_states(path: str) -> list[tuple[int, int]]:
    """Size and time of the last write of the database and its log; what is not there is left out."""
    found = (os.stat(path + ending) for ending in FILE_ENDINGS if os.path.exists(path + ending))
    return [(one.st_size, one.st_mtime_ns) for one in found]


def copy_files(path: str, folder: str) -> None:
    """Copy the database and its log as they stood at one moment."""
    for _ in range(MAX_COPIES):
        before = file_states(path)
        for ending in FILE_ENDINGS:
            if os.path.exists(path + ending):
                shutil.copy(path + ending, os.path.join(folder, DATABASE_FILE + ending))
        if file_states(path) == before:
            return
        time.sleep(COPY_RETRY_DELAY)


def open_copy(folder: str) -> sqlite3.Connection:
    """The database copied to memory, as a look must neither lock nor recover the controller's own file.

    Raises sqlite3.Error where the file is no database. Ends the command where there is no file.
    """
    path = os.path.join(folder, DATABASE_FILE)
    if not os.path.exists(path):
        fail(f"{path}: no such file")
    with tempfile.TemporaryDirectory() as copies:
        try:
            copy_files(path, copies)
        except OSError as problem:
            fail(f"{path}: {problem}")
        database, copy = sqlite3.connect(os.path.join(copies, DATABASE_FILE)), sqlite3.connect(":memory:")
        try:
            database.backup(copy)
        finally:
            database.close()
    return copy


def contents_of(stored: StoredState) -> dict:
    """Facts and registers, as `--json` gives them."""
    registers = {
        name: dict(zip(REGISTER_FIELDS, register, strict=True)) for name, register in stored.registers.items()
    }
    return {"facts": stored.facts, "registers": registers}


def read_contents(folder: str) -> dict:
    """Facts and registers of a sound folder; ends the command with one line where it is damaged."""
    try:
        database = open_copy(folder)
        if faults := file_faults(database):
            fail_as_damaged(folder, faults[0])
        return contents_of(read_database(database))
    except READ_ERRORS as problem:
        fail_as_damaged(folder, problem)


def fail_as_damaged(folder: str, problem: object) -> NoReturn:
    """End the command: this folder is damaged."""
    fail(f"{os.path.join(folder, DATABASE_FILE)}: damaged: {problem}", PROBLEM_FOUND)


def file_faults(database: sqlite3.Connection) -> list[str]:
    """What is wrong with the file itself."""
    form = schema_version(database)
    faults = (
        [] if 0 < form <= SCHEMA_VERSION else [f"form {form}, and this program knows 1 to {SCHEMA_VERSION}"]
    )
    return faults + find_file_faults(database)


def content_faults(contents: dict) -> list[str]:
    """What is wrong with what a sound file holds."""
    faults = []
    if not DISK_NAME_FACTS & contents["facts"].keys():
        faults.append("the disk has no name: no archive has written to it")
    config = contents["registers"].get("config", {}).get("value")
    if config and (number := parse_revision(config["config"].get("Revision"))) != config["n"]:
        faults.append(f"the configuration says r{number}, its register r{config['n']}")
    return faults


@storage.command("check")
@click.argument("folder")
@JSON
def check(folder: str, as_json: bool) -> None:
    """Whether the file is whole and of a form that this program knows.

    Exit codes: 0 sound, 1 damaged, 2 unreadable.
    """
    faults = []
    try:
        database = open_copy(folder)
        faults += file_faults(database)
        if not faults:
            faults += content_faults(contents_of(read_database(database)))
    except (*READ_ERRORS, AttributeError) as problem:
        faults.append(str(problem))
    write_result(faults, as_json, faults or ["sound"])
    sys.exit(PROBLEM_FOUND if faults else SUCCESS)


@storage.command("show")
@click.argument("folder")
@JSON
def show(folder: str, as_json: bool) -> None:
    """What lies there: who votes, and what each register promised and accepted.

    Exit codes: 0 shown, 1 damaged, 2 unreadable.
    """
    contents = read_contents(folder)
    lines = [f"{name}: {value}" for name, value in contents["facts"].items()]
    for name, register in contents["registers"].items():
        version = register["value"]["n"] if register["value"] else 0
        lines.append(
            f"{name}: promised {tuple(register['promised'])}, accepted {tuple(register['accepted'])}, "
            f"version {version}"
        )
    write_result(contents, as_json, lines)


@storage.command("export")
@click.argument("folder")
def export(folder: str) -> None:
    """All of it as one JSON value.

    Exit codes: 0 printed, 1 damaged, 2 unreadable.
    """
    write_line(json.dumps(read_contents(folder)))
