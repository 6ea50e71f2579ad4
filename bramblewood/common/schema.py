"""A small checker for typed dictionaries: what comes from outside becomes plain values, or one fault with its
place.

Shapes are TypedDict classes (fields may be NotRequired), str, int, float (whole numbers too), bool, Any,
Literal, list[X], dict[str, X] and X | None. Unknown fields are left out.
"""

import math
import types
from functools import cache
from typing import (
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    Required,
    Union,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

from result import Err, Ok, Result


class SchemaViolation(NamedTuple):
    """What is wrong with a value: where it stands, what was expected, what was found."""

    where: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.where or 'the whole'}: expected {self.expected}, found {self.found}"


class SchemaError(Exception):
    """Carries a fault up to `check`; never leaves this file."""


PLAIN = {str: "a text", int: "a whole number", float: "a number", bool: "true or false"}


@cache
def fields_of(shape: type) -> tuple:
    """(name, shape, required) of each field; worked out once a shape."""
    found = []
    for name, hint in get_type_hints(shape, include_extras=True).items():
        wrapped = get_origin(hint)
        required = wrapped is not NotRequired and (wrapped is Required or shape.__total__)
        found.append((name, get_args(hint)[0] if wrapped in (NotRequired, Required) else hint, required))
    return tuple(found)


def wrong(where: str, expected: str, value: Any) -> SchemaError:
    return SchemaError(SchemaViolation(where, expected, f"{value!r:.60}"))


def read(value: Any, shape: Any, where: str) -> Any:
    if shape is Any:
        return value
    if shape in PLAIN:
        fits = isinstance(value, shape) or shape is float and isinstance(value, int)
        if (
            not fits
            or shape is not bool
            and isinstance(value, bool)
            or shape is float
            and not math.isfinite(value)
        ):
            raise wrong(where, PLAIN[shape], value)
        return value
    if is_typeddict(shape):
        if not isinstance(value, dict):
            raise wrong(where, "an object", value)
        made = {}
        for name, inner, required in fields_of(shape):
            if name in value:
                made[name] = read(value[name], inner, f"{where}.{name}" if where else name)
            elif required:
                raise SchemaError(SchemaViolation(f"{where}.{name}" if where else name, "a value", "nothing"))
        return made
    outer, inner = get_origin(shape), get_args(shape)
    if outer is Literal:
        if value not in inner:
            raise wrong(where, f"one of {', '.join(map(str, inner))}", value)
        return value
    if outer is list:
        if not isinstance(value, list):
            raise wrong(where, "a list", value)
        return [read(item, inner[0], f"{where}.{place}") for place, item in enumerate(value)]
    if outer is dict:
        if not isinstance(value, dict):
            raise wrong(where, "an object", value)
        return {name: read(item, inner[1], f"{where}.{name}") for name, item in value.items()}
    if outer in (Union, types.UnionType):
        if value is None and type(None) in inner:
            return None
        return read(value, next(part for part in inner if part is not type(None)), where)
    raise TypeError(f"no such shape: {shape!r}")


def check(value: Any, shape: Any, where: str = "") -> Result[Any, SchemaViolation]:
    """The value with its known fields only, or the first fault."""
    try:
        return Ok(read(value, shape, where))
    except SchemaError as problem:
        return Err(problem.args[0])
