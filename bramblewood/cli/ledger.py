"""ledger show|explain: what a manager remembers, and what a restart now would make of it."""

from time import time
from typing import Any

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
    from ..store import tools

    memory = Memory({}, 0.0)
    return memory, memory.load(read_folder(folder, lambda port: tools.pairs(port, b"")))


def as_value(memory: Any, unusable: list[str]) -> dict:
    """All that is remembered, as `--json` gives it."""
    return {
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
                "operation": operation,
                "level": a.level,
                "retry": a.retry,
                "carried": a.carried,
                "life": a.life,
                "at": a.at,
            }
            for (table, operation), a in sorted(memory.admitted.items())
        ],
        "slices": {number: lines.lines for number, lines in sorted(memory.lines.items())},
        "not usable": unusable,
    }


def worker_lines(memory: Any, now: float) -> list[str]:
    """What is remembered of workers, for people."""
    lines = [
        f"closed: {name} {c.state}, version {c.version}, {now - c.at:.0f} s ago"
        for name, c in sorted(memory.closed.items())
    ]
    lines += [f"withdrawn: {name}" for name in sorted(memory.withdrawn)]
    lines += [
        f"doubted: {name}, {doubt.until - now:.1f} s left" for name, doubt in sorted(memory.doubts.items())
    ]
    return lines


def admission_lines(memory: Any) -> list[str]:
    """What is remembered of admission levels, for people."""
    return [
        f"let in: table {'all' if table < 0 else table}, operation {operation}: level {a.level:g}, way "
        f"{a.retry}, {'carried out' if a.carried else 'not known to be carried out'}, life {a.life}"
        for (table, operation), a in sorted(memory.admitted.items())
    ]


def as_lines(memory: Any, unusable: list[str], now: float) -> list[str]:
    """All that is remembered, for people; now: s since the epoch."""
    life = memory.life
    careful = f"; careful for {life.careful_until - now:.1f} s" if life.careful_until > now else ""
    first = (
        f"life {life.number}, last alive {now - life.alive:.1f} s ago; list version {life.version}; "
        f"marks up to {life.marks}{careful}"
    )
    slices = [
        f"slice {number}: " + ", ".join(f"{name} {part:g}" for name, part in lines.lines.items())
        for number, lines in sorted(memory.lines.items())
    ]
    not_usable = [f"not usable: {what}" for what in unusable]
    return [first, *worker_lines(memory, now), *admission_lines(memory), *slices, *not_usable]


@app.command()
def show(folder: str = FOLDER, as_json: bool = JSON) -> None:
    """All that is remembered."""
    memory, unusable = remembered(folder)
    write_result(as_value(memory, unusable), as_json, as_lines(memory, unusable, time()))


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
