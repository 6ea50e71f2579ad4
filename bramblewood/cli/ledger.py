"""ledger show|explain: what a manager remembers, and what a restart now would make of it."""

from time import time

import typer

from .exit_codes import PROBLEM_FOUND
from .output import write_result
from .store_folder import FOLDER, JSON, read_folder

app = typer.Typer(
    help="What a manager's store remembers. Exit codes: 0 done, 1 nothing remembered of that "
    "worker, 2 invalid arguments, or a folder that can't be used."
)


def remembered(folder: str):
    """The ledger's memory as the folder has it, read only."""
    from ..ledger.memory import Memory
    from ..startup_settings import StartupSettings
    from ..store import tools

    memory = Memory(StartupSettings(), 0.0)
    return memory, memory.load(read_folder(folder, lambda port: tools.pairs(port, b"")))


@app.command()
def show(folder: str = FOLDER, as_json: bool = JSON) -> None:
    """All that is remembered."""
    memory, odd = remembered(folder)
    now = time()
    value = {
        "life": {name: getattr(memory.life, name) for name in memory.life.__struct_fields__},
        "closed": {
            name: {"state": c.state, "started": c.started, "version": c.version, "at": c.at}
            for name, c in sorted(memory.closed.items())
        },
        "withdrawn": sorted(memory.withdrawn),
        "doubts": {
            name: {"until": doubt.until, "doubts": doubt.doubts}
            for name, doubt in sorted(memory.doubts.items())
        },
        "admitted": [
            {
                "table": table,
                "operation": k,
                "level": a.level,
                "retry": a.retry,
                "carried": a.carried,
                "life": a.life,
                "at": a.at,
            }
            for (table, k), a in sorted(memory.admitted.items())
        ],
        "slices": {number: lines.lines for number, lines in sorted(memory.lines.items())},
        "not usable": odd,
    }
    life = memory.life
    careful = f"; careful for {life.careful_until - now:.1f} s" if life.careful_until > now else ""
    rows = [
        f"life {life.number}, last alive {now - life.alive:.1f} s ago; list version {life.version}; "
        f"marks up to {life.marks}{careful}"
    ]
    rows += [
        f"closed: {name} {c.state}, version {c.version}, {now - c.at:.0f} s ago"
        for name, c in sorted(memory.closed.items())
    ]
    rows += [f"withdrawn: {name}" for name in sorted(memory.withdrawn)]
    rows += [
        f"doubted: {name}, {doubt.until - now:.1f} s left" for name, doubt in sorted(memory.doubts.items())
    ]
    rows += [
        f"let in: table {'all' if table < 0 else table}, operation {k}: level {a.level:g}, way "
        f"{a.retry}, {'carried out' if a.carried else 'not known to be carried out'}, life {a.life}"
        for (table, k), a in sorted(memory.admitted.items())
    ]
    rows += [
        f"slice {number}: " + ", ".join(f"{name} {part:g}" for name, part in lines.lines.items())
        for number, lines in sorted(memory.lines.items())
    ]
    write_result(value, as_json, rows + [f"not usable: {what}" for what in odd])


@app.command()
def explain(
    folder: str = FOLDER, worker: str = typer.Argument(..., help="the worker's id"), as_json: bool = JSON
) -> None:
    """What a restart now would make of a worker, and why."""
    memory, _ = remembered(folder)
    said = memory.explain(worker, time())
    write_result({"worker": worker, "said": said}, as_json, [f"{worker}: {text}" for text in said])
    known = worker in memory.closed or worker in memory.withdrawn or worker in memory.doubts
    if not known and not any(worker in lines.lines for lines in memory.lines.values()):
        raise typer.Exit(PROBLEM_FOUND)
