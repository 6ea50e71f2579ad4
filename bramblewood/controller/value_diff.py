"""Differences between two JSON values, so that a change of a large one travels as a small one. Pure.

Values are never changed in place: what two of them share is the same object, and is passed over unread.
"""

from collections.abc import Iterator
from itertools import compress, repeat
from operator import is_not, ne
from typing import Any
from weakref import ref

SET, REMOVE_KEYS, PATCH_KEYS = "=", "-", "+"
MISSING = object()
NESTED = {dict, list, tuple}


class PatchedDict(dict):
    """A map that `patched` made. It knows of which one, as long as that is in use, and by which difference,
    so that nobody needs to look for it again. Its copies are plain.
    """

    __slots__ = ("base", "change", "__weakref__")
    base: Any
    change: dict

    def __reduce__(self) -> tuple:
        return dict, ({**self},)


def equal_as_json(old: Any, new: Any) -> bool:
    """Equal as JSON texts: 1, 1.0 and true are three values though Python calls them equal, and so are two
    orders of a map's keys (the oldest of a configuration's past versions are forgotten by their order).
    """
    if old is new:
        return True
    if type(old) is not type(new) or old != new:
        return False
    if isinstance(old, dict):
        return [*old] == [*new] and all(map(equal_as_json, old.values(), new.values()))
    if not isinstance(old, (list, tuple)):
        return True
    kinds = [*map(type, old)]
    return kinds == [*map(type, new)] and (NESTED.isdisjoint(kinds) or all(map(equal_as_json, old, new)))


def changed_keys(old: dict, new: dict) -> Iterator[str]:
    """Keys of `new` whose values are other objects than those of `old`."""
    return compress(new, map(is_not, map(old.get, new, repeat(MISSING)), new.values()))


def difference(old: Any, new: Any) -> dict | None:
    """What makes `new` of `old`; None where they are the same. Maps are compared key by key, all else as a
    whole.
    """
    if old is new:
        return None
    if isinstance(new, PatchedDict) and new.base() is old:
        return new.change
    if not isinstance(old, dict) or not isinstance(new, dict):
        return None if equal_as_json(old, new) else {SET: new}
    into, added = {}, 0
    for key in changed_keys(old, new):
        if key not in old:
            into[key], added = {SET: new[key]}, added + 1
        elif (inner := difference(old[key], new[key])) is not None:
            into[key] = inner
    gone = [key for key in old if key not in new] if len(old) + added > len(new) else []
    order = old  # in which `patched` will have the keys
    if added or gone:
        order = dict.fromkeys(old)
        for key in gone:
            del order[key]
        order.update(dict.fromkeys(into))
    if any(map(ne, order, new)):
        return {SET: new}
    if not into and not gone:
        return None
    return {PATCH_KEYS: into, REMOVE_KEYS: gone} if gone else {PATCH_KEYS: into}


def apply_difference(old: Any, change: dict | None) -> Any:
    """`new` from `old` and their difference; `old` itself is left as it is."""
    if change is None:
        return old
    if SET in change:
        return change[SET]
    made = PatchedDict(old)
    # a plain map can't be referred to without keeping it: `object()` is none that anybody holds
    made.change, made.base = change, ref(old) if isinstance(old, PatchedDict) else object
    for key in change.get(REMOVE_KEYS, ()):
        made.pop(key, None)
    for key, inner in change[PATCH_KEYS].items():
        made[key] = apply_difference(made.get(key), inner)
    return made
