"""Metrics in the text form that monitoring scrapes.

Names come from the program, never from a request, so that their number is bounded.
"""

PREFIX = "bramblewood_"


def format_metrics(values: dict[str, float]) -> str:
    """One line `bramblewood_NAME VALUE` a metric, sorted by name."""
    return "".join(f"{PREFIX}{name} {value}\n" for name, value in sorted(values.items()))
