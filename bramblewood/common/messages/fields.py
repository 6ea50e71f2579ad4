"""Reads the fields of a message in its wire form, each with its type. Pure.

Invariant: a message object holds values of the stated types only, so what handles it needs no checks. Keys
that are not known are passed over: a peer of a later release may send more.
"""

from collections.abc import Iterable
from typing import Any

from ..errors import PeerMessageError

MAX_MAGNITUDE = 1e18  # of a number: beyond it is no time, count or version
REQUIRED: Any = object()  # in place of a default: the key must be there


def fail(key: str, expected: str, found: Any) -> PeerMessageError:
    """The error of a field that is not of its type."""
    return PeerMessageError(f"key {key}: expected {expected}, found {found!r:.60}")


def is_integer(value: Any) -> bool:
    """Whether this is an integer of sensible size; true and false are none."""
    return type(value) is int and abs(value) <= MAX_MAGNITUDE


def is_number(value: Any) -> bool:
    """Whether this is a finite number of sensible size."""
    return type(value) in (int, float) and abs(value) <= MAX_MAGNITUDE


def is_text(value: Any) -> bool:
    """Whether this is a text."""
    return type(value) is str


def is_flag(value: Any) -> bool:
    """Whether this is true or false."""
    return type(value) is bool


def is_list(value: Any) -> bool:
    """Whether this is a list; a message that was not sent yet may have tuples."""
    return isinstance(value, (list, tuple))


def is_map(value: Any) -> bool:
    """Whether this is a map."""
    return isinstance(value, dict)


def is_proposal_number(value: Any) -> bool:
    """Whether this is a proposal number: epoch, counter, proposer, incarnation."""
    if not is_list(value) or len(value) != 4:
        return False
    epoch, counter, proposer, incarnation = value
    return is_integer(epoch) and is_integer(counter) and is_text(proposer) and is_integer(incarnation)


def require_all(key: str, values: Iterable[Any], is_valid: Any, expected: str) -> None:
    """Raise PeerMessageError at the first of a field's values that is not valid."""
    for value in values:
        if not is_valid(value):
            raise fail(key, expected, value)


class Fields:
    """The fields of one message. Each method gives the value of a key, or `default` where the key is missing
    or null; it raises PeerMessageError where the value has another type, or there is none and no default.
    """

    def __init__(self, message: Any) -> None:
        if not is_map(message):
            raise PeerMessageError(f"expected a map, found {message!r:.60}")
        self.message = message

    def _field(self, key: str, is_valid: Any, expected: str, default: Any) -> Any:
        value = self.message.get(key)
        if value is None and default is not REQUIRED:
            return default
        if not is_valid(value):
            raise fail(key, expected, value) if key in self.message else PeerMessageError(f"no key {key}")
        return value

    def text(self, key: str, default: Any = REQUIRED) -> Any:
        """A text."""
        return self._field(key, is_text, "a text", default)

    def integer(self, key: str, default: Any = REQUIRED) -> Any:
        """An integer."""
        return self._field(key, is_integer, "an integer", default)

    def number(self, key: str, default: Any = REQUIRED) -> Any:
        """A number, such as a time in s."""
        return self._field(key, is_number, "a number", default)

    def flag(self, key: str, default: Any = REQUIRED) -> Any:
        """True or false."""
        return self._field(key, is_flag, "true or false", default)

    def list_of(self, key: str, is_valid: Any, expected: str, default: Any = REQUIRED) -> Any:
        """A list whose elements are all valid."""
        found = self._field(key, is_list, "a list", default)
        require_all(key, found or (), is_valid, expected)
        return found

    def texts(self, key: str, default: Any = REQUIRED) -> Any:
        """A list of texts."""
        return self.list_of(key, is_text, "texts", default)

    def mapping(self, key: str, default: Any = REQUIRED) -> Any:
        """A map, whatever its values are."""
        return self._field(key, is_map, "a map", default)

    def map_of(self, key: str, is_valid: Any, expected: str, default: Any = REQUIRED) -> Any:
        """A map whose values are all valid."""
        found = self.mapping(key, default)
        require_all(key, (found or {}).values(), is_valid, expected)
        return found

    def versions(self, key: str, default: Any = REQUIRED) -> Any:
        """Versions by register."""
        return self.map_of(key, is_integer, "versions", default)

    def ages(self, key: str, default: Any = REQUIRED) -> Any:
        """Ages in s by instance id."""
        return self.map_of(key, is_number, "ages", default)

    def rows(self, key: str, default: Any = REQUIRED) -> Any:
        """Lists by key, such as registrations by instance id; who uses a row checks its fields."""
        return self.map_of(key, is_list, "lists", default)

    def proposal_numbers(self, key: str, default: Any = REQUIRED) -> Any:
        """Proposal numbers by register, as tuples."""
        found = self.map_of(key, is_proposal_number, "proposal numbers", default)
        return found and {register: tuple(number) for register, number in found.items()}
