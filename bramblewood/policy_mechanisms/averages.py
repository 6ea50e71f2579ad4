"""Averages over reports, and the check of reported numbers."""

import math
from collections.abc import Iterable, Sequence
from typing import Any


def mean(values: Sequence[float]) -> float:
    """Return the arithmetic mean, or 0 if there are no values."""
    return sum(values) / len(values) if values else 0.0


def median(values: Iterable[float]) -> float:
    """Return the median, or 0 if there are no values; for an even count, the upper of the middle two."""
    ranked = sorted(values)
    return ranked[len(ranked) // 2] if ranked else 0.0


def is_nonnegative(*values: Any) -> bool:
    """Return whether all values are finite numbers of at least 0."""
    return all(isinstance(value, (int, float)) and math.isfinite(value) and value >= 0 for value in values)
