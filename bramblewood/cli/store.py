"""store info|check|list|get|compact|export|import|repair: a folder of the embedded store."""

import os

import typer

from .exit_codes import PROBLEM_FOUND, SUCCESS
from .output import fail, printable, progress, write_error, write_result
from .store_folder import FOLDER, JSON, read_folder

app = typer.Typer(
    help="A folder of the embedded store. Exit codes: 0 done, 1 damage found or no such key, "
    "2 invalid arguments, or a folder that can't be used."
)


def open_store(folder: str, new: bool = False):
    """The store of a folder, to be written by this process alone."""
    from time import time

    from ..store import tools
    from ..store.port import Folder
    from ..store.recovery import Refused
    from ..store.store import Store

    try:
        if not new:
            tools.must_be(folder)
        return Store(Folder(folder), time)
    except (Refused, OSError) as problem:
        fail(f"{folder}: {getattr(problem, 'strerror', None) or problem}")


def fill(folder: str, batches, what: str) -> int:
    """A new store of these batches; how many operations they hold."""
    store, count = open_store(folder, new=True), 0
    for operations in progress(batches, what):
        store.write(operations)
        store.commit()
        count += len(operations)
    store.close()
    return count


@app.command()
def info(folder: str = FOLDER, as_json: bool = JSON) -> None:
    """How much the folder holds, and in which files."""
    from ..store import tools

    found = read_folder(folder, tools.info)
    rows = [f"{name}: {value}" for name, value in found.items() if name != "files"]
    rows += [
        f"  {file['name']}  {file['kind']}  {file['bytes']} bytes  {file['holds']}" for file in found["files"]
    ]
    write_result(found, as_json, rows)


@app.command()
def check(folder: str = FOLDER, as_json: bool = JSON) -> None:
    """Read every byte and name each damaged record by file and offset; changes nothing."""
    from ..store import tools

    found = read_folder(folder, lambda port: tools.check(port, progress))
    rows = [
        f"{d['file']} at {d['offset']}: {d['what']}{'' if d['lost'] else ' (nothing lost)'}"
        for d in found["damaged"]
    ]
    rows += [f"never promised: {what}" for what in found["dropped"]]
    rows += [f"not the store's: {name}" for name in found["strangers"]]
    lost = any(damage["lost"] for damage in found["damaged"])
    rows.append(
        f"{found['keys']} keys, {found['files']} files, {found['bytes']} bytes: "
        + ("data was lost" if lost else "damaged, nothing lost" if found["damaged"] else "sound")
    )
    write_result(found, as_json, rows)
    raise typer.Exit(PROBLEM_FOUND if found["damaged"] else SUCCESS)


@app.command("list")
def list_keys(
    folder: str = FOLDER,
    prefix: str = typer.Argument("", help="only keys that begin so"),
    values: bool = typer.Option(False, "--values", help="values too"),
    as_json: bool = JSON,
) -> None:
    """The keys in order, one a line."""
    from ..store import tools

    for key, value in read_folder(folder, lambda port: tools.pairs(port, prefix.encode())):
        row = {"key": printable(key)} | ({"value": printable(value)} if values else {})
        write_result(row, as_json, ["\t".join(row.values())])


@app.command()
def get(
    folder: str = FOLDER, key: str = typer.Argument(..., help="the whole key"), as_json: bool = JSON
) -> None:
    """The value of one key."""
    from ..store import tools

    try:
        value = read_folder(folder, lambda port: tools.value(port, key.encode()))
    except tools.Unreadable as problem:
        write_error(f"{key}: {problem}")
        raise typer.Exit(PROBLEM_FOUND) from None
    if value is None:
        write_error(f"{key}: no such key")
        raise typer.Exit(PROBLEM_FOUND)
    write_result({"key": key, "value": printable(value)}, as_json, [printable(value)])


@app.command()
def compact(folder: str = FOLDER, as_json: bool = JSON) -> None:
    """Merge all tables to one; the manager must be stopped."""
    store = open_store(folder)
    before = sum(table.size for table in store.tables)
    try:
        for _ in progress(store.compact(), "compacting"):
            pass
        after = sum(table.size for table in store.tables)
        write_result(
            {"before": before, "after": after}, as_json, [f"{before} bytes of tables before, {after} after"]
        )
    except OSError as problem:
        fail(f"{folder}: {problem.strerror or problem}")
    finally:
        store.close()


@app.command()
def export(
    folder: str = FOLDER,
    file: str = typer.Argument(..., help="written whole, or not at all"),
    as_json: bool = JSON,
) -> None:
    """Write all keys and values to one checksummed file; the manager may go on meanwhile."""
    from ..store import tools

    try:
        count = tools.export(read_folder(folder, tools.operations_of), file, progress)
    except OSError as problem:
        fail(f"{file}: {problem.strerror}")
    size = os.path.getsize(file)
    write_result({"keys": count, "bytes": size}, as_json, [f"{count} keys, {size} bytes"])


@app.command("import")
def import_file(
    file: str = typer.Argument(..., help="what export wrote"),
    folder: str = typer.Argument(..., help="a new folder"),
    as_json: bool = JSON,
) -> None:
    """Make a new store of an exported file."""
    from ..store import tools

    try:
        tools.must_be_new(folder)
        batches = tools.exported(file)  # all of it is read and checked before anything is made
    except (OSError, tools.Unfit) as problem:
        fail(problem if isinstance(problem, tools.Unfit) else f"{problem.filename}: {problem.strerror}")
    count = fill(folder, batches, "importing")
    write_result({"keys": count}, as_json, [f"{count} keys"])


@app.command()
def repair(
    folder: str = FOLDER,
    new: str = typer.Argument(..., help="a new folder for what is sound"),
    as_json: bool = JSON,
) -> None:
    """Write what is sound to a new folder and say what is not; the old one is left alone."""
    from ..store import tools

    try:
        tools.must_be_new(new)
    except tools.Unfit as problem:
        fail(problem)
    found = read_folder(folder, tools.sound)
    fill(new, found.batches(), "writing")
    result = {"keys": found.count, "lost": found.lost}
    write_result(
        result, as_json, [f"{found.count} keys written to {new}", *(f"lost: {what}" for what in found.lost)]
    )
    raise typer.Exit(PROBLEM_FOUND if found.lost else SUCCESS)
