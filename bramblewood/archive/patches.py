"""Differences between two JSON values, so that a change of a large one travels as a small one. Pure."""

from typing import Any

SET, DROP, INTO = "=", "-", "+"


def difference(old: Any, new: Any) -> dict | None:
    """What makes `new` of `old`; None where they are equal. Maps are compared key by key, all else as a
    whole.
    """
    if old == new:
        return None
    if not isinstance(old, dict) or not isinstance(new, dict):
        return {SET: new}
    into = {}
    for key, value in new.items():
        if key not in old:
            into[key] = {SET: value}
        elif (inner := difference(old[key], value)) is not None:
            into[key] = inner
    made: dict = {INTO: into}
    if gone := [key for key in old if key not in new]:
        made[DROP] = gone
    return made


def patched(old: Any, change: dict | None) -> Any:
    """`new` from `old` and their difference; `old` itself is left as it is."""
    if change is None:
        return old
    if SET in change:
        return change[SET]
    made = {key: value for key, value in old.items() if key not in change.get(DROP, ())}
    for key, inner in change[INTO].items():
        made[key] = patched(made.get(key), inner)
    return made
