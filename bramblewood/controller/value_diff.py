"""Differences between two JSON values, by which a small change of a large value is sent or stored.

This module does no input or output.

A difference is a JSON map. It is stored and sent in one of two forms.

    {"=": value}
    {"+": {key: difference, ...}, "-": [key, ...]}

In the first form, the new value replaces the old one. The second form describes a change of a map: "+" holds
the keys that change or are new, and "-" holds the keys that are removed. "-" is omitted if no key is removed.

Values are never changed in place. Two versions of a value share the same objects where they are equal, and a
comparison skips shared objects.
"""

from collections.abc import Iterator
from itertools import compress, repeat
from operator import is_not, ne
from typing import Any
from weakref import ref

SET, REMOVE_KEYS, PATCH_KEYS = "=", "-", "+"
MISSING = object()  # stands for the value of a key that does not exist
NESTED_TYPES = {dict, list, tuple}


class PatchedDict(dict):
    """A map that `apply_difference` returned, together with the difference that produced it.

    `difference` and `changed_keys` use it to avoid a comparison with the map that was patched. Copies and
    pickles are plain maps.

    base_ref: a weak reference to the map that was patched; for a plain dict, the class `object` (see
    `apply_difference`). change: the difference that was applied to the map.
    """

    __slots__ = ("base_ref", "change", "__weakref__")
    base_ref: Any
    change: dict

    def __reduce__(self) -> tuple:
        return dict, ({**self},)


def equal_as_json(old: Any, new: Any) -> bool:
    """Returns whether two values are equal as JSON text.

    Python's `==` is not sufficient. It treats 1, 1.0 and true as equal, and it ignores the order of the keys
    of a map. The order matters because the oldest past versions of a configuration are removed in that order.
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
    """Returns the keys of `new` whose values are not the same objects as in `old`.

    If `new` was produced by patching `old`, these are the keys in its recorded difference, and no value is
    compared.
    """
    if isinstance(new, PatchedDict) and new.base_ref() is old:
        return iter(new.change[PATCH_KEYS])
    return compress(new, map(is_not, map(old.get, new, repeat(MISSING)), new.values()))


def difference(old: Any, new: Any) -> dict | None:
    """Returns the difference that turns `old` into `new`, None where they are equal as JSON text.

    Maps are compared key by key. All other values are compared as a whole.
    """
    if old is new:
        return None
    if isinstance(new, PatchedDict) and new.base_ref() is old:
        return new.change
    if isinstance(old, dict) and isinstance(new, dict):
        return map_difference(old, new)
    return None if equal_as_json(old, new) else {SET: new}


def map_difference(old: dict, new: dict) -> dict | None:
    """Returns the difference between two maps, None where they are equal as JSON text.

    If `apply_difference` would give the keys another order than that of `new`, the difference replaces the
    map.
    """
    changes, added_count = {}, 0
    for key in changed_keys(old, new):
        if key not in old:
            changes[key], added_count = {SET: new[key]}, added_count + 1
        elif (child_difference := difference(old[key], new[key])) is not None:
            changes[key] = child_difference
    removed = [key for key in old if key not in new] if len(old) + added_count > len(new) else []
    order = patched_key_order(old, changes, removed) if added_count or removed else old
    if any(map(ne, order, new)):
        return {SET: new}
    if not changes and not removed:
        return None
    return {PATCH_KEYS: changes, REMOVE_KEYS: removed} if removed else {PATCH_KEYS: changes}


def patched_key_order(old: dict, changes: dict, removed: list[str]) -> dict[str, None]:
    """Returns the keys in the order that `apply_difference` gives them, as the keys of a map."""
    order = dict.fromkeys(old)
    for key in removed:
        del order[key]
    order.update(dict.fromkeys(changes))
    return order


def apply_difference(old: Any, change: dict | None) -> Any:
    """Returns the result of applying the difference `change` to `old`. None stands for no difference.

    `old` is not modified.
    """
    if change is None:
        return old
    if SET in change:
        return change[SET]
    patched = PatchedDict(old)
    # A plain dict cannot be referenced weakly, and a strong reference would keep it alive. For a plain dict,
    # `base_ref` is therefore the class `object`. A call of it returns a new object, which is not identical to
    # any map.
    patched.change, patched.base_ref = change, ref(old) if isinstance(old, PatchedDict) else object
    for key in change.get(REMOVE_KEYS, ()):
        patched.pop(key, None)
    for key, child_difference in change[PATCH_KEYS].items():
        patched[key] = apply_difference(patched.get(key), child_difference)
    return patched
