"""The commands `storage check|show|export`: a look at a controller's folder, which may be in use."""

import json
import os
import shutil
import sqlite3
import sys
import tempfile

import click

from ..common.configuration_parser import parse_revision
from ..controller.storage import DATABASE_FILE, SCHEMA_VERSION, read_database
from .exit_codes import PROBLEM_FOUND, SUCCESS
from .options import JSON
from .output import fail, write_line, write_result

REGISTER_FIELDS = ("promised", "accepted", "value")
# facts that only a disk with a name has; `born` is form 1's
DISK_NAME_FACTS = {"disk", "born"}


@click.group()
def storage() -> None:
    """Inspect a controller's data folder: check, show, export.

    Nothing there is changed, and the controller may be running.
    """


def open_copy(folder: str) -> sqlite3.Connection:
    """The database copied to memory, as a look must neither lock nor recover the controller's own file."""
    path = os.path.join(folder, DATABASE_FILE)
    if not os.path.exists(path):
        fail(f"{path}: no such file")
    with tempfile.TemporaryDirectory() as copies:
        try:
            for suffix in ("", "-wal"):
                if os.path.exists(path + suffix):
                    shutil.copy(path + suffix, os.path.join(copies, DATABASE_FILE + suffix))
            database, copy = sqlite3.connect(os.path.join(copies, DATABASE_FILE)), sqlite3.connect(":memory:")
            database.backup(copy)
            database.close()
        except (sqlite3.Error, OSError) as problem:
            fail(f"{path}: {problem}")
    return copy


def contents_of(database: sqlite3.Connection) -> dict:
    """Facts and registers, as `--json` gives them."""
    stored = read_database(database)
    registers = {
        name: dict(zip(REGISTER_FIELDS, register, strict=True))
        for name, register in stored["registers"].items()
    }
    return {"facts": stored["facts"], "registers": registers}


def file_faults(database: sqlite3.Connection) -> list[str]:
    """What is wrong with the file itself."""
    form = database.execute("pragma user_version").fetchone()[0]
    faults = (
        [] if 0 < form <= SCHEMA_VERSION else [f"form {form}, and this program knows 1 to {SCHEMA_VERSION}"]
    )
    return faults + [row[0] for row in database.execute("pragma integrity_check") if row[0] != "ok"]


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
            faults += content_faults(contents_of(database))
    except (sqlite3.Error, ValueError) as problem:
        faults.append(str(problem))
    write_result(faults, as_json, faults or ["sound"])
    sys.exit(PROBLEM_FOUND if faults else SUCCESS)


@storage.command("show")
@click.argument("folder")
@JSON
def show(folder: str, as_json: bool) -> None:
    """What lies there: who votes, and what each register promised and accepted."""
    contents = contents_of(open_copy(folder))
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
    """All of it as one JSON value."""
    write_line(json.dumps(contents_of(open_copy(folder))))
