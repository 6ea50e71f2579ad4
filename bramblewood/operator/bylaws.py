"""The operator's own rules for a manager: every key of their file, its default, and when a change acts."""

import difflib
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from .expressions import Atom, Form, Unclear, Word, read


class Faulty(Exception):
    """A file that can't be used; the text names file, line and key."""


class StoreTerms(NamedTuple):
    """How what must last is kept. Times in s."""

    folder: str
    flush: str  # "apart": by a process of its own; "in-loop"
    must_exist: bool  # whether a missing store counts as one that was lost
    background: float  # s of each turn for sealing and merging
    hold: float  # s that orders wait at most for their promise; those that need none then go
    keep: float  # s that a closed worker is remembered


class Bylaws(NamedTuple):
    path: str = ""
    store: StoreTerms | None = None


class Key(NamedTuple):
    kind: str  # in words, for messages
    read: Callable[[Any], Any]  # raises ValueError
    default: Any  # ... for one that must be there
    at_once: bool  # whether SIGHUP lets a change act


def text(value: Any) -> str:
    if isinstance(value, Word) or not isinstance(value, str) or not value:
        raise ValueError
    return value


def truth(value: Any) -> bool:
    if not isinstance(value, Word) or value not in ("yes", "no"):
        raise ValueError
    return value == "yes"


def one_of(*words: str) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if not isinstance(value, Word) or value not in words:
            raise ValueError
        return str(value)

    return check


def between(least: float, most: float) -> Callable[[Any], float]:
    def check(value: Any) -> float:
        if isinstance(value, str) or not math.isfinite(value) or not least <= value <= most:
            raise ValueError
        return float(value)

    return check


STORE = {
    "folder": Key("a text, the path of a folder on a lasting disc", text, ..., False),
    "flush": Key("apart or in-loop", one_of("apart", "in-loop"), "apart", False),
    "must-exist": Key("yes or no", truth, False, False),
    "background": Key("seconds from 0.0005 to 0.05", between(0.0005, 0.05), 0.001, True),
    "hold": Key("seconds from 0 to 2", between(0.0, 2.0), 0.25, True),
    "keep": Key("seconds from 60 to 2592000", between(60.0, 2592000.0), 86400.0, True),
}
SECTIONS: dict[str, tuple[Mapping[str, Key], Callable[..., Any]]] = {"store": (STORE, StoreTerms)}


def nearest(word: str, known: Any) -> str:
    close = difflib.get_close_matches(word, list(known), 1)
    return f"; did you mean {close[0]}?" if close else f"; known are {', '.join(known)}"


def load(path: str) -> Bylaws:
    """The file at this path as one checked value; raises Faulty with one line."""
    try:
        with open(path, encoding="utf-8") as file:
            found = file.read()
    except OSError as problem:
        raise Faulty(f"{path}: {problem.strerror}") from None
    except UnicodeDecodeError:
        raise Faulty(f"{path}: not UTF-8") from None
    try:
        return check(path, read(found))
    except Unclear as problem:
        raise Faulty(f"{path}: {problem}") from None


def check(path: str, forms: tuple) -> Bylaws:
    sections: dict[str, Any] = {}
    for form in forms:
        where = f"{path}: line {form.line}"
        if not isinstance(form, Form) or form.head is None:
            raise Faulty(f"{where}: expected a section such as (store ...)")
        if form.head not in SECTIONS:
            raise Faulty(f"{where}: {form.head}: no such section{nearest(form.head, SECTIONS)}")
        if form.head in sections:
            raise Faulty(f"{where}: {form.head}: it is there twice")
        keys, kind = SECTIONS[form.head]
        values = section(where, path, form, keys)
        sections[form.head] = kind(**{name.replace("-", "_"): value for name, value in values.items()})
    return Bylaws(path, **sections)


def section(where: str, path: str, form: Form, keys: Mapping[str, Key]) -> dict[str, Any]:
    values = {name: key.default for name, key in keys.items()}
    told = set()
    for item in form.items[1:]:
        if not isinstance(item, Form) or item.head is None:
            raise Faulty(f"{path}: line {item.line}: {form.head}: expected (key value)")
        name, at = item.head, f"{path}: line {item.line}: {form.head}.{item.head}"
        if name not in keys:
            raise Faulty(f"{at}: no such key{nearest(name, keys)}")
        if name in told:
            raise Faulty(f"{at}: it is there twice")
        told.add(name)
        value = item.items[1] if len(item.items) == 2 else None
        try:
            if not isinstance(value, Atom):
                raise ValueError
            values[name] = keys[name].read(value.value)
        except ValueError:
            found = (
                "nothing"
                if len(item.items) < 2
                else (repr(value.value)[:40] if isinstance(value, Atom) else "a list or more than one value")
            )
            raise Faulty(f"{at}: expected {keys[name].kind}, found {found}") from None
    for name, value in values.items():
        if value is ...:
            raise Faulty(f"{where}: {form.head}.{name}: expected {keys[name].kind}, it is missing")
    return values


def renewed(was: Bylaws, told: Bylaws) -> tuple[Bylaws, list[str], list[str]]:
    """What holds after a SIGHUP, the keys that changed at once, and those that wait for the next start."""
    now, later = [], []
    held = was
    for name, (keys, _) in SECTIONS.items():
        old, new = getattr(was, name), getattr(told, name)
        if old is None or new is None:
            if old != new:
                later.append(name)
            continue
        acting = {}
        for word, key in keys.items():
            field = word.replace("-", "_")
            if getattr(old, field) != getattr(new, field):
                (now if key.at_once else later).append(f"{name}.{word}")
                if key.at_once:
                    acting[field] = getattr(new, field)
        held = held._replace(**{name: old._replace(**acting)})
    return held, now, later
