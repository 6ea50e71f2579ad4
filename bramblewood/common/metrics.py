"""Formats metrics in the text format that a monitoring system scrapes.

Metric names are fixed in the program and never come from a request, so their number is bounded.
"""

PREFIX = "bramblewood_"


def format_metrics(values: dict[str, float]) -> str:
    """Return one line `bramblewood_NAME VALUE` for each metric, sorted by name."""
    return "".join(f"{PREFIX}{name} {value}\n" for name, value in sorted(values.items()))
