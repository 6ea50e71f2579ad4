"""The settings in the operator's file: the keys, their defaults and whether a reload applies a change.

The file is a sequence of sections such as `(store (folder "/var/lib/x") (hold 0.5))`.
"""

import difflib
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from .expressions import Atom, ExpressionSyntaxError, ListExpression, Word, parse_expressions


class Faulty(Exception):
    """Raised for an operator's file that cannot be used. The message is one line with the file and the cause.

    The message includes the line and the key where they are known.
    """


class StoreTerms(NamedTuple):
    """The settings of the manager's durable store. Times are in s."""

    folder: str
    flush: str  # "apart": a separate process flushes to disk; "in-loop": the event loop does
    must_exist: bool  # whether a missing store counts as lost data
    background: float  # s in each turn of the event loop for sealing logs and merging tables
    # The longest time that orders wait until their records are durable. After it, the orders that do not
    # require durable records are sent.
    hold: float
    keep: float  # s that the record of a closed worker is retained


class OperatorSettings(NamedTuple):
    """The validated content of an operator's file. store is None if the file has no store section."""

    path: str = ""
    store: StoreTerms | None = None


class KeySpec(NamedTuple):
    """How the value of one key is validated."""

    expected: str  # a description of the valid values, for error messages
    parse: Callable[[Any], Any]  # returns the setting for the value of an atom; raises ValueError
    default: Any  # the Ellipsis object marks a required key
    reloadable: bool  # whether a change applies on SIGHUP; otherwise it applies at the next start


def parse_string(value: Any) -> str:
    """Returns a non-empty quoted string. Raises ValueError for any other value."""
    if isinstance(value, Word) or not isinstance(value, str) or not value:
        raise ValueError
    return value


def parse_yes_no(value: Any) -> bool:
    """Returns True for the word yes and False for the word no. Raises ValueError for any other value."""
    if not isinstance(value, Word) or value not in ("yes", "no"):
        raise ValueError
    return value == "yes"


def word_parser(*words: str) -> Callable[[Any], str]:
    """Returns a parser that accepts only the given words."""

    def parse_word(value: Any) -> str:
        if not isinstance(value, Word) or value not in words:
            raise ValueError
        return str(value)

    return parse_word


def range_parser(minimum: float, maximum: float) -> Callable[[Any], float]:
    """Returns a parser that accepts only finite numbers from minimum to maximum, both included."""

    def parse_number(value: Any) -> float:
        if isinstance(value, str) or not math.isfinite(value) or not minimum <= value <= maximum:
            raise ValueError
        return float(value)

    return parse_number


STORE_KEYS = {
    "folder": KeySpec("a string, the path of a directory on a persistent disk", parse_string, ..., False),
    "flush": KeySpec("apart or in-loop", word_parser("apart", "in-loop"), "apart", False),
    "must-exist": KeySpec("yes or no", parse_yes_no, False, False),
    "background": KeySpec("seconds from 0.0005 to 0.05", range_parser(0.0005, 0.05), 0.001, True),
    "hold": KeySpec("seconds from 0 to 2", range_parser(0.0, 2.0), 0.25, True),
    "keep": KeySpec("seconds from 60 to 2592000", range_parser(60.0, 2592000.0), 86400.0, True),
}
# Each section's keys and the class of its settings. A key is a field of the class, with "_" in place of "-".
SECTIONS: dict[str, tuple[Mapping[str, KeySpec], Callable[..., Any]]] = {"store": (STORE_KEYS, StoreTerms)}


def suggestion(name: str, known_names: Any) -> str:
    """Returns the end of an error message: the known name most like an unknown one, or all known names."""
    matches = difflib.get_close_matches(name, list(known_names), 1)
    return f"; did you mean {matches[0]}?" if matches else f"; expected one of {', '.join(known_names)}"


def load(path: str) -> OperatorSettings:
    """Reads and validates the file at this path. Raises Faulty with a message of one line."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise Faulty(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise Faulty(f"{path}: the file is not valid UTF-8") from None
    try:
        return parse_sections(path, parse_expressions(text))
    except ExpressionSyntaxError as error:
        raise Faulty(f"{path}: {error}") from None


def parse_sections(path: str, expressions: tuple) -> OperatorSettings:
    """Returns the settings in the top-level expressions of a file. Raises Faulty."""
    sections: dict[str, Any] = {}
    for expression in expressions:
        location = f"{path}: line {expression.line}"
        if not isinstance(expression, ListExpression) or expression.head is None:
            raise Faulty(f"{location}: expected a section such as (store ...)")
        if expression.head not in SECTIONS:
            raise Faulty(
                f"{location}: {expression.head}: unknown section{suggestion(expression.head, SECTIONS)}"
            )
        if expression.head in sections:
            raise Faulty(f"{location}: {expression.head}: duplicate section")
        keys, settings_class = SECTIONS[expression.head]
        values = parse_section(location, path, expression, keys)
        sections[expression.head] = settings_class(
            **{name.replace("-", "_"): value for name, value in values.items()}
        )
    return OperatorSettings(path, **sections)


def parse_section(
    location: str, path: str, section: ListExpression, keys: Mapping[str, KeySpec]
) -> dict[str, Any]:
    """Returns the value of each key of a section, by name, with defaults for absent keys. Raises Faulty.

    location: the path and the line of the section, for error messages.
    """
    values = {name: key.default for name, key in keys.items()}
    seen_names = set()
    for item in section.items[1:]:
        if not isinstance(item, ListExpression) or item.head is None:
            raise Faulty(f"{path}: line {item.line}: {section.head}: expected (key value)")
        name, key_location = item.head, f"{path}: line {item.line}: {section.head}.{item.head}"
        if name not in keys:
            raise Faulty(f"{key_location}: unknown key{suggestion(name, keys)}")
        if name in seen_names:
            raise Faulty(f"{key_location}: duplicate key")
        seen_names.add(name)
        value = item.items[1] if len(item.items) == 2 else None
        try:
            if not isinstance(value, Atom):
                raise ValueError
            values[name] = keys[name].parse(value.value)
        except ValueError:
            found = (
                "nothing"
                if len(item.items) < 2
                else (repr(value.value)[:40] if isinstance(value, Atom) else "a list or more than one value")
            )
            raise Faulty(f"{key_location}: expected {keys[name].expected}, found {found}") from None
    for name, value in values.items():
        if value is ...:
            raise Faulty(
                f"{location}: {section.head}.{name}: expected {keys[name].expected}, but the key is missing"
            )
    return values


def renewed(
    current: OperatorSettings, loaded: OperatorSettings
) -> tuple[OperatorSettings, list[str], list[str]]:
    """Returns the settings in effect after a reload and two lists of the keys that changed.

    The first list names the keys whose change applies at once, the second those whose change applies at the
    next start. A section that is added or removed is in the second list under its own name.
    """
    at_once, at_next_start = [], []
    effective = current
    for section_name, (keys, _) in SECTIONS.items():
        old, new = getattr(current, section_name), getattr(loaded, section_name)
        if old is None or new is None:
            if old != new:
                at_next_start.append(section_name)
            continue
        changes = {}
        for key_name, key in keys.items():
            field = key_name.replace("-", "_")
            if getattr(old, field) != getattr(new, field):
                (at_once if key.reloadable else at_next_start).append(f"{section_name}.{key_name}")
                if key.reloadable:
                    changes[field] = getattr(new, field)
        effective = effective._replace(**{section_name: old._replace(**changes)})
    return effective, at_once, at_next_start
