"""What the store decides: when a log is sealed, what is merged, when a failed disc is tried again. Pure.

Nothing here reads a clock or a file; equal states give equal plans.
"""

from collections.abc import Sequence
from typing import NamedTuple

from .sketch import distinct

SEAL_BYTES = 4 << 20  # bytes of operations in memory after which they become a table; read anew in 0.1 s
SEAL_LOGS = 16  # logs after which the same is done: a manager that restarts often writes short ones
LOG_BYTES = 1 << 20  # bytes of a log before the next is begun; a damaged one costs no more than that
ALIKE = 4.0  # times that a table may outgrow its neighbour and still be merged with it
FEWEST = 4  # tables merged at once; fewer rewrite the same bytes too often
MOST = 12  # tables in all above which neighbours are merged whatever their sizes
WASTE = 0.5  # share of a run's operations that is void, by estimate, above which two are merged
WAITS = (0.5, 30.0)  # s before a failed disc is tried again: first, longest; doubled between
MOST_DOUBLED = 16  # doublings; any first wait is past the longest by then


class Table(NamedTuple):
    """What the plan knows of a table; in order of age, oldest first."""

    number: int
    size: int  # bytes of the file
    entries: int  # operations in it, deletions included
    deletions: int
    sound: bool = True
    sketch: tuple[int, ...] = ()  # the smallest hashes of its keys; empty where they can't be read


def seal_due(held: int, logs: int) -> bool:
    """Whether what is held in memory (bytes) over so many logs should become a table."""
    return held >= SEAL_BYTES or logs >= SEAL_LOGS and held > 0


def log_full(size: int) -> bool:
    return size >= LOG_BYTES


def merge(tables: Sequence[Table]) -> tuple[int, int] | None:
    """The run of neighbours, first and behind the last, that should become one table, or None.

    A damaged table is never merged, nor anything across it: what it hides would come to light again.
    """
    best = None
    for first, last in sound_runs(tables):
        for begin in range(first, last):
            end = begin + 1
            while end < last and alike(tables[begin : end + 1]):
                end += 1
            if end - begin >= FEWEST:
                cost = sum(table.size for table in tables[begin:end]) / (end - begin)
                best = min(best or (cost, begin, end), (cost, begin, end))
        if best is None:
            best = wasteful(tables, first, last)
        if best is None and len(tables) > MOST and last - first >= 2:
            pairs = [(tables[k].size + tables[k + 1].size, k, k + 2) for k in range(first, last - 1)]
            best = min(pairs)
    return best and (best[1], best[2])


def sound_runs(tables: Sequence[Table]) -> list[tuple[int, int]]:
    runs, begin = [], 0
    for k, table in enumerate([*tables, None]):
        if table is None or not table.sound:
            if k > begin:
                runs.append((begin, k))
            begin = k + 1
    return runs


def alike(tables: Sequence[Table]) -> bool:
    sizes = [table.size for table in tables]
    return max(sizes) <= ALIKE * min(sizes)


def wasteful(tables: Sequence[Table], first: int, last: int) -> tuple[float, int, int] | None:
    """The oldest tables together, where by estimate much of them is void: only there do deletions end."""
    if first or last < 2:
        return None
    run = tables[first:last]
    entries, deletions = sum(table.entries for table in run), sum(table.deletions for table in run)
    live = distinct(table.sketch for table in run) - deletions if all(t.sketch for t in run) else entries
    if entries - live > WASTE * entries:
        return float(sum(table.size for table in run)), first, last
    return None


def wait_after(failures: int) -> float:
    """Seconds till the disc is tried again after so many failures in a row."""
    first, longest = WAITS
    return min(first * 2 ** min(max(failures - 1, 0), MOST_DOUBLED), longest)
