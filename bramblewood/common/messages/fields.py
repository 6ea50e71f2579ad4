"""Reads the fields of a received message and checks their types. The module does no I/O.

Invariant: a decoded message contains only values of the stated types, so its handlers need no type checks.
Unknown keys are ignored, since a peer with a later release may send additional keys.
"""

from collections.abc import Iterable
from typing import Any

from ..errors import PeerMessageError

MAX_MAGNITUDE = 1e18  # of a number in a message; no time, count or version is larger
REQUIRED: Any = object()  # as a default: the key must be present


def field_error(key: str, expected: str, found: Any) -> PeerMessageError:
    """Return the error of a field whose value does not have the expected type."""
    return PeerMessageError(f"key {key}: expected {expected}, found {found!r:.60}")


def is_integer(value: Any) -> bool:
    """Return whether a value is an integer of at most MAX_MAGNITUDE. True and False are not integers."""
    return type(value) is int and abs(value) <= MAX_MAGNITUDE


def is_number(value: Any) -> bool:
    """Return whether a value is an integer or a float of at most MAX_MAGNITUDE. NaN is not a number."""
    return type(value) in (int, float) and abs(value) <= MAX_MAGNITUDE


def is_text(value: Any) -> bool:
    """Return whether a value is a text, which is a str in Python."""
    return type(value) is str


def is_flag(value: Any) -> bool:
    """Return whether a value is True or False."""
    return type(value) is bool


def is_list(value: Any) -> bool:
    """Return whether a value is a list, or a tuple, which JSON encodes as a list."""
    return isinstance(value, (list, tuple))


def is_map(value: Any) -> bool:
    """Return whether a value is a map, which is an object in JSON."""
    return isinstance(value, dict)


def is_proposal_number(value: Any) -> bool:
    """Return whether a value is a proposal number: epoch, counter, proposer, incarnation."""
    if not is_list(value) or len(value) != 4:
        return False
    epoch, counter, proposer, incarnation = value
    return is_integer(epoch) and is_integer(counter) and is_text(proposer) and is_integer(incarnation)


def check_values(key: str, values: Iterable[Any], is_valid: Any, expected: str) -> None:
    """Raise PeerMessageError at the first of these values of the field `key` that is not valid."""
    for value in values:
        if not is_valid(value):
            raise field_error(key, expected, value)


class Fields:
    """The fields of one message.

    Each method returns the value of a key, or `default` if the key is missing or its value is null. It raises
    PeerMessageError if the value has another type, or if there is neither a value nor a default.
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
            raise (
                field_error(key, expected, value)
                if key in self.message
                else PeerMessageError(f"no key {key}")
            )
        return value

    def text(self, key: str, default: Any = REQUIRED) -> Any:
        """Return a value that is a text."""
        return self._field(key, is_text, "a text", default)

    def integer(self, key: str, default: Any = REQUIRED) -> Any:
        """Return a value that is an integer, such as a count or a version."""
        return self._field(key, is_integer, "an integer", default)

    def number(self, key: str, default: Any = REQUIRED) -> Any:
        """Return a value that is a number, such as a time in s."""
        return self._field(key, is_number, "a number", default)

    def flag(self, key: str, default: Any = REQUIRED) -> Any:
        """Return a value that is True or False."""
        return self._field(key, is_flag, "true or false", default)

    def list_of(self, key: str, is_valid: Any, expected: str, default: Any = REQUIRED) -> Any:
        """Return a list whose elements are all valid. `expected` names the elements in an error."""
        found = self._field(key, is_list, "a list", default)
        check_values(key, found or (), is_valid, expected)
        return found

    def texts(self, key: str, default: Any = REQUIRED) -> Any:
        """Return a list of texts."""
        return self.list_of(key, is_text, "texts", default)

    def mapping(self, key: str, default: Any = REQUIRED) -> Any:
        """Return a map with values of any type."""
        return self._field(key, is_map, "a map", default)

    def map_of(self, key: str, is_valid: Any, expected: str, default: Any = REQUIRED) -> Any:
        """Return a map whose values are all valid. `expected` names the values in an error."""
        found = self.mapping(key, default)
        check_values(key, (found or {}).values(), is_valid, expected)
        return found

    def versions(self, key: str, default: Any = REQUIRED) -> Any:
        """Return the versions by register."""
        return self.map_of(key, is_integer, "versions", default)

    def ages(self, key: str, default: Any = REQUIRED) -> Any:
        """Return ages in s, by instance id."""
        return self.map_of(key, is_number, "ages", default)

    def rows(self, key: str, default: Any = REQUIRED) -> Any:
        """Return lists by key, such as registrations by instance id.

        The receiver must check their elements.
        """
        return self.map_of(key, is_list, "lists", default)

    def proposal_numbers(self, key: str, default: Any = REQUIRED) -> Any:
        """Return proposal numbers as tuples, by register."""
        found = self.map_of(key, is_proposal_number, "proposal numbers", default)
        return found and {register: tuple(number) for register, number in found.items()}
