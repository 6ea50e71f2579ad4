"""Differences between two JSON values, so that a change of a large one travels as a small one. Pure.

A difference is a JSON map of one of two forms, stored and sent as it is:

    {"=": value}                                    the new value, in place of the old one
    {"+": {key: difference, ...}, "-": [key, ...]}  of a map: keys that change or are new, and keys that are
                                                    gone ("-" is left out where none is)

Values are never changed in place: what two of them share is the same object, and is passed over unread.
"""

from collections.abc import Iterator
from itertools import compress, repeat
from operator import is_not, ne
from typing import Any
from weakref import ref

SET, REMOVE_KEYS, PATCH_KEYS = "=", "-", "+"
MISSING = object()  # in place of the value of a key that is not there
NESTED_TYPES = {dict, list, tuple}


class PatchedDict(dict):
    """A map that `apply_difference` made. It knows of which one, as long as that is in use, and by which
    difference, so that nobody needs to look for it again. Its copies are plain.

    base: a weak reference to the map it was made of; change: the difference to that.
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
    types = [*map(type, old)]
    if types != [*map(type, new)]:
        return False
    return NESTED_TYPES.isdisjoint(types) or all(map(equal_as_json, old, new))


def changed_keys(old: dict, new: dict) -> Iterator[str]:
    """Keys of `new` whose values are other objects than those of `old`; by its change, where it was made of
    `old` and knows it.
    """
    if isinstance(new, PatchedDict) and new.base() is old:
        return iter(new.change[PATCH_KEYS])
    return compress(new, map(is_not, map(old.get, new, repeat(MISSING)), new.values()))


def difference(old: Any, new: Any) -> dict | None:
    """What makes `new` of `old`; None where they are equal as JSON. Maps are compared key by key, all else
    as a whole.
    """
    if old is new:
        return None
    if isinstance(new, PatchedDict) and new.base() is old:
        return new.change
    if isinstance(old, dict) and isinstance(new, dict):
        return map_difference(old, new)
    return None if equal_as_json(old, new) else {SET: new}


def map_difference(old: dict, new: dict) -> dict | None:
    """The change that makes one map the other, in its form on the wire; None where they are equal."""
    changes, added = {}, 0
    for key in changed_keys(old, new):
        if key not in old:
            changes[key], added = {SET: new[key]}, added + 1
        elif (inner := difference(old[key], new[key])) is not None:
            changes[key] = inner
    removed = [key for key in old if key not in new] if len(old) + added > len(new) else []
    order = patched_key_order(old, changes, removed) if added or removed else old
    if any(map(ne, order, new)):
        return {SET: new}  # keys come in another order than `apply_difference` would give them
    if not changes and not removed:
        return None
    return {PATCH_KEYS: changes, REMOVE_KEYS: removed} if removed else {PATCH_KEYS: changes}


def patched_key_order(old: dict, changes: dict, removed: list[str]) -> dict[str, None]:
    """The keys in the order in which `apply_difference` will have them."""
    order = dict.fromkeys(old)
    for key in removed:
        del order[key]
    order.update(dict.fromkeys(changes))
    return order


def apply_difference(old: Any, change: dict | None) -> Any:
    """The new value, of the old one and their difference (None: the same). `old` itself is left as it is."""
    if change is None:
        return old
    if SET in change:
        return change[SET]
    patched = PatchedDict(old)
    # a plain map can't be referred to without keeping it: `object()` is none that anybody holds
    patched.change, patched.base = change, ref(old) if isinstance(old, PatchedDict) else object
    for key in change.get(REMOVE_KEYS, ()):
        patched.pop(key, None)
    for key, inner in change[PATCH_KEYS].items():
        patched[key] = apply_difference(patched.get(key), inner)
    return patched
