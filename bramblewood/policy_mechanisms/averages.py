"""Averages over reports, and the check that a reported number can be used in one."""

import math
from collections.abc import Iterable, Sequence
from typing import Any


def mean(values: Sequence[float]) -> float:
    """The arithmetic mean; 0 of no values."""
    return sum(values) / len(values) if values else 0.0


def median(values: Iterable[float]) -> float:
    """The median, the upper one of an even count; 0 of no values."""
    ranked = sorted(values)
    return ranked[len(ranked) // 2] if ranked else 0.0


def is_usable(*values: Any) -> bool:
    """Whether all values are numbers that are finite and not negative."""
    return all(isinstance(value, (int, float)) and math.isfinite(value) and value >= 0 for value in values)
