"""What the measurements share: five runs, the middle one and the spread, the machine's size."""

import os
import statistics
import time
from collections.abc import Callable

RUNS = 5


def timed(call: Callable[[], object]) -> float:
    """Seconds that a call takes."""
    began = time.perf_counter()
    call()
    return time.perf_counter() - began


def ratios(measure: Callable[[], tuple[float, float]], runs: int = RUNS) -> str:
    """ours over the baseline, by pairs measured in turn: the middle of five, least and most."""
    found = sorted(ours / plain for ours, plain in (measure() for _ in range(runs)))
    return f"{statistics.median(found):.2f} ({found[0]:.2f} to {found[-1]:.2f})"


def row(what: str, found: str, aim: str = "") -> None:
    print(f"{what:<64} {found:<26} {aim}", flush=True)


def machine() -> None:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 30
    print(f"{os.cpu_count()} cores, {memory} GiB; ratios: the middle of {RUNS} runs (least to most)\n")
