"""Checks decoded JSON and TOML values against schemas, and reports the first violation with its path.

A schema is a TypedDict class (whose fields may be NotRequired), str, int, float (which also accepts
integers), bool, Any, Literal, list[X], dict[str, X] or X | None. Unknown fields are left out of the result,
so that a later version of a file or message may add fields.
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

from .errors import BramblewoodError

SCALAR_DESCRIPTIONS = {str: "a text", int: "a whole number", float: "a number", bool: "true or false"}
MAX_VALUE_LENGTH = 60  # the most characters of an invalid value in the text of a violation


class SchemaViolation(NamedTuple):
    """A violation of a schema: the path of the value, the expected value, and the value found."""

    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.path or 'the whole'}: expected {self.expected}, found {self.found}"


class SchemaError(BramblewoodError):
    """Carries a violation to `check`. It is not raised outside this module."""

    step = "check"

    def __init__(self, violation: SchemaViolation) -> None:
        super().__init__(violation)
        self.violation = violation


class Field(NamedTuple):
    """A field of a TypedDict class."""

    name: str
    schema: Any
    required: bool


def check_schema(value: Any, schema: Any, path: str = "") -> Result[Any, SchemaViolation]:
    """Return the value without its unknown fields, or the first violation.

    `path` is the path of the value in the file or message. The path of a violation begins with it. Raises
    TypeError if `schema` is not a schema.
    """
    try:
        return Ok(_checked(value, schema, path))
    except SchemaError as error:
        return Err(error.violation)


@cache
def fields_of(schema: type) -> tuple[Field, ...]:
    """Return the fields of a TypedDict class. The result is cached."""
    fields = []
    for name, hint in get_type_hints(schema, include_extras=True).items():
        qualifier = get_origin(hint)
        required = qualifier is not NotRequired and (qualifier is Required or schema.__total__)
        field_schema = get_args(hint)[0] if qualifier in (NotRequired, Required) else hint
        fields.append(Field(name, field_schema, required))
    return tuple(fields)


def _violation(path: str, expected: str, value: Any) -> SchemaError:
    return SchemaError(SchemaViolation(path, expected, f"{value!r:.{MAX_VALUE_LENGTH}}"))


def _checked(value: Any, schema: Any, path: str) -> Any:
    """Return the value without its unknown fields. Raises SchemaError at the first violation."""
    if schema is Any:
        return value
    if schema in SCALAR_DESCRIPTIONS:
        if not _is_scalar(value, schema):
            raise _violation(path, SCALAR_DESCRIPTIONS[schema], value)
        return value
    if is_typeddict(schema):
        return _checked_fields(value, schema, path)
    return _checked_generic(value, schema, path)


def _is_scalar(value: Any, schema: type) -> bool:
    if isinstance(value, bool):  # bool is a subclass of int, but true and false are not numbers
        return schema is bool
    if schema is float:
        return isinstance(value, (float, int)) and math.isfinite(value)
    return isinstance(value, schema)


def _checked_fields(value: Any, schema: type, path: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise _violation(path, "an object", value)
    checked = {}
    for name, field_schema, required in fields_of(schema):
        field_path = f"{path}.{name}" if path else name
        if name in value:
            checked[name] = _checked(value[name], field_schema, field_path)
        elif required:
            raise SchemaError(SchemaViolation(field_path, "a value", "nothing"))
    return checked


def _checked_generic(value: Any, schema: Any, path: str) -> Any:
    origin, arguments = get_origin(schema), get_args(schema)
    if origin is Literal:
        if value not in arguments:
            raise _violation(path, f"one of {', '.join(map(str, arguments))}", value)
        return value
    if origin is list:
        if not isinstance(value, list):
            raise _violation(path, "a list", value)
        return [_checked(item, arguments[0], f"{path}.{index}") for index, item in enumerate(value)]
    if origin is dict:
        if not isinstance(value, dict):
            raise _violation(path, "an object", value)
        return {name: _checked(item, arguments[1], f"{path}.{name}") for name, item in value.items()}
    if origin in (Union, types.UnionType):
        if value is None and type(None) in arguments:
            return None
        return _checked(value, next(argument for argument in arguments if argument is not type(None)), path)
    raise TypeError(f"expected a schema, found {schema!r}")
